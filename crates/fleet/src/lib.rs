//! Simulates the control plane at any size: coordinators and gateways make their real decisions
//! about registrations and exchange the resulting messages on a manual clock, without network or
//! processes.
//!
//! Backend servers may announce themselves again and again, crash, restart and depart. CPU time,
//! documents, consensus and groups are not modelled.

mod coordinator;
mod gateway;
mod lifecycle;
mod messages;
mod scenario;
mod server;
mod simulation;
mod traffic;

pub use scenario::{Report, run_scenario};
pub use server::record;
pub use simulation::{FleetSpec, Simulation};
pub use traffic::{Traffic, TrafficRate};
