//! Admission of requests whose service serves several priorities: how much load a request may use,
//! how long it may wait, and when it should be retried after a refusal. The decisions do no I/O:
//! they take inputs and the time.
//!
//! This crate is used for ranked services only: those whose routes differ in priority. A
//! [`Priority`] here is a request's level: its position in the service's order of urgency.

mod arrivals;
mod demand;
mod first_events;
mod floors;
mod rank;
mod reserve;
mod retries;
mod service;
mod usage;
mod view;

pub use arrivals::Arrivals;
pub use demand::{Demand, DemandSum, LevelDemand, MAX_DEMAND_AGE, ReceivedDemand};
pub use first_events::FirstEvents;
pub use floors::Floors;
pub use rank::Rank;
pub use reserve::reserved_slots;
pub use retries::{RetryInput, RetrySchedule};
pub use service::{Admission, LoadLimits, ServiceCapacity, WaitInput};
pub use usage::Usage;
pub use view::View;

/// Level of a request in its ranked service; 0 is the most urgent.
pub type Priority = u32;
/// Name of a service.
pub type ServiceId = String;
/// Name of a client account.
pub type AccountId = String;
