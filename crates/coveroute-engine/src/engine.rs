//! The engine: everything that happens comes to it as an event, with the time; what is decided leaves it as
//! actions, to be carried out in order.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use coveroute::node::Node;
use coveroute::policy::LOOK;
use coveroute::types::{
    Budget, Input, InvId, KeptAge, List, Loss, Operation, Outcome, Output, Report, Settings, Settled,
    Standing, Submission, Tgt, Told,
};
use coveroute_shared::Names;
use log::{debug, error, info, warn};

use crate::admit::{admit, Call};
use crate::answer::{Answer, Unfit};
use crate::book::{Book, Forward, Record, Stage};
use crate::counts::{Counts, Figures, ListFigures, Verdict};
use crate::decide::Decide;
use crate::list::{Fleet, Listing, Move};
use crate::memory::Memory;
use crate::operations::Operations;
use crate::parcel::Parcel;
use crate::phase::{Phase, Step};
use crate::route::Route;
use crate::timers::Timers;

/// What a configuration that was read anew says of decisions.
#[derive(Clone, Debug)]
pub struct Tuning {
    pub settings: Settings,
    pub names: Names,
    /// Each operation's client timeout.
    pub timeouts: Vec<f64>,
}

/// What an engine is begun with.
#[derive(Debug)]
pub struct Setup {
    pub settings: Settings,
    pub names: Names,
    pub seed: u64,
    /// Each operation's client timeout.
    pub timeouts: Vec<f64>,
    /// The list as this node last had it.
    pub known: Option<Listing>,
    /// What the process before hands on, if there is one: its list goes before.
    pub memory: Option<Memory>,
}

#[derive(Debug)]
pub enum Event<'a> {
    Taken(InvId, &'a Call),
    /// The client has gone.
    Left(InvId),
    /// What an executor's first answer to a forward, or the want of it, tells.
    Replied(InvId, usize, Reply),
    News(News),
    Probed(Tgt, Outcome, Report),
    /// What the watch of this number on the list of executors tells.
    Watch(u64, Watched),
    /// Another node, by its number, tells of the executor with this mark.
    Heard {
        from: usize,
        told: Told,
        mark: u32,
        count: u8,
    },
    /// The operators' configuration was read anew, and is fit: the settings, if they count, and whether the list
    /// is to be followed elsewhere from now on.
    Reread {
        tuning: Option<Box<Tuning>>,
        moved: bool,
    },
    /// It was not fit, and all stays as it is.
    NotReread,
    /// Of what cold executors can stand, this part is left to this process, while another one of this node lives.
    Part(f64),
    /// Of tenants' shares over all nodes, what is this node's now: invocations a second, by name.
    Quotas(Vec<(String, f64)>),
    /// A front has ended a job of this operation, which never came here.
    Ended(&'a str, Verdict),
    /// The platform asks the node to stop.
    Stop,
    /// What was in hand is in another process's: nothing more is waited for.
    Relieved,
    /// No request is in hand: each answer has left.
    Idle,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Its last byte is written.
    Written,
    /// The executor has the job, and will tell what becomes of it.
    Taken,
    /// It has not said so in time. It may still.
    Unheard,
    Ended(Outcome, Report),
    /// The executor finds fault with the request: the status, as the protocol words it.
    Unfit(u16, Report),
    /// It ran, and this is what it made.
    Succeeded(Bytes, Report),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Watched {
    /// It is followed again, and what changed before that has been told.
    Begun,
    Listed(Listing),
    Lost(Loss),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// It has started, or goes on.
    Alive,
    Succeeded(Bytes),
    Ended(Outcome),
}

/// What an executor tells of a job that it has taken.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    pub call: String,
    pub from: String,
    pub word: Word,
    pub report: Report,
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Hand the job to the executor, with its last byte written by `write_until` or not at all. The node answers by `end`: how
    /// long that is has to be read from the clock when the executor is told.
    Send {
        id: InvId,
        forward: usize,
        tgt: Tgt,
        end: f64,
        write_until: f64,
    },
    /// Stop sending, by closing the connection: the executor has not said that it has the job.
    Abort {
        id: InvId,
        forward: usize,
    },
    /// Stop sending if no byte of the job has been written yet, and say so: the executor wants nothing new.
    Recall {
        id: InvId,
        forward: usize,
    },
    /// Tell the executor, which has the job, to give it up.
    GiveUp {
        tgt: Tgt,
        call: Arc<str>,
    },
    Answer {
        id: InvId,
        answer: Answer,
    },
    Probe(Tgt),
    /// Close idle connections.
    Release(Tgt),
    /// The executor listens there; at a new address nothing of the old connections is kept.
    At(Tgt, SocketAddr),
    Gone(Tgt),
    /// Follow the list from after this version with a watch of this number; an earlier one is dropped.
    Follow {
        watch: u64,
        version: u64,
    },
    /// Tell another node of the executor with this mark.
    Tell {
        to: usize,
        told: Told,
        mark: u32,
        count: u8,
    },
}

#[derive(Debug)]
enum Timer {
    Decisions(u64),
    /// An invocation's time is over.
    End(InvId),
    Life(Step),
    /// The list's agent is called again, unless there has been another watch since this one.
    Follow(u64),
}

/// The number of what comes with no watch: a list that is pushed to the door.
pub const UNASKED: u64 = 0;
/// Where lists are pushed, their agent is this node's own and what it has counts as told: it is called again as soon as
/// a call has had time to fail by itself, a few round trips, and well inside the shortest grace for a drain met (0.1 s).
const AGENT_AGAIN: f64 = 0.05;
/// A node that knows a list from before its start, and has not heard of the present one, is ready all the same by then: the
/// platform wants nine in ten restarted nodes ready within six to ten seconds.
const READY_WITHIN: f64 = 5.5;
/// From the stop on: new connections come for 0.4 s at most, and some way more.
const QUIET_LEAST: f64 = 0.6;
/// Of the time to stop: half is used as before, half to finish in.
const QUIET_SHARE: f64 = 0.5;
/// After that idle connections are closed, and who was about to use one has come again.
const CLOSED_AFTER: f64 = 0.2;
/// The platform waits for the longest client timeout, but no longer than this, and 0.7 s more; then it kills.
const WAITS_MOST: f64 = 3.0;
/// Of those 0.7 s: the last answers are given, and then the node ends whatever is left.
const ANSWERED_AFTER: f64 = 0.2;
const LATE_AFTER: f64 = 0.45;

pub struct Engine<D = Node> {
    timers: Timers<Timer>,
    phase: Phase,
    pub(crate) route: Route<D>,
    pub(crate) fleet: Fleet,
    pub(crate) book: Book,
    /// How many watches on the list there have been: what an earlier one has still told counts no more.
    watch: u64,
    /// Of the list of executors that is held.
    version: u64,
    /// When this process began, and when discovery was first and last heard of since.
    began: f64,
    heard: Option<[f64; 2]>,
    /// The list is pushed: whoever keeps it is followed from the start on, and again at once when that ends.
    agent: bool,
    /// The watch of the present number has begun, and has not ended.
    followed: bool,
    operations: Operations,
    /// The entries that the operations have, as the decisions have them.
    entries: Vec<Operation>,
    counts: Counts,
    /// Calls that the process before serves.
    elsewhere: BTreeSet<String>,
    /// What a cold executor can stand, as the settings say, and this process's part of it.
    cold_factor: f64,
    budget: Option<Budget>,
    part: f64,
    /// By when all must be answered, once the node is to stop.
    leave_by: f64,
    /// From when on it may end, once it is idle.
    end_from: f64,
    pub(crate) cancelling: bool,
    /// Kept for the next event's outputs.
    outputs: Vec<Output>,
}

impl Engine<Node> {
    pub fn new(now: f64, setup: Setup, out: &mut Vec<Action>) -> Self {
        let node = Node::new(setup.settings.clone(), setup.seed);
        Engine::deciding(now, node, setup, out)
    }
}

impl<D: Decide> Engine<D> {
    /// An engine with these decisions.
    pub fn deciding(now: f64, decide: D, mut setup: Setup, out: &mut Vec<Action>) -> Self {
        let names = std::mem::take(&mut setup.names.operations);
        let mut engine = Engine {
            timers: Timers::new(),
            phase: Phase::Starting,
            route: Route::new(decide),
            fleet: Fleet::new(setup.names, setup.settings.only_draining),
            book: Book::default(),
            watch: 0,
            version: 0,
            began: now,
            heard: None,
            agent: !setup.settings.must_ask,
            followed: false,
            operations: Operations::new(names, &setup.timeouts),
            entries: setup.settings.operations,
            counts: Counts::default(),
            elsewhere: BTreeSet::new(),
            cold_factor: setup.settings.cold.factor,
            budget: setup.settings.budget,
            part: 1.0,
            leave_by: f64::INFINITY,
            end_from: f64::INFINITY,
            cancelling: setup.settings.cancelling,
            outputs: Vec::new(),
        };
        engine.show();
        let memory = setup.memory;
        let age = match &memory {
            Some(memory) if memory.current => KeptAge::Current,
            _ => KeptAge::Unknown,
        };
        let known = memory.as_ref().map(|memory| memory.listing.clone()).or(setup.known);
        engine.begin_with(now, age, known.unwrap_or_default(), out);
        engine.carry_on(now, out);
        memory.into_iter().for_each(|memory| engine.recall(now, memory));
        if engine.agent {
            engine.follow(out);
        }
        engine
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When `advance` has something to do next.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.next()
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub fn decisions(&self) -> &D {
        self.route.decide()
    }

    /// Records that are held: bounded by what fronts let in.
    pub fn held(&self) -> usize {
        self.book.len()
    }

    /// What operators are shown.
    pub fn figures(&self, now: f64) -> Figures {
        Figures {
            operations: self.counts.operations(),
            forwards: self.counts.forwards,
            outstanding: self.book.owed(),
            listed: self.fleet.listed_now(),
            avoided: self.route.decide().avoided(now),
            list: self.list_figures(now),
            applied: self.counts.applied,
            rejected: self.counts.rejected,
        }
    }

    fn list_figures(&self, now: f64) -> ListFigures {
        let decide = self.route.decide();
        ListFigures {
            version: self.version,
            state: decide.list_state().name(),
            first_heard: self.heard.map(|[first, _]| first - self.began),
            last_heard: self.heard.map(|[_, last]| now - last),
            refused: decide.refused_without_list(),
        }
    }

    /// Two processes of one node have one budget of forwards: who has the lesser part sends none beyond the first,
    /// as the other goes on from all that was counted.
    fn own_budget(&self) -> Option<Budget> {
        let none = |budget| Budget { floor: 0.0, share: 0.0, ..budget };
        self.budget.map(|budget| if self.part < 0.5 { none(budget) } else { budget })
    }

    /// What the next process of this node is handed.
    pub fn memory(&self) -> Memory {
        let calls = self.book.open_calls().map(|call| call.to_string()).collect();
        let decide = self.route.decide();
        let current = decide.list_state().is_current();
        Memory { current, ..Memory::of(decide.learnt(), &self.fleet, &self.operations, self.version, calls) }
    }

    fn recall(&mut self, now: f64, memory: Memory) {
        let learnt = memory.learnt(&self.fleet, &self.operations, now);
        self.route.decide_mut().recall(&learnt);
        self.elsewhere = memory.calls.into_iter().collect();
    }

    /// Takes the job out, to go on in another process: no answer, and no word to executors. Not before each of its
    /// forwards has ended or was acknowledged: their connections stay here.
    pub fn part_with(&mut self, id: InvId) -> Option<Parcel> {
        let record = self.book.get(id).filter(|record| record.owed)?;
        if record.forwards.iter().any(|forward| forward.stage == Stage::Sending) {
            return None;
        }
        let (call, operation, end) = (record.call.to_string(), record.operation.to_string(), record.due);
        let ids = record.forwards.iter().map(|f| (self.fleet.id(f.tgt).to_owned(), f.sent, f.stage));
        let forwards: Vec<_> = ids.collect();
        let mut inv = self.route.decide_mut().part_with(id)?;
        inv.end = end; // There nobody has told it to stop.
        let entry = self.entries[inv.op].clone();
        let (timeout, kind) =
            (self.operations.timeout(inv.op), entry.kind.and_then(|kind| self.fleet.kind(kind)));
        let kind = kind.cloned();
        let parcel = Parcel { call, operation, entry, timeout, kind, end, inv, forwards };
        if !parcel.is_sound() || !parcel.travels() {
            self.route.decide_mut().take_in(id, parcel.inv);
            return None;
        }
        self.book.part_with(id);
        Some(parcel)
    }

    /// Goes on with a job of another process, under an id of this one.
    pub fn take_in(&mut self, now: f64, id: InvId, parcel: Parcel, out: &mut Vec<Action>) {
        let Parcel { call, operation, mut entry, timeout, kind, end, mut inv, forwards } = parcel;
        entry.kind = kind.map(|kind| self.fleet.numbered_kind(&kind));
        let known = self.entries.len();
        inv.op = self.operations.entry(&operation, timeout, &entry, &mut self.entries);
        if self.entries.len() > known {
            self.route.decide_mut().extend(self.entries.clone());
        }
        let forwards: Vec<Forward> = forwards
            .into_iter()
            .map(|(executor, sent, stage)| Forward { tgt: self.fleet.number(&executor), sent, stage })
            .collect();
        inv.forwards.iter_mut().zip(&forwards).for_each(|(fwd, forward)| fwd.tgt = forward.tgt);
        self.elsewhere.remove(&call);
        let (call, operation) = (Arc::from(call), self.operations.name(inv.op).clone());
        self.counts.show(&operation);
        let (due, end) = (end, end.min(self.leave_by));
        self.timers.set(end, Timer::End(id));
        self.book.open(id, Record { call, operation, owed: true, end, due, forwards });
        self.route.decide_mut().take_in(id, inv);
        self.route.push(Input::Timer(LOOK));
        self.carry_on(now, out);
    }

    /// Whether the call is served here, or was.
    pub fn knows(&self, call: &str) -> bool {
        self.book.knows(call)
    }

    fn show(&mut self) {
        let Engine { counts, operations, .. } = self;
        operations.names().for_each(|name| counts.show(name));
    }

    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Taken(id, call) => self.taken(now, id, call, out),
            Event::Left(id) => self.left(now, id, out),
            Event::Replied(id, forward, reply) => self.replied(now, id, forward, reply, out),
            Event::News(news) => self.news(now, news, out),
            Event::Probed(tgt, outcome, report) => self.route.push(Input::Probed { tgt, outcome, report }),
            Event::Watch(number, watched) => self.watched(now, number, watched, out),
            Event::Heard { from, told, mark, count } => {
                let tgt = self.fleet.marked(mark);
                let heard = tgt.map(|tgt| Input::Heard { from, told, tgt, count });
                heard.into_iter().for_each(|heard| self.route.push(heard));
            }
            Event::Reread { tuning, moved } => self.reread(now, tuning, moved, out),
            Event::Part(part) => {
                self.part = part;
                let budget = self.own_budget();
                self.route.decide_mut().share(part * self.cold_factor, budget);
            }
            Event::Quotas(quotas) => {
                let tenants = &self.fleet.names().tenants;
                let at = |(name, quota)| Some((tenants.iter().position(|known| *known == name)?, quota));
                let quotas: Vec<(usize, f64)> = quotas.into_iter().filter_map(at).collect();
                self.route.decide_mut().quotas(&quotas);
            }
            Event::NotReread => self.counts.rejected += 1,
            Event::Ended(operation, verdict) => self.counts.ended(operation, verdict),
            Event::Stop => self.stop(now),
            Event::Relieved => {
                self.step(Step::Quiet);
                self.end_from = now;
            }
            Event::Idle if now >= self.end_from => drop(self.step(Step::Idle)),
            Event::Idle => {}
        }
        self.carry_on(now, out);
    }

    /// Does what is due.
    pub fn advance(&mut self, now: f64, out: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Decisions(timer) => self.route.push(Input::Timer(timer)),
                Timer::End(id) => self.over(now, id, out),
                Timer::Life(step) => drop(self.step(step)),
                Timer::Follow(after) if after == self.watch => self.follow(out),
                Timer::Follow(_) => {}
            }
            self.carry_on(now, out);
        }
    }

    fn step(&mut self, step: Step) -> bool {
        let after = self.phase.after(step);
        self.phase = after.unwrap_or(self.phase);
        after.is_some()
    }

    /// Decides and carries out until nothing is left to decide on.
    pub(crate) fn carry_on(&mut self, now: f64, out: &mut Vec<Action>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        while self.route.next(now, &mut outputs) {
            outputs.drain(..).for_each(|output| self.carry_out(now, output, out));
        }
        self.outputs = outputs;
    }

    fn carry_out(&mut self, now: f64, output: Output, out: &mut Vec<Action>) {
        match output {
            Output::Forward { id, tgt } => self.forward(now, id, tgt, out),
            Output::Withdraw { id, forward } => self.withdraw(now, id, forward, out),
            Output::Throttle { id, pause } => {
                debug!(
                    "{id} is refused, list {} is {}",
                    self.version,
                    self.route.decide().list_state().name()
                );
                self.answer(id, Answer::Throttled { pause }, out);
            }
            Output::Error { id } => self.answer(id, Answer::Errored, out),
            Output::Wake { after, timer } => self.timers.set(now + after, Timer::Decisions(timer)),
            Output::Probe(tgt) => out.push(Action::Probe(tgt)),
            Output::Release(tgt) => out.push(Action::Release(tgt)),
            Output::Tell { to, told, tgt, count } => {
                out.push(Action::Tell { to, told, mark: self.fleet.mark(tgt), count });
            }
            Output::Follow => self.follow(out),
            Output::Log(words) => info!("{words}"),
        }
    }

    /// Takes over the list that the node begins with. Guards against a node that was dead for seconds or days and serves at once
    /// by a list of that age: clients come once the present one is there, or when the platform will not wait any longer.
    fn begin_with(&mut self, now: f64, age: KeptAge, known: Listing, out: &mut Vec<Action>) {
        let source = match age {
            KeptAge::Current => "handed over by the process before",
            KeptAge::Unknown | KeptAge::Unsaid => "from before the start, nothing is sent by it",
        };
        info!("list {} is {source}", known.version);
        self.listed(now, &known, |_, entries| List::Kept(entries, age), out);
        match age {
            _ if known.hosts.is_empty() => {}
            KeptAge::Unknown => self.timers.set(now + READY_WITHIN, Timer::Life(Step::Ready)),
            KeptAge::Current | KeptAge::Unsaid => drop(self.step(Step::Ready)),
        }
    }

    /// Discovery was heard of.
    fn heard(&mut self, now: f64) {
        if self.heard.is_none() {
            info!("discovery is first heard of {:.2} s after the start", now - self.began);
        }
        self.heard = Some([self.heard.map_or(now, |[first, _]| first), now]);
    }

    fn watched(&mut self, now: f64, number: u64, watched: Watched, out: &mut Vec<Action>) {
        if !matches!(watched, Watched::Lost(_)) && (number == UNASKED || number == self.watch) {
            self.heard(now);
        }
        match watched {
            // Guards against a push that a newer word of the watch has overtaken: who drains by now would be sent to.
            Watched::Listed(listing) if number == UNASKED => {
                if !self.followed || listing.version >= self.version {
                    self.current(now, &listing, out);
                }
            }
            _ if number != self.watch => {}
            Watched::Listed(listing) => self.current(now, &listing, out),
            Watched::Begun => {
                self.followed = true;
                self.step(Step::Followed);
                self.ready();
                self.route.push(Input::List(List::Changes(Vec::new())));
            }
            Watched::Lost(loss) => {
                self.followed = false;
                match self.agent {
                    true => self.timers.set(now + AGENT_AGAIN, Timer::Follow(number)),
                    false => self.route.push(Input::List(List::Lost(loss))),
                }
            }
        }
    }

    /// Takes over what discovery tells.
    fn current(&mut self, now: f64, listing: &Listing, out: &mut Vec<Action>) {
        self.listed(now, listing, Listing::list, out);
        self.ready();
    }

    /// The front may send clients here, once executors are known.
    fn ready(&mut self) {
        if self.fleet.listed_now() > 0 {
            self.step(Step::Ready);
        }
    }

    fn follow(&mut self, out: &mut Vec<Action>) {
        self.followed = false;
        self.watch += 1;
        out.push(Action::Follow { watch: self.watch, version: self.version });
    }

    pub(crate) fn taken(&mut self, now: f64, id: InvId, call: &Call, out: &mut Vec<Action>) {
        let unfit = |why| Action::Answer { id, answer: Answer::Unfit(why) };
        // Guards against a second effect, and against clients that take another's id.
        if self.book.knows(&call.call) || self.elsewhere.contains(&*call.call) {
            self.counts.ended(&call.class, Verdict::Errored);
            return out.push(unfit(Unfit::Again));
        }
        let age = now - call.came;
        debug!("{id} taken: {}, {}, {:.3} s, came {age:.3} s ago", call.call, call.class, call.budget);
        match admit(id, call, &self.operations, self.fleet.names(), now) {
            Ok(submission) => self.open(now, call.call.clone(), submission),
            Err(why) => {
                self.counts.ended(&call.class, Verdict::Errored);
                out.push(unfit(why));
            }
        }
    }

    fn open(&mut self, now: f64, call: Arc<str>, submission: Submission) {
        let due = now + submission.timeout;
        let end = due.min(self.leave_by);
        self.timers.set(end, Timer::End(submission.id));
        let operation = self.operations.name(submission.operation).clone();
        let record = Record { call, operation, owed: true, end, due, forwards: Vec::new() };
        self.book.open(submission.id, record);
        self.route.push(Input::Submitted(submission));
    }

    /// Gives the final answer, once; tells whether it was still owed.
    fn give(&mut self, id: InvId, answer: Answer, out: &mut Vec<Action>) -> bool {
        let owed = self.book.answer(id);
        if let Some(operation) = owed {
            debug!("{id} ends as {answer:?}");
            self.counts.ended(operation, Verdict::from(&answer));
            out.push(Action::Answer { id, answer });
        }
        owed.is_some()
    }

    pub(crate) fn answer(&mut self, id: InvId, answer: Answer, out: &mut Vec<Action>) {
        self.give(id, answer, out);
        self.book.tidy(id);
    }

    fn left(&mut self, now: f64, id: InvId, out: &mut Vec<Action>) {
        if self.book.answer(id).is_some() {
            self.finished(now, id, out);
        }
        self.book.tidy(id);
    }

    /// An invocation has finished otherwise than by the decisions. Guards against a forward that is still
    /// waiting for its connection: nothing may be sent any more, also where executors can't be told to stop.
    fn finished(&mut self, now: f64, id: InvId, out: &mut Vec<Action>) {
        let forwards = self.book.get(id).map(|record| record.out()).unwrap_or_default();
        for forward in forwards {
            if self.book.get(id).is_some_and(|record| record.forwards[forward].stage == Stage::Sending) {
                self.withdraw(now, id, forward, out);
            }
        }
        self.route.push(Input::Expired(id));
    }

    /// The client's time is over: what is still out ends as timed out, and the decisions answer.
    pub(crate) fn over(&mut self, now: f64, id: InvId, out: &mut Vec<Action>) {
        let Some(record) = self.book.get(id) else { return };
        for forward in record.out() {
            self.drop_forward(id, forward, out);
            self.settled(now, id, forward, Outcome::TimedOut, Report::default());
        }
        self.carry_on(now, out);
        // Nobody may be left without an answer, even if the decisions forgot.
        if self.give(id, Answer::Errored, out) {
            error!("invocation {id} was left without an answer");
            self.route.push(Input::Expired(id));
        }
        self.book.tidy(id);
    }

    fn forward(&mut self, now: f64, id: InvId, tgt: Tgt, out: &mut Vec<Action>) {
        let Some(record) = self.book.get(id) else { return };
        let forward = record.forwards.len();
        debug!(
            "forward {forward} of {id}, call {}, goes to {:06x} by list {} ({})",
            record.call,
            self.fleet.mark(tgt),
            self.version,
            self.route.decide().list_state().name()
        );
        record.forwards.push(Forward { tgt, sent: now, stage: Stage::Sending });
        let write_until = self.route.decide().write_until(id);
        out.push(Action::Send { id, forward, tgt, end: record.end, write_until });
    }

    fn replied(&mut self, now: f64, id: InvId, forward: usize, reply: Reply, out: &mut Vec<Action>) {
        match reply {
            Reply::Ended(outcome, report) => self.settled(now, id, forward, outcome, report),
            Reply::Unheard => {
                debug!("forward {forward} of {id} is not acknowledged");
                self.route.push(Input::Unheard { id, forward });
            }
            Reply::Unfit(status, report) => {
                // No other executor would find it any better, and each that is asked would be doubted for it.
                info!("invocation {id} was turned away with {status}");
                self.give(id, Answer::Unfit(Unfit::TurnedAway(status)), out);
                self.settled(now, id, forward, Outcome::Unfit, report);
            }
            Reply::Written => self.counts.forwards += 1,
            Reply::Taken => {
                let forward = self.book.get(id).and_then(|record| record.forwards.get_mut(forward));
                // It may have ended already: executors may tell of the end first.
                if let Some(forward) = forward.filter(|forward| forward.stage == Stage::Sending) {
                    forward.stage = Stage::Taken;
                }
            }
            Reply::Succeeded(result, report) => self.succeeded(now, id, forward, result, report, out),
        }
    }

    /// Books the end of a forward, once, and tells the decisions.
    pub(crate) fn settled(&mut self, now: f64, id: InvId, forward: usize, outcome: Outcome, report: Report) {
        let Some(ended) = self.book.end(id, forward) else { return };
        let took = now - ended.sent;
        debug!("forward {forward} of {id} at {}: {outcome:?} after {took:.3}, {report:?}", ended.tgt);
        let ended = self.book.get(id).is_none_or(|record| !record.owed);
        self.route.push(Input::Settled(Settled { id, forward, outcome, took, ended, report }));
        self.book.tidy(id);
    }

    fn news(&mut self, now: f64, news: News, out: &mut Vec<Action>) {
        let tgt = self.fleet.known(&news.from);
        let Some((id, forward)) = tgt.and_then(|tgt| self.book.find(&news.call, tgt)) else {
            return debug!("news of {} from {} is of nothing held", news.call, news.from);
        };
        match news.word {
            Word::Ended(Outcome::Full) if self.book.was_returned(id, forward) => {
                // Guards against a second effect: a repeat of what ended an earlier forward there would prove
                // that this one never ran.
                debug!("{} returned by {} again", news.call, news.from);
            }
            Word::Alive => {
                // It may come before the executor has answered for it.
                self.replied(now, id, forward, Reply::Taken, out);
                self.route.push(Input::Alive { id, forward });
            }
            Word::Ended(outcome) => {
                self.settled(now, id, forward, outcome, news.report);
                if outcome == Outcome::Full {
                    self.book.returned(id, forward);
                }
            }
            Word::Succeeded(result) => self.succeeded(now, id, forward, result, news.report, out),
        }
    }

    fn succeeded(
        &mut self,
        now: f64,
        id: InvId,
        forward: usize,
        result: Bytes,
        report: Report,
        out: &mut Vec<Action>,
    ) {
        let owed = self.give(id, Answer::Succeeded(result), out);
        if self.book.is_out(id, forward) {
            self.settled(now, id, forward, Outcome::Succeeded, report);
        } else if owed {
            // A forward that was given up for lost did it after all.
            self.finished(now, id, out);
        }
        self.book.tidy(id);
    }

    /// Stops waiting for a forward: by closing its connection, or by telling the executor that has it.
    fn drop_forward(&mut self, id: InvId, forward: usize, out: &mut Vec<Action>) {
        let Some(record) = self.book.get(id) else { return };
        let Forward { tgt, stage, .. } = record.forwards[forward];
        match stage {
            Stage::Sending => out.push(Action::Abort { id, forward }),
            Stage::Taken if self.cancelling => {
                let call = record.call.clone();
                out.push(Action::GiveUp { tgt, call });
            }
            Stage::Taken | Stage::Returned | Stage::Ended => {}
        }
    }

    pub(crate) fn withdraw(&mut self, now: f64, id: InvId, forward: usize, out: &mut Vec<Action>) {
        self.drop_forward(id, forward, out);
        self.settled(now, id, forward, Outcome::Cancelled, Report::default());
    }

    fn listed(
        &mut self,
        now: f64,
        listing: &Listing,
        list: impl FnOnce(&Listing, Vec<coveroute::types::Entry>) -> List,
        out: &mut Vec<Action>,
    ) {
        self.version = listing.version;
        let (version, many) = (listing.version, listing.hosts.len());
        match self.fleet.empties(listing) {
            Some(before) => warn!("{before}"),
            None => info!("list {version}: {many} {}", if listing.full { "executors" } else { "changes" }),
        }
        let drains = listing.hosts.iter().filter(|host| host.standing == Standing::Draining);
        drains.for_each(|host| info!("executor {:06x} drains", coveroute_shared::mark(&host.id)));
        let (told, moves) = self.fleet.listed(now, listing);
        // Guards against a connection that comes up after the grace: what was decided before would be written then.
        let drains = told.iter().filter(|entry| entry.standing == Standing::Draining).map(|entry| entry.tgt);
        let gone = moves.iter().filter_map(|to| if let Move::Gone(tgt) = to { Some(*tgt) } else { None });
        let closed: Vec<Tgt> = drains.chain(gone).collect();
        let recalls =
            self.book.sending(&closed).into_iter().map(|(id, forward)| Action::Recall { id, forward });
        out.extend(recalls);
        out.extend(moves.into_iter().map(|to| match to {
            Move::At(tgt, addr) => Action::At(tgt, addr),
            Move::Gone(tgt) => Action::Gone(tgt),
        }));
        self.route.push(Input::List(list(listing, told)));
    }

    /// Settings are taken over in one step; requests, connections and what was learnt stay. A stop goes before them.
    fn reread(&mut self, now: f64, tuning: Option<Box<Tuning>>, moved: bool, out: &mut Vec<Action>) {
        if !self.phase.takes_settings() {
            self.counts.rejected += 1;
            return info!("not reloaded: the node is about to stop");
        }
        self.counts.applied += 1;
        tuning.into_iter().for_each(|tuning| self.adopt(now, *tuning));
        // Guards against a node that goes on with a list which nobody keeps: the old service may close at any
        // moment from now on. The new one's versions may count otherwise: the whole list is asked for.
        if moved && self.step(Step::Reread) {
            self.version = 0;
            self.follow(out);
        }
    }

    fn adopt(&mut self, now: f64, tuning: Tuning) {
        let Tuning { mut settings, mut names, timeouts } = tuning;
        let operations = std::mem::take(&mut names.operations);
        let old = &self.fleet.names().tenants;
        let tenants: Vec<_> =
            names.tenants.iter().map(|name| old.iter().position(|known| known == name)).collect();
        self.fleet.adopt(names, &mut settings);
        self.cancelling = settings.cancelling;
        let news = operations.into_iter().zip(timeouts).zip(std::mem::take(&mut settings.operations));
        let news = news.map(|((name, timeout), operation)| (name, timeout, operation)).collect();
        let decide = self.route.decide();
        let moved = self.operations.adopt(now, news, &mut self.entries, |at| decide.has(at));
        settings.operations = self.entries.clone();
        (self.cold_factor, self.budget) = (settings.cold.factor, settings.budget);
        settings.cold.factor *= self.part;
        settings.budget = self.own_budget();
        self.route.decide_mut().adopt(settings, &moved, &tenants);
        self.show();
        info!("settings taken over: {} operations new or changed", moved.len());
    }

    fn stop(&mut self, now: f64) {
        if !self.step(Step::Told) {
            return;
        }
        let span = self.operations.longest().min(WAITS_MOST);
        let (quiet, waits) = (now + QUIET_LEAST.max(QUIET_SHARE * span), now + span);
        (self.leave_by, self.end_from) = (waits + ANSWERED_AFTER, quiet + CLOSED_AFTER);
        self.timers.set(quiet, Timer::Life(Step::Quiet));
        self.timers.set(waits + LATE_AFTER, Timer::Life(Step::Late));
        for (id, end) in self.book.cut(self.leave_by) {
            self.timers.set(end, Timer::End(id));
        }
        self.route.push(Input::Leaving(self.leave_by));
    }
}
