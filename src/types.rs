//! What goes into and comes out of the decision module, and the records it keeps. Times are seconds; no
//! decision stands here.
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// An invocation's id, as the protocol gave it.
pub type InvId = u32;
/// An executor's small index at this node.
pub type Tgt = usize;

/// How far an operation's effect may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum Effect {
    Idempotent,
    Deduplicated { group: Group, window: f64 },
    NonIdempotent,
}

/// The executors that drop each other's repeats.
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
    /// The part of it that an answer after the objective still earns.
    pub late_value: f64,
    /// The machine kind it needs, if any.
    pub kind: Option<usize>,
}

/// Where load reports are found.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Reports {
    Answers,
    Probes,
    #[default]
    Never,
}

/// What the list of executors tells of their sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Sizes {
    #[default]
    Never,
    /// The registered size.
    Listed,
    /// About its size: how many cores, not how fast they are.
    Rough,
    /// The size less what is held there, some time ago: the same view for all nodes.
    Live,
}

/// What a node may send beyond each invocation's first forward: within any `span`, `floor` and `share` of the
/// invocations that it took in that time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    pub floor: f64,
    pub share: f64,
    pub span: f64,
}

/// The limits that keep a cold executor standing.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    pub start: f64,
    pub warm: f64,
    pub factor: f64,
    pub fall: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub me: usize,
    pub nodes: usize,
    pub zone: usize,
    pub operations: Vec<Operation>,
    /// Each tenant's invocations a second within its share, over all nodes.
    pub quotas: Vec<f64>,
    /// What billed value beyond a tenant's share is worth.
    pub over_share_value: f64,
    /// Billed value counts by work, not by invocation.
    pub value_by_work: bool,
    /// Weights of the whole service and of its worst operation in the operators' goal.
    pub goal_whole: f64,
    pub goal_worst_operation: f64,
    pub cross_zone_price: f64,
    /// The list of executors comes only when asked for.
    pub must_ask: bool,
    /// Only a drain binds: who is listed as gone, or left out, without one may be sent to.
    pub only_draining: bool,
    /// A node that has not asked for the list for so long counts as told of it.
    pub ask_within: Option<f64>,
    pub cold: Cold,
    pub budget: Option<Budget>,
    /// An executor answers 'full' also for work that it has begun.
    pub full_may_have_run: bool,
    /// An invocation may have two forwards out at a time.
    pub second_copies: bool,
    /// Connections that stand idle for longer are closed; 0 where that is not stated.
    pub idle: f64,
    pub connection_price: f64,
    pub max_forwards: usize,
    pub cancelling: bool,
    pub probing: bool,
    pub peers: bool,
    pub max_pause: f64,
    /// Clients say so when they come back.
    pub marks_again: bool,
    pub reports: Reports,
    pub sizes: Sizes,
    /// Interval of progress notes, 0 for none.
    pub progress: f64,
    pub tells_start: bool,
}

impl Settings {
    /// How far back what counts for the budget lies at most.
    pub fn budget_retention(&self) -> f64 {
        self.budget.map_or(0.0, |budget| 2.0 * budget.span)
    }

    /// How long it is until this node's turn to ask for the list, in a round that all nodes count alike: `call` for each
    /// other node, within these bounds, and over before a node that has not asked counts as told.
    pub fn time_to_turn(&self, now: f64, call: f64, least: f64, most: f64) -> f64 {
        let latest = self.ask_within.map_or(most, |within| most.min(0.9 * within));
        let round = (call * self.nodes.saturating_sub(1) as f64).min(latest).max(least);
        let turn = self.me as f64 / self.nodes.max(1) as f64 * round;
        if round > 0.0 {
            (turn - now).rem_euclid(round)
        } else {
            0.0
        }
    }

    /// Whether it proves that the invocation has not run there, where executors answer as they do here.
    pub fn never_ran(&self, outcome: Outcome) -> bool {
        outcome.never_ran() && !(self.full_may_have_run && outcome == Outcome::Full)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub enum Standing {
    Ready,
    /// Not listed any more, which need not be so; `Executor::shown` tells whether it was seen to live since.
    Missing,
    Draining,
    #[default]
    Gone,
}

/// One line of the list of executors.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub tgt: Tgt,
    /// The same at every node: it tells which node counts for the executor.
    pub mark: u32,
    pub zone: usize,
    pub cell: i64,
    pub kind: usize,
    pub started: f64,
    /// The size that the list gives it, as `Sizes` says.
    pub size: f64,
    pub standing: Standing,
}

#[derive(Clone, Debug)]
pub enum List {
    Changes(Vec<Entry>),
    Whole(Vec<Entry>),
    /// What this node begins with.
    Kept(Vec<Entry>, KeptAge),
    Lost(Loss),
}

impl List {
    /// What it does not hold is gone.
    pub fn is_whole(&self) -> bool {
        matches!(self, List::Whole(_) | List::Kept(..))
    }
}

/// How old a list is that a node begins with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeptAge {
    /// As old as the node's last life has been over, which may be seconds or days.
    Unknown,
    /// The process before, which followed it, has handed it over just now.
    Current,
    /// The protocol does not count it.
    Unsaid,
}

/// What the end of a watch, or of a call for one, tells of the list that is held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    /// The other side has ended it, or nobody is there: nothing was missed, or nothing is told to anyone.
    Closed,
    /// A call has waited, and was turned away: nothing was told to whoever waited with it.
    Waited,
    /// The call was turned away as it came, by a service that is there and has too many callers: others may be told.
    Refused,
    /// Others may have been told for so long: the watch fell silent, or the call is not answered, or not to its end.
    Missed(f64),
    /// The protocol does not say.
    Unsaid,
}

#[derive(Clone, Debug)]
pub struct Submission {
    pub id: InvId,
    pub operation: usize,
    pub tenant: Option<usize>,
    /// Time left until the client gives up.
    pub timeout: f64,
    /// Rough running time on a standard core.
    pub hint: Option<f64>,
    /// Memory units it needs.
    pub memory: Option<f64>,
    /// What it works on: an executor keeps that for a while.
    pub key: Option<u64>,
    /// Whether the client says that it comes back.
    pub again: bool,
}

/// How a forward or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Succeeded,
    Errored,
    /// The executor finds fault with the invocation itself.
    Unfit,
    Full,
    TimedOut,
    Unreachable,
    Reset,
    Cancelled,
    Moot,
}

impl Outcome {
    /// Whether it proves that the invocation has not run there, and will not.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Moot)
    }
}

/// A load report; a value that is absent or senseless is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub free: Option<f64>,
    pub queue: Option<f64>,
    pub inflight: Option<f64>,
    pub util: Option<f64>,
    /// Free memory, in units of which an executor has one a slot.
    pub memory: Option<f64>,
}

/// The end of one forward; `ended` when the invocation has its final answer.
#[derive(Clone, Debug)]
pub struct Settled {
    pub id: InvId,
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
    /// A forward has started or goes on.
    Alive {
        id: InvId,
        forward: usize,
    },
    /// A forward's executor has not said in time that it has it.
    Unheard {
        id: InvId,
        forward: usize,
    },
    Expired(InvId),
    /// The node is asked to stop, and has until then.
    Leaving(f64),
    Timer(u64),
    Probed {
        tgt: Tgt,
        outcome: Outcome,
        report: Report,
    },
    Heard {
        from: usize,
        told: Told,
        tgt: Tgt,
        count: u8,
    },
}

/// What nodes tell each other, one number for one executor: what the sender holds there, a
/// question, and its answer, the free slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Held,
    Asks,
    Room,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Forward {
        id: InvId,
        tgt: Tgt,
    },
    Withdraw {
        id: InvId,
        forward: usize,
    },
    Throttle {
        id: InvId,
        pause: f64,
    },
    Error {
        id: InvId,
    },
    Wake {
        after: f64,
        timer: u64,
    },
    Probe(Tgt),
    /// Close idle connections.
    Release(Tgt),
    /// To another node.
    Tell {
        to: usize,
        told: Told,
        tgt: Tgt,
        count: u8,
    },
    Follow,
    Log(String),
}

// What the decisions keep between inputs.

/// Where an invocation stands. `Suspect`: nothing is out, but an earlier forward may have run.
/// `Again`: out, and an earlier forward may have run or is out too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub enum InvState {
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

/// `NotRun`, `MayHaveRun`: the last that was out ended, and of all of them this holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InvEvent {
    Sent,
    Finished,
    NotRun,
    MayHaveRun,
    GaveUp,
}

/// `Answer`: throttle where the operation allows it after a forward that may have run, else error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransitionAction {
    Keep,
    Queue,
    Close,
    Throttle,
    ThrottleOrError,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum ForwardState {
    #[serde(rename = "Out")]
    InFlight,
    NotRun,
    MayHaveRun,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Forward {
    pub tgt: Tgt,
    pub sent: f64,
    #[serde(rename = "fate")]
    pub state: ForwardState,
    /// How long it waited there, once it has given a sign of life.
    pub wait: Option<f64>,
    /// It was sent there as a report told of room.
    #[serde(default)]
    #[serde(rename = "told")]
    pub had_reported_slot: bool,
    /// It went over a connection that was open.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub reused_connection: bool,
    /// It had every reason to start at once.
    #[serde(default)]
    #[serde(rename = "sure")]
    pub expected_at_once: bool,
    /// And has not: that was noted; and again, once it was past all use.
    #[serde(default)]
    #[serde(rename = "late")]
    pub start_overdue: bool,
    #[serde(default)]
    #[serde(rename = "vain")]
    pub start_given_up: bool,
    /// The executor answered with an error.
    pub errored: bool,
}

impl Forward {
    pub fn may_have_run(&self) -> bool {
        self.state != ForwardState::NotRun
    }

    /// Out without a sign, though it had every reason to start.
    pub fn is_start_missing(&self) -> bool {
        self.expected_at_once && self.state == ForwardState::InFlight && self.wait.is_none()
    }

    pub fn connection_kind(&self) -> usize {
        if self.reused_connection {
            REUSED
        } else {
            NEW
        }
    }

    pub fn new(tgt: Tgt, sent: f64) -> Self {
        Forward {
            tgt,
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

/// `worth`: the part of its billed value that counts, as its tenant is over its share. In time if sent before
/// `aim`, given up while it waits after `until`, client timeout at `end`; it crosses zones from `cross` on.
/// `load`: how long it keeps an ordinary slot busy. `press`: its place in the queue.
/// `sample`: executors drawn for it; drawn anew from `again` on, `gap` after the last draw.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Inv {
    pub op: usize,
    #[serde(rename = "life")]
    pub state: InvState,
    #[serde(rename = "worth")]
    pub weight: f64,
    #[serde(rename = "aim")]
    pub latest_start: f64,
    /// Half of what it could wait and still be in time.
    #[serde(rename = "spare")]
    pub slack: f64,
    #[serde(rename = "cross")]
    pub cross_zone_from: f64,
    #[serde(rename = "until")]
    pub give_up_at: f64,
    pub end: f64,
    pub hint: f64,
    pub load: f64,
    pub memory: f64,
    pub key: Option<u64>,
    #[serde(skip)]
    pub tenant: Option<usize>,
    /// Its client gives up sooner than it could be late.
    #[serde(default)]
    #[serde(rename = "hasty")]
    pub impatient: bool,
    #[serde(rename = "press")]
    pub priority: f64,
    /// Its executor died as it began there, or two have failed it: it goes out no more.
    #[serde(rename = "hopeless")]
    pub no_more_forwards: bool,
    #[serde(rename = "sample")]
    pub candidates: Vec<Tgt>,
    #[serde(rename = "again")]
    pub next_draw: f64,
    #[serde(rename = "gap")]
    pub draw_interval: f64,
    pub forwards: Vec<Forward>,
}

impl Inv {
    /// The forwards that have no outcome yet.
    pub fn in_flight(&self) -> impl Iterator<Item = usize> + '_ {
        let out = |f: &(usize, &Forward)| f.1.state == ForwardState::InFlight;
        self.forwards.iter().enumerate().filter(out).map(|f| f.0)
    }

    /// The first forward that may have run: its group and time bind all further ones.
    pub fn first_possible_run(&self) -> Option<&Forward> {
        self.forwards.iter().find(|f| f.may_have_run())
    }
}

/// How forwards of one sort fared of late: successes, up to a bound, and failures, which fade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Record {
    pub successes: f64,
    pub failures: f64,
    /// Not to be used for now, as it fares badly.
    pub avoided: bool,
    /// The last success.
    pub last_success: f64,
}

impl Default for Record {
    /// As one that is unknown begins: two failures in a row make it doubtful.
    fn default() -> Self {
        Record { successes: 4.0, failures: 0.0, avoided: false, last_success: f64::NEG_INFINITY }
    }
}

impl Record {
    /// The mean of what is remembered.
    pub fn mean(&self) -> f64 {
        (1.0 + self.successes) / (2.0 + self.successes + self.failures)
    }

    /// One success more, `most` of which count; it may have been blamed too soon.
    pub fn add_success(&mut self, now: f64, most: f64, blamed: bool) {
        (self.successes, self.last_success) = ((self.successes + 1.0).min(most), now);
        self.retract_failure(blamed);
    }

    /// It was blamed too soon.
    pub fn retract_failure(&mut self, blamed: bool) {
        self.failures = (self.failures - f64::from(u8::from(blamed))).max(0.0);
    }
}

/// Over which connection a forward went: one that was open, or a new one.
pub const REUSED: usize = 0;
pub const NEW: usize = 1;

/// What is known of one executor. `slow`: smoothed log of its latency over what the same operation takes
/// elsewhere. `slots`: 0 while unknown. `unseen`: forwards that its last report can't have seen. `others`:
/// what the other nodes hold there. `heard`: last sign of life, or when it last got work while it had none.
#[derive(Clone, Debug, Default)]
pub struct Executor {
    pub entry: Entry,
    pub mu: f64,
    pub beta: f64,
    /// What it is drawn by: beta, or a trial share.
    pub share: f64,
    pub log_slowness: f64,
    pub last_success: f64,
    pub slots: f64,
    pub free: f64,
    pub sent_since_report: f64,
    pub reported_at: f64,
    /// When who counts for it last told of room.
    pub granted_at: f64,
    pub queried_at: f64,
    pub refused_at: f64,
    pub refusals: u32,
    pub held: usize,
    pub memory: f64,
    pub foreign_memory: f64,
    /// When its own last report came.
    pub own_report_at: f64,
    pub running: usize,
    /// It started the last that it got at once.
    pub started_at_once: bool,
    pub held_announced: bool,
    pub promised_at: f64,
    pub promised_slots: f64,
    pub peer_held: Vec<u8>,
    pub last_sent: f64,
    pub last_sign_of_life: f64,
    pub silent: bool,
    pub doubtful: bool,
    /// It has shown that it lives since it was missing.
    pub seen_alive: bool,
    pub trial: bool,
    /// How far it is to be trusted.
    pub overall: Record,
    pub cold_turn: usize,
    pub cold_work: f64,
    /// By operation.
    pub operation_records: Vec<Record>,
    /// Connections there, in use or not, and when the last was put back.
    pub connections: usize,
    pub idle_since: f64,
}

impl Executor {
    /// A new start is a new process: what was known of the old one says nothing of it, but for what it held.
    pub fn reset_for_new_process(&mut self, now: f64) {
        let (held, memory, never) = (self.held, self.memory, f64::NEG_INFINITY);
        let rest = Executor { cold_turn: usize::MAX, ..Executor::default() };
        *self =
            Executor { held, memory, queried_at: never, granted_at: never, last_sign_of_life: now, ..rest };
    }

    pub fn apply_entry(&mut self, now: f64, entry: Entry) {
        if self.entry.started != entry.started {
            self.reset_for_new_process(now);
        }
        self.entry = entry;
    }

    /// Of which nothing has been listed yet: any start time is new.
    pub fn unlisted(tgt: Tgt) -> Self {
        Executor { entry: Entry { tgt, started: f64::NAN, ..Entry::default() }, ..Executor::default() }
    }

    /// May be sent to: listed as ready, or missing and seen to live since.
    pub fn is_ready(&self) -> bool {
        #[cfg(test)]
        crate::sampler::tests::look();
        self.entry.standing == Standing::Ready || self.entry.standing == Standing::Missing && self.seen_alive
    }

    /// Not to be left out by the draw; in a fog, which lasts until then, doubts say nothing.
    pub fn is_trusted(&self, now: f64, fog: f64) -> bool {
        !self.silent && (!self.doubtful || now < fog)
    }

    pub fn operation_record(&mut self, op: usize) -> &mut Record {
        if self.operation_records.len() <= op {
            self.operation_records.resize(op + 1, Record::default());
        }
        &mut self.operation_records[op]
    }

    /// It has a connection that is not in use.
    pub fn has_idle_connection(&self) -> bool {
        self.connections > self.held
    }

    /// And not about to be closed for that.
    pub fn has_fresh_connection(&self, now: f64, idle: f64) -> bool {
        self.has_idle_connection() && (idle <= 0.0 || now - self.idle_since < 0.9 * idle)
    }

    /// A forward there, which is still counted, has ended; its connection lives on if it was answered.
    pub fn release_connection(&mut self, now: f64, answered: bool) {
        if answered {
            self.idle_since = now;
        } else {
            self.connections = self.connections.saturating_sub(1).max(self.held.saturating_sub(1));
        }
    }

    /// What the other nodes hold there.
    pub fn held_by_peers(&self) -> f64 {
        self.peer_held.iter().map(|&n| f64::from(n)).sum()
    }

    /// The part of its capacity that an executor has at least.
    pub fn warm_fraction(&self, now: f64, cold: &Cold) -> f64 {
        let age = if self.entry.started > 0.0 { (now - self.entry.started).max(0.0) } else { f64::INFINITY };
        (cold.start + (1.0 - cold.start) * age / cold.warm).min(1.0)
    }

    /// A sign of life: what it was blamed for while silent is forgiven, as it works off what it holds.
    pub fn on_sign_of_life(&mut self, now: f64) {
        (self.last_sign_of_life, self.seen_alive) = (now, true);
        self.overall.failures *= if std::mem::take(&mut self.silent) { 0.0 } else { 1.0 };
    }

    /// Slots that those who asked just now were told of.
    pub fn pending_promises(&self, now: f64) -> f64 {
        const PROMISE_LIFETIME: f64 = 0.06; // By then who asked has sent there, and said so, or has not.
        self.promised_slots * f64::from(u8::from(now - self.promised_at < PROMISE_LIFETIME))
    }

    /// The number of the turn since its start, each as long as `span`.
    pub fn turn_number(&self, now: f64, span: f64) -> usize {
        ((now - self.entry.started).max(0.0) / span.max(1e-3)) as usize
    }

    /// So short ago that few others can have sent there since: all who see a free slot for longer would meet there.
    pub fn reported_just_now(&self, now: f64) -> bool {
        const RECENT_REPORT: f64 = 0.02; // A few messages' ways and batches.
        now - self.reported_at <= RECENT_REPORT
    }

    /// Who was not heard for so long holds nothing there.
    pub fn forget_silent_peers(&mut self, now: f64, heard: &[f64], silent: f64) {
        let others = self.peer_held.iter_mut().zip(heard);
        others.filter(|o| now - o.1 > silent).for_each(|(count, _)| *count = 0);
    }

    pub fn set_peer_held(&mut self, from: usize, count: u8) {
        if self.peer_held.len() <= from && count > 0 {
            self.peer_held.resize(from + 1, 0);
        }
        self.peer_held.iter_mut().skip(from).take(1).for_each(|n| *n = count);
    }
}

/// What is known of one operation or tenant: the smoothed log of its latency (a second of hint, if any), its
/// invocations a second, and the part of them that was sent in time.
#[derive(Clone, Debug, Default)]
pub struct TrafficStats {
    pub log_latency: Option<f64>,
    pub answers: f64,
    pub arrived: f64,
    pub rate: f64,
    pub in_time_fraction: f64,
    /// Longest time that a client came with.
    pub longest_timeout: f64,
    /// Of a tenant, by operation: the mean part of the longest time that its clients come with.
    pub timeout_fractions: Vec<f64>,
}

/// What is known of one kind of machine: the smoothed log of its latency over what the same operation takes
/// elsewhere, the most slots seen free, and the largest size listed. `spread`: the variance of single answers' logs
/// round their executor's own, of so many `answers`.
#[derive(Clone, Debug, Default)]
pub struct MachineKindStats {
    pub log_slowness: f64,
    pub variance: f64,
    pub answers: f64,
    pub max_slots: f64,
    pub max_size: f64,
}

impl TrafficStats {
    /// Invocations a second, with those since the last time weighed by `new`.
    pub fn smooth_rate(&mut self, passed: f64, new: f64) {
        self.rate += new * (std::mem::take(&mut self.arrived) / passed - self.rate);
    }

    /// The mean part of the longest time that clients come with, with one more that weighs `new`.
    pub fn observe_timeout(&mut self, op: usize, part: f64, new: f64) -> f64 {
        self.timeout_fractions.resize(self.timeout_fractions.len().max(op + 1), 1.0);
        self.timeout_fractions[op] += new * (part - self.timeout_fractions[op]);
        self.timeout_fractions[op]
    }

    /// One more that was or was not in time, of weight `new`.
    pub fn observe_outcome(&mut self, in_time: bool, new: f64) {
        self.in_time_fraction += new * (f64::from(u8::from(in_time)) - self.in_time_fraction);
    }
}

/// When something happened, the latest last.
#[derive(Clone, Debug, Default)]
pub struct EventTimes(pub VecDeque<f64>);

impl EventTimes {
    /// Once more, if so; what lies over `kept` back is forgotten.
    pub fn record_if(&mut self, so: bool, now: f64, kept: f64) {
        self.0.extend(so.then_some(now));
        while self.0.front().is_some_and(|&at| at < now - kept) {
            self.0.pop_front();
        }
    }

    /// How often from then on.
    pub fn count_since(&self, from: f64) -> f64 {
        (self.0.len() - self.0.partition_point(|&at| at < from)) as f64
    }
}

impl Entry {
    /// Whether both drop the repeats of the other.
    pub fn same(&self, group: Group, other: &Entry) -> bool {
        match group {
            Group::All => true,
            Group::Zone => other.zone == self.zone,
            Group::Cell => other.cell == self.cell,
        }
    }
}

/// Where an invocation can go now. `Never`: no executor may take it, now or later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    Here(Tgt),
    Later,
    Never,
}

/// Leaves those of the pool, if there are any and the condition holds.
pub fn prefer(pool: &mut Vec<Tgt>, when: bool, those: impl Fn(&Tgt) -> bool) {
    if when && pool.iter().any(&those) {
        pool.retain(those);
    }
}
