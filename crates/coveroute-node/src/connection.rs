//! Connection: to an executor, for awc. Each byte of an attempt passes here, and goes on only while the attempt permits it.
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

#[derive(Debug)]
pub struct Connection {
    socket: Socket,
    /// Wakes what waits for the kernel's room when the attempt does not permit it any more.
    permitted: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    fn new(socket: Socket) -> Self {
        Connection { socket, permitted: None }
    }

    fn write_permitted(
        &mut self,
        attempt: &Attempt,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            attempt.permits()?;
            let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
            if let Poll::Ready(written) = written {
                self.permitted = None;
                if let Ok(many) = &written {
                    attempt.wrote(*many, bytes.len());
                }
                return Poll::Ready(written);
            }
            let until = || Box::pin(sleep_until(attempt.permits_until().into()));
            ready!(self.permitted.get_or_insert_with(until).as_mut().poll(cx));
            // A timer may be early by its own measure.
            self.permitted = None;
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

/// Between two tries to open a connection that fail on this machine.
const AGAIN_AFTER: Duration = Duration::from_millis(10);

/// What a connection fails with, beside what passes, where it is this machine that can not open it: that says nothing of who listens.
const OWN_FAILURES: [Errno; 4] = [Errno::EACCES, Errno::EADDRINUSE, Errno::EADDRNOTAVAIL, Errno::EPERM];

fn is_own_failure(error: &io::Error) -> bool {
    transient::is_transient(error)
        || error.raw_os_error().is_some_and(|code| OWN_FAILURES.contains(&Errno::from_raw(code)))
}

/// Whether a request came to nothing since this machine could open no connection.
pub fn could_not_connect(error: &SendRequestError) -> bool {
    matches!(error, SendRequestError::Connect(awc::error::ConnectError::Io(e)) if is_own_failure(e))
}

/// Opens connections. One that comes up for an attempt whose words are too old by then is kept for it, and the attempt told so: it
/// begins anew, with a fresh figure, on the same connection.
#[derive(Clone)]
pub struct Dialer {
    connector: ConnectorService,
    /// For how long it tries again where this machine fails.
    tries_for: Duration,
}

impl Dialer {
    /// Of the time that a connection may take, tries again for this part: the rest is for one that then comes up.
    const TRIES_SHARE: f64 = 0.6;

    /// One for connections that may take so long.
    pub fn new(within: Duration) -> Self {
        Dialer { connector: Connector::default().service(), tries_for: within.mul_f64(Self::TRIES_SHARE) }
    }

    async fn connect(self, uri: Uri) -> Result<Socket, ConnectError> {
        let begun = Instant::now();
        loop {
            match self.connector.call(ConnectInfo::new(uri.clone())).await {
                Ok(connected) => {
                    let (stream, _) = connected.into_parts();
                    // A request's last bytes must not wait for the first ones' acknowledgement.
                    let _ = stream.set_nodelay(true);
                    return Ok(Socket::new(stream));
                }
                Err(ConnectError::Io(e)) if is_own_failure(&e) && begun.elapsed() < self.tries_for => {
                    sleep(AGAIN_AFTER).await;
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
        if let Some(socket) = Attempt::current().and_then(|attempt| attempt.kept()) {
            return Box::pin(async move { Ok(Connected::new(uri, Connection::new(socket))) });
        }
        Box::pin(async move {
            let socket = dialer.connect(uri.clone()).await?;
            match Attempt::current().map(|attempt| (attempt.told_holds(), attempt)) {
                Some((Err(refusal), attempt)) => {
                    attempt.keeps(socket);
                    Err(ConnectError::Io(refusal.into()))
                }
                _ => Ok(Connected::new(uri, Connection::new(socket))),
            }
        })
    }
}
