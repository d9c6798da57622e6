//! Evacuations of failure domains: the replicated state, the effect of an order on it, and the life
//! of an order at the coordinator that received it. Plain values and the time; no I/O.

mod appended;
mod pending;
mod stall;
mod state;
mod wire;

pub use appended::AppendedOrders;
pub use pending::{CALL_TIMEOUT, Expiry, PendingOrders};
pub use stall::StallGuard;
pub use state::{Applied, Evacuations, Order, is_valid_name};
pub use wire::InvalidOrder;

/// Name of a failure domain.
pub type DomainName = String;
/// Index in the coordinators' log.
pub type LogIndex = u64;
/// Log index of the last order applied; 0 if there was none.
pub type Revision = u64;
/// Random id of one proposal of an order.
pub type OrderId = u64;
