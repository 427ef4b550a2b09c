//! A guest: one accepted connection, what it does now and since when, and the stream that notes what it says.
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

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

pub struct Guest {
    doing: Cell<Doing>,
    since: Cell<Instant>,
    pub close: Notify,
}

impl Guest {
    pub fn new() -> Self {
        Guest { doing: Cell::new(Doing::Silent), since: Cell::new(Instant::now()), close: Notify::new() }
    }

    #[cfg(test)]
    pub fn since_long(doing: Doing, age: Duration) -> Self {
        let since = Instant::now().checked_sub(age).expect("a machine that is up for longer");
        Guest { doing: Cell::new(doing), since: Cell::new(since), close: Notify::new() }
    }

    pub fn doing(&self) -> Doing {
        self.doing.get()
    }

    pub fn since(&self) -> Instant {
        self.since.get()
    }

    pub fn idle_for(&self, least: Duration) -> bool {
        self.doing() != Doing::Waiting && self.since().elapsed() >= least
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

    /// Bytes have come. One that has connected has its time from then on: saying a little does not renew it.
    fn heard(&self) {
        match self.doing() {
            Doing::Silent => self.doing.set(Doing::Asking),
            Doing::Resting => self.now(Doing::Asking),
            Doing::Asking | Doing::Waiting => {}
        }
    }

    pub fn waits(&self) {
        self.now(Doing::Waiting);
    }

    pub fn rests(&self) {
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
    pub socket: TcpStream,
    pub guest: Rc<Guest>,
}

impl AsyncRead for Stream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.guest.heard();
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
