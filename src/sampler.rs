//! Draws from many executors by their shares, and records of who may be of use, kept so that a start looks at a bounded
//! number of them and never at all. No decision: `policy` tells who may be drawn. docs/design/size.md weighs the ways.
use std::collections::BTreeMap;

use crate::chance::{mix, sums, unit, Chance};
use crate::types::*;

/// Fleets up to this size are looked through whole; of a larger one, no more are looked through at a time.
pub(crate) const MAX_SCANNED: usize = 320;
/// Draws by share until one is open: with a quarter of the shares open, all fail once in ten thousand starts.
const MAX_TRIES: usize = 32;
/// Of those that are of use, so many are looked at.
const MAX_LISTED: usize = 64;
/// The first of a key's order that are worked out: more than a wait opens.
const KEY_ORDER_LEN: usize = 12;

/// The executors that an invocation is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subset {
    All,
    Zone(usize),
    Cell(i64),
    Kind(usize),
}

/// Members and the running sums of their shares.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sampler {
    pub(crate) members: Vec<Tgt>,
    cumulative_shares: Vec<f64>,
}

impl Sampler {
    pub fn new(members: Vec<Tgt>, share: impl Fn(Tgt) -> f64) -> Self {
        Sampler { cumulative_shares: sums(members.iter().map(|&i| share(i))), members }
    }

    /// So many draws by share among the open ones (sampling with rejection). Where a number of tries finds none, the
    /// open ones of a bounded window are drawn from, which moves on with `from`: so all are looked at in turn.
    pub fn draw(
        &self,
        times: usize,
        chance: &mut Chance,
        from: usize,
        open: &impl Fn(&Tgt) -> bool,
    ) -> Vec<Tgt> {
        let mut pick =
            |sampler: &Sampler| sampler.members.get(chance.pick(&sampler.cumulative_shares)).copied();
        let mut one = || (0..MAX_TRIES).filter_map(|_| pick(self)).find(open);
        let drawn: Vec<Tgt> =
            (0..if self.members.is_empty() { 0 } else { times }).filter_map(|_| one()).collect();
        if !drawn.is_empty() {
            return drawn;
        }
        let many = self.members.len();
        let window = (0..many.min(MAX_SCANNED)).map(|i| (from + i) % many);
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

/// Executors in no order, each once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members {
    members: Vec<Tgt>,
    present: Vec<bool>,
}

impl Members {
    pub fn insert(&mut self, tgt: Tgt) {
        self.present.resize(self.present.len().max(tgt + 1), false);
        if !std::mem::replace(&mut self.present[tgt], true) {
            self.members.push(tgt);
        }
    }

    /// A bounded number of them: all, or some at random.
    fn sample_into(&self, chance: &mut Chance, out: &mut Vec<Tgt>) {
        let many = self.members.len();
        if many <= MAX_LISTED {
            return out.extend(&self.members);
        }
        out.extend((0..MAX_LISTED).map(|_| self.members[(chance.draw() * many as f64) as usize]));
    }
}

/// Lots of keys, the same at every node, in steps by the fleet's logarithm: executors in the order of a hash of their
/// marks, a run of equal leading digits being a branch with the sum of its shares. From the root down the branch, and
/// at the end the executor, with the greatest lot is taken (weighted rendezvous hashing at each step), so that each
/// executor is drawn by its share and a change moves the keys of its own branch alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct RendezvousTree {
    marks: Vec<u64>,
    executors: Sampler,
}

impl RendezvousTree {
    pub(crate) fn new(mut members: Vec<Tgt>, mark: impl Fn(Tgt) -> u64, share: impl Fn(Tgt) -> f64) -> Self {
        members.sort_by_cached_key(|&i| (mark(i), i));
        RendezvousTree {
            marks: members.iter().map(|&i| mark(i)).collect(),
            executors: Sampler::new(members, share),
        }
    }

    fn weight(&self, from: usize, to: usize) -> f64 {
        let sum = |at: usize| if at == 0 { 0.0 } else { self.executors.cumulative_shares[at - 1] };
        sum(to) - sum(from)
    }

    /// The executor that the key draws; `None` of none.
    fn draw(&self, key: u64) -> Option<Tgt> {
        const LEAF_SIZE: usize = 16; // As many as a branch has branches.
        const DIGIT_BITS: u32 = 4; // Bits.
        let lot = |name: u64, weight: f64| -weight / unit(key ^ mix(name)).ln();
        let (mut from, mut to, mut shift) = (0, self.marks.len(), u64::BITS);
        while to - from > LEAF_SIZE && shift > 0 {
            shift -= DIGIT_BITS;
            let (mut best, mut at) = ((f64::NEG_INFINITY, from, to), from);
            while at < to {
                let branch = self.marks[at] >> shift;
                let end = at + self.marks[at..to].partition_point(|mark| mark >> shift == branch);
                let name = branch ^ u64::from(shift).rotate_right(8);
                let found = (lot(name, self.weight(at, end)), at, end);
                best = if found.0 > best.0 { found } else { best };
                at = end;
            }
            (from, to) = (best.1, best.2);
        }
        let greatest = |i: &usize| lot(!self.marks[*i], self.weight(*i, i + 1));
        let best = (from..to).max_by(|a, b| greatest(a).total_cmp(&greatest(b)));
        best.map(|i| self.executors.members[i])
    }

    /// The first of the key's order: each by share among those that were not drawn before.
    pub fn order(&self, key: u64) -> Vec<Tgt> {
        let mut order: Vec<Tgt> = Vec::new();
        for nth in 0..2 * KEY_ORDER_LEN as u64 {
            let drawn = self.draw(mix(key.wrapping_add(nth.wrapping_mul(0x9e37_79b9_7f4a_7c15))));
            order.extend(drawn.filter(|tgt| order.len() < KEY_ORDER_LEN && !order.contains(tgt)));
        }
        order
    }
}

/// What is kept of a large fleet: made anew with each solve, and between two solves as things change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    pub(crate) subsets: BTreeMap<Subset, Sampler>,
    /// Made with the first key after a solve.
    pub(crate) rendezvous: Option<RendezvousTree>,
    cold: Members,
    started_at_once: Members,
    idle: Members,
    /// Connections to all, at the last solve.
    pub(crate) connections: usize,
    /// Where the next window begins.
    pub window_start: usize,
}

impl Index {
    /// Of ready executors; nothing is kept of a small fleet.
    pub fn new(now: f64, set: &Settings, tgts: &[Executor], rank: &[Tgt], from: usize) -> Self {
        let mut index = Index { window_start: from, ..Index::default() };
        if rank.len() <= MAX_SCANNED {
            return index;
        }
        let group = |op: &Operation| match op.effect {
            Effect::Deduplicated { group, .. } => Some(group),
            _ => None,
        };
        let bound = |to: Group| set.operations.iter().any(|op| group(op) == Some(to));
        let (zones, cells) = (bound(Group::Zone) || set.cross_zone_price > 0.0, bound(Group::Cell));
        let kinds = set.operations.iter().any(|op| op.kind.is_some());
        let mut parts: BTreeMap<Subset, Vec<Tgt>> = BTreeMap::from([(Subset::All, rank.to_vec())]);
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

    /// Something has ended there: it began at once, or has a connection that is not in use.
    pub fn on_connection_freed(&mut self, t: &Executor) {
        if t.started_at_once {
            self.started_at_once.insert(t.entry.tgt);
        }
        if t.has_idle_connection() {
            self.idle.insert(t.entry.tgt);
        }
    }

    /// Some that may be cold, or have begun at once, where the fleet is `blind`; with an idle connection if `idle`.
    pub fn preferred_executors(&self, chance: &mut Chance, blind: bool, idle: bool) -> Vec<Tgt> {
        let mut some = Vec::new();
        let lists = [(blind, &self.cold), (blind, &self.started_at_once), (idle, &self.idle)];
        lists.iter().filter(|list| list.0).for_each(|list| list.1.sample_into(chance, &mut some));
        some.sort_unstable();
        some.dedup();
        some
    }
}

#[cfg(test)]
pub(crate) mod tests;
