//! Virtual time: several engines and one world on a single event queue. The same scenario and seed reproduce
//! the same run, event for event.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use coveroute::node::Node;
use coveroute::reconfigure::OperationMapping;
use coveroute::types::{
    Budget, ExecutorIndex, InvocationId, Outcome as Ended, PeerMessageKind, Report, Settings,
};
use coveroute_engine::{
    Action, Answer, Call, Decisions, Engine, Event, JobReport, JobStatus, Listing, Phase, Reply, WatchEvent,
};
use coveroute_shared::mark;

use crate::baseline::{Baseline, Choice, OracleView, Violation};
use crate::fleet::simulation::FleetSimulation;
use crate::queue::Queue;
use crate::report::Sample;
use crate::scenario::{FaultKind, Scenario};
use crate::settings;
use crate::sink::Sink;
use crate::world::invariants::FinalAnswer;
use crate::world::worker::Liveness;
use crate::world::{
    call, name, tri_of, Delivery, JobUpdate, NodeCommand, NodeId, Outcome, Output, TryId, WorkerId, World,
};

/// The engines' clock at the scenario's start. It is far from zero because a start time of zero means "long
/// ago".
pub const CLOCK_BASE: f64 = 1e6;

/// The policy that decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Node,
    Baseline(Choice),
    /// A policy that breaks a rule on purpose, to show that the checker detects it.
    Violation(Violation),
}

impl Policy {
    pub fn name(self) -> &'static str {
        match self {
            Policy::Node => "coveroute",
            Policy::Violation(_) => "wrong",
            Policy::Baseline(choice) => choice.name(),
        }
    }

    pub fn named(name: &str) -> Option<Policy> {
        let all = Choice::ALL.map(Policy::Baseline).into_iter().chain([Policy::Node]);
        all.into_iter().find(|policy| policy.name() == name)
    }
}

/// The decision logic of one engine.
enum DecisionLogic {
    Node(Box<Node>),
    Baseline(Box<Baseline>),
}

impl Decisions for DecisionLogic {
    fn handle(&mut self, now: f64, input: coveroute::types::Input, out: &mut Vec<coveroute::types::Output>) {
        match self {
            DecisionLogic::Node(node) => Decisions::handle(node.as_mut(), now, input, out),
            DecisionLogic::Baseline(baseline) => baseline.handle(now, input, out),
        }
    }

    fn apply_settings(
        &mut self,
        settings: Settings,
        mappings: &[OperationMapping],
        tenants: &[Option<usize>],
    ) {
        match self {
            DecisionLogic::Node(node) => {
                Decisions::apply_settings(node.as_mut(), settings, mappings, tenants)
            }
            DecisionLogic::Baseline(baseline) => baseline.apply_settings(settings, mappings, tenants),
        }
    }

    fn uses_operation(&self, operation: usize) -> bool {
        match self {
            DecisionLogic::Node(node) => Decisions::uses_operation(node.as_ref(), operation),
            DecisionLogic::Baseline(baseline) => baseline.uses_operation(operation),
        }
    }

    fn set_process_share(&mut self, factor: f64, budget: Option<Budget>) {
        match self {
            DecisionLogic::Node(node) => Decisions::set_process_share(node.as_mut(), factor, budget),
            DecisionLogic::Baseline(baseline) => baseline.set_process_share(factor, budget),
        }
    }

    fn untrusted_count(&self, now: f64) -> usize {
        match self {
            DecisionLogic::Node(node) => Decisions::untrusted_count(node.as_ref(), now),
            DecisionLogic::Baseline(baseline) => baseline.untrusted_count(now),
        }
    }
}

/// An event in transit. Recorded runs contain its Debug form, so that names of variants and fields are part
/// of the record format.
#[derive(Clone, Debug)]
enum HostEvent {
    Submit(TryId),
    Leave(TryId),
    /// A job's last byte arrives at a worker; `breaks` tells whether the connection then breaks.
    Job {
        tri: TryId,
        worker: WorkerId,
        forward: usize,
        sent: f64,
        breaks: bool,
    },
    Replied {
        tri: TryId,
        worker: WorkerId,
        forward: usize,
        reply: Reply,
    },
    Patience {
        tri: TryId,
        worker: WorkerId,
        forward: usize,
        last: bool,
    },
    News {
        tri: TryId,
        worker: WorkerId,
        word: JobUpdate,
        report: Report,
        tries: u32,
    },
    GiveUp {
        tri: TryId,
        worker: WorkerId,
    },
    Probe {
        worker: WorkerId,
        tgt: ExecutorIndex,
        asked: u64,
    },
    Probed {
        tgt: ExecutorIndex,
        asked: u64,
        outcome: Ended,
        report: Report,
    },
    Follow {
        watch: u64,
        version: u64,
    },
    Watched {
        watch: u64,
        watched: WatchEvent,
    },
    Heard {
        from: NodeId,
        told: PeerMessageKind,
        mark: u32,
        count: u8,
    },
    Answered {
        tri: TryId,
        answer: FinalAnswer,
        pause: f64,
    },
    Wake,
}

impl HostEvent {
    /// Whether a node's process has to handle the event; the others are on their way elsewhere.
    fn needs_process(&self) -> bool {
        !matches!(
            self,
            HostEvent::Job { .. }
                | HostEvent::GiveUp { .. }
                | HostEvent::Probe { .. }
                | HostEvent::Follow { .. }
                | HostEvent::Answered { .. }
        )
    }
}

/// An event, the node that it is for or from, and that node's process at the time.
struct Queued {
    node: NodeId,
    process: u64,
    ev: HostEvent,
}

/// A forward that waits for its worker's first answer.
#[derive(Clone, Copy, Debug)]
struct PendingForward {
    id: InvocationId,
    forward: usize,
}

/// Connections of a node to a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Connections {
    open: usize,
    in_use: usize,
}

struct NodeHost {
    engine: Engine<DecisionLogic>,
    /// Number of the process: events for an earlier process are dropped.
    process: u64,
    wake: f64,
    invocations: BTreeMap<InvocationId, TryId>,
    next_id: InvocationId,
    pending: BTreeMap<(TryId, WorkerId), PendingForward>,
    connections: BTreeMap<WorkerId, Connections>,
    /// Outstanding probes, by number.
    probes: BTreeMap<u64, WorkerId>,
    served: bool,
}

/// Execution statistics of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct RunStats {
    pub events: u64,
    pub seconds: f64,
    pub wall: f64,
}

pub struct Run<'a> {
    world: World,
    hosts: Vec<Option<NodeHost>>,
    /// Events held for paused nodes.
    paused: Vec<Option<Vec<Queued>>>,
    /// The fleet, where nodes know each other.
    fleet: Option<FleetSimulation>,
    queue: Queue<Queued>,
    policy: Policy,
    oracle: Option<OracleView>,
    oracle_updated: f64,
    actions: Vec<Action>,
    events: u64,
    processes: u64,
    asked: u64,
    sink: Option<&'a mut dyn Sink>,
    samples: Option<&'a mut Vec<Sample>>,
    fault: Option<String>,
}

/// Delay before a worker sends its news again, and how many tries it makes.
const NEWS_RETRY_DELAY: f64 = 0.2;
const MAX_NEWS_TRIES: u32 = 10;
/// Nodes start at this time, and the first clients come when all are ready.
const START_TIME: f64 = 0.0;

/// The nominal address of a worker; nothing listens there.
fn addr(worker: WorkerId) -> std::net::SocketAddr {
    ([127, 100, (worker >> 8) as u8, worker as u8], 9000).into()
}

/// Runs a scenario to its end.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    policy: Policy,
    sink: Option<&mut dyn Sink>,
) -> Result<(Outcome, RunStats), String> {
    run_inner(scenario, seed, policy, sink, None)
}

/// Runs the node's policy and samples the state every second.
pub fn run_sampled(
    scenario: &Scenario,
    seed: u64,
    samples: &mut Vec<Sample>,
) -> Result<(Outcome, RunStats), String> {
    run_inner(scenario, seed, Policy::Node, None, Some(samples))
}

fn run_inner<'a>(
    scenario: &Scenario,
    seed: u64,
    policy: Policy,
    sink: Option<&'a mut dyn Sink>,
    samples: Option<&'a mut Vec<Sample>>,
) -> Result<(Outcome, RunStats), String> {
    if scenario.faults.iter().any(|fault| fault.what == FaultKind::NodesReplace) {
        return Err("nodes-replace is supported on loopback only: use --loopback".into());
    }
    let began = std::time::Instant::now();
    let world = World::new(scenario.clone(), seed, addr);
    let oracle: Option<OracleView> =
        (policy == Policy::Baseline(Choice::Oracle)).then(|| Rc::new(RefCell::new(BTreeMap::new())));
    let nodes = scenario.nodes.count.0;
    let zones: Vec<String> = world.nodes.iter().map(|node| node.zone.clone()).collect();
    let fleet = scenario.fleet.as_ref().map(|_| FleetSimulation::new(scenario, seed, &zones));
    let mut run = Run {
        world,
        hosts: (0..nodes).map(|_| None).collect(),
        paused: (0..nodes).map(|_| None).collect(),
        fleet,
        queue: Queue::new(),
        policy,
        oracle,
        oracle_updated: -1.0,
        actions: Vec::new(),
        events: 0,
        processes: 0,
        asked: 0,
        sink,
        samples,
        fault: None,
    };
    for node in 0..nodes {
        run.start(START_TIME, node);
    }
    let now = run.run_to_end();
    if let Some(fault) = run.fault {
        return Err(fault);
    }
    let wall = began.elapsed().as_secs_f64();
    for (message, simulation) in run.fleet.iter().flat_map(|f| f.checker.breaches.iter().map(move |w| (w, f)))
    {
        run.world.invariants.fleet_breach(message.clone(), simulation.checker.broken);
    }
    Ok((run.world.result(), RunStats { events: run.events, seconds: now, wall }))
}

impl Run<'_> {
    fn run_to_end(&mut self) -> f64 {
        let (mut now, end) = (0.0, self.world.end());
        let (mut outputs, mut next_sample) = (Vec::new(), 0.0);
        while now < end && !self.world.is_over(now) && self.fault.is_none() {
            if self.samples.is_some() && now >= next_sample {
                next_sample = now.floor() + 1.0;
                self.sample(now);
            }
            let host_due = self.queue.next_at();
            let world_due = self.world.next_due();
            if let Some(at) = self.fleet.as_ref().and_then(FleetSimulation::next_due) {
                if [host_due, world_due].into_iter().flatten().all(|other| at < other) {
                    now = at;
                    self.fleet.iter_mut().for_each(FleetSimulation::advance);
                    continue;
                }
            }
            match (host_due, world_due) {
                (Some(at), world_due) if world_due.is_none_or(|world_due| at <= world_due) => {
                    now = at;
                    let Some((_, queued)) = self.queue.pop() else { break };
                    self.deliver(now, queued);
                }
                (_, Some(at)) => {
                    now = at;
                    self.events += 1;
                    self.world.advance(now, &mut outputs);
                    self.deliver_outputs(now, &mut outputs);
                }
                (_, None) => break,
            }
        }
        now
    }

    fn sample(&mut self, now: f64) {
        let workers = &self.world.workers;
        let mut beta = vec![0.0; workers.len()];
        let all_decisions = self.hosts.iter().flatten().map(|host| host.engine.decisions());
        let nodes = self.hosts.iter().flatten().count().max(1) as f64;
        let number: BTreeMap<u32, WorkerId> = (0..workers.len()).map(|at| (mark(&name(at)), at)).collect();
        for decisions in all_decisions {
            if let DecisionLogic::Node(node) = decisions {
                for (mark, share) in node.shares() {
                    number.get(&mark).into_iter().for_each(|&at| beta[at] += share / nodes);
                }
            }
        }
        let (held, forwards) = (workers.iter().map(|w| w.held()).collect(), self.world.forwards.clone());
        let sample = Sample { at: now, held, forwards, beta };
        self.samples.iter_mut().for_each(|samples| samples.push(sample.clone()));
    }

    fn schedule(&mut self, at: f64, node: NodeId, ev: HostEvent) {
        let process = self.hosts[node].as_ref().map_or(0, |host| host.process);
        self.queue.push(at, Queued { node, process, ev });
    }

    fn decisions(&self, setup: &coveroute_engine::Setup) -> DecisionLogic {
        match self.policy {
            Policy::Node => DecisionLogic::Node(Box::new(Node::new(setup.settings.clone(), setup.seed))),
            Policy::Violation(violation) => DecisionLogic::Baseline(Box::new(Baseline::violation(
                setup.settings.clone(),
                setup.seed,
                violation,
            ))),
            Policy::Baseline(choice) => {
                let baseline = Baseline::new(setup.settings.clone(), setup.seed, choice, self.oracle.clone());
                DecisionLogic::Baseline(Box::new(baseline))
            }
        }
    }

    fn start(&mut self, now: f64, node: NodeId) {
        if self.hosts[node].is_some() {
            return;
        }
        self.processes += 1;
        let (zone, known) = (self.world.nodes[node].zone.clone(), self.world.known_list(node));
        let seed = self.world.seed.wrapping_mul(7919).wrapping_add(self.processes);
        // A node is taken to know its initial list and every change that is old enough.
        self.world.node_started(now, node, &known);
        let setup = match settings::setup(&self.world.scenario, node, &zone, seed, on_engine_clock(known)) {
            Ok(setup) => setup,
            Err(message) => return self.fault = Some(message),
        };
        let (decisions, mut actions) = (self.decisions(&setup), Vec::new());
        let engine = Engine::with_decisions(CLOCK_BASE + now, decisions, setup, &mut actions);
        let (invocations, pending, connections, probes) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (process, wake) = (self.processes, f64::INFINITY);
        self.fleet.iter_mut().for_each(|fleet| fleet.start(now, node, false));
        self.hosts[node] = Some(NodeHost {
            engine,
            process,
            wake,
            invocations,
            next_id: 0,
            pending,
            connections,
            probes,
            served: false,
        });
        self.actions = actions;
        self.carry_out(now, node);
    }

    /// Ends a node's process: its connections are reset and its state is lost.
    fn end(&mut self, now: f64, node: NodeId) {
        let Some(host) = self.hosts[node].take() else { return };
        self.paused[node] = None;
        self.fleet.iter_mut().for_each(|fleet| fleet.kill(node));
        self.world.node_gone(now, node);
        let mut outputs = Vec::new();
        for (tri, worker) in host.pending.keys() {
            self.world.give_up(now, node, *worker, *tri, &mut outputs);
        }
        for tri in host.invocations.values() {
            self.world.connection_lost(now, *tri);
        }
        self.deliver_outputs(now, &mut outputs);
    }

    fn execute_command(&mut self, now: f64, node: NodeId, command: NodeCommand) {
        if matches!(command, NodeCommand::Stop | NodeCommand::Stall | NodeCommand::Wake)
            && self.hosts[node].is_some()
        {
            self.fleet.iter_mut().for_each(|fleet| fleet.execute_command(now, node, command));
        }
        match command {
            NodeCommand::Start => self.start(now, node),
            NodeCommand::StartBack => {
                // Only its part in the fleet uses the clock that was set back.
                self.fleet.iter_mut().for_each(|fleet| fleet.execute_command(now, node, command));
                self.start(now, node);
            }
            NodeCommand::Stall if self.hosts[node].is_some() && self.paused[node].is_none() => {
                self.paused[node] = Some(Vec::new());
                self.world.invariants.pause_node(now, node);
            }
            NodeCommand::Stall => {}
            NodeCommand::Wake => {
                for queued in self.paused[node].take().unwrap_or_default() {
                    self.deliver(now, queued);
                }
                self.wake(now, node);
                self.world.invariants.resume_node(now, node);
            }
            NodeCommand::Kill => self.end(now, node),
            NodeCommand::Stop if self.hosts[node].is_some() => {
                self.world.node_stopping(now, node);
                self.notify(now, node, Event::Stop);
            }
            NodeCommand::Stop => {}
            NodeCommand::Reload => {
                self.notify(now, node, Event::Reloaded { settings: None, list_source_changed: true })
            }
            NodeCommand::Retune => {
                let world = &self.world;
                let tuning = settings::tuning(&world.scenario, node, &world.nodes[node].zone, true);
                self.notify(now, node, Event::ReloadFailed); // The truncated file.
                if let Ok(tuning) = tuning {
                    self.notify(
                        now,
                        node,
                        Event::Reloaded { settings: Some(Box::new(tuning)), list_source_changed: false },
                    );
                }
            }
            // Rejected before the run starts.
            NodeCommand::Replace => {}
        }
    }

    /// Delivers the world's outputs to the nodes.
    fn deliver_outputs(&mut self, now: f64, outputs: &mut Vec<Output>) {
        while !outputs.is_empty() {
            for out in std::mem::take(outputs) {
                self.deliver_output(now, out, outputs);
            }
        }
    }

    fn deliver_output(&mut self, now: f64, out: Output, outputs: &mut Vec<Output>) {
        let at = now + self.world.scenario.network.latency.0;
        match out {
            Output::Submit { node, tri } => {
                self.schedule(at, node, HostEvent::Submit(tri));
            }
            Output::Leave { node, tri } => {
                self.schedule(at, node, HostEvent::Leave(tri));
            }
            Output::Ack { node, worker, tri } => self.reply(now, node, worker, tri, Reply::Taken),
            Output::Reject { node, worker, tri, failed, report } => {
                let outcome = if failed { Ended::Errored } else { Ended::Full };
                self.reply(now, node, worker, tri, Reply::Ended(outcome, report));
            }
            Output::Reset { node, worker, tri: TryId::MAX } => {
                let of = |host: &NodeHost| {
                    host.pending.keys().filter(|key| key.1 == worker).map(|key| key.0).collect()
                };
                let waiting: Vec<TryId> = self.hosts[node].as_ref().map(of).unwrap_or_default();
                outputs.extend(waiting.into_iter().map(|tri| Output::Reset { node, worker, tri }));
            }
            Output::Reset { node, worker, tri } => {
                self.reply(now, node, worker, tri, Reply::Ended(Ended::Reset, Report::default()));
            }
            Output::News { node, worker, tri, word, report } => {
                self.news(now, node, HostEvent::News { tri, worker, word, report, tries: 0 });
            }
            Output::Begun { node, watch, .. } => {
                self.schedule(at, node, HostEvent::Watched { watch, watched: WatchEvent::Established });
            }
            Output::Listed { node, watch, listing } => {
                self.schedule(at, node, HostEvent::Watched { watch, watched: WatchEvent::Listed(listing) });
            }
            Output::Lost { node, watch, loss } => {
                self.schedule(at, node, HostEvent::Watched { watch, watched: WatchEvent::Lost(loss) });
            }
            Output::Node { node, command } => self.execute_command(now, node, command),
        }
    }

    /// Sends back an answer to a forward that still waits for one.
    fn reply(&mut self, now: f64, node: NodeId, worker: WorkerId, tri: TryId, reply: Reply) {
        let pending = self.hosts[node].as_ref().and_then(|host| host.pending.get(&(tri, worker))).copied();
        let Some(PendingForward { forward, .. }) = pending else { return };
        match self.world.delivery(node, worker, tri, 100 + forward) {
            Delivery::Cut => {}
            // Once the connection is up, breaks are drawn on the way to the worker only.
            Delivery::Arrives(takes)
            | Delivery::Refused(takes)
            | Delivery::BreaksBefore(takes)
            | Delivery::BreaksAfter(takes) => {
                self.schedule(now + takes, node, HostEvent::Replied { tri, worker, forward, reply });
            }
        }
    }

    fn news(&mut self, now: f64, node: NodeId, ev: HostEvent) {
        let HostEvent::News { tri, worker, tries, .. } = &ev else { return };
        if self.world.workers[*worker].life == Liveness::Vanished {
            return;
        }
        match self.world.delivery(node, *worker, *tri, 200 + *tries as usize) {
            Delivery::Arrives(takes) | Delivery::Refused(takes) => self.schedule(now + takes, node, ev),
            Delivery::Cut | Delivery::BreaksBefore(_) | Delivery::BreaksAfter(_) => {
                self.retry_news(now, node, ev)
            }
        }
    }

    fn retry_news(&mut self, now: f64, node: NodeId, ev: HostEvent) {
        let HostEvent::News { tri, worker, word, report, tries } = ev else { return };
        if tries + 1 < MAX_NEWS_TRIES {
            let again = HostEvent::News { tri, worker, word, report, tries: tries + 1 };
            self.schedule(now + NEWS_RETRY_DELAY, node, again);
        }
    }

    fn deliver(&mut self, now: f64, queued: Queued) {
        if let Some(held) = self.paused[queued.node].as_mut().filter(|_| queued.ev.needs_process()) {
            return held.push(queued);
        }
        let Queued { node, process, ev } = queued;
        let here = self.hosts[node].as_ref().is_some_and(|host| host.process == process);
        if let Some(sink) = self.sink.as_deref_mut().filter(|_| !matches!(ev, HostEvent::Wake)) {
            sink.event(now, node, &format!("{ev:?}"));
        }
        self.events += 1;
        let mut outputs = Vec::new();
        match ev {
            HostEvent::Submit(tri) if self.hosts[node].is_some() => self.submit(now, node, tri),
            HostEvent::Submit(tri) => self.world.refused(now, tri),
            // A job that has left its node arrives whatever becomes of the node.
            HostEvent::Job { tri, worker, forward, sent, breaks } => {
                let pending =
                    self.hosts[node].as_ref().filter(|_| here).and_then(|h| h.pending.get(&(tri, worker)));
                // A connection closed meanwhile delivers no job.
                if pending.is_some_and(|pending| pending.forward == forward) || !here {
                    self.world.job(now, node, worker, tri, sent, &mut outputs);
                    if breaks {
                        let reply = Reply::Ended(Ended::Reset, Report::default());
                        self.schedule(now, node, HostEvent::Replied { tri, worker, forward, reply });
                    }
                }
            }
            HostEvent::GiveUp { tri, worker } => self.world.give_up(now, node, worker, tri, &mut outputs),
            HostEvent::Probe { worker, tgt, asked } if here => self.probe(now, node, worker, tgt, asked),
            HostEvent::Answered { tri, answer, pause } => self.world.answered(now, tri, answer, pause),
            HostEvent::News { tri, worker, word, report, .. } if self.hosts[node].is_some() => {
                self.deliver_news(now, node, tri, worker, word, report);
            }
            ev @ HostEvent::News { .. } => self.retry_news(now, node, ev),
            _ if !here => {}
            HostEvent::Leave(tri) => self.leave(now, node, tri),
            HostEvent::Replied { tri, worker, forward, reply } => {
                self.replied(now, node, tri, worker, forward, reply)
            }
            HostEvent::Patience { tri, worker, forward, last } => {
                self.ack_timeout(now, node, tri, worker, forward, last)
            }
            HostEvent::Probed { tgt, asked, outcome, report } => {
                let worker = self.hosts[node].as_mut().and_then(|host| host.probes.remove(&asked));
                if let Some(worker) = worker {
                    self.return_connection(node, worker);
                    self.notify(now, node, Event::Probed(tgt, outcome, report));
                }
            }
            HostEvent::Follow { watch, version } => self.world.watch(now, node, watch, version, &mut outputs),
            HostEvent::Watched { watch, watched } => {
                if let WatchEvent::Listed(listing) = &watched {
                    self.world.listed(now, node, listing);
                }
                let watched = match watched {
                    WatchEvent::Listed(listing) => WatchEvent::Listed(on_engine_clock(listing)),
                    other => other,
                };
                self.notify(now, node, Event::Watch(watch, watched));
            }
            HostEvent::Heard { from, told, mark, count } => {
                self.notify(now, node, Event::PeerMessage { from, kind: told, mark, count });
            }
            HostEvent::Wake => self.wake(now, node),
            HostEvent::Probe { .. } => {}
        }
        self.deliver_outputs(now, &mut outputs);
    }

    fn wake(&mut self, now: f64, node: NodeId) {
        let Some(host) = self.hosts[node].as_mut().filter(|host| host.wake <= now) else { return };
        host.wake = f64::INFINITY;
        let mut actions = std::mem::take(&mut self.actions);
        host.engine.advance(CLOCK_BASE + now, &mut actions);
        self.actions = actions;
        self.carry_out(now, node);
    }

    fn submit(&mut self, now: f64, node: NodeId, tri: TryId) {
        self.world.taken(now, tri);
        let Some(host) = self.hosts[node].as_mut() else { return };
        let id = host.next_id;
        host.next_id += 1;
        host.invocations.insert(id, tri);
        let ask = self.world.clients.ask_of(tri);
        let scenario = &self.world.scenario;
        let op = &scenario.operations[ask.op];
        let deadline = self.world.clients.tries[tri as usize].deadline;
        let sent = self.world.clients.tries[tri as usize].at;
        let new_call = Call {
            call_id: call(self.world.seed, tri).into(),
            class: op.name.clone(),
            caller: ask.tenant.map(|tenant| scenario.tenants[tenant].name.clone()),
            // Whole milliseconds, as in the protocol.
            budget: ((deadline - sent) * 1e3).floor() / 1e3,
            hint: ask.hint,
            memory: Some(op.memory.0).filter(|memory| *memory > 0.0),
            key: None,
            is_retry: false,
            received_at: CLOCK_BASE + now,
        };
        self.notify(now, node, Event::CallReceived(id, &new_call));
    }

    fn leave(&mut self, now: f64, node: NodeId, tri: TryId) {
        let Some(host) = self.hosts[node].as_mut() else { return };
        let id = host.invocations.iter().find(|(_, held)| **held == tri).map(|(id, _)| *id);
        if let Some(id) = id {
            host.invocations.remove(&id);
            self.notify(now, node, Event::ClientDisconnected(id));
        }
    }

    fn replied(
        &mut self,
        now: f64,
        node: NodeId,
        tri: TryId,
        worker: WorkerId,
        forward: usize,
        reply: Reply,
    ) {
        let Some(host) = self.hosts[node].as_mut() else { return };
        let Some(pending) = host.pending.get(&(tri, worker)).copied().filter(|w| w.forward == forward) else {
            return;
        };
        host.pending.remove(&(tri, worker));
        self.return_connection(node, worker);
        if let Reply::Ended(outcome, _) = reply {
            self.world.outcome(now, tri, worker, outcome.never_ran());
        }
        self.notify(now, node, Event::Replied(pending.id, forward, reply));
    }

    /// The worker has not acknowledged the job in time: the node is first notified, then gives up.
    fn ack_timeout(
        &mut self,
        now: f64,
        node: NodeId,
        tri: TryId,
        worker: WorkerId,
        forward: usize,
        last: bool,
    ) {
        let pending = self.hosts[node].as_ref().and_then(|host| host.pending.get(&(tri, worker))).copied();
        let Some(pending) = pending.filter(|pending| pending.forward == forward) else { return };
        if !last {
            return self.notify(now, node, Event::Replied(pending.id, forward, Reply::NotAcknowledged));
        }
        self.schedule(now + self.world.scenario.network.latency.0, node, HostEvent::GiveUp { tri, worker });
        let reply = Reply::Ended(Ended::TimedOut, Report::default());
        self.replied(now, node, tri, worker, forward, reply);
    }

    fn deliver_news(
        &mut self,
        now: f64,
        node: NodeId,
        tri: TryId,
        worker: WorkerId,
        word: JobUpdate,
        report: Report,
    ) {
        let done = call(self.world.seed, tri);
        let update = match word {
            JobUpdate::Started | JobUpdate::Running => JobStatus::Running,
            JobUpdate::Done => JobStatus::Succeeded(Bytes::copy_from_slice(done.as_bytes())),
            JobUpdate::Returned => JobStatus::Ended(Ended::Full),
            JobUpdate::Lost => JobStatus::Ended(Ended::Reset),
        };
        if let JobStatus::Ended(outcome) = update {
            self.world.outcome(now, tri, worker, outcome.never_ran());
        }
        let report = JobReport { call: done, from: name(worker), status: update, report };
        self.notify(now, node, Event::JobReport(report));
    }

    fn probe(&mut self, now: f64, node: NodeId, worker: WorkerId, tgt: ExecutorIndex, asked: u64) {
        let Some((up, report)) = self.world.probe(now, worker) else { return };
        let outcome = if up { Ended::Succeeded } else { Ended::Full };
        if let Delivery::Arrives(takes) = self.world.delivery(node, worker, asked as TryId, 301) {
            self.schedule(now + takes, node, HostEvent::Probed { tgt, asked, outcome, report });
        }
    }

    fn notify(&mut self, now: f64, node: NodeId, event: Event) {
        if self.oracle.is_some() && now > self.oracle_updated {
            self.oracle_updated = now;
            self.update_oracle(now);
        }
        let Some(host) = self.hosts[node].as_mut() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        host.engine.handle(CLOCK_BASE + now, event, &mut actions);
        self.actions = actions;
        self.carry_out(now, node);
    }

    /// Updates the oracle's view: when a job arriving now would start at each worker, and how fast it would
    /// run.
    fn update_oracle(&self, now: f64) {
        let Some(oracle) = &self.oracle else { return };
        let mut oracle = oracle.borrow_mut();
        for (at, worker) in self.world.workers.iter().enumerate() {
            let faults = &worker.faults;
            let serves = worker.life == Liveness::Up
                && !faults.silent
                && !faults.paused
                && faults.errors + faults.loses < 0.5;
            let capacity = worker.capacity(now) * (1.0 - faults.stolen);
            let start_delay =
                if worker.held() < worker.spec.slots.0 { 0.0 } else { worker.backlog() / capacity.max(1e-3) };
            let slots = worker.spec.slots.0 as f64;
            let pace = (capacity / (worker.held() as f64 + 1.0).min(slots)).min(worker.spec.speed.0);
            let known = (serves && worker.queued() < worker.spec.queue.0 && pace > 0.0)
                .then_some((start_delay, pace));
            oracle.insert(mark(&name(at)), known);
        }
    }

    fn carry_out(&mut self, now: f64, node: NodeId) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.perform(now, node, action);
            }
        }
        let Some(host) = self.hosts[node].as_mut() else { return };
        let phase = host.engine.phase();
        if phase.is_up() && !std::mem::replace(&mut host.served, true) {
            self.world.node_ready(node);
        }
        if phase == Phase::Ended {
            return self.end(now, node);
        }
        if phase == Phase::Closing && host.invocations.is_empty() {
            let mut actions = std::mem::take(&mut self.actions);
            host.engine.handle(CLOCK_BASE + now, Event::Idle, &mut actions);
            self.actions = actions;
        }
        let Some(host) = self.hosts[node].as_mut() else { return };
        let due = host.engine.next_due().map_or(f64::INFINITY, |due| (due - CLOCK_BASE).max(now));
        if due < host.wake {
            host.wake = due;
            self.schedule(due, node, HostEvent::Wake);
        }
    }

    fn perform(&mut self, now: f64, node: NodeId, action: Action) {
        let latency = self.world.scenario.network.latency.0;
        match action {
            Action::Send { id, forward, executor_index: tgt, .. } => self.send(now, node, id, forward, tgt),
            Action::Abort { id, forward, .. } => self.abort(now, node, id, forward),
            // A connection takes two one-way latencies here, far less than any grace period.
            Action::Recall { .. } => {}
            Action::Cancel { executor_index: tgt, call } => {
                let (worker, tri) = (self.worker(node, tgt), tri_of(&call));
                if let Some((worker, tri)) = worker.zip(tri) {
                    self.world.invariants.given_up(now, tri, worker);
                    self.schedule(now + latency, node, HostEvent::GiveUp { tri, worker });
                }
            }
            Action::Answer { id, answer } => self.answer(now, node, id, answer),
            Action::Probe(tgt) => self.send_probe(now, node, tgt),
            Action::Release(tgt) => {
                let worker = self.worker(node, tgt);
                let connections =
                    worker.and_then(|worker| self.hosts[node].as_mut()?.connections.get_mut(&worker));
                connections.into_iter().for_each(|connections| connections.open = connections.in_use);
            }
            Action::SetAddress(..) => {}
            Action::RemoveExecutor(tgt) => {
                let worker = self.worker(node, tgt);
                let host = self.hosts[node].as_mut();
                worker.zip(host).map(|(worker, host)| host.connections.remove(&worker));
            }
            Action::WatchList { watch, version } => {
                self.schedule(now + latency, node, HostEvent::Follow { watch, version })
            }
            Action::SendToPeer { to, kind: told, mark, count } => {
                if to != node && to < self.hosts.len() {
                    self.schedule(now + latency, to, HostEvent::Heard { from: node, told, mark, count });
                }
            }
        }
    }

    fn worker(&self, node: NodeId, tgt: ExecutorIndex) -> Option<WorkerId> {
        let id = self.hosts[node].as_ref()?.engine.fleet().id(tgt);
        id.strip_prefix("w-")?.parse().ok()
    }

    /// Takes a connection to the worker. Returns how long it takes to come up, or none if the node or the
    /// worker has reached its limit.
    fn lease(&mut self, node: NodeId, worker: WorkerId) -> Option<f64> {
        let connections = self.hosts[node].as_mut()?.connections.entry(worker).or_default();
        let idle = connections.in_use < connections.open;
        // Checked for new connections only, since the count goes over all nodes.
        if !idle && !self.may_open(node, worker) {
            return None;
        }
        let connections = self.hosts[node].as_mut()?.connections.entry(worker).or_default();
        connections.in_use += 1;
        connections.open = connections.open.max(connections.in_use);
        Some(if idle { 0.0 } else { 2.0 * self.world.scenario.network.latency.0 })
    }

    /// Whether both the node's and the worker's connection limits allow another.
    fn may_open(&self, node: NodeId, worker: WorkerId) -> bool {
        let at = |host: &NodeHost| host.connections.get(&worker).map_or(0, |connections| connections.open);
        let total: usize = self.hosts.iter().flatten().map(at).sum();
        let own =
            |host: &NodeHost| host.connections.values().map(|connections| connections.open).sum::<usize>();
        let own = self.hosts[node].as_ref().map_or(0, own);
        own < self.world.scenario.nodes.sockets.0 / 3 && total < self.world.workers[worker].connections()
    }

    fn return_connection(&mut self, node: NodeId, worker: WorkerId) {
        let connections = self.hosts[node].as_mut().and_then(|host| host.connections.get_mut(&worker));
        connections
            .into_iter()
            .for_each(|connections| connections.in_use = connections.in_use.saturating_sub(1));
    }

    fn send(&mut self, now: f64, node: NodeId, id: InvocationId, forward: usize, tgt: ExecutorIndex) {
        let worker = self.worker(node, tgt);
        let tri = self.hosts[node].as_ref().and_then(|host| host.invocations.get(&id)).copied();
        let lease = worker.and_then(|worker| self.lease(node, worker));
        let (Some(worker), Some(tri), Some(dials)) = (worker, tri, lease) else {
            let not_sent = Reply::Ended(Ended::NotWritten, Report::default());
            let Some(host) = self.hosts[node].as_mut() else { return };
            return host.engine.handle(
                CLOCK_BASE + now,
                Event::Replied(id, forward, not_sent),
                &mut self.actions,
            );
        };
        let Some(host) = self.hosts[node].as_mut() else { return };
        host.pending.insert((tri, worker), PendingForward { id, forward });
        let dial = self.world.scenario.platform.dial.0;
        let unreachable = Reply::Ended(Ended::Unreachable, Report::default());
        let delivery = self.world.delivery(node, worker, tri, forward);
        match delivery {
            Delivery::Arrives(takes) | Delivery::BreaksAfter(takes) => {
                let breaks = matches!(delivery, Delivery::BreaksAfter(_));
                let sent = now + dials;
                self.schedule(sent + takes, node, HostEvent::Job { tri, worker, forward, sent, breaks });
                self.schedule(now + dial, node, HostEvent::Patience { tri, worker, forward, last: false });
                self.schedule(
                    now + 10.0 * dial,
                    node,
                    HostEvent::Patience { tri, worker, forward, last: true },
                );
            }
            Delivery::Refused(takes) | Delivery::BreaksBefore(takes) => {
                self.schedule(
                    now + dials + takes,
                    node,
                    HostEvent::Replied { tri, worker, forward, reply: unreachable },
                );
            }
            // A new connection never comes up; on a kept one the node only sees that nothing is heard.
            Delivery::Cut if dials > 0.0 => {
                self.schedule(
                    now + dial,
                    node,
                    HostEvent::Replied { tri, worker, forward, reply: unreachable },
                );
            }
            Delivery::Cut => {
                self.schedule(now + dial, node, HostEvent::Patience { tri, worker, forward, last: false });
                self.schedule(
                    now + 10.0 * dial,
                    node,
                    HostEvent::Patience { tri, worker, forward, last: true },
                );
            }
        }
    }

    fn abort(&mut self, now: f64, node: NodeId, id: InvocationId, forward: usize) {
        let Some(host) = self.hosts[node].as_mut() else { return };
        let of = |w: &(&(TryId, WorkerId), &PendingForward)| w.1.id == id && w.1.forward == forward;
        let key = host.pending.iter().find(of).map(|(key, _)| *key);
        if let Some((tri, worker)) = key {
            host.pending.remove(&(tri, worker));
            self.return_connection(node, worker);
            self.world.invariants.given_up(now, tri, worker);
            self.schedule(
                now + self.world.scenario.network.latency.0,
                node,
                HostEvent::GiveUp { tri, worker },
            );
        }
    }

    fn answer(&mut self, now: f64, node: NodeId, id: InvocationId, answer: Answer) {
        let Some(host) = self.hosts[node].as_mut() else { return };
        let Some(tri) = host.invocations.remove(&id) else { return };
        let (final_answer, pause) = match answer {
            Answer::Succeeded(result) => {
                let right = result == call(self.world.seed, tri).as_bytes();
                (if right { FinalAnswer::Served } else { FinalAnswer::Failed }, 0.0)
            }
            Answer::Throttled { pause } => (FinalAnswer::Refused, pause),
            Answer::Errored => (FinalAnswer::Failed, 0.0),
            Answer::Rejected(_) => (FinalAnswer::Unfit, 0.0),
        };
        // The checker and the client both see the answer when it arrives, one latency later.
        self.schedule(
            now + self.world.scenario.network.latency.0,
            node,
            HostEvent::Answered { tri, answer: final_answer, pause },
        );
    }

    fn send_probe(&mut self, now: f64, node: NodeId, tgt: ExecutorIndex) {
        let worker = self.worker(node, tgt);
        let lease = worker.and_then(|worker| self.lease(node, worker));
        let (Some(worker), Some(dials)) = (worker, lease) else {
            let Some(host) = self.hosts[node].as_mut() else { return };
            let full = Event::Probed(tgt, Ended::Full, Report::default());
            return host.engine.handle(CLOCK_BASE + now, full, &mut self.actions);
        };
        self.asked += 1;
        let (asked, dial) = (self.asked, self.world.scenario.platform.dial.0);
        let Some(host) = self.hosts[node].as_mut() else { return };
        host.probes.insert(asked, worker);
        let probed = |outcome| HostEvent::Probed { tgt, asked, outcome, report: Report::default() };
        match self.world.delivery(node, worker, asked as TryId, 300) {
            Delivery::Refused(takes) => self.schedule(now + takes, node, probed(Ended::Unreachable)),
            Delivery::Cut if dials > 0.0 => self.schedule(now + dial, node, probed(Ended::Unreachable)),
            Delivery::Cut => {}
            // A probe whose connection breaks is sent again.
            Delivery::Arrives(takes) | Delivery::BreaksBefore(takes) | Delivery::BreaksAfter(takes) => {
                self.schedule(now + dials + takes, node, HostEvent::Probe { worker, tgt, asked });
            }
        }
        self.schedule(now + 2.0 * dial, node, probed(Ended::TimedOut));
    }
}

/// Converts start times to the engines' clock.
fn on_engine_clock(mut listing: Listing) -> Listing {
    for host in &mut listing.hosts {
        host.started = if host.started > 0.0 { CLOCK_BASE + host.started } else { 0.0 };
    }
    listing
}

#[cfg(test)]
mod tests;
