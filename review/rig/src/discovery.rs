//! A stand-in for discovery: the list of executors, whole or as a watch.
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{http, Case};

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: i64,
    pub state: &'static str,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":{},"state":"{}","weight":1.0,"started_ms":0}}"#,
            self.id, self.addr, self.zone, self.kind, self.cell, self.state
        )
    }
}

struct State {
    version: u64,
    entries: Vec<Entry>,
    /// The changes, each with its version.
    changes: Vec<(u64, Entry)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    case: Case,
}

fn list(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

impl Discovery {
    pub fn start(case: &Case, entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State { version: 1, entries, changes: Vec::new() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let addr = listener.local_addr().expect("an address");
        let discovery = Discovery { addr, shared, case: case.clone() };
        let mine = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mine = mine.clone();
                thread::spawn(move || mine.serve(stream));
            }
        });
        discovery
    }

    /// The whole list as JSON, as a node's configuration holds it under `known`.
    pub fn known(&self) -> String {
        let state = self.shared.0.lock().unwrap();
        list(state.version, true, &state.entries)
    }

    /// Makes a change: tells it on all watches.
    pub fn change(&self, entry: Entry) {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        self.case.say(format!("discovery: version {version}: {} is {}", entry.id, entry.state));
        state.entries.retain(|other| other.id != entry.id);
        if entry.state != "removed" {
            state.entries.push(entry.clone());
        }
        state.changes.push((version, entry));
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut stream = BufReader::new(stream);
        let Ok(request) = http::read(&mut stream) else { return };
        let path = request.word(1).to_owned();
        if !path.contains("stream=1") {
            let body = self.known();
            self.case.say(format!("discovery: {path} answered with the whole list"));
            let _ = out.write_all(&http::answer("200 OK", "Connection: close\r\n", &body));
            return;
        }
        let index = path.split("index=").nth(1).and_then(|index| index.split('&').next()?.parse().ok());
        self.watch(out, &path, index.unwrap_or(0));
    }

    fn watch(&self, mut out: TcpStream, path: &str, index: u64) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        if out.write_all(head.as_bytes()).is_err() {
            return;
        }
        let chunk = |out: &mut TcpStream, line: &str| {
            out.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_ok()
        };
        let (lock, changed) = &*self.shared;
        let state = lock.lock().unwrap();
        let mut told = state.version;
        let first = match state.changes.first().is_none_or(|change| change.0 > index + 1) && index != told {
            true => list(told, true, &state.entries),
            false => {
                let since: Vec<Entry> = state
                    .changes
                    .iter()
                    .filter(|change| change.0 > index)
                    .map(|change| change.1.clone())
                    .collect();
                list(told, false, &since)
            }
        };
        self.case.say(format!("discovery: {path} opened, version {told} told"));
        drop(state);
        if !chunk(&mut out, &first) {
            return;
        }
        let mut last = Instant::now();
        loop {
            let state = lock.lock().unwrap();
            let wait = Duration::from_secs(2).saturating_sub(last.elapsed()).max(Duration::from_millis(1));
            let (state, _) = changed.wait_timeout_while(state, wait, |state| state.version == told).unwrap();
            let line = match state.version == told {
                true => String::new(),
                false => {
                    let since: Vec<Entry> = state
                        .changes
                        .iter()
                        .filter(|change| change.0 > told)
                        .map(|change| change.1.clone())
                        .collect();
                    told = state.version;
                    self.case.say(format!("discovery: {path}: version {told} told"));
                    list(told, false, &since)
                }
            };
            drop(state);
            if (line.is_empty() && last.elapsed() < Duration::from_millis(1900)) || chunk(&mut out, &line) {
                last = if line.is_empty() && last.elapsed() < Duration::from_millis(1900) {
                    last
                } else {
                    Instant::now()
                };
                continue;
            }
            return;
        }
    }
}
