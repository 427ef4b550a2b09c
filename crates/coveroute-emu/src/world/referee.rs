//! The referee sees only what crosses between nodes and the world, never a node's own word, and judges the four
//! rules: one final answer in time and nothing sent after it; no effect twice; nothing new to who drains or has gone;
//! no cold worker pushed over by nodes that knew.
use std::collections::BTreeMap;

use serde::Serialize;

use crate::scenario::{Effect, Group};
use crate::world::worker::Fall;
use crate::world::{NodeId, TryId, WorkerId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    OneAnswer,
    NoEffectTwice,
    NothingToTheGone,
    NoColdWorkerPushedOver,
    /// Of nodes that know each other: what they hold was written so, and is no older than told.
    OneTable,
}

/// A rule that was broken, with what led there.
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
pub enum Final {
    Served,
    /// Trying again is said to be harmless.
    Refused,
    Failed,
    /// Turned away as wrong in itself.
    Unfit,
}

/// What the referee knows of an operation.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub effect: Effect,
    pub group: Group,
    pub window: f64,
}

/// What an outcome that came to the node proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
struct Forward {
    worker: WorkerId,
    sent: f64,
    told: Option<(f64, Proof)>,
}

#[derive(Clone, Debug)]
struct Case {
    node: NodeId,
    terms: Terms,
    taken: f64,
    deadline: f64,
    answer: Option<(f64, Final)>,
    forwards: Vec<Forward>,
    /// The client went away, or the node died under it: nothing is owed.
    void: bool,
    /// The body that would be a right answer: what some worker made for it.
    ran: bool,
}

/// Where a worker stands, as a node was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    pub at: f64,
    pub wanted: bool,
    pub started: f64,
}

#[derive(Clone, Debug)]
pub struct Referee {
    slack: f64,
    grace: f64,
    /// A forward counts as sent by so much before it is seen: on sockets it is seen when it arrives.
    pub slip: f64,
    places: Vec<(String, i64)>,
    cases: BTreeMap<TryId, Case>,
    /// Nodes that stand still, and since when.
    still: BTreeMap<NodeId, f64>,
    /// By node and worker; none before it was told anything.
    told: Vec<Vec<Option<Told>>>,
    pub breaches: Vec<Breach>,
    /// How many there were, also beyond those that are kept.
    pub broken: u64,
    pub second_copies: u64,
    pub judged: u64,
}

/// Breaches that are kept in full.
const KEPT: usize = 50;
/// Nothing is heard of a case so long after its deadline: it is closed.
const CLOSED_AFTER: f64 = 30.0;
/// Times that the hosts read of two clocks may part by this much.
const CLOCKS: f64 = 1e-6;

impl Referee {
    /// `places`: each worker's zone and cell.
    pub fn new(nodes: usize, places: Vec<(String, i64)>, slack: f64, grace: f64) -> Self {
        let told = vec![vec![None; places.len()]; nodes];
        let (cases, breaches) = (BTreeMap::new(), Vec::new());
        Referee {
            slack,
            grace,
            slip: 0.0,
            places,
            cases,
            still: BTreeMap::new(),
            told,
            breaches,
            broken: 0,
            second_copies: 0,
            judged: 0,
        }
    }

    fn breach(&mut self, rule: Rule, at: f64, node: NodeId, tri: Option<TryId>, words: String) {
        self.broken += 1;
        if self.breaches.len() < KEPT {
            let trace = tri.and_then(|tri| self.cases.get(&tri)).map_or(Vec::new(), Case::trace);
            self.breaches.push(Breach { rule, at, node, words, trace });
        }
    }

    /// A node has taken a request: its last byte was written to a live node.
    /// What the fleet's own referee has found; `all`: how many there were.
    pub fn fleet_breach(&mut self, words: String, all: u64) {
        self.broken = self.broken.max(all);
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { rule: Rule::OneTable, at: 0.0, node: 0, words, trace: Vec::new() });
        }
    }

    pub fn taken(&mut self, now: f64, tri: TryId, node: NodeId, terms: Terms, deadline: f64) {
        let (answer, forwards, void, ran) = (None, Vec::new(), false, false);
        self.cases.insert(tri, Case { node, terms, taken: now, deadline, answer, forwards, void, ran });
        self.judged += 1;
    }

    /// A worker has a job's last byte; it was sent at `sent`, at the latest.
    pub fn forwarded(&mut self, tri: TryId, node: NodeId, worker: WorkerId, sent: f64) {
        self.told_of(sent, node, worker, tri);
        let Some(case) = self.cases.get_mut(&tri) else {
            return self.breach(
                Rule::OneAnswer,
                sent,
                node,
                None,
                format!("a forward of nothing taken, {tri:08x}"),
            );
        };
        if let Some((at, _)) = case.answer.filter(|(at, _)| sent - self.slip > *at + CLOCKS) {
            let words = format!("a forward to worker {worker} {:.3} s after the final answer", sent - at);
            return self.breach(Rule::OneAnswer, sent, node, Some(tri), words);
        }
        let out = |f: &Forward| f.told.is_none();
        self.second_copies += u64::from(case.forwards.iter().any(out));
        let fault = case.repeat_fault(sent, &self.places, worker);
        case.forwards.push(Forward { worker, sent, told: None });
        if let Some(words) = fault {
            self.breach(Rule::NoEffectTwice, sent, node, Some(tri), words);
        }
    }

    fn told_of(&mut self, sent: f64, node: NodeId, worker: WorkerId, tri: TryId) {
        let told = self.told[node][worker];
        let late = told.filter(|told| !told.wanted && sent - self.slip > told.at + self.grace);
        if let Some(told) = late {
            let words =
                format!("worker {worker} got a forward {:.3} s after it was told as leaving", sent - told.at);
            self.breach(Rule::NothingToTheGone, sent, node, Some(tri), words);
        }
    }

    /// What became of a forward has come to its node.
    pub fn outcome(&mut self, now: f64, tri: TryId, worker: WorkerId, proof: Proof) {
        let forwards = self.cases.get_mut(&tri).map(|case| &mut case.forwards);
        let open = |f: &&mut Forward| f.worker == worker && f.told.is_none();
        let forward = forwards.and_then(|forwards| forwards.iter_mut().rev().find(open));
        forward.into_iter().for_each(|forward| forward.told = Some((now, proof)));
    }

    /// The node gave a forward up.
    pub fn given_up(&mut self, now: f64, tri: TryId, worker: WorkerId) {
        self.outcome(now, tri, worker, Proof::MayHaveRun);
    }

    /// A worker has run it to its end.
    pub fn ran(&mut self, tri: TryId) {
        self.cases.entry(tri).and_modify(|case| case.ran = true);
    }

    pub fn answered(&mut self, now: f64, tri: TryId, answer: Final) {
        let Some(case) = self.cases.get_mut(&tri) else { return };
        let node = case.node;
        if let Some((at, _)) = case.answer {
            let words = format!("a second answer, {:.3} s after the first", now - at);
            return self.breach(Rule::OneAnswer, now, node, Some(tri), words);
        }
        case.answer = Some((now, answer));
        let late = now - case.deadline;
        let unmade = answer == Final::Served && !case.ran;
        let refused = (answer == Final::Refused).then(|| case.refusal_fault(now)).flatten();
        let void = case.void;
        if late > self.slack && !void {
            self.breach(
                Rule::OneAnswer,
                now,
                node,
                Some(tri),
                format!("answered {late:.3} s after the deadline"),
            );
        }
        if unmade {
            self.breach(Rule::OneAnswer, now, node, Some(tri), "served with what no worker made".into());
        }
        if let Some(words) = refused {
            self.breach(Rule::NoEffectTwice, now, node, Some(tri), words);
        }
    }

    /// The connection ended without an answer, under a node that lives.
    pub fn dropped(&mut self, now: f64, tri: TryId) {
        let Some(case) = self.cases.get(&tri).filter(|case| case.answer.is_none() && !case.void) else {
            return;
        };
        let node = case.node;
        self.breach(Rule::OneAnswer, now, node, Some(tri), "the connection ended without an answer".into());
        self.void(tri);
    }

    /// Nothing is owed any more: the client went away, or its node died.
    pub fn void(&mut self, tri: TryId) {
        self.cases.entry(tri).and_modify(|case| case.void = true);
    }

    /// The client's time is over.
    pub fn expired(&mut self, now: f64, tri: TryId) {
        let Some(case) = self.cases.get(&tri).filter(|case| case.answer.is_none() && !case.void) else {
            return;
        };
        let (node, late) = (case.node, now - case.deadline);
        if self.still.contains_key(&node) {
            return self.void(tri); // What stands still can't answer.
        }
        self.breach(
            Rule::OneAnswer,
            now,
            node,
            Some(tri),
            format!("no answer {late:.3} s after the deadline"),
        );
        self.void(tri);
    }

    /// A node starts anew: it knows nothing, and what it held is void.
    pub fn node_died(&mut self, node: NodeId) {
        self.still.remove(&node);
        self.told[node].iter_mut().for_each(|told| *told = None);
        let its = self.cases.values_mut().filter(|case| case.node == node && case.answer.is_none());
        its.for_each(|case| case.void = true);
    }

    pub fn stands_still(&mut self, now: f64, node: NodeId) {
        self.still.insert(node, now);
    }

    /// It goes on: what was due meanwhile, or came meanwhile and has waited for it unseen, is not owed.
    pub fn goes_on(&mut self, now: f64, node: NodeId) {
        let Some(since) = self.still.remove(&node) else { return };
        let slack = self.slack;
        let its = self.cases.values_mut().filter(|case| case.node == node && case.answer.is_none());
        let due = its.filter(|case| case.deadline <= now + slack || case.taken >= since);
        due.for_each(|case| case.void = true);
    }

    /// Discovery has told a node of a worker, or counts as having done so.
    pub fn told(&mut self, now: f64, node: NodeId, worker: WorkerId, wanted: bool, started: f64) {
        let told = &mut self.told[node][worker];
        // To be told the same again gives no new grace.
        let same = |told: &Told| told.wanted == wanted && told.started == started;
        if !told.as_ref().is_some_and(same) {
            *told = Some(Told { at: now, wanted, started });
        }
    }

    /// Whether a node knows of the start of a worker's process.
    pub fn informed(&self, node: NodeId, worker: WorkerId, started: f64) -> bool {
        self.told[node][worker].is_some_and(|told| told.started >= started)
    }

    /// Whether a node has been told of a worker's process that started after that.
    pub fn knows_later(&self, node: NodeId, worker: WorkerId, started: f64) -> bool {
        self.told[node][worker].is_some_and(|told| told.started > started)
    }

    pub fn fell(&mut self, now: f64, node: NodeId, worker: WorkerId, fall: Fall) {
        if fall.informed > 2.0 / 3.0 {
            let Fall { informed, sent, most } = fall;
            let words = format!(
                "cold worker {worker} fell: {sent:.2} requests of mean work on {most:.2}, {informed:.2} knowing"
            );
            self.breach(Rule::NoColdWorkerPushedOver, now, node, None, words);
        }
    }

    /// Forgets what nothing can come of any more: its memory is bounded by the rate, not by the day.
    pub fn tidy(&mut self, now: f64) {
        self.cases.retain(|_, case| now - case.deadline < CLOSED_AFTER);
    }
}

impl Case {
    /// Forwards that have not been proved never to have run, as the node could know at `now`.
    fn may_have_run(&self, now: f64) -> impl Iterator<Item = &Forward> {
        let never = move |f: &&Forward| matches!(f.told, Some((at, Proof::NeverRan)) if at <= now + CLOCKS);
        self.forwards.iter().filter(move |f| !never(f))
    }

    fn repeat_fault(&self, now: f64, places: &[(String, i64)], worker: WorkerId) -> Option<String> {
        let first = self.may_have_run(now).next()?;
        let there = first.worker;
        match (self.terms.effect, self.terms.group) {
            (Effect::Idempotent, _) => None,
            (Effect::NonIdempotent, _) => {
                Some(format!("sent to worker {worker} though it may have run at {there}"))
            }
            (Effect::Deduplicated, _) if now - first.sent > self.terms.window + CLOCKS => {
                Some(format!("sent to worker {worker} {:.3} s on, after the window", now - first.sent))
            }
            (Effect::Deduplicated, group) => {
                let same = match group {
                    Group::All => true,
                    Group::Zone => places[worker].0 == places[there].0,
                    Group::Cell => places[worker].1 == places[there].1,
                };
                (!same).then(|| format!("sent to worker {worker}, out of the group of {there}"))
            }
        }
    }

    fn refusal_fault(&self, now: f64) -> Option<String> {
        let there = self.may_have_run(now).next()?.worker;
        let harmless = matches!(
            (self.terms.effect, self.terms.group),
            (Effect::Idempotent, _) | (Effect::Deduplicated, Group::All)
        );
        (!harmless).then(|| format!("refused though it may have run at {there}"))
    }

    fn trace(&self) -> Vec<String> {
        let mut lines =
            vec![format!("{:.3} taken by node {}, until {:.3}", self.taken, self.node, self.deadline)];
        for forward in &self.forwards {
            lines.push(format!("{:.3} sent to worker {}", forward.sent, forward.worker));
            let told =
                forward.told.map(|(at, proof)| format!("{at:.3} of worker {}: {proof:?}", forward.worker));
            lines.extend(told);
        }
        lines.extend(self.answer.map(|(at, answer)| format!("{at:.3} answered: {answer:?}")));
        lines
    }
}

#[cfg(test)]
mod tests;
