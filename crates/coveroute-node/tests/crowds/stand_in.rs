//! What a node of these tests talks to: a discovery with a bound on its work, an executor, clients; and the node itself,
//! a real process of the program under a real limit of descriptors.
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

/// What a call may take before its test counts it as lost.
const CALL_WITHIN: Duration = Duration::from_secs(10);

/// A loopback host of this test's own, so that tests don't meet.
pub fn host() -> IpAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    const EACH: usize = 250; // Of one octet.
    let (at, own) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id() as usize);
    let third = (own / 120 + at / EACH) % EACH;
    [127, 122 + (own % 120) as u8, 1 + third as u8, 1 + (at % EACH) as u8].into()
}

/// An address that nobody listens at, and no client connects from: one that is tried before a node listens there could
/// be given the very same port, and hold it.
pub fn free() -> SocketAddr {
    (host(), 9000).into()
}

/// Writes a request on the connection; the answer's status and body.
pub fn ask(stream: &mut TcpStream, request: &str) -> Option<(u16, String)> {
    ask_within(CALL_WITHIN, stream, request)
}

fn ask_within(most: Duration, stream: &mut TcpStream, request: &str) -> Option<(u16, String)> {
    stream.set_read_timeout(Some(most)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let (head, body) = read_message(&mut BufReader::new(stream))?;
    Some((head[0].split(' ').nth(1)?.parse().ok()?, String::from_utf8_lossy(&body).into_owned()))
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n")
}

/// The status of a call on a connection of its own.
pub fn status(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, CALL_WITHIN).ok()?;
    ask(&mut stream, &get(path)).map(|answer| answer.0)
}

/// A client's job that runs for so long; its answer, in another thread. Who is told to come back does, as clients may:
/// an executor that was heard of just now is cold.
pub fn job(node: SocketAddr, id: &str, millis: u64) -> thread::JoinHandle<Option<(u16, String)>> {
    const TRIES: usize = 3;
    const WITHIN: Duration = Duration::from_millis(2500); // What the client has told the node, and a busy machine's part.
    let (id, body) = (id.to_owned(), millis.to_string());
    let call = move |again: usize| {
        let request = format!(
            "POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}-{again}\r\nX-Budget-Ms: 2000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        ask_within(WITHIN, &mut TcpStream::connect_timeout(&node, WITHIN).ok()?, &request)
    };
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

/// An executor that runs each job for so long as its body says, in milliseconds, and tells `node` on a new connection.
pub fn executor(node: SocketAddr) -> SocketAddr {
    Executor::start("s-0", move |_| node).addr
}

/// An executor with a name, which counts its jobs.
#[derive(Clone)]
pub struct Executor {
    id: &'static str,
    addr: SocketAddr,
    jobs: Arc<AtomicUsize>,
}

impl Executor {
    /// One that tells of each job, by its id, on a new connection to a node.
    pub fn start(id: &'static str, node: impl Fn(&str) -> SocketAddr + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind((host(), 0)).expect("a port");
        let addr = listener.local_addr().expect("an address");
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

    /// Jobs that have come so far.
    pub fn jobs(&self) -> usize {
        self.jobs.load(Ordering::Relaxed)
    }

    /// It as a list names it.
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
            let _ = answers.write_all(answer.as_bytes()); // In one piece: a second one would wait for the first.
            let id = head
                .iter()
                .find_map(|line| line.to_lowercase().strip_prefix("x-call-id:").map(str::to_owned));
            let Some(id) = id.filter(|_| is_job) else { continue };
            self.jobs.fetch_add(1, Ordering::Relaxed);
            let millis = String::from_utf8_lossy(&body).parse().unwrap_or(0);
            self.run(id.trim(), millis, node(id.trim()));
        }
    }

    /// Has done the job after so long, and tells the node.
    fn run(&self, job: &str, millis: u64, node: SocketAddr) {
        let news = format!(
            "{{\"id\":\"{job}\",\"from\":\"{}\",\"state\":\"done\",\"result\":\"r-{job}\"}}",
            self.id
        );
        tell_later(node, Duration::from_millis(millis), news);
    }
}

/// Tells a node of a job after so long, in another thread: as executors do, again until it is acknowledged.
pub fn tell_later(node: SocketAddr, after: Duration, news: String) {
    let length = news.len();
    let text = format!("POST /_jobs/news HTTP/1.1\r\nHost: n\r\nContent-Length: {length}\r\n\r\n{news}");
    thread::spawn(move || {
        thread::sleep(after);
        for _ in 0..20 {
            let stream = TcpStream::connect_timeout(&node, CALL_WITHIN);
            if stream.is_ok_and(|mut stream| ask(&mut stream, &text).is_some_and(|told| told.0 == 200)) {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
}

/// How much a discovery does.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Calls a second, in turn.
    pub calls: f64,
    /// Who would wait longer is refused after as long, and has cost as much.
    pub patience: Duration,
    /// How it refuses: by an answer, or by closing.
    pub answers: bool,
    /// Each answer is late by so much besides.
    pub late: Duration,
}

impl Bound {
    pub const NONE: Bound =
        Bound { calls: 1e9, patience: Duration::from_secs(60), answers: true, late: Duration::ZERO };
}

/// A discovery that tells of one executor, once it is up: until then nobody listens there.
pub struct Discovery {
    pub addr: SocketAddr,
    pub calls: Arc<AtomicU64>,
    pub refused: Arc<AtomicU64>,
    bound: Bound,
    pub executor: SocketAddr,
}

impl Discovery {
    pub fn down(executor: SocketAddr, bound: Bound) -> Self {
        Discovery { addr: free(), calls: Arc::default(), refused: Arc::default(), bound, executor }
    }

    pub fn comes_up(&self) {
        let listener = TcpListener::bind(self.addr).expect("its address");
        let (bound, executor) = (self.bound, self.executor);
        let (calls, refused) = (self.calls.clone(), self.refused.clone());
        let busy = Arc::new(Mutex::new(Instant::now()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (calls, refused, busy) = (calls.clone(), refused.clone(), busy.clone());
                thread::spawn(move || {
                    let Ok(asks) = stream.try_clone() else { return };
                    if read_message(&mut BufReader::new(asks)).is_none() {
                        return;
                    }
                    calls.fetch_add(1, Ordering::Relaxed);
                    let turn = {
                        let mut busy = busy.lock().expect("a lock");
                        *busy = (*busy).max(Instant::now()) + Duration::from_secs_f64(1.0 / bound.calls);
                        *busy - Instant::now()
                    };
                    thread::sleep(turn.min(bound.patience) + bound.late);
                    if turn > bound.patience {
                        refused.fetch_add(1, Ordering::Relaxed);
                        return refuses(stream, bound.answers);
                    }
                    tells(stream, executor);
                });
            }
        });
    }
}

fn refuses(mut stream: TcpStream, answers: bool) {
    match answers {
        true => drop(stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")),
        false => drop(socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))),
    }
}

/// The executor as a list names it.
fn entry(executor: SocketAddr) -> String {
    format!("{{\"id\":\"s-0\",\"addr\":\"{executor}\",\"state\":\"up\"}}")
}

fn tells(mut stream: TcpStream, executor: SocketAddr) {
    let list = format!("{{\"version\":7,\"full\":true,\"servers\":[{}]}}\n", entry(executor));
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for line in std::iter::once(list).chain(std::iter::repeat_n("\n".to_owned(), 60)) {
        if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
            return;
        }
        thread::sleep(Duration::from_secs(1));
    }
}

/// What a node is started with.
#[derive(Clone, Copy, Debug)]
pub struct Seat {
    /// Descriptors that its configuration gives it, and that the machine does.
    pub told: usize,
    pub given: usize,
    /// Of these, files that are open before it begins.
    pub taken: usize,
    /// Nodes that its configuration tells of, and which of them it is.
    pub nodes: usize,
    pub me: usize,
    /// The executor that it knew of when it last ran.
    pub known: Option<SocketAddr>,
}

impl Seat {
    pub fn of(descriptors: usize) -> Self {
        Seat { told: descriptors, given: descriptors, taken: 0, nodes: 1, me: 0, known: None }
    }
}

/// In what a process differs from others beside its seat.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Texts of the configuration, and what stands in their place.
    pub settings: Vec<(&'static str, &'static str)>,
    pub environment: Vec<(String, String)>,
    /// The least level of its log.
    pub log: &'static str,
}

impl Default for Setup {
    fn default() -> Self {
        Setup { settings: Vec::new(), environment: Vec::new(), log: "info" }
    }
}

/// A process of the node.
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
    pub fn start(node: SocketAddr, discovery: SocketAddr, seat: Seat) -> Self {
        let known: Vec<String> = seat.known.map(entry).into_iter().collect();
        Process::start_knowing(node, discovery, seat, &known)
    }

    /// One whose configuration holds this list, from when it last ran.
    pub fn start_knowing(node: SocketAddr, discovery: SocketAddr, seat: Seat, known: &[String]) -> Self {
        Process::start_with(node, discovery, seat, known, &Setup::default())
    }

    /// One with other settings, or in another environment.
    pub fn start_with(
        node: SocketAddr,
        discovery: SocketAddr,
        seat: Seat,
        known: &[String],
        setup: &Setup,
    ) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let at = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("coveroute-doors-{}-{at}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let config = include_str!("../../../../examples/config.json");
        let config = config.replace("127.0.0.1:9000", &node.to_string());
        let config = config.replace("127.0.0.1:8500", &discovery.to_string());
        let config = config.replace("\"sockets\": 1024", &format!("\"sockets\": {}", seat.told));
        let config = config.replace("\"replicasOfMe\": 1", &format!("\"replicasOfMe\": {}", seat.nodes));
        let config = config.replace("\"me\": 0", &format!("\"me\": {}", seat.me));
        let known = format!("[{}]", known.join(","));
        let config = config.replace("\"servers\": []", &format!("\"servers\": {known}"));
        let config = config.replace("8c1f30d27a5be964", &format!("8c1f30d27a5b{at:04x}"));
        let config = setup.settings.iter().fold(config, |config, (was, is)| {
            assert!(config.contains(was), "{was}");
            config.replace(was, is)
        });
        std::fs::write(folder.join("config.json"), config).expect("a file");
        let log = std::fs::File::create(folder.join("log")).expect("a log");
        // The limit holds from the start on; what is open before stays open in the program.
        let mut command = Command::new("bash");
        command.arg("-c").arg(
            "for ((i = 0; i < $2; i++)); do exec {file}</dev/null; done; ulimit -n $1; exec \"$0\" serve --config $3 --log $4",
        );
        command.arg(env!("CARGO_BIN_EXE_coveroute")).arg(seat.given.to_string()).arg(seat.taken.to_string());
        command.arg(folder.join("config.json")).arg(setup.log).env_remove("TMPDIR");
        command.envs(setup.environment.iter().cloned());
        let child = command.stdin(Stdio::null()).stderr(log).spawn().expect("a process");
        Process { node, folder, child }
    }

    pub fn is_ready(&self) -> bool {
        status(self.node, "/up") == Some(200)
    }

    pub fn id(&self) -> i32 {
        self.child.id() as i32
    }

    /// Whether a line of its log has these words.
    pub fn has_logged(&self, words: &str) -> bool {
        std::fs::read_to_string(self.folder.join("log")).is_ok_and(|log| log.contains(words))
    }

    /// The last lines of its log.
    pub fn log(&self) -> String {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(12)..].join("\n")
    }

    pub fn stop(&self) {
        self.signal(libc::SIGTERM);
    }

    pub fn signal(&self, signal: libc::c_int) {
        // SAFETY: a child of this process, which has not been waited for as long as this lives.
        let told = unsafe { libc::kill(self.id(), signal) };
        assert_eq!(told, 0, "{}", std::io::Error::last_os_error());
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// How long it takes to end by itself, if it does within that time.
    pub fn ends_within(&mut self, most: Duration) -> Option<Duration> {
        let begun = Instant::now();
        until(most, || matches!(self.child.try_wait(), Ok(Some(status)) if status.success()))
            .then(|| begun.elapsed())
    }
}

/// Waits until it holds; whether it did in time.
pub fn until(most: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > most {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
