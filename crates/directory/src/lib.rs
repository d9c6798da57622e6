//! Selection of the gateways that callers are sent to.
//!
//! Coordinators know all gateways and select some ([`Directory`]); gateways receive the selection
//! ([`GatewaySelection`]) and answer callers. Callers poll every few seconds. If the few
//! coordinators answered, a failure domain whose coordinators are absent would cost each of its
//! callers a second per poll, and the polls of a large fleet would take a good part of a
//! coordinator's time. Each domain has many gateways, and a caller that finds one absent needs
//! another one anyway.

mod directory;
mod selection;

pub use directory::{Directory, Gateway};
pub use selection::{Checksum, GatewaySelection, SelectedGateway};

use std::time::Duration;

/// How long callers may cache an answer. Gateways that stop are removed from answers at once and
/// keep serving for longer than this; some callers cache answers three times as long.
pub const ANSWER_TTL: Duration = Duration::from_secs(2);
