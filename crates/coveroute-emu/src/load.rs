//! Load tests of real nodes on loopback, open or closed loop, with a given number of connections and
//! executors. Latencies are corrected for coordinated omission: in an open loop they count from when a call
//! was due, not from when it could be sent.
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coveroute_engine::Listing;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde::Serialize;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Child;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until};

use crate::fleet::simulation;
use crate::loopback::resource_usage;
use crate::scenario::{FleetSettings, Scenario};
use crate::settings;
use crate::world::NodeId;

/// The other nodes that a node knows.
#[derive(Clone, Debug, Default)]
pub enum Members {
    #[default]
    Nobody,
    /// The fleet's file, and the node's member name in it.
    File(PathBuf, String),
    /// All nodes of the run form a fleet, and tenants' shares apply across it.
    Each,
}

#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub node: PathBuf,
    pub nodes: usize,
    pub executors: usize,
    pub connections: usize,
    pub seconds: f64,
    /// Calls per second over all connections (open loop); without it each connection calls as fast as it is
    /// answered (closed loop).
    pub rate: Option<f64>,
    pub sockets: usize,
    pub memory_mb: usize,
    /// Running time of a job in milliseconds; 0 completes it at once.
    pub runs: f64,
    /// How long clients wait for a call, in seconds.
    pub timeout: f64,
    /// How long idle connections to executors are kept, in seconds.
    pub idle: f64,
    /// Number of tenants. Each makes an equal part of the calls and has a share of twice as much.
    pub tenants: usize,
    pub members: Members,
}

impl Default for LoadPlan {
    fn default() -> Self {
        LoadPlan {
            node: PathBuf::new(),
            nodes: 1,
            executors: 16,
            connections: 64,
            seconds: 5.0,
            rate: None,
            sockets: 4096,
            memory_mb: 192,
            runs: 0.0,
            timeout: 5.0,
            idle: 60.0,
            tenants: 0,
            members: Members::Nobody,
        }
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResult {
    pub executors: usize,
    pub connections: usize,
    pub served: u64,
    pub other: u64,
    pub a_second: f64,
    pub cpu_us_a_call: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub longest_ms: f64,
    pub peak_mb: f64,
    pub descriptors: usize,
    /// The fewest and the most calls that one executor got, relative to the mean.
    pub share_least: f64,
    pub share_most: f64,
}

/// State shared by executors and clients.
struct SharedState {
    nodes: Vec<SocketAddr>,
    news: Vec<mpsc::UnboundedSender<Bytes>>,
    jobs: Vec<AtomicU64>,
    inflight: Vec<AtomicU64>,
    /// Connections that executors have accepted.
    connections_accepted: AtomicU64,
    stop: AtomicBool,
    served: AtomicU64,
    other: AtomicU64,
    latencies: Mutex<Histogram<u64>>,
    runs: Duration,
    budget: String,
    tenants: usize,
    /// Open watches of the list, and the list as sent to a new one.
    watches: Mutex<Vec<mpsc::UnboundedSender<Bytes>>>,
    full_list: Mutex<Bytes>,
    /// Connections that could not be accepted, for example because this process had no descriptor left.
    failed_accepts: AtomicU64,
    /// Discovery is unreachable.
    discovery_down: AtomicBool,
}

/// Slots that each executor reports.
const SLOTS: u64 = 16;
/// Connections to each node that executors share for their news.
const NEWS_CONNECTIONS: usize = 16;
/// Warm-up before the measurement: connections come up and shares settle.
const WARMUP: Duration = Duration::from_secs(2);
/// Time limit for a node to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The scenario that the nodes' settings are derived from.
fn scenario(plan: &LoadPlan) -> Result<Scenario, String> {
    let mut text = format!(
        "name = \"load\"\nseconds = 60\n[nodes]\ncount = {}\nsockets = {}\nmemory_mb = {}\n[[workers]]\ncount = {}\n\
         slots = {SLOTS}\n[platform]\nprogress = 0\ntells_start = false\nidle = {:?}\n[[operations]]\nname = \"look\"\n\
         effect = \"idempotent\"\nrate = 1\nwork = 0.01\nobjective = {:?}\ntimeout = {:?}\n",
        plan.nodes,
        plan.sockets,
        plan.memory_mb,
        plan.executors,
        plan.idle,
        1.0 + plan.runs / 1e3,
        plan.timeout
    );
    for tenant in 0..plan.tenants {
        let part = 1.0 / plan.tenants as f64;
        let share = 2.0 * part * plan.rate.unwrap_or(0.0);
        text += &format!("[[tenants]]\nname = \"t{tenant}\"\npart = {part:?}\nshare = {share:?}\n");
    }
    Scenario::parse(&text)
}

/// Real nodes with their executors, clients and discovery, on a block of loopback addresses of their own.
pub struct Rig {
    plan: LoadPlan,
    shared: Arc<SharedState>,
    children: Vec<Child>,
    files: Vec<PathBuf>,
    /// The initial list.
    pub list: Listing,
    /// Seconds from the nodes' start until all are ready, and their processor time until then.
    pub up: f64,
    pub up_cpu: f64,
}

/// A snapshot of the totals of a rig's nodes, executors and clients.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub at: Instant,
    /// Processor time of each node, in seconds.
    pub cpu: Vec<f64>,
    /// How long each node's threads were runnable without a core, in seconds.
    pub waited: Vec<f64>,
    pub jobs: Vec<u64>,
    pub connections_accepted: u64,
    pub served: u64,
    pub other: u64,
}

impl Snapshot {
    pub fn cpu(&self) -> f64 {
        self.cpu.iter().sum()
    }

    pub fn starts(&self) -> u64 {
        self.jobs.iter().sum()
    }
}

/// Processor time of a running process, and how long its threads were runnable without a core, in seconds.
/// In nanosecond resolution where the kernel provides it; otherwise from clock ticks, without the wait.
fn processor_time(pid: i32) -> (f64, f64) {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let counts = |path: PathBuf| -> Option<[u64; 2]> {
        let text = std::fs::read_to_string(path.join("schedstat")).ok()?;
        let mut figures = text.split_whitespace().map(str::parse);
        Some([figures.next()?.ok()?, figures.next()?.ok()?])
    };
    let counted = threads.filter_map(|thread| counts(thread.path()));
    match counted.fold([0, 0], |sum, thread| [sum[0] + thread[0], sum[1] + thread[1]]) {
        [0, _] => (resource_usage(pid).cpu_seconds, 0.0),
        [ran, waited] => (ran as f64 / 1e9, waited as f64 / 1e9),
    }
}

fn resident_mb(pid: i32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

impl Rig {
    /// Starts everything except the clients, and waits until the nodes are ready.
    pub async fn start(plan: &LoadPlan) -> Result<Rig, String> {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        if !plan.node.is_file() {
            return Err(format!("{}: not found; build it first", plan.node.display()));
        }
        if plan.executors == 0 || plan.connections == 0 || plan.seconds <= 0.0 {
            return Err("executors, connections and seconds must be over 0".into());
        }
        if !(1..=250).contains(&plan.nodes) || plan.executors > 250 << 8 {
            return Err(format!("nodes: 250 at most; executors: {} at most", 250 << 8));
        }
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let block = 16 + ((std::process::id() + 101 * number) % 200) as u8;
        let at = move |part: u8, at: usize| {
            SocketAddr::from(([127, block, part + (at >> 8) as u8, at as u8], 9000))
        };
        let list = at(251, 0);
        let counts = || (0..plan.executors).map(|_| AtomicU64::new(0)).collect();
        let (news, lines): (Vec<_>, Vec<_>) =
            (0..plan.nodes * NEWS_CONNECTIONS).map(|_| mpsc::unbounded_channel()).unzip();
        let scenario = scenario(plan)?;
        let world = crate::world::World::new(scenario.clone(), 1, |worker| at(0, worker));
        let listing = world.list.full_list();
        let full_list = settings::hosts(&listing, 0.0);
        let shared = Arc::new(SharedState {
            nodes: (0..plan.nodes).map(|node| at(250, node)).collect(),
            news,
            jobs: counts(),
            inflight: counts(),
            connections_accepted: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            served: AtomicU64::new(0),
            other: AtomicU64::new(0),
            latencies: Mutex::new(Histogram::new(3).map_err(|e| e.to_string())?),
            runs: Duration::from_secs_f64(plan.runs / 1e3),
            budget: format!("{:.0}", 1e3 * plan.timeout),
            tenants: plan.tenants,
            watches: Mutex::new(Vec::new()),
            full_list: Mutex::new(Bytes::from(format!("{full_list}\n"))),
            failed_accepts: AtomicU64::new(0),
            discovery_down: AtomicBool::new(false),
        });
        for executor in 0..plan.executors {
            let listener = bind(at(0, executor)).await?;
            tokio::spawn(run_executor(shared.clone(), executor, listener));
        }
        for (lane, lines) in lines.into_iter().enumerate() {
            tokio::spawn(send_news(shared.clone(), lane / NEWS_CONNECTIONS, lines));
        }
        tokio::spawn(serve_list(shared.clone(), bind(list).await?));
        let (children, files) = (Vec::new(), Vec::new());
        let plan = plan.clone();
        let mut rig = Rig { plan, shared, children, files, list: listing, up: 0.0, up_cpu: 0.0 };
        for node in 0..rig.plan.nodes {
            let config = json!({
                "listen": rig.shared.nodes[node].to_string(), "discovery": list.to_string(), "seed": format!("{:x}", node + 1),
                "limits": { "memory_mb": rig.plan.memory_mb, "sockets": rig.plan.sockets },
                "known": full_list,
                "settings": settings::settings(&scenario, node, "a"),
            });
            rig.spawn(node, (number, block), &config.to_string())?;
        }
        let began = Instant::now();
        for node in 0..rig.plan.nodes {
            rig.wait_until_ready(node, began).await?;
        }
        (rig.up, rig.up_cpu) = (began.elapsed().as_secs_f64(), rig.snapshot().cpu());
        Ok(rig)
    }

    /// Writes a temporary file that is removed at the end of the run.
    fn file(&mut self, name: String, text: &str) -> Result<PathBuf, String> {
        let path = std::env::temp_dir().join(format!("coveroute-load-{}-{name}", std::process::id()));
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        self.files.push(path.clone());
        Ok(path)
    }

    fn spawn(&mut self, node: NodeId, (number, block): (u32, u8), config: &str) -> Result<(), String> {
        let path = self.file(format!("{number}-{node}.json"), config)?;
        let mut command = tokio::process::Command::new("/bin/sh");
        let run = format!("ulimit -n {}; exec \"$0\" serve --log warn --config \"$@\"", self.plan.sockets);
        command.arg("-c").arg(run).arg(&self.plan.node).arg(&path).stdin(Stdio::null()).kill_on_drop(true);
        let member = match self.plan.members.clone() {
            Members::Nobody => None,
            Members::File(file, member) => Some((file, member)),
            Members::Each => {
                let at = |node| SocketAddr::from(([127, block, 252, node as u8], 9400));
                let mut fleet = simulation::fleet_config(self.plan.nodes, &FleetSettings::default(), at);
                fleet.limits.tenants = self.plan.tenants > 0;
                let text = crate::fleet::processes::config_to_toml(&fleet);
                Some((self.file(format!("{number}-{node}.toml"), &text)?, simulation::member(node)))
            }
        };
        if let Some((file, member)) = member {
            command.arg("--fleet").arg(file).arg("--member").arg(member);
        }
        self.children.push(command.spawn().map_err(|e| e.to_string())?);
        Ok(())
    }

    async fn wait_until_ready(&self, node: NodeId, began: Instant) -> Result<(), String> {
        while began.elapsed() < START_TIMEOUT {
            if let Some(mut sender) = connect(self.shared.nodes[node]).await {
                let ask = Request::get("/up").header("host", "b").body(Full::default());
                let answer = sender.send_request(ask.map_err(|e| e.to_string())?).await;
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
        Err(format!("node {node} was not ready within {START_TIMEOUT:?}"))
    }

    /// Starts the clients.
    pub fn start_clients(&self) {
        let gap = |rate: f64| Duration::from_secs_f64(self.plan.connections as f64 / rate.max(1e-3));
        for connection in 0..self.plan.connections {
            tokio::spawn(run_client(self.shared.clone(), connection, self.plan.rate.map(gap)));
        }
    }

    /// Lets no client begin another call.
    pub fn stop_calls(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }

    fn pids(&self) -> impl Iterator<Item = i32> + '_ {
        self.children.iter().filter_map(|child| Some(child.id()? as i32))
    }

    pub fn snapshot(&self) -> Snapshot {
        let shared = &self.shared;
        let (cpu, waited) = self.pids().map(processor_time).unzip();
        Snapshot {
            at: Instant::now(),
            cpu,
            waited,
            jobs: shared.jobs.iter().map(|jobs| jobs.load(Ordering::Relaxed)).collect(),
            connections_accepted: shared.connections_accepted.load(Ordering::Relaxed),
            served: shared.served.load(Ordering::Relaxed),
            other: shared.other.load(Ordering::Relaxed),
        }
    }

    /// Resident memory of each node, in MB.
    pub fn resident(&self) -> Vec<f64> {
        self.pids().map(resident_mb).collect()
    }

    /// Number of running jobs.
    pub fn running(&self) -> u64 {
        self.shared.inflight.iter().map(|many| many.load(Ordering::Relaxed)).sum()
    }

    /// Sends a list update to every watch; returns its size in bytes.
    pub fn publish(&self, listing: &Listing) -> usize {
        let line = Bytes::from(format!("{}\n", settings::hosts(listing, 0.0)));
        let mut watches = lock(&self.shared.watches);
        watches.retain(|watch| watch.send(line.clone()).is_ok());
        line.len()
    }

    /// Makes discovery unreachable: open watches end, and new connections are closed.
    pub fn disconnect_discovery(&self) {
        self.shared.discovery_down.store(true, Ordering::Relaxed);
        lock(&self.shared.watches).clear();
    }

    /// Two quantiles of the latency since the last reset, in milliseconds.
    pub fn latencies(&self, parts: [f64; 2]) -> [f64; 2] {
        let latencies = lock(&self.shared.latencies);
        parts.map(|part| latencies.value_at_quantile(part) as f64 / 1e3)
    }

    pub fn reset(&self) {
        lock(&self.shared.latencies).reset();
    }

    /// Connections to executors that this process could not accept. If there are any, the figures don't
    /// measure the nodes.
    pub fn failed_accepts(&self) -> u64 {
        self.shared.failed_accepts.load(Ordering::Relaxed)
    }

    pub fn signal(&self, signal: Signal) {
        for pid in self.pids() {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Ends everything; an error if a node had ended before.
    pub async fn stop(mut self) -> Result<(), String> {
        self.stop_calls();
        let mut ended = None;
        for child in &mut self.children {
            ended = ended.or(child.try_wait().map_err(|e| e.to_string())?);
            let _ = child.kill().await;
        }
        self.files.iter().for_each(|path| drop(std::fs::remove_file(path)));
        match ended {
            None => Ok(()),
            Some(status) => Err(format!("a node ended under load: {status}")),
        }
    }
}

/// The fewest and the most jobs that one executor got between two snapshots, relative to the mean.
pub fn shares(before: &Snapshot, after: &Snapshot) -> (f64, f64) {
    let each: Vec<f64> = after.jobs.iter().zip(&before.jobs).map(|(now, then)| (now - then) as f64).collect();
    let mean = (each.iter().sum::<f64>() / each.len() as f64).max(1e-9);
    let least = each.iter().copied().fold(f64::INFINITY, f64::min);
    (least / mean, each.iter().copied().fold(0.0, f64::max) / mean)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a future on a runtime of its own, which is shut down with it.
pub fn on_runtime<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|e| e.to_string())?;
    let result = runtime.block_on(work);
    runtime.shutdown_background();
    result
}

/// Runs a load test and measures it.
pub fn load(plan: &LoadPlan) -> Result<LoadResult, String> {
    on_runtime(run_load(plan))
}

async fn run_load(plan: &LoadPlan) -> Result<LoadResult, String> {
    let rig = Rig::start(plan).await?;
    rig.start_clients();
    sleep(WARMUP).await;
    let before = rig.snapshot();
    rig.reset();
    sleep(Duration::from_secs_f64(plan.seconds)).await;
    let after = rig.snapshot();
    let usage = rig.pids().map(resource_usage).fold((0.0, 0), |(mb, held): (f64, usize), usage| {
        (mb.max(usage.peak_mb), held.max(usage.most_descriptors))
    });
    let latencies = lock(&rig.shared.latencies).clone();
    rig.stop().await?;
    let (served, other) = (after.served - before.served, after.other - before.other);
    let at = |part: f64| latencies.value_at_quantile(part) as f64 / 1e3;
    let (share_least, share_most) = shares(&before, &after);
    Ok(LoadResult {
        executors: plan.executors,
        connections: plan.connections,
        served,
        other,
        a_second: served as f64 / (after.at - before.at).as_secs_f64(),
        cpu_us_a_call: 1e6 * (after.cpu() - before.cpu()) / (served + other).max(1) as f64,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        longest_ms: latencies.max() as f64 / 1e3,
        peak_mb: usage.0,
        descriptors: usage.1,
        share_least,
        share_most,
    })
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(addr).await.map_err(|e| format!("{addr}: {e}"))
}

async fn serve_list(shared: Arc<SharedState>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        if shared.discovery_down.load(Ordering::Relaxed) {
            continue;
        }
        tokio::spawn(async move {
            let service = service_fn(|_| {
                let (lines, body) = mpsc::unbounded_channel();
                let _ = lines.send(lock(&shared.full_list).clone());
                lock(&shared.watches).push(lines.clone());
                let shared = shared.clone();
                tokio::spawn(async move {
                    while !shared.discovery_down.load(Ordering::Relaxed)
                        && lines.send(Bytes::from_static(b"\n")).is_ok()
                    {
                        sleep(Duration::from_secs(2)).await;
                    }
                });
                async move { Ok::<_, Infallible>(Response::new(crate::loopback::Lines(body))) }
            });
            let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn run_executor(shared: Arc<SharedState>, executor: usize, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Keeps the executor listening after this process has run out of descriptors.
            shared.failed_accepts.fetch_add(1, Ordering::Relaxed);
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let shared = shared.clone();
        let _ = stream.set_nodelay(true);
        shared.connections_accepted.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let service = service_fn(|request| respond(shared.clone(), executor, request));
            let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn report(shared: &SharedState, executor: usize) -> String {
    let inflight = shared.inflight[executor].load(Ordering::Relaxed);
    let free = SLOTS.saturating_sub(inflight);
    format!("{{\"x0\":{free},\"depth\":0,\"concurrent\":{inflight}}}")
}

async fn respond(
    shared: Arc<SharedState>,
    executor: usize,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let plain = |status: StatusCode, body: String| {
        let mut response = Response::new(Full::from(Bytes::from(body)));
        *response.status_mut() = status;
        Ok(response)
    };
    if request.method() != Method::POST {
        return plain(StatusCode::OK, report(&shared, executor));
    }
    let id =
        request.headers().get("x-call-id").and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
    let _ = request.into_body().collect().await;
    shared.jobs[executor].fetch_add(1, Ordering::Relaxed);
    shared.inflight[executor].fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        if !shared.runs.is_zero() {
            sleep(shared.runs).await;
        }
        shared.inflight[executor].fetch_sub(1, Ordering::Relaxed);
        let (from, load) = (crate::world::name(executor), report(&shared, executor));
        let line = format!(
            "{{\"id\":\"{id}\",\"from\":\"{from}\",\"state\":\"done\",\"result\":\"{id}\",\"load\":{load}}}"
        );
        // The id starts with the number of the node that was called.
        let node = id.split('-').next().and_then(|node| usize::from_str_radix(node, 16).ok()).unwrap_or(0);
        let lane = (node % shared.nodes.len()) * NEWS_CONNECTIONS + executor % NEWS_CONNECTIONS;
        let _ = shared.news[lane].send(Bytes::from(line));
    });
    plain(StatusCode::ACCEPTED, String::new())
}

async fn connect(addr: SocketAddr) -> Option<client::SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

async fn send_news(shared: Arc<SharedState>, node: NodeId, mut lines: mpsc::UnboundedReceiver<Bytes>) {
    let mut sender = None;
    while let Some(line) = lines.recv().await {
        for _ in 0..10 {
            if sender.as_ref().is_none_or(client::SendRequest::is_closed) {
                sender = connect(shared.nodes[node]).await;
            }
            let Some(open) = &mut sender else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let Ok(post) = Request::post("/_jobs/news").header("host", "b").body(Full::from(line.clone()))
            else {
                return;
            };
            if open.ready().await.is_ok() {
                if let Ok(answer) = open.send_request(post).await {
                    let _ = answer.into_body().collect().await;
                    break;
                }
            }
            sender = None;
        }
    }
}

async fn run_client(shared: Arc<SharedState>, connection: usize, gap: Option<Duration>) {
    let (mut sender, mut nth, node) = (None, 0_u64, connection % shared.nodes.len());
    // Connections start at different points of the gap, evenly spread for any number of them.
    let part = (connection as f64 * 0.618_033_988_749_895).fract();
    let mut due = Instant::now() + gap.map_or(Duration::ZERO, |gap| gap.mul_f64(part));
    while !shared.stop.load(Ordering::Relaxed) {
        match gap {
            Some(gap) => {
                sleep_until(due.into()).await;
                due += gap;
            }
            None => due = Instant::now(),
        }
        let scheduled = gap.map_or(due, |gap| due - gap);
        if sender.as_ref().is_none_or(client::SendRequest::is_closed) {
            sender = connect(shared.nodes[node]).await;
        }
        let Some(open) = &mut sender else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        nth += 1;
        let id = format!("{node:x}-{connection:x}-{nth:x}");
        let request = Request::post("/look/x").header("host", "b").header("x-call-id", &id);
        let request = match shared.tenants {
            0 => request,
            tenants => request.header("x-caller", format!("t{}", (connection + nth as usize) % tenants)),
        };
        let request =
            request.header("x-budget-ms", &shared.budget).body(Full::from(Bytes::from_static(b"job")));
        let Ok(request) = request else { return };
        let served = match open.ready().await {
            Ok(()) => match open.send_request(request).await {
                Ok(answer) if answer.status() == 200 => {
                    answer.into_body().collect().await.is_ok_and(|body| body.to_bytes() == id.as_bytes())
                }
                Ok(answer) => {
                    let _ = answer.into_body().collect().await;
                    false
                }
                Err(_) => false,
            },
            Err(_) => false,
        };
        if !served {
            shared.other.fetch_add(1, Ordering::Relaxed);
            sender = sender.filter(|open| !open.is_closed());
            continue;
        }
        shared.served.fetch_add(1, Ordering::Relaxed);
        if let Ok(mut latencies) = shared.latencies.lock() {
            let _ = latencies.record(scheduled.elapsed().as_micros() as u64);
        }
    }
}
