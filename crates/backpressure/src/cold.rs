//! Cold periods: times of some seconds in which a backend server can handle few requests a second, for
//! instance after its start.

use crate::ServerId;
use crate::schedule::{JOIN_DELAY, Schedule};
use crate::senders::{GatewaySet, WINDOW, non_sender_interval, window_interval};
use std::time::Duration;

/// Smaller changes of the end are ignored: the delay of the messages that carry it varies.
const END_TOLERANCE: Duration = Duration::from_millis(250);
/// An answer takes precedence over announcements for this long: they come every 1.2 s.
const ANSWER_PRECEDENCE: Duration = Duration::from_secs(2);

/// Where the end of a cold period is known from, from the least to the most reliable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ColdSource {
    /// Assumed, for want of a report.
    #[default]
    Assumed,
    /// An announcement of the backend server.
    Announced,
    /// An answer of the backend server.
    Answered,
}

/// Time left of a cold period.
#[derive(Debug, Clone, Copy)]
pub struct ColdReport {
    /// Time left, counted from arrival; zero if the backend server is not cold.
    pub left: Duration,
    /// Where it is known from.
    pub source: ColdSource,
    /// When the request was sent whose answer this is; otherwise, the time of arrival.
    pub sent_at: Duration,
    /// It certainly comes from the backend server itself. Other answers only move the end to a
    /// later time.
    pub authentic: bool,
}

/// Cold period of one start of a backend server, as far as this gateway knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cold {
    /// Requests per second that all gateways together may send during a cold period; `None` if
    /// backend servers of this service are never cold.
    pub(crate) bound: Option<f64>,
    pub(crate) until: Duration,
    pub(crate) source: ColdSource,
    /// When the end was last moved.
    changed_at: Duration,
    answered_at: Option<Duration>,
    /// End in the latest announcement.
    announced_until: Duration,
    /// Set from the first cold period on.
    schedule: Option<Schedule>,
    /// Whether the schedule is that of a sender.
    is_sender: bool,
    /// When this gateway becomes a sender, and its interval from then on.
    joins: Option<(Duration, Duration)>,
    /// Number of changes of the end.
    pub(crate) changes: u64,
}

impl Cold {
    /// Applies a report; `true` if it moves the end.
    pub(crate) fn on_report(&mut self, now: Duration, report: &ColdReport) -> bool {
        if self.bound.is_none() {
            return false;
        }
        let held = self.until.max(now);
        let until = now.saturating_add(report.left);
        let later = until > held + END_TOLERANCE || (held == now && !report.left.is_zero());
        let earlier = until + END_TOLERANCE < held;
        let is_recent = |answered_at| now < answered_at + ANSWER_PRECEDENCE;
        let adopted = match report.source {
            ColdSource::Assumed => later,
            // The end of the previous announcement, repeated: an answer may have overridden it since.
            ColdSource::Announced if until.abs_diff(self.announced_until) < END_TOLERANCE => {
                later && self.answered_at.is_none()
            }
            ColdSource::Announced => later || (earlier && !self.answered_at.is_some_and(is_recent)),
            // Answers overtake each other: an earlier one may be from before the cold period.
            ColdSource::Answered => {
                let newer = report.authentic && report.sent_at >= self.changed_at;
                later || (earlier && newer)
            }
        };
        match report.source {
            ColdSource::Assumed => {}
            ColdSource::Announced => self.announced_until = until,
            ColdSource::Answered => self.answered_at = Some(now),
        }
        if adopted {
            (self.until, self.source, self.changed_at) = (until, report.source, now);
            self.changes += 1;
        } else if self.until > now && until > held && until <= held + END_TOLERANCE {
            // Too small a move to report. The later end holds.
            self.until = until;
        }
        adopted
    }

    pub(crate) fn is_active(&self, now: Duration) -> bool {
        self.bound.is_some() && now < self.until
    }

    /// Recomputes the schedule after a change; `true` if that changes it. If `first`, a cold period
    /// begins, and the schedule of an earlier one is discarded.
    pub(crate) fn reschedule(
        &mut self,
        now: Duration,
        id: &ServerId,
        set: &GatewaySet,
        draw: f64,
        first: bool,
        last_sent: Option<Duration>,
    ) -> bool {
        let Some(bound) = self.bound.filter(|_| self.is_active(now)) else {
            return self.schedule.take().is_some();
        };
        let first = first || self.schedule.is_none();
        if first {
            self.schedule = None;
        }
        // Requests sent before the cold period was known count.
        let free_at = now.max(last_sent.map_or(Duration::ZERO, |at| at + WINDOW));
        let joined_at = set.listed_at + JOIN_DELAY;
        let share = window_interval(bound, id, set);
        let own_share = share.filter(|_| now >= joined_at);
        let (interval, earliest) = match (own_share, non_sender_interval(bound, set)) {
            (None, Some(interval)) => (Some(interval), free_at),
            (Some(interval), _) if first => (Some(interval), free_at),
            (Some(interval), _) => (Some(interval), now + JOIN_DELAY),
            // A sender may have sent its share before it was restarted.
            (None, None) => (share, free_at.max(joined_at)),
        };
        let joining = share.filter(|_| now < joined_at && interval != share);
        self.joins = joining.map(|share| (free_at.max(joined_at) + share.mul_f64(draw), share));
        let becomes_sender = own_share.is_some() && !self.is_sender;
        self.is_sender = own_share.is_some();
        let schedule = self.schedule.get_or_insert_default();
        if becomes_sender {
            // The previous sender may not have received the change yet.
            schedule.interval = None;
        }
        schedule.set_interval(earliest, interval, draw) || first
    }

    /// When the next request may be sent as far as the cold period is concerned. After its end,
    /// all gateways may send.
    pub(crate) fn next_send_at(&self) -> Duration {
        let next_at = self.schedule.and_then(|s| s.next_send_at());
        let joins_at = self.joins.map(|(at, _)| at);
        let next_at = next_at.into_iter().chain(joins_at).min();
        match (self.bound, self.schedule) {
            (Some(_), Some(_)) => next_at.map_or(self.until, |at| at.min(self.until)),
            _ => Duration::ZERO,
        }
    }

    pub(crate) fn on_sent(&mut self, now: Duration) {
        self.join(now);
        if let Some(schedule) = &mut self.schedule {
            schedule.on_sent(now);
        }
    }

    /// Makes this gateway a sender once it has waited for the previous one.
    fn join(&mut self, now: Duration) {
        if let Some((_, interval)) = self.joins.take_if(|(at, _)| now >= *at) {
            self.is_sender = true;
            self.schedule.get_or_insert_default().interval = Some(interval);
        }
    }

    /// Whether a request may be written now, if the previous one was written at `last_written`.
    pub(crate) fn on_write(&mut self, now: Duration, last_written: Option<Duration>) -> bool {
        if !self.is_active(now) {
            return true;
        }
        self.join(now);
        let Some(interval) = self.schedule.and_then(|s| s.interval) else {
            return false;
        };
        let open = last_written.is_none_or(|at| now >= at + interval);
        if open {
            self.on_sent(now);
        }
        open
    }
}
