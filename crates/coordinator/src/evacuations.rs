//! Orders to evacuate failure domains: any coordinator accepts one, the leader appends it, and the
//! coordinator that received the call answers once the order is in force in its own log.

use crate::core::{Core, count_unwanted};
use crate::document::encode_order;
use bn_evacuation::{
    AppendedOrders, Applied, Evacuations, Expiry, Order, PendingOrders, StallGuard,
};
use bn_quorum::Role;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// An operator's order about a failure domain.
pub struct EvacuationCall {
    /// Failure domain.
    pub domain: String,
    /// Whether the order starts an evacuation; otherwise it ends one.
    pub evacuated: bool,
    /// When the call arrived. It is answered relative to this time, however long it was queued.
    pub received: Instant,
    /// Answered with whether the order is in force.
    pub reply: oneshot::Sender<bool>,
}

/// Orders that wait here, and what this leader appended.
#[derive(Default)]
pub(crate) struct Orders {
    pending: PendingOrders<oneshot::Sender<bool>>,
    appended: AppendedOrders,
    pub(crate) stall: StallGuard,
}

impl Orders {
    pub(crate) fn new(now: Duration) -> Orders {
        Orders {
            stall: StallGuard::new(now),
            ..Orders::default()
        }
    }
}

impl Core {
    pub(crate) fn on_evacuate(&mut self, now: Duration, call: EvacuationCall) {
        let EvacuationCall {
            domain,
            evacuated,
            received,
            reply,
        } = call;
        if self.orders.stall.refuses(now) {
            self.log_answer(&domain, evacuated, "stalled");
            return count_unwanted(reply.send(false));
        }
        let received = self.time_of(received);
        self.orders.pending.add(received, &domain, evacuated, reply);
    }

    /// Gives up on orders whose callers no longer wait, and submits the next one to the leader. A
    /// submitted order may still take effect, so a failure promises nothing.
    pub(crate) fn advance_orders(&mut self) {
        // Read here: a slow sync may have taken longer than the callers wait.
        let now = self.now();
        if self.orders.pending.is_empty() {
            return;
        }
        let connected = |reply: &oneshot::Sender<bool>| !reply.is_closed();
        for (reply, order, why) in self.orders.pending.take_expired(now, connected) {
            let outcome = match why {
                Expiry::TimedOut => "timed out",
                Expiry::Disconnected => "disconnected",
            };
            self.log_answer(&order.domain, order.evacuated, outcome);
            count_unwanted(reply.send(false));
        }
        let revision = self.evacuations.revision;
        let due = self.orders.pending.to_submit(now, revision, rand::random);
        let Some(order) = due.cloned() else {
            return;
        };
        self.lines.put(
            "evacuation_proposed",
            json!({
                "id": format!("{:016x}", order.id), "domain": order.domain,
                "evacuated": order.evacuated, "base": order.base, "leader": self.quorum.leader(),
            }),
        );
        self.submit_order(&order);
    }

    fn submit_order(&mut self, order: &Order) {
        if self.quorum.role() == Role::Leader {
            return self.append_order(order);
        }
        let leader = self.quorum.leader().and_then(|l| l.parse().ok());
        if let Some(ip) = leader {
            let inbox = SocketAddr::new(ip, self.inbox.port());
            self.net.send(inbox, Body::EvacuationAsk(order.into()));
        }
    }

    pub(crate) fn on_evacuation_request(&mut self, request: wire::EvacuationOrder) {
        match Order::try_from(request) {
            Ok(order) if self.quorum.role() == Role::Leader => self.append_order(&order),
            Ok(_) => {}
            Err(e) => log::warn!("evacuation order not appended to the log: {e}"),
        }
    }

    /// A proposal that is submitted repeatedly is appended to the log once per term.
    fn append_order(&mut self, order: &Order) {
        if !self.quorum.voters_identified() {
            return;
        }
        let (term, revision) = (self.quorum.term(), self.evacuations.revision);
        if !self.orders.appended.admit(term, revision, order) {
            return;
        }
        if let Err(e) = self.quorum.propose(encode_order(order)) {
            self.orders.appended.forget(order.id);
            log::info!("evacuation order not appended to the log: {e}");
        }
    }

    /// Applies a committed order.
    pub(crate) fn apply_order(&mut self, index: u64, order: &Order) {
        let applied = self.evacuations.apply(index, order);
        let in_force = applied == Applied::InForce;
        self.lines.put(
            "evacuation_committed",
            json!({
                "id": format!("{:016x}", order.id), "domain": order.domain,
                "evacuated": order.evacuated, "base": order.base, "index": index,
                "in_force": in_force, "domains": self.evacuations.domains.len(),
            }),
        );
        self.report_evacuated();
        if let Some(reply) = self.orders.pending.on_applied(order.id, applied) {
            self.log_answer(&order.domain, order.evacuated, "in force");
            count_unwanted(reply.send(true));
        }
    }

    /// Adopts the evacuations of a snapshot.
    pub(crate) fn adopt_evacuations(&mut self, state: Evacuations) {
        if self.evacuations.advance_to(state) {
            let domains: Vec<_> = self.evacuations.domains.keys().collect();
            let fields = json!({ "revision": self.evacuations.revision, "domains": domains });
            self.lines.put("evacuations_loaded", fields);
        }
        self.report_evacuated();
    }

    pub(crate) fn report_evacuated(&self) {
        metrics::gauge!("evacuated_domains").set(self.evacuations.domains.len() as f64);
    }

    fn log_answer(&self, domain: &str, evacuated: bool, outcome: &str) {
        let fields = json!({
            "domain": domain, "evacuated": evacuated, "outcome": outcome,
            "revision": self.evacuations.revision, "leader": self.quorum.leader(),
        });
        self.lines.put("evacuation_answered", fields);
    }

    /// The evacuations as JSON text.
    pub(crate) fn show_evacuations(&self) -> String {
        let rows = self.evacuations.domains.iter();
        let rows: Vec<_> = rows
            .map(|(name, since)| json!({ "domain": name, "since": since }))
            .collect();
        json!({ "evacuations": rows, "revision": self.evacuations.revision }).to_string()
    }

    /// Pushes the evacuations to the gateways assigned to this coordinator.
    pub(crate) fn push_evacuations(&mut self) {
        let update = wire::News {
            evacuations: Some((&self.evacuations).into()),
            ..self.base_update()
        };
        self.push_to_assigned(&update);
    }
}
