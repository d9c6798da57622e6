//! What a document must hold as a whole, and the indexes that fall out of checking it.

use crate::plan::{Account, Route, Service, ServiceId};
use crate::{
    NoTimeoutSnafu, NoWeightSnafu, Result, SamePlaceSnafu, SharedKeySnafu, UnknownServiceSnafu,
};
use indexmap::IndexMap;
use snafu::ensure;

/// Each route names known services, has a weight and a timeout.
pub(crate) fn routes(routes: &[Route], services: &IndexMap<ServiceId, Service>) -> Result<()> {
    for route in routes {
        for part in &route.parts {
            let known = services.contains_key(&part.service);
            let (route, service) = (&route.name, &part.service);
            ensure!(known, UnknownServiceSnafu { route, service });
        }
        let route_name = &route.name;
        ensure!(route.weight_sum() > 0, NoWeightSnafu { route: route_name });
        ensure!(
            !route.timeout.is_zero(),
            NoTimeoutSnafu { route: route_name }
        );
    }
    Ok(())
}

/// Route positions by host and prefix; no place is taken twice.
pub(crate) fn places(routes: &[Route]) -> Result<IndexMap<String, IndexMap<String, usize>>> {
    let mut places: IndexMap<String, IndexMap<String, usize>> = IndexMap::new();
    for (at, route) in routes.iter().enumerate() {
        let host = route.host.to_ascii_lowercase();
        let taken = places
            .entry(host)
            .or_default()
            .insert(route.prefix.clone(), at);
        if let Some(first) = taken.and_then(|t| routes.get(t)) {
            let (first, second) = (&first.name, &route.name);
            return SamePlaceSnafu { first, second }.fail();
        }
    }
    Ok(places)
}

/// Account positions by key; no key belongs to two accounts.
pub(crate) fn keys(accounts: &[Account]) -> Result<IndexMap<String, usize>> {
    let mut keys = IndexMap::new();
    for (at, account) in accounts.iter().enumerate() {
        for key in &account.keys {
            let taken = keys.insert(key.clone(), at).filter(|t| *t != at);
            if let Some(first) = taken.and_then(|t| accounts.get(t)) {
                let (first, second) = (&first.name, &account.name);
                return SharedKeySnafu { first, second }.fail();
            }
        }
    }
    Ok(keys)
}
