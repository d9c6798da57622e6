//! Test bed that runs the system as separate processes: a fault-injecting proxy in front of each
//! inbox, clients, scenario files, and checks against what the fake backend servers recorded.

mod calls;
mod expect;
mod operators;
mod proxy;
mod run;
mod system;

#[allow(unused_imports)]
pub(crate) use calls::{CallOutcome, Request, send};
#[allow(unused_imports)]
pub(crate) use operators::{command, wait_for_rows};
#[allow(unused_imports)]
pub(crate) use run::run;
#[allow(unused_imports)]
pub(crate) use system::{KEY, System, SystemSpec};
