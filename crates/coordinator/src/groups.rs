//! Balancing of lock-step groups, by the leader alone: carries the calls of each group's
//! [`SwitchController`] to the engines and their replies back.

use crate::asks::Written;
use crate::core::Core;
use crate::relays::GroupId;
use bn_group::GroupDiscovery;
use bn_group::switch_controller::{
    self, EngineId, EngineReport, Reply, Shape, SwitchController, SwitchEvent, UsedNumbers,
};
use bn_quorum::Role;
use indexmap::IndexMap;
use serde_json::json;
use std::time::Duration;

/// Numbers of calls that ask for groups begin here, far from those of pilots.
const MUSTER_CALLS: u64 = 1 << 62;
/// Such calls of one term at most.
const PER_TERM: u64 = 1 << 20;

/// What the leader keeps of groups.
#[derive(Default)]
pub(crate) struct Groups {
    term: u64,
    /// Version of the document that `shapes` is of.
    version: u64,
    /// Services whose engines share experts.
    shapes: IndexMap<String, Shape>,
    /// Who forms which group, by service.
    musters: IndexMap<String, GroupDiscovery>,
    pub(crate) pilots: IndexMap<GroupId, SwitchController>,
    /// Change of the registrations that musters know.
    mark: u64,
    /// The most that pilots of this term have used.
    used: UsedNumbers,
    pub(crate) written: Written,
}

impl Core {
    /// Moves every group on. A coordinator that does not lead steers nothing: what it
    /// left under way, the next leader fences, finds and settles.
    pub(crate) fn steer_groups(&mut self, now: Duration) {
        if self.quorum.role() != Role::Leader {
            self.groups.pilots.clear();
            self.groups.musters.clear();
            return;
        }
        self.drop_overdue(now);
        let term = self.quorum.term();
        if self.groups.term != term {
            self.groups.term = term;
            self.groups.pilots.clear();
            self.groups.musters.clear();
            self.groups.used = UsedNumbers::default();
        }
        self.read_shapes();
        for (service, shape) in self.groups.shapes.clone() {
            self.muster(now, &service);
            self.steer_service(now, &service, shape);
        }
        self.groups.mark = self.registry.cursor();
    }

    /// Has engines asked that have not told their group, or may have left it.
    fn muster(&mut self, now: Duration, service: &str) {
        let mark = self.registry.cursor();
        let known = self.groups.musters.get(service);
        if known.is_some_and(|m| !m.is_due(now)) && self.groups.mark == mark {
            return;
        }
        let engines = self.engines_of(service);
        let groups = &mut self.groups;
        let first = MUSTER_CALLS.wrapping_add(groups.term * PER_TERM);
        let muster = groups.musters.entry(service.into());
        let muster = muster.or_insert_with(|| GroupDiscovery::new(first));
        let pilots = &groups.pilots;
        let unsure = |name: &str| {
            let id = group_id(service, name);
            pilots
                .get(&id)
                .is_none_or(SwitchController::needs_discovery)
        };
        let calls = muster.tick(now, &engines, unsure);
        if !calls.is_empty() {
            self.carry(now, &group_id(service, ""), calls);
        }
    }

    /// Moves the pilots of a service on, and makes those of groups that are new.
    fn steer_service(&mut self, now: Duration, service: &str, shape: Shape) {
        let Some(muster) = self.groups.musters.get(service) else {
            return;
        };
        let mut names = muster.complete_groups().to_vec();
        // One that lacks a rank may be held by its pilot, which must be able to end that.
        let steered = self.groups.pilots.keys().filter(|g| g.service == service);
        names.extend(steered.map(|g| g.name.clone()));
        names.sort_unstable();
        names.dedup();
        for name in names {
            let id = group_id(service, &name);
            let known = self.groups.pilots.get(&id);
            if known.is_some_and(|p| !p.is_due(now)) {
                continue;
            }
            let muster = self.groups.musters.get(service);
            let members = muster.map_or_else(IndexMap::new, |m| m.members(&name));
            let calls = self.tick_pilot(now, &id, shape, members);
            self.carry(now, &id, calls);
        }
    }

    fn tick_pilot(
        &mut self,
        now: Duration,
        id: &GroupId,
        shape: Shape,
        members: IndexMap<EngineId, EngineReport>,
    ) -> Vec<switch_controller::Call> {
        let groups = &mut self.groups;
        if !groups.pilots.contains_key(id) {
            let mut pilot = SwitchController::new(groups.term, shape);
            pilot.skip_past(groups.used);
            let calls = pilot.start(now, members);
            groups.used = groups.used.max(pilot.used_numbers());
            groups.pilots.insert(id.clone(), pilot);
            return calls;
        }
        let Some(pilot) = groups.pilots.get_mut(id) else {
            return Vec::new();
        };
        pilot.skip_past(groups.used);
        let engines: Vec<EngineId> = members.into_keys().collect();
        let calls = pilot.tick(now, &engines);
        groups.used = groups.used.max(pilot.used_numbers());
        calls
    }

    pub(crate) fn on_called(&mut self, now: Duration, group: &GroupId, call: u64, reply: Reply) {
        let odd = match reply {
            Reply::Conflict | Reply::Fenced | Reply::Odd | Reply::Silent => Some(reply.clone()),
            Reply::Done | Reply::Report(_) | Reply::Counts(..) | Reply::List(..) => None,
        };
        if let Some(odd) = odd {
            let fields = json!({
                "service": group.service, "group": group.name, "call": call,
                "reply": format!("{odd:?}"),
            });
            self.lines.put("engine_call_failed", fields);
        }
        if group.name.is_empty() {
            return self.on_mustered(now, &group.service, call, reply);
        }
        let Some(pilot) = self.groups.pilots.get_mut(group) else {
            return;
        };
        let calls = pilot.reply(now, call, reply);
        self.groups.used = self.groups.used.max(pilot.used_numbers());
        let (notes, paces) = (pilot.take_events(), pilot.take_slowdowns());
        for note in notes {
            self.note_group(group, &note);
        }
        for (engine, pace) in paces {
            self.on_rank(now, &engine, &group.name, pace);
        }
        self.carry(now, group, calls);
    }

    /// An engine told its group: gateways are told, too, since the ranks of a group share
    /// their pace.
    fn on_mustered(&mut self, now: Duration, service: &str, call: u64, reply: Reply) {
        let Some(muster) = self.groups.musters.get_mut(service) else {
            return;
        };
        if let Some((engine, name)) = muster.reply(call, reply) {
            let pace = self.registry.get(&engine).map_or(0, |r| r.slowdown);
            self.on_rank(now, &engine, &name, pace);
        }
    }

    fn engines_of(&self, service: &str) -> Vec<String> {
        let latest = self
            .registry
            .latest_by_address()
            .filter(|r| r.service == service);
        let mut ids: Vec<_> = latest.map(|r| r.id.clone()).collect();
        ids.sort_unstable();
        ids
    }

    fn read_shapes(&mut self) {
        if self.groups.version == self.settled.version {
            return;
        }
        self.groups.version = self.settled.version;
        let document = match bn_wire::unpack(&self.settled.document) {
            Ok(document) => document,
            Err(e) => return log::error!("document {}: {e}", self.settled.version),
        };
        match bn_platform::parse_document(&document) {
            Ok(plan) => self.groups.shapes = shapes(&plan),
            // It was checked before it was settled, so this is a fault of ours.
            Err(e) => log::error!("document {} does not hold: {e}", self.settled.version),
        }
    }

    fn note_group(&self, group: &GroupId, note: &SwitchEvent) {
        let (before, after) = note.skew.map_or((None, None), |(b, a)| (Some(b), Some(a)));
        let fields = json!({
            "service": group.service, "group": group.name, "number": note.number, "term": self.groups.term,
            "skew_before": before, "skew_after": after, "slowest_pace": note.max_slowdown,
        });
        self.lines.put(note.event, fields);
    }
}

fn group_id(service: &str, name: &str) -> GroupId {
    GroupId {
        service: service.into(),
        name: name.into(),
    }
}

fn shapes(plan: &bn_settle::Document) -> IndexMap<String, Shape> {
    let grouped = plan.services().values().filter_map(|s| {
        let experts = s.engine?.experts?;
        let shape = Shape {
            sets: experts.sets,
            experts: experts.experts,
            slots: experts.placements,
            new_per_set: experts.spare,
            copy_time: Duration::from_secs_f64(experts.copy_s.clamp(0.0, 60.0)),
        };
        Some((s.name.clone(), shape))
    });
    grouped.collect()
}
