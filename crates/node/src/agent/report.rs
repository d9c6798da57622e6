//! What an agent tells entries and the control leader, and the leases it gets back.

use super::announce::{Announcement, Load};
use super::{Agent, MAX_SILENCE};
use crate::clock::ms;
use crate::entry::digest_of;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{AgentLease, Attach, Profile, SwitchReport};
use indexmap::IndexSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two reports to each entry.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// After so long without any entry's answer the list of entries is in doubt.
const SEEDS_AFTER: Duration = Duration::from_secs(10);
/// Entries that never answer are asked this often, so that they cost little.
const PROBE_EVERY: Duration = Duration::from_secs(2);
/// Between two reports of a rank, unless something changed.
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

    /// Reports to the entries it is told. An entry that lags behind must not pull it
    /// back to an older list.
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

    /// Where every entry it knows has been silent for long, the list may be out of
    /// date: it turns to the entries of its settings again.
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

    /// Tells the leader where the engine stands. After an announcement only, so that
    /// the leader hears nothing of an engine that is gone.
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

    /// Tells each entry that is due, or every entry, how things stand.
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
            // Without a lease it would turn everything away, as the backend server does that wants rest.
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
