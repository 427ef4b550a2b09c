//! Node: all that the decisions of one node keep. The decisions stand in `policy` and the modules beside it.
use std::collections::{BTreeMap, BTreeSet};

use crate::chance::{mix, unit, Chance};
use crate::list_calls::ListCalls;
use crate::list_state::ListState;
use crate::sampler::{Index, RendezvousTree, Sampler, Subset, MAX_SCANNED};
use crate::types::*;

/// All that a node keeps.
#[derive(Default)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) rng: Chance,
    pub(crate) executors: Vec<Executor>,
    /// Ready executors, where a crossing has a price those of the own zone (`near` of them) first, then by
    /// share, the largest first. Invocations that wait, the most pressing first.
    pub(crate) ranked: Vec<Tgt>,
    pub(crate) own_zone_count: usize,
    /// What is drawn from in a large fleet.
    pub(crate) index: Index,
    pub(crate) waiting: Vec<InvId>,
    pub(crate) invocations: BTreeMap<InvId, Inv>,
    pub(crate) operation_stats: Vec<TrafficStats>,
    pub(crate) tenant_stats: Vec<TrafficStats>,
    pub(crate) kind_stats: Vec<MachineKindStats>,
    pub(crate) peer_last_heard: Vec<f64>,
    pub(crate) phi: f64,
    pub(crate) util: f64,
    /// What executors are held against when they are doubted, at most one.
    pub(crate) trust_reference: f64,
    pub(crate) degraded_until: f64,
    /// How often an error is the invocation's own fault.
    pub(crate) job_fault_rate: f64,
    /// Where nothing is reported: the part of invocations that may leave the own zone at once, as starts come late there.
    pub(crate) spill_probability: f64,
    pub(crate) misleading_report_rate: f64,
    /// How often a forward that was told of room had to wait.
    pub(crate) missing_slot_rate: f64,
    /// How forwards over open and over new connections fared.
    pub(crate) connection_records: [Record; 2],
    /// How often what should have started, and had not, never did.
    pub(crate) never_started_rate: f64,
    /// What an invocation must press to be taken, in parts of the usual press.
    pub(crate) price: f64,
    pub(crate) typical_priority: f64,
    pub(crate) price_raised_at: f64,
    /// Mean billed value of an invocation.
    pub(crate) mean_value: f64,
    /// Mean own forwards held at an executor of the first `near` in rank, and of the others, at the last solve.
    pub(crate) mean_held: [f64; 2],
    pub(crate) last_solve: f64,
    /// When it last had a turn, and the one before.
    pub(crate) last_inputs: [f64; 2],
    pub(crate) dispatch_timer_set: bool,
    /// When invocations were taken, and forwards beyond the first sent, within the budget's span.
    pub(crate) accepted: EventTimes,
    pub(crate) further_sent: EventTimes,
    /// Invocations whose last forward had every reason to start, and had not when last looked at.
    pub(crate) awaiting_start: BTreeSet<InvId>,
    /// By when all must be answered, once the node is to stop.
    pub(crate) stop_deadline: Option<f64>,
    /// When discovery is called for the list, while it is not followed.
    pub(crate) list_calls: ListCalls,
    /// How current the list is, and whether requests may be sent by it.
    pub(crate) list_state: ListState,
    /// Requests given up, unsent or not, at a time when the list did not permit to send.
    pub(crate) refused_without_list: u64,
}

impl Node {
    /// For an executor and a kind that may be new.
    pub(crate) fn add_slots_for(&mut self, entry: &Entry) {
        self.executors.extend((self.executors.len()..=entry.tgt).map(Executor::unlisted));
        self.kind_stats.resize(self.kind_stats.len().max(entry.kind + 1), MachineKindStats::default());
        self.kind_stats[entry.kind].max_size = self.kind_stats[entry.kind].max_size.max(entry.size);
    }

    /// The entries, before them as gone what a whole list leaves out.
    pub(crate) fn with_absent(&self, whole: bool, entries: Vec<Entry>) -> Vec<Entry> {
        let absent = |t: &Executor| Entry { standing: Standing::Gone, ..t.entry.clone() };
        let named: BTreeSet<Tgt> = entries.iter().map(|entry| entry.tgt).collect();
        let left_out = self.executors.iter().filter(|t| whole && !named.contains(&t.entry.tgt));
        let mut all: Vec<Entry> = left_out.map(absent).collect();
        all.extend(entries);
        all
    }

    /// What each ready executor's share is now, by its mark; for those who watch, no decision reads it.
    pub fn shares(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        let sum: f64 = self.ranked.iter().map(|&tgt| self.executors[tgt].beta).sum();
        let share =
            move |&tgt: &Tgt| (self.executors[tgt].entry.mark, self.executors[tgt].beta / sum.max(1e-12));
        self.ranked.iter().map(share)
    }
}

impl Node {
    /// So few that a start looks at all of them.
    pub(crate) fn is_small_fleet(&self) -> bool {
        self.ranked.len() <= MAX_SCANNED
    }

    /// Ready executors that an invocation is bound to by what may have run, by kind, or to the own zone if `near`.
    pub(crate) fn subset(&self, inv: &Inv, near: bool) -> Option<&Sampler> {
        let op = &self.settings.operations[inv.op];
        let group = match (inv.first_possible_run(), op.effect) {
            (Some(first), Effect::Deduplicated { group, .. }) => {
                let entry = &self.executors[first.tgt].entry;
                match group {
                    Group::All => None,
                    Group::Zone => Some(Subset::Zone(entry.zone)),
                    Group::Cell => Some(Subset::Cell(entry.cell)),
                }
            }
            _ => None,
        };
        let own = near.then_some(Subset::Zone(self.settings.zone));
        self.index.subsets.get(&group.or(op.kind.map(Subset::Kind)).or(own).unwrap_or(Subset::All))
    }

    /// Executors that it can go to at all, and others: a part that it is bound to, or all.
    pub(crate) fn permitted_executors<'a>(&'a self, inv: &Inv) -> impl Iterator<Item = &'a Executor> {
        let part = self.subset(inv, false);
        let all = if part.is_none() { &self.executors[..] } else { &[] };
        part.into_iter().flat_map(|part| &part.members).map(|&i| &self.executors[i]).chain(all)
    }

    /// Connections to all executors; of a large fleet, when last solved.
    pub(crate) fn connection_count(&self) -> usize {
        if self.is_small_fleet() {
            self.executors.iter().map(|t| t.connections).sum()
        } else {
            self.index.connections
        }
    }

    /// A key's order of executors, the same at every node (weighted rendezvous hashing): the whole, or its beginning.
    pub(crate) fn rendezvous_order(&mut self, key: u64) -> Vec<Tgt> {
        if !self.is_small_fleet() {
            let (rank, tgts) = (&self.ranked, &self.executors);
            let mark = |i: Tgt| mix(u64::from(tgts[i].entry.mark));
            let lots = || RendezvousTree::new(rank.clone(), mark, |i| tgts[i].share);
            return self.index.rendezvous.get_or_insert_with(lots).order(key);
        }
        let lot =
            |i: &Tgt| -self.executors[*i].share / unit(key ^ u64::from(self.executors[*i].entry.mark)).ln();
        let mut order = self.ranked.clone();
        order.sort_by_cached_key(|i| std::cmp::Reverse(lot(i).to_bits()));
        order
    }
}
