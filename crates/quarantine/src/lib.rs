//! Requests that end the backend servers that run them (queries of death): which request is the
//! same as an earlier one, under which requests backend servers ended, and which of them are sent no
//! more. Plain decisions: inputs and the time go in, verdicts come out.
//!
//! A gateway notices that a run was lost ([`Watch`]), finds out whether its backend server ended, and
//! tells all coordinators. Each of them keeps the cases ([`Table`]); gateways follow. Who has been there
//! at two ends is suspected: it is tried by itself, one try at a time in the fleet ([`Trials`]). A whole
//! answer closes the case, an end of that try refuses the request from then on, everywhere.

mod case;
mod digest;
mod losses;
mod table;
mod trials;
mod wire;

pub use case::{Case, Standing, Start};
pub use digest::{Digest, digest, from_text, to_text};
pub use losses::{End, Lost, Next, Watch};
pub use table::{Table, Told, Turn};
pub use trials::Trials;
pub use wire::{NoDigest, read_digest};
