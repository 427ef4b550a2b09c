//! A stand-in for an executor: takes jobs with 202 and tells the node what becomes of them.
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::Case;

/// An attempt that has come to an executor with its last byte.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub at: f64,
    pub executor: String,
    pub call: String,
    pub class: String,
}

/// What an executor does with an attempt.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Takes it, runs it for so long and tells `done` with this result.
    Run(f64, String),
    /// Takes it, begins it and tells nothing by itself.
    Hold,
}

type Decide = dyn Fn(&Executor, &Attempt) -> Plan + Send + Sync;

#[derive(Clone)]
pub struct Executor {
    pub id: String,
    pub addr: SocketAddr,
    pub node: SocketAddr,
    pub slots: usize,
    pub running: Arc<AtomicUsize>,
    /// The process has died: nothing more is said by it.
    pub dead: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// All attempts at all executors of the case, in their order.
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    /// Jobs that were begun, by call: the executors that began them.
    pub runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    decide: Arc<Decide>,
    case: Case,
}

#[derive(Clone, Default)]
pub struct Log {
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    pub runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
}

impl Executor {
    pub fn start(
        case: &Case,
        id: &str,
        node: SocketAddr,
        slots: usize,
        log: &Log,
        decide: impl Fn(&Executor, &Attempt) -> Plan + Send + Sync + 'static,
    ) -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let executor = Executor {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            node,
            slots,
            running: Arc::default(),
            dead: Arc::default(),
            streams: Arc::default(),
            attempts: log.attempts.clone(),
            runs: log.runs.clone(),
            decide: Arc::new(decide),
            case: case.clone(),
        };
        let mine = executor.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if mine.dead.load(Ordering::SeqCst) {
                    return; // Drops the listener: connections are refused from now on.
                }
                let Ok(stream) = stream else { continue };
                mine.streams.lock().unwrap().extend(stream.try_clone());
                let mine = mine.clone();
                thread::spawn(move || mine.serve(stream));
            }
        });
        executor
    }

    /// The process dies: its connections end and new ones are refused.
    pub fn die(&self) {
        self.case.say(format!("{} dies", self.id));
        self.dead.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let _ = TcpStream::connect(self.addr);
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!(r#"{{"x0":{},"queue":0,"inflight":{running}}}"#, self.slots.saturating_sub(running))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut stream = BufReader::new(stream);
        while let Ok(request) = http::read(&mut stream) {
            if self.dead.load(Ordering::SeqCst) {
                return;
            }
            let sent = match (request.word(0), request.word(1)) {
                ("GET", "/metrics/load") => out.write_all(&http::answer("200 OK", "", &self.load())),
                ("GET", _) => out.write_all(&http::answer("200 OK", "", "")),
                ("DELETE", path) => {
                    self.case.say(format!("{}: DELETE {path}", self.id));
                    out.write_all(&http::answer("204 No Content", "", ""))
                }
                _ => self.job(&request, &mut out),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn job(&self, request: &Message, out: &mut TcpStream) -> std::io::Result<()> {
        let text = |name| request.header(name).unwrap_or_default().to_owned();
        let (call, class) = (text("x-call-id"), text("x-call-class"));
        let attempt = Attempt { at: self.case.now(), executor: self.id.clone(), call, class };
        let plan = (self.decide)(self, &attempt);
        self.attempts.lock().unwrap().push(attempt.clone());
        self.case.say(format!("{}: attempt of {} ({}): {plan:?}", self.id, attempt.call, attempt.class));
        match plan {
            Plan::Hold => {
                self.begin(&attempt);
                out.write_all(&http::answer("202 Accepted", "", ""))
            }
            Plan::Run(time, result) => {
                self.begin(&attempt);
                let (mine, call) = (self.clone(), attempt.call.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(time));
                    mine.end(&call, "done", &format!(r#","result":"{result}""#));
                });
                out.write_all(&http::answer("202 Accepted", "", ""))
            }
        }
    }

    fn begin(&self, attempt: &Attempt) {
        self.running.fetch_add(1, Ordering::SeqCst);
        self.runs.lock().unwrap().entry(attempt.call.clone()).or_default().push(self.id.clone());
        self.case.say(format!("{}: {} begins", self.id, attempt.call));
    }

    /// A job that was begun has ended: tells the node so.
    pub fn end(&self, call: &str, state: &str, more: &str) {
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.tell(call, state, more);
    }

    /// Tells the node what became of a job, ten times at most until it is acknowledged. An executor that has died tells
    /// nothing but, by its machine's agent, `lost`.
    fn tell(&self, call: &str, state: &str, more: &str) {
        let load = self.load();
        let body = format!(r#"{{"id":"{call}","from":"{}","state":"{state}"{more},"load":{load}}}"#, self.id);
        for _ in 0..10 {
            if self.dead.load(Ordering::SeqCst) && state != "lost" {
                return;
            }
            let told = http::call(self.node, "POST", "/_jobs/news", &body, Duration::from_secs(2));
            let status = told.map(|answer| answer.status());
            self.case.say(format!("{}: {call} is {state}, the node says {status:?}", self.id));
            if matches!(status, Ok(200 | 204)) {
                return;
            }
            thread::sleep(Duration::from_millis(300));
        }
    }
}
