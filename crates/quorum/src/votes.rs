//! Elections: a pre-vote that does not disturb other replicas, then a vote in a new term.

use crate::members::{Reached, identity_matches, record_loss};
use crate::model::{Identity, Index, Kind, MemberId, Members, Message, Role, Term};
use crate::replica::Replica;
use indexmap::IndexSet;
use std::time::Duration;

impl Replica {
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
        self.votes = vec![(self.config.id.clone(), self.config.identity)];
        // Whoever votes from now on does so after these losses.
        self.lost_before_votes = self.lost.clone();
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
            && !self.votes.iter().any(|(voter, _)| voter == from);
        if counts {
            self.votes.push((from.into(), message.identity));
        }
        if self.role == role && (pre_vote || message.term == term) {
            self.record_vote_identity(from, message.identity, pre_vote);
        }
        if self.role == role {
            self.count_votes(now);
        }
    }

    /// Records that a voter answers under another identity than the one known for it.
    ///
    /// A vote of this candidate's own term answers a request sent after the known identity was
    /// recorded, so the other one is newer, and votes of the next term may leave out the lost one.
    /// A pre-vote may have been answered before that, so it counts for this pre-vote only.
    fn record_vote_identity(&mut self, from: &str, identity: Identity, pre_vote: bool) {
        let mut lost = std::mem::take(match pre_vote {
            true => &mut self.lost_before_votes,
            false => &mut self.lost,
        });
        for members in self.deciding_lists() {
            record_loss(&mut lost, members, from, identity);
        }
        match pre_vote {
            true => self.lost_before_votes = lost,
            false => self.lost = lost,
        }
    }

    fn count_votes(&mut self, now: Duration) {
        let vote_of = |members: &Members, id: &MemberId| {
            let voted = self.votes.iter().find(|(voter, _)| voter == id);
            let counts = voted.is_some_and(|(_, i)| identity_matches(members, id, *i));
            Reached::at_any_time(u64::from(counts))
        };
        let elected = self.agreed_value(&self.lost_before_votes, vote_of) > 0;
        // Votes that are older than a loss do not count, but the same replicas will vote again.
        let loss_learned = self.lost != self.lost_before_votes;
        let again = loss_learned && self.agreed_value(&self.lost, vote_of) > 0;
        match self.role {
            Role::Trial if elected => self.campaign(now, false),
            Role::Candidate if elected => self.become_leader(now),
            Role::Candidate if again => self.campaign(now, false),
            _ => {}
        }
    }

    /// The voters of both lists while a change of members is not known to be committed.
    fn other_voters(&self) -> IndexSet<MemberId> {
        let lists = self.deciding_lists();
        let voters = lists
            .iter()
            .flat_map(|members| members.iter().filter(|(_, m)| m.voter));
        let ids = voters.map(|(id, _)| id.clone());
        ids.filter(|id| *id != self.config.id).collect()
    }
}
