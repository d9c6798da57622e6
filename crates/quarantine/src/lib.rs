//! Requests that end the backend servers that run them (queries of death): which request is the
//! same as an earlier one.

mod digest;

pub use digest::{Digest, digest, to_text};
