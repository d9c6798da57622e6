//! What backend servers ask of those that send them requests: at most so many requests a second, no
//! request for a while, none any more. Plain decisions: answers and the time go in.

mod terms;

pub use terms::{Asked, Terms};
