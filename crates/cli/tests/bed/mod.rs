//! The bed of the tests over separate processes: a relay before each inbox, callers,
//! scripted scenarios, and the records of the fakes as the judge.

mod calls;
mod expect;
mod operate;
mod relay;
mod run;
mod system;

#[allow(unused_imports)]
pub(crate) use calls::{Ask, Fate, send};
#[allow(unused_imports)]
pub(crate) use operate::{command, rows};
#[allow(unused_imports)]
pub(crate) use run::run;
#[allow(unused_imports)]
pub(crate) use system::{KEY, Size, System};
