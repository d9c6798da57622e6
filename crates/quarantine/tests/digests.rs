//! Which requests count as equal.

use bn_quarantine::{digest, to_text};
use googletest::prelude::*;

#[googletest::test]
fn requests_differ_if_any_part_of_them_does() {
    let first = digest(&[b"account", b"/path", b"body"]);

    let same = digest(&[b"account", b"/path", b"body"]);
    let others = [
        digest(&[b"another", b"/path", b"body"]),
        digest(&[b"account", b"/path/", b"body"]),
        digest(&[b"account", b"/path", b"bodies"]),
        // The same bytes, split elsewhere.
        digest(&[b"account/", b"path", b"body"]),
        digest(&[b"account", b"/path", b"bod", b"y"]),
    ];

    expect_that!(same, eq(first));
    expect_that!(others, each(not(eq(first))));
    expect_that!(to_text(first).len(), eq(32));
}
