//! Validation of a document as a whole, and the indexes built in the process.

use crate::document::{Account, Route, Service, ServiceId};
use crate::{
    DuplicateKeySnafu, DuplicateRouteSnafu, Result, UnknownServiceSnafu, ZeroTimeoutSnafu,
    ZeroWeightSnafu,
};
use indexmap::IndexMap;
use snafu::ensure;

/// Requires known services, a weight and a timeout of each route.
pub(crate) fn routes(routes: &[Route], services: &IndexMap<ServiceId, Service>) -> Result<()> {
    for route in routes {
        for weighted in &route.services {
            let known = services.contains_key(&weighted.service);
            let (route, service) = (&route.name, &weighted.service);
            ensure!(known, UnknownServiceSnafu { route, service });
        }
        let route_name = &route.name;
        ensure!(
            route.total_weight() > 0,
            ZeroWeightSnafu { route: route_name }
        );
        ensure!(
            !route.timeout.is_zero(),
            ZeroTimeoutSnafu { route: route_name }
        );
    }
    Ok(())
}

/// Route positions by host and prefix; duplicates are rejected.
pub(crate) fn route_index(routes: &[Route]) -> Result<IndexMap<String, IndexMap<String, usize>>> {
    let mut index: IndexMap<String, IndexMap<String, usize>> = IndexMap::new();
    for (pos, route) in routes.iter().enumerate() {
        let host = route.host.to_ascii_lowercase();
        let previous = index
            .entry(host)
            .or_default()
            .insert(route.prefix.clone(), pos);
        if let Some(first) = previous.and_then(|p| routes.get(p)) {
            let (first, second) = (&first.name, &route.name);
            return DuplicateRouteSnafu { first, second }.fail();
        }
    }
    Ok(index)
}

/// Account positions by key; a key of two accounts is rejected.
pub(crate) fn key_index(accounts: &[Account]) -> Result<IndexMap<String, usize>> {
    let mut index = IndexMap::new();
    for (pos, account) in accounts.iter().enumerate() {
        for key in &account.keys {
            let other = index.insert(key.clone(), pos).filter(|p| *p != pos);
            if let Some(first) = other.and_then(|p| accounts.get(p)) {
                let (first, second) = (&first.name, &account.name);
                return DuplicateKeySnafu { first, second }.fail();
            }
        }
    }
    Ok(index)
}
