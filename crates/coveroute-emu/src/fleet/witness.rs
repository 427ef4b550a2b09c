//! The referee for the fleet: judges what nodes hold by what was really written, and when, never by their own word.
use std::collections::{BTreeMap, VecDeque};

use coveroute_fleet::member::{Id, Incarnation, Standing};
use coveroute_fleet::table::Key;
use coveroute_fleet::Fleet;
use serde::Serialize;

use crate::world::NodeId;

type Stamp = (Incarnation, u64);

/// How close told ages come to the truth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Ages {
    pub readings: u64,
    /// True age by told age, at its greatest and on the whole; over 1 the bound would be broken.
    pub nearest: f64,
    pub oldest: f64,
    /// Told age less true age, at its greatest, in seconds.
    pub slack: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Witness {
    /// When each version was written, and what.
    written: BTreeMap<(Key, Stamp), (f64, Vec<u8>)>,
    /// The latest that each reader's process has shown.
    seen: BTreeMap<(NodeId, Key), Stamp>,
    stood: BTreeMap<(NodeId, Id), Standing>,
    /// Uses of the limit in the last window, of all nodes, and the most of it that any window saw.
    used: VecDeque<(f64, f64)>,
    pub fullest: f64,
    pub ages: Ages,
    pub broken: u64,
    /// The first few, in words.
    pub breaches: Vec<String>,
}

/// Rounding to milliseconds by whoever hands a record on is upwards; what is left is that of numbers.
const ROUNDED: f64 = 1e-6;
/// Ages below say nothing of how near a bound is: a round trip is most of them.
const YOUNG: f64 = 0.5;

impl Witness {
    pub fn breach(&mut self, now: f64, node: NodeId, words: String) {
        self.broken += 1;
        if self.breaches.len() < 20 {
            self.breaches.push(format!("at {now:.3} node {node}: {words}"));
        }
    }

    /// An owner has written: what, and under which stamp, as its table shows it.
    pub fn wrote(&mut self, now: f64, node: NodeId, key: Key, stamp: Stamp, value: &[u8]) {
        let before = self.written.get(&(key, stamp)).map(|before| before.1.clone());
        match before {
            Some(before) if before != value => {
                self.breach(now, node, format!("two values under one stamp: {key:?} {stamp:?}"));
            }
            Some(_) => {}
            None => drop(self.written.insert((key, stamp), (now, value.to_vec()))),
        }
    }

    /// A node has used so much of a limit: whether all together are over it in the window that ends now.
    pub fn used(&mut self, now: f64, node: NodeId, amount: f64, most: f64, window: f64) {
        while self.used.front().is_some_and(|(at, _)| *at <= now - window) {
            self.used.pop_front();
        }
        self.used.push_back((now, amount));
        let all: f64 = self.used.iter().map(|(_, amount)| amount).sum();
        self.fullest = self.fullest.max(all / most);
        if all > most + 1e-6 {
            self.breach(now, node, format!("{all} used of {most} in {window} s"));
        }
    }

    /// A process has ended: the next one of that node begins with nothing.
    pub fn ended(&mut self, node: NodeId) {
        self.seen.retain(|(reader, _), _| *reader != node);
        self.stood.retain(|(reader, _), _| *reader != node);
    }

    /// Looks at all that a node's process holds.
    pub fn look(&mut self, now: f64, local: f64, node: NodeId, fleet: &Fleet, members: &[Id]) {
        let mut faults = Vec::new();
        for reading in fleet.readings(local) {
            let stamp = (reading.incarnation, reading.version);
            let Some((at, value)) = self.written.get(&(reading.key, stamp)).or_else(|| {
                // Written under an earlier incarnation of the same process, which has risen since.
                let mark = reading.incarnation.mark();
                let same = |((_, (of, version)), _): &(&(Key, Stamp), &(f64, Vec<u8>))| {
                    of.mark() == mark && *version == reading.version
                };
                let first = (reading.key, (Incarnation(0), 0));
                let risen = self.written.range(first..=(reading.key, stamp)).filter(same);
                risen.map(|(_, written)| written).next_back()
            }) else {
                faults.push(format!("{:?} {stamp:?} was never written", reading.key));
                continue;
            };
            if value.as_slice() != reading.value {
                faults.push(format!("{:?} {stamp:?} is not what was written", reading.key));
            }
            let age = now - at;
            if age > reading.age + ROUNDED {
                faults.push(format!("{:?} is {age:.4} s old and is told as {:.4}", reading.key, reading.age));
            }
            let ages = &mut self.ages;
            ages.readings += 1;
            ages.slack = ages.slack.max(reading.age - age);
            if reading.key.owner != fleet.me() && reading.age > YOUNG {
                ages.nearest = ages.nearest.max(age / reading.age);
                ages.oldest = ages.oldest.max(age);
            }
            let seen = self.seen.entry((node, reading.key)).or_insert(stamp);
            if *seen > stamp {
                faults.push(format!("{:?}: {stamp:?} after {seen:?}", reading.key));
            }
            *seen = stamp;
        }
        for id in members {
            let Some(standing) = fleet.standing(*id) else { continue };
            let stood = self.stood.entry((node, *id)).or_insert(standing);
            if *stood > standing {
                faults.push(format!("{id:?}: {standing:?} after {stood:?}"));
            }
            *stood = standing;
        }
        faults.into_iter().for_each(|words| self.breach(now, node, words));
    }
}
