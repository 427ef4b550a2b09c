//! Server: accepts connections from clients and executors, up to a limit, and serves each with actix-http.
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::Bytes;
use coveroute::types::InvocationId;
use coveroute_engine::{self as engine, JobResult, Phase, Rejection, WatchEvent, NO_WATCH};
use log::{debug, warn};
use nix::errno::Errno;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::yield_now;

use crate::answer::Answer;
use crate::client_connection::{Client, ClientConnection, ClientConnections, ConnectionState, EvictionClass};
use crate::client_stream::ClientStream;
use crate::clock::Clock;
use crate::descriptors::Descriptors;
use crate::event::{ClientEvents, DriverEvent, EventSender, QueueSlot};
use crate::held_bytes::HeldBytes;
use crate::hosts::Hosts;
use crate::node_state::NodeState;
use crate::{callbacks, discovery, request, wire};

mod adopted;
pub use adopted::AdoptedConnection;

/// An idle connection is closed after this time, whether or not its place is needed.
const MAX_IDLE: Duration = Duration::from_secs(120);
/// Errors of accept when the process or the machine has no file descriptor left.
const DESCRIPTORS_EXHAUSTED: [Errno; 2] = [Errno::EMFILE, Errno::ENFILE];
/// Interval at which connections are checked for timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Retry-After, in seconds, for clients that are rejected because too many requests are pending, unless the
/// configured maximum is lower: about as long as the pending work takes.
const OVERLOAD_RETRY_AFTER: f64 = 1.0;

/// Time limit for the other process of a node to say whether it knows a call: many iterations of a busy event loop.
const CALL_QUERY_TIMEOUT: Duration = Duration::from_millis(100);

/// What happens to a connection after its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AfterResponse {
    KeepOpen,
    Close,
}

/// The state shared by all client connections.
pub struct ClientServer {
    clock: Clock,
    node_state: Rc<NodeState>,
    events: ClientEvents,
    connections: ClientConnections,
    /// Maximum number of connections with a pending request.
    max_waiting: usize,
    /// Maximum number of connections beyond those: idle, or given only an immediate answer.
    max_others: usize,
    /// The bytes that all connections hold.
    held_bytes: Rc<HeldBytes>,
    /// Since when connections may have been waiting to be accepted; `None` if none is waiting.
    accept_wait_since: Cell<Option<Instant>>,
    descriptors: Cell<Descriptors>,
    /// Notified when a connection has ended.
    connection_ended: Notify,
}

impl ClientServer {
    pub fn new(
        clock: Clock,
        node_state: Rc<NodeState>,
        events: EventSender,
        (max_waiting, max_others): (usize, usize),
        held_bytes: Rc<HeldBytes>,
    ) -> Self {
        ClientServer {
            clock,
            node_state,
            events: ClientEvents::new(events),
            connections: ClientConnections::default(),
            max_waiting,
            max_others,
            held_bytes,
            accept_wait_since: Cell::new(None),
            descriptors: Cell::default(),
            connection_ended: Notify::new(),
        }
    }

    pub fn connections(&self) -> ClientConnections {
        self.connections.clone()
    }

    /// Removes a connection that has ended, unless its client has connected again from the same port by now.
    pub fn remove_connection(&self, peer: SocketAddr, ended: &Rc<ClientConnection>) {
        let mut connections = self.connections.borrow_mut();
        if connections.get(&peer).is_some_and(|current| Rc::ptr_eq(current, ended)) {
            connections.remove(&peer);
        }
        self.connection_ended.notify_one();
    }

    fn close_all(&self, which: impl Fn(&ClientConnection) -> bool) {
        self.connections
            .borrow()
            .values()
            .filter(|connection| which(connection))
            .for_each(|connection| connection.close.notify_one());
    }

    /// Closes up to `most` connections to make room: first those without a completed request, then those that
    /// are idle after one, and in each group the longest idle first.
    fn evict_idle(&self, most: usize) {
        let connections = self.connections.borrow();
        let mut idle: Vec<_> =
            connections.values().map(|connection| (connection.eviction_class(), connection)).collect();
        idle.retain(|connection| connection.0 < EvictionClass::Protected);
        idle.sort_by_key(|(class, connection)| (*class == EvictionClass::Idle, connection.since()));
        idle.into_iter().take(most).for_each(|connection| connection.1.close.notify_one());
    }

    /// Waits until one more connection may be opened, evicting idle ones. Otherwise clients could stay
    /// connected without being served: the kernel has accepted their connections, so that the requests they
    /// sent count as accepted.
    async fn wait_for_capacity(&self) {
        // Idle connections closed for each new one, so that clients that only connect lose their places
        // first.
        const AT_ONCE: usize = 16;
        let open = || self.connections.borrow().len();
        let (waiting, others) =
            (self.node_state.share_of(self.max_waiting), self.node_state.share_of(self.max_others));
        let all = (waiting + others).min(self.descriptors.get().max_connections());
        // Evicts early, to keep half of the places beyond the waiting connections free.
        if open() >= all.saturating_sub(others.div_ceil(2)) {
            self.evict_idle(AT_ONCE);
        }
        while open() >= all {
            self.note_accept_blocked();
            self.evict_idle(AT_ONCE);
            let _ = timeout(Duration::from_millis(10), self.connection_ended.notified()).await;
        }
    }

    fn update_descriptors(&self, update: impl FnOnce(&mut Descriptors)) {
        let mut descriptors = self.descriptors.get();
        update(&mut descriptors);
        self.descriptors.set(descriptors);
    }

    /// Handles an accept that failed for lack of a file descriptor: lowers the limit on connections and
    /// evicts idle ones. The configured limit can be too high where the machine grants fewer descriptors than
    /// configured or other files hold some; idle clients would then hold the descriptors indefinitely.
    fn descriptors_exhausted(&self) {
        const CLOSED: usize = 4; // At most one in this many open connections is evicted at a time.
        const LEAST: usize = 4; // The limit is not lowered below the configured one divided by this.
        let open = self.connections.borrow().len();
        let least =
            (self.node_state.share_of(self.max_waiting) + self.node_state.share_of(self.max_others)) / LEAST;
        self.update_descriptors(|descriptors| descriptors.exhausted(open, least));
        self.evict_idle(open.div_ceil(CLOSED));
    }

    /// Records that connections may be waiting to be accepted from now on, unless some already are.
    fn note_accept_blocked(&self) {
        self.accept_wait_since.set(self.accept_wait_since.get().or_else(|| Some(Instant::now())));
    }

    /// Polls for the next connection. If there is none, no connection is waiting to be accepted.
    fn poll_accept(
        &self,
        listener: &TcpListener,
        cx: &mut Context,
    ) -> Poll<std::io::Result<(TcpStream, SocketAddr)>> {
        let accepted = listener.poll_accept(cx);
        if accepted.is_pending() {
            self.accept_wait_since.set(None);
        }
        accepted
    }

    /// Accepts the next connection, at a time when this process takes connections.
    async fn next_connection(&self, listener: &TcpListener) -> std::io::Result<(TcpStream, SocketAddr)> {
        loop {
            self.node_state.until_accepts_connections(true).await;
            self.wait_for_capacity().await;
            tokio::select! {
                biased;
                () = self.node_state.until_accepts_connections(false) => {}
                accepted = poll_fn(|cx| self.poll_accept(listener, cx)) => return accepted,
            }
        }
    }

    async fn serve(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let connection = request.peer_addr().and_then(|peer| self.connections.borrow().get(&peer).cloned());
        let (answer, next) = self.answer(request, connection.as_ref()).await;
        let is_reusable = connection.as_ref().is_none_or(|connection| connection.is_reusable());
        let keep = next == AfterResponse::KeepOpen && is_reusable && self.keeps_open(&answer);
        connection.iter().for_each(|connection| connection.set_answered());
        answer.response(keep)
    }

    /// Whether the connection stays open after this answer. While the node is leaving, new connections go
    /// elsewhere but open ones stay in use, so that a restart does not leave clients without a node while the
    /// one restarted before is not up yet; a client whose job is returned to it for an immediate retry is
    /// sent to another node by closing. After an invalid request the connection is closed to free its place.
    pub fn keeps_open(&self, answer: &Answer) -> bool {
        match self.node_state.phase() {
            _ if matches!(answer, Answer::Invalid(..)) => false,
            // The connection will be handed over to the successor process.
            _ if !self.node_state.accepts_connections() => true,
            Phase::Starting | Phase::Serving | Phase::Reloading => true,
            Phase::Leaving => !matches!(answer, Answer::Throttled { pause } if *pause <= 0.0),
            Phase::Closing | Phase::Ended => false,
        }
    }

    /// Waits for a place in the driver's queue. The connection passes on no further request meanwhile.
    async fn queue_slot(&self, connection: Option<&Rc<ClientConnection>>) -> Option<QueueSlot> {
        while_paused(connection, self.events.slot()).await
    }

    /// Sends an event of the connection to the driver once there is a place for it.
    async fn report(&self, connection: Option<&Rc<ClientConnection>>, event: DriverEvent) {
        let slot = self.queue_slot(connection).await;
        self.events.send(slot, event);
    }

    async fn answer(
        &self,
        mut request: Request,
        connection: Option<&Rc<ClientConnection>>,
    ) -> (Answer, AfterResponse) {
        let received_at = connection
            .map_or_else(|| self.clock.now(), |connection| self.clock.at(connection.newest_arrival()));
        let answer = match (request.path(), request.method()) {
            (wire::UP, &Method::GET | &Method::HEAD) if self.node_state.is_up() => {
                Answer::Succeeded("up\n".into())
            }
            (wire::UP, _) => Answer::Throttled { pause: 0.0 },
            (wire::NEWS, &Method::POST) => self.news(&mut request, connection).await,
            (wire::NEWS, _) => Answer::Invalid(StatusCode::METHOD_NOT_ALLOWED, "news come by POST"),
            (wire::HOSTS, _) => self.pushed_list(request, connection).await,
            _ => {
                let class = request::operation(request.path()).to_owned();
                match request::read_job(request, received_at).await {
                    Ok(job) => {
                        connection.iter().for_each(|connection| connection.set_waiting());
                        return self.job(job, connection).await;
                    }
                    Err(invalid) => {
                        if !matches!(invalid, Answer::Invalid(_, request::BODY_INCOMPLETE)) {
                            self.report(connection, DriverEvent::Ended(class, JobResult::Errored)).await;
                        }
                        invalid
                    }
                }
            }
        };
        // One immediate answer a turn: a client that sends many requests at once would keep the others waiting.
        while_paused(connection, yield_now()).await;
        (answer, AfterResponse::KeepOpen)
    }

    /// Handles an executor's job status update. While another process of this node is alive, the update is
    /// acknowledged once the process that serves the job has received it, and otherwise at once.
    async fn news(&self, request: &mut Request, connection: Option<&Rc<ClientConnection>>) -> Answer {
        let (acknowledge, acknowledged) = self.node_state.paired().then(oneshot::channel).unzip();
        let acknowledge = Cell::new(acknowledge);
        let news = |body: &Bytes| {
            Ok(DriverEvent::JobReport(callbacks::parse(body)?, body.clone(), acknowledge.take()))
        };
        let limit = wire::MAX_BODY_BYTES;
        let answer = self.forward_body(request, connection, (limit, "a job status update"), news).await;
        match (answer, acknowledged) {
            (Answer::Succeeded(body), Some(acknowledged)) => match acknowledged.await {
                Ok(false) => Answer::Throttled { pause: 0.0 },
                _ => Answer::Succeeded(body),
            },
            (answer, _) => answer,
        }
    }

    /// Handles a pushed list of executors. Only discovery's host may push one, so that clients can't.
    async fn pushed_list(&self, mut request: Request, connection: Option<&Rc<ClientConnection>>) -> Answer {
        let peer = request.peer_addr().map(|peer| peer.ip());
        if peer.is_none() || peer != self.node_state.lists_from() {
            return Answer::Invalid(StatusCode::FORBIDDEN, "the list is not taken from there");
        }
        if request.method() != Method::POST {
            return Answer::Invalid(StatusCode::METHOD_NOT_ALLOWED, "lists come by POST");
        }
        let list = |body: &Bytes| {
            let hosts = serde_json::from_slice::<Hosts>(body).map_err(|e| e.to_string())?;
            Ok(DriverEvent::Watch(NO_WATCH, WatchEvent::Listed(hosts.into())))
        };
        let limit = discovery::MAX_LIST_BYTES;
        self.forward_body(&mut request, connection, (limit, "a list of executors"), list).await
    }

    /// Parses a body of at most `most` bytes and sends the result to the driver. `what` names the body in the
    /// log if it can't be parsed.
    async fn forward_body(
        &self,
        request: &mut Request,
        connection: Option<&Rc<ClientConnection>>,
        (most, what): (usize, &str),
        parse: impl Fn(&Bytes) -> Result<DriverEvent, String>,
    ) -> Answer {
        let payload = request.take_payload();
        let body = match request::read_body(payload, &request.head().headers, most).await {
            Ok(body) => body,
            Err(invalid) => return invalid,
        };
        match parse(&body) {
            Ok(event) => {
                self.report(connection, event).await;
                Answer::Succeeded("".into())
            }
            Err(e) => {
                warn!("can't parse {what}: {e}");
                Answer::Invalid(StatusCode::BAD_REQUEST, "can't be read")
            }
        }
    }

    /// Whether another process of this node has the call, or has had it: it must not run a second time. A process that does
    /// not reply in time does not hold up this one.
    async fn is_known_elsewhere(&self, job: &request::Job) -> bool {
        let (reply, replied) = oneshot::channel();
        let slot = self.events.slot().await;
        self.events.send(slot, DriverEvent::CallQueried(job.call.call_id.clone(), reply));
        matches!(timeout(CALL_QUERY_TIMEOUT, replied).await, Ok(Ok(true)))
    }

    async fn job(
        &self,
        job: request::Job,
        connection: Option<&Rc<ClientConnection>>,
    ) -> (Answer, AfterResponse) {
        let _guard = self.node_state.request_guard();
        let is_waiting =
            |connection: &&Rc<ClientConnection>| connection.state() == ConnectionState::AwaitingAnswer;
        if self.connections.borrow().values().filter(is_waiting).count()
            > self.node_state.share_of(self.max_waiting)
        {
            self.report(connection, DriverEvent::Ended(job.call.class, JobResult::Throttled)).await;
            return (
                Answer::Throttled { pause: OVERLOAD_RETRY_AFTER.min(self.node_state.max_pause()) },
                AfterResponse::Close,
            );
        }
        if self.node_state.paired() && self.is_known_elsewhere(&job).await {
            let class = job.call.class;
            self.report(connection, DriverEvent::Ended(class, JobResult::Errored)).await;
            return (engine::Answer::Rejected(Rejection::DuplicateCall).into(), AfterResponse::KeepOpen);
        }
        let slot = self.queue_slot(connection).await;
        let id = self.node_state.next_id();
        connection.iter().for_each(|connection| connection.set_job(id));
        let (answer, answered) = oneshot::channel();
        let client = Client { answer, connection: connection.cloned() };
        self.events.send(slot, DriverEvent::Accepted(id, Box::new(job), client));
        // actix-http drops this future, and the guard with it, when the client closes the connection.
        let mut guard = DisconnectGuard { id, events: &self.events, answered: false };
        let answer = answered.await;
        guard.answered = true;
        (answer.unwrap_or(Answer::Errored), AfterResponse::KeepOpen)
    }
}

/// Waits while the connection passes no further request to the parser, which would decode all that has been received.
async fn while_paused<T>(connection: Option<&Rc<ClientConnection>>, wait: impl Future<Output = T>) -> T {
    connection.iter().for_each(|connection| connection.set_paused(true));
    let result = wait.await;
    connection.iter().for_each(|connection| connection.set_paused(false));
    result
}

/// Reports the client as disconnected if it is dropped before the job is answered.
struct DisconnectGuard<'a> {
    id: InvocationId,
    events: &'a ClientEvents,
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.events.client_disconnected(self.id);
        }
    }
}

/// Accepts connections for as long as the process runs; also serves those that the previous process hands
/// over.
pub async fn accept(
    listener: TcpListener,
    server: Rc<ClientServer>,
    mut handed_over: mpsc::UnboundedReceiver<AdoptedConnection>,
) {
    let serve = server.clone();
    let service = HttpService::build()
        // Idle connections are closed by `sweep` and by eviction; actix-http's timeout could race with a
        // request.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        // Lets a client that is still sending read an early response.
        .client_disconnect_timeout(Duration::from_secs(1))
        // A half-closed connection counts as a disconnected client: its request's future is dropped.
        .h1_allow_half_closed(false)
        .h1(fn_service(move |request| {
            let server = serve.clone();
            async move { Ok::<_, std::convert::Infallible>(server.serve(request).await) }
        }))
        .new_service(());
    let Ok(service) = service.await else { return };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            // Handed-over connections come first; new ones belong to the successor once it takes them.
            biased;
            Some(connection) = handed_over.recv() => {
                connection.serve(&server, &service);
                continue;
            }
            accepted = server.next_connection(&listener) => accepted,
        };
        match accepted {
            Ok((socket, peer)) => {
                server.update_descriptors(Descriptors::accept_succeeded);
                let _ = socket.set_nodelay(true);
                let accept_wait_since = server.accept_wait_since.get();
                serve_connection(&server, &service, socket, peer, accept_wait_since);
            }
            // Transient: retried at once.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => {
                warn!("can't accept a connection: {e}");
                server.note_accept_blocked();
                if e.raw_os_error().is_some_and(|code| DESCRIPTORS_EXHAUSTED.contains(&Errno::from_raw(code)))
                {
                    server.descriptors_exhausted();
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Registers the connection and serves it in a task of its own.
fn serve_connection<S>(
    server: &Rc<ClientServer>,
    service: &Rc<S>,
    socket: TcpStream,
    peer: SocketAddr,
    accept_wait_since: Option<Instant>,
) where
    S: Service<(ClientStream, Option<SocketAddr>), Response = ()> + 'static,
    S::Error: std::fmt::Debug,
{
    let connection = ClientConnection::new(socket.as_raw_fd(), server.held_bytes.clone());
    let connection = Rc::new(connection.accept_wait_since(accept_wait_since));
    server.connections.borrow_mut().insert(peer, connection.clone());
    let stream = ClientStream::new(socket, connection.clone());
    let (server, serving) = (server.clone(), service.call((stream, Some(peer))));
    actix_rt::spawn(async move {
        tokio::select! {
            // The close request comes first, so that no request is read in the same poll in which the
            // connection closes.
            biased;
            () = connection.close.notified() => {}
            ended = serving => if let Err(e) = ended { debug!("{peer}: {e:?}") },
        }
        server.remove_connection(peer, &connection);
    });
}

/// Periodically closes connections that exceed the request timeout and idle ones: after `MAX_IDLE`, or almost
/// at once while the node is closing.
pub async fn sweep(server: Rc<ClientServer>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        server.update_descriptors(|descriptors| descriptors.grow(SWEEP_INTERVAL));
        let closing = server.node_state.phase() == Phase::Closing;
        let idle = if closing { Duration::from_millis(100) } else { MAX_IDLE };
        server.close_all(|connection| {
            connection.eviction_class() == EvictionClass::TimedOut || connection.idle_for(idle)
        });
    }
}
