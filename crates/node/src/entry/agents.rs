//! The agents attached to this entry.

use super::{Entry, Peer};
use crate::clock::ms;
use crate::verdict::Verdict;
use bn_claim::rendezvous;
use bn_route::Report;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{AgentLease, Attach, Profile};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without contact after which an agent is considered dead.
const AGENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of entries up to which agents report to all of them.
const ATTACH_ALL_LIMIT: usize = 8;
/// Number of entries that an agent reports to above that limit.
const ATTACH_COUNT: usize = 4;
/// Time without contact after which a backend server is removed.
const EVICT_AFTER: Duration = Duration::from_secs(60);

/// This entry's view of an agent.
pub(crate) struct Agent {
    /// Id of the agent process.
    process: String,
    profile: Profile,
    pub(crate) inbox: SocketAddr,
    pub(crate) incarnation: u64,
    /// The agent's clock in its latest message, and the local time when that was received.
    clock_sample: (Duration, Duration),
    pub(crate) last_contact: Duration,
    /// Whether the loss of contact has been handled.
    timed_out: bool,
}

impl Agent {
    /// Estimates the agent's clock now. The estimate is slightly behind, as it omits the message's
    /// transit time, so a start deadline in the agent's clock is early rather than late.
    pub(crate) fn clock(&self, now: Duration) -> Duration {
        let (theirs, here) = self.clock_sample;
        theirs + now.saturating_sub(here)
    }
}

impl Entry {
    pub(super) fn on_attach(&mut self, from: &Peer, attach: Attach) {
        let now = self.now();
        let name = match &attach.profile {
            Some(profile) => profile.name.clone(),
            None => match self.known_profile(from) {
                Some(name) => name,
                None => return self.request_profile(from, &attach),
            },
        };
        let before = self.agents.get(&name);
        let restarted = before.is_some_and(|a| a.incarnation != from.incarnation);
        let new = before.is_none_or(|a| a.timed_out);
        if restarted {
            self.common
                .events
                .note("agent", format!("{name} restarted"));
            self.fail_agent(&name, "the agent restarted");
        }
        if new {
            self.common.events.note("agent", format!("{name} attached"));
        }
        let earlier = self.agents.get(&name).map(|a| a.profile.clone());
        let Some(profile) = attach.profile.clone().or(earlier) else {
            return;
        };
        self.answer_attach(now, from.inbox, &name, &attach);
        self.router
            .update_report(now, &name, report(&profile, &attach, now));
        let agent = Agent {
            process: from.id.clone(),
            inbox: from.inbox,
            incarnation: from.incarnation,
            profile,
            clock_sample: (Duration::from_millis(attach.agent_ms), now),
            last_contact: now,
            timed_out: false,
        };
        self.agents.insert(name, agent);
    }

    /// Returns the backend server of an agent that sent its profile earlier in this incarnation.
    fn known_profile(&self, from: &Peer) -> Option<String> {
        let same = |a: &Agent| a.process == from.id && a.incarnation == from.incarnation;
        self.agents
            .iter()
            .find(|(_, a)| same(a))
            .map(|(name, _)| name.clone())
    }

    fn request_profile(&self, from: &Peer, attach: &Attach) {
        let (agent_ms, unknown) = (attach.agent_ms, true);
        let lease = AgentLease {
            agent_ms,
            unknown,
            ..AgentLease::default()
        };
        self.common.net.send(from.inbox, Body::AgentLease(lease));
    }

    /// Grants the agent a lease that expires with this entry's own: an agent must not act on a
    /// configuration that the entry may no longer act on.
    fn answer_attach(&mut self, now: Duration, inbox: SocketAddr, name: &str, attach: &Attach) {
        let left = self.lease.left(now);
        if left.is_zero() {
            return;
        }
        let (entries, digest) = self.entries_for(name);
        let known = attach.entries == digest;
        let lease = AgentLease {
            agent_ms: attach.agent_ms,
            lease_ms: ms(left),
            fence: self.lease.fence,
            revision: self.state.revision,
            drained: self.state.drained.contains(name),
            unknown: false,
            leader: self.lease.leader_inbox(),
            entries: if known { Vec::new() } else { entries.clone() },
        };
        self.common.net.send(inbox, Body::AgentLease(lease));
    }

    /// Returns the entries that an agent reports to and the digest of the list: all entries while
    /// there are few, so that every entry sees every backend server; otherwise a few in different
    /// failure domains. Cached until the entries change, as the selection hashes each of them.
    fn entries_for(&mut self, name: &str) -> (Vec<String>, u32) {
        if let Some(cached) = self.attach_lists.get(name) {
            return cached.clone();
        }
        let all = &self.state.entries;
        let pairs = all.iter().map(|(id, e)| (id.as_str(), e.domain.as_str()));
        let chosen: Vec<&str> = match all.len() <= ATTACH_ALL_LIMIT {
            true => all.keys().map(String::as_str).collect(),
            false => rendezvous(name, ATTACH_COUNT, pairs),
        };
        let inbox = |id: &str| all.get(id).map(|e| e.inbox.to_string());
        let list: Vec<String> = chosen.into_iter().filter_map(inbox).collect();
        let cached = (list.clone(), digest_of(&list));
        self.attach_lists.insert(name.into(), cached.clone());
        cached
    }

    /// Handles agents that have become silent and removes those silent for `EVICT_AFTER`.
    pub(super) fn expire_agents(&mut self, now: Duration) {
        let silent = |a: &Agent| !a.timed_out && now > a.last_contact + AGENT_TIMEOUT;
        let timed_out: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, a)| silent(a))
            .map(|(n, _)| n.clone())
            .collect();
        for name in timed_out {
            self.common
                .events
                .note("agent", format!("{name} is silent"));
            self.fail_agent(&name, "the agent fell silent");
            if let Some(agent) = self.agents.get_mut(&name) {
                agent.timed_out = true;
                // Messages queued on the link would arrive minutes late.
                self.common.net.disconnect(agent.inbox);
            }
        }
        for name in self.router.remove_silent(now, EVICT_AFTER) {
            self.agents.shift_remove(&name);
        }
    }

    fn fail_agent(&mut self, name: &str, reason: &str) {
        let pending: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.backend == name)
            .map(|(n, _)| *n)
            .collect();
        for attempt in pending {
            self.fail_attempt(attempt, Verdict::MayHaveRun, reason);
        }
    }
}

/// Computes the digest of a list of entries, the same in every process.
pub(crate) fn digest_of(entries: &[String]) -> u32 {
    crc32c::crc32c(entries.join(" ").as_bytes())
}

fn report(profile: &Profile, attach: &Attach, now: Duration) -> Report {
    Report {
        service: profile.service.clone(),
        group: profile.group.clone(),
        rank: profile.rank,
        domain: profile.domain.clone(),
        capacity: profile.capacity,
        running: attach.running,
        queued: attach.queued,
        tokens: attach.tokens,
        leaving: attach.leaving,
        healthy: attach.healthy,
        resumes: profile.resumes,
        as_of: now.saturating_sub(Duration::from_millis(attach.report_age_ms)),
    }
}
