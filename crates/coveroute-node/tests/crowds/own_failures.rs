//! Failures of a node's own machine: what they must not be taken for.
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::fault_table::Call;
use crate::judged::{Does, ListService, Server};
use crate::referee::Referee;
use crate::stand_in::{free, until, Process, Seat, Setup};
use crate::system_calls::{Fault, Faults};
use crate::told_deadlines::{node_of, World, MOMENT, READY};

// A node that can not open a connection to discovery does not know whether it is there: kept connections to executors still work.
#[test]
fn a_list_that_can_not_be_asked_for_is_not_gone_by_for_long() {
    const TOLD: Duration = Duration::from_secs(6);
    const PLAYED: Duration = Duration::from_secs(9);
    let referee: Arc<Referee> = Arc::default();
    let servers =
        ["s-0", "s-1"].map(|id| Server::new(id, &referee, node_of, Arc::new(|_, _| Does::Takes(20))));
    servers.iter().for_each(Server::listen);
    let world = World::start(referee, &servers, &[], "info");
    let end = Instant::now() + PLAYED;
    let clients: Vec<_> = world
        .nodes
        .iter()
        .map(|node| world.asks_on(node.node, format!("{}-c", node.node.ip()), end))
        .collect();
    thread::sleep(Duration::from_secs(1));
    assert!(world.referee.attempts_at("s-0", Instant::now() - MOMENT) > 0, "it is in use");
    world.faults.begin(Call::Socket, Fault::errno(libc::EMFILE));
    world.list_service.change_unheard(vec![servers[1].entry("up")]);
    let told = Instant::now() + TOLD;
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let (late, log) = (world.referee.attempts_at("s-0", told), world.nodes[0].log());
    println!("{} attempts, {late} at who is gone; {log}", world.referee.attempts());
    assert_eq!(late, 0, "attempts at an executor that is gone: {log}");
}

// Guards against a process that ends, and has to be started once more, for a moment without descriptors.
#[test_case(Fault::errno(libc::ENFILE); "no descriptor on the machine")]
#[test_case(Fault::errno(libc::EINTR).of(700); "interrupted")]
fn a_node_that_starts_while_no_socket_can_be_made_serves_all_the_same(fault: Fault) {
    let referee: Arc<Referee> = Arc::default();
    let server = Server::new("s-0", &referee, node_of, Arc::new(|_, _| Does::Takes(20)));
    server.listen();
    let list_service = ListService::start(vec![server.entry("up")]);
    let faults = Faults::new(9000);
    faults.begin(Call::Socket, fault);
    let setup = Setup { environment: faults.environment(), ..Setup::default() };
    let process = Process::start_with(free(), list_service.addr, Seat::of(256), &[], &setup);
    thread::sleep(MOMENT);
    assert!(faults.struck(Call::Socket) > 0, "it starts within the moment");
    faults.end(Call::Socket);
    assert!(until(READY, || process.is_ready()), "{}", process.log());
}
