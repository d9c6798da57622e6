//! Requests that terminate the backend servers that run them (queries of death): what they have in
//! common ([`Kind`]), under which of these attributes backend servers terminated, and which requests
//! are no longer sent. Pure decision logic: inputs and the time go in, verdicts come out.
//!
//! A gateway notices a lost run ([`LossTracker`]), finds out whether its backend server terminated,
//! and reports that to all coordinators. Each of them keeps the cases ([`Table`]), and gateways
//! follow. An attribute of runs at two terminations is a suspect: it runs alone, in one trial at a
//! time in the fleet ([`Trials`]). A complete response closes the case (of a shared attribute, the
//! beginning of one); a termination during that trial refuses requests with the attribute from then
//! on, everywhere.

mod asks;
mod attribute;
mod case;
mod digest;
mod losses;
mod table;
mod trials;
mod wire;

pub use asks::{AskStep, Asks, all_shared};
pub use attribute::{Kind, PartId, part_digest, part_text};
pub use case::{Case, CaseStatus, Start};
pub use digest::{Digest, digest, from_text, to_text};
pub use losses::{LossTracker, LostRun, NextStep, Termination};
pub use table::{CaseUpdate, Cursor, Table, Verdict};
pub use trials::Trials;
pub use wire::{InvalidMessage, read_digest};
