//! Soak: two dozen real processes under seeded, overlapping faults: system calls that fail, clocks that step, executors that fail in all
//! ways, drain and go, nodes that are stopped, killed and told to read their configuration anew, clients that leave or only connect.
//! What must hold whatever happens is judged at the end. `COVEROUTE_SOAK_SEEDS=1-50` names other seeds.
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use coveroute::chance::Chance;

use crate::judged::{Does, ListService, Server};
use crate::referee::Referee;
use crate::stand_in::{free, until, Process, Seat, Setup};
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
const PLAYED: Duration = Duration::from_secs(10);
const READY: Duration = Duration::from_secs(10);
const CLIENTS_EACH: usize = 3;
/// The longest that a client waits, and when the platform kills a node that was told to stop.
const LONGEST: Duration = Duration::from_secs(3);
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// A request that has no answer so long after its time is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// From a stop on, clients still come on new connections for so long.
const NOTICED_AFTER: Duration = Duration::from_millis(300);
/// A change of the list counts as told after that.
const TOLD_AFTER: Duration = Duration::from_secs(6);
const DESCRIPTORS: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Serves,
    /// Told to stop at that moment.
    Stops(Instant),
    /// Has ended as it was told, and is not ready again.
    Starts,
    /// Killed outright, and not ready again.
    Killed,
}

/// A node's address, what its process is at, and how often one has been killed outright.
struct Node {
    addr: SocketAddr,
    state: Mutex<(State, usize)>,
}

impl Node {
    fn state(&self) -> State {
        self.state.lock().expect("a lock").0
    }

    fn kills(&self) -> usize {
        self.state.lock().expect("a lock").1
    }

    /// Whether the front sends a new connection there.
    fn is_offered(&self) -> bool {
        match self.state() {
            State::Serves => true,
            State::Stops(since) => since.elapsed() < NOTICED_AFTER,
            State::Starts | State::Killed => false,
        }
    }
}

/// What all threads of a run share.
struct Run {
    referee: Arc<Referee>,
    nodes: Vec<Node>,
    end: Instant,
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    left: AtomicUsize,
    broken: Mutex<Vec<String>>,
}

impl Run {
    fn breaks(&self, what: String) {
        self.broken.lock().expect("a lock").push(what);
    }
}

fn node_of(call: &str) -> SocketAddr {
    let host = call.split('-').next().unwrap_or_default();
    SocketAddr::new(host.parse().expect("a host"), 9000)
}

fn chance(seed: u64, part: usize) -> Chance {
    Chance::new(seed * 1000 + part as u64)
}

fn between(chance: &mut Chance, least: f64, most: f64) -> f64 {
    least + (most - least) * chance.draw()
}

fn any<T: Copy>(chance: &mut Chance, of: &[T]) -> T {
    of[(chance.draw() * of.len() as f64) as usize % of.len()]
}

/// What a server does with an attempt: by the request, so that a run can be told again by its seed.
fn does(seed: u64, call: &str, number: usize) -> Does {
    let lot = coveroute::chance::hash(format!("{seed} {call} {number}").as_bytes()) % 100;
    match lot {
        0..=7 => Does::Rejects,
        8..=11 => Does::Returns(150),
        12..=14 => Does::Fails,
        15..=17 => Does::Resets,
        18..=20 => Does::Silent,
        21..=30 => Does::Takes(300),
        _ => Does::Takes(15),
    }
}

fn start(node: SocketAddr, list: SocketAddr, faults: &Faults) -> Process {
    let settings = vec![
        ("\"onTime\": 1000.0, \"deadline\": 5000.0", "\"onTime\": 1500.0, \"deadline\": 2000.0"),
        ("\"onTime\": 2000.0, \"deadline\": 10000.0", "\"onTime\": 1500.0, \"deadline\": 3000.0"),
        ("\"connIdle\": 60000.0", "\"connIdle\": 2000.0"),
    ];
    let setup = Setup { settings, environment: faults.environment(), log: "warn" };
    Process::start_with(node, list, Seat::of(DESCRIPTORS), &[], &setup)
}

/// Idle clients on one node: they connect, and stay.
fn crowd(node: SocketAddr) -> Vec<TcpStream> {
    (0..DESCRIPTORS)
        .filter_map(|_| TcpStream::connect_timeout(&node, Duration::from_millis(200)).ok())
        .collect()
}

fn play(seed: u64) -> Vec<String> {
    let referee: Arc<Referee> = Arc::default();
    let server =
        |id| Server::new(id, &referee, node_of, Arc::new(move |call: &str, nth| does(seed, call, nth)));
    let servers = SERVERS.map(server);
    servers.iter().for_each(Server::listen);
    let list = ListService::start(servers.iter().map(|server| server.entry("up")).collect());
    let faults: Vec<Faults> = (0..NODES).map(|_| Faults::new(9000)).collect();
    let processes: Vec<Process> = faults.iter().map(|faults| start(free(), list.addr, faults)).collect();
    let ready = processes.iter().all(|process| until(3 * READY, || process.is_ready()));
    assert!(ready, "they start: {}", processes[0].log());
    let node = |process: &Process| Node { addr: process.node, state: Mutex::new((State::Serves, 0)) };
    let begun = Instant::now();
    let run = Run {
        referee,
        nodes: processes.iter().map(node).collect(),
        end: begun + PLAYED,
        served: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
        failed: AtomicUsize::new(0),
        left: AtomicUsize::new(0),
        broken: Mutex::default(),
    };
    let mut chance = chance(seed, NODES);
    let (drains_at, goes_at) = (between(&mut chance, 0.5, 1.5), between(&mut chance, 2.0, 3.5));
    let unheard = chance.draw() < 0.5;
    // In each fourth run idle clients fill some nodes.
    let crowded = if seed.is_multiple_of(4) { 3 } else { 0 };
    let mut told = begun;
    thread::scope(|scope| {
        for (at, process) in processes.into_iter().enumerate() {
            let supervisor = Supervisor { run: &run, at, faults: &faults[at], list: list.addr, process };
            let mut chance = self::chance(seed, at);
            let (fault_schedule, signals) = (fault_schedule(&mut chance), signals(&mut chance));
            scope.spawn(move || supervisor.supervises(begun, signals));
            let faults = &faults[at];
            scope.spawn(move || apply_schedule(faults, begun, fault_schedule));
        }
        for at in 0..NODES * CLIENTS_EACH {
            let chance = self::chance(seed, NODES + 1 + at);
            let mut client =
                Client { run: &run, at: 0, kept: None, chance, name: format!("c{at}"), asked: 0 };
            scope.spawn(move || client.runs());
        }
        let crowds: Vec<_> = run.nodes.iter().take(crowded).map(|node| crowd(node.addr)).collect();
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
        told = Instant::now() + TOLD_AFTER;
        wait(goes_at);
        match unheard {
            true => list.change_unheard(entries("")),
            false => list.change(entries("")),
        }
        wait(PLAYED.as_secs_f64());
        drop(crowds);
    });
    let of = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    let struck: u64 = faults.iter().map(Faults::all_struck).sum();
    println!(
        "seed {seed}: {} served, {} refused, {} failed, {} left, {} attempts, {struck} calls failed",
        of(&run.served),
        of(&run.refused),
        of(&run.failed),
        of(&run.left),
        run.referee.attempts()
    );
    let mut broken = std::mem::take(&mut *run.broken.lock().expect("a lock"));
    broken.extend(run.referee.overstated().iter().map(|overstated| format!("told too much: {overstated:?}")));
    broken.extend(
        run.referee.doubled(|call| call.contains("-pay-")).iter().map(|call| format!("ran twice: {call}")),
    );
    broken.extend(
        run.referee.begun_for_nobody().iter().map(|late| format!("begun for who has left: {late:?}")),
    );
    let late = run.referee.attempts_at(SERVERS[0], told);
    if late > 0 {
        broken.push(format!("{late} attempts at an executor that drains or is gone"));
    }
    if of(&run.served) == 0 {
        broken.push("nobody was served".to_owned());
    }
    broken
}

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    first.parse().expect("a seed")..=last.parse().expect("a seed")
}

#[test]
fn what_must_hold_holds_under_overlapping_faults() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let of_seed = play(seed);
        of_seed.iter().take(20).for_each(|what| println!("seed {seed}: {what}"));
        broken.extend(of_seed.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{} broken, the first: {:?}", broken.len(), broken.first());
}
