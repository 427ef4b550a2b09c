//! Write limit: until when a forward that has been decided on may be written. Its connection may come up late, and what it was decided
//! by may no longer hold then.
use crate::node::Node;
use crate::types::{Effect, InvId};

/// Off the end of the window for repeats, in seconds: several times the way to an executor.
pub const WINDOW_MARGIN: f64 = 0.1;

impl Node {
    /// Until when the newest forward of an invocation may be written: a repeat within the window of the first that may have run,
    /// and whatever goes by a list that expires before others are told of its changes.
    pub fn write_until(&self, id: InvId) -> f64 {
        let by_list = self.list_state.written_until();
        let Some(inv) = self.invocations.get(&id) else { return by_list };
        let earlier = inv.forwards.split_last().map_or(&[][..], |(_, earlier)| earlier);
        let first = earlier.iter().find(|forward| forward.may_have_run());
        match (first, self.settings.operations[inv.op].effect) {
            (Some(first), Effect::Deduplicated { window, .. }) => {
                by_list.min(first.sent + window - WINDOW_MARGIN)
            }
            _ => by_list,
        }
    }
}

#[cfg(test)]
mod tests;
