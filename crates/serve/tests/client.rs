//! Connections to backend servers, on loopback.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_serve::client;
use googletest::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

/// More than the system takes for a peer that does not read.
const BODY: usize = 64 << 20;

/// Symptom: a backend server begins requests whose callers left seconds ago. Sequence: it takes
/// nothing for a while; the caller leaves, the gateway closes the connection; it goes on reading.
/// Cause: what had not arrived yet when the connection was closed was delivered all the same.
#[googletest::test]
fn what_was_not_delivered_of_a_request_that_was_given_up_never_is() {
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = frozen.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();

    runtime.block_on(async {
        let mut connection = client::open(address).await.unwrap();
        let request = Request::new(Full::new(Bytes::from(vec![7; BODY])));
        let sent = connection.sender.send_request(request);
        let unanswered = tokio::time::timeout(Duration::from_millis(300), sent).await;
        assert!(unanswered.is_err());
        drop(connection);
        // The library's task closes the socket.
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    let (mut woken, _) = frozen.accept().unwrap();
    let mut taken = vec![0; BODY];
    let read = loop {
        match woken.read(&mut taken) {
            Ok(0) => break "an ordinary end",
            Ok(_) => {}
            Err(_) => break "a reset",
        }
    };

    expect_that!(read, eq("a reset"));
}
