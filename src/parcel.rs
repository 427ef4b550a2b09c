//! Transfer of an invocation, with its state, from one process of a node to another. This module makes no
//! decisions.
use crate::node::Node;
use crate::types::{Executor, Inv, InvId, InvState, Operation};

impl Node {
    /// Removes the invocation without an answer or a message to executors; its forwards stay in flight and go
    /// with it.
    pub fn part_with(&mut self, id: InvId) -> Option<Inv> {
        if self.invocations.get(&id).is_none_or(|inv| inv.state == InvState::Ended) {
            return None;
        }
        let mut inv = self.invocations.remove(&id)?;
        self.waiting.retain(|&other| other != id);
        for forward in inv.in_flight().map(|at| &inv.forwards[at]) {
            let t = &mut self.executors[forward.tgt];
            t.held = t.held.saturating_sub(1);
            t.memory = if t.held == 0 { 0.0 } else { (t.memory - inv.memory).max(0.0) };
            t.running = t.running.saturating_sub(usize::from(forward.wait.is_some()));
        }
        inv.candidates.clear();
        Some(inv)
    }

    /// Continues the invocation; its operation and executors are indexed as at this node.
    pub fn take_in(&mut self, id: InvId, inv: Inv) {
        for forward in inv.in_flight().map(|at| &inv.forwards[at]) {
            self.executors.extend((self.executors.len()..=forward.tgt).map(Executor::unlisted));
            let t = &mut self.executors[forward.tgt];
            (t.held, t.memory) = (t.held + 1, t.memory + inv.memory);
            t.running += usize::from(forward.wait.is_some());
        }
        if matches!(inv.state, InvState::Waiting | InvState::Uncertain) {
            let goes_before =
                |other: &InvId| self.invocations.get(other).is_some_and(|o| o.priority >= inv.priority);
            let at = self.waiting.partition_point(goes_before);
            self.waiting.insert(at, id);
        }
        self.awaiting_start.extend(inv.forwards.last().filter(|f| f.is_start_missing()).map(|_| id));
        self.invocations.insert(id, inv);
    }

    /// Extends the operations; earlier entries must be unchanged.
    pub fn extend(&mut self, operations: Vec<Operation>) {
        self.operation_stats.resize_with(self.operation_stats.len().max(operations.len()), Default::default);
        self.settings.operations = operations;
    }
}
