//! Lock-step groups: expert maps, switching from one map to the next, and deciding when a switch
//! pays off. In every step all ranks of a group use the same map. The logic does no I/O: inputs and
//! the current time go in, orders come out.

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
pub use discovery::{GroupDiscovery, GroupName};
pub use map::{ExpertMap, MapError};
pub use rank::{Order, OrderKind, OrderRefusal, RankGate, RankReport};
pub use rebalance::{Limits, imbalance, rebalance};

/// Rank in a group, from 0.
pub type RankId = u32;
/// Number of a group's step.
pub type Step = u64;
/// Version of a group's expert map, from 1.
pub type Version = u64;
