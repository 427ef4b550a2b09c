//! Client stream: the byte stream of one client connection, as actix-http reads and writes it. Received bytes are passed
//! on in small portions, and none while a request is pending: actix-http decodes all that it is given at once, and what
//! it makes of small requests or chunks takes many times the memory of their bytes.
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use actix_rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use memchr::memchr_iter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::client_connection::{ClientConnection, ConnectionState};
use crate::socket::Socket;

/// Largest single read from the socket, in bytes.
const MAX_READ: usize = 16 * 1024;
/// Bytes of a head that are passed on, at most, before the parser runs. It starts an incomplete head anew each time.
const MAX_HEAD_BURST: usize = 64 * 1024;
/// The same for a body, of which the parser takes any part. Its buffer keeps the size of the largest burst.
const MAX_BODY_BURST: usize = 16 * 1024;
/// Lines that are passed on before the parser runs: what it makes of bytes grows with the requests, headers and chunks
/// in them, each of which takes a line.
const MAX_LINES: usize = 256;
/// Bytes that are passed on although a request head ends before them. Fewer would make a body of empty lines
/// expensive to read.
const MIN_PORTION: usize = 512;

/// The stream of a client connection. Tracks when requests begin and end, so that clients that never complete
/// a request are disconnected on any request: actix-http's timeout covers only the first request head.
pub struct ClientStream {
    socket: Socket,
    connection: Rc<ClientConnection>,
    /// Bytes that were received and not passed to the parser yet.
    unparsed: BytesMut,
    /// Bytes that may still be passed on before the parser runs.
    burst_left: usize,
    /// The head of the request that is being received has been passed on.
    is_head_passed: bool,
}

impl ClientStream {
    pub fn new(socket: TcpStream, connection: Rc<ClientConnection>) -> Self {
        let (socket, unparsed) = (Socket::new(socket), BytesMut::new());
        ClientStream { socket, connection, unparsed, burst_left: MAX_HEAD_BURST, is_head_passed: false }
    }

    /// Receives bytes and returns their number, 0 at the end of the stream.
    fn poll_receive(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        let mut scratch = [MaybeUninit::uninit(); MAX_READ];
        let mut received = ReadBuf::uninit(&mut scratch);
        let newest_arrival = self.connection.newest_byte_time();
        ready!(Pin::new(&mut self.socket).poll_read(cx, &mut received))?;
        let received = received.filled();
        if !received.is_empty() {
            self.connection.set_newest_arrival(newest_arrival);
            self.unparsed.extend_from_slice(received);
            self.connection.set_unparsed(self.unparsed.len());
        }
        Poll::Ready(Ok(received.len()))
    }

    /// Receives while a request is pending, to detect the end of the stream: a client may send a lot and disconnect, and
    /// the end lies behind all those bytes.
    fn poll_until_end(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        while self.unparsed.len() < self.connection.max_held() {
            if ready!(self.poll_receive(cx))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
        self.connection.set_overrun();
        self.poll_discard(cx)
    }

    /// Receives and discards everything up to the end of the stream, if that has arrived.
    fn poll_discard(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut scratch = [MaybeUninit::uninit(); MAX_READ];
        loop {
            let mut dropped = ReadBuf::uninit(&mut scratch);
            match Pin::new(&mut self.socket).poll_read(cx, &mut dropped) {
                Poll::Ready(Ok(())) if !dropped.filled().is_empty() => {}
                end => return end,
            }
        }
    }

    /// Lets the parser run before more is passed on than now is allowed.
    fn begin_burst(&mut self) {
        self.burst_left = if self.is_head_passed { MAX_BODY_BURST } else { MAX_HEAD_BURST };
    }

    /// Passes the next portion on.
    fn pass_portion(&mut self, buf: &mut ReadBuf) {
        if self.connection.state() != ConnectionState::ReadingRequest {
            self.is_head_passed = false;
        }
        let (portion, is_cut) = portion_len(&self.unparsed);
        let count = portion.min(buf.remaining()).min(self.burst_left);
        buf.put_slice(&self.unparsed[..count]);
        self.is_head_passed |= is_cut;
        self.burst_left = if is_cut { 0 } else { self.burst_left.saturating_sub(count) };
        self.unparsed.advance(count);
        if self.unparsed.is_empty() {
            self.unparsed = BytesMut::new(); // Releases the memory: most connections are idle most of the time.
        }
        self.connection.set_unparsed(self.unparsed.len());
        self.connection.bytes_passed();
    }
}

/// Length of the portion at the start of these bytes, and whether it is cut off: after the first empty line, which ends a
/// request head, or after `MAX_LINES`. It thus completes few requests. An empty line in a body is taken for the end of a
/// head, which is harmless.
pub fn portion_len(bytes: &[u8]) -> (usize, bool) {
    let mut line_start = 0;
    for (line, at) in memchr_iter(b'\n', bytes).enumerate() {
        let end = at + 1;
        if matches!(&bytes[line_start..at], [] | [b'\r']) {
            return (end.max(MIN_PORTION).min(bytes.len()), true);
        }
        if line + 1 == MAX_LINES {
            return (end, true);
        }
        line_start = end;
    }
    (bytes.len(), false)
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connection.set_unparsed(0);
        self.connection.set_closed();
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.connection.holds_back() {
            self.begin_burst();
            return self.poll_until_end(cx);
        }
        if self.unparsed.is_empty() {
            match self.poll_receive(cx)? {
                Poll::Ready(0) => return Poll::Ready(Ok(())),
                Poll::Ready(_) => {}
                Poll::Pending => {
                    self.begin_burst();
                    return Poll::Pending;
                }
            }
        }
        if self.burst_left == 0 {
            self.begin_burst();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.pass_portion(buf);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.connection.set_write_pending(written.is_pending());
        if !self.unparsed.is_empty() {
            cx.waker().wake_by_ref(); // The response is written, so the next request can be parsed.
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
