//! Operator commands at the leader: accepted when committed, in force when every lease holder acts
//! on them.

use super::{Control, remaining_ms};
use bn_query::{Statement, Table, select};
use bn_state::{Command, LEADER_OPERATOR};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Outcome, Proposal};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// A proposal without an outcome yet.
struct PendingProposal {
    /// Index in the log, then the revision at which it was accepted.
    index: u64,
    call: u64,
    inbox: SocketAddr,
    accepted: bool,
}

/// Proposals whose senders wait for an outcome. A leader that steps down drops them: the sender
/// retries, and the number and token determine the outcome.
#[derive(Default)]
pub(crate) struct Proposals(Vec<PendingProposal>);

impl Proposals {
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}

impl Control {
    pub(super) fn on_proposal(&mut self, inbox: SocketAddr, proposal: Proposal) {
        let (call, now) = (proposal.call, self.now());
        let Some(raw) = proposal.command else { return };
        if !self.replica.holds_lease(now) {
            return self.reply(
                inbox,
                Outcome {
                    call,
                    redirect: true,
                    ..Outcome::default()
                },
            );
        }
        let command = Command::from(raw);
        if command.operator == LEADER_OPERATOR {
            let reason = format!("operator {LEADER_OPERATOR:?} is the leader itself");
            return self.refuse(inbox, call, reason);
        }
        if let Some(outcome) = self.leader_query(&command.text) {
            let (table, reason) = match outcome {
                Ok(table) => (table, String::new()),
                Err(reason) => (String::new(), reason),
            };
            let accepted = reason.is_empty();
            let outcome = Outcome {
                call,
                accepted,
                in_force: true,
                reason,
                table,
                ..Outcome::default()
            };
            return self.reply(inbox, outcome);
        }
        match self.state.prior_outcome(&command) {
            Some(Ok(index)) => self.proposals.0.push(PendingProposal {
                index,
                call,
                inbox,
                accepted: true,
            }),
            Some(Err(refusal)) => self.refuse(inbox, call, refusal.to_string()),
            None => {
                let bytes = wire::Command::from(&command).encode_to_vec();
                match self.replica.propose(bytes) {
                    Ok(index) => self.proposals.0.push(PendingProposal {
                        index,
                        call,
                        inbox,
                        accepted: false,
                    }),
                    Err(_) => {
                        self.reply(
                            inbox,
                            Outcome {
                                call,
                                redirect: true,
                                ..Outcome::default()
                            },
                        );
                    }
                }
            }
        }
    }

    /// Completes the proposals of the entry at `index`, which was applied with this outcome.
    pub(super) fn complete_proposals(&mut self, index: u64, outcome: &bn_state::Result<u64>) {
        metrics::counter!("commands", "accepted" => outcome.is_ok().to_string()).increment(1);
        let matches = |p: &PendingProposal| p.index == index && !p.accepted;
        match outcome {
            Ok(revision) => {
                for proposal in self.proposals.0.iter_mut().filter(|p| matches(p)) {
                    (proposal.accepted, proposal.index) = (true, *revision);
                }
                self.common
                    .events
                    .note("accepted", format!("revision {index}"));
                self.push_revision();
            }
            Err(refusal) => {
                let rejected: Vec<_> = self
                    .proposals
                    .0
                    .iter()
                    .filter(|p| matches(p))
                    .map(|p| (p.inbox, p.call))
                    .collect();
                self.proposals.0.retain(|p| !matches(p));
                for (inbox, call) in rejected {
                    self.refuse(inbox, call, refusal.to_string());
                }
            }
        }
    }

    /// Answers the proposals that are now in force.
    pub(super) fn answer_in_force(&mut self, now: Duration) {
        let (in_force, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.proposals.0)
            .into_iter()
            .partition(|p| p.accepted && self.leases.in_force(now, p.index));
        self.proposals.0 = open;
        for p in in_force {
            let outcome = Outcome {
                call: p.call,
                accepted: true,
                in_force: true,
                revision: p.index,
                ..Outcome::default()
            };
            self.reply(p.inbox, outcome);
        }
    }

    fn refuse(&self, inbox: SocketAddr, call: u64, reason: String) {
        self.reply(
            inbox,
            Outcome {
                call,
                in_force: true,
                reason,
                ..Outcome::default()
            },
        );
    }

    fn reply(&self, inbox: SocketAddr, outcome: Outcome) {
        self.common.net.send(inbox, Body::Outcome(outcome));
    }

    /// Answers `show members` and `show leases`, which only the leader knows.
    fn leader_query(&self, text: &str) -> Option<Result<String, String>> {
        let statements = bn_query::parse(text).ok()?;
        let [Statement::Show(show)] = &statements[..] else {
            return None;
        };
        let table = match show.table.as_str() {
            "members" => self.members_table(),
            "leases" => self.leases_table(),
            _ => return Some(Err(format!("there is no table {:?}", show.table))),
        };
        let selected = select(show, table).map_err(|e| e.to_string());
        Some(selected.map(|t| crate::entry::table_json(&t)))
    }

    fn leases_table(&self) -> Table {
        let mut t = Table::new(&["entry", "lease_ms", "revision", "leaving"]);
        t.rows
            .extend(self.leases.rows().map(|(id, until, acked, leaving)| {
                let left = remaining_ms(&self.common.clock, until);
                vec![
                    id.clone().into(),
                    left.into(),
                    (acked as f64).into(),
                    leaving.into(),
                ]
            }));
        t
    }
}
