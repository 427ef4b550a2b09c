//! The executors that an adapter has heard of, numbered in the order in which it did.
use std::collections::HashMap;

use coveroute::types::{Entry, Standing, Tgt};

use crate::{position, Names};

/// One line of a list of executors, in no protocol's words.
#[derive(Clone, Debug)]
pub struct Listed<'a> {
    pub id: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub cell: i64,
    /// Seconds on the adapter's clock, 0 for long ago.
    pub started: f64,
    pub standing: Standing,
}

#[derive(Debug, Default)]
pub struct Roster {
    ids: Vec<String>,
    numbers: HashMap<String, Tgt>,
    /// By the mark that messages name executors by.
    marks: HashMap<u32, Tgt>,
}

impl Roster {
    pub fn number(&mut self, id: &str) -> Tgt {
        if let Some(&tgt) = self.numbers.get(id) {
            return tgt;
        }
        let tgt = self.ids.len();
        self.ids.push(id.to_owned());
        self.numbers.insert(id.to_owned(), tgt);
        self.marks.insert(mark(id), tgt);
        tgt
    }

    pub fn id(&self, tgt: Tgt) -> &str {
        &self.ids[tgt]
    }

    /// The executor of that id, if it was ever listed.
    pub fn known(&self, id: &str) -> Option<Tgt> {
        self.numbers.get(id).copied()
    }

    pub fn marked(&self, mark: u32) -> Option<Tgt> {
        self.marks.get(&mark).copied()
    }

    pub fn entry(&mut self, names: &mut Names, listed: &Listed) -> Entry {
        Entry {
            tgt: self.number(listed.id),
            mark: mark(listed.id),
            zone: position(&mut names.zones, listed.zone),
            cell: listed.cell,
            kind: position(&mut names.kinds, listed.kind),
            started: listed.started,
            standing: listed.standing,
        }
    }
}

/// A short name for an executor that every node works out alike (FNV-1a, folded to 24 bits: with 300
/// executors two share one once in 370 fleets).
pub fn mark(executor: &str) -> u32 {
    let hash = executor.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    (hash ^ (hash >> 24)) & 0xff_ffff
}
