//! Who keeps the log: whoever does not vote becomes a learner, and each learner votes as soon as it
//! holds everything.
//!
//! A voter that stays away, or comes back with an empty disk, is made a learner, not removed: the
//! leader goes on sending to it, so that it counts again a moment after it is back, and it cannot
//! come back to a system that does not know it. One that was dropped all the same finds out by
//! silence: whoever hears no leader asks to be taken in, member or not by its own log, and whoever is
//! asked hands that on to the leader.

use crate::model::{MemberId, Role};
use crate::replica::Quorum;
use indexmap::IndexMap;
use std::time::Duration;

/// Between two asks to be taken in.
const ASK_GAP: Duration = Duration::from_millis(400);
/// A replica that has heard no leader for so long asks to be taken in: two elections, so that those
/// whose leader ended rather elect another.
const UNHEARD: Duration = Duration::from_millis(900);
/// A voter that was silent for this long counts no more; a restart takes a few seconds.
const AWAY: Duration = Duration::from_secs(6);
/// A learner that was silent for this long is dropped: instances that are replaced at another address
/// never come back, and each costs the leader its heartbeats.
const GONE: Duration = Duration::from_secs(120);

/// A replica asks to be a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoinAsk {
    /// Who asks.
    pub id: MemberId,
    /// Where its messages go.
    pub address: String,
    /// The number that its data folder has now.
    pub identity: u64,
    /// It comes from a replica that was asked.
    pub handed: bool,
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
    /// A voter is a learner now.
    Demoted(MemberId, Reason),
    /// A learner is no member any more.
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

    /// Notes an ask where this replica leads; else returns to whom it has to be handed on. Only a
    /// leader can take the asker in, and one with an empty disk may not know who leads.
    pub fn on_ask(&mut self, quorum: &Quorum, ask: JoinAsk) -> Option<(MemberId, JoinAsk)> {
        if quorum.role() == Role::Leader {
            if !quorum.members().contains_key(&ask.id) {
                self.asked.insert(ask.id, ask.address);
            }
            return None;
        }
        let leader = quorum.leader().filter(|l| !ask.handed && **l != ask.id)?;
        let handed = JoinAsk {
            handed: true,
            ..ask
        };
        Some((leader.clone(), handed))
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
        let unheard = now >= quorum.heard + UNHEARD;
        if (quorum.is_member() && !unheard) || now < self.due {
            return None;
        }
        self.due = now + ASK_GAP;
        Some(JoinAsk {
            id: quorum.id().clone(),
            address: self.address.clone(),
            identity: quorum.setup.identity,
            handed: false,
        })
    }

    fn change(&mut self, now: Duration, quorum: &mut Quorum) -> Option<Change> {
        self.note_silent(now, quorum);
        if let Some((id, why)) = self.to_demote(now, quorum) {
            quorum.demote(&id).ok()?;
            return Some(Change::Demoted(id, why));
        }
        if let Some(id) = self.to_drop(now, quorum) {
            quorum.remove(&id).ok()?;
            return Some(Change::Removed(id, Reason::Away));
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

    /// A voter whose disk was emptied is a learner at once: as the old voter it could forget what
    /// it had acknowledged. One that stays away is made one only while the others still bear as many
    /// losses as they must.
    fn to_demote(&self, now: Duration, quorum: &Quorum) -> Option<(MemberId, Reason)> {
        let standings = quorum.standings();
        if let Some(emptied) = standings.iter().find(|s| !s.genuine) {
            return Some((emptied.id.clone(), Reason::Emptied));
        }
        let voters = quorum.members().values().filter(|m| m.voter).count();
        if voters <= 2 * self.losses + 1 {
            return None;
        }
        let away = self.silent_for(now, AWAY, quorum, true);
        away.map(|id| (id, Reason::Away))
    }

    fn to_drop(&self, now: Duration, quorum: &Quorum) -> Option<MemberId> {
        self.silent_for(now, GONE, quorum, false)
    }

    /// A voter, or a learner, that has been silent for so long.
    fn silent_for(
        &self,
        now: Duration,
        time: Duration,
        quorum: &Quorum,
        voter: bool,
    ) -> Option<MemberId> {
        let votes = |id| quorum.members().get(id).is_some_and(|m| m.voter);
        let mut silent = self.silent.iter();
        let found = silent.find(|(id, since)| now >= **since + time && votes(*id) == voter);
        found.map(|(id, _)| id.clone())
    }
}
