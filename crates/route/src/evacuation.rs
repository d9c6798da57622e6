//! Evacuated failure domains: their backend servers get no requests, but their running answers and
//! the forward passes of their groups continue.

use crate::fleet::Fleet;
use crate::server::Server;
use indexmap::IndexSet;

impl Fleet {
    /// Sets the failure domains whose backend servers get no requests.
    pub fn set_evacuated(&mut self, domains: IndexSet<String>) {
        self.evacuated = domains;
    }

    /// Whether a failure domain is evacuated.
    pub fn is_domain_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// Whether a service has backend servers, and all that are not leaving are evacuated.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let mut remaining = self.in_service(service).filter(|s| !s.leaving).peekable();
        remaining.peek().is_some() && remaining.all(|s| self.evacuated.contains(&s.domain))
    }

    /// Backend servers of a service that may get requests.
    pub(crate) fn accepting<'a, 'b>(
        &'a self,
        service: &'b str,
    ) -> impl Iterator<Item = &'a Server> + use<'a, 'b> {
        self.in_service(service).filter(|s| self.accepts(s))
    }

    /// Whether a backend server may get requests: it is neither leaving nor evacuated.
    pub(crate) fn accepts(&self, server: &Server) -> bool {
        !server.leaving && !self.evacuated.contains(&server.domain)
    }
}
