//! Soak: two dozen real processes under seeded, overlapping faults: system calls that fail, clocks that step, executors that fail in all
//! ways, drain and go, nodes that are stopped, killed and told to read their configuration anew, clients that leave or only connect.
//! What must hold whatever happens is judged at the end. `COVEROUTE_SOAK_SEEDS=1-50` names other seeds.
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use coveroute::chance::Chance;

use crate::fault_table::Call;
use crate::judged::{answer, Does, ListKeeper, Server};
use crate::referee::{newest_byte, Referee};
use crate::stand_in::{free, until, Process, Seat, Setup};
use crate::system_calls::{Fault, Faults};

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
/// How long one system call of one process fails, so that an answer in time stays possible.
const FAILS_AT_MOST: f64 = 0.35;
const WINDOWS_EACH: usize = 8;
const DESCRIPTORS: usize = 256;
const HOUR: i64 = 3600;

const EAGAIN: Fault = Fault { rearm_ms: 20, ..Fault::errno(libc::EAGAIN) };
/// What can fail, one of them at a time for each system call.
const CATALOGUE: [(Call, Fault); 15] = [
    (Call::Accept, Fault::errno(libc::EMFILE)),
    (Call::Accept, Fault::errno(libc::ENOBUFS).of(900)),
    (Call::Accept, Fault::errno(libc::EINTR).of(500)),
    (Call::Socket, Fault::errno(libc::ENFILE)),
    (Call::Connect, Fault::errno(libc::EINTR).of(500)),
    (Call::Connect, Fault::errno(libc::EADDRNOTAVAIL).of(800)),
    (Call::ReceiveFromClient, EAGAIN),
    (Call::ReceiveFromClient, Fault::short(60, 20)),
    (Call::ReceiveFromClient, Fault::errno(libc::EINTR).of(400)),
    (Call::SendToClient, Fault::short(40, 20)),
    (Call::SendToServer, EAGAIN),
    (Call::SendToServer, Fault::short(70, 60)),
    (Call::ReceiveFromServer, Fault::errno(libc::EINTR).of(400)),
    (Call::WriteLog, Fault::errno(libc::ENOSPC)),
    (Call::WriteLog, Fault::late(100).of(100)),
];

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

/// One client: asks on a kept connection, one request after the other; sometimes it leaves before the answer.
struct Client<'a> {
    run: &'a Run,
    /// The node it was given, and the connection to it with how often a process of it had been killed by then.
    at: usize,
    kept: Option<(TcpStream, usize)>,
    chance: Chance,
    name: String,
    asked: usize,
}

/// How a request ended.
enum End {
    Answered(u16, Instant),
    /// The connection ended without an answer.
    Closed,
    Silent,
}

impl Client<'_> {
    fn runs(&mut self) {
        while Instant::now() < self.run.end {
            thread::sleep(Duration::from_secs_f64(between(&mut self.chance, 0.02, 0.15)));
            if !self.connect() {
                continue;
            }
            let again = self.asks(false);
            // A request that crossed the end of a resting connection is sent once more on a new one.
            if again && self.connect() {
                self.asks(true);
            }
        }
    }

    fn connect(&mut self) -> bool {
        if self.kept.is_some() {
            return true;
        }
        let offered: Vec<usize> =
            (0..self.run.nodes.len()).filter(|at| self.run.nodes[*at].is_offered()).collect();
        if offered.is_empty() {
            return false;
        }
        self.at = any(&mut self.chance, &offered);
        let node = &self.run.nodes[self.at];
        let kills = node.kills();
        self.kept = TcpStream::connect_timeout(&node.addr, LONGEST).ok().map(|stream| (stream, kills));
        self.kept.is_some()
    }

    /// Asks for one thing; whether it has to be sent again.
    fn asks(&mut self, is_new: bool) -> bool {
        let Some((mut stream, kills)) = self.kept.take() else { return false };
        let node = &self.run.nodes[self.at];
        self.asked += 1;
        let class = if self.chance.draw() < 0.25 { "pay" } else { "look" };
        let budget = Duration::from_millis(between(&mut self.chance, 700.0, 2000.0) as u64);
        let call = format!("{}-{class}-{}-{}", node.addr.ip(), self.name, self.asked);
        let length = if self.chance.draw() < 0.1 { 20_000 } else { 40 };
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: b\r\nX-Call-Id: {call}\r\nX-Budget-Ms: {}\r\nContent-Length: {length}\r\n\r\n",
            budget.as_millis()
        );
        let leaves = (self.chance.draw() < 0.05).then(|| between(&mut self.chance, 0.005, 0.3));
        if stream.write_all([head.as_bytes(), &vec![b'x'; length]].concat().as_slice()).is_err() {
            return !is_new;
        }
        self.run.referee.sent(&call, budget);
        let sent = Instant::now();
        if let Some(after) = leaves {
            thread::sleep(Duration::from_secs_f64(after));
            // What has been answered by then is no departure.
            drop(stream);
            self.run.referee.left(&call);
            self.run.left.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let due = sent + budget + LOST_AFTER;
        match await_answer(&stream, due) {
            End::Answered(status, at) => {
                let count = match status {
                    200 => &self.run.served,
                    503 => &self.run.refused,
                    _ => &self.run.failed,
                };
                count.fetch_add(1, Ordering::Relaxed);
                if at > due {
                    self.run.breaks(format!("{call}: answered {:?} after its time", at - sent - budget));
                }
                self.kept = Some((stream, kills));
                false
            }
            end => self.unanswered(&call, is_new, kills, matches!(end, End::Silent)),
        }
    }

    /// Whether it has to be sent again; lost, where it was read, or could not be unread.
    fn unanswered(&self, call: &str, is_new: bool, kills: usize, silent: bool) -> bool {
        let node = &self.run.nodes[self.at];
        if node.kills() != kills {
            return false;
        }
        let attempts = self.run.referee.attempts_of(call);
        if silent || is_new || attempts > 0 {
            let how = if silent { "silence" } else { "a closed connection" };
            let state = node.state();
            self.run
                .breaks(format!("{call}: lost by {how}, {attempts} attempts, new {is_new}, node {state:?}"));
            return false;
        }
        true
    }
}

fn await_answer(stream: &TcpStream, due: Instant) -> End {
    const GRACE: Duration = Duration::from_secs(1); // Of the machine, which may be busy.
    let within = due.saturating_duration_since(Instant::now()) + GRACE;
    let Ok(reading) = stream.try_clone() else { return End::Closed };
    let _ = stream.set_read_timeout(Some(within));
    let begun = Instant::now();
    match answer(&mut BufReader::new(reading)) {
        Some(status) => End::Answered(status, newest_byte(stream)),
        None if begun.elapsed() >= within => End::Silent,
        None => End::Closed,
    }
}

/// The windows in which system calls of one process fail: no two of one call at a time.
fn windows(chance: &mut Chance) -> Vec<(f64, f64, Call, Fault)> {
    let mut windows: Vec<(f64, f64, Call, Fault)> = Vec::new();
    for _ in 0..WINDOWS_EACH {
        let (call, fault) = any(chance, &CATALOGUE);
        let from = between(chance, 0.3, PLAYED.as_secs_f64() - 1.5);
        let to = from + between(chance, 0.05, FAILS_AT_MOST);
        let apart =
            |other: &(f64, f64, Call, Fault)| other.2 != call || to + 1.0 < other.0 || other.1 + 1.0 < from;
        if windows.iter().all(apart) {
            windows.push((from, to, call, fault));
        }
    }
    windows
}

/// What happens to the system calls and the clock of one node.
#[derive(Clone, Copy, Debug)]
enum Weather {
    Begin(Call, Fault),
    End(Call),
    StepClock(i64),
}

fn weather(chance: &mut Chance) -> Vec<(f64, Weather)> {
    let mut weather = Vec::new();
    for (from, to, call, fault) in windows(chance) {
        weather.extend([(from, Weather::Begin(call, fault)), (to, Weather::End(call))]);
    }
    if chance.draw() < 0.5 {
        let step = if chance.draw() < 0.5 { HOUR } else { -HOUR };
        weather.push((between(chance, 0.0, 6.0), Weather::StepClock(step)));
    }
    weather.sort_by(|a, b| a.0.total_cmp(&b.0));
    weather
}

fn changes_weather(faults: &Faults, begun: Instant, weather: Vec<(f64, Weather)>) {
    for (after, change) in weather {
        let due = begun + Duration::from_secs_f64(after);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        match change {
            Weather::Begin(call, fault) => faults.begin(call, fault),
            Weather::End(call) => faults.end(call),
            Weather::StepClock(step) => faults.step_clock(step),
        }
    }
}

/// What is done to one node's process.
#[derive(Clone, Copy, Debug)]
enum Deed {
    Reread,
    Stop,
    Kill,
}

/// In order of time.
fn deeds(chance: &mut Chance) -> Vec<(f64, Deed)> {
    let at = between(chance, 1.0, 4.0);
    match chance.draw() {
        lot if lot < 0.2 => vec![(at, Deed::Stop)],
        lot if lot < 0.3 => vec![(at, Deed::Kill)],
        // In series, as when several things are rolled out.
        lot if lot < 0.5 => (0..3).map(|nth| (at + 0.2 * f64::from(nth), Deed::Reread)).collect(),
        _ => Vec::new(),
    }
}

/// One node's processes, one after the other, and what is done to them.
struct Keeper<'a> {
    run: &'a Run,
    at: usize,
    faults: &'a Faults,
    list: SocketAddr,
    process: Process,
}

impl Keeper<'_> {
    fn keeps(mut self, begun: Instant, deeds: Vec<(f64, Deed)>) {
        for (after, deed) in deeds {
            let due = begun + Duration::from_secs_f64(after);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            match deed {
                Deed::Reread => self.process.signal(libc::SIGHUP),
                Deed::Stop => self.stops(),
                Deed::Kill => self.is_killed(),
            }
        }
        thread::sleep(self.run.end.saturating_duration_since(Instant::now()) + LONGEST + LOST_AFTER);
        if self.process.has_ended() {
            self.run.breaks(format!("{} has ended: {}", self.process.node, self.process.log()));
        }
    }

    fn set(&self, state: State) {
        self.run.nodes[self.at].state.lock().expect("a lock").0 = state;
    }

    /// Told to stop; killed as early as the platform does, and started again.
    fn stops(&mut self) {
        let since = Instant::now();
        self.set(State::Stops(since));
        self.process.signal(libc::SIGTERM);
        until(KILLED_AFTER, || self.process.has_ended());
        self.set(State::Starts);
        self.restarts();
    }

    fn is_killed(&mut self) {
        {
            let mut state = self.run.nodes[self.at].state.lock().expect("a lock");
            *state = (State::Killed, state.1 + 1);
        }
        self.process.signal(libc::SIGKILL);
        thread::sleep(Duration::from_millis(200));
        self.restarts();
    }

    fn restarts(&mut self) {
        self.process = start(self.process.node, self.list, self.faults);
        if !until(READY, || self.process.is_ready()) {
            self.run.breaks(format!(
                "{} not ready after a restart: {}",
                self.process.node,
                self.process.log()
            ));
        }
        self.set(State::Serves);
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
    let list = ListKeeper::start(servers.iter().map(|server| server.entry("up")).collect());
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
            let keeper = Keeper { run: &run, at, faults: &faults[at], list: list.addr, process };
            let mut chance = self::chance(seed, at);
            let (weather, deeds) = (weather(&mut chance), deeds(&mut chance));
            scope.spawn(move || keeper.keeps(begun, deeds));
            let faults = &faults[at];
            scope.spawn(move || changes_weather(faults, begun, weather));
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
