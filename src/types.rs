//! The inputs and outputs of the decision logic, and the records it keeps. Times are in seconds. This module
//! makes no decisions.
use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::location::Location;

/// An invocation's id, as given by the protocol.
pub type InvocationId = u32;
/// An executor's index at this node.
pub type ExecutorIndex = usize;

/// Whether an operation may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum Effect {
    Idempotent,
    /// Executors of a group drop repeats of the first execution within `window`.
    Deduplicated {
        group: Group,
        window: f64,
    },
    NonIdempotent,
}

/// The executors that deduplicate an invocation together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Operation {
    pub effect: Effect,
    /// Latency objective: this long plus `stretch` times the invocation's own running time.
    pub objective: f64,
    pub stretch: f64,
    /// Billed value.
    pub value: f64,
    /// The fraction of it that an answer after the objective still earns.
    pub late_value: f64,
    /// The machine kind it needs, if any.
    pub kind: Option<usize>,
}

/// How load reports are obtained.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Reports {
    Answers,
    Probes,
    #[default]
    Never,
}

/// What the list of executors says about their sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Sizes {
    #[default]
    Never,
    /// The registered size.
    Listed,
    /// An approximate size: the number of cores, not their speed.
    Rough,
    /// The size minus the load there some time ago; all nodes see the same value.
    Live,
}

/// Limit on further forwards, beyond each invocation's first: within any `span`, `floor` plus `share` of the
/// invocations that the node accepted in that time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    pub floor: f64,
    pub share: f64,
    pub span: f64,
}

/// Load limits for an executor that is still warming up. Its capacity grows from the fraction `start` to all
/// of it after `warm` seconds. It fails if its load exceeds `factor` times its capacity over `fall` seconds.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    pub start: f64,
    pub warm: f64,
    pub factor: f64,
    pub fall: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The index of this node among `nodes`.
    pub node_index: usize,
    pub nodes: usize,
    pub zone: usize,
    pub operations: Vec<Operation>,
    /// Each tenant's share in invocations per second, over all nodes.
    pub quotas: Vec<f64>,
    /// The weight of billed value beyond a tenant's share.
    pub over_share_value: f64,
    /// Billed value counts per unit of work, not per invocation.
    pub value_by_work: bool,
    /// Weights of the whole service and of its worst operation in the operators' objective.
    pub goal_whole: f64,
    pub goal_worst_operation: f64,
    pub cross_zone_price: f64,
    /// The node has to call discovery for the list of executors; it is not pushed.
    pub polls_list: bool,
    /// Only draining is binding: an executor that is listed as gone or absent without having drained may be
    /// used.
    pub only_draining: bool,
    /// A node that has not called for the list for this long counts as informed of it.
    pub poll_within: Option<f64>,
    pub cold: Cold,
    pub budget: Option<Budget>,
    /// An executor may answer 'full' for work that it has begun.
    pub full_may_have_run: bool,
    /// An invocation may have two forwards in flight.
    pub second_copies: bool,
    /// Executors close connections that are idle for longer; 0 if unknown.
    pub idle: f64,
    pub connection_price: f64,
    pub max_forwards: usize,
    /// Forwards can be withdrawn.
    pub cancelling: bool,
    /// Executors can be probed.
    pub probing: bool,
    /// Nodes can send each other messages.
    pub peers: bool,
    /// The longest pause that throttled clients honour.
    pub max_pause: f64,
    /// Clients mark retries.
    pub clients_mark_retries: bool,
    pub reports: Reports,
    pub sizes: Sizes,
    /// Interval of progress messages, 0 for none.
    pub progress: f64,
    /// Executors report the start of an invocation.
    pub reports_starts: bool,
}

impl Settings {
    /// How long events are kept for the budget.
    pub fn budget_retention(&self) -> f64 {
        self.budget.map_or(0.0, |budget| 2.0 * budget.span)
    }

    /// The time until this node's turn to call for the list. All nodes compute the same round:
    /// `call_interval` seconds per other node, within the bounds `least` and `most`, and short enough that no
    /// node counts as informed before its call.
    pub fn time_to_turn(&self, now: f64, call_interval: f64, least: f64, most: f64) -> f64 {
        let latest = self.poll_within.map_or(most, |within| most.min(0.9 * within));
        let round = (call_interval * self.nodes.saturating_sub(1) as f64).min(latest).max(least);
        let turn = self.node_index as f64 / self.nodes.max(1) as f64 * round;
        if round > 0.0 {
            (turn - now).rem_euclid(round)
        } else {
            0.0
        }
    }

    /// Whether the outcome proves that the invocation has not run, given how these executors answer.
    pub fn never_ran(&self, outcome: Outcome) -> bool {
        outcome.never_ran() && !(self.full_may_have_run && outcome == Outcome::Full)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub enum Standing {
    Ready,
    /// No longer listed, but perhaps alive; see `Executor::seen_alive`.
    Missing,
    Draining,
    #[default]
    Gone,
}

/// One line of the list of executors.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub executor_index: ExecutorIndex,
    /// The same at every node; determines which node counts for the executor.
    pub stable_id: u32,
    pub zone: usize,
    pub cell: i64,
    pub kind: usize,
    pub started: f64,
    /// The listed size; `Sizes` says what it means.
    pub size: f64,
    pub standing: Standing,
}

#[derive(Clone, Debug)]
pub enum List {
    Changes(Vec<Entry>),
    Whole(Vec<Entry>),
    /// The list that this node starts with, and its age.
    Initial(Vec<Entry>, InitialListAge),
    /// The configuration has named another service, which is being called.
    SourceChanged,
    Lost(Loss),
}

impl List {
    /// Whether absent executors are gone.
    pub fn is_whole(&self) -> bool {
        matches!(self, List::Whole(_) | List::Initial(..))
    }
}

/// The age of the list that a node starts with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InitialListAge {
    /// As old as the end of the node's last process, which may be seconds or days ago.
    Unknown,
    /// Handed over just now by the previous process, which followed it.
    Current,
    /// The protocol gives no meaning to its age.
    Unspecified,
}

/// What the end of a watch, or of a call for one, implies for the list held.
#[derive(Clone, Copy, PartialEq)]
pub enum Loss {
    /// Discovery closed it, or is down: no change was missed, or no node is informed of changes.
    Closed,
    /// A call that began this many seconds ago waited and was refused: no node that waited with it was
    /// informed of a change.
    Waited(f64),
    /// The call was refused on arrival by a service that is up but has too many callers: other nodes may be
    /// informed.
    Refused,
    /// Other nodes may have been informed for this long: the watch fell silent, or the call had no complete
    /// answer.
    Missed(f64),
    /// The protocol does not say.
    Unspecified,
}

/// Recorded runs contain this text, so it keeps the variants' former names.
impl fmt::Debug for Loss {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Loss::Closed => f.write_str("Closed"),
            Loss::Waited(_) => f.write_str("Waited"),
            Loss::Refused => f.write_str("Refused"),
            Loss::Missed(seconds) => f.debug_tuple("Missed").field(seconds).finish(),
            Loss::Unspecified => f.write_str("Unsaid"),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Submission {
    pub id: InvocationId,
    pub operation: usize,
    pub tenant: Option<usize>,
    /// Time left until the client gives up.
    pub timeout: f64,
    /// Approximate running time on a standard core.
    pub hint: Option<f64>,
    /// Memory units it needs.
    pub memory: Option<f64>,
    /// The data it works on, which an executor caches for a while.
    pub key: Option<u64>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
}

/// How a forward or a probe ended.
#[derive(Clone, Copy, PartialEq)]
pub enum Outcome {
    Succeeded,
    Errored,
    /// The executor rejects the invocation itself.
    Rejected,
    Full,
    TimedOut,
    Unreachable,
    Reset,
    Cancelled,
    /// It was never written.
    NotWritten,
}

/// Recorded runs contain this text, so it keeps the variants' former names.
impl fmt::Debug for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Outcome::Succeeded => "Succeeded",
            Outcome::Errored => "Errored",
            Outcome::Rejected => "Unfit",
            Outcome::Full => "Full",
            Outcome::TimedOut => "TimedOut",
            Outcome::Unreachable => "Unreachable",
            Outcome::Reset => "Reset",
            Outcome::Cancelled => "Cancelled",
            Outcome::NotWritten => "Moot",
        })
    }
}

impl Outcome {
    /// Whether the outcome proves that the invocation has not run and will not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NotWritten)
    }
}

/// A load report; absent and invalid values are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub free: Option<f64>,
    pub queue: Option<f64>,
    pub inflight: Option<f64>,
    pub util: Option<f64>,
    /// Free memory, in units of one per slot.
    pub memory: Option<f64>,
}

/// The end of one forward; `ended` when the invocation has its final answer.
#[derive(Clone, Debug)]
pub struct Settled {
    pub id: InvocationId,
    pub forward: usize,
    pub outcome: Outcome,
    pub took: f64,
    pub ended: bool,
    pub report: Report,
}

#[derive(Clone, Debug)]
pub enum Input {
    List(List),
    Submitted(Submission),
    Settled(Settled),
    /// A forward has started or makes progress.
    Started {
        id: InvocationId,
        forward: usize,
    },
    /// A forward's executor has not acknowledged it in time.
    Unacknowledged {
        id: InvocationId,
        forward: usize,
    },
    Expired(InvocationId),
    /// The node has to stop by the given time.
    Stopping(f64),
    Timer(u64),
    Probed {
        executor_index: ExecutorIndex,
        outcome: Outcome,
        report: Report,
    },
    PeerMessage {
        from: usize,
        kind: PeerMessageKind,
        executor_index: ExecutorIndex,
        count: u8,
    },
}

/// The kind of a message between nodes about one executor, which carries one number.
#[derive(Clone, Copy, PartialEq)]
pub enum PeerMessageKind {
    /// The number of forwards that the sender holds there.
    Held,
    /// A query for free slots.
    Query,
    /// The answer to it: the number of free slots that the asking node may use.
    FreeSlots,
}

/// Recorded runs contain this text, so it keeps the variants' former names.
impl fmt::Debug for PeerMessageKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            PeerMessageKind::Held => "Held",
            PeerMessageKind::Query => "Asks",
            PeerMessageKind::FreeSlots => "Room",
        })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Forward {
        id: InvocationId,
        executor_index: ExecutorIndex,
    },
    Withdraw {
        id: InvocationId,
        forward: usize,
    },
    /// Tell the client to retry after the pause.
    Throttle {
        id: InvocationId,
        pause: f64,
    },
    Error {
        id: InvocationId,
    },
    SetTimer {
        after: f64,
        timer: u64,
    },
    Probe(ExecutorIndex),
    /// Close the idle connections to the executor.
    Release(ExecutorIndex),
    /// Send a message to another node.
    SendToPeer {
        to: usize,
        kind: PeerMessageKind,
        executor_index: ExecutorIndex,
        count: u8,
    },
    /// Call discovery for the list and watch it.
    WatchList,
    Log(String),
}

// State kept between inputs.

/// The state of an invocation. `Uncertain`: nothing is in flight, but an earlier forward may have run.
/// `InFlightUncertain`: in flight, and an earlier forward may have run or is in flight too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub enum InvocationState {
    #[default]
    Waiting,
    #[serde(rename = "Out")]
    InFlight,
    #[serde(rename = "Suspect")]
    Uncertain,
    #[serde(rename = "Again")]
    InFlightUncertain,
    Ended,
}

/// An event in the life cycle of an invocation. `NotRun`, `MayHaveRun`: the last forward in flight has ended,
/// and this holds for all forwards together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InvocationEvent {
    Sent,
    Finished,
    NotRun,
    MayHaveRun,
    GaveUp,
}

/// What a transition does. `ThrottleOrError`: after a forward that may have run, throttle if the operation
/// can be repeated safely, else answer with an error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransitionAction {
    Keep,
    Queue,
    Close,
    Throttle,
    ThrottleOrError,
}

/// The state of one forward.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum ForwardState {
    #[serde(rename = "Out")]
    InFlight,
    NotRun,
    MayHaveRun,
}

/// One attempt of an invocation at an executor.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Forward {
    #[serde(rename = "tgt")]
    pub executor_index: ExecutorIndex,
    /// Where the executor was at the time. `None` if unknown: then no other executor shares its zone or cell.
    #[serde(skip)]
    pub location: Option<Location>,
    pub sent: f64,
    #[serde(rename = "fate")]
    pub state: ForwardState,
    /// The time until its first sign of life, once there was one.
    pub wait: Option<f64>,
    /// It was sent on a report of a free slot.
    #[serde(default, rename = "told")]
    pub had_reported_slot: bool,
    /// It was sent over a connection that was already open.
    #[serde(default, rename = "kept")]
    pub reused_connection: bool,
    /// The executor was known to have a free slot, so it should start at once.
    #[serde(default, rename = "sure")]
    pub expected_at_once: bool,
    /// It has not started in time, and this is recorded against the executor and the connection.
    #[serde(default, rename = "late")]
    pub start_overdue: bool,
    /// It is too late to be of use and counts as never started.
    #[serde(default, rename = "vain")]
    pub start_given_up: bool,
    /// The executor answered with an error.
    pub errored: bool,
}

impl Forward {
    pub fn may_have_run(&self) -> bool {
        self.state != ForwardState::NotRun
    }

    /// Whether the executor of this entry belongs to the deduplication group of this forward's executor.
    pub fn shares_dedup_group(&self, group: Group, entry: &Entry) -> bool {
        group == Group::All || self.location.is_some_and(|location| location.shares_dedup_group(group, entry))
    }

    /// Whether it is in flight without a sign of life although it should have started at once.
    pub fn is_start_missing(&self) -> bool {
        self.expected_at_once && self.state == ForwardState::InFlight && self.wait.is_none()
    }

    /// The kind of connection it was sent over: `REUSED` or `NEW`.
    pub fn connection_kind(&self) -> usize {
        if self.reused_connection {
            REUSED
        } else {
            NEW
        }
    }

    pub fn new(executor_index: ExecutorIndex, sent: f64) -> Self {
        Forward {
            executor_index,
            location: None,
            sent,
            state: ForwardState::InFlight,
            wait: None,
            had_reported_slot: false,
            reused_connection: false,
            expected_at_once: false,
            start_overdue: false,
            start_given_up: false,
            errored: false,
        }
    }
}

/// An invocation, kept until it is answered and none of its forwards is in flight.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Invocation {
    pub op: usize,
    #[serde(rename = "life")]
    pub state: InvocationState,
    /// The fraction of its billed value that counts; below one if its tenant exceeds its share.
    #[serde(rename = "worth")]
    pub weight: f64,
    /// It is in time if sent before this.
    #[serde(rename = "aim")]
    pub latest_start: f64,
    /// Half the time that it could wait and still be in time.
    #[serde(rename = "spare")]
    pub slack: f64,
    /// It may be sent to other zones from this time on.
    #[serde(rename = "cross")]
    pub cross_zone_from: f64,
    /// It is given up if it still waits at this time.
    #[serde(rename = "until")]
    pub give_up_at: f64,
    /// The client's timeout, or the node's stop if earlier.
    #[serde(rename = "end")]
    pub deadline: f64,
    pub hint: f64,
    /// How long it is expected to occupy an ordinary slot.
    pub load: f64,
    pub memory: f64,
    pub key: Option<u64>,
    #[serde(skip)]
    pub tenant: Option<usize>,
    /// Its client's timeout ends before it could be late.
    #[serde(default, rename = "hasty")]
    pub impatient: bool,
    /// Its rank in the waiting queue.
    #[serde(rename = "press")]
    pub priority: f64,
    /// Its executor crashed as it started there, or two executors failed it: it is not sent again.
    #[serde(rename = "hopeless")]
    pub no_more_forwards: bool,
    /// The executors drawn for it.
    #[serde(rename = "sample")]
    pub candidates: Vec<ExecutorIndex>,
    /// The earliest time of the next draw.
    #[serde(rename = "again")]
    pub next_draw: f64,
    /// The time between the last draw and the next.
    #[serde(rename = "gap")]
    pub draw_interval: f64,
    pub forwards: Vec<Forward>,
}

impl Invocation {
    /// The forwards that have no outcome yet.
    pub fn in_flight(&self) -> impl Iterator<Item = usize> + '_ {
        let out = |f: &(usize, &Forward)| f.1.state == ForwardState::InFlight;
        self.forwards.iter().enumerate().filter(out).map(|f| f.0)
    }

    /// The first forward that may have run; its deduplication group and window limit all further ones.
    pub fn first_possible_run(&self) -> Option<&Forward> {
        self.forwards.iter().find(|f| f.may_have_run())
    }
}

/// Recent outcomes of one class of forwards: successes up to a cap, and failures, which decay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Record {
    pub successes: f64,
    pub failures: f64,
    /// Not used for now because of its failures.
    pub avoided: bool,
    /// The last success.
    pub last_success: f64,
}

impl Default for Record {
    /// The prior of an unknown record: two failures in a row make it doubtful.
    fn default() -> Self {
        Record { successes: 4.0, failures: 0.0, avoided: false, last_success: f64::NEG_INFINITY }
    }
}

impl Record {
    /// The posterior mean of the success probability.
    pub fn mean(&self) -> f64 {
        (1.0 + self.successes) / (2.0 + self.successes + self.failures)
    }

    /// Adds a success, up to `cap`. With `retract`, also retracts a failure that was recorded too early.
    pub fn add_success(&mut self, now: f64, cap: f64, retract: bool) {
        (self.successes, self.last_success) = ((self.successes + 1.0).min(cap), now);
        self.retract_failure(retract);
    }

    /// Retracts a failure that was recorded too early, if `retract`.
    pub fn retract_failure(&mut self, retract: bool) {
        self.failures = (self.failures - f64::from(u8::from(retract))).max(0.0);
    }
}

/// Kinds of connection: one that was already open, or a new one.
pub const REUSED: usize = 0;
pub const NEW: usize = 1;

/// The state of one executor.
#[derive(Clone, Debug, Default)]
pub struct Executor {
    pub entry: Entry,
    /// Its service rate.
    pub mu: f64,
    /// Its part of the arrival rate in the bargaining split.
    pub beta: f64,
    /// The weight it is drawn by: beta, or a trial share.
    pub share: f64,
    /// Smoothed log of its latency relative to that of the same operation elsewhere.
    pub log_slowness: f64,
    pub last_success: f64,
    /// 0 while unknown.
    pub slots: f64,
    pub free: f64,
    /// Forwards that its last report cannot include.
    pub sent_since_report: f64,
    pub reported_at: f64,
    /// When its counting node last answered with its free slots.
    pub granted_at: f64,
    pub queried_at: f64,
    pub refused_at: f64,
    pub refusals: u32,
    /// Own forwards in flight there, and the memory they take.
    pub held: usize,
    pub memory: f64,
    /// Memory taken by other nodes' forwards, as of the last report.
    pub foreign_memory: f64,
    /// When its own last report arrived.
    pub own_report_at: f64,
    /// Own forwards known to have started.
    pub running: usize,
    /// It started the last forward at once.
    pub started_at_once: bool,
    /// `held` was announced to the counting node and has to be repeated, as messages may be lost.
    pub held_announced: bool,
    /// Slots granted to other nodes, and when the last was.
    pub promised_at: f64,
    pub promised_slots: f64,
    /// Forwards that the other nodes hold there.
    pub peer_held: Vec<u8>,
    pub last_sent: f64,
    /// The last sign of life, or the last forward sent while none was held.
    pub last_sign_of_life: f64,
    /// It has given no sign of life for too long.
    pub silent: bool,
    /// Its record is much worse than that of the better executors.
    pub doubtful: bool,
    /// It has been seen alive since it was missing.
    pub seen_alive: bool,
    /// It may get one invocation although it is untrusted.
    pub trial: bool,
    /// Its record over all operations.
    pub overall: Record,
    /// The turn of its warm-up in which this node last sent work there, and the work sent in it.
    pub cold_turn: usize,
    pub cold_work: f64,
    /// By operation.
    pub operation_records: Vec<Record>,
    /// Open connections, in use or not, and when the last one became idle.
    pub connections: usize,
    pub idle_since: f64,
}

impl Executor {
    /// Resets the state for a new process. Only what this node holds there is kept.
    pub fn reset_for_new_process(&mut self, now: f64) {
        let (held, memory, never) = (self.held, self.memory, f64::NEG_INFINITY);
        let rest = Executor { cold_turn: usize::MAX, ..Executor::default() };
        *self =
            Executor { held, memory, queried_at: never, granted_at: never, last_sign_of_life: now, ..rest };
    }

    /// Applies a line of the list; a new start time means a new process.
    pub fn apply_entry(&mut self, now: f64, entry: Entry) {
        if self.entry.started != entry.started {
            self.reset_for_new_process(now);
        }
        self.entry = entry;
    }

    /// An executor that has not been listed yet; any start time differs from NaN and counts as new.
    pub fn unlisted(executor_index: ExecutorIndex) -> Self {
        Executor {
            entry: Entry { executor_index, started: f64::NAN, ..Entry::default() },
            ..Executor::default()
        }
    }

    /// Whether it can be used: listed as ready, or missing and seen alive since.
    pub fn is_ready(&self) -> bool {
        #[cfg(test)]
        crate::sampler::tests::count_examined();
        self.entry.standing == Standing::Ready || self.entry.standing == Standing::Missing && self.seen_alive
    }

    /// Whether draws may include it. While the network is degraded, doubt is ignored.
    pub fn is_trusted(&self, now: f64, degraded_until: f64) -> bool {
        !self.silent && (!self.doubtful || now < degraded_until)
    }

    /// The record of one operation.
    pub fn operation_record(&mut self, op: usize) -> &mut Record {
        if self.operation_records.len() <= op {
            self.operation_records.resize(op + 1, Record::default());
        }
        &mut self.operation_records[op]
    }

    /// Whether it has a connection that is not in use.
    pub fn has_idle_connection(&self) -> bool {
        self.connections > self.held
    }

    /// Whether it has an idle connection that the executor is not about to close.
    pub fn has_fresh_connection(&self, now: f64, idle: f64) -> bool {
        self.has_idle_connection() && (idle <= 0.0 || now - self.idle_since < 0.9 * idle)
    }

    /// Updates the connections when a forward ends, before it is removed from `held`; the connection stays
    /// open if the forward was answered.
    pub fn release_connection(&mut self, now: f64, answered: bool) {
        if answered {
            self.idle_since = now;
        } else {
            self.connections = self.connections.saturating_sub(1).max(self.held.saturating_sub(1));
        }
    }

    /// The number of forwards that the other nodes hold there.
    pub fn held_by_peers(&self) -> f64 {
        self.peer_held.iter().map(|&n| f64::from(n)).sum()
    }

    /// The fraction of its capacity that the executor has at least reached while warming up.
    pub fn warm_fraction(&self, now: f64, cold: &Cold) -> f64 {
        let age = if self.entry.started > 0.0 { (now - self.entry.started).max(0.0) } else { f64::INFINITY };
        (cold.start + (1.0 - cold.start) * age / cold.warm).min(1.0)
    }

    /// Records a sign of life. Failures recorded while it was silent are dropped, as it is working through
    /// what it holds.
    pub fn on_sign_of_life(&mut self, now: f64) {
        (self.last_sign_of_life, self.seen_alive) = (now, true);
        self.overall.failures *= if std::mem::take(&mut self.silent) { 0.0 } else { 1.0 };
    }

    /// Slots granted to other nodes that may still be used.
    pub fn pending_promises(&self, now: f64) -> f64 {
        // Seconds; by then the node has sent a forward and announced it, or will not.
        const PROMISE_LIFETIME: f64 = 0.06;
        self.promised_slots * f64::from(u8::from(now - self.promised_at < PROMISE_LIFETIME))
    }

    /// The number of the current turn since its start, each of `span` seconds.
    pub fn turn_number(&self, now: f64, span: f64) -> usize {
        ((now - self.entry.started).max(0.0) / span.max(1e-3)) as usize
    }

    /// Whether its report is so recent that few other nodes can have acted on it. With older reports, all
    /// nodes that see the same free slot would send there.
    pub fn reported_just_now(&self, now: f64) -> bool {
        const RECENT_REPORT: f64 = 0.02; // Seconds: a few message delays and event-loop batches.
        now - self.reported_at <= RECENT_REPORT
    }

    /// Clears the counts of nodes that have been silent for longer than `silent`.
    pub fn forget_silent_peers(&mut self, now: f64, last_heard: &[f64], silent: f64) {
        let counts = self.peer_held.iter_mut().zip(last_heard);
        counts.filter(|o| now - o.1 > silent).for_each(|(count, _)| *count = 0);
    }

    /// Sets the number of forwards that another node holds there.
    pub fn set_peer_held(&mut self, from: usize, count: u8) {
        if self.peer_held.len() <= from && count > 0 {
            self.peer_held.resize(from + 1, 0);
        }
        self.peer_held.iter_mut().skip(from).take(1).for_each(|n| *n = count);
    }
}

/// Traffic statistics of one operation or tenant.
#[derive(Clone, Debug, Default)]
pub struct TrafficStats {
    /// Smoothed log of the latency, per second of hint if there is one.
    pub log_latency: Option<f64>,
    pub answers: f64,
    /// Invocations since the last update of `rate`.
    pub arrived: f64,
    /// Invocations per second.
    pub rate: f64,
    /// The fraction of invocations that was sent in time.
    pub in_time_fraction: f64,
    /// The longest client timeout seen.
    pub longest_timeout: f64,
    /// Of a tenant, by operation: the mean of its clients' timeouts as a fraction of the longest.
    pub timeout_fractions: Vec<f64>,
}

/// Statistics of one machine kind.
#[derive(Clone, Debug, Default)]
pub struct MachineKindStats {
    /// Smoothed log of its latency relative to that of the same operation elsewhere.
    pub log_slowness: f64,
    /// The variance of the log latency of single answers around their executor's mean, over `answers`.
    pub variance: f64,
    pub answers: f64,
    /// The most free slots seen at an executor.
    pub max_slots: f64,
    /// The largest size listed.
    pub max_size: f64,
}

impl TrafficStats {
    /// Updates the rate over the time `elapsed`; `weight` is the smoothing weight.
    pub fn smooth_rate(&mut self, elapsed: f64, weight: f64) {
        self.rate += weight * (std::mem::take(&mut self.arrived) / elapsed - self.rate);
    }

    /// Adds a client timeout, as a fraction of the longest, with the given weight, and returns the mean.
    pub fn observe_timeout(&mut self, op: usize, fraction: f64, weight: f64) -> f64 {
        self.timeout_fractions.resize(self.timeout_fractions.len().max(op + 1), 1.0);
        self.timeout_fractions[op] += weight * (fraction - self.timeout_fractions[op]);
        self.timeout_fractions[op]
    }

    /// Adds an outcome, in time or not, with the given weight.
    pub fn observe_outcome(&mut self, in_time: bool, weight: f64) {
        self.in_time_fraction += weight * (f64::from(u8::from(in_time)) - self.in_time_fraction);
    }
}

/// The times of recent events, in order.
#[derive(Clone, Debug, Default)]
pub struct EventTimes(pub VecDeque<f64>);

impl EventTimes {
    /// Records an event now if `condition` holds, and drops those older than `retention`.
    pub fn record_if(&mut self, condition: bool, now: f64, retention: f64) {
        self.0.extend(condition.then_some(now));
        while self.0.front().is_some_and(|&at| at < now - retention) {
            self.0.pop_front();
        }
    }

    /// The number of events since `from`.
    pub fn count_since(&self, from: f64) -> f64 {
        (self.0.len() - self.0.partition_point(|&at| at < from)) as f64
    }
}

/// Where an invocation can be sent now. `Never`: no executor may take it, now or later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    Here(ExecutorIndex),
    Later,
    Never,
}

/// Restricts the pool to those that match, if the condition holds and any do.
pub fn prefer(pool: &mut Vec<ExecutorIndex>, condition: bool, matches: impl Fn(&ExecutorIndex) -> bool) {
    if condition && pool.iter().any(&matches) {
        pool.retain(matches);
    }
}
