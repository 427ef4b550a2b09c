//! Idle clients hold all of a node's connections: real processes under a real limit of descriptors.
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use coveroute_emu::loopback::taken_by;
use test_case::test_case;

use crate::stand_in::{executor, free, get, job, status, until, Bound, Discovery, Process, Seat};

const DESCRIPTORS: usize = 300;
/// Of these, for clients: those that wait for an answer, and those beyond.
const CLIENTS: usize = DESCRIPTORS / 3 + DESCRIPTORS / 6;
/// The operators want nine in ten ready by then.
const READY: Duration = Duration::from_secs(10);
const SOON: Duration = Duration::from_secs(1);

/// Idle clients: every second asks for something, and having its answer keeps a connection for two minutes; the others
/// say nothing. None waits: where the node can't accept they stand in its backlog.
fn idle(node: SocketAddr, many: usize) -> Vec<TcpStream> {
    let one = |at| {
        let mut stream = TcpStream::connect_timeout(&node, SOON).ok()?;
        if at % 2 == 0 {
            stream.write_all(get("/up").as_bytes()).ok()?;
        }
        Some(stream)
    };
    (0..many).filter_map(one).collect()
}

/// A client that keeps opening connections, and has an answer on each: so many are held, the oldest goes first.
struct Filler {
    ends: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
}

impl Drop for Filler {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

impl Filler {
    fn new(node: SocketAddr, holds: usize) -> Self {
        let (ends, opened) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let filler = Filler { ends: ends.clone(), opened: opened.clone() };
        thread::spawn(move || {
            let mut held = std::collections::VecDeque::new();
            while !ends.load(Ordering::Relaxed) {
                held.extend(idle(node, 1));
                opened.fetch_add(1, Ordering::Relaxed);
                held.drain(..held.len().saturating_sub(holds));
                thread::sleep(Duration::from_millis(1));
            }
        });
        filler
    }
}

struct World {
    discovery: Discovery,
    process: Process,
}

impl World {
    fn new(seat: Seat) -> Self {
        let node = free();
        let discovery = Discovery::down(executor(node), Bound::NONE);
        let process = Process::start(node, discovery.addr, seat);
        assert!(until(READY, || status(node, "/up") == Some(503)), "{}", process.log());
        World { discovery, process }
    }

    fn held(&self) -> usize {
        taken_by(self.process.id()).most_descriptors
    }

    /// Until it is ready, and has served calls through its executor.
    fn serves(&self) {
        let begun = Instant::now();
        assert!(until(READY, || self.process.is_ready()), "not ready: {}", self.process.log());
        println!("ready after {:.2} s, {} descriptors", begun.elapsed().as_secs_f64(), self.held());
        answered(jobs(self.process.node, 50), &self.process);
    }
}

/// Twenty calls, one each 30 ms.
fn jobs(node: SocketAddr, millis: u64) -> Vec<JoinHandle<Option<(u16, String)>>> {
    let one = |at| {
        thread::sleep(Duration::from_millis(30));
        job(node, &format!("c{at}"), millis)
    };
    (0..20).map(one).collect()
}

fn answered(jobs: Vec<JoinHandle<Option<(u16, String)>>>, process: &Process) {
    for (at, job) in jobs.into_iter().enumerate() {
        let answer = job.join().expect("a client");
        let is_its =
            |(status, body): &(u16, String)| *status == 200 && body.starts_with(&format!("r-c{at}-"));
        assert!(answer.as_ref().is_some_and(is_its), "call {at}: {answer:?} {}", process.log());
    }
}

// Guards against clients that take the descriptors by which the list is fetched and executors are reached.
#[test_case(false; "and stay")]
#[test_case(true; "and one keeps filling")]
fn idle_clients_hold_all_while_discovery_is_down(fills: bool) {
    let world = World::new(Seat::of(DESCRIPTORS));
    let _idle = idle(world.process.node, 2 * DESCRIPTORS);
    let filler = fills.then(|| Filler::new(world.process.node, 2 * DESCRIPTORS));
    assert!(until(READY, || world.held() >= CLIENTS * 3 / 4), "{} of {CLIENTS}", world.held());
    world.discovery.comes_up();
    world.serves();
    assert!(world.held() < DESCRIPTORS);
    filler.iter().for_each(|filler| println!("{} opened", filler.opened.load(Ordering::Relaxed)));
}

// What is taken is answered, and the process ends in time, with idle clients on all places and one that keeps coming.
#[test]
fn a_stop_with_all_places_held_answers_what_is_taken() {
    let mut world = World::new(Seat::of(DESCRIPTORS));
    world.discovery.comes_up();
    assert!(until(READY, || world.process.is_ready()), "{}", world.process.log());
    let _idle = idle(world.process.node, 2 * DESCRIPTORS);
    let _filler = Filler::new(world.process.node, 2 * DESCRIPTORS);
    let jobs = jobs(world.process.node, 900);
    world.process.stop();
    let ended = world.process.ends_within(Duration::from_secs(4));
    answered(jobs, &world.process);
    println!("ended after {ended:?}");
    assert!(ended.is_some(), "{}", world.process.log());
}

/// A core's part that a node may spend where it can't accept.
const SPENT: f64 = 0.2;

// Descriptors run out below the bound: the machine gives fewer than the configuration says, or other files hold some.
// Guards against an accept that fails for as long as idle clients stay, and against a core spent on trying.
#[test_case(Seat { given: 100, ..Seat::of(DESCRIPTORS) }; "the machine gives fewer")]
#[test_case(Seat { taken: 200, ..Seat::of(DESCRIPTORS) }; "other files hold most")]
fn descriptors_run_out_below_the_bound(seat: Seat) {
    let world = World::new(seat);
    let _idle = idle(world.process.node, 2 * DESCRIPTORS);
    thread::sleep(Duration::from_millis(500));
    let (cpu, begun) = (taken_by(world.process.id()).cpu_seconds, Instant::now());
    thread::sleep(Duration::from_secs(2));
    let spent = (taken_by(world.process.id()).cpu_seconds - cpu) / begun.elapsed().as_secs_f64();
    println!("{spent:.3} of a core, {} descriptors", world.held());
    assert!(spent < SPENT, "{spent} of a core: {}", world.process.log());
    world.discovery.comes_up();
    world.serves();
}
