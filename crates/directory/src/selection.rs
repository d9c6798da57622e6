//! The selected gateways, as coordinators report them and gateways list them to callers.

use bn_wire::messages as wire;
use indexmap::IndexMap;
use snafu::{ResultExt, Snafu};
use std::net::{AddrParseError, SocketAddr};

/// Distinguishes selections; 0: none is known.
pub type Checksum = u32;

/// A gateway address that does not parse.
#[derive(Debug, Snafu)]
#[snafu(display("invalid gateway address {text}: {source}"))]
pub struct InvalidAddress {
    text: String,
    source: AddrParseError,
}

/// A gateway that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedGateway {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: String,
}

impl From<&SelectedGateway> for wire::NamedGateway {
    fn from(gateway: &SelectedGateway) -> wire::NamedGateway {
        wire::NamedGateway {
            callers: gateway.callers.to_string(),
            domain: gateway.domain.clone(),
        }
    }
}

impl TryFrom<wire::NamedGateway> for SelectedGateway {
    type Error = InvalidAddress;

    fn try_from(raw: wire::NamedGateway) -> Result<SelectedGateway, InvalidAddress> {
        let callers = raw.callers.parse();
        Ok(SelectedGateway {
            callers: callers.context(InvalidAddressSnafu { text: raw.callers })?,
            domain: raw.domain,
        })
    }
}

/// A selection of gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewaySelection {
    gateways: Vec<SelectedGateway>,
    checksum: Checksum,
}

impl GatewaySelection {
    /// A selection, in an order that serves all failure domains equally.
    pub fn new(gateways: Vec<SelectedGateway>) -> GatewaySelection {
        let text: String = gateways
            .iter()
            .map(|g| format!("{} {}\n", g.callers, g.domain))
            .collect();
        let checksum = match gateways.is_empty() {
            true => 0,
            false => crc32c::crc32c(text.as_bytes()).max(1),
        };
        GatewaySelection { gateways, checksum }
    }

    /// Distinguishes it from other selections.
    pub fn checksum(&self) -> Checksum {
        self.checksum
    }

    /// All selected gateways.
    pub fn gateways(&self) -> &[SelectedGateway] {
        &self.gateways
    }

    /// Where callers of a failure domain connect, their own domain first. The order within a domain
    /// differs for each domain of callers: an answer that holds only the first few of many would
    /// otherwise leave the rest without requests.
    pub fn addresses(&self, domain: &str) -> Vec<SocketAddr> {
        let mut sorted: Vec<&SelectedGateway> = self.gateways.iter().collect();
        sorted.sort_by_cached_key(|g| (g.domain != domain, hash_order(g.callers, domain)));
        sorted.into_iter().map(|g| g.callers).collect()
    }

    /// The first `needed` gateways, round-robin over the failure domains.
    pub(crate) fn round_robin<'a>(
        candidates: impl Iterator<Item = (SocketAddr, &'a str)>,
        needed: usize,
    ) -> GatewaySelection {
        let mut by_domain: IndexMap<&str, Vec<SocketAddr>> = IndexMap::new();
        for (callers, domain) in candidates {
            by_domain.entry(domain).or_default().push(callers);
        }
        by_domain.sort_unstable_keys();
        let largest = by_domain.values().map(Vec::len).max().unwrap_or(0);
        let nth = |n: usize| {
            let domains = by_domain.iter();
            domains.filter_map(move |(domain, all)| Some((*domain, *all.get(n)?)))
        };
        let selected = (0..largest).flat_map(nth).take(needed);
        let gateways = selected.map(|(domain, callers)| SelectedGateway {
            callers,
            domain: domain.into(),
        });
        GatewaySelection::new(gateways.collect())
    }
}

/// Position of a gateway in an order that is the same in all processes and differs for each `salt`.
pub(crate) fn hash_order(callers: SocketAddr, salt: &str) -> u32 {
    crc32c::crc32c(format!("{callers}{salt}").as_bytes())
}
