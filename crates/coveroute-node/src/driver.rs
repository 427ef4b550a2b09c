//! The driver: owns the engine and the clock, feeds every event to the engine, and executes the actions it returns.
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use coveroute::types::{ExecutorIndex, InvocationId, Outcome, Report, Reports};
use coveroute_engine::{Action, Engine, Event, JobReport, Phase, Reply, Setup};
use coveroute_fleet::FleetConfig;
use log::{debug, error, info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::attempt::{Attempt, AttemptCounts, Deadline, Progress};
use crate::callbacks;
use crate::client_connection::{Client, ClientConnection, ClientConnections, Handover};
use crate::clock::{seconds, Clock};
use crate::config::Config;
use crate::discovery::Discovery;
use crate::event::{DriverEvent, EventSender, NodeFigures};
use crate::executors::{ExecutorConnections, Lease};
use crate::fleet::FleetMember;
use crate::handover::{HandoverState, TransferredJob};
use crate::held_bytes::HeldBytes;
use crate::link::{Link, LinkEvent, Side};
use crate::node_state::NodeState;
use crate::peers::Peers;
use crate::probe::{give_up, probe};
use crate::replace::{self, BoundSocket};
use crate::request::Job;
use crate::send;
use crate::server::AdoptedConnection;
use crate::validation::Keys;

/// Share of the load limit for cold executors that goes to the process that accepts connections, while two processes of
/// the node run. The other process only retries the jobs that it already has.
const COLD_SHARE: f64 = 0.75;
/// How often a closing node checks whether it may exit.
const CLOSING_POLL_INTERVAL: f64 = 0.02;

/// A job, kept until its client has the final answer.
struct PendingJob {
    job: Rc<Job>,
    client: Client,
}

/// The task that sends a forward, its progress, and what its executor is told if it is given up.
struct ForwardTask {
    task: JoinHandle<()>,
    attempt: Rc<Attempt>,
    lease: Rc<Lease>,
    call: Arc<str>,
}

/// The parts of the configuration in force that a reload is compared with.
struct AppliedConfig {
    keys: Keys,
    /// Changes to these take effect at the next start.
    fixed: (SocketAddr, Option<SocketAddr>, usize, usize),
    /// The node's identity: a reload can't change it.
    identity: (usize, Option<Vec<SocketAddr>>),
    discovery: SocketAddr,
}

impl AppliedConfig {
    fn of(config: &Config) -> Self {
        AppliedConfig {
            keys: config.keys.clone(),
            fixed: (config.listen, config.management, config.sockets, config.memory_mb),
            identity: (config.settings.node_index, config.peers.clone()),
            discovery: config.discovery,
        }
    }

    /// Why the new configuration can't replace this one while the node runs, if it can't.
    fn reject_reason(&self, new: &AppliedConfig, pushed: (bool, bool)) -> Option<String> {
        let missing = new.keys.first_missing(&self.keys);
        match missing {
            Some(key) => Some(format!("{key}: missing, but present in the configuration in force")),
            None if pushed.0 != pushed.1 => Some("settings.registryMode can only change at a restart".into()),
            None if self.identity != new.identity => {
                Some("settings.me and peers can only change at a restart".into())
            }
            None => None,
        }
    }
}

/// Sockets and connections to other nodes, to other processes of this node and to clients.
#[derive(Default)]
pub struct Endpoints {
    /// For hints from other nodes, where nodes exchange them.
    pub datagrams: Option<UdpSocket>,
    /// This node's fleet membership, where the deployment has a fleet.
    pub fleet_member: Option<Rc<FleetMember>>,
    /// The link to the predecessor process, and the state that it handed over.
    pub predecessor: Option<(Rc<Link>, HandoverState)>,
    pub successor_socket: Option<SuccessorSocket>,
    /// The clients' connections, and the queue for connections that the predecessor hands over.
    pub connections: ClientConnections,
    pub adopted: Option<mpsc::UnboundedSender<AdoptedConnection>>,
}

/// The Unix socket at which successors connect, and the sockets that are passed to them.
pub struct SuccessorSocket {
    pub path: PathBuf,
    pub sockets: Vec<OwnedFd>,
}

pub struct Driver {
    clock: Clock,
    engine: Engine,
    node_state: Rc<NodeState>,
    executor_connections: ExecutorConnections,
    discovery: Discovery,
    jobs: HashMap<InvocationId, PendingJob>,
    /// The task of each forward. Aborting one before its answer closes the connection.
    forwards: HashMap<(InvocationId, usize), ForwardTask>,
    attempts: Rc<AttemptCounts>,
    reports: bool,
    applied: AppliedConfig,
    /// Hints to and from other nodes, where enabled.
    peers: Option<Peers>,
    fleet_member: Option<Rc<FleetMember>>,
    /// The other processes of this node: the one that this process replaces, and the one that replaces it.
    predecessor: Option<Rc<Link>>,
    successor: Option<Rc<Link>>,
    /// The socket for successors, until it is bound and once it is.
    successor_socket: Option<SuccessorSocket>,
    bound_socket: Option<BoundSocket>,
    connections: ClientConnections,
    adopted: Option<mpsc::UnboundedSender<AdoptedConnection>>,
    /// Whether the predecessor was told that this process serves.
    announced: bool,
    events: EventSender,
    /// Reused buffer for the actions of the next event.
    actions: Vec<Action>,
}

impl Driver {
    pub fn new(
        config: Config,
        clock: Clock,
        node_state: Rc<NodeState>,
        executor_connections: ExecutorConnections,
        endpoints: Endpoints,
        events: EventSender,
    ) -> Result<Self, String> {
        let Endpoints { datagrams, fleet_member, predecessor, successor_socket, connections, adopted } =
            endpoints;
        node_state.set_lists_from(config.pushed_by());
        node_state.set_max_pause(config.settings.max_pause);
        let applied = AppliedConfig::of(&config);
        let Config { settings, names, seed, timeouts, known, discovery, peers, .. } = config;
        let listen = |socket: UdpSocket| {
            Peers::new(
                settings.node_index,
                peers.unwrap_or_default(),
                socket,
                events.clone(),
                fleet_member.clone(),
            )
            .map_err(|e| format!("peer socket: {e}"))
        };
        let peers = datagrams.map(listen).transpose()?;
        let (predecessor, handover_state) = predecessor.unzip();
        let previous_state = handover_state.map(|state| state.memory(discovery));
        let reports = settings.reports != Reports::Never;
        let setup = Setup { settings, names, seed, timeouts, known, previous_state };
        let mut actions = Vec::new();
        let mut driver = Driver {
            clock,
            engine: Engine::new(clock.now(), setup, &mut actions),
            node_state,
            executor_connections,
            discovery: Discovery::new(discovery, events.clone()),
            jobs: HashMap::new(),
            forwards: HashMap::new(),
            attempts: Rc::default(),
            reports,
            applied,
            peers,
            fleet_member,
            predecessor,
            successor: None,
            successor_socket,
            connections,
            adopted,
            bound_socket: None,
            announced: false,
            events,
            actions,
        };
        driver.node_state.set_predecessor_accepting(driver.predecessor.is_some());
        // The predecessor accepts until this process announces that it serves.
        driver.node_state.set_accepts_connections(driver.predecessor.is_none());
        driver.split_limits();
        driver.execute_actions();
        if driver.predecessor.is_none() {
            driver.receive_peer_messages(true);
            driver.listen_for_successors();
        }
        Ok(driver)
    }

    /// Runs until the node has reached its final phase.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<DriverEvent>) {
        while self.node_state.phase() != Phase::Ended {
            let next_poll = Instant::now() + seconds(CLOSING_POLL_INTERVAL);
            let handing_over = !self.node_state.accepts_connections();
            let closing = (self.node_state.phase() == Phase::Closing || handing_over).then_some(next_poll);
            let due = self.engine.next_due().map(|due| self.clock.instant(due));
            let next = due.into_iter().chain(closing).min();
            tokio::select! {
                biased;
                event = events.recv() => event.into_iter().for_each(|event| self.handle_event(event)),
                () = tokio::time::sleep_until(next.unwrap_or(next_poll).into()) => {}
            }
            self.advance();
            if handing_over {
                self.hand_over();
            }
            // A connection stays busy until its answer has been written.
            let busy = || self.connections.borrow().values().any(|connection| connection.is_busy());
            if closing.is_some() && self.node_state.idle() && !busy() {
                self.dispatch(Event::Idle);
            }
        }
    }

    #[cfg(test)]
    pub fn settings(&self) -> &coveroute::types::Settings {
        self.engine.decisions().settings()
    }

    fn advance(&mut self) {
        self.engine.advance(self.clock.now(), &mut self.actions);
        self.execute_actions();
    }

    fn dispatch(&mut self, event: Event) {
        self.engine.handle(self.clock.now(), event, &mut self.actions);
        self.execute_actions();
    }

    pub fn handle_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::FromClient(event, slot) => {
                self.handle_event(*event);
                drop(slot);
            }
            DriverEvent::Accepted(id, job, client) => {
                self.fleet_member
                    .iter()
                    .for_each(|fleet_member| fleet_member.record_invocation(job.call.caller.as_deref()));
                let job: Rc<Job> = job.into();
                self.jobs.insert(id, PendingJob { job: job.clone(), client });
                self.dispatch(Event::CallReceived(id, &job.call));
            }
            DriverEvent::Disconnected(id) => {
                self.jobs.remove(&id);
                self.dispatch(Event::ClientDisconnected(id));
            }
            DriverEvent::Replied(id, forward, reply) => {
                if !matches!(reply, Reply::NotAcknowledged | Reply::Written) {
                    self.forwards.remove(&(id, forward));
                }
                self.dispatch(Event::Replied(id, forward, reply));
            }
            DriverEvent::JobReport(job_report, body, ack) => {
                self.handle_job_report(job_report, body, ack, None)
            }
            DriverEvent::ReportRelayed(job_report, ack, settled) => {
                let settled = settled || self.engine.knows(&job_report.call);
                self.dispatch(Event::JobReport(job_report));
                ack.map(|ack| ack.send(settled));
            }
            DriverEvent::CallQueried(call, reply) => self.query_call(&call, reply),
            DriverEvent::HandoverRequested(reply) => {
                let _ = reply.send(HandoverState::of(
                    self.applied.discovery,
                    self.engine.state(),
                    self.clock.reading(),
                ));
            }
            DriverEvent::SuccessorConnected(link) => self.successor_connected(link),
            DriverEvent::LinkMessage(side, number, event) => self.handle_link_message(side, number, event),
            DriverEvent::Probed(executor_index, outcome, report) => {
                self.dispatch(Event::Probed(executor_index, outcome, report))
            }
            DriverEvent::Watch(watch, watched) => self.dispatch(Event::Watch(watch, watched)),
            DriverEvent::PeerMessage { from, kind, mark, count } => {
                self.dispatch(Event::PeerMessage { from, kind, mark, count });
            }
            DriverEvent::Reload(Ok(config), plan) => self.reload(&config, plan),
            DriverEvent::Reload(Err(reason), _) => self.reject_reload(&reason),
            DriverEvent::Ended(operation, result) => {
                self.dispatch(Event::AnsweredByFront(&operation, result))
            }
            DriverEvent::Quotas(quotas) => self.dispatch(Event::Quotas(quotas)),
            DriverEvent::FiguresRequested(reply) => {
                let (engine, attempts) = (self.engine.metrics(self.clock.now()), self.attempts.figures());
                let _ = reply.send(NodeFigures { engine, attempts });
            }
            DriverEvent::Stop => {
                // Before the stop gives back jobs or closes connections.
                self.hand_over();
                // A successor continues as the same fleet member, so the fleet is told of a departure only without one.
                self.fleet_member
                    .iter()
                    .filter(|_| self.successor.is_none())
                    .for_each(|fleet_member| fleet_member.leave());
                self.dispatch(Event::Stop);
            }
        }
    }

    fn reject_reload(&mut self, reason: &str) {
        error!("not reloaded, all stays as it is: {reason}");
        self.dispatch(Event::ReloadFailed);
    }

    /// Applies a new configuration entirely or not at all.
    fn reload(&mut self, config: &Config, plan: Option<FleetConfig>) {
        if !self.engine.phase().takes_settings() {
            return self.reject_reload("the node is stopping");
        }
        let new = AppliedConfig::of(config);
        let pushed = (self.node_state.lists_from().is_some(), config.pushed_by().is_some());
        if let Some(why) = self.applied.reject_reason(&new, pushed) {
            return self.reject_reload(&why);
        }
        if let Some((fleet_member, plan)) = self.fleet_member.as_ref().zip(plan) {
            if let Err(why) = fleet_member.reread(plan, config.shares()) {
                return self.reject_reload(&format!("fleet file: {why}"));
            }
        }
        if self.applied.fixed != new.fixed {
            warn!("changed addresses and process limits take effect at the next start");
        }
        let list_source_changed = self.applied.discovery != new.discovery;
        if list_source_changed {
            info!("now following the executor list at {}", new.discovery);
            self.discovery.set_addr(new.discovery);
        }
        self.applied = AppliedConfig { fixed: self.applied.fixed, ..new };
        self.node_state.set_lists_from(config.pushed_by());
        self.node_state.set_max_pause(config.settings.max_pause);
        self.executor_connections.set_timeouts(config.dial, config.idle);
        self.reports = config.settings.reports != Reports::Never;
        self.dispatch(Event::Reloaded {
            settings: Some(Box::new(config.reloaded_settings())),
            list_source_changed,
        });
    }

    /// Executes pending actions. A failed action is reported to the engine, which may return further actions.
    fn execute_actions(&mut self) {
        while !self.actions.is_empty() {
            let mut actions = std::mem::take(&mut self.actions);
            for action in actions.drain(..) {
                if let Some(failed) = self.execute(action) {
                    self.engine.handle(self.clock.now(), failed, &mut self.actions);
                }
            }
            if self.actions.is_empty() {
                self.actions = actions; // Keeps the allocation.
                break;
            }
        }
        self.node_state.set_phase(self.engine.phase());
        if let Some(predecessor) =
            self.predecessor.as_ref().filter(|_| self.node_state.is_up() && !self.announced)
        {
            predecessor.send_serving();
            self.announced = true;
            self.set_accepting(true);
        }
    }

    /// Splits the node's limits, and the load limit for cold executors, between its processes. The process that accepts
    /// connections gets most of the latter.
    fn split_limits(&mut self) {
        let paired = self.predecessor.is_some() || self.successor.is_some();
        self.node_state.set_paired(paired);
        self.executor_connections.set_paired(paired);
        let part = match (paired, self.node_state.accepts_connections()) {
            (false, _) => 1.0,
            (true, true) => COLD_SHARE,
            (true, false) => 1.0 - COLD_SHARE,
        };
        self.dispatch(Event::CapacityShare(part));
    }

    fn listen_for_successors(&mut self) {
        if let Some(SuccessorSocket { path, sockets }) = self.successor_socket.take() {
            self.bound_socket = replace::listen_for_successors(&path, sockets, self.events.clone());
        }
    }

    /// Replaces an earlier successor that connected but never got as far as serving.
    fn successor_connected(&mut self, link: Rc<Link>) {
        info!("a successor process of this node has connected");
        self.successor = Some(link);
        self.set_accepting(true);
    }

    /// Sets whether this process accepts connections and receives other nodes' messages.
    fn set_accepting(&mut self, accepting: bool) {
        self.node_state.set_accepts_connections(accepting);
        self.receive_peer_messages(accepting);
        self.split_limits();
    }

    /// Only one of a node's processes receives messages from other nodes: the one that serves.
    fn receive_peer_messages(&mut self, enabled: bool) {
        self.peers.iter_mut().for_each(|peers| peers.set_receiving(enabled));
    }

    fn handle_link_message(&mut self, side: Side, number: u64, event: LinkEvent) {
        let link = match side {
            Side::Predecessor => &mut self.predecessor,
            Side::Successor => &mut self.successor,
        };
        let Some(own) = link.as_ref().filter(|link| link.number == number).cloned() else { return };
        match (side, event) {
            (Side::Successor, LinkEvent::Serving) => {
                info!("the successor process serves: this process accepts no more connections");
                self.set_accepting(false);
                own.send_stopped();
                self.hand_over();
            }
            (Side::Predecessor, LinkEvent::Stopped) => self.takeover_complete(),
            (Side::Predecessor, LinkEvent::IdleConnection(socket)) => {
                self.adopt_connection(socket, AdoptedConnection::Idle);
            }
            (Side::Predecessor, LinkEvent::Job(job, socket)) => self.adopt_job(*job, socket),
            (Side::Successor, LinkEvent::IdleConnection(_) | LinkEvent::Job(..)) => {
                warn!("unexpected handover of a connection from the successor")
            }
            (side, LinkEvent::ExecutorReport(body, ack)) => match callbacks::parse(&body) {
                Ok(job_report) => self.handle_job_report(job_report, body, Some(ack), Some(side)),
                Err(e) => warn!("invalid executor report on the process link: {e}"),
            },
            (Side::Predecessor, LinkEvent::Ended) => {
                self.predecessor = None;
                self.receive_peer_messages(true);
                self.takeover_complete();
                if !self.announced {
                    self.node_state.set_accepts_connections(true);
                }
                self.split_limits();
            }
            (Side::Successor, LinkEvent::Ended) => {
                // If the successor dies, this process resumes serving.
                self.successor = None;
                self.set_accepting(true);
            }
            (Side::Predecessor, LinkEvent::Serving) | (Side::Successor, LinkEvent::Stopped) => {
                warn!("unexpected message on the process link")
            }
        }
    }

    /// Passes a connection from the predecessor to the server; returns whether the server took it.
    fn adopt_connection(
        &mut self,
        socket: OwnedFd,
        wrap: impl FnOnce(TcpStream) -> AdoptedConnection,
    ) -> bool {
        let stream = TcpStream::from_std(std::net::TcpStream::from(socket));
        match (stream, &self.adopted) {
            (Ok(stream), Some(adopted)) => return adopted.send(wrap(stream)).is_ok(),
            (Ok(_), None) => {}
            (Err(e), _) => warn!("lost a connection handed over by the predecessor: {e}"),
        }
        false
    }

    /// Continues a job that the predecessor handed over.
    fn adopt_job(&mut self, transferred: TransferredJob, socket: OwnedFd) {
        let job = transferred.job().filter(|_| transferred.parcel.is_consistent());
        let Some(job) = job else { return error!("invalid job handed over by the predecessor") };
        let (id, (answer, answered)) = (self.node_state.next_id(), oneshot::channel());
        // The client may have disconnected during the handover, so the socket is checked before anything is sent.
        let connection = Rc::new(ClientConnection::new(socket.as_raw_fd(), HeldBytes::unlimited()));
        let client = Client { answer, connection: Some(connection.clone()) };
        self.jobs.insert(id, PendingJob { job: Rc::new(job), client });
        let mine = connection.clone();
        if !self.adopt_connection(socket, |stream| AdoptedConnection::Waiting(stream, mine, id, answered)) {
            connection.set_closed();
        }
        self.engine.take_over_job(self.clock.now(), id, transferred.parcel, &mut self.actions);
        self.execute_actions();
    }

    /// Hands over to the successor what can be moved now: idle connections, and jobs with their clients' connections.
    /// After a stop request this process exits once nothing is left.
    fn hand_over(&mut self) {
        let Some(successor) = self.successor.clone().filter(|_| !self.node_state.accepts_connections())
        else {
            return;
        };
        let connections: Vec<_> = self.connections.borrow().values().cloned().collect();
        for connection in &connections {
            let Some(leaves) = connection.handover() else { continue };
            let Ok(socket) = connection.socket() else { continue };
            match leaves {
                Handover::Idle => successor.send_connection(socket),
                Handover::Waiting(id) => {
                    let Some(job) = self.jobs.get(&id).map(|pending| pending.job.clone()) else { continue };
                    let Some(handover) = self.engine.hand_over_job(id) else { continue };
                    self.jobs.remove(&id);
                    successor.send_job(TransferredJob::of(handover, &job), socket);
                }
            }
            connection.set_handed_over();
        }
        if connections.is_empty() && successor.is_flushed() && self.node_state.phase() == Phase::Leaving {
            self.dispatch(Event::JobsHandedOver);
        }
    }

    /// The predecessor has stopped accepting: this process now serves alone.
    fn takeover_complete(&mut self) {
        self.node_state.set_predecessor_accepting(false);
        self.listen_for_successors();
    }

    /// Handles an executor's report, which arrives at whichever process the executor's connection leads to. A report on
    /// a job that is unknown here is relayed to the other processes, and acknowledged once one of them knows the job or
    /// all of them have denied it.
    fn handle_job_report(
        &mut self,
        job_report: JobReport,
        body: Bytes,
        ack: Option<oneshot::Sender<bool>>,
        from: Option<Side>,
    ) {
        let others: Vec<Rc<Link>> = self.predecessor.iter().chain(&self.successor).cloned().collect();
        let others: Vec<_> = others.into_iter().filter(|link| Some(link.side) != from).collect();
        let known_here = self.engine.knows(&job_report.call);
        if known_here || others.is_empty() {
            ack.map(|ack| ack.send(known_here || from.is_none()));
            return self.dispatch(Event::JobReport(job_report));
        }
        let events = self.events.clone();
        actix_rt::spawn(async move {
            let mut known = true;
            for link in others {
                match link.relay_report(&body).await {
                    Some(true) => {
                        ack.map(|ack| ack.send(true));
                        return;
                    }
                    Some(false) => {}
                    None => known = false,
                }
            }
            // No process knows the job, so there is nothing to wait for, unless one did not reply. The job may have
            // arrived here in the meantime.
            let _ = events.send(DriverEvent::ReportRelayed(job_report, ack, known && from.is_none()));
        });
    }

    /// Asks the other processes of this node whether one of them knows the call. They are asked by a report on it that
    /// names no executor, which changes nothing there, because processes of earlier releases know no other question.
    fn query_call(&self, call: &str, reply: oneshot::Sender<bool>) {
        let others: Vec<Rc<Link>> = self.predecessor.iter().chain(&self.successor).cloned().collect();
        let report = callbacks::report_without_executor(call);
        actix_rt::spawn(async move {
            let mut is_known = false;
            for link in others {
                is_known |= link.relay_report(report.as_bytes()).await == Some(true);
            }
            let _ = reply.send(is_known);
        });
    }

    fn execute(&mut self, action: Action) -> Option<Event<'static>> {
        match action {
            Action::Send { id, forward, executor_index, end, write_until } => {
                let deadline = Deadline::new(self.clock.instant(end), self.clock.instant(write_until));
                return self.send(id, forward, executor_index, deadline);
            }
            Action::Abort { id, forward, cancel } => self.abort(id, forward, cancel),
            Action::Recall { id, forward } => return self.recall(id, forward),
            Action::Cancel { executor_index, call } => {
                if let Some(lease) = self.executor_connections.lease(executor_index) {
                    self.cancel(lease.into(), call);
                }
            }
            Action::Answer { id, answer } => {
                let pending = self.jobs.remove(&id);
                pending.map(|pending| pending.client.answer.send(answer.into()));
            }
            Action::Probe(executor_index) => return self.probe(executor_index),
            Action::Release(executor_index) => self.executor_connections.close_idle(executor_index),
            Action::SetAddress(executor_index, addr) => {
                self.executor_connections.set_address(executor_index, addr)
            }
            Action::RemoveExecutor(executor_index) => self.executor_connections.remove(executor_index),
            Action::WatchList { watch, version } => self.discovery.follow(watch, version),
            Action::SendToPeer { to, kind, mark, count } => {
                self.peers.iter().for_each(|peers| peers.send(to, kind, mark, count));
            }
        }
        None
    }

    fn send(
        &mut self,
        id: InvocationId,
        forward: usize,
        executor_index: ExecutorIndex,
        deadline: Deadline,
    ) -> Option<Event<'static>> {
        let Some((job, client)) =
            self.jobs.get(&id).map(|pending| (pending.job.clone(), pending.client.connection.clone()))
        else {
            debug!("forward {forward} of {id} not started: the client disconnected");
            self.attempts.count_client_left();
            return Some(not_started(id, forward));
        };
        let Some(lease) = self.executor_connections.lease(executor_index) else {
            debug!("forward {forward} of {id} not started: no free connection");
            self.attempts.count_no_connection();
            return Some(not_started(id, forward));
        };
        let (events, timeouts) = (self.events.clone(), self.executor_connections.ack_timeouts());
        let attempt = Rc::new(Attempt::new((id, forward), deadline, client, self.attempts.clone()));
        let (lease, call) = (Rc::new(lease), job.call.call_id.clone());
        let (mine, own_lease) = (attempt.clone(), lease.clone());
        let task = actix_rt::spawn(async move {
            let report = |reply| drop(events.send(DriverEvent::Replied(id, forward, reply)));
            send::forward(&own_lease, &job, mine, timeouts, report).await;
        });
        self.forwards.insert((id, forward), ForwardTask { task, attempt, lease, call });
        None
    }

    /// Closes the connection of a forward. An executor that has the whole job may have answered already, so it is told as
    /// well; it can't have begun a job of which bytes are missing.
    fn abort(&mut self, id: InvocationId, forward: usize, cancel: bool) {
        let Some(forward) = self.forwards.remove(&(id, forward)) else { return };
        forward.task.abort();
        if cancel && forward.attempt.progress() == Progress::Written {
            self.cancel(forward.lease, forward.call);
        }
    }

    /// Tells an executor to cancel a job.
    fn cancel(&self, lease: Rc<Lease>, call: Arc<str>) {
        actix_rt::spawn(give_up(lease, call, self.executor_connections.request_timeout()));
    }

    /// Withdraws a forward whose executor was reported as draining while the connection was still being established.
    fn recall(&mut self, id: InvocationId, forward: usize) -> Option<Event<'static>> {
        self.forwards
            .get(&(id, forward))
            .filter(|forward| forward.attempt.progress() == Progress::Waiting)?;
        self.forwards.remove(&(id, forward))?.task.abort();
        debug!("forward {forward} of {id} withdrawn: the executor is draining");
        Some(not_started(id, forward))
    }

    fn probe(&mut self, executor_index: ExecutorIndex) -> Option<Event<'static>> {
        let Some(lease) = self.executor_connections.lease(executor_index) else {
            // Without a free connection the executor has no capacity that could be used now.
            return Some(Event::Probed(executor_index, Outcome::Full, Report::default()));
        };
        let (events, reports, time_limit) =
            (self.events.clone(), self.reports, self.executor_connections.request_timeout());
        actix_rt::spawn(async move {
            let (outcome, report) = probe(lease, reports, time_limit).await;
            let _ = events.send(DriverEvent::Probed(executor_index, outcome, report));
        });
        None
    }
}

/// The reply for a forward that was never sent. It says nothing of the executor, which must not be suspected because
/// this node ran out of descriptors or because the client disconnected.
fn not_started(id: InvocationId, forward: usize) -> Event<'static> {
    Event::Replied(id, forward, Reply::Ended(Outcome::NotWritten, Report::default()))
}

#[cfg(test)]
mod tests;
