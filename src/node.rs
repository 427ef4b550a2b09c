//! The state of one node. The decision logic is in `policy` and the modules beside it.
use std::collections::{BTreeMap, BTreeSet};

use crate::list_calls::ListCalls;
use crate::list_state::ListState;
use crate::random::{mix, unit, Rng};
use crate::sampler::{Index, RendezvousTree, Sampler, Subset, MAX_SCANNED};
use crate::types::*;

/// The state of a node.
#[derive(Default)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    pub(crate) executors: Vec<Executor>,
    /// Ready executors by share, the largest first. If zone crossings have a price, those of the own zone
    /// come first.
    pub(crate) ranked: Vec<ExecutorIndex>,
    /// The number of executors of the own zone at the front of `ranked`.
    pub(crate) own_zone_count: usize,
    /// The sampling index of a large fleet.
    pub(crate) index: Index,
    /// Waiting invocations, the highest priority first.
    pub(crate) waiting: Vec<InvocationId>,
    pub(crate) invocations: BTreeMap<InvocationId, Invocation>,
    pub(crate) operation_stats: Vec<TrafficStats>,
    pub(crate) tenant_stats: Vec<TrafficStats>,
    pub(crate) kind_stats: Vec<MachineKindStats>,
    pub(crate) peer_last_heard: Vec<f64>,
    /// The arrival rate at this node.
    pub(crate) phi: f64,
    /// Mean utilisation of the executors.
    pub(crate) util: f64,
    /// The level that executors' records are compared with, at most one.
    pub(crate) trust_reference: f64,
    /// The network counts as degraded until then.
    pub(crate) degraded_until: f64,
    /// The rate of errors that are the invocation's own fault.
    pub(crate) job_fault_rate: f64,
    /// Without load reports: the fraction of invocations that may leave the own zone at once, as starts are
    /// late there.
    pub(crate) spill_probability: f64,
    /// The rate of full answers that contradict a reported free slot.
    pub(crate) misleading_report_rate: f64,
    /// The rate of forwards that had to wait although a free slot was reported.
    pub(crate) missing_slot_rate: f64,
    /// Records of forwards over reused and over new connections.
    pub(crate) connection_records: [Record; 2],
    /// The rate of overdue starts that never happen.
    pub(crate) never_started_rate: f64,
    /// The priority required for admission, as a multiple of the typical priority.
    pub(crate) price: f64,
    pub(crate) typical_priority: f64,
    /// When the price was last raised.
    pub(crate) price_raised_at: f64,
    /// Mean billed value of an invocation.
    pub(crate) mean_value: f64,
    /// Mean number of own forwards held per executor, in the own zone and elsewhere, at the last solve.
    pub(crate) mean_held: [f64; 2],
    pub(crate) last_solve: f64,
    /// The times of the last two inputs that differ in time, the latest last.
    pub(crate) last_inputs: [f64; 2],
    /// The timer that retries the waiting queue is running.
    pub(crate) dispatch_timer_set: bool,
    /// The times at which invocations arrived and further forwards were sent, for the budget.
    pub(crate) accepted: EventTimes,
    pub(crate) further_sent: EventTimes,
    /// Invocations whose last forward should have started at once and had not when last checked.
    pub(crate) awaiting_start: BTreeSet<InvocationId>,
    /// When all invocations must be answered, once the node has to stop.
    pub(crate) stop_deadline: Option<f64>,
    /// The schedule of calls to discovery while the list is not followed.
    pub(crate) list_calls: ListCalls,
    /// How current the list is, and whether requests may be sent by it.
    pub(crate) list_state: ListState,
    /// Requests given up while the list was too old to send by.
    pub(crate) refused_without_list: u64,
}

impl Node {
    /// Adds the executor and the machine kind of an entry if they are new.
    pub(crate) fn ensure_known(&mut self, entry: &Entry) {
        self.executors.extend((self.executors.len()..=entry.executor_index).map(Executor::unlisted));
        self.kind_stats.resize(self.kind_stats.len().max(entry.kind + 1), MachineKindStats::default());
        self.kind_stats[entry.kind].max_size = self.kind_stats[entry.kind].max_size.max(entry.size);
    }

    /// The entries of a list, preceded by the executors that a whole list omits, as gone.
    pub(crate) fn with_absent(&self, whole: bool, entries: Vec<Entry>) -> Vec<Entry> {
        let absent = |t: &Executor| Entry { standing: Standing::Gone, ..t.entry.clone() };
        let named: BTreeSet<ExecutorIndex> = entries.iter().map(|entry| entry.executor_index).collect();
        let omitted = self.executors.iter().filter(|t| whole && !named.contains(&t.entry.executor_index));
        let mut all: Vec<Entry> = omitted.map(absent).collect();
        all.extend(entries);
        all
    }

    /// The current share of each ready executor, by its stable id; for monitoring only.
    pub fn shares(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        let sum: f64 = self.ranked.iter().map(|&executor_index| self.executors[executor_index].beta).sum();
        let share = move |&executor_index: &ExecutorIndex| {
            (
                self.executors[executor_index].entry.stable_id,
                self.executors[executor_index].beta / sum.max(1e-12),
            )
        };
        self.ranked.iter().map(share)
    }
}

impl Node {
    /// Whether the fleet is small enough to consider every executor for each invocation.
    pub(crate) fn is_small_fleet(&self) -> bool {
        self.ranked.len() <= MAX_SCANNED
    }

    /// The subset of ready executors that the invocation is restricted to: by an earlier forward that may
    /// have run, by machine kind, or to the own zone if `own_zone_only`.
    pub(crate) fn subset(&self, invocation: &Invocation, own_zone_only: bool) -> Option<&Sampler> {
        let op = &self.settings.operations[invocation.op];
        let group = match (invocation.first_possible_run(), op.effect) {
            (Some(first), Effect::Deduplicated { group, .. }) => {
                first.location.and_then(|location| match group {
                    Group::All => None,
                    Group::Zone => Some(Subset::Zone(location.zone)),
                    Group::Cell => Some(Subset::Cell(location.cell)),
                })
            }
            _ => None,
        };
        let own_zone = own_zone_only.then_some(Subset::Zone(self.settings.zone));
        self.index.subsets.get(&group.or(op.kind.map(Subset::Kind)).or(own_zone).unwrap_or(Subset::All))
    }

    /// A superset of the executors that may take the invocation: the subset it is restricted to, or all.
    pub(crate) fn permitted_executors<'a>(
        &'a self,
        invocation: &Invocation,
    ) -> impl Iterator<Item = &'a Executor> {
        let subset = self.subset(invocation, false);
        let all = if subset.is_none() { &self.executors[..] } else { &[] };
        subset.into_iter().flat_map(|subset| &subset.members).map(|&i| &self.executors[i]).chain(all)
    }

    /// The number of connections to all executors; in a large fleet, as of the last solve.
    pub(crate) fn connection_count(&self) -> usize {
        if self.is_small_fleet() {
            self.executors.iter().map(|t| t.connections).sum()
        } else {
            self.index.connections
        }
    }

    /// The executors in the key's order, the same at every node (weighted rendezvous hashing). In a large
    /// fleet only the first ones.
    pub(crate) fn rendezvous_order(&mut self, key: u64) -> Vec<ExecutorIndex> {
        if !self.is_small_fleet() {
            let (ranked, executors) = (&self.ranked, &self.executors);
            let stable_id = |i: ExecutorIndex| mix(u64::from(executors[i].entry.stable_id));
            let build = || RendezvousTree::new(ranked.clone(), stable_id, |i| executors[i].share);
            return self.index.rendezvous.get_or_insert_with(build).order(key);
        }
        let score = |i: &ExecutorIndex| {
            -self.executors[*i].share / unit(key ^ u64::from(self.executors[*i].entry.stable_id)).ln()
        };
        let mut order = self.ranked.clone();
        order.sort_by_cached_key(|i| std::cmp::Reverse(score(i).to_bits()));
        order
    }
}
