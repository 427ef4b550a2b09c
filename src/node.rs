//! Node: all that the decisions of one node keep. The decisions stand in `policy` and the modules beside it.
use std::collections::{BTreeMap, BTreeSet};

use crate::chance::{mix, unit, Chance};
use crate::list_calls::ListCalls;
use crate::list_state::ListState;
use crate::sampler::{Index, Lots, Part, Sampler, LOOKED};
use crate::types::*;

/// All that a node keeps.
#[derive(Default)]
pub struct Node {
    pub(crate) set: Settings,
    pub(crate) chance: Chance,
    pub(crate) tgts: Vec<Executor>,
    /// Ready executors, where a crossing has a price those of the own zone (`near` of them) first, then by
    /// share, the largest first. Invocations that wait, the most pressing first.
    pub(crate) rank: Vec<Tgt>,
    pub(crate) near: usize,
    /// What is drawn from in a large fleet.
    pub(crate) index: Index,
    pub(crate) waiting: Vec<InvId>,
    pub(crate) invs: BTreeMap<InvId, Inv>,
    pub(crate) classes: Vec<Class>,
    pub(crate) tenants: Vec<Class>,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) peer_heard: Vec<f64>,
    pub(crate) phi: f64,
    pub(crate) util: f64,
    /// What executors are held against when they are doubted, at most one.
    pub(crate) level: f64,
    pub(crate) fog: f64,
    /// How often an error is the invocation's own fault.
    pub(crate) theirs: f64,
    /// Where nothing is reported: the part of invocations that may leave the own zone at once, as starts come late there.
    pub(crate) spill: f64,
    pub(crate) misled: f64,
    /// How often a forward that was told of room had to wait.
    pub(crate) empty: f64,
    /// How forwards over open and over new connections fared.
    pub(crate) ways: [Record; 2],
    /// How often what should have started, and had not, never did.
    pub(crate) vain: f64,
    /// What an invocation must press to be taken, in parts of the usual press.
    pub(crate) price: f64,
    pub(crate) usual: f64,
    pub(crate) raised: f64,
    /// Mean billed value of an invocation.
    pub(crate) value: f64,
    /// Mean own forwards held at an executor of the first `near` in rank, and of the others, at the last solve.
    pub(crate) held: [f64; 2],
    pub(crate) solved: f64,
    /// When it last had a turn, and the one before.
    pub(crate) turns: [f64; 2],
    pub(crate) looking: bool,
    /// When invocations were taken, and forwards beyond the first sent, within the budget's span.
    pub(crate) taken: Times,
    pub(crate) further: Times,
    /// Invocations whose last forward had every reason to start, and had not when last looked at.
    pub(crate) unsure: BTreeSet<InvId>,
    /// By when all must be answered, once the node is to stop.
    pub(crate) leaving: Option<f64>,
    /// When discovery is called for the list, while it is not followed.
    pub(crate) list_calls: ListCalls,
    /// How current the list is, and whether requests may be sent by it.
    pub(crate) list_state: ListState,
    /// Requests given up, unsent or not, at a time when the list did not permit to send.
    pub(crate) refused_without_list: u64,
}

impl Node {
    /// For an executor and a kind that may be new.
    pub(crate) fn make_room(&mut self, entry: &Entry) {
        self.tgts.extend((self.tgts.len()..=entry.tgt).map(Executor::unheard));
        self.kinds.resize(self.kinds.len().max(entry.kind + 1), Kind::default());
        self.kinds[entry.kind].size = self.kinds[entry.kind].size.max(entry.size);
    }

    /// The entries, before them as gone what a whole list leaves out.
    pub(crate) fn with_absent(&self, whole: bool, entries: Vec<Entry>) -> Vec<Entry> {
        let absent = |t: &Executor| Entry { standing: Standing::Gone, ..t.entry.clone() };
        let named: BTreeSet<Tgt> = entries.iter().map(|entry| entry.tgt).collect();
        let left_out = self.tgts.iter().filter(|t| whole && !named.contains(&t.entry.tgt));
        let mut all: Vec<Entry> = left_out.map(absent).collect();
        all.extend(entries);
        all
    }

    /// What each ready executor's share is now, by its mark; for those who watch, no decision reads it.
    pub fn shares(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        let sum: f64 = self.rank.iter().map(|&tgt| self.tgts[tgt].beta).sum();
        let share = move |&tgt: &Tgt| (self.tgts[tgt].entry.mark, self.tgts[tgt].beta / sum.max(1e-12));
        self.rank.iter().map(share)
    }
}

impl Node {
    /// So few that a start looks at all of them.
    pub(crate) fn few(&self) -> bool {
        self.rank.len() <= LOOKED
    }

    /// Ready executors that an invocation is bound to by what may have run, by kind, or to the own zone if `near`.
    pub(crate) fn part(&self, inv: &Inv, near: bool) -> Option<&Sampler> {
        let op = &self.set.operations[inv.op];
        let group = match (inv.anchor(), op.effect) {
            (Some(first), Effect::Deduplicated { group, .. }) => {
                let entry = &self.tgts[first.tgt].entry;
                match group {
                    Group::All => None,
                    Group::Zone => Some(Part::Zone(entry.zone)),
                    Group::Cell => Some(Part::Cell(entry.cell)),
                }
            }
            _ => None,
        };
        let own = near.then_some(Part::Zone(self.set.zone));
        self.index.parts.get(&group.or(op.kind.map(Part::Kind)).or(own).unwrap_or(Part::All))
    }

    /// Executors that it can go to at all, and others: a part that it is bound to, or all.
    pub(crate) fn bound_to<'a>(&'a self, inv: &Inv) -> impl Iterator<Item = &'a Executor> {
        let part = self.part(inv, false);
        let all = if part.is_none() { &self.tgts[..] } else { &[] };
        part.into_iter().flat_map(|part| &part.members).map(|&i| &self.tgts[i]).chain(all)
    }

    /// Connections to all executors; of a large fleet, when last solved.
    pub(crate) fn opened(&self) -> usize {
        if self.few() {
            self.tgts.iter().map(|t| t.open).sum()
        } else {
            self.index.opened
        }
    }

    /// A key's order of executors, the same at every node (weighted rendezvous hashing): the whole, or its beginning.
    pub(crate) fn lots(&mut self, key: u64) -> Vec<Tgt> {
        if !self.few() {
            let (rank, tgts) = (&self.rank, &self.tgts);
            let mark = |i: Tgt| mix(u64::from(tgts[i].entry.mark));
            let lots = || Lots::new(rank.clone(), mark, |i| tgts[i].share);
            return self.index.lots.get_or_insert_with(lots).order(key);
        }
        let lot = |i: &Tgt| -self.tgts[*i].share / unit(key ^ u64::from(self.tgts[*i].entry.mark)).ln();
        let mut order = self.rank.clone();
        order.sort_by_cached_key(|i| std::cmp::Reverse(lot(i).to_bits()));
        order
    }
}
