//! Elections: a pre-vote that does not disturb other replicas, then a vote in a new term.

use crate::members::{identity_matches, quorum_size};
use crate::model::{Index, Kind, Message, Role, Term};
use crate::replica::Replica;
use std::time::Duration;

impl Replica {
    /// Only a voter that the members list under its own identity campaigns.
    pub(crate) fn may_campaign(&self) -> bool {
        let me = self.members.get(&self.config.id);
        self.is_member() && me.is_some_and(|m| m.voter)
    }

    pub(crate) fn campaign(&mut self, now: Duration, pre_vote: bool) {
        let term = self.hard.term + 1;
        self.leader = None;
        self.role = if pre_vote {
            Role::Trial
        } else {
            Role::Candidate
        };
        if !pre_vote {
            self.set_hard_state(term, Some(self.config.id.clone()));
        }
        self.votes = vec![self.config.id.clone()];
        if now >= self.last_contact + self.quiet_period() {
            self.campaigns = self.campaigns.saturating_add(1);
        }
        self.reset_election_timer(now);
        let (last_index, last_term) = self.log.last();
        for id in self.other_voters() {
            let kind = Kind::VoteRequest {
                pre_vote,
                last_index,
                last_term,
            };
            let message = Message {
                term,
                identity: self.config.identity,
                kind,
            };
            self.output.messages.push((id, message));
        }
        self.count_votes(now);
    }

    pub(crate) fn on_vote_request(
        &mut self,
        now: Duration,
        from: &str,
        term: Term,
        pre_vote: bool,
        last: (Index, Term),
    ) {
        // While a leader may hold its lease, no vote is granted and no term adopted: a replica that
        // reconnects after a partition must not depose the leader, and leases must not overlap.
        let quiet = now >= self.last_contact + self.quiet_period() && self.role != Role::Leader;
        let (my_index, my_term) = self.log.last();
        let up_to_date = (last.1, last.0) >= (my_term, my_index);
        if pre_vote {
            let granted = quiet && up_to_date && term > self.hard.term;
            if granted {
                self.yield_to(now, from);
            }
            let term = if granted { term } else { self.hard.term };
            let kind = Kind::VoteResponse { pre_vote, granted };
            let message = Message {
                term,
                identity: self.config.identity,
                kind,
            };
            self.output.messages.push((from.into(), message));
            return;
        }
        if !quiet {
            return;
        }
        if term > self.hard.term {
            self.become_follower(now, term, None);
        }
        let vote_available = self.hard.vote.as_deref().is_none_or(|v| v == from);
        let granted = term == self.hard.term && up_to_date && vote_available;
        if granted {
            self.set_hard_state(term, Some(from.into()));
            self.reset_election_timer(now);
        }
        self.send(from, Kind::VoteResponse { pre_vote, granted });
    }

    /// Gives the replica that would get this one's vote the time to be elected. Otherwise replicas
    /// that start together all start a pre-vote before the first one's votes arrive, all become
    /// candidates, and each votes for itself. Of two replicas in a pre-vote the one with the lower
    /// id continues. A replica yields only once: the other might not receive any responses.
    fn yield_to(&mut self, now: Duration, to: &str) {
        match self.role {
            Role::Follower => self.reset_election_timer(now),
            Role::Trial if to < self.config.id.as_str() && !self.yielded => {
                self.yielded = true;
                self.role = Role::Follower;
                self.reset_election_timer(now);
            }
            _ => {}
        }
    }

    pub(crate) fn on_vote_response(
        &mut self,
        now: Duration,
        from: &str,
        message: &Message,
        pre_vote: bool,
        granted: bool,
    ) {
        let (role, term) = match pre_vote {
            true => (Role::Trial, self.hard.term + 1),
            false => (Role::Candidate, self.hard.term),
        };
        let counts = granted
            && self.role == role
            && message.term == term
            && identity_matches(&self.members, from, message.identity)
            && !self.votes.iter().any(|v| v == from);
        if counts {
            self.votes.push(from.into());
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Duration) {
        let voter = |id: &&String| self.members.get(*id).is_some_and(|m| m.voter);
        if self.votes.iter().filter(voter).count() < quorum_size(&self.members) {
            return;
        }
        match self.role {
            Role::Trial => self.campaign(now, false),
            _ => self.become_leader(now),
        }
    }

    fn other_voters(&self) -> Vec<String> {
        let others = self
            .members
            .iter()
            .filter(|(id, m)| m.voter && **id != self.config.id);
        others.map(|(id, _)| id.clone()).collect()
    }
}
