//! One module per command.

pub(crate) mod bench;
pub(crate) mod check;
pub(crate) mod ctl;
pub(crate) mod demo;
pub(crate) mod evacuations;
pub(crate) mod explain;
pub(crate) mod fake;
pub(crate) mod limits;
pub(crate) mod losses;
pub(crate) mod members;
pub(crate) mod quarantine;
pub(crate) mod run;
pub(crate) mod timeline;
