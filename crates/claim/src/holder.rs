//! One holder's claims.

use crate::pending::ChainId;
use crate::{Epoch, Key};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Wall clocks of instances differ by less than this.
pub(crate) const CLOCK_BOUND: Duration = Duration::from_secs(2);
/// A claim is kept this long; older keys are refused.
const KEPT: Duration = Duration::from_secs(600);

/// What a holder says to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The chain holds the key here.
    Granted,
    /// Another chain holds it.
    Taken,
    /// The key is older than this holder's memory.
    Forgot,
    /// The asker counts on another set of holders.
    Stale,
}

/// Claims in memory. Wall times are durations since 1970.
#[derive(Debug)]
pub struct Holder {
    /// Keys minted before this were perhaps claimed and are not remembered.
    guard: Duration,
    epoch: Epoch,
    claims: HashMap<Key, ChainId>,
    order: VecDeque<(Duration, Key)>,
}

impl Holder {
    /// A holder that starts at wall time `start` and knows nothing before it.
    pub fn new(start: Duration) -> Holder {
        let guard = start + CLOCK_BOUND;
        Holder {
            guard,
            epoch: 0,
            claims: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// The set of holders changed: a key may have been claimed at holders that this
    /// set no longer asks, so only keys minted from now on can be judged.
    pub fn new_epoch(&mut self, wall: Duration, epoch: Epoch) {
        if epoch > self.epoch {
            if self.epoch > 0 {
                self.guard = self.guard.max(wall + CLOCK_BOUND);
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
            Some(holder) if *holder == chain => return Answer::Granted,
            Some(_) => return Answer::Taken,
            None if minted < self.guard => return Answer::Forgot,
            None => {}
        }
        self.claims.insert(key.into(), chain);
        self.order.push_back((minted, key.into()));
        self.drop_old(wall);
        Answer::Granted
    }

    /// Claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// No claims are held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Drops old claims, and moves the guard past them first: a key whose claim is
    /// dropped must never look unclaimed.
    fn drop_old(&mut self, wall: Duration) {
        let oldest = wall.saturating_sub(KEPT);
        while self
            .order
            .front()
            .is_some_and(|(minted, _)| *minted < oldest)
        {
            self.guard = self.guard.max(oldest);
            if let Some((_, key)) = self.order.pop_front() {
                self.claims.remove(&key);
            }
        }
    }
}
