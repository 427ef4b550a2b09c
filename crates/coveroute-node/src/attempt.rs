//! Attempt: one try of a request at an executor, from the decision to its last byte, and what it told the executor of
//! the time that the client has left.
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coveroute::types::InvId;
use log::debug;

use crate::clock::seconds;
use crate::guest::Guest;

/// By when the node answers a request: a little before its client stops waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline(Instant);

impl Deadline {
    /// One that is so many seconds away.
    pub fn within(left: f64) -> Self {
        Deadline(Instant::now() + seconds(left))
    }

    pub fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }
}

/// How far the bytes of an attempt are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Progress {
    /// It waits for its connection: no byte has been asked for.
    #[default]
    Waiting,
    Begun,
    /// Its end was asked for: what came before is then written.
    Ended,
}

/// Counts of attempts since the process began.
#[derive(Debug, Default)]
pub struct AttemptCounts {
    written: Cell<u64>,
    overstated: Cell<u64>,
    longest_excess: Cell<Duration>,
    client_left: Cell<u64>,
    no_connection: Cell<u64>,
}

/// What operators are shown of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptFigures {
    /// Attempts whose last byte was written.
    pub written: u64,
    /// Of these, such that told their executor more than was left by then, and by how many seconds at most.
    pub overstated: u64,
    pub longest_excess: f64,
    /// Attempts that were decided on and not begun, as the client had left, or for want of a connection.
    pub client_left: u64,
    pub no_connection: u64,
}

fn add_one(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl AttemptCounts {
    pub fn client_left(&self) {
        add_one(&self.client_left);
    }

    pub fn no_connection(&self) {
        add_one(&self.no_connection);
    }

    fn wrote(&self, excess: Duration) {
        add_one(&self.written);
        if !excess.is_zero() {
            add_one(&self.overstated);
        }
        self.longest_excess.set(self.longest_excess.get().max(excess));
    }

    pub fn figures(&self) -> AttemptFigures {
        AttemptFigures {
            written: self.written.get(),
            overstated: self.overstated.get(),
            longest_excess: self.longest_excess.get().as_secs_f64(),
            client_left: self.client_left.get(),
            no_connection: self.no_connection.get(),
        }
    }
}

pub struct Attempt {
    id: InvId,
    number: usize,
    decided: Instant,
    deadline: Deadline,
    told: Cell<Duration>,
    progress: Cell<Progress>,
    client: Option<Rc<Guest>>,
    counts: Rc<AttemptCounts>,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "forward {} of {}", self.number, self.id)
    }
}

impl Attempt {
    pub fn new(
        (id, number): (InvId, usize),
        deadline: Deadline,
        client: Option<Rc<Guest>>,
        counts: Rc<AttemptCounts>,
    ) -> Self {
        let (decided, told, progress) = (Instant::now(), Cell::default(), Cell::default());
        Attempt { id, number, decided, deadline, told, progress, client, counts }
    }

    pub fn client(&self) -> Option<&Rc<Guest>> {
        self.client.as_ref()
    }

    /// Whether its client is known to have closed its connection.
    pub fn client_has_left(&self) -> bool {
        self.client.iter().any(|client| client.has_left())
    }

    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    pub fn moves_on(&self, progress: Progress) {
        self.progress.set(progress);
    }

    /// The time that the executor is told.
    pub fn tells(&self) -> Duration {
        let told = self.deadline.left(self.decided);
        self.told.set(told);
        told
    }

    /// Its last byte is written.
    pub fn is_written(&self) {
        let now = Instant::now();
        let (told, left) = (self.told.get(), self.deadline.left(now));
        let took = now.saturating_duration_since(self.decided);
        debug!("{self} told {told:.3?}, {left:.3?} were left when its last byte was written, {took:.3?} after the decision");
        self.counts.wrote(told.saturating_sub(left));
    }
}
