//! Decide: what the engine needs of whatever decides.
use coveroute::adopt::Moved;
use coveroute::learnt::Learnt;
use coveroute::list_state::ListState;
use coveroute::node::Node;
use coveroute::types::{Budget, Input, Inv, InvId, Operation, Output, Settings};

/// What decides; `coveroute::node::Node` does in every node, others only where they are compared with it.
pub trait Decide {
    fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>);

    /// From now on these settings hold; `moved` and `tenants` tell where entries were before.
    fn adopt(&mut self, settings: Settings, moved: &[Moved], tenants: &[Option<usize>]);

    /// Whether a job, or a forward that is still out, has this entry of the operations.
    fn has(&self, operation: usize) -> bool;

    /// How many listed executors are avoided now.
    fn avoided(&self, now: f64) -> usize;

    /// How current the list is; what does not follow its age goes by any.
    fn list_state(&self) -> ListState {
        ListState::Followed
    }

    /// Requests given up at a time when the list did not permit to send.
    fn refused_without_list(&self) -> u64 {
        0
    }

    /// Until when the newest forward of an invocation may be written.
    fn write_until(&self, _: InvId) -> f64 {
        f64::INFINITY
    }

    /// What was learnt; nothing, where nothing is.
    fn learnt(&self) -> Learnt {
        Learnt::default()
    }

    fn recall(&mut self, _: &Learnt) {}

    /// An invocation leaves, or comes, as it stands. What does not know how keeps its own.
    fn part_with(&mut self, _: InvId) -> Option<Inv> {
        None
    }

    fn take_in(&mut self, _: InvId, _: Inv) {}

    /// Of these tenants' shares, this many invocations a second are within them here.
    fn quotas(&mut self, _: &[(usize, f64)]) {}

    /// The operations' entries, which have grown.
    fn extend(&mut self, _: Vec<Operation>) {}

    /// What cold executors can stand of this process from now on, in their capacity, and its budget of forwards.
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

    fn write_until(&self, id: InvId) -> f64 {
        Node::write_until(self, id)
    }

    fn learnt(&self) -> Learnt {
        Node::learnt(self)
    }

    fn recall(&mut self, learnt: &Learnt) {
        Node::recall(self, learnt);
    }

    fn part_with(&mut self, id: InvId) -> Option<Inv> {
        Node::part_with(self, id)
    }

    fn take_in(&mut self, id: InvId, inv: Inv) {
        Node::take_in(self, id, inv);
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
