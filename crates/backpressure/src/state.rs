//! Backpressure of one start of a backend server, as one gateway applies it.

use crate::backoff::Backoff;
use crate::cold::{Cold, ColdReport, ColdSource};
use crate::limit::{Limit, stricter};
use crate::schedule::{JOIN_DELAY, Schedule};
use crate::senders::{GatewaySet, send_interval};
use crate::{LimitVersion, ServerId};
use std::time::Duration;

/// A limit is raised or lifted by a response to a request sent at least this long after the last
/// one that named the limit. A backend server may name it in some responses only, and would
/// otherwise alternate between its limit and the full load.
const LIMIT_HOLD: Duration = Duration::from_secs(1);

/// Minimum interval between reports of values that change with every response.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A limit that rises by less than this factor is left unchanged: one that the backend server
/// recomputes for every response would be sent to all gateways as often.
const MIN_INCREASE: f64 = 1.25;

/// What a response of a backend server requests of its senders.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Directives {
    /// Requests per second that the backend server accepts from all gateways together.
    pub limit: Option<f64>,
    /// The backend server accepts no requests from this gateway for this long.
    pub backoff: Option<Duration>,
    /// The backend server accepts no new work any more.
    pub leaving: bool,
    /// The backend server is cold for this long; zero if it is not cold.
    pub cold: Option<Duration>,
    /// A directive could not be parsed and is ignored.
    pub malformed: bool,
}

/// A response from one start of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Feedback {
    /// Its directives.
    pub directives: Directives,
    /// When its request was sent.
    pub sent_at: Duration,
    /// It certainly comes from the backend server itself, in response to that request. Directives
    /// of any other response count, but their absence means nothing.
    pub authentic: bool,
}

/// Backpressure of one start of a backend server, as far as this gateway knows.
#[derive(Debug, Clone, Default)]
pub struct Backpressure {
    directives: Directives,
    /// When responses began to carry these directives.
    directives_since: Duration,
    limit: Limit,
    /// When the limit became known here or was last named.
    limit_named_at: Duration,
    /// Set while there is a limit.
    schedule: Option<Schedule>,
    /// Set until a response shows that it is over.
    backoff: Option<Backoff>,
    /// The backend server said that it accepts no new work. This start never revokes that.
    leaving: bool,
    /// Bounds requests during a cold period, in addition to a limit.
    cold: Cold,
    /// When a request was last sent, or reserved.
    last_sent: Option<Duration>,
    /// When a request was last written to a connection.
    last_written: Option<Duration>,
    /// Number of changes of when requests may be sent.
    changes: u64,
}

impl Backpressure {
    /// Applies a response. If its directives differ from those before, returns how long those
    /// applied. `draw` is a random number in `0..1`: gateways that learn of a limit together must
    /// not send together.
    pub fn on_response(
        &mut self,
        now: Duration,
        id: &ServerId,
        feedback: &Feedback,
        set: &GatewaySet,
        draw: f64,
    ) -> Option<Duration> {
        let changed = self.update_directives(now, feedback.directives);
        let rate = feedback.directives.limit;
        let raised = stricter(self.limit.rate.map(|r| r * MIN_INCREASE), rate);
        if !raised {
            self.limit_named_at = now;
        }
        // Responses overtake each other: one to an earlier request may be older than the limit.
        let later = feedback.authentic && feedback.sent_at >= self.limit_named_at + LIMIT_HOLD;
        if (raised && later) || stricter(rate, self.limit.rate) {
            let version = self.limit.version + 1;
            self.adopt(now, id, Limit { rate, version }, set, draw);
        }
        self.update_backoff(now, feedback, draw);
        if let Some(left) = feedback.directives.cold {
            let report = ColdReport {
                left,
                source: ColdSource::Answered,
                sent_at: feedback.sent_at,
                authentic: feedback.authentic,
            };
            self.on_cold_report(now, id, &report, set, draw);
        }
        self.leaving |= feedback.directives.leaving;
        changed
    }

    fn update_directives(&mut self, now: Duration, directives: Directives) -> Option<Duration> {
        // The time left of a cold period differs in each answer.
        let directives = Directives {
            cold: None,
            ..directives
        };
        let kinds = |d: &Directives| {
            (
                d.limit.is_some(),
                d.backoff.is_some(),
                d.leaving,
                d.malformed,
            )
        };
        let same = kinds(&self.directives) == kinds(&directives);
        if self.directives == directives || (same && now < self.directives_since + REPORT_INTERVAL)
        {
            return None;
        }
        self.directives = directives;
        let before = std::mem::replace(&mut self.directives_since, now);
        Some(now.saturating_sub(before))
    }

    /// Whether the backend server said in a response that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn update_backoff(&mut self, now: Duration, feedback: &Feedback, draw: f64) {
        let requested = feedback.directives.backoff;
        let requested = requested.and_then(|time| Backoff::new(now, time, draw));
        match (self.backoff, requested) {
            (current, Some(new)) => {
                self.backoff = Some(current.map_or(new, |current| current.merge(new)));
                self.changes += 1;
            }
            (Some(current), None) if feedback.authentic && current.ends_with(feedback.sent_at) => {
                self.backoff = None
            }
            (_, None) => {}
        }
    }

    /// Merges what others know of the limit; `true` if that changes it.
    pub fn merge_limit(
        &mut self,
        now: Duration,
        id: &ServerId,
        limit: Limit,
        set: &GatewaySet,
        draw: f64,
    ) -> bool {
        let limit = self.limit.merge(limit);
        let changed = limit != self.limit;
        if changed {
            self.adopt(now, id, limit, set, draw);
        }
        changed
    }

    fn adopt(&mut self, now: Duration, id: &ServerId, limit: Limit, set: &GatewaySet, draw: f64) {
        self.limit = limit;
        self.limit_named_at = now;
        self.reschedule(now, id, set, draw);
    }

    /// Sets how many requests all gateways together may send in any second of a cold period; `None`
    /// if there are no cold periods.
    pub fn set_cold_bound(
        &mut self,
        now: Duration,
        id: &ServerId,
        bound: Option<f64>,
        set: &GatewaySet,
        draw: f64,
    ) {
        if self.cold.bound != bound {
            self.cold.bound = bound;
            self.reschedule(now, id, set, draw);
        }
    }

    /// Applies what is known of a cold period; `true` if that changes its end.
    pub fn on_cold_report(
        &mut self,
        now: Duration,
        id: &ServerId,
        report: &ColdReport,
        set: &GatewaySet,
        draw: f64,
    ) -> bool {
        let was_active = self.cold.is_active(now);
        let changed = self.cold.on_report(now, report);
        let begins = !was_active && self.cold.is_active(now);
        if changed {
            let last_sent = self.last_sent;
            let rescheduled = self.cold.reschedule(now, id, set, draw, begins, last_sent);
            self.changes += u64::from(rescheduled);
        }
        changed
    }

    /// Recomputes the schedules after a change of the limit or of the list of gateways.
    pub fn reschedule(&mut self, now: Duration, id: &ServerId, set: &GatewaySet, draw: f64) {
        let last_sent = self.last_sent;
        let rescheduled = self.cold.reschedule(now, id, set, draw, false, last_sent);
        self.changes += u64::from(rescheduled);
        let Some(rate) = self.limit.rate else {
            self.changes += u64::from(self.schedule.take().is_some());
            return;
        };
        let interval = send_interval(rate, id, set);
        let first = self.schedule.is_none();
        let schedule = self.schedule.get_or_insert_default();
        let delay = if first { Duration::ZERO } else { JOIN_DELAY };
        let changed = schedule.set_interval(now + delay, interval, draw);
        self.changes += u64::from(first || changed);
    }

    /// When the next request may be sent; in the past if one may be sent now. `None` if only others
    /// send.
    pub fn next_send_at(&self) -> Option<Duration> {
        let backoff_end = self.backoff.map_or(Duration::ZERO, |b| b.until());
        let earliest = backoff_end.max(self.cold.next_send_at());
        match &self.schedule {
            None => Some(earliest),
            Some(schedule) => schedule.next_send_at().map(|at| at.max(earliest)),
        }
    }

    /// Whether the backend server requested a backoff and is not known to accept requests again.
    pub fn is_backing_off(&self) -> bool {
        self.backoff.is_some()
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Duration) -> bool {
        self.next_send_at().is_some_and(|at| at <= now)
    }

    /// A request is being sent, or is about to be.
    pub fn on_sent(&mut self, now: Duration) {
        if let Some(schedule) = &mut self.schedule {
            schedule.on_sent(now);
        }
        self.cold.on_sent(now);
        self.last_sent = Some(now);
        if let Some(backoff) = &mut self.backoff {
            backoff.on_probe(now);
        }
    }

    /// Whether a request that waited for its connection may be written now; if so, it counts as
    /// sent now. Requests that wait for different times would otherwise reach a cold backend server
    /// closer together than they were scheduled.
    pub fn confirm_send(&mut self, now: Duration) -> bool {
        let open = self.cold.on_write(now, self.last_written);
        if open {
            (self.last_sent, self.last_written) = (Some(now), Some(now));
        }
        open
    }

    /// End of the cold period, and where it is known from; `None` if the backend server is not
    /// cold.
    pub fn cold(&self, now: Duration) -> Option<(Duration, ColdSource)> {
        let active = self.cold.is_active(now);
        active.then_some((self.cold.until, self.cold.source))
    }

    /// Source of the latest end of a cold period, also of one that has passed.
    pub fn cold_source(&self) -> ColdSource {
        self.cold.source
    }

    /// Number of changes of the end of the cold period: it grows with each change.
    pub fn cold_changes(&self) -> u64 {
        self.cold.changes
    }

    /// Number of changes of when requests may be sent: it grows with each change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The known limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Interval between two requests of this gateway while there is a limit; `None` if only others
    /// send.
    pub fn interval(&self) -> Option<Duration> {
        self.schedule.and_then(|s| s.interval)
    }

    /// Whether others that know the limit up to `version` know what is known here.
    pub fn is_known_at(&self, version: LimitVersion) -> bool {
        self.limit.version <= version
    }
}
