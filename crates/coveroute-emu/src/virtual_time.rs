//! Virtual time: many engines and one world on one queue of events. The same scenario and seed give the same run, to
//! the last event.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use coveroute::adopt::Moved;
use coveroute::node::Node;
use coveroute::types::{Budget, InvId, Outcome as Ended, Report, Settings, Tgt, Told};
use coveroute_engine::{
    Action, Answer, Call, Decide, Engine, Event, Listing, News, Phase, Reply, Watched, Word as Heard,
};
use coveroute_shared::mark;

use crate::baseline::{Baseline, Choice, Truth, Wrong};
use crate::fleet::stage::Stage;
use crate::queue::Queue;
use crate::report::Sample;
use crate::scenario::{Scenario, What};
use crate::settings;
use crate::sink::Sink;
use crate::world::referee::Final;
use crate::world::worker::Life;
use crate::world::{call, name, tri_of, NodeId, Order, Out, Outcome, TryId, Way, Word, WorkerId, World};

/// The engines' clock at the scenario's start: any time long after zero, which says "long ago".
pub const BASE: f64 = 1e6;

/// Whose decisions are played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Node,
    Baseline(Choice),
    /// One that breaks a rule, to show that it is seen.
    Wrong(Wrong),
}

impl Policy {
    pub fn name(self) -> &'static str {
        match self {
            Policy::Node => "coveroute",
            Policy::Wrong(_) => "wrong",
            Policy::Baseline(choice) => choice.name(),
        }
    }

    pub fn named(name: &str) -> Option<Policy> {
        let all = Choice::ALL.map(Policy::Baseline).into_iter().chain([Policy::Node]);
        all.into_iter().find(|policy| policy.name() == name)
    }
}

/// The decisions of one engine here.
enum Mind {
    Node(Box<Node>),
    Baseline(Box<Baseline>),
}

impl Decide for Mind {
    fn handle(&mut self, now: f64, input: coveroute::types::Input, out: &mut Vec<coveroute::types::Output>) {
        match self {
            Mind::Node(node) => Decide::handle(node.as_mut(), now, input, out),
            Mind::Baseline(baseline) => baseline.handle(now, input, out),
        }
    }

    fn adopt(&mut self, settings: Settings, moved: &[Moved], tenants: &[Option<usize>]) {
        match self {
            Mind::Node(node) => Decide::adopt(node.as_mut(), settings, moved, tenants),
            Mind::Baseline(baseline) => baseline.adopt(settings, moved, tenants),
        }
    }

    fn has(&self, operation: usize) -> bool {
        match self {
            Mind::Node(node) => Decide::has(node.as_ref(), operation),
            Mind::Baseline(baseline) => baseline.has(operation),
        }
    }

    fn share(&mut self, factor: f64, budget: Option<Budget>) {
        match self {
            Mind::Node(node) => Decide::share(node.as_mut(), factor, budget),
            Mind::Baseline(baseline) => baseline.share(factor, budget),
        }
    }

    fn avoided(&self, now: f64) -> usize {
        match self {
            Mind::Node(node) => Decide::avoided(node.as_ref(), now),
            Mind::Baseline(baseline) => baseline.avoided(now),
        }
    }
}

/// What is on its way.
#[derive(Clone, Debug)]
enum Ev {
    Submit(TryId),
    Leave(TryId),
    /// A job's last byte arrives at a worker; whether the connection then breaks.
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
        word: Word,
        report: Report,
        tries: u32,
    },
    GiveUp {
        tri: TryId,
        worker: WorkerId,
    },
    Probe {
        worker: WorkerId,
        tgt: Tgt,
        asked: u64,
    },
    Probed {
        tgt: Tgt,
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
        watched: Watched,
    },
    Heard {
        from: NodeId,
        told: Told,
        mark: u32,
        count: u8,
    },
    Answered {
        tri: TryId,
        answer: Final,
        pause: f64,
    },
    Wake,
}

impl Ev {
    /// Whether a node's process must do something about it; the rest is on its way elsewhere.
    fn is_for_the_node(&self) -> bool {
        !matches!(
            self,
            Ev::Job { .. } | Ev::GiveUp { .. } | Ev::Probe { .. } | Ev::Follow { .. } | Ev::Answered { .. }
        )
    }
}

/// An event, whose node it is for or from, and the process of it that was there then.
struct Queued {
    node: NodeId,
    process: u64,
    ev: Ev,
}

/// A forward that waits for its worker's first answer.
#[derive(Clone, Copy, Debug)]
struct Waits {
    id: InvId,
    forward: usize,
}

/// Connections of a node to a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Links {
    open: usize,
    lent: usize,
}

struct Host {
    engine: Engine<Mind>,
    /// Counts processes: what is on its way to an earlier one arrives nowhere.
    process: u64,
    wake: f64,
    ids: BTreeMap<InvId, TryId>,
    next: InvId,
    waits: BTreeMap<(TryId, WorkerId), Waits>,
    links: BTreeMap<WorkerId, Links>,
    /// Probes that are out, by their number.
    probes: BTreeMap<u64, WorkerId>,
    served: bool,
}

/// How a run went as a program.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Pace {
    pub events: u64,
    pub seconds: f64,
    pub wall: f64,
}

pub struct Run<'a> {
    world: World,
    hosts: Vec<Option<Host>>,
    /// What has come to nodes that stand still.
    still: Vec<Option<Vec<Queued>>>,
    /// What nodes know of each other, where they do.
    fleet: Option<Stage>,
    queue: Queue<Queued>,
    policy: Policy,
    truth: Option<Truth>,
    truth_at: f64,
    actions: Vec<Action>,
    events: u64,
    processes: u64,
    asked: u64,
    sink: Option<&'a mut dyn Sink>,
    samples: Option<&'a mut Vec<Sample>>,
    fault: Option<String>,
}

/// A worker's own try at telling its news again, and how often.
const NEWS_AGAIN: f64 = 0.2;
const NEWS_TRIES: u32 = 10;
/// The first clients come when all nodes are ready.
const READY: f64 = 0.0;

/// Where worker number `worker` is said to listen; nobody connects there.
fn addr(worker: WorkerId) -> std::net::SocketAddr {
    ([127, 100, (worker >> 8) as u8, worker as u8], 9000).into()
}

/// Plays a scenario to its end.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    policy: Policy,
    sink: Option<&mut dyn Sink>,
) -> Result<(Outcome, Pace), String> {
    played(scenario, seed, policy, sink, None)
}

/// The same with the node's decisions, looked at each second.
pub fn sampled(scenario: &Scenario, seed: u64, samples: &mut Vec<Sample>) -> Result<(Outcome, Pace), String> {
    played(scenario, seed, Policy::Node, None, Some(samples))
}

fn played<'a>(
    scenario: &Scenario,
    seed: u64,
    policy: Policy,
    sink: Option<&'a mut dyn Sink>,
    samples: Option<&'a mut Vec<Sample>>,
) -> Result<(Outcome, Pace), String> {
    if scenario.faults.iter().any(|fault| fault.what == What::NodesReplace) {
        return Err("nodes-replace is played on loopback alone: run it with --loopback".into());
    }
    let began = std::time::Instant::now();
    let world = World::new(scenario.clone(), seed, addr);
    let truth: Option<Truth> =
        (policy == Policy::Baseline(Choice::Oracle)).then(|| Rc::new(RefCell::new(BTreeMap::new())));
    let nodes = scenario.nodes.count.0;
    let zones: Vec<String> = world.nodes.iter().map(|node| node.zone.clone()).collect();
    let fleet = scenario.fleet.as_ref().map(|_| Stage::new(scenario, seed, &zones));
    let mut run = Run {
        world,
        hosts: (0..nodes).map(|_| None).collect(),
        still: (0..nodes).map(|_| None).collect(),
        fleet,
        queue: Queue::new(),
        policy,
        truth,
        truth_at: -1.0,
        actions: Vec::new(),
        events: 0,
        processes: 0,
        asked: 0,
        sink,
        samples,
        fault: None,
    };
    for node in 0..nodes {
        run.start(READY, node);
    }
    let now = run.play();
    if let Some(fault) = run.fault {
        return Err(fault);
    }
    let wall = began.elapsed().as_secs_f64();
    for (words, stage) in run.fleet.iter().flat_map(|f| f.witness.breaches.iter().map(move |w| (w, f))) {
        run.world.referee.fleet_breach(words.clone(), stage.witness.broken);
    }
    Ok((run.world.result(), Pace { events: run.events, seconds: now, wall }))
}

impl Run<'_> {
    fn play(&mut self) -> f64 {
        let (mut now, end) = (0.0, self.world.end());
        let (mut outs, mut sampled) = (Vec::new(), 0.0);
        while now < end && !self.world.is_over(now) && self.fault.is_none() {
            if self.samples.is_some() && now >= sampled {
                sampled = now.floor() + 1.0;
                self.sample(now);
            }
            let mine = self.queue.next_at();
            let its = self.world.next_due();
            if let Some(at) = self.fleet.as_ref().and_then(Stage::next_due) {
                if [mine, its].into_iter().flatten().all(|other| at < other) {
                    now = at;
                    self.fleet.iter_mut().for_each(Stage::advance);
                    continue;
                }
            }
            match (mine, its) {
                (Some(at), its) if its.is_none_or(|its| at <= its) => {
                    now = at;
                    let Some((_, queued)) = self.queue.pop() else { break };
                    self.arrives(now, queued);
                }
                (_, Some(at)) => {
                    now = at;
                    self.events += 1;
                    self.world.advance(now, &mut outs);
                    self.bring(now, &mut outs);
                }
                (_, None) => break,
            }
        }
        now
    }

    fn sample(&mut self, now: f64) {
        let workers = &self.world.workers;
        let mut beta = vec![0.0; workers.len()];
        let minds = self.hosts.iter().flatten().map(|host| host.engine.decisions());
        let nodes = self.hosts.iter().flatten().count().max(1) as f64;
        let number: BTreeMap<u32, WorkerId> = (0..workers.len()).map(|at| (mark(&name(at)), at)).collect();
        for mind in minds {
            if let Mind::Node(node) = mind {
                for (mark, share) in node.shares() {
                    number.get(&mark).into_iter().for_each(|&at| beta[at] += share / nodes);
                }
            }
        }
        let (held, forwards) = (workers.iter().map(|w| w.held()).collect(), self.world.forwards.clone());
        let sample = Sample { at: now, held, forwards, beta };
        self.samples.iter_mut().for_each(|samples| samples.push(sample.clone()));
    }

    fn put(&mut self, at: f64, node: NodeId, ev: Ev) {
        let process = self.hosts[node].as_ref().map_or(0, |host| host.process);
        self.queue.push(at, Queued { node, process, ev });
    }

    fn mind(&self, setup: &coveroute_engine::Setup) -> Mind {
        match self.policy {
            Policy::Node => Mind::Node(Box::new(Node::new(setup.settings.clone(), setup.seed))),
            Policy::Wrong(wrong) => {
                Mind::Baseline(Box::new(Baseline::wrong(setup.settings.clone(), setup.seed, wrong)))
            }
            Policy::Baseline(choice) => {
                let baseline = Baseline::new(setup.settings.clone(), setup.seed, choice, self.truth.clone());
                Mind::Baseline(Box::new(baseline))
            }
        }
    }

    fn start(&mut self, now: f64, node: NodeId) {
        if self.hosts[node].is_some() {
            return;
        }
        self.processes += 1;
        let (zone, known) = (self.world.nodes[node].zone.clone(), self.world.known(node));
        let seed = self.world.seed.wrapping_mul(7919).wrapping_add(self.processes);
        // What a node is told to have known counts as told, and so does what changed longer ago.
        self.world.node_began(now, node, &known);
        let setup = match settings::setup(&self.world.scenario, node, &zone, seed, shifted(known)) {
            Ok(setup) => setup,
            Err(words) => return self.fault = Some(words),
        };
        let (mind, mut actions) = (self.mind(&setup), Vec::new());
        let engine = Engine::deciding(BASE + now, mind, setup, &mut actions);
        let (ids, waits, links, probes) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (process, wake) = (self.processes, f64::INFINITY);
        self.fleet.iter_mut().for_each(|fleet| fleet.start(now, node, false));
        self.hosts[node] =
            Some(Host { engine, process, wake, ids, next: 0, waits, links, probes, served: false });
        self.actions = actions;
        self.carry_out(now, node);
    }

    /// Its process ends: connections are reset, and nothing of it is left.
    fn end(&mut self, now: f64, node: NodeId) {
        let Some(host) = self.hosts[node].take() else { return };
        self.still[node] = None;
        self.fleet.iter_mut().for_each(|fleet| fleet.kill(node));
        self.world.node_gone(now, node);
        let mut outs = Vec::new();
        for (tri, worker) in host.waits.keys() {
            self.world.give_up(now, node, *worker, *tri, &mut outs);
        }
        for tri in host.ids.values() {
            self.world.broke(now, *tri);
        }
        self.bring(now, &mut outs);
    }

    fn order(&mut self, now: f64, node: NodeId, order: Order) {
        if matches!(order, Order::Stop | Order::Stall | Order::Wake) && self.hosts[node].is_some() {
            self.fleet.iter_mut().for_each(|fleet| fleet.order(now, node, order));
        }
        match order {
            Order::Start => self.start(now, node),
            Order::StartBack => {
                // Its part in the fleet alone goes by the clock that has gone back.
                self.fleet.iter_mut().for_each(|fleet| fleet.order(now, node, order));
                self.start(now, node);
            }
            Order::Stall if self.hosts[node].is_some() && self.still[node].is_none() => {
                self.still[node] = Some(Vec::new());
                self.world.referee.stands_still(now, node);
            }
            Order::Stall => {}
            Order::Wake => {
                for queued in self.still[node].take().unwrap_or_default() {
                    self.arrives(now, queued);
                }
                self.wake(now, node);
                self.world.referee.goes_on(now, node);
            }
            Order::Kill => self.end(now, node),
            Order::Stop if self.hosts[node].is_some() => {
                self.world.node_stops(now, node);
                self.tell(now, node, Event::Stop);
            }
            Order::Stop => {}
            Order::Reload => self.tell(now, node, Event::Reread { tuning: None, moved: true }),
            Order::Retune => {
                let world = &self.world;
                let tuning = settings::tuning(&world.scenario, node, &world.nodes[node].zone, true);
                self.tell(now, node, Event::NotReread); // The file that is cut off.
                if let Ok(tuning) = tuning {
                    self.tell(now, node, Event::Reread { tuning: Some(Box::new(tuning)), moved: false });
                }
            }
            // Refused at the start.
            Order::Replace => {}
        }
    }

    /// What the world says goes on its way to nodes.
    fn bring(&mut self, now: f64, outs: &mut Vec<Out>) {
        while !outs.is_empty() {
            for out in std::mem::take(outs) {
                self.bring_one(now, out, outs);
            }
        }
    }

    fn bring_one(&mut self, now: f64, out: Out, outs: &mut Vec<Out>) {
        let at = now + self.world.scenario.network.latency.0;
        match out {
            Out::Submit { node, tri } => {
                self.put(at, node, Ev::Submit(tri));
            }
            Out::Leave { node, tri } => {
                self.put(at, node, Ev::Leave(tri));
            }
            Out::Ack { node, worker, tri } => self.reply(now, node, worker, tri, Reply::Taken),
            Out::Reject { node, worker, tri, failed, report } => {
                let outcome = if failed { Ended::Errored } else { Ended::Full };
                self.reply(now, node, worker, tri, Reply::Ended(outcome, report));
            }
            Out::Reset { node, worker, tri: TryId::MAX } => {
                let of =
                    |host: &Host| host.waits.keys().filter(|key| key.1 == worker).map(|key| key.0).collect();
                let waiting: Vec<TryId> = self.hosts[node].as_ref().map(of).unwrap_or_default();
                outs.extend(waiting.into_iter().map(|tri| Out::Reset { node, worker, tri }));
            }
            Out::Reset { node, worker, tri } => {
                self.reply(now, node, worker, tri, Reply::Ended(Ended::Reset, Report::default()));
            }
            Out::News { node, worker, tri, word, report } => {
                self.news(now, node, Ev::News { tri, worker, word, report, tries: 0 });
            }
            Out::Begun { node, watch, .. } => {
                self.put(at, node, Ev::Watched { watch, watched: Watched::Begun });
            }
            Out::Listed { node, watch, listing } => {
                self.put(at, node, Ev::Watched { watch, watched: Watched::Listed(listing) });
            }
            Out::Lost { node, watch, loss } => {
                self.put(at, node, Ev::Watched { watch, watched: Watched::Lost(loss) });
            }
            Out::Node { node, order } => self.order(now, node, order),
        }
    }

    /// An answer to a forward that still waits for one goes back.
    fn reply(&mut self, now: f64, node: NodeId, worker: WorkerId, tri: TryId, reply: Reply) {
        let waits = self.hosts[node].as_ref().and_then(|host| host.waits.get(&(tri, worker))).copied();
        let Some(Waits { forward, .. }) = waits else { return };
        match self.world.way(node, worker, tri, 100 + forward) {
            Way::Cut => {}
            // Once its connection is up, what breaks is the connection's: told by the way there.
            Way::Arrives(takes)
            | Way::Refused(takes)
            | Way::BreaksBefore(takes)
            | Way::BreaksAfter(takes) => {
                self.put(now + takes, node, Ev::Replied { tri, worker, forward, reply });
            }
        }
    }

    fn news(&mut self, now: f64, node: NodeId, ev: Ev) {
        let Ev::News { tri, worker, tries, .. } = &ev else { return };
        if self.world.workers[*worker].life == Life::Vanished {
            return;
        }
        match self.world.way(node, *worker, *tri, 200 + *tries as usize) {
            Way::Arrives(takes) | Way::Refused(takes) => self.put(now + takes, node, ev),
            Way::Cut | Way::BreaksBefore(_) | Way::BreaksAfter(_) => self.news_again(now, node, ev),
        }
    }

    fn news_again(&mut self, now: f64, node: NodeId, ev: Ev) {
        let Ev::News { tri, worker, word, report, tries } = ev else { return };
        if tries + 1 < NEWS_TRIES {
            let again = Ev::News { tri, worker, word, report, tries: tries + 1 };
            self.put(now + NEWS_AGAIN, node, again);
        }
    }

    fn arrives(&mut self, now: f64, queued: Queued) {
        if let Some(held) = self.still[queued.node].as_mut().filter(|_| queued.ev.is_for_the_node()) {
            return held.push(queued);
        }
        let Queued { node, process, ev } = queued;
        let here = self.hosts[node].as_ref().is_some_and(|host| host.process == process);
        if let Some(sink) = self.sink.as_deref_mut().filter(|_| !matches!(ev, Ev::Wake)) {
            sink.event(now, node, &format!("{ev:?}"));
        }
        self.events += 1;
        let mut outs = Vec::new();
        match ev {
            Ev::Submit(tri) if self.hosts[node].is_some() => self.submit(now, node, tri),
            Ev::Submit(tri) => self.world.refused(now, tri),
            // What has left its node arrives, whatever becomes of that.
            Ev::Job { tri, worker, forward, sent, breaks } => {
                let waits =
                    self.hosts[node].as_ref().filter(|_| here).and_then(|h| h.waits.get(&(tri, worker)));
                // A connection that was closed meanwhile brings no job.
                if waits.is_some_and(|waits| waits.forward == forward) || !here {
                    self.world.job(now, node, worker, tri, sent, &mut outs);
                    if breaks {
                        let reply = Reply::Ended(Ended::Reset, Report::default());
                        self.put(now, node, Ev::Replied { tri, worker, forward, reply });
                    }
                }
            }
            Ev::GiveUp { tri, worker } => self.world.give_up(now, node, worker, tri, &mut outs),
            Ev::Probe { worker, tgt, asked } if here => self.probe(now, node, worker, tgt, asked),
            Ev::Answered { tri, answer, pause } => self.world.answered(now, tri, answer, pause),
            Ev::News { tri, worker, word, report, .. } if self.hosts[node].is_some() => {
                self.told(now, node, tri, worker, word, report);
            }
            ev @ Ev::News { .. } => self.news_again(now, node, ev),
            _ if !here => {}
            Ev::Leave(tri) => self.leave(now, node, tri),
            Ev::Replied { tri, worker, forward, reply } => {
                self.replied(now, node, tri, worker, forward, reply)
            }
            Ev::Patience { tri, worker, forward, last } => {
                self.patience(now, node, tri, worker, forward, last)
            }
            Ev::Probed { tgt, asked, outcome, report } => {
                let worker = self.hosts[node].as_mut().and_then(|host| host.probes.remove(&asked));
                if let Some(worker) = worker {
                    self.give_back(node, worker);
                    self.tell(now, node, Event::Probed(tgt, outcome, report));
                }
            }
            Ev::Follow { watch, version } => self.world.watch(now, node, watch, version, &mut outs),
            Ev::Watched { watch, watched } => {
                if let Watched::Listed(listing) = &watched {
                    self.world.listed(now, node, listing);
                }
                let watched = match watched {
                    Watched::Listed(listing) => Watched::Listed(shifted(listing)),
                    other => other,
                };
                self.tell(now, node, Event::Watch(watch, watched));
            }
            Ev::Heard { from, told, mark, count } => {
                self.tell(now, node, Event::Heard { from, told, mark, count });
            }
            Ev::Wake => self.wake(now, node),
            Ev::Probe { .. } => {}
        }
        self.bring(now, &mut outs);
    }

    fn wake(&mut self, now: f64, node: NodeId) {
        let Some(host) = self.hosts[node].as_mut().filter(|host| host.wake <= now) else { return };
        host.wake = f64::INFINITY;
        let mut actions = std::mem::take(&mut self.actions);
        host.engine.advance(BASE + now, &mut actions);
        self.actions = actions;
        self.carry_out(now, node);
    }

    fn submit(&mut self, now: f64, node: NodeId, tri: TryId) {
        self.world.taken(now, tri);
        let Some(host) = self.hosts[node].as_mut() else { return };
        let id = host.next;
        host.next += 1;
        host.ids.insert(id, tri);
        let ask = self.world.clients.ask_of(tri);
        let scenario = &self.world.scenario;
        let op = &scenario.operations[ask.op];
        let deadline = self.world.clients.tries[tri as usize].deadline;
        let sent = self.world.clients.tries[tri as usize].at;
        let told = Call {
            call: call(self.world.seed, tri).into(),
            class: op.name.clone(),
            caller: ask.tenant.map(|tenant| scenario.tenants[tenant].name.clone()),
            // Whole milliseconds, as the protocol has it.
            budget: ((deadline - sent) * 1e3).floor() / 1e3,
            hint: ask.hint,
            memory: Some(op.memory.0).filter(|memory| *memory > 0.0),
            key: None,
            again: false,
            came: BASE + now,
        };
        self.tell(now, node, Event::Taken(id, &told));
    }

    fn leave(&mut self, now: f64, node: NodeId, tri: TryId) {
        let Some(host) = self.hosts[node].as_mut() else { return };
        let id = host.ids.iter().find(|(_, held)| **held == tri).map(|(id, _)| *id);
        if let Some(id) = id {
            host.ids.remove(&id);
            self.tell(now, node, Event::Left(id));
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
        let Some(waits) = host.waits.get(&(tri, worker)).copied().filter(|w| w.forward == forward) else {
            return;
        };
        host.waits.remove(&(tri, worker));
        self.give_back(node, worker);
        if let Reply::Ended(outcome, _) = reply {
            self.world.outcome(now, tri, worker, outcome.never_ran());
        }
        self.tell(now, node, Event::Replied(waits.id, forward, reply));
    }

    /// The worker has not said in time that it has the job: first told, then given up.
    fn patience(&mut self, now: f64, node: NodeId, tri: TryId, worker: WorkerId, forward: usize, last: bool) {
        let waits = self.hosts[node].as_ref().and_then(|host| host.waits.get(&(tri, worker))).copied();
        let Some(waits) = waits.filter(|waits| waits.forward == forward) else { return };
        if !last {
            return self.tell(now, node, Event::Replied(waits.id, forward, Reply::Unheard));
        }
        self.put(now + self.world.scenario.network.latency.0, node, Ev::GiveUp { tri, worker });
        let reply = Reply::Ended(Ended::TimedOut, Report::default());
        self.replied(now, node, tri, worker, forward, reply);
    }

    fn told(&mut self, now: f64, node: NodeId, tri: TryId, worker: WorkerId, word: Word, report: Report) {
        let done = call(self.world.seed, tri);
        let heard = match word {
            Word::Started | Word::Running => Heard::Alive,
            Word::Done => Heard::Succeeded(Bytes::copy_from_slice(done.as_bytes())),
            Word::Returned => Heard::Ended(Ended::Full),
            Word::Lost => Heard::Ended(Ended::Reset),
        };
        if let Heard::Ended(outcome) = heard {
            self.world.outcome(now, tri, worker, outcome.never_ran());
        }
        let news = News { call: done, from: name(worker), word: heard, report };
        self.tell(now, node, Event::News(news));
    }

    fn probe(&mut self, now: f64, node: NodeId, worker: WorkerId, tgt: Tgt, asked: u64) {
        let Some((up, report)) = self.world.probe(now, worker) else { return };
        let outcome = if up { Ended::Succeeded } else { Ended::Full };
        if let Way::Arrives(takes) = self.world.way(node, worker, asked as TryId, 301) {
            self.put(now + takes, node, Ev::Probed { tgt, asked, outcome, report });
        }
    }

    fn tell(&mut self, now: f64, node: NodeId, event: Event) {
        if self.truth.is_some() && now > self.truth_at {
            self.truth_at = now;
            self.look_at_the_truth(now);
        }
        let Some(host) = self.hosts[node].as_mut() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        host.engine.handle(BASE + now, event, &mut actions);
        self.actions = actions;
        self.carry_out(now, node);
    }

    /// What the oracle sees: when a job that comes now would start at each worker, and how fast it would run.
    fn look_at_the_truth(&self, now: f64) {
        let Some(truth) = &self.truth else { return };
        let mut truth = truth.borrow_mut();
        for (at, worker) in self.world.workers.iter().enumerate() {
            let ails = &worker.ails;
            let serves =
                worker.life == Life::Up && !ails.silent && !ails.paused && ails.errors + ails.loses < 0.5;
            let capacity = worker.capacity(now) * (1.0 - ails.stolen);
            let waits =
                if worker.held() < worker.make.slots.0 { 0.0 } else { worker.backlog() / capacity.max(1e-3) };
            let slots = worker.make.slots.0 as f64;
            let pace = (capacity / (worker.held() as f64 + 1.0).min(slots)).min(worker.make.speed.0);
            let known =
                (serves && worker.queued() < worker.make.queue.0 && pace > 0.0).then_some((waits, pace));
            truth.insert(mark(&name(at)), known);
        }
    }

    fn carry_out(&mut self, now: f64, node: NodeId) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.act(now, node, action);
            }
        }
        let Some(host) = self.hosts[node].as_mut() else { return };
        let phase = host.engine.phase();
        if phase.is_up() && !std::mem::replace(&mut host.served, true) {
            self.world.node_serves(node);
        }
        if phase == Phase::Ended {
            return self.end(now, node);
        }
        if phase == Phase::Closing && host.ids.is_empty() {
            let mut actions = std::mem::take(&mut self.actions);
            host.engine.handle(BASE + now, Event::Idle, &mut actions);
            self.actions = actions;
        }
        let Some(host) = self.hosts[node].as_mut() else { return };
        let due = host.engine.next_due().map_or(f64::INFINITY, |due| (due - BASE).max(now));
        if due < host.wake {
            host.wake = due;
            self.put(due, node, Ev::Wake);
        }
    }

    fn act(&mut self, now: f64, node: NodeId, action: Action) {
        let latency = self.world.scenario.network.latency.0;
        match action {
            Action::Send { id, forward, tgt, .. } => self.send(now, node, id, forward, tgt),
            Action::Abort { id, forward } => self.abort(now, node, id, forward),
            // A connection takes two ways here, far less than any grace.
            Action::Recall { .. } => {}
            Action::GiveUp { tgt, call } => {
                let (worker, tri) = (self.worker(node, tgt), tri_of(&call));
                if let Some((worker, tri)) = worker.zip(tri) {
                    self.world.referee.given_up(now, tri, worker);
                    self.put(now + latency, node, Ev::GiveUp { tri, worker });
                }
            }
            Action::Answer { id, answer } => self.answer(now, node, id, answer),
            Action::Probe(tgt) => self.ask(now, node, tgt),
            Action::Release(tgt) => {
                let worker = self.worker(node, tgt);
                let links = worker.and_then(|worker| self.hosts[node].as_mut()?.links.get_mut(&worker));
                links.into_iter().for_each(|links| links.open = links.lent);
            }
            Action::At(..) => {}
            Action::Gone(tgt) => {
                let worker = self.worker(node, tgt);
                let host = self.hosts[node].as_mut();
                worker.zip(host).map(|(worker, host)| host.links.remove(&worker));
            }
            Action::Follow { watch, version } => self.put(now + latency, node, Ev::Follow { watch, version }),
            Action::Tell { to, told, mark, count } => {
                if to != node && to < self.hosts.len() {
                    self.put(now + latency, to, Ev::Heard { from: node, told, mark, count });
                }
            }
        }
    }

    fn worker(&self, node: NodeId, tgt: Tgt) -> Option<WorkerId> {
        let id = self.hosts[node].as_ref()?.engine.fleet().id(tgt);
        id.strip_prefix("w-")?.parse().ok()
    }

    /// A connection to the worker: how long it takes to come up, or none where the node or the worker has no more.
    fn lease(&mut self, node: NodeId, worker: WorkerId) -> Option<f64> {
        let links = self.hosts[node].as_mut()?.links.entry(worker).or_default();
        let idle = links.lent < links.open;
        // Only a new connection is held against the bounds: counting goes over all nodes.
        if !idle && !self.may_open(node, worker) {
            return None;
        }
        let links = self.hosts[node].as_mut()?.links.entry(worker).or_default();
        links.lent += 1;
        links.open = links.open.max(links.lent);
        Some(if idle { 0.0 } else { 2.0 * self.world.scenario.network.latency.0 })
    }

    /// Whether neither the node's bound nor the worker's is reached.
    fn may_open(&self, node: NodeId, worker: WorkerId) -> bool {
        let at = |host: &Host| host.links.get(&worker).map_or(0, |links| links.open);
        let total: usize = self.hosts.iter().flatten().map(at).sum();
        let own = |host: &Host| host.links.values().map(|links| links.open).sum::<usize>();
        let own = self.hosts[node].as_ref().map_or(0, own);
        own < self.world.scenario.nodes.sockets.0 / 3 && total < self.world.workers[worker].connections()
    }

    fn give_back(&mut self, node: NodeId, worker: WorkerId) {
        let links = self.hosts[node].as_mut().and_then(|host| host.links.get_mut(&worker));
        links.into_iter().for_each(|links| links.lent = links.lent.saturating_sub(1));
    }

    fn send(&mut self, now: f64, node: NodeId, id: InvId, forward: usize, tgt: Tgt) {
        let worker = self.worker(node, tgt);
        let tri = self.hosts[node].as_ref().and_then(|host| host.ids.get(&id)).copied();
        let lease = worker.and_then(|worker| self.lease(node, worker));
        let (Some(worker), Some(tri), Some(dials)) = (worker, tri, lease) else {
            let moot = Reply::Ended(Ended::Moot, Report::default());
            let Some(host) = self.hosts[node].as_mut() else { return };
            return host.engine.handle(BASE + now, Event::Replied(id, forward, moot), &mut self.actions);
        };
        let Some(host) = self.hosts[node].as_mut() else { return };
        host.waits.insert((tri, worker), Waits { id, forward });
        let dial = self.world.scenario.platform.dial.0;
        let unreachable = Reply::Ended(Ended::Unreachable, Report::default());
        let way = self.world.way(node, worker, tri, forward);
        match way {
            Way::Arrives(takes) | Way::BreaksAfter(takes) => {
                let breaks = matches!(way, Way::BreaksAfter(_));
                let sent = now + dials;
                self.put(sent + takes, node, Ev::Job { tri, worker, forward, sent, breaks });
                self.put(now + dial, node, Ev::Patience { tri, worker, forward, last: false });
                self.put(now + 10.0 * dial, node, Ev::Patience { tri, worker, forward, last: true });
            }
            Way::Refused(takes) | Way::BreaksBefore(takes) => {
                self.put(now + dials + takes, node, Ev::Replied { tri, worker, forward, reply: unreachable });
            }
            // A new connection never comes up; on one that is kept, silence is all that is heard.
            Way::Cut if dials > 0.0 => {
                self.put(now + dial, node, Ev::Replied { tri, worker, forward, reply: unreachable });
            }
            Way::Cut => {
                self.put(now + dial, node, Ev::Patience { tri, worker, forward, last: false });
                self.put(now + 10.0 * dial, node, Ev::Patience { tri, worker, forward, last: true });
            }
        }
    }

    fn abort(&mut self, now: f64, node: NodeId, id: InvId, forward: usize) {
        let Some(host) = self.hosts[node].as_mut() else { return };
        let of = |w: &(&(TryId, WorkerId), &Waits)| w.1.id == id && w.1.forward == forward;
        let key = host.waits.iter().find(of).map(|(key, _)| *key);
        if let Some((tri, worker)) = key {
            host.waits.remove(&(tri, worker));
            self.give_back(node, worker);
            self.world.referee.given_up(now, tri, worker);
            self.put(now + self.world.scenario.network.latency.0, node, Ev::GiveUp { tri, worker });
        }
    }

    fn answer(&mut self, now: f64, node: NodeId, id: InvId, answer: Answer) {
        let Some(host) = self.hosts[node].as_mut() else { return };
        let Some(tri) = host.ids.remove(&id) else { return };
        let (told, pause) = match answer {
            Answer::Succeeded(result) => {
                let right = result == call(self.world.seed, tri).as_bytes();
                (if right { Final::Served } else { Final::Failed }, 0.0)
            }
            Answer::Throttled { pause } => (Final::Refused, pause),
            Answer::Errored => (Final::Failed, 0.0),
            Answer::Unfit(_) => (Final::Unfit, 0.0),
        };
        // Judged by when it leaves the node; the client acts on it when it has come.
        self.put(
            now + self.world.scenario.network.latency.0,
            node,
            Ev::Answered { tri, answer: told, pause },
        );
    }

    fn ask(&mut self, now: f64, node: NodeId, tgt: Tgt) {
        let worker = self.worker(node, tgt);
        let lease = worker.and_then(|worker| self.lease(node, worker));
        let (Some(worker), Some(dials)) = (worker, lease) else {
            let Some(host) = self.hosts[node].as_mut() else { return };
            let full = Event::Probed(tgt, Ended::Full, Report::default());
            return host.engine.handle(BASE + now, full, &mut self.actions);
        };
        self.asked += 1;
        let (asked, dial) = (self.asked, self.world.scenario.platform.dial.0);
        let Some(host) = self.hosts[node].as_mut() else { return };
        host.probes.insert(asked, worker);
        let told = |outcome| Ev::Probed { tgt, asked, outcome, report: Report::default() };
        match self.world.way(node, worker, asked as TryId, 300) {
            Way::Refused(takes) => self.put(now + takes, node, told(Ended::Unreachable)),
            Way::Cut if dials > 0.0 => self.put(now + dial, node, told(Ended::Unreachable)),
            Way::Cut => {}
            // A probe whose connection breaks is sent again.
            Way::Arrives(takes) | Way::BreaksBefore(takes) | Way::BreaksAfter(takes) => {
                self.put(now + dials + takes, node, Ev::Probe { worker, tgt, asked });
            }
        }
        self.put(now + 2.0 * dial, node, told(Ended::TimedOut));
    }
}

/// Start times on the engines' clock.
fn shifted(mut listing: Listing) -> Listing {
    for host in &mut listing.hosts {
        host.started = if host.started > 0.0 { BASE + host.started } else { 0.0 };
    }
    listing
}

#[cfg(test)]
mod tests;
