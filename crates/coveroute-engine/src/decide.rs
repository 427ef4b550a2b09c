//! The interface between the engine and the routing decisions.
use coveroute::adopt::Moved;
use coveroute::learnt::Learnt;
use coveroute::list_state::ListState;
use coveroute::node::Node;
use coveroute::types::{Budget, Input, Invocation, InvocationId, Operation, Output, Settings};

/// The routing decisions. Nodes use `coveroute::node::Node`; other implementations exist only for comparison with it.
pub trait Decide {
    fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>);

    /// Applies new settings; `moved` and `tenants` give the previous positions of their entries.
    fn adopt(&mut self, settings: Settings, moved: &[Moved], tenants: &[Option<usize>]);

    /// Whether a job or an open forward uses this entry of the operations.
    fn has(&self, operation: usize) -> bool;

    /// Number of listed executors that are currently avoided.
    fn avoided(&self, now: f64) -> usize;

    /// How current the list is. Implementations that ignore its age always accept it.
    fn list_state(&self) -> ListState {
        ListState::Followed
    }

    /// Number of requests that were given up while the state of the list forbade sending.
    fn refused_without_list(&self) -> u64 {
        0
    }

    /// The latest time at which the newest forward of an invocation may be written.
    fn write_until(&self, _: InvocationId) -> f64 {
        f64::INFINITY
    }

    /// The learned state; empty for implementations that learn nothing.
    fn learnt(&self) -> Learnt {
        Learnt::default()
    }

    /// Restores learned state of a previous process.
    fn recall(&mut self, _: &Learnt) {}

    /// Removes an invocation so that another process can continue it; `None` where that is not supported.
    fn part_with(&mut self, _: InvocationId) -> Option<Invocation> {
        None
    }

    /// Adds an invocation that another process has handed over.
    fn take_in(&mut self, _: InvocationId, _: Invocation) {}

    /// Sets this node's part of these tenants' quotas, in invocations per second.
    fn quotas(&mut self, _: &[(usize, f64)]) {}

    /// Replaces the operations' entries by a list that has additional ones at its end.
    fn extend(&mut self, _: Vec<Operation>) {}

    /// Sets this process's overload factor for cold executors, in units of their capacity, and its budget of forwards.
    fn share(&mut self, factor: f64, budget: Option<Budget>);
}

impl Decide for Node {
    fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        Node::handle(self, now, input, out);
    }

    fn adopt(&mut self, settings: Settings, moved: &[Moved], tenants: &[Option<usize>]) {
        Node::adopt(self, settings, moved, tenants);
    }

    fn has(&self, operation: usize) -> bool {
        Node::has(self, operation)
    }

    fn avoided(&self, now: f64) -> usize {
        Node::avoided(self, now)
    }

    fn list_state(&self) -> ListState {
        Node::list_state(self)
    }

    fn refused_without_list(&self) -> u64 {
        Node::refused_without_list(self)
    }

    fn write_until(&self, id: InvocationId) -> f64 {
        Node::write_until(self, id)
    }

    fn learnt(&self) -> Learnt {
        Node::learnt(self)
    }

    fn recall(&mut self, learnt: &Learnt) {
        Node::recall(self, learnt);
    }

    fn part_with(&mut self, id: InvocationId) -> Option<Invocation> {
        Node::part_with(self, id)
    }

    fn take_in(&mut self, id: InvocationId, invocation: Invocation) {
        Node::take_in(self, id, invocation);
    }

    fn quotas(&mut self, quotas: &[(usize, f64)]) {
        Node::quotas(self, quotas);
    }

    fn extend(&mut self, operations: Vec<Operation>) {
        Node::extend(self, operations);
    }

    fn share(&mut self, factor: f64, budget: Option<Budget>) {
        Node::share(self, factor, budget);
    }
}
