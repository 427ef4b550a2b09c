//! Failures on a node's own machine, which must not be mistaken for failures of discovery or executors.
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::checker::Checker;
use crate::deadline_propagation::{node_of, Fixture, FAULT_DURATION, READY};
use crate::fault_table::Call;
use crate::harness::{unused_addr, wait_until, NodeOptions, Process, Setup};
use crate::recording_servers::{Behaviour, ListService, Server};
use crate::system_calls::{Fault, Faults};

// Guards against a node that goes on using an outdated list: it can not open a connection to discovery, while its kept-alive
// connections to executors still work.
#[test]
fn list_expires_while_discovery_can_not_be_called() {
    const KNOWN_AFTER: Duration = Duration::from_secs(6);
    const DURATION: Duration = Duration::from_secs(9);
    let checker: Arc<Checker> = Arc::default();
    let servers =
        ["s-0", "s-1"].map(|id| Server::new(id, &checker, node_of, Arc::new(|_, _| Behaviour::Accept(20))));
    servers.iter().for_each(Server::listen);
    let fixture = Fixture::start(checker, &servers, &[], "info");
    let end = Instant::now() + DURATION;
    let clients: Vec<_> = fixture
        .nodes
        .iter()
        .map(|node| fixture.request_until(node.node, format!("{}-c", node.node.ip()), end))
        .collect();
    thread::sleep(Duration::from_secs(1));
    assert!(
        fixture.checker.attempts_at("s-0", Instant::now() - FAULT_DURATION) > 0,
        "the executor is not in use"
    );
    fixture.faults.begin(Call::Socket, Fault::errno(libc::EMFILE));
    fixture.list_service.change_and_close_watches(vec![servers[1].entry("up")]);
    let known = Instant::now() + KNOWN_AFTER;
    clients.into_iter().for_each(|client| client.join().expect("the client thread panicked"));
    let (late, log) = (fixture.checker.attempts_at("s-0", known), fixture.nodes[0].log());
    println!("{} attempts, {late} at the removed executor; {log}", fixture.checker.attempts());
    assert_eq!(late, 0, "attempts at a removed executor: {log}");
}

// Guards against a process that exits, and has to be started again, because it had no descriptors for a moment.
#[test_case(Call::Socket, Fault::errno(libc::ENFILE); "no descriptor on the machine")]
#[test_case(Call::Socket, Fault::errno(libc::EINTR).with_per_mille(700); "interrupted")]
#[test_case(Call::EpollCreate, Fault::errno(libc::ENFILE); "no descriptor for its runtime")]
#[test_case(Call::EpollCreate, Fault::errno(libc::ENOMEM); "no memory for its runtime")]
#[test_case(Call::EventFd, Fault::errno(libc::EMFILE); "one descriptor too few for its runtime")]
#[test_case(Call::SocketPair, Fault::errno(libc::ENFILE); "no descriptors for its signals")]
#[test_case(Call::Duplicate, Fault::errno(libc::EMFILE).with_per_mille(500); "often no descriptor for a duplicate")]
#[test_case(Call::EpollAdd, Fault::errno(libc::ENOMEM); "no memory to watch a descriptor")]
fn node_starts_after_calls_failed_for_a_moment(call: Call, fault: Fault) {
    let checker: Arc<Checker> = Arc::default();
    let server = Server::new("s-0", &checker, node_of, Arc::new(|_, _| Behaviour::Accept(20)));
    server.listen();
    let list_service = ListService::start(vec![server.entry("up")]);
    let faults = Faults::new(9000);
    faults.begin(call, fault);
    let setup = Setup { environment: faults.environment(), ..Setup::default() };
    let process = Process::start_with(
        unused_addr(),
        list_service.addr,
        NodeOptions::with_descriptors(256),
        &[],
        &setup,
    );
    thread::sleep(FAULT_DURATION);
    assert!(faults.hits(call) > 0, "the node made no such call while the fault lasted");
    faults.end(call);
    assert!(wait_until(READY, || process.is_ready()), "{}", process.log());
}
