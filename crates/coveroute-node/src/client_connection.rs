//! Client connection: the state of one accepted client connection.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd, RawFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coveroute::types::InvocationId;
use nix::libc;
use tokio::sync::{oneshot, Notify};

use crate::answer::Answer;
use crate::arrival::newest_byte_age;
use crate::held_bytes::HeldBytes;

/// Where a connection stands in the request cycle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionState {
    /// No byte has arrived yet.
    Connected,
    /// A request has begun to arrive and is incomplete.
    ReadingRequest,
    /// The request is complete; its response is pending.
    AwaitingAnswer,
    /// The last request has been answered.
    Idle,
}

/// A connection's eviction class. Lower values are closed first to make room for new connections.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum EvictionClass {
    /// Exceeded the time limit for sending a request.
    TimedOut,
    /// Has not completed a request yet.
    NoRequest,
    /// Idle after an answered request.
    Idle,
    /// A response is pending or was sent only just now: not evicted.
    Protected,
}

/// Time limit from connecting, or from a request's first byte, to its last byte: many times what a
/// well-behaved client needs for 64 KiB on a busy core, and within the three seconds in which every client
/// that is not served must be answered or disconnected.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// Minimum idle time before a connection may be closed in favor of another. By then its last response has
/// been sent, and a client that has just connected has had time to send a request.
const MIN_IDLE: Duration = Duration::from_millis(250);

/// The state of one accepted client connection.
pub struct ClientConnection {
    state: Cell<ConnectionState>,
    /// When the connection entered this state; a request counts from connecting if it is the first.
    since: Cell<Instant>,
    /// When the newest byte from the client arrived.
    newest_arrival: Cell<Instant>,
    /// Since when the connection may have been waiting to be accepted; cleared by the first read.
    accept_wait_since: Cell<Option<Instant>>,
    /// The connection's socket; `None` once it is closed.
    socket: Cell<Option<RawFd>>,
    /// The pending job.
    job: Cell<Option<InvocationId>>,
    /// Bytes that were received and not passed to the parser yet.
    unparsed: Cell<usize>,
    /// The count of these bytes over all connections.
    held_bytes: Rc<HeldBytes>,
    /// The answer to a request waits for the driver: no further request is passed to the parser.
    is_paused: Cell<bool>,
    /// Received bytes were discarded: the connection can't be reused after the response.
    has_overrun: Cell<bool>,
    /// A response is only partly written.
    is_write_pending: Cell<bool>,
    /// The connection was handed over to another process.
    is_handed_over: Cell<bool>,
    /// Asks the task that serves the connection to close it.
    pub close: Notify,
}

/// The client that waits for a job's answer.
pub struct Client {
    pub answer: oneshot::Sender<Answer>,
    /// `None` when no connection belongs to the job.
    pub connection: Option<Rc<ClientConnection>>,
}

/// All open client connections of a [`crate::server::ClientServer`], by peer address.
pub type ClientConnections = Rc<RefCell<BTreeMap<SocketAddr, Rc<ClientConnection>>>>;

/// How a connection can be handed over to another process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Handover {
    Idle,
    Waiting(InvocationId),
}

impl ClientConnection {
    pub fn new(socket: RawFd, held_bytes: Rc<HeldBytes>) -> Self {
        let now = Instant::now();
        let (state, since, job) = (Cell::new(ConnectionState::Connected), Cell::new(now), Cell::new(None));
        let (newest_arrival, accept_wait_since) = (Cell::new(now), Cell::new(None));
        let (is_write_pending, is_handed_over) = (Cell::new(false), Cell::new(false));
        let (unparsed, has_overrun, socket) = (Cell::new(0), Cell::new(false), Cell::new(Some(socket)));
        ClientConnection {
            state,
            since,
            newest_arrival,
            accept_wait_since,
            socket,
            job,
            unparsed,
            held_bytes,
            is_paused: Cell::new(false),
            has_overrun,
            is_write_pending,
            is_handed_over,
            close: Notify::new(),
        }
    }

    /// Records since when the connection may have been waiting to be accepted.
    pub fn accept_wait_since(self, since: Option<Instant>) -> Self {
        self.accept_wait_since.set(since);
        self
    }

    /// A connection that has been in the given state for the given time.
    #[cfg(test)]
    pub fn with_age(state: ConnectionState, age: Duration) -> Self {
        let since = Instant::now().checked_sub(age).expect("a machine that is up for longer");
        let connection = ClientConnection::new(-1, HeldBytes::unlimited());
        connection.set_closed();
        connection.state.set(state);
        connection.since.set(since);
        connection
    }

    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    pub fn since(&self) -> Instant {
        self.since.get()
    }

    pub fn idle_for(&self, least: Duration) -> bool {
        !self.is_busy() && self.state() != ConnectionState::AwaitingAnswer && self.since().elapsed() >= least
    }

    /// Whether a request is being received or answered at once, or a response being written. The node must not
    /// stop in between: the request's last byte may be in the next read, and then the request counts as accepted.
    pub fn is_busy(&self) -> bool {
        self.state() == ConnectionState::ReadingRequest || self.is_paused.get() || self.is_write_pending.get()
    }

    pub fn eviction_class(&self) -> EvictionClass {
        let stood = self.since().elapsed();
        match self.state() {
            ConnectionState::Connected | ConnectionState::ReadingRequest if stood >= REQUEST_TIMEOUT => {
                EvictionClass::TimedOut
            }
            ConnectionState::Connected | ConnectionState::ReadingRequest if stood >= MIN_IDLE => {
                EvictionClass::NoRequest
            }
            ConnectionState::Idle if stood >= MIN_IDLE => EvictionClass::Idle,
            _ => EvictionClass::Protected,
        }
    }

    /// Whether the connection can carry further requests.
    pub fn is_reusable(&self) -> bool {
        !self.has_overrun.get()
    }

    /// When the newest byte arrived. A request's time budget counts from its last byte.
    pub fn newest_arrival(&self) -> Instant {
        self.newest_arrival.get()
    }

    /// When the newest unread byte arrived: as the kernel reports it, or else the earliest time at which the
    /// connection may have begun to wait to be accepted.
    pub fn newest_byte_time(&self) -> Instant {
        let (now, accept_wait_since) = (Instant::now(), self.accept_wait_since.take());
        let age = self.socket.get().and_then(newest_byte_age);
        age.and_then(|age| now.checked_sub(age)).or(accept_wait_since).unwrap_or(now)
    }

    /// Records that bytes were received, the newest of which arrived at the given time.
    pub fn set_newest_arrival(&self, newest_arrival: Instant) {
        self.newest_arrival.set(newest_arrival);
    }

    /// Records how many received bytes have not been passed to the parser yet.
    pub fn set_unparsed(&self, count: usize) {
        self.held_bytes.update(self.unparsed.replace(count), count);
    }

    /// How many such bytes the connection may hold while a request is pending.
    pub fn max_held(&self) -> usize {
        self.held_bytes.max_of_connection()
    }

    /// Bytes were passed to the parser. On a new connection the request time limit runs from connecting: sending a
    /// few bytes does not restart it.
    pub fn bytes_passed(&self) {
        match self.state() {
            ConnectionState::Connected => self.state.set(ConnectionState::ReadingRequest),
            ConnectionState::Idle => self.enter(ConnectionState::ReadingRequest),
            ConnectionState::ReadingRequest | ConnectionState::AwaitingAnswer => {}
        }
    }

    /// Sets whether further requests are held back while the answer to one waits for the driver.
    pub fn set_paused(&self, paused: bool) {
        self.is_paused.set(paused);
    }

    /// Whether further requests are held back, because one is not answered yet.
    pub fn holds_back(&self) -> bool {
        self.is_paused.get() || self.state() == ConnectionState::AwaitingAnswer
    }

    /// A complete request has arrived.
    pub fn set_waiting(&self) {
        self.enter(ConnectionState::AwaitingAnswer);
    }

    /// Sets the id of the pending job.
    pub fn set_job(&self, id: InvocationId) {
        self.job.set(Some(id));
    }

    /// Whether and how the connection can be handed over now: only if nothing received is unparsed and every
    /// response is completely written.
    pub fn handover(&self) -> Option<Handover> {
        match (self.state(), self.job.get()) {
            _ if self.unparsed.get() > 0 || self.has_overrun.get() => None,
            _ if self.is_paused.get() => None,
            _ if self.is_write_pending.get() || self.is_handed_over.get() => None,
            (ConnectionState::AwaitingAnswer, Some(id)) => Some(Handover::Waiting(id)),
            (ConnectionState::Connected | ConnectionState::Idle, _) => Some(Handover::Idle),
            (ConnectionState::AwaitingAnswer | ConnectionState::ReadingRequest, _) => None,
        }
    }

    /// Marks the connection as handed over: the task that serves it here ends before it reads again.
    pub fn set_handed_over(&self) {
        self.is_handed_over.set(true);
        self.close.notify_one();
    }

    /// Duplicates the connection's socket.
    pub fn socket(&self) -> io::Result<OwnedFd> {
        let socket = self.socket.get().ok_or(io::ErrorKind::NotConnected)?;
        // SAFETY: `set_closed` is called before the socket is closed, so the descriptor is still open here.
        unsafe { BorrowedFd::borrow_raw(socket) }.try_clone_to_owned()
    }

    /// Bytes in the kernel's receive buffer.
    pub fn unread(&self) -> usize {
        let mut count: libc::c_int = 0;
        // SAFETY: writes one integer; an invalid descriptor is reported as an error.
        let result = unsafe { libc::ioctl(self.socket.get().unwrap_or(-1), libc::FIONREAD, &mut count) };
        if result == 0 {
            count as usize
        } else {
            0
        }
    }

    /// Records that received bytes are discarded: the connection can't be reused after the response, here or
    /// in another process.
    pub fn set_overrun(&self) {
        self.has_overrun.set(true);
    }

    /// The socket is about to be closed, or now belongs to another `ClientConnection`.
    pub fn set_closed(&self) {
        self.socket.set(None);
    }

    /// Whether the client has closed the connection or its sending half, even behind unread bytes. Asks the
    /// kernel, since a busy node would see the event only after those that were queued before it.
    pub fn has_disconnected(&self) -> bool {
        let Some(fd) = self.socket.get() else { return true };
        let mut look = libc::pollfd { fd, events: libc::POLLRDHUP, revents: 0 };
        // SAFETY: passes one record that outlives the call; a timeout of 0 does not block.
        unsafe { libc::poll(&mut look, 1, 0) > 0 }
    }

    /// The pending request has been answered.
    pub fn set_answered(&self) {
        self.job.set(None);
        self.enter(ConnectionState::Idle);
    }

    /// Records whether a response is only partly written.
    pub fn set_write_pending(&self, pending: bool) {
        self.is_write_pending.set(pending);
    }

    fn enter(&self, state: ConnectionState) {
        self.state.set(state);
        self.since.set(Instant::now());
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.set_unparsed(0);
    }
}
