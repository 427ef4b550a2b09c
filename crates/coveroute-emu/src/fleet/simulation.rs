//! A simulation of the fleet protocol in virtual time: one instance per node, with clocks that drift and faulty links.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use coveroute_fleet::config::{Limits, MemberConfig, Records};
use coveroute_fleet::detector::Detector;
use coveroute_fleet::member::Id;
use coveroute_fleet::rights::{LimitTerms, Rights};
use coveroute_fleet::table::Key;
use coveroute_fleet::{Action, Figures, Fleet, FleetConfig, FleetEvent, Kind, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::checker::Checker;
use super::links::Links;
use crate::queue::Queue;
use crate::scenario::{FleetSettings, Scenario};
use crate::world::{NodeCommand, NodeId};

/// Datagrams that the socket of a stalled process buffers: the usual buffer size over the usual datagram size. Further
/// ones are lost.
const SOCKET_BUFFER: usize = 400;
/// Interval in seconds at which the checker checks one node, each in turn.
const CHECK_INTERVAL: f64 = 0.05;
/// The counter that a process takes its first incarnation from advances this often per second, as in nodes.
const INCARNATIONS_PER_SECOND: f64 = 16.0;

pub fn member(node: NodeId) -> String {
    format!("n{node}")
}

fn addr(node: NodeId) -> SocketAddr {
    ([10, 100, (node >> 8) as u8, node as u8], 9400).into()
}

/// The operators' file for a fleet of `nodes` nodes; `addr` gives a member's address.
pub fn fleet_config(
    nodes: usize,
    settings: &FleetSettings,
    addr: impl Fn(NodeId) -> SocketAddr,
) -> FleetConfig {
    let all = nodes + settings.absent.0;
    let entry = |node: NodeId| {
        let (zone, machine) = (String::new(), String::new());
        (member(node), MemberConfig { address: addr(node), zone, machine })
    };
    let members = (0..all).map(entry).collect();
    let usual = Detector::default();
    let suspicion = usual.suspicion * settings.every.0 / usual.every;
    let detector = Detector { every: settings.every.0, suspicion, drift: settings.drift.0.min(0.1), ..usual };
    FleetConfig {
        fleet: "stage".into(),
        members,
        detector,
        records: Records::default(),
        limits: Limits::default(),
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrival(NodeId, NodeId, Vec<u8>),
    Tick(NodeId, u64),
    Write(NodeId, u64),
    Use(NodeId, u64),
    Check(NodeId),
}

/// A node: its clock and the process that runs there.
struct SimNode {
    fleet: Option<Fleet>,
    process: u64,
    /// Local seconds per true second, and the local time at the start.
    rate: f64,
    offset: f64,
    /// Its rights to parts of the limits, if there are limits.
    rights: Option<Rights>,
    /// Uses of the limits that are requested here per second.
    demand: f64,
    /// Set while the process is stalled: the datagrams that have arrived since.
    stalled: Option<Vec<(NodeId, Vec<u8>)>>,
    /// The greatest incarnation counter that a process of this node has started with.
    count: u64,
}

impl SimNode {
    fn local_time(&self, now: f64) -> f64 {
        self.offset + self.rate * now
    }

    fn is_running(&self) -> bool {
        self.fleet.is_some() && self.stalled.is_none()
    }
}

/// A state change of member `of` in the table of node `by`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    pub at: f64,
    pub by: NodeId,
    pub of: NodeId,
    pub to: State,
    /// The member was declared dead although it was running and reachable.
    pub false_death: bool,
}

/// The simulated fleet.
pub struct FleetSimulation {
    settings: FleetSettings,
    config: FleetConfig,
    terms: Option<LimitTerms>,
    /// Uses that were requested, and those of them that were granted.
    pub wanted: u64,
    pub had: u64,
    ids: BTreeMap<Id, NodeId>,
    members: Vec<Id>,
    nodes: Vec<SimNode>,
    pub links: Links,
    queue: Queue<Event>,
    rng: Pcg64Mcg,
    pub checker: Checker,
    pub state_changes: Vec<StateChange>,
    processes: u64,
    writes: u64,
    pub events: u64,
    actions: Vec<Action>,
}

impl FleetSimulation {
    pub fn new(scenario: &Scenario, seed: u64, zones: &[String]) -> Self {
        let settings = scenario.fleet.clone().unwrap_or_default();
        let count = zones.len();
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x57a6e);
        let drift = settings.drift.0.min(0.1);
        let mut sim_node = |_| {
            let (rate, offset) = (1.0 + drift * rng.random_range(-1.0..=1.0), rng.random_range(0.0..1e6));
            let (fleet, rights, stalled) = (None, None, None);
            SimNode { fleet, process: 0, rate, offset, rights, demand: 0.0, stalled, count: 0 }
        };
        let nodes: Vec<SimNode> = (0..count).map(&mut sim_node).collect();
        let config = fleet_config(count, &settings, addr);
        let members: Vec<Id> = (0..count).map(|node| Id::of(&member(node))).collect();
        let ids = members.iter().copied().enumerate().map(|(node, id)| (id, node)).collect();
        let mut queue = Queue::new();
        if count > 0 {
            queue.push(CHECK_INTERVAL, Event::Check(0));
        }
        FleetSimulation {
            links: Links::new(scenario, seed, zones),
            settings,
            config,
            terms: None,
            wanted: 0,
            had: 0,
            ids,
            members,
            nodes,
            queue,
            rng,
            checker: Checker::default(),
            state_changes: Vec::new(),
            processes: 0,
            writes: 0,
            events: 0,
            actions: Vec::new(),
        }
    }

    pub fn next_due(&self) -> Option<f64> {
        self.queue.next_at()
    }

    /// Processes all events up to `until`.
    pub fn run_until(&mut self, until: f64) {
        while self.queue.next_at().is_some_and(|at| at <= until) {
            self.advance();
        }
    }

    /// Processes the next event.
    pub fn advance(&mut self) {
        let Some((now, event)) = self.queue.pop() else { return };
        self.events += 1;
        match event {
            Event::Arrival(from, to, bytes) => self.deliver(now, from, to, bytes),
            Event::Tick(node, process) if self.nodes[node].process == process => self.tick(now, node),
            Event::Write(node, process)
                if self.nodes[node].process == process && self.settings.writes.0 > 0.0 =>
            {
                if self.nodes[node].is_running() {
                    let key = self.rng.random_range(0..4);
                    self.write(now, node, key);
                }
                let again = self.settings.writes.0 * self.rng.random_range(0.5..1.5);
                self.queue.push(now + again, Event::Write(node, process));
            }
            Event::Use(node, process) if self.nodes[node].process == process => {
                self.request_use(now, node);
                self.schedule_use(now, node);
            }
            Event::Tick(..) | Event::Write(..) | Event::Use(..) => {}
            Event::Check(node) => {
                self.check(now, node);
                self.queue.push(now + CHECK_INTERVAL, Event::Check((node + 1) % self.nodes.len()));
            }
        }
    }

    // Node processes.

    pub fn execute_command(&mut self, now: f64, node: NodeId, command: NodeCommand) {
        match command {
            NodeCommand::Start => self.start(now, node, false),
            NodeCommand::StartBack => self.start(now, node, true),
            NodeCommand::Kill => self.kill(node),
            NodeCommand::Stop => self.leave(now, node),
            NodeCommand::Stall => self.nodes[node].stalled = Some(Vec::new()),
            NodeCommand::Wake => self.resume(now, node),
            NodeCommand::Reload | NodeCommand::Retune | NodeCommand::Replace => {}
        }
    }

    /// Starts the node's process. With `back` its clock was set back, so that it starts with an incarnation at or below its
    /// earlier ones.
    pub fn start(&mut self, now: f64, node: NodeId, back: bool) {
        if self.nodes[node].fleet.is_some() {
            return;
        }
        self.processes += 1;
        let process = self.processes;
        let count = if back {
            self.rng.random_range(0..=self.nodes[node].count)
        } else {
            (1e9 + now * INCARNATIONS_PER_SECOND) as u64
        };
        let mark = self.rng.random::<u64>();
        let node_state = &mut self.nodes[node];
        let fleet = Fleet::new(node_state.local_time(now), &member(node), self.config.clone(), count, mark);
        (node_state.fleet, node_state.process, node_state.stalled, node_state.count) =
            (fleet.ok(), process, None, node_state.count.max(count));
        let phase = self.rng.random_range(0.0..self.settings.every.0);
        if let (Some(terms), Some(fleet)) = (&self.terms, &node_state.fleet) {
            let (local_time, incarnation) = (node_state.local_time(now), fleet.incarnation());
            node_state.rights =
                Some(Rights::new(local_time, fleet.me(), incarnation, self.members.clone(), terms.clone()));
            self.schedule_use(now, node);
        }
        self.queue.push(now, Event::Tick(node, process));
        if self.settings.writes.0 > 0.0 {
            self.queue.push(now + phase * 5.0, Event::Write(node, process));
        }
    }

    pub fn kill(&mut self, node: NodeId) {
        let node_state = &mut self.nodes[node];
        (node_state.fleet, node_state.rights, node_state.stalled, node_state.process) = (None, None, None, 0);
        self.checker.process_ended(node);
    }

    pub fn leave(&mut self, now: f64, node: NodeId) {
        self.with_fleet(now, node, |fleet, _, actions| fleet.leave(actions));
    }

    pub fn resume(&mut self, now: f64, node: NodeId) {
        let buffered = self.nodes[node].stalled.take().unwrap_or_default();
        // Buffered datagrams are read before the timers run: the process does not know that it was stalled.
        for (from, bytes) in buffered {
            self.receive(now, from, node, &bytes);
        }
        self.tick(now, node);
    }

    pub fn write(&mut self, now: f64, node: NodeId, key: u64) -> bool {
        self.writes += 1;
        let value = self.writes.to_le_bytes();
        let mut fits = false;
        self.with_fleet(now, node, |fleet, local_time, actions| {
            fits = fleet.write(local_time, Kind::NODE_STATUS, key, &value, actions);
        });
        self.record_write(now, node, key, &value);
        fits
    }

    /// Tells the checker the stamp under which the table holds the value.
    fn record_write(&mut self, now: f64, node: NodeId, number: u64, value: &[u8]) {
        let node_state = &self.nodes[node];
        let Some(fleet) = &node_state.fleet else { return };
        let key = Key { owner: fleet.me(), kind: Kind::NODE_STATUS, key: number };
        let written =
            fleet.read(node_state.local_time(now), Kind::NODE_STATUS).find(|reading| reading.key == key);
        let stamp = written.filter(|reading| reading.value == value).map(|r| (r.incarnation, r.version));
        stamp.into_iter().for_each(|stamp| self.checker.record_write(now, node, key, stamp, value));
    }

    /// Stops the nodes' own writes, for tests that wait until all tables are equal.
    pub fn stop_writing(&mut self) {
        self.settings.writes.0 = 0.0;
    }

    // Limits.

    /// Sets the limits for processes that start from now on.
    pub fn set_limits(&mut self, terms: LimitTerms) {
        self.terms = Some(terms);
    }

    pub fn members(&self) -> &[Id] {
        &self.members
    }

    /// From now on the node requests `demand` uses of the limits per second.
    pub fn set_demand(&mut self, now: f64, node: NodeId, demand: f64) {
        let was_idle = std::mem::replace(&mut self.nodes[node].demand, demand) <= 0.0;
        if was_idle {
            self.schedule_use(now, node);
        }
    }

    fn schedule_use(&mut self, now: f64, node: NodeId) {
        let (demand, process) = (self.nodes[node].demand, self.nodes[node].process);
        if demand > 0.0 && process > 0 {
            let after = -(1.0 - self.rng.random::<f64>()).ln() / demand;
            self.queue.push(now + after, Event::Use(node, process));
        }
    }

    fn request_use(&mut self, now: f64, node: NodeId) {
        let node_state = &mut self.nodes[node];
        let local_time = node_state.local_time(now);
        if node_state.stalled.is_some() {
            return;
        }
        let (Some(rights), Some(terms)) = (&mut node_state.rights, &self.terms) else { return };
        // Takes the limits in turn; the checker only checks a single limit.
        let limit = terms.limits[self.wanted as usize % terms.limits.len()];
        self.wanted += 1;
        if rights.take(local_time, limit.id, 1.0) {
            self.had += 1;
            if terms.limits.len() == 1 {
                self.checker.record_use(now, node, 1.0, limit.bound(), limit.window);
            }
        }
    }

    fn send_to_members(&mut self, now: f64, node: NodeId, messages: Vec<(Id, Vec<u8>)>) {
        for (to, bytes) in messages {
            self.with_fleet(now, node, |fleet, local_time, actions| {
                fleet.send_message(local_time, to, Kind::RIGHTS, bytes, actions)
            });
        }
    }

    fn advance_rights(&mut self, now: f64, node: NodeId) {
        let SimNode { fleet: Some(fleet), rights: Some(rights), rate, offset, .. } = &mut self.nodes[node]
        else {
            return;
        };
        let mut messages = Vec::new();
        let gone = |id| matches!(fleet.state(id), Some(State::Dead | State::Left));
        rights.advance(*offset + *rate * now, gone, &mut messages);
        self.send_to_members(now, node, messages);
    }

    fn deliver(&mut self, now: f64, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        let node_state = &mut self.nodes[to];
        match &mut node_state.stalled {
            Some(buffered) if buffered.len() < SOCKET_BUFFER => buffered.push((from, bytes)),
            Some(_) => {}
            None => self.receive(now, from, to, &bytes),
        }
    }

    fn receive(&mut self, now: f64, from: NodeId, to: NodeId, bytes: &[u8]) {
        self.with_fleet(now, to, |fleet, local_time, actions| {
            fleet.handle_datagram(local_time, addr(from), bytes, actions)
        });
    }

    fn tick(&mut self, now: f64, node: NodeId) {
        if self.nodes[node].stalled.is_some() {
            return; // `resume` runs the next tick.
        }
        self.with_fleet(now, node, |fleet, local_time, actions| fleet.advance(local_time, actions));
        self.advance_rights(now, node);
        let node_state = &self.nodes[node];
        if let Some(fleet) = &node_state.fleet {
            let due = ((fleet.next_due() - node_state.offset) / node_state.rate).max(now + 1e-6);
            self.queue.push(due, Event::Tick(node, node_state.process));
        }
    }

    /// Runs `act` on the node's fleet instance, if it is up, and carries out the actions it returns.
    fn with_fleet(&mut self, now: f64, node: NodeId, act: impl FnOnce(&mut Fleet, f64, &mut Vec<Action>)) {
        let mut actions = std::mem::take(&mut self.actions);
        let node_state = &mut self.nodes[node];
        let local_time = node_state.local_time(now);
        if let Some(fleet) = &mut node_state.fleet {
            act(fleet, local_time, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { to, bytes } => self.send(now, node, to, bytes),
                Action::Event(FleetEvent::Member { id, to, .. }) => {
                    self.record_state_change(now, node, id, to)
                }
                Action::Event(_) => {}
                Action::Message { from, mark, bytes, .. } => {
                    let (node_state, mut messages) = (&mut self.nodes[node], Vec::new());
                    let local_time = node_state.local_time(now);
                    node_state
                        .rights
                        .iter_mut()
                        .for_each(|r| r.handle_message(local_time, from, mark, &bytes, &mut messages));
                    self.send_to_members(now, node, messages);
                }
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, now: f64, from: NodeId, to: SocketAddr, bytes: Vec<u8>) {
        let SocketAddr::V4(v4) = to else { return };
        let [_, _, high, low] = v4.ip().octets();
        let to = usize::from(high) << 8 | usize::from(low);
        if to < self.nodes.len() {
            for (after, bytes) in self.links.transmit(now, from, to, bytes) {
                self.queue.push(now + after, Event::Arrival(from, to, bytes));
            }
        }
    }

    fn record_state_change(&mut self, now: f64, by: NodeId, id: Id, to: State) {
        let Some(&of) = self.ids.get(&id) else { return };
        let healthy =
            self.nodes[of].is_running() && !self.links.is_cut(now, of, by) && !self.links.is_cut(now, by, of);
        let false_death = to == State::Dead && healthy;
        self.state_changes.push(StateChange { at: now, by, of, to, false_death });
    }

    fn check(&mut self, now: f64, node: NodeId) {
        let node_state = &self.nodes[node];
        if let Some(fleet) = node_state.fleet.as_ref().filter(|_| node_state.stalled.is_none()) {
            self.checker.check(now, node_state.local_time(now), node, fleet, &self.members);
        }
    }

    // Queries.

    pub fn fleet(&self, node: NodeId) -> Option<&Fleet> {
        self.nodes[node].fleet.as_ref()
    }

    /// The state of member `of` in the table of node `by`.
    pub fn state(&self, by: NodeId, of: NodeId) -> Option<State> {
        self.fleet(by)?.state(self.members[of])
    }

    pub fn figures(&self, now: f64, node: NodeId) -> Option<Figures> {
        let node_state = &self.nodes[node];
        node_state.fleet.as_ref().map(|fleet| fleet.figures(node_state.local_time(now)))
    }

    /// Whether all running processes have equal tables.
    pub fn agree_on_table(&self) -> bool {
        let mut checksums =
            self.nodes.iter().filter(|s| s.is_running()).filter_map(|s| s.fleet.as_ref()).map(Fleet::sum);
        let first = checksums.next();
        checksums.all(|checksum| Some(checksum) == first)
    }

    /// Runs until the condition holds, checked every 10 ms; returns the time, or none if it does not hold by `latest`.
    pub fn run_until_true(
        &mut self,
        now: f64,
        latest: f64,
        condition: impl Fn(&FleetSimulation) -> bool,
    ) -> Option<f64> {
        let mut at = now;
        while at <= latest {
            self.run_until(at);
            if condition(self) {
                return Some(at);
            }
            at += 0.01;
        }
        None
    }
}
