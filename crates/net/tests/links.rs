//! Links to peers that come and go.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_net::Net;
use bn_wire::messages::{News, Role, envelope::Body};
use googletest::prelude::*;
use nng::options::Options;
use nng::options::protocol::pubsub::Subscribe;
use nng::{Protocol, Socket};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Times that peers end while they are sent to.
const ENDS: usize = 16_000;
/// Threads that only take processor time: the library's own then fall behind each other.
const BUSY: usize = 24;
/// Peers that come and go side by side: frees and sends then meet more often.
const PEERS: usize = 32;
/// Between two messages: each finds the one before it written, and the queue empty.
const BETWEEN: Duration = Duration::from_micros(100);
const WITHIN: Duration = Duration::from_secs(20);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn open() -> (SocketAddr, Net) {
    let address = free_address();
    let net = Net::start(Role::Node, "a", address, address, |_| true).unwrap();
    (address, net)
}

fn inbox(address: SocketAddr) -> Socket {
    let socket = Socket::new(Protocol::Sub0).unwrap();
    socket.set_opt::<Subscribe>(Vec::new()).unwrap();
    // The system may take a moment to free the port.
    let until = Instant::now() + WITHIN;
    while socket.listen(&format!("tcp://{address}")).is_err() {
        assert!(Instant::now() < until, "{address} stays taken");
        thread::sleep(Duration::from_millis(1));
    }
    socket
}

/// What an inbox answers when a link opens: the messaging library's greeting, of its kind.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x21, 0, 0];

/// Takes connections, and ends each of them some hundred microseconds later, whatever is under
/// way.
fn end_again_and_again(listener: &TcpListener) {
    for turn in 0..ENDS / PEERS {
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(&GREETING).unwrap();
        if turn % 64 == 0 {
            // Its greeting, and the first bytes of a message.
            stream.read_exact(&mut [0; 16]).unwrap();
        }
        thread::sleep(Duration::from_micros(turn as u64 % 8 * 100));
    }
}

fn process(inbox: SocketAddr, incarnation: u64) -> Net {
    Net::open("p", incarnation, inbox, free_address(), |_| ()).unwrap()
}

/// The next connection to an inbox, greeted; none where there is none in time.
fn connection(listener: &TcpListener) -> Option<std::net::TcpStream> {
    let until = Instant::now() + Duration::from_secs(5);
    listener.set_nonblocking(true).unwrap();
    while Instant::now() < until {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.write_all(&GREETING).unwrap();
            return Some(stream);
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

/// Symptom: a new leader hears nothing of its group for ten seconds. Sequence: its instance lost
/// power and is back; to the relays, their connections to it still stand, and the first answer of
/// each goes into one of those. Cause: only a failed send ended such a connection.
#[googletest::test]
fn a_link_to_an_earlier_start_of_a_peer_is_not_used() {
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    let inbox = peer.local_addr().unwrap();
    let address = free_address();
    let (heard, news) = std::sync::mpsc::channel();
    let net = Net::start(Role::Node, "a", address, address, move |e| {
        heard.send(e.incarnation).is_ok()
    });
    let net = net.unwrap();
    let tell = |incarnation: u64| {
        let process = process(inbox, incarnation);
        process.send(address, Body::News(News::default()));
        let told = news.recv_timeout(WITHIN).unwrap();
        assert_eq!(told, incarnation);
    };

    tell(1);
    net.send(inbox, Body::News(News::default()));
    // It stands for good, and nobody reads it.
    let earlier = connection(&peer);
    tell(2);
    net.send(inbox, Body::News(News::default()));
    let later = connection(&peer);

    expect_true!(earlier.is_some());
    expect_true!(later.is_some());
}

/// Symptom: a process aborts with `pthread_mutex_lock: Invalid argument` while others stop.
/// Sequence: a peer ends its inbox while a message to it is being written; the write succeeds
/// just as the connection closes; the next message to that peer is sent. Cause: the links'
/// library puts the closed connection back among those that are ready, frees it, and the next
/// send uses it.
#[googletest::test]
fn sends_to_peers_that_end_do_not_abort() {
    let (_, net) = open();
    let over = Arc::new(AtomicBool::new(false));
    let busy = (0..BUSY).map(|_| over.clone());
    let busy: Vec<_> = busy
        .map(|over| thread::spawn(move || while !over.load(Ordering::Relaxed) {}))
        .collect();
    let listeners: Vec<_> = (0..PEERS)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let senders: Vec<_> = listeners
        .iter()
        .map(|listener| {
            let (net, over) = (net.clone(), over.clone());
            let address = listener.local_addr().unwrap();
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    net.send(address, Body::News(News::default()));
                    thread::sleep(BETWEEN);
                }
            })
        })
        .collect();
    let peers: Vec<_> = listeners
        .into_iter()
        .map(|l| thread::spawn(move || end_again_and_again(&l)))
        .collect();

    let ended = peers.into_iter().all(|p| p.join().is_ok());
    over.store(true, Ordering::Relaxed);
    let others = senders.into_iter().chain(busy);
    others.for_each(|t| t.join().unwrap());

    expect_true!(ended);
}

/// Symptom: nothing reaches a peer any more that was restarted. Sequence: it ends, is silent
/// for a while, and opens its inbox again. Cause: the link to its earlier start is used up.
#[googletest::test]
fn a_peer_that_is_back_is_reached_again() {
    let (_, net) = open();
    let address = free_address();
    let first = inbox(address);
    net.send(address, Body::News(News::default()));
    first.recv().unwrap();
    first.close();
    for _ in 0..10 {
        net.send(address, Body::News(News::default()));
        thread::sleep(Duration::from_millis(5));
    }

    let second = inbox(address);
    let over = Arc::new(AtomicBool::new(false));
    let (ended, sender) = (over.clone(), net.clone());
    let sending = thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            sender.send(address, Body::News(News::default()));
            thread::sleep(Duration::from_millis(5));
        }
    });
    let heard = second.recv();
    over.store(true, Ordering::Relaxed);
    sending.join().unwrap();

    expect_that!(heard.is_ok(), eq(true));
}

/// Symptom: a process does not end, or a thread stands still for good. Sequence: the last owner of
/// a link lets go of it just as its connection comes about. Cause: the library's own thread closed
/// the socket, and waited for itself.
#[googletest::test]
fn links_that_are_let_go_while_they_connect_do_not_stand_still() {
    let address = free_address();
    let peer = inbox(address);
    let (done, ended) = std::sync::mpsc::channel();
    let opening = thread::spawn(move || {
        for turn in 0..300u64 {
            let (_, net) = open();
            net.send(address, Body::News(News::default()));
            thread::sleep(Duration::from_micros(turn % 10 * 50));
            drop(net);
        }
        done.send(()).unwrap();
    });

    let in_time = ended.recv_timeout(WITHIN);

    expect_that!(in_time.is_ok(), eq(true));
    opening.join().unwrap();
    peer.close();
}
