//! What all units read of the node: its phase, which the driver moves on with the engine, and what is in hand.
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use coveroute::types::InvId;
use coveroute_engine::Phase;
use tokio::sync::watch;

#[derive(Debug)]
pub struct Life {
    phase: Cell<Phase>,
    held: Cell<usize>,
    /// Whose lists of executors are taken unasked, if anybody's.
    lists_from: Cell<Option<IpAddr>>,
    /// The longest that a client can be told to stay away.
    max_pause: Cell<f64>,
    /// Whether clients' connections are taken: not once a successor does.
    takes: watch::Sender<bool>,
    /// Another process of this node lives: the limits count for both together.
    paired: Cell<bool>,
    /// The process before still takes connections.
    follows: Cell<bool>,
    next: Cell<InvId>,
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
        let (max_pause, takes) = (Cell::new(0.0), watch::Sender::new(true));
        let (paired, follows) = (Cell::new(false), Cell::new(false));
        Life { phase, held, lists_from, max_pause, takes, paired, follows, next: Cell::new(0) }
    }

    pub fn lists_from(&self) -> Option<IpAddr> {
        self.lists_from.get()
    }

    pub fn take_lists_from(&self, who: Option<IpAddr>) {
        self.lists_from.set(who);
    }

    /// An id for an invocation that comes to this process.
    pub fn next_id(&self) -> InvId {
        let id = self.next.get();
        self.next.set(id.wrapping_add(1));
        id
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

    pub fn takes(&self) -> bool {
        *self.takes.borrow()
    }

    pub fn take_connections(&self, takes: bool) {
        self.takes.send_replace(takes);
    }

    /// Waits until connections are taken, or are not any more.
    pub async fn until_takes(&self, takes: bool) {
        // Can't fail: the sender lives as long as this does.
        let _ = self.takes.subscribe().wait_for(|now| *now == takes).await;
    }

    /// Of the node's limits, what is this process's now.
    pub fn part(&self, of: usize) -> usize {
        if self.paired.get() {
            of / 2
        } else {
            of
        }
    }

    pub fn paired(&self) -> bool {
        self.paired.get()
    }

    pub fn pair(&self, paired: bool) {
        self.paired.set(paired);
    }

    pub fn follow(&self, follows: bool) {
        self.follows.set(follows);
    }

    /// Whether operators may stop what was there before.
    pub fn is_ready(&self) -> bool {
        self.is_up() && !self.follows.get()
    }

    /// Whether the front may send clients here.
    pub fn is_up(&self) -> bool {
        self.phase().is_up()
    }
}
