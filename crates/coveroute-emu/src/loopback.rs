//! Loopback: the same scenario in real time, on real sockets, against real `coveroute` processes with real signals and
//! limits on descriptors. The world is the one of virtual time; here its words are HTTP/1.1.
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
use crate::fleet::processes::{lock, plan_of, relays, text};
use crate::scenario::Scenario;
use crate::settings;
use crate::world::invariants::FinalAnswer;
use crate::world::worker::Liveness;
use crate::world::{
    call, name, tri_of, Delivery, JobUpdate, NodeId, Order, Outcome, Output, TryId, WorkerId, World,
};

/// A forward is seen when it arrives: on a busy machine so much after it was sent.
const SLIP: f64 = 0.1;
/// A worker tells its news again after this, so often.
const NEWS_AGAIN: Duration = Duration::from_millis(200);
const NEWS_TRIES: usize = 10;
/// A watch with nothing to tell says so this often.
const QUIET_LINE: Duration = Duration::from_secs(2);
/// Nodes have this long to be up.
const UP_WITHIN: Duration = Duration::from_secs(20);
/// A new process is ready within this.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// A node that was asked to stop is killed after this.
const KILLED_AFTER: Duration = Duration::from_millis(3700);

pub struct Options {
    /// The node's program.
    pub node: PathBuf,
    /// Where nodes' logs go; nowhere without it.
    pub logs: Option<PathBuf>,
}

/// What the processes took.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Machines {
    pub cpu_seconds: f64,
    pub peak_mb: f64,
    pub most_descriptors: usize,
    pub late: f64,
}

/// Answers that clients had of a node, by operation: served, refused, failed.
type Answers = BTreeMap<(NodeId, String), [u64; 3]>;

type Pending = HashMap<(WorkerId, TryId), oneshot::Sender<Ack>>;

/// What a worker answers to a job.
enum Ack {
    Taken,
    Rejects(Report),
    Fails,
    Breaks,
}

struct Process {
    pid: i32,
    /// Its operators' door.
    door: SocketAddr,
    /// Told to end: its end is no crash.
    ordered: bool,
}

struct Stage {
    world: RefCell<World>,
    began: Instant,
    base: f64,
    block: u8,
    pending: RefCell<Pending>,
    clients: RefCell<HashMap<TryId, AbortHandle>>,
    idle: RefCell<Vec<Vec<client::SendRequest<Full<Bytes>>>>>,
    news: RefCell<Vec<Vec<client::SendRequest<Full<Bytes>>>>>,
    watches: RefCell<BTreeMap<(NodeId, u64), mpsc::UnboundedSender<Bytes>>>,
    watch: Cell<u64>,
    processes: RefCell<Vec<Option<Process>>>,
    /// Processes that have been started, of all nodes.
    started: Cell<u16>,
    answers: RefCell<Answers>,
    /// Nodes that have had one process alone: its figures are all of the node's.
    single: RefCell<Vec<bool>>,
    /// Between nodes that know each other.
    links: Arc<Mutex<Links>>,
    lives: Vec<Notify>,
    stir: Notify,
    options: Options,
    dir: PathBuf,
    fault: RefCell<Option<String>>,
    machines: Cell<Machines>,
}

fn worker_addr(block: u8, worker: WorkerId) -> SocketAddr {
    ([127, block, (worker >> 8) as u8, worker as u8], 9000).into()
}

fn node_addr(block: u8, node: NodeId) -> SocketAddr {
    ([127, block, 254 - (node >> 8) as u8, node as u8], 9100).into()
}

/// Each process has an operators' door of its own.
fn door_addr(block: u8, node: NodeId, started: u16) -> SocketAddr {
    ([127, block, 254 - (node >> 8) as u8, node as u8], 12_000 + started % 20_000).into()
}

fn list_addr(block: u8, node: NodeId) -> SocketAddr {
    ([127, block, 254 - (node >> 8) as u8, node as u8], 8500).into()
}

/// Plays a scenario against processes, in as long as it lasts.
pub fn run(scenario: &Scenario, seed: u64, options: Options) -> Result<(Outcome, Machines), String> {
    if !options.node.is_file() {
        return Err(format!("{}: no program; build it first", options.node.display()));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let dir = std::env::temp_dir().join(format!("coveroute-emu-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let played = LocalSet::new().block_on(&runtime, play(scenario, seed, options, dir.clone()));
    let _ = std::fs::remove_dir_all(&dir);
    played
}

async fn play(
    scenario: &Scenario,
    seed: u64,
    options: Options,
    dir: PathBuf,
) -> Result<(Outcome, Machines), String> {
    // A block of loopback addresses of its own, so that runs beside each other don't meet.
    let block = 16 + (std::process::id() % 200) as u8;
    let mut world = World::new(scenario.clone(), seed, |worker| worker_addr(block, worker));
    world.invariants.detection_lag = SLIP;
    let (workers, nodes) = (world.workers.len(), world.nodes.len());
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |unix| unix.as_secs_f64());
    let zones: Vec<String> = world.nodes.iter().map(|node| node.zone.clone()).collect();
    let links = Arc::new(Mutex::new(Links::new(scenario, seed, &zones)));
    let began = Instant::now();
    if scenario.fleet.is_some() {
        if nodes > 100 {
            return Err(format!("nodes: {nodes} that know each other; 100 at most on loopback"));
        }
        relays(block, nodes, &links, began).await?;
    }
    let stage = Rc::new(Stage {
        world: RefCell::new(world),
        links,
        began,
        base: unix,
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
        single: RefCell::new(vec![true; nodes]),
        lives: (0..workers).map(|_| Notify::new()).collect(),
        stir: Notify::new(),
        options,
        dir,
        fault: RefCell::new(None),
        machines: Cell::default(),
    });
    for worker in 0..workers {
        let listener = listen(worker_addr(block, worker))?;
        spawn_local(work(stage.clone(), worker, Some(listener)));
    }
    for node in 0..nodes {
        let listener = listen(list_addr(block, node))?;
        spawn_local(tell_list(stage.clone(), node, listener));
        stage.start(node);
    }
    let up = timeout(UP_WITHIN, async {
        while !stage.world.borrow().nodes.iter().all(|node| node.in_rotation)
            && stage.fault.borrow().is_none()
        {
            sleep(Duration::from_millis(20)).await;
        }
    });
    if up.await.is_err() {
        stage.end_all();
        return Err("the nodes are not up in time".into());
    }
    // The scenario's time begins when all are ready.
    let ready = stage.now();
    stage.world.borrow_mut().delay(ready);
    lock(&stage.links).delay(ready);
    let end = stage.world.borrow().end();
    loop {
        let now = stage.now();
        if now >= end || stage.world.borrow().is_over(now) || stage.fault.borrow().is_some() {
            break;
        }
        let mut outs = Vec::new();
        let due = stage.world.borrow().next_due();
        if let Some(due) = due.filter(|due| *due <= now) {
            let mut machines = stage.machines.get();
            machines.late = machines.late.max(now - due);
            stage.machines.set(machines);
        }
        stage.world.borrow_mut().advance(now, &mut outs);
        outs.into_iter().for_each(|out| stage.bring_one(out));
        let due = stage.world.borrow().next_due().unwrap_or(end).min(end);
        let at = stage.began + Duration::from_secs_f64(due.max(0.0));
        tokio::select! {
            () = sleep_until(at.into()) => {}
            () = stage.stir.notified() => {}
        }
    }
    for node in 0..nodes {
        stage.measure(node);
        let untrue = stage.untrue(node).await;
        stage.fault.borrow_mut().get_or_insert_with(String::new).push_str(&untrue);
    }
    stage.fault.borrow_mut().take_if(|words| words.is_empty());
    stage.end_all();
    let fault = stage.fault.borrow_mut().take();
    fault.map_or_else(|| Ok((stage.world.borrow_mut().result(), stage.machines.get())), Err)
}

fn listen(addr: SocketAddr) -> Result<TcpListener, String> {
    let told = |e: std::io::Error| format!("{addr}: {e}");
    let socket = TcpSocket::new_v4().map_err(told)?;
    socket.set_reuseaddr(true).map_err(told)?;
    socket.bind(addr).map_err(told)?;
    socket.listen(1024).map_err(told)
}

impl Stage {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Brings it where it goes, and sees to it that the world is asked anew when it has something to do next.
    fn bring(self: &Rc<Self>, outs: Vec<Output>) {
        outs.into_iter().for_each(|out| self.bring_one(out));
        self.stir.notify_one();
    }

    fn bring_one(self: &Rc<Self>, out: Output) {
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
            Output::Reset { worker, tri: TryId::MAX, .. } => self.lives[worker].notify_one(),
            Output::Reset { worker, tri, .. } => {
                self.ack(worker, tri, Ack::Breaks);
                self.lives[worker].notify_one();
            }
            Output::News { node, worker, tri, word, report } => {
                let never = word == JobUpdate::Returned;
                if matches!(word, JobUpdate::Returned | JobUpdate::Lost) {
                    let now = self.now();
                    self.world.borrow_mut().outcome(now, tri, worker, never);
                }
                spawn_local(tell_news(self.clone(), node, worker, tri, word, report));
            }
            // The first line is a list, also where nothing has changed.
            Output::Begun { node, watch, version } => {
                let line = format!("{{\"version\":{version},\"full\":false,\"servers\":[]}}\n");
                self.line(node, watch, line.as_bytes());
            }
            Output::Listed { node, watch, listing } => {
                let mut line = settings::hosts(&listing, self.base).to_string();
                line.push('\n');
                self.line(node, watch, line.as_bytes());
                let now = self.now();
                self.world.borrow_mut().listed(now, node, &listing);
            }
            Output::Lost { node, watch, .. } => drop(self.watches.borrow_mut().remove(&(node, watch))),
            Output::Node { node, order } => self.order(node, order),
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

    fn line(&self, node: NodeId, watch: u64, line: &[u8]) {
        if let Some(watch) = self.watches.borrow().get(&(node, watch)) {
            let _ = watch.send(Bytes::copy_from_slice(line));
        }
    }

    /// What the client was told, for the figures to be held against.
    fn count(&self, node: NodeId, tri: TryId, answer: FinalAnswer) {
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

    // Nodes as processes.

    fn start(self: &Rc<Self>, node: NodeId) {
        if self.processes.borrow()[node].is_some() {
            return;
        }
        if let Err(words) = self.begin(node) {
            *self.fault.borrow_mut() = Some(words);
        }
    }

    fn begin(self: &Rc<Self>, node: NodeId) -> Result<(), String> {
        let now = self.now();
        let known = {
            let mut world = self.world.borrow_mut();
            let known = world.known_list(node);
            world.node_started(now, node, &known);
            known
        };
        self.configure(node, &known, false)?;
        if let Some(part) = &self.world.borrow().scenario.fleet {
            let nodes = self.world.borrow().nodes.len();
            let (path, plan) = (self.plan_file(node), plan_of(self.block, nodes, part, node));
            std::fs::write(&path, text(&plan)).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        let process = self.spawn(node)?;
        let pid = process.pid;
        self.processes.borrow_mut()[node] = Some(process);
        spawn_local(wait_up(self.clone(), node, pid));
        Ok(())
    }

    fn plan_file(&self, node: NodeId) -> PathBuf {
        self.dir.join(format!("f{node}.toml"))
    }

    fn file(&self, node: NodeId) -> PathBuf {
        self.dir.join(format!("n{node}.json"))
    }

    /// Writes the node's configuration: as at the start, or with other settings.
    fn configure(&self, node: NodeId, known: &Listing, anew: bool) -> Result<(), String> {
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
            "known": settings::hosts(known, self.base),
            "settings": settings::retuned(scenario, node, &zone, anew),
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
        let door = door_addr(self.block, node, started);
        let run = format!("ulimit -n {sockets}; exec \"$0\" serve --config \"$@\"");
        let mut command = tokio::process::Command::new("/bin/sh");
        command.arg("-c").arg(run).arg(&self.options.node).arg(self.file(node));
        if self.world.borrow().scenario.fleet.is_some() {
            command.arg("--fleet").arg(self.plan_file(node));
        }
        command.env_remove("BALANCER_LISTEN").env_remove("BALANCER_DISCOVERY").env_remove("BALANCER_CONFIG");
        command.env("BALANCER_MANAGEMENT", door.to_string()).env("TMPDIR", folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.options.node.display()))?;
        let pid = child.id().map_or(0, |pid| pid as i32);
        let stage = self.clone();
        spawn_local(async move {
            let ended = child.wait().await;
            stage.gone(node, pid, ended.is_ok_and(|status| status.success()));
        });
        Ok(Process { pid, door, ordered: false })
    }

    fn fails(&self, words: String) {
        self.fault.borrow_mut().get_or_insert(words);
        self.stir.notify_one();
    }

    /// Starts a process beside the node's; once it is ready the old one is stopped, and killed in time.
    async fn replace(self: Rc<Self>, node: NodeId) {
        let Some(old) = self.processes.borrow()[node].as_ref().map(|process| process.pid) else { return };
        self.single.borrow_mut()[node] = false;
        let new = match self.spawn(node) {
            Ok(new) => new,
            Err(words) => return self.fails(words),
        };
        let ready = timeout(READY_WITHIN, async {
            while ask(new.door, "/v1/readyz").await.is_none_or(|answer| answer.0 != 200) {
                sleep(Duration::from_millis(20)).await;
            }
        });
        if ready.await.is_err() {
            return self.fails(format!("node {node}: its new process is not ready in time"));
        }
        self.processes.borrow_mut()[node] = Some(new);
        let _ = kill(Pid::from_raw(old), Signal::SIGTERM);
        sleep(KILLED_AFTER).await;
        // Gone by now, unless it hangs: then nothing answers to this number any more.
        let _ = kill(Pid::from_raw(old), Signal::SIGKILL);
    }

    /// Sends a file that is cut off, then a fit one with other settings; the figures must tell of both.
    async fn retune(self: Rc<Self>, node: NodeId) {
        let Some((pid, door)) = self.processes.borrow()[node].as_ref().map(|p| (p.pid, p.door)) else {
            return;
        };
        let known = self.world.borrow().known_list(node);
        let path = self.file(node);
        let cut = || std::fs::read(&path).and_then(|text| std::fs::write(&path, &text[..text.len() / 2]));
        for fit in [false, true] {
            let written =
                if fit { self.configure(node, &known, true) } else { cut().map_err(|e| e.to_string()) };
            if let Err(words) = written {
                return self.fails(words);
            }
            let _ = kill(Pid::from_raw(pid), Signal::SIGHUP);
            sleep(Duration::from_millis(300)).await;
        }
        let told = ask(door, "/v1/metrics").await.map(|(_, body)| body).unwrap_or_default();
        if told["sighup_applied"].as_u64() < Some(1) || told["sighup_rejected"].as_u64() < Some(1) {
            self.fails(format!("node {node}: new settings were not taken over, or a cut file was: {told}"));
        }
    }

    /// Where the node's figures are not what its clients saw.
    async fn untrue(&self, node: NodeId) -> String {
        if !self.single.borrow()[node] {
            return String::new();
        }
        let Some(door) = self.processes.borrow()[node].as_ref().map(|process| process.door) else {
            return String::new();
        };
        let Some((200, told)) = ask(door, "/v1/metrics").await else {
            return format!("node {node} shows no figures. ");
        };
        let mut untrue = String::new();
        for ((_, operation), seen) in self.answers.borrow().iter().filter(|answers| answers.0 .0 == node) {
            let results = &told["results"][operation];
            for (name, seen) in ["succeeded", "declined", "aborted"].iter().zip(seen) {
                let shown = results[name].as_u64().unwrap_or(u64::MAX);
                // What a client leaves may stand under any count: those that leave do so in some hundred.
                if shown.abs_diff(*seen) > 3.max(seen / 50) {
                    untrue +=
                        &format!("node {node} shows {shown} {name} of {operation}, clients saw {seen}. ");
                }
            }
        }
        untrue
    }

    /// Its process has ended.
    fn gone(self: &Rc<Self>, node: NodeId, pid: i32, well: bool) {
        let process = self.processes.borrow_mut()[node].take_if(|process| process.pid == pid);
        let Some(process) = process else {
            // Another process has its place, or will have.
            if !well {
                self.fails(format!("node {node}: a process that was replaced failed"));
            }
            return;
        };
        if !process.ordered {
            *self.fault.borrow_mut() = Some(format!("node {node} has ended by itself, well: {well}"));
        }
        self.idle.borrow_mut()[node].clear();
        self.news.borrow_mut()[node].clear();
        let now = self.now();
        if self.world.borrow().nodes[node].alive {
            self.world.borrow_mut().node_gone(now, node);
        }
        self.stir.notify_one();
    }

    fn order(self: &Rc<Self>, node: NodeId, order: Order) {
        let signal = match order {
            Order::Start | Order::StartBack => return self.start(node),
            Order::Kill => Signal::SIGKILL,
            Order::Stall => Signal::SIGSTOP,
            Order::Wake => Signal::SIGCONT,
            Order::Stop => Signal::SIGTERM,
            Order::Reload => Signal::SIGHUP,
            Order::Retune => return drop(spawn_local(self.clone().retune(node))),
            Order::Replace => return drop(spawn_local(self.clone().replace(node))),
        };
        let stays = matches!(order, Order::Reload | Order::Stall | Order::Wake);
        self.single.borrow_mut()[node] &= stays;
        self.measure(node);
        let now = self.now();
        let Some(pid) = self.processes.borrow_mut()[node].as_mut().map(|process| {
            process.ordered |= !stays;
            process.pid
        }) else {
            return;
        };
        match order {
            // Before its connections break: what it held is void.
            Order::Kill => self.world.borrow_mut().node_gone(now, node),
            Order::Stop => {
                self.world.borrow_mut().node_stopping(now, node);
                let stage = self.clone();
                spawn_local(async move {
                    sleep(KILLED_AFTER).await;
                    if stage.processes.borrow()[node].as_ref().is_some_and(|process| process.pid == pid) {
                        let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
                    }
                });
            }
            Order::Stall => self.world.borrow_mut().invariants.pause_node(now, node),
            Order::Wake => self.world.borrow_mut().invariants.resume_node(now, node),
            Order::Start | Order::StartBack | Order::Reload | Order::Retune | Order::Replace => {}
        }
        let _ = kill(Pid::from_raw(pid), signal);
    }

    fn measure(&self, node: NodeId) {
        let Some(pid) = self.processes.borrow()[node].as_ref().map(|process| process.pid) else { return };
        let took = taken_by(pid);
        let mut all = self.machines.get();
        all.cpu_seconds += took.cpu_seconds;
        all.peak_mb = all.peak_mb.max(took.peak_mb);
        all.most_descriptors = all.most_descriptors.max(took.most_descriptors);
        self.machines.set(all);
    }

    fn end_all(&self) {
        for process in self.processes.borrow_mut().iter_mut().flatten() {
            process.ordered = true;
            let _ = kill(Pid::from_raw(process.pid), Signal::SIGKILL);
        }
    }
}

/// What a process has taken so far.
pub fn taken_by(pid: i32) -> Machines {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    // Fields 14 and 15, counted behind the name, which may hold blanks; in hundredths of a second.
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = peak.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0);
    let held = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |held| held.count());
    Machines {
        cpu_seconds: (ticks(11) + ticks(12)) / 100.0,
        peak_mb: kib / 1024.0,
        most_descriptors: held,
        late: 0.0,
    }
}

async fn wait_up(stage: Rc<Stage>, node: NodeId, pid: i32) {
    let here = || stage.processes.borrow()[node].as_ref().is_some_and(|process| process.pid == pid);
    while here() {
        if let Ok(mut sender) = dial(node_addr(stage.block, node)).await {
            let ask = Request::get("/up").header("host", "b").body(Full::default());
            if let Ok(ask) = ask {
                let answer = sender.send_request(ask).await;
                if answer.is_ok_and(|answer| answer.status() == 200) && here() {
                    stage.world.borrow_mut().node_ready(node);
                    return stage.stir.notify_one();
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

/// A call at an operators' door: the status, and what it tells.
async fn ask(door: SocketAddr, path: &str) -> Option<(u16, Value)> {
    let mut sender = dial(door).await.ok()?;
    let request = Request::get(path).header("host", "n").body(Full::default()).ok()?;
    let answer = timeout(Duration::from_secs(1), sender.send_request(request)).await.ok()?.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}

// Clients.

fn request(stage: &Stage, tri: TryId) -> Option<Request<Full<Bytes>>> {
    let world = stage.world.borrow();
    let (ask, tried) = (world.clients.ask_of(tri), world.clients.tries[tri as usize]);
    let op = &world.scenario.operations[ask.op];
    let budget = ((tried.deadline - stage.now()) * 1e3).floor().max(1.0) as u64;
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

async fn submit(stage: Rc<Stage>, node: NodeId, tri: TryId) {
    let addr = node_addr(stage.block, node);
    let mut written = false;
    loop {
        let kept = stage.idle.borrow_mut()[node].pop();
        let reused = kept.is_some();
        let sender = match kept {
            Some(sender) if sender.is_closed() => continue,
            Some(sender) => Ok(sender),
            None => dial(addr).await,
        };
        let Ok(mut sender) = sender else {
            let now = stage.now();
            // What was written to a connection that broke may have been taken: it is not sent to another node.
            match written {
                true => stage.world.borrow_mut().connection_lost(now, tri),
                false => stage.world.borrow_mut().refused(now, tri),
            }
            return stage.stir.notify_one();
        };
        let Some(request) = request(&stage, tri) else { return };
        if !std::mem::replace(&mut written, true) {
            let now = stage.now();
            stage.world.borrow_mut().taken(now, tri);
        }
        match answer(&mut sender, request).await {
            // A node may close a connection between requests: sent once more on a new one.
            Err(_) if reused && stage.world.borrow().nodes[node].alive => continue,
            Err(_) => {
                // Its end may be told a little later than its connections'.
                sleep(Duration::from_millis(20)).await;
                let now = stage.now();
                stage.world.borrow_mut().connection_lost(now, tri);
            }
            Ok((status, pause, body)) => {
                let now = stage.now();
                let right = body.as_ref() == call(stage.world.borrow().seed, tri).as_bytes();
                let answer = match status {
                    200 if right => FinalAnswer::Served,
                    429 | 503 => FinalAnswer::Refused,
                    400..=499 => FinalAnswer::Unfit,
                    _ => FinalAnswer::Failed,
                };
                stage.count(node, tri, answer);
                stage.world.borrow_mut().answered(now, tri, answer, pause);
                if !sender.is_closed() {
                    stage.idle.borrow_mut()[node].push(sender);
                }
            }
        }
        stage.clients.borrow_mut().remove(&tri);
        return stage.stir.notify_one();
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

// Workers.

async fn work(stage: Rc<Stage>, worker: WorkerId, mut listener: Option<TcpListener>) {
    let mut connections = JoinSet::new();
    loop {
        let life = stage.world.borrow().workers[worker].life;
        if life == Liveness::Down {
            // Nobody listens, and what was open breaks.
            listener = None;
            connections.abort_all();
        } else if listener.is_none() {
            listener = listen(worker_addr(stage.block, worker)).ok();
        }
        let most = stage.world.borrow().workers[worker].connections();
        let Some(open) = &listener else {
            let _ = timeout(Duration::from_millis(20), stage.lives[worker].notified()).await;
            continue;
        };
        tokio::select! {
            // What changes its life is told, or seen soon.
            _ = timeout(Duration::from_millis(20), stage.lives[worker].notified()) => {}
            accepted = open.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                while connections.try_join_next().is_some() {}
                if connections.len() < most {
                    let _ = stream.set_nodelay(true);
                    connections.spawn_local(serve(stage.clone(), worker, stream));
                }
            }
        }
    }
}

async fn serve(stage: Rc<Stage>, worker: WorkerId, stream: TcpStream) {
    let service = service_fn(|request| {
        let stage = stage.clone();
        async move { respond(stage, worker, request).await }
    });
    let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// An exchange that ends without an answer.
#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for Broken {}

fn load(report: &Report) -> Value {
    json!({ "x0": report.free, "depth": report.queue, "concurrent": report.inflight, "x1": report.memory })
}

fn plain(status: u16, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(Bytes::from(body)));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

async fn respond(
    stage: Rc<Stage>,
    worker: WorkerId,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Broken> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/alive" | "/metrics/load") => probed(stage, worker, &path).await,
        (&Method::DELETE, path) => {
            let Some(tri) = path.strip_prefix("/jobs/").and_then(tri_of) else {
                return Ok(plain(404, String::new()));
            };
            let now = stage.now();
            let (mut outs, mut world) = (Vec::new(), stage.world.borrow_mut());
            let node = world.clients.tries.get(tri as usize).map(|tried| tried.node);
            if let Some(node) = node {
                world.invariants.given_up(now, tri, worker);
                world.give_up(now, node, worker, tri, &mut outs);
            }
            drop(world);
            stage.bring(outs);
            Ok(plain(200, String::new()))
        }
        (&Method::POST, _) => job(stage, worker, request).await,
        _ => Ok(plain(404, String::new())),
    }
}

async fn probed(stage: Rc<Stage>, worker: WorkerId, path: &str) -> Result<Response<Full<Bytes>>, Broken> {
    let now = stage.now();
    if stage.world.borrow().workers[worker].life == Liveness::Vanished {
        return std::future::pending().await;
    }
    let told = stage.world.borrow_mut().probe(now, worker);
    match told {
        None => std::future::pending().await,
        Some((up, report)) => {
            let body = if path == "/alive" { String::new() } else { load(&report).to_string() };
            Ok(plain(if up { 200 } else { 503 }, body))
        }
    }
}

/// Gives a job up if its connection is closed before it was answered for.
struct Unanswered<'a> {
    stage: &'a Rc<Stage>,
    worker: WorkerId,
    node: NodeId,
    tri: TryId,
    over: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        let waited = self.stage.pending.borrow_mut().remove(&(self.worker, self.tri)).is_some();
        if !self.over && waited {
            let (now, mut outs) = (self.stage.now(), Vec::new());
            let mut world = self.stage.world.borrow_mut();
            world.invariants.given_up(now, self.tri, self.worker);
            world.give_up(now, self.node, self.worker, self.tri, &mut outs);
            drop(world);
            self.stage.bring(outs);
        }
    }
}

async fn job(
    stage: Rc<Stage>,
    worker: WorkerId,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Broken> {
    let tri = request.headers().get("x-call-id").and_then(|id| tri_of(id.to_str().ok()?));
    let known = |tri: &TryId| stage.world.borrow().clients.tries.get(*tri as usize).is_some();
    let Some(tri) = tri.filter(known) else { return Ok(plain(400, String::new())) };
    let (node, way) = {
        let world = stage.world.borrow();
        let node = world.clients.tries[tri as usize].node;
        (node, world.delivery(node, worker, tri, worker))
    };
    match way {
        Delivery::BreaksBefore(_) | Delivery::Refused(_) => return Err(Broken),
        Delivery::Cut => return std::future::pending().await,
        Delivery::Arrives(takes) | Delivery::BreaksAfter(takes) => {
            sleep(Duration::from_secs_f64(takes)).await
        }
    }
    request.into_body().collect().await.map_err(|_| Broken)?;
    let (taken, told) = oneshot::channel();
    stage.pending.borrow_mut().insert((worker, tri), taken);
    let mut unanswered = Unanswered { stage: &stage, worker, node, tri, over: false };
    let (now, mut outs) = (stage.now(), Vec::new());
    stage.world.borrow_mut().job(now, node, worker, tri, now, &mut outs);
    stage.bring(outs);
    if matches!(way, Delivery::BreaksAfter(_)) {
        stage.ack(worker, tri, Ack::Breaks);
    }
    let ack = told.await;
    unanswered.over = true;
    match ack {
        Ok(Ack::Taken) => Ok(plain(202, String::new())),
        Ok(Ack::Rejects(report)) => {
            let mut response = plain(503, String::new());
            let value = load(&report).to_string().parse();
            response.headers_mut().insert("x-rejected", hyper::header::HeaderValue::from_static("1"));
            value.ok().map(|value| response.headers_mut().insert("x-load-report", value));
            Ok(response)
        }
        Ok(Ack::Fails) => Ok(plain(500, String::new())),
        Ok(Ack::Breaks) | Err(_) => Err(Broken),
    }
}

async fn tell_news(
    stage: Rc<Stage>,
    node: NodeId,
    worker: WorkerId,
    tri: TryId,
    word: JobUpdate,
    report: Report,
) {
    let id = call(stage.world.borrow().seed, tri);
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
        line["load"] = load(&report);
    }
    let text = Bytes::from(line.to_string());
    for _ in 0..NEWS_TRIES {
        let way = stage.world.borrow().delivery(node, worker, tri, 200);
        let vanished = stage.world.borrow().workers[worker].life == Liveness::Vanished;
        if vanished {
            return;
        }
        if way != Delivery::Cut && told(&stage, node, &text).await {
            return;
        }
        sleep(NEWS_AGAIN).await;
    }
}

/// Posts a word to a node; whether it was answered.
async fn told(stage: &Rc<Stage>, node: NodeId, text: &Bytes) -> bool {
    let kept = stage.news.borrow_mut()[node].pop();
    let sender = match kept.filter(|kept| !kept.is_closed()) {
        Some(sender) => Ok(sender),
        None => dial(node_addr(stage.block, node)).await,
    };
    let Ok(mut sender) = sender else { return false };
    let post = Request::post("/_jobs/news").header("host", "b").body(Full::from(text.clone()));
    let Ok(post) = post else { return false };
    let answered = answer(&mut sender, post).await.is_ok_and(|(status, ..)| status == 200 || status == 204);
    if answered && !sender.is_closed() {
        stage.news.borrow_mut()[node].push(sender);
    }
    answered
}

// Discovery.

/// A body of lines that come as they come.
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

async fn tell_list(stage: Rc<Stage>, node: NodeId, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let stage = stage.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let stage = stage.clone();
                async move { follow(stage, node, request.uri().query().unwrap_or_default()) }
            });
            let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn follow(stage: Rc<Stage>, node: NodeId, query: &str) -> Result<Response<Lines>, Broken> {
    let figure = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
    let (lines, body) = mpsc::unbounded_channel();
    let (watch, version) = (stage.watch.get() + 1, figure("index=").unwrap_or(0));
    stage.watch.set(watch);
    stage.watches.borrow_mut().insert((node, watch), lines.clone());
    let mut outs = Vec::new();
    let now = stage.now();
    stage.world.borrow_mut().watch(now, node, watch, version, &mut outs);
    let lost = outs.iter().any(|out| matches!(out, Output::Lost { .. }));
    stage.bring(outs);
    if lost {
        return Err(Broken);
    }
    spawn_local(async move {
        while lines.send(Bytes::from_static(b"\n")).is_ok() {
            sleep(QUIET_LINE).await;
            if !stage.watches.borrow().contains_key(&(node, watch)) {
                return;
            }
        }
    });
    Ok(Response::new(Lines(body)))
}

/// Where the node's program stands, built beside this one.
pub fn node_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.parent().unwrap_or(Path::new(".")).join("coveroute")
}
