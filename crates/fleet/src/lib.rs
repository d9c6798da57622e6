//! A model of the control plane at any size: what coordinators and gateways decide about
//! registrations, with the messages that they would send, on a manual clock. No network, no processes.
//!
//! Processor time is not modelled, nor are documents, consensus and groups.

mod coordinator;
mod gateway;
mod mail;
mod play;
mod tally;
mod world;

pub use play::{Report, play};
pub use tally::{Load, Tally};
pub use world::{Shape, World};
