//! What is due when; of the same moment, in the order in which it was set.
use std::collections::BTreeMap;

#[derive(Debug)]
pub struct Timers<T> {
    due: BTreeMap<(u64, u64), T>,
    set: u64,
}

impl<T> Timers<T> {
    pub fn new() -> Self {
        Timers { due: BTreeMap::new(), set: 0 }
    }

    /// What has no moment is due at once: times that are no number must not be lost, nor wait for ever.
    pub fn set(&mut self, at: f64, what: T) {
        self.set += 1;
        // Of numbers that are not negative the bits order as the numbers do.
        let at = if at.is_nan() { 0.0 } else { at.max(0.0) };
        self.due.insert((at.to_bits(), self.set), what);
    }

    pub fn next(&self) -> Option<f64> {
        self.due.keys().next().map(|key| f64::from_bits(key.0))
    }

    pub fn pop(&mut self, now: f64) -> Option<T> {
        let first = self.due.first_entry().filter(|entry| f64::from_bits(entry.key().0) <= now)?;
        Some(first.remove())
    }
}
