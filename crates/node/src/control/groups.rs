//! Lock-step groups at the leader: runs a coordinator for each, sends orders to the agents of the
//! ranks and commits switches to the log.

use super::Control;
use bn_group::{Action, CommittedState, Coordinator, Order, OrderKind, RankReport};
use bn_state::{Command, Group, LEADER_OPERATOR};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::switch_order::Kind;
use bn_wire::messages::{self as wire, SwitchOrder, SwitchReport};
use indexmap::IndexMap;
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// Coordinators of one term.
#[derive(Default)]
pub(crate) struct Groups {
    fence: u64,
    coordinators: IndexMap<String, Coordinator>,
    inboxes: IndexMap<(String, u32), SocketAddr>,
}

impl Groups {
    /// Starts a new term; what an earlier term knew about the ranks is invalid.
    pub(crate) fn start(&mut self, fence: u64) {
        *self = Groups {
            fence,
            ..Groups::default()
        };
    }
}

impl Control {
    pub(super) fn on_switch_report(
        &mut self,
        incarnation: u64,
        inbox: SocketAddr,
        report: SwitchReport,
    ) {
        let now = self.now();
        if !self.replica.holds_lease(now) {
            return;
        }
        self.sync_groups();
        let key = (report.group.clone(), report.rank);
        let Some(coordinator) = self.groups.coordinators.get_mut(&report.group) else {
            return;
        };
        self.groups.inboxes.insert(key, inbox);
        let rank = RankReport {
            incarnation,
            fence: report.fence,
            next: report.next,
            granted: report.granted,
            version: report.version,
            prepared: report.prepared,
        };
        let actions = coordinator.on_report(now, report.rank, rank);
        self.execute(&report.group, actions);
    }

    pub(super) fn tick_groups(&mut self, now: Duration) {
        self.sync_groups();
        let names: Vec<String> = self.groups.coordinators.keys().cloned().collect();
        for name in names {
            let coordinator = self.groups.coordinators.get_mut(&name);
            let actions = coordinator.map(|c| c.tick(now)).unwrap_or_default();
            self.execute(&name, actions);
        }
    }

    /// Updates the coordinators to the applied state.
    fn sync_groups(&mut self) {
        let groups = &self.state.groups;
        self.groups
            .coordinators
            .retain(|name, _| groups.contains_key(name));
        for (name, group) in groups {
            let committed = committed_state(group);
            match self.groups.coordinators.get_mut(name) {
                Some(coordinator) => coordinator.update_committed(committed),
                None => {
                    let steps = self.grant_steps;
                    let coordinator = Coordinator::new(self.groups.fence, steps, committed);
                    self.groups.coordinators.insert(name.clone(), coordinator);
                }
            }
        }
    }

    fn execute(&mut self, group: &str, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(rank, order) => {
                    if let Some(inbox) = self.groups.inboxes.get(&(group.to_string(), rank)) {
                        let order = to_wire(group, order);
                        self.common.net.send(*inbox, Body::SwitchOrder(order));
                    }
                }
                Action::Commit { version, from } => {
                    let detail = format!("{group}: version {version} from step {from}");
                    self.common.events.note("switch", detail);
                    self.propose_text(format!("switch group {group} commit={version} step={from}"));
                }
                Action::Reserve { until } => {
                    self.propose_text(format!("switch group {group} reserve={until}"));
                }
                Action::Cancel { version, reason } => {
                    let detail = format!("{group}: version {version} given up: {reason}");
                    self.common.events.note("switch", detail);
                    self.propose_text(format!("switch group {group} cancel={version}"));
                }
            }
        }
    }

    fn propose_text(&mut self, text: String) {
        let (operator, token) = (LEADER_OPERATOR.to_string(), String::new());
        let command = Command {
            operator,
            number: 0,
            token,
            text,
        };
        let bytes = wire::Command::from(&command).encode_to_vec();
        if let Err(e) = self.replica.propose(bytes) {
            log::warn!("own command: {e}");
        }
    }
}

fn committed_state(group: &Group) -> CommittedState {
    CommittedState {
        version: group.map_version,
        first_step: group.map_step,
        map: group.map.to_string(),
        pending: group
            .pending
            .as_ref()
            .map(|(version, map)| (*version, map.to_string())),
        reserved_until: group.reserved_until,
        ranks: group.ranks,
    }
}

fn to_wire(group: &str, order: Order) -> SwitchOrder {
    let mut out = SwitchOrder {
        group: group.into(),
        fence: order.fence,
        incarnation: order.incarnation,
        ..SwitchOrder::default()
    };
    match order.kind {
        OrderKind::Prepare { version, map } => {
            out.kind = Kind::Prepare.into();
            (out.version, out.map) = (version, map);
        }
        OrderKind::Grant {
            version,
            from,
            until,
            map,
        } => {
            out.kind = Kind::Grant.into();
            (out.version, out.from, out.until, out.map) = (version, from, until, map);
        }
    }
    out
}
