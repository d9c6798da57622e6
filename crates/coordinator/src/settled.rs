//! The document in force, and its encoding in the log.

use crate::{DecodeSnafu, Result};
use bn_wire::messages as wire;
use prost::Message;
use snafu::OptionExt;

/// The document in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Settled {
    pub(crate) version: u64,
    /// Compressed, otherwise as it was sent in.
    pub(crate) document: Vec<u8>,
}

pub(crate) fn encode(settled: &Settled) -> Vec<u8> {
    let ask = wire::DocumentAsk {
        call: 0,
        version: settled.version,
        document: settled.document.clone(),
    };
    ask.encode_to_vec()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Settled> {
    let ask = wire::DocumentAsk::decode(bytes).ok();
    let ask = ask.context(DecodeSnafu { what: "document" })?;
    Ok(Settled {
        version: ask.version,
        document: ask.document,
    })
}
