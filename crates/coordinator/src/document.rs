//! The commands of the log, the state in its snapshots, and their encoding.

use crate::{DecodeSnafu, Result};
use bn_evacuation::{Evacuations, Order};
use bn_wire::messages as wire;
use prost::Message;
use snafu::OptionExt;

/// A document and its version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VersionedDocument {
    /// Version.
    pub version: u64,
    /// Compressed, otherwise as it was sent in.
    pub document: Vec<u8>,
}

/// A command of the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// A document.
    Document(VersionedDocument),
    /// An order about a failure domain.
    Evacuation(Order),
}

/// Encodes a document as a command.
pub fn encode(versioned: &VersionedDocument) -> Vec<u8> {
    to_wire(versioned).encode_to_vec()
}

/// Encodes an order as a command.
pub fn encode_order(order: &Order) -> Vec<u8> {
    let encoded = wire::LogCommand {
        evacuation: Some(order.into()),
        ..wire::LogCommand::default()
    };
    encoded.encode_to_vec()
}

/// Encodes the state of a snapshot.
pub fn encode_state(versioned: &VersionedDocument, evacuations: &Evacuations) -> Vec<u8> {
    let encoded = wire::LogCommand {
        evacuations: (evacuations.revision > 0).then(|| evacuations.into()),
        ..to_wire(versioned)
    };
    encoded.encode_to_vec()
}

/// Decodes a command. Earlier versions stored a `DocumentAsk`, which has the same field numbers.
pub fn decode(bytes: &[u8]) -> Result<Command> {
    let encoded = wire::LogCommand::decode(bytes).ok();
    let mut encoded = encoded.context(DecodeSnafu { what: "command" })?;
    Ok(match encoded.evacuation.take() {
        Some(order) => {
            let order = Order::try_from(order).ok();
            Command::Evacuation(order.context(DecodeSnafu {
                what: "evacuation order",
            })?)
        }
        None => Command::Document(document_of(encoded)),
    })
}

/// Decodes the state of a snapshot, also of one that an earlier version wrote.
pub fn decode_state(bytes: &[u8]) -> Result<(VersionedDocument, Evacuations)> {
    let encoded = wire::LogCommand::decode(bytes).ok();
    let mut encoded = encoded.context(DecodeSnafu { what: "snapshot" })?;
    let evacuations = encoded.evacuations.take().unwrap_or_default();
    let evacuations = Evacuations::try_from(evacuations).ok();
    let evacuations = evacuations.context(DecodeSnafu {
        what: "evacuations",
    })?;
    Ok((document_of(encoded), evacuations))
}

fn to_wire(versioned: &VersionedDocument) -> wire::LogCommand {
    wire::LogCommand {
        version: versioned.version,
        document: versioned.document.clone(),
        ..wire::LogCommand::default()
    }
}

fn document_of(encoded: wire::LogCommand) -> VersionedDocument {
    VersionedDocument {
        version: encoded.version,
        document: encoded.document,
    }
}
