//! Expert maps: which ranks hold which expert, layer by layer.

use crate::RankId;
use snafu::Snafu;
use std::fmt;

/// What is wrong with a map's text.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MapFault {
    /// A part is no number.
    #[snafu(display("{part:?}: give ranks joined by '+', experts by '.', layers by '/'"))]
    Part {
        /// The part.
        part: String,
    },
    /// The layers differ in their number of experts.
    #[snafu(display("every layer must name the same number of experts"))]
    Ragged,
}

/// Ranks of each expert of each layer. The first rank of an expert is its home, others
/// hold replicas. As text: `0.1+2/1.0` is two layers of two experts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExpertMap {
    /// By layer, then expert: the ranks that hold it.
    pub layers: Vec<Vec<Vec<RankId>>>,
}

impl ExpertMap {
    /// Experts in turn on the ranks, one copy of each.
    pub fn even(layers: usize, experts: usize, ranks: usize) -> ExpertMap {
        let layer = || {
            (0..experts)
                .map(|e| vec![(e % ranks.max(1)) as RankId])
                .collect()
        };
        ExpertMap {
            layers: (0..layers).map(|_| layer()).collect(),
        }
    }

    /// Reads the text form.
    pub fn parse(text: &str) -> Result<ExpertMap, MapFault> {
        let rank = |part: &str| {
            let fault = |_| MapFault::Part { part: part.into() };
            part.parse::<RankId>().map_err(fault)
        };
        let expert = |text: &str| text.split('+').map(rank).collect::<Result<Vec<_>, _>>();
        let layer = |text: &str| text.split('.').map(expert).collect::<Result<Vec<_>, _>>();
        let layers = text.split('/').map(layer).collect::<Result<Vec<_>, _>>()?;
        let even = layers
            .windows(2)
            .all(|w| matches!(w, [a, b] if a.len() == b.len()));
        if even {
            Ok(ExpertMap { layers })
        } else {
            Err(MapFault::Ragged)
        }
    }

    /// Layers, and experts of a layer.
    pub fn shape(&self) -> (usize, usize) {
        (self.layers.len(), self.layers.first().map_or(0, Vec::len))
    }

    /// Every rank it names is below `ranks`, and no expert names one twice.
    pub fn fits(&self, ranks: u32) -> bool {
        let right = |holders: &Vec<RankId>| {
            let mut sorted = holders.clone();
            sorted.sort_unstable();
            sorted.dedup();
            sorted.len() == holders.len() && sorted.iter().all(|r| *r < ranks)
        };
        self.layers.iter().flatten().all(right)
    }

    /// Copies that `next` has where this map has none: what must be loaded.
    pub fn loads(&self, next: &ExpertMap) -> usize {
        let pairs = self
            .layers
            .iter()
            .flatten()
            .zip(next.layers.iter().flatten());
        pairs
            .map(|(old, new)| new.iter().filter(|r| !old.contains(r)).count())
            .sum()
    }
}

impl fmt::Display for ExpertMap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let expert = |holders: &Vec<RankId>| {
            holders
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("+")
        };
        let layer = |l: &Vec<Vec<RankId>>| l.iter().map(expert).collect::<Vec<_>>().join(".");
        f.write_str(&self.layers.iter().map(layer).collect::<Vec<_>>().join("/"))
    }
}
