//! Socket: a TCP connection whose system calls may be interrupted, and may move fewer bytes than they could.
//! Tokio's own stream ends on EINTR, and takes a call that moved a part for a sign that nothing more can be moved: it then waits for
//! the kernel to tell of room, which need not happen.
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    pub fn new(stream: TcpStream) -> Self {
        Socket(stream)
    }

    pub fn stream(&self) -> &TcpStream {
        &self.0
    }

    pub fn into_stream(self) -> TcpStream {
        self.0
    }
}

/// Whether a call is made once more: at once, or when the kernel tells of room.
fn is_repeated<T>(moved: &io::Result<T>) -> bool {
    matches!(moved, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            let read = self.0.try_read_buf(buffer);
            if !is_repeated(&read) {
                return Poll::Ready(read.map(drop));
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            let written = self.0.try_write(bytes);
            if !is_repeated(&written) {
                return Poll::Ready(written);
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for Socket {
    fn poll_read_ready(&self, cx: &mut Context) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
