//! Clients of the soak, and what they take for a break of a rule.
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use coveroute::chance::Chance;

use super::{any, between, Run, LONGEST, LOST_AFTER};
use crate::judged::answer;
use crate::referee::newest_byte;

/// One client: asks on a kept connection, one request after the other; sometimes it leaves before the answer.
pub struct Client<'a> {
    pub run: &'a Run,
    /// The node it was given, and the connection to it with how often a process of it had been killed by then.
    pub at: usize,
    pub kept: Option<(TcpStream, usize)>,
    pub chance: Chance,
    pub name: String,
    pub asked: usize,
}

/// How a request ended.
enum End {
    Answered(u16, Instant),
    /// The connection ended without an answer.
    Closed,
    Silent,
}

impl Client<'_> {
    pub fn runs(&mut self) {
        while Instant::now() < self.run.end {
            thread::sleep(Duration::from_secs_f64(between(&mut self.chance, 0.02, 0.15)));
            if !self.connect() {
                continue;
            }
            let again = self.asks(false);
            // A request that crossed the end of a resting connection is sent once more on a new one.
            if again && self.connect() {
                self.asks(true);
            }
        }
    }

    fn connect(&mut self) -> bool {
        if self.kept.is_some() {
            return true;
        }
        let offered: Vec<usize> =
            (0..self.run.nodes.len()).filter(|at| self.run.nodes[*at].is_offered()).collect();
        if offered.is_empty() {
            return false;
        }
        self.at = any(&mut self.chance, &offered);
        let node = &self.run.nodes[self.at];
        let kills = node.kills();
        self.kept = TcpStream::connect_timeout(&node.addr, LONGEST).ok().map(|stream| (stream, kills));
        self.kept.is_some()
    }

    /// Asks for one thing; whether it has to be sent again.
    fn asks(&mut self, is_new: bool) -> bool {
        let Some((mut stream, kills)) = self.kept.take() else { return false };
        let node = &self.run.nodes[self.at];
        self.asked += 1;
        let class = if self.chance.draw() < 0.25 { "pay" } else { "look" };
        let budget = Duration::from_millis(between(&mut self.chance, 700.0, 2000.0) as u64);
        let call = format!("{}-{class}-{}-{}", node.addr.ip(), self.name, self.asked);
        let length = if self.chance.draw() < 0.1 { 20_000 } else { 40 };
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: b\r\nX-Call-Id: {call}\r\nX-Budget-Ms: {}\r\nContent-Length: {length}\r\n\r\n",
            budget.as_millis()
        );
        let leaves = (self.chance.draw() < 0.05).then(|| between(&mut self.chance, 0.005, 0.3));
        if stream.write_all([head.as_bytes(), &vec![b'x'; length]].concat().as_slice()).is_err() {
            return !is_new;
        }
        self.run.referee.sent(&call, budget);
        let sent = Instant::now();
        if let Some(after) = leaves {
            thread::sleep(Duration::from_secs_f64(after));
            // What has been answered by then is no departure.
            drop(stream);
            self.run.referee.left(&call);
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
                    self.run.breaks(format!("{call}: answered {:?} after its time", at - sent - budget));
                }
                self.kept = Some((stream, kills));
                false
            }
            end => self.unanswered(&call, is_new, kills, matches!(end, End::Silent)),
        }
    }

    /// Whether it has to be sent again; lost, where it was read, or could not be unread.
    fn unanswered(&self, call: &str, is_new: bool, kills: usize, silent: bool) -> bool {
        let node = &self.run.nodes[self.at];
        if node.kills() != kills {
            return false;
        }
        let attempts = self.run.referee.attempts_of(call);
        if silent || is_new || attempts > 0 {
            let how = if silent { "silence" } else { "a closed connection" };
            let state = node.state();
            self.run
                .breaks(format!("{call}: lost by {how}, {attempts} attempts, new {is_new}, node {state:?}"));
            return false;
        }
        true
    }
}

fn await_answer(stream: &TcpStream, due: Instant) -> End {
    const GRACE: Duration = Duration::from_secs(1); // Of the machine, which may be busy.
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
