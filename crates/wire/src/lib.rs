//! Types generated from the schema: messages between the system's processes, stored records, and
//! settings in their JSON form. Domain types are in their own crates and convert with `From` and
//! `TryFrom`.

mod compression;

pub use compression::{compress, decompress};

/// Messages and stored records; source: `proto/messages.proto`.
#[allow(missing_docs, clippy::all)]
pub mod messages {
    include!("gen/bn.messages.rs");
}

/// Settings; source: `proto/settings.proto`.
#[allow(missing_docs, clippy::all)]
pub mod settings {
    include!("gen/bn.settings.rs");
}
