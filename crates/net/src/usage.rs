//! What a process has used and exchanged, as a line now and then and on the metrics page.

use crate::Net;
use bn_trace::Lines;
use serde_json::{Value, json};
use std::time::Duration;

/// Between two lines: a day has 8,640 of them, of some KB each.
const GAP: Duration = Duration::from_secs(10);

/// When the next line is due.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    due: Duration,
}

impl Usage {
    /// Writes the line if it is due. `queues` says how much waits in this process, and how much did at
    /// the most.
    pub fn note(
        &mut self,
        now: Duration,
        net: &Net,
        lines: &Lines,
        queues: impl FnOnce() -> Value,
    ) {
        if now < self.due {
            return;
        }
        self.due = now + GAP;
        let used = bn_trace::usage();
        let flows: Vec<Value> = net.traffic().into_iter().map(flow).collect();
        let fields = json!({
            "cpu_s": used.cpu_seconds, "resident_bytes": used.resident_bytes,
            "links": net.links(), "queues": queues(), "traffic": flows,
        });
        lines.put("usage", fields);
    }
}

/// One flow as a part of the line; its counters are brought up to date.
fn flow((flow, tally): (crate::Flow, crate::Tally)) -> Value {
    let labels = [
        ("way", flow.way.name()),
        ("kind", flow.kind),
        ("peer", flow.peer_name()),
    ];
    metrics::counter!("link_peer_messages", &labels).absolute(tally.messages);
    metrics::counter!("link_peer_bytes", &labels).absolute(tally.bytes);
    json!([
        flow.way.name(),
        flow.kind,
        flow.peer_name(),
        tally.messages,
        tally.bytes
    ])
}
