//! A stand-in for clients: one request at a time on a connection.
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{http, Case};

#[derive(Clone, Debug)]
pub struct Answer {
    pub call: String,
    pub class: String,
    pub caller: String,
    pub sent: f64,
    pub at: f64,
    /// The status and the body, or how the connection ended.
    pub result: Result<(u16, String), String>,
}

#[derive(Clone)]
pub struct Clients {
    pub node: SocketAddr,
    pub answers: Arc<Mutex<Vec<Answer>>>,
    pub sent: Arc<std::sync::atomic::AtomicUsize>,
    case: Case,
}

pub fn request(class: &str, call: &str, caller: &str, budget_ms: u64) -> Vec<u8> {
    let body = format!("job {call}");
    let head = format!("POST /{class}/balance HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {call}\r\nX-Call-Class: {class}\r\n");
    let more =
        format!("X-Caller: {caller}\r\nX-Budget-Ms: {budget_ms}\r\nContent-Length: {}\r\n\r\n", body.len());
    [head, more, body].concat().into_bytes()
}

impl Clients {
    pub fn new(case: &Case, node: SocketAddr) -> Clients {
        Clients { node, answers: Arc::default(), sent: Arc::default(), case: case.clone() }
    }

    /// Sends one job on a connection of its own, in the background.
    pub fn send(&self, class: &str, call: &str, caller: &str, budget_ms: u64) -> thread::JoinHandle<Answer> {
        let (mine, class, call, caller) =
            (self.clone(), class.to_owned(), call.to_owned(), caller.to_owned());
        self.sent.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        thread::spawn(move || {
            let sent = mine.case.now();
            mine.case.say(format!("client: sends {call} ({class}, {caller}, {budget_ms} ms)"));
            let result = mine.exchange(&request(&class, &call, &caller, budget_ms), budget_ms);
            let at = mine.case.now();
            mine.case.say(format!("client: {call} answered after {:.3} s: {result:?}", at - sent));
            let answer = Answer { call, class, caller, sent, at, result };
            mine.answers.lock().unwrap().push(answer.clone());
            answer
        })
    }

    fn exchange(&self, request: &[u8], budget_ms: u64) -> Result<(u16, String), String> {
        let text = |e: std::io::Error| e.to_string();
        // Waits beyond its time: an answer up to half a second late only earns nothing.
        let most = Duration::from_millis(budget_ms + 600);
        let mut stream = TcpStream::connect_timeout(&self.node, most).map_err(|e| format!("connect: {e}"))?;
        stream.set_nodelay(true).map_err(text)?;
        stream.set_read_timeout(Some(most)).map_err(text)?;
        stream.write_all(request).map_err(|e| format!("write: {e}"))?;
        let answer = http::read(&mut BufReader::new(stream)).map_err(|e| format!("no answer: {e}"))?;
        Ok((answer.status(), String::from_utf8_lossy(&answer.body).trim().to_owned()))
    }
}
