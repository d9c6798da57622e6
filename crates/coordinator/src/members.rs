//! Who keeps the log: coordinators that are new or came back with an empty disk join as
//! learners; voters that stay away are replaced once enough others vote.

use crate::core::Core;
use bn_quorum::Role;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use indexmap::IndexMap;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two asks to be taken in.
const JOIN_GAP: Duration = Duration::from_millis(400);
/// A member that was silent for this long may be removed; a restart takes a few seconds.
const AWAY: Duration = Duration::from_secs(6);

/// What the upkeep remembers between turns.
#[derive(Default)]
pub(crate) struct Upkeep {
    due: Duration,
    /// Coordinators that asked to join: inbox by id.
    asked: IndexMap<String, SocketAddr>,
    /// Members that are silent, since when.
    silent: IndexMap<String, Duration>,
}

impl Core {
    pub(crate) fn on_join_ask(&mut self, inbox: SocketAddr, ask: &wire::JoinAsk) {
        let id = inbox.ip().to_string();
        let known = self.quorum.members().get(&id);
        let same = known.is_some_and(|m| m.identity == 0 || m.identity == ask.identity);
        if !same {
            self.members.asked.insert(id, inbox);
        }
    }

    /// One change at a time, by the leader; asks to join, by everybody else.
    pub(crate) fn keep_members(&mut self, now: Duration) {
        if self.quorum.role() == Role::Leader {
            self.change_members(now);
            return;
        }
        self.members.silent.clear();
        self.members.asked.clear();
        let me = self.quorum.members().get(self.quorum.id());
        let member = me.is_some_and(|m| m.identity == 0 || m.identity == self.identity());
        if member || now < self.members.due {
            return;
        }
        self.members.due = now + JOIN_GAP;
        let identity = self.identity();
        for inbox in self.others() {
            self.net
                .send(inbox, Body::JoinAsk(wire::JoinAsk { identity }));
        }
    }

    fn change_members(&mut self, now: Duration) {
        self.note_silent(now);
        if let Some((id, why)) = self.to_remove(now) {
            if self.quorum.remove(&id).is_ok() {
                self.members.silent.shift_remove(&id);
                self.lines
                    .put("member_removed", json!({ "id": id, "why": why }));
            }
            return;
        }
        let members = self.quorum.members();
        self.members.asked.retain(|id, _| !members.contains_key(id));
        let next = self.members.asked.first();
        if let Some((id, inbox)) = next.map(|(id, inbox)| (id.clone(), *inbox))
            && self.quorum.add(&id, &inbox.to_string()).is_ok()
        {
            self.lines.put("member_added", json!({ "id": id }));
        }
    }

    fn note_silent(&mut self, now: Duration) {
        let standings = self.quorum.standings();
        let silent: Vec<_> = standings.iter().filter(|s| s.silent).collect();
        let is_silent = |id: &String| silent.iter().any(|s| s.id == *id);
        self.members.silent.retain(|id, _| is_silent(id));
        for standing in silent {
            let since = self.members.silent.entry(standing.id.clone());
            since.or_insert(now);
        }
    }

    /// A member whose disk was emptied is removed at once and joins anew: as the old
    /// voter it could forget what it had acknowledged. One that stays away is removed
    /// only while the others still bear as many losses as they must.
    fn to_remove(&self, now: Duration) -> Option<(String, &'static str)> {
        let standings = self.quorum.standings();
        if let Some(emptied) = standings.iter().find(|s| !s.genuine) {
            return Some((emptied.id.clone(), "emptied"));
        }
        let members = self.quorum.members();
        let voters = members.values().filter(|m| m.voter).count();
        let spare = voters > 2 * self.losses as usize + 1;
        let away = |(id, since): (&String, &Duration)| {
            let voter = members.get(id)?.voter;
            (now >= *since + AWAY && (spare || !voter)).then(|| id.clone())
        };
        let gone = self.members.silent.iter().find_map(away);
        gone.map(|id| (id, "away"))
    }
}
