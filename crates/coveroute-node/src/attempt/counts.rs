//! Counts of attempts: those whose stated time budget was too large, and those that were not begun or not
//! completed.
use std::cell::Cell;
use std::time::Duration;

/// Counts of attempts since the process started; see [`AttemptFigures`] for their meaning.
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

/// The counts as reported in the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptFigures {
    /// Attempts whose request was completely written.
    pub written: u64,
    /// Of these, attempts that stated a larger time budget than the client had left by then.
    pub overstated: u64,
    /// The largest such excess, in seconds.
    pub longest_excess: f64,
    /// Requests that were rebuilt because their stated time budget was out of date before the first byte
    /// could be written.
    pub told_anew: u64,
    /// Attempts that were aborted before their last byte because the stated time budget was out of date.
    pub broken_off: u64,
    /// Attempts whose decision had expired by the time the connection was established or bytes could be
    /// written.
    pub too_late: u64,
    /// Attempts that were decided on but not begun or not completed because the client had disconnected.
    pub client_left: u64,
    /// Attempts that were decided on but not begun because the client's time budget was used up.
    pub time_over: u64,
    /// Attempts that were decided on but not begun because no connection was available.
    pub no_connection: u64,
}

pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl AttemptCounts {
    pub fn count_client_left(&self) {
        increment(&self.client_left);
    }

    pub fn count_no_connection(&self) {
        increment(&self.no_connection);
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
