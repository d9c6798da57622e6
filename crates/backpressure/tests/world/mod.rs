//! Gateways, coordinators and one backend server as plain values on a manual clock.

use bn_backpressure::{Answer, Asked, Limit, Share, Terms};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after the first word from which the users' bound holds, and the span over which it does.
pub(crate) const KNOWN_WITHIN: Duration = Duration::from_secs(3);
pub(crate) const SPAN: Duration = Duration::from_secs(4);
/// A gateway that passed the word on so long ago counts among those that were told.
const TOLD_FOR: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(20);
/// Between two asks of coordinators, and after how much silence a gateway leaves the list.
const ASK: Duration = Duration::from_millis(270);
const SILENCE: Duration = Duration::from_millis(1_700);
/// Longest time from a choice to the request's arrival, and from there to the head of its answer.
const LONGEST_WAY: u64 = 300;
const LONGEST_ANSWER: u64 = 1_500;
const ID: &str = "b";

pub(crate) fn address(n: usize) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into()
}

pub(crate) fn answer(sent: Duration, limit: Option<f64>) -> Answer {
    let asked = Asked {
        limit,
        ..Asked::default()
    };
    let own = true;
    Answer { asked, sent, own }
}

struct Gateway {
    terms: Terms,
    share: Share,
    due: Duration,
    /// It passed on an answer with a limit first then.
    told: Option<Duration>,
    /// It is cut off from coordinators, or does not run, until then.
    away: Duration,
    /// What it sends does not count until then.
    excused: Duration,
    heard: Duration,
}

struct Arrival {
    at: Duration,
    counts: bool,
}

pub(crate) struct World {
    rng: SmallRng,
    now: Duration,
    gateways: Vec<Gateway>,
    /// What coordinators know.
    limit: Limit,
    named: Option<f64>,
    first: Option<Duration>,
    /// Requests on their way: arrival, gateway, when it was sent.
    coming: Vec<(Duration, usize, Duration)>,
    answers: Vec<(Duration, usize, Answer)>,
    arrivals: VecDeque<Arrival>,
}

impl World {
    pub(crate) fn new(seed: u64, count: usize) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gateways = (0..count).map(|n| Gateway {
            terms: Terms::default(),
            share: Share {
                own: Some(address(n)),
                gateways: (0..count).map(address).collect(),
            },
            due: rng.random_range(Duration::ZERO..ASK),
            told: None,
            away: Duration::ZERO,
            excused: Duration::ZERO,
            heard: Duration::ZERO,
        });
        let gateways = gateways.collect();
        World {
            rng,
            now: Duration::from_secs(1),
            gateways,
            limit: Limit::default(),
            named: None,
            first: None,
            coming: Vec::new(),
            answers: Vec::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// The backend server names this from now on.
    pub(crate) fn name(&mut self, limit: Option<f64>) {
        self.named = limit;
    }

    /// A gateway restarts, or is cut off from the coordinators.
    pub(crate) fn disturb(&mut self) {
        let n = self.rng.random_range(0..self.gateways.len());
        let away = Duration::from_millis(self.rng.random_range(200..6_000));
        let restarts = self.rng.random_bool(0.5);
        let gateway = &mut self.gateways[n];
        gateway.away = self.now + away;
        gateway.excused = gateway.away + KNOWN_WITHIN;
        if restarts {
            gateway.terms = Terms::default();
            gateway.share.gateways.clear();
            gateway.told = None;
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.exchange();
            self.send();
            self.arrive();
            self.answer();
        }
    }

    fn exchange(&mut self) {
        let now = self.now;
        let listed = |g: &Gateway| now < g.heard + SILENCE;
        let met = now > Duration::from_secs(1) + SILENCE;
        let list: Vec<SocketAddr> = self
            .gateways
            .iter()
            .enumerate()
            .filter(|(_, g)| !met || listed(g))
            .map(|(n, _)| address(n))
            .collect();
        let id = ID.to_string();
        for gateway in &mut self.gateways {
            if now < gateway.due || now < gateway.away {
                continue;
            }
            gateway.due = now + ASK;
            gateway.heard = now;
            // Words reach the coordinators at one ask, and come back with the next.
            let draw = self.rng.random();
            let known = self.limit;
            self.limit = self.limit.or(gateway.terms.limit());
            gateway.terms.learn(now, &id, known, &gateway.share, draw);
            if gateway.share.gateways != list {
                gateway.share.gateways.clone_from(&list);
                gateway.terms.reshare(now, &id, &gateway.share, draw);
            }
        }
    }

    /// Each gateway would always send: the limited backend server looks idle.
    fn send(&mut self) {
        for (n, gateway) in self.gateways.iter_mut().enumerate() {
            // Before the word some ten a second are enough.
            let wants = gateway.terms.limit().rate.is_some() || self.rng.random_bool(0.05);
            if !wants || !gateway.terms.is_open(self.now) {
                continue;
            }
            gateway.terms.sent(self.now);
            let way = Duration::from_millis(self.rng.random_range(1..LONGEST_WAY));
            self.coming.push((self.now + way, n, self.now + way));
        }
    }

    fn arrive(&mut self) {
        let now = self.now;
        let here: Vec<_> = self.coming.extract_if(.., |c| c.0 <= now).collect();
        for (at, n, sent) in here {
            if self.named.is_some() {
                self.first.get_or_insert(at);
            }
            let gateway = &self.gateways[n];
            let told = gateway.told.is_some_and(|told| at >= told + TOLD_FOR);
            let counts = told && at >= gateway.excused;
            self.arrivals.push_back(Arrival { at, counts });
            let after = Duration::from_millis(self.rng.random_range(1..LONGEST_ANSWER));
            self.answers.push((at + after, n, answer(sent, self.named)));
        }
    }

    fn answer(&mut self) {
        let now = self.now;
        let here: Vec<_> = self.answers.extract_if(.., |a| a.0 <= now).collect();
        let id = ID.to_string();
        for (at, n, answer) in here {
            // One in twenty is lost.
            if self.rng.random_bool(0.05) {
                continue;
            }
            let draw = self.rng.random();
            let gateway = &mut self.gateways[n];
            if answer.asked.limit.is_some() {
                gateway.told.get_or_insert(at);
            }
            gateway.terms.heard(now, &id, &answer, &gateway.share, draw);
        }
    }

    /// Most requests of gateways that were told within any span, from so long after the first word on.
    pub(crate) fn most_within(&self, span: Duration, after: Duration) -> usize {
        let Some(first) = self.first else { return 0 };
        let counted = self.arrivals.iter().filter(|a| a.counts);
        let mut times: Vec<Duration> = counted
            .map(|a| a.at)
            .filter(|t| *t >= first + after)
            .collect();
        times.sort_unstable();
        let mut most = 0;
        let mut from = 0;
        for (n, time) in times.iter().enumerate() {
            while times[from] + span <= *time {
                from += 1;
            }
            most = most.max(n + 1 - from);
        }
        most
    }

    pub(crate) fn arrived(&self) -> usize {
        self.arrivals.len()
    }

    /// The limit as each gateway knows it.
    pub(crate) fn known(&self) -> Vec<Option<f64>> {
        self.gateways.iter().map(|g| g.terms.limit().rate).collect()
    }
}
