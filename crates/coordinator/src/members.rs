//! Members of the log: join requests, changes of voters, and the list of known coordinators.

use crate::core::Core;
use bn_quorum::{Change, ChangeReason, JoinRequest};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use indexmap::IndexSet;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of coordinators reported by others that are remembered, the latest ones: at most 15 are
/// set aside.
const MOST_HEARD_OF: usize = 32;

impl Core {
    pub(crate) fn on_join_ask(&mut self, from: SocketAddr, ask: &wire::JoinAsk) {
        let handed = !ask.inbox.is_empty();
        let inbox = if handed { ask.inbox.parse() } else { Ok(from) };
        let Ok(inbox) = inbox else {
            return log::warn!("an ask to be a member names no address: {}", ask.inbox);
        };
        let ask = JoinRequest {
            id: inbox.ip().to_string(),
            address: inbox.to_string(),
            identity: ask.identity,
            forwarded: handed,
        };
        if let Some((leader, ask)) = self.members.on_join_request(&self.quorum, ask)
            && let Ok(ip) = leader.parse()
        {
            let ask = wire::JoinAsk {
                identity: ask.identity,
                inbox: ask.address,
            };
            let to = SocketAddr::new(ip, self.inbox.port());
            self.net.send(to, Body::JoinAsk(ask));
        }
    }

    /// Records the coordinators that another one reports. A coordinator with an empty disk knows
    /// only three from its settings, and all of these may be absent.
    pub(crate) fn note_coordinators(&mut self, named: &[String]) {
        for inbox in named.iter().filter_map(|a| a.parse().ok()) {
            if self.heard_of.insert(inbox) && self.heard_of.len() > MOST_HEARD_OF {
                self.heard_of.shift_remove_index(0);
            }
        }
    }

    /// Sends join requests if no leader is known; as the leader, changes the voters.
    pub(crate) fn keep_members(&mut self, now: Duration) {
        let turn = self.members.tick(now, &mut self.quorum);
        if let Some(change) = turn.change {
            self.note_change(&change);
        }
        self.note_voting();
        let Some(ask) = turn.join_request else {
            return;
        };
        let ask = wire::JoinAsk {
            identity: ask.identity,
            ..wire::JoinAsk::default()
        };
        let mut known: IndexSet<SocketAddr> = self.others().into_iter().collect();
        known.extend(self.heard_of.iter().filter(|a| **a != self.inbox));
        for inbox in known {
            self.net.send(inbox, Body::JoinAsk(ask.clone()));
        }
    }

    /// A log with fewer voters than coordinators tolerates fewer losses: operators are shown which
    /// ones do not vote.
    fn note_voting(&mut self) {
        let members = self.quorum.members();
        let me = members.get(self.quorum.id());
        let votes = self.quorum.is_member() && me.is_some_and(|m| m.voter);
        if self.voting == Some(votes) {
            return;
        }
        self.voting = Some(votes);
        metrics::gauge!("log_voter").set(f64::from(u8::from(votes)));
        let voters = members.values().filter(|m| m.voter).count();
        self.lines
            .put("voting", json!({ "votes": votes, "voters": voters }));
    }

    /// The members of the log as this coordinator knows them, and whether that is current.
    pub(crate) fn show_members(&self) -> String {
        let members = self.quorum.members().iter();
        let named = members.map(|(id, m)| json!({ "id": id, "votes": m.voter }));
        json!({
            "members": named.collect::<Vec<_>>(), "leader": self.quorum.leader(),
            "term": self.quorum.term(), "current": self.current, "version": self.settled.version,
        })
        .to_string()
    }

    fn note_change(&self, change: &Change) {
        let why = |reason: &ChangeReason| match reason {
            ChangeReason::IdentityChanged => "emptied",
            ChangeReason::Absent => "away",
        };
        match change {
            Change::Added(id) => self.lines.put("member_added", json!({ "id": id })),
            Change::Demoted(id, reason) => {
                let fields = json!({ "id": id, "why": why(reason) });
                self.lines.put("member_demoted", fields);
            }
            Change::Removed(id, reason) => {
                let fields = json!({ "id": id, "why": why(reason) });
                self.lines.put("member_removed", fields);
            }
        }
    }
}
