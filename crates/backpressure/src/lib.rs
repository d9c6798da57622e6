//! What backend servers ask of those that send them requests. Plain decisions: answers and the time
//! go in; when a request may be sent comes out.
//!
//! A limit is of one start of a backend server and binds all gateways together ([`Limit`]). Gateways
//! tell it each other by way of the coordinators, and each knows from the list of all whether it is one of the few that
//! may send there, and how often ([`gap`]). Rest is asked of one gateway, and is its own ([`Rest`]). What follows
//! of all that at one gateway is [`Terms`].

mod backoff;
mod limit;
mod senders;
mod state;
mod wire;

pub use backoff::Rest;
pub use limit::{Limit, Limited, Turn};
pub use senders::{Share, gap};
pub use state::{Answer, Asked, Terms};
pub use wire::BadLimit;

/// Id of a backend server.
pub type ServerId = String;
/// Which start of a backend server, in Unix milliseconds; 0 where it does not tell.
pub type Began = u64;
