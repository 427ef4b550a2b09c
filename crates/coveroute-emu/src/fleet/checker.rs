//! Checks what the nodes of a fleet hold against the writes that were made and their true times, never against what a
//! node says of itself.
use std::collections::{BTreeMap, VecDeque};

use coveroute_fleet::member::{ClaimedStatus, Id, Incarnation};
use coveroute_fleet::table::Key;
use coveroute_fleet::Fleet;
use serde::Serialize;

use crate::world::NodeId;

type Stamp = (Incarnation, u64);

/// How close reported ages are to the true ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Ages {
    pub readings: u64,
    /// Greatest ratio of true age to reported age, over records of other nodes; over 1 the bound is broken.
    pub nearest: f64,
    /// Greatest true age among the records that count for `nearest`, in seconds.
    pub oldest: f64,
    /// Greatest difference of reported age and true age, in seconds.
    pub slack: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// The time and value of each version written.
    written: BTreeMap<(Key, Stamp), (f64, Vec<u8>)>,
    /// The latest stamp that each reader's process has shown.
    latest: BTreeMap<(NodeId, Key), Stamp>,
    /// The latest claimed status of each member in each reader's process.
    statuses: BTreeMap<(NodeId, Id), ClaimedStatus>,
    /// The time and amount of each use of the limit in the last window, over all nodes.
    used: VecDeque<(f64, f64)>,
    /// The greatest part of the bound that was used in any window.
    pub fullest: f64,
    pub ages: Ages,
    /// Number of breaches.
    pub broken: u64,
    /// Descriptions of the first 20 breaches.
    pub breaches: Vec<String>,
}

/// Tolerance for floating-point error, in seconds: nodes that forward a record round its age up to whole milliseconds.
const AGE_TOLERANCE: f64 = 1e-6;
/// Lower ages, in seconds, are left out of `Ages::nearest`: they consist mostly of a round trip.
const MIN_AGE_FOR_RATIO: f64 = 0.5;

impl Checker {
    pub fn breach(&mut self, now: f64, node: NodeId, description: String) {
        self.broken += 1;
        if self.breaches.len() < 20 {
            self.breaches.push(format!("at {now:.3} node {node}: {description}"));
        }
    }

    /// Records an owner's write, with the stamp that its table shows for it.
    pub fn record_write(&mut self, now: f64, node: NodeId, key: Key, stamp: Stamp, value: &[u8]) {
        let before = self.written.get(&(key, stamp)).map(|before| before.1.clone());
        match before {
            Some(before) if before != value => {
                self.breach(now, node, format!("{key:?} has two values under stamp {stamp:?}"));
            }
            Some(_) => {}
            None => drop(self.written.insert((key, stamp), (now, value.to_vec()))),
        }
    }

    /// Records a node's use of a limit, and reports a breach if the nodes together exceed it in the window that ends now.
    pub fn record_use(&mut self, now: f64, node: NodeId, amount: f64, most: f64, window: f64) {
        while self.used.front().is_some_and(|(at, _)| *at <= now - window) {
            self.used.pop_front();
        }
        self.used.push_back((now, amount));
        let all: f64 = self.used.iter().map(|(_, amount)| amount).sum();
        self.fullest = self.fullest.max(all / most);
        if all > most + 1e-6 {
            self.breach(now, node, format!("{all} used in {window} s, at most {most} allowed"));
        }
    }

    /// Forgets what the node's process has shown: its next process starts with an empty table.
    pub fn process_ended(&mut self, node: NodeId) {
        self.latest.retain(|(reader, _), _| *reader != node);
        self.statuses.retain(|(reader, _), _| *reader != node);
    }

    /// Checks all that a node's process holds.
    pub fn check(&mut self, now: f64, local_time: f64, node: NodeId, fleet: &Fleet, members: &[Id]) {
        let mut breaches = Vec::new();
        for reading in fleet.readings(local_time) {
            let stamp = (reading.incarnation, reading.version);
            let Some((at, value)) = self.written.get(&(reading.key, stamp)).or_else(|| {
                // The same process wrote it under an earlier incarnation, which it has raised since.
                let mark = reading.incarnation.mark();
                let same = |((_, (of, version)), _): &(&(Key, Stamp), &(f64, Vec<u8>))| {
                    of.mark() == mark && *version == reading.version
                };
                let first = (reading.key, (Incarnation(0), 0));
                let earlier = self.written.range(first..=(reading.key, stamp)).filter(same);
                earlier.map(|(_, written)| written).next_back()
            }) else {
                breaches.push(format!("{:?} {stamp:?} was never written", reading.key));
                continue;
            };
            if value.as_slice() != reading.value {
                breaches
                    .push(format!("{:?} {stamp:?} does not have the value that was written", reading.key));
            }
            let age = now - at;
            if age > reading.age + AGE_TOLERANCE {
                breaches.push(format!(
                    "{:?} is {age:.4} s old and is reported as {:.4}",
                    reading.key, reading.age
                ));
            }
            let ages = &mut self.ages;
            ages.readings += 1;
            ages.slack = ages.slack.max(reading.age - age);
            if reading.key.owner != fleet.me() && reading.age > MIN_AGE_FOR_RATIO {
                ages.nearest = ages.nearest.max(age / reading.age);
                ages.oldest = ages.oldest.max(age);
            }
            let latest = self.latest.entry((node, reading.key)).or_insert(stamp);
            if *latest > stamp {
                breaches.push(format!("{:?}: {stamp:?} after {latest:?}", reading.key));
            }
            *latest = stamp;
        }
        for id in members {
            let Some(status) = fleet.claimed_status(*id) else { continue };
            let last = self.statuses.entry((node, *id)).or_insert(status);
            if *last > status {
                breaches.push(format!("{id:?}: {status:?} after {last:?}"));
            }
            *last = status;
        }
        breaches.into_iter().for_each(|description| self.breach(now, node, description));
    }
}
