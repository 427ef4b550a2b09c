//! Links between nodes: what becomes of a datagram on its way. The same for both hosts: in virtual time what arrives is
//! queued, on loopback relays hold it back as long.
use std::collections::{BTreeMap, BTreeSet};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{Direction, Fault, Place, Scenario, What};
use crate::world::NodeId;

/// What a slow link holds back at most, in seconds of its rate: more is lost.
const HELD: f64 = 1.0;
/// What comes out of order comes so much later at most: several usual ways.
const REORDERED: f64 = 0.05;

struct Struck {
    fault: Fault,
    /// Whose links with the others; all links without it.
    set: Option<BTreeSet<NodeId>>,
}

impl Struck {
    fn strikes(&self, now: f64, from: NodeId, to: NodeId) -> bool {
        let fault = &self.fault;
        if !(fault.at.0..fault.until()).contains(&now) {
            return false;
        }
        let flaps = fault.flaps.0;
        if flaps > 0.0 && ((now - fault.at.0) / flaps) as u64 % 2 == 1 {
            return false;
        }
        let Some(set) = &self.set else { return true };
        match (set.contains(&from), set.contains(&to)) {
            (true, false) => fault.way != Direction::In,
            (false, true) => fault.way != Direction::Out,
            _ => false,
        }
    }
}

pub struct Links {
    latency: f64,
    struck: Vec<Struck>,
    /// Single ways that are cut, and since when.
    apart: BTreeMap<(NodeId, NodeId), f64>,
    /// When a slow link is free again.
    free: BTreeMap<(NodeId, NodeId), f64>,
    draw: Pcg64Mcg,
}

impl Links {
    /// `zones`: of each node.
    pub fn new(scenario: &Scenario, seed: u64, zones: &[String]) -> Self {
        let mut draw = Pcg64Mcg::seed_from_u64(seed ^ 0x11_4c5);
        let faults = scenario.faults.iter().filter(|fault| fault.what.place() == Place::Links);
        let struck = faults.map(|fault| Struck { set: set(fault, zones, &mut draw), fault: fault.clone() });
        let struck = struck.collect();
        let latency = scenario.fleet.as_ref().map_or(0.0, |fleet| fleet.latency.0);
        Links { latency, struck, apart: BTreeMap::new(), free: BTreeMap::new(), draw }
    }

    /// Moves all faults: the time until the nodes are ready is not the scenario's.
    pub fn delay(&mut self, by: f64) {
        self.struck.iter_mut().for_each(|struck| struck.fault.at.0 += by);
    }

    /// A fault that a test begins now, and that lasts until it is taken off.
    pub fn strike(&mut self, now: f64, what: What, by: f64, set: &[NodeId], way: Direction) {
        let by = Some(crate::scenario::Amount(by));
        let fault = Fault { by, way, ..Fault::new(what, now, 0.0) };
        let set = (!set.is_empty()).then(|| set.iter().copied().collect());
        self.struck.push(Struck { fault, set });
    }

    /// What one sends the other is lost from now on, and nothing else.
    pub fn between(&mut self, now: f64, from: NodeId, to: NodeId) {
        self.apart.insert((from, to), now);
    }

    pub fn heal(&mut self) {
        self.struck.clear();
        self.apart.clear();
    }

    pub fn is_cut(&self, now: f64, from: NodeId, to: NodeId) -> bool {
        let cuts = |struck: &Struck| struck.fault.what == What::LinkCut && struck.strikes(now, from, to);
        self.struck.iter().any(cuts) || self.apart.get(&(from, to)).is_some_and(|since| now >= *since)
    }

    /// When and how a datagram arrives: after so many seconds each.
    pub fn pass(&mut self, now: f64, from: NodeId, to: NodeId, bytes: Vec<u8>) -> Vec<(f64, Vec<u8>)> {
        let strikes: Vec<(What, f64)> = self
            .struck
            .iter()
            .filter(|struck| struck.strikes(now, from, to))
            .map(|struck| (struck.fault.what, struck.fault.strength()))
            .collect();
        if self.is_cut(now, from, to) {
            return Vec::new();
        }
        let mut copies = vec![(self.latency * (1.0 + self.draw.random::<f64>()), bytes)];
        for (what, by) in strikes {
            match what {
                What::LinkCut => {}
                What::LinkLoss => copies.retain(|_| !self.draw.random_bool(by)),
                What::LinkDelay => {
                    copies.iter_mut().for_each(|copy| copy.0 += by * self.draw.random::<f64>())
                }
                What::LinkReorders if self.draw.random_bool(by) => {
                    copies.iter_mut().for_each(|copy| copy.0 += REORDERED * self.draw.random::<f64>());
                }
                What::LinkDoubles if self.draw.random_bool(by) => {
                    let again = copies
                        .first()
                        .map(|(after, bytes)| (after + REORDERED * self.draw.random::<f64>(), bytes.clone()));
                    copies.extend(again);
                }
                What::LinkCorrupts if self.draw.random_bool(by) => {
                    for (_, bytes) in &mut copies {
                        damage(bytes, &mut self.draw);
                    }
                }
                What::LinkSlow => self.queue(now, (from, to), by, &mut copies),
                _ => {}
            }
        }
        copies
    }

    fn queue(&mut self, now: f64, link: (NodeId, NodeId), rate: f64, copies: &mut Vec<(f64, Vec<u8>)>) {
        let free = self.free.entry(link).or_insert(now);
        copies.retain_mut(|(after, bytes)| {
            let begins = free.max(now);
            if begins - now > HELD {
                return false;
            }
            *free = begins + bytes.len() as f64 / rate;
            *after += *free - now;
            true
        });
    }
}

/// Whom a fault of links names.
fn set(fault: &Fault, zones: &[String], draw: &mut Pcg64Mcg) -> Option<BTreeSet<NodeId>> {
    if let Some(nodes) = &fault.nodes {
        return Some(nodes.iter().copied().collect());
    }
    let fits = |at: &usize| fault.zone.as_ref().is_none_or(|zone| *zone == zones[*at]);
    let mut fit: Vec<NodeId> = (0..zones.len()).filter(fits).collect();
    if let Some(count) = fault.count {
        fit.shuffle(draw);
        fit.truncate(count.0);
    }
    (fault.count.is_some() || fault.zone.is_some()).then(|| fit.into_iter().collect())
}

/// Another byte somewhere, or an end that is cut off.
fn damage(bytes: &mut Vec<u8>, draw: &mut Pcg64Mcg) {
    if bytes.is_empty() {
        return;
    }
    let at = draw.random_range(0..bytes.len());
    if draw.random_bool(0.2) {
        bytes.truncate(at);
    } else {
        bytes[at] ^= draw.random_range(1..=255_u8);
    }
}

#[cfg(test)]
mod tests {
    use test_case::test_case;

    use super::*;

    fn links(faults: Vec<Fault>) -> Links {
        let mut scenario = crate::search::drawn(1);
        (scenario.fleet, scenario.faults) = (Some(Default::default()), faults);
        Links::new(&scenario, 1, &vec!["a".into(); 4])
    }

    fn cut(way: Direction, flaps: f64) -> Fault {
        let flaps = crate::scenario::Span(flaps);
        Fault { nodes: Some(vec![0, 1]), way, flaps, ..Fault::new(What::LinkCut, 1.0, 10.0) }
    }

    #[test_case(Direction::Both, 2.0, 0, 2, 0; "both ways")]
    #[test_case(Direction::Both, 2.0, 0, 1, 1; "not among themselves")]
    #[test_case(Direction::Out, 2.0, 0, 2, 0; "one way, there")]
    #[test_case(Direction::Out, 2.0, 2, 0, 1; "one way, back")]
    #[test_case(Direction::Both, 0.5, 0, 2, 1; "before")]
    #[test_case(Direction::Both, 11.0, 0, 2, 1; "after")]
    fn cuts(way: Direction, now: f64, from: NodeId, to: NodeId, arrive: usize) {
        assert_eq!(links(vec![cut(way, 0.0)]).pass(now, from, to, vec![1]).len(), arrive);
    }

    #[test]
    fn a_cut_that_flaps_comes_and_goes() {
        let mut links = links(vec![cut(Direction::Both, 1.0)]);
        let arrive = |links: &mut Links, now| links.pass(now, 0, 2, vec![1]).len();
        assert_eq!([1.5, 2.5, 3.5].map(|now| arrive(&mut links, now)), [0, 1, 0]);
    }

    #[test_case(What::LinkLoss, 0.3, (0.65, 0.75); "lost")]
    #[test_case(What::LinkDoubles, 0.3, (1.25, 1.35); "doubled")]
    #[test_case(What::LinkSlow, 1000.0, (0.05, 0.11); "too slow for all")]
    fn parts_that_arrive(what: What, by: f64, (least, most): (f64, f64)) {
        let by = Some(crate::scenario::Amount(by));
        let mut links = links(vec![Fault { by, ..Fault::new(what, 0.0, 0.0) }]);
        // A thousand of ten bytes within a tenth of a second.
        let arrive = (0..1000).map(|at| links.pass(f64::from(at) * 1e-4, 0, 2, vec![0; 10]).len());
        let part = arrive.sum::<usize>() as f64 / 1000.0;
        assert!((least..=most).contains(&part), "{part}");
    }
}
