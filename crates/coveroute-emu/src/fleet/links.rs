//! Links between nodes and their faults: decides for each datagram whether it is lost, delayed, duplicated or damaged.
//! Used in virtual time, where arrivals are queued, and on loopback, where relays delay them.
use std::collections::{BTreeMap, BTreeSet};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{Direction, Fault, FaultKind, FaultScope, Scenario};
use crate::world::NodeId;

/// Longest queueing delay on a slow link, in seconds; a datagram that would wait longer is lost.
const MAX_QUEUE_DELAY: f64 = 1.0;
/// Greatest extra delay of a reordered datagram, in seconds: several times the usual latency.
const MAX_REORDER_DELAY: f64 = 0.05;

struct LinkFault {
    fault: Fault,
    /// The nodes whose links with the other nodes are affected; all links if none.
    nodes: Option<BTreeSet<NodeId>>,
}

impl LinkFault {
    fn applies(&self, now: f64, from: NodeId, to: NodeId) -> bool {
        let fault = &self.fault;
        if !(fault.at.0..fault.until()).contains(&now) {
            return false;
        }
        let flaps = fault.flaps.0;
        if flaps > 0.0 && ((now - fault.at.0) / flaps) as u64 % 2 == 1 {
            return false;
        }
        let Some(nodes) = &self.nodes else { return true };
        match (nodes.contains(&from), nodes.contains(&to)) {
            (true, false) => fault.way != Direction::In,
            (false, true) => fault.way != Direction::Out,
            _ => false,
        }
    }
}

pub struct Links {
    latency: f64,
    faults: Vec<LinkFault>,
    /// Single directions that are cut, with the time since when.
    one_way_cuts: BTreeMap<(NodeId, NodeId), f64>,
    /// When a slow link has sent all that is queued on it.
    busy_until: BTreeMap<(NodeId, NodeId), f64>,
    rng: Pcg64Mcg,
}

impl Links {
    /// `zones` holds the zone of each node.
    pub fn new(scenario: &Scenario, seed: u64, zones: &[String]) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x11_4c5);
        let faults = scenario.faults.iter().filter(|fault| fault.what.scope() == FaultScope::Links);
        let faults = faults
            .map(|fault| LinkFault { nodes: affected_nodes(fault, zones, &mut rng), fault: fault.clone() });
        let faults = faults.collect();
        let latency = scenario.fleet.as_ref().map_or(0.0, |fleet| fleet.latency.0);
        Links { latency, faults, one_way_cuts: BTreeMap::new(), busy_until: BTreeMap::new(), rng }
    }

    /// Postpones all faults by `by` seconds: the scenario's time starts when the nodes are ready.
    pub fn postpone_faults(&mut self, by: f64) {
        self.faults.iter_mut().for_each(|link_fault| link_fault.fault.at.0 += by);
    }

    /// Starts a fault now; it lasts until `heal`. An empty `nodes` affects all links.
    pub fn inject(&mut self, now: f64, kind: FaultKind, by: f64, nodes: &[NodeId], way: Direction) {
        let by = Some(crate::scenario::Amount(by));
        let fault = Fault { by, way, ..Fault::new(kind, now, 0.0) };
        let nodes = (!nodes.is_empty()).then(|| nodes.iter().copied().collect());
        self.faults.push(LinkFault { fault, nodes });
    }

    /// Cuts the link from `from` to `to` from now on, in this direction only.
    pub fn cut_one_way(&mut self, now: f64, from: NodeId, to: NodeId) {
        self.one_way_cuts.insert((from, to), now);
    }

    /// Removes all faults.
    pub fn heal(&mut self) {
        self.faults.clear();
        self.one_way_cuts.clear();
    }

    pub fn is_cut(&self, now: f64, from: NodeId, to: NodeId) -> bool {
        let cuts = |fault: &LinkFault| fault.fault.what == FaultKind::LinkCut && fault.applies(now, from, to);
        self.faults.iter().any(cuts) || self.one_way_cuts.get(&(from, to)).is_some_and(|since| now >= *since)
    }

    /// The copies of a datagram that arrive, each with its delay in seconds; none if it is lost.
    pub fn transmit(&mut self, now: f64, from: NodeId, to: NodeId, bytes: Vec<u8>) -> Vec<(f64, Vec<u8>)> {
        let active: Vec<(FaultKind, f64)> = self
            .faults
            .iter()
            .filter(|link_fault| link_fault.applies(now, from, to))
            .map(|link_fault| (link_fault.fault.what, link_fault.fault.strength()))
            .collect();
        if self.is_cut(now, from, to) {
            return Vec::new();
        }
        let mut copies = vec![(self.latency * (1.0 + self.rng.random::<f64>()), bytes)];
        for (kind, by) in active {
            match kind {
                FaultKind::LinkCut => {}
                FaultKind::LinkLoss => copies.retain(|_| !self.rng.random_bool(by)),
                FaultKind::LinkDelay => {
                    copies.iter_mut().for_each(|copy| copy.0 += by * self.rng.random::<f64>())
                }
                FaultKind::LinkReorders if self.rng.random_bool(by) => {
                    copies.iter_mut().for_each(|copy| copy.0 += MAX_REORDER_DELAY * self.rng.random::<f64>());
                }
                FaultKind::LinkDoubles if self.rng.random_bool(by) => {
                    let again = copies.first().map(|(after, bytes)| {
                        (after + MAX_REORDER_DELAY * self.rng.random::<f64>(), bytes.clone())
                    });
                    copies.extend(again);
                }
                FaultKind::LinkCorrupts if self.rng.random_bool(by) => {
                    for (_, bytes) in &mut copies {
                        corrupt(bytes, &mut self.rng);
                    }
                }
                FaultKind::LinkSlow => self.enqueue(now, (from, to), by, &mut copies),
                _ => {}
            }
        }
        copies
    }

    /// Queues the copies on a link that carries `rate` bytes per second.
    fn enqueue(&mut self, now: f64, link: (NodeId, NodeId), rate: f64, copies: &mut Vec<(f64, Vec<u8>)>) {
        let free = self.busy_until.entry(link).or_insert(now);
        copies.retain_mut(|(after, bytes)| {
            let begins = free.max(now);
            if begins - now > MAX_QUEUE_DELAY {
                return false;
            }
            *free = begins + bytes.len() as f64 / rate;
            *after += *free - now;
            true
        });
    }
}

/// The nodes that a link fault names; none if it affects all links.
fn affected_nodes(fault: &Fault, zones: &[String], rng: &mut Pcg64Mcg) -> Option<BTreeSet<NodeId>> {
    if let Some(nodes) = &fault.nodes {
        return Some(nodes.iter().copied().collect());
    }
    let eligible = |at: &usize| fault.zone.as_ref().is_none_or(|zone| *zone == zones[*at]);
    let mut candidates: Vec<NodeId> = (0..zones.len()).filter(eligible).collect();
    if let Some(count) = fault.count {
        candidates.shuffle(rng);
        candidates.truncate(count.0);
    }
    (fault.count.is_some() || fault.zone.is_some()).then(|| candidates.into_iter().collect())
}

/// Changes one byte of the datagram or cuts off its end.
fn corrupt(bytes: &mut Vec<u8>, rng: &mut Pcg64Mcg) {
    if bytes.is_empty() {
        return;
    }
    let at = rng.random_range(0..bytes.len());
    if rng.random_bool(0.2) {
        bytes.truncate(at);
    } else {
        bytes[at] ^= rng.random_range(1..=255_u8);
    }
}

#[cfg(test)]
mod tests {
    use test_case::test_case;

    use super::*;

    fn links(faults: Vec<Fault>) -> Links {
        let mut scenario = crate::search::random_scenario(1);
        (scenario.fleet, scenario.faults) = (Some(Default::default()), faults);
        Links::new(&scenario, 1, &vec!["a".into(); 4])
    }

    fn cut(way: Direction, flaps: f64) -> Fault {
        let flaps = crate::scenario::Span(flaps);
        Fault { nodes: Some(vec![0, 1]), way, flaps, ..Fault::new(FaultKind::LinkCut, 1.0, 10.0) }
    }

    #[test_case(Direction::Both, 2.0, 0, 2, 0; "both ways")]
    #[test_case(Direction::Both, 2.0, 0, 1, 1; "not within the set")]
    #[test_case(Direction::Out, 2.0, 0, 2, 0; "one way, outgoing")]
    #[test_case(Direction::Out, 2.0, 2, 0, 1; "one way, incoming")]
    #[test_case(Direction::Both, 0.5, 0, 2, 1; "before the fault")]
    #[test_case(Direction::Both, 11.0, 0, 2, 1; "after the fault")]
    fn cuts(way: Direction, now: f64, from: NodeId, to: NodeId, arrive: usize) {
        assert_eq!(links(vec![cut(way, 0.0)]).transmit(now, from, to, vec![1]).len(), arrive);
    }

    #[test]
    fn a_flapping_cut_alternates() {
        let mut links = links(vec![cut(Direction::Both, 1.0)]);
        let arrive = |links: &mut Links, now| links.transmit(now, 0, 2, vec![1]).len();
        assert_eq!([1.5, 2.5, 3.5].map(|now| arrive(&mut links, now)), [0, 1, 0]);
    }

    #[test_case(FaultKind::LinkLoss, 0.3, (0.65, 0.75); "lost")]
    #[test_case(FaultKind::LinkDoubles, 0.3, (1.25, 1.35); "doubled")]
    #[test_case(FaultKind::LinkSlow, 1000.0, (0.05, 0.11); "slow, with queue overflow")]
    fn fraction_that_arrives(kind: FaultKind, by: f64, (least, most): (f64, f64)) {
        let by = Some(crate::scenario::Amount(by));
        let mut links = links(vec![Fault { by, ..Fault::new(kind, 0.0, 0.0) }]);
        // 1000 datagrams of 10 bytes within 0.1 s.
        let arrive = (0..1000).map(|at| links.transmit(f64::from(at) * 1e-4, 0, 2, vec![0; 10]).len());
        let fraction = arrive.sum::<usize>() as f64 / 1000.0;
        assert!((least..=most).contains(&fraction), "{fraction}");
    }
}
