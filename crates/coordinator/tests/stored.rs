//! Commands and snapshots as they are stored on disk.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{
    Command, VersionedDocument, decode, decode_state, encode, encode_order, encode_state,
};
use bn_evacuation::{Evacuations, Order};
use googletest::prelude::*;

/// Version 300 with a document of the bytes 1, 2, 3, as written before there were evacuations:
/// field 2 as a varint, field 3 as bytes.
const OLD_BYTES: [u8; 8] = [0x10, 0xac, 0x02, 0x1a, 0x03, 1, 2, 3];

fn document() -> VersionedDocument {
    VersionedDocument {
        version: 300,
        document: vec![1, 2, 3],
    }
}

fn order() -> Order {
    Order {
        id: 7,
        domain: "d1".into(),
        evacuated: true,
        base: 0,
    }
}

/// Guards against data directories of earlier versions that cannot be opened any more, or open with
/// another document.
#[googletest::test]
fn data_of_earlier_versions_can_be_read() {
    let none = Evacuations::default();

    expect_that!(
        decode(&OLD_BYTES).unwrap(),
        eq(&Command::Document(document()))
    );
    expect_that!(
        decode_state(&OLD_BYTES).unwrap(),
        eq(&(document(), none.clone()))
    );
    expect_that!(decode_state(&[]).unwrap(), eq(&Default::default()));
    expect_that!(encode(&document()), eq(&OLD_BYTES.to_vec()));
    expect_that!(encode_state(&document(), &none), eq(&OLD_BYTES.to_vec()));
}

/// Guards against a snapshot that keeps the document and loses the evacuations.
#[googletest::test]
fn orders_and_evacuations_are_stored() {
    let mut state = Evacuations::default();
    state.apply(9, &order());

    let command = decode(&encode_order(&order())).unwrap();
    let snapshot = decode_state(&encode_state(&document(), &state)).unwrap();

    expect_that!(command, eq(&Command::Evacuation(order())));
    expect_that!(snapshot, eq(&(document(), state)));
}
