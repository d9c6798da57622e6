//! The document in force, and its encoding in the log.

use crate::{DecodeSnafu, Result};
use bn_wire::messages as wire;
use prost::Message;
use snafu::OptionExt;

/// A document and its version.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct VersionedDocument {
    pub(crate) version: u64,
    /// Compressed, otherwise as it was sent in.
    pub(crate) document: Vec<u8>,
}

pub(crate) fn encode(versioned: &VersionedDocument) -> Vec<u8> {
    let encoded = wire::DocumentAsk {
        call: 0,
        version: versioned.version,
        document: versioned.document.clone(),
    };
    encoded.encode_to_vec()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<VersionedDocument> {
    let encoded = wire::DocumentAsk::decode(bytes).ok();
    let encoded = encoded.context(DecodeSnafu { what: "document" })?;
    Ok(VersionedDocument {
        version: encoded.version,
        document: encoded.document,
    })
}
