//! Policies to compare the node's with, behind the engine's interface. They keep the same four rules and
//! differ only in which server they choose. The oracle sees the true state of every worker, which no real
//! node can.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use coveroute::reconfigure::OperationMapping;
use coveroute::types::{
    Budget, Effect, Entry, ExecutorIndex, Group, Input, InvocationId, List, Output, Settings, Settled,
    Standing, Submission,
};
use coveroute_engine::Decisions;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// How a baseline chooses among the workers that a job may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Random,
    RoundRobin,
    /// The worker with the fewest of the node's own jobs in flight.
    Least,
    /// The less loaded of two random workers.
    Two,
    /// The shortest true completion time, over the load of all nodes.
    Oracle,
}

impl Choice {
    pub const ALL: [Choice; 5] =
        [Choice::Random, Choice::RoundRobin, Choice::Least, Choice::Two, Choice::Oracle];

    pub fn name(self) -> &'static str {
        match self {
            Choice::Random => "random",
            Choice::RoundRobin => "round-robin",
            Choice::Least => "least-in-flight",
            Choice::Two => "two-choices",
            Choice::Oracle => "oracle",
        }
    }
}

/// A rule that a baseline breaks on purpose, to show that the invariant checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Never answers a job that it can't serve.
    NeverAnswers,
    /// Sends a job again although it may have run.
    RepeatsUnsafely,
    /// Sends to any worker that was ever listed.
    SendsToGone,
    /// Sends everything to the worker that started last.
    OverloadsCold,
}

/// The oracle's view of the workers, by mark: seconds until a job arriving now would start, and its speed;
/// none for a worker that would not serve it.
pub type OracleView = Rc<RefCell<BTreeMap<u32, Option<(f64, f64)>>>>;

#[derive(Debug)]
struct Job {
    op: usize,
    end: f64,
    hint: f64,
    out: Option<ExecutorIndex>,
    forwards: usize,
    /// The first forward that may have run, and when it was sent.
    first_uncertain: Option<(ExecutorIndex, f64)>,
    sent: f64,
}

#[derive(Debug, Default)]
struct Worker {
    entry: Entry,
    held: usize,
    /// Not used before this time, after a rejection or failure.
    avoid_until: f64,
}

pub struct Baseline {
    settings: Settings,
    choice: Choice,
    draw: Pcg64Mcg,
    workers: Vec<Worker>,
    jobs: BTreeMap<InvocationId, Job>,
    waiting: Vec<InvocationId>,
    next: usize,
    failed_follows: u32,
    oracle: Option<OracleView>,
    retry_scheduled: bool,
    violation: Option<Violation>,
}

const TIMER_RETRY: u64 = 1;
const TIMER_FOLLOW: u64 = 2;
/// Interval at which waiting jobs are reconsidered, and how long a worker that failed is avoided.
const RETRY_INTERVAL: f64 = 0.025;
const FAILURE_COOLDOWN: f64 = 0.2;
const DEADLINE_MARGIN: f64 = 0.1;

impl Baseline {
    pub fn new(settings: Settings, seed: u64, choice: Choice, oracle: Option<OracleView>) -> Self {
        Baseline {
            settings,
            choice,
            draw: Pcg64Mcg::seed_from_u64(seed),
            workers: Vec::new(),
            jobs: BTreeMap::new(),
            waiting: Vec::new(),
            next: 0,
            failed_follows: 0,
            oracle,
            retry_scheduled: false,
            violation: None,
        }
    }

    pub fn violation(settings: Settings, seed: u64, violation: Violation) -> Self {
        Baseline { violation: Some(violation), ..Baseline::new(settings, seed, Choice::Random, None) }
    }

    fn list(&mut self, list: List, out: &mut Vec<Output>) {
        let whole = !matches!(list, List::Changes(_));
        let first = matches!(list, List::Initial(..));
        let (List::Changes(entries) | List::Whole(entries) | List::Initial(entries, _)) = list else {
            self.failed_follows += 1;
            let after = 0.5 * f64::from(1 << self.failed_follows.min(3)) * (0.5 + self.draw.random::<f64>());
            return out.push(Output::SetTimer { after, timer: TIMER_FOLLOW });
        };
        self.failed_follows = 0;
        out.extend(first.then_some(Output::WatchList));
        if whole {
            self.workers.iter_mut().for_each(|worker| worker.entry.standing = Standing::Gone);
        }
        for entry in entries {
            if self.workers.len() <= entry.executor_index {
                self.workers.resize_with(entry.executor_index + 1, Worker::default);
            }
            let tgt = entry.executor_index;
            self.workers[tgt].entry = entry;
        }
    }

    fn submitted(&mut self, now: f64, sub: Submission, out: &mut Vec<Output>) {
        if sub.timeout <= DEADLINE_MARGIN || sub.operation >= self.settings.operations.len() {
            return out.push(Output::Throttle { id: sub.id, pause: 0.0 });
        }
        let (op, end, hint) = (sub.operation, now + sub.timeout, sub.hint.unwrap_or(1.0));
        let job = Job { op, end, hint, out: None, forwards: 0, first_uncertain: None, sent: 0.0 };
        self.jobs.insert(sub.id, job);
        self.waiting.push(sub.id);
    }

    fn is_allowed(&self, now: f64, job: &Job, worker: &Worker) -> bool {
        let op = &self.settings.operations[job.op];
        let kind = op.kind.is_none_or(|kind| kind == worker.entry.kind);
        let again = match (op.effect, job.first_uncertain) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::NonIdempotent, Some(_)) => false,
            (Effect::Deduplicated { group, window }, Some((tgt, sent))) => {
                now - sent < window
                    && self.workers[tgt].entry.location().shares_dedup_group(group, &worker.entry)
            }
        };
        let ready =
            worker.entry.standing == Standing::Ready || self.violation == Some(Violation::SendsToGone);
        ready && kind && (again || self.violation == Some(Violation::RepeatsUnsafely))
    }

    /// Whether the node may send to the worker now. A cold worker takes one job at a time, from the node
    /// whose turn it is.
    fn admits_cold(&self, now: f64, worker: &Worker) -> bool {
        let started = worker.entry.started;
        let cold = started > 0.0 && now - started < self.settings.cold.warm;
        if self.violation == Some(Violation::OverloadsCold) {
            let last = self.workers.iter().map(|worker| worker.entry.started).fold(0.0, f64::max);
            return last <= 0.0 || started == last;
        }
        !cold
            || ((now - started) as usize % self.settings.nodes.max(1) == self.settings.node_index
                && worker.held == 0)
    }

    fn choose(&mut self, now: f64, id: InvocationId) -> Option<ExecutorIndex> {
        let job = &self.jobs[&id];
        let fits = |tgt: &ExecutorIndex| {
            let worker = &self.workers[*tgt];
            self.is_allowed(now, job, worker) && now >= worker.avoid_until && self.admits_cold(now, worker)
        };
        let open: Vec<ExecutorIndex> = (0..self.workers.len()).filter(fits).collect();
        let draw =
            |draw: &mut Pcg64Mcg| open.get((draw.random::<f64>() * open.len() as f64) as usize).copied();
        match self.choice {
            Choice::Random => draw(&mut self.draw),
            Choice::RoundRobin => {
                let next = open.iter().find(|&&tgt| tgt >= self.next).or(open.first()).copied();
                self.next = next.map_or(0, |tgt| tgt + 1);
                next
            }
            Choice::Least => open.iter().copied().min_by_key(|&tgt| self.workers[tgt].held),
            Choice::Two => {
                let (one, two) = (draw(&mut self.draw)?, draw(&mut self.draw)?);
                Some(if self.workers[two].held < self.workers[one].held { two } else { one })
            }
            Choice::Oracle => {
                let oracle = self.oracle.as_ref()?.borrow();
                let ends = |tgt: &ExecutorIndex| {
                    let known = oracle.get(&self.workers[*tgt].entry.stable_id).copied().flatten();
                    known.map(|(starts, pace)| starts + job.hint / pace)
                };
                let timed: Vec<(f64, ExecutorIndex)> =
                    open.iter().filter_map(|tgt| Some((ends(tgt)?, *tgt))).collect();
                timed.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|best| best.1)
            }
        }
    }

    fn dispatch(&mut self, now: f64, out: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.waiting) {
            let job = &self.jobs[&id];
            let hopeless = job.forwards >= self.settings.max_forwards
                || !self.workers.iter().any(|worker| self.is_allowed(now, job, worker))
                    && job.first_uncertain.is_some();
            if hopeless || now >= job.end - DEADLINE_MARGIN {
                self.give_up(id, out);
                continue;
            }
            let Some(tgt) = self.choose(now, id) else {
                self.waiting.push(id);
                continue;
            };
            self.workers[tgt].held += 1;
            if let Some(oracle) = &self.oracle {
                // The next decision sees the job just sent.
                let mut oracle = oracle.borrow_mut();
                let hint = self.jobs[&id].hint;
                let known = oracle.get_mut(&self.workers[tgt].entry.stable_id).and_then(Option::as_mut);
                known.into_iter().for_each(|(starts, pace)| *starts += hint / *pace);
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                (job.out, job.forwards, job.sent) = (Some(tgt), job.forwards + 1, now);
            }
            out.push(Output::Forward { id, executor_index: tgt });
        }
        if !self.waiting.is_empty() && !self.retry_scheduled {
            self.retry_scheduled = true;
            out.push(Output::SetTimer { after: RETRY_INTERVAL, timer: TIMER_RETRY });
        }
    }

    fn give_up(&mut self, id: InvocationId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.remove(&id) else { return };
        if self.violation == Some(Violation::NeverAnswers) {
            return;
        }
        let effect = self.settings.operations[job.op].effect;
        let harmless = matches!(effect, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. });
        let pause = self.settings.max_pause * (0.5 + 0.5 * self.draw.random::<f64>());
        out.push(match job.first_uncertain {
            Some(_) if !harmless => Output::Error { id },
            _ => Output::Throttle { id, pause },
        });
    }

    fn settled(&mut self, now: f64, settled: Settled, out: &mut Vec<Output>) {
        let Settled { id, outcome, ended, .. } = settled;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(tgt) = job.out.take() else { return };
        let worker = &mut self.workers[tgt];
        worker.held = worker.held.saturating_sub(1);
        if outcome != coveroute::types::Outcome::Succeeded {
            worker.avoid_until = now + FAILURE_COOLDOWN;
        }
        if !outcome.never_ran() {
            job.first_uncertain = job.first_uncertain.or(Some((tgt, job.sent)));
        }
        let late = now >= job.end - DEADLINE_MARGIN;
        if ended || outcome == coveroute::types::Outcome::Succeeded {
            self.jobs.remove(&id);
        } else if late {
            self.give_up(id, out);
        } else {
            self.waiting.push(id);
        }
    }

    fn expired(&mut self, id: InvocationId) {
        if let Some(tgt) = self.jobs.remove(&id).and_then(|job| job.out) {
            self.workers[tgt].held = self.workers[tgt].held.saturating_sub(1);
        }
        self.waiting.retain(|other| *other != id);
    }
}

impl Decisions for Baseline {
    fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::List(list) => self.list(list, out),
            Input::Submitted(sub) => self.submitted(now, sub, out),
            Input::Settled(settled) => self.settled(now, settled, out),
            Input::Expired(id) => self.expired(id),
            Input::Timer(TIMER_RETRY) => self.retry_scheduled = false,
            Input::Timer(TIMER_FOLLOW) if self.failed_follows > 0 => out.push(Output::WatchList),
            Input::Stopping(end) => self.jobs.values_mut().for_each(|job| job.end = job.end.min(end)),
            _ => {}
        }
        self.dispatch(now, out);
    }

    /// The baseline keeps no state by operation or tenant that would have to move.
    fn apply_settings(&mut self, settings: Settings, _: &[OperationMapping], _: &[Option<usize>]) {
        self.settings = settings;
    }

    fn uses_operation(&self, operation: usize) -> bool {
        self.jobs.values().any(|job| job.op == operation)
    }

    fn set_process_share(&mut self, factor: f64, budget: Option<Budget>) {
        (self.settings.cold.factor, self.settings.budget) = (factor, budget);
    }

    fn untrusted_count(&self, now: f64) -> usize {
        self.workers.iter().filter(|worker| worker.avoid_until > now).count()
    }
}
