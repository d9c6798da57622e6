//! TLS for callers and operators, whose requests carry keys.

use crate::{Error, Result};
use bn_conf::Tls;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::path::Path;
use std::sync::Arc;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;

/// Loads the certificate and its private key.
pub(crate) fn acceptor(conf: &Tls) -> Result<TlsAcceptor> {
    let chain = CertificateDer::pem_file_iter(&conf.cert)
        .and_then(Iterator::collect::<std::result::Result<Vec<_>, _>>)
        .map_err(|e| tls_error(&conf.cert, &e))?;
    let key = PrivateKeyDer::from_pem_file(&conf.key).map_err(|e| tls_error(&conf.key, &e))?;
    let config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|e| tls_error(&conf.cert, &e))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn tls_error(path: &Path, reason: &dyn std::fmt::Display) -> Error {
    Error::Tls {
        path: path.into(),
        reason: reason.to_string(),
    }
}
