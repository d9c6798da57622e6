//! Balancing of lock-step groups, by the leader only: sends the calls of each group's
//! [`SwitchController`] to the engines and returns their replies.

use crate::core::Core;
use crate::engine_requests::MapEncodings;
use crate::relays::GroupId;
use bn_group::GroupDiscovery;
use bn_group::switch_controller::{
    self, EngineId, EngineReport, Reply, Shape, SwitchController, SwitchEvent, UsedNumbers,
};
use bn_quorum::Role;
use indexmap::IndexMap;
use serde_json::json;
use std::time::Duration;

/// First call id of group discovery, far above those of switch controllers.
const FIRST_DISCOVERY_ID: u64 = 1 << 62;
/// Maximum number of discovery calls per term.
const IDS_PER_TERM: u64 = 1 << 20;

/// The leader's state of all groups.
#[derive(Default)]
pub(crate) struct Groups {
    term: u64,
    /// Version of the document that `shapes` comes from.
    version: u64,
    /// Services whose engines share experts.
    shapes: IndexMap<String, Shape>,
    /// Discovery of the groups, by service.
    discoveries: IndexMap<String, GroupDiscovery>,
    pub(crate) controllers: IndexMap<GroupId, SwitchController>,
    /// Cursor of the registrations at the last discovery.
    cursor: u64,
    /// Highest numbers that the switch controllers of this term have used.
    used: UsedNumbers,
    pub(crate) encodings: MapEncodings,
}

impl Core {
    /// Advances every group. A coordinator that is not the leader does nothing: the next leader
    /// fences, discovers and completes what is under way.
    pub(crate) fn update_groups(&mut self, now: Duration) {
        if self.quorum.role() != Role::Leader {
            self.groups.controllers.clear();
            self.groups.discoveries.clear();
            return;
        }
        self.fail_overdue(now);
        let term = self.quorum.term();
        if self.groups.term != term {
            self.groups.term = term;
            self.groups.controllers.clear();
            self.groups.discoveries.clear();
            self.groups.used = UsedNumbers::default();
        }
        self.read_shapes();
        for (service, shape) in self.groups.shapes.clone() {
            self.discover_groups(now, &service);
            self.update_service(now, &service, shape);
        }
        self.groups.cursor = self.registry.cursor();
    }

    /// Queries engines whose group is unknown, or that may have left it.
    fn discover_groups(&mut self, now: Duration, service: &str) {
        let cursor = self.registry.cursor();
        let known = self.groups.discoveries.get(service);
        if known.is_some_and(|d| !d.is_due(now)) && self.groups.cursor == cursor {
            return;
        }
        let engines = self.engines_of(service);
        let groups = &mut self.groups;
        let first = FIRST_DISCOVERY_ID.wrapping_add(groups.term * IDS_PER_TERM);
        let discovery = groups.discoveries.entry(service.into());
        let discovery = discovery.or_insert_with(|| GroupDiscovery::new(first));
        let controllers = &groups.controllers;
        let needs_discovery = |name: &str| {
            let id = group_id(service, name);
            controllers
                .get(&id)
                .is_none_or(SwitchController::needs_discovery)
        };
        let calls = discovery.tick(now, &engines, needs_discovery);
        if !calls.is_empty() {
            self.send_calls(now, &group_id(service, ""), calls);
        }
    }

    /// Advances the switch controllers of a service, and creates those of new groups.
    fn update_service(&mut self, now: Duration, service: &str, shape: Shape) {
        let Some(discovery) = self.groups.discoveries.get(service) else {
            return;
        };
        let mut names = discovery.complete_groups().to_vec();
        // The switch controller of an incomplete group may hold it, and must be able to release it.
        let known = self
            .groups
            .controllers
            .keys()
            .filter(|g| g.service == service);
        names.extend(known.map(|g| g.name.clone()));
        names.sort_unstable();
        names.dedup();
        for name in names {
            let id = group_id(service, &name);
            let known = self.groups.controllers.get(&id);
            if known.is_some_and(|c| !c.is_due(now)) {
                continue;
            }
            let discovery = self.groups.discoveries.get(service);
            let members = discovery.map_or_else(IndexMap::new, |d| d.members(&name));
            let calls = self.tick_controller(now, &id, shape, members);
            self.send_calls(now, &id, calls);
        }
    }

    fn tick_controller(
        &mut self,
        now: Duration,
        id: &GroupId,
        shape: Shape,
        members: IndexMap<EngineId, EngineReport>,
    ) -> Vec<switch_controller::Call> {
        let groups = &mut self.groups;
        if !groups.controllers.contains_key(id) {
            let mut controller = SwitchController::new(groups.term, shape);
            controller.skip_past(groups.used);
            let calls = controller.start(now, members);
            groups.used = groups.used.max(controller.used_numbers());
            groups.controllers.insert(id.clone(), controller);
            return calls;
        }
        let Some(controller) = groups.controllers.get_mut(id) else {
            return Vec::new();
        };
        controller.skip_past(groups.used);
        let engines: Vec<EngineId> = members.into_keys().collect();
        let calls = controller.tick(now, &engines);
        groups.used = groups.used.max(controller.used_numbers());
        calls
    }

    pub(crate) fn on_reply(&mut self, now: Duration, group: &GroupId, call: u64, reply: Reply) {
        let failure = match reply {
            Reply::Conflict | Reply::Fenced | Reply::Odd | Reply::Silent => Some(reply.clone()),
            Reply::Done | Reply::Report(_) | Reply::Counts(..) | Reply::List(..) => None,
        };
        if let Some(failure) = failure {
            let fields = json!({
                "service": group.service, "group": group.name, "call": call,
                "reply": format!("{failure:?}"),
            });
            self.lines.put("engine_call_failed", fields);
        }
        if group.name.is_empty() {
            return self.on_discovery_reply(now, &group.service, call, reply);
        }
        let Some(controller) = self.groups.controllers.get_mut(group) else {
            return;
        };
        let calls = controller.reply(now, call, reply);
        self.groups.used = self.groups.used.max(controller.used_numbers());
        let (events, slowdowns) = (controller.take_events(), controller.take_slowdowns());
        for event in events {
            self.log_switch_event(group, &event);
        }
        for (engine, slowdown) in slowdowns {
            self.on_rank(now, &engine, &group.name, slowdown);
        }
        self.send_calls(now, group, calls);
    }

    /// An engine reported its group: gateways get it as well, because the ranks of a group share
    /// their slowdown.
    fn on_discovery_reply(&mut self, now: Duration, service: &str, call: u64, reply: Reply) {
        let Some(discovery) = self.groups.discoveries.get_mut(service) else {
            return;
        };
        if let Some((engine, name)) = discovery.reply(call, reply) {
            let slowdown = self.registry.get(&engine).map_or(0, |r| r.slowdown);
            self.on_rank(now, &engine, &name, slowdown);
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
        if self.groups.version == self.committed.version {
            return;
        }
        self.groups.version = self.committed.version;
        let bytes = match bn_wire::decompress(&self.committed.document) {
            Ok(bytes) => bytes,
            Err(e) => return log::error!("cannot read document {}: {e}", self.committed.version),
        };
        match bn_platform::parse_document(&bytes) {
            Ok(document) => self.groups.shapes = shapes(&document),
            // The document was validated before it was proposed, so this is a bug.
            Err(e) => log::error!("document {} is invalid: {e}", self.committed.version),
        }
    }

    fn log_switch_event(&self, group: &GroupId, event: &SwitchEvent) {
        let (before, after) = event.skew.map_or((None, None), |(b, a)| (Some(b), Some(a)));
        let fields = json!({
            "service": group.service, "group": group.name, "number": event.number, "term": self.groups.term,
            "skew_before": before, "skew_after": after, "slowest_pace": event.max_slowdown,
        });
        self.lines.put(event.event, fields);
    }
}

fn group_id(service: &str, name: &str) -> GroupId {
    GroupId {
        service: service.into(),
        name: name.into(),
    }
}

fn shapes(document: &bn_settle::Document) -> IndexMap<String, Shape> {
    let grouped = document.services().values().filter_map(|s| {
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
