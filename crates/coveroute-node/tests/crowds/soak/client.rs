//! Clients of the soak test, and the violations that they record.
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use coveroute::random::Rng;

use super::{pick, uniform, Run, LOST_AFTER, MAX_BUDGET};
use crate::checker::newest_byte;
use crate::recording_servers::answer;

/// A client that sends requests one after the other on a kept-alive connection, and sometimes closes it before the response.
pub struct Client<'a> {
    pub run: &'a Run,
    /// Index of the node it is connected to, and the connection with the node's number of SIGKILLs when it was opened.
    pub at: usize,
    pub kept: Option<(TcpStream, usize)>,
    pub rng: Rng,
    pub name: String,
    pub requests_sent: usize,
}

/// How a request ended.
enum End {
    Answered(u16, Instant),
    /// The connection was closed without a response.
    Closed,
    Silent,
}

impl Client<'_> {
    pub fn run(&mut self) {
        while Instant::now() < self.run.end {
            thread::sleep(Duration::from_secs_f64(uniform(&mut self.rng, 0.02, 0.15)));
            if !self.connect() {
                continue;
            }
            let again = self.send_request(false);
            // A request that was sent while the node closed the idle connection is sent once more on a new one.
            if again && self.connect() {
                self.send_request(true);
            }
        }
    }

    fn connect(&mut self) -> bool {
        if self.kept.is_some() {
            return true;
        }
        let offered: Vec<usize> =
            (0..self.run.nodes.len()).filter(|at| self.run.nodes[*at].accepts_new_clients()).collect();
        if offered.is_empty() {
            return false;
        }
        self.at = pick(&mut self.rng, &offered);
        let node = &self.run.nodes[self.at];
        let kills = node.kills();
        self.kept = TcpStream::connect_timeout(&node.addr, MAX_BUDGET).ok().map(|stream| (stream, kills));
        self.kept.is_some()
    }

    /// Sends one request and returns whether it has to be sent again.
    fn send_request(&mut self, is_new: bool) -> bool {
        let Some((mut stream, kills)) = self.kept.take() else { return false };
        let node = &self.run.nodes[self.at];
        self.requests_sent += 1;
        let class = if self.rng.draw() < 0.25 { "pay" } else { "look" };
        let budget = Duration::from_millis(uniform(&mut self.rng, 700.0, 2000.0) as u64);
        let call = format!("{}-{class}-{}-{}", node.addr.ip(), self.name, self.requests_sent);
        let length = if self.rng.draw() < 0.1 { 20_000 } else { 40 };
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: b\r\nX-Call-Id: {call}\r\nX-Budget-Ms: {}\r\nContent-Length: {length}\r\n\r\n",
            budget.as_millis()
        );
        let leaves = (self.rng.draw() < 0.05).then(|| uniform(&mut self.rng, 0.005, 0.3));
        if stream.write_all([head.as_bytes(), &vec![b'x'; length]].concat().as_slice()).is_err() {
            return !is_new;
        }
        self.run.checker.sent(&call, budget);
        let sent = Instant::now();
        if let Some(after) = leaves {
            thread::sleep(Duration::from_secs_f64(after));
            // If the request has been answered by then, recording the departure changes nothing: no attempt follows.
            drop(stream);
            self.run.checker.left(&call);
            self.run.left.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let due = sent + budget + LOST_AFTER;
        match await_answer(&stream, due) {
            End::Answered(status, at) => {
                let count = match status {
                    200 => &self.run.served,
                    503 => &self.run.refused,
                    _ => &self.run.failed,
                };
                count.fetch_add(1, Ordering::Relaxed);
                if at > due {
                    self.run.record_violation(format!(
                        "{call}: answered {:?} after its budget",
                        at - sent - budget
                    ));
                }
                self.kept = Some((stream, kills));
                false
            }
            end => self.unanswered(&call, is_new, kills, matches!(end, End::Silent)),
        }
    }

    /// Returns whether the request has to be sent again. Records it as lost if the node has read it or stayed silent, or if the
    /// connection was new, so that the request can't have crossed an idle close.
    fn unanswered(&self, call: &str, is_new: bool, kills: usize, silent: bool) -> bool {
        let node = &self.run.nodes[self.at];
        if node.kills() != kills {
            return false;
        }
        let attempts = self.run.checker.attempts_of(call);
        if silent || is_new || attempts > 0 {
            let how = if silent { "no response" } else { "a closed connection" };
            let state = node.state();
            self.run.record_violation(format!(
                "{call}: lost by {how}, {attempts} attempts, new connection: {is_new}, node {state:?}"
            ));
            return false;
        }
        true
    }
}

fn await_answer(stream: &TcpStream, due: Instant) -> End {
    const GRACE: Duration = Duration::from_secs(1); // The machine may be busy.
    let within = due.saturating_duration_since(Instant::now()) + GRACE;
    let Ok(reading) = stream.try_clone() else { return End::Closed };
    let _ = stream.set_read_timeout(Some(within));
    let begun = Instant::now();
    match answer(&mut BufReader::new(reading)) {
        Some(status) => End::Answered(status, newest_byte(stream)),
        None if begun.elapsed() >= within => End::Silent,
        None => End::Closed,
    }
}
