//! Clients that close their connections while requests of theirs are unread, and calls that come again after that.
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::harness::{
    ask, unused_addr, wait_until, Discovery, DiscoveryLimits, Executor, NodeOptions, Process,
};

const DESCRIPTORS: usize = 256;
const READY: Duration = Duration::from_secs(10);
/// No attempt may begin later than this after a client has closed its connection.
const NOTICED_WITHIN: Duration = Duration::from_millis(100);
/// Time after a close in which attempts are counted.
const WATCHED_FOR: Duration = Duration::from_millis(1500);

/// A node that serves with one executor.
fn start() -> (Process, Executor) {
    let node = unused_addr();
    let executor = Executor::start("s-0", move |_| node);
    let discovery = Discovery::stopped(executor.addr(), DiscoveryLimits::NONE);
    discovery.start();
    let process = Process::start(node, discovery.addr, NodeOptions::with_descriptors(DESCRIPTORS));
    assert!(wait_until(READY, || process.is_ready()), "{}", process.log());
    (process, executor)
}

fn job(operation: &str, id: &str, millis: u64, padding: usize) -> String {
    let millis = millis.to_string();
    format!(
        "POST /{operation} HTTP/1.1\r\nHost: n\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 5000\r\nX-Padding: {}\r\nContent-Length: {}\r\n\r\n{millis}",
        "x".repeat(padding),
        millis.len()
    )
}

fn connect(node: SocketAddr) -> TcpStream {
    TcpStream::connect(node).expect("a connection")
}

/// How a client closes its connection.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    ClosesHalf,
    Resets,
}

fn leave(stream: TcpStream, how: Leaves) {
    match how {
        Leaves::Closes => drop(stream),
        Leaves::ClosesHalf => {
            stream.shutdown(Shutdown::Write).expect("half a close");
            thread::sleep(WATCHED_FOR);
        }
        Leaves::Resets => {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a reset");
        }
    }
}

// Guards against requests that are sent on for a client that has left: they stood unread behind the one that was pending.
#[test_case(0, 30, 0, Leaves::Closes; "small jobs, closed at once")]
#[test_case(0, 60, 4000, Leaves::Closes; "more than is held, closed at once")]
#[test_case(0, 600, 8000, Leaves::Closes; "more than the kernel takes, closed at once")]
#[test_case(1, 30, 0, Leaves::Closes; "small jobs, closed")]
#[test_case(1, 30, 0, Leaves::ClosesHalf; "small jobs, half closed")]
#[test_case(1, 30, 0, Leaves::Resets; "small jobs, reset")]
#[test_case(1, 60, 4000, Leaves::Closes; "more than is held, closed")]
#[test_case(1, 60, 4000, Leaves::Resets; "more than is held, reset")]
#[test_case(1, 600, 8000, Leaves::Closes; "more than the kernel takes, closed")]
#[test_case(1, 600, 8000, Leaves::Resets; "more than the kernel takes, reset")]
fn no_unread_request_is_sent_after_its_client_has_left(
    started: usize,
    jobs: usize,
    padding: usize,
    how: Leaves,
) {
    let (process, executor) = start();
    let mut stream = connect(process.node);
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a limit");
    let requests: String = (0..jobs).map(|at| job("look", &format!("j{at}"), 150, padding)).collect();
    let _ = stream.write_all(requests.as_bytes());
    assert!(wait_until(READY, || executor.jobs() >= started), "{}", process.log());
    let left = thread::spawn(move || leave(stream, how));
    thread::sleep(NOTICED_WITHIN);
    let begun = executor.jobs();
    thread::sleep(WATCHED_FOR);
    left.join().expect("a client");
    assert_eq!(executor.jobs(), begun, "jobs sent for a client that has left: {}", process.log());
}

// Guards against a job that runs twice: its client left, and the same call came again.
#[test_case(0; "at once")]
#[test_case(6000; "after many other calls that were refused")]
fn a_call_that_comes_again_after_its_client_has_left_does_not_run_twice(others: usize) {
    let (process, executor) = start();
    let mut stream = connect(process.node);
    let request = job("pay", "again", 300, 0);
    stream.write_all(request.as_bytes()).expect("a request");
    assert!(wait_until(READY, || executor.jobs() == 1), "{}", process.log());
    drop(stream);
    thread::sleep(Duration::from_millis(500));
    let mut stream = connect(process.node);
    for at in 0..others {
        // Without time left, so that it is refused at once.
        let refused = format!("POST /look HTTP/1.1\r\nHost: n\r\nX-Call-Id: o{at}\r\nX-Budget-Ms: 1\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(ask(&mut stream, &refused).expect("an answer").0, 503);
    }
    let begun = Instant::now();
    let answer = ask(&mut connect(process.node), &request);
    assert_eq!(answer.map(|answer| answer.0), Some(409), "after {:?}", begun.elapsed());
    assert_eq!(executor.jobs(), 1);
}

// A client may come again from the port that it has just left. Guards against a connection that is forgotten when an
// earlier one from the same port ends: nothing would then notice that its client leaves.
#[test]
fn a_client_that_comes_again_from_its_port_is_noticed_when_it_leaves() {
    let (process, executor) = start();
    let client = std::net::SocketAddr::from((crate::harness::unused_host(), 40_000));
    let connect_from_port = || {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("reuse");
        socket.bind(&client.into()).expect("the port");
        socket.set_linger(Some(Duration::ZERO)).expect("a reset");
        socket.connect(&process.node.into()).expect("a connection");
        TcpStream::from(socket)
    };
    for at in 0..40 {
        let mut stream = connect_from_port();
        let _ = stream.write_all(job("look", &format!("p{at}"), 200, 0).as_bytes());
        thread::sleep(Duration::from_millis(at % 4));
        drop(stream);
        let mut stream = connect_from_port();
        let requests: String = (0..8).map(|part| job("look", &format!("p{at}-{part}"), 30, 0)).collect();
        let _ = stream.write_all(requests.as_bytes());
        thread::sleep(Duration::from_millis(50));
        drop(stream);
        thread::sleep(NOTICED_WITHIN);
        let begun = executor.jobs();
        thread::sleep(Duration::from_millis(150));
        assert_eq!(executor.jobs(), begun, "round {at}: jobs sent for a client that has left");
    }
}
