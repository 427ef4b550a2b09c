//! Checks four invariants from the messages that cross between nodes and the world, without relying on a
//! node's own account: one final answer in time and no forward after it; no effect twice; no new forward to
//! a worker that drains or has gone; no cold worker overloaded by nodes that knew that it was cold.
use std::collections::BTreeMap;

use serde::Serialize;

use crate::scenario::{Effect, Group};
use crate::world::worker::Overload;
use crate::world::{NodeId, TryId, WorkerId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    OneAnswer,
    NoEffectTwice,
    NothingToTheGone,
    NoColdWorkerPushedOver,
    /// In a fleet: every entry that a node holds was written as such, and is no older than what the node was
    /// told.
    OneTable,
}

/// A broken rule, with the events that led to it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    pub rule: Rule,
    pub at: f64,
    pub node: NodeId,
    pub words: String,
    pub trace: Vec<String>,
}

/// A node's final answer, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Served,
    /// The answer says that a repeat is harmless.
    Refused,
    Failed,
    /// Rejected as an invalid request.
    Unfit,
}

/// The properties of an operation that the rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct OperationTerms {
    pub effect: Effect,
    pub group: Group,
    pub window: f64,
}

/// What an outcome that reached the node proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
struct Forward {
    worker: WorkerId,
    sent: f64,
    outcome: Option<(f64, Proof)>,
}

#[derive(Clone, Debug)]
struct TrackedTry {
    node: NodeId,
    terms: OperationTerms,
    taken: f64,
    deadline: f64,
    answer: Option<(f64, FinalAnswer)>,
    forwards: Vec<Forward>,
    /// The client left, or its node died: no answer is owed.
    void: bool,
    /// Some worker ran it to its end, so that a correct answer exists.
    ran: bool,
}

/// A worker's state as last announced to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownState {
    pub at: f64,
    pub wanted: bool,
    pub started: f64,
}

#[derive(Clone, Debug)]
pub struct InvariantChecker {
    slack: f64,
    grace: f64,
    /// How much earlier a forward counts as sent than it is seen: on sockets it is seen only when it
    /// arrives.
    pub detection_lag: f64,
    places: Vec<(String, i64)>,
    tracked: BTreeMap<TryId, TrackedTry>,
    /// Paused nodes, and since when.
    paused: BTreeMap<NodeId, f64>,
    /// By node and worker; none until the node was told anything.
    known_states: Vec<Vec<Option<KnownState>>>,
    pub breaches: Vec<Breach>,
    /// Total number of breaches, including those not kept.
    pub broken: u64,
    pub second_copies: u64,
    pub tries_received: u64,
}

/// Breaches kept in full.
const MAX_KEPT_BREACHES: usize = 50;
/// A try is dropped this long after its deadline.
const RETENTION: f64 = 30.0;
/// Tolerance between times read from two clocks.
const CLOCK_TOLERANCE: f64 = 1e-6;

impl InvariantChecker {
    /// `places` holds each worker's zone and cell.
    pub fn new(nodes: usize, places: Vec<(String, i64)>, slack: f64, grace: f64) -> Self {
        let known_states = vec![vec![None; places.len()]; nodes];
        let (tracked, breaches) = (BTreeMap::new(), Vec::new());
        InvariantChecker {
            slack,
            grace,
            detection_lag: 0.0,
            places,
            tracked,
            paused: BTreeMap::new(),
            known_states,
            breaches,
            broken: 0,
            second_copies: 0,
            tries_received: 0,
        }
    }

    fn breach(&mut self, rule: Rule, at: f64, node: NodeId, tri: Option<TryId>, message: String) {
        self.broken += 1;
        if self.breaches.len() < MAX_KEPT_BREACHES {
            let trace = tri.and_then(|tri| self.tracked.get(&tri)).map_or(Vec::new(), TrackedTry::trace);
            self.breaches.push(Breach { rule, at, node, words: message, trace });
        }
    }

    /// Records a breach that the checker of the fleet found; `all` is that checker's total.
    pub fn fleet_breach(&mut self, message: String, all: u64) {
        self.broken = self.broken.max(all);
        if self.breaches.len() < MAX_KEPT_BREACHES {
            self.breaches.push(Breach {
                rule: Rule::OneTable,
                at: 0.0,
                node: 0,
                words: message,
                trace: Vec::new(),
            });
        }
    }

    /// A node has received a request: its last byte was written to a live node.
    pub fn taken(&mut self, now: f64, tri: TryId, node: NodeId, terms: OperationTerms, deadline: f64) {
        let (answer, forwards, void, ran) = (None, Vec::new(), false, false);
        self.tracked
            .insert(tri, TrackedTry { node, terms, taken: now, deadline, answer, forwards, void, ran });
        self.tries_received += 1;
    }

    /// A worker has received a job's last byte, which was sent at `sent` at the latest.
    pub fn forwarded(&mut self, tri: TryId, node: NodeId, worker: WorkerId, sent: f64) {
        self.check_destination(sent, node, worker, tri);
        let Some(tried) = self.tracked.get_mut(&tri) else {
            return self.breach(
                Rule::OneAnswer,
                sent,
                node,
                None,
                format!("a forward of a try that was never received, {tri:08x}"),
            );
        };
        if let Some((at, _)) =
            tried.answer.filter(|(at, _)| sent - self.detection_lag > *at + CLOCK_TOLERANCE)
        {
            let message = format!("a forward to worker {worker} {:.3} s after the final answer", sent - at);
            return self.breach(Rule::OneAnswer, sent, node, Some(tri), message);
        }
        let out = |f: &Forward| f.outcome.is_none();
        self.second_copies += u64::from(tried.forwards.iter().any(out));
        let fault = tried.repeat_violation(sent, &self.places, worker);
        tried.forwards.push(Forward { worker, sent, outcome: None });
        if let Some(message) = fault {
            self.breach(Rule::NoEffectTwice, sent, node, Some(tri), message);
        }
    }

    fn check_destination(&mut self, sent: f64, node: NodeId, worker: WorkerId, tri: TryId) {
        let known = self.known_states[node][worker];
        let late = known.filter(|known| !known.wanted && sent - self.detection_lag > known.at + self.grace);
        if let Some(known) = late {
            let message = format!(
                "worker {worker} got a forward {:.3} s after the node was told that it leaves",
                sent - known.at
            );
            self.breach(Rule::NothingToTheGone, sent, node, Some(tri), message);
        }
    }

    /// The outcome of a forward has reached its node.
    pub fn outcome(&mut self, now: f64, tri: TryId, worker: WorkerId, proof: Proof) {
        let forwards = self.tracked.get_mut(&tri).map(|tried| &mut tried.forwards);
        let open = |f: &&mut Forward| f.worker == worker && f.outcome.is_none();
        let forward = forwards.and_then(|forwards| forwards.iter_mut().rev().find(open));
        forward.into_iter().for_each(|forward| forward.outcome = Some((now, proof)));
    }

    /// The node gave up on a forward.
    pub fn given_up(&mut self, now: f64, tri: TryId, worker: WorkerId) {
        self.outcome(now, tri, worker, Proof::MayHaveRun);
    }

    /// A worker has run the try to its end.
    pub fn ran(&mut self, tri: TryId) {
        self.tracked.entry(tri).and_modify(|tried| tried.ran = true);
    }

    pub fn answered(&mut self, now: f64, tri: TryId, answer: FinalAnswer) {
        let Some(tried) = self.tracked.get_mut(&tri) else { return };
        let node = tried.node;
        if let Some((at, _)) = tried.answer {
            let message = format!("a second answer, {:.3} s after the first", now - at);
            return self.breach(Rule::OneAnswer, now, node, Some(tri), message);
        }
        tried.answer = Some((now, answer));
        let late = now - tried.deadline;
        let without_result = answer == FinalAnswer::Served && !tried.ran;
        let refused = (answer == FinalAnswer::Refused).then(|| tried.refusal_violation(now)).flatten();
        let void = tried.void;
        if late > self.slack && !void {
            self.breach(
                Rule::OneAnswer,
                now,
                node,
                Some(tri),
                format!("answered {late:.3} s after the deadline"),
            );
        }
        if without_result {
            self.breach(Rule::OneAnswer, now, node, Some(tri), "served although no worker ran it".into());
        }
        if let Some(message) = refused {
            self.breach(Rule::NoEffectTwice, now, node, Some(tri), message);
        }
    }

    /// The connection ended without an answer although the node is alive.
    pub fn dropped(&mut self, now: f64, tri: TryId) {
        let Some(tried) = self.tracked.get(&tri).filter(|tried| tried.answer.is_none() && !tried.void) else {
            return;
        };
        let node = tried.node;
        self.breach(Rule::OneAnswer, now, node, Some(tri), "the connection ended without an answer".into());
        self.waive_answer(tri);
    }

    /// No answer is owed any more: the client left, or its node died.
    pub fn waive_answer(&mut self, tri: TryId) {
        self.tracked.entry(tri).and_modify(|tried| tried.void = true);
    }

    /// The client's deadline has passed.
    pub fn expired(&mut self, now: f64, tri: TryId) {
        let Some(tried) = self.tracked.get(&tri).filter(|tried| tried.answer.is_none() && !tried.void) else {
            return;
        };
        let (node, late) = (tried.node, now - tried.deadline);
        if self.paused.contains_key(&node) {
            return self.waive_answer(tri); // A paused node can't answer.
        }
        self.breach(
            Rule::OneAnswer,
            now,
            node,
            Some(tri),
            format!("no answer {late:.3} s after the deadline"),
        );
        self.waive_answer(tri);
    }

    /// The node's process died: it knows nothing any more, and its open tries are void.
    pub fn node_died(&mut self, node: NodeId) {
        self.paused.remove(&node);
        self.known_states[node].iter_mut().for_each(|known| *known = None);
        let its = self.tracked.values_mut().filter(|tried| tried.node == node && tried.answer.is_none());
        its.for_each(|tried| tried.void = true);
    }

    pub fn pause_node(&mut self, now: f64, node: NodeId) {
        self.paused.insert(node, now);
    }

    /// Resumes a node. Tries that were due during the pause, or that arrived during it unseen, are void.
    pub fn resume_node(&mut self, now: f64, node: NodeId) {
        let Some(since) = self.paused.remove(&node) else { return };
        let slack = self.slack;
        let its = self.tracked.values_mut().filter(|tried| tried.node == node && tried.answer.is_none());
        let due = its.filter(|tried| tried.deadline <= now + slack || tried.taken >= since);
        due.for_each(|tried| tried.void = true);
    }

    /// Discovery has told a node of a worker, or is taken to have done so.
    pub fn announce(&mut self, now: f64, node: NodeId, worker: WorkerId, wanted: bool, started: f64) {
        let known = &mut self.known_states[node][worker];
        // A repeated announcement doesn't restart the grace period.
        let same = |known: &KnownState| known.wanted == wanted && known.started == started;
        if !known.as_ref().is_some_and(same) {
            *known = Some(KnownState { at: now, wanted, started });
        }
    }

    /// Whether a node knows of the start of a worker's process.
    pub fn informed(&self, node: NodeId, worker: WorkerId, started: f64) -> bool {
        self.known_states[node][worker].is_some_and(|known| known.started >= started)
    }

    /// Whether a node knows of a process of the worker that started later than `started`.
    pub fn knows_later_start(&self, node: NodeId, worker: WorkerId, started: f64) -> bool {
        self.known_states[node][worker].is_some_and(|known| known.started > started)
    }

    pub fn worker_overloaded(&mut self, now: f64, node: NodeId, worker: WorkerId, fall: Overload) {
        if fall.informed > 2.0 / 3.0 {
            let Overload { informed, sent, most } = fall;
            let message = format!(
                "cold worker {worker} overloaded: {sent:.2} requests of mean work, limit {most:.2}, {informed:.2} from informed nodes"
            );
            self.breach(Rule::NoColdWorkerPushedOver, now, node, None, message);
        }
    }

    /// Drops tries that can no longer change, so that memory is bounded by the rate and not by the length of
    /// the run.
    pub fn prune(&mut self, now: f64) {
        self.tracked.retain(|_, tried| now - tried.deadline < RETENTION);
    }
}

impl TrackedTry {
    /// Forwards not proved to have never run, as far as the node could know at `now`.
    fn may_have_run(&self, now: f64) -> impl Iterator<Item = &Forward> {
        let never = move |f: &&Forward| matches!(f.outcome, Some((at, Proof::NeverRan)) if at <= now + CLOCK_TOLERANCE);
        self.forwards.iter().filter(move |f| !never(f))
    }

    fn repeat_violation(&self, now: f64, places: &[(String, i64)], worker: WorkerId) -> Option<String> {
        let first = self.may_have_run(now).next()?;
        let there = first.worker;
        match (self.terms.effect, self.terms.group) {
            (Effect::Idempotent, _) => None,
            (Effect::NonIdempotent, _) => {
                Some(format!("sent to worker {worker} though it may have run at {there}"))
            }
            (Effect::Deduplicated, _) if now - first.sent > self.terms.window + CLOCK_TOLERANCE => {
                Some(format!("sent to worker {worker} {:.3} s later, after the window", now - first.sent))
            }
            (Effect::Deduplicated, group) => {
                let same = match group {
                    Group::All => true,
                    Group::Zone => places[worker].0 == places[there].0,
                    Group::Cell => places[worker].1 == places[there].1,
                };
                (!same).then(|| format!("sent to worker {worker}, outside the group of {there}"))
            }
        }
    }

    fn refusal_violation(&self, now: f64) -> Option<String> {
        let there = self.may_have_run(now).next()?.worker;
        let harmless = matches!(
            (self.terms.effect, self.terms.group),
            (Effect::Idempotent, _) | (Effect::Deduplicated, Group::All)
        );
        (!harmless).then(|| format!("refused though it may have run at {there}"))
    }

    fn trace(&self) -> Vec<String> {
        let mut lines =
            vec![format!("{:.3} received by node {}, deadline {:.3}", self.taken, self.node, self.deadline)];
        for forward in &self.forwards {
            lines.push(format!("{:.3} sent to worker {}", forward.sent, forward.worker));
            let outcome =
                forward.outcome.map(|(at, proof)| format!("{at:.3} of worker {}: {proof:?}", forward.worker));
            lines.extend(outcome);
        }
        lines.extend(self.answer.map(|(at, answer)| format!("{at:.3} answered: {answer:?}")));
        lines
    }
}

#[cfg(test)]
mod tests;
