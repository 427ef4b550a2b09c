//! The engine: takes each event together with its time and returns the actions that the host has to carry out, in
//! order.
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use coveroute::node::Node;
use coveroute::policy::DISPATCH_TIMER;
use coveroute::types::{
    Budget, ExecutorIndex, InitialListAge, Input, InvocationId, List, Loss, Operation, Outcome, Output,
    PeerMessageKind, Report, Settings, Settled, Standing, Submission,
};
use coveroute_shared::Names;
use log::{debug, error, info, warn};

use crate::admit::{admit, Call};
use crate::answer::{Answer, Rejection};
use crate::counts::{Counts, JobResult, ListMetrics, NodeMetrics};
use crate::decision_queue::DecisionQueue;
use crate::decisions::Decisions;
use crate::engine_state::EngineState;
use crate::job_handover::JobHandover;
use crate::list::{AddressChange, Fleet, Listing};
use crate::operations::Operations;
use crate::phase::{Phase, Step};
use crate::records::{Forward, Record, Records, Stage};
use crate::timers::Timers;

/// The part of a reloaded configuration that concerns decisions.
#[derive(Clone, Debug)]
pub struct ReloadedSettings {
    pub settings: Settings,
    pub names: Names,
    /// Client timeout of each operation, in seconds.
    pub timeouts: Vec<f64>,
}

/// What an engine is created with.
#[derive(Debug)]
pub struct Setup {
    pub settings: Settings,
    pub names: Names,
    pub seed: u64,
    /// Client timeout of each operation, in seconds.
    pub timeouts: Vec<f64>,
    /// The list of executors that this node last stored.
    pub known: Option<Listing>,
    /// State handed over by the previous process of this node, if any. Its list takes precedence over `known`.
    pub previous_state: Option<EngineState>,
}

#[derive(Debug)]
pub enum Event<'a> {
    /// A front has read a call.
    CallReceived(InvocationId, &'a Call),
    /// The client has disconnected.
    ClientDisconnected(InvocationId),
    /// The executor's first response to a forward, or its absence.
    Replied(InvocationId, usize, Reply),
    /// An executor reports on a job that it has taken.
    JobReport(JobReport),
    Probed(ExecutorIndex, Outcome, Report),
    /// An event of the watch with this number on the list of executors.
    Watch(u64, WatchEvent),
    /// Another node, given by its number, sent a message about the executor with this mark.
    PeerMessage {
        from: usize,
        kind: PeerMessageKind,
        mark: u32,
        count: u8,
    },
    /// A valid configuration was reloaded: its settings, if they apply, and whether the list now has another
    /// source.
    Reloaded {
        settings: Option<Box<ReloadedSettings>>,
        list_source_changed: bool,
    },
    /// The reloaded configuration is invalid; the current one stays in force.
    ReloadFailed,
    /// This process's share of the cold executors' capacity while another process of this node runs.
    CapacityShare(f64),
    /// This node's current part of the tenants' fleet-wide quotas: invocations per second, by tenant name.
    Quotas(Vec<(String, f64)>),
    /// A front has ended a job of this operation that never reached the engine.
    AnsweredByFront(&'a str, JobResult),
    /// The platform requests a stop.
    Stop,
    /// All open jobs have moved to another process, so there is nothing left to wait for.
    JobsHandedOver,
    /// No request is open: every answer has been written.
    Idle,
}

/// Progress of a forward, as its connection to the executor shows it.
#[derive(Clone, PartialEq)]
pub enum Reply {
    /// The last byte of the request has been written.
    Written,
    /// The executor has accepted the job and will report its result later.
    Taken,
    /// The executor has not accepted the job in time; it still may.
    NotAcknowledged,
    Ended(Outcome, Report),
    /// The executor rejected the request as invalid, with this status of the protocol.
    Rejected(u16, Report),
    /// The job ran and returned this result.
    Succeeded(Bytes, Report),
}

/// Recorded runs of the emulator contain this text, so it keeps the variants' former names.
impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Reply::Written => f.write_str("Written"),
            Reply::Taken => f.write_str("Taken"),
            Reply::NotAcknowledged => f.write_str("Unheard"),
            Reply::Ended(outcome, report) => f.debug_tuple("Ended").field(outcome).field(report).finish(),
            Reply::Rejected(status, report) => f.debug_tuple("Unfit").field(status).field(report).finish(),
            Reply::Succeeded(result, report) => {
                f.debug_tuple("Succeeded").field(result).field(report).finish()
            }
        }
    }
}

/// An event of a watch on the list of executors.
#[derive(Clone, PartialEq)]
pub enum WatchEvent {
    /// The watch is established, and all earlier changes have been delivered.
    Established,
    Listed(Listing),
    Lost(Loss),
}

/// Recorded runs of the emulator contain this text, so it keeps the variants' former names.
impl fmt::Debug for WatchEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WatchEvent::Established => f.write_str("Begun"),
            WatchEvent::Listed(listing) => f.debug_tuple("Listed").field(listing).finish(),
            WatchEvent::Lost(loss) => f.debug_tuple("Lost").field(loss).finish(),
        }
    }
}

/// The content of an executor's report on a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// The job has started or is still running.
    Running,
    Succeeded(Bytes),
    Ended(Outcome),
}

/// An executor's report on a job that it has accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct JobReport {
    pub call: String,
    pub from: String,
    pub status: JobStatus,
    pub report: Report,
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the job to the executor. Its last byte must be written by `write_until`, or it must not be sent at all.
    /// The node answers by `end`; the host computes the remaining time from the clock when it writes the request.
    Send {
        id: InvocationId,
        forward: usize,
        executor_index: ExecutorIndex,
        end: f64,
        write_until: f64,
    },
    /// Close the connection of a forward whose acknowledgement has not arrived. With `cancel`, also tell the executor to
    /// cancel the job if it has been written completely: the acknowledgement may have been lost on its way, and closing
    /// the connection then cancels nothing.
    Abort {
        id: InvocationId,
        forward: usize,
        cancel: bool,
    },
    /// Cancel the send if no byte of the job has been written yet, and report that: the executor is draining or gone.
    Recall {
        id: InvocationId,
        forward: usize,
    },
    /// Tell the executor to cancel a job that it has accepted.
    Cancel {
        executor_index: ExecutorIndex,
        call: Arc<str>,
    },
    Answer {
        id: InvocationId,
        answer: Answer,
    },
    Probe(ExecutorIndex),
    /// Close the idle connections to the executor.
    Release(ExecutorIndex),
    /// The executor listens at this address. If the address is new, connections to the old one are dropped.
    SetAddress(ExecutorIndex, SocketAddr),
    /// The executor has left the list.
    RemoveExecutor(ExecutorIndex),
    /// Start a watch with this number on the list, from after this version; any earlier watch is dropped.
    WatchList {
        watch: u64,
        version: u64,
    },
    /// Send another node a message about the executor with this mark.
    SendToPeer {
        to: usize,
        kind: PeerMessageKind,
        mark: u32,
        count: u8,
    },
}

#[derive(Debug)]
pub(crate) enum Timer {
    /// A timer that the decisions have set.
    Decisions(u64),
    /// The deadline of an invocation.
    Deadline(InvocationId),
    PhaseStep(Step),
    /// Start a new watch on the list, unless another one has been started since this one.
    Follow(u64),
}

/// The watch number of a list that was pushed to the node without a watch.
pub const NO_WATCH: u64 = 0;
/// Delay in seconds before a lost watch on a pushed list is started again. The agent that keeps such a list belongs to this
/// node, and what it holds counts as delivered. The delay is a few round trips, enough for a call to fail by itself, and
/// well below the shortest drain grace period observed (0.1 s).
const PUSHED_LIST_RETRY_DELAY: f64 = 0.05;
/// Seconds after which a node that has a stored list becomes ready even if discovery has not answered: the platform
/// requires nine in ten restarted nodes to be ready within six to ten seconds.
const READY_DEADLINE: f64 = 5.5;
/// Shortest time in seconds that a stopping node serves as before. New connections arrive for at most 0.4 s after the
/// stop; the rest is margin for their way.
const MIN_LEAVING_TIME: f64 = 0.6;
/// Share of the time to stop in which the node serves as before; the rest is for finishing open jobs.
const LEAVING_SHARE: f64 = 0.5;
/// Seconds from the start of `Phase::Closing` until the node may exit. Idle connections have been closed by then, and
/// clients that were about to use one have reconnected.
const IDLE_CLOSE_TIME: f64 = 0.2;
/// The platform waits for the longest client timeout, at most this long, plus 0.7 s, and then kills the process.
const MAX_STOP_WAIT: f64 = 3.0;
/// Number of calls of earlier processes of the node that are remembered.
const MAX_PREDECESSOR_CALLS: usize = 8192;
/// Offsets within those 0.7 s: the last answers are due after the first, and the node exits unconditionally after the
/// second.
const LAST_ANSWER_OFFSET: f64 = 0.2;
const FORCED_EXIT_OFFSET: f64 = 0.45;

/// The state machine of one node process. `D` makes the routing decisions.
pub struct Engine<D = Node> {
    pub(crate) timers: Timers<Timer>,
    phase: Phase,
    pub(crate) queue: DecisionQueue<D>,
    pub(crate) fleet: Fleet,
    pub(crate) records: Records,
    /// Number of the current watch on the list. Events of earlier watches are ignored.
    watch: u64,
    /// Version of the current list of executors.
    version: u64,
    /// When this process started.
    started_at: f64,
    /// When discovery was first and last heard from since then.
    discovery_heard: Option<[f64; 2]>,
    /// The list is pushed by an agent. The engine watches it from the start and restarts a lost watch at once.
    list_pushed: bool,
    /// The current watch is established and has not been lost.
    followed: bool,
    operations: Operations,
    /// The entries of the operations, under the same indices as in the decisions.
    entries: Vec<Operation>,
    counts: Counts,
    /// Calls that earlier processes of this node have served or still serve.
    served_by_predecessor: BTreeSet<String>,
    /// The overload factor of cold executors and the budget of forwards, as the settings have them.
    cold_factor: f64,
    budget: Option<Budget>,
    /// This process's share of the cold executors' capacity. It also decides whether it has the budget of forwards.
    process_share: f64,
    /// Once the node is stopping: the time by which all invocations must be answered.
    answer_by: f64,
    /// Once the node is stopping: the time from which it may exit when idle.
    exit_from: f64,
    pub(crate) cancelling: bool,
    /// An invocation may have two forwards in flight.
    pub(crate) second_copies: bool,
    /// Buffer that is reused for the outputs of each event.
    outputs: Vec<Output>,
}

impl Engine<Node> {
    pub fn new(now: f64, setup: Setup, out: &mut Vec<Action>) -> Self {
        let node = Node::new(setup.settings.clone(), setup.seed);
        Engine::with_decisions(now, node, setup, out)
    }
}

impl<D: Decisions> Engine<D> {
    /// Creates an engine with the given implementation of the decisions.
    pub fn with_decisions(now: f64, decisions: D, mut setup: Setup, out: &mut Vec<Action>) -> Self {
        let names = std::mem::take(&mut setup.names.operations);
        let mut engine = Engine {
            timers: Timers::new(),
            phase: Phase::Starting,
            queue: DecisionQueue::new(decisions),
            fleet: Fleet::new(setup.names, setup.settings.only_draining),
            records: Records::default(),
            watch: 0,
            version: 0,
            started_at: now,
            discovery_heard: None,
            list_pushed: !setup.settings.polls_list,
            followed: false,
            operations: Operations::new(names, &setup.timeouts),
            entries: setup.settings.operations,
            counts: Counts::default(),
            served_by_predecessor: BTreeSet::new(),
            cold_factor: setup.settings.cold.factor,
            budget: setup.settings.budget,
            process_share: 1.0,
            answer_by: f64::INFINITY,
            exit_from: f64::INFINITY,
            cancelling: setup.settings.cancelling,
            second_copies: setup.settings.second_copies,
            outputs: Vec::new(),
        };
        engine.register_operations();
        let previous_state = setup.previous_state;
        let age = match &previous_state {
            Some(state) if state.current => InitialListAge::Current,
            _ => InitialListAge::Unknown,
        };
        let known = previous_state.as_ref().map(|state| state.listing.clone()).or(setup.known);
        engine.apply_initial_list(now, age, known.unwrap_or_default(), out);
        engine.run_decisions(now, out);
        previous_state.into_iter().for_each(|state| engine.restore_state(now, state));
        if engine.list_pushed {
            engine.follow(out);
        }
        engine
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The time at which `advance` must be called next.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.next()
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub fn decisions(&self) -> &D {
        self.queue.decisions()
    }

    /// Number of records held. It is bounded by what the fronts admit.
    pub fn held(&self) -> usize {
        self.records.len()
    }

    /// The metrics for the operators' interfaces.
    pub fn metrics(&self, now: f64) -> NodeMetrics {
        NodeMetrics {
            operations: self.counts.operations(),
            forwards: self.counts.forwards,
            outstanding: self.records.unanswered(),
            listed: self.fleet.listed_count(),
            avoided: self.queue.decisions().untrusted_count(now),
            list: self.list_metrics(now),
            applied: self.counts.applied,
            rejected: self.counts.rejected,
        }
    }

    fn list_metrics(&self, now: f64) -> ListMetrics {
        let decisions = self.queue.decisions();
        ListMetrics {
            version: self.version,
            state: decisions.list_state().name(),
            first_heard: self.discovery_heard.map(|[first, _]| first - self.started_at),
            last_heard: self.discovery_heard.map(|[_, last]| now - last),
            refused: decisions.refused_without_list(),
        }
    }

    /// Two processes of one node share one budget of forwards. The process with the smaller share gets no forwards
    /// beyond the first, because the other one continues from everything counted so far.
    fn process_budget(&self) -> Option<Budget> {
        let none = |budget| Budget { floor: 0.0, share: 0.0, ..budget };
        self.budget.map(|budget| if self.process_share < 0.5 { none(budget) } else { budget })
    }

    /// The state that is handed to the next process of this node.
    pub fn state(&self) -> EngineState {
        let own = self.records.calls().map(|call| call.to_string());
        let calls = self.served_by_predecessor.iter().cloned().chain(own).collect();
        let decisions = self.queue.decisions();
        let current = decisions.list_state().is_current();
        EngineState {
            current,
            ..EngineState::new(decisions.measurements(), &self.fleet, &self.operations, self.version, calls)
        }
    }

    fn restore_state(&mut self, now: f64, state: EngineState) {
        let measurements = state.measurements(&self.fleet, &self.operations, now);
        self.queue.decisions_mut().restore_measurements(&measurements);
        let older = state.calls.len().saturating_sub(MAX_PREDECESSOR_CALLS);
        self.served_by_predecessor = state.calls.into_iter().skip(older).collect();
    }

    /// Removes a job so that another process can continue it, without answering the client or notifying executors.
    /// Returns `None` while a forward is unacknowledged, because its connection belongs to this process.
    pub fn hand_over_job(&mut self, id: InvocationId) -> Option<JobHandover> {
        let record = self.records.get(id).filter(|record| record.unanswered)?;
        if record.forwards.iter().any(|forward| forward.stage == Stage::Sending) {
            return None;
        }
        let (call, operation, deadline) = (record.call.to_string(), record.operation.to_string(), record.due);
        let ids =
            record.forwards.iter().map(|f| (self.fleet.id(f.executor_index).to_owned(), f.sent, f.stage));
        let forwards: Vec<_> = ids.collect();
        let mut invocation = self.queue.decisions_mut().export_invocation(id)?;
        invocation.deadline = deadline; // The other process is not stopping, so the full deadline applies.
        let entry = self.entries[invocation.op].clone();
        let timeout = self.operations.timeout(invocation.op);
        let kind = entry.kind.and_then(|kind| self.fleet.kind(kind)).cloned();
        let named = |location| self.fleet.named_location(location);
        let locations = invocation.forwards.iter().map(|forward| forward.location.and_then(named)).collect();
        let handover =
            JobHandover { call, operation, entry, timeout, kind, deadline, invocation, forwards, locations };
        if !handover.is_consistent() || !handover.survives_round_trip() {
            self.queue.decisions_mut().import_invocation(id, handover.invocation);
            return None;
        }
        if let Some(record) = self.records.remove(id) {
            self.timers.cancel(record.timer);
        }
        Some(handover)
    }

    /// Continues a job of another process, under an id of this one.
    pub fn take_over_job(
        &mut self,
        now: f64,
        id: InvocationId,
        handover: JobHandover,
        out: &mut Vec<Action>,
    ) {
        let JobHandover {
            call,
            operation,
            mut entry,
            timeout,
            kind,
            deadline,
            mut invocation,
            forwards,
            locations,
        } = handover;
        entry.kind = kind.map(|kind| self.fleet.kind_number(&kind));
        let known = self.entries.len();
        invocation.op = self.operations.entry(&operation, timeout, &entry, &mut self.entries);
        if self.entries.len() > known {
            self.queue.decisions_mut().extend_operations(self.entries.clone());
        }
        let forwards: Vec<Forward> = forwards
            .into_iter()
            .zip(&invocation.forwards)
            .map(|((executor, sent, stage), decided)| Forward {
                executor_index: self.fleet.number(&executor),
                sent,
                stage,
                may_be_running: stage == Stage::Ended && decided.may_have_run(),
            })
            .collect();
        let locations = locations.iter().chain(std::iter::repeat(&None));
        for ((fwd, forward), location) in invocation.forwards.iter_mut().zip(&forwards).zip(locations) {
            fwd.executor_index = forward.executor_index;
            fwd.location = location.as_ref().map(|location| self.fleet.numbered_location(location));
        }
        self.served_by_predecessor.remove(&call);
        let (call, operation) = (Arc::from(call), self.operations.name(invocation.op).clone());
        self.counts.register(&operation);
        let (due, end) = (deadline, deadline.min(self.answer_by));
        let timer = self.timers.schedule(end, Timer::Deadline(id));
        self.records.open(id, Record { call, operation, unanswered: true, end, due, timer, forwards });
        self.queue.decisions_mut().import_invocation(id, invocation);
        self.queue.push(Input::Timer(DISPATCH_TIMER));
        self.run_decisions(now, out);
    }

    /// Whether the call is or was served by this process.
    pub fn knows(&self, call: &str) -> bool {
        self.records.knows(call)
    }

    fn register_operations(&mut self) {
        let Engine { counts, operations, .. } = self;
        operations.names().for_each(|name| counts.register(name));
    }

    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::CallReceived(id, call) => self.accept_call(now, id, call, out),
            Event::ClientDisconnected(id) => self.client_left(now, id, out),
            Event::Replied(id, forward, reply) => self.handle_reply(now, id, forward, reply, out),
            Event::JobReport(report) => self.handle_report(now, report, out),
            Event::Probed(executor_index, outcome, report) => {
                self.queue.push(Input::Probed { executor_index, outcome, report })
            }
            Event::Watch(number, watched) => self.handle_watch(now, number, watched, out),
            Event::PeerMessage { from, kind, mark, count } => {
                let executor_index = self.fleet.by_mark(mark);
                let input = executor_index.map(|executor_index| Input::PeerMessage {
                    from,
                    kind,
                    executor_index,
                    count,
                });
                input.into_iter().for_each(|input| self.queue.push(input));
            }
            Event::Reloaded { settings, list_source_changed } => {
                self.reload(now, settings, list_source_changed, out)
            }
            Event::CapacityShare(part) => {
                self.process_share = part;
                let budget = self.process_budget();
                self.queue.decisions_mut().set_process_share(part * self.cold_factor, budget);
            }
            Event::Quotas(quotas) => {
                let tenants = &self.fleet.names().tenants;
                let at = |(name, quota)| Some((tenants.iter().position(|known| *known == name)?, quota));
                let quotas: Vec<(usize, f64)> = quotas.into_iter().filter_map(at).collect();
                self.queue.decisions_mut().set_quotas(&quotas);
            }
            Event::ReloadFailed => self.counts.rejected += 1,
            Event::AnsweredByFront(operation, result) => self.counts.count(operation, result),
            Event::Stop => self.stop(now),
            Event::JobsHandedOver => {
                self.step(Step::FrontNotified);
                self.exit_from = now;
            }
            Event::Idle if now >= self.exit_from => drop(self.step(Step::Idle)),
            Event::Idle => {}
        }
        self.run_decisions(now, out);
    }

    /// Handles all timers that are due.
    pub fn advance(&mut self, now: f64, out: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Decisions(timer) => self.queue.push(Input::Timer(timer)),
                Timer::Deadline(id) => self.time_out(now, id, out),
                Timer::PhaseStep(step) => drop(self.step(step)),
                Timer::Follow(after) if after == self.watch => self.follow(out),
                Timer::Follow(_) => {}
            }
            self.run_decisions(now, out);
        }
    }

    fn step(&mut self, step: Step) -> bool {
        let after = self.phase.after(step);
        self.phase = after.unwrap_or(self.phase);
        after.is_some()
    }

    /// Processes the queued inputs and their outputs until the queue is empty.
    pub(crate) fn run_decisions(&mut self, now: f64, out: &mut Vec<Action>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        while self.queue.handle_next(now, &mut outputs) {
            outputs.drain(..).for_each(|output| self.apply_output(now, output, out));
        }
        self.outputs = outputs;
    }

    fn apply_output(&mut self, now: f64, output: Output, out: &mut Vec<Action>) {
        match output {
            Output::Forward { id, executor_index } => self.forward(now, id, executor_index, out),
            Output::Withdraw { id, forward } => self.withdraw(now, id, forward, out),
            Output::Throttle { id, pause } => {
                debug!(
                    "{id} is refused, list {} is {}",
                    self.version,
                    self.queue.decisions().list_state().name()
                );
                self.answer(id, Answer::Throttled { pause }, out);
            }
            Output::Error { id } => self.answer(id, Answer::Errored, out),
            Output::SetTimer { after, timer } => {
                self.timers.schedule(now + after, Timer::Decisions(timer));
            }
            Output::Probe(executor_index) => out.push(Action::Probe(executor_index)),
            Output::Release(executor_index) => out.push(Action::Release(executor_index)),
            Output::SendToPeer { to, kind, executor_index, count } => {
                out.push(Action::SendToPeer { to, kind, mark: self.fleet.mark(executor_index), count });
            }
            Output::WatchList => self.follow(out),
            Output::Log(words) => info!("{words}"),
        }
    }

    /// Applies the list that the node starts with. A node that was down for seconds or days must not serve at once from a
    /// list of that age, and one that takes over from another process does not hear of changes yet: it becomes ready when
    /// the current list arrives, or when the platform would not wait any longer.
    fn apply_initial_list(&mut self, now: f64, age: InitialListAge, known: Listing, out: &mut Vec<Action>) {
        let source = match age {
            InitialListAge::Current => "handed over by the previous process",
            InitialListAge::Unknown | InitialListAge::Unspecified => {
                "from before the start and not used for sending"
            }
        };
        info!("list {} is {source}", known.version);
        self.apply_listing(now, &known, |_, entries| List::Initial(entries, age), out);
        match age {
            _ if known.hosts.is_empty() => {}
            InitialListAge::Unknown | InitialListAge::Current => {
                self.timers.schedule(now + READY_DEADLINE, Timer::PhaseStep(Step::ExecutorsKnown));
            }
            InitialListAge::Unspecified => drop(self.step(Step::ExecutorsKnown)),
        }
    }

    /// Records that discovery was heard from.
    fn record_discovery_contact(&mut self, now: f64) {
        if self.discovery_heard.is_none() {
            info!("discovery is first heard of {:.2} s after the start", now - self.started_at);
        }
        self.discovery_heard = Some([self.discovery_heard.map_or(now, |[first, _]| first), now]);
    }

    fn handle_watch(&mut self, now: f64, number: u64, watched: WatchEvent, out: &mut Vec<Action>) {
        if !matches!(watched, WatchEvent::Lost(_)) && (number == NO_WATCH || number == self.watch) {
            self.record_discovery_contact(now);
        }
        match watched {
            // A push older than what the watch has delivered is ignored: jobs would go to executors that are draining by now.
            WatchEvent::Listed(listing) if number == NO_WATCH => {
                if !self.followed || listing.version >= self.version {
                    self.apply_current_list(now, &listing, out);
                }
            }
            _ if number != self.watch => {}
            WatchEvent::Listed(listing) => self.apply_current_list(now, &listing, out),
            WatchEvent::Established => {
                self.followed = true;
                self.step(Step::ListFollowed);
                self.become_ready_if_listed();
                self.queue.push(Input::List(List::Changes(Vec::new())));
            }
            WatchEvent::Lost(loss) => {
                self.followed = false;
                match self.list_pushed {
                    true => {
                        self.timers.schedule(now + PUSHED_LIST_RETRY_DELAY, Timer::Follow(number));
                    }
                    false => self.queue.push(Input::List(List::Lost(loss))),
                }
            }
        }
    }

    /// Applies a list or changes from discovery.
    fn apply_current_list(&mut self, now: f64, listing: &Listing, out: &mut Vec<Action>) {
        self.apply_listing(now, listing, Listing::list, out);
        self.become_ready_if_listed();
    }

    /// Becomes ready for clients once executors are known.
    fn become_ready_if_listed(&mut self) {
        if self.fleet.listed_count() > 0 {
            self.step(Step::ExecutorsKnown);
        }
    }

    fn follow(&mut self, out: &mut Vec<Action>) {
        self.followed = false;
        self.watch += 1;
        out.push(Action::WatchList { watch: self.watch, version: self.version });
    }

    pub(crate) fn accept_call(&mut self, now: f64, id: InvocationId, call: &Call, out: &mut Vec<Action>) {
        let rejected = |why| Action::Answer { id, answer: Answer::Rejected(why) };
        // Prevents a second effect of the same call, and clients from reusing the id of another one's call.
        if self.records.knows(&call.call_id) || self.served_by_predecessor.contains(&*call.call_id) {
            self.counts.count(&call.class, JobResult::Errored);
            return out.push(rejected(Rejection::DuplicateCall));
        }
        let age = now - call.received_at;
        debug!(
            "{id} accepted: call {}, {}, budget {:.3} s, received {age:.3} s ago",
            call.call_id, call.class, call.budget
        );
        match admit(id, call, &self.operations, self.fleet.names(), now) {
            Ok(submission) => self.open(now, call.call_id.clone(), submission),
            Err(why) => {
                self.counts.count(&call.class, JobResult::Errored);
                out.push(rejected(why));
            }
        }
    }

    fn open(&mut self, now: f64, call: Arc<str>, submission: Submission) {
        let due = now + submission.timeout;
        let end = due.min(self.answer_by);
        let timer = self.timers.schedule(end, Timer::Deadline(submission.id));
        let operation = self.operations.name(submission.operation).clone();
        let record = Record { call, operation, unanswered: true, end, due, timer, forwards: Vec::new() };
        self.records.open(submission.id, record);
        self.queue.push(Input::Submitted(submission));
    }

    /// Sends the final answer unless one was sent before; returns whether it was sent.
    fn send_final_answer(&mut self, id: InvocationId, answer: Answer, out: &mut Vec<Action>) -> bool {
        let operation = self.records.mark_answered(id);
        if let Some(operation) = operation {
            debug!("{id} answered: {answer:?}");
            self.counts.count(operation, JobResult::from(&answer));
            out.push(Action::Answer { id, answer });
        }
        operation.is_some()
    }

    pub(crate) fn answer(&mut self, id: InvocationId, answer: Answer, out: &mut Vec<Action>) {
        self.send_final_answer(id, answer, out);
        self.remove_if_finished(id);
    }

    /// Forgets the invocation if its client has the answer and no forward is open, and its deadline with it: there would be
    /// one for each request that was refused at once, for as long as its client would have waited.
    fn remove_if_finished(&mut self, id: InvocationId) {
        if let Some(record) = self.records.remove_if_finished(id) {
            self.timers.cancel(record.timer);
        }
    }

    fn client_left(&mut self, now: f64, id: InvocationId, out: &mut Vec<Action>) {
        if self.records.mark_answered(id).is_some() {
            self.close_invocation(now, id, out);
        }
        self.remove_if_finished(id);
    }

    /// Closes an invocation that ended without the decisions. Forwards that still wait for a connection are withdrawn:
    /// nothing may be sent any more, even where executors do not support cancelling.
    fn close_invocation(&mut self, now: f64, id: InvocationId, out: &mut Vec<Action>) {
        let forwards = self.records.get(id).map(|record| record.open_forwards()).unwrap_or_default();
        for forward in forwards {
            if self.records.get(id).is_some_and(|record| record.forwards[forward].stage == Stage::Sending) {
                self.withdraw(now, id, forward, out);
            }
        }
        self.queue.push(Input::Expired(id));
    }

    /// Handles the deadline of an invocation: open forwards end as timed out, and the decisions answer.
    pub(crate) fn time_out(&mut self, now: f64, id: InvocationId, out: &mut Vec<Action>) {
        let Some(record) = self.records.get(id) else { return };
        for forward in record.open_forwards() {
            self.drop_forward(id, forward, out);
            self.settle_forward(now, id, forward, Outcome::TimedOut, Report::default());
        }
        self.run_decisions(now, out);
        // Every client gets an answer, even if the decisions gave none.
        if self.send_final_answer(id, Answer::Errored, out) {
            error!("invocation {id} was left without an answer");
            self.queue.push(Input::Expired(id));
        }
        self.remove_if_finished(id);
    }

    pub(crate) fn forward(
        &mut self,
        now: f64,
        id: InvocationId,
        executor_index: ExecutorIndex,
        out: &mut Vec<Action>,
    ) {
        if !self.second_copies {
            self.cancel_earlier_forwards(id, out);
        }
        let Some(record) = self.records.get(id) else { return };
        let forward = record.forwards.len();
        debug!(
            "forward {forward} of {id}, call {}, to executor {:06x}, list {} ({})",
            record.call,
            self.fleet.mark(executor_index),
            self.version,
            self.queue.decisions().list_state().name()
        );
        let forward_sent =
            Forward { executor_index, sent: now, stage: Stage::Sending, may_be_running: false };
        record.forwards.push(forward_sent);
        let write_until = self.queue.decisions().write_until(id);
        out.push(Action::Send { id, forward, executor_index, end: record.end, write_until });
    }

    fn handle_reply(
        &mut self,
        now: f64,
        id: InvocationId,
        forward: usize,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            Reply::Ended(outcome, report) => self.settle_forward(now, id, forward, outcome, report),
            Reply::NotAcknowledged => {
                debug!("forward {forward} of {id} is not acknowledged");
                self.queue.push(Input::Unacknowledged { id, forward });
            }
            Reply::Rejected(status, report) => {
                // Every other executor would reject it too, and each rejection would count against that executor.
                info!("invocation {id} was rejected by its executor with status {status}");
                self.send_final_answer(id, Answer::Rejected(Rejection::RejectedByExecutor(status)), out);
                self.settle_forward(now, id, forward, Outcome::Rejected, report);
            }
            Reply::Written => self.counts.forwards += 1,
            Reply::Taken => {
                let forward = self.records.get(id).and_then(|record| record.forwards.get_mut(forward));
                // It may have ended already: an executor may report the end before it acknowledges.
                if let Some(forward) = forward.filter(|forward| forward.stage == Stage::Sending) {
                    forward.stage = Stage::Taken;
                }
            }
            Reply::Succeeded(result, report) => self.handle_success(now, id, forward, result, report, out),
        }
    }

    /// Records the end of a forward, once, and notifies the decisions.
    pub(crate) fn settle_forward(
        &mut self,
        now: f64,
        id: InvocationId,
        forward: usize,
        outcome: Outcome,
        report: Report,
    ) {
        let Some(ended) = self.records.end_forward(id, forward) else { return };
        let took = now - ended.sent;
        ended.may_be_running = matches!(outcome, Outcome::Reset | Outcome::TimedOut);
        debug!(
            "forward {forward} of {id} at executor {}: {outcome:?} after {took:.3} s, {report:?}",
            ended.executor_index
        );
        let ended = self.records.get(id).is_none_or(|record| !record.unanswered);
        self.queue.push(Input::Settled(Settled { id, forward, outcome, took, ended, report }));
        self.remove_if_finished(id);
    }

    fn handle_report(&mut self, now: f64, job_report: JobReport, out: &mut Vec<Action>) {
        let executor_index = self.fleet.known(&job_report.from);
        let Some((id, forward)) =
            executor_index.and_then(|executor_index| self.records.find(&job_report.call, executor_index))
        else {
            return debug!("report on call {} from {} matches no forward", job_report.call, job_report.from);
        };
        match job_report.status {
            JobStatus::Ended(Outcome::Full) if self.records.has_earlier_return(id, forward) => {
                // Prevents a second effect: a repeated return of an earlier forward to this executor would be taken
                // as proof that the current one never ran.
                debug!("call {} returned again by {}", job_report.call, job_report.from);
            }
            JobStatus::Running => {
                // The report may arrive before the executor's acknowledgement.
                self.handle_reply(now, id, forward, Reply::Taken, out);
                self.queue.push(Input::Started { id, forward });
            }
            JobStatus::Ended(outcome) => {
                self.settle_forward(now, id, forward, outcome, job_report.report);
                if outcome == Outcome::Full {
                    self.records.mark_returned(id, forward);
                }
            }
            JobStatus::Succeeded(result) => {
                self.handle_success(now, id, forward, result, job_report.report, out)
            }
        }
    }

    fn handle_success(
        &mut self,
        now: f64,
        id: InvocationId,
        forward: usize,
        result: Bytes,
        report: Report,
        out: &mut Vec<Action>,
    ) {
        let answered = self.send_final_answer(id, Answer::Succeeded(result), out);
        if self.records.is_open(id, forward) {
            self.settle_forward(now, id, forward, Outcome::Succeeded, report);
        } else if answered {
            // A forward that was considered lost has succeeded after all.
            self.close_invocation(now, id, out);
        }
        self.remove_if_finished(id);
    }

    /// Abandons a forward: closes its connection, or cancels it at the executor that has accepted it.
    fn drop_forward(&mut self, id: InvocationId, forward: usize, out: &mut Vec<Action>) {
        let Some(record) = self.records.get(id) else { return };
        let Forward { executor_index, stage, .. } = record.forwards[forward];
        match stage {
            Stage::Sending => out.push(Action::Abort { id, forward, cancel: self.cancelling }),
            Stage::Taken if self.cancelling => {
                let call = record.call.clone();
                out.push(Action::Cancel { executor_index, call });
            }
            Stage::Taken | Stage::Returned | Stage::Ended => {}
        }
    }

    /// Tells the executors of earlier forwards to cancel the job where that may still run: a forward whose connection broke
    /// or that was never acknowledged has ended for this node alone.
    fn cancel_earlier_forwards(&mut self, id: InvocationId, out: &mut Vec<Action>) {
        let Some(record) = self.records.get(id).filter(|_| self.cancelling) else { return };
        let call = record.call.clone();
        for forward in record.forwards.iter_mut().filter(|forward| forward.may_be_running) {
            forward.may_be_running = false;
            out.push(Action::Cancel { executor_index: forward.executor_index, call: call.clone() });
        }
    }

    pub(crate) fn withdraw(&mut self, now: f64, id: InvocationId, forward: usize, out: &mut Vec<Action>) {
        self.drop_forward(id, forward, out);
        self.settle_forward(now, id, forward, Outcome::Cancelled, Report::default());
    }

    fn apply_listing(
        &mut self,
        now: f64,
        listing: &Listing,
        list: impl FnOnce(&Listing, Vec<coveroute::types::Entry>) -> List,
        out: &mut Vec<Action>,
    ) {
        self.version = listing.version;
        let (version, many) = (listing.version, listing.hosts.len());
        match self.fleet.emptied_warning(listing) {
            Some(warning) => warn!("{warning}"),
            None => info!("list {version}: {many} {}", if listing.full { "executors" } else { "changes" }),
        }
        let drains = listing.hosts.iter().filter(|host| host.standing == Standing::Draining);
        drains.for_each(|host| info!("executor {:06x} is draining", coveroute_shared::mark(&host.id)));
        let (entries, changes) = self.fleet.apply(now, listing);
        // A connection may come up after the grace period, and forwards decided before would be written then: recall them.
        let drains = entries
            .iter()
            .filter(|entry| entry.standing == Standing::Draining)
            .map(|entry| entry.executor_index);
        let gone = changes.iter().filter_map(|to| {
            if let AddressChange::Removed(executor_index) = to {
                Some(*executor_index)
            } else {
                None
            }
        });
        let closed: Vec<ExecutorIndex> = drains.chain(gone).collect();
        let recalls = self
            .records
            .unacknowledged(&closed)
            .into_iter()
            .map(|(id, forward)| Action::Recall { id, forward });
        out.extend(recalls);
        out.extend(changes.into_iter().map(|to| match to {
            AddressChange::Set(executor_index, addr) => Action::SetAddress(executor_index, addr),
            AddressChange::Removed(executor_index) => Action::RemoveExecutor(executor_index),
        }));
        self.queue.push(Input::List(list(listing, entries)));
    }

    /// Applies a reloaded configuration in one step; requests, connections and learned state stay. A stopping node ignores it.
    fn reload(
        &mut self,
        now: f64,
        settings: Option<Box<ReloadedSettings>>,
        list_source_changed: bool,
        out: &mut Vec<Action>,
    ) {
        if !self.phase.takes_settings() {
            self.counts.rejected += 1;
            return info!("not reloaded: the node is about to stop");
        }
        self.counts.applied += 1;
        settings.into_iter().for_each(|settings| self.apply_settings(now, *settings));
        // The old discovery service may close at any moment, so the node must not stay on its list. The new service
        // may number versions differently, so the whole list is requested.
        if list_source_changed && self.step(Step::Reload) {
            self.version = 0;
            self.queue.push(Input::List(List::SourceChanged));
            self.follow(out);
        }
    }

    fn apply_settings(&mut self, now: f64, reloaded: ReloadedSettings) {
        let ReloadedSettings { mut settings, mut names, timeouts } = reloaded;
        let operations = std::mem::take(&mut names.operations);
        let old = &self.fleet.names().tenants;
        let tenants: Vec<_> =
            names.tenants.iter().map(|name| old.iter().position(|known| known == name)).collect();
        self.fleet.apply_settings(names, &mut settings);
        (self.cancelling, self.second_copies) = (settings.cancelling, settings.second_copies);
        let entries = operations.into_iter().zip(timeouts).zip(std::mem::take(&mut settings.operations));
        let entries = entries.map(|((name, timeout), operation)| (name, timeout, operation)).collect();
        let decisions = self.queue.decisions();
        let mappings = self
            .operations
            .apply_settings(now, entries, &mut self.entries, |at| decisions.uses_operation(at));
        settings.operations = self.entries.clone();
        (self.cold_factor, self.budget) = (settings.cold.factor, settings.budget);
        settings.cold.factor *= self.process_share;
        settings.budget = self.process_budget();
        self.queue.decisions_mut().apply_settings(settings, &mappings, &tenants);
        self.register_operations();
        info!("settings applied: {} operations new or changed", mappings.len());
    }

    fn stop(&mut self, now: f64) {
        if !self.step(Step::StopRequested) {
            return;
        }
        let span = self.operations.longest_timeout().min(MAX_STOP_WAIT);
        let (closing, wait_end) = (now + MIN_LEAVING_TIME.max(LEAVING_SHARE * span), now + span);
        (self.answer_by, self.exit_from) = (wait_end + LAST_ANSWER_OFFSET, closing + IDLE_CLOSE_TIME);
        self.timers.schedule(closing, Timer::PhaseStep(Step::FrontNotified));
        self.timers.schedule(wait_end + FORCED_EXIT_OFFSET, Timer::PhaseStep(Step::StopTimedOut));
        for (id, end) in self.records.shorten_deadlines(self.answer_by) {
            self.timers.schedule(end, Timer::Deadline(id));
        }
        self.queue.push(Input::Stopping(self.answer_by));
    }
}
