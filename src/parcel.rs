//! Parcels: an invocation leaves one process of a node and goes on in another one, as it stands. No decision.
use crate::node::Node;
use crate::types::{Executor, Inv, InvId, Life, Operation};

impl Node {
    /// Takes the invocation out, with no answer and no word to executors: what it holds at them goes with it.
    pub fn part_with(&mut self, id: InvId) -> Option<Inv> {
        if self.invs.get(&id).is_none_or(|inv| inv.life == Life::Ended) {
            return None;
        }
        let mut inv = self.invs.remove(&id)?;
        self.waiting.retain(|&other| other != id);
        for forward in inv.still_out().map(|at| &inv.forwards[at]) {
            let t = &mut self.tgts[forward.tgt];
            t.held = t.held.saturating_sub(1);
            t.memory = if t.held == 0 { 0.0 } else { (t.memory - inv.memory).max(0.0) };
            t.running = t.running.saturating_sub(usize::from(forward.wait.is_some()));
        }
        inv.sample.clear();
        Some(inv)
    }

    /// Goes on with it; its operation and executors are numbered as here.
    pub fn take_in(&mut self, id: InvId, inv: Inv) {
        for forward in inv.still_out().map(|at| &inv.forwards[at]) {
            self.tgts.extend((self.tgts.len()..=forward.tgt).map(Executor::unheard));
            let t = &mut self.tgts[forward.tgt];
            (t.held, t.memory) = (t.held + 1, t.memory + inv.memory);
            t.running += usize::from(forward.wait.is_some());
        }
        if matches!(inv.life, Life::Waiting | Life::Suspect) {
            let presses = |other: &InvId| self.invs.get(other).is_some_and(|o| o.press >= inv.press);
            let at = self.waiting.partition_point(presses);
            self.waiting.insert(at, id);
        }
        self.unsure.extend(inv.forwards.last().filter(|f| f.hangs()).map(|_| id));
        self.invs.insert(id, inv);
    }

    /// The operations' entries, which have grown; no earlier one has changed.
    pub fn extend(&mut self, operations: Vec<Operation>) {
        self.classes.resize_with(self.classes.len().max(operations.len()), Default::default);
        self.set.operations = operations;
    }
}
