//! Socket: a TCP connection whose system calls may be interrupted, lack memory, and move fewer bytes than they could.
//! Tokio's own stream ends on EINTR, and takes a call that moved a part for a sign that nothing more can be moved: it then waits for
//! the kernel to tell of room, which need not happen.
use std::future::Future;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_rt::time::{sleep, Sleep};
use nix::errno::Errno;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Between two tries where the kernel has no memory for the call: it does not tell when it has.
const AGAIN_AFTER: Duration = Duration::from_millis(10);

#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Until when reading, and writing, waits for the kernel's memory.
    reads_after: Option<Pin<Box<Sleep>>>,
    writes_after: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub fn new(stream: TcpStream) -> Self {
        Socket { stream, reads_after: None, writes_after: None }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub fn into_stream(self) -> TcpStream {
        self.stream
    }
}

/// What a call that failed is made again after.
enum Again {
    /// The kernel's word of room, or nothing at all.
    Ready,
    Pause,
}

fn again<T>(moved: &io::Result<T>) -> Option<Again> {
    let error = moved.as_ref().err()?;
    match error.raw_os_error().map(Errno::from_raw) {
        _ if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Some(Again::Ready),
        Some(Errno::ENOBUFS | Errno::ENOMEM) => Some(Again::Pause),
        _ => None,
    }
}

/// Makes the call once the kernel is ready for it, and again where that may help.
fn poll_moved<T>(
    cx: &mut Context,
    pause: &mut Option<Pin<Box<Sleep>>>,
    ready: impl Fn(&mut Context) -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        if let Some(waits) = pause {
            ready!(waits.as_mut().poll(cx));
            *pause = None;
        }
        ready!(ready(cx))?;
        let moved = call();
        match again(&moved) {
            None => return Poll::Ready(moved),
            Some(Again::Ready) => {}
            Some(Again::Pause) => *pause = Some(Box::pin(sleep(AGAIN_AFTER))),
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let Socket { stream, reads_after, .. } = self.get_mut();
        let ready = |cx: &mut Context| stream.poll_read_ready(cx);
        poll_moved(cx, reads_after, ready, || stream.try_read_buf(buffer).map(drop))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let Socket { stream, writes_after, .. } = self.get_mut();
        let ready = |cx: &mut Context| stream.poll_write_ready(cx);
        poll_moved(cx, writes_after, ready, || stream.try_write(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Socket {
    fn poll_read_ready(&self, cx: &mut Context) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
