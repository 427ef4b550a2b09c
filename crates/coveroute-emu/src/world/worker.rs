//! One worker: slots, cores that running jobs share, a queue in order, warm-up, and what ails it. It keeps no clock:
//! it is told the time, and tells when it has something to do next.
use std::collections::VecDeque;

use coveroute::types::Report;

use crate::scenario::{Cold, Workers};
use crate::world::{NodeId, TryId};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Life {
    Up,
    /// Finishes what it has, turns away what comes.
    Draining,
    /// Its process is not there: connections are refused.
    Down,
    /// Its machine is not there: nothing answers, nothing is refused.
    Vanished,
}

/// What ails it now; all of it may at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ails {
    pub silent: bool,
    pub paused: bool,
    pub stolen: f64,
    pub errors: f64,
    pub loses: f64,
    pub gives_back: f64,
    pub late_news: f64,
    pub doubled_news: bool,
    pub slow_acks: f64,
    pub old_reports: f64,
    pub connections: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Queued,
    Running,
}

#[derive(Clone, Debug)]
struct Job {
    tri: TryId,
    node: NodeId,
    left: f64,
    memory: f64,
    stage: Stage,
    acked: bool,
    noted: f64,
}

/// What a job is to a worker.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub tri: TryId,
    pub node: NodeId,
    pub work: f64,
    pub memory: f64,
    /// Whether its node had been told of this worker's start.
    pub informed: bool,
}

/// What a worker does about one of its jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    /// Says that it has the job, after so long.
    Acks {
        after: f64,
    },
    Rejects,
    /// Answers that it failed.
    Fails,
    Started,
    Running,
    /// It has run to its end: here its effect is.
    Ran,
    /// Tells the result.
    Done,
    GivesBack,
    /// The agent of its machine has seen the process die.
    Lost,
}

/// A deed, and the job that it is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Said {
    pub tri: TryId,
    pub node: NodeId,
    pub deed: Deed,
}

/// Work sent to a cold worker counts for so long; by whom it came.
#[derive(Clone, Copy, Debug)]
struct Pressure {
    at: f64,
    work: f64,
    informed: bool,
}

/// What pushed a cold worker over: the part of it from nodes that knew that it was cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fall {
    pub informed: f64,
    pub work: f64,
    pub budget: f64,
}

/// Draws for a job's fate come from the world, in order of arrival.
#[derive(Clone, Copy, Debug)]
pub struct Luck {
    pub fate: f64,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub make: Workers,
    pub cell: i64,
    pub life: Life,
    /// 0 for long ago.
    pub started: f64,
    pub ails: Ails,
    cold: Cold,
    jobs: Vec<Job>,
    /// What came while it stood still.
    inbox: Vec<(Arrival, Luck)>,
    /// What it would have said while it was silent.
    unsaid: Vec<Said>,
    pressure: VecDeque<Pressure>,
    reports: VecDeque<(f64, Report)>,
    moved: f64,
    progress: f64,
    tells_start: bool,
}

/// While it warms up, its speed is taken anew this often.
const WARMING: f64 = 0.25;
/// Chance's part in what pushes a cold worker over.
const SLACK: f64 = 1.1;
/// Reports kept, for those that are told late.
const REPORTS_KEPT: usize = 256;

impl Worker {
    pub fn new(make: &Workers, cell: i64, cold: &Cold, progress: f64, tells_start: bool) -> Self {
        Worker {
            make: make.clone(),
            cell,
            life: Life::Up,
            started: 0.0,
            ails: Ails::default(),
            cold: cold.clone(),
            jobs: Vec::new(),
            inbox: Vec::new(),
            unsaid: Vec::new(),
            pressure: VecDeque::new(),
            reports: VecDeque::new(),
            moved: 0.0,
            progress,
            tells_start,
        }
    }

    pub fn warmth(&self, now: f64) -> f64 {
        if self.started <= 0.0 {
            return 1.0;
        }
        let Cold { start, warm, .. } = &self.cold;
        (start.0 + (1.0 - start.0) * (now - self.started).max(0.0) / warm.0).min(1.0)
    }

    pub fn memory(&self) -> f64 {
        if self.make.memory.0 > 0.0 {
            self.make.memory.0
        } else {
            self.make.slots.0 as f64
        }
    }

    /// Work that it could do in a second, ailing or not.
    pub fn capacity(&self, now: f64) -> f64 {
        self.make.cores.0.min(self.make.slots.0 as f64) * self.make.speed.0 * self.warmth(now)
    }

    fn running(&self) -> usize {
        self.jobs.iter().filter(|job| job.stage == Stage::Running).count()
    }

    pub fn queued(&self) -> usize {
        self.jobs.len() - self.running()
    }

    pub fn held(&self) -> usize {
        self.jobs.len()
    }

    /// Work left of all that it holds.
    pub fn backlog(&self) -> f64 {
        self.jobs.iter().map(|job| job.left).sum()
    }

    /// Work a second that each running job gets.
    fn pace(&self, now: f64) -> f64 {
        let running = self.running().max(1) as f64;
        let cores = self.make.cores.0 * self.warmth(now) * (1.0 - self.ails.stolen);
        if self.ails.paused || matches!(self.life, Life::Down | Life::Vanished) {
            return 0.0;
        }
        self.make.speed.0 * (cores / running).min(1.0)
    }

    /// Lets running jobs run until now.
    fn run(&mut self, now: f64) {
        let done = self.pace(0.5 * (self.moved + now)) * (now - self.moved).max(0.0);
        self.moved = now;
        let running = self.jobs.iter_mut().filter(|job| job.stage == Stage::Running);
        running.for_each(|job| job.left -= done);
    }

    /// When it has something to do next, if nothing else happens to it.
    pub fn next(&self, now: f64) -> Option<f64> {
        let pace = self.pace(now);
        if pace <= 0.0 || self.running() == 0 {
            return None;
        }
        let running = || self.jobs.iter().filter(|job| job.stage == Stage::Running);
        let ends = running().map(|job| job.left.max(0.0) / pace).fold(f64::INFINITY, f64::min);
        let note =
            |job: &Job| if self.progress > 0.0 { job.noted + self.progress - now } else { f64::INFINITY };
        let notes = running().map(note).fold(f64::INFINITY, f64::min);
        let warming = if self.warmth(now) < 1.0 { WARMING } else { f64::INFINITY };
        Some(now + ends.min(notes).min(warming).max(1e-6))
    }

    /// What has come about by now.
    pub fn advance(&mut self, now: f64, out: &mut Vec<Said>) {
        self.run(now);
        let ended = |job: &Job| job.stage == Stage::Running && job.left <= 1e-9;
        let mut at = 0;
        while at < self.jobs.len() {
            if ended(&self.jobs[at]) {
                let job = self.jobs.remove(at);
                out.push(Said { tri: job.tri, node: job.node, deed: Deed::Ran });
                self.say(job.tri, job.node, Deed::Done, out);
            } else {
                at += 1;
            }
        }
        if self.progress > 0.0 && !self.ails.paused {
            let due = |job: &&mut Job| job.stage == Stage::Running && now - job.noted >= self.progress - 1e-9;
            let due: Vec<(TryId, NodeId)> = self
                .jobs
                .iter_mut()
                .filter(due)
                .map(|job| {
                    job.noted = now;
                    (job.tri, job.node)
                })
                .collect();
            due.into_iter().for_each(|(tri, node)| self.say(tri, node, Deed::Running, out));
        }
        self.pump(now, out);
        self.note(now);
    }

    /// The first that waits starts once it fits, and no other before it.
    fn pump(&mut self, now: f64, out: &mut Vec<Said>) {
        if self.ails.paused || matches!(self.life, Life::Down | Life::Vanished) {
            return;
        }
        loop {
            let running = self.running();
            let used: f64 = self.jobs.iter().filter(|j| j.stage == Stage::Running).map(|j| j.memory).sum();
            let spare = self.memory() - used;
            let slot = running < self.make.slots.0;
            let first = self.jobs.iter_mut().find(|job| job.stage == Stage::Queued);
            // What is larger than all of the memory runs alone.
            let Some(job) = first.filter(|j| slot && (j.memory <= spare + 1e-9 || running == 0)) else {
                return;
            };
            (job.stage, job.noted) = (Stage::Running, now);
            let (tri, node) = (job.tri, job.node);
            if self.tells_start {
                self.say(tri, node, Deed::Started, out);
            }
        }
    }

    fn say(&mut self, tri: TryId, node: NodeId, deed: Deed, out: &mut Vec<Said>) {
        let said = Said { tri, node, deed };
        match (self.ails.silent, deed) {
            (false, _) => out.push(said),
            // A result is told once it can be; what was only on the way says nothing any more.
            (true, Deed::Done | Deed::Lost) => self.unsaid.push(said),
            (true, _) => {}
        }
    }

    /// A job's last byte has come. Tells whether it pushed a cold worker over.
    pub fn arrive(&mut self, now: f64, job: Arrival, luck: Luck, out: &mut Vec<Said>) -> Option<Fall> {
        let fall = self.press(now, &job);
        if fall.is_some() {
            return fall;
        }
        if self.ails.paused {
            self.inbox.push((job, luck));
            return None;
        }
        self.run(now);
        self.accept(now, job, luck, out);
        self.pump(now, out);
        self.note(now);
        None
    }

    fn accept(&mut self, now: f64, job: Arrival, luck: Luck, out: &mut Vec<Said>) {
        let Arrival { tri, node, work, memory, .. } = job;
        let full = self.queued() >= self.make.queue.0 && self.running() >= self.make.slots.0;
        let ails = &self.ails;
        let deed = match luck.fate {
            _ if full || self.life == Life::Draining => Deed::Rejects,
            fate if fate < ails.errors => Deed::Fails,
            fate if fate < ails.errors + ails.loses => return self.ack(tri, node, out),
            fate if fate < ails.errors + ails.loses + ails.gives_back => {
                self.ack(tri, node, out);
                Deed::GivesBack
            }
            _ => {
                self.ack(tri, node, out);
                let (stage, acked) = (Stage::Queued, !self.ails.silent);
                self.jobs.push(Job { tri, node, left: work.max(1e-6), memory, stage, acked, noted: now });
                return;
            }
        };
        self.say(tri, node, deed, out);
    }

    fn ack(&mut self, tri: TryId, node: NodeId, out: &mut Vec<Said>) {
        let after = self.make.acknowledges.0 + self.ails.slow_acks;
        self.say(tri, node, Deed::Acks { after }, out);
    }

    /// All that comes to a cold worker counts, also what it turns away.
    fn press(&mut self, now: f64, job: &Arrival) -> Option<Fall> {
        if self.warmth(now) >= 1.0 {
            self.pressure.clear();
            return None;
        }
        let Cold { factor, fall, .. } = &self.cold;
        let (factor, fall) = (factor.0, fall.0);
        self.pressure.retain(|p| now - p.at <= fall);
        self.pressure.push_back(Pressure { at: now, work: job.work, informed: job.informed });
        let work: f64 = self.pressure.iter().map(|p| p.work).sum();
        let budget = SLACK * factor * self.capacity(now) * fall;
        let informed: f64 = self.pressure.iter().filter(|p| p.informed).map(|p| p.work).sum();
        // One job that is heavier than the whole budget is nobody's fault.
        (work > budget && self.pressure.len() > 1).then(|| Fall { informed: informed / work, work, budget })
    }

    /// The node gives a job up, or closes the connection on which it waited to hear that the worker has it.
    pub fn give_up(&mut self, now: f64, tri: TryId, node: NodeId, out: &mut Vec<Said>) {
        if matches!(self.life, Life::Down | Life::Vanished) {
            return;
        }
        self.inbox.retain(|(job, _)| (job.tri, job.node) != (tri, node));
        if self.ails.paused {
            return;
        }
        self.run(now);
        self.jobs.retain(|job| (job.tri, job.node) != (tri, node));
        self.pump(now, out);
        self.note(now);
    }

    /// Whether the node was told that the worker has the job.
    pub fn acked(&self, tri: TryId, node: NodeId) -> bool {
        self.jobs.iter().any(|job| (job.tri, job.node) == (tri, node) && job.acked)
    }

    /// Stands still, or goes on.
    pub fn pause(&mut self, now: f64, paused: bool, out: &mut Vec<Said>) {
        self.run(now);
        self.ails.paused = paused;
        if !paused {
            let came = std::mem::take(&mut self.inbox);
            came.into_iter().for_each(|(job, luck)| self.accept(now, job, luck, out));
            self.pump(now, out);
            self.note(now);
        }
    }

    /// Another takes this part of its cores.
    pub fn steal(&mut self, now: f64, part: f64) {
        self.run(now);
        self.ails.stolen = part;
    }

    pub fn silence(&mut self, silent: bool, out: &mut Vec<Said>) {
        self.ails.silent = silent;
        if !silent {
            out.append(&mut self.unsaid);
        }
    }

    /// Its process ends; what it held is lost.
    pub fn end(&mut self, now: f64, life: Life, out: &mut Vec<Said>) {
        self.run(now);
        self.life = life;
        if life == Life::Down {
            let lost = |job: &Job| Said { tri: job.tri, node: job.node, deed: Deed::Lost };
            out.extend(self.jobs.iter().map(lost));
            out.extend(self.inbox.iter().map(|(j, _)| Said { tri: j.tri, node: j.node, deed: Deed::Lost }));
        }
        self.jobs.clear();
        self.inbox.clear();
        self.unsaid.clear();
        self.reports.clear();
    }

    /// A new process.
    pub fn start(&mut self, now: f64) {
        (self.life, self.started, self.moved) = (Life::Up, now, now);
        self.pressure.clear();
        self.note(now);
    }

    pub fn drain(&mut self) {
        self.life = Life::Draining;
    }

    fn fresh(&self) -> Report {
        let (running, queued) = (self.running() as f64, self.queued() as f64);
        let used: f64 = self.jobs.iter().filter(|j| j.stage == Stage::Running).map(|j| j.memory).sum();
        let slots = self.make.slots.0 as f64;
        Report {
            free: Some((slots - running).max(0.0)),
            queue: Some(queued),
            inflight: Some(running + queued),
            util: Some((running / slots).min(1.0)),
            memory: Some((self.memory() - used).max(0.0)),
        }
    }

    fn note(&mut self, now: f64) {
        let fresh = self.fresh();
        self.reports.push_back((now, fresh));
        if self.reports.len() > REPORTS_KEPT {
            self.reports.pop_front();
        }
    }

    /// Its load as it was so long ago.
    pub fn report(&self, now: f64, age: f64) -> Report {
        let age = age.max(self.ails.old_reports);
        if age <= 0.0 {
            return self.fresh();
        }
        let old = self.reports.iter().rev().find(|(at, _)| now - at >= age).or(self.reports.front());
        old.map_or_else(|| self.fresh(), |(_, report)| *report)
    }

    pub fn connections(&self) -> usize {
        self.ails.connections.unwrap_or(self.make.connections.0)
    }

    /// Whether a probe is answered at all.
    pub fn hears(&self) -> bool {
        matches!(self.life, Life::Up | Life::Draining) && !self.ails.paused && !self.ails.silent
    }
}

#[cfg(test)]
mod tests {
    use test_case::test_case;

    use super::*;
    use crate::scenario::{Amount, Count, Positive};

    fn worker() -> Worker {
        let make = Workers { slots: Count(2), cores: Positive(1.0), queue: Count(1), ..Workers::default() };
        Worker::new(&make, 0, &Cold::default(), 0.0, false)
    }

    fn job(tri: TryId, work: f64) -> Arrival {
        Arrival { tri, node: 0, work, memory: 1.0, informed: true }
    }

    const LUCKY: Luck = Luck { fate: 0.999 };

    fn deeds(out: &[Said]) -> Vec<(TryId, Deed)> {
        out.iter().map(|said| (said.tri, said.deed)).collect()
    }

    fn until(worker: &mut Worker, mut now: f64, end: f64) -> Vec<(f64, TryId)> {
        let mut done = Vec::new();
        while let Some(next) = worker.next(now).filter(|next| *next <= end) {
            now = next;
            let mut out = Vec::new();
            worker.advance(now, &mut out);
            done.extend(
                out.iter().filter(|s| s.deed == Deed::Ran).map(|s| ((now * 1e3).round() / 1e3, s.tri)),
            );
        }
        done
    }

    #[test]
    fn running_jobs_share_the_cores_and_the_rest_waits_in_order() {
        let (mut worker, mut out) = (worker(), Vec::new());
        for tri in 0..4 {
            worker.arrive(0.0, job(tri, 1.0), LUCKY, &mut out);
        }
        assert_eq!((worker.held(), worker.queued()), (3, 1), "the fourth finds the queue full");
        assert!(deeds(&out).contains(&(3, Deed::Rejects)));
        assert_eq!(until(&mut worker, 0.0, 9.0), [(2.0, 0), (2.0, 1), (3.0, 2)]);
    }

    #[test]
    fn the_first_that_waits_for_memory_keeps_others_waiting() {
        let mut worker = worker();
        worker.make.memory = Amount(2.0);
        worker.make.queue = Count(9);
        for (tri, memory) in [(0, 1.0), (1, 1.5), (2, 0.1)] {
            worker.arrive(0.0, Arrival { memory, ..job(tri, 1.0) }, LUCKY, &mut Vec::new());
        }
        assert_eq!((worker.running(), worker.queued()), (1, 2));
        assert_eq!(until(&mut worker, 0.0, 9.0), [(1.0, 0), (3.0, 1), (3.0, 2)]);
    }

    #[test_case(false, 1.0; "goes on at once")]
    #[test_case(true, 6.0; "five seconds later")]
    fn a_pause_moves_all_that_is_left(paused: bool, expected: f64) {
        let mut worker = worker();
        worker.arrive(0.0, job(0, 1.0), LUCKY, &mut Vec::new());
        if paused {
            worker.pause(0.5, true, &mut Vec::new());
            assert_eq!(worker.next(0.5), None);
            let mut out = Vec::new();
            worker.arrive(1.0, job(1, 1.0), LUCKY, &mut out);
            worker.give_up(1.0, 1, 0, &mut out);
            assert!(out.is_empty(), "nothing is heard of it");
            worker.pause(5.5, false, &mut out);
            assert!(out.is_empty(), "what was given up meanwhile is not begun");
        }
        assert_eq!(until(&mut worker, if paused { 5.5 } else { 0.0 }, 9.0), [(expected, 0)]);
    }

    #[test]
    fn a_silent_worker_runs_what_it_has_and_tells_it_later() {
        let (mut worker, mut out) = (worker(), Vec::new());
        worker.silence(true, &mut out);
        worker.arrive(0.0, job(0, 1.0), LUCKY, &mut out);
        assert!(out.is_empty() && !worker.hears(), "it does not even say that it has it");
        assert_eq!(until(&mut worker, 0.0, 9.0), [(1.0, 0)]);
        worker.silence(false, &mut out);
        assert_eq!(deeds(&out), [(0, Deed::Done)]);
    }

    #[test_case(0.05, &[Deed::Fails]; "fails at once")]
    #[test_case(0.15, &[Deed::Acks { after: 0.001 }]; "takes it and forgets it")]
    #[test_case(0.25, &[Deed::Acks { after: 0.001 }, Deed::GivesBack]; "takes it and gives it back")]
    #[test_case(0.35, &[Deed::Acks { after: 0.001 }]; "takes it and runs it")]
    fn a_jobs_fate_is_drawn(fate: f64, expected: &[Deed]) {
        let (mut worker, mut out) = (worker(), Vec::new());
        (worker.ails.errors, worker.ails.loses, worker.ails.gives_back) = (0.1, 0.1, 0.1);
        worker.arrive(0.0, job(0, 1.0), Luck { fate }, &mut out);
        assert_eq!(out.iter().map(|said| said.deed).collect::<Vec<_>>(), expected);
        assert_eq!(worker.held(), usize::from(fate > 0.3));
    }

    // Its capacity at the start is 0.3: the budget over two seconds is 4 * 0.3 * 2 = 2.4 seconds of work.
    #[test_case(0.5, None; "what it can bear")]
    #[test_case(1.5, Some(1.0); "too much")]
    fn a_cold_worker_falls_over_when_pushed(work: f64, informed: Option<f64>) {
        let mut worker = worker();
        worker.start(100.0);
        let fall = (0..3).filter_map(|t| worker.arrive(100.0, job(t, work), LUCKY, &mut Vec::new())).next();
        assert_eq!(fall.map(|fall| fall.informed), informed);
        worker.life = Life::Up;
        let warm = (0..9).filter_map(|t| worker.arrive(120.0, job(t, 9.0), LUCKY, &mut Vec::new())).next();
        assert!(warm.is_none(), "a warm one turns away, no more");
    }

    #[test]
    fn a_cold_worker_runs_slow_at_first() {
        let mut worker = worker();
        worker.start(100.0);
        worker.arrive(100.0, job(0, 1.0), LUCKY, &mut Vec::new());
        let done = until(&mut worker, 100.0, 120.0);
        assert!(done[0].0 > 102.0 && done[0].0 < 103.0, "{done:?}");
    }

    #[test]
    fn reports_can_be_old() {
        let mut worker = worker();
        worker.advance(0.0, &mut Vec::new());
        worker.arrive(5.0, job(0, 9.0), LUCKY, &mut Vec::new());
        assert_eq!([0.0, 2.0].map(|age| worker.report(6.0, age).free), [Some(1.0), Some(2.0)]);
    }

    #[test]
    fn what_a_process_held_when_it_died_is_lost() {
        let (mut worker, mut out) = (worker(), Vec::new());
        worker.arrive(0.0, job(0, 1.0), LUCKY, &mut Vec::new());
        worker.end(0.5, Life::Down, &mut out);
        assert_eq!((deeds(&out), worker.held()), (vec![(0, Deed::Lost)], 0));
        worker.start(3.0);
        assert_eq!((worker.life, worker.next(3.0)), (Life::Up, None));
    }
}
