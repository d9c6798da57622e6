//! Agents attached to this entry.

use super::{Entry, Sender};
use crate::clock::ms;
use crate::verdict::Verdict;
use bn_claim::rendezvous;
use bn_route::Report;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{AgentLease, Attach, Profile};
use std::net::SocketAddr;
use std::time::Duration;

/// An agent that is silent for this long is taken for dead.
const SILENCE: Duration = Duration::from_secs(3);
/// Up to so many entries, agents report to all of them.
const FEW_ENTRIES: usize = 8;
/// Past that, to so many.
const ATTACH_TO: usize = 4;
/// A backend server that is gone for this long is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// One agent as this entry knows it.
pub(crate) struct Agent {
    /// Id of the agent's process.
    process: String,
    profile: Profile,
    pub(crate) inbox: SocketAddr,
    pub(crate) incarnation: u64,
    /// The agent's clock in its latest message, and when that came here.
    clock_seen: (Duration, Duration),
    pub(crate) heard: Duration,
    /// Its silence was acted on.
    lost: bool,
}

impl Agent {
    /// The agent's clock now, or somewhat earlier: the time the message took is
    /// missing. So a start deadline in it is early rather than late.
    pub(crate) fn clock(&self, now: Duration) -> Duration {
        let (theirs, here) = self.clock_seen;
        theirs + now.saturating_sub(here)
    }
}

impl Entry {
    pub(super) fn on_attach(&mut self, from: &Sender, attach: Attach) {
        let now = self.now();
        let name = match &attach.profile {
            Some(profile) => profile.name.clone(),
            None => match self.known_profile(from) {
                Some(name) => name,
                None => return self.ask_profile(from, &attach),
            },
        };
        let before = self.agents.get(&name);
        let restarted = before.is_some_and(|a| a.incarnation != from.incarnation);
        let new = before.is_none_or(|a| a.lost);
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
            clock_seen: (Duration::from_millis(attach.agent_ms), now),
            heard: now,
            lost: false,
        };
        self.agents.insert(name, agent);
    }

    /// The backend server of an agent that told its profile earlier in this start.
    fn known_profile(&self, from: &Sender) -> Option<String> {
        let same = |a: &Agent| a.process == from.id && a.incarnation == from.incarnation;
        self.agents
            .iter()
            .find(|(_, a)| same(a))
            .map(|(name, _)| name.clone())
    }

    fn ask_profile(&self, from: &Sender, attach: &Attach) {
        let (agent_ms, unknown) = (attach.agent_ms, true);
        let lease = AgentLease {
            agent_ms,
            unknown,
            ..AgentLease::default()
        };
        self.common.net.send(from.inbox, Body::AgentLease(lease));
    }

    /// An agent's lease ends with this entry's own: what the entry may no longer
    /// act on, an agent must not act on either.
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

    /// The entries that an agent reports to, with the list's digest: all while they are
    /// few, so that every entry sees every backend server; past that a few in different
    /// failure domains. Kept until the entries change: choosing hashes each of them.
    fn entries_for(&mut self, name: &str) -> (Vec<String>, u32) {
        if let Some(kept) = self.attach_lists.get(name) {
            return kept.clone();
        }
        let all = &self.state.entries;
        let pairs = all.iter().map(|(id, e)| (id.as_str(), e.domain.as_str()));
        let chosen: Vec<&str> = match all.len() <= FEW_ENTRIES {
            true => all.keys().map(String::as_str).collect(),
            false => rendezvous(name, ATTACH_TO, pairs),
        };
        let inbox = |id: &str| all.get(id).map(|e| e.inbox.to_string());
        let list: Vec<String> = chosen.into_iter().filter_map(inbox).collect();
        let kept = (list.clone(), digest_of(&list));
        self.attach_lists.insert(name.into(), kept.clone());
        kept
    }

    /// Notices agents that fell silent, and forgets those gone for long.
    pub(super) fn watch_agents(&mut self, now: Duration) {
        let silent = |a: &Agent| !a.lost && now > a.heard + SILENCE;
        let lost: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, a)| silent(a))
            .map(|(n, _)| n.clone())
            .collect();
        for name in lost {
            self.common
                .events
                .note("agent", format!("{name} is silent"));
            self.fail_agent(&name, "the agent fell silent");
            if let Some(agent) = self.agents.get_mut(&name) {
                agent.lost = true;
                // What waits on the link would arrive minutes late.
                self.common.net.disconnect(agent.inbox);
            }
        }
        for name in self.router.remove_silent(now, FORGET) {
            self.agents.shift_remove(&name);
        }
    }

    fn fail_agent(&mut self, name: &str, reason: &str) {
        let open: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.backend == name)
            .map(|(n, _)| *n)
            .collect();
        for attempt in open {
            self.fail_attempt(attempt, Verdict::MayHaveRun, reason);
        }
    }
}

/// Digest of a list of entries, the same in every process.
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
