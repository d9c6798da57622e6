//! The gateways that callers are sent to, as coordinators tell them and gateways answer.

use bn_wire::messages as wire;
use indexmap::IndexMap;
use snafu::{ResultExt, Snafu};
use std::net::{AddrParseError, SocketAddr};

/// Tells two choices apart; 0: none is known.
pub type Mark = u32;

/// An address that does not parse.
#[derive(Debug, Snafu)]
#[snafu(display("address {text}: {source}"))]
pub struct BadAddress {
    text: String,
    source: AddrParseError,
}

/// A gateway that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedGateway {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: String,
}

impl From<&NamedGateway> for wire::NamedGateway {
    fn from(named: &NamedGateway) -> wire::NamedGateway {
        wire::NamedGateway {
            callers: named.callers.to_string(),
            domain: named.domain.clone(),
        }
    }
}

impl TryFrom<wire::NamedGateway> for NamedGateway {
    type Error = BadAddress;

    fn try_from(raw: wire::NamedGateway) -> Result<NamedGateway, BadAddress> {
        let callers = raw.callers.parse();
        Ok(NamedGateway {
            callers: callers.context(BadAddressSnafu { text: raw.callers })?,
            domain: raw.domain,
        })
    }
}

/// A choice of gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Named {
    gateways: Vec<NamedGateway>,
    mark: Mark,
}

impl Named {
    /// A choice; its order is that in which all failure domains are served alike.
    pub fn new(gateways: Vec<NamedGateway>) -> Named {
        let text: String = gateways
            .iter()
            .map(|g| format!("{} {}\n", g.callers, g.domain))
            .collect();
        let mark = match gateways.is_empty() {
            true => 0,
            false => crc32c::crc32c(text.as_bytes()).max(1),
        };
        Named { gateways, mark }
    }

    /// Tells it from other choices.
    pub fn mark(&self) -> Mark {
        self.mark
    }

    /// All of them.
    pub fn gateways(&self) -> &[NamedGateway] {
        &self.gateways
    }

    /// Where callers of a failure domain connect, their own domain first. Those of a domain are
    /// rotated for each domain of callers: an answer that holds only the first some of many would
    /// leave the others without work.
    pub fn addresses(&self, domain: &str) -> Vec<SocketAddr> {
        let mut sorted: Vec<&NamedGateway> = self.gateways.iter().collect();
        sorted.sort_by_cached_key(|g| (g.domain != domain, turn(g.callers, domain)));
        sorted.into_iter().map(|g| g.callers).collect()
    }

    /// The first so many, of each failure domain in turn.
    pub(crate) fn in_turn<'a>(
        ready: impl Iterator<Item = (SocketAddr, &'a str)>,
        needed: usize,
    ) -> Named {
        let mut by_domain: IndexMap<&str, Vec<SocketAddr>> = IndexMap::new();
        for (callers, domain) in ready {
            by_domain.entry(domain).or_default().push(callers);
        }
        by_domain.sort_unstable_keys();
        let deepest = by_domain.values().map(Vec::len).max().unwrap_or(0);
        let nth = |n: usize| {
            let of = by_domain.iter();
            of.filter_map(move |(domain, all)| Some((*domain, *all.get(n)?)))
        };
        let chosen = (0..deepest).flat_map(nth).take(needed);
        let named = chosen.map(|(domain, callers)| NamedGateway {
            callers,
            domain: domain.into(),
        });
        Named::new(named.collect())
    }
}

/// Place of a gateway in an order that is the same everywhere, and another one for each `salt`.
pub(crate) fn turn(callers: SocketAddr, salt: &str) -> u32 {
    crc32c::crc32c(format!("{callers}{salt}").as_bytes())
}
