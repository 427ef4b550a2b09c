//! Executors that report each attempt to the checker, and a service that keeps the list of executors.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::checker::{newest_byte, Checker};
use crate::harness::{read_message, report_later, unused_addr, unused_host};

/// How an executor responds to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Accepts it and reports it as done after this many milliseconds.
    Accept(u64),
    /// Rejects it without starting it.
    Reject,
    /// Accepts it and returns it unstarted after this many milliseconds.
    Return(u64),
    /// Answers with status 500.
    Fail,
    /// Resets the connection.
    Reset,
    /// Never answers.
    Ignore,
}

/// Chooses the response to an attempt from the request's id and the attempt's number, counted over all servers.
pub type Script = Arc<dyn Fn(&str, usize) -> Behaviour + Send + Sync>;

/// An executor that reports each attempt to the checker.
#[derive(Clone)]
pub struct Server {
    pub id: &'static str,
    pub addr: SocketAddr,
    checker: Arc<Checker>,
    node: fn(&str) -> SocketAddr,
    script: Script,
}

/// Response to a probe: enough free capacity for every request of a test.
fn probe_answer() -> String {
    const REPORT: &str = "{\"x0\":200,\"depth\":0,\"concurrent\":0}";
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{REPORT}", REPORT.len())
}

impl Server {
    /// `node` maps a job's id to the node that the job is reported to.
    pub fn new(
        id: &'static str,
        checker: &Arc<Checker>,
        node: fn(&str) -> SocketAddr,
        script: Script,
    ) -> Self {
        Server { id, addr: (unused_host(), 7000).into(), checker: checker.clone(), node, script }
    }

    pub fn listen(&self) {
        let listener = TcpListener::bind(self.addr).expect("failed to bind the address");
        self.serve_all(listener);
    }

    pub fn serve_all(&self, listener: TcpListener) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
    }

    pub fn entry(&self, state: &str) -> String {
        format!("{{\"id\":\"{}\",\"addr\":\"{}\",\"state\":\"{state}\"}}", self.id, self.addr)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut answers) = stream.try_clone() else { return };
        let mut requests = BufReader::new(stream);
        while let Some((head, _)) = read_message(&mut requests) {
            let at = newest_byte(&answers);
            let header = |name: &str| {
                head.iter().find_map(|line| {
                    line.to_lowercase().strip_prefix(name).map(|value| value.trim().to_owned())
                })
            };
            let (Some(call), Some(budget)) = (header("x-call-id:"), header("x-budget-ms:")) else {
                let _ = answers.write_all(probe_answer().as_bytes());
                continue;
            };
            let budget = Duration::from_millis(budget.parse().expect("not a number"));
            self.checker.received(&call, self.id, at, budget);
            let behaviour = (self.script)(&call, self.checker.attempts_of(&call));
            if !matches!(behaviour, Behaviour::Reject | Behaviour::Return(_)) {
                self.checker.may_have_run(&call, self.id);
            }
            let answer = match behaviour {
                Behaviour::Accept(millis) => {
                    self.report(&call, millis, "\"state\":\"done\",\"result\":\"r\"");
                    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                }
                Behaviour::Return(millis) => {
                    self.report(&call, millis, "\"state\":\"returned\"");
                    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                }
                Behaviour::Reject => "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
                Behaviour::Fail => "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                Behaviour::Reset => {
                    return drop(socket2::SockRef::from(&answers).set_linger(Some(Duration::ZERO)))
                }
                Behaviour::Ignore => continue,
            };
            if answers.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn report(&self, call: &str, millis: u64, state: &str) {
        let news = format!("{{\"id\":\"{call}\",\"from\":\"{}\",\"load\":{{\"x0\":200}},{state}}}", self.id);
        report_later((self.node)(call), Duration::from_millis(millis), news);
    }
}

/// Serves the list of executors to all nodes: each watch gets the whole list at first and after each change.
pub struct ListService {
    pub addr: SocketAddr,
    entries: Arc<Mutex<Vec<String>>>,
    version: Arc<AtomicUsize>,
    /// Number of times that all watches have been closed.
    closed: Arc<AtomicUsize>,
}

impl ListService {
    pub fn start(entries: Vec<String>) -> Self {
        let list_service = ListService {
            addr: unused_addr(),
            entries: Arc::new(Mutex::new(entries)),
            version: Arc::new(AtomicUsize::new(7)),
            closed: Arc::default(),
        };
        let listener = TcpListener::bind(list_service.addr).expect("failed to bind the address");
        let (entries, version, closed) =
            (list_service.entries.clone(), list_service.version.clone(), list_service.closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (entries, version, closed) = (entries.clone(), version.clone(), closed.clone());
                thread::spawn(move || serve_watch(stream, &entries, &version, &closed));
            }
        });
        list_service
    }

    /// Replaces the list; each open watch gets the new one.
    pub fn change(&self, entries: Vec<String>) {
        *self.entries.lock().expect("poisoned lock") = entries;
        self.version.fetch_add(1, Ordering::SeqCst);
    }

    /// Replaces the list and closes all watches; only a node that reconnects gets the new list.
    pub fn change_and_close_watches(&self, entries: Vec<String>) {
        self.change(entries);
        self.closed.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves one watch: polls for a change, and sends an empty line each second without one.
fn serve_watch(
    mut stream: TcpStream,
    entries: &Mutex<Vec<String>>,
    version: &AtomicUsize,
    closed: &AtomicUsize,
) {
    const POLLS_PER_SECOND: u32 = 20;
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    let Ok(request) = stream.try_clone() else { return };
    if read_message(&mut BufReader::new(request)).is_none() {
        return;
    }
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (mut sent_version, mut polls, closed_before) = (0, 0, closed.load(Ordering::SeqCst));
    while closed.load(Ordering::SeqCst) == closed_before {
        let current = version.load(Ordering::SeqCst);
        polls += 1;
        let text = match current == sent_version {
            true if polls < POLLS_PER_SECOND => String::new(),
            true => "\n".to_owned(),
            false => {
                let entries = entries.lock().expect("poisoned lock").join(",");
                format!("{{\"version\":{current},\"full\":true,\"servers\":[{entries}]}}\n")
            }
        };
        if !text.is_empty() {
            (sent_version, polls) = (current, 0);
            if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                return;
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Reads one response and returns its status.
pub fn answer(stream: &mut impl BufRead) -> Option<u16> {
    read_message(stream)?.0[0].split(' ').nth(1)?.parse().ok()
}
