//! Loopback: runs a scenario in real time on real sockets, against real `coveroute` processes with real
//! signals and descriptor limits. The world is the same as in virtual time; its messages are HTTP/1.1 here.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coveroute::types::Report;
use coveroute_engine::Listing;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle, JoinSet, LocalSet};
use tokio::time::{sleep, sleep_until, timeout};

use crate::fleet::links::Links;
use crate::fleet::processes::{config_for_node, config_to_toml, lock_links, start_relays};
use crate::scenario::Scenario;
use crate::settings;
use crate::world::invariants::FinalAnswer;
use crate::world::worker::Liveness;
use crate::world::{
    call, name, tri_of, Delivery, JobUpdate, NodeCommand, NodeId, Outcome, Output, TryId, WorkerId, World,
};

/// On a busy machine a forward may be seen, on arrival, this long after it was sent.
const DETECTION_LAG: f64 = 0.1;
/// Delay before a worker sends its news again, and the number of tries.
const NEWS_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_NEWS_TRIES: usize = 10;
/// Interval of empty lines on a watch without changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for all nodes to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for a replacement process to be ready.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(6);
/// A node that was asked to stop is killed after this.
const KILL_DELAY: Duration = Duration::from_millis(3700);

pub struct Options {
    /// The node's program.
    pub node: PathBuf,
    /// Directory for the nodes' logs; they are discarded without it.
    pub logs: Option<PathBuf>,
}

/// Resources used by the node processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct ResourceUsage {
    pub cpu_seconds: f64,
    pub peak_mb: f64,
    pub most_descriptors: usize,
    pub late: f64,
}

/// Answers that clients received from a node, by operation: served, refused, failed.
type Answers = BTreeMap<(NodeId, String), [u64; 3]>;

type Pending = HashMap<(WorkerId, TryId), oneshot::Sender<Ack>>;

/// A worker's answer to a job.
enum Ack {
    Taken,
    Rejects(Report),
    Fails,
    Breaks,
}

struct Process {
    pid: i32,
    /// Address of the management interface.
    management: SocketAddr,
    /// The process was told to end, so that its exit is not a crash.
    end_expected: bool,
}

struct Harness {
    world: RefCell<World>,
    began: Instant,
    epoch: f64,
    block: u8,
    pending: RefCell<Pending>,
    clients: RefCell<HashMap<TryId, AbortHandle>>,
    idle: RefCell<Vec<Vec<client::SendRequest<Full<Bytes>>>>>,
    news: RefCell<Vec<Vec<client::SendRequest<Full<Bytes>>>>>,
    watches: RefCell<BTreeMap<(NodeId, u64), mpsc::UnboundedSender<Bytes>>>,
    watch: Cell<u64>,
    processes: RefCell<Vec<Option<Process>>>,
    /// Number of processes started so far, over all nodes.
    started: Cell<u16>,
    answers: RefCell<Answers>,
    /// Nodes that have had only one process, whose metrics thus cover the whole run.
    single_process: RefCell<Vec<bool>>,
    /// Links between the nodes of a fleet.
    links: Arc<Mutex<Links>>,
    worker_changed: Vec<Notify>,
    wakeup: Notify,
    options: Options,
    dir: PathBuf,
    fault: RefCell<Option<String>>,
    machines: Cell<ResourceUsage>,
}

fn worker_addr(block: u8, worker: WorkerId) -> SocketAddr {
    ([127, block, (worker >> 8) as u8, worker as u8], 9000).into()
}

fn node_addr(block: u8, node: NodeId) -> SocketAddr {
    ([127, block, 254 - (node >> 8) as u8, node as u8], 9100).into()
}

/// Each process has a management address of its own.
fn management_addr(block: u8, node: NodeId, started: u16) -> SocketAddr {
    ([127, block, 254 - (node >> 8) as u8, node as u8], 12_000 + started % 20_000).into()
}

fn list_addr(block: u8, node: NodeId) -> SocketAddr {
    ([127, block, 254 - (node >> 8) as u8, node as u8], 8500).into()
}

/// Runs a scenario against real processes in real time.
pub fn run(scenario: &Scenario, seed: u64, options: Options) -> Result<(Outcome, ResourceUsage), String> {
    if !options.node.is_file() {
        return Err(format!("{}: not found; build it first", options.node.display()));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let dir = std::env::temp_dir().join(format!("coveroute-emu-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let result = LocalSet::new().block_on(&runtime, run_scenario(scenario, seed, options, dir.clone()));
    let _ = std::fs::remove_dir_all(&dir);
    result
}

async fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    options: Options,
    dir: PathBuf,
) -> Result<(Outcome, ResourceUsage), String> {
    // A block of loopback addresses derived from the process id, so that parallel runs don't collide.
    let block = 16 + (std::process::id() % 200) as u8;
    let mut world = World::new(scenario.clone(), seed, |worker| worker_addr(block, worker));
    world.invariants.detection_lag = DETECTION_LAG;
    let (workers, nodes) = (world.workers.len(), world.nodes.len());
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |unix| unix.as_secs_f64());
    let zones: Vec<String> = world.nodes.iter().map(|node| node.zone.clone()).collect();
    let links = Arc::new(Mutex::new(Links::new(scenario, seed, &zones)));
    let began = Instant::now();
    if scenario.fleet.is_some() {
        if nodes > 100 {
            return Err(format!("nodes: a fleet of {nodes}; at most 100 on loopback"));
        }
        start_relays(block, nodes, &links, began).await?;
    }
    let harness = Rc::new(Harness {
        world: RefCell::new(world),
        links,
        began,
        epoch: unix,
        block,
        pending: RefCell::default(),
        clients: RefCell::default(),
        idle: RefCell::new((0..nodes).map(|_| Vec::new()).collect()),
        news: RefCell::new((0..nodes).map(|_| Vec::new()).collect()),
        watches: RefCell::default(),
        watch: Cell::new(0),
        processes: RefCell::new((0..nodes).map(|_| None).collect()),
        started: Cell::new(0),
        answers: RefCell::default(),
        single_process: RefCell::new(vec![true; nodes]),
        worker_changed: (0..workers).map(|_| Notify::new()).collect(),
        wakeup: Notify::new(),
        options,
        dir,
        fault: RefCell::new(None),
        machines: Cell::default(),
    });
    for worker in 0..workers {
        let listener = listen(worker_addr(block, worker))?;
        spawn_local(run_worker(harness.clone(), worker, Some(listener)));
    }
    for node in 0..nodes {
        let listener = listen(list_addr(block, node))?;
        spawn_local(serve_list(harness.clone(), node, listener));
        harness.start(node);
    }
    let up = timeout(START_TIMEOUT, async {
        while !harness.world.borrow().nodes.iter().all(|node| node.in_rotation)
            && harness.fault.borrow().is_none()
        {
            sleep(Duration::from_millis(20)).await;
        }
    });
    if up.await.is_err() {
        harness.end_all();
        return Err("the nodes were not ready in time".into());
    }
    // The scenario's time begins when all nodes are ready.
    let ready = harness.now();
    harness.world.borrow_mut().delay(ready);
    lock_links(&harness.links).postpone_faults(ready);
    let end = harness.world.borrow().end();
    loop {
        let now = harness.now();
        if now >= end || harness.world.borrow().is_over(now) || harness.fault.borrow().is_some() {
            break;
        }
        let mut outputs = Vec::new();
        let due = harness.world.borrow().next_due();
        if let Some(due) = due.filter(|due| *due <= now) {
            let mut machines = harness.machines.get();
            machines.late = machines.late.max(now - due);
            harness.machines.set(machines);
        }
        harness.world.borrow_mut().advance(now, &mut outputs);
        outputs.into_iter().for_each(|out| harness.deliver_output(out));
        let due = harness.world.borrow().next_due().unwrap_or(end).min(end);
        let at = harness.began + Duration::from_secs_f64(due.max(0.0));
        tokio::select! {
            () = sleep_until(at.into()) => {}
            () = harness.wakeup.notified() => {}
        }
    }
    for node in 0..nodes {
        harness.measure(node);
        let metric_mismatches = harness.metric_mismatches(node).await;
        harness.fault.borrow_mut().get_or_insert_with(String::new).push_str(&metric_mismatches);
    }
    harness.fault.borrow_mut().take_if(|message| message.is_empty());
    harness.end_all();
    let fault = harness.fault.borrow_mut().take();
    fault.map_or_else(|| Ok((harness.world.borrow_mut().result(), harness.machines.get())), Err)
}

fn listen(addr: SocketAddr) -> Result<TcpListener, String> {
    let with_addr = |e: std::io::Error| format!("{addr}: {e}");
    let socket = TcpSocket::new_v4().map_err(with_addr)?;
    socket.set_reuseaddr(true).map_err(with_addr)?;
    socket.bind(addr).map_err(with_addr)?;
    socket.listen(1024).map_err(with_addr)
}

impl Harness {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Delivers outputs, and wakes the main loop so that it asks the world for its next event.
    fn deliver_outputs(self: &Rc<Self>, outputs: Vec<Output>) {
        outputs.into_iter().for_each(|out| self.deliver_output(out));
        self.wakeup.notify_one();
    }

    fn deliver_output(self: &Rc<Self>, out: Output) {
        match out {
            Output::Submit { node, tri } => {
                let task = spawn_local(submit(self.clone(), node, tri));
                self.clients.borrow_mut().insert(tri, task.abort_handle());
            }
            Output::Leave { tri, .. } => {
                let task = self.clients.borrow_mut().remove(&tri);
                task.into_iter().for_each(|task| task.abort());
            }
            Output::Ack { worker, tri, .. } => self.ack(worker, tri, Ack::Taken),
            Output::Reject { worker, tri, failed, report, .. } => {
                self.ack(worker, tri, if failed { Ack::Fails } else { Ack::Rejects(report) });
            }
            Output::Reset { worker, tri: TryId::MAX, .. } => self.worker_changed[worker].notify_one(),
            Output::Reset { worker, tri, .. } => {
                self.ack(worker, tri, Ack::Breaks);
                self.worker_changed[worker].notify_one();
            }
            Output::News { node, worker, tri, word, report } => {
                let never = word == JobUpdate::Returned;
                if matches!(word, JobUpdate::Returned | JobUpdate::Lost) {
                    let now = self.now();
                    self.world.borrow_mut().outcome(now, tri, worker, never);
                }
                spawn_local(send_news(self.clone(), node, worker, tri, word, report));
            }
            // The first line is always a list, even if nothing has changed.
            Output::Begun { node, watch, version } => {
                let line = format!("{{\"version\":{version},\"full\":false,\"servers\":[]}}\n");
                self.send_line(node, watch, line.as_bytes());
            }
            Output::Listed { node, watch, listing } => {
                let mut line = settings::hosts(&listing, self.epoch).to_string();
                line.push('\n');
                self.send_line(node, watch, line.as_bytes());
                let now = self.now();
                self.world.borrow_mut().listed(now, node, &listing);
            }
            Output::Lost { node, watch, .. } => drop(self.watches.borrow_mut().remove(&(node, watch))),
            Output::Node { node, command } => self.execute_command(node, command),
        }
    }

    fn ack(&self, worker: WorkerId, tri: TryId, ack: Ack) {
        let pending = self.pending.borrow_mut().remove(&(worker, tri));
        let Some(pending) = pending else { return };
        let never = matches!(ack, Ack::Rejects(_));
        if !matches!(ack, Ack::Taken) {
            let now = self.now();
            self.world.borrow_mut().outcome(now, tri, worker, never);
        }
        let _ = pending.send(ack);
    }

    fn send_line(&self, node: NodeId, watch: u64, line: &[u8]) {
        if let Some(watch) = self.watches.borrow().get(&(node, watch)) {
            let _ = watch.send(Bytes::copy_from_slice(line));
        }
    }

    /// Counts what the client received, to compare with the node's metrics.
    fn count_answer(&self, node: NodeId, tri: TryId, answer: FinalAnswer) {
        let world = self.world.borrow();
        let operation = world.scenario.operations[world.clients.ask_of(tri).op].name.clone();
        let mut answers = self.answers.borrow_mut();
        let seen = answers.entry((node, operation)).or_default();
        match answer {
            FinalAnswer::Served => seen[0] += 1,
            FinalAnswer::Refused => seen[1] += 1,
            FinalAnswer::Failed | FinalAnswer::Unfit => seen[2] += 1,
        }
    }

    // Node processes

    fn start(self: &Rc<Self>, node: NodeId) {
        if self.processes.borrow()[node].is_some() {
            return;
        }
        if let Err(message) = self.start_process(node) {
            *self.fault.borrow_mut() = Some(message);
        }
    }

    fn start_process(self: &Rc<Self>, node: NodeId) -> Result<(), String> {
        let now = self.now();
        let known = {
            let mut world = self.world.borrow_mut();
            let known = world.known_list(node);
            world.node_started(now, node, &known);
            known
        };
        self.configure(node, &known, false)?;
        if let Some(settings) = &self.world.borrow().scenario.fleet {
            let nodes = self.world.borrow().nodes.len();
            let (path, config) = (self.member_file(node), config_for_node(self.block, nodes, settings, node));
            std::fs::write(&path, config_to_toml(&config)).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        let process = self.spawn(node)?;
        let pid = process.pid;
        self.processes.borrow_mut()[node] = Some(process);
        spawn_local(wait_until_ready(self.clone(), node, pid));
        Ok(())
    }

    fn member_file(&self, node: NodeId) -> PathBuf {
        self.dir.join(format!("f{node}.toml"))
    }

    fn file(&self, node: NodeId) -> PathBuf {
        self.dir.join(format!("n{node}.json"))
    }

    /// Writes the node's configuration, initial or with alternate settings.
    fn configure(&self, node: NodeId, known: &Listing, alternate: bool) -> Result<(), String> {
        let world = self.world.borrow();
        let (zone, scenario) = (world.nodes[node].zone.clone(), &world.scenario);
        let all = 0..scenario.nodes.count.0;
        let peers: Vec<String> = all.map(|node| node_addr(self.block, node).to_string()).collect();
        let config = json!({
            "name": format!("n{node}"),
            "peers": scenario.platform.peers.then_some(peers),
            "listen": node_addr(self.block, node).to_string(),
            "discovery": list_addr(self.block, node).to_string(),
            "seed": format!("{:x}", world.seed.wrapping_mul(7919).wrapping_add(node as u64) & 0xffff_ffff),
            "limits": { "cores": 1.0, "memory_mb": scenario.nodes.memory_mb.0, "sockets": scenario.nodes.sockets.0 },
            "known": settings::hosts(known, self.epoch),
            "settings": settings::retuned(scenario, node, &zone, alternate),
        });
        let path = self.file(node);
        std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn spawn(self: &Rc<Self>, node: NodeId) -> Result<Process, String> {
        let sockets = self.world.borrow().scenario.nodes.sockets.0;
        let log = match &self.options.logs {
            None => Stdio::null(),
            Some(dir) => {
                let path = dir.join(format!("n{node}.log"));
                let opened = std::fs::OpenOptions::new().create(true).append(true).open(&path);
                opened.map_err(|e| format!("{}: {e}", path.display()))?.into()
            }
        };
        let (folder, started) = (self.dir.join(format!("t{node}")), self.started.get());
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        self.started.set(started.wrapping_add(1));
        let management = management_addr(self.block, node, started);
        let run = format!("ulimit -n {sockets}; exec \"$0\" serve --config \"$@\"");
        let mut command = tokio::process::Command::new("/bin/sh");
        command.arg("-c").arg(run).arg(&self.options.node).arg(self.file(node));
        if self.world.borrow().scenario.fleet.is_some() {
            command.arg("--fleet").arg(self.member_file(node));
        }
        command.env_remove("BALANCER_LISTEN").env_remove("BALANCER_DISCOVERY").env_remove("BALANCER_CONFIG");
        command.env("BALANCER_MANAGEMENT", management.to_string()).env("TMPDIR", folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.options.node.display()))?;
        let pid = child.id().map_or(0, |pid| pid as i32);
        let harness = self.clone();
        spawn_local(async move {
            let ended = child.wait().await;
            harness.process_ended(node, pid, ended.is_ok_and(|status| status.success()));
        });
        Ok(Process { pid, management, end_expected: false })
    }

    fn report_fault(&self, message: String) {
        self.fault.borrow_mut().get_or_insert(message);
        self.wakeup.notify_one();
    }

    /// Starts a second process for the node; once it is ready the old one is stopped, and killed after a
    /// delay.
    async fn replace(self: Rc<Self>, node: NodeId) {
        let Some(old) = self.processes.borrow()[node].as_ref().map(|process| process.pid) else { return };
        self.single_process.borrow_mut()[node] = false;
        let new = match self.spawn(node) {
            Ok(new) => new,
            Err(message) => return self.report_fault(message),
        };
        let ready = timeout(REPLACEMENT_TIMEOUT, async {
            while management_get(new.management, "/v1/readyz").await.is_none_or(|answer| answer.0 != 200) {
                sleep(Duration::from_millis(20)).await;
            }
        });
        if ready.await.is_err() {
            return self.report_fault(format!("node {node}: its new process was not ready in time"));
        }
        self.processes.borrow_mut()[node] = Some(new);
        let _ = kill(Pid::from_raw(old), Signal::SIGTERM);
        sleep(KILL_DELAY).await;
        // The old process has ended by now unless it hangs; if it has ended, nothing has this process id any
        // more.
        let _ = kill(Pid::from_raw(old), Signal::SIGKILL);
    }

    /// Applies a truncated file, then a valid one with other settings. The metrics must count both.
    async fn retune(self: Rc<Self>, node: NodeId) {
        let Some((pid, management)) = self.processes.borrow()[node].as_ref().map(|p| (p.pid, p.management))
        else {
            return;
        };
        let known = self.world.borrow().known_list(node);
        let path = self.file(node);
        let cut = || std::fs::read(&path).and_then(|text| std::fs::write(&path, &text[..text.len() / 2]));
        for fit in [false, true] {
            let written =
                if fit { self.configure(node, &known, true) } else { cut().map_err(|e| e.to_string()) };
            if let Err(message) = written {
                return self.report_fault(message);
            }
            let _ = kill(Pid::from_raw(pid), Signal::SIGHUP);
            sleep(Duration::from_millis(300)).await;
        }
        let metrics =
            management_get(management, "/v1/metrics").await.map(|(_, body)| body).unwrap_or_default();
        if metrics["sighup_applied"].as_u64() < Some(1) || metrics["sighup_rejected"].as_u64() < Some(1) {
            self.report_fault(format!(
                "node {node}: new settings were not applied, or a truncated file was: {metrics}"
            ));
        }
    }

    /// Describes where the node's metrics differ from what its clients saw.
    async fn metric_mismatches(&self, node: NodeId) -> String {
        if !self.single_process.borrow()[node] {
            return String::new();
        }
        let Some(management) = self.processes.borrow()[node].as_ref().map(|process| process.management)
        else {
            return String::new();
        };
        let Some((200, metrics)) = management_get(management, "/v1/metrics").await else {
            return format!("node {node} returned no metrics. ");
        };
        let mut metric_mismatches = String::new();
        for ((_, operation), seen) in self.answers.borrow().iter().filter(|answers| answers.0 .0 == node) {
            let results = &metrics["results"][operation];
            for (name, seen) in ["succeeded", "declined", "aborted"].iter().zip(seen) {
                let counted = results[name].as_u64().unwrap_or(u64::MAX);
                // Calls that clients abandon, a few in a hundred, may be counted under any result.
                if counted.abs_diff(*seen) > 3.max(seen / 50) {
                    metric_mismatches +=
                        &format!("node {node} counts {counted} {name} of {operation}, clients saw {seen}. ");
                }
            }
        }
        metric_mismatches
    }

    /// Handles the end of a node's process.
    fn process_ended(self: &Rc<Self>, node: NodeId, pid: i32, success: bool) {
        let process = self.processes.borrow_mut()[node].take_if(|process| process.pid == pid);
        let Some(process) = process else {
            // Another process has replaced it, or will.
            if !success {
                self.report_fault(format!("node {node}: a replaced process failed"));
            }
            return;
        };
        if !process.end_expected {
            *self.fault.borrow_mut() = Some(format!("node {node} ended unexpectedly, success: {success}"));
        }
        self.idle.borrow_mut()[node].clear();
        self.news.borrow_mut()[node].clear();
        let now = self.now();
        if self.world.borrow().nodes[node].alive {
            self.world.borrow_mut().node_gone(now, node);
        }
        self.wakeup.notify_one();
    }

    fn execute_command(self: &Rc<Self>, node: NodeId, command: NodeCommand) {
        let signal = match command {
            NodeCommand::Start | NodeCommand::StartBack => return self.start(node),
            NodeCommand::Kill => Signal::SIGKILL,
            NodeCommand::Stall => Signal::SIGSTOP,
            NodeCommand::Wake => Signal::SIGCONT,
            NodeCommand::Stop => Signal::SIGTERM,
            NodeCommand::Reload => Signal::SIGHUP,
            NodeCommand::Retune => return drop(spawn_local(self.clone().retune(node))),
            NodeCommand::Replace => return drop(spawn_local(self.clone().replace(node))),
        };
        let keeps_running = matches!(command, NodeCommand::Reload | NodeCommand::Stall | NodeCommand::Wake);
        self.single_process.borrow_mut()[node] &= keeps_running;
        self.measure(node);
        let now = self.now();
        let Some(pid) = self.processes.borrow_mut()[node].as_mut().map(|process| {
            process.end_expected |= !keeps_running;
            process.pid
        }) else {
            return;
        };
        match command {
            // Reported before its connections break, so that the tries it held are void.
            NodeCommand::Kill => self.world.borrow_mut().node_gone(now, node),
            NodeCommand::Stop => {
                self.world.borrow_mut().node_stopping(now, node);
                let harness = self.clone();
                spawn_local(async move {
                    sleep(KILL_DELAY).await;
                    if harness.processes.borrow()[node].as_ref().is_some_and(|process| process.pid == pid) {
                        let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
                    }
                });
            }
            NodeCommand::Stall => self.world.borrow_mut().invariants.pause_node(now, node),
            NodeCommand::Wake => self.world.borrow_mut().invariants.resume_node(now, node),
            NodeCommand::Start
            | NodeCommand::StartBack
            | NodeCommand::Reload
            | NodeCommand::Retune
            | NodeCommand::Replace => {}
        }
        let _ = kill(Pid::from_raw(pid), signal);
    }

    fn measure(&self, node: NodeId) {
        let Some(pid) = self.processes.borrow()[node].as_ref().map(|process| process.pid) else { return };
        let usage = resource_usage(pid);
        let mut all = self.machines.get();
        all.cpu_seconds += usage.cpu_seconds;
        all.peak_mb = all.peak_mb.max(usage.peak_mb);
        all.most_descriptors = all.most_descriptors.max(usage.most_descriptors);
        self.machines.set(all);
    }

    fn end_all(&self) {
        for process in self.processes.borrow_mut().iter_mut().flatten() {
            process.end_expected = true;
            let _ = kill(Pid::from_raw(process.pid), Signal::SIGKILL);
        }
    }
}

/// Resources that a process has used so far.
pub fn resource_usage(pid: i32) -> ResourceUsage {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    // Fields 14 and 15, counted after the name, which may contain spaces; in hundredths of a second.
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = peak.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0);
    let held = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |held| held.count());
    ResourceUsage {
        cpu_seconds: (ticks(11) + ticks(12)) / 100.0,
        peak_mb: kib / 1024.0,
        most_descriptors: held,
        late: 0.0,
    }
}

async fn wait_until_ready(harness: Rc<Harness>, node: NodeId, pid: i32) {
    let here = || harness.processes.borrow()[node].as_ref().is_some_and(|process| process.pid == pid);
    while here() {
        if let Ok(mut sender) = dial(node_addr(harness.block, node)).await {
            let ask = Request::get("/up").header("host", "b").body(Full::default());
            if let Ok(ask) = ask {
                let answer = sender.send_request(ask).await;
                if answer.is_ok_and(|answer| answer.status() == 200) && here() {
                    harness.world.borrow_mut().node_ready(node);
                    return harness.wakeup.notify_one();
                }
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn dial(addr: SocketAddr) -> Result<client::SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

/// Calls a management address; returns the status and the JSON body.
async fn management_get(management: SocketAddr, path: &str) -> Option<(u16, Value)> {
    let mut sender = dial(management).await.ok()?;
    let request = Request::get(path).header("host", "n").body(Full::default()).ok()?;
    let answer = timeout(Duration::from_secs(1), sender.send_request(request)).await.ok()?.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}

// Clients

fn request(harness: &Harness, tri: TryId) -> Option<Request<Full<Bytes>>> {
    let world = harness.world.borrow();
    let (ask, tried) = (world.clients.ask_of(tri), world.clients.tries[tri as usize]);
    let op = &world.scenario.operations[ask.op];
    let budget = ((tried.deadline - harness.now()) * 1e3).floor().max(1.0) as u64;
    let mut request = Request::post(format!("/{}/x", op.name))
        .header("host", "backend.local")
        .header("x-call-id", call(world.seed, tri))
        .header("x-call-class", &op.name)
        .header("x-budget-ms", budget);
    if let Some(tenant) = ask.tenant {
        request = request.header("x-caller", &world.scenario.tenants[tenant].name);
    }
    if let Some(hint) = ask.hint {
        request = request.header("x-call-cost", format!("{:.0}", hint * 1e6));
    }
    if op.memory.0 > 0.0 {
        request = request.header("x-call-info", format!("memory={}", op.memory.0));
    }
    request.body(Full::from(Bytes::from_static(b"job"))).ok()
}

async fn submit(harness: Rc<Harness>, node: NodeId, tri: TryId) {
    let addr = node_addr(harness.block, node);
    let mut written = false;
    loop {
        let idle_sender = harness.idle.borrow_mut()[node].pop();
        let reused = idle_sender.is_some();
        let sender = match idle_sender {
            Some(sender) if sender.is_closed() => continue,
            Some(sender) => Ok(sender),
            None => dial(addr).await,
        };
        let Ok(mut sender) = sender else {
            let now = harness.now();
            // A request written to a connection that broke may have been received: it is not sent to another
            // node.
            match written {
                true => harness.world.borrow_mut().connection_lost(now, tri),
                false => harness.world.borrow_mut().refused(now, tri),
            }
            return harness.wakeup.notify_one();
        };
        let Some(request) = request(&harness, tri) else { return };
        if !std::mem::replace(&mut written, true) {
            let now = harness.now();
            harness.world.borrow_mut().taken(now, tri);
        }
        match answer(&mut sender, request).await {
            // A node may close an idle connection at any time: the request is sent once more on a new one.
            Err(_) if reused && harness.world.borrow().nodes[node].alive => continue,
            Err(_) => {
                // The end of a process may be seen slightly after the end of its connections.
                sleep(Duration::from_millis(20)).await;
                let now = harness.now();
                harness.world.borrow_mut().connection_lost(now, tri);
            }
            Ok((status, pause, body)) => {
                let now = harness.now();
                let right = body.as_ref() == call(harness.world.borrow().seed, tri).as_bytes();
                let answer = match status {
                    200 if right => FinalAnswer::Served,
                    429 | 503 => FinalAnswer::Refused,
                    400..=499 => FinalAnswer::Unfit,
                    _ => FinalAnswer::Failed,
                };
                harness.count_answer(node, tri, answer);
                harness.world.borrow_mut().answered(now, tri, answer, pause);
                if !sender.is_closed() {
                    harness.idle.borrow_mut()[node].push(sender);
                }
            }
        }
        harness.clients.borrow_mut().remove(&tri);
        return harness.wakeup.notify_one();
    }
}

async fn answer(
    sender: &mut client::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(u16, f64, Bytes), hyper::Error> {
    sender.ready().await?;
    let answer = sender.send_request(request).await?;
    let pause = answer.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await?.to_bytes();
    Ok((status, pause.unwrap_or(0.0), body))
}

// Workers

async fn run_worker(harness: Rc<Harness>, worker: WorkerId, mut listener: Option<TcpListener>) {
    let mut connections = JoinSet::new();
    loop {
        let life = harness.world.borrow().workers[worker].life;
        if life == Liveness::Down {
            // Stops listening and breaks open connections.
            listener = None;
            connections.abort_all();
        } else if listener.is_none() {
            listener = listen(worker_addr(harness.block, worker)).ok();
        }
        let limit = harness.world.borrow().workers[worker].connections();
        let Some(open) = &listener else {
            let _ = timeout(Duration::from_millis(20), harness.worker_changed[worker].notified()).await;
            continue;
        };
        tokio::select! {
            // State changes are notified, or noticed at the next poll.
            _ = timeout(Duration::from_millis(20), harness.worker_changed[worker].notified()) => {}
            accepted = open.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                while connections.try_join_next().is_some() {}
                if connections.len() < limit {
                    let _ = stream.set_nodelay(true);
                    connections.spawn_local(serve(harness.clone(), worker, stream));
                }
            }
        }
    }
}

async fn serve(harness: Rc<Harness>, worker: WorkerId, stream: TcpStream) {
    let service = service_fn(|request| {
        let harness = harness.clone();
        async move { respond(harness, worker, request).await }
    });
    let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// A connection that ends without an answer.
#[derive(Debug)]
struct ConnectionBroken;

impl std::fmt::Display for ConnectionBroken {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for ConnectionBroken {}

fn load_report(report: &Report) -> Value {
    json!({ "x0": report.free, "depth": report.queue, "concurrent": report.inflight, "x1": report.memory })
}

fn plain_response(status: u16, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(Bytes::from(body)));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

async fn respond(
    harness: Rc<Harness>,
    worker: WorkerId,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ConnectionBroken> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/alive" | "/metrics/load") => probed(harness, worker, &path).await,
        (&Method::DELETE, path) => {
            let Some(tri) = path.strip_prefix("/jobs/").and_then(tri_of) else {
                return Ok(plain_response(404, String::new()));
            };
            let now = harness.now();
            let (mut outputs, mut world) = (Vec::new(), harness.world.borrow_mut());
            let node = world.clients.tries.get(tri as usize).map(|tried| tried.node);
            if let Some(node) = node {
                world.invariants.given_up(now, tri, worker);
                world.give_up(now, node, worker, tri, &mut outputs);
            }
            drop(world);
            harness.deliver_outputs(outputs);
            Ok(plain_response(200, String::new()))
        }
        (&Method::POST, _) => job(harness, worker, request).await,
        _ => Ok(plain_response(404, String::new())),
    }
}

async fn probed(
    harness: Rc<Harness>,
    worker: WorkerId,
    path: &str,
) -> Result<Response<Full<Bytes>>, ConnectionBroken> {
    let now = harness.now();
    if harness.world.borrow().workers[worker].life == Liveness::Vanished {
        return std::future::pending().await;
    }
    let answer = harness.world.borrow_mut().probe(now, worker);
    match answer {
        None => std::future::pending().await,
        Some((up, report)) => {
            let body = if path == "/alive" { String::new() } else { load_report(&report).to_string() };
            Ok(plain_response(if up { 200 } else { 503 }, body))
        }
    }
}

/// Cancels a job if its connection is closed before it was answered.
struct Unanswered<'a> {
    harness: &'a Rc<Harness>,
    worker: WorkerId,
    node: NodeId,
    tri: TryId,
    answered: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        let waited = self.harness.pending.borrow_mut().remove(&(self.worker, self.tri)).is_some();
        if !self.answered && waited {
            let (now, mut outputs) = (self.harness.now(), Vec::new());
            let mut world = self.harness.world.borrow_mut();
            world.invariants.given_up(now, self.tri, self.worker);
            world.give_up(now, self.node, self.worker, self.tri, &mut outputs);
            drop(world);
            self.harness.deliver_outputs(outputs);
        }
    }
}

async fn job(
    harness: Rc<Harness>,
    worker: WorkerId,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ConnectionBroken> {
    let tri = request.headers().get("x-call-id").and_then(|id| tri_of(id.to_str().ok()?));
    let known = |tri: &TryId| harness.world.borrow().clients.tries.get(*tri as usize).is_some();
    let Some(tri) = tri.filter(known) else { return Ok(plain_response(400, String::new())) };
    let (node, delivery) = {
        let world = harness.world.borrow();
        let node = world.clients.tries[tri as usize].node;
        (node, world.delivery(node, worker, tri, worker))
    };
    match delivery {
        Delivery::BreaksBefore(_) | Delivery::Refused(_) => return Err(ConnectionBroken),
        Delivery::Cut => return std::future::pending().await,
        Delivery::Arrives(takes) | Delivery::BreaksAfter(takes) => {
            sleep(Duration::from_secs_f64(takes)).await
        }
    }
    request.into_body().collect().await.map_err(|_| ConnectionBroken)?;
    let (sender, receiver) = oneshot::channel();
    harness.pending.borrow_mut().insert((worker, tri), sender);
    let mut unanswered = Unanswered { harness: &harness, worker, node, tri, answered: false };
    let (now, mut outputs) = (harness.now(), Vec::new());
    harness.world.borrow_mut().job(now, node, worker, tri, now, &mut outputs);
    harness.deliver_outputs(outputs);
    if matches!(delivery, Delivery::BreaksAfter(_)) {
        harness.ack(worker, tri, Ack::Breaks);
    }
    let ack = receiver.await;
    unanswered.answered = true;
    match ack {
        Ok(Ack::Taken) => Ok(plain_response(202, String::new())),
        Ok(Ack::Rejects(report)) => {
            let mut response = plain_response(503, String::new());
            let value = load_report(&report).to_string().parse();
            response.headers_mut().insert("x-rejected", hyper::header::HeaderValue::from_static("1"));
            value.ok().map(|value| response.headers_mut().insert("x-load-report", value));
            Ok(response)
        }
        Ok(Ack::Fails) => Ok(plain_response(500, String::new())),
        Ok(Ack::Breaks) | Err(_) => Err(ConnectionBroken),
    }
}

async fn send_news(
    harness: Rc<Harness>,
    node: NodeId,
    worker: WorkerId,
    tri: TryId,
    word: JobUpdate,
    report: Report,
) {
    let id = call(harness.world.borrow().seed, tri);
    let state = match word {
        JobUpdate::Started => "started",
        JobUpdate::Running => "running",
        JobUpdate::Done => "done",
        JobUpdate::Returned => "returned",
        JobUpdate::Lost => "lost",
    };
    let mut line = json!({ "id": id, "from": name(worker), "state": state });
    if word == JobUpdate::Done {
        line["result"] = json!(id);
    }
    if !matches!(word, JobUpdate::Started | JobUpdate::Running) {
        line["load"] = load_report(&report);
    }
    let text = Bytes::from(line.to_string());
    for _ in 0..MAX_NEWS_TRIES {
        let delivery = harness.world.borrow().delivery(node, worker, tri, 200);
        let vanished = harness.world.borrow().workers[worker].life == Liveness::Vanished;
        if vanished {
            return;
        }
        if delivery != Delivery::Cut && post_news(&harness, node, &text).await {
            return;
        }
        sleep(NEWS_RETRY_DELAY).await;
    }
}

/// Posts an update to a node; returns whether it was answered.
async fn post_news(harness: &Rc<Harness>, node: NodeId, text: &Bytes) -> bool {
    let idle_sender = harness.news.borrow_mut()[node].pop();
    let sender = match idle_sender.filter(|idle_sender| !idle_sender.is_closed()) {
        Some(sender) => Ok(sender),
        None => dial(node_addr(harness.block, node)).await,
    };
    let Ok(mut sender) = sender else { return false };
    let post = Request::post("/_jobs/news").header("host", "b").body(Full::from(text.clone()));
    let Ok(post) = post else { return false };
    let answered = answer(&mut sender, post).await.is_ok_and(|(status, ..)| status == 200 || status == 204);
    if answered && !sender.is_closed() {
        harness.news.borrow_mut()[node].push(sender);
    }
    answered
}

// Discovery

/// A response body that streams lines from a channel.
pub(crate) struct Lines(pub(crate) mpsc::UnboundedReceiver<Bytes>);

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

async fn serve_list(harness: Rc<Harness>, node: NodeId, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let harness = harness.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let harness = harness.clone();
                async move { open_watch(harness, node, request.uri().query().unwrap_or_default()) }
            });
            let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn open_watch(harness: Rc<Harness>, node: NodeId, query: &str) -> Result<Response<Lines>, ConnectionBroken> {
    let figure = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
    let (lines, body) = mpsc::unbounded_channel();
    let (watch, version) = (harness.watch.get() + 1, figure("index=").unwrap_or(0));
    harness.watch.set(watch);
    harness.watches.borrow_mut().insert((node, watch), lines.clone());
    let mut outputs = Vec::new();
    let now = harness.now();
    harness.world.borrow_mut().watch(now, node, watch, version, &mut outputs);
    let lost = outputs.iter().any(|out| matches!(out, Output::Lost { .. }));
    harness.deliver_outputs(outputs);
    if lost {
        return Err(ConnectionBroken);
    }
    spawn_local(async move {
        while lines.send(Bytes::from_static(b"\n")).is_ok() {
            sleep(KEEPALIVE_INTERVAL).await;
            if !harness.watches.borrow().contains_key(&(node, watch)) {
                return;
            }
        }
    });
    Ok(Response::new(Lines(body)))
}

/// The node's program in the directory of this executable.
pub fn node_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.parent().unwrap_or(Path::new(".")).join("coveroute")
}
