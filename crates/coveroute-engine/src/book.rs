//! Book: the record of each invocation that is owed an answer or has a forward out, found by its index or by
//! the id that it came with. A record ends with the last of both.
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use coveroute::types::{InvId, Tgt};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Stage {
    /// Its executor has not answered for it yet.
    Sending,
    /// The executor has it.
    Taken,
    /// The executor has told that it gave it back unstarted.
    Returned,
    Ended,
}

impl Stage {
    pub fn is_out(self) -> bool {
        matches!(self, Stage::Sending | Stage::Taken)
    }
}

#[derive(Debug)]
pub struct Forward {
    pub tgt: Tgt,
    pub sent: f64,
    pub stage: Stage,
}

#[derive(Debug)]
pub struct Record {
    pub call: Arc<str>,
    /// The operation, by name.
    pub operation: Arc<str>,
    /// Whether the client waits for its final answer.
    pub owed: bool,
    pub end: f64,
    /// The end, if this process were not to stop before.
    pub due: f64,
    pub forwards: Vec<Forward>,
}

impl Record {
    pub fn out(&self) -> Vec<usize> {
        let out = |&at: &usize| self.forwards[at].stage.is_out();
        (0..self.forwards.len()).filter(out).collect()
    }
}

/// The ids of calls that have ended are kept, this many: clients give each request a new one, so that one that
/// comes again is somebody else's. A busy node's last minute, in half a megabyte.
const ENDED_KEPT: usize = 4096;

#[derive(Debug, Default)]
pub struct Book {
    records: BTreeMap<InvId, Record>,
    /// None for those that have ended.
    calls: HashMap<Arc<str>, Option<InvId>>,
    ended: VecDeque<Arc<str>>,
}

impl Book {
    pub fn open(&mut self, id: InvId, record: Record) {
        self.calls.insert(record.call.clone(), Some(id));
        self.records.insert(id, record);
    }

    /// Whether the call is served, or was.
    pub fn knows(&self, call: &str) -> bool {
        self.calls.contains_key(call)
    }

    pub fn get(&mut self, id: InvId) -> Option<&mut Record> {
        self.records.get_mut(&id)
    }

    /// Books the final answer, once: the operation, if it was still owed.
    pub fn answer(&mut self, id: InvId) -> Option<&Arc<str>> {
        let record = self.records.get_mut(&id).filter(|record| record.owed)?;
        record.owed = false;
        Some(&record.operation)
    }

    /// The ids of calls that are served.
    pub fn open_calls(&self) -> impl Iterator<Item = &Arc<str>> {
        self.records.values().map(|record| &record.call)
    }

    /// Takes the record out, as if its call had never come.
    pub fn part_with(&mut self, id: InvId) -> Option<Record> {
        let record = self.records.remove(&id)?;
        self.calls.remove(&record.call);
        Some(record)
    }

    /// Jobs whose clients wait for a final answer.
    pub fn owed(&self) -> usize {
        self.records.values().filter(|record| record.owed).count()
    }

    /// Records that are held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Forwards to these executors that have not been answered for yet.
    pub fn sending(&self, tgts: &[Tgt]) -> Vec<(InvId, usize)> {
        let all = self.records.iter().flat_map(|(id, record)| {
            record.forwards.iter().enumerate().map(|(at, forward)| (*id, at, forward))
        });
        let there = |forward: &Forward| forward.stage == Stage::Sending && tgts.contains(&forward.tgt);
        all.filter(|(.., forward)| there(forward)).map(|(id, at, _)| (id, at)).collect()
    }

    /// Ends a forward; the one that ended, unless it had before.
    pub fn end(&mut self, id: InvId, forward: usize) -> Option<&mut Forward> {
        let forward = self.records.get_mut(&id)?.forwards.get_mut(forward)?;
        let out = forward.stage.is_out();
        forward.stage = if out { Stage::Ended } else { forward.stage };
        out.then_some(forward)
    }

    pub fn is_out(&self, id: InvId, forward: usize) -> bool {
        self.records.get(&id).is_some_and(|record| record.forwards[forward].stage.is_out())
    }

    /// The forward that an executor's word of an invocation speaks of: its last one there. A word of a former
    /// process's invocation finds none.
    pub fn find(&self, call: &str, tgt: Tgt) -> Option<(InvId, usize)> {
        let id = (*self.calls.get(call)?)?;
        let forwards = &self.records.get(&id)?.forwards;
        Some((id, forwards.iter().rposition(|forward| forward.tgt == tgt)?))
    }

    /// Keeps that an executor has told of giving the forward back.
    pub fn returned(&mut self, id: InvId, forward: usize) {
        if let Some(record) = self.records.get_mut(&id) {
            record.forwards[forward].stage = Stage::Returned;
        }
    }

    /// Whether its executor has told so of an earlier forward of the invocation.
    pub fn was_returned(&self, id: InvId, forward: usize) -> bool {
        let forwards = self.records.get(&id).map_or(&[][..], |record| &record.forwards);
        let there = |earlier: &Forward| earlier.tgt == forwards[forward].tgt;
        forwards.iter().take(forward).any(|earlier| earlier.stage == Stage::Returned && there(earlier))
    }

    /// Drops the record if nothing is owed and nothing is out any more.
    pub fn tidy(&mut self, id: InvId) {
        let done = |record: &Record| !record.owed && record.out().is_empty();
        if self.records.get(&id).is_some_and(done) {
            if let Some(record) = self.records.remove(&id) {
                self.keep(record.call.clone());
            }
        }
    }

    fn keep(&mut self, call: Arc<str>) {
        if self.ended.len() == ENDED_KEPT {
            self.ended.pop_front().and_then(|oldest| self.calls.remove(&oldest));
        }
        self.calls.insert(call.clone(), None);
        self.ended.push_back(call);
    }

    /// Brings the end of all that would end later forward; answers which they are.
    pub fn cut(&mut self, end: f64) -> Vec<(InvId, f64)> {
        let later = self.records.iter_mut().filter(|record| record.1.end > end);
        later.map(|(id, record)| (*id, std::mem::replace(&mut record.end, end).min(end))).collect()
    }
}
