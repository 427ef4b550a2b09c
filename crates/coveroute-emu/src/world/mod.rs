//! The simulated environment of the nodes (clients, workers, discovery, network and faults) as one
//! deterministic state machine. A host delivers its messages to the nodes and theirs to it, in virtual time
//! or over sockets; the world itself keeps no clock.
pub mod clients;
pub mod discovery;
pub mod invariants;
pub mod worker;

use std::collections::VecDeque;

use coveroute::types::{Loss, Report, Standing};
use coveroute_engine::{Host, Listing};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::queue::Queue;
use crate::scenario::{Fault, FaultKind, FaultScope, Scenario};
use clients::{AskId, Clients, End, NextStep, Service};
use discovery::Discovery;
use invariants::{Breach, FinalAnswer, InvariantChecker, Proof};
use worker::{Arrival, FaultDraw, JobAction, Liveness, Worker, WorkerMessage};

pub type NodeId = usize;
pub type WorkerId = usize;
/// Number of a try. Variables and fields are called `tri`, since `try` is a reserved word.
pub type TryId = u32;

/// A uniform draw in [0, 1) that depends only on the seed, the try and the purpose, never on the order of
/// events.
pub fn uniform_draw(seed: u64, tri: TryId, purpose: u64) -> f64 {
    Pcg64Mcg::seed_from_u64(seed ^ (u64::from(tri) << 20) ^ (purpose << 56)).random()
}

/// A message or command from the world to a node, which the host delivers.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A client's request arrives.
    Submit {
        node: NodeId,
        tri: TryId,
    },
    /// The client closes its connection.
    Leave {
        node: NodeId,
        tri: TryId,
    },
    /// A worker acknowledges the job.
    Ack {
        node: NodeId,
        worker: WorkerId,
        tri: TryId,
    },
    /// The worker rejects the job, or answers at once that it failed (`failed`).
    Reject {
        node: NodeId,
        worker: WorkerId,
        tri: TryId,
        failed: bool,
        report: Report,
    },
    /// The connection broke while the node still waited for an answer to the job.
    Reset {
        node: NodeId,
        worker: WorkerId,
        tri: TryId,
    },
    News {
        node: NodeId,
        worker: WorkerId,
        tri: TryId,
        word: JobUpdate,
        report: Report,
    },
    /// A watch is established; every change up to this version has been sent.
    Begun {
        node: NodeId,
        watch: u64,
        version: u64,
    },
    Listed {
        node: NodeId,
        watch: u64,
        listing: Listing,
    },
    Lost {
        node: NodeId,
        watch: u64,
        loss: Loss,
    },
    Node {
        node: NodeId,
        command: NodeCommand,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobUpdate {
    Started,
    Running,
    Done,
    Returned,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeCommand {
    Start,
    Kill,
    Stop,
    Reload,
    Retune,
    Replace,
    /// Suspends the process and resumes it.
    Stall,
    Wake,
    /// Starts the process with its clock set back.
    StartBack,
}

/// The fate of a message between a node and a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    /// Delivered after this many seconds.
    Arrives(f64),
    /// The connection is refused, which the sender learns after this many seconds.
    Refused(f64),
    /// The message is lost without any error.
    Cut,
    /// The connection breaks before the last byte arrives, or after it.
    BreaksBefore(f64),
    BreaksAfter(f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Arrival(usize),
    Attempt(AskId),
    Deadline(TryId),
    Leave(TryId),
    Worker(WorkerId, u64),
    Ack(WorkerId, NodeId, TryId, u64),
    News(WorkerId, NodeId, TryId, JobUpdate),
    SendList(NodeId),
    /// Answers a call for the watch of this number; true refuses it.
    WatchAnswer(NodeId, u64, bool),
    AssumeTold(WorkerId, u64, bool),
    FaultBegins(usize),
    FaultEnds(usize),
    Drain(WorkerId),
    StopDrained(WorkerId),
    Restart(WorkerId),
    SetRotation(NodeId, bool, u64),
    NodeCommand(NodeId, NodeCommand),
    Prune,
}

/// A node as seen from outside.
#[derive(Clone, Debug)]
pub struct NodeState {
    pub zone: String,
    /// Its process exists.
    pub alive: bool,
    /// The front end sends clients to it.
    pub in_rotation: bool,
    rotation_change: u64,
    start: StartPhase,
}

/// A change to a worker's entry that every node is taken to know since `at`.
#[derive(Clone, Copy, Debug)]
struct AssumedTold {
    at: f64,
    wanted: bool,
    started: f64,
}

/// How far a node's process has come since its start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StartPhase {
    Loading,
    /// It has called discovery since this time and has had no answer.
    AwaitingDiscovery(f64),
    Following,
}

/// Event counts of a run, apart from the service figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    pub tries: u64,
    pub forwards: u64,
    pub second_copies: u64,
    /// Non-idempotent operations that ran more than once, also when the client itself repeated them.
    pub duplicates: u64,
    pub falls: u64,
    /// The largest load sent to a cold worker within a span, relative to its overload limit; above 1 it
    /// failed.
    pub cold_most: f64,
    /// Work done by cold workers, in seconds of a standard core.
    pub cold_work: f64,
    pub probes: u64,
    pub watches: u64,
}

pub struct World {
    pub scenario: Scenario,
    pub seed: u64,
    pub workers: Vec<Worker>,
    pub clients: Clients,
    pub list: Discovery,
    pub invariants: InvariantChecker,
    pub nodes: Vec<NodeState>,
    pub counts: Counts,
    /// Forwards that arrived at each worker.
    pub forwards: Vec<u64>,
    /// The list that each node last received, which its next process starts with.
    last_lists: Vec<Listing>,
    /// By worker: the change that every node is taken to know, including nodes that start later.
    assumed_told: Vec<Option<AssumedTold>>,
    /// When each node process started, and how long after that discovery answered it.
    follows: Vec<(f64, f64)>,
    events: Queue<Event>,
    generations: Vec<u64>,
    /// By fault: the workers or nodes that it affects now.
    fault_targets: Vec<Vec<usize>>,
    draw: Pcg64Mcg,
    messages: VecDeque<(WorkerId, WorkerMessage)>,
    surge: f64,
    heavy: f64,
    latency: f64,
    resets: (f64, f64),
    partitions: Vec<String>,
    start_delay: f64,
}

/// The name of worker `worker` in the list and in its news.
pub fn name(worker: WorkerId) -> String {
    format!("w-{worker:04}")
}

/// A try's id on the wire. It includes the seed, so that two runs against the same node use different ids.
pub fn call(seed: u64, tri: TryId) -> String {
    format!("{:06x}-{tri:08x}", seed & 0xff_ffff)
}

pub fn tri_of(call: &str) -> Option<TryId> {
    TryId::from_str_radix(call.split_once('-')?.1, 16).ok()
}

impl World {
    /// `addr` gives the listening address of a worker.
    pub fn new(scenario: Scenario, seed: u64, addr: impl Fn(WorkerId) -> std::net::SocketAddr) -> Self {
        let (cold, platform) = ((&scenario.platform.cold, clients::mean_work(&scenario)), &scenario.platform);
        let mut workers = Vec::new();
        for spec in &scenario.workers {
            for at in 0..spec.count.0 {
                let cell = (at % spec.cells.0) as i64;
                workers.push(Worker::new(spec, cell, cold, platform.progress.0, platform.tells_start));
            }
        }
        let host = |(at, worker): (usize, &Worker)| Host {
            id: name(at),
            addr: Some(addr(at)),
            zone: worker.spec.zone.clone(),
            kind: worker.spec.kind.clone(),
            cell: worker.cell,
            started: 0.0,
            size: 1.0,
            standing: Standing::Ready,
        };
        let zones =
            if scenario.nodes.zones.is_empty() { scenario.zones() } else { scenario.nodes.zones.clone() };
        let seen = |at: usize| NodeState {
            zone: zones[at % zones.len()].clone(),
            alive: false,
            in_rotation: false,
            rotation_change: 0,
            start: StartPhase::Following,
        };
        let nodes: Vec<NodeState> = (0..scenario.nodes.count.0).map(seen).collect();
        let places = workers.iter().map(|w| (w.spec.zone.clone(), w.cell)).collect();
        let invariants = InvariantChecker::new(nodes.len(), places, platform.slack.0, platform.grace.0);
        let list = Discovery::new(workers.iter().enumerate().map(host).collect(), nodes.len());
        let mut world = World {
            clients: Clients::new(&scenario, seed),
            last_lists: vec![list.full_list(); nodes.len()],
            assumed_told: vec![None; workers.len()],
            follows: Vec::new(),
            generations: vec![0; workers.len()],
            fault_targets: vec![Vec::new(); scenario.faults.len()],
            draw: Pcg64Mcg::seed_from_u64(seed ^ 0xfa17),
            events: Queue::new(),
            messages: VecDeque::new(),
            counts: Counts::default(),
            forwards: vec![0; workers.len()],
            surge: 1.0,
            heavy: 1.0,
            latency: 0.0,
            resets: (0.0, 0.0),
            partitions: Vec::new(),
            start_delay: 0.0,
            scenario,
            seed,
            workers,
            list,
            invariants,
            nodes,
        };
        for op in 0..world.scenario.operations.len() {
            let first = world.clients.next(&world.scenario, 0.0, op);
            first.into_iter().for_each(|at| world.schedule(at, Event::Arrival(op)));
        }
        for at in 0..world.scenario.faults.len() {
            let fault = &world.scenario.faults[at];
            let (begins, ends) = (fault.at.0, fault.until());
            world.schedule(begins, Event::FaultBegins(at));
            if ends.is_finite() {
                world.schedule(ends, Event::FaultEnds(at));
            }
        }
        world.schedule(PRUNE_INTERVAL, Event::Prune);
        world
    }

    /// Postpones every scheduled event and the scenario's times by `by` seconds. Called before the first
    /// event, so that the time until the nodes are ready doesn't count towards the scenario.
    pub fn delay(&mut self, by: f64) {
        self.events.delay(by);
        self.scenario.seconds.0 += by;
        self.scenario.faults.iter_mut().for_each(|fault| fault.at.0 += by);
        self.start_delay = by;
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.events.push(at, event);
    }

    pub fn next_due(&self) -> Option<f64> {
        self.events.next_at()
    }

    /// Whether every request has ended and no more will arrive.
    pub fn is_over(&self, now: f64) -> bool {
        now >= self.scenario.seconds.0 && self.clients.open == 0
    }

    /// The time by which every client has given up.
    pub fn end(&self) -> f64 {
        let longest = self.scenario.operations.iter().map(|op| op.timeout.0).fold(0.0, f64::max);
        self.scenario.seconds.0 + longest + 1.0
    }

    pub fn advance(&mut self, now: f64, out: &mut Vec<Output>) {
        while self.events.next_at().is_some_and(|at| at <= now) {
            let Some((at, event)) = self.events.pop() else { return };
            // The next arrival is drawn from the time when this one was due: a late host must not lower the
            // arrival rate.
            let now = if matches!(event, Event::Arrival(_)) { at } else { now };
            self.handle_event(now, event, out);
            self.dispatch_messages(now, out);
        }
    }

    fn handle_event(&mut self, now: f64, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Arrival(op) => self.arrival(now, op, out),
            Event::Attempt(ask) => self.attempt(now, ask, out),
            Event::Deadline(tri) => self.deadline(now, tri, out),
            Event::Leave(tri) => self.leave(tri, out),
            Event::Worker(worker, generation) if generation == self.generations[worker] => {
                self.advance_worker(now, worker)
            }
            Event::Worker(..) => {}
            Event::Ack(worker, node, tri, process) => self.ack(worker, node, tri, process, out),
            Event::News(worker, node, tri, word) => self.news(now, worker, node, tri, word, out),
            Event::SendList(node) => self.send_list(now, node, out),
            Event::WatchAnswer(node, watch, refused) => self.answer_watch(now, node, watch, refused, out),
            Event::AssumeTold(worker, version, again) => self.assume_told(now, worker, version, again),
            Event::FaultBegins(fault) => self.begin_fault(now, fault, out),
            Event::FaultEnds(fault) => self.end_fault(now, fault, out),
            Event::Drain(worker) => self.drain(now, worker),
            Event::StopDrained(worker) => self.stop_drained(now, worker),
            Event::Restart(worker) => self.restart(now, worker),
            Event::SetRotation(node, in_rotation, turn) if turn == self.nodes[node].rotation_change => {
                self.nodes[node].in_rotation = in_rotation;
            }
            Event::SetRotation(..) => {}
            Event::NodeCommand(node, command) => out.push(Output::Node { node, command }),
            Event::Prune => {
                self.invariants.prune(now);
                self.schedule(now + PRUNE_INTERVAL, Event::Prune);
            }
        }
    }

    // Clients

    fn arrival(&mut self, now: f64, op: usize, out: &mut Vec<Output>) {
        let next = self.clients.next(&self.scenario, now, op);
        next.into_iter().for_each(|at| self.schedule(at, Event::Arrival(op)));
        let ask = self.clients.ask(&self.scenario, now, op, self.surge, self.heavy);
        ask.into_iter().for_each(|ask| self.attempt(now, ask, out));
    }

    fn attempt(&mut self, now: f64, ask: AskId, out: &mut Vec<Output>) {
        let in_rotation: Vec<NodeId> =
            (0..self.nodes.len()).filter(|&node| self.nodes[node].in_rotation).collect();
        let asked = &self.clients.asks[ask];
        if asked.done {
            return;
        }
        let deadline = asked.created_at + self.scenario.operations[asked.op].timeout.0;
        let draw = uniform_draw(self.seed, ask as TryId, 2 + 8 * (asked.tries + asked.refused) as u64);
        let Some(&node) = in_rotation.get((draw * in_rotation.len() as f64) as usize) else {
            // The front end has no node to send it to.
            return if now + NO_NODE_RETRY < deadline {
                self.schedule(now + NO_NODE_RETRY, Event::Attempt(ask));
            } else {
                self.clients.end(&self.scenario, self.start_delay, ask, End::Failed);
            };
        };
        let Some(tri) = self.clients.attempt(&self.scenario, now, ask, node) else {
            return self.clients.end(&self.scenario, self.start_delay, ask, End::Failed);
        };
        self.counts.tries += 1;
        self.schedule(deadline + self.scenario.platform.slack.0 + 0.01, Event::Deadline(tri));
        if uniform_draw(self.seed, ask as TryId, 3) < self.scenario.clients.leave.0 {
            self.schedule(now + 0.5 * uniform_draw(self.seed, tri, 4) * (deadline - now), Event::Leave(tri));
        }
        out.push(Output::Submit { node, tri });
    }

    /// A node has received a try's request: its last byte was written to the node.
    pub fn taken(&mut self, now: f64, tri: TryId) {
        let clients::Try { node, deadline, .. } = self.clients.tries[tri as usize];
        let terms = clients::operation_terms(&self.scenario, self.clients.ask_of(tri).op);
        self.invariants.taken(now, tri, node, terms, deadline);
    }

    /// The connection to the node failed, or broke before the request was written.
    pub fn refused(&mut self, now: f64, tri: TryId) {
        let (ask, was_over) = self.close_try(tri);
        if was_over {
            return;
        }
        let asked = &mut self.clients.asks[ask];
        (asked.tries, asked.refused) = (asked.tries - 1, asked.refused + 1);
        self.schedule(now + REDIAL_DELAY, Event::Attempt(ask));
    }

    /// Marks a try as over. Returns its ask, and whether the try was over before.
    fn close_try(&mut self, tri: TryId) -> (AskId, bool) {
        let tried = &mut self.clients.tries[tri as usize];
        (tried.ask, std::mem::replace(&mut tried.over, true))
    }

    /// The client has received the node's complete answer.
    pub fn answered(&mut self, now: f64, tri: TryId, answer: FinalAnswer, pause: f64) {
        self.invariants.answered(now, tri, answer);
        self.try_ended(now, tri, Some(answer), pause);
    }

    /// The connection broke before a complete answer arrived.
    pub fn connection_lost(&mut self, now: f64, tri: TryId) {
        if self.nodes[self.clients.tries[tri as usize].node].alive {
            self.invariants.dropped(now, tri);
        }
        self.invariants.waive_answer(tri);
        self.try_ended(now, tri, None, 0.0);
    }

    fn try_ended(&mut self, now: f64, tri: TryId, answer: Option<FinalAnswer>, pause: f64) {
        let (ask, was_over) = self.close_try(tri);
        if was_over {
            return;
        }
        match self.clients.next_step(&self.scenario, self.seed, now, tri, answer, pause) {
            NextStep::Over(end) => self.clients.end(&self.scenario, self.start_delay, ask, end),
            NextStep::Again { at } => self.schedule(at, Event::Attempt(ask)),
        }
    }

    fn deadline(&mut self, now: f64, tri: TryId, out: &mut Vec<Output>) {
        let (ask, was_over) = self.close_try(tri);
        if was_over {
            return;
        }
        self.invariants.expired(now, tri);
        self.clients.end(&self.scenario, self.start_delay, ask, End::Failed);
        out.push(Output::Leave { node: self.clients.tries[tri as usize].node, tri });
    }

    fn leave(&mut self, tri: TryId, out: &mut Vec<Output>) {
        let (ask, was_over) = self.close_try(tri);
        if was_over {
            return;
        }
        self.invariants.waive_answer(tri);
        self.clients.end(&self.scenario, self.start_delay, ask, End::Left);
        out.push(Output::Leave { node: self.clients.tries[tri as usize].node, tri });
    }

    // Workers

    /// Draws the fate of message `nth` of a try, sent now from a node to a worker.
    pub fn delivery(&self, node: NodeId, worker: WorkerId, tri: TryId, nth: usize) -> Delivery {
        let (from, to) = (&self.nodes[node].zone, &self.workers[worker].spec.zone);
        let cut = |zone: &String| (zone == from) != (zone == to);
        if self.workers[worker].life == Liveness::Vanished || self.partitions.iter().any(cut) {
            return Delivery::Cut;
        }
        let base =
            if from == to { self.scenario.network.latency.0 } else { self.scenario.network.crossing.0 };
        let spread = uniform_draw(self.seed, tri, 5 + 8 * nth as u64);
        let takes = base * (0.75 + 0.5 * spread) + self.latency;
        if self.workers[worker].life == Liveness::Down {
            return Delivery::Refused(2.0 * takes);
        }
        let breaks = uniform_draw(self.seed, tri, 6 + 8 * nth as u64);
        match self.resets {
            (before, _) if breaks < before => Delivery::BreaksBefore(takes),
            (before, after) if breaks < before + after => Delivery::BreaksAfter(takes),
            _ => Delivery::Arrives(takes),
        }
    }

    /// A job's last byte has arrived at a worker; the node sent it at `sent`.
    pub fn job(
        &mut self,
        now: f64,
        node: NodeId,
        worker: WorkerId,
        tri: TryId,
        sent: f64,
        out: &mut Vec<Output>,
    ) {
        self.counts.forwards += 1;
        self.forwards[worker] += 1;
        self.invariants.forwarded(tri, node, worker, sent);
        let Some(work) = self.clients.tries.get(tri as usize).map(|_| self.clients.ask_of(tri).work) else {
            return;
        };
        let memory = self.scenario.operations[self.clients.ask_of(tri).op].memory.0;
        let informed = self.invariants.informed(node, worker, self.workers[worker].started);
        let fate = uniform_draw(self.seed, tri, 7 + 8 * worker as u64);
        let (mut messages, target) = (Vec::new(), &mut self.workers[worker]);
        if matches!(target.life, Liveness::Down | Liveness::Vanished) {
            return out.push(Output::Reset { node, worker, tri });
        }
        let fall = target.arrive(
            now,
            Arrival { tri, node, work, memory, informed },
            FaultDraw { fate },
            &mut messages,
        );
        self.queue_messages(worker, messages);
        if let Some(fall) = fall {
            self.counts.falls += 1;
            self.invariants.worker_overloaded(now, node, worker, fall);
            out.push(Output::Reset { node, worker, tri });
            self.stop_worker(now, worker, Liveness::Down);
        }
        self.schedule_worker(now, worker);
        self.dispatch_messages(now, out);
    }

    /// A node cancels a job, by a request or by closing the connection on which it waited.
    pub fn give_up(&mut self, now: f64, node: NodeId, worker: WorkerId, tri: TryId, out: &mut Vec<Output>) {
        let mut messages = Vec::new();
        self.workers[worker].give_up(now, tri, node, &mut messages);
        self.queue_messages(worker, messages);
        self.schedule_worker(now, worker);
        self.dispatch_messages(now, out);
    }

    /// A probe has arrived; returns the worker's answer, if it gives one.
    pub fn probe(&mut self, now: f64, worker: WorkerId) -> Option<(bool, Report)> {
        self.counts.probes += 1;
        let target = &self.workers[worker];
        target
            .answers_probes()
            .then(|| (target.life == Liveness::Up, target.report(now, self.scenario.platform.report_age.0)))
    }

    fn advance_worker(&mut self, now: f64, worker: WorkerId) {
        let mut messages = Vec::new();
        self.workers[worker].advance(now, &mut messages);
        self.queue_messages(worker, messages);
        self.schedule_worker(now, worker);
    }

    /// Schedules the worker's next event and invalidates the one scheduled before.
    fn schedule_worker(&mut self, now: f64, worker: WorkerId) {
        self.generations[worker] += 1;
        let generation = self.generations[worker];
        let next = self.workers[worker].next(now);
        next.into_iter().for_each(|at| self.schedule(at, Event::Worker(worker, generation)));
    }

    fn queue_messages(&mut self, worker: WorkerId, messages: Vec<WorkerMessage>) {
        self.messages.extend(messages.into_iter().map(|messages| (worker, messages)));
    }

    /// Delivers the messages that workers have queued, applying late and duplicate news.
    fn dispatch_messages(&mut self, now: f64, out: &mut Vec<Output>) {
        while let Some((worker, WorkerMessage { tri, node, action })) = self.messages.pop_front() {
            let report = self.workers[worker].report(now, self.scenario.platform.report_age.0);
            let word = match action {
                JobAction::Acks { after } => {
                    let process = self.workers[worker].started.to_bits();
                    self.schedule(now + after, Event::Ack(worker, node, tri, process));
                    continue;
                }
                JobAction::Rejects | JobAction::Fails => {
                    out.push(Output::Reject {
                        node,
                        worker,
                        tri,
                        failed: action == JobAction::Fails,
                        report,
                    });
                    continue;
                }
                JobAction::Ran => {
                    self.record_effect(tri);
                    continue;
                }
                JobAction::Started => JobUpdate::Started,
                JobAction::Running => JobUpdate::Running,
                JobAction::Done => JobUpdate::Done,
                JobAction::GivesBack => JobUpdate::Returned,
                JobAction::Lost => {
                    out.push(Output::Reset { node, worker, tri });
                    JobUpdate::Lost
                }
            };
            let faults = &self.workers[worker].faults;
            let (late, doubled) = (faults.late_news, faults.doubled_news);
            if late > 0.0 {
                self.schedule(
                    now + late * uniform_draw(self.seed, tri, 8),
                    Event::News(worker, node, tri, word),
                );
            } else {
                out.push(Output::News { node, worker, tri, word, report });
            }
            if doubled {
                self.schedule(now + late + DUPLICATE_DELAY, Event::News(worker, node, tri, word));
            }
        }
    }

    fn record_effect(&mut self, tri: TryId) {
        self.invariants.ran(tri);
        let ask = self.clients.tries[tri as usize].ask;
        let asked = &mut self.clients.asks[ask];
        asked.effects += 1;
        let once = self.scenario.operations[asked.op].effect == crate::scenario::Effect::NonIdempotent;
        self.counts.duplicates += u64::from(once && asked.effects > 1);
    }

    fn ack(&mut self, worker: WorkerId, node: NodeId, tri: TryId, process: u64, out: &mut Vec<Output>) {
        let target = &self.workers[worker];
        let same =
            target.started.to_bits() == process && matches!(target.life, Liveness::Up | Liveness::Draining);
        if same && !target.faults.silent && !target.faults.paused {
            out.push(Output::Ack { node, worker, tri });
        }
    }

    fn news(
        &mut self,
        now: f64,
        worker: WorkerId,
        node: NodeId,
        tri: TryId,
        word: JobUpdate,
        out: &mut Vec<Output>,
    ) {
        if self.workers[worker].life != Liveness::Vanished {
            let report = self.workers[worker].report(now, self.scenario.platform.report_age.0);
            out.push(Output::News { node, worker, tri, word, report });
        }
    }

    fn stop_worker(&mut self, now: f64, worker: WorkerId, life: Liveness) {
        let mut messages = Vec::new();
        self.workers[worker].end(now, life, &mut messages);
        self.queue_messages(worker, messages);
        self.schedule_worker(now, worker);
        self.change_standing(now, worker, Standing::Gone);
    }

    fn drain(&mut self, now: f64, worker: WorkerId) {
        if self.workers[worker].life == Liveness::Up {
            self.workers[worker].drain();
            self.change_standing(now, worker, Standing::Draining);
            self.schedule(now + self.scenario.discovery.drains.0, Event::StopDrained(worker));
        }
    }

    fn stop_drained(&mut self, now: f64, worker: WorkerId) {
        if self.workers[worker].life == Liveness::Draining {
            self.stop_worker(now, worker, Liveness::Down);
        }
    }

    fn restart(&mut self, now: f64, worker: WorkerId) {
        if matches!(self.workers[worker].life, Liveness::Down | Liveness::Vanished) {
            self.workers[worker].start(now);
            self.schedule_worker(now, worker);
            self.change_standing(now, worker, Standing::Ready);
        }
    }

    // Discovery

    fn change_standing(&mut self, now: f64, worker: WorkerId, standing: Standing) {
        let version = self.list.change(worker, standing, self.workers[worker].started);
        self.schedule_list_updates(now);
        self.schedule(
            now + self.scenario.platform.told_latest.0,
            Event::AssumeTold(worker, version, self.list.is_healthy()),
        );
    }

    /// Schedules an update to each watch, with a lag drawn for each.
    fn schedule_list_updates(&mut self, now: f64) {
        let (lag, late) = (self.scenario.discovery.lag.0, self.list.late);
        for node in 0..self.nodes.len() {
            let spread: f64 = self.draw.random();
            self.schedule(now + lag * (1.0 + spread) + late, Event::SendList(node));
        }
    }

    fn send_list(&mut self, now: f64, node: NodeId, out: &mut Vec<Output>) {
        let limits = &self.scenario.discovery;
        let later = self.list.busy_until(now).filter(|_| self.list.watched(node));
        if let Some(later) = later {
            return self.schedule(later, Event::SendList(node));
        }
        let update = self.list.pending_update(node);
        let lines = update.as_ref().map_or(0, |(_, listing)| listing.hosts.len());
        self.list.occupy(now, lines as f64, limits);
        out.extend(update.map(|(watch, listing)| Output::Listed { node, watch, listing }));
    }

    /// Takes a change as known to every node once the longest allowed delay has passed, unless discovery was
    /// degraded meanwhile.
    fn assume_told(&mut self, now: f64, worker: WorkerId, version: u64, healthy: bool) {
        let (standing, started, current) = self.list.entry(worker);
        let since = now - self.scenario.platform.told_latest.0;
        if !healthy || !self.list.is_healthy() || self.list.last_degraded >= since || current != version {
            return;
        }
        let wanted = standing == Standing::Ready;
        self.assumed_told[worker] = Some(AssumedTold { at: now, wanted, started });
        for node in (0..self.nodes.len()).filter(|&node| self.nodes[node].alive) {
            self.invariants.announce(now, node, worker, wanted, started);
        }
    }

    /// A starting node is taken to know what was assumed known while it was down, except for workers of
    /// which its own list already has a later process.
    fn assume_told_at_start(&mut self, node: NodeId) {
        for (worker, assumed_told) in self.assumed_told.iter().enumerate() {
            let Some(AssumedTold { at, wanted, started }) = *assumed_told else { continue };
            if !self.invariants.knows_later_start(node, worker, started) {
                self.invariants.announce(at, node, worker, wanted, started);
            }
        }
    }

    /// A node asks for a watch; discovery answers when it is no longer busy.
    pub fn watch(&mut self, now: f64, node: NodeId, watch: u64, version: u64, out: &mut Vec<Output>) {
        self.counts.watches += 1;
        let (at, refused) = self.list.request_watch(now, node, (watch, version), &self.scenario.discovery);
        if at > now {
            return self.schedule(at, Event::WatchAnswer(node, watch, refused));
        }
        self.answer_watch(now, node, watch, refused, out);
    }

    fn answer_watch(&mut self, now: f64, node: NodeId, watch: u64, refused: bool, out: &mut Vec<Output>) {
        // The node has ended since, or has asked again.
        let Some((watch, version)) = self.list.take_waiting(node, watch) else { return };
        match self.list.watch(node, watch, version).filter(|_| !refused) {
            None => {
                self.list.unwatch(node);
                let waited = Loss::Waited(self.scenario.discovery.patience.0);
                let loss = if refused { waited } else { Loss::Closed };
                out.push(Output::Lost { node, watch, loss });
            }
            Some(listing) => {
                if let StartPhase::AwaitingDiscovery(since) =
                    std::mem::replace(&mut self.nodes[node].start, StartPhase::Following)
                {
                    self.follows.push((since, now - since));
                }
                let version = listing.as_ref().map_or(version, |listing| listing.version);
                out.extend(listing.map(|listing| Output::Listed { node, watch, listing }));
                out.push(Output::Begun { node, watch, version });
            }
        }
    }

    /// A list or an update has been written to a node.
    pub fn listed(&mut self, now: f64, node: NodeId, listing: &Listing) {
        let number = |host: &Host| host.id.strip_prefix("w-").and_then(|id| id.parse::<usize>().ok());
        let hosts: Vec<(usize, &Host)> = listing.hosts.iter().filter_map(|h| Some((number(h)?, h))).collect();
        if listing.full {
            let named: Vec<usize> = hosts.iter().map(|host| host.0).collect();
            let unlisted = (0..self.workers.len()).filter(|worker| !named.contains(worker));
            unlisted.for_each(|worker| self.invariants.announce(now, node, worker, false, f64::NEG_INFINITY));
        }
        for (worker, host) in hosts {
            self.invariants.announce(now, node, worker, host.standing == Standing::Ready, host.started);
        }
        self.last_lists[node] = self.list.full_list();
        let start = &mut self.nodes[node].start;
        if *start == StartPhase::Loading {
            *start = StartPhase::AwaitingDiscovery(now);
        }
    }

    /// The list that a starting node begins with.
    pub fn known_list(&self, node: NodeId) -> Listing {
        match self.scenario.discovery.known {
            true => self.last_lists[node].clone(),
            false => Listing::default(),
        }
    }

    // Nodes

    /// A node's process starts, with the list that it last had.
    pub fn node_started(&mut self, now: f64, node: NodeId, known: &Listing) {
        let seen = &mut self.nodes[node];
        (seen.alive, seen.start) = (true, StartPhase::Loading);
        self.listed(now, node, &Listing { full: false, ..known.clone() });
        self.assume_told_at_start(node);
    }

    /// The node reports that it is ready: the front end takes it into rotation.
    pub fn node_ready(&mut self, node: NodeId) {
        let seen = &mut self.nodes[node];
        (seen.rotation_change, seen.in_rotation) = (seen.rotation_change + 1, true);
    }

    pub fn node_gone(&mut self, now: f64, node: NodeId) {
        self.invariants.node_died(node);
        self.list.unwatch(node);
        let seen = &mut self.nodes[node];
        (seen.alive, seen.rotation_change) = (false, seen.rotation_change + 1);
        let turn = seen.rotation_change;
        self.schedule(now + self.scenario.clients.notices.0, Event::SetRotation(node, false, turn));
    }

    /// The node was asked to stop: after a short delay the front end sends it no new clients.
    pub fn node_stopping(&mut self, now: f64, node: NodeId) {
        let turn = self.nodes[node].rotation_change;
        self.schedule(now + STOP_NOTICE_DELAY, Event::SetRotation(node, false, turn));
    }

    // Faults

    fn targets(&mut self, fault: &Fault) -> Vec<usize> {
        let fits = |zone: &String, kind: Option<&String>| {
            fault.zone.as_ref().is_none_or(|wanted| wanted == zone)
                && fault.kind.as_ref().is_none_or(|wanted| Some(wanted) == kind)
        };
        let mut fit: Vec<usize> = match fault.what.scope() {
            FaultScope::Workers => {
                let fits = |w: &Worker| fits(&w.spec.zone, Some(&w.spec.kind));
                (0..self.workers.len()).filter(|&at| fits(&self.workers[at])).collect()
            }
            FaultScope::Nodes => (0..self.nodes.len())
                .filter(|&at| fault.zone.as_ref().is_none_or(|z| *z == self.nodes[at].zone))
                .collect(),
            FaultScope::Network | FaultScope::List | FaultScope::Clients | FaultScope::Links => Vec::new(),
        };
        if let Some(count) = fault.count {
            fit.shuffle(&mut self.draw);
            fit.truncate(count.0);
            fit.sort_unstable();
        }
        fit
    }

    fn begin_fault(&mut self, now: f64, at: usize, out: &mut Vec<Output>) {
        let fault = self.scenario.faults[at].clone();
        let targets = self.targets(&fault);
        self.fault_targets[at] = targets.clone();
        let spread = if fault.lasts.0 > 0.0 { fault.lasts.0 / targets.len().max(1) as f64 } else { 0.0 };
        for (nth, target) in targets.into_iter().enumerate() {
            match fault.what {
                FaultKind::Dies => self.stop_worker(now, target, Liveness::Down),
                FaultKind::Vanishes => self.stop_worker(now, target, Liveness::Vanished),
                FaultKind::Drains => self.drain(now, target),
                FaultKind::Release => {
                    let (drained, begun) = (self.scenario.discovery.drains.0, now + nth as f64 * spread);
                    self.schedule(begun, Event::Drain(target));
                    self.schedule(begun + drained + RESTART_DELAY, Event::Restart(target));
                }
                FaultKind::NodesKilled => self.schedule(now, Event::NodeCommand(target, NodeCommand::Kill)),
                FaultKind::NodesStop => self.schedule(now, Event::NodeCommand(target, NodeCommand::Stop)),
                FaultKind::NodesReload => self.schedule(now, Event::NodeCommand(target, NodeCommand::Reload)),
                FaultKind::NodesRetune => self.schedule(now, Event::NodeCommand(target, NodeCommand::Retune)),
                FaultKind::NodesReplace => {
                    self.schedule(now, Event::NodeCommand(target, NodeCommand::Replace))
                }
                FaultKind::NodesSetBack => self.schedule(now, Event::NodeCommand(target, NodeCommand::Kill)),
                FaultKind::NodesStall => self.schedule(now, Event::NodeCommand(target, NodeCommand::Stall)),
                _ => self.update_worker_faults(now, target),
            }
        }
        self.update_global_faults(now);
        match fault.what {
            FaultKind::ListDown => {
                self.list.down = true;
                for node in 0..self.nodes.len() {
                    let lost = self.list.unwatch(node);
                    out.extend(lost.map(|watch| Output::Lost { node, watch, loss: Loss::Closed }));
                }
            }
            FaultKind::ListEmpty => {
                self.list.set_empty(true);
                self.schedule_list_updates(now);
            }
            _ => {}
        }
    }

    fn end_fault(&mut self, now: f64, at: usize, out: &mut Vec<Output>) {
        let fault = self.scenario.faults[at].clone();
        let targets = std::mem::take(&mut self.fault_targets[at]);
        for target in targets {
            match fault.what {
                FaultKind::Dies | FaultKind::Drains => self.schedule(now, Event::Restart(target)),
                FaultKind::Vanishes => {
                    // The machine is back: connections that were open there are reset.
                    out.extend((0..self.nodes.len()).map(|node| Output::Reset {
                        node,
                        worker: target,
                        tri: TryId::MAX,
                    }));
                    self.schedule(now, Event::Restart(target));
                }
                FaultKind::SilentThenDies => {
                    self.update_worker_faults(now, target);
                    self.stop_worker(now, target, Liveness::Down);
                    self.schedule(now + RESTART_DELAY, Event::Restart(target));
                }
                FaultKind::NodesKilled | FaultKind::NodesStop => {
                    self.schedule(now, Event::NodeCommand(target, NodeCommand::Start))
                }
                FaultKind::NodesSetBack => {
                    self.schedule(now, Event::NodeCommand(target, NodeCommand::StartBack))
                }
                FaultKind::NodesStall => self.schedule(now, Event::NodeCommand(target, NodeCommand::Wake)),
                FaultKind::Release
                | FaultKind::NodesReload
                | FaultKind::NodesRetune
                | FaultKind::NodesReplace => {}
                _ => self.update_worker_faults(now, target),
            }
        }
        self.update_global_faults(now);
        if fault.what == FaultKind::ListEmpty {
            self.list.set_empty(false);
        }
        if fault.what.scope() == FaultScope::List {
            self.schedule_list_updates(now);
        }
    }

    /// The greatest strength among the faults of a kind that are active now.
    fn strongest(&self, now: f64, what: FaultKind, target: Option<usize>) -> Option<f64> {
        let is_active = |(at, fault): &(usize, &Fault)| {
            fault.what == what
                && (fault.at.0..fault.until()).contains(&now)
                && target.is_none_or(|target| self.fault_targets[*at].contains(&target))
        };
        let faults = self.scenario.faults.iter().enumerate().filter(is_active);
        faults.map(|(_, fault)| fault.strength()).reduce(f64::max)
    }

    /// Recomputes a worker's faults from all that are active now.
    fn update_worker_faults(&mut self, now: f64, worker: WorkerId) {
        let by = |what| self.strongest(now, what, Some(worker));
        let faults = worker::ActiveFaults {
            silent: by(FaultKind::Silent).or(by(FaultKind::SilentThenDies)).is_some(),
            paused: by(FaultKind::Pause).is_some(),
            stolen: by(FaultKind::Stolen).unwrap_or(0.0),
            errors: by(FaultKind::Errors).unwrap_or(0.0),
            loses: by(FaultKind::Loses).unwrap_or(0.0),
            gives_back: by(FaultKind::GivesBack).unwrap_or(0.0),
            late_news: by(FaultKind::LateNews).unwrap_or(0.0),
            doubled_news: by(FaultKind::DoubledNews).is_some(),
            slow_acks: by(FaultKind::SlowAcks).unwrap_or(0.0),
            old_reports: by(FaultKind::OldReports).unwrap_or(0.0),
            connections: by(FaultKind::Connections).map(|most| most as usize),
        };
        let (mut messages, target) = (Vec::new(), &mut self.workers[worker]);
        target.steal(now, faults.stolen);
        let (silent, paused) = (faults.silent, faults.paused);
        let (was_silent, was_paused) = (target.faults.silent, target.faults.paused);
        target.faults = worker::ActiveFaults { silent: was_silent, paused: was_paused, ..faults };
        if silent != was_silent {
            target.set_silent(silent, &mut messages);
        }
        if paused != was_paused {
            target.set_paused(now, paused, &mut messages);
        }
        self.queue_messages(worker, messages);
        self.schedule_worker(now, worker);
    }

    /// Recomputes the faults that affect clients, the network and discovery as a whole.
    fn update_global_faults(&mut self, now: f64) {
        let by = |what| self.strongest(now, what, None);
        let (surge, heavy) = (by(FaultKind::Surge).unwrap_or(1.0), by(FaultKind::Heavy).unwrap_or(1.0));
        let latency = by(FaultKind::Latency).unwrap_or(0.0);
        let resets = (by(FaultKind::ResetsBefore).unwrap_or(0.0), by(FaultKind::ResetsAfter).unwrap_or(0.0));
        let (down, stale) = (by(FaultKind::ListDown).is_some(), by(FaultKind::ListStale).is_some());
        let late = by(FaultKind::ListLate).unwrap_or(0.0);
        let cut = |f: &&Fault| f.what == FaultKind::Partition && (f.at.0..f.until()).contains(&now);
        self.partitions = self.scenario.faults.iter().filter(cut).filter_map(|f| f.zone.clone()).collect();
        (self.surge, self.heavy, self.latency, self.resets) = (surge, heavy, latency, resets);
        if !self.list.is_healthy() {
            self.list.last_degraded = now;
        }
        (self.list.down, self.list.stale, self.list.late) = (down, stale, late);
        if !self.list.is_healthy() {
            self.list.last_degraded = now;
        }
    }

    // Results

    pub fn result(&mut self) -> Outcome {
        for ask in 0..self.clients.asks.len() {
            self.clients.end(&self.scenario, self.start_delay, ask, End::Failed);
        }
        self.counts.second_copies = self.invariants.second_copies;
        self.counts.watches = self.list.calls;
        self.counts.cold_most = self.workers.iter().map(|w| w.cold_load.most).fold(0.0, f64::max);
        self.counts.cold_work = self.workers.iter().map(|w| w.cold_load.work).sum();
        Outcome {
            service: self.clients.service.clone(),
            counts: self.counts,
            broken: self.invariants.broken,
            breaches: self.invariants.breaches.clone(),
            follows: std::mem::take(&mut self.follows),
        }
    }

    /// A forward's outcome has reached its node.
    pub fn outcome(&mut self, now: f64, tri: TryId, worker: WorkerId, never_ran: bool) {
        let proof = if never_ran { Proof::NeverRan } else { Proof::MayHaveRun };
        self.invariants.outcome(now, tri, worker, proof);
    }
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    pub service: Service,
    pub counts: Counts,
    pub broken: u64,
    pub breaches: Vec<Breach>,
    /// When each node process started, and how long after that discovery answered its call.
    #[serde(skip)]
    pub follows: Vec<(f64, f64)>,
}

impl Outcome {
    pub fn figure(&self) -> f64 {
        self.service.whole.service()
    }
}

const PRUNE_INTERVAL: f64 = 10.0;
/// Delay before a client tries again when no node is in rotation.
const NO_NODE_RETRY: f64 = 0.1;
/// Delay before a client tries another node after a refused connection.
const REDIAL_DELAY: f64 = 0.02;
/// For this long the front end still sends new clients to a node that was asked to stop.
const STOP_NOTICE_DELAY: f64 = 0.3;
/// Delay before an ended process starts again.
const RESTART_DELAY: f64 = 1.0;
/// Delay before duplicated news is sent a second time.
const DUPLICATE_DELAY: f64 = 0.05;
