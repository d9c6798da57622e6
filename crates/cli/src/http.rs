//! HTTP client of the commands.

use crate::error::{CliResult, Error, HttpSnafu, IoSnafu};
use snafu::ResultExt;
use std::io::Read;
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use ureq::tls::{Certificate, RootCerts, TlsConfig};

/// Timeout for pages that a process serves from memory.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Status and body of a short response.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) text: String,
}

/// Certificate of the authority that signed the system's certificates; unset: plain TCP.
static CA: OnceLock<Certificate<'static>> = OnceLock::new();

/// Sends every later request over TLS, trusting the certificate in this PEM file.
pub(crate) fn set_ca(path: &Path) -> CliResult {
    let name = path.display().to_string();
    let pem = std::fs::read(path).context(IoSnafu { name: name.clone() })?;
    let cert = Certificate::from_pem(&pem).map_err(|e| Error::Failed {
        reason: format!("{name}: {e}"),
    })?;
    let _ = CA.set(cert);
    Ok(())
}

/// URL of a page of the system.
pub(crate) fn url(address: &str, path: &str) -> String {
    let scheme = if CA.get().is_some() { "https" } else { "http" };
    format!("{scheme}://{address}{path}")
}

/// Agent that returns every status as a response, follows no redirects and pools no connections.
pub(crate) fn agent(timeout: Duration) -> ureq::Agent {
    let roots = CA.get().cloned().into_iter().collect::<Vec<_>>();
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

/// Prints a page that a process serves from memory.
pub(crate) fn print_page(address: &str, page: &str) -> CliResult {
    let url = url(address, page);
    let reply = get(&url, PAGE_TIMEOUT)?;
    if reply.status != 200 {
        let reason = format!("status {}: {}", reply.status, reply.text);
        return HttpSnafu { url, reason }.fail();
    }
    println!("{}", reply.text);
    Ok(())
}

/// Sends a GET request.
pub(crate) fn get(url: &str, timeout: Duration) -> CliResult<Reply> {
    into_reply(url, agent(timeout).get(url).call())
}

/// Sends a DELETE request.
pub(crate) fn delete(url: &str, timeout: Duration) -> CliResult<Reply> {
    into_reply(url, agent(timeout).delete(url).call())
}

/// Sends a POST request with a text body.
pub(crate) fn post(url: &str, body: &str, timeout: Duration) -> CliResult<Reply> {
    into_reply(url, agent(timeout).post(url).send(body))
}

fn into_reply(
    url: &str,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> CliResult<Reply> {
    let fail = |reason: String| Error::Http {
        url: url.into(),
        reason,
    };
    let response = result.map_err(|e| fail(e.to_string()))?;
    let status = response.status().as_u16();
    let mut text = String::new();
    let read = response.into_body().into_reader().read_to_string(&mut text);
    read.map_err(|e| fail(e.to_string()))?;
    Ok(Reply { status, text })
}
