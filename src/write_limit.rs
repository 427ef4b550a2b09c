//! Write limit: until when a forward may be written after the decision to send it. Its connection may come up
//! late, when the basis of the decision no longer holds.
use crate::node::Node;
use crate::types::{Effect, InvocationId};

/// Margin before the end of the deduplication window, in seconds: several times the delay to an executor.
pub const WINDOW_MARGIN: f64 = 0.1;

impl Node {
    /// Until when the newest forward of an invocation may be written: a repeat within the deduplication
    /// window of the first forward that may have run, and any forward before its list of executors expires.
    pub fn write_until(&self, id: InvocationId) -> f64 {
        let by_list = self.list_state.written_until();
        let Some(invocation) = self.invocations.get(&id) else { return by_list };
        let earlier = invocation.forwards.split_last().map_or(&[][..], |(_, earlier)| earlier);
        let first = earlier.iter().find(|forward| forward.may_have_run());
        match (first, self.settings.operations[invocation.op].effect) {
            (Some(first), Effect::Deduplicated { window, .. }) => {
                by_list.min(first.sent + window - WINDOW_MARGIN)
            }
            _ => by_list,
        }
    }
}

#[cfg(test)]
mod tests;
