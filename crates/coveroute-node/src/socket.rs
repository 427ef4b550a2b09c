//! Socket: a TCP connection that tolerates interrupted system calls, a lack of kernel memory, and short reads
//! and writes. Tokio's own stream fails on EINTR, and after a short read or write assumes that no more bytes
//! can be transferred: it then waits for a readiness event from the kernel, which may never come.
use std::future::Future;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_rt::time::{sleep, Sleep};
use nix::errno::Errno;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Delay between tries of a call for which the kernel has no memory: it does not signal when it has some.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// A TCP stream that retries reads and writes that fail temporarily.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Pauses before the next read or write after the kernel had no memory.
    read_pause: Option<Pin<Box<Sleep>>>,
    write_pause: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub fn new(stream: TcpStream) -> Self {
        Socket { stream, read_pause: None, write_pause: None }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub fn into_stream(self) -> TcpStream {
        self.stream
    }
}

/// When to retry a failed call.
enum Retry {
    /// Once the socket is ready, which it may be already.
    WhenReady,
    AfterPause,
}

fn retry<T>(result: &io::Result<T>) -> Option<Retry> {
    let error = result.as_ref().err()?;
    match error.raw_os_error().map(Errno::from_raw) {
        _ if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Some(Retry::WhenReady),
        Some(Errno::ENOBUFS | Errno::ENOMEM) => Some(Retry::AfterPause),
        _ => None,
    }
}

/// Makes the call once the socket is ready for it, and retries it after temporary failures.
fn poll_retrying<T>(
    cx: &mut Context,
    pause: &mut Option<Pin<Box<Sleep>>>,
    ready: impl Fn(&mut Context) -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        if let Some(sleep) = pause {
            ready!(sleep.as_mut().poll(cx));
            *pause = None;
        }
        ready!(ready(cx))?;
        let result = call();
        match retry(&result) {
            None => return Poll::Ready(result),
            Some(Retry::WhenReady) => {}
            Some(Retry::AfterPause) => *pause = Some(Box::pin(sleep(RETRY_DELAY))),
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let Socket { stream, read_pause, .. } = self.get_mut();
        let ready = |cx: &mut Context| stream.poll_read_ready(cx);
        poll_retrying(cx, read_pause, ready, || stream.try_read_buf(buffer).map(drop))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let Socket { stream, write_pause, .. } = self.get_mut();
        let ready = |cx: &mut Context| stream.poll_write_ready(cx);
        poll_retrying(cx, write_pause, ready, || stream.try_write(bytes))
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
