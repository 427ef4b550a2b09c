//! Executors, a list of them and clients, all of which the referee hears of.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::referee::{newest_byte, Referee};
use crate::stand_in::{free, host, read_message, tell_later};

/// What an executor does with an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// Takes it, and has done it after so many milliseconds.
    Takes(u64),
    /// Turns it away unstarted.
    Rejects,
    /// Takes it, and gives it back unstarted after so many milliseconds.
    Returns(u64),
    /// Answers that it has failed.
    Fails,
    /// Resets the connection.
    Resets,
    /// Says nothing.
    Silent,
}

/// What becomes of an attempt at this server, the n-th of its request.
pub type Script = Arc<dyn Fn(&str, usize) -> Does + Send + Sync>;

/// An executor that the referee hears of.
#[derive(Clone)]
pub struct Server {
    pub id: &'static str,
    pub addr: SocketAddr,
    referee: Arc<Referee>,
    node: fn(&str) -> SocketAddr,
    script: Script,
}

/// What a probe is told: there is room for many.
fn probe_answer() -> String {
    const REPORT: &str = "{\"x0\":200,\"depth\":0,\"concurrent\":0}";
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{REPORT}", REPORT.len())
}

impl Server {
    /// It tells of each job to the node that its id names.
    pub fn new(
        id: &'static str,
        referee: &Arc<Referee>,
        node: fn(&str) -> SocketAddr,
        script: Script,
    ) -> Self {
        Server { id, addr: (host(), 7000).into(), referee: referee.clone(), node, script }
    }

    pub fn listen(&self) {
        let listener = TcpListener::bind(self.addr).expect("its address");
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
                    line.to_lowercase().strip_prefix(name).map(|told| told.trim().to_owned())
                })
            };
            let (Some(call), Some(told)) = (header("x-call-id:"), header("x-budget-ms:")) else {
                let _ = answers.write_all(probe_answer().as_bytes());
                continue;
            };
            let told = Duration::from_millis(told.parse().expect("a figure"));
            self.referee.seen(&call, self.id, at, told);
            let does = (self.script)(&call, self.referee.attempts_of(&call));
            if !matches!(does, Does::Rejects | Does::Returns(_)) {
                self.referee.may_have_run(&call, self.id);
            }
            let answer = match does {
                Does::Takes(millis) => {
                    self.tells(&call, millis, "\"state\":\"done\",\"result\":\"r\"");
                    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                }
                Does::Returns(millis) => {
                    self.tells(&call, millis, "\"state\":\"returned\"");
                    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                }
                Does::Rejects => "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
                Does::Fails => "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                Does::Resets => {
                    return drop(socket2::SockRef::from(&answers).set_linger(Some(Duration::ZERO)))
                }
                Does::Silent => continue,
            };
            if answers.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn tells(&self, call: &str, millis: u64, state: &str) {
        let news = format!("{{\"id\":\"{call}\",\"from\":\"{}\",\"load\":{{\"x0\":200}},{state}}}", self.id);
        tell_later((self.node)(call), Duration::from_millis(millis), news);
    }
}

/// Keeps the list of executors, for all nodes: on each watch the whole list, and again when it changes.
pub struct ListService {
    pub addr: SocketAddr,
    entries: Arc<Mutex<Vec<String>>>,
    version: Arc<AtomicUsize>,
    /// How often all watches have been closed.
    closed: Arc<AtomicUsize>,
}

impl ListService {
    pub fn start(entries: Vec<String>) -> Self {
        let list_service = ListService {
            addr: free(),
            entries: Arc::new(Mutex::new(entries)),
            version: Arc::new(AtomicUsize::new(7)),
            closed: Arc::default(),
        };
        let listener = TcpListener::bind(list_service.addr).expect("its address");
        let (entries, version, closed) =
            (list_service.entries.clone(), list_service.version.clone(), list_service.closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (entries, version, closed) = (entries.clone(), version.clone(), closed.clone());
                thread::spawn(move || keep(stream, &entries, &version, &closed));
            }
        });
        list_service
    }

    /// The list is another one from now on, and each watch is told.
    pub fn change(&self, entries: Vec<String>) {
        *self.entries.lock().expect("a lock") = entries;
        self.version.fetch_add(1, Ordering::SeqCst);
    }

    /// The same, and all watches are closed: who calls again is told.
    pub fn change_unheard(&self, entries: Vec<String>) {
        self.change(entries);
        self.closed.fetch_add(1, Ordering::SeqCst);
    }
}

/// A watch: looks for a change often, and says at least each second that there is none.
fn keep(mut stream: TcpStream, entries: &Mutex<Vec<String>>, version: &AtomicUsize, closed: &AtomicUsize) {
    const LOOKS: u32 = 20;
    const LOOK_EVERY: Duration = Duration::from_millis(50);
    let Ok(request) = stream.try_clone() else { return };
    if read_message(&mut BufReader::new(request)).is_none() {
        return;
    }
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (mut told, mut looks, before) = (0, 0, closed.load(Ordering::SeqCst));
    while closed.load(Ordering::SeqCst) == before {
        let present = version.load(Ordering::SeqCst);
        looks += 1;
        let text = match present == told {
            true if looks < LOOKS => String::new(),
            true => "\n".to_owned(),
            false => {
                let entries = entries.lock().expect("a lock").join(",");
                format!("{{\"version\":{present},\"full\":true,\"servers\":[{entries}]}}\n")
            }
        };
        if !text.is_empty() {
            (told, looks) = (present, 0);
            if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                return;
            }
        }
        thread::sleep(LOOK_EVERY);
    }
}

/// Reads one answer; its status.
pub fn answer(stream: &mut impl BufRead) -> Option<u16> {
    read_message(stream)?.0[0].split(' ').nth(1)?.parse().ok()
}
