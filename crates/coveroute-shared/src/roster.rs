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
    pub size: f64,
    pub standing: Standing,
}

#[derive(Debug, Default)]
pub struct Roster {
    ids: Vec<String>,
    numbers: HashMap<String, Tgt>,
    /// By the mark that messages name executors by.
    marks: HashMap<u32, Tgt>,
    /// Numbers that may be given again.
    free: Vec<Tgt>,
}

impl Roster {
    pub fn number(&mut self, id: &str) -> Tgt {
        if let Some(&tgt) = self.numbers.get(id) {
            return tgt;
        }
        let tgt = self.free.pop().unwrap_or(self.ids.len());
        if tgt == self.ids.len() {
            self.ids.push(String::new());
        }
        self.ids[tgt] = id.to_owned();
        self.numbers.insert(id.to_owned(), tgt);
        self.marks.insert(mark(id), tgt);
        tgt
    }

    /// Gives a number back, of an executor of which nothing more will be heard.
    pub fn retire(&mut self, tgt: Tgt) {
        let id = std::mem::take(&mut self.ids[tgt]);
        if self.numbers.remove(&id).is_some() {
            self.marks.remove(&mark(&id));
            self.free.push(tgt);
        }
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
            size: listed.size,
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_given_again_once_they_are_given_back() {
        let mut roster = Roster::default();
        assert_eq!(["a", "b", "a"].map(|id| roster.number(id)), [0, 1, 0]);
        roster.retire(0);
        roster.retire(0);
        assert_eq!((roster.known("a"), roster.marked(mark("a")), roster.known("b")), (None, None, Some(1)));
        assert_eq!(["c", "a"].map(|id| roster.number(id)), [0, 2]);
        assert_eq!((roster.id(0), roster.marked(mark("c"))), ("c", Some(0)));
    }
}
