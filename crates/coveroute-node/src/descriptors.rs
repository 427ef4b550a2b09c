//! Descriptors: how many connections there are descriptors for, as far as accepts have shown.
use std::time::Duration;

/// Of the connections that there were when descriptors ran out: the list of executors and executors need some too.
const KEPT: f64 = 0.75;
/// Connections a second that are tried beyond, at first; twice as many with each further second.
const GROWTH: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Descriptors {
    connections: f64,
    growth: f64,
    /// No accept has succeeded since they last ran out.
    out: bool,
}

impl Default for Descriptors {
    fn default() -> Self {
        Descriptors { connections: f64::INFINITY, growth: GROWTH, out: false }
    }
}

impl Descriptors {
    /// How many connections to hold at most.
    pub fn connections(&self) -> usize {
        self.connections as usize
    }

    /// They ran out with so many connections open. Of a shortage that goes on the first word counts: closing connections has
    /// freed what it could by then. With fewer than `least` open it is not these that hold the descriptors.
    pub fn run_out(&mut self, open: usize, least: usize) {
        if !self.out {
            self.connections = (KEPT * open as f64).floor().max(least as f64);
            self.growth = GROWTH;
        }
        self.out = true;
    }

    /// One more connection found one.
    pub fn found(&mut self) {
        self.out = false;
    }

    /// What took them may have gone.
    pub fn grow(&mut self, after: Duration) {
        if !self.out {
            self.connections += self.growth * after.as_secs_f64();
            self.growth *= 2_f64.powf(after.as_secs_f64());
        }
    }
}

#[cfg(test)]
mod tests;
