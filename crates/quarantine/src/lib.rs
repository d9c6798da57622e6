//! Requests that terminate the backend servers that run them (queries of death): which request
//! equals an earlier one, under which requests backend servers terminated, and which of them are no
//! longer sent. Pure decision logic: inputs and the time go in, verdicts come out.
//!
//! A gateway notices a lost run ([`LossTracker`]), finds out whether its backend server terminated,
//! and reports that to all coordinators. Each of them keeps the cases ([`Table`]), and gateways
//! follow. A request that was running at two terminations is a suspect: it runs alone, in one trial
//! at a time in the fleet ([`Trials`]). A complete response closes the case; a termination during
//! that trial refuses the request from then on, everywhere.

mod case;
mod digest;
mod losses;
mod table;
mod trials;
mod wire;

pub use case::{Case, CaseStatus, Start};
pub use digest::{Digest, digest, from_text, to_text};
pub use losses::{LossTracker, LostRun, NextStep, Termination};
pub use table::{CaseUpdate, Cursor, Table};
pub use trials::Trials;
pub use wire::{InvalidMessage, read_digest};
