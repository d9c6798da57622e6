//! Members of the log: join requests, changes of voters, and the list of known coordinators.

use crate::core::Core;
use bn_quorum::{Change, ChangeReason, JoinRequest};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use indexmap::IndexSet;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of reported coordinators that are kept, the latest ones: at most 15 instances may be set
/// aside for the control of a deployment.
const MAX_COORDINATORS: usize = 32;
/// Longest wait until a coordinator that is told to end no longer votes: enough to elect a leader and
/// commit two entries, and well within the time that a process is given to end.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

impl Core {
    pub(crate) fn on_join_request(&mut self, from: SocketAddr, request: &wire::JoinAsk) {
        let forwarded = !request.inbox.is_empty();
        let inbox = if forwarded {
            request.inbox.parse()
        } else {
            Ok(from)
        };
        let Ok(inbox) = inbox else {
            return log::warn!("join request without a valid address: {}", request.inbox);
        };
        let request = JoinRequest {
            id: inbox.ip().to_string(),
            address: inbox.to_string(),
            identity: request.identity,
            forwarded,
            leaving: request.leaving,
        };
        let now = self.now();
        if let Some((leader, request)) = self.members.on_join_request(now, &self.quorum, request)
            && let Ok(ip) = leader.parse()
        {
            let request = wire::JoinAsk {
                identity: request.identity,
                inbox: request.address,
                leaving: request.leaving,
            };
            let to = SocketAddr::new(ip, self.inbox.port());
            self.net.send(to, Body::JoinAsk(request));
        }
    }

    /// Records the coordinators that another one reports. A coordinator with an empty disk knows
    /// only three from its settings, and all of these may be absent.
    pub(crate) fn record_coordinators(&mut self, reported: &[String]) {
        for inbox in reported.iter().filter_map(|a| a.parse().ok()) {
            if self.coordinators.insert(inbox) && self.coordinators.len() > MAX_COORDINATORS {
                self.coordinators.shift_remove_index(0);
            }
        }
    }

    /// Starts to leave the log, as this process is told to end.
    pub(crate) fn start_leaving(&mut self) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(self.now());
            self.members.leave();
            self.lines
                .put("leaving", json!({ "votes": self.quorum.votes() }));
        }
    }

    /// Whether this process may end: it was told to, and does not vote any more, or has waited for
    /// that as long as it may.
    pub(crate) fn may_end(&self, now: Duration) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let left = self.members.may_end(&self.quorum);
        let ends = left || now >= since + LEAVE_TIMEOUT;
        if ends {
            let waited = (now - since).as_millis() as u64;
            self.lines
                .put("left", json!({ "waited_ms": waited, "in_time": left }));
        }
        ends
    }

    /// Sends join requests if no leader is known; as the leader, changes the voters.
    pub(crate) fn update_membership(&mut self, now: Duration) {
        let output = self.members.tick(now, &mut self.quorum);
        if let Some(change) = output.change {
            self.log_change(&change);
        }
        self.log_voting();
        self.log_lost_identities();
        let Some(request) = output.join_request else {
            return;
        };
        let request = wire::JoinAsk {
            identity: request.identity,
            leaving: request.leaving,
            ..wire::JoinAsk::default()
        };
        let mut known: IndexSet<SocketAddr> = self.others().into_iter().collect();
        known.extend(self.coordinators.iter().filter(|a| **a != self.inbox));
        for inbox in known {
            self.net.send(inbox, Body::JoinAsk(request.clone()));
        }
    }

    /// A log with fewer voters than coordinators tolerates fewer losses: operators are shown which
    /// ones do not vote.
    fn log_voting(&mut self) {
        let members = self.quorum.members();
        let votes = self.quorum.votes();
        if self.voting == Some(votes) {
            return;
        }
        self.voting = Some(votes);
        metrics::gauge!("log_voter").set(f64::from(u8::from(votes)));
        let voters = members.values().filter(|m| m.voter).count();
        self.lines
            .put("voting", json!({ "votes": votes, "voters": voters }));
    }

    /// A quorum may leave out a voter whose disk was emptied: operators are shown which.
    fn log_lost_identities(&mut self) {
        let lost = self.quorum.lost_identities();
        let new = lost
            .iter()
            .filter(|(id, identity)| self.lost.get(*id) != Some(*identity));
        for (id, identity) in new {
            let fields = json!({
                "id": id, "identity": format!("{identity:016x}"), "term": self.quorum.term(),
            });
            self.lines.put("voter_emptied", fields);
        }
        if self.lost != *lost {
            self.lost = lost.clone();
        }
    }

    /// The members of the log as this coordinator knows them, and whether that is current.
    pub(crate) fn show_members(&self) -> String {
        let members = self.quorum.members().iter();
        let rows = members.map(|(id, m)| json!({ "id": id, "votes": m.voter }));
        json!({
            "members": rows.collect::<Vec<_>>(), "leader": self.quorum.leader(),
            "term": self.quorum.term(), "current": self.current, "version": self.committed.version,
        })
        .to_string()
    }

    fn log_change(&self, change: &Change) {
        let reason_name = |reason: &ChangeReason| match reason {
            ChangeReason::IdentityChanged => "emptied",
            ChangeReason::Absent => "away",
            ChangeReason::Leaving => "leaving",
        };
        match change {
            Change::Added(id) => self.lines.put("member_added", json!({ "id": id })),
            Change::Demoted(id, reason) => {
                let fields = json!({ "id": id, "why": reason_name(reason) });
                self.lines.put("member_demoted", fields);
            }
            Change::Removed(id, reason) => {
                let fields = json!({ "id": id, "why": reason_name(reason) });
                self.lines.put("member_removed", fields);
            }
        }
    }
}
