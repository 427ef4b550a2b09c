//! Attempt: one attempt to run a request at an executor. It alone decides whether the request's bytes may be
//! sent, when the attempt begins and again at each write: clock readings from before a connection was
//! established or before the kernel had buffer space are out of date by then.
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coveroute::types::InvocationId;
use coveroute_engine::ANSWER_RESERVE;
use log::{debug, warn};

use crate::client_connection::ClientConnection;
use crate::clock::seconds;
use crate::socket::Socket;

mod counts;
use counts::increment;
pub use counts::{AttemptCounts, AttemptFigures};

tokio::task_local! {
    /// The attempt whose exchange is being polled.
    static CURRENT: Rc<Attempt>;
}

/// The time limits of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// The node answers by this time, a little before the client stops waiting.
    answer_by: Instant,
    /// The information behind the decision to send the attempt is valid until this time.
    write_until: Instant,
}

impl Deadline {
    pub fn new(answer_by: Instant, write_until: Instant) -> Self {
        Deadline { answer_by, write_until }
    }

    /// The time that the node has left.
    fn node_left(self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }

    /// The time that the client has left.
    fn client_left(self, now: Instant) -> Duration {
        (self.answer_by + seconds(ANSWER_RESERVE)).saturating_duration_since(now)
    }
}

/// Why an attempt is not begun or not continued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    ClientDisconnected,
    /// The client's time budget is used up.
    DeadlineExceeded,
    /// The information behind the decision has expired: the window for repeats, or the list of executors.
    DecisionExpired,
    /// The executor would be told a larger time budget than the client has left.
    BudgetOverstated,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Refusal::ClientDisconnected => "the client has disconnected",
            Refusal::DeadlineExceeded => "the client's time budget is used up",
            Refusal::DecisionExpired => "the decision to send it has expired",
            Refusal::BudgetOverstated => "the time budget in the request exceeds what the client has left",
        })
    }
}

impl std::error::Error for Refusal {}

impl From<Refusal> for io::Error {
    fn from(refusal: Refusal) -> io::Error {
        io::Error::other(refusal)
    }
}

/// How much of an attempt's request has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Progress {
    /// Nothing.
    #[default]
    Waiting,
    /// At least one byte, but not all of them.
    Begun,
    /// Everything.
    Written,
}

/// One attempt of an invocation at an executor.
pub struct Attempt {
    id: InvocationId,
    number: usize,
    /// When the attempt was decided on.
    decided: Instant,
    deadline: Deadline,
    client: Option<Rc<ClientConnection>>,
    counts: Rc<AttemptCounts>,
    /// The time budget stated in the request.
    budget_told: Cell<Duration>,
    progress: Cell<Progress>,
    /// The sender has read the body to its end: nothing follows the bytes in its buffer.
    is_body_ended: Cell<bool>,
    /// The last write took all bytes in the buffer.
    is_buffer_written: Cell<bool>,
    refusal: Cell<Option<Refusal>>,
    /// A connection that was established too late for the time budget in the request; reused when the attempt
    /// begins again.
    kept_connection: Cell<Option<Socket>>,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "forward {} of {}", self.number, self.id)
    }
}

impl Attempt {
    pub fn new(
        (id, number): (InvocationId, usize),
        deadline: Deadline,
        client: Option<Rc<ClientConnection>>,
        counts: Rc<AttemptCounts>,
    ) -> Self {
        Attempt {
            id,
            number,
            decided: Instant::now(),
            deadline,
            client,
            counts,
            budget_told: Cell::default(),
            progress: Cell::default(),
            is_body_ended: Cell::default(),
            is_buffer_written: Cell::default(),
            refusal: Cell::default(),
            kept_connection: Cell::default(),
        }
    }

    /// The attempt whose exchange is being polled, if any.
    pub fn current() -> Option<Rc<Attempt>> {
        CURRENT.try_with(Rc::clone).ok()
    }

    /// Runs an exchange with this attempt as the current one.
    pub async fn run_exchange<T>(self: &Rc<Self>, exchange: impl Future<Output = T>) -> T {
        CURRENT.scope(self.clone(), exchange).await
    }

    pub fn client(&self) -> Option<&Rc<ClientConnection>> {
        self.client.as_ref()
    }

    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Begins the attempt, or begins it again. Returns the time budget to state in the request.
    pub fn begin(&self) -> Result<Duration, Refusal> {
        let left = self.deadline.node_left(Instant::now());
        self.budget_told.set(left);
        self.is_body_ended.set(false);
        self.refusal.set(None);
        match left.is_zero() {
            true => Err(self.refuse(Refusal::DeadlineExceeded)),
            false => self.check_decision().map(|()| left),
        }
    }

    /// Checks whether a byte may be written now. Asks the kernel whether the client has disconnected, since
    /// the executor begins the job once it has the last byte.
    pub fn check_write(&self) -> Result<(), Refusal> {
        if self.client.iter().any(|client| client.has_disconnected()) {
            return Err(self.refuse(Refusal::ClientDisconnected));
        }
        self.check_decision()?;
        self.check_budget()
    }

    fn check_decision(&self) -> Result<(), Refusal> {
        match Instant::now() > self.deadline.write_until {
            true => Err(self.refuse(Refusal::DecisionExpired)),
            false => Ok(()),
        }
    }

    /// Checks that the time budget in the request still does not exceed what the client has left.
    pub fn check_budget(&self) -> Result<(), Refusal> {
        match self.budget_told.get() > self.deadline.client_left(Instant::now()) {
            true => Err(self.refuse(Refusal::BudgetOverstated)),
            false => Ok(()),
        }
    }

    /// Until when bytes may be written, as far as the time limits determine it.
    pub fn write_until(&self) -> Instant {
        let client_left = self.deadline.client_left(self.decided);
        let budget_valid_until = self.decided + client_left.saturating_sub(self.budget_told.get());
        budget_valid_until.min(self.deadline.write_until)
    }

    fn refuse(&self, refusal: Refusal) -> Refusal {
        debug!("{self} stopped, {:?}: {refusal}", self.progress.get());
        let count = match (refusal, self.progress.get()) {
            (Refusal::ClientDisconnected, _) => &self.counts.client_left,
            (Refusal::DeadlineExceeded, _) => &self.counts.time_over,
            (Refusal::DecisionExpired, _) => &self.counts.too_late,
            (Refusal::BudgetOverstated, Progress::Waiting) => &self.counts.told_anew,
            (Refusal::BudgetOverstated, _) => &self.counts.broken_off,
        };
        increment(count);
        self.refusal.set(Some(refusal));
        refusal
    }

    /// Records that this machine failed to open a connection for the attempt.
    pub fn note_no_connection(&self, why: &dyn fmt::Display) {
        debug!("{self} not started: {why}");
        self.counts.count_no_connection();
    }

    /// Why the attempt was refused since it last began, if it was.
    pub fn refusal(&self) -> Option<Refusal> {
        self.refusal.get()
    }

    /// Keeps a connection for when the attempt begins again.
    pub fn keep_connection(&self, connection: Socket) {
        self.kept_connection.set(Some(connection));
    }

    pub fn take_connection(&self) -> Option<Socket> {
        self.kept_connection.take()
    }

    /// The sender has read the body to its end.
    pub fn body_ended(&self) {
        self.is_body_ended.set(true);
        if self.progress.get() == Progress::Begun && self.is_buffer_written.get() {
            self.completed();
        }
    }

    /// Records that `count` of the `buffered` bytes were written.
    pub fn bytes_written(&self, count: usize, buffered: usize) {
        self.is_buffer_written.set(count == buffered);
        if count > 0 && self.progress.get() == Progress::Waiting {
            self.progress.set(Progress::Begun);
        }
        if self.is_body_ended.get() && self.is_buffer_written.get() {
            self.completed();
        }
    }

    /// The last byte has been written: checks the stated time budget once more, as the node may have been
    /// delayed between the previous check and the write.
    fn completed(&self) {
        self.progress.set(Progress::Written);
        let now = Instant::now();
        let (stated, client_left) = (self.budget_told.get(), self.deadline.client_left(now));
        let took = now.saturating_duration_since(self.decided);
        debug!("{self} written {took:.3?} after the decision: stated a budget of {stated:.3?}, client had {client_left:.3?} left");
        increment(&self.counts.written);
        let excess = stated.saturating_sub(client_left);
        if !excess.is_zero() {
            warn!(
                "{self} stated a budget {excess:.3?} larger than the client had left: the node was delayed"
            );
            increment(&self.counts.overstated);
            self.counts.longest_excess.set(self.counts.longest_excess.get().max(excess));
        }
    }
}
