//! Members of the log, as far as coordinators do something about them.

use crate::core::Core;
use bn_quorum::{Change, JoinAsk, Reason};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

impl Core {
    pub(crate) fn on_join_ask(&mut self, inbox: SocketAddr, ask: &wire::JoinAsk) {
        let ask = JoinAsk {
            id: inbox.ip().to_string(),
            address: inbox.to_string(),
            identity: ask.identity,
        };
        self.members.on_ask(&self.quorum, ask);
    }

    /// Asks to be a member where it is none; as the leader, changes who is one.
    pub(crate) fn keep_members(&mut self, now: Duration) {
        let turn = self.members.turn(now, &mut self.quorum);
        if let Some(change) = turn.change {
            self.note_change(&change);
        }
        if let Some(ask) = turn.ask {
            let identity = ask.identity;
            for inbox in self.others() {
                self.net
                    .send(inbox, Body::JoinAsk(wire::JoinAsk { identity }));
            }
        }
    }

    fn note_change(&self, change: &Change) {
        let why = |reason: &Reason| match reason {
            Reason::Emptied => "emptied",
            Reason::Away => "away",
        };
        match change {
            Change::Added(id) => self.lines.put("member_added", json!({ "id": id })),
            Change::Removed(id, reason) => {
                let fields = json!({ "id": id, "why": why(reason) });
                self.lines.put("member_removed", fields);
            }
        }
    }
}
