//! Announces the fake to a coordinator, for gateways that send requests to it directly.

use crate::serve::{Fake, Shared};
use bn_backpressure::Limit;
use bn_platform::call;
use bn_registry::{Condition, Record};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const INTERVAL: Duration = Duration::from_secs(1);

/// Announces until the process terminates; retries while the coordinator is not reachable yet.
pub(crate) fn run(fake: &Fake, control: SocketAddr, shared: &Shared) {
    let start_time = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut record = Record {
        id: fake.name.clone(),
        start_time: start_time.unwrap_or_default().as_millis() as u64,
        service: fake.service.clone(),
        address: Some(fake.listen),
        domain: String::new(),
        slots: fake.capacity,
        condition: Condition::Ready,
        sequence: 0,
        group: String::new(),
        slowdown: 0,
        rank_version: 0,
        limit: Limit::default(),
        cold_left: None,
    };
    let url = format!("http://{control}{}", call::announcement_path(&fake.name));
    loop {
        record.sequence += 1;
        record.cold_left = shared.cold.left();
        let result = bn_platform::encode_announcement(&record).map_err(|e| e.to_string());
        let result = result.and_then(|body| ureq::put(&url).send(body).map_err(|e| e.to_string()));
        if let Err(e) = result {
            log::debug!("announce: {e}");
        }
        std::thread::sleep(INTERVAL);
    }
}
