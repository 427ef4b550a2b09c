//! Counts of job results by operation since the process started. Each job is counted once, by the process that gives
//! its final answer. A job whose client disconnected before that is not counted.
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::answer::Answer;

/// Job results of one operation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
}

/// The result of a job from the client's point of view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobResult {
    Succeeded,
    Throttled,
    Errored,
}

impl From<&Answer> for JobResult {
    fn from(answer: &Answer) -> JobResult {
        match answer {
            Answer::Succeeded(_) => JobResult::Succeeded,
            Answer::Throttled { .. } => JobResult::Throttled,
            Answer::Errored | Answer::Rejected(_) => JobResult::Errored,
        }
    }
}

#[derive(Debug, Default)]
pub struct Counts {
    operations: BTreeMap<Arc<str>, Tally>,
    /// Forwards whose last byte was written.
    pub forwards: u64,
    /// Reloaded configurations that were applied and rejected.
    pub applied: u64,
    pub rejected: u64,
}

impl Counts {
    /// Reports the operation from now on, even while its counts are zero.
    pub fn register(&mut self, operation: &Arc<str>) {
        self.operations.entry(operation.clone()).or_default();
    }

    /// Counts a job. Operations that were not registered are ignored, as clients may invent names.
    pub fn count(&mut self, operation: &str, result: JobResult) {
        let Some(tally) = self.operations.get_mut(operation) else { return };
        match result {
            JobResult::Succeeded => tally.succeeded += 1,
            JobResult::Throttled => tally.throttled += 1,
            JobResult::Errored => tally.errored += 1,
        }
    }

    pub fn operations(&self) -> Vec<(Arc<str>, Tally)> {
        self.operations.iter().map(|(name, tally)| (name.clone(), *tally)).collect()
    }
}

/// Metrics of a node's list of executors.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListMetrics {
    pub version: u64,
    /// The name from `ListState::name`.
    pub state: &'static str,
    /// Seconds from the start to the first message from discovery, if there was one.
    pub first_heard: Option<f64>,
    /// Seconds since the last message from discovery other than "nothing changed".
    pub last_heard: Option<f64>,
    /// Number of requests that were given up while the state of the list forbade sending.
    pub refused: u64,
}

/// Metrics of a node for its operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeMetrics {
    pub operations: Vec<(Arc<str>, Tally)>,
    pub forwards: u64,
    /// Jobs that are not answered yet.
    pub outstanding: usize,
    /// Listed executors, and how many of them the decisions currently avoid.
    pub listed: usize,
    pub avoided: usize,
    pub list: ListMetrics,
    pub applied: u64,
    pub rejected: u64,
}
