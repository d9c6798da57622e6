//! HTTP towards backend servers: one connection a request. A pooled connection may be
//! dead at write time, and a second try by the library would run a request twice.

use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client for one request that must end within `patience`.
pub(crate) fn once(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .max_idle_connections(0)
        .max_redirects(0)
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(timeout))
        .build()
        .into()
}
