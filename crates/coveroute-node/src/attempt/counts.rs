//! Counts of attempts: what they told their executors, and why some were not begun or did not go on.
use std::cell::Cell;
use std::time::Duration;

/// Counts of attempts since the process began.
#[derive(Debug, Default)]
pub struct AttemptCounts {
    pub(super) written: Cell<u64>,
    pub(super) overstated: Cell<u64>,
    pub(super) longest_excess: Cell<Duration>,
    pub(super) told_anew: Cell<u64>,
    pub(super) broken_off: Cell<u64>,
    pub(super) too_late: Cell<u64>,
    pub(super) client_left: Cell<u64>,
    pub(super) time_over: Cell<u64>,
    pub(super) no_connection: Cell<u64>,
}

/// What operators are shown of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptFigures {
    /// Attempts whose last byte was written.
    pub written: u64,
    /// Of these, such that told their executor more than the client had left by then, and by how many seconds at most.
    pub overstated: u64,
    pub longest_excess: f64,
    /// Times that an attempt was worded anew, as what it would have told no longer held when it could be written.
    pub told_anew: u64,
    /// Attempts that were broken off before their last byte, as what they told no longer held.
    pub broken_off: u64,
    /// Attempts whose connection came up, or whose bytes could be written, when what they were decided by held no more.
    pub too_late: u64,
    /// Attempts that were decided on and not begun: the client had left, its time was over, or no connection was free.
    pub client_left: u64,
    pub time_over: u64,
    pub no_connection: u64,
}

pub fn add_one(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl AttemptCounts {
    pub fn client_left(&self) {
        add_one(&self.client_left);
    }

    pub fn no_connection(&self) {
        add_one(&self.no_connection);
    }

    pub fn figures(&self) -> AttemptFigures {
        AttemptFigures {
            written: self.written.get(),
            overstated: self.overstated.get(),
            longest_excess: self.longest_excess.get().as_secs_f64(),
            told_anew: self.told_anew.get(),
            broken_off: self.broken_off.get(),
            too_late: self.too_late.get(),
            client_left: self.client_left.get(),
            time_over: self.time_over.get(),
            no_connection: self.no_connection.get(),
        }
    }
}
