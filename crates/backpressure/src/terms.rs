//! What one start of a backend server asks for.

use std::time::Duration;

/// What an answer of a backend server asks for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Asked {
    /// Requests a second that it takes from all gateways together.
    pub limit: Option<f64>,
    /// It wants nothing from this gateway for so long.
    pub rest: Option<Duration>,
    /// It takes no new work any more.
    pub leaving: bool,
    /// Something in it cannot be read, and counts as not said.
    pub unread: bool,
}

/// What one start of a backend server asks for, as far as this gateway knows.
#[derive(Debug, Clone, Default)]
pub struct Terms {
    asked: Asked,
}

impl Terms {
    /// An answer asks for this; `true` where the answer before did not.
    pub fn heard(&mut self, asked: Asked) -> bool {
        let changed = self.asked != asked;
        self.asked = asked;
        changed
    }
}
