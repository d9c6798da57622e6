//! Fake backend servers: a small continuous-batching engine and a plain service. They implement the
//! project's interfaces and keep their own record of what ran, the reference of every proof.

mod announce;
mod cold;
mod directives;
mod engine;
mod handle;
mod record;
mod register;
mod serve;
mod steps;

pub use engine::{TOKEN_BYTES, expected_answer};
pub use record::Line;
pub use serve::{Fake, Kind, run};
