//! What a coordinator knows of another one's changes.

use bn_registry::Cursor;

/// Position in another coordinator's changes, up to which all of them are known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerCursor {
    /// Incarnation of the other coordinator that the cursors belong to.
    pub incarnation: u64,
    /// Registrations are known up to this change.
    pub cursor: Cursor,
    /// Cases are known up to this change.
    pub case_cursor: u64,
}

/// Range of changes in an answer of another coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerRange {
    /// Its incarnation.
    pub incarnation: u64,
    /// The change of registrations after which the answer starts.
    pub after: Cursor,
    /// The change up to which it goes.
    pub cursor: Cursor,
    /// The same for cases.
    pub case_cursor: u64,
}

impl PeerCursor {
    /// Advances to what an answer contains. One that starts after what is known here answers a poll
    /// of this coordinator's earlier incarnation, which knew more.
    pub fn on_answer(&mut self, range: AnswerRange) {
        if self.incarnation != range.incarnation {
            // Another incarnation counts its changes anew.
            *self = PeerCursor {
                incarnation: range.incarnation,
                ..PeerCursor::default()
            };
        }
        if range.after > self.cursor {
            return;
        }
        self.cursor = self.cursor.max(range.cursor);
        self.case_cursor = self.case_cursor.max(range.case_cursor);
    }
}
