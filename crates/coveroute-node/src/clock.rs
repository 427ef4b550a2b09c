//! Clock: the node's wall clock, unaffected by steps of the system clock.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

/// Seconds since the Unix epoch, as in the list of executors. The system clock is read once and then advanced
/// by the monotonic clock, so that a step of the system clock does not move deadlines.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    at_start: f64,
}

/// A process's clock and the machine's monotonic clock at the same moment, in seconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reading {
    /// The process's clock.
    #[serde(rename = "shown")]
    wall: f64,
    /// The monotonic clock.
    #[serde(rename = "steady")]
    monotonic: f64,
}

/// The machine's monotonic clock, which all its processes share.
fn monotonic_now() -> Option<f64> {
    clock_gettime(ClockId::CLOCK_MONOTONIC).ok().map(|time| Duration::from(time).as_secs_f64())
}

impl Clock {
    /// Continues another process's clock, so that times mean the same to both processes even if the system
    /// clock was stepped in between.
    pub fn continuing(reading: Reading) -> Self {
        let own = Clock::new();
        let wall = monotonic_now().map(|monotonic| reading.wall + (monotonic - reading.monotonic));
        Clock { at_start: wall.unwrap_or(own.at_start), ..own }
    }

    pub fn reading(&self) -> Option<Reading> {
        monotonic_now().map(|monotonic| Reading { wall: self.now(), monotonic })
    }

    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), at_start: unix.as_secs_f64() }
    }

    pub fn now(&self) -> f64 {
        self.at_start + self.start.elapsed().as_secs_f64()
    }

    /// The time on this clock at a moment of the monotonic clock.
    pub fn at(&self, moment: Instant) -> f64 {
        let since = moment.saturating_duration_since(self.start).as_secs_f64();
        let before = self.start.saturating_duration_since(moment).as_secs_f64();
        self.at_start + since - before
    }

    /// The moment of the monotonic clock at a time on this clock.
    pub fn instant(&self, at: f64) -> Instant {
        self.start + seconds(at - self.at_start)
    }
}

/// A duration in seconds; zero for a negative value or NaN.
pub fn seconds(span: f64) -> Duration {
    const LONGEST: f64 = 1e8; // Three years: adding it to an `Instant` does not overflow.
    Duration::try_from_secs_f64(span.clamp(0.0, LONGEST)).unwrap_or(Duration::ZERO)
}
