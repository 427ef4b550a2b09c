//! The driver: owns the decisions, the clock, the timers and all records. Everything that happens comes to it
//! as an event; what is decided it carries out in order.
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use actix_http::StatusCode;
use coveroute::types::{Entry, Input, InvId, List, Outcome, Output, Report, Reports, Settled, Standing, Tgt};
use coveroute_shared::{Names, Roster};
use log::{debug, error, info};
use tokio::sync::{mpsc, oneshot};

use crate::admit::admit;
use crate::book::{Book, Forward, Record, Stage};
use crate::callbacks::{News, Word};
use crate::clock::{seconds, Clock, Timers};
use crate::config::Config;
use crate::discovery::{Discovery, Hosts};
use crate::executors::{give_up, probe, Links};
use crate::phase::{Life, Phase, Step};
use crate::relay::Answer;
use crate::route::Route;
use crate::send::{self, Reply};
use crate::take_in::Job;

pub type Events = mpsc::UnboundedSender<Event>;

pub enum Event {
    Taken(InvId, Box<Job>, oneshot::Sender<Answer>),
    /// The client has closed its connection.
    Left(InvId),
    Replied(InvId, usize, Reply),
    News(News),
    Probed(Tgt, Outcome, Report),
    /// What the watch of this number on the list of executors tells.
    Watch(u64, Watched),
    /// The operators ask for the configuration to be read anew: what it says, or why it is not fit.
    Reload(Result<Box<Config>, String>),
    /// The platform asks the node to stop.
    Stop,
}

pub enum Watched {
    /// It is followed again, whether or not it has changed.
    Begun,
    Listed(Hosts),
    Lost,
}

enum Timer {
    Decisions(u64),
    /// An invocation's time is over.
    End(InvId),
    Life(Step),
}

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
/// After this nothing can come from an executor that has gone: many times the longest client timeouts.
const FORGET_AFTER: f64 = 600.0;
/// How often a node that closes looks whether it may end.
const LOOK_EVERY: f64 = 0.02;

pub struct Driver {
    clock: Clock,
    timers: Timers<Timer>,
    life: Rc<Life>,
    route: Route,
    names: Names,
    roster: Roster,
    links: Links,
    /// Executors that are not listed any more, and since when.
    gone: BTreeMap<Tgt, f64>,
    book: Book,
    discovery: Discovery,
    /// Of the list of executors that is held.
    version: u64,
    /// Each operation's client timeout.
    timeouts: Vec<f64>,
    /// By when all must be answered, once the node is to stop.
    leave_by: f64,
    /// From when on it may end, once it is idle.
    end_from: f64,
    reports: bool,
    cancelling: bool,
    events: Events,
}

impl Driver {
    pub fn new(config: Config, clock: Clock, life: Rc<Life>, links: Links, events: Events) -> Self {
        let (reports, cancelling) = (config.settings.reports != Reports::Never, config.settings.cancelling);
        let mut driver = Driver {
            clock,
            timers: Timers::new(),
            life,
            route: Route::new(config.settings, config.seed),
            names: config.names,
            roster: Roster::default(),
            links,
            gone: BTreeMap::new(),
            book: Book::default(),
            discovery: Discovery::new(config.discovery, events.clone()),
            version: 0,
            timeouts: config.timeouts,
            leave_by: f64::INFINITY,
            end_from: f64::INFINITY,
            reports,
            cancelling,
            events,
        };
        driver.listed(config.known.unwrap_or_default(), |_, entries| List::Kept(entries));
        driver.carry_on();
        driver
    }

    /// Runs until the node's life has ended.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        while self.life.phase() != Phase::Ended {
            let look = Instant::now() + seconds(LOOK_EVERY);
            let closing = (self.life.phase() == Phase::Closing).then_some(look);
            let next = self.timers.next().into_iter().chain(closing).min();
            tokio::select! {
                biased;
                event = events.recv() => event.into_iter().for_each(|event| self.happened(event)),
                () = tokio::time::sleep_until(next.unwrap_or(look).into()) => {}
            }
            while let Some(timer) = self.timers.pop(Instant::now()) {
                self.due(timer);
                self.carry_on();
            }
            // An answer has left once its request is no longer in hand.
            if self.clock.now() >= self.end_from && self.life.idle() {
                self.life.step(Step::Idle);
            }
        }
    }

    fn happened(&mut self, event: Event) {
        match event {
            Event::Taken(id, job, answer) => self.taken(id, *job, answer),
            Event::Left(id) => self.left(id),
            Event::Replied(id, forward, reply) => self.replied(id, forward, reply),
            Event::News(news) => self.news(news),
            Event::Probed(tgt, outcome, report) => self.route.push(Input::Probed { tgt, outcome, report }),
            Event::Watch(number, _) if !self.discovery.is_current(number) => {}
            Event::Watch(_, Watched::Listed(hosts)) => self.listed(hosts, Hosts::list),
            Event::Watch(_, Watched::Begun) => {
                self.life.step(Step::Followed);
                self.route.push(Input::List(List::Changes(Vec::new())));
            }
            Event::Watch(_, Watched::Lost) => self.route.push(Input::List(List::Lost)),
            Event::Reload(Ok(config)) => self.reload(&config),
            Event::Reload(Err(words)) => error!("not reloaded, all stays as it is: {words}"),
            Event::Stop => self.stop(),
        }
        self.carry_on();
    }

    fn due(&mut self, timer: Timer) {
        match timer {
            Timer::Decisions(timer) => self.route.push(Input::Timer(timer)),
            Timer::End(id) => self.over(id),
            Timer::Life(step) => drop(self.life.step(step)),
        }
    }

    /// Decides and carries out until nothing is left to decide on.
    fn carry_on(&mut self) {
        while let Some(out) = self.route.next(self.clock.now()) {
            out.into_iter().for_each(|output| self.carry_out(output));
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Forward { id, tgt } => self.forward(id, tgt),
            Output::Withdraw { id, forward } => self.withdraw(id, forward),
            Output::Throttle { id, pause } => self.answer(id, Answer::Throttled { pause }),
            Output::Error { id } => self.answer(id, Answer::Errored),
            Output::Wake { after, timer } => {
                let at = self.clock.instant(self.clock.now() + after);
                self.timers.set(at, Timer::Decisions(timer));
            }
            Output::Probe(tgt) => self.probe(tgt),
            Output::Release(tgt) => self.links.release(tgt),
            // No node is told another's address.
            Output::Tell { .. } => {}
            Output::Follow => self.discovery.follow(self.version),
            Output::Log(words) => info!("{words}"),
        }
    }

    fn taken(&mut self, id: InvId, job: Job, answer: oneshot::Sender<Answer>) {
        // Guards against a second effect, and against clients that take another's id.
        if self.book.knows(&job.call) {
            return drop(answer.send(Answer::Unfit(StatusCode::CONFLICT, "this call has come before")));
        }
        let now = self.clock.now();
        debug!("{id} taken: {}, {}, {:.3} s", job.call, job.class, job.budget);
        let submission = match admit(id, &job, &self.names, &self.timeouts, now) {
            Ok(submission) => submission,
            Err(unfit) => return drop(answer.send(unfit)),
        };
        let end = (now + submission.timeout).min(self.leave_by);
        self.timers.set(self.clock.instant(end), Timer::End(id));
        let record = Record { job: Rc::new(job), answer: Some(answer), end, forwards: Vec::new() };
        self.book.open(id, record);
        self.route.push(Input::Submitted(submission));
    }

    fn answer(&mut self, id: InvId, answer: Answer) {
        debug!("{id} ends as {answer:?}");
        self.book.answer(id, answer);
        self.book.tidy(id);
    }

    fn left(&mut self, id: InvId) {
        if self.book.answer(id, Answer::Errored) {
            self.finished(id);
        }
        self.book.tidy(id);
    }

    /// An invocation has finished otherwise than by the decisions. Guards against a forward that is still
    /// waiting for its connection: nothing may be sent any more, also where executors can't be told to stop.
    fn finished(&mut self, id: InvId) {
        let out = self.book.get(id).map(|record| record.out()).unwrap_or_default();
        for forward in out {
            if self.book.get(id).is_some_and(|record| record.forwards[forward].stage == Stage::Sending) {
                self.withdraw(id, forward);
            }
        }
        self.route.push(Input::Expired(id));
    }

    /// The client's time is over: what is still out ends as timed out, and the decisions answer.
    fn over(&mut self, id: InvId) {
        let Some(record) = self.book.get(id) else { return };
        for forward in record.out() {
            self.drop_forward(id, forward);
            self.settled(id, forward, Outcome::TimedOut, Report::default());
        }
        self.carry_on();
        // Nobody may be left without an answer, even if the decisions forgot.
        if self.book.answer(id, Answer::Errored) {
            error!("invocation {id} was left without an answer");
            self.route.push(Input::Expired(id));
        }
        self.book.tidy(id);
    }

    fn forward(&mut self, id: InvId, tgt: Tgt) {
        let sent = self.clock.now();
        let Some(record) = self.book.get(id) else { return };
        let at = record.forwards.len();
        record.forwards.push(Forward { tgt, sent, stage: Stage::Sending, task: None });
        let (job, left) = (record.job.clone(), record.end - sent);
        let Some(lease) = self.links.lease(tgt) else {
            // Never sent, and no fault of the executor's: it must not be doubted for want of descriptors
            // here.
            return self.settled(id, at, Outcome::Moot, Report::default());
        };
        let (events, within) = (self.events.clone(), self.links.taken_within());
        let task = actix_rt::spawn(async move {
            let tell = |reply| drop(events.send(Event::Replied(id, at, reply)));
            send::forward(lease, &job, left, within, tell).await;
        });
        if let Some(record) = self.book.get(id) {
            record.forwards[at].task = Some(task);
        }
    }

    fn replied(&mut self, id: InvId, forward: usize, reply: Reply) {
        match reply {
            Reply::Ended(outcome, report) => self.settled(id, forward, outcome, report),
            Reply::Unheard => {
                debug!("forward {forward} of {id} is not acknowledged");
                self.route.push(Input::Unheard { id, forward });
            }
            Reply::Unfit(status, report) => {
                // No other executor would find it any better, and each that is asked would be doubted for it.
                info!("invocation {id} was turned away with {status}");
                self.book.answer(id, Answer::Unfit(status, "turned away by the executor"));
                self.settled(id, forward, Outcome::Unfit, report);
            }
            Reply::Taken => {
                let forward = self.book.get(id).and_then(|record| record.forwards.get_mut(forward));
                // It may have ended already: executors may tell of the end first.
                if let Some(forward) = forward.filter(|forward| forward.stage == Stage::Sending) {
                    forward.stage = Stage::Taken;
                }
            }
        }
    }

    /// Books the end of a forward, once, and tells the decisions.
    fn settled(&mut self, id: InvId, forward: usize, outcome: Outcome, report: Report) {
        let Some(ended) = self.book.end(id, forward) else { return };
        let took = self.clock.now() - ended.sent;
        debug!("forward {forward} of {id} at {}: {outcome:?} after {took:.3}, {report:?}", ended.tgt);
        let ended = self.book.get(id).is_none_or(|record| record.answer.is_none());
        self.route.push(Input::Settled(Settled { id, forward, outcome, took, ended, report }));
        self.book.tidy(id);
    }

    fn news(&mut self, news: News) {
        let tgt = self.roster.known(&news.from);
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
                self.replied(id, forward, Reply::Taken);
                self.route.push(Input::Alive { id, forward });
            }
            Word::Ended(outcome) => {
                self.settled(id, forward, outcome, news.report);
                if outcome == Outcome::Full {
                    self.book.returned(id, forward);
                }
            }
            Word::Succeeded(result) => {
                let owed = self.book.answer(id, Answer::Succeeded(result));
                let out = self.book.get(id).is_some_and(|record| record.forwards[forward].stage.is_out());
                if out {
                    self.settled(id, forward, Outcome::Succeeded, news.report);
                } else if owed {
                    // A forward that was given up for lost did it after all.
                    self.finished(id);
                }
                self.book.tidy(id);
            }
        }
    }

    /// Stops waiting for a forward: by closing its connection, or by telling the executor that has it.
    fn drop_forward(&mut self, id: InvId, at: usize) {
        let Some(record) = self.book.get(id) else { return };
        let (call, forward) = (record.job.call.clone(), &mut record.forwards[at]);
        match forward.stage {
            Stage::Sending => forward.task.take().into_iter().for_each(|task| task.abort()),
            Stage::Taken if self.cancelling => {
                let patience = self.links.patience();
                let tgt = forward.tgt;
                let lease = self.links.lease(tgt);
                lease.map(|lease| actix_rt::spawn(give_up(lease, call, patience)));
            }
            Stage::Taken | Stage::Returned | Stage::Ended => {}
        }
    }

    fn withdraw(&mut self, id: InvId, forward: usize) {
        self.drop_forward(id, forward);
        self.settled(id, forward, Outcome::Cancelled, Report::default());
    }

    fn probe(&mut self, tgt: Tgt) {
        let Some(lease) = self.links.lease(tgt) else {
            // It has no room that could be used now.
            let (outcome, report) = (Outcome::Full, Report::default());
            return self.route.push(Input::Probed { tgt, outcome, report });
        };
        let (events, reports, patience) = (self.events.clone(), self.reports, self.links.patience());
        actix_rt::spawn(async move {
            let (outcome, report) = probe(lease, reports, patience).await;
            let _ = events.send(Event::Probed(tgt, outcome, report));
        });
    }

    fn listed(&mut self, hosts: Hosts, list: impl FnOnce(&Hosts, Vec<Entry>) -> List) {
        self.version = hosts.version;
        let mut told = self.forget();
        let entries = hosts.entries(&mut self.roster, &mut self.names);
        if hosts.full {
            // What a whole list lacks is gone.
            let lacking = self.links.unlisted(|tgt| entries.iter().any(|(entry, _)| entry.tgt == tgt));
            lacking.into_iter().for_each(|tgt| self.gone(tgt));
        }
        if !entries.is_empty() {
            self.life.step(Step::Ready);
        }
        for (entry, addr) in entries {
            match entry.standing {
                Standing::Gone => self.gone(entry.tgt),
                Standing::Ready | Standing::Draining => {
                    self.gone.remove(&entry.tgt);
                    addr.into_iter().for_each(|addr| self.links.listed(entry.tgt, addr));
                }
            }
            told.push(entry);
        }
        self.route.push(Input::List(list(&hosts, told)));
    }

    fn gone(&mut self, tgt: Tgt) {
        self.links.gone(tgt);
        self.gone.insert(tgt, self.clock.now());
    }

    /// Gives back the numbers of executors that have long gone. Guards against growth without end where
    /// machines are replaced by new ones. The decisions get a start time that is none, and so forget what
    /// they knew.
    fn forget(&mut self) -> Vec<Entry> {
        let now = self.clock.now();
        let long = |since: &f64| now - since > FORGET_AFTER;
        let old: Vec<Tgt> = self.gone.iter().filter(|gone| long(gone.1)).map(|gone| *gone.0).collect();
        let blank = |&tgt: &Tgt| {
            self.gone.remove(&tgt);
            self.roster.retire(tgt);
            Entry { tgt, started: f64::NAN, ..Entry::default() }
        };
        old.iter().map(blank).collect()
    }

    /// Takes over where discovery is; requests, connections and what was learnt stay. Guards against a node that
    /// goes on with a list which nobody keeps: the old service may close at any moment from now on.
    fn reload(&mut self, config: &Config) {
        if self.life.step(Step::Reread) {
            info!("follows the list at {}", config.discovery);
            self.version = 0;
            self.discovery.move_to(config.discovery);
        }
    }

    fn stop(&mut self) {
        if !self.life.step(Step::Told) {
            return;
        }
        let now = self.clock.now();
        let span = self.timeouts.iter().copied().fold(0.0, f64::max).min(WAITS_MOST);
        let (quiet, waits) = (now + QUIET_LEAST.max(QUIET_SHARE * span), now + span);
        (self.leave_by, self.end_from) = (waits + ANSWERED_AFTER, quiet + CLOSED_AFTER);
        self.timers.set(self.clock.instant(quiet), Timer::Life(Step::Quiet));
        self.timers.set(self.clock.instant(waits + LATE_AFTER), Timer::Life(Step::Late));
        for (id, end) in self.book.cut(self.leave_by) {
            self.timers.set(self.clock.instant(end), Timer::End(id));
        }
        self.route.push(Input::Leaving(self.leave_by));
    }
}

#[cfg(test)]
mod tests;
