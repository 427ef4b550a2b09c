//! Node state: what all modules share of it: the lifecycle phase, which the driver copies from the
//! engine, and the requests in progress.
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use coveroute::types::InvocationId;
use coveroute_engine::Phase;
use tokio::sync::watch;

/// The state of this process that its modules share.
#[derive(Debug)]
pub struct NodeState {
    phase: Cell<Phase>,
    /// Number of requests in progress.
    in_progress: Cell<usize>,
    /// The address from which pushed lists of executors are accepted, if from any.
    lists_from: Cell<Option<IpAddr>>,
    /// The longest Retry-After that clients are given, in seconds.
    max_pause: Cell<f64>,
    /// Whether this process accepts client connections; not once a successor does.
    accepts_connections: watch::Sender<bool>,
    /// Another process of this node is alive: the limits apply to both together.
    paired: Cell<bool>,
    /// The previous process of this node still accepts connections.
    predecessor_accepting: Cell<bool>,
    next_id: Cell<InvocationId>,
}

/// Counts a request as in progress until it is dropped.
pub struct RequestGuard(Rc<NodeState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

impl NodeState {
    pub fn new() -> Self {
        let (phase, in_progress, lists_from) = (Cell::new(Phase::Starting), Cell::new(0), Cell::new(None));
        let (max_pause, accepts_connections) = (Cell::new(0.0), watch::Sender::new(true));
        let (paired, predecessor_accepting) = (Cell::new(false), Cell::new(false));
        let next_id = Cell::new(0);
        NodeState {
            phase,
            in_progress,
            lists_from,
            max_pause,
            accepts_connections,
            paired,
            predecessor_accepting,
            next_id,
        }
    }

    pub fn lists_from(&self) -> Option<IpAddr> {
        self.lists_from.get()
    }

    pub fn set_lists_from(&self, host: Option<IpAddr>) {
        self.lists_from.set(host);
    }

    /// A new id for an invocation in this process.
    pub fn next_id(&self) -> InvocationId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }

    pub fn max_pause(&self) -> f64 {
        self.max_pause.get()
    }

    pub fn set_max_pause(&self, max_pause: f64) {
        self.max_pause.set(max_pause);
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub fn set_phase(&self, phase: Phase) {
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

    pub fn accepts_connections(&self) -> bool {
        *self.accepts_connections.borrow()
    }

    pub fn set_accepts_connections(&self, accepts: bool) {
        self.accepts_connections.send_replace(accepts);
    }

    /// Waits until this process accepts connections (`true`) or no longer does (`false`).
    pub async fn until_accepts_connections(&self, accepts: bool) {
        // Can't fail: `self` owns the sender.
        let _ = self.accepts_connections.subscribe().wait_for(|now| *now == accepts).await;
    }

    /// This process's share of a limit of the node: half while another process of the node is alive.
    pub fn share_of(&self, limit: usize) -> usize {
        if self.paired.get() {
            limit / 2
        } else {
            limit
        }
    }

    /// Whether another process of this node is alive.
    pub fn paired(&self) -> bool {
        self.paired.get()
    }

    pub fn set_paired(&self, paired: bool) {
        self.paired.set(paired);
    }

    /// Sets whether the previous process of this node still accepts connections.
    pub fn set_predecessor_accepting(&self, accepting: bool) {
        self.predecessor_accepting.set(accepting);
    }

    /// Whether the node is up and operators may stop the one that it replaces.
    pub fn is_ready(&self) -> bool {
        self.is_up() && !self.predecessor_accepting.get()
    }

    /// Whether the front load balancer may send clients here.
    pub fn is_up(&self) -> bool {
        self.phase().is_up()
    }
}
