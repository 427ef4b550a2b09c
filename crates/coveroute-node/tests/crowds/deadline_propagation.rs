//! Deadline propagation on a few real processes: no attempt may give its executor a larger budget than its client has left, while
//! one thing fails for a moment: the kernel is slow to take or deliver bytes, connections are established or accepted late, the
//! log stalls, the wall clock steps.
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::checker::Checker;
use crate::fault_table::Call;
use crate::harness::{unused_addr, wait_until, NodeOptions, Process, Setup};
use crate::recording_servers::{answer, Behaviour, ListService, Server};
use crate::system_calls::{Fault, Faults};

const NODES: usize = 3;
pub const READY: Duration = Duration::from_secs(20);
const BUDGET: Duration = Duration::from_millis(1500);
/// Interval between requests to one node.
const PACE: Duration = Duration::from_millis(25);
/// Duration of a fault, which recurs each round.
pub const FAULT_DURATION: Duration = Duration::from_millis(500);
const ROUND: Duration = Duration::from_millis(1200);
const ROUNDS: usize = 4;

/// Returns the node named by the first part of a call's id. The host identifies a node, as all nodes use the same port.
pub fn node_of(call: &str) -> SocketAddr {
    let host = call.split('-').next().unwrap_or_default();
    SocketAddr::new(host.parse().expect("not a host address"), 9000)
}

fn request(call: &str, budget: Duration) -> String {
    let millis = budget.as_millis();
    format!("POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: {call}\r\nX-Budget-Ms: {millis}\r\nContent-Length: 2\r\n\r\n{{}}")
}

/// Returns a call id that is unique for this node.
fn call_at(node: SocketAddr) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    format!("{}-{}", node.ip(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A final response, and how long after the request's last byte it came.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Answered {
    status: u16,
    after: Duration,
}

/// Sends one request on a new connection, from another thread.
fn send_request(
    checker: &Arc<Checker>,
    node: SocketAddr,
    call: String,
    budget: Duration,
) -> thread::JoinHandle<Option<Answered>> {
    let checker = checker.clone();
    thread::spawn(move || {
        let mut stream = TcpStream::connect_timeout(&node, budget).ok()?;
        stream.set_read_timeout(Some(2 * budget)).ok()?;
        stream.write_all(request(&call, budget).as_bytes()).ok()?;
        checker.sent(&call, budget);
        let sent = Instant::now();
        let status = answer(&mut BufReader::new(stream))?;
        Some(Answered { status, after: sent.elapsed() })
    })
}

pub struct Fixture {
    pub checker: Arc<Checker>,
    pub faults: Faults,
    pub nodes: Vec<Process>,
    pub list_service: ListService,
}

impl Fixture {
    /// Starts nodes that know these servers, and waits until they are ready.
    pub fn start(
        checker: Arc<Checker>,
        servers: &[Server],
        settings: &[(&'static str, &'static str)],
        log: &'static str,
    ) -> Self {
        let list_service = ListService::start(servers.iter().map(|server| server.entry("up")).collect());
        let faults = Faults::new(9000);
        let setup = Setup { settings: settings.to_vec(), environment: faults.environment(), log };
        let start = |_| {
            Process::start_with(
                unused_addr(),
                list_service.addr,
                NodeOptions::with_descriptors(256),
                &[],
                &setup,
            )
        };
        let nodes: Vec<Process> = (0..NODES).map(start).collect();
        let ready = nodes.iter().all(|node| wait_until(READY, || node.is_ready()));
        assert!(ready, "{}", nodes[0].log());
        Fixture { checker, faults, nodes, list_service }
    }

    /// Starts nodes that soon close idle connections to executors, so that some attempts have to open a new one.
    fn with_three_servers() -> Self {
        let checker: Arc<Checker> = Arc::default();
        let servers =
            ["s-0", "s-1", "s-2"].map(|id| Server::new(id, &checker, node_of, Arc::new(mostly_accept)));
        servers.iter().for_each(Server::listen);
        let settings = [("\"connIdle\": 60000.0", "\"connIdle\": 150.0")];
        Fixture::start(checker, &servers, &settings, "debug")
    }

    /// Sends one request on a new connection, from another thread.
    fn request_on_new_connection(&self, node: SocketAddr) -> thread::JoinHandle<Option<Answered>> {
        send_request(&self.checker, node, call_at(node), BUDGET)
    }

    /// Sends requests one after the other on a kept-alive connection until `end`, and reconnects when it is closed.
    pub fn request_until(&self, node: SocketAddr, name: String, end: Instant) -> thread::JoinHandle<()> {
        let checker = self.checker.clone();
        thread::spawn(move || {
            let mut kept: Option<TcpStream> = None;
            for nth in 0.. {
                if Instant::now() > end {
                    return;
                }
                thread::sleep(PACE);
                let Some(mut stream) = kept.take().or_else(|| TcpStream::connect_timeout(&node, BUDGET).ok())
                else {
                    continue;
                };
                let call = format!("{name}-{nth}");
                let _ = stream.set_read_timeout(Some(2 * BUDGET));
                if stream.write_all(request(&call, BUDGET).as_bytes()).is_err() {
                    continue;
                }
                checker.sent(&call, BUDGET);
                let Ok(reading) = stream.try_clone() else { continue };
                kept = answer(&mut BufReader::new(reading)).map(|_| stream);
            }
        })
    }

    /// Runs load on all nodes while the faults begin and end each round.
    fn run_load(&self, faults: &[(Call, Fault)]) {
        let (begun, end) = (Instant::now(), Instant::now() + ROUND * ROUNDS as u32);
        let mut kept = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            let name = |which: usize| format!("{}-k{at}{which}", node.node.ip());
            kept.extend((0..3).map(|which| self.request_until(node.node, name(which), end)));
        }
        let mut fresh = Vec::new();
        while Instant::now() < end {
            let at = begun.elapsed().as_millis() % ROUND.as_millis();
            let is_active = at < FAULT_DURATION.as_millis();
            for (call, fault) in faults {
                match is_active {
                    true => self.faults.begin(*call, *fault),
                    false => self.faults.end(*call),
                }
            }
            for node in &self.nodes {
                fresh.push(self.request_on_new_connection(node.node));
            }
            thread::sleep(PACE);
        }
        faults.iter().for_each(|(call, _)| self.faults.end(*call));
        kept.into_iter().for_each(|client| client.join().expect("the client thread panicked"));
        let answers = fresh.into_iter().map(|client| client.join().expect("the client thread panicked"));
        let statuses: Vec<Option<u16>> = answers.map(|answered| Some(answered?.status)).collect();
        let of = |status| statuses.iter().filter(|answered| **answered == status).count();
        let hits: u64 = faults.iter().map(|(call, _)| self.faults.hits(*call)).sum();
        println!(
            "{} attempts, {hits} faults injected; of {} requests on new connections {} served, {} refused, {} failed, {} without a response",
            self.checker.attempts(), statuses.len(), of(Some(200)), of(Some(503)), of(Some(500)), of(None)
        );
        assert!(hits > 0 || faults.is_empty(), "no fault was injected");
        assert_eq!(of(None), 0, "requests without a response");
    }

    fn check_budgets(&self) {
        let overstated = self.checker.overstated_budgets();
        let shown: Vec<_> = overstated.iter().take(5).collect();
        assert!(
            overstated.is_empty(),
            "{} attempts exceeded their client's remaining time: {shown:?}",
            overstated.len()
        );
    }
}

/// Of ten first attempts, three are rejected, one each is returned later, fails, is reset or gets no response, and the rest are
/// accepted. Every further attempt is accepted.
fn mostly_accept(call: &str, number: usize) -> Behaviour {
    let roll = call.bytes().fold(7_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte))) % 10;
    match (number, roll) {
        (1, 0..=2) => Behaviour::Reject,
        (1, 3) => Behaviour::Return(200),
        (1, 4) => Behaviour::Fail,
        (1, 5) => Behaviour::Reset,
        (1, 6) => Behaviour::Ignore,
        _ => Behaviour::Accept(20),
    }
}

const EAGAIN: Fault = Fault { rearm_ms: 30, ..Fault::errno(libc::EAGAIN) };

#[test_case(&[]; "nothing fails")]
#[test_case(&[(Call::Accept, Fault::errno(libc::EMFILE))]; "accept has no descriptor for a moment")]
#[test_case(&[(Call::Accept, Fault::errno(libc::ENOBUFS).with_per_mille(900))]; "accept mostly has no memory")]
#[test_case(&[(Call::ReceiveFromClient, EAGAIN)]; "requests can not be read for a moment")]
#[test_case(&[(Call::ReceiveFromClient, Fault::short(40, 100))]; "requests are read in short pieces")]
#[test_case(&[(Call::ReceiveFromClient, Fault::errno(libc::EINTR).with_per_mille(300))]; "reads are interrupted")]
#[test_case(&[(Call::SendToServer, EAGAIN)]; "the kernel takes nothing for executors for a moment")]
#[test_case(&[(Call::SendToServer, Fault::short(60, 200))]; "the kernel takes short pieces for executors")]
#[test_case(&[(Call::SendToServer, Fault::errno(libc::EINTR).with_per_mille(300))]; "writes are interrupted")]
#[test_case(&[(Call::SendToClient, Fault::errno(libc::EINTR).with_per_mille(300))]; "writes of responses are interrupted")]
#[test_case(&[(Call::SendToClient, Fault::errno(libc::ENOBUFS).with_per_mille(500)), (Call::ReceiveFromClient, Fault::errno(libc::ENOMEM).with_per_mille(500))]; "the kernel has no memory for clients")]
#[test_case(&[(Call::SendToServer, Fault::errno(libc::ENOBUFS).with_per_mille(500)), (Call::ReceiveFromServer, Fault::errno(libc::ENOMEM).with_per_mille(500))]; "the kernel has no memory for executors")]
#[test_case(&[(Call::SendToClient, Fault::short(9, 20))]; "the kernel takes short pieces of responses")]
#[test_case(&[(Call::ReceiveFromServer, Fault::errno(libc::EINTR).with_per_mille(300))]; "reads from executors are interrupted")]
#[test_case(&[(Call::Socket, Fault::errno(libc::EMFILE).with_per_mille(700)), (Call::Connect, Fault::errno(libc::EINTR).with_per_mille(300))]; "connections can not be opened")]
#[test_case(&[(Call::WriteLog, Fault::late(250).with_per_mille(20))]; "the log stalls")]
#[test_case(&[(Call::WriteLog, Fault::errno(libc::ENOSPC)), (Call::Accept, Fault::errno(libc::ENFILE))]; "no disk and no descriptors")]
fn attempt_budgets_stay_within_the_clients_remaining_time_while(faults: &[(Call, Fault)]) {
    let fixture = Fixture::with_three_servers();
    fixture.run_load(faults);
    fixture.check_budgets();
}

// Without the kernel's arrival times, bytes may have waited for as long as no connection was accepted.
#[test]
fn attempt_budgets_stay_within_the_clients_remaining_time_without_tcp_info() {
    let fixture = Fixture::with_three_servers();
    fixture.faults.begin(Call::ConnectionInfo, Fault::errno(libc::ENOPROTOOPT));
    fixture.run_load(&[(Call::Accept, Fault::errno(libc::ENOBUFS))]);
    fixture.check_budgets();
}

/// Returns a listener whose accept queue is full: a further connection is established up to about a second after the queue was
/// emptied.
fn listener_with_full_queue(addr: SocketAddr) -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("failed to create a socket");
    socket.set_reuse_address(true).expect("failed to set SO_REUSEADDR");
    socket.bind(&addr.into()).expect("failed to bind the address");
    socket.listen(1).expect("failed to listen");
    let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(50)).ok();
    let filling = (0..8).map_while(connect).collect();
    (TcpListener::from(socket), filling)
}

// One server rejects every attempt at once; the connections to the other are established only after its accept queue has been
// emptied. First attempts and retries may meet either. Guards against a budget from before the connection was established.
#[test]
fn attempt_budgets_stay_within_the_clients_remaining_time_when_a_connection_is_late() {
    let checker: Arc<Checker> = Arc::default();
    let quick = Server::new("s-0", &checker, node_of, Arc::new(|_, _| Behaviour::Reject));
    let late = Server::new("s-1", &checker, node_of, Arc::new(|_, _| Behaviour::Accept(20)));
    quick.listen();
    let (listener, filling) = listener_with_full_queue(late.addr);
    let settings =
        [("\"dialTimeout\": 250.0", "\"dialTimeout\": 3000.0"), ("\"probing\": true", "\"probing\": false")];
    let fixture = Fixture::start(checker, &[quick, late.clone()], &settings, "debug");
    let clients: Vec<_> =
        (0..12).map(|nth| fixture.request_on_new_connection(fixture.nodes[nth % NODES].node)).collect();
    thread::sleep(Duration::from_millis(300));
    // From here on the queue has room for all: a handshake that still met a full queue would lose its first bytes to a
    // retransmission.
    socket2::SockRef::from(&listener).listen(128).expect("failed to listen");
    drop(filling);
    late.serve_all(listener);
    let answers: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("the client thread panicked")).collect();
    println!("{answers:?}, {} attempts", fixture.checker.attempts());
    assert!(fixture.checker.attempts() > 0, "no connection was established");
    fixture.check_budgets();
}

// Two requests are pipelined on one connection; the executor of the first one is slow.
#[test]
fn pipelined_request_budget_accounts_for_its_wait() {
    let checker: Arc<Checker> = Arc::default();
    let script = |call: &str, _| Behaviour::Accept(if call.ends_with("first") { 900 } else { 10 });
    let server = Server::new("s-0", &checker, node_of, Arc::new(script));
    server.listen();
    let fixture = Fixture::start(checker, &[server], &[], "debug");
    for node in &fixture.nodes {
        let calls = ["first", "second"].map(|which| format!("{}-{which}", node.node.ip()));
        let both = calls.clone().map(|call| request(&call, BUDGET)).concat();
        let mut stream = TcpStream::connect_timeout(&node.node, BUDGET).expect("failed to connect");
        stream.set_read_timeout(Some(2 * BUDGET)).expect("failed to set the timeout");
        stream.write_all(both.as_bytes()).expect("failed to write");
        calls.iter().for_each(|call| fixture.checker.sent(call, BUDGET));
        let mut answers = BufReader::new(stream);
        println!("{:?}", [answer(&mut answers), answer(&mut answers)]);
    }
    fixture.check_budgets();
}

// The process that accepted the request hands it over to one that was started after the wall clock had stepped, which then
// retries it.
#[test_case(-3600; "back")]
#[test_case(3600; "on")]
fn handed_over_request_budget_is_independent_of_clock_steps(step: i64) {
    const SLOW: Duration = Duration::from_millis(4000);
    const HANDED: usize = 12;
    const RETURNED: Duration = Duration::from_millis(500);
    let checker: Arc<Checker> = Arc::default();
    let behaviours =
        [("s-0", Behaviour::Return(RETURNED.as_millis() as u64)), ("s-1", Behaviour::Accept(20))];
    let servers =
        behaviours.map(|(id, behaviour)| Server::new(id, &checker, node_of, Arc::new(move |_, _| behaviour)));
    servers.iter().for_each(Server::listen);
    let list_service = ListService::start(servers.iter().map(|server| server.entry("up")).collect());
    let faults = Faults::new(9000);
    let folder = std::env::temp_dir().join(format!("coveroute-step-{}-{step}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("failed to create the folder");
    let mut environment = faults.environment();
    environment.push(("TMPDIR".to_owned(), folder.display().to_string()));
    let setup = Setup { environment, ..Setup::default() };
    let addr = unused_addr();
    let before =
        Process::start_with(addr, list_service.addr, NodeOptions::with_descriptors(256), &[], &setup);
    assert!(wait_until(READY, || before.is_ready()), "{}", before.log());
    let calls = [0; HANDED].map(|_| call_at(addr));
    let clients: Vec<_> = calls.iter().map(|call| send_request(&checker, addr, call.clone(), SLOW)).collect();
    let is_taken = |call: &String| checker.attempts_of(call) == 1;
    assert!(wait_until(READY, || calls.iter().all(is_taken)), "{}", before.log());
    faults.step_clock(step);
    let after = Process::start_with(addr, list_service.addr, NodeOptions::with_descriptors(256), &[], &setup);
    let answers: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("the client thread panicked")).collect();
    let _ = std::fs::remove_dir_all(&folder);
    let retried = calls.iter().filter(|call| checker.attempts_of(call) > 1).count();
    println!("{answers:?}, {retried} retried");
    assert_eq!(checker.overstated_budgets(), []);
    let is_early = |answered: &&Answered| answered.after < RETURNED && answered.status != 200;
    assert_eq!(answers.iter().flatten().find(is_early), None, "{}", after.log());
    assert!(
        answers.iter().flatten().any(|answered| answered.after >= RETURNED),
        "no request was handed over"
    );
}
