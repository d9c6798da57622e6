//! What a gateway remembers of runs that were lost, until it is clear whether their backend server
//! ended.
//!
//! A lost connection is no sign by itself: connections are reset, answers break off, a group that lost
//! one rank cuts off the streams of all others. Only an end counts: nobody listens at the address any
//! more, or another start is there.

use crate::{Digest, Start};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A lost run waits so long for the news of an end: a backend server is back, and told, within some
/// seconds, and one that fell silent is noticed by then.
const WAITING: Duration = Duration::from_secs(15);
/// A run that was given up here (its caller left) counts where its backend server ended within this
/// time: it may have been begun meanwhile.
const GIVEN_UP: Duration = Duration::from_secs(1);
/// Starts that are watched at the most: a rack of 24, and some that end besides.
const MOST: usize = 256;
/// Lost runs that are kept of one start.
const MOST_RUNS: usize = 64;

/// A run without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lost {
    /// The request.
    pub digest: Digest,
    /// It was the request's only try in the fleet.
    pub alone: bool,
    /// It was given up here, and did not break off there.
    pub given_up: bool,
}

/// A backend server ended under these requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// The start that ended.
    pub start: Start,
    /// Requests that ran there, and whether that was their only try.
    pub runs: Vec<(Digest, bool)>,
}

/// What to do after a run was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Nothing: a look is under way, or not called for.
    Wait,
    /// Look whether somebody still listens there.
    Look,
    /// It is known to have ended.
    Tell(End),
}

#[derive(Debug, Clone)]
struct Row {
    address: SocketAddr,
    runs: Vec<(Duration, Lost)>,
    looking: bool,
    /// When it was known to have ended.
    ended: Option<Duration>,
    touched: Duration,
}

/// Starts of backend servers at which runs were lost.
#[derive(Debug, Clone, Default)]
pub struct Watch(IndexMap<Start, Row>);

impl Watch {
    /// A run was lost.
    pub fn lost(&mut self, now: Duration, start: &Start, address: SocketAddr, lost: Lost) -> Next {
        self.sweep(now);
        let row = self.0.entry(start.clone()).or_insert_with(|| Row {
            address,
            runs: Vec::new(),
            looking: false,
            ended: None,
            touched: now,
        });
        row.touched = now;
        if let Some(ended) = row.ended {
            let late = lost.given_up && now > ended + GIVEN_UP;
            return if late {
                Next::Wait
            } else {
                Next::Tell(end(start, &[lost]))
            };
        }
        if row.runs.len() < MOST_RUNS {
            row.runs.push((now, lost));
        }
        if lost.given_up || row.looking {
            return Next::Wait;
        }
        row.looking = true;
        Next::Look
    }

    /// Somebody took a connection there: what broke was the connection.
    pub fn lives(&mut self, start: &Start) {
        if let Some(row) = self.0.get_mut(start) {
            row.looking = false;
            row.runs.retain(|(_, lost)| lost.given_up);
        }
    }

    /// Nobody answered the look: it may be cut off. The runs wait for other news.
    pub fn unclear(&mut self, start: &Start) {
        if let Some(row) = self.0.get_mut(start) {
            row.looking = false;
        }
    }

    /// Nobody listens there: it has ended. Told once; runs that are lost later are told as they come.
    pub fn ended(&mut self, now: Duration, start: &Start) -> Option<End> {
        let row = self.0.get_mut(start)?;
        if row.ended.is_some() {
            return None;
        }
        row.ended = Some(now);
        let runs = std::mem::take(&mut row.runs);
        // Where nothing broke, the end came by other news, maybe seconds late.
        let broke = runs.iter().find(|(_, l)| !l.given_up).map(|(at, _)| *at);
        let at = broke.unwrap_or(now);
        let counts = |at_lost: &Duration, l: &Lost| !l.given_up || *at_lost + GIVEN_UP > at;
        let runs = runs.iter().filter(|(a, l)| counts(a, l));
        let runs: Vec<Lost> = runs.map(|(_, l)| *l).collect();
        (!runs.is_empty()).then(|| end(start, &runs))
    }

    /// A backend server is told of: starts before it under the same id, and others at its address, have
    /// ended.
    pub fn followed(
        &mut self,
        now: Duration,
        next: &Start,
        address: Option<SocketAddr>,
    ) -> Vec<End> {
        let over = |(start, row): &(&Start, &Row)| {
            let earlier = start.id == next.id && start.began < next.began;
            let replaced = start.id != next.id && Some(row.address) == address;
            row.ended.is_none() && (earlier || replaced)
        };
        let over: Vec<Start> = self.0.iter().filter(over).map(|(s, _)| s.clone()).collect();
        over.iter().filter_map(|s| self.ended(now, s)).collect()
    }

    fn sweep(&mut self, now: Duration) {
        self.0
            .retain(|_, r| now.saturating_sub(r.touched) < WAITING);
        while self.0.len() >= MOST {
            self.0.shift_remove_index(0);
        }
    }
}

fn end(start: &Start, runs: &[Lost]) -> End {
    End {
        start: start.clone(),
        runs: runs.iter().map(|l| (l.digest, l.alone)).collect(),
    }
}
