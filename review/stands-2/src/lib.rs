//! Stand-ins for the second review's cases: a discovery service, executors, a proxy and clients as the operators' protocol
//! page describes them, and the node as a process of its own, started by the deploy file's command.
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub mod http;
pub use http::{Message, Reader};

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;
/// A node could not start: `run.sh` plays the case again.
pub const DID_NOT_START: i32 = 3;

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn open() -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(record_file())?));
        Ok(Record { file, start: Instant::now() })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, words: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), words.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// A free port below those that the system gives to connections, so that none of these takes it before the node.
fn free_port() -> u16 {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    let first = unix_ms() as u32 ^ std::process::id().wrapping_mul(2_654_435_761);
    loop {
        let number = first.wrapping_add(TRIED.fetch_add(1, Ordering::SeqCst));
        let port = 20_000 + (number % 10_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Runs a closure for each connection in a thread of its own.
pub fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
}

/// One entry of the list of executors.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub cell: i64,
    pub state: String,
}

impl Entry {
    pub fn up(id: &str, addr: SocketAddr) -> Entry {
        Entry { id: id.into(), addr, zone: "a".into(), cell: 0, state: "up".into() }
    }

    fn json(&self) -> String {
        let Entry { id, addr, zone, cell, state } = self;
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"{zone}","kind":"k","cell":{cell},"state":"{state}","weight":1.0,"started_ms":0}}"#
        )
    }
}

#[derive(Default)]
struct List {
    version: u64,
    /// Each executor's latest entry, with the version that brought it.
    entries: BTreeMap<String, (u64, Entry)>,
    /// Calls are answered 503 after this wait, but for those of the caller whose turn it is.
    refusing: Option<Duration>,
    /// Raised to end all open watches.
    epoch: u64,
}

/// The discovery service: the whole list, and watches on its changes.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record) -> Discovery {
        let listener = listen();
        let addr = listener.local_addr().unwrap();
        let discovery = Discovery { addr, list: Arc::default(), record: record.clone() };
        let own = discovery.clone();
        serve(listener, move |stream| drop(own.answer(stream)));
        discovery
    }

    pub fn set(&self, entry: Entry) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        list.version += 1;
        let version = list.version;
        self.record
            .line(format!("discovery {}: version {version}: {} is {}", self.addr, entry.id, entry.state));
        list.entries.insert(entry.id.clone(), (version, entry));
        changed.notify_all();
    }

    /// From now on calls wait this long and are answered 503; `None`: they are served.
    pub fn refuse(&self, after: Option<Duration>) {
        self.record.line(format!("discovery {}: turns calls away: {after:?}", self.addr));
        self.list.0.lock().unwrap().refusing = after;
    }

    /// Resets all open watches.
    pub fn end_watches(&self) {
        self.record.line("discovery: ends all watches");
        self.list.0.lock().unwrap().epoch += 1;
        self.list.1.notify_all();
    }

    fn answer(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(stream.try_clone()?);
        let Some(call) = reader.read()? else { return Ok(()) };
        let refusing = self.list.0.lock().unwrap().refusing;
        if let Some(wait) = refusing.filter(|_| call.header("x-turn").is_none()) {
            thread::sleep(wait);
            self.record.line(format!("discovery {}: {} -> 503", self.addr, call.target));
            return stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
            );
        }
        let index = call.target.split("index=").nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (list, changed) = &*self.list;
        if !call.target.contains("stream=1") {
            let line = Self::lines(&list.lock().unwrap(), 0);
            let head =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", line.len());
            return stream.write_all((head + &line).as_bytes());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
        let mut chunk = |text: &str| stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        let mut held = list.lock().unwrap();
        let (epoch, mut told) = (held.epoch, held.version);
        self.record.line(format!("discovery {}: watch from version {index}, told version {told}", self.addr));
        let first = Self::lines(&held, index);
        drop(held);
        chunk(&first)?;
        loop {
            held = list.lock().unwrap();
            if held.version == told && held.epoch == epoch {
                held = changed.wait_timeout(held, ms(2000)).unwrap().0;
            }
            if held.epoch != epoch {
                return Ok(());
            }
            let line = if held.version == told { "\n".into() } else { Self::lines(&held, told) };
            told = held.version;
            drop(held);
            chunk(&line)?;
        }
    }

    /// The changes after a version, or for 0 the whole list.
    fn lines(list: &List, after: u64) -> String {
        let full = after == 0;
        let listed =
            list.entries.values().filter(|(at, entry)| *at > after && !(full && entry.state == "removed"));
        let entries: Vec<String> = listed.map(|(_, entry)| entry.json()).collect();
        format!("{{\"version\":{},\"full\":{full},\"servers\":[{}]}}\n", list.version, entries.join(","))
    }
}

/// Sends one call to the node, on a connection of its own; returns the status.
pub fn call_once(
    to: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
    wait: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let head = format!("{method} {target} HTTP/1.1\r\nhost: backend.local\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes())?;
    let answer = Reader::new(stream).read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((answer.status(), answer.body))
}

/// What an executor tells of a job: tried until it is answered, ten times at most.
pub fn news(record: &Record, node: SocketAddr, call: &str, from: &str, rest: &str) {
    let body = format!(r#"{{"id":"{call}","from":"{from}",{rest}}}"#);
    for _ in 0..10 {
        match call_once(node, "POST", "/_jobs/news", &body, ms(2000)) {
            Ok((status @ (200 | 204), _)) => return record.line(format!("{from}: told {body}: {status}")),
            other => record.line(format!("{from}: told {body}: {other:?}")),
        }
        thread::sleep(ms(200));
    }
}

/// What an executor does with a connection: gets each request, and returns whether the connection stays open.
pub trait Executor: Send + Sync + 'static {
    fn request(&self, request: Message, stream: &mut TcpStream) -> io::Result<bool>;
    /// The node has closed the connection.
    fn closed(&self) {}
}

pub fn start_executor(executor: Arc<dyn Executor>) -> SocketAddr {
    let listener = listen();
    let addr = listener.local_addr().unwrap();
    serve(listener, move |mut stream| {
        let Ok(other) = stream.try_clone() else { return };
        let mut reader = Reader::new(other);
        while let Ok(Some(request)) = reader.read() {
            if !executor.request(request, &mut stream).unwrap_or(false) {
                break;
            }
        }
        executor.closed();
    });
    addr
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes())
}

/// A client's request.
pub fn job(class: &str, call: &str, budget_ms: u64, more: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {call}\r\nX-Call-Class: {class}\r\nX-Budget-Ms: {budget_ms}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// An id that no other request has.
pub fn call_id(run: u64, number: u64) -> String {
    format!("{run:08x}{number:08x}")
}

/// The repository's root: the case is started there.
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map(PathBuf::from).unwrap_or_else(|| ".".into())
}

/// The value of a key of the deploy file.
fn deploy(key: &str) -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} =")));
    line.and_then(|line| line.split('"').nth(1)).expect("its key").to_owned()
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{name}-{}-{}", std::process::id(), free_port()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A node: the command of the deploy file, started by the shell from the root.
pub struct Node {
    pub listen: SocketAddr,
    pub child: Child,
    _folder: Folder,
}

/// What a node is told, beside its addresses. `settings` is the settings object as text.
pub struct Terms<'a> {
    pub discovery: SocketAddr,
    pub listen: SocketAddr,
    pub limits: &'a str,
    pub settings: &'a str,
}

impl Terms<'_> {
    fn config(&self, management: SocketAddr) -> String {
        let Terms { discovery, listen, limits, settings } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","management":"{management}","seed":"8c1f30d27a5be964","limits":{limits},"settings":{settings}}}"#
        )
    }
}

/// The settings of a small deployment with one operation.
pub struct Deployment {
    pub me: usize,
    pub nodes: usize,
    pub operation: &'static str,
    pub effect: &'static str,
    pub deadline_ms: u64,
    pub second_copies: bool,
    pub registry_mode: &'static str,
}

impl Deployment {
    /// Four nodes that ask for the list.
    pub fn of(operation: &'static str, effect: &'static str, deadline_ms: u64) -> Deployment {
        let registry_mode = "on_request";
        Deployment { me: 0, nodes: 4, operation, effect, deadline_ms, second_copies: true, registry_mode }
    }

    pub fn settings(&self) -> String {
        let Deployment { me, nodes, operation, effect, deadline_ms, second_copies, registry_mode } = self;
        format!(
            r#"{{"me":{me},"replicasOfMe":{nodes},"zone":"a","zones":["a"],"skus":["k"],
 "categories":[{{"name":"{operation}","effect":"{effect}","onTime":2500.0,"deadline":{deadline_ms}.0,"credit":3.0}}],
 "goal":{{"whole":0.8,"worstClass":0.2}},"familyInfo":{{"tellsStart":false,"progress":0.0}},
 "limits":{{"maxAttempts":4,"dialTimeout":250.0,"connIdle":60000.0,"cancelling":true,"probing":true,"retryAfter":true,
  "maxRetryAfter":2000.0,"secondCopies":{second_copies}}},
 "registryMode":"{registry_mode}","report":{{"source":"none","names":[]}},
 "rules":{{"startCapacity":0.3,"warmUp":9000.0,"overloadFactor":4.0,"fall":2000.0,"drainGrace":500.0,"askWithin":10000.0}}}}"#
        )
    }
}

/// The limits of a node, as on the days that are scored.
pub const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

pub fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_port()))
}

impl Node {
    pub fn start(terms: &Terms, tmp: &Path, record: &Record) -> Node {
        let folder = Folder::new("node");
        let (listen, management) = (terms.listen, free_address());
        let path = folder.0.join("config.json");
        std::fs::write(&path, terms.config(management)).expect("the configuration");
        let log = match std::env::var_os("NODE_LOG") {
            Some(path) => Stdio::from(File::options().create(true).append(true).open(path).unwrap()),
            None => Stdio::null(),
        };
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy("run")])
            .current_dir(root())
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_CONFIG", &path)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_DISCOVERY", terms.discovery.to_string())
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the node");
        // For `run.sh`, which ends the node if this program can't.
        if let Some(path) = std::env::var_os("PIDS") {
            let file = File::options().create(true).append(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        record.line(format!("node {}: started at {listen}", child.id()));
        Node { listen, child, _folder: folder }
    }

    /// Waits until the node serves.
    pub fn ready(&mut self, record: &Record) -> bool {
        for _ in 0..300 {
            if let Some(end) = self.ended() {
                record.line(format!("node {}: has ended: {end}", self.child.id()));
                return false;
            }
            if let Ok((200, _)) = call_once(self.listen, "GET", "/up", "", ms(500)) {
                record.line(format!("node {}: serves", self.child.id()));
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Where the case's record goes.
fn record_file() -> PathBuf {
    std::env::var_os("RECORD").map(PathBuf::from).expect("RECORD names the record")
}

/// A proxy in front of an executor: passes bytes on both ways, also the end of either side. `answer` gets each piece that
/// comes from the executor and returns whether it is passed on.
pub fn proxy(to: SocketAddr, answer: impl Fn(&[u8]) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = listen();
    let addr = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    serve(listener, move |client| {
        let Ok(server) = TcpStream::connect(to) else { return };
        let _ = server.set_nodelay(true);
        let (Ok(mut from_client), Ok(mut to_server)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let onward = thread::spawn(move || {
            let mut piece = [0; 16 * 1024];
            while let Ok(count @ 1..) = from_client.read(&mut piece) {
                if to_server.write_all(&piece[..count]).is_err() {
                    break;
                }
            }
            let _ = to_server.shutdown(std::net::Shutdown::Both);
        });
        let (mut server, mut client, mut piece) = (server, client, [0; 16 * 1024]);
        while let Ok(count @ 1..) = server.read(&mut piece) {
            if answer(&piece[..count]) && client.write_all(&piece[..count]).is_err() {
                break;
            }
        }
        let _ = client.shutdown(std::net::Shutdown::Both);
        let _ = onward.join();
    });
    addr
}

/// An executor that takes every job, runs it for the given time and tells its end.
pub struct Worker {
    pub id: &'static str,
    pub node: SocketAddr,
    pub work: Duration,
    pub record: Record,
    pub attempts: Attempts,
}

/// What became of an attempt, as its executor sees it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub call: String,
    pub executor: &'static str,
    pub begun: f64,
    /// When it ended or was given up, and how.
    pub end: Option<(f64, &'static str)>,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

impl Worker {
    pub fn end(&self, call: &str, how: &'static str) -> bool {
        let mut attempts = self.attempts.lock().unwrap();
        let open = |a: &&mut Attempt| a.call == call && a.executor == self.id && a.end.is_none();
        let Some(attempt) = attempts.iter_mut().rev().find(open) else { return false };
        attempt.end = Some((self.record.now(), how));
        true
    }

    pub fn begin(&self, call: &str) {
        let (call, begun) = (call.to_owned(), self.record.now());
        self.record.line(format!("{}: has {call}", self.id));
        self.attempts.lock().unwrap().push(Attempt { call, executor: self.id, begun, end: None });
    }

    /// The requests that are no jobs: a job is given up, or a probe.
    pub fn other(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let status = match (request.method.as_str(), request.target.as_str()) {
            ("DELETE", target) => {
                let given_up = self.end(target.rsplit('/').next().unwrap_or_default(), "given up");
                self.record.line(format!("{}: {} {target}: {given_up}", self.id, request.method));
                "204 No Content"
            }
            ("GET", "/alive") => "200 OK",
            ("GET", "/metrics/load") => {
                respond(
                    stream,
                    "200 OK",
                    "",
                    r#"{"x0":8.0,"queue":0,"inflight":0,"depth":0,"concurrent":0}"#,
                )?;
                return Ok(true);
            }
            _ => "404 Not Found",
        };
        respond(stream, status, "", "")?;
        Ok(true)
    }

    /// Runs the job in a thread of its own.
    pub fn run(self: &Arc<Self>, call: String) {
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(own.work);
            if own.end(&call, "done") {
                own.record.line(format!("{}: has run {call}", own.id));
                let rest = format!(r#""state":"done","result":"{call} by {}""#, own.id);
                news(&own.record, own.node, &call, own.id, &rest);
            }
        });
    }
}

/// A `Worker` as it is.
pub struct Plain(pub Arc<Worker>);

impl Executor for Plain {
    fn request(&self, request: Message, stream: &mut TcpStream) -> io::Result<bool> {
        let call = request.call();
        if request.method != "POST" || call.is_empty() {
            return self.0.other(&request, stream);
        }
        self.0.begin(&call);
        respond(stream, "202 Accepted", "", "")?;
        self.0.run(call);
        Ok(true)
    }
}

pub fn worker(
    id: &'static str,
    node: SocketAddr,
    work: Duration,
    record: &Record,
    attempts: &Attempts,
) -> Arc<Worker> {
    Arc::new(Worker { id, node, work, record: record.clone(), attempts: attempts.clone() })
}

/// Starts plain workers with these ids and lists them.
pub fn workers(
    ids: &[&'static str],
    node: SocketAddr,
    work: Duration,
    record: &Record,
    discovery: &Discovery,
) -> Attempts {
    let attempts = Attempts::default();
    for id in ids {
        let plain = Plain(worker(id, node, work, record, &attempts));
        discovery.set(Entry::up(id, start_executor(Arc::new(plain))));
    }
    attempts
}

/// An executor that is taken out of service: what it gets once `gone` is set dies with its process.
pub struct Leaving {
    pub worker: Arc<Worker>,
    pub gone: Arc<AtomicBool>,
}

impl Executor for Leaving {
    fn request(&self, request: Message, stream: &mut TcpStream) -> io::Result<bool> {
        let call = request.call();
        if request.method != "POST" || call.is_empty() {
            return self.worker.other(&request, stream);
        }
        self.worker.begin(&call);
        respond(stream, "202 Accepted", "", "")?;
        let (worker, gone) = (self.worker.clone(), self.gone.clone());
        if !gone.load(Ordering::SeqCst) {
            worker.run(call);
            return Ok(true);
        }
        thread::spawn(move || {
            thread::sleep(ms(600));
            worker.end(&call, "lost");
            news(&worker.record, worker.node, &call, worker.id, r#""state":"lost""#);
        });
        Ok(true)
    }
}

/// Four executors, seen from this node, of which `e4` is to leave; returns its entry.
pub fn four_executors(
    node: SocketAddr,
    discoveries: &[&Discovery],
    (record, attempts, gone): (&Record, &Attempts, &Arc<AtomicBool>),
) -> Entry {
    let entries = ["e1", "e2", "e3", "e4"].map(|id| {
        let worker = worker(id, node, ms(300), record, attempts);
        let addr = match id {
            "e4" => start_executor(Arc::new(Leaving { worker, gone: gone.clone() })),
            _ => start_executor(Arc::new(Plain(worker))),
        };
        Entry::up(id, addr)
    });
    for discovery in discoveries {
        entries.iter().for_each(|entry| discovery.set(entry.clone()));
    }
    entries[3].clone()
}

/// Sends one payment to the node.
fn pay(node: SocketAddr, call: &str, deadline_ms: u64, record: &Record) -> io::Result<()> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(ms(deadline_ms + 1000)))?;
    record.line(format!("client: sends {call}"));
    stream.write_all(&job("payment", call, deadline_ms, "", b"payment"))?;
    let answer = Reader::new(stream).read()?;
    record.line(format!("client: {call}: {:?}", answer.map(|answer| answer.status())));
    Ok(())
}

/// Sends payments to the nodes in turn, one every so many milliseconds for so long; the thread ends with the last answer.
pub fn payments(
    nodes: Vec<SocketAddr>,
    each_ms: u64,
    for_ms: u64,
    deadline_ms: u64,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (record, run) = (record.clone(), unix_ms() & 0xffff_ffff);
    thread::spawn(move || {
        let mut clients = Vec::new();
        for number in 0..for_ms / each_ms {
            thread::sleep(ms(each_ms));
            let (node, record) = (nodes[number as usize % nodes.len()], record.clone());
            clients.push(thread::spawn(move || {
                let call = call_id(run, number);
                if let Err(e) = pay(node, &call, deadline_ms, &record) {
                    record.line(format!("client: {call}: {e}"));
                }
            }));
        }
        clients.into_iter().for_each(|client| drop(client.join()));
    })
}

/// Another caller of discovery, whose turn it is: shows that it can be reached.
pub fn another_caller(discovery: &Discovery, record: &Record) -> io::Result<()> {
    let mut stream = TcpStream::connect(discovery.addr)?;
    stream.set_read_timeout(Some(ms(2000)))?;
    stream.write_all(b"GET /discovery/hosts HTTP/1.1\r\nhost: discovery\r\nx-turn: 1\r\n\r\n")?;
    let list = Reader::new(stream).read()?.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    record.line(format!("another node: is told {}", list.unwrap_or_default().trim_end()));
    Ok(())
}

/// Sleeps until this time of the record.
pub fn sleep_until(at: f64, record: &Record) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}

/// How many payments `e4` got after the time by which nothing new may go to it.
pub fn sent_late(attempts: &Attempts, late: f64, told_from: f64, record: &Record) -> usize {
    let attempts = attempts.lock().unwrap();
    let broken: Vec<_> = attempts.iter().filter(|a| a.executor == "e4" && a.begun > late).collect();
    for attempt in &broken {
        record
            .line(format!("BROKEN: {:.3} s after it began to count: {attempt:?}", attempt.begun - told_from));
    }
    broken.len()
}

/// The exit code, written to the record with the reason.
pub fn verdict(record: &Record, broken: usize, words: &str) -> std::process::ExitCode {
    let code = if broken > 0 { BROKEN } else { HELD };
    let line =
        format!("verdict: {} ({broken} {words}), trouble {}", ["held", "BROKEN"][code as usize], trouble());
    record.line(&line);
    println!("{line}");
    std::process::ExitCode::from(code as u8)
}

pub fn did_not_start(record: &Record) -> std::process::ExitCode {
    record.line("a node does not serve");
    eprintln!("a node does not serve");
    std::process::ExitCode::from(DID_NOT_START as u8)
}

pub fn could_not_run(record: &Record, why: &str) -> std::process::ExitCode {
    record.line(format!("could not run: {why}"));
    eprintln!("could not run: {why}");
    std::process::ExitCode::from(COULD_NOT_RUN as u8)
}
