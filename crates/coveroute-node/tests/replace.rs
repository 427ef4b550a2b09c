//! Zero-downtime replacement of a process by another one, as operators do it: real processes on loopback with a test executor
//! and a test discovery service.
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

const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a free address on a loopback host that no other test uses.
fn unused_addr() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let (at, own) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = [127, 1 + (own % 120) as u8, 1 + (own / 120 % 250) as u8, 1 + (at % 250) as u8];
    TcpListener::bind(SocketAddr::from((host, 0)))
        .and_then(|l| l.local_addr())
        .expect("failed to bind a port")
}

fn call(addr: SocketAddr, request: &str) -> Option<(Vec<String>, Vec<u8>)> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

fn status(addr: SocketAddr, path: &str) -> Option<String> {
    let (head, _) = call(addr, &format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n"))?;
    Some(head[0].split(' ').nth(1)?.to_owned())
}

/// Starts an executor that runs each job for the milliseconds in its body and reports to `node` on a new connection.
fn executor(node: SocketAddr, executions: Arc<AtomicU64>, full: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind((unused_addr().ip(), 0)).expect("failed to bind a port");
    let addr = listener.local_addr().expect("no local address");
    let serve = move |stream: TcpStream, executions: Arc<AtomicU64>, full: Arc<AtomicBool>| {
        let mut answers = stream.try_clone().expect("failed to clone the stream");
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
            // In one write: a second one would be delayed until the first is acknowledged (Nagle's algorithm).
            let _ = answers.write_all(answer.as_bytes());
            if job && !full {
                executions.fetch_add(1, Ordering::Relaxed);
                let id = head
                    .iter()
                    .find_map(|line| line.to_lowercase().strip_prefix("x-call-id:").map(str::to_owned));
                let id = id.expect("no X-Call-Id header").trim().to_owned();
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
                    // Retries until acknowledged, as executors do.
                    for _ in 0..10 {
                        if call(node, &text).is_some_and(|response| response.0[0].contains(" 200 ")) {
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
            let (executions, full) = (executions.clone(), full.clone());
            thread::spawn(move || serve(stream, executions, full));
        }
    });
    addr
}

/// Starts a discovery service that lists only this executor. It answers no call while `waits` is set.
fn discovery(executor: SocketAddr, waits: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind((unused_addr().ip(), 0)).expect("failed to bind a port");
    let addr = listener.local_addr().expect("no local address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let waits = waits.clone();
            thread::spawn(move || {
                let mut answers = stream.try_clone().expect("failed to clone the stream");
                if read_message(&mut BufReader::new(stream)).is_none() {
                    return;
                }
                while waits.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
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

struct Fixture {
    folder: PathBuf,
    node: SocketAddr,
    executions: Arc<AtomicU64>,
    /// Whether the executor rejects jobs for lack of capacity.
    full: Arc<AtomicBool>,
    /// Whether discovery lets calls wait.
    discovery_waits: Arc<AtomicBool>,
}

/// A process of the node, and its management address.
struct Process {
    child: Child,
    management: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fixture {
    fn new() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let at = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("coveroute-replace-{}-{at}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("failed to create the folder");
        let (node, executions, full) =
            (unused_addr(), Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let discovery_waits = Arc::new(AtomicBool::new(false));
        let executor = executor(node, executions.clone(), full.clone());
        let discovery = discovery(executor, discovery_waits.clone());
        let config = include_str!("../../../examples/config.json");
        let config = config.replace("127.0.0.1:9000", &node.to_string());
        let config = config.replace("127.0.0.1:8500", &discovery.to_string());
        std::fs::write(folder.join("config.json"), config).expect("failed to write the file");
        Fixture { folder, node, executions, full, discovery_waits }
    }

    fn socket_path(&self) -> PathBuf {
        let name = format!("coveroute-{}.sock", self.node).replace(':', "_");
        self.folder.join(name)
    }

    fn start(&self, folder: Option<&Path>) -> Process {
        self.start_at(folder, unused_addr())
    }

    fn start_at(&self, folder: Option<&Path>, management: SocketAddr) -> Process {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_coveroute"));
        command.arg("serve").arg("--config").arg(self.folder.join("config.json"));
        command.env_remove("TMPDIR").env("BALANCER_MANAGEMENT", management.to_string());
        if let Some(folder) = folder {
            command.env("TMPDIR", folder);
        }
        let child = command
            .stdin(Stdio::null())
            .stderr(log.expect("failed to open the log file"))
            .spawn()
            .expect("failed to start the node");
        Process { child, management }
    }

    fn start_ready(&self, folder: Option<&Path>) -> Process {
        let process = self.start(folder);
        wait_until(|| status(process.management, "/v1/readyz").as_deref() == Some("200"));
        process
    }

    fn start_replaceable(&self) -> Process {
        self.start_ready(Some(&self.folder))
    }

    /// Sends a job that runs for `millis` from another thread, which returns the response's body.
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

fn wait_until(what: impl Fn() -> bool) {
    let begun = Instant::now();
    while !what() {
        assert!(begun.elapsed() < TIMEOUT, "the condition did not hold in time");
        thread::sleep(Duration::from_millis(20));
    }
}

impl Process {
    /// Whether it has this many jobs whose clients wait for a response.
    fn has_waiting(&self, count: usize) -> bool {
        let (_, body) =
            call(self.management, "GET /v1/metrics HTTP/1.1\r\nHost: n\r\n\r\n").expect("no metrics");
        String::from_utf8_lossy(&body).contains(&format!("\"outstanding\":{count}"))
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    fn exits_successfully(&mut self) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < TIMEOUT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

fn check_answers(jobs: Vec<(String, thread::JoinHandle<String>)>) {
    for (id, job) in jobs {
        assert_eq!(job.join().expect("the client thread panicked"), format!("r-{id}"));
    }
}

/// Sends jobs of this duration, one each 20 ms, with ids that start with `name`.
fn send_jobs(
    fixture: &Fixture,
    name: &str,
    many: usize,
    millis: u64,
) -> Vec<(String, thread::JoinHandle<String>)> {
    let one = |at| {
        let id = format!("{name}{at}");
        let job = fixture.job(&id, millis);
        thread::sleep(Duration::from_millis(20));
        (id, job)
    };
    (0..many).map(one).collect()
}

// Executors report each job on a new connection, which the new process accepts and forwards to the old one.
#[test]
fn no_job_is_lost_in_repeated_replacements() {
    let fixture = Fixture::new();
    let mut old = fixture.start_replaceable();
    for round in 0..2 {
        let before = send_jobs(&fixture, &format!("before{round}-"), 20, 700);
        let new = fixture.start_replaceable();
        old.signal("-TERM");
        let after = send_jobs(&fixture, &format!("after{round}-"), 20, 50);
        check_answers(before);
        check_answers(after);
        assert!(old.exits_successfully(), "the old process did not exit: {}", fixture.log());
        old = new;
    }
    assert_eq!(fixture.executions.load(Ordering::Relaxed), 80, "number of executions");
}

#[test]
fn a_new_process_that_dies_leaves_the_old_one_serving() {
    let fixture = Fixture::new();
    let old = fixture.start_replaceable();
    let new = fixture.start_replaceable();
    drop(new); // Killed.
    wait_until(|| fixture.log().contains("the link to the process after has ended"));
    check_answers(send_jobs(&fixture, "a", 10, 50));
    assert_eq!(status(old.management, "/v1/readyz").as_deref(), Some("200"));
    drop(fixture.start_replaceable()); // A further replacement is still possible.
}

#[test]
fn an_old_process_that_dies_leaves_the_new_one_serving() {
    let fixture = Fixture::new();
    let (old, new) = (fixture.start_replaceable(), fixture.start_replaceable());
    drop(old);
    wait_until(|| fixture.log().contains("the link to the process before has ended"));
    check_answers(send_jobs(&fixture, "a", 10, 50));
    assert_eq!(status(new.management, "/v1/readyz").as_deref(), Some("200"));
}

enum Obstacle {
    StaleSocket,
    File,
    Silent,
    Unreadable,
    NoFolder,
}

// A process becomes ready without the state of an earlier one, whatever it finds in place of one, and well within six seconds.
#[test_case(Obstacle::StaleSocket; "a socket without a listener")]
#[test_case(Obstacle::File; "a file that is no socket")]
#[test_case(Obstacle::Silent; "a process that sends nothing")]
#[test_case(Obstacle::Unreadable; "a process that sends an unreadable message")]
#[test_case(Obstacle::NoFolder; "no shared folder")]
fn a_process_starts_without_state_of_an_earlier_one(obstacle: Obstacle) {
    use std::os::unix::net::UnixListener;
    let fixture = Fixture::new();
    let bound = || UnixListener::bind(fixture.socket_path()).expect("failed to bind the socket");
    let (mut held, mut folder) = (None, Some(&*fixture.folder));
    match obstacle {
        Obstacle::StaleSocket => drop(bound()),
        Obstacle::File => std::fs::write(fixture.socket_path(), "x").expect("failed to write the file"),
        Obstacle::Silent => held = Some(bound()),
        Obstacle::Unreadable => {
            let listener = bound();
            thread::spawn(move || {
                let _ = listener.accept().and_then(|(mut stream, _)| stream.write_all(b"s{\"Hello\":{}}\n"));
            });
        }
        Obstacle::NoFolder => folder = None,
    }
    let begun = Instant::now();
    let _process = fixture.start_ready(folder);
    assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
    check_answers(send_jobs(&fixture, "a", 5, 50));
    drop(held);
}

#[test]
fn invalid_messages_only_close_the_link() {
    use std::os::unix::net::UnixStream;
    let fixture = Fixture::new();
    let _old = fixture.start_replaceable();
    let messages =
        ["", "nonsense\n", "{\"Hello\":99}\n", "\"Serves\"\n", "{\"Hello\":1}\n{\"News\":[1,\"x\"]}\n"];
    for message in messages {
        let mut stream = UnixStream::connect(fixture.socket_path()).expect("failed to connect");
        stream.write_all(message.as_bytes()).expect("failed to write");
        thread::sleep(Duration::from_millis(50));
    }
    check_answers(send_jobs(&fixture, "a", 5, 50));
    check_answers(send_jobs(&fixture, "b", 5, 50));
}

// Guards against jobs that are aborted when a process stops: they and their client connections move to the next process.
#[test]
fn jobs_and_connections_move_to_the_next_process() {
    let fixture = Fixture::new();
    let mut old = fixture.start_replaceable();
    let mut kept = TcpStream::connect(fixture.node).expect("failed to connect");
    let ask = |kept: &mut TcpStream, id: &str| {
        let text = format!(
            "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 9000\r\nContent-Length: 2\r\n\r\n10"
        );
        kept.write_all(text.as_bytes()).expect("failed to write");
        let (_, body) =
            read_message(&mut BufReader::new(kept.try_clone().expect("failed to clone the stream")))
                .expect("no response");
        assert_eq!(String::from_utf8_lossy(&body), format!("r-{id}"));
    };
    ask(&mut kept, "first");
    let long_jobs = send_jobs(&fixture, "long", 3, 4500); // Longer than a process may take to stop.
    thread::sleep(Duration::from_millis(200));
    let _new = fixture.start_replaceable();
    old.signal("-TERM");
    let begun = Instant::now();
    assert!(
        old.exits_successfully() && begun.elapsed() < Duration::from_secs(1),
        "{:?}: {}",
        begun.elapsed(),
        fixture.log()
    );
    ask(&mut kept, "second"); // On the connection that the old process had accepted.
    check_answers(long_jobs);
    assert_eq!(fixture.executions.load(Ordering::Relaxed), 5, "number of executions");
}

/// When a call comes for the first time, relative to the start of the next process.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstCall {
    Before,
    /// Before, and its client leaves while the job runs.
    BeforeAndLeft,
    /// While the next process waits for its list.
    WhileItStarts,
}

// Guards against a job that runs twice: its call came again at the next process, which did not know it.
#[test_case(FirstCall::Before, false; "it ended before")]
#[test_case(FirstCall::Before, true; "it ended before, and the first process has ended")]
#[test_case(FirstCall::BeforeAndLeft, false; "its client has left")]
#[test_case(FirstCall::WhileItStarts, false; "it ended while the next process started")]
fn a_call_that_comes_again_at_the_next_process_does_not_run_twice(first: FirstCall, has_ended: bool) {
    let fixture = Fixture::new();
    let mut old = fixture.start_replaceable();
    match first {
        FirstCall::WhileItStarts => fixture.discovery_waits.store(true, Ordering::SeqCst),
        FirstCall::Before => assert_eq!(fixture.job("again", 10).join().expect("a client"), "r-again"),
        FirstCall::BeforeAndLeft => {
            let mut client = TcpStream::connect(fixture.node).expect("failed to connect");
            let text = "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: again\r\nX-Budget-Ms: 9000\r\nContent-Length: 3\r\n\r\n300";
            client.write_all(text.as_bytes()).expect("failed to write");
            wait_until(|| fixture.executions.load(Ordering::Relaxed) == 1);
        }
    }
    let new = fixture.start(Some(&fixture.folder));
    wait_until(|| fixture.log().contains("a successor process of this node has connected"));
    if first == FirstCall::WhileItStarts {
        assert_eq!(fixture.job("again", 10).join().expect("a client"), "r-again");
        fixture.discovery_waits.store(false, Ordering::SeqCst);
    }
    wait_until(|| status(new.management, "/v1/readyz").as_deref() == Some("200"));
    if has_ended {
        old.signal("-TERM");
        assert!(old.exits_successfully(), "the old process did not exit: {}", fixture.log());
    }
    assert_eq!(fixture.job("again", 10).join().expect("a client"), "this call has come before\n");
    assert_eq!(fixture.executions.load(Ordering::Relaxed), 1, "number of executions");
    check_answers(send_jobs(&fixture, "other", 3, 10));
}

#[test]
fn a_client_that_disconnects_after_its_job_has_moved_is_noticed() {
    let fixture = Fixture::new();
    let _old = fixture.start_replaceable();
    let mut client = TcpStream::connect(fixture.node).expect("failed to connect");
    let text =
        "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\nX-Budget-Ms: 9000\r\nContent-Length: 4\r\n\r\n8000";
    client.write_all(text.as_bytes()).expect("failed to write");
    wait_until(|| fixture.executions.load(Ordering::Relaxed) == 1);
    let new = fixture.start_replaceable();
    wait_until(|| new.has_waiting(1));
    drop(client);
    wait_until(|| !new.has_waiting(1));
}

#[derive(Clone, Copy)]
enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

// The jobs of two clients move to the next process while no executor has capacity, and are queued there. One client sends further
// bytes and disconnects: once there is capacity, only the other client's job may be sent. Guards against a close that goes
// unnoticed behind unread bytes, also more than the kernel buffers.
#[test_case(0, Disconnect::Close; "without further bytes")]
#[test_case(0, Disconnect::HalfClose; "without further bytes, half-closed")]
#[test_case(0, Disconnect::Reset; "without further bytes, reset")]
#[test_case(1, Disconnect::Close; "after a byte")]
#[test_case(1, Disconnect::HalfClose; "after a byte, half-closed")]
#[test_case(20_000, Disconnect::Reset; "after some bytes, reset")]
#[test_case(300_000, Disconnect::Close; "after more bytes than the kernel buffers")]
#[test_case(300_000, Disconnect::HalfClose; "after more bytes than the kernel buffers, half-closed")]
fn no_job_is_sent_for_a_client_that_disconnects_after_its_job_has_moved(
    extra_bytes: usize,
    disconnect: Disconnect,
) {
    use nix::libc;
    let fixture = Fixture::new();
    let file = fixture.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("failed to read the file");
    // A longer time limit, as a process has to start in the meantime.
    std::fs::write(&file, text.replace("\"onTime\": 1000.0", "\"onTime\": 9000.0")).expect("failed to write");
    fixture.full.store(true, Ordering::SeqCst);
    let old = fixture.start_replaceable();
    let [mut leaver, twin] = ["leaver", "twin"].map(|id| {
        let mut client = TcpStream::connect(fixture.node).expect("failed to connect");
        let text = format!(
            "POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 9000\r\nContent-Length: 2\r\n\r\n10"
        );
        client.write_all(text.as_bytes()).expect("failed to write");
        client
    });
    wait_until(|| old.has_waiting(2));
    let new = fixture.start_replaceable();
    wait_until(|| new.has_waiting(2));
    leaver.set_write_timeout(Some(Duration::from_millis(200))).expect("failed to set the timeout");
    let _ = leaver.write_all("X".repeat(extra_bytes).as_bytes());
    wait_until(|| {
        let mut unacknowledged = 0;
        // SAFETY: writes one integer.
        unsafe { libc::ioctl(leaver.as_raw_fd(), libc::TIOCOUTQ, &mut unacknowledged) };
        unacknowledged == 0
    });
    let kept = match disconnect {
        Disconnect::Close => {
            drop(leaver);
            None
        }
        Disconnect::HalfClose => leaver.shutdown(Shutdown::Write).ok().map(|()| leaver),
        Disconnect::Reset => {
            socket2::SockRef::from(&leaver).set_linger(Some(Duration::ZERO)).err().map(|_| leaver)
        }
    };
    thread::sleep(Duration::from_millis(100));
    assert_eq!(fixture.executions.load(Ordering::Relaxed), 0, "jobs sent while both are queued");
    fixture.full.store(false, Ordering::SeqCst);
    let (_, body) = read_message(&mut BufReader::new(twin)).expect("no response");
    assert_eq!(String::from_utf8_lossy(&body), "r-twin");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(fixture.executions.load(Ordering::Relaxed), 1, "jobs sent");
    drop(kept);
}

// Guards against a response from an intermediate process that has already handed the job on.
#[test]
fn a_job_survives_successive_replacements() {
    let fixture = Fixture::new();
    let mut old = fixture.start_replaceable();
    let long_jobs = send_jobs(&fixture, "long", 3, 2500);
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(200));
        let new = fixture.start_replaceable();
        old.signal("-TERM");
        assert!(old.exits_successfully(), "{}", fixture.log());
        old = new;
    }
    check_answers(long_jobs);
    assert_eq!(fixture.executions.load(Ordering::Relaxed), 3, "number of executions");
}

#[test]
fn two_processes_do_not_share_a_management_address() {
    let fixture = Fixture::new();
    let old = fixture.start_replaceable();
    let mut new = fixture.start_at(Some(&fixture.folder), old.management);
    assert!(!new.exits_successfully() && fixture.log().contains("management: "), "{}", fixture.log());
    check_answers(send_jobs(&fixture, "a", 5, 50));
    assert_eq!(status(old.management, "/v1/readyz").as_deref(), Some("200"));
}

// The running process keeps the configuration that it has applied: a file that has become invalid since then only prevents the
// new process from starting.
#[test]
fn an_invalid_file_ends_only_the_new_process() {
    let fixture = Fixture::new();
    let old = fixture.start_replaceable();
    let file = fixture.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("failed to read the file");
    std::fs::write(&file, &text[..text.len() / 2]).expect("failed to write");
    let mut new = fixture.start(Some(&fixture.folder));
    old.signal("-HUP");
    assert!(!new.exits_successfully(), "{}", fixture.log());
    wait_until(|| fixture.log().contains("not reloaded, all stays as it is"));
    check_answers(send_jobs(&fixture, "a", 5, 50));
    assert_eq!(status(old.management, "/v1/readyz").as_deref(), Some("200"));
}

// SIGHUP to both processes and SIGTERM to the old one during a replacement: no job is lost.
#[test]
fn signals_during_a_replacement_lose_no_job() {
    let fixture = Fixture::new();
    let mut old = fixture.start_replaceable();
    let jobs = send_jobs(&fixture, "before", 10, 600);
    let new = fixture.start(Some(&fixture.folder));
    old.signal("-HUP");
    wait_until(|| status(new.management, "/v1/readyz").as_deref() == Some("200"));
    old.signal("-HUP");
    new.signal("-HUP");
    old.signal("-TERM");
    let after = send_jobs(&fixture, "after", 10, 50);
    assert!(old.exits_successfully(), "{}", fixture.log());
    check_answers(jobs);
    check_answers(after);
    assert_eq!(fixture.executions.load(Ordering::Relaxed), 20, "number of executions");
}

// A request whose first bytes arrive while all connections are open, and whose last byte arrives after the stopping process has
// begun to close idle ones. Guards against a close of the connection or an exit in between: an accepted request is answered.
#[test]
fn a_partly_received_request_survives_the_close_of_idle_connections() {
    let fixture = Fixture::new();
    let mut process = fixture.start_ready(None);
    let request =
        "POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: pieces\r\nX-Budget-Ms: 4000\r\nContent-Length: 2\r\n\r\n10";
    let (first, rest) = request.split_at(request.len() / 2);
    let mut client = TcpStream::connect(fixture.node).expect("failed to connect");
    client.set_read_timeout(Some(TIMEOUT)).expect("failed to set the timeout");
    let mut idle = TcpStream::connect(fixture.node).expect("failed to connect");
    idle.set_read_timeout(Some(TIMEOUT)).expect("failed to set the timeout");
    process.signal("-TERM");
    wait_until(|| fixture.log().contains("Serving -> Leaving"));
    // Sends the first half as late as possible: a connection that takes too long over a request may be closed at any time.
    let quiet = Instant::now() + Duration::from_millis(1000);
    thread::sleep(quiet - Instant::now());
    client.write_all(first.as_bytes()).expect("failed to write the first half");
    wait_until(|| fixture.log().contains("Leaving -> Closing"));
    // Idle connections have been closed by now, among them this one.
    assert!(matches!(idle.read(&mut [0]), Ok(0)), "the idle connection is still open");
    client.write_all(rest.as_bytes()).expect("failed to write the second half");
    let (head, body) = read_message(&mut BufReader::new(client)).expect("no response");
    let closes = head.iter().any(|line| line.eq_ignore_ascii_case("connection: close"));
    assert!(head[0].contains(" 200 ") && closes && body == b"r-pieces", "{head:?}");
    assert!(process.exits_successfully(), "{}", fixture.log());
}
