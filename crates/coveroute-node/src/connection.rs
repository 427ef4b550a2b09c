//! Connection: connections to executors, for awc. Every byte of an attempt's request is written here, and
//! only while the attempt permits it.
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use actix_rt::net::{ActixStream, Ready};
use actix_rt::time::{sleep, sleep_until, Sleep};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection as Connected, Connector, ConnectorService};
use awc::error::SendRequestError;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use nix::errno::Errno;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::attempt::Attempt;
use crate::socket::Socket;
use crate::transient;

/// A connection that checks the current attempt before each write.
#[derive(Debug)]
pub struct Connection {
    socket: Socket,
    /// Wakes a write that waits for kernel buffer space when the attempt no longer permits it.
    recheck: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    fn new(socket: Socket) -> Self {
        Connection { socket, recheck: None }
    }

    fn write_permitted(
        &mut self,
        attempt: &Attempt,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            attempt.check_write()?;
            let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
            if let Poll::Ready(written) = written {
                self.recheck = None;
                if let Ok(count) = &written {
                    attempt.bytes_written(*count, bytes.len());
                }
                return Poll::Ready(written);
            }
            let until = || Box::pin(sleep_until(attempt.write_until().into()));
            ready!(self.recheck.get_or_insert_with(until).as_mut().poll(cx));
            // Checks again rather than failing: the timer may fire slightly early.
            self.recheck = None;
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match Attempt::current() {
            Some(attempt) => self.write_permitted(&attempt, cx, bytes),
            None => Pin::new(&mut self.socket).poll_write(cx, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl ActixStream for Connection {
    fn poll_read_ready(&self, cx: &mut Context) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.socket, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.socket, cx)
    }
}

/// Delay between attempts to open a connection that fail on this machine.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Errors, beside transient ones, with which this machine fails to open a connection. They say nothing about
/// the remote end.
const LOCAL_ERRORS: [Errno; 4] = [Errno::EACCES, Errno::EADDRINUSE, Errno::EADDRNOTAVAIL, Errno::EPERM];

fn is_local_error(error: &io::Error) -> bool {
    transient::is_transient(error)
        || error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&Errno::from_raw(code)))
}

/// Whether a request failed because this machine could not open a connection.
pub fn is_local_connect_failure(error: &SendRequestError) -> bool {
    matches!(error, SendRequestError::Connect(awc::error::ConnectError::Io(e)) if is_local_error(e))
}

/// Opens connections. If the time budget stated by an attempt is out of date once its connection is
/// established, the connection is kept for the attempt and the request refused: the attempt begins again,
/// with a current budget, on the same connection.
#[derive(Clone)]
pub struct Dialer {
    connector: ConnectorService,
    /// For how long failures of this machine are retried.
    retry_for: Duration,
}

impl Dialer {
    /// Share of the connect timeout for which failures of this machine are retried; the rest is left for the
    /// connection that is then opened.
    const RETRY_SHARE: f64 = 0.6;

    /// Creates a dialer with the given connect timeout.
    pub fn new(timeout: Duration) -> Self {
        Dialer { connector: Connector::default().service(), retry_for: timeout.mul_f64(Self::RETRY_SHARE) }
    }

    async fn connect(self, uri: Uri) -> Result<Socket, ConnectError> {
        let begun = Instant::now();
        loop {
            match self.connector.call(ConnectInfo::new(uri.clone())).await {
                Ok(connected) => {
                    let (stream, _) = connected.into_parts();
                    // With Nagle's algorithm, a request's last bytes would wait until the first ones are
                    // acknowledged.
                    let _ = stream.set_nodelay(true);
                    return Ok(Socket::new(stream));
                }
                Err(ConnectError::Io(e)) if is_local_error(&e) && begun.elapsed() < self.retry_for => {
                    sleep(RETRY_DELAY).await;
                }
                Err(e) => return Err(e),
            }
        }
    }
}

impl Service<ConnectInfo<Uri>> for Dialer {
    type Response = Connected<Uri, Connection>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let (uri, dialer) = (info.request().clone(), self.clone());
        if let Some(socket) = Attempt::current().and_then(|attempt| attempt.take_connection()) {
            return Box::pin(async move { Ok(Connected::new(uri, Connection::new(socket))) });
        }
        Box::pin(async move {
            let socket = dialer.connect(uri.clone()).await?;
            match Attempt::current().map(|attempt| (attempt.check_budget(), attempt)) {
                Some((Err(refusal), attempt)) => {
                    attempt.keep_connection(socket);
                    Err(ConnectError::Io(refusal.into()))
                }
                _ => Ok(Connected::new(uri, Connection::new(socket))),
            }
        })
    }
}
