//! Records when clients sent their requests and which attempts executors received, and finds attempts that break an invariant.
use std::collections::HashMap;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Tolerated excess of an attempt's budget over its client's remaining time.
pub const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// An attempt may begin up to this long after its client closed the connection.
pub const CLOSE_SLACK: Duration = Duration::from_millis(100);

/// A request whose last byte has been written by its client.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: Instant,
    budget: Duration,
    /// When its client closed the connection, if that was before the response.
    left: Option<Instant>,
}

/// An attempt whose last byte has reached its executor.
#[derive(Clone, Debug)]
struct ReceivedAttempt {
    call: String,
    server: &'static str,
    at: Instant,
    budget: Duration,
    may_have_run: bool,
}

#[derive(Default)]
pub struct Checker {
    sent: Mutex<HashMap<String, SentRequest>>,
    received: Mutex<Vec<ReceivedAttempt>>,
}

/// An attempt whose budget exceeded its client's remaining time.
#[derive(Clone, Debug, PartialEq)]
pub struct OverstatedBudget {
    pub call: String,
    pub server: &'static str,
    /// Number of the attempt within its request, from 1.
    pub number: usize,
    pub excess: Duration,
}

impl Checker {
    /// Records that the client has just written the last byte, the latest moment that its budget can count from.
    pub fn sent(&self, call: &str, budget: Duration) {
        let sent = SentRequest { at: Instant::now(), budget, left: None };
        self.sent.lock().expect("poisoned lock").insert(call.to_owned(), sent);
    }

    /// Records that the client has just closed its connection without waiting for the response.
    pub fn left(&self, call: &str) {
        if let Some(sent) = self.sent.lock().expect("poisoned lock").get_mut(call) {
            sent.left = Some(Instant::now());
        }
    }

    /// Records an attempt whose last byte arrived at `at`.
    pub fn received(&self, call: &str, server: &'static str, at: Instant, budget: Duration) {
        let attempt = ReceivedAttempt { call: call.to_owned(), server, at, budget, may_have_run: false };
        self.received.lock().expect("poisoned lock").push(attempt);
    }

    /// Records that the newest attempt of a request at a server may have had an effect.
    pub fn may_have_run(&self, call: &str, server: &str) {
        let mut received = self.received.lock().expect("poisoned lock");
        let newest =
            received.iter_mut().rev().find(|attempt| attempt.call == call && attempt.server == server);
        newest.into_iter().for_each(|attempt| attempt.may_have_run = true);
    }

    /// Returns the requests selected by `counts` of which more than one attempt may have had an effect.
    pub fn executed_twice(&self, counts: impl Fn(&str) -> bool) -> Vec<String> {
        let received = self.received.lock().expect("poisoned lock");
        let mut ran: HashMap<&str, usize> = HashMap::new();
        let may_have_run = received.iter().filter(|attempt| attempt.may_have_run && counts(&attempt.call));
        may_have_run.for_each(|received| *ran.entry(&received.call).or_default() += 1);
        ran.into_iter().filter(|ran| ran.1 > 1).map(|ran| ran.0.to_owned()).collect()
    }

    /// Returns the attempts that began too long after their client had closed its connection, and how long after.
    pub fn begun_after_close(&self) -> Vec<(String, Duration)> {
        let (sent, received) =
            (self.sent.lock().expect("poisoned lock"), self.received.lock().expect("poisoned lock"));
        let late = |received: &ReceivedAttempt| {
            let left = sent.get(&received.call)?.left?;
            Some((received.call.clone(), received.at.saturating_duration_since(left)))
        };
        received.iter().filter_map(late).filter(|late| late.1 > CLOSE_SLACK).collect()
    }

    /// Number of attempts of a request that have been received.
    pub fn attempts_of(&self, call: &str) -> usize {
        self.received.lock().expect("poisoned lock").iter().filter(|attempt| attempt.call == call).count()
    }

    pub fn attempts(&self) -> usize {
        self.received.lock().expect("poisoned lock").len()
    }

    /// Number of attempts that a server has received since `from`.
    pub fn attempts_at(&self, server: &str, from: Instant) -> usize {
        let received = self.received.lock().expect("poisoned lock");
        received.iter().filter(|attempt| attempt.server == server && attempt.at >= from).count()
    }

    /// Returns the attempts whose budget was too large, the largest excess first.
    pub fn overstated_budgets(&self) -> Vec<OverstatedBudget> {
        let (sent, received) =
            (self.sent.lock().expect("poisoned lock"), self.received.lock().expect("poisoned lock"));
        let mut numbers: HashMap<&str, usize> = HashMap::new();
        let mut overstated = Vec::new();
        for received in received.iter() {
            let number = numbers.entry(&received.call).or_default();
            *number += 1;
            let Some(sent) = sent.get(&received.call) else { continue };
            let left = (sent.at + sent.budget).saturating_duration_since(received.at);
            let excess = received.budget.saturating_sub(left);
            if excess > DEADLINE_SLACK {
                let (call, server, number) = (received.call.clone(), received.server, *number);
                overstated.push(OverstatedBudget { call, server, number, excess });
            }
        }
        overstated.sort_by_key(|overstated| std::cmp::Reverse(overstated.excess));
        overstated
    }
}

/// Returns when the newest byte arrived on the connection, by the kernel's record: the reading thread may be scheduled late.
pub fn newest_byte(stream: &TcpStream) -> Instant {
    // SAFETY: the structure has only integer fields, for which zero is valid.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut size = std::mem::size_of_val(&info) as libc::socklen_t;
    // SAFETY: writes at most `size` bytes of the structure.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &mut size,
        )
    };
    let age = if result == 0 { info.tcpi_last_data_recv } else { 0 };
    Instant::now().checked_sub(Duration::from_millis(u64::from(age))).unwrap_or_else(Instant::now)
}
