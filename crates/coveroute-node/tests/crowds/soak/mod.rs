//! Soak test: 24 real processes under seeded, overlapping faults: failing system calls, clock steps, executors that fail in every
//! way, drain and are removed, nodes that are stopped, killed and reloaded, clients that disconnect or only connect. The
//! invariants are checked at the end. `COVEROUTE_SOAK_SEEDS=1-50` selects other seeds.
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use coveroute::random::Rng;

use crate::checker::Checker;
use crate::harness::{unused_addr, wait_until, NodeOptions, Process, Setup, MEMORY_SETTING};
use crate::recording_servers::{Behaviour, ListService, Server};
use crate::system_calls::Faults;

mod client;
mod fault_schedule;
mod supervisor;

use client::Client;
use fault_schedule::{apply_schedule, fault_schedule};
use supervisor::{signals, Supervisor};

const SEEDS: RangeInclusive<u64> = 1..=3;
const SEEDS_VARIABLE: &str = "COVEROUTE_SOAK_SEEDS";
const NODES: usize = 24;
const SERVERS: [&str; 6] = ["s-0", "s-1", "s-2", "s-3", "s-4", "s-5"];
const DURATION: Duration = Duration::from_secs(10);
const READY: Duration = Duration::from_secs(10);
const CLIENTS_PER_NODE: usize = 3;
/// The longest budget of a client, and the time after which the platform kills a node that was told to stop.
const MAX_BUDGET: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// A request without a response this long after its budget counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Clients still open new connections to a node for this long after it was told to stop.
const NOTICED_AFTER: Duration = Duration::from_millis(300);
/// A change of the list counts as known to all nodes after this time.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
const DESCRIPTORS: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Serving,
    /// Was told to stop at this moment.
    Stopping(Instant),
    /// Has exited as told, and its successor is not ready yet.
    Starting,
    /// Was killed by SIGKILL, and its successor is not ready yet.
    Killed,
}

/// A node's address, the state of its process, and the number of SIGKILLs so far.
struct Node {
    addr: SocketAddr,
    state: Mutex<(State, usize)>,
}

impl Node {
    fn state(&self) -> State {
        self.state.lock().expect("poisoned lock").0
    }

    fn kills(&self) -> usize {
        self.state.lock().expect("poisoned lock").1
    }

    /// Whether clients open new connections to it.
    fn accepts_new_clients(&self) -> bool {
        match self.state() {
            State::Serving => true,
            State::Stopping(since) => since.elapsed() < NOTICED_AFTER,
            State::Starting | State::Killed => false,
        }
    }
}

/// State shared by all threads of a run.
struct Run {
    checker: Arc<Checker>,
    nodes: Vec<Node>,
    end: Instant,
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    left: AtomicUsize,
    violations: Mutex<Vec<String>>,
}

impl Run {
    fn record_violation(&self, what: String) {
        self.violations.lock().expect("poisoned lock").push(what);
    }
}

fn node_of(call: &str) -> SocketAddr {
    let host = call.split('-').next().unwrap_or_default();
    SocketAddr::new(host.parse().expect("not a host address"), 9000)
}

fn rng(seed: u64, part: usize) -> Rng {
    Rng::new(seed * 1000 + part as u64)
}

fn uniform(rng: &mut Rng, least: f64, most: f64) -> f64 {
    least + (most - least) * rng.draw()
}

fn pick<T: Copy>(rng: &mut Rng, of: &[T]) -> T {
    of[(rng.draw() * of.len() as f64) as usize % of.len()]
}

/// How a server responds to an attempt: derived from the request, so that a run can be repeated by its seed.
fn behaviour(seed: u64, call: &str, number: usize) -> Behaviour {
    let roll = coveroute::random::hash(format!("{seed} {call} {number}").as_bytes()) % 100;
    match roll {
        0..=7 => Behaviour::Reject,
        8..=11 => Behaviour::Return(150),
        12..=14 => Behaviour::Fail,
        15..=17 => Behaviour::Reset,
        18..=20 => Behaviour::Ignore,
        21..=30 => Behaviour::Accept(300),
        _ => Behaviour::Accept(15),
    }
}

fn start(node: SocketAddr, list: SocketAddr, faults: &Faults) -> Process {
    let settings = vec![
        ("\"onTime\": 1000.0, \"deadline\": 5000.0", "\"onTime\": 1500.0, \"deadline\": 2000.0"),
        ("\"onTime\": 2000.0, \"deadline\": 10000.0", "\"onTime\": 1500.0, \"deadline\": 3000.0"),
        ("\"connIdle\": 60000.0", "\"connIdle\": 2000.0"),
        MEMORY_SETTING,
    ];
    let setup = Setup { settings, environment: faults.environment(), log: "warn" };
    Process::start_with(node, list, NodeOptions::with_descriptors(DESCRIPTORS), &[], &setup)
}

/// Opens idle connections to one node.
fn connect_idle_clients(node: SocketAddr) -> Vec<TcpStream> {
    (0..DESCRIPTORS)
        .filter_map(|_| TcpStream::connect_timeout(&node, Duration::from_millis(200)).ok())
        .collect()
}

fn run_seed(seed: u64) -> Vec<String> {
    let checker: Arc<Checker> = Arc::default();
    let server =
        |id| Server::new(id, &checker, node_of, Arc::new(move |call: &str, nth| behaviour(seed, call, nth)));
    let servers = SERVERS.map(server);
    servers.iter().for_each(Server::listen);
    let list = ListService::start(servers.iter().map(|server| server.entry("up")).collect());
    let faults: Vec<Faults> = (0..NODES).map(|_| Faults::new(9000)).collect();
    let processes: Vec<Process> =
        faults.iter().map(|faults| start(unused_addr(), list.addr, faults)).collect();
    let ready = processes.iter().all(|process| wait_until(3 * READY, || process.is_ready()));
    assert!(ready, "not ready: {}", processes[0].log());
    let node = |process: &Process| Node { addr: process.node, state: Mutex::new((State::Serving, 0)) };
    let begun = Instant::now();
    let run = Run {
        checker,
        nodes: processes.iter().map(node).collect(),
        end: begun + DURATION,
        served: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
        failed: AtomicUsize::new(0),
        left: AtomicUsize::new(0),
        violations: Mutex::default(),
    };
    let mut rng = rng(seed, NODES);
    let (drains_at, removed_at) = (uniform(&mut rng, 0.5, 1.5), uniform(&mut rng, 2.0, 3.5));
    let closes_watches = rng.draw() < 0.5;
    // In every fourth run, idle clients use up the connections of some nodes.
    let crowded = if seed.is_multiple_of(4) { 3 } else { 0 };
    let mut known = begun;
    thread::scope(|scope| {
        for (at, process) in processes.into_iter().enumerate() {
            let supervisor = Supervisor { run: &run, at, faults: &faults[at], list: list.addr, process };
            let mut rng = self::rng(seed, at);
            let (fault_schedule, signals) = (fault_schedule(&mut rng), signals(&mut rng));
            scope.spawn(move || supervisor.run(begun, signals));
            let faults = &faults[at];
            scope.spawn(move || apply_schedule(faults, begun, fault_schedule));
        }
        for at in 0..NODES * CLIENTS_PER_NODE {
            let rng = self::rng(seed, NODES + 1 + at);
            let mut client =
                Client { run: &run, at: 0, kept: None, rng, name: format!("c{at}"), requests_sent: 0 };
            scope.spawn(move || client.run());
        }
        let crowds: Vec<_> =
            run.nodes.iter().take(crowded).map(|node| connect_idle_clients(node.addr)).collect();
        let entries = |first: &str| {
            let others = servers.iter().skip(1).map(|server| server.entry("up"));
            let first = Some(first).filter(|state| !state.is_empty()).map(|state| servers[0].entry(state));
            first.into_iter().chain(others).collect::<Vec<String>>()
        };
        let wait = |after: f64| {
            let due = begun + Duration::from_secs_f64(after);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        };
        wait(drains_at);
        list.change(entries("draining"));
        known = Instant::now() + KNOWN_AFTER;
        wait(removed_at);
        match closes_watches {
            true => list.change_and_close_watches(entries("")),
            false => list.change(entries("")),
        }
        wait(DURATION.as_secs_f64());
        drop(crowds);
    });
    let of = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    let hits: u64 = faults.iter().map(Faults::total_hits).sum();
    println!(
        "seed {seed}: {} served, {} refused, {} failed, {} left, {} attempts, {hits} faults injected",
        of(&run.served),
        of(&run.refused),
        of(&run.failed),
        of(&run.left),
        run.checker.attempts()
    );
    let mut violations = std::mem::take(&mut *run.violations.lock().expect("poisoned lock"));
    violations.extend(
        run.checker
            .overstated_budgets()
            .iter()
            .map(|overstated| format!("budget exceeds the client's remaining time: {overstated:?}")),
    );
    violations.extend(
        run.checker
            .executed_twice(|call| call.contains("-pay-"))
            .iter()
            .map(|call| format!("executed twice: {call}")),
    );
    violations.extend(
        run.checker
            .begun_after_close()
            .iter()
            .map(|late| format!("attempt begun after its client left: {late:?}")),
    );
    let late = run.checker.attempts_at(SERVERS[0], known);
    if late > 0 {
        violations.push(format!("{late} attempts at a draining or removed executor"));
    }
    if of(&run.served) == 0 {
        violations.push("no request was served".to_owned());
    }
    violations
}

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    first.parse().expect("not a seed")..=last.parse().expect("not a seed")
}

#[test]
fn invariants_hold_under_overlapping_faults() {
    let mut violations = Vec::new();
    for seed in seeds() {
        let of_seed = run_seed(seed);
        of_seed.iter().take(20).for_each(|what| println!("seed {seed}: {what}"));
        violations.extend(of_seed.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(violations.is_empty(), "{} violations, the first: {:?}", violations.len(), violations.first());
}
