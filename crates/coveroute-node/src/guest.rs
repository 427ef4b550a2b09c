//! A guest: one accepted connection, what it does now and since when, and the stream that notes what it says.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd, RawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use coveroute::types::InvId;
use nix::libc;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{oneshot, Notify};

use crate::arrival::newest_byte_age;
use crate::relay::Answer;
use crate::socket::Socket;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Doing {
    /// Has connected, and said nothing.
    Silent,
    /// A request has begun and is not whole.
    Asking,
    /// Waits for its answer.
    Waiting,
    /// Has had its answer.
    Resting,
}

/// What may become of a guest, in the order in which they lose their places to others.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Claim {
    /// Has had its time to say what it wants.
    Overdue,
    /// Has not asked for anything yet.
    None,
    Rested,
    /// An answer is owed, or has only just left.
    Owed,
}

/// From connecting, or from a request's first byte, to its last: many times what an honest client's 64 KiB
/// take on a busy core, and inside the three seconds in which whoever is not served is told or closed.
const ASKS_WITHIN: Duration = Duration::from_millis(2200);
/// A connection that has stood idle for so long may be closed for another: its last answer has long left by
/// then, and a client that has only just connected has had time to say what it wants.
const IDLE_AT_LEAST: Duration = Duration::from_millis(250);

/// How much a client may have said beyond what it is answered for: a whole further request, its head and its body. The
/// server's library keeps 128 KiB, and once it holds that many it neither reads on nor waits, but spends the core.
const SAID_MOST: usize = 96 * 1024;
/// Read at a time, so that what is held stays under that.
const READ_MOST: usize = 16 * 1024;
/// Of what comes in one breath this much is looked at before more is read: a whole request may stand in it.
const BREATH: usize = 64 * 1024;

/// What becomes of bytes that could be read now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Hears {
    Reads,
    /// First what has come is looked at.
    Looks,
    /// It has said too much while it waits: only whether it stays is listened for.
    Drops,
}

pub struct Guest {
    doing: Cell<Doing>,
    since: Cell<Instant>,
    /// When the newest byte that it has said came.
    arrived: Cell<Instant>,
    /// Since when it may have waited to be accepted, until its first read.
    waited_since: Cell<Option<Instant>>,
    /// Its socket, until that is closed.
    socket: Cell<Option<RawFd>>,
    /// The job that it waits for.
    job: Cell<Option<InvId>>,
    /// More came while it waited, and stands in the server's buffer.
    ahead: Cell<bool>,
    /// How much has been read since it last had an answer, and how much of that when it was last looked at.
    said: Cell<(usize, usize)>,
    /// Some of what it said was dropped: this connection can't go on after the answer.
    overran: Cell<bool>,
    /// Not all of an answer could be written yet.
    stuck: Cell<bool>,
    /// It is on its way to another process.
    gone: Cell<bool>,
    pub close: Notify,
}

/// Who waits for a job's answer.
pub struct Client {
    pub answer: oneshot::Sender<Answer>,
    /// None where nobody is connected.
    pub guest: Option<Rc<Guest>>,
}

/// All guests of a door, by their addresses.
pub type Guests = Rc<RefCell<BTreeMap<SocketAddr, Rc<Guest>>>>;

/// What of a guest may go to another process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Leaves {
    Idle,
    Waiting(InvId),
}

impl Guest {
    pub fn new(socket: RawFd) -> Self {
        let now = Instant::now();
        let (doing, since, job) = (Cell::new(Doing::Silent), Cell::new(now), Cell::new(None));
        let (arrived, waited_since) = (Cell::new(now), Cell::new(None));
        let (ahead, stuck, gone) = (Cell::new(false), Cell::new(false), Cell::new(false));
        let (said, overran, socket) = (Cell::new((0, 0)), Cell::new(false), Cell::new(Some(socket)));
        Guest {
            doing,
            since,
            arrived,
            waited_since,
            socket,
            job,
            ahead,
            said,
            overran,
            stuck,
            gone,
            close: Notify::new(),
        }
    }

    /// One that may have waited since then to be accepted.
    pub fn waited_since(self, since: Option<Instant>) -> Self {
        self.waited_since.set(since);
        self
    }

    #[cfg(test)]
    pub fn since_long(doing: Doing, age: Duration) -> Self {
        let since = Instant::now().checked_sub(age).expect("a machine that is up for longer");
        let guest = Guest::new(-1);
        guest.closed();
        guest.doing.set(doing);
        guest.since.set(since);
        guest
    }

    pub fn doing(&self) -> Doing {
        self.doing.get()
    }

    pub fn since(&self) -> Instant {
        self.since.get()
    }

    pub fn idle_for(&self, least: Duration) -> bool {
        !self.is_busy() && self.doing() != Doing::Waiting && self.since().elapsed() >= least
    }

    /// A request is on its way in, or an answer on its way out. Guards against a stop in between: the request's last
    /// byte may come with the very next breath, and then it counts as taken.
    pub fn is_busy(&self) -> bool {
        self.doing() == Doing::Asking || self.stuck.get()
    }

    pub fn claim(&self) -> Claim {
        let stood = self.since().elapsed();
        match self.doing() {
            Doing::Silent | Doing::Asking if stood >= ASKS_WITHIN => Claim::Overdue,
            Doing::Silent | Doing::Asking if stood >= IDLE_AT_LEAST => Claim::None,
            Doing::Resting if stood >= IDLE_AT_LEAST => Claim::Rested,
            _ => Claim::Owed,
        }
    }

    /// Guards against clients that say much and leave: their end stands behind it all, and has to be come to.
    fn hears(&self) -> Hears {
        let (said, looked) = self.said.get();
        match self.doing() {
            Doing::Waiting if said >= SAID_MOST => {
                self.overruns();
                Hears::Drops
            }
            Doing::Silent | Doing::Asking | Doing::Resting if said - looked >= BREATH => {
                self.said.set((said, said));
                Hears::Looks
            }
            _ => Hears::Reads,
        }
    }

    /// Whether more may be asked for on its connection.
    pub fn goes_on(&self) -> bool {
        !self.overran.get()
    }

    /// When the newest byte that it has said came. A request's time counts from its last byte.
    pub fn arrived(&self) -> Instant {
        self.arrived.get()
    }

    /// When the newest byte came that a read could bring now: by the kernel, else since it may have waited.
    fn newest_byte(&self) -> Instant {
        let (now, waited_since) = (Instant::now(), self.waited_since.take());
        let age = self.socket.get().and_then(newest_byte_age);
        age.and_then(|age| now.checked_sub(age)).or(waited_since).unwrap_or(now)
    }

    /// Bytes have come, the newest at that moment. One that has connected has its time from then on: saying a little does not renew it.
    fn heard(&self, many: usize, arrived: Instant) {
        self.arrived.set(arrived);
        let (said, looked) = self.said.get();
        self.said.set((said + many, looked));
        match self.doing() {
            Doing::Silent => self.doing.set(Doing::Asking),
            Doing::Resting => self.now(Doing::Asking),
            Doing::Asking => {}
            Doing::Waiting => self.ahead.set(true),
        }
    }

    pub fn waits(&self) {
        self.now(Doing::Waiting);
    }

    /// The job that it waits for has this id.
    pub fn waits_for(&self, id: InvId) {
        self.job.set(Some(id));
    }

    /// Whether it can go as it is: all that it said is known, and all that it was told is written.
    pub fn leaves(&self) -> Option<Leaves> {
        match (self.doing(), self.job.get()) {
            _ if self.ahead.get() || self.stuck.get() || self.gone.get() => None,
            (Doing::Waiting, Some(id)) => Some(Leaves::Waiting(id)),
            (Doing::Silent | Doing::Resting, _) => Some(Leaves::Idle),
            (Doing::Waiting | Doing::Asking, _) => None,
        }
    }

    /// It has gone to another process: what serves it here ends, before it reads on.
    pub fn goes(&self) {
        self.gone.set(true);
        self.close.notify_one();
    }

    /// Its socket, once more.
    pub fn socket(&self) -> io::Result<OwnedFd> {
        let socket = self.socket.get().ok_or(io::ErrorKind::NotConnected)?;
        // SAFETY: whoever closes it tells so first.
        unsafe { BorrowedFd::borrow_raw(socket) }.try_clone_to_owned()
    }

    /// How much the kernel holds that has not been read.
    pub fn unread(&self) -> usize {
        let mut many: libc::c_int = 0;
        // SAFETY: writes one number; a socket that is none is told as an error.
        let told = unsafe { libc::ioctl(self.socket.get().unwrap_or(-1), libc::FIONREAD, &mut many) };
        if told == 0 {
            many as usize
        } else {
            0
        }
    }

    /// Some of what it said is dropped: after its answer it can't go on, here or in another process.
    pub fn overruns(&self) {
        self.overran.set(true);
        self.ahead.set(true);
    }

    /// Its socket is about to be closed, or is another guest's.
    pub fn closed(&self) {
        self.socket.set(None);
    }

    /// Whether its client has closed the connection, or half of it, behind whatever has not been read yet. Guards
    /// against a busy node, which would learn of it by its turn: the kernel is asked.
    pub fn has_left(&self) -> bool {
        let Some(fd) = self.socket.get() else { return true };
        let mut look = libc::pollfd { fd, events: libc::POLLRDHUP, revents: 0 };
        // SAFETY: one record, which outlives the call; it waits for nothing.
        unsafe { libc::poll(&mut look, 1, 0) > 0 }
    }

    pub fn rests(&self) {
        self.job.set(None);
        self.said.set((0, 0));
        self.now(Doing::Resting);
    }

    fn now(&self, doing: Doing) {
        self.doing.set(doing);
        self.since.set(Instant::now());
    }
}

/// A guest's stream. Guards against clients that never finish what they say, on whichever request: a library's
/// time limit sees to the first head only.
pub struct Stream {
    socket: Socket,
    guest: Rc<Guest>,
}

impl Stream {
    pub fn new(socket: TcpStream, guest: Rc<Guest>) -> Self {
        Stream { socket: Socket::new(socket), guest }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.guest.closed();
    }
}

impl AsyncRead for Stream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        match self.guest.hears() {
            Hears::Reads => {}
            Hears::Looks => {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Hears::Drops => return self.drop_all(cx),
        }
        // What fits in one go, and no more: the buffer given may be as large as all that was said before.
        let mut part = [MaybeUninit::uninit(); READ_MOST];
        let room = buf.remaining().min(READ_MOST);
        let mut part = ReadBuf::uninit(&mut part[..room]);
        let arrived = self.guest.newest_byte();
        let read = Pin::new(&mut self.socket).poll_read(cx, &mut part);
        if !part.filled().is_empty() {
            buf.put_slice(part.filled());
            self.guest.heard(part.filled().len(), arrived);
        }
        read
    }
}

impl Stream {
    /// Reads on to the client's end, if it has come, and keeps nothing.
    fn drop_all(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut nothing = [MaybeUninit::uninit(); READ_MOST];
        loop {
            let mut dropped = ReadBuf::uninit(&mut nothing);
            match Pin::new(&mut self.socket).poll_read(cx, &mut dropped) {
                Poll::Ready(Ok(())) if !dropped.filled().is_empty() => {}
                end => return end,
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.guest.stuck.set(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
