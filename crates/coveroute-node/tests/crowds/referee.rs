//! Referee: notes when clients' requests left them and what executors were told, and holds one against the other.
use std::collections::HashMap;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What an executor may be told beyond what its client has left.
pub const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// How long after its client's close an attempt may begin.
pub const CLOSE_SLACK: Duration = Duration::from_millis(100);

/// A request, once its client has written its last byte.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    budget: Duration,
    /// When its client closed the connection, if it did before the answer.
    left: Option<Instant>,
}

/// An attempt, once its last byte has come.
#[derive(Clone, Debug)]
struct Seen {
    call: String,
    server: &'static str,
    at: Instant,
    told: Duration,
    may_have_run: bool,
}

#[derive(Default)]
pub struct Referee {
    sent: Mutex<HashMap<String, Sent>>,
    seen: Mutex<Vec<Seen>>,
}

/// An attempt that told its executor more than its client had left.
#[derive(Clone, Debug, PartialEq)]
pub struct Overstated {
    pub call: String,
    pub server: &'static str,
    /// Which of the request's attempts it was.
    pub number: usize,
    pub excess: Duration,
}

impl Referee {
    /// The client has written the last byte just now: the latest moment that its time can count from.
    pub fn sent(&self, call: &str, budget: Duration) {
        let sent = Sent { at: Instant::now(), budget, left: None };
        self.sent.lock().expect("a lock").insert(call.to_owned(), sent);
    }

    /// The client has closed its connection just now, without waiting for the answer.
    pub fn left(&self, call: &str) {
        if let Some(sent) = self.sent.lock().expect("a lock").get_mut(call) {
            sent.left = Some(Instant::now());
        }
    }

    /// The last byte of an attempt came at that moment.
    pub fn seen(&self, call: &str, server: &'static str, at: Instant, told: Duration) {
        let seen = Seen { call: call.to_owned(), server, at, told, may_have_run: false };
        self.seen.lock().expect("a lock").push(seen);
    }

    /// The newest attempt of a request at a server may have an effect.
    pub fn may_have_run(&self, call: &str, server: &str) {
        let mut seen = self.seen.lock().expect("a lock");
        let newest = seen.iter_mut().rev().find(|seen| seen.call == call && seen.server == server);
        newest.into_iter().for_each(|seen| seen.may_have_run = true);
    }

    /// Requests of which more than one attempt may have had an effect, of those that `counts` names.
    pub fn doubled(&self, counts: impl Fn(&str) -> bool) -> Vec<String> {
        let seen = self.seen.lock().expect("a lock");
        let mut ran: HashMap<&str, usize> = HashMap::new();
        let may_have_run = seen.iter().filter(|seen| seen.may_have_run && counts(&seen.call));
        may_have_run.for_each(|seen| *ran.entry(&seen.call).or_default() += 1);
        ran.into_iter().filter(|ran| ran.1 > 1).map(|ran| ran.0.to_owned()).collect()
    }

    /// Attempts that began too long after their client had closed its connection, and how long after.
    pub fn begun_for_nobody(&self) -> Vec<(String, Duration)> {
        let (sent, seen) = (self.sent.lock().expect("a lock"), self.seen.lock().expect("a lock"));
        let late = |seen: &Seen| {
            let left = sent.get(&seen.call)?.left?;
            Some((seen.call.clone(), seen.at.saturating_duration_since(left)))
        };
        seen.iter().filter_map(late).filter(|late| late.1 > CLOSE_SLACK).collect()
    }

    /// How many attempts of a request have come.
    pub fn attempts_of(&self, call: &str) -> usize {
        self.seen.lock().expect("a lock").iter().filter(|seen| seen.call == call).count()
    }

    pub fn attempts(&self) -> usize {
        self.seen.lock().expect("a lock").len()
    }

    /// How many attempts came to a server from that moment on.
    pub fn attempts_at(&self, server: &str, from: Instant) -> usize {
        let seen = self.seen.lock().expect("a lock");
        seen.iter().filter(|seen| seen.server == server && seen.at >= from).count()
    }

    /// Attempts that told their executor too much, the worst first.
    pub fn overstated(&self) -> Vec<Overstated> {
        let (sent, seen) = (self.sent.lock().expect("a lock"), self.seen.lock().expect("a lock"));
        let mut numbers: HashMap<&str, usize> = HashMap::new();
        let mut overstated = Vec::new();
        for seen in seen.iter() {
            let number = numbers.entry(&seen.call).or_default();
            *number += 1;
            let Some(sent) = sent.get(&seen.call) else { continue };
            let left = (sent.at + sent.budget).saturating_duration_since(seen.at);
            let excess = seen.told.saturating_sub(left);
            if excess > DEADLINE_SLACK {
                let (call, server, number) = (seen.call.clone(), seen.server, *number);
                overstated.push(Overstated { call, server, number, excess });
            }
        }
        overstated.sort_by_key(|overstated| std::cmp::Reverse(overstated.excess));
        overstated
    }
}

/// When the newest byte that has come on the connection did, by its kernel: whoever reads it may be late.
pub fn newest_byte(stream: &TcpStream) -> Instant {
    // SAFETY: a record of numbers.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut size = std::mem::size_of_val(&info) as libc::socklen_t;
    // SAFETY: writes at most `size` bytes of the record.
    let told = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &mut size,
        )
    };
    let age = if told == 0 { info.tcpi_last_data_recv } else { 0 };
    Instant::now().checked_sub(Duration::from_millis(u64::from(age))).unwrap_or_else(Instant::now)
}
