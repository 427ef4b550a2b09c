//! Idle clients hold all of a node's connections: real processes under a real file descriptor limit.
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use coveroute_emu::loopback::resource_usage;
use test_case::test_case;

use crate::harness::{
    executor, get, job, status, unused_addr, wait_until, Discovery, DiscoveryLimits, NodeOptions, Process,
};

const DESCRIPTORS: usize = 300;
/// Descriptors for client connections: a third of all for those that wait for a response, and a sixth for further ones.
const CLIENTS: usize = DESCRIPTORS / 3 + DESCRIPTORS / 6;
/// The operators' target: nine in ten nodes are ready by then.
const READY: Duration = Duration::from_secs(10);
const SOON: Duration = Duration::from_secs(1);

/// Opens idle connections. Every second one sends a request, whose response keeps the connection open for two minutes; the others
/// send nothing. None waits for a response: where the node can't accept, they stay in its backlog.
fn open_idle_connections(node: SocketAddr, many: usize) -> Vec<TcpStream> {
    let one = |at| {
        let mut stream = TcpStream::connect_timeout(&node, SOON).ok()?;
        if at % 2 == 0 {
            stream.write_all(get("/up").as_bytes()).ok()?;
        }
        Some(stream)
    };
    (0..many).filter_map(one).collect()
}

/// A client that keeps opening connections with a request on each. It holds at most `holds` and closes the oldest first.
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
                held.extend(open_idle_connections(node, 1));
                opened.fetch_add(1, Ordering::Relaxed);
                held.drain(..held.len().saturating_sub(holds));
                thread::sleep(Duration::from_millis(1));
            }
        });
        filler
    }
}

struct Fixture {
    discovery: Discovery,
    process: Process,
}

impl Fixture {
    fn new(options: NodeOptions) -> Self {
        let node = unused_addr();
        let discovery = Discovery::stopped(executor(node), DiscoveryLimits::NONE);
        let process = Process::start(node, discovery.addr, options);
        assert!(wait_until(READY, || status(node, "/up") == Some(503)), "{}", process.log());
        Fixture { discovery, process }
    }

    fn open_descriptors(&self) -> usize {
        resource_usage(self.process.id()).most_descriptors
    }

    /// Waits until the node is ready, and checks that it serves calls through its executor.
    fn check_serves(&self) {
        let begun = Instant::now();
        assert!(wait_until(READY, || self.process.is_ready()), "not ready: {}", self.process.log());
        println!(
            "ready after {:.2} s, {} descriptors",
            begun.elapsed().as_secs_f64(),
            self.open_descriptors()
        );
        answered(jobs(self.process.node, 50), &self.process);
    }
}

/// Sends twenty calls, one each 30 ms.
fn jobs(node: SocketAddr, millis: u64) -> Vec<JoinHandle<Option<(u16, String)>>> {
    let one = |at| {
        thread::sleep(Duration::from_millis(30));
        job(node, &format!("c{at}"), millis)
    };
    (0..20).map(one).collect()
}

fn answered(jobs: Vec<JoinHandle<Option<(u16, String)>>>, process: &Process) {
    for (at, job) in jobs.into_iter().enumerate() {
        let answer = job.join().expect("the client thread panicked");
        let is_its =
            |(status, body): &(u16, String)| *status == 200 && body.starts_with(&format!("r-c{at}-"));
        assert!(answer.as_ref().is_some_and(is_its), "call {at}: {answer:?} {}", process.log());
    }
}

// Guards against clients that use up the descriptors needed to fetch the list and to reach executors.
#[test_case(false; "no new connections")]
#[test_case(true; "one client keeps opening connections")]
fn node_serves_after_idle_clients_held_all_connections_while_discovery_was_down(refills: bool) {
    let fixture = Fixture::new(NodeOptions::with_descriptors(DESCRIPTORS));
    let _idle = open_idle_connections(fixture.process.node, 2 * DESCRIPTORS);
    let filler = refills.then(|| Filler::new(fixture.process.node, 2 * DESCRIPTORS));
    assert!(
        wait_until(READY, || fixture.open_descriptors() >= CLIENTS * 3 / 4),
        "{} of {CLIENTS}",
        fixture.open_descriptors()
    );
    fixture.discovery.start();
    fixture.check_serves();
    assert!(fixture.open_descriptors() < DESCRIPTORS);
    filler.iter().for_each(|filler| println!("{} opened", filler.opened.load(Ordering::Relaxed)));
}

// With idle clients on all connections and one client that keeps opening more, accepted jobs are answered and the process exits
// in time.
#[test]
fn shutdown_with_all_connections_held_answers_accepted_jobs() {
    let mut fixture = Fixture::new(NodeOptions::with_descriptors(DESCRIPTORS));
    fixture.discovery.start();
    assert!(wait_until(READY, || fixture.process.is_ready()), "{}", fixture.process.log());
    let _idle = open_idle_connections(fixture.process.node, 2 * DESCRIPTORS);
    let _filler = Filler::new(fixture.process.node, 2 * DESCRIPTORS);
    let jobs = jobs(fixture.process.node, 900);
    fixture.process.stop();
    let ended = fixture.process.wait_for_exit(Duration::from_secs(4));
    answered(jobs, &fixture.process);
    println!("ended after {ended:?}");
    assert!(ended.is_some(), "{}", fixture.process.log());
}

/// Fraction of a core that a node may use while it can't accept.
const MAX_CPU: f64 = 0.2;

// Descriptors run out below the configured number: the process limit is lower, or other files hold some. Guards against an accept
// that fails for as long as idle clients stay, and against a busy loop that retries it.
#[test_case(NodeOptions { descriptor_limit: 100, ..NodeOptions::with_descriptors(DESCRIPTORS) }; "the process limit is lower")]
#[test_case(NodeOptions { preopened_files: 200, ..NodeOptions::with_descriptors(DESCRIPTORS) }; "other files hold most")]
fn descriptors_run_out_below_the_configured_number(options: NodeOptions) {
    let fixture = Fixture::new(options);
    let _idle = open_idle_connections(fixture.process.node, 2 * DESCRIPTORS);
    thread::sleep(Duration::from_millis(500));
    let (cpu, begun) = (resource_usage(fixture.process.id()).cpu_seconds, Instant::now());
    thread::sleep(Duration::from_secs(2));
    let spent = (resource_usage(fixture.process.id()).cpu_seconds - cpu) / begun.elapsed().as_secs_f64();
    println!("{spent:.3} of a core, {} descriptors", fixture.open_descriptors());
    assert!(spent < MAX_CPU, "{spent} of a core: {}", fixture.process.log());
    fixture.discovery.start();
    fixture.check_serves();
}
