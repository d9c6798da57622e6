//! HTTP client for backend servers, with one connection per request. A pooled connection may
//! already be closed when it is written to, and a retry by the library would run the request twice.

use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns a client for one request that must complete within `timeout`.
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
