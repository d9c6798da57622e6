//! Simulates the control plane at any size: coordinators and gateways make their real decisions
//! about registrations and exchange the resulting messages on a manual clock, without network or
//! processes.
//!
//! CPU time, documents, consensus and groups are not modelled.

mod coordinator;
mod gateway;
mod messages;
mod scenario;
mod simulation;
mod traffic;

pub use scenario::{Report, run_scenario};
pub use simulation::{FleetSpec, Simulation};
pub use traffic::{Traffic, TrafficRate};
