//! Many gateways in front of one pool of slots, on a manual clock. Each sees the load that the
//! others cause late and with an error.

use bn_admission::{
    Admission, Demand, DemandSum, LevelDemand, LoadLimits, Rank, RetryInput, ServiceCapacity,
    WaitInput,
};
use bn_limit::{Queue, QueuedRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(5);
const END: Duration = Duration::from_secs(20);
const SLOTS: f64 = 540.0;
/// Ticks by which the view of other gateways' load lags.
const LAG: usize = 40;
const DEADLINE: Duration = Duration::from_secs(8);
/// Interval between the polls of one gateway.
const POLL: Duration = Duration::from_millis(800);
/// Accounts with the same demand for the least urgent kind: one reaches a single gateway, the other
/// all.
const ONE: usize = 0;
const ALL: usize = 1;
/// Number of accounts. The two have a fifth of the least urgent kind each.
const ACCOUNTS: usize = 24;
/// Load that passes allow: a bit more than all slots.
const LIMITS: LoadLimits = LoadLimits {
    in_time: 1.0,
    late: 0.72,
};
/// Requests per second and target of each kind, by priority.
const KINDS: [(f64, Duration); 3] = [
    (91.6, Duration::from_millis(400)),
    (40.3, Duration::from_millis(400)),
    (121.0, Duration::from_millis(1_000)),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// Priorities order the queue only.
    Present,
    /// Decisions by urgency from a gateway's own figures.
    Local,
    /// With the sum of the demand over all gateways.
    Shared,
    /// The same, but no sum arrives any more once the burst has begun.
    Outdated,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Count {
    pub(crate) arrived: f64,
    pub(crate) in_time: f64,
    pub(crate) late: f64,
    pub(crate) refused: f64,
    /// Requests of the accounts [`ONE`] and [`ALL`], and of these the served ones, in the burst.
    pub(crate) accounts: [(f64, f64); 2],
}

impl Count {
    pub(crate) fn share(self, part: f64) -> f64 {
        part / self.arrived.max(1.0)
    }
}

#[derive(Clone)]
struct Request {
    id: u64,
    kind: usize,
    account: usize,
    arrived: Duration,
    retry: bool,
    /// Latest useful start of this attempt.
    until: Duration,
}

#[derive(Default)]
struct Gateway {
    queue: Queue,
    admission: Admission,
    waiting: Vec<Request>,
    running: usize,
    error: f64,
    next_poll: Duration,
}

pub(crate) struct Model {
    rule: Rule,
    rng: SmallRng,
    gateways: Vec<Gateway>,
    now: Duration,
    /// Running requests: end and gateway.
    running: Vec<(Duration, usize)>,
    /// Recent numbers of running requests, oldest first.
    history: VecDeque<(usize, Vec<usize>)>,
    retries: Vec<(Duration, Request)>,
    pub(crate) counts: [Count; 3],
    ids: u64,
    sum: DemandSum<usize>,
}

fn burst(now: Duration, kind: usize) -> f64 {
    let within = |from, to| now >= Duration::from_secs(from) && now < Duration::from_secs(to);
    match kind {
        2 if within(5, 11) => 2.4,
        0 if within(8, 11) => 1.7,
        _ => 1.0,
    }
}

/// The least urgent kind has a burst, and queues have filled.
fn contended(at: Duration) -> bool {
    at >= Duration::from_millis(6_500) && at < Duration::from_secs(11)
}

fn level(priority: u32) -> impl Fn(u32) -> bool {
    move |position| Rank::from_queue_priority(position).priority == priority
}

impl Model {
    pub(crate) fn run(rule: Rule, gateways: usize, seed: u64) -> [Count; 3] {
        let mut model = Model {
            rule,
            rng: SmallRng::seed_from_u64(seed),
            gateways: (0..gateways).map(|_| Gateway::default()).collect(),
            now: Duration::ZERO,
            running: Vec::new(),
            history: VecDeque::new(),
            retries: Vec::new(),
            counts: [Count::default(); 3],
            ids: 0,
            sum: DemandSum::default(),
        };
        while model.now < END + DEADLINE {
            model.tick();
        }
        model.counts
    }

    fn tick(&mut self) {
        self.now += TICK;
        let (now, gateways) = (self.now, &mut self.gateways);
        self.running.retain(|(end, at)| {
            let runs = *end > now;
            gateways[*at].running -= usize::from(!runs);
            runs
        });
        let each = self.gateways.iter().map(|g| g.running).collect();
        self.history.push_back((self.running.len(), each));
        if self.history.len() > LAG {
            self.history.pop_front();
        }
        for gateway in &mut self.gateways {
            let noise = self.rng.random_range(-0.006..0.006);
            gateway.error = gateway.error * 0.99 + noise;
        }
        let gateways = self.gateways.len();
        let first = self.rng.random_range(0..gateways);
        for at in (first..first + gateways).map(|at| at % gateways) {
            self.poll(at);
            self.start_waiting(at);
        }
        let due: Vec<Request> = self
            .retries
            .iter()
            .filter(|r| r.0 <= now)
            .map(|r| r.1.clone())
            .collect();
        self.retries.retain(|r| r.0 > now);
        for retry in due {
            self.arrive(retry);
        }
        for (kind, (rate, _)) in KINDS.iter().enumerate() {
            let mean = rate * burst(now, kind) * TICK.as_secs_f64();
            // At most two arrivals per tick and tenth of its mean.
            for _ in 0..10 {
                if now < END && self.rng.random_bool((mean / 10.0).min(1.0)) {
                    self.ids += 1;
                    let id = self.ids;
                    self.counts[kind].arrived += 1.0;
                    let account = match (kind, self.rng.random_range(0..10)) {
                        (2, account @ (ONE | ALL)) => account,
                        _ => self.rng.random_range(2..ACCOUNTS),
                    };
                    if kind == 2 && account <= ALL && contended(now) {
                        self.counts[kind].accounts[account].0 += 1.0;
                    }
                    self.arrive(Request {
                        id,
                        kind,
                        account,
                        arrived: now,
                        retry: false,
                        until: now,
                    });
                }
            }
        }
    }

    fn poll(&mut self, at: usize) {
        let (now, gateway) = (self.now, &mut self.gateways[at]);
        let lost = self.rule == Rule::Outdated && now > Duration::from_secs(6);
        let polls = matches!(self.rule, Rule::Shared | Rule::Outdated) && !lost;
        if !polls || now < gateway.next_poll {
            return;
        }
        let spread = POLL.mul_f64(self.rng.random_range(0.5..1.0));
        gateway.next_poll = now
            + if gateway.next_poll.is_zero() {
                spread
            } else {
                POLL
            };
        gateway.admission.usage.evict_idle(now);
        let mut demand = Demand::default();
        for (p, rate) in gateway.admission.local_rates(now) {
            let waiting = gateway.queue.waiting_with(level(p)) as u32;
            demand
                .levels
                .insert(("s".into(), p), LevelDemand { rate, waiting });
        }
        for ((p, account), rate) in gateway.admission.usage.rates(now) {
            demand
                .accounts
                .insert(("s".into(), *p, account.clone()), rate);
        }
        gateway.admission.usage.record_report(now);
        demand.truncate_accounts();
        self.sum.record(now, at, demand);
        let sum = self.sum.sum(now);
        let Admission { view, usage, .. } = &mut gateway.admission;
        view.update(now, "s", &sum, |p, account| usage.reported(now, p, account));
    }

    fn service(&self) -> ServiceCapacity {
        ServiceCapacity {
            slots: SLOTS,
            gateways: self.gateways.len() as u32,
        }
    }

    fn rank(request: &Request) -> Rank {
        Rank {
            priority: request.kind as u32,
            late: request.retry,
        }
    }

    fn load(&self, at: usize) -> f64 {
        let (all, each) = &self.history[0];
        let peers = all - each[at];
        (self.gateways[at].running + peers) as f64 / SLOTS + self.gateways[at].error
    }

    fn max_load(&self, at: usize, request: &Request, due: bool) -> f64 {
        let rank = Model::rank(request);
        match (self.rule, due, rank.late) {
            (Rule::Present, _, true) => LIMITS.late,
            (Rule::Present, ..) | (_, true, _) => LIMITS.in_time,
            _ => {
                let Gateway {
                    admission, queue, ..
                } = &self.gateways[at];
                let account = request.account.to_string();
                let waiting = queue.waiting_with(level(rank.priority)) > 0;
                let margin = admission.account_margin(self.now, rank.priority, &account, waiting);
                admission.max_load(self.now, rank, LIMITS, self.service(), margin)
            }
        }
    }

    fn place(&mut self, at: usize, request: &Request, due: bool) -> bool {
        let free = self.running.len() < SLOTS as usize;
        if !free || self.load(at) >= self.max_load(at, request, due) {
            return false;
        }
        let hold = Duration::from_millis(self.rng.random_range(1_000..2_000));
        self.running.push((self.now + hold, at));
        let gateway = &mut self.gateways[at];
        gateway.running += 1;
        let (priority, account) = (request.kind as u32, request.account.to_string());
        gateway.admission.record_start(priority);
        let waiting = gateway.queue.waiting_accounts(level(priority));
        gateway
            .admission
            .record_work(self.now, priority, &account, 1_000.0, &waiting);
        let first_event = Duration::from_millis(self.rng.random_range(150..240));
        gateway.admission.first_events.record(first_event);
        let target = KINDS[request.kind].1;
        let in_time = self.now + first_event <= request.arrived + target;
        let count = &mut self.counts[request.kind];
        if request.kind == 2 && request.account <= ALL && contended(request.arrived) {
            count.accounts[request.account].1 += 1.0;
        }
        match in_time {
            true => count.in_time += 1.0,
            false => count.late += 1.0,
        }
        true
    }

    fn arrive(&mut self, mut request: Request) {
        let now = self.now;
        let at = match request.account {
            ONE => 0,
            _ => self.rng.random_range(0..self.gateways.len()),
        };
        let rank = Model::rank(&request);
        if !request.retry {
            let admission = &mut self.gateways[at].admission;
            admission.record_arrival(now, rank.priority);
            let account = request.account.to_string();
            admission.usage.record_arrival(now, rank.priority, &account);
        }
        let first = !self.gateways[at].queue.has_at_least(rank.queue_priority());
        if first && self.place(at, &request, false) {
            return self.gateways[at].queue.record_start(now);
        }
        let target = KINDS[request.kind].1;
        let least = target.mul_f64(0.4);
        let wait = match (request.retry, self.rule) {
            (true, _) => Duration::from_millis(1_500),
            (false, Rule::Present) => least,
            (false, _) => self.gateways[at].admission.max_wait(target, least),
        };
        let remaining = (request.arrived + DEADLINE).saturating_sub(now);
        request.until = now + wait.min(remaining / 3);
        let queued = QueuedRequest {
            id: request.id,
            account: request.account.to_string(),
            priority: rank.queue_priority(),
            share: 1,
            deadline: request.until,
        };
        let excess = self.load(at) - self.max_load(at, &request, false);
        let service = self.service();
        let gateway = &mut self.gateways[at];
        let input = WaitInput {
            rank,
            ahead: gateway.queue.ahead_of(&queued),
            start_rate: gateway.queue.start_rate(),
            excess,
        };
        let wait = gateway.admission.expected_wait(now, &input, service);
        let hopeless = self.rule != Rule::Present && now + wait > request.until;
        match hopeless || gateway.queue.push(now, queued, 64).is_err() {
            true => self.refuse(at, request),
            false => gateway.waiting.push(request),
        }
    }

    fn start_waiting(&mut self, at: usize) {
        let now = self.now;
        let expired = |r: &Request| r.until <= now;
        let refused: Vec<Request> = self.gateways[at]
            .waiting
            .iter()
            .filter(|r| expired(r))
            .cloned()
            .collect();
        self.gateways[at].waiting.retain(|r| !expired(r));
        self.gateways[at]
            .queue
            .remove_if(|r| refused.iter().any(|e| e.id == r.id));
        for request in refused {
            self.refuse(at, request);
        }
        loop {
            let gateway = &self.gateways[at];
            let levels = gateway.queue.waiting_priorities().into_iter();
            let mut levels: Vec<u32> = levels
                .map(|p| Rank::from_queue_priority(p).priority)
                .collect();
            levels.dedup();
            let due = gateway
                .admission
                .due(now, &levels)
                .filter(|_| self.rule != Rule::Present);
            let by_work = |position, account: &str| {
                let priority = Rank::from_queue_priority(position).priority;
                gateway.admission.account_order(now, priority, account)
            };
            let first = match (self.rule, due) {
                (Rule::Present, _) => gateway.queue.start_order().first().copied(),
                (_, Some(priority)) => gateway.queue.first_by(level(priority), by_work),
                _ => gateway.queue.first_by(|_| true, by_work),
            };
            let Some(request) = gateway
                .waiting
                .iter()
                .find(|r| Some(r.id) == first)
                .cloned()
            else {
                return;
            };
            if !self.place(at, &request, due.is_some()) {
                return;
            }
            let gateway = &mut self.gateways[at];
            gateway.queue.start(now, request.id);
            gateway.waiting.retain(|r| r.id != request.id);
        }
    }

    fn refuse(&mut self, at: usize, mut request: Request) {
        if request.retry {
            self.counts[request.kind].refused += 1.0;
            return;
        }
        let now = self.now;
        let remaining = (request.arrived + DEADLINE).saturating_sub(now);
        let latest = remaining.mul_f64(0.32);
        let random = self.rng.random();
        let gateway = &mut self.gateways[at];
        let late = Rank {
            priority: request.kind as u32,
            late: true,
        };
        let delay = match self.rule {
            Rule::Present => Duration::from_millis(900 + (1_300.0 * random) as u64).min(latest),
            _ => {
                let input = RetryInput {
                    priority: late.priority,
                    waiting: gateway.queue.waiting_at_least(late.queue_priority()),
                    start_rate: gateway.queue.start_rate(),
                    urgent_rate: gateway.admission.local_rate(now, late.priority + 1),
                    latest,
                };
                gateway.admission.retries.delay(now, &input, random)
            }
        };
        request.retry = true;
        self.retries.push((now + delay, request));
    }
}
