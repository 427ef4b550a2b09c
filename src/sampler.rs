//! Weighted sampling of executors, with an index that bounds the number of executors examined per invocation
//! however large the fleet is. This module makes no decisions: `policy` says which executors may be drawn.
//! docs/design/size.md compares the alternatives.
use std::collections::BTreeMap;

use crate::random::{mix, sums, unit, Rng};
use crate::types::*;

/// Fleets up to this size are scanned whole; of a larger one, at most this many executors are scanned at a
/// time.
pub(crate) const MAX_SCANNED: usize = 320;
/// Draws by share until one is open. With a quarter of the shares open, all of them fail once in ten thousand
/// times.
const MAX_TRIES: usize = 32;
/// The number of preferred executors considered per list.
const MAX_LISTED: usize = 64;
/// The number of executors computed of a key's order: more than are tried within a wait.
const KEY_ORDER_LEN: usize = 12;

/// A subset of the executors that an invocation is restricted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subset {
    All,
    Zone(usize),
    Cell(i64),
    Kind(usize),
}

/// Executors and the cumulative sums of their shares.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sampler {
    pub(crate) members: Vec<ExecutorIndex>,
    cumulative_shares: Vec<f64>,
}

impl Sampler {
    pub fn new(members: Vec<ExecutorIndex>, share: impl Fn(ExecutorIndex) -> f64) -> Self {
        Sampler { cumulative_shares: sums(members.iter().map(|&i| share(i))), members }
    }

    /// Draws `times` executors by share among the open ones (rejection sampling). If all tries fail, draws
    /// from the open ones in a window of bounded size that starts at `from`; the caller advances it, so that
    /// all are reached in turn.
    pub fn draw(
        &self,
        times: usize,
        rng: &mut Rng,
        from: usize,
        open: &impl Fn(&ExecutorIndex) -> bool,
    ) -> Vec<ExecutorIndex> {
        let mut pick = |sampler: &Sampler| sampler.members.get(rng.pick(&sampler.cumulative_shares)).copied();
        let mut one = || (0..MAX_TRIES).filter_map(|_| pick(self)).find(open);
        let drawn: Vec<ExecutorIndex> =
            (0..if self.members.is_empty() { 0 } else { times }).filter_map(|_| one()).collect();
        if !drawn.is_empty() {
            return drawn;
        }
        let count = self.members.len();
        let window = (0..count.min(MAX_SCANNED)).map(|i| (from + i) % count);
        let found: Vec<usize> = window.filter(|&at| open(&self.members[at])).collect();
        let share = |at: usize| {
            self.cumulative_shares[at] - if at == 0 { 0.0 } else { self.cumulative_shares[at - 1] }
        };
        let found = Sampler {
            cumulative_shares: sums(found.iter().map(|&at| share(at))),
            members: found.into_iter().map(|at| self.members[at]).collect(),
        };
        (0..times).filter_map(|_| pick(&found)).collect()
    }
}

/// A set of executors that can be sampled.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members {
    members: Vec<ExecutorIndex>,
    present: Vec<bool>,
}

impl Members {
    pub fn insert(&mut self, executor_index: ExecutorIndex) {
        self.present.resize(self.present.len().max(executor_index + 1), false);
        if !std::mem::replace(&mut self.present[executor_index], true) {
            self.members.push(executor_index);
        }
    }

    /// Appends a bounded number of them: all, or a random sample.
    fn sample_into(&self, rng: &mut Rng, out: &mut Vec<ExecutorIndex>) {
        let count = self.members.len();
        if count <= MAX_LISTED {
            return out.extend(&self.members);
        }
        out.extend((0..MAX_LISTED).map(|_| self.members[(rng.draw() * count as f64) as usize]));
    }
}

/// Hierarchical weighted rendezvous hashing: maps keys to executors, the same at every node, in time
/// logarithmic in the fleet size. Executors are sorted by a hash of their stable ids; a run with equal leading
/// digits is a branch, whose weight is the sum of its shares. From the root down, the branch with the highest
/// score is taken, and at the end the executor with the highest score. So each executor is drawn by its
/// share, and a change moves only the keys of its own branch.
#[derive(Clone, Debug, Default)]
pub(crate) struct RendezvousTree {
    stable_ids: Vec<u64>,
    executors: Sampler,
}

impl RendezvousTree {
    pub(crate) fn new(
        mut members: Vec<ExecutorIndex>,
        stable_id: impl Fn(ExecutorIndex) -> u64,
        share: impl Fn(ExecutorIndex) -> f64,
    ) -> Self {
        members.sort_by_cached_key(|&i| (stable_id(i), i));
        RendezvousTree {
            stable_ids: members.iter().map(|&i| stable_id(i)).collect(),
            executors: Sampler::new(members, share),
        }
    }

    fn weight(&self, from: usize, to: usize) -> f64 {
        let sum = |at: usize| if at == 0 { 0.0 } else { self.executors.cumulative_shares[at - 1] };
        sum(to) - sum(from)
    }

    /// The executor that the key maps to; `None` if there are none.
    fn draw(&self, key: u64) -> Option<ExecutorIndex> {
        const LEAF_SIZE: usize = 16; // As many as a branch has children.
        const DIGIT_BITS: u32 = 4; // Bits per level.
        let score = |name: u64, weight: f64| -weight / unit(key ^ mix(name)).ln();
        let (mut from, mut to, mut shift) = (0, self.stable_ids.len(), u64::BITS);
        while to - from > LEAF_SIZE && shift > 0 {
            shift -= DIGIT_BITS;
            let (mut best, mut at) = ((f64::NEG_INFINITY, from, to), from);
            while at < to {
                let branch = self.stable_ids[at] >> shift;
                let end =
                    at + self.stable_ids[at..to].partition_point(|stable_id| stable_id >> shift == branch);
                let name = branch ^ u64::from(shift).rotate_right(8);
                let found = (score(name, self.weight(at, end)), at, end);
                best = if found.0 > best.0 { found } else { best };
                at = end;
            }
            (from, to) = (best.1, best.2);
        }
        let leaf_score = |i: &usize| score(!self.stable_ids[*i], self.weight(*i, i + 1));
        let best = (from..to).max_by(|a, b| leaf_score(a).total_cmp(&leaf_score(b)));
        best.map(|i| self.executors.members[i])
    }

    /// The first executors of the key's order, each drawn by share among those not drawn before.
    pub fn order(&self, key: u64) -> Vec<ExecutorIndex> {
        let mut order: Vec<ExecutorIndex> = Vec::new();
        for nth in 0..2 * KEY_ORDER_LEN as u64 {
            let drawn = self.draw(mix(key.wrapping_add(nth.wrapping_mul(0x9e37_79b9_7f4a_7c15))));
            order.extend(
                drawn.filter(|executor_index| order.len() < KEY_ORDER_LEN && !order.contains(executor_index)),
            );
        }
        order
    }
}

/// The sampling index of a large fleet: rebuilt with each solve and updated in between.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    pub(crate) subsets: BTreeMap<Subset, Sampler>,
    /// Built for the first key after a solve.
    pub(crate) rendezvous: Option<RendezvousTree>,
    cold: Members,
    started_at_once: Members,
    /// Executors with an idle connection.
    idle: Members,
    /// Connections to all executors, as of the last solve.
    pub(crate) connections: usize,
    /// Where the next scan window starts.
    pub window_start: usize,
}

impl Index {
    /// Builds the index of the ready executors; empty for a small fleet.
    pub fn new(now: f64, set: &Settings, tgts: &[Executor], rank: &[ExecutorIndex], from: usize) -> Self {
        let mut index = Index { window_start: from, ..Index::default() };
        if rank.len() <= MAX_SCANNED {
            return index;
        }
        let group = |op: &Operation| match op.effect {
            Effect::Deduplicated { group, .. } => Some(group),
            _ => None,
        };
        let restricts = |to: Group| set.operations.iter().any(|op| group(op) == Some(to));
        let (zones, cells) = (restricts(Group::Zone) || set.cross_zone_price > 0.0, restricts(Group::Cell));
        let kinds = set.operations.iter().any(|op| op.kind.is_some());
        let mut parts: BTreeMap<Subset, Vec<ExecutorIndex>> = BTreeMap::from([(Subset::All, rank.to_vec())]);
        for &i in rank {
            let (t, entry) = (&tgts[i], &tgts[i].entry);
            let of = [
                zones.then_some(Subset::Zone(entry.zone)),
                cells.then_some(Subset::Cell(entry.cell)),
                kinds.then_some(Subset::Kind(entry.kind)),
            ];
            of.into_iter().flatten().for_each(|part| parts.entry(part).or_default().push(i));
            if t.warm_fraction(now, &set.cold) < 1.0 {
                index.cold.insert(i);
            }
            index.on_connection_freed(t);
            index.connections += t.connections;
        }
        let sampler = |(part, members)| (part, Sampler::new(members, |i| tgts[i].share));
        index.subsets = parts.into_iter().map(sampler).collect();
        index
    }

    /// Updates the index after a forward has ended at the executor.
    pub fn on_connection_freed(&mut self, t: &Executor) {
        if t.started_at_once {
            self.started_at_once.insert(t.entry.executor_index);
        }
        if t.has_idle_connection() {
            self.idle.insert(t.entry.executor_index);
        }
    }

    /// Executors to prefer: without load reports, those that may be cold or started the last forward at once;
    /// with `reuse_only`, those that may have an idle connection.
    pub fn preferred_executors(
        &self,
        rng: &mut Rng,
        no_reports: bool,
        reuse_only: bool,
    ) -> Vec<ExecutorIndex> {
        let mut found = Vec::new();
        let lists = [(no_reports, &self.cold), (no_reports, &self.started_at_once), (reuse_only, &self.idle)];
        lists.iter().filter(|list| list.0).for_each(|list| list.1.sample_into(rng, &mut found));
        found.sort_unstable();
        found.dedup();
        found
    }
}

#[cfg(test)]
pub(crate) mod tests;
