//! TCP proxy in front of a process's inbox that simulates network partitions. It takes the sender
//! of a connection from its first message and holds bytes back while the sender or the process is
//! cut off. Held bytes are delivered when the partition heals, as after a silent partition.

use bn_wire::messages::Envelope;
use prost::Message;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes that both ends exchange before the first message.
const HANDSHAKE_BYTES: usize = 8;
/// Length prefix of each message, big-endian.
const LENGTH_BYTES: usize = 8;

/// Processes whose messages are held back, by direction.
#[derive(Default)]
pub(crate) struct Partitions {
    pub(crate) senders: HashSet<String>,
    pub(crate) receivers: HashSet<String>,
    /// Senders and receivers between which messages are held back.
    pub(crate) pairs: HashSet<(String, String)>,
}

pub(crate) type SharedPartitions = Arc<Mutex<Partitions>>;

/// Forwards `listen` to `target`, the inbox of `owner`, until the test process exits.
pub(crate) fn start(
    owner: &str,
    listen: SocketAddr,
    target: SocketAddr,
    partitions: &SharedPartitions,
) {
    let listener = TcpListener::bind(listen).unwrap();
    let (owner, partitions) = (owner.to_string(), partitions.clone());
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (owner, partitions) = (owner.clone(), partitions.clone());
            thread::spawn(move || connect(&owner, client, target, &partitions));
        }
    });
}

fn connect(owner: &str, client: TcpStream, target: SocketAddr, partitions: &SharedPartitions) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(from), Ok(to)) = (server.try_clone(), client.try_clone()) else {
        return;
    };
    // Only the handshake is sent in this direction.
    thread::spawn(move || copy(from, to, |_| true));
    let (owner, partitions) = (owner.to_string(), partitions.clone());
    let mut sender: Option<String> = None;
    let mut received = Vec::new();
    copy(client, server, move |bytes| {
        if sender.is_none() {
            received.extend_from_slice(bytes);
            sender = first_sender(&received);
        }
        let partitions = partitions.lock().unwrap();
        // A process that is cut off can still send to itself.
        let to_itself = sender.as_ref().is_some_and(|s| *s == owner);
        let sender_blocked = sender
            .as_ref()
            .is_some_and(|s| partitions.senders.contains(s));
        let pair_blocked = sender
            .as_ref()
            .is_some_and(|s| partitions.pairs.contains(&(s.clone(), owner.clone())));
        to_itself || !(sender_blocked || pair_blocked || partitions.receivers.contains(&owner))
    });
}

/// Copies until one end closes; each chunk waits until `may_pass` returns true.
fn copy(mut from: TcpStream, mut to: TcpStream, mut may_pass: impl FnMut(&[u8]) -> bool) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(n) = from.read(&mut buffer) {
        if n == 0 {
            break;
        }
        let mut first = true;
        while !may_pass(if first { &buffer[..n] } else { &[] }) {
            first = false;
            thread::sleep(POLL_INTERVAL);
        }
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// Sender of the first message of a connection, once it is complete.
fn first_sender(bytes: &[u8]) -> Option<String> {
    let rest = bytes.get(HANDSHAKE_BYTES..)?;
    let length = u64::from_be_bytes(rest.get(..LENGTH_BYTES)?.try_into().ok()?) as usize;
    let message = rest.get(LENGTH_BYTES..LENGTH_BYTES + length)?;
    Envelope::decode(message).ok().map(|e| e.from)
}
