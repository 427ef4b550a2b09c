//! Held bytes: what all client connections together hold of requests that their clients sent ahead.
use std::cell::Cell;
use std::rc::Rc;

/// Bytes that a connection holds while a request is pending: one more complete request, head and body.
const MAX_HELD: usize = 96 * 1024;
/// The same while the connections together hold as much as they may: several small requests.
const MAX_HELD_IN_SHORTAGE: usize = 8 * 1024;
/// The part of the process's memory limit that all connections together may hold.
const MEMORY_SHARE: usize = 16;

/// Counts the bytes that all client connections hold.
#[derive(Debug)]
pub struct HeldBytes {
    total: Cell<usize>,
    limit: usize,
}

impl HeldBytes {
    pub fn new(memory_mb: usize) -> Rc<Self> {
        Rc::new(HeldBytes { total: Cell::new(0), limit: memory_mb * 1024 * 1024 / MEMORY_SHARE })
    }

    /// Counts without a limit, for connections that hold nothing.
    pub fn unlimited() -> Rc<Self> {
        Rc::new(HeldBytes { total: Cell::new(0), limit: usize::MAX })
    }

    /// Counts a connection that held `before` bytes and now holds `now`.
    pub fn update(&self, before: usize, now: usize) {
        self.total.set(self.total.get() + now - before);
    }

    /// How many bytes one connection may hold now.
    pub fn max_of_connection(&self) -> usize {
        if self.total.get() < self.limit {
            MAX_HELD
        } else {
            MAX_HELD_IN_SHORTAGE
        }
    }
}
