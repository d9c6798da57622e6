//! Which gateways callers may be sent to.
//!
//! Coordinators hear of all gateways and choose ([`Directory`]); gateways follow their choice
//! ([`Named`]) and answer callers. Callers look every few seconds: answered by the few coordinators, a
//! failure domain whose coordinators are away costs each of its callers a second a look, and the looks
//! of a large fleet take a good part of a coordinator's time. Gateways are many in each domain, and a
//! caller that finds one away needs another one anyway.

mod directory;
mod named;

pub use directory::{Directory, Gateway};
pub use named::{Mark, Named, NamedGateway};

use std::time::Duration;

/// How long callers may keep an answer. Gateways that stop leave the answers at once and serve on for
/// longer than this; some callers keep answers three times as long.
pub const ANSWER_TTL: Duration = Duration::from_secs(2);
