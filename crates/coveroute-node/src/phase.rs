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
    /// The longest that a client can be told to stay away.
    max_pause: Cell<f64>,
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
        let (phase, held, lists_from) = (Cell::new(Phase::Starting), Cell::new(0), Cell::new(None));
        Life { phase, held, lists_from, max_pause: Cell::new(0.0) }
    }

    pub fn lists_from(&self) -> Option<IpAddr> {
        self.lists_from.get()
    }

    pub fn take_lists_from(&self, who: Option<IpAddr>) {
        self.lists_from.set(who);
    }

    pub fn max_pause(&self) -> f64 {
        self.max_pause.get()
    }

    pub fn take_max_pause(&self, most: f64) {
        self.max_pause.set(most);
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
