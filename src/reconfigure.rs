//! Replaces a node's settings at run time in one step and keeps its measurements. Also holds read access for
//! callers. This module makes no decisions.
use crate::list_state::ListState;
use crate::node::Node;
use crate::types::{Settings, TrafficStats};

/// A new entry of the operations (`to`), and the entry whose name it takes over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationMapping {
    pub from: Option<usize>,
    pub to: usize,
}

impl Node {
    /// Replaces the settings; jobs in progress keep their entries of the operations, and their tenants where
    /// these still exist. `tenants`: the previous index of each tenant.
    pub fn replace_settings(
        &mut self,
        settings: Settings,
        mappings: &[OperationMapping],
        tenants: &[Option<usize>],
    ) {
        self.operation_stats
            .resize(self.operation_stats.len().max(settings.operations.len()), TrafficStats::default());
        for &OperationMapping { from, to } in mappings {
            self.operation_stats[to] = from.map_or(TrafficStats::default(), |from| {
                let old = &mut self.operation_stats[from];
                // New invocations use the new entry, which has seen no client timeout yet.
                let (rate, arrived) = (std::mem::take(&mut old.rate), std::mem::take(&mut old.arrived));
                TrafficStats { rate, arrived, longest_timeout: 0.0, ..old.clone() }
            });
        }
        let renumbered = |tenant: usize| tenants.iter().position(|from| *from == Some(tenant));
        for invocation in self.invocations.values_mut() {
            invocation.tenant = invocation.tenant.and_then(renumbered);
        }
        let previous = |from: &Option<usize>| from.and_then(|from| self.tenant_stats.get(from)).cloned();
        self.tenant_stats = tenants.iter().map(|from| previous(from).unwrap_or_default()).collect();
        self.peer_last_heard.resize(settings.nodes.max(settings.node_index + 1), 0.0);
        self.settings = settings;
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// How current this node's list of executors is.
    pub fn list_state(&self) -> ListState {
        self.list_state
    }

    /// The number of requests given up while the list was too old to send by.
    pub fn refused_without_list(&self) -> u64 {
        self.refused_without_list
    }

    /// Whether a job, or a forward in flight, uses this entry of the operations.
    pub fn uses_operation(&self, operation: usize) -> bool {
        self.invocations.values().any(|invocation| invocation.op == operation)
    }

    /// The number of ready executors that draws exclude now because they are not trusted.
    pub fn untrusted_count(&self, now: f64) -> usize {
        self.executors.iter().filter(|t| t.is_ready() && !t.is_trusted(now, self.degraded_until)).count()
    }
}
