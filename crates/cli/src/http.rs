//! The commands' HTTP client.

use crate::error::{CliResult, Error};
use std::io::Read;
use std::time::Duration;

/// Status and body of a short exchange.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) text: String,
}

/// An agent that reports statuses and never follows or pools.
pub(crate) fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .timeout_connect(Some(Duration::from_secs(2)))
        .timeout_global(Some(timeout))
        .build()
        .into()
}

/// GETs a page.
pub(crate) fn get(url: &str, timeout: Duration) -> CliResult<Reply> {
    reply(url, agent(timeout).get(url).call())
}

/// POSTs a text.
pub(crate) fn post(url: &str, body: &str, timeout: Duration) -> CliResult<Reply> {
    reply(url, agent(timeout).post(url).send(body))
}

fn reply(
    url: &str,
    got: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> CliResult<Reply> {
    let fail = |reason: String| Error::Http {
        url: url.into(),
        reason,
    };
    let response = got.map_err(|e| fail(e.to_string()))?;
    let status = response.status().as_u16();
    let mut text = String::new();
    let read = response.into_body().into_reader().read_to_string(&mut text);
    read.map_err(|e| fail(e.to_string()))?;
    Ok(Reply { status, text })
}
