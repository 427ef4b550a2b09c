//! Tests of clients that leave, on real connections: a whole node on one thread, its executors and clients on others. Each
//! forces the place in which a request waits when its client leaves; from then on nothing may begin for it.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use coveroute::chance::Chance;
use coveroute::types::{Outcome, Report};
use nix::libc;
use test_case::test_case;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

#[path = "../tests/support/message.rs"]
mod message;
use message::read_message;

use crate::clock::seconds;
use crate::crossings::{kernel, leave, Leaves, NOTICED};
use crate::happening::Happening;
use crate::server::{self, Door};
use crate::tests::{block, changed, driver_by, followed};

const ROOM: u32 = 8;
/// One leaves, the other one stays.
const BOTH: [&str; 2] = ["leaver", "twin"];

/// A job's bytes at an executor, as it came to read them.
struct Attempt {
    call: String,
    at: usize,
    begun: Instant,
    ended: Instant,
}

/// What executors are to do, and what they have seen. A job's path says what becomes of its first attempt.
#[derive(Default)]
struct World {
    /// What each tells of its room.
    free: [AtomicU32; 2],
    attempts: Mutex<Vec<Attempt>>,
    probes: AtomicU32,
    node: Mutex<Option<SocketAddr>>,
}

impl World {
    fn opens(&self, free: [u32; 2]) {
        self.free.iter().zip(free).for_each(|(own, free)| own.store(free, Ordering::SeqCst));
    }

    fn attempts(&self, call: &str) -> usize {
        self.attempts.lock().expect("attempts").iter().filter(|attempt| attempt.call == call).count()
    }

    /// Attempts of clients' calls, beyond those that warm.
    fn tried(&self) -> usize {
        self.attempts
            .lock()
            .expect("attempts")
            .iter()
            .filter(|attempt| !attempt.call.starts_with("warm"))
            .count()
    }

    /// Until so many attempts of the call have come; false if they don't.
    fn sees(&self, call: &str, many: usize) -> bool {
        until(|| self.attempts(call) >= many)
    }

    /// How an executor answers the job that it has just read, and what it tells the node then.
    fn answer(&self, at: usize, call: &str, path: &str) -> Option<String> {
        let first = self.attempts(call) == 1;
        let does = path.rsplit('/').next().filter(|_| first).unwrap_or("takes");
        if matches!(does, "returned" | "fails" | "resets") && BOTH.contains(&call) {
            // Once all that are to come have come, nobody has room for a further attempt.
            until(|| BOTH.iter().all(|call| self.attempts(call) > 0));
            self.opens([0, 0]);
        }
        if does == "returned" {
            self.free[at].store(0, Ordering::SeqCst);
        }
        let free = self.free[at].load(Ordering::SeqCst);
        let answer = |status: &str, more: &str| {
            Some(format!(
                "HTTP/1.1 {status}\r\n{more}X-Load-Report: {{\"x0\":{free}}}\r\nContent-Length: 0\r\n\r\n"
            ))
        };
        match does {
            "returned" => answer("503 No", "X-Rejected: 1\r\n"),
            "fails" => answer("500 No", ""),
            "resets" => None,
            "silent" => Some(String::new()),
            _ => answer("202 Accepted", ""),
        }
    }

    fn serve(&self, at: usize, stream: TcpStream) {
        let mut answers = stream.try_clone().expect("a stream");
        let mut requests = BufReader::new(stream);
        while let Some((begun, head, body)) = read_begun(&mut requests) {
            let path = head[0].split(' ').nth(1).expect("a path").to_owned();
            if !head[0].starts_with("POST") {
                self.probes.fetch_add(1, Ordering::SeqCst);
                let load = format!("{{\"x0\":{}}}", self.free[at].load(Ordering::SeqCst));
                let _ = answers.write_all(
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
            let Some(answer) = self.answer(at, &call, &path) else { return };
            let _ = answers.write_all(answer.as_bytes());
            let node = *self.node.lock().expect("a node");
            if let Some(node) = node.filter(|_| path.ends_with("/done")) {
                // Beside, as the next request may already stand behind this one.
                thread::spawn(move || {
                    thread::sleep(seconds(0.05));
                    tell(node, &call, at);
                });
            }
        }
    }
}

/// The job is done.
fn tell(node: SocketAddr, call: &str, at: usize) {
    let news = format!("{{\"id\":\"{call}\",\"from\":\"s-{at}\",\"state\":\"done\",\"result\":\"r\"}}");
    let text =
        format!("POST /_jobs/news HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n{news}", news.len());
    let Ok(mut stream) = TcpStream::connect(node) else { return };
    let _ = stream.write_all(text.as_bytes());
    read_message(&mut BufReader::new(stream));
}

/// When it began, its head and its body.
fn read_begun(stream: &mut BufReader<TcpStream>) -> Option<(Instant, Vec<String>, Vec<u8>)> {
    stream.fill_buf().ok().filter(|some| !some.is_empty())?;
    let begun = Instant::now();
    let (head, body) = read_message(stream)?;
    Some((begun, head, body))
}

fn until(what: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !what() && begun.elapsed() < seconds(5.0) {
        thread::sleep(Duration::from_millis(1));
    }
    what()
}

/// The node as its clients and this test see it.
struct Node {
    addr: SocketAddr,
    world: Arc<World>,
    /// It is busy for so long, and then hears of room.
    busy: UnboundedSender<Duration>,
}

/// Plays with a node that knows these executors; `pairs` change its configuration.
fn played<T: Send + 'static>(
    pairs: &[(&str, &str)],
    executors: &[SocketAddr],
    world: Arc<World>,
    play: impl FnOnce(Node) -> T + Send + 'static,
) -> T {
    let entry = |(at, addr): (usize, &SocketAddr)| {
        format!("{{\"id\":\"s-{at}\",\"addr\":\"{addr}\",\"state\":\"up\"}}")
    };
    let known: Vec<String> = executors.iter().enumerate().map(entry).collect();
    let known = format!("\"servers\": [{}]", known.join(","));
    let nowhere = [("\"servers\": []", &*known), ("127.0.0.1:8500", "127.0.0.1:1")];
    let config = changed(&[&nowhere[..], pairs].concat());
    let many = executors.len();
    block(async move {
        let (mut driver, happenings, happens, life) = driver_by(config);
        driver.happened(followed());
        let door = Rc::new(Door::new(crate::clock::Clock::new(), life, happenings.clone(), (600, 64)));
        let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        actix_rt::spawn(server::accept(listener, door, unbounded_channel().1));
        let driver = actix_rt::spawn(driver.run(happens));
        *world.node.lock().expect("a node") = Some(addr);
        let (busy, mut told) = unbounded_channel();
        actix_rt::spawn(async move {
            while let Some(long) = told.recv().await {
                thread::sleep(long);
                let room =
                    Report { free: Some(8.0), queue: Some(0.0), inflight: Some(0.0), ..Report::default() };
                (0..many)
                    .for_each(|tgt| drop(happenings.send(Happening::Probed(tgt, Outcome::Succeeded, room))));
            }
        });
        let node = Node { addr, world, busy };
        let made = actix_rt::task::spawn_blocking(move || play(node)).await.expect("a test");
        driver.abort();
        made
    })
}

fn executors() -> (Arc<World>, Vec<SocketAddr>) {
    let world = Arc::new(World::default());
    let executor = |at: usize| {
        let (listener, world) = (TcpListener::bind("127.0.0.1:0").expect("a port"), world.clone());
        let addr = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || world.serve(at, stream));
            }
        });
        addr
    };
    let addrs = (0..2).map(executor).collect();
    (world, addrs)
}

fn request(call: &str, does: &str) -> String {
    format!(
        "POST /look/{does} HTTP/1.1\r\nHost: n\r\nX-Call-Id: {call}\r\nX-Budget-Ms: 9000\r\nContent-Length: 2\r\n\r\nok"
    )
}

impl Node {
    fn asks(&self, call: &str, does: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).expect("a node");
        stream.write_all(request(call, does).as_bytes()).expect("a request");
        stream
    }

    /// Both executors have served, each several jobs at a time, and their connections are kept.
    fn warms(&self) {
        self.world.opens([ROOM; 2]);
        for round in 0.. {
            let streams: Vec<_> = (0..8).map(|at| self.asks(&format!("warm{round}-{at}"), "done")).collect();
            for stream in streams {
                assert!(read_message(&mut BufReader::new(stream)).is_some(), "an answer");
            }
            let seen = self.world.attempts.lock().expect("attempts");
            if (0..2).all(|at| seen.iter().filter(|attempt| attempt.at == at).count() > 2) {
                return;
            }
        }
    }
}

/// Where the request waits.
#[derive(Clone, Copy, PartialEq)]
enum Waits {
    /// No executor has room.
    Queue,
    /// Its first attempt has ended so, and no executor has room for the next.
    After(&'static str),
    /// Its first attempt has not been answered for, and is about to be taken back.
    Unheard,
    /// Its first attempt has been taken, and should have begun by now.
    Copy,
}

/// Patience for a busy machine: all that is waited for here comes in a second or two.
const PATIENT: [(&str, &str); 2] = [
    ("\"onTime\": 1000.0, \"deadline\": 5000.0", "\"onTime\": 6000.0, \"deadline\": 9000.0"),
    ("\"dialTimeout\": 250.0", "\"dialTimeout\": 1000.0"),
];

/// What a client says beyond its request before it leaves: so many requests, so much that is none.
type Beyond = (usize, usize);

// A client that leaves while its request waits just there, and its twin that stays: of the twin an attempt follows, of the one
// that has left none. Guards against work that nobody waits for.
#[test_case(Waits::Queue, (0, 0), Leaves::Closes; "in the queue")]
#[test_case(Waits::Queue, (0, 0), Leaves::HalfCloses; "in the queue, by half")]
#[test_case(Waits::Queue, (0, 0), Leaves::Resets; "in the queue, by a reset")]
#[test_case(Waits::Queue, (0, 1), Leaves::Closes; "in the queue, behind a byte")]
#[test_case(Waits::Queue, (40, 30), Leaves::Closes; "in the queue, behind requests and half a one")]
#[test_case(Waits::Queue, (6000, 0), Leaves::Closes; "in the queue, behind more than is read ahead")]
#[test_case(Waits::Queue, (0, 300_000), Leaves::Resets; "in the queue, behind what is no request")]
#[test_case(Waits::After("returned"), (0, 0), Leaves::Closes; "after a return")]
#[test_case(Waits::After("returned"), (6000, 0), Leaves::HalfCloses; "after a return, behind more than is read ahead")]
#[test_case(Waits::After("fails"), (1, 0), Leaves::Resets; "after a failure")]
#[test_case(Waits::After("resets"), (0, 0), Leaves::Closes; "after a reset")]
#[test_case(Waits::Unheard, (0, 0), Leaves::Closes; "before what was not answered for goes elsewhere")]
#[test_case(Waits::Copy, (0, 0), Leaves::Closes; "before a copy")]
#[test_case(Waits::Copy, (40, 30), Leaves::HalfCloses; "before a copy, behind requests")]
fn nothing_begins_for_a_client_that_has_left(waits: Waits, beyond: Beyond, how: Leaves) {
    let (world, addrs) = executors();
    const COPIES: (&str, &str) = ("\"maxAttempts\": 4", "\"maxAttempts\": 4, \"secondCopies\": true");
    const STARTS: (&str, &str) = (
        "\"registryMode\"",
        "\"familyInfo\": { \"progress\": 1000.0, \"tellsStart\": true }, \"registryMode\"",
    );
    const COPIED: [(&str, &str); 4] = [PATIENT[0], PATIENT[1], COPIES, STARTS];
    let (does, pairs, room) = match waits {
        Waits::Queue => ("takes", &PATIENT[..], [0, 0]),
        Waits::After(does) => (does, &PATIENT[..], [ROOM, 0]),
        Waits::Unheard => ("silent", &PATIENT[..], [ROOM; 2]),
        Waits::Copy => ("takes", &COPIED[..], [ROOM; 2]),
    };
    let before = usize::from(waits != Waits::Queue);
    played(pairs, &addrs, world, move |node| {
        let world = node.world.clone();
        node.warms();
        world.opens(room);
        // What was told of room is no longer counted on.
        thread::sleep(seconds(0.3));
        let [leaver, twin] = BOTH.map(|call| node.asks(call, does));
        assert!(BOTH.iter().all(|call| world.sees(call, before)), "their first attempts");
        thread::sleep(seconds(0.05));
        says(&leaver, beyond);
        leaves(leaver, how);
        thread::sleep(seconds(NOTICED));
        assert_eq!(BOTH.map(|call| world.attempts(call)), [before; 2], "they wait there");
        world.opens([ROOM; 2]);
        assert!(world.sees("twin", before + 1), "the twin waits no longer");
        thread::sleep(seconds(0.15));
        assert_eq!(world.attempts("leaver"), before, "attempts of who has left");
        drop(twin);
    });
}

/// As much as goes, until the node's kernel has it: a close comes behind what is still on its way.
fn says(stream: &TcpStream, (ahead, junk): Beyond) {
    let mut socket = stream;
    stream.set_write_timeout(Some(seconds(0.05))).expect("a limit");
    let requests: String = (0..ahead).map(|at| request(&format!("ahead{at}"), "takes")).collect();
    let _ = socket.write_all(requests.as_bytes());
    let _ = socket.write_all("X".repeat(junk).as_bytes());
    assert!(until(|| kernel(stream, libc::TIOCOUTQ) == 0), "all arrives");
}

/// It has left when this returns; half a close is kept up beside.
fn leaves(stream: TcpStream, how: Leaves) {
    match how {
        Leaves::HalfCloses => {
            stream.shutdown(std::net::Shutdown::Write).expect("half a close");
            thread::spawn(move || {
                thread::sleep(seconds(2.0));
                drop(stream);
            });
        }
        Leaves::Closes | Leaves::Resets => leave(stream, how),
    }
}

// The client leaves while the node is busy with other things, and right after that an attempt is due: the close is in the
// kernel, and the node has not come to it yet. Guards against an attempt that begins before.
#[test_case((0, 0), Leaves::Closes; "it closes")]
#[test_case((0, 0), Leaves::HalfCloses; "it closes its half")]
#[test_case((0, 0), Leaves::Resets; "it resets")]
#[test_case((0, 30_000), Leaves::Closes; "behind bytes")]
fn a_close_counts_before_the_node_has_come_to_it(beyond: Beyond, how: Leaves) {
    let (world, addrs) = executors();
    played(&PATIENT, &addrs, world, move |node| {
        node.warms();
        let world = node.world.clone();
        world.opens([0; 2]);
        thread::sleep(seconds(0.15));
        let (leaver, twin) = (node.asks("leaver", "takes"), node.asks("twin", "takes"));
        thread::sleep(seconds(0.05));
        node.busy.send(seconds(0.3)).expect("a node");
        thread::sleep(seconds(0.1));
        says(&leaver, beyond);
        leaves(leaver, how);
        assert!(world.sees("twin", 1), "the twin waits no longer");
        thread::sleep(seconds(0.1));
        assert_eq!(world.attempts("leaver"), 0, "attempts of who has left");
        drop(twin);
    });
}

// The connection to the executor comes up late: the client has left by then, or stays. Guards against bytes that are written
// all the same.
#[test_case(true, 0; "it has left")]
#[test_case(false, 1; "it stays")]
fn what_is_written_when_a_connection_comes_up_late(has_left: bool, attempts: usize) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(1).expect("a short queue");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("an address");
    // It is filled: the next connection comes up when there is room again, a second later.
    let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(50)).ok();
    let filling: Vec<_> = (0..8).map_while(connect).collect();
    let pairs =
        [("\"probing\": true", "\"probing\": false"), ("\"dialTimeout\": 250.0", "\"dialTimeout\": 8000.0")];
    played(&pairs, &[addr], Arc::default(), move |node| {
        let world = node.world.clone();
        let client = node.asks("leaver", "takes");
        thread::sleep(seconds(0.2));
        let stays = if has_left {
            drop(client);
            None
        } else {
            Some(client)
        };
        thread::sleep(seconds(NOTICED));
        drop(filling);
        let serving = world.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = serving.clone();
                thread::spawn(move || world.serve(0, stream));
            }
        });
        match stays {
            Some(_) => assert!(world.sees("leaver", attempts), "its connection comes up"),
            None => thread::sleep(seconds(2.0)),
        }
        assert_eq!(world.attempts("leaver"), attempts);
    });
}

// Who leaves before all of a request has come has asked for nothing.
#[test_case(40, Leaves::Closes; "in its head")]
#[test_case(1, Leaves::Closes; "in its body")]
#[test_case(1, Leaves::HalfCloses; "in its body, by half")]
#[test_case(1, Leaves::Resets; "in its body, by a reset")]
fn half_a_request_is_none(lacks: usize, how: Leaves) {
    let (world, addrs) = executors();
    played(&[], &addrs, world, move |node| {
        node.warms();
        let mut leaver = TcpStream::connect(node.addr).expect("a node");
        let text = request("leaver", "takes");
        leaver.write_all(&text.as_bytes()[..text.len() - lacks]).expect("a part");
        thread::sleep(seconds(0.05));
        leaves(leaver, how);
        let _twin = node.asks("twin", "takes");
        assert!(node.world.sees("twin", 1), "the twin is served");
        thread::sleep(seconds(0.05));
        assert_eq!(node.world.attempts("leaver"), 0, "attempts of who has left");
    });
}

/// What executors are held back by the machine, whoever keeps it busy: the longest from a byte's being written on a new
/// connection to its being read there, by threads like theirs.
fn held_back(over: Arc<AtomicBool>) -> thread::JoinHandle<Duration> {
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

// Hundreds of clients that leave at any time after their requests, in all ways, while executors get and lose room, return, fail
// and drop what they get, and the node is busy now and then. Measures the time from a close to the last byte that reaches an
// executor, and guards against attempts that begin later than the operators allow.
#[test]
fn the_time_from_leaving_to_the_last_byte_sent() {
    // Mostly taken and often done, or the executors would not be trusted.
    const DOES: [&str; 6] = ["returned", "silent", "done", "done", "done", "done"];
    const BEYOND: [Beyond; 5] = [(0, 0), (0, 0), (1, 0), (40, 30), (0, 60_000)];
    const WAYS: [Leaves; 3] = [Leaves::Closes, Leaves::HalfCloses, Leaves::Resets];
    const CLIENTS: usize = 40;
    const EACH: usize = 12;
    // On a busy machine more clients come until so many have been tried, or for so long.
    const TRIED: usize = 60;
    const LONGEST: f64 = 10.0;
    let (world, addrs) = executors();
    let (late, tried, held_back) = played(&PATIENT, &addrs, world.clone(), move |node| {
        node.warms();
        let (node, over, begun) = (Arc::new(node), Arc::new(AtomicBool::new(false)), Instant::now());
        let held_back = held_back(over.clone());
        let (mine, done) = (node.clone(), over.clone());
        let weather = thread::spawn(move || {
            let mut chance = Chance::new(1);
            while !done.load(Ordering::SeqCst) {
                mine.world.opens([0, 0].map(|_: u32| if chance.draw() < 0.85 { 12 * ROOM } else { 0 }));
                if chance.draw() < 0.1 {
                    let _ = mine.busy.send(seconds(0.15 * chance.draw()));
                }
                thread::sleep(seconds(0.02 + 0.1 * chance.draw()));
            }
        });
        let client = |number: usize| {
            let node = node.clone();
            thread::spawn(move || {
                let mut chance = Chance::new(2 + number as u64);
                let mut any = |many: usize| (chance.draw() * many as f64) as usize;
                let one = |at: usize| {
                    let call = format!("c{number}-{at}");
                    let stream = node.asks(&call, DOES.get(any(18)).unwrap_or(&"takes"));
                    thread::sleep(Duration::from_millis(any(250) as u64));
                    says(&stream, BEYOND[any(BEYOND.len())]);
                    leaves(stream, WAYS[any(WAYS.len())]);
                    (call, Instant::now())
                };
                let lacks = || node.world.tried() < TRIED && begun.elapsed() < seconds(LONGEST);
                (0..).take_while(|at| *at < EACH || lacks()).map(one).collect::<Vec<_>>()
            })
        };
        let clients: Vec<_> = (0..CLIENTS).map(client).collect();
        let left: Vec<_> = clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
        thread::sleep(seconds(0.5));
        over.store(true, Ordering::SeqCst);
        weather.join().expect("the weather");
        let seen = node.world.attempts.lock().expect("attempts");
        let after = |(call, left): &(String, Instant)| {
            let own = seen.iter().filter(|attempt| attempt.call == *call);
            let late = |at: Instant| at.saturating_duration_since(*left);
            own.map(|attempt| (late(attempt.ended), late(attempt.begun))).max().unwrap_or_default()
        };
        let late: Vec<_> = left.iter().map(after).collect();
        let before = left.iter().filter(|(call, _)| seen.iter().any(|attempt| attempt.call == *call)).count();
        assert!(before >= TRIED / 4 && before < left.len(), "of some an attempt has begun: {before}");
        (late, before, held_back.join().expect("a figure"))
    });
    let mut last: Vec<Duration> = late.iter().map(|late| late.0).collect();
    last.sort();
    let (many, after) = (last.len(), last.iter().filter(|last| !last.is_zero()).count());
    let (p50, p99, longest) = (last[many / 2], last[many * 99 / 100], last[many - 1]);
    println!("{many} leaves, {tried} tried before, after {after} of them a byte: p50 {p50:?}, p99 {p99:?}, longest {longest:?}; held back {held_back:?}");
    // What the operators take for a break, by when executors come to read it.
    let breaks = late.iter().filter(|late| late.1 > seconds(NOTICED) + held_back).count();
    assert!(breaks < 3, "{breaks} attempts began too late, executors were held back {held_back:?}");
}
