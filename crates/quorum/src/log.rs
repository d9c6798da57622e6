//! The in-memory part of the log.

use crate::model::{Entry, Index, Members, Payload, Snapshot, Term};

#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Index and term of the entry before the first one in memory.
    base: (Index, Term),
    entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn new(base: (Index, Term), entries: Vec<Entry>) -> Log {
        Log { base, entries }
    }

    pub(crate) fn last(&self) -> (Index, Term) {
        self.entries.last().map_or(self.base, |e| (e.index, e.term))
    }

    pub(crate) fn first(&self) -> Index {
        self.base.0 + 1
    }

    /// Term of the entry at `index`, if known.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        match index.checked_sub(self.base.0)? {
            0 => Some(self.base.1),
            n => self.entries.get(n as usize - 1).map(|e| e.term),
        }
    }

    /// Those entries of `from..=to` that are in memory.
    pub(crate) fn range(&self, from: Index, to: Index) -> &[Entry] {
        let at = |i: Index| (i.saturating_sub(self.first()) as usize).min(self.entries.len());
        let (start, end) = (at(from), at(to + 1));
        self.entries.get(start..end.max(start)).unwrap_or_default()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    pub(crate) fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.first()) as usize;
        self.entries.truncate(keep);
    }

    /// Drops the entries up to `index`, which a snapshot covers.
    pub(crate) fn compact(&mut self, index: Index) {
        if let Some(term) = self.term(index) {
            let count = (index - self.base.0) as usize;
            self.entries.drain(..count);
            self.base = (index, term);
        }
    }

    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        self.base = (snapshot.index, snapshot.term);
        self.entries.clear();
    }

    /// The members entries in memory, the latest first, each with its index.
    pub(crate) fn members(&self) -> impl Iterator<Item = (Index, &Members)> {
        self.entries.iter().rev().filter_map(|e| match &e.payload {
            Payload::Members(m) => Some((e.index, m)),
            _ => None,
        })
    }
}
