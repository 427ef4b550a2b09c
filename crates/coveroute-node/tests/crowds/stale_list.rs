//! Nodes that are killed and restart with a stale list of executors, as real processes. Meanwhile an executor is removed or begins
//! to drain, but still answers, and discovery delays, refuses, resets or breaks off its first calls.
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::harness::{ask, read_message, unused_addr, wait_until, Executor, NodeOptions, Process};

/// Processes started at a time, with indexes spread evenly over the fleet.
const PROCESSES: usize = 6;
const FLEET: usize = 300;
/// Required time to readiness for nine in ten restarted nodes.
const READY: Duration = Duration::from_secs(10);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Interval between requests to one node.
const PACE: Duration = Duration::from_millis(50);

/// How discovery responds to a call for the list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    /// Answers after this many milliseconds.
    Late(u64),
    /// Answers with 503 after this many milliseconds.
    Refused(u64),
    /// Resets the connection after this many milliseconds.
    Reset(u64),
    /// Sends the response's head, then closes the connection (`BrokenOff`) or stays silent (`HeadOnly`) without sending a list.
    BrokenOff,
    HeadOnly,
    /// Sends an empty line first, and the list this many milliseconds later.
    EmptyLineFirst(u64),
}
use Call::*;

/// State of the old executor in the list when the nodes restart.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Removed,
    Draining,
}

/// Discovery for one node: two executors, one of which changes. The n-th call after the change gets the n-th response of the
/// script, and all further calls get the last one.
struct ListService {
    script: Vec<Call>,
    addr: SocketAddr,
    executors: [Executor; 2],
    change: Mutex<Option<Change>>,
    /// Calls since the change.
    calls: AtomicUsize,
}

impl ListService {
    fn start(script: &[Call], executors: [Executor; 2]) -> Arc<Self> {
        let addr = unused_addr();
        let listener = TcpListener::bind(addr).expect("failed to bind the address");
        let (script, change, calls) = (script.to_vec(), Mutex::default(), AtomicUsize::new(0));
        let service = Arc::new(ListService { script, addr, executors, change, calls });
        let serving = service.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = serving.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        service
    }

    fn change(&self, change: Change) {
        *self.change.lock().expect("poisoned lock") = Some(change);
    }

    fn next_call(&self) -> Call {
        if self.change.lock().expect("poisoned lock").is_none() {
            return Late(0);
        }
        let at = self.calls.fetch_add(1, Ordering::Relaxed);
        self.script[at.min(self.script.len() - 1)]
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(request) = stream.try_clone() else { return };
        if read_message(&mut BufReader::new(request)).is_none() {
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let wait = |millis| thread::sleep(Duration::from_millis(millis));
        match self.next_call() {
            Late(millis) => {
                wait(millis);
                let _ = stream.write_all(head.as_bytes());
            }
            EmptyLineFirst(millis) => {
                let _ = stream.write_all((head.to_owned() + &chunk("\n")).as_bytes());
                wait(millis);
            }
            Refused(millis) => {
                wait(millis);
                let refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                return drop(stream.write_all(refusal.as_bytes()));
            }
            Reset(millis) => {
                wait(millis);
                return drop(socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
            }
            BrokenOff => return drop(stream.write_all(head.as_bytes())),
            HeadOnly => {
                let _ = stream.write_all(head.as_bytes());
                return wait(8000);
            }
        }
        let mut line = self.list();
        while stream.write_all(chunk(&line).as_bytes()).is_ok() {
            line = "\n".to_owned();
            wait(1000);
        }
    }

    /// Returns the whole current list.
    fn list(&self) -> String {
        let [old, other] = &self.executors;
        let entries = match *self.change.lock().expect("poisoned lock") {
            None => vec![old.entry("up"), other.entry("up")],
            Some(Change::Removed) => vec![other.entry("up")],
            Some(Change::Draining) => vec![old.entry("draining"), other.entry("up")],
        };
        format!("{{\"version\":7,\"full\":true,\"servers\":[{}]}}\n", entries.join(","))
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Clients of one node, started at a fixed pace on a new connection each, until stopped.
struct Clients {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    /// Ids of requests on an established connection that got no response in time.
    lost: Arc<Mutex<Vec<String>>>,
}

impl Clients {
    fn of(node: SocketAddr, name: String) -> Self {
        let (stop, served, lost): (Arc<AtomicBool>, Arc<AtomicUsize>, Arc<Mutex<Vec<String>>>) =
            Default::default();
        let clients = Clients { stop: stop.clone(), served: served.clone(), lost: lost.clone() };
        thread::spawn(move || {
            for nth in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let (served, lost, id) = (served.clone(), lost.clone(), format!("{name}-{nth}"));
                thread::spawn(move || {
                    // The node may not be listening yet.
                    let Ok(mut stream) = TcpStream::connect_timeout(&node, CLIENT_TIMEOUT) else { return };
                    let budget = CLIENT_TIMEOUT.as_millis();
                    let head =
                        format!("POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}\r\nX-Budget-Ms: {budget}");
                    match ask(&mut stream, &format!("{head}\r\nContent-Length: 2\r\n\r\n20")) {
                        Some((200, _)) => drop(served.fetch_add(1, Ordering::Relaxed)),
                        Some(_) => {}
                        None => lost.lock().expect("poisoned lock").push(id),
                    }
                });
                thread::sleep(PACE);
            }
        });
        clients
    }
}

/// Result of a restart in which each node has clients from the start: requests that each executor got, the time until each node
/// was ready, and requests served and lost.
#[derive(Debug)]
struct Restart {
    old: usize,
    other: usize,
    ready: Vec<f64>,
    served: Vec<usize>,
    lost: Vec<String>,
}

fn restart(change: Change, script: &[Call], runs: Duration) -> Restart {
    let nodes: Vec<SocketAddr> = (0..PROCESSES).map(|_| unused_addr()).collect();
    let all = nodes.clone();
    let node = move |job: &str| {
        let nth = job[1..].split('-').next().and_then(|nth| nth.parse().ok());
        all[nth.unwrap_or(0usize)]
    };
    let executors = [Executor::start("s-0", node.clone()), Executor::start("s-1", node)];
    let services: Vec<_> = nodes.iter().map(|_| ListService::start(script, executors.clone())).collect();
    let options = |nth: usize| NodeOptions {
        fleet_size: FLEET,
        index: nth * (FLEET / PROCESSES),
        ..NodeOptions::with_descriptors(128)
    };
    let start = |nth: usize, known: bool| {
        let known: Vec<_> = executors.iter().filter(|_| known).map(|executor| executor.entry("up")).collect();
        Process::start_with_list(nodes[nth], services[nth].addr, options(nth), &known)
    };
    // Each node watches the list, becomes ready and is killed.
    let before: Vec<Process> = (0..PROCESSES).map(|nth| start(nth, false)).collect();
    let ready = before.iter().all(|process| wait_until(3 * READY, || process.is_ready()));
    assert!(ready, "not ready: {}", before[0].log());
    drop(before);
    services.iter().for_each(|service| service.change(change));
    // A change counts as known to all six seconds later, also to a node that starts then.
    thread::sleep(Duration::from_secs(6));
    let taken: Vec<usize> = executors.iter().map(Executor::jobs).collect();
    let clients: Vec<Clients> =
        nodes.iter().enumerate().map(|(nth, node)| Clients::of(*node, format!("n{nth}"))).collect();
    let began = Instant::now();
    let after: Vec<Process> = (0..PROCESSES).map(|nth| start(nth, true)).collect();
    let mut ready = vec![f64::INFINITY; PROCESSES];
    while began.elapsed() < runs {
        for (at, process) in after.iter().enumerate() {
            if ready[at].is_infinite() && process.is_ready() {
                ready[at] = began.elapsed().as_secs_f64();
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    clients.iter().for_each(|clients| clients.stop.store(true, Ordering::Relaxed));
    thread::sleep(CLIENT_TIMEOUT + Duration::from_millis(500));
    let jobs: Vec<usize> =
        executors.iter().zip(taken).map(|(executor, before)| executor.jobs() - before).collect();
    after.iter().for_each(|process| println!("{}\n", process.log()));
    Restart {
        old: jobs[0],
        other: jobs[1],
        ready,
        served: clients.iter().map(|clients| clients.served.load(Ordering::Relaxed)).collect(),
        lost: clients
            .iter()
            .flat_map(|clients| clients.lost.lock().expect("poisoned lock").clone())
            .collect(),
    }
}

// Issue 47: the nodes and executors of a zone die together, and the executors are back a second before discovery lists them. A
// starting node may not use the list from its earlier run: a change of six seconds ago counts as known, also to it.
#[test_case(Change::Removed, &[Late(300)]; "removed, and the list is late")]
#[test_case(Change::Draining, &[Late(300)]; "draining, and the list is late")]
#[test_case(Change::Removed, &[Refused(0), Late(0)]; "the first call is refused as it comes")]
#[test_case(Change::Removed, &[Refused(1000), Reset(0), Late(0)]; "the first call waits and is refused, the second is reset")]
#[test_case(Change::Removed, &[Reset(600), Late(0)]; "the first call waits and is reset")]
#[test_case(Change::Draining, &[Reset(0), Late(0)]; "the first call is reset")]
#[test_case(Change::Draining, &[BrokenOff, Late(0)]; "the first answer is broken off before its list")]
#[test_case(Change::Removed, &[HeadOnly, Late(0)]; "the first answer has a head and nothing more")]
#[test_case(Change::Removed, &[EmptyLineFirst(800)]; "an empty line comes before the list")]
fn restarted_nodes_do_not_use_the_stale_list(change: Change, script: &[Call]) {
    // Calls are retried at longer intervals after a refusal.
    let rounds = if script.iter().any(|call| matches!(call, Refused(_) | Reset(1..))) { 20 } else { 12 };
    let result = restart(change, script, Duration::from_secs(rounds));
    println!("{change:?}, {script:?}: {result:?}");
    assert_eq!(result.old, 0, "requests to the removed or draining executor");
    assert!(result.ready.iter().all(|ready| *ready < READY.as_secs_f64()), "{result:?}");
    assert!(result.served.iter().all(|served| *served > 0), "a node served no request: {result:?}");
    assert!(result.other > 0 && result.lost.is_empty(), "{result:?}");
}
