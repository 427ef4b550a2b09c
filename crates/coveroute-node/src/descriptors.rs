//! Descriptors: estimates from failed accepts how many client connections the available file descriptors
//! allow.
use std::time::Duration;

/// Share of the open connections that remains the limit after descriptors ran out: connections to discovery
/// and to executors need descriptors too.
const KEPT_SHARE: f64 = 0.75;
/// Initial growth of the limit, in connections per second; it doubles every second.
const INITIAL_GROWTH: f64 = 1.0;

/// The current limit on client connections and how fast it grows back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Descriptors {
    max_connections: f64,
    growth: f64,
    /// No accept has succeeded since descriptors last ran out.
    exhausted: bool,
}

impl Default for Descriptors {
    fn default() -> Self {
        Descriptors { max_connections: f64::INFINITY, growth: INITIAL_GROWTH, exhausted: false }
    }
}

impl Descriptors {
    /// The maximum number of open client connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections as usize
    }

    /// An accept failed for lack of descriptors with `open` connections. Only the first failure of a
    /// continuing shortage lowers the limit: connections closed since then have freed what they could. The
    /// limit is at least `least`, as with fewer connections it is not they that hold the descriptors.
    pub fn exhausted(&mut self, open: usize, least: usize) {
        if !self.exhausted {
            self.max_connections = (KEPT_SHARE * open as f64).floor().max(least as f64);
            self.growth = INITIAL_GROWTH;
        }
        self.exhausted = true;
    }

    /// An accept succeeded: the shortage is over.
    pub fn accept_succeeded(&mut self) {
        self.exhausted = false;
    }

    /// Raises the limit over time, as whatever held the descriptors may have released them.
    pub fn grow(&mut self, after: Duration) {
        if !self.exhausted {
            self.max_connections += self.growth * after.as_secs_f64();
            self.growth *= 2_f64.powf(after.as_secs_f64());
        }
    }
}

#[cfg(test)]
mod tests;
