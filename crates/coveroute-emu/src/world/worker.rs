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

/// What is sent to a cold worker counts for so long; its work in means of a request, and by whom it came.
#[derive(Clone, Copy, Debug)]
struct Pressure {
    at: f64,
    work: f64,
    informed: bool,
}

/// What pushed a cold worker over, in requests of mean work: the part of it from nodes that knew that it was cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fall {
    pub informed: f64,
    pub sent: f64,
    pub most: f64,
}

/// What a cold worker has borne, of all its starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Borne {
    /// The most that was sent in a span, as a part of what would have pushed it over.
    pub most: f64,
    /// Work done while it was cold.
    pub work: f64,
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
    /// The mean work of a request.
    mean: f64,
    pub borne: Borne,
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
/// Reports kept, for those that are told late.
const REPORTS_KEPT: usize = 256;

/// The operators' term: more requests of mean work in a span push a cold worker over, where the settings allow `n`.
/// Twice the root is chance's part.
pub fn bears(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl Worker {
    /// `mean`: the mean work of a request.
    pub fn new(
        make: &Workers,
        cell: i64,
        (cold, mean): (&Cold, f64),
        progress: f64,
        tells_start: bool,
    ) -> Self {
        Worker {
            make: make.clone(),
            cell,
            life: Life::Up,
            started: 0.0,
            ails: Ails::default(),
            cold: cold.clone(),
            mean,
            borne: Borne::default(),
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
        self.borne.work += if self.warmth(now) < 1.0 { done * self.running() as f64 } else { 0.0 };
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

    /// All that comes to a cold worker counts, also what it turns away: by number and by work, as the term can be
    /// read either way.
    fn press(&mut self, now: f64, job: &Arrival) -> Option<Fall> {
        if self.warmth(now) >= 1.0 {
            self.pressure.clear();
            return None;
        }
        let Cold { factor, fall, .. } = &self.cold;
        let (factor, fall) = (factor.0, fall.0);
        self.pressure.retain(|p| now - p.at <= fall);
        self.pressure.push_back(Pressure { at: now, work: job.work / self.mean, informed: job.informed });
        let most = bears(factor * self.capacity(now) * fall / self.mean);
        let readings: [fn(&Pressure) -> f64; 2] = [|_| 1.0, |p| p.work];
        let falls = readings.map(|of| {
            let sent: f64 = self.pressure.iter().map(of).sum();
            let informed: f64 = self.pressure.iter().filter(|p| p.informed).map(of).sum();
            Fall { informed: informed / sent, sent, most }
        });
        // One job that is heavier than the whole budget is nobody's fault.
        if self.pressure.len() < 2 {
            return None;
        }
        self.borne.most = falls.iter().map(|fall| fall.sent / most).fold(self.borne.most, f64::max);
        falls.into_iter().filter(|fall| fall.sent > most).max_by(|a, b| a.informed.total_cmp(&b.informed))
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
mod tests;
