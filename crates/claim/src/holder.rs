//! The claims of one holder.

use crate::pending::ChainId;
use crate::{Epoch, Key};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Upper bound of the difference between the wall clocks of instances.
pub(crate) const CLOCK_BOUND: Duration = Duration::from_secs(2);
/// How long a claim is kept; older keys are refused.
const RETENTION: Duration = Duration::from_secs(600);

/// A holder's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The chain holds the key at this holder.
    Granted,
    /// Another chain holds the key.
    Taken,
    /// The key is older than this holder's memory.
    Forgot,
    /// The claimant uses another set of holders.
    Stale,
}

/// Claims in memory. Wall times are durations since 1970.
#[derive(Debug)]
pub struct Holder {
    /// Keys minted before this may have had claims that are no longer known.
    cutoff: Duration,
    epoch: Epoch,
    claims: HashMap<Key, ChainId>,
    insertion_order: VecDeque<(Duration, Key)>,
}

impl Holder {
    /// A holder that starts at wall time `start` without earlier claims.
    pub fn new(start: Duration) -> Holder {
        let cutoff = start + CLOCK_BOUND;
        Holder {
            cutoff,
            epoch: 0,
            claims: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// The set of holders changed: a key may have been claimed at holders that are no longer
    /// in the set, so only keys minted from now on can be granted.
    pub fn new_epoch(&mut self, wall: Duration, epoch: Epoch) {
        if epoch > self.epoch {
            if self.epoch > 0 {
                self.cutoff = self.cutoff.max(wall + CLOCK_BOUND);
            }
            self.epoch = epoch;
        }
    }

    /// Claims `key`, minted at wall time `minted`, for `chain`.
    pub fn claim(
        &mut self,
        wall: Duration,
        key: &str,
        minted: Duration,
        chain: ChainId,
        epoch: Epoch,
    ) -> Answer {
        if epoch != self.epoch {
            return Answer::Stale;
        }
        match self.claims.get(key) {
            Some(owner) if *owner == chain => return Answer::Granted,
            Some(_) => return Answer::Taken,
            None if minted < self.cutoff => return Answer::Forgot,
            None => {}
        }
        self.claims.insert(key.into(), chain);
        self.insertion_order.push_back((minted, key.into()));
        self.drop_expired(wall);
        Answer::Granted
    }

    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claims are held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Drops expired claims, and moves the cutoff past them first: a key whose claim is
    /// dropped must never look unclaimed.
    fn drop_expired(&mut self, wall: Duration) {
        let oldest = wall.saturating_sub(RETENTION);
        while self
            .insertion_order
            .front()
            .is_some_and(|(minted, _)| *minted < oldest)
        {
            self.cutoff = self.cutoff.max(oldest);
            if let Some((_, key)) = self.insertion_order.pop_front() {
                self.claims.remove(&key);
            }
        }
    }
}
