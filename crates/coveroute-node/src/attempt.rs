//! Attempt: one try of a request at an executor, and the one place that decides whether its bytes may go: when it is begun, and again
//! at each write. What was read from the clock before a connection came up, or before the kernel had room, counts no more by then.
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coveroute::types::InvId;
use coveroute_engine::ANSWER_TAKES;
use log::{debug, warn};

use crate::clock::seconds;
use crate::guest::Guest;
use crate::socket::Socket;

mod counts;
use counts::add_one;
pub use counts::{AttemptCounts, AttemptFigures};

tokio::task_local! {
    /// The attempt whose exchange is being driven.
    static CURRENT: Rc<Attempt>;
}

/// The times that bind an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// The node answers by then: a little before the client stops waiting.
    answer_by: Instant,
    /// What the attempt was decided by holds until then.
    write_until: Instant,
}

impl Deadline {
    pub fn at(answer_by: Instant, write_until: Instant) -> Self {
        Deadline { answer_by, write_until }
    }

    /// What the node has left.
    fn left(self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }

    /// What the client has left.
    fn client_left(self, now: Instant) -> Duration {
        (self.answer_by + seconds(ANSWER_TAKES)).saturating_duration_since(now)
    }
}

/// Why an attempt is not begun, or does not go on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    ClientLeft,
    /// The client's time is over.
    TimeOver,
    /// What it was decided by does not hold any more: the window for repeats, or the list of executors.
    TooLate,
    /// The executor would be told more than the client has left.
    ToldTooMuch,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Refusal::ClientLeft => "its client has left",
            Refusal::TimeOver => "its client's time is over",
            Refusal::TooLate => "what it was decided by holds no more",
            Refusal::ToldTooMuch => "it would tell more time than its client has left",
        })
    }
}

impl std::error::Error for Refusal {}

impl From<Refusal> for io::Error {
    fn from(refusal: Refusal) -> io::Error {
        io::Error::other(refusal)
    }
}

/// How far the bytes of an attempt are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Progress {
    /// None is written.
    #[default]
    Waiting,
    Begun,
    /// All are written.
    Written,
}

pub struct Attempt {
    id: InvId,
    number: usize,
    decided: Instant,
    deadline: Deadline,
    client: Option<Rc<Guest>>,
    counts: Rc<AttemptCounts>,
    told: Cell<Duration>,
    progress: Cell<Progress>,
    /// Its end has been asked for: there is nothing to write beyond what is in hand.
    is_whole: Cell<bool>,
    /// All that was in hand at the last write went out.
    is_drained: Cell<bool>,
    refusal: Cell<Option<Refusal>>,
    /// A connection that came up for it too late for what it would have told.
    connected: Cell<Option<Socket>>,
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
        Attempt {
            id,
            number,
            decided: Instant::now(),
            deadline,
            client,
            counts,
            told: Cell::default(),
            progress: Cell::default(),
            is_whole: Cell::default(),
            is_drained: Cell::default(),
            refusal: Cell::default(),
            connected: Cell::default(),
        }
    }

    /// The one whose exchange is being driven, if one is.
    pub fn current() -> Option<Rc<Attempt>> {
        CURRENT.try_with(Rc::clone).ok()
    }

    /// Drives an exchange as this attempt's.
    pub async fn drives<T>(self: &Rc<Self>, exchange: impl Future<Output = T>) -> T {
        CURRENT.scope(self.clone(), exchange).await
    }

    pub fn client(&self) -> Option<&Rc<Guest>> {
        self.client.as_ref()
    }

    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Begins it, or begins it anew: the time that the executor is told, as it is now.
    pub fn begins(&self) -> Result<Duration, Refusal> {
        let left = self.deadline.left(Instant::now());
        self.told.set(left);
        self.is_whole.set(false);
        self.refusal.set(None);
        match left.is_zero() {
            true => Err(self.refuses(Refusal::TimeOver)),
            false => self.decision_holds().map(|()| left),
        }
    }

    /// Whether a byte may be written now. The kernel is asked whether the client has left: an executor begins with the last byte.
    pub fn permits(&self) -> Result<(), Refusal> {
        if self.client.iter().any(|client| client.has_left()) {
            return Err(self.refuses(Refusal::ClientLeft));
        }
        self.decision_holds()?;
        self.told_holds()
    }

    fn decision_holds(&self) -> Result<(), Refusal> {
        match Instant::now() > self.deadline.write_until {
            true => Err(self.refuses(Refusal::TooLate)),
            false => Ok(()),
        }
    }

    /// Whether what the executor is told is still no more than what the client has left.
    pub fn told_holds(&self) -> Result<(), Refusal> {
        match self.told.get() > self.deadline.client_left(Instant::now()) {
            true => Err(self.refuses(Refusal::ToldTooMuch)),
            false => Ok(()),
        }
    }

    /// Until when a byte may be written, as far as that is known.
    pub fn permits_until(&self) -> Instant {
        let client_left = self.deadline.client_left(self.decided);
        let told_holds_until = self.decided + client_left.saturating_sub(self.told.get());
        told_holds_until.min(self.deadline.write_until)
    }

    fn refuses(&self, refusal: Refusal) -> Refusal {
        debug!("{self} is refused, {:?}: {refusal}", self.progress.get());
        let count = match (refusal, self.progress.get()) {
            (Refusal::ClientLeft, _) => &self.counts.client_left,
            (Refusal::TimeOver, _) => &self.counts.time_over,
            (Refusal::TooLate, _) => &self.counts.too_late,
            (Refusal::ToldTooMuch, Progress::Waiting) => &self.counts.told_anew,
            (Refusal::ToldTooMuch, _) => &self.counts.broken_off,
        };
        add_one(count);
        self.refusal.set(Some(refusal));
        refusal
    }

    /// This machine could open no connection for it.
    pub fn has_no_connection(&self, why: &dyn fmt::Display) {
        debug!("{self} is not begun: {why}");
        self.counts.no_connection();
    }

    /// Why it was refused, since it last began.
    pub fn refusal(&self) -> Option<Refusal> {
        self.refusal.get()
    }

    /// Keeps a connection until it is begun anew.
    pub fn keeps(&self, connected: Socket) {
        self.connected.set(Some(connected));
    }

    pub fn kept(&self) -> Option<Socket> {
        self.connected.take()
    }

    /// There is nothing to write beyond what is in hand.
    pub fn body_ended(&self) {
        self.is_whole.set(true);
        if self.progress.get() == Progress::Begun && self.is_drained.get() {
            self.completed();
        }
    }

    /// So many of the bytes in hand are written.
    pub fn wrote(&self, many: usize, in_hand: usize) {
        self.is_drained.set(many == in_hand);
        if many > 0 && self.progress.get() == Progress::Waiting {
            self.progress.set(Progress::Begun);
        }
        if self.is_whole.get() && self.is_drained.get() {
            self.completed();
        }
    }

    /// Its last byte is written: checks what it told once more. The node may have been held up in between.
    fn completed(&self) {
        self.progress.set(Progress::Written);
        let now = Instant::now();
        let (told, client_left) = (self.told.get(), self.deadline.client_left(now));
        let took = now.saturating_duration_since(self.decided);
        debug!("{self} told {told:.3?}, its client had {client_left:.3?} when its last byte was written, {took:.3?} after the decision");
        add_one(&self.counts.written);
        let excess = told.saturating_sub(client_left);
        if !excess.is_zero() {
            warn!("{self} told {excess:.3?} more than its client had left: the node was held up");
            add_one(&self.counts.overstated);
            self.counts.longest_excess.set(self.counts.longest_excess.get().max(excess));
        }
    }
}
