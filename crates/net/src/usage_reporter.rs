//! Resource usage and traffic of a process, as a periodic log line and as metrics.

use crate::Net;
use bn_trace::Lines;
use serde_json::{Value, json};
use std::time::Duration;

/// Interval between two lines: 8,640 lines a day, of a few KB each.
const INTERVAL: Duration = Duration::from_secs(10);

/// Writes the `usage` line periodically.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsageReporter {
    next_report: Duration,
}

impl UsageReporter {
    /// Writes the line if it is due. `queues` returns the current and longest lengths of this
    /// process's queues.
    pub fn report_if_due(
        &mut self,
        now: Duration,
        net: &Net,
        lines: &Lines,
        queues: impl FnOnce() -> Value,
    ) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + INTERVAL;
        let used = bn_trace::process_usage();
        let flows: Vec<Value> = net.traffic().into_iter().map(flow_json).collect();
        let fields = json!({
            "cpu_s": used.cpu_seconds, "resident_bytes": used.resident_bytes,
            "links": net.link_count(), "queues": queues(), "traffic": flows,
        });
        lines.put("usage", fields);
    }
}

/// Returns one flow's part of the line, and updates the flow's metrics.
fn flow_json((flow, tally): (crate::Flow, crate::Tally)) -> Value {
    let labels = [
        ("way", flow.disposition.name()),
        ("kind", flow.kind),
        ("peer", flow.peer_name()),
    ];
    metrics::counter!("link_peer_messages", &labels).absolute(tally.messages);
    metrics::counter!("link_peer_bytes", &labels).absolute(tally.bytes);
    json!([
        flow.disposition.name(),
        flow.kind,
        flow.peer_name(),
        tally.messages,
        tally.bytes
    ])
}
