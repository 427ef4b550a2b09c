//! Transfer of an invocation, with its state, from one process of a node to another. This module makes no
//! decisions.
use crate::node::Node;
use crate::types::{Executor, Invocation, InvocationId, InvocationState, Operation};

impl Node {
    /// Removes the invocation without an answer or a message to executors; its forwards stay in flight and go
    /// with it.
    pub fn export_invocation(&mut self, id: InvocationId) -> Option<Invocation> {
        if self.invocations.get(&id).is_none_or(|invocation| invocation.state == InvocationState::Ended) {
            return None;
        }
        let mut invocation = self.invocations.remove(&id)?;
        self.waiting.retain(|&other| other != id);
        for forward in invocation.in_flight().map(|at| &invocation.forwards[at]) {
            let t = &mut self.executors[forward.executor_index];
            t.held = t.held.saturating_sub(1);
            t.memory = if t.held == 0 { 0.0 } else { (t.memory - invocation.memory).max(0.0) };
            t.running = t.running.saturating_sub(usize::from(forward.wait.is_some()));
        }
        invocation.candidates.clear();
        Some(invocation)
    }

    /// Continues the invocation; its operation and executors are indexed as at this node.
    pub fn import_invocation(&mut self, id: InvocationId, invocation: Invocation) {
        for forward in invocation.in_flight().map(|at| &invocation.forwards[at]) {
            self.executors.extend((self.executors.len()..=forward.executor_index).map(Executor::unlisted));
            let t = &mut self.executors[forward.executor_index];
            (t.held, t.memory) = (t.held + 1, t.memory + invocation.memory);
            t.running += usize::from(forward.wait.is_some());
        }
        if matches!(invocation.state, InvocationState::Waiting | InvocationState::Uncertain) {
            let goes_before = |other: &InvocationId| {
                self.invocations.get(other).is_some_and(|o| o.priority >= invocation.priority)
            };
            let at = self.waiting.partition_point(goes_before);
            self.waiting.insert(at, id);
        }
        self.awaiting_start.extend(invocation.forwards.last().filter(|f| f.is_start_missing()).map(|_| id));
        self.invocations.insert(id, invocation);
    }

    /// Extends the operations; earlier entries must be unchanged.
    pub fn extend_operations(&mut self, operations: Vec<Operation>) {
        self.operation_stats.resize_with(self.operation_stats.len().max(operations.len()), Default::default);
        self.settings.operations = operations;
    }
}
