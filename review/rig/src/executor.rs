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
    pub caller: String,
    /// How long the node said that it would wait, in milliseconds.
    pub budget_ms: f64,
    /// Whether it was begun, or may have been.
    pub began: bool,
}

/// What an executor does with an attempt.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Takes it, runs it for so long and tells `done` with this result.
    Run(f64, String),
    /// Takes it, begins it and tells nothing by itself.
    Hold,
    /// Turns it away unstarted: 503 with `X-Rejected: 1`. The answer goes once more so many seconds later, if any.
    Reject(Option<f64>),
    /// Takes it and hands it back unstarted so many seconds later, with `returned`.
    Return(f64),
    /// Takes and begins it, and tells so many seconds later that it `failed`.
    Fail(f64),
    /// Takes and begins it, and tells so many seconds later that it was `lost`.
    Lost(f64),
    /// Begins it and answers 500.
    Error,
    /// Begins it and resets the connection before the 202.
    Reset,
    /// Begins it, acknowledges it after the first time, and tells `done` after the second.
    Late(f64, f64),
}

impl Plan {
    fn begins(&self) -> bool {
        !matches!(self, Plan::Reject(_) | Plan::Return(_))
    }
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
            let report = format!("X-Load-Report: {}\r\n", self.load());
            let sent = match (request.word(0), request.word(1)) {
                ("GET", "/metrics/load") => out.write_all(&http::answer("200 OK", "", &self.load())),
                ("GET", _) => out.write_all(&http::answer("200 OK", "", "")),
                ("DELETE", path) => {
                    self.case.say(format!("{}: DELETE {path}", self.id));
                    out.write_all(&http::answer("204 No Content", "", ""))
                }
                _ => self.job(&request, &mut out, &report),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn job(&self, request: &Message, out: &mut TcpStream, report: &str) -> std::io::Result<()> {
        let text = |name| request.header(name).unwrap_or_default().to_owned();
        let (call, class, caller) = (text("x-call-id"), text("x-call-class"), text("x-caller"));
        let (at, budget_ms) = (self.case.now(), text("x-budget-ms").parse().unwrap_or(0.0));
        let mut attempt = Attempt { at, executor: self.id.clone(), call, class, caller, budget_ms, began: false };
        let plan = (self.decide)(self, &attempt);
        attempt.began = plan.begins();
        self.attempts.lock().unwrap().push(attempt.clone());
        self.case.say(format!("{}: attempt of {} ({}): {plan:?}", self.id, attempt.call, attempt.class));
        match plan {
            Plan::Reject(again) => {
                let rejection = http::answer("503 Service Unavailable", &format!("X-Rejected: 1\r\n{report}"), "");
                out.write_all(&rejection)?;
                if let Some(after) = again {
                    let (mut out, case, id) = (out.try_clone()?, self.case.clone(), self.id.clone());
                    thread::spawn(move || {
                        thread::sleep(Duration::from_secs_f64(after));
                        case.say(format!("{id}: the same 503 once more on that connection"));
                        let _ = out.write_all(&rejection);
                    });
                }
                Ok(())
            }
            Plan::Return(after) | Plan::Fail(after) | Plan::Lost(after) => {
                let state = match plan {
                    Plan::Return(_) => "returned",
                    Plan::Fail(_) => "failed",
                    _ => "lost",
                };
                if attempt.began {
                    self.begin(&attempt);
                    self.running.fetch_sub(1, Ordering::SeqCst);
                }
                let (mine, call) = (self.clone(), attempt.call.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(after));
                    mine.tell(&call, state, "");
                });
                out.write_all(&http::answer("202 Accepted", "", ""))
            }
            Plan::Error => {
                self.begin(&attempt);
                self.running.fetch_sub(1, Ordering::SeqCst);
                out.write_all(&http::answer("500 Internal Server Error", report, ""))
            }
            Plan::Reset => {
                self.begin(&attempt);
                self.running.fetch_sub(1, Ordering::SeqCst);
                out.shutdown(std::net::Shutdown::Both)?;
                Err(std::io::ErrorKind::ConnectionReset.into())
            }
            Plan::Late(ack, run) => {
                self.begin(&attempt);
                let (mine, call) = (self.clone(), attempt.call.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(run));
                    mine.running.fetch_sub(1, Ordering::SeqCst);
                    mine.tell(&call, "done", &format!(r#","result":"done {call}""#));
                });
                thread::sleep(Duration::from_secs_f64(ack));
                out.write_all(&http::answer("202 Accepted", "", ""))
            }
            Plan::Hold => {
                self.begin(&attempt);
                out.write_all(&http::answer("202 Accepted", "", ""))
            }
            Plan::Run(time, result) => {
                self.begin(&attempt);
                let (mine, call) = (self.clone(), attempt.call.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(time));
                    mine.running.fetch_sub(1, Ordering::SeqCst);
                    mine.tell(&call, "done", &format!(r#","result":"{result}""#));
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

    /// Tells the node what became of a job, ten times at most until it is acknowledged. An executor that has died tells
    /// nothing but, by its machine's agent, `lost`.
    pub fn tell(&self, call: &str, state: &str, more: &str) {
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
