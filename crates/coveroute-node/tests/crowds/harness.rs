//! Test harness: a discovery service of limited capacity, executors and clients, and the node itself as a real process under
//! a real file descriptor limit.
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[path = "../support/message.rs"]
mod message;
pub use message::read_message;

/// A small memory limit, and the setting for it.
pub const MEMORY_MB: f64 = 48.0;
pub const MEMORY_SETTING: (&str, &str) = ("\"memory_mb\": 192", "\"memory_mb\": 48");
/// A call without an answer after this time counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a loopback host that no other test uses.
pub fn unused_host() -> IpAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    const PER_OCTET: usize = 250;
    let (at, own) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id() as usize);
    let third = (own / 120 + at / PER_OCTET) % PER_OCTET;
    [127, 122 + (own % 120) as u8, 1 + third as u8, 1 + (at % PER_OCTET) as u8].into()
}

/// Returns an address with a fixed port outside the ephemeral range on an unused host. With an ephemeral port, a client that
/// connects before the node listens could be assigned that same port as its source and block it.
pub fn unused_addr() -> SocketAddr {
    (unused_host(), 9000).into()
}

/// Writes a request on the connection and returns the response's status and body.
pub fn ask(stream: &mut TcpStream, request: &str) -> Option<(u16, String)> {
    ask_within(CALL_TIMEOUT, stream, request)
}

fn ask_within(timeout: Duration, stream: &mut TcpStream, request: &str) -> Option<(u16, String)> {
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let (head, body) = read_message(&mut BufReader::new(stream))?;
    Some((head[0].split(' ').nth(1)?.parse().ok()?, String::from_utf8_lossy(&body).into_owned()))
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n")
}

/// Sends a GET on a new connection and returns the response's status.
pub fn status(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, CALL_TIMEOUT).ok()?;
    ask(&mut stream, &get(path)).map(|answer| answer.0)
}

/// The time for which a client waits for a job: the budget sent to the node, and a margin for a busy machine.
const JOB_TIMEOUT: Duration = Duration::from_millis(2500);

/// Sends a job that runs for `millis` once, on a new connection, and returns the response.
pub fn job_once(node: SocketAddr, id: &str, millis: u64) -> Option<(u16, String)> {
    let body = millis.to_string();
    let request = format!(
        "POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 2000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    ask_within(JOB_TIMEOUT, &mut TcpStream::connect_timeout(&node, JOB_TIMEOUT).ok()?, &request)
}

/// Sends a job that runs for `millis` from another thread, which returns the response. Retries on 503, as clients may: an
/// executor that was discovered just now is cold.
pub fn job(node: SocketAddr, id: &str, millis: u64) -> thread::JoinHandle<Option<(u16, String)>> {
    const TRIES: usize = 3;
    let id = id.to_owned();
    let call = move |again: usize| job_once(node, &format!("{id}-{again}"), millis);
    thread::spawn(move || {
        for again in 1..TRIES {
            match call(again) {
                Some((503, _)) => thread::sleep(Duration::from_millis(300)),
                answer => return answer,
            }
        }
        call(TRIES)
    })
}

/// Starts an executor that runs each job for the milliseconds in its body and reports to `node` on a new connection.
pub fn executor(node: SocketAddr) -> SocketAddr {
    Executor::start("s-0", move |_| node).addr
}

/// An executor with an id that counts its jobs.
#[derive(Clone)]
pub struct Executor {
    id: &'static str,
    addr: SocketAddr,
    jobs: Arc<AtomicUsize>,
}

impl Executor {
    /// Starts an executor that reports each job on a new connection to the node that `node` returns for the job's id.
    pub fn start(id: &'static str, node: impl Fn(&str) -> SocketAddr + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind((unused_host(), 0)).expect("failed to bind a port");
        let addr = listener.local_addr().expect("no local address");
        let executor = Executor { id, addr, jobs: Arc::default() };
        let serving = executor.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (executor, node) = (serving.clone(), node.clone());
                thread::spawn(move || executor.serve(stream, node));
            }
        });
        executor
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of jobs received so far.
    pub fn jobs(&self) -> usize {
        self.jobs.load(Ordering::Relaxed)
    }

    /// Its entry in a list.
    pub fn entry(&self, state: &str) -> String {
        format!("{{\"id\":\"{}\",\"addr\":\"{}\",\"state\":\"{state}\"}}", self.id, self.addr)
    }

    fn serve(&self, mut answers: TcpStream, node: impl Fn(&str) -> SocketAddr) {
        let Ok(requests) = answers.try_clone() else { return };
        let mut requests = BufReader::new(requests);
        while let Some((head, body)) = read_message(&mut requests) {
            let is_job = head[0].starts_with("POST");
            let (status, text) = if is_job { ("202 Accepted", "") } else { ("200 OK", "{\"x0\":64}") };
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            // In one write: a second one would be delayed until the first is acknowledged (Nagle's algorithm).
            let _ = answers.write_all(answer.as_bytes());
            let id = head
                .iter()
                .find_map(|line| line.to_lowercase().strip_prefix("x-call-id:").map(str::to_owned));
            let Some(id) = id.filter(|_| is_job) else { continue };
            self.jobs.fetch_add(1, Ordering::Relaxed);
            let millis = String::from_utf8_lossy(&body).parse().unwrap_or(0);
            self.run(id.trim(), millis, node(id.trim()));
        }
    }

    /// Reports the job as done after `millis`.
    fn run(&self, job: &str, millis: u64, node: SocketAddr) {
        let news = format!(
            "{{\"id\":\"{job}\",\"from\":\"{}\",\"state\":\"done\",\"result\":\"r-{job}\"}}",
            self.id
        );
        report_later(node, Duration::from_millis(millis), news);
    }
}

/// Reports on a job to a node after a delay, from another thread. Retries until acknowledged, as executors do.
pub fn report_later(node: SocketAddr, after: Duration, news: String) {
    let length = news.len();
    let text = format!("POST /_jobs/news HTTP/1.1\r\nHost: n\r\nContent-Length: {length}\r\n\r\n{news}");
    thread::spawn(move || {
        thread::sleep(after);
        for _ in 0..20 {
            let stream = TcpStream::connect_timeout(&node, CALL_TIMEOUT);
            if stream
                .is_ok_and(|mut stream| ask(&mut stream, &text).is_some_and(|response| response.0 == 200))
            {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
}

/// Limits of the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryLimits {
    /// Calls a second, served one after the other.
    pub calls_per_second: f64,
    /// A call that would wait longer is refused after this time, and has used up as much capacity as a served one.
    pub max_wait: Duration,
    /// Whether it refuses with a 503 response or with a connection reset.
    pub refuses_with_503: bool,
    /// Additional delay of each response.
    pub delay: Duration,
}

impl DiscoveryLimits {
    pub const NONE: DiscoveryLimits = DiscoveryLimits {
        calls_per_second: 1e9,
        max_wait: Duration::from_secs(60),
        refuses_with_503: true,
        delay: Duration::ZERO,
    };
}

/// A discovery service that lists one executor. Nothing listens at its address until `start`.
pub struct Discovery {
    pub addr: SocketAddr,
    pub calls: Arc<AtomicU64>,
    pub refused: Arc<AtomicU64>,
    limits: DiscoveryLimits,
    pub executor: SocketAddr,
}

impl Discovery {
    pub fn stopped(executor: SocketAddr, limits: DiscoveryLimits) -> Self {
        Discovery { addr: unused_addr(), calls: Arc::default(), refused: Arc::default(), limits, executor }
    }

    pub fn start(&self) {
        let listener = TcpListener::bind(self.addr).expect("failed to bind the address");
        let (limits, executor) = (self.limits, self.executor);
        let (calls, refused) = (self.calls.clone(), self.refused.clone());
        let busy = Arc::new(Mutex::new(Instant::now()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (calls, refused, busy) = (calls.clone(), refused.clone(), busy.clone());
                thread::spawn(move || {
                    let Ok(request) = stream.try_clone() else { return };
                    if read_message(&mut BufReader::new(request)).is_none() {
                        return;
                    }
                    calls.fetch_add(1, Ordering::Relaxed);
                    let turn = {
                        let mut busy = busy.lock().expect("poisoned lock");
                        *busy = (*busy).max(Instant::now())
                            + Duration::from_secs_f64(1.0 / limits.calls_per_second);
                        *busy - Instant::now()
                    };
                    thread::sleep(turn.min(limits.max_wait) + limits.delay);
                    if turn > limits.max_wait {
                        refused.fetch_add(1, Ordering::Relaxed);
                        return refuse(stream, limits.refuses_with_503);
                    }
                    send_list(stream, executor);
                });
            }
        });
    }
}

fn refuse(mut stream: TcpStream, with_503: bool) {
    match with_503 {
        true => drop(stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")),
        false => drop(socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))),
    }
}

/// The executor's entry in a list.
fn entry(executor: SocketAddr) -> String {
    format!("{{\"id\":\"s-0\",\"addr\":\"{executor}\",\"state\":\"up\"}}")
}

fn send_list(mut stream: TcpStream, executor: SocketAddr) {
    let list = format!("{{\"version\":7,\"full\":true,\"servers\":[{}]}}\n", entry(executor));
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for line in std::iter::once(list).chain(std::iter::repeat_n("\n".to_owned(), 60)) {
        if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
            return;
        }
        thread::sleep(Duration::from_secs(1));
    }
}

/// Resources and fleet position of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeOptions {
    /// File descriptors that its configuration states, and its actual limit.
    pub configured_descriptors: usize,
    pub descriptor_limit: usize,
    /// Files that are already open when it starts; they count towards the limit.
    pub preopened_files: usize,
    /// Number of nodes in its configuration, and its own index.
    pub fleet_size: usize,
    pub index: usize,
    /// Executor known from an earlier run.
    pub cached_executor: Option<SocketAddr>,
}

impl NodeOptions {
    pub fn with_descriptors(descriptors: usize) -> Self {
        NodeOptions {
            configured_descriptors: descriptors,
            descriptor_limit: descriptors,
            preopened_files: 0,
            fleet_size: 1,
            index: 0,
            cached_executor: None,
        }
    }
}

/// Further differences of a process from the default configuration.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Texts of the configuration and their replacements.
    pub settings: Vec<(&'static str, &'static str)>,
    pub environment: Vec<(String, String)>,
    /// Log level.
    pub log: &'static str,
}

impl Default for Setup {
    fn default() -> Self {
        Setup { settings: Vec::new(), environment: Vec::new(), log: "info" }
    }
}

/// A running process of the node.
pub struct Process {
    pub node: SocketAddr,
    folder: PathBuf,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    pub fn start(node: SocketAddr, discovery: SocketAddr, options: NodeOptions) -> Self {
        let known: Vec<String> = options.cached_executor.map(entry).into_iter().collect();
        Process::start_with_list(node, discovery, options, &known)
    }

    /// Starts a process whose configuration holds the list `known` from an earlier run.
    pub fn start_with_list(
        node: SocketAddr,
        discovery: SocketAddr,
        options: NodeOptions,
        known: &[String],
    ) -> Self {
        Process::start_with(node, discovery, options, known, &Setup::default())
    }

    /// Starts a process with other settings or another environment.
    pub fn start_with(
        node: SocketAddr,
        discovery: SocketAddr,
        options: NodeOptions,
        known: &[String],
        setup: &Setup,
    ) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let at = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("coveroute-crowds-{}-{at}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("failed to create the folder");
        let config = include_str!("../../../../examples/config.json");
        let config = config.replace("127.0.0.1:9000", &node.to_string());
        let config = config.replace("127.0.0.1:8500", &discovery.to_string());
        let config =
            config.replace("\"sockets\": 1024", &format!("\"sockets\": {}", options.configured_descriptors));
        let config =
            config.replace("\"replicasOfMe\": 1", &format!("\"replicasOfMe\": {}", options.fleet_size));
        let config = config.replace("\"me\": 0", &format!("\"me\": {}", options.index));
        let known = format!("[{}]", known.join(","));
        let config = config.replace("\"servers\": []", &format!("\"servers\": {known}"));
        let config = config.replace("8c1f30d27a5be964", &format!("8c1f30d27a5b{at:04x}"));
        let config = setup.settings.iter().fold(config, |config, (was, is)| {
            assert!(config.contains(was), "{was}");
            config.replace(was, is)
        });
        std::fs::write(folder.join("config.json"), config).expect("failed to write the file");
        let log = std::fs::File::create(folder.join("log")).expect("failed to open the log file");
        // The limit applies from the start; files opened here stay open in the program.
        let mut command = Command::new("bash");
        command.arg("-c").arg(
            "for ((i = 0; i < $2; i++)); do exec {file}</dev/null; done; ulimit -n $1; exec \"$0\" serve --config $3 --log $4",
        );
        command
            .arg(env!("CARGO_BIN_EXE_coveroute"))
            .arg(options.descriptor_limit.to_string())
            .arg(options.preopened_files.to_string());
        command.arg(folder.join("config.json")).arg(setup.log).env_remove("TMPDIR");
        command.envs(setup.environment.iter().cloned());
        let child = command.stdin(Stdio::null()).stderr(log).spawn().expect("failed to start the node");
        Process { node, folder, child }
    }

    pub fn is_ready(&self) -> bool {
        status(self.node, "/up") == Some(200)
    }

    pub fn id(&self) -> i32 {
        self.child.id() as i32
    }

    /// Whether its log contains this text.
    pub fn has_logged(&self, text: &str) -> bool {
        std::fs::read_to_string(self.folder.join("log")).is_ok_and(|log| log.contains(text))
    }

    /// Returns the last lines of its log.
    pub fn log(&self) -> String {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(12)..].join("\n")
    }

    pub fn stop(&self) {
        self.signal(libc::SIGTERM);
    }

    pub fn signal(&self, signal: libc::c_int) {
        // SAFETY: `kill` accesses no memory of this process. Once `has_exited` or `wait_for_exit` has reaped the child, the
        // id is free: the call then fails, or reaches another process that the kernel has given the id to since.
        let result = unsafe { libc::kill(self.id(), signal) };
        assert_eq!(result, 0, "{}", std::io::Error::last_os_error());
    }

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits up to `most` for a successful end of the process and returns how long that took.
    pub fn wait_for_exit(&mut self, most: Duration) -> Option<Duration> {
        let begun = Instant::now();
        wait_until(most, || matches!(self.child.try_wait(), Ok(Some(status)) if status.success()))
            .then(|| begun.elapsed())
    }
}

/// Polls a condition for at most the given time and returns whether it held.
pub fn wait_until(most: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > most {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
