//! What all units read of the node: its phase, which the driver moves on with the engine, and what is in hand.
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use coveroute_engine::Phase;

#[derive(Debug)]
pub struct Life {
    phase: Cell<Phase>,
    held: Cell<usize>,
    /// Whose lists of executors are taken unasked, if anybody's.
    lists_from: Cell<Option<IpAddr>>,
}

/// A request in hand, from its head to its answer.
pub struct Held(Rc<Life>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }
}

impl Life {
    pub fn new() -> Self {
        Life { phase: Cell::new(Phase::Starting), held: Cell::new(0), lists_from: Cell::new(None) }
    }

    pub fn lists_from(&self) -> Option<IpAddr> {
        self.lists_from.get()
    }

    pub fn take_lists_from(&self, who: Option<IpAddr>) {
        self.lists_from.set(who);
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub fn set(&self, phase: Phase) {
        self.phase.set(phase);
    }

    pub fn hold(self: &Rc<Self>) -> Held {
        self.held.set(self.held.get() + 1);
        Held(self.clone())
    }

    /// Whether no request is in hand.
    pub fn idle(&self) -> bool {
        self.held.get() == 0
    }

    /// Whether the front may send clients here.
    pub fn is_up(&self) -> bool {
        self.phase().is_up()
    }
}
