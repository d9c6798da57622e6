//! Contacts with backend servers, shared between coordinators: a backend server that announces itself
//! to any of them is known to all, and one that announces itself to none is forgotten by all.
//!
//! A backend server announces itself to one coordinator, and an announcement that changes nothing is
//! not passed on. So each coordinator reports what announced itself there, many in one message and
//! a few times before anything is forgotten. Before it forgets a backend server it asks the others,
//! one of which may be cut off from it but not from a third. All times are ages: a record that is
//! passed on, also at a restart, grows no younger.

use crate::record::{BackendId, Sequence, StartTime};
use crate::table::Registry;
use std::time::Duration;

/// How long a departed or forgotten start is remembered. Far longer than a network partition may
/// delay an announcement (tens of seconds), and bounded so that the table does not grow.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(600);
/// A backend server without contact to any coordinator for this long is forgotten: 50 times the usual
/// interval between announcements. Until then each gateway judges it by its own requests.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two reports of contacts: several may be lost before anything is forgotten.
pub const CONTACT_INTERVAL: Duration = Duration::from_secs(15);
/// Time without contact after which other coordinators are asked: a report is overdue.
const DOUBT_AFTER: Duration = Duration::from_secs(35);
/// Maximum number of backend servers asked for at once.
const MAX_DOUBTED: usize = 256;
/// Longest time out of touch that costs at most one report.
const MAX_OUT_OF_TOUCH: Duration = Duration::from_secs(10);

/// The last announcement of one start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Id of the backend server.
    pub id: BackendId,
    /// Its start.
    pub start_time: StartTime,
    /// Sequence of the announcement.
    pub sequence: Sequence,
    /// Time since then.
    pub age: Duration,
}

/// Effect of a reported contact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactEffect {
    /// The start is known.
    Known,
    /// The start had been forgotten, and is back.
    Revived,
    /// This start is not known here: its record has to be requested.
    Unknown,
}

/// Since when this process has been in touch with the other coordinators.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Touch {
    since: Option<Duration>,
    last: Duration,
}

impl Touch {
    /// Records whether it is in touch now; returns since when it has been, but for short gaps.
    fn update(&mut self, now: Duration, in_touch: bool) -> Option<Duration> {
        if now > self.last + MAX_OUT_OF_TOUCH {
            self.since = None;
        }
        if in_touch {
            self.since.get_or_insert(now);
            self.last = now;
        }
        self.since.filter(|_| in_touch)
    }
}

impl Registry {
    /// Merges the contact of another coordinator.
    pub fn record_contact(&mut self, now: Duration, contact: &Contact) -> ContactEffect {
        let Some(row) = self.rows.get(&contact.id) else {
            return ContactEffect::Unknown;
        };
        if row.record.start_time < contact.start_time {
            return ContactEffect::Unknown;
        }
        let same_start = row.record.start_time == contact.start_time && !row.is_gone();
        let left = CONTACT_TIMEOUT.checked_sub(contact.age);
        let Some(left) = left.filter(|_| same_start) else {
            return ContactEffect::Known;
        };
        match self.refresh(now, &contact.id, contact.sequence, left) {
            true => ContactEffect::Revived,
            false => ContactEffect::Known,
        }
    }

    /// Records a contact with the held start, which keeps it for `left` from now on; `true` if it had
    /// been forgotten.
    pub(crate) fn refresh(
        &mut self,
        now: Duration,
        id: &str,
        sequence: Sequence,
        left: Duration,
    ) -> bool {
        let Some(row) = self.rows.get_mut(id).filter(|r| !r.is_gone()) else {
            return false;
        };
        let later = sequence > row.contact_sequence;
        if row.forgotten && !later {
            return false;
        }
        row.contact_sequence = row.contact_sequence.max(sequence);
        if !row.forgotten {
            row.expires_at = row.expires_at.max(now + left);
            return false;
        }
        row.forgotten = false;
        row.expires_at = now + left;
        row.touch(&mut self.cursor);
        true
    }

    /// Time since the last contact with a backend server, or since its departure.
    pub(crate) fn contact_age(&self, now: Duration, id: &str) -> Option<Duration> {
        let row = self.rows.get(id)?;
        let lifetime = match row.is_gone() || row.forgotten {
            true => DEPARTED_RETENTION,
            false => CONTACT_TIMEOUT,
        };
        Some((now + lifetime).saturating_sub(row.expires_at))
    }

    /// Whether a backend server has been forgotten, and is only remembered to tell gateways.
    pub fn is_forgotten(&self, id: &str) -> bool {
        self.rows.get(id).is_some_and(|r| r.forgotten)
    }

    /// Backend servers that announced themselves here since the last call.
    pub fn take_contacts(&mut self, now: Duration) -> Vec<Contact> {
        let mut announced = Vec::new();
        for (id, row) in &mut self.rows {
            if std::mem::take(&mut row.announced) {
                announced.push(id.clone());
            }
        }
        announced
            .iter()
            .filter_map(|id| self.contact(now, id))
            .collect()
    }

    /// What this process knows of those that another one doubts, unless it doubts them, too.
    pub fn contacts_of(&self, now: Duration, ids: &[BackendId]) -> Vec<Contact> {
        let contacts = ids.iter().filter_map(|id| self.contact(now, id));
        contacts.filter(|c| c.age < DOUBT_AFTER).collect()
    }

    fn contact(&self, now: Duration, id: &str) -> Option<Contact> {
        let row = self.rows.get(id).filter(|r| !r.is_gone() && !r.forgotten)?;
        Some(Contact {
            id: id.into(),
            start_time: row.record.start_time,
            sequence: row.contact_sequence,
            age: self.contact_age(now, id)?,
        })
    }

    /// Backend servers that will be forgotten unless other coordinators report contacts.
    pub fn doubted(&self, now: Duration) -> Vec<BackendId> {
        let live = self
            .rows
            .iter()
            .filter(|(_, r)| !r.is_gone() && !r.forgotten);
        let doubted = live.filter(|(_, r)| now + (CONTACT_TIMEOUT - DOUBT_AFTER) >= r.expires_at);
        doubted
            .map(|(id, _)| id.clone())
            .take(MAX_DOUBTED)
            .collect()
    }

    /// Forgets backend servers without contact, and evicts what was remembered for long enough;
    /// returns the former. `in_touch` says whether the other coordinators can be reached: while they
    /// cannot, nothing is forgotten, and afterwards they have the whole time for their reports.
    pub fn evict_expired(&mut self, now: Duration, in_touch: bool) -> Vec<BackendId> {
        let in_touch_since = self.touch.update(now, in_touch);
        self.rows.retain(|_, r| {
            let remembered = r.is_gone() || r.forgotten;
            !(remembered && now >= r.expires_at)
        });
        let Some(since) = in_touch_since else {
            return Vec::new();
        };
        let mut forgotten = Vec::new();
        for (id, row) in &mut self.rows {
            let expires_at = row.expires_at.max(since + CONTACT_TIMEOUT);
            if row.is_gone() || row.forgotten || now < expires_at {
                continue;
            }
            row.forgotten = true;
            row.expires_at = now + DEPARTED_RETENTION;
            row.touch(&mut self.cursor);
            forgotten.push(id.clone());
        }
        forgotten
    }
}
