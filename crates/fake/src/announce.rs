//! Announces the fake to its agent, with a delayed load report.

use crate::serve::{Fake, Shared};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(250);

/// Announces until the process terminates; retries while the agent is not reachable yet.
pub(crate) fn run(fake: &Fake, shared: &Arc<Shared>) {
    let Some(agent) = fake.agent else { return };
    let delay = (fake.load_lag.as_millis() / INTERVAL.as_millis()) as usize;
    let mut history = VecDeque::new();
    loop {
        history.push_back(shared.tokens());
        while history.len() > delay + 1 {
            history.pop_front();
        }
        let tokens = history.front().copied().unwrap_or(0);
        let body = serde_json::json!({
            "name": fake.name, "service": fake.service, "group": fake.group, "rank": fake.rank,
            "address": fake.listen.to_string(), "capacity": fake.capacity, "fences": fake.checks_fences,
            "resumes": true, "leaving": shared.leaving(), "steps": shared.progress(), "load": { "tokens": tokens },
        });
        let sent = ureq::post(format!("http://{agent}/v1/announce")).send(body.to_string());
        if let Err(e) = sent {
            log::debug!("announce: {e}");
        }
        std::thread::sleep(INTERVAL);
    }
}
