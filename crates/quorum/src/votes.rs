//! Elections: a pre-vote that disturbs nobody, then a vote in a new term.

use crate::members::{genuine, needed};
use crate::model::{Index, Kind, Message, Role, Term};
use crate::replica::Quorum;
use std::time::Duration;

impl Quorum {
    /// Only a voter that the members know by its own identity campaigns.
    pub(crate) fn may_campaign(&self) -> bool {
        let me = self.members.get(&self.setup.id);
        self.is_member() && me.is_some_and(|m| m.voter)
    }

    pub(crate) fn campaign(&mut self, now: Duration, trial: bool) {
        let term = self.hard.term + 1;
        self.leader = None;
        self.role = if trial { Role::Trial } else { Role::Candidate };
        if !trial {
            self.set_hard(term, Some(self.setup.id.clone()));
        }
        self.votes = vec![self.setup.id.clone()];
        if now >= self.heard + self.silence() {
            self.campaigns = self.campaigns.saturating_add(1);
        }
        self.rest(now);
        let (last_index, last_term) = self.log.last();
        for id in self.other_voters() {
            let kind = Kind::VoteAsk {
                trial,
                last_index,
                last_term,
            };
            let message = Message {
                term,
                identity: self.setup.identity,
                kind,
            };
            self.out.messages.push((id, message));
        }
        self.count(now);
    }

    pub(crate) fn on_vote_ask(
        &mut self,
        now: Duration,
        from: &str,
        term: Term,
        trial: bool,
        last: (Index, Term),
    ) {
        // While a leader may hold its lease no vote is given and no term taken:
        // a replica that comes back from a silent cut must not depose it, and no
        // two leases may overlap.
        let quiet = now >= self.heard + self.silence() && self.role != Role::Leader;
        let (my_index, my_term) = self.log.last();
        let current = (last.1, last.0) >= (my_term, my_index);
        if trial {
            let granted = quiet && current && term > self.hard.term;
            if granted {
                self.give_way(now, from);
            }
            let term = if granted { term } else { self.hard.term };
            let kind = Kind::VoteAnswer { trial, granted };
            let message = Message {
                term,
                identity: self.setup.identity,
                kind,
            };
            self.out.messages.push((from.into(), message));
            return;
        }
        if !quiet {
            return;
        }
        if term > self.hard.term {
            self.follow(now, term, None);
        }
        let free = self.hard.vote.as_deref().is_none_or(|v| v == from);
        let granted = term == self.hard.term && current && free;
        if granted {
            self.set_hard(term, Some(from.into()));
            self.rest(now);
        }
        self.send(from, Kind::VoteAnswer { trial, granted });
    }

    /// Whoever would be voted for gets the time for it. Replicas that start together all begin
    /// a trial before the votes of the first are back, all become candidates, and each votes for
    /// itself. Of two in a trial the one of the lower id goes on; once only, since it
    /// may be one that hears no answers.
    fn give_way(&mut self, now: Duration, to: &str) {
        match self.role {
            Role::Follower => self.rest(now),
            Role::Trial if to < self.setup.id.as_str() && !self.gave_way => {
                self.gave_way = true;
                self.role = Role::Follower;
                self.rest(now);
            }
            _ => {}
        }
    }

    pub(crate) fn on_vote_answer(
        &mut self,
        now: Duration,
        from: &str,
        message: &Message,
        trial: bool,
        granted: bool,
    ) {
        let (role, term) = match trial {
            true => (Role::Trial, self.hard.term + 1),
            false => (Role::Candidate, self.hard.term),
        };
        let counts = granted
            && self.role == role
            && message.term == term
            && genuine(&self.members, from, message.identity)
            && !self.votes.iter().any(|v| v == from);
        if counts {
            self.votes.push(from.into());
            self.count(now);
        }
    }

    fn count(&mut self, now: Duration) {
        let voter = |id: &&String| self.members.get(*id).is_some_and(|m| m.voter);
        if self.votes.iter().filter(voter).count() < needed(&self.members) {
            return;
        }
        match self.role {
            Role::Trial => self.campaign(now, false),
            _ => self.start_leading(now),
        }
    }

    fn other_voters(&self) -> Vec<String> {
        let others = self
            .members
            .iter()
            .filter(|(id, m)| m.voter && **id != self.setup.id);
        others.map(|(id, _)| id.clone()).collect()
    }
}
