//! Adopted connections: client connections that the previous process of this node has handed over.
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::TcpStream;
use actix_service::Service;
use coveroute::types::InvocationId;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::sync::oneshot;

use super::{serve_connection, ClientServer, DisconnectGuard};
use crate::answer::Answer;
use crate::client_connection::ClientConnection;
use crate::client_stream::ClientStream;
use crate::socket::Socket;

/// A client connection handed over by the previous process.
pub enum AdoptedConnection {
    Idle(TcpStream),
    /// The client waits for the answer to this job.
    Waiting(TcpStream, Rc<ClientConnection>, InvocationId, oneshot::Receiver<Answer>),
}

impl AdoptedConnection {
    pub(super) fn serve<S>(self, server: &Rc<ClientServer>, service: &Rc<S>)
    where
        S: Service<(ClientStream, Option<SocketAddr>), Response = ()> + 'static,
        S::Error: std::fmt::Debug,
    {
        let (socket, job) = match self {
            AdoptedConnection::Idle(socket) => (socket, None),
            AdoptedConnection::Waiting(socket, connection, id, answered) => {
                (socket, Some((connection, id, answered)))
            }
        };
        match (socket.peer_addr(), job) {
            (Ok(peer), None) => serve_connection(server, service, socket, peer, None),
            (Ok(peer), Some((connection, id, answered))) => {
                let (server, service) = (server.clone(), service.clone());
                actix_rt::spawn(async move {
                    if let Some(socket) =
                        server.answer_pending(socket, (peer, connection), id, answered).await
                    {
                        serve_connection(&server, &service, socket, peer, None);
                    }
                });
            }
            // The client disconnected during the handover.
            (Err(_), Some((connection, id, _))) => {
                connection.set_closed();
                server.events.client_disconnected(id);
            }
            (Err(_), None) => {}
        }
    }
}

impl ClientServer {
    /// Waits for the answer to a handed-over job and writes it. Returns the connection if it stays open.
    async fn answer_pending(
        &self,
        stream: TcpStream,
        (peer, connection): (SocketAddr, Rc<ClientConnection>),
        id: InvocationId,
        answered: oneshot::Receiver<Answer>,
    ) -> Option<TcpStream> {
        let _guard = self.node_state.request_guard();
        let mut socket = Socket::new(stream);
        connection.set_waiting();
        connection.set_job(id);
        let own = connection.clone();
        self.connections.borrow_mut().insert(peer, connection);
        let mut guard = DisconnectGuard { id, events: &self.events, answered: false };
        let answer = tokio::select! {
            // The close request comes first: once the job is handed over to the next process, the answer's
            // sender is dropped here, which must not become an error response.
            biased;
            () = own.close.notified() => None,
            answer = answered => Some(answer.unwrap_or(Answer::Errored)),
            () = until_disconnected(socket.stream(), &own) => None,
        };
        let kept = match answer {
            Some(answer) => {
                guard.answered = true;
                let keep = self.keeps_open(&answer) && own.is_reusable();
                socket.write_all(&answer.bytes(keep)).await.is_ok() && keep
            }
            None => false,
        };
        own.set_closed();
        self.remove_connection(peer, &own);
        kept.then(|| socket.into_stream())
    }
}

/// Waits until the client has closed the connection, even behind unread bytes. Up to `MAX_UNREAD` such bytes
/// stay in the kernel's buffer; more are read and discarded, as the close could not arrive behind a full
/// buffer.
async fn until_disconnected(socket: &TcpStream, connection: &ClientConnection) {
    const MAX_UNREAD: usize = 32 * 1024; // Half of the kernel's smallest receive buffer.
    let poll = || match (connection.has_disconnected(), connection.unread()) {
        (true, _) => Ok(true),
        (false, MAX_UNREAD..) => Ok(false),
        (false, _) => Err(std::io::ErrorKind::WouldBlock.into()),
    };
    let mut scratch = vec![0; MAX_UNREAD];
    // `WouldBlock` makes `async_io` wait for the kernel's next readiness event.
    while let Ok(false) = socket.async_io(Interest::READABLE, poll).await {
        connection.set_overrun();
        while let Ok(1..) = socket.try_read(&mut scratch) {}
    }
}
