//! Records of all invocations that still need an answer or have an open forward, indexed by invocation id and by call
//! id. A record is removed once the answer is given and every forward has ended.
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use coveroute::types::{ExecutorIndex, InvocationId};
use serde::{Deserialize, Serialize};

use crate::timers::TimerKey;

/// Progress of a forward.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Stage {
    /// The executor has not acknowledged it yet.
    Sending,
    /// The executor has accepted it.
    Taken,
    /// The executor has reported that it returned the job without starting it.
    Returned,
    Ended,
}

impl Stage {
    pub fn is_open(self) -> bool {
        matches!(self, Stage::Sending | Stage::Taken)
    }
}

#[derive(Debug)]
pub struct Forward {
    pub executor_index: ExecutorIndex,
    pub sent: f64,
    pub stage: Stage,
    /// It has ended without a word of the executor, which may still run the job and was not told to cancel it.
    pub may_be_running: bool,
}

#[derive(Debug)]
pub struct Record {
    pub call: Arc<str>,
    /// Name of the operation.
    pub operation: Arc<str>,
    /// Whether the client still waits for its final answer.
    pub unanswered: bool,
    /// Deadline in this process.
    pub end: f64,
    /// Deadline without regard to a stop of this process.
    pub due: f64,
    /// The timer of its deadline.
    pub timer: TimerKey,
    pub forwards: Vec<Forward>,
}

impl Record {
    /// Indices of the forwards that have not ended.
    pub fn open_forwards(&self) -> Vec<usize> {
        let open = |&at: &usize| self.forwards[at].stage.is_open();
        (0..self.forwards.len()).filter(open).collect()
    }
}

/// Number of ids of ended calls that are remembered, of those with forwards and of those without any. Clients give every
/// request a new id, so a repeated id comes from another client, or from one that has left and comes again. This covers
/// the last minute of a busy node and takes half a megabyte each.
const MAX_ENDED_CALLS: usize = 4096;

#[derive(Debug, Default)]
pub struct Records {
    by_id: BTreeMap<InvocationId, Record>,
    /// By call id; `None` for calls that have ended.
    calls: HashMap<Arc<str>, Option<InvocationId>>,
    /// Call ids of ended calls that had forwards, oldest first.
    ended: VecDeque<Arc<str>>,
    /// Call ids of ended calls without a forward, oldest first. They are kept apart, so that requests that are refused
    /// at once do not displace calls that may have run.
    refused: VecDeque<Arc<str>>,
}

impl Records {
    pub fn open(&mut self, id: InvocationId, record: Record) {
        self.calls.insert(record.call.clone(), Some(id));
        self.by_id.insert(id, record);
    }

    /// Whether the call is open or among the remembered ended ones.
    pub fn knows(&self, call: &str) -> bool {
        self.calls.contains_key(call)
    }

    pub fn get(&mut self, id: InvocationId) -> Option<&mut Record> {
        self.by_id.get_mut(&id)
    }

    /// Marks the invocation as answered and returns its operation; `None` if it was answered before.
    pub fn mark_answered(&mut self, id: InvocationId) -> Option<&Arc<str>> {
        let record = self.by_id.get_mut(&id).filter(|record| record.unanswered)?;
        record.unanswered = false;
        Some(&record.operation)
    }

    /// The ids of calls that may have run or may still run: the remembered ended ones, oldest first, and those that have a
    /// record.
    pub fn calls(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ended.iter().chain(self.by_id.values().map(|record| &record.call))
    }

    /// Removes the record without remembering its call id.
    pub fn remove(&mut self, id: InvocationId) -> Option<Record> {
        let record = self.by_id.remove(&id)?;
        self.calls.remove(&record.call);
        Some(record)
    }

    /// Number of jobs whose clients wait for a final answer.
    pub fn unanswered(&self) -> usize {
        self.by_id.values().filter(|record| record.unanswered).count()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Forwards to these executors that have not been acknowledged yet.
    pub fn unacknowledged(&self, tgts: &[ExecutorIndex]) -> Vec<(InvocationId, usize)> {
        let all = self.by_id.iter().flat_map(|(id, record)| {
            record.forwards.iter().enumerate().map(|(at, forward)| (*id, at, forward))
        });
        let matches =
            |forward: &Forward| forward.stage == Stage::Sending && tgts.contains(&forward.executor_index);
        all.filter(|(.., forward)| matches(forward)).map(|(id, at, _)| (id, at)).collect()
    }

    /// Ends a forward and returns it; `None` if it had ended before.
    pub fn end_forward(&mut self, id: InvocationId, forward: usize) -> Option<&mut Forward> {
        let forward = self.by_id.get_mut(&id)?.forwards.get_mut(forward)?;
        let open = forward.stage.is_open();
        forward.stage = if open { Stage::Ended } else { forward.stage };
        open.then_some(forward)
    }

    pub fn is_open(&self, id: InvocationId, forward: usize) -> bool {
        self.by_id.get(&id).is_some_and(|record| record.forwards[forward].stage.is_open())
    }

    /// The forward that an executor's report on a call refers to: the latest one at that executor. Reports on calls of
    /// an earlier process match none.
    pub fn find(&self, call: &str, executor_index: ExecutorIndex) -> Option<(InvocationId, usize)> {
        let id = (*self.calls.get(call)?)?;
        let forwards = &self.by_id.get(&id)?.forwards;
        Some((id, forwards.iter().rposition(|forward| forward.executor_index == executor_index)?))
    }

    /// Records that the executor has returned the forward without starting it.
    pub fn mark_returned(&mut self, id: InvocationId, forward: usize) {
        if let Some(record) = self.by_id.get_mut(&id) {
            record.forwards[forward].stage = Stage::Returned;
        }
    }

    /// Whether the same executor has returned an earlier forward of the invocation.
    pub fn has_earlier_return(&self, id: InvocationId, forward: usize) -> bool {
        let forwards = self.by_id.get(&id).map_or(&[][..], |record| &record.forwards);
        let same_executor = |earlier: &Forward| earlier.executor_index == forwards[forward].executor_index;
        forwards
            .iter()
            .take(forward)
            .any(|earlier| earlier.stage == Stage::Returned && same_executor(earlier))
    }

    /// Removes the record and returns it if the client has its answer and no forward is open.
    pub fn remove_if_finished(&mut self, id: InvocationId) -> Option<Record> {
        let done = |record: &Record| !record.unanswered && record.open_forwards().is_empty();
        self.by_id.get(&id).filter(|record| done(record))?;
        let record = self.by_id.remove(&id)?;
        self.remember_ended(&record);
        Some(record)
    }

    fn remember_ended(&mut self, record: &Record) {
        let remembered = if record.forwards.is_empty() { &mut self.refused } else { &mut self.ended };
        if remembered.len() == MAX_ENDED_CALLS {
            remembered.pop_front().and_then(|oldest| self.calls.remove(&oldest));
        }
        remembered.push_back(record.call.clone());
        self.calls.insert(record.call.clone(), None);
    }

    /// Moves all later deadlines to `end`; returns the changed invocations with their new deadlines.
    pub fn shorten_deadlines(&mut self, end: f64) -> Vec<(InvocationId, f64)> {
        let later = self.by_id.iter_mut().filter(|record| record.1.end > end);
        later.map(|(id, record)| (*id, std::mem::replace(&mut record.end, end).min(end))).collect()
    }
}
