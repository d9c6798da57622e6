//! What a process exchanges with others, counted by kind of message and by the role of the peer: what
//! grows faster than the number of peers shows nowhere else.

use bn_wire::messages::Role;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// What became of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Disposition {
    /// Queued for its peer.
    Sent,
    /// Not queued, since the link was full.
    Refused,
    /// Handed to this process.
    Received,
    /// Received, but this process had no room for it.
    Dropped,
}

/// Messages that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Flow {
    /// What became of them.
    pub disposition: Disposition,
    /// Kind of message.
    pub kind: &'static str,
    /// Role of the peer; none until it was heard of.
    pub peer: Option<Role>,
}

/// How many they are, since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Messages.
    pub messages: u64,
    /// Bytes of them, without what the transport adds.
    pub bytes: u64,
}

/// All counts of a process.
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
    /// Its name on the metrics page and in lines.
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
    /// Name of the peer's role.
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
