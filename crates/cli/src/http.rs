//! The commands' HTTP client.

use crate::error::{CliResult, Error, HttpSnafu, IoSnafu};
use snafu::ResultExt;
use std::io::Read;
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use ureq::tls::{Certificate, RootCerts, TlsConfig};

/// Longest wait for what a process answers from memory.
const FROM_MEMORY: Duration = Duration::from_secs(5);

/// Status and body of a short exchange.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) text: String,
}

/// Certificate of the authority that signed the system's; none: plain TCP.
static AUTHORITY: OnceLock<Certificate<'static>> = OnceLock::new();

/// Makes every later request go by TLS, trusting the certificate in this PEM file.
pub(crate) fn trust(path: &Path) -> CliResult {
    let what = path.display().to_string();
    let pem = std::fs::read(path).context(IoSnafu { what: what.clone() })?;
    let cert = Certificate::from_pem(&pem).map_err(|e| Error::Failed {
        reason: format!("{what}: {e}"),
    })?;
    let _ = AUTHORITY.set(cert);
    Ok(())
}

/// The URL of a page of the system.
pub(crate) fn url(address: &str, path: &str) -> String {
    let scheme = if AUTHORITY.get().is_some() {
        "https"
    } else {
        "http"
    };
    format!("{scheme}://{address}{path}")
}

/// An agent that reports statuses and never follows or pools.
pub(crate) fn agent(timeout: Duration) -> ureq::Agent {
    let roots = AUTHORITY.get().cloned().into_iter().collect::<Vec<_>>();
    let tls = TlsConfig::builder()
        .root_certs(RootCerts::Specific(Arc::new(roots)))
        .build();
    ureq::Agent::config_builder()
        .tls_config(tls)
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .timeout_connect(Some(Duration::from_secs(2)))
        .timeout_global(Some(timeout))
        .build()
        .into()
}

/// Prints a page that a process answers from memory.
pub(crate) fn show(address: &str, page: &str) -> CliResult {
    let url = url(address, page);
    let got = get(&url, FROM_MEMORY)?;
    if got.status != 200 {
        let reason = format!("status {}: {}", got.status, got.text);
        return HttpSnafu { url, reason }.fail();
    }
    println!("{}", got.text);
    Ok(())
}

/// GETs a page.
pub(crate) fn get(url: &str, timeout: Duration) -> CliResult<Reply> {
    reply(url, agent(timeout).get(url).call())
}

/// DELETEs what a page stands for.
pub(crate) fn delete(url: &str, timeout: Duration) -> CliResult<Reply> {
    reply(url, agent(timeout).delete(url).call())
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
