//! A queue of timers ordered by due time; timers with the same due time keep the order in which they were scheduled.
use std::collections::BTreeMap;

/// Identifies a scheduled timer: the bits of its due time, and its sequence number.
pub type TimerKey = (u64, u64);

#[derive(Debug)]
pub struct Timers<T> {
    due: BTreeMap<TimerKey, T>,
    /// Number of timers scheduled so far.
    scheduled: u64,
}

impl<T> Timers<T> {
    pub fn new() -> Self {
        Timers { due: BTreeMap::new(), scheduled: 0 }
    }

    /// Schedules a timer. One whose time is NaN is due at once, so that it is neither lost nor waits forever.
    pub fn schedule(&mut self, at: f64, timer: T) -> TimerKey {
        self.scheduled += 1;
        // The bit patterns of non-negative floats order like the numbers.
        let at = if at.is_nan() { 0.0 } else { at.max(0.0) };
        let key = (at.to_bits(), self.scheduled);
        self.due.insert(key, timer);
        key
    }

    /// Removes a timer, if it is not due yet.
    pub fn cancel(&mut self, key: TimerKey) {
        self.due.remove(&key);
    }

    /// Number of scheduled timers.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    pub fn next(&self) -> Option<f64> {
        self.due.keys().next().map(|key| f64::from_bits(key.0))
    }

    pub fn pop(&mut self, now: f64) -> Option<T> {
        let first = self.due.first_entry().filter(|entry| f64::from_bits(entry.key().0) <= now)?;
        Some(first.remove())
    }
}
