//! Who keeps the log: replicas that are new or came back with an empty disk join as learners;
//! voters that stay away are replaced once enough others vote.

use crate::model::{MemberId, Role};
use crate::step::Quorum;
use indexmap::IndexMap;
use std::time::Duration;

/// Between two asks to be taken in.
const ASK_GAP: Duration = Duration::from_millis(400);
/// A member that was silent for this long may be removed; a restart takes a few seconds.
const AWAY: Duration = Duration::from_secs(6);

/// A replica asks to be a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoinAsk {
    /// Who asks.
    pub id: MemberId,
    /// Where its messages go.
    pub address: String,
    /// The number that its data folder has now.
    pub identity: u64,
}

/// Why a member no longer votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its disk is not the one that is counted on.
    Emptied,
    /// It has been silent for long.
    Away,
}

/// A change of members that the leader began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// One that asked is a learner now.
    Added(MemberId),
    /// One is no member any more.
    Removed(MemberId, Reason),
}

/// What to do after a turn.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Turn {
    /// To be sent to all replicas that this one knows of.
    pub ask: Option<JoinAsk>,
    /// A change that this leader has begun.
    pub change: Option<Change>,
}

/// What one replica remembers between turns about who should be a member.
#[derive(Debug, Clone, Default)]
pub struct Upkeep {
    /// Losses that the log has to bear at once.
    losses: usize,
    /// Where this replica's messages go.
    address: String,
    due: Duration,
    /// Address of each replica that asked to join.
    asked: IndexMap<MemberId, String>,
    /// Members that are silent, since when.
    silent: IndexMap<MemberId, Duration>,
}

impl Upkeep {
    /// Of the replica at `address`, for a log that has to bear so many losses at once.
    pub fn new(address: &str, losses: usize) -> Upkeep {
        Upkeep {
            losses,
            address: address.into(),
            ..Upkeep::default()
        }
    }

    /// Notes an ask; returns whom it has to be handed on to.
    pub fn on_ask(&mut self, quorum: &Quorum, ask: JoinAsk) -> Option<(MemberId, JoinAsk)> {
        let known = quorum.members().get(&ask.id);
        let same = known.is_some_and(|m| m.identity == 0 || m.identity == ask.identity);
        if !same {
            self.asked.insert(ask.id, ask.address);
        }
        None
    }

    /// One change at a time, by the leader; asks to join, by everybody else.
    pub fn turn(&mut self, now: Duration, quorum: &mut Quorum) -> Turn {
        if quorum.role() == Role::Leader {
            let change = self.change(now, quorum);
            return Turn { ask: None, change };
        }
        self.silent.clear();
        self.asked.clear();
        Turn {
            ask: self.own_ask(now, quorum),
            change: None,
        }
    }

    fn own_ask(&mut self, now: Duration, quorum: &Quorum) -> Option<JoinAsk> {
        if quorum.is_member() || now < self.due {
            return None;
        }
        self.due = now + ASK_GAP;
        Some(JoinAsk {
            id: quorum.id().clone(),
            address: self.address.clone(),
            identity: quorum.setup.identity,
        })
    }

    fn change(&mut self, now: Duration, quorum: &mut Quorum) -> Option<Change> {
        self.note_silent(now, quorum);
        if let Some((id, why)) = self.to_remove(now, quorum) {
            quorum.remove(&id).ok()?;
            self.silent.shift_remove(&id);
            return Some(Change::Removed(id, why));
        }
        let members = quorum.members();
        self.asked.retain(|id, _| !members.contains_key(id));
        let (id, address) = self.asked.first()?;
        quorum.add(id, address).ok()?;
        Some(Change::Added(id.clone()))
    }

    fn note_silent(&mut self, now: Duration, quorum: &Quorum) {
        let standings = quorum.standings();
        let silent: Vec<_> = standings.iter().filter(|s| s.silent).collect();
        let is_silent = |id: &MemberId| silent.iter().any(|s| s.id == *id);
        self.silent.retain(|id, _| is_silent(id));
        for standing in silent {
            let since = self.silent.entry(standing.id.clone());
            since.or_insert(now);
        }
    }

    /// A member whose disk was emptied is removed at once and joins anew: as the old
    /// voter it could forget what it had acknowledged. One that stays away is removed
    /// only while the others still bear as many losses as they must.
    fn to_remove(&self, now: Duration, quorum: &Quorum) -> Option<(MemberId, Reason)> {
        let standings = quorum.standings();
        if let Some(emptied) = standings.iter().find(|s| !s.genuine) {
            return Some((emptied.id.clone(), Reason::Emptied));
        }
        let members = quorum.members();
        let voters = members.values().filter(|m| m.voter).count();
        let spare = voters > 2 * self.losses + 1;
        let away = |(id, since): (&MemberId, &Duration)| {
            let voter = members.get(id)?.voter;
            (now >= *since + AWAY && (spare || !voter)).then(|| id.clone())
        };
        let gone = self.silent.iter().find_map(away);
        gone.map(|id| (id, Reason::Away))
    }
}
