//! The interface between the engine and the routing decisions.
use coveroute::list_state::ListState;
use coveroute::measurements::Measurements;
use coveroute::node::Node;
use coveroute::reconfigure::OperationMapping;
use coveroute::types::{Budget, Input, Invocation, InvocationId, Operation, Output, Settings};

/// The routing decisions. Nodes use `coveroute::node::Node`; other implementations exist only for comparison with it.
pub trait Decisions {
    fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>);

    /// Applies new settings; `mappings` and `tenants` give the previous positions of their entries.
    fn apply_settings(
        &mut self,
        settings: Settings,
        mappings: &[OperationMapping],
        tenants: &[Option<usize>],
    );

    /// Whether a job or an open forward uses this entry of the operations.
    fn uses_operation(&self, operation: usize) -> bool;

    /// Number of listed executors that are currently avoided.
    fn untrusted_count(&self, now: f64) -> usize;

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
    fn measurements(&self) -> Measurements {
        Measurements::default()
    }

    /// Restores learned state of a previous process.
    fn restore_measurements(&mut self, _: &Measurements) {}

    /// Removes an invocation so that another process can continue it; `None` where that is not supported.
    fn export_invocation(&mut self, _: InvocationId) -> Option<Invocation> {
        None
    }

    /// Adds an invocation that another process has handed over.
    fn import_invocation(&mut self, _: InvocationId, _: Invocation) {}

    /// Sets this node's part of these tenants' quotas, in invocations per second.
    fn set_quotas(&mut self, _: &[(usize, f64)]) {}

    /// Replaces the operations' entries by a list that has additional ones at its end.
    fn extend_operations(&mut self, _: Vec<Operation>) {}

    /// Sets this process's overload factor for cold executors, in units of their capacity, and its budget of forwards.
    fn set_process_share(&mut self, factor: f64, budget: Option<Budget>);
}

impl Decisions for Node {
    fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        Node::handle(self, now, input, out);
    }

    fn apply_settings(
        &mut self,
        settings: Settings,
        mappings: &[OperationMapping],
        tenants: &[Option<usize>],
    ) {
        Node::replace_settings(self, settings, mappings, tenants);
    }

    fn uses_operation(&self, operation: usize) -> bool {
        Node::uses_operation(self, operation)
    }

    fn untrusted_count(&self, now: f64) -> usize {
        Node::untrusted_count(self, now)
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

    fn measurements(&self) -> Measurements {
        Node::export_measurements(self)
    }

    fn restore_measurements(&mut self, measurements: &Measurements) {
        Node::restore_measurements(self, measurements);
    }

    fn export_invocation(&mut self, id: InvocationId) -> Option<Invocation> {
        Node::export_invocation(self, id)
    }

    fn import_invocation(&mut self, id: InvocationId, invocation: Invocation) {
        Node::import_invocation(self, id, invocation);
    }

    fn set_quotas(&mut self, quotas: &[(usize, f64)]) {
        Node::set_quotas(self, quotas);
    }

    fn extend_operations(&mut self, operations: Vec<Operation>) {
        Node::extend_operations(self, operations);
    }

    fn set_process_share(&mut self, factor: f64, budget: Option<Budget>) {
        Node::set_process_share(self, factor, budget);
    }
}
