//! Reports of an agent to entries and the control leader, and the leases that entries return.

use super::announce::{Announcement, Load};
use super::{Agent, MAX_SILENCE};
use crate::clock::ms;
use crate::entry::digest_of;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{AgentLease, Attach, Profile, SwitchReport};
use indexmap::IndexSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two reports to an entry.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Time without an answer from any entry after which the list of entries may be outdated.
const SEEDS_AFTER: Duration = Duration::from_secs(10);
/// Interval between reports to unresponsive entries, long enough to cost little.
const PROBE_EVERY: Duration = Duration::from_secs(2);
/// Interval between two reports of an unchanged rank.
const RANK_REPORT_EVERY: Duration = Duration::from_secs(1);

impl Agent {
    pub(super) fn on_lease(&mut self, inbox: SocketAddr, lease: &AgentLease) {
        let now = self.now();
        if let Some(entry) = self.entries.get_mut(&inbox) {
            entry.last_contact = Some(now);
            entry.has_profile = !lease.unknown;
        }
        if lease.unknown {
            return self.report(true);
        }
        let until = Duration::from_millis(lease.agent_ms + lease.lease_ms);
        let before = (self.gate.drained, self.gate.has_lease(now));
        self.gate
            .renew_lease(until, lease.fence, lease.revision, lease.drained);
        if self.gate.drained != before.0 {
            self.common
                .events
                .note("drain", format!("drained: {}", self.gate.drained));
        }
        if before != (self.gate.drained, self.gate.has_lease(now)) {
            self.report(true);
        }
        self.rank.observe_fence(lease.fence);
        self.leader = lease.leader.parse().ok().or(self.leader);
        self.follow_entries(lease);
    }

    /// Adopts the assigned list of entries. An entry that lags behind must not replace it with an
    /// older list.
    fn follow_entries(&mut self, lease: &AgentLease) {
        let listed: IndexSet<SocketAddr> = lease
            .entries
            .iter()
            .filter_map(|a| a.parse().ok())
            .collect();
        if listed.is_empty() || lease.revision < self.entries_revision {
            return;
        }
        self.entries_revision = lease.revision;
        self.entries_digest = digest_of(&lease.entries);
        for address in &listed {
            self.entries.entry(*address).or_default();
        }
        self.entries.retain(|a, _| listed.contains(a));
    }

    /// Adds the entries from the settings again if no known entry has answered for `SEEDS_AFTER`:
    /// the list may be outdated.
    fn fall_back_to_seeds(&mut self, now: Duration) {
        let latest = self
            .entries
            .values()
            .filter_map(|e| e.last_contact)
            .max()
            .unwrap_or_default();
        if now > latest + SEEDS_AFTER {
            for seed in &self.seeds {
                self.entries.entry(*seed).or_default();
            }
        }
    }

    /// Reports the engine's rank status to the leader. Called only after an announcement, so that
    /// the leader receives no reports about an engine that has terminated.
    pub(super) fn report_rank(&mut self) {
        let now = self.now();
        let r = self.rank.report();
        let status = (self.leader, r.fence, r.prepared, r.version);
        let (at, before) = self.last_rank_report;
        if status == before && now < at + RANK_REPORT_EVERY {
            return;
        }
        self.last_rank_report = (now, status);
        let Some(backend) = self.backend.as_ref().filter(|b| b.steps.is_some()) else {
            return;
        };
        let r = self.rank.report();
        let report = SwitchReport {
            group: backend.group.clone(),
            rank: backend.rank,
            fence: r.fence,
            next: r.next,
            granted: r.granted,
            version: r.version,
            prepared: r.prepared,
        };
        if let Some(leader) = self.leader {
            self.common.net.send(leader, Body::SwitchReport(report));
        }
    }

    /// Sends a report to each entry whose report is due, or to every entry.
    pub(super) fn report(&mut self, all: bool) {
        let now = self.now();
        self.fall_back_to_seeds(now);
        let Some(backend) = &self.backend else { return };
        let due: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| all || now >= e.next_report)
            .map(|(a, _)| *a)
            .collect();
        if due.is_empty() {
            return;
        }
        let attach = self.attach_message(now, &backend.load);
        let profile = self.profile(backend);
        for address in due {
            let Some(entry) = self.entries.get_mut(&address) else {
                continue;
            };
            let active = entry.last_contact.is_some_and(|at| now < at + MAX_SILENCE);
            entry.next_report = now + if active { REPORT_EVERY } else { PROBE_EVERY };
            let mut attach = attach.clone();
            attach.profile = (!entry.has_profile).then(|| profile.clone());
            self.common.net.send(address, Body::Attach(attach));
        }
    }

    fn attach_message(&self, now: Duration, load: &Load) -> Attach {
        Attach {
            agent_ms: ms(now),
            running: self.running.len() as u32,
            queued: 0,
            tokens: load.tokens,
            leaving: self.gate.is_leaving(),
            // Without a lease the agent rejects every request, as does a backend server in backoff.
            healthy: now < self.announced_at + MAX_SILENCE
                && self.gate.has_lease(now)
                && self.accepts_requests(now),
            report_age_ms: 0,
            entries: self.entries_digest,
            profile: None,
        }
    }

    fn profile(&self, backend: &Announcement) -> Profile {
        Profile {
            name: backend.name.clone(),
            service: backend.service.clone(),
            group: backend.group.clone(),
            rank: backend.rank,
            domain: self.common.domain.clone(),
            capacity: backend.capacity,
            fences: backend.fences,
            resumes: backend.resumes,
        }
    }
}
