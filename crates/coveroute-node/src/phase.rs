//! Phase: the node state that all modules share: its lifecycle phase, which the driver copies from the
//! engine, and the requests in progress.
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use coveroute::types::InvId;
use coveroute_engine::Phase;
use tokio::sync::watch;

/// The state of this process that its modules share.
#[derive(Debug)]
pub struct Life {
    phase: Cell<Phase>,
    /// Number of requests in progress.
    in_progress: Cell<usize>,
    /// The address from which pushed lists of executors are accepted, if from any.
    lists_from: Cell<Option<IpAddr>>,
    /// The longest Retry-After that clients are given, in seconds.
    max_pause: Cell<f64>,
    /// Whether this process accepts client connections; not once a successor does.
    takes: watch::Sender<bool>,
    /// Another process of this node is alive: the limits apply to both together.
    paired: Cell<bool>,
    /// The previous process of this node still accepts connections.
    follows: Cell<bool>,
    next_id: Cell<InvId>,
}

/// Counts a request as in progress until it is dropped.
pub struct RequestGuard(Rc<Life>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

impl Life {
    pub fn new() -> Self {
        let (phase, in_progress, lists_from) = (Cell::new(Phase::Starting), Cell::new(0), Cell::new(None));
        let (max_pause, takes) = (Cell::new(0.0), watch::Sender::new(true));
        let (paired, follows) = (Cell::new(false), Cell::new(false));
        let next_id = Cell::new(0);
        Life { phase, in_progress, lists_from, max_pause, takes, paired, follows, next_id }
    }

    pub fn lists_from(&self) -> Option<IpAddr> {
        self.lists_from.get()
    }

    pub fn take_lists_from(&self, who: Option<IpAddr>) {
        self.lists_from.set(who);
    }

    /// A new id for an invocation in this process.
    pub fn next_id(&self) -> InvId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
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

    /// Counts a request as in progress until the guard is dropped.
    pub fn request_guard(self: &Rc<Self>) -> RequestGuard {
        self.in_progress.set(self.in_progress.get() + 1);
        RequestGuard(self.clone())
    }

    /// Whether no request is in progress.
    pub fn idle(&self) -> bool {
        self.in_progress.get() == 0
    }

    pub fn takes(&self) -> bool {
        *self.takes.borrow()
    }

    pub fn take_connections(&self, takes: bool) {
        self.takes.send_replace(takes);
    }

    /// Waits until this process accepts connections (`true`) or no longer does (`false`).
    pub async fn until_takes(&self, takes: bool) {
        // Can't fail: `self` owns the sender.
        let _ = self.takes.subscribe().wait_for(|now| *now == takes).await;
    }

    /// This process's share of a limit of the node: half while another process of the node is alive.
    pub fn part(&self, of: usize) -> usize {
        if self.paired.get() {
            of / 2
        } else {
            of
        }
    }

    /// Whether another process of this node is alive.
    pub fn paired(&self) -> bool {
        self.paired.get()
    }

    pub fn pair(&self, paired: bool) {
        self.paired.set(paired);
    }

    /// Sets whether the previous process of this node still accepts connections.
    pub fn follow(&self, follows: bool) {
        self.follows.set(follows);
    }

    /// Whether the node is up and operators may stop the one that it replaces.
    pub fn is_ready(&self) -> bool {
        self.is_up() && !self.follows.get()
    }

    /// Whether the front load balancer may send clients here.
    pub fn is_up(&self) -> bool {
        self.phase().is_up()
    }
}
