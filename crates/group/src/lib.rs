//! Lock-step groups: expert maps, the switch from one to the next, and when a switch
//! pays. In every step all ranks of a group use one and the same map. Plain
//! decisions: inputs and the time go in, orders come out.

mod balance;
mod coordinator;
mod demand;
mod discovery;
mod map;
mod rank;
mod rebalance;
pub mod switch_controller;

pub use balance::{Costs, Estimate, Plan, plan, repack, skew, step_cost};
pub use coordinator::{Action, CommittedState, Coordinator};
pub use demand::{Demand, Loads};
pub use discovery::{GroupName, Muster};
pub use map::{ExpertMap, MapFault};
pub use rank::{Order, OrderKind, OrderRefusal, RankGate, RankReport};
pub use rebalance::{Limits, lag, spread};

/// Rank in a group, from 0.
pub type RankId = u32;
/// Number of a step of a group.
pub type Step = u64;
/// Version of a group's expert map, from 1.
pub type Version = u64;
