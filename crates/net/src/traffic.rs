//! Messages and bytes exchanged with peers, counted by message kind and role of the peer. Only
//! these counts show traffic that grows faster than the number of peers.

use bn_wire::messages::Role;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// What happened to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Disposition {
    /// Queued for the peer.
    Sent,
    /// Not queued, because the link was full.
    Refused,
    /// Delivered to this process.
    Received,
    /// Received, but dropped because this process's queue was full.
    Dropped,
}

/// Key of a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Flow {
    /// What happened to the messages.
    pub disposition: Disposition,
    /// Kind of message.
    pub kind: &'static str,
    /// Role of the peer; `None` until a message from it was received.
    pub peer: Option<Role>,
}

/// Counts since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes, without transport overhead.
    pub bytes: u64,
}

/// All counters of a process.
#[derive(Debug, Clone, Default)]
pub(crate) struct Traffic {
    tallies: IndexMap<Flow, Tally>,
    roles: IndexMap<SocketAddr, Role>,
}

impl Traffic {
    pub(crate) fn set_role(&mut self, peer: SocketAddr, role: Role) {
        self.roles.insert(peer, role);
    }

    pub(crate) fn count_sent(
        &mut self,
        disposition: Disposition,
        kind: &'static str,
        to: SocketAddr,
        bytes: usize,
    ) {
        let peer = self.roles.get(&to).copied();
        self.add(
            Flow {
                disposition,
                kind,
                peer,
            },
            bytes,
        );
    }

    pub(crate) fn count_received(
        &mut self,
        disposition: Disposition,
        kind: &'static str,
        from: Role,
        bytes: usize,
    ) {
        let peer = Some(from);
        self.add(
            Flow {
                disposition,
                kind,
                peer,
            },
            bytes,
        );
    }

    pub(crate) fn tallies(&self) -> Vec<(Flow, Tally)> {
        self.tallies.iter().map(|(f, t)| (*f, *t)).collect()
    }

    fn add(&mut self, flow: Flow, bytes: usize) {
        let tally = self.tallies.entry(flow).or_default();
        tally.messages += 1;
        tally.bytes += bytes as u64;
    }
}

impl Disposition {
    /// Label in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Disposition::Sent => "sent",
            Disposition::Refused => "refused",
            Disposition::Received => "received",
            Disposition::Dropped => "lost",
        }
    }
}

impl Flow {
    /// Label of the peer's role in metrics and log lines.
    pub fn peer_name(&self) -> &'static str {
        match self.peer {
            None => "unheard",
            Some(Role::Node) => "node",
            Some(Role::Gateway) => "gateway",
            Some(Role::Coordinator) => "coordinator",
            Some(Role::Relay) => "relay",
        }
    }
}
