//! A model of the fleet for the state explorer: up to four nodes with all interleavings of timers, datagrams, writes and
//! crashes. A path is written in short words, `t w0 d0 l1 ...`, which a test can replay.
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::str::FromStr;

use coveroute_fleet::explore::Model;
use coveroute_fleet::member::Id;
use coveroute_fleet::table::Key;
use coveroute_fleet::{Action, Fleet, FleetConfig, Kind};

use super::checker::Checker;
use super::simulation::{fleet_config, member};
use crate::scenario::FleetSettings;
use crate::world::NodeId;

/// One transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// One detector period passes at every node, by clocks that run fast or slow.
    Tick,
    Deliver(usize),
    Drop(usize),
    /// Delivers the datagram and keeps it in flight.
    Duplicate(usize),
    Write(NodeId),
    Crash(NodeId),
    /// Starts a process whose clock has advanced since the last one.
    Start(NodeId),
    /// Starts a process whose clock was set back.
    StartBack(NodeId),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Step::Tick => write!(f, "t"),
            Step::Deliver(at) => write!(f, "d{at}"),
            Step::Drop(at) => write!(f, "l{at}"),
            Step::Duplicate(at) => write!(f, "2{at}"),
            Step::Write(node) => write!(f, "w{node}"),
            Step::Crash(node) => write!(f, "c{node}"),
            Step::Start(node) => write!(f, "s{node}"),
            Step::StartBack(node) => write!(f, "b{node}"),
        }
    }
}

impl FromStr for Step {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        let invalid = || format!("{word}: unknown step; expected one of t, d0, l0, 20, w0, c0, s0, b0");
        let (kind, number) = word.split_at_checked(1).ok_or_else(invalid)?;
        let at = || number.parse::<usize>().map_err(|_| invalid());
        match kind {
            "t" if number.is_empty() => Ok(Step::Tick),
            "d" => at().map(Step::Deliver),
            "l" => at().map(Step::Drop),
            "2" => at().map(Step::Duplicate),
            "w" => at().map(Step::Write),
            "c" => at().map(Step::Crash),
            "s" => at().map(Step::Start),
            "b" => at().map(Step::StartBack),
            _ => Err(invalid()),
        }
    }
}

#[derive(Clone)]
pub struct State {
    now: f64,
    fleets: Vec<Option<Fleet>>,
    in_flight: Vec<(NodeId, NodeId, Vec<u8>)>,
    checker: Checker,
    writes: u64,
    /// Processes started so far.
    processes: u64,
    /// How many more crashes and duplicates the model allows.
    crashes_left: usize,
    duplicates_left: usize,
}

/// A fleet of `nodes` nodes.
pub struct FleetModel {
    pub nodes: usize,
    config: FleetConfig,
    /// Clocks run at rates of up to 1 plus or minus this.
    drift: f64,
}

/// Datagrams in flight at a time; beyond this the oldest is lost, which can happen to any datagram.
const MAX_IN_FLIGHT: usize = 3;
const MAX_CRASHES: usize = 2;
const MAX_DUPLICATES: usize = 2;

fn addr(node: NodeId) -> SocketAddr {
    ([10, 100, 0, node as u8], 9400).into()
}

impl FleetModel {
    /// `drift` is that of the clocks; the configuration allows for 1%.
    pub fn new(nodes: usize, drift: f64) -> Self {
        FleetModel { nodes, config: fleet_config(nodes, &FleetSettings::default(), addr), drift }
    }

    fn local_time(&self, node: NodeId, now: f64) -> f64 {
        1000.0 * node as f64 + now * (1.0 + self.drift * [1.0, -1.0, 0.0, 0.5][node % 4])
    }

    fn start(&self, state: &mut State, node: NodeId, back: bool) {
        state.processes += 1;
        let count = if back { 1 } else { 100 + state.processes };
        // Marks rise and fall: which of two processes has the greater one is random.
        let mark = coveroute::random::mix(state.processes);
        let local_time = self.local_time(node, state.now);
        state.fleets[node] = Fleet::new(local_time, &member(node), self.config.clone(), count, mark).ok();
    }

    /// Runs `act` on the node, if it is up, and puts what it sends in flight.
    fn with_fleet(
        &self,
        state: &mut State,
        node: NodeId,
        act: impl FnOnce(&mut Fleet, f64, &mut Vec<Action>),
    ) {
        let (mut actions, local_time) = (Vec::new(), self.local_time(node, state.now));
        if let Some(fleet) = &mut state.fleets[node] {
            act(fleet, local_time, &mut actions);
        }
        for action in actions {
            let Action::Send { to, bytes } = action else { continue };
            let to = (0..self.nodes).find(|other| addr(*other) == to);
            state.in_flight.extend(to.map(|to| (node, to, bytes)));
        }
        let excess = state.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        state.in_flight.drain(..excess);
    }

    fn receive(&self, state: &mut State, (from, to, bytes): (NodeId, NodeId, Vec<u8>)) {
        self.with_fleet(state, to, |fleet, local_time, actions| {
            fleet.handle_datagram(local_time, addr(from), &bytes, actions)
        });
    }

    fn write(&self, state: &mut State, node: NodeId) {
        state.writes += 1;
        let value = state.writes.to_le_bytes();
        self.with_fleet(state, node, |fleet, local_time, actions| {
            fleet.write(local_time, Kind::NODE_STATUS, 0, &value, actions);
        });
        let local_time = self.local_time(node, state.now);
        let Some(fleet) = &state.fleets[node] else { return };
        let key = Key { owner: fleet.me(), kind: Kind::NODE_STATUS, key: 0 };
        let stamp = fleet.readings(local_time).find(|r| r.key == key).map(|r| (r.incarnation, r.version));
        if let Some(stamp) = stamp {
            state.checker.record_write(state.now, node, key, stamp, &value);
        }
    }

    /// Replays a path in short words; an error says which rule it breaks.
    pub fn replay(&self, path: &str) -> Result<(), String> {
        let mut state = self.initial();
        for word in path.split_whitespace() {
            state = self.apply(&state, &word.parse()?)?;
        }
        Ok(())
    }
}

impl Model for FleetModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let mut state = State {
            now: 0.0,
            fleets: (0..self.nodes).map(|_| None).collect(),
            in_flight: Vec::new(),
            checker: Checker::default(),
            writes: 0,
            processes: 0,
            crashes_left: MAX_CRASHES,
            duplicates_left: MAX_DUPLICATES,
        };
        (0..self.nodes).for_each(|node| self.start(&mut state, node, false));
        state
    }

    fn enabled_steps(&self, state: &State) -> Vec<Step> {
        let mut steps = vec![Step::Tick];
        for at in 0..state.in_flight.len() {
            steps.extend([Step::Deliver(at), Step::Drop(at)]);
            steps.extend((state.duplicates_left > 0).then_some(Step::Duplicate(at)));
        }
        for node in 0..self.nodes {
            match &state.fleets[node] {
                None => steps.extend([Step::Start(node), Step::StartBack(node)]),
                // Only node 0 writes and crashes: the nodes differ only in their numbers.
                Some(_) => {
                    steps.extend((node == 0).then_some(Step::Write(node)));
                    steps.extend((state.crashes_left > 0 && node == 0).then_some(Step::Crash(node)));
                }
            }
        }
        steps
    }

    fn apply(&self, state: &State, step: &Step) -> Result<State, String> {
        let mut state = state.clone();
        let no_datagram =
            |state: &State, at: usize| format!("no datagram {at}: {} in flight", state.in_flight.len());
        match *step {
            Step::Tick => {
                state.now += self.config.detector.every;
                for node in 0..self.nodes {
                    // Four timer ticks per period, as in a node.
                    for _ in 0..4 {
                        self.with_fleet(&mut state, node, |fleet, local_time, actions| {
                            let due = fleet.next_due();
                            fleet.advance(due.min(local_time), actions);
                        });
                    }
                }
            }
            Step::Deliver(at) if at < state.in_flight.len() => {
                let message = state.in_flight.remove(at);
                self.receive(&mut state, message);
            }
            Step::Duplicate(at) if at < state.in_flight.len() => {
                state.duplicates_left -= 1;
                let message = state.in_flight[at].clone();
                self.receive(&mut state, message);
            }
            Step::Drop(at) if at < state.in_flight.len() => drop(state.in_flight.remove(at)),
            Step::Deliver(at) | Step::Drop(at) | Step::Duplicate(at) => return Err(no_datagram(&state, at)),
            Step::Write(node) => self.write(&mut state, node),
            Step::Crash(node) => {
                state.crashes_left -= 1;
                state.fleets[node] = None;
                state.checker.process_ended(node);
            }
            Step::Start(node) => self.start(&mut state, node, false),
            Step::StartBack(node) => self.start(&mut state, node, true),
        }
        let members: Vec<Id> = (0..self.nodes).map(|node| Id::of(&member(node))).collect();
        for node in 0..self.nodes {
            let local_time = self.local_time(node, state.now);
            let State { now, fleets, checker, .. } = &mut state;
            if let Some(fleet) = &fleets[node] {
                checker.check(*now, local_time, node, fleet, &members);
            }
        }
        match state.checker.breaches.first() {
            Some(words) => Err(words.clone()),
            None => Ok(state),
        }
    }

    fn fingerprint(&self, state: &State) -> u64 {
        let mut hasher = DefaultHasher::new();
        let State { fleets, in_flight, now, processes, writes, .. } = state;
        format!("{fleets:?}").hash(&mut hasher);
        (in_flight, now.to_bits(), processes, writes).hash(&mut hasher);
        hasher.finish()
    }
}

/// Writes a path in short words, for `replay`.
pub fn format_path(steps: &[Step]) -> String {
    steps.iter().map(Step::to_string).collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
mod tests {
    use coveroute_fleet::explore::explore;

    use super::*;

    #[test]
    fn all_interleavings_of_few_steps_keep_the_rules() {
        let explored = explore(&FleetModel::new(2, 0.01), 6, 20_000);
        assert!(explored.violation.is_none(), "{explored:?}");
        assert!(explored.states > 1000, "{explored:?}");
    }

    /// Checks that the explorer and the checker detect a broken bound: clocks that drift by more than the
    /// configuration allows.
    #[test]
    fn excessive_clock_drift_is_detected() {
        let model = FleetModel::new(2, 0.3);
        let violation = explore(&model, 9, 200_000).violation.expect("a violation");
        assert!(violation.description.contains("is reported as"), "{violation:?}");
        let description = model.replay(&format_path(&violation.steps)).expect_err("the same");
        assert_eq!(description, violation.description);
    }

    #[test]
    fn an_invalid_step_is_reported() {
        assert!(FleetModel::new(2, 0.0).replay("t x9").expect_err("an error").contains("x9: unknown step"));
        assert!(FleetModel::new(2, 0.0).replay("d7").expect_err("an error").contains("in flight"));
    }
}
