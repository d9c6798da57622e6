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

/// Larger than the socket buffers for a peer that does not read.
const BODY_BYTES: usize = 64 << 20;

/// Guards against a backend server that starts requests whose callers left seconds ago: it reads
/// nothing for a while, the caller leaves, the gateway closes the connection, and the backend server
/// resumes reading; data that was still undelivered at the close was then delivered after all.
#[googletest::test]
fn undelivered_data_of_an_abandoned_request_is_discarded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();

    runtime.block_on(async {
        let mut connection = client::open(address).await.unwrap();
        let request = Request::new(Full::new(Bytes::from(vec![7; BODY_BYTES])));
        let sent = connection.send(request);
        let unanswered = tokio::time::timeout(Duration::from_millis(300), sent).await;
        assert!(unanswered.is_err());
        drop(connection);
        // The library's task closes the socket.
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    let (mut stream, _) = listener.accept().unwrap();
    let mut buffer = vec![0; BODY_BYTES];
    let end = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break "end of stream",
            Ok(_) => {}
            Err(_) => break "reset",
        }
    };

    expect_that!(end, eq("reset"));
}
