//! New settings under way: they are put in place of the old ones in one step; what was learnt stays. No decision.
use crate::list_state::ListState;
use crate::node::Node;
use crate::types::{Settings, TrafficStats};

/// An entry of the operations that is new, and the one whose name it took over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moved {
    pub from: Option<usize>,
    pub to: usize,
}

impl Node {
    /// From now on these settings hold; the entries of jobs under way stay as they are. `tenants`: where each was
    /// before.
    pub fn adopt(&mut self, settings: Settings, moved: &[Moved], tenants: &[Option<usize>]) {
        self.operation_stats
            .resize(self.operation_stats.len().max(settings.operations.len()), TrafficStats::default());
        for &Moved { from, to } in moved {
            self.operation_stats[to] = from.map_or(TrafficStats::default(), |from| {
                let old = &mut self.operation_stats[from];
                // What comes from now on comes to the new entry; nobody has come to that one with a timeout yet.
                let (rate, arrived) = (std::mem::take(&mut old.rate), std::mem::take(&mut old.arrived));
                TrafficStats { rate, arrived, longest_timeout: 0.0, ..old.clone() }
            });
        }
        let kept = |from: &Option<usize>| from.and_then(|from| self.tenant_stats.get(from)).cloned();
        self.tenant_stats = tenants.iter().map(|from| kept(from).unwrap_or_default()).collect();
        self.peer_last_heard.resize(settings.nodes.max(settings.me + 1), 0.0);
        self.settings = settings;
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// How current the list is that this node holds.
    pub fn list_state(&self) -> ListState {
        self.list_state
    }

    /// Requests given up at a time when the list did not permit to send.
    pub fn refused_without_list(&self) -> u64 {
        self.refused_without_list
    }

    /// Whether a job, or a forward that is still out, has this entry of the operations.
    pub fn has(&self, operation: usize) -> bool {
        self.invocations.values().any(|inv| inv.op == operation)
    }

    /// Listed executors that the draw leaves out now as not to be trusted.
    pub fn avoided(&self, now: f64) -> usize {
        self.executors.iter().filter(|t| t.is_ready() && !t.is_trusted(now, self.degraded_until)).count()
    }
}
