//! A simulation of gateways, coordinators and one backend server on a manual clock.

use bn_backpressure::{Backpressure, Directives, Feedback, GatewaySet, Limit};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// The users' bound holds from this time after the first named limit on, over any such span.
pub(crate) const KNOWN_WITHIN: Duration = Duration::from_secs(3);
pub(crate) const SPAN: Duration = Duration::from_secs(4);
/// A gateway counts as informed from this long after it first received a response with a limit.
const INFORMED_AFTER: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(20);
/// Interval between two polls of the coordinators, and time without contact after which a gateway
/// is removed from the list.
const POLL_INTERVAL: Duration = Duration::from_millis(270);
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Longest time from the choice to the request's arrival, and from there to its response head.
const MAX_TRANSIT_MS: u64 = 300;
const MAX_RESPONSE_MS: u64 = 1_500;
const ID: &str = "b";

pub(crate) fn address(n: usize) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into()
}

pub(crate) fn feedback(sent_at: Duration, limit: Option<f64>) -> Feedback {
    let directives = Directives {
        limit,
        ..Directives::default()
    };
    Feedback {
        directives,
        sent_at,
        authentic: true,
    }
}

struct Gateway {
    state: Backpressure,
    set: GatewaySet,
    next_poll: Duration,
    /// When it first received a response with a limit.
    informed_at: Option<Duration>,
    /// It is cut off from the coordinators, or not running, until then.
    absent_until: Duration,
    /// Its requests are not counted until then.
    uncounted_until: Duration,
    last_contact: Duration,
}

struct Arrival {
    at: Duration,
    counts: bool,
}

pub(crate) struct World {
    rng: SmallRng,
    now: Duration,
    gateways: Vec<Gateway>,
    /// The limit that the coordinators know.
    limit: Limit,
    named_limit: Option<f64>,
    first_named_at: Option<Duration>,
    /// Requests in transit: arrival, gateway, and the arrival again as the time of sending.
    in_transit: Vec<(Duration, usize, Duration)>,
    responses: Vec<(Duration, usize, Feedback)>,
    arrivals: VecDeque<Arrival>,
}

impl World {
    pub(crate) fn new(seed: u64, count: usize) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gateways = (0..count).map(|n| Gateway {
            state: Backpressure::default(),
            set: GatewaySet {
                own: Some(address(n)),
                gateways: (0..count).map(address).collect(),
                ..GatewaySet::default()
            },
            next_poll: rng.random_range(Duration::ZERO..POLL_INTERVAL),
            informed_at: None,
            absent_until: Duration::ZERO,
            uncounted_until: Duration::ZERO,
            last_contact: Duration::ZERO,
        });
        let gateways = gateways.collect();
        World {
            rng,
            now: Duration::from_secs(1),
            gateways,
            limit: Limit::default(),
            named_limit: None,
            first_named_at: None,
            in_transit: Vec::new(),
            responses: Vec::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// The backend server names this limit from now on.
    pub(crate) fn set_limit(&mut self, limit: Option<f64>) {
        self.named_limit = limit;
    }

    /// A gateway restarts, or is cut off from the coordinators.
    pub(crate) fn disturb(&mut self) {
        let n = self.rng.random_range(0..self.gateways.len());
        let absence = Duration::from_millis(self.rng.random_range(200..6_000));
        let restarts = self.rng.random_bool(0.5);
        let gateway = &mut self.gateways[n];
        gateway.absent_until = self.now + absence;
        gateway.uncounted_until = gateway.absent_until + KNOWN_WITHIN;
        if restarts {
            gateway.state = Backpressure::default();
            gateway.set.gateways.clear();
            gateway.informed_at = None;
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.poll_coordinators();
            self.send_requests();
            self.deliver_requests();
            self.deliver_responses();
        }
    }

    fn poll_coordinators(&mut self) {
        let now = self.now;
        let listed = |g: &Gateway| now < g.last_contact + CONTACT_TIMEOUT;
        let list_valid = now > Duration::from_secs(1) + CONTACT_TIMEOUT;
        let list: Vec<SocketAddr> = self
            .gateways
            .iter()
            .enumerate()
            .filter(|(_, g)| !list_valid || listed(g))
            .map(|(n, _)| address(n))
            .collect();
        let id = ID.to_string();
        for gateway in &mut self.gateways {
            if now < gateway.next_poll || now < gateway.absent_until {
                continue;
            }
            gateway.next_poll = now + POLL_INTERVAL;
            gateway.last_contact = now;
            // A limit reaches the coordinators with one poll, and is returned with the next.
            let draw = self.rng.random();
            let known = self.limit;
            self.limit = self.limit.merge(gateway.state.limit());
            gateway
                .state
                .merge_limit(now, &id, known, &gateway.set, draw);
            if gateway.set.gateways != list {
                gateway.set.gateways.clone_from(&list);
                gateway.state.reschedule(now, &id, &gateway.set, draw);
            }
        }
    }

    /// Each gateway always has a request to send: the limited backend server looks idle.
    fn send_requests(&mut self) {
        for (n, gateway) in self.gateways.iter_mut().enumerate() {
            // Until a limit is known, some ten requests per second are enough.
            let wants = gateway.state.limit().rate.is_some() || self.rng.random_bool(0.05);
            if !wants || !gateway.state.may_send(self.now) {
                continue;
            }
            gateway.state.on_sent(self.now);
            let transit = Duration::from_millis(self.rng.random_range(1..MAX_TRANSIT_MS));
            self.in_transit
                .push((self.now + transit, n, self.now + transit));
        }
    }

    fn deliver_requests(&mut self) {
        let now = self.now;
        let arrived: Vec<_> = self.in_transit.extract_if(.., |r| r.0 <= now).collect();
        for (at, n, sent_at) in arrived {
            if self.named_limit.is_some() {
                self.first_named_at.get_or_insert(at);
            }
            let gateway = &self.gateways[n];
            let informed = gateway.informed_at;
            let informed = informed.is_some_and(|t| at >= t + INFORMED_AFTER);
            let counts = informed && at >= gateway.uncounted_until;
            self.arrivals.push_back(Arrival { at, counts });
            let after = Duration::from_millis(self.rng.random_range(1..MAX_RESPONSE_MS));
            self.responses
                .push((at + after, n, feedback(sent_at, self.named_limit)));
        }
    }

    fn deliver_responses(&mut self) {
        let now = self.now;
        let arrived: Vec<_> = self.responses.extract_if(.., |r| r.0 <= now).collect();
        let id = ID.to_string();
        for (at, n, feedback) in arrived {
            // One in twenty is lost.
            if self.rng.random_bool(0.05) {
                continue;
            }
            let draw = self.rng.random();
            let gateway = &mut self.gateways[n];
            if feedback.directives.limit.is_some() {
                gateway.informed_at.get_or_insert(at);
            }
            gateway
                .state
                .on_response(now, &id, &feedback, &gateway.set, draw);
        }
    }

    /// Maximum number of requests of informed gateways within any `span`, counted from `after` the
    /// first limit on.
    pub(crate) fn max_within(&self, span: Duration, after: Duration) -> usize {
        let Some(first) = self.first_named_at else {
            return 0;
        };
        let counted = self.arrivals.iter().filter(|a| a.counts);
        let mut times: Vec<Duration> = counted
            .map(|a| a.at)
            .filter(|t| *t >= first + after)
            .collect();
        times.sort_unstable();
        let mut max = 0;
        let mut from = 0;
        for (n, time) in times.iter().enumerate() {
            while times[from] + span <= *time {
                from += 1;
            }
            max = max.max(n + 1 - from);
        }
        max
    }

    pub(crate) fn arrived(&self) -> usize {
        self.arrivals.len()
    }

    /// The limit that each gateway knows.
    pub(crate) fn known_limits(&self) -> Vec<Option<f64>> {
        self.gateways.iter().map(|g| g.state.limit().rate).collect()
    }
}
