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
pub enum Verdict {
    Succeeded,
    Throttled,
    Errored,
}

impl From<&Answer> for Verdict {
    fn from(answer: &Answer) -> Verdict {
        match answer {
            Answer::Succeeded(_) => Verdict::Succeeded,
            Answer::Throttled { .. } => Verdict::Throttled,
            Answer::Errored | Answer::Unfit(_) => Verdict::Errored,
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
    pub fn count(&mut self, operation: &str, verdict: Verdict) {
        let Some(tally) = self.operations.get_mut(operation) else { return };
        match verdict {
            Verdict::Succeeded => tally.succeeded += 1,
            Verdict::Throttled => tally.throttled += 1,
            Verdict::Errored => tally.errored += 1,
        }
    }

    pub fn operations(&self) -> Vec<(Arc<str>, Tally)> {
        self.operations.iter().map(|(name, tally)| (name.clone(), *tally)).collect()
    }
}

/// Figures on a node's list of executors.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListFigures {
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

/// Figures on a node for its operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    pub operations: Vec<(Arc<str>, Tally)>,
    pub forwards: u64,
    /// Jobs that are not answered yet.
    pub outstanding: usize,
    /// Listed executors, and how many of them the decisions currently avoid.
    pub listed: usize,
    pub avoided: usize,
    pub list: ListFigures,
    pub applied: u64,
    pub rejected: u64,
}
