//! One run of the model: a common start, a calm time, changes one after the other.

use crate::simulation::{Shape, World};
use crate::traffic::Load;
use std::time::Duration;

/// Backend servers that announce themselves at the start, over this time.
const START: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(10);
/// Changes after that, and the time between two of them.
const CHANGES: usize = 50;
const BETWEEN: Duration = Duration::from_millis(100);
/// Time after the last of them, in which it reaches everyone.
const SETTLING: Duration = Duration::from_secs(3);

/// What a run showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Busiest coordinator and gateway over the start.
    pub start: (Load, Load),
    /// The same while nothing changes.
    pub calm: (Load, Load),
    /// The same while changes come.
    pub changes: (Load, Load),
    /// Copies of one registration that came to one gateway, in the mean.
    pub copies: f64,
    /// Longest time until a gateway knew of a backend server; none where one never did.
    pub latest: Option<Duration>,
}

/// Plays a fleet before so many backend servers.
pub fn play(seed: u64, shape: Shape, servers: usize) -> Report {
    let mut world = World::new(seed, shape);
    let gap = START / servers.max(1) as u32;
    for number in 0..servers {
        world.announce(number);
        world.run(gap);
    }
    let start = world.loads();
    world.run(SETTLING);
    world.count_anew();
    world.run(CALM);
    let calm = world.loads();
    world.count_anew();
    for number in 0..CHANGES {
        world.announce(servers + number);
        world.run(BETWEEN);
    }
    let changes = world.loads();
    world.run(SETTLING);
    Report {
        start,
        calm,
        changes,
        copies: world.copies(),
        latest: world.latest(),
    }
}
