//! One process takes the place of another one, as operators do it: real processes of the program on loopback, with an
//! executor and a discovery of the test's own.
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

#[path = "support/message.rs"]
mod message;
use message::read_message;

const SOON: Duration = Duration::from_secs(10);

/// An address that is free now, on an address of this test's own so that tests don't meet.
fn free() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let (at, own) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = [127, 1 + (own % 120) as u8, 1 + (own / 120 % 250) as u8, 1 + (at % 250) as u8];
    TcpListener::bind(SocketAddr::from((host, 0))).and_then(|l| l.local_addr()).expect("a free port")
}

fn call(addr: SocketAddr, request: &str) -> Option<(Vec<String>, Vec<u8>)> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(SOON)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

fn status(addr: SocketAddr, path: &str) -> Option<String> {
    let (head, _) = call(addr, &format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n"))?;
    Some(head[0].split(' ').nth(1)?.to_owned())
}

/// An executor that runs each job for so long as its body says, in milliseconds, and tells `node` on a new connection.
fn executor(node: SocketAddr, ran: Arc<AtomicU64>, full: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind((free().ip(), 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let serve = move |stream: TcpStream, ran: Arc<AtomicU64>, full: Arc<AtomicBool>| {
        let mut answers = stream.try_clone().expect("a stream");
        let mut requests = BufReader::new(stream);
        while let Some((head, body)) = read_message(&mut requests) {
            let (full, job) = (full.load(Ordering::SeqCst), head[0].starts_with("POST"));
            let (status, text) = match (job, full) {
                (true, false) => ("202 Accepted", ""),
                (true, true) => ("503 No\r\nX-Rejected: 1", ""),
                (false, false) => ("200 OK", "{\"x0\":8}"),
                (false, true) => ("200 OK", "{\"x0\":0}"),
            };
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            let _ = answers.write_all(answer.as_bytes()); // In one piece: a second one would wait for the first.
            if job && !full {
                ran.fetch_add(1, Ordering::Relaxed);
                let id = head
                    .iter()
                    .find_map(|line| line.to_lowercase().strip_prefix("x-call-id:").map(str::to_owned));
                let id = id.expect("an id").trim().to_owned();
                let millis = String::from_utf8_lossy(&body).parse().unwrap_or(0);
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(millis));
                    let news = format!(
                        "{{\"id\":\"{id}\",\"from\":\"s-0\",\"state\":\"done\",\"result\":\"r-{id}\"}}"
                    );
                    let text = format!(
                        "POST /_jobs/news HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n{news}",
                        news.len()
                    );
                    // As executors do: again until it is acknowledged.
                    for _ in 0..10 {
                        if call(node, &text).is_some_and(|told| told.0[0].contains(" 200 ")) {
                            return;
                        }
                        thread::sleep(Duration::from_millis(100));
                    }
                });
            }
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (ran, full) = (ran.clone(), full.clone());
            thread::spawn(move || serve(stream, ran, full));
        }
    });
    addr
}

/// A discovery that tells of that executor alone.
fn discovery(executor: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind((free().ip(), 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut answers = stream.try_clone().expect("a stream");
                if read_message(&mut BufReader::new(stream)).is_none() {
                    return;
                }
                let list = format!(
                    "{{\"version\":7,\"full\":true,\"servers\":[{{\"id\":\"s-0\",\"addr\":\"{executor}\",\"state\":\"up\"}}]}}\n"
                );
                let _ = answers.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for line in std::iter::once(list).chain(std::iter::repeat_n("\n".to_owned(), 100)) {
                    if write!(answers, "{:x}\r\n{line}\r\n", line.len()).is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    addr
}

struct World {
    folder: PathBuf,
    node: SocketAddr,
    ran: Arc<AtomicU64>,
    /// Whether the executor has no room.
    full: Arc<AtomicBool>,
}

/// A process of the node, and its operators' door.
struct Process {
    child: Child,
    door: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    fn new() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let at = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("coveroute-replace-{}-{at}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (node, ran, full) = (free(), Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let discovery = discovery(executor(node, ran.clone(), full.clone()));
        let config = include_str!("../../../examples/config.json");
        let config = config.replace("127.0.0.1:9000", &node.to_string());
        let config = config.replace("127.0.0.1:8500", &discovery.to_string());
        std::fs::write(folder.join("config.json"), config).expect("a file");
        World { folder, node, ran, full }
    }

    fn place(&self) -> PathBuf {
        let name = format!("coveroute-{}.sock", self.node).replace(':', "_");
        self.folder.join(name)
    }

    fn start(&self, folder: Option<&Path>) -> Process {
        self.start_at(folder, free())
    }

    fn start_at(&self, folder: Option<&Path>, door: SocketAddr) -> Process {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_coveroute"));
        command.arg("serve").arg("--config").arg(self.folder.join("config.json"));
        command.env_remove("TMPDIR").env("BALANCER_MANAGEMENT", door.to_string());
        if let Some(folder) = folder {
            command.env("TMPDIR", folder);
        }
        let child = command.stdin(Stdio::null()).stderr(log.expect("a log")).spawn().expect("a process");
        Process { child, door }
    }

    fn ready(&self, folder: Option<&Path>) -> Process {
        let process = self.start(folder);
        until(|| status(process.door, "/v1/readyz").as_deref() == Some("200"));
        process
    }

    fn replaceable(&self) -> Process {
        self.ready(Some(&self.folder))
    }

    /// A client's job that runs so long; its answer, in another thread.
    fn job(&self, id: &str, millis: u64) -> thread::JoinHandle<String> {
        let (node, body) = (self.node, millis.to_string());
        let request = format!(
            "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 9000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        thread::spawn(move || {
            let answer = call(node, &request);
            answer.map_or("lost".to_owned(), |(_, body)| String::from_utf8_lossy(&body).into_owned())
        })
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

fn until(what: impl Fn() -> bool) {
    let begun = Instant::now();
    while !what() {
        assert!(begun.elapsed() < SOON, "not in time");
        thread::sleep(Duration::from_millis(20));
    }
}

impl Process {
    /// Whether it has so many jobs whose clients wait.
    fn owes(&self, many: usize) -> bool {
        let (_, body) = call(self.door, "GET /v1/metrics HTTP/1.1\r\nHost: n\r\n\r\n").expect("figures");
        String::from_utf8_lossy(&body).contains(&format!("\"outstanding\":{many}"))
    }

    fn signal(&self, name: &str) {
        let told = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(told.is_ok_and(|told| told.success()));
    }

    fn ends(&mut self) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < SOON {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

fn answered(jobs: Vec<(String, thread::JoinHandle<String>)>) {
    for (id, job) in jobs {
        assert_eq!(job.join().expect("a client"), format!("r-{id}"));
    }
}

/// Jobs of this length, one each 20 ms, with these ids.
fn load(world: &World, name: &str, many: usize, millis: u64) -> Vec<(String, thread::JoinHandle<String>)> {
    let one = |at| {
        let id = format!("{name}{at}");
        let job = world.job(&id, millis);
        thread::sleep(Duration::from_millis(20));
        (id, job)
    };
    (0..many).map(one).collect()
}

// Each job's end is told on a new connection, which the new process takes: it passes it on to the old one.
#[test]
fn no_job_is_lost_when_processes_take_each_others_place() {
    let world = World::new();
    let mut old = world.replaceable();
    for round in 0..2 {
        let before = load(&world, &format!("before{round}-"), 20, 700);
        let new = world.replaceable();
        old.signal("-TERM");
        let after = load(&world, &format!("after{round}-"), 20, 50);
        answered(before);
        answered(after);
        assert!(old.ends(), "the old one ends by itself: {}", world.log());
        old = new;
    }
    assert_eq!(world.ran.load(Ordering::Relaxed), 80, "none ran twice");
}

#[test]
fn a_new_process_that_dies_leaves_the_old_one_serving() {
    let world = World::new();
    let old = world.replaceable();
    let new = world.replaceable();
    drop(new); // Killed.
    until(|| world.log().contains("the link to the process after has ended"));
    answered(load(&world, "a", 10, 50));
    assert_eq!(status(old.door, "/v1/readyz").as_deref(), Some("200"));
    drop(world.replaceable()); // Another one may still come.
}

#[test]
fn an_old_process_that_dies_leaves_the_new_one_serving() {
    let world = World::new();
    let (old, new) = (world.replaceable(), world.replaceable());
    drop(old);
    until(|| world.log().contains("the link to the process before has ended"));
    answered(load(&world, "a", 10, 50));
    assert_eq!(status(new.door, "/v1/readyz").as_deref(), Some("200"));
}

enum Odd {
    Stale,
    File,
    Silent,
    Garbage,
    NoFolder,
}

// A start goes on without what a process before knows, whatever stands in its way, well inside six seconds.
#[test_case(Odd::Stale; "a socket that nobody listens on")]
#[test_case(Odd::File; "a file that is no socket")]
#[test_case(Odd::Silent; "a process that says nothing")]
#[test_case(Odd::Garbage; "a process that says what can't be read")]
#[test_case(Odd::NoFolder; "no folder that both have")]
fn a_start_goes_on_without_a_process_before(odd: Odd) {
    use std::os::unix::net::UnixListener;
    let world = World::new();
    let bound = || UnixListener::bind(world.place()).expect("a socket");
    let (mut held, mut folder) = (None, Some(&*world.folder));
    match odd {
        Odd::Stale => drop(bound()),
        Odd::File => std::fs::write(world.place(), "x").expect("a file"),
        Odd::Silent => held = Some(bound()),
        Odd::Garbage => {
            let listener = bound();
            thread::spawn(move || {
                let _ = listener.accept().and_then(|(mut stream, _)| stream.write_all(b"s{\"Hello\":{}}\n"));
            });
        }
        Odd::NoFolder => folder = None,
    }
    let begun = Instant::now();
    let _process = world.ready(folder);
    assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
    answered(load(&world, "a", 5, 50));
    drop(held);
}

#[test]
fn what_is_said_on_the_link_costs_the_link_alone() {
    use std::os::unix::net::UnixStream;
    let world = World::new();
    let _old = world.replaceable();
    let words =
        ["", "nonsense\n", "{\"Hello\":99}\n", "\"Serves\"\n", "{\"Hello\":1}\n{\"News\":[1,\"x\"]}\n"];
    for word in words {
        let mut stream = UnixStream::connect(world.place()).expect("a link");
        stream.write_all(word.as_bytes()).expect("written");
        thread::sleep(Duration::from_millis(50));
    }
    answered(load(&world, "a", 5, 50));
    answered(load(&world, "b", 5, 50));
}

// Guards against jobs that are cut when a process stops: they go on in the next one, with their clients.
#[test]
fn jobs_and_connections_go_on_in_the_next_process() {
    let world = World::new();
    let mut old = world.replaceable();
    let mut kept = TcpStream::connect(world.node).expect("a connection");
    let ask = |kept: &mut TcpStream, id: &str| {
        let text = format!(
            "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 9000\r\nContent-Length: 2\r\n\r\n10"
        );
        kept.write_all(text.as_bytes()).expect("written");
        let (_, body) =
            read_message(&mut BufReader::new(kept.try_clone().expect("a stream"))).expect("an answer");
        assert_eq!(String::from_utf8_lossy(&body), format!("r-{id}"));
    };
    ask(&mut kept, "first");
    let long = load(&world, "long", 3, 4500); // Longer than a process that is told to stop may stay.
    thread::sleep(Duration::from_millis(200));
    let _new = world.replaceable();
    old.signal("-TERM");
    let begun = Instant::now();
    assert!(old.ends() && begun.elapsed() < Duration::from_secs(1), "{:?}: {}", begun.elapsed(), world.log());
    ask(&mut kept, "second"); // On the connection that the old process had.
    answered(long);
    assert_eq!(world.ran.load(Ordering::Relaxed), 5, "none ran twice");
}

#[test]
fn a_client_that_leaves_after_its_job_has_moved_is_noticed() {
    let world = World::new();
    let _old = world.replaceable();
    let mut client = TcpStream::connect(world.node).expect("a connection");
    let text =
        "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\nX-Budget-Ms: 9000\r\nContent-Length: 4\r\n\r\n8000";
    client.write_all(text.as_bytes()).expect("written");
    until(|| world.ran.load(Ordering::Relaxed) == 1);
    let new = world.replaceable();
    until(|| new.owes(1));
    drop(client);
    until(|| !new.owes(1));
}

#[derive(Clone, Copy)]
enum Ends {
    Closes,
    HalfCloses,
    Resets,
}

// Two clients' jobs go to the next process while no executor has room, and wait there. One says more, and leaves: once there is
// room only the other's is sent. Guards against a close that stands behind bytes, also more than the kernel holds unread.
#[test_case(0, Ends::Closes; "behind nothing")]
#[test_case(0, Ends::HalfCloses; "behind nothing, by half")]
#[test_case(0, Ends::Resets; "behind nothing, by a reset")]
#[test_case(1, Ends::Closes; "behind a byte")]
#[test_case(1, Ends::HalfCloses; "behind a byte, by half")]
#[test_case(20_000, Ends::Resets; "behind some, by a reset")]
#[test_case(300_000, Ends::Closes; "behind more than the kernel holds")]
#[test_case(300_000, Ends::HalfCloses; "behind more than the kernel holds, by half")]
fn nothing_begins_for_a_client_that_leaves_after_its_job_has_moved(behind: usize, ends: Ends) {
    use nix::libc;
    let world = World::new();
    let file = world.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("the file");
    // Patience: a process has to start meanwhile.
    std::fs::write(&file, text.replace("\"onTime\": 1000.0", "\"onTime\": 9000.0")).expect("written");
    world.full.store(true, Ordering::SeqCst);
    let old = world.replaceable();
    let [mut leaver, twin] = ["leaver", "twin"].map(|id| {
        let mut client = TcpStream::connect(world.node).expect("a connection");
        let text = format!(
            "POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 9000\r\nContent-Length: 2\r\n\r\n10"
        );
        client.write_all(text.as_bytes()).expect("written");
        client
    });
    until(|| old.owes(2));
    let new = world.replaceable();
    until(|| new.owes(2));
    leaver.set_write_timeout(Some(Duration::from_millis(200))).expect("a limit");
    let _ = leaver.write_all("X".repeat(behind).as_bytes());
    until(|| {
        let mut on_its_way = 0;
        // SAFETY: writes one number.
        unsafe { libc::ioctl(leaver.as_raw_fd(), libc::TIOCOUTQ, &mut on_its_way) };
        on_its_way == 0
    });
    let kept = match ends {
        Ends::Closes => {
            drop(leaver);
            None
        }
        Ends::HalfCloses => leaver.shutdown(Shutdown::Write).ok().map(|()| leaver),
        Ends::Resets => {
            socket2::SockRef::from(&leaver).set_linger(Some(Duration::ZERO)).err().map(|_| leaver)
        }
    };
    thread::sleep(Duration::from_millis(100));
    assert_eq!(world.ran.load(Ordering::Relaxed), 0, "both wait");
    world.full.store(false, Ordering::SeqCst);
    let (_, body) = read_message(&mut BufReader::new(twin)).expect("an answer");
    assert_eq!(String::from_utf8_lossy(&body), "r-twin");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(world.ran.load(Ordering::Relaxed), 1, "jobs sent");
    drop(kept);
}

// Guards against an answer by a process in the middle, which had the job and has handed it on.
#[test]
fn a_job_goes_on_through_two_processes() {
    let world = World::new();
    let mut old = world.replaceable();
    let long = load(&world, "long", 3, 2500);
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(200));
        let new = world.replaceable();
        old.signal("-TERM");
        assert!(old.ends(), "{}", world.log());
        old = new;
    }
    answered(long);
    assert_eq!(world.ran.load(Ordering::Relaxed), 3, "none ran twice");
}

#[test]
fn two_processes_do_not_share_an_operators_door() {
    let world = World::new();
    let old = world.replaceable();
    let mut new = world.start_at(Some(&world.folder), old.door);
    assert!(!new.ends() && world.log().contains("management: "), "{}", world.log());
    answered(load(&world, "a", 5, 50));
    assert_eq!(status(old.door, "/v1/readyz").as_deref(), Some("200"));
}

// What the running process has applied is what holds: a file that broke meanwhile costs the new one alone.
#[test]
fn a_broken_file_ends_the_new_process_and_not_the_old_one() {
    let world = World::new();
    let old = world.replaceable();
    let file = world.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("the file");
    std::fs::write(&file, &text[..text.len() / 2]).expect("written");
    let mut new = world.start(Some(&world.folder));
    old.signal("-HUP");
    assert!(!new.ends(), "{}", world.log());
    until(|| world.log().contains("not reloaded, all stays as it is"));
    answered(load(&world, "a", 5, 50));
    assert_eq!(status(old.door, "/v1/readyz").as_deref(), Some("200"));
}

// SIGHUP and SIGTERM to either process in the middle: each has a defined end, and no job is lost.
#[test]
fn signals_in_the_middle_of_a_replacement_lose_nothing() {
    let world = World::new();
    let mut old = world.replaceable();
    let jobs = load(&world, "before", 10, 600);
    let new = world.start(Some(&world.folder));
    old.signal("-HUP");
    until(|| status(new.door, "/v1/readyz").as_deref() == Some("200"));
    old.signal("-HUP");
    new.signal("-HUP");
    old.signal("-TERM");
    let after = load(&world, "after", 10, 50);
    assert!(old.ends(), "{}", world.log());
    answered(jobs);
    answered(after);
    assert_eq!(world.ran.load(Ordering::Relaxed), 20, "none ran twice");
}

// A request that is on its way in when a stopping process begins to close connections: it began while all were open, and
// its last byte comes after. Guards against a close, and an end, in between: what is taken gets its answer.
#[test]
fn a_request_that_comes_in_pieces_outlives_the_close_of_idle_connections() {
    let world = World::new();
    let mut process = world.ready(None);
    let request =
        "POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: pieces\r\nX-Budget-Ms: 4000\r\nContent-Length: 2\r\n\r\n10";
    let (first, rest) = request.split_at(request.len() / 2);
    let mut client = TcpStream::connect(world.node).expect("a connection");
    client.set_read_timeout(Some(SOON)).expect("a limit");
    let mut idle = TcpStream::connect(world.node).expect("a connection");
    idle.set_read_timeout(Some(SOON)).expect("a limit");
    process.signal("-TERM");
    until(|| world.log().contains("Serving -> Leaving"));
    // Begun as late as can be: whoever takes too long to ask is closed at any time.
    let quiet = Instant::now() + Duration::from_millis(1000);
    thread::sleep(quiet - Instant::now());
    client.write_all(first.as_bytes()).expect("half a request");
    until(|| world.log().contains("Leaving -> Closing"));
    // Idle connections are closed by now: this one stood beside it, and has ended.
    assert!(matches!(idle.read(&mut [0]), Ok(0)), "the idle one");
    client.write_all(rest.as_bytes()).expect("the rest");
    let (head, body) = read_message(&mut BufReader::new(client)).expect("an answer");
    let closes = head.iter().any(|line| line.eq_ignore_ascii_case("connection: close"));
    assert!(head[0].contains(" 200 ") && closes && body == b"r-pieces", "{head:?}");
    assert!(process.ends(), "{}", world.log());
}
