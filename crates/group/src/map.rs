//! Expert maps: which ranks hold which expert in each layer.

use crate::RankId;
use snafu::Snafu;
use std::fmt;

/// Why the text form of a map is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MapError {
    /// A rank is not a number.
    #[snafu(display("{part:?}: give ranks joined by '+', experts by '.', layers by '/'"))]
    InvalidRank {
        /// The invalid text.
        part: String,
    },
    /// The layers have different numbers of experts.
    #[snafu(display("every layer must name the same number of experts"))]
    UnequalLayers,
}

/// Ranks that hold each expert of each layer. The first rank of an expert is its home, the others
/// hold replicas. In text form, `0.1+2/1.0` is two layers of two experts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExpertMap {
    /// By layer, then expert: the ranks that hold it.
    pub layers: Vec<Vec<Vec<RankId>>>,
}

impl ExpertMap {
    /// Assigns the experts to the ranks round-robin, one copy of each.
    pub fn round_robin(layers: usize, experts: usize, ranks: usize) -> ExpertMap {
        let layer = || {
            (0..experts)
                .map(|e| vec![(e % ranks.max(1)) as RankId])
                .collect()
        };
        ExpertMap {
            layers: (0..layers).map(|_| layer()).collect(),
        }
    }

    /// Parses the text form.
    pub fn parse(text: &str) -> Result<ExpertMap, MapError> {
        let rank = |part: &str| {
            let invalid = |_| MapError::InvalidRank { part: part.into() };
            part.parse::<RankId>().map_err(invalid)
        };
        let expert = |text: &str| text.split('+').map(rank).collect::<Result<Vec<_>, _>>();
        let layer = |text: &str| text.split('.').map(expert).collect::<Result<Vec<_>, _>>();
        let layers = text.split('/').map(layer).collect::<Result<Vec<_>, _>>()?;
        let uniform = layers
            .windows(2)
            .all(|w| matches!(w, [a, b] if a.len() == b.len()));
        if uniform {
            Ok(ExpertMap { layers })
        } else {
            Err(MapError::UnequalLayers)
        }
    }

    /// Number of layers, and of experts per layer.
    pub fn shape(&self) -> (usize, usize) {
        (self.layers.len(), self.layers.first().map_or(0, Vec::len))
    }

    /// Whether every rank is below `ranks` and no expert lists a rank twice.
    pub fn is_valid_for(&self, ranks: u32) -> bool {
        let valid = |holders: &Vec<RankId>| {
            let mut sorted = holders.clone();
            sorted.sort_unstable();
            sorted.dedup();
            sorted.len() == holders.len() && sorted.iter().all(|r| *r < ranks)
        };
        self.layers.iter().flatten().all(valid)
    }

    /// Number of copies in `next` that this map does not have, which must be loaded.
    pub fn copies_to_load(&self, next: &ExpertMap) -> usize {
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
