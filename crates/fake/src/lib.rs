//! Stand-ins for backend servers: a small continuous-batching engine and a plain
//! service. They stand at the project's interfaces and keep their own record of what
//! ran, which is the judge in every proof.

mod announce;
mod engine;
mod handle;
mod record;
mod register;
mod requests;
mod serve;
mod steps;

pub use engine::{TOKEN_BYTES, expected};
pub use record::Line;
pub use serve::{Fake, Kind, run};
