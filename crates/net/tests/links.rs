//! Links to peers that disconnect and restart.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod addresses;

use addresses::free_address;
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

/// Number of disconnects of peers while messages are sent to them.
const DISCONNECTS: usize = 16_000;
/// Threads that only use CPU time, so that the library's own threads are delayed.
const BUSY_THREADS: usize = 24;
/// Peers that disconnect concurrently, which makes a free coincide with a send more often.
const PEERS: usize = 32;
/// Interval between two messages; by then the earlier one is written and the queue empty.
const SEND_INTERVAL: Duration = Duration::from_micros(100);
const TIMEOUT: Duration = Duration::from_secs(20);

fn open() -> (SocketAddr, Net) {
    let address = free_address();
    let net = Net::start(Role::Node, "a", address, address, |_| true).unwrap();
    (address, net)
}

fn open_inbox(address: SocketAddr) -> Socket {
    let socket = Socket::new(Protocol::Sub0).unwrap();
    socket.set_opt::<Subscribe>(Vec::new()).unwrap();
    // The system may take a moment to release the port.
    let deadline = Instant::now() + TIMEOUT;
    while socket.listen(&format!("tcp://{address}")).is_err() {
        assert!(Instant::now() < deadline, "{address} is still in use");
        thread::sleep(Duration::from_millis(1));
    }
    socket
}

/// The SP protocol header that an inbox sends when a link connects, with the type of its socket.
const SP_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x21, 0, 0];

/// Accepts connections and closes each of them up to some hundred microseconds later, even in the
/// middle of a message.
fn accept_and_close_repeatedly(listener: &TcpListener) {
    for round in 0..DISCONNECTS / PEERS {
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(&SP_HEADER).unwrap();
        if round % 64 == 0 {
            // The link's SP header and the first bytes of a message.
            stream.read_exact(&mut [0; 16]).unwrap();
        }
        thread::sleep(Duration::from_micros(round as u64 % 8 * 100));
    }
}

fn open_process(inbox: SocketAddr, incarnation: u64) -> Net {
    Net::open("p", incarnation, inbox, free_address(), |_| ()).unwrap()
}

/// Accepts the next connection to an inbox and sends the SP header; `None` on timeout.
fn accept_connection(listener: &TcpListener) -> Option<std::net::TcpStream> {
    let deadline = Instant::now() + Duration::from_secs(5);
    listener.set_nonblocking(true).unwrap();
    while Instant::now() < deadline {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.write_all(&SP_HEADER).unwrap();
            return Some(stream);
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

/// Guards against a new leader that receives nothing from its group for ten seconds: its instance
/// restarted after a power loss, the relays' old connections to it still seemed open, and the first
/// answer of each relay was lost on one of them, since only a failed send closed such a connection.
#[googletest::test]
fn a_link_to_an_earlier_incarnation_of_a_peer_is_not_used() {
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    let inbox = peer.local_addr().unwrap();
    let address = free_address();
    let (received, incarnations) = std::sync::mpsc::channel();
    let net = Net::start(Role::Node, "a", address, address, move |e| {
        received.send(e.incarnation).is_ok()
    });
    let net = net.unwrap();
    let send_from_peer = |incarnation: u64| {
        let process = open_process(inbox, incarnation);
        process.send(address, Body::News(News::default()));
        let seen = incarnations.recv_timeout(TIMEOUT).unwrap();
        assert_eq!(seen, incarnation);
    };

    send_from_peer(1);
    net.send(inbox, Body::News(News::default()));
    // This connection stays open, and nothing reads from it.
    let earlier = accept_connection(&peer);
    send_from_peer(2);
    net.send(inbox, Body::News(News::default()));
    let later = accept_connection(&peer);

    expect_true!(earlier.is_some());
    expect_true!(later.is_some());
}

/// Guards against an abort with `pthread_mutex_lock: Invalid argument` while peers stop: a write to
/// a peer succeeds just as the connection closes, the messaging library puts the closed connection
/// back on its list of ready ones and frees it, and the next send to that peer uses it.
#[googletest::test]
fn sends_to_disconnecting_peers_do_not_abort() {
    let (_, net) = open();
    let stop = Arc::new(AtomicBool::new(false));
    let busy = (0..BUSY_THREADS).map(|_| stop.clone());
    let busy: Vec<_> = busy
        .map(|stop| thread::spawn(move || while !stop.load(Ordering::Relaxed) {}))
        .collect();
    let listeners: Vec<_> = (0..PEERS)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let senders: Vec<_> = listeners
        .iter()
        .map(|listener| {
            let (net, stop) = (net.clone(), stop.clone());
            let address = listener.local_addr().unwrap();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    net.send(address, Body::News(News::default()));
                    thread::sleep(SEND_INTERVAL);
                }
            })
        })
        .collect();
    let peers: Vec<_> = listeners
        .into_iter()
        .map(|l| thread::spawn(move || accept_and_close_repeatedly(&l)))
        .collect();

    let completed = peers.into_iter().all(|p| p.join().is_ok());
    stop.store(true, Ordering::Relaxed);
    let others = senders.into_iter().chain(busy);
    others.for_each(|t| t.join().unwrap());

    expect_true!(completed);
}

/// Guards against a restarted peer that receives nothing any more: it closes its inbox, is absent
/// for a while and opens the inbox again, but the link to its earlier incarnation no longer works.
#[googletest::test]
fn a_restarted_peer_is_reached_again() {
    let (_, net) = open();
    let address = free_address();
    let first = open_inbox(address);
    net.send(address, Body::News(News::default()));
    first.recv().unwrap();
    first.close();
    for _ in 0..10 {
        net.send(address, Body::News(News::default()));
        thread::sleep(Duration::from_millis(5));
    }

    let second = open_inbox(address);
    let stop = Arc::new(AtomicBool::new(false));
    let (stopped, sender) = (stop.clone(), net.clone());
    let sending = thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            sender.send(address, Body::News(News::default()));
            thread::sleep(Duration::from_millis(5));
        }
    });
    let received = second.recv();
    stop.store(true, Ordering::Relaxed);
    sending.join().unwrap();

    expect_that!(received.is_ok(), eq(true));
}

/// Guards against a deadlock of a thread, or a process that does not exit: the last reference to a
/// link was dropped just as its connection was established, and the messaging library's own thread
/// closed the socket and waited for itself.
#[googletest::test]
fn links_that_are_dropped_while_they_connect_do_not_deadlock() {
    let address = free_address();
    let peer = open_inbox(address);
    let (done, finished) = std::sync::mpsc::channel();
    let opening = thread::spawn(move || {
        for round in 0..300u64 {
            let (_, net) = open();
            net.send(address, Body::News(News::default()));
            thread::sleep(Duration::from_micros(round % 10 * 50));
            drop(net);
        }
        done.send(()).unwrap();
    });

    let in_time = finished.recv_timeout(TIMEOUT);

    expect_that!(in_time.is_ok(), eq(true));
    opening.join().unwrap();
    peer.close();
}
