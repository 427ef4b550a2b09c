//! Tests of clients that disconnect, on real connections: a complete node runs on one thread, its executors
//! and clients on others. Each test forces the point at which a request waits when its client disconnects; no
//! attempt may begin after that.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use coveroute::random::Rng;
use coveroute::types::{Outcome, Report};
use nix::libc;
use test_case::test_case;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

#[path = "../tests/support/message.rs"]
mod message;
use message::read_message;

use crate::clock::seconds;
use crate::event::DriverEvent;
use crate::held_bytes::HeldBytes;
use crate::race_tests::{disconnect, kernel_value, Disconnect, MAX_NOTICE_DELAY};
use crate::server::{self, ClientServer};
use crate::tests::{block, config_with, discovery_connected, driver_with_config};

/// Free slots reported by an executor with room.
const FREE_SLOTS: u32 = 8;
/// Call ids of the client that disconnects and of the one that stays.
const CLIENT_CALLS: [&str; 2] = ["leaver", "twin"];

/// A job as an executor received it.
struct Attempt {
    call: String,
    at: usize,
    /// When its first byte could be read.
    begun: Instant,
    /// When its last byte had been read.
    ended: Instant,
}

/// What the fake executors do and what they have received. The path of a job says how its first attempt ends.
#[derive(Default)]
struct FakeExecutors {
    /// The free slots that each executor reports.
    free: [AtomicU32; 2],
    attempts: Mutex<Vec<Attempt>>,
    probes: AtomicU32,
    node: Mutex<Option<SocketAddr>>,
}

impl FakeExecutors {
    fn set_free(&self, free: [u32; 2]) {
        self.free.iter().zip(free).for_each(|(own, free)| own.store(free, Ordering::SeqCst));
    }

    fn attempts(&self, call: &str) -> usize {
        self.attempts.lock().expect("attempts").iter().filter(|attempt| attempt.call == call).count()
    }

    /// Attempts of calls other than those that warm up connections.
    fn client_attempts(&self) -> usize {
        self.attempts
            .lock()
            .expect("attempts")
            .iter()
            .filter(|attempt| !attempt.call.starts_with("warm"))
            .count()
    }

    /// Waits until `count` attempts of the call have arrived; false on a timeout.
    fn await_attempts(&self, call: &str, count: usize) -> bool {
        wait_until(|| self.attempts(call) >= count)
    }

    /// The response of executor `at` to the job that it has just read; `None` to close the connection.
    fn response(&self, at: usize, call: &str, path: &str) -> Option<String> {
        let first = self.attempts(call) == 1;
        let behavior = path.rsplit('/').next().filter(|_| first).unwrap_or("takes");
        if matches!(behavior, "returned" | "fails" | "resets") && CLIENT_CALLS.contains(&call) {
            // Once both first attempts have arrived, no executor has room for another one.
            wait_until(|| CLIENT_CALLS.iter().all(|call| self.attempts(call) > 0));
            self.set_free([0, 0]);
        }
        if behavior == "returned" {
            self.free[at].store(0, Ordering::SeqCst);
        }
        let free = self.free[at].load(Ordering::SeqCst);
        let response = |status: &str, headers: &str| {
            Some(format!(
                "HTTP/1.1 {status}\r\n{headers}X-Load-Report: {{\"x0\":{free}}}\r\nContent-Length: 0\r\n\r\n"
            ))
        };
        match behavior {
            "returned" => response("503 No", "X-Rejected: 1\r\n"),
            "fails" => response("500 No", ""),
            "resets" => None,
            "silent" => Some(String::new()),
            _ => response("202 Accepted", ""),
        }
    }

    fn serve(&self, at: usize, stream: TcpStream) {
        let mut responses = stream.try_clone().expect("a stream");
        let mut requests = BufReader::new(stream);
        while let Some((begun, head, body)) = read_timed(&mut requests) {
            let path = head[0].split(' ').nth(1).expect("a path").to_owned();
            if !head[0].starts_with("POST") {
                self.probes.fetch_add(1, Ordering::SeqCst);
                let load = format!("{{\"x0\":{}}}", self.free[at].load(Ordering::SeqCst));
                let _ = responses.write_all(
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}", load.len()).as_bytes(),
                );
                continue;
            }
            drop(body);
            let id = head
                .iter()
                .find_map(|line| line.to_lowercase().strip_prefix("x-call-id: ").map(str::to_owned));
            let call = id.expect("an id");
            let attempt = Attempt { call: call.clone(), at, begun, ended: Instant::now() };
            self.attempts.lock().expect("attempts").push(attempt);
            let Some(response) = self.response(at, &call, &path) else { return };
            let _ = responses.write_all(response.as_bytes());
            let node = *self.node.lock().expect("a node");
            if let Some(node) = node.filter(|_| path.ends_with("/done")) {
                // In a thread of its own, as the next request may already be waiting on this connection.
                thread::spawn(move || {
                    thread::sleep(seconds(0.05));
                    report_done(node, &call, at);
                });
            }
        }
    }
}

/// Reports the job as done.
fn report_done(node: SocketAddr, call: &str, at: usize) {
    let update = format!("{{\"id\":\"{call}\",\"from\":\"s-{at}\",\"state\":\"done\",\"result\":\"r\"}}");
    let text =
        format!("POST /_jobs/news HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n{update}", update.len());
    let Ok(mut stream) = TcpStream::connect(node) else { return };
    let _ = stream.write_all(text.as_bytes());
    read_message(&mut BufReader::new(stream));
}

/// Reads a message: when its first byte could be read, its head and its body.
fn read_timed(stream: &mut BufReader<TcpStream>) -> Option<(Instant, Vec<String>, Vec<u8>)> {
    stream.fill_buf().ok().filter(|some| !some.is_empty())?;
    let begun = Instant::now();
    let (head, body) = read_message(stream)?;
    Some((begun, head, body))
}

/// Waits for a condition; false on a timeout.
fn wait_until(condition: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !condition() && begun.elapsed() < seconds(5.0) {
        thread::sleep(Duration::from_millis(1));
    }
    condition()
}

/// The node as seen by its clients and the test.
struct Node {
    addr: SocketAddr,
    fake_executors: Arc<FakeExecutors>,
    /// Blocks the node's thread for the given time, then reports free slots on all executors to it.
    busy: UnboundedSender<Duration>,
}

/// Runs `test` with a node that knows these executors. `pairs` are replacements in the text of its
/// configuration.
fn with_node<T: Send + 'static>(
    pairs: &[(&str, &str)],
    executors: &[SocketAddr],
    fake_executors: Arc<FakeExecutors>,
    test: impl FnOnce(Node) -> T + Send + 'static,
) -> T {
    let entry = |(at, addr): (usize, &SocketAddr)| {
        format!("{{\"id\":\"s-{at}\",\"addr\":\"{addr}\",\"state\":\"up\"}}")
    };
    let known: Vec<String> = executors.iter().enumerate().map(entry).collect();
    let known = format!("\"servers\": [{}]", known.join(","));
    let replacements = [("\"servers\": []", &*known), ("127.0.0.1:8500", "127.0.0.1:1")];
    let config = config_with(&[&replacements[..], pairs].concat());
    let count = executors.len();
    block(async move {
        let (mut driver, events, event_receiver, node_state) = driver_with_config(config);
        driver.handle_event(discovery_connected());
        let server = Rc::new(ClientServer::new(
            crate::clock::Clock::new(),
            node_state,
            events.clone(),
            (600, 64),
            HeldBytes::unlimited(),
        ));
        let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        actix_rt::spawn(server::accept(listener, server, unbounded_channel().1));
        let driver = actix_rt::spawn(driver.run(event_receiver));
        *fake_executors.node.lock().expect("a node") = Some(addr);
        let (busy, mut blocks) = unbounded_channel();
        actix_rt::spawn(async move {
            while let Some(time) = blocks.recv().await {
                thread::sleep(time);
                let report =
                    Report { free: Some(8.0), queue: Some(0.0), inflight: Some(0.0), ..Report::default() };
                (0..count).for_each(|executor_index| {
                    drop(events.send(DriverEvent::Probed(executor_index, Outcome::Succeeded, report)))
                });
            }
        });
        let node = Node { addr, fake_executors, busy };
        let result = actix_rt::task::spawn_blocking(move || test(node)).await.expect("a test");
        driver.abort();
        result
    })
}

/// Starts two fake executors.
fn executors() -> (Arc<FakeExecutors>, Vec<SocketAddr>) {
    let fake_executors = Arc::new(FakeExecutors::default());
    let executor = |at: usize| {
        let (listener, fake_executors) =
            (TcpListener::bind("127.0.0.1:0").expect("a port"), fake_executors.clone());
        let addr = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let fake_executors = fake_executors.clone();
                thread::spawn(move || fake_executors.serve(at, stream));
            }
        });
        addr
    };
    let addrs = (0..2).map(executor).collect();
    (fake_executors, addrs)
}

fn request(call: &str, behavior: &str) -> String {
    format!(
        "POST /look/{behavior} HTTP/1.1\r\nHost: n\r\nX-Call-Id: {call}\r\nX-Budget-Ms: 9000\r\nContent-Length: 2\r\n\r\nok"
    )
}

impl Node {
    /// Connects and sends a request.
    fn send_request(&self, call: &str, behavior: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).expect("a node");
        stream.write_all(request(call, behavior).as_bytes()).expect("a request");
        stream
    }

    /// Lets both executors serve several jobs at a time, so that the node keeps open connections to them.
    fn warm_up(&self) {
        self.fake_executors.set_free([FREE_SLOTS; 2]);
        for round in 0.. {
            let streams: Vec<_> =
                (0..8).map(|at| self.send_request(&format!("warm{round}-{at}"), "done")).collect();
            for stream in streams {
                assert!(read_message(&mut BufReader::new(stream)).is_some(), "an answer");
            }
            let received = self.fake_executors.attempts.lock().expect("attempts");
            if (0..2).all(|at| received.iter().filter(|attempt| attempt.at == at).count() > 2) {
                return;
            }
        }
    }
}

/// What the request waits for.
#[derive(Clone, Copy, PartialEq)]
enum WaitsFor {
    /// Room: no executor has any.
    Room,
    /// Room for its next attempt, after the first one ended in this way.
    RoomAfter(&'static str),
    /// The timeout of its first attempt, which was not acknowledged.
    AckTimeout,
    /// The time for a copy: its first attempt was acknowledged and should have begun by now.
    Copy,
}

/// Longer time limits, for a busy machine: everything that is waited for here normally happens within a
/// second or two.
const LONG_TIME_LIMITS: [(&str, &str); 2] = [
    ("\"onTime\": 1000.0, \"deadline\": 5000.0", "\"onTime\": 6000.0, \"deadline\": 9000.0"),
    ("\"dialTimeout\": 250.0", "\"dialTimeout\": 1000.0"),
];

/// What a client sends after its request before it disconnects: a number of requests, and a number of bytes
/// that are no request.
type Extra = (usize, usize);

// A client disconnects while its request waits for one of these events, and another client in the same
// situation stays. The second one's next attempt must follow, but none of the first one's: it would be work
// that nobody waits for.
#[test_case(WaitsFor::Room, (0, 0), Disconnect::Close; "in the queue")]
#[test_case(WaitsFor::Room, (0, 0), Disconnect::HalfClose; "in the queue, half-closed")]
#[test_case(WaitsFor::Room, (0, 0), Disconnect::Reset; "in the queue, by a reset")]
#[test_case(WaitsFor::Room, (0, 1), Disconnect::Close; "in the queue, behind a byte")]
#[test_case(WaitsFor::Room, (40, 30), Disconnect::Close; "in the queue, behind requests and part of one")]
#[test_case(WaitsFor::Room, (6000, 0), Disconnect::Close; "in the queue, behind more than is buffered")]
#[test_case(WaitsFor::Room, (0, 300_000), Disconnect::Reset; "in the queue, behind invalid bytes")]
#[test_case(WaitsFor::RoomAfter("returned"), (0, 0), Disconnect::Close; "after a return")]
#[test_case(WaitsFor::RoomAfter("returned"), (6000, 0), Disconnect::HalfClose; "after a return, behind more than is buffered")]
#[test_case(WaitsFor::RoomAfter("fails"), (1, 0), Disconnect::Reset; "after a failure")]
#[test_case(WaitsFor::RoomAfter("resets"), (0, 0), Disconnect::Close; "after a reset")]
#[test_case(WaitsFor::AckTimeout, (0, 0), Disconnect::Close; "before a retry for want of an acknowledgement")]
#[test_case(WaitsFor::Copy, (0, 0), Disconnect::Close; "before a copy")]
#[test_case(WaitsFor::Copy, (40, 30), Disconnect::HalfClose; "before a copy, behind requests")]
fn no_attempt_begins_for_a_disconnected_client(waits: WaitsFor, extra: Extra, how: Disconnect) {
    let (fake_executors, addrs) = executors();
    const COPIES: (&str, &str) = ("\"maxAttempts\": 4", "\"maxAttempts\": 4, \"secondCopies\": true");
    const STARTS: (&str, &str) = (
        "\"registryMode\"",
        "\"familyInfo\": { \"progress\": 1000.0, \"tellsStart\": true }, \"registryMode\"",
    );
    const COPIED: [(&str, &str); 4] = [LONG_TIME_LIMITS[0], LONG_TIME_LIMITS[1], COPIES, STARTS];
    let (behavior, pairs, free) = match waits {
        WaitsFor::Room => ("takes", &LONG_TIME_LIMITS[..], [0, 0]),
        WaitsFor::RoomAfter(behavior) => (behavior, &LONG_TIME_LIMITS[..], [FREE_SLOTS, 0]),
        WaitsFor::AckTimeout => ("silent", &LONG_TIME_LIMITS[..], [FREE_SLOTS; 2]),
        WaitsFor::Copy => ("takes", &COPIED[..], [FREE_SLOTS; 2]),
    };
    let before = usize::from(waits != WaitsFor::Room);
    with_node(pairs, &addrs, fake_executors, move |node| {
        let fake_executors = node.fake_executors.clone();
        node.warm_up();
        fake_executors.set_free(free);
        // By then the node no longer relies on earlier reports of free slots.
        thread::sleep(seconds(0.3));
        let [leaver, twin] = CLIENT_CALLS.map(|call| node.send_request(call, behavior));
        assert!(
            CLIENT_CALLS.iter().all(|call| fake_executors.await_attempts(call, before)),
            "the first attempts arrive"
        );
        thread::sleep(seconds(0.05));
        send_extra(&leaver, extra);
        disconnect_async(leaver, how);
        thread::sleep(seconds(MAX_NOTICE_DELAY));
        assert_eq!(CLIENT_CALLS.map(|call| fake_executors.attempts(call)), [before; 2], "both requests wait");
        fake_executors.set_free([FREE_SLOTS; 2]);
        assert!(fake_executors.await_attempts("twin", before + 1), "the connected client's request goes on");
        thread::sleep(seconds(0.15));
        assert_eq!(fake_executors.attempts("leaver"), before, "attempts for the disconnected client");
        drop(twin);
    });
}

/// Sends as much as the connection takes and waits until the node's kernel has it: a close arrives only after
/// bytes that are still on their way.
fn send_extra(stream: &TcpStream, (ahead, junk): Extra) {
    let mut socket = stream;
    stream.set_write_timeout(Some(seconds(0.05))).expect("a limit");
    let requests: String = (0..ahead).map(|at| request(&format!("ahead{at}"), "takes")).collect();
    let _ = socket.write_all(requests.as_bytes());
    let _ = socket.write_all("X".repeat(junk).as_bytes());
    assert!(wait_until(|| kernel_value(stream, libc::TIOCOUTQ) == 0), "everything arrives");
}

/// Disconnects; a half-closed connection is kept open for a while in another thread.
fn disconnect_async(stream: TcpStream, how: Disconnect) {
    match how {
        Disconnect::HalfClose => {
            stream.shutdown(std::net::Shutdown::Write).expect("half a close");
            thread::spawn(move || {
                thread::sleep(seconds(2.0));
                drop(stream);
            });
        }
        Disconnect::Close | Disconnect::Reset => disconnect(stream, how),
    }
}

// The client disconnects while the node's thread is blocked, and an attempt is due right afterwards: the
// kernel knows of the close, but the node has not processed the event yet. The attempt must not begin all the
// same.
#[test_case((0, 0), Disconnect::Close; "it closes")]
#[test_case((0, 0), Disconnect::HalfClose; "it half-closes")]
#[test_case((0, 0), Disconnect::Reset; "it resets")]
#[test_case((0, 30_000), Disconnect::Close; "behind bytes")]
fn a_close_counts_before_the_node_has_processed_it(extra: Extra, how: Disconnect) {
    let (fake_executors, addrs) = executors();
    with_node(&LONG_TIME_LIMITS, &addrs, fake_executors, move |node| {
        node.warm_up();
        let fake_executors = node.fake_executors.clone();
        fake_executors.set_free([0; 2]);
        thread::sleep(seconds(0.15));
        let (leaver, twin) = (node.send_request("leaver", "takes"), node.send_request("twin", "takes"));
        thread::sleep(seconds(0.05));
        node.busy.send(seconds(0.3)).expect("a node");
        thread::sleep(seconds(0.1));
        send_extra(&leaver, extra);
        disconnect_async(leaver, how);
        assert!(fake_executors.await_attempts("twin", 1), "the connected client's request goes on");
        thread::sleep(seconds(0.1));
        assert_eq!(fake_executors.attempts("leaver"), 0, "attempts for the disconnected client");
        drop(twin);
    });
}

// The connection to the executor is established late, and the client has disconnected by then or not. Nothing
// may be written for a client that has disconnected.
#[test_case(true, 0; "the client has disconnected")]
#[test_case(false, 1; "the client stays")]
fn a_late_connection_is_used_only_for_a_connected_client(has_disconnected: bool, attempts: usize) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(1).expect("a short queue");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("an address");
    // Fills the accept queue: the next connection is established once there is room again, a second later.
    let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(50)).ok();
    let filling: Vec<_> = (0..8).map_while(connect).collect();
    let pairs =
        [("\"probing\": true", "\"probing\": false"), ("\"dialTimeout\": 250.0", "\"dialTimeout\": 8000.0")];
    with_node(&pairs, &[addr], Arc::default(), move |node| {
        let fake_executors = node.fake_executors.clone();
        let client = node.send_request("leaver", "takes");
        thread::sleep(seconds(0.2));
        let stays = if has_disconnected {
            drop(client);
            None
        } else {
            Some(client)
        };
        thread::sleep(seconds(MAX_NOTICE_DELAY));
        drop(filling);
        let serving = fake_executors.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let fake_executors = serving.clone();
                thread::spawn(move || fake_executors.serve(0, stream));
            }
        });
        match stays {
            Some(_) => {
                assert!(fake_executors.await_attempts("leaver", attempts), "the connection is established")
            }
            None => thread::sleep(seconds(2.0)),
        }
        assert_eq!(fake_executors.attempts("leaver"), attempts);
    });
}

// A client that disconnects before its request is complete gets no attempt.
#[test_case(40, Disconnect::Close; "in its head")]
#[test_case(1, Disconnect::Close; "in its body")]
#[test_case(1, Disconnect::HalfClose; "in its body, half-closed")]
#[test_case(1, Disconnect::Reset; "in its body, by a reset")]
fn an_incomplete_request_is_not_attempted(missing: usize, how: Disconnect) {
    let (fake_executors, addrs) = executors();
    with_node(&[], &addrs, fake_executors, move |node| {
        node.warm_up();
        let mut leaver = TcpStream::connect(node.addr).expect("a node");
        let text = request("leaver", "takes");
        leaver.write_all(&text.as_bytes()[..text.len() - missing]).expect("a part");
        thread::sleep(seconds(0.05));
        disconnect_async(leaver, how);
        let _twin = node.send_request("twin", "takes");
        assert!(node.fake_executors.await_attempts("twin", 1), "the connected client is served");
        thread::sleep(seconds(0.05));
        assert_eq!(node.fake_executors.attempts("leaver"), 0, "attempts for the disconnected client");
    });
}

/// Measures how long a busy machine delays executors: the longest time from writing a byte on a new
/// connection to reading it there, by threads like the executors'.
fn executor_delay(over: Arc<AtomicBool>) -> thread::JoinHandle<Duration> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (tell, told) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || stream.read_exact(&mut [0]).map(|()| tell.send(Instant::now())));
        }
    });
    thread::spawn(move || {
        let mut longest = Duration::ZERO;
        while !over.load(Ordering::SeqCst) {
            let mut stream = TcpStream::connect(addr).expect("a listener");
            let written = Instant::now();
            stream.write_all(b"x").expect("written");
            longest = longest.max(told.recv().expect("read").saturating_duration_since(written));
            thread::sleep(Duration::from_millis(2));
        }
        longest
    })
}

// Hundreds of clients disconnect at random times after their requests, in all ways, while executors gain and
// lose room, return, fail and drop jobs, and the node's thread is blocked now and then. Measures the time
// from a disconnect to the last byte that reaches an executor, and fails on attempts that begin later than
// the operators allow.
#[test]
fn the_time_from_disconnecting_to_the_last_byte_sent() {
    // Mostly accepted and often completed, or the node would stop using the executors.
    const BEHAVIORS: [&str; 6] = ["returned", "silent", "done", "done", "done", "done"];
    const EXTRAS: [Extra; 5] = [(0, 0), (0, 0), (1, 0), (40, 30), (0, 60_000)];
    const WAYS: [Disconnect; 3] = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];
    const CLIENTS: usize = 40;
    const EACH: usize = 12;
    // On a busy machine clients send more requests until this many attempts were made, or for this many
    // seconds.
    const ATTEMPTS: usize = 60;
    const LONGEST: f64 = 10.0;
    let (fake_executors, addrs) = executors();
    let (late, attempted, executor_delay) =
        with_node(&LONG_TIME_LIMITS, &addrs, fake_executors.clone(), move |node| {
            node.warm_up();
            let (node, over, begun) = (Arc::new(node), Arc::new(AtomicBool::new(false)), Instant::now());
            let executor_delay = executor_delay(over.clone());
            let (mine, done) = (node.clone(), over.clone());
            let disturbances = thread::spawn(move || {
                let mut rng = Rng::new(1);
                while !done.load(Ordering::SeqCst) {
                    mine.fake_executors.set_free([0, 0].map(|_: u32| {
                        if rng.draw() < 0.85 {
                            12 * FREE_SLOTS
                        } else {
                            0
                        }
                    }));
                    if rng.draw() < 0.1 {
                        let _ = mine.busy.send(seconds(0.15 * rng.draw()));
                    }
                    thread::sleep(seconds(0.02 + 0.1 * rng.draw()));
                }
            });
            let client = |number: usize| {
                let node = node.clone();
                thread::spawn(move || {
                    let mut rng = Rng::new(2 + number as u64);
                    let mut any = |many: usize| (rng.draw() * many as f64) as usize;
                    let one = |at: usize| {
                        let call = format!("c{number}-{at}");
                        let stream = node.send_request(&call, BEHAVIORS.get(any(18)).unwrap_or(&"takes"));
                        thread::sleep(Duration::from_millis(any(250) as u64));
                        send_extra(&stream, EXTRAS[any(EXTRAS.len())]);
                        disconnect_async(stream, WAYS[any(WAYS.len())]);
                        (call, Instant::now())
                    };
                    let needs_more = || {
                        node.fake_executors.client_attempts() < ATTEMPTS && begun.elapsed() < seconds(LONGEST)
                    };
                    (0..).take_while(|at| *at < EACH || needs_more()).map(one).collect::<Vec<_>>()
                })
            };
            let clients: Vec<_> = (0..CLIENTS).map(client).collect();
            let left: Vec<_> =
                clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
            thread::sleep(seconds(0.5));
            over.store(true, Ordering::SeqCst);
            disturbances.join().expect("the disturbances");
            let received = node.fake_executors.attempts.lock().expect("attempts");
            let after = |(call, left): &(String, Instant)| {
                let own = received.iter().filter(|attempt| attempt.call == *call);
                let late = |at: Instant| at.saturating_duration_since(*left);
                own.map(|attempt| (late(attempt.ended), late(attempt.begun))).max().unwrap_or_default()
            };
            let late: Vec<_> = left.iter().map(after).collect();
            let before =
                left.iter().filter(|(call, _)| received.iter().any(|attempt| attempt.call == *call)).count();
            assert!(before >= ATTEMPTS / 4 && before < left.len(), "calls with an attempt: {before}");
            (late, before, executor_delay.join().expect("a figure"))
        });
    let mut last: Vec<Duration> = late.iter().map(|late| late.0).collect();
    last.sort();
    let (count, after) = (last.len(), last.iter().filter(|last| !last.is_zero()).count());
    let (p50, p99, longest) = (last[count / 2], last[count * 99 / 100], last[count - 1]);
    println!("{count} disconnects, {attempted} with an attempt, {after} followed by a byte: p50 {p50:?}, p99 {p99:?}, longest {longest:?}; executors delayed by {executor_delay:?}");
    // What the operators count as a violation, by when the executors read the request.
    let violations = late.iter().filter(|late| late.1 > seconds(MAX_NOTICE_DELAY) + executor_delay).count();
    assert!(
        violations < 3,
        "{violations} attempts began too late, executors were delayed by {executor_delay:?}"
    );
}
