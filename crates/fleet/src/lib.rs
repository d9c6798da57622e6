//! A model of the control plane at any size: what coordinators and gateways decide about
//! registrations, with the messages that they would send, on a manual clock. No network, no processes.
//!
//! Processor time is not modelled, nor are documents, consensus and groups.

mod coordinator;
mod gateway;
mod messages;
mod scenario;
mod simulation;
mod traffic;

pub use scenario::{Report, play};
pub use simulation::{Shape, World};
pub use traffic::{Load, Tally};
