//! A model of shared limits for the state explorer: a few nodes that use, request and transfer rights, with all
//! interleavings of their steps. In no window may the nodes together use more than the bound.
use std::hash::{DefaultHasher, Hash, Hasher};

use coveroute_fleet::explore::Model;
use coveroute_fleet::member::{Id, Incarnation};
use coveroute_fleet::rights::{Limit, LimitTerms, Rights};

use crate::world::NodeId;

/// One transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// 0.2 s pass; the given node, if any, is stalled meanwhile.
    Tick(Option<NodeId>),
    Deliver(usize),
    Drop(usize),
    /// Delivers the message and keeps it in flight.
    Duplicate(usize),
    /// The node uses all its rights.
    UseAll(NodeId),
    Crash(NodeId),
    Start(NodeId),
}

#[derive(Clone)]
pub struct State {
    now: f64,
    nodes: Vec<Option<Rights>>,
    in_flight: Vec<(NodeId, NodeId, u64, Vec<u8>)>,
    /// The time and amount of each use.
    used: Vec<(f64, f64)>,
    processes: u64,
    /// How many more crashes and duplicates the model allows.
    crashes_left: usize,
    duplicates_left: usize,
}

/// Nodes that share one limit.
pub struct RightsModel {
    pub nodes: usize,
    limit: Limit,
    terms: LimitTerms,
    /// Clocks run at rates of up to 1 plus or minus this.
    drift: f64,
}

const MAX_IN_FLIGHT: usize = 3;
const LIMIT_ID: u32 = 1;
/// Seconds before the first step, after which the nodes know each other's votes and stocks are full.
const WARM_UP: f64 = 4.0;
const TICK: f64 = 0.2;

fn id(node: NodeId) -> Id {
    Id(node as u32 + 1)
}

impl RightsModel {
    /// `drift` is that of the clocks; the terms allow for 1%.
    pub fn new(nodes: usize, drift: f64) -> Self {
        let limit = Limit { id: LIMIT_ID, most: 8.0, window: 1.0, strict: true };
        let voters = (0..nodes).map(id).collect();
        let terms = LimitTerms { limits: vec![limit], voters, lease: 1.0, drift: 0.01 };
        RightsModel { nodes, limit, terms, drift }
    }

    fn local_time(&self, node: NodeId, now: f64) -> f64 {
        now * (1.0 + self.drift * [1.0, -1.0, 0.0, 0.5][node % 4])
    }

    fn start(&self, state: &mut State, node: NodeId) {
        state.processes += 1;
        let members = (0..self.nodes).map(id).collect();
        let incarnation = Incarnation::new(1, state.processes);
        let now = self.local_time(node, state.now);
        state.nodes[node] = Some(Rights::new(now, id(node), incarnation, members, self.terms.clone()));
    }

    /// Runs `act` on the node's rights, if it is up, and puts what it sends in flight.
    fn with_rights(
        &self,
        state: &mut State,
        node: NodeId,
        act: impl FnOnce(&mut Rights, f64, &mut Vec<(Id, Vec<u8>)>),
    ) {
        let (mut messages, local_time) = (Vec::new(), self.local_time(node, state.now));
        let Some(rights) = &mut state.nodes[node] else { return };
        act(rights, local_time, &mut messages);
        let mark = rights.mark();
        state
            .in_flight
            .extend(messages.into_iter().map(|(to, bytes)| (node, to.0 as NodeId - 1, mark, bytes)));
    }

    fn deliver(&self, state: &mut State, (from, to, mark, bytes): (NodeId, NodeId, u64, Vec<u8>)) {
        self.with_rights(state, to, |rights, local_time, messages| {
            rights.handle_message(local_time, id(from), mark, &bytes, messages)
        });
    }

    fn advance_time(&self, state: &mut State, stalled: Option<NodeId>) {
        state.now += TICK;
        for node in (0..self.nodes).filter(|node| Some(*node) != stalled) {
            let down: Vec<Id> =
                (0..self.nodes).filter(|other| state.nodes[*other].is_none()).map(id).collect();
            self.with_rights(state, node, |rights, local_time, messages| {
                rights.advance(local_time, |of| down.contains(&of), messages)
            });
        }
    }

    fn use_all(&self, state: &mut State, node: NodeId) {
        let (now, local_time) = (state.now, self.local_time(node, state.now));
        let Some(rights) = &mut state.nodes[node] else { return };
        let available = rights.available(local_time, LIMIT_ID) * (1.0 - 1e-9);
        if available > 0.0 && rights.take(local_time, LIMIT_ID, available) {
            state.used.push((now, available));
        }
    }

    /// Describes the violation if the last window holds more than the bound.
    fn bound_violation(&self, state: &State) -> Option<String> {
        let (window, bound) = (self.limit.window, self.limit.bound());
        let used = state.used.iter().filter(|(at, _)| *at > state.now - window).map(|(_, many)| many);
        let used: f64 = used.sum();
        (used > bound + 1e-6).then(|| format!("{used:.3} used in {window} s, at most {bound:.3} allowed"))
    }
}

impl Model for RightsModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let (nodes, in_flight, used) = ((0..self.nodes).map(|_| None).collect(), Vec::new(), Vec::new());
        let mut state =
            State { now: 0.0, nodes, in_flight, used, processes: 0, crashes_left: 1, duplicates_left: 1 };
        (0..self.nodes).for_each(|node| self.start(&mut state, node));
        while state.now < WARM_UP {
            self.advance_time(&mut state, None);
            while let Some(message) = state.in_flight.pop() {
                self.deliver(&mut state, message);
            }
        }
        state
    }

    fn enabled_steps(&self, state: &State) -> Vec<Step> {
        let mut steps = vec![Step::Tick(None), Step::Tick(Some(0))];
        for at in 0..state.in_flight.len() {
            steps.extend([Step::Deliver(at), Step::Drop(at)]);
            steps.extend((state.duplicates_left > 0).then_some(Step::Duplicate(at)));
        }
        for node in 0..self.nodes {
            match &state.nodes[node] {
                None => steps.push(Step::Start(node)),
                Some(_) => {
                    steps.push(Step::UseAll(node));
                    steps.extend((state.crashes_left > 0 && node == 0).then_some(Step::Crash(node)));
                }
            }
        }
        steps
    }

    fn apply(&self, state: &State, step: &Step) -> Result<State, String> {
        let mut state = state.clone();
        match *step {
            Step::Tick(stalled) => self.advance_time(&mut state, stalled),
            Step::Deliver(at) => {
                let message = state.in_flight.remove(at);
                self.deliver(&mut state, message);
            }
            Step::Drop(at) => drop(state.in_flight.remove(at)),
            Step::Duplicate(at) => {
                state.duplicates_left -= 1;
                let message = state.in_flight[at].clone();
                self.deliver(&mut state, message);
            }
            Step::UseAll(node) => self.use_all(&mut state, node),
            Step::Crash(node) => {
                state.crashes_left -= 1;
                state.nodes[node] = None;
            }
            Step::Start(node) => self.start(&mut state, node),
        }
        // Beyond the limit of messages in flight the oldest is lost.
        let excess = state.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        state.in_flight.drain(..excess);
        match self.bound_violation(&state) {
            Some(words) => Err(words),
            None => Ok(state),
        }
    }

    fn fingerprint(&self, state: &State) -> u64 {
        let mut hasher = DefaultHasher::new();
        let State { now, nodes, in_flight, used, processes, .. } = state;
        (format!("{nodes:?}{used:?}"), in_flight, now.to_bits(), processes).hash(&mut hasher);
        hasher.finish()
    }
}

#[cfg(test)]
mod tests {
    use coveroute_fleet::explore::explore;

    use super::*;

    #[test]
    fn all_interleavings_of_few_steps_stay_within_the_bound() {
        let explored = explore(&RightsModel::new(2, 0.01), 7, 20_000);
        assert!(explored.violation.is_none(), "{explored:?}");
        assert!(explored.states > 1000, "{explored:?}");
    }

    /// Checks that the model detects a breach: a clock at 2.5 times the true rate, where 1% is allowed, mints too much.
    #[test]
    fn excessive_clock_drift_is_detected() {
        let explored = explore(&RightsModel::new(1, 1.5), 11, 200_000);
        assert!(explored.violation.is_some(), "{explored:?}");
    }
}
