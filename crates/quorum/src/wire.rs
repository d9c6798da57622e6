//! Conversions between the log's types and those of the wire schema.

use crate::model::{Entry, HardState, Kind, Member, Members, Message, Payload, Snapshot};
use bn_wire::messages as wire;
use bn_wire::messages::log_entry;
use bn_wire::messages::quorum::Kind as WireKind;
use snafu::{OptionExt, Snafu};

/// A wire message without a required part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the message has no content"))]
pub struct Incomplete;

impl From<&HardState> for wire::HardState {
    fn from(h: &HardState) -> Self {
        wire::HardState {
            term: h.term,
            vote: h.vote.clone().unwrap_or_default(),
        }
    }
}

impl From<wire::HardState> for HardState {
    fn from(h: wire::HardState) -> Self {
        HardState {
            term: h.term,
            vote: (!h.vote.is_empty()).then_some(h.vote),
        }
    }
}

impl From<&Entry> for wire::LogEntry {
    fn from(e: &Entry) -> Self {
        let kind = match &e.payload {
            Payload::Empty => log_entry::Kind::Empty(true),
            Payload::Command(c) => log_entry::Kind::Command(c.clone()),
            Payload::Members(m) => log_entry::Kind::Members(members_to_wire(m)),
        };
        wire::LogEntry {
            index: e.index,
            term: e.term,
            kind: Some(kind),
        }
    }
}

impl TryFrom<wire::LogEntry> for Entry {
    type Error = Incomplete;

    fn try_from(e: wire::LogEntry) -> Result<Self, Incomplete> {
        let payload = match e.kind.context(IncompleteSnafu)? {
            log_entry::Kind::Empty(_) => Payload::Empty,
            log_entry::Kind::Command(c) => Payload::Command(c),
            log_entry::Kind::Members(m) => Payload::Members(members_from_wire(m)),
        };
        Ok(Entry {
            index: e.index,
            term: e.term,
            payload,
        })
    }
}

impl From<&Snapshot> for wire::Snapshot {
    fn from(s: &Snapshot) -> Self {
        wire::Snapshot {
            index: s.index,
            term: s.term,
            members: Some(members_to_wire(&s.members)),
            state: s.state.clone(),
        }
    }
}

impl From<wire::Snapshot> for Snapshot {
    fn from(s: wire::Snapshot) -> Self {
        let members = s.members.map(members_from_wire).unwrap_or_default();
        Snapshot {
            index: s.index,
            term: s.term,
            members,
            state: s.state,
        }
    }
}

impl From<&Message> for wire::Quorum {
    fn from(m: &Message) -> Self {
        let kind = match &m.kind {
            Kind::VoteRequest {
                pre_vote,
                last_index,
                last_term,
            } => WireKind::VoteAsk(wire::VoteAsk {
                trial: *pre_vote,
                last_index: *last_index,
                last_term: *last_term,
            }),
            Kind::VoteResponse { pre_vote, granted } => WireKind::VoteAnswer(wire::VoteAnswer {
                trial: *pre_vote,
                granted: *granted,
            }),
            Kind::AppendRequest {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => WireKind::AppendAsk(wire::AppendAsk {
                prev_index: *prev_index,
                prev_term: *prev_term,
                entries: entries.iter().map(Into::into).collect(),
                commit: *commit,
                round: *round,
            }),
            Kind::AppendResponse {
                accepted,
                index,
                round,
            } => {
                let (accepted, index, round) = (*accepted, *index, *round);
                WireKind::AppendAnswer(wire::AppendAnswer {
                    accepted,
                    index,
                    round,
                })
            }
            Kind::Snapshot(s) => WireKind::Snapshot(s.into()),
        };
        wire::Quorum {
            term: m.term,
            identity: m.identity,
            kind: Some(kind),
        }
    }
}

impl TryFrom<wire::Quorum> for Message {
    type Error = Incomplete;

    fn try_from(m: wire::Quorum) -> Result<Self, Incomplete> {
        let kind = match m.kind.context(IncompleteSnafu)? {
            WireKind::VoteAsk(v) => Kind::VoteRequest {
                pre_vote: v.trial,
                last_index: v.last_index,
                last_term: v.last_term,
            },
            WireKind::VoteAnswer(v) => Kind::VoteResponse {
                pre_vote: v.trial,
                granted: v.granted,
            },
            WireKind::AppendAsk(a) => Kind::AppendRequest {
                prev_index: a.prev_index,
                prev_term: a.prev_term,
                entries: a
                    .entries
                    .into_iter()
                    .map(TryInto::try_into)
                    .collect::<Result<_, _>>()?,
                commit: a.commit,
                round: a.round,
            },
            WireKind::AppendAnswer(a) => Kind::AppendResponse {
                accepted: a.accepted,
                index: a.index,
                round: a.round,
            },
            WireKind::Snapshot(s) => Kind::Snapshot(s.into()),
        };
        Ok(Message {
            term: m.term,
            identity: m.identity,
            kind,
        })
    }
}

fn members_to_wire(members: &Members) -> wire::Members {
    let member = |(id, m): (&String, &Member)| wire::Member {
        id: id.clone(),
        identity: m.identity,
        inbox: m.address.clone(),
        voter: m.voter,
    };
    wire::Members {
        members: members.iter().map(member).collect(),
        losses: members.losses as u32,
    }
}

fn members_from_wire(members: wire::Members) -> Members {
    let member = |m: wire::Member| {
        (
            m.id,
            Member {
                identity: m.identity,
                address: m.inbox,
                voter: m.voter,
            },
        )
    };
    let list = members.members.into_iter().map(member).collect();
    Members::new(list, members.losses as usize)
}
