//! A queue of events ordered by time; events of the same time keep their insertion order.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[derive(Debug)]
struct Timed<T>(f64, u64, T);

impl<T> PartialEq for Timed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Timed<T> {}

impl<T> PartialOrd for Timed<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Timed<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

#[derive(Debug)]
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Timed<T>>>,
    pushed: u64,
}

impl<T> Queue<T> {
    pub fn new() -> Self {
        Queue { heap: BinaryHeap::new(), pushed: 0 }
    }

    pub fn push(&mut self, at: f64, what: T) {
        self.pushed += 1;
        self.heap.push(Reverse(Timed(at, self.pushed, what)));
    }

    pub fn next_at(&self) -> Option<f64> {
        self.heap.peek().map(|timed| timed.0 .0)
    }

    pub fn pop(&mut self) -> Option<(f64, T)> {
        self.heap.pop().map(|Reverse(Timed(at, _, what))| (at, what))
    }

    /// Postpones every event by `by` seconds.
    pub fn delay(&mut self, by: f64) {
        let later = |Reverse(Timed(at, pushed, what))| Reverse(Timed(at + by, pushed, what));
        self.heap = std::mem::take(&mut self.heap).into_iter().map(later).collect();
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_pop_by_time_then_insertion_order() {
        let mut queue = Queue::new();
        [(2.0, 'c'), (1.0, 'a'), (2.0, 'd'), (1.0, 'b')]
            .into_iter()
            .for_each(|(at, what)| queue.push(at, what));
        queue.delay(5.0);
        assert_eq!(queue.next_at(), Some(6.0));
        let all: Vec<(f64, char)> = std::iter::from_fn(|| queue.pop()).collect();
        assert_eq!(all, [(6.0, 'a'), (6.0, 'b'), (7.0, 'c'), (7.0, 'd')]);
    }
}
