//! What a process has used and exchanged, as a line now and then and on the metrics page.

use crate::Net;
use bn_trace::Lines;
use serde_json::{Value, json};
use std::time::Duration;

/// Between two lines: a day has 8,640 of them, of some KB each.
const INTERVAL: Duration = Duration::from_secs(10);

/// When the next line is due.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsageReporter {
    next_report: Duration,
}

impl UsageReporter {
    /// Writes the line if it is due. `queues` says how much waits in this process, and how much did at
    /// the most.
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

/// One flow as a part of the line; its counters are brought up to date.
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
