//! The bed of the scripted scenarios: separate processes, a relay before each inbox,
//! callers, and the records of the fakes as the judge.

mod calls;
mod relay;
mod run;
mod system;

pub(crate) use run::run;
