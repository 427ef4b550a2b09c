//! One worker: slots, cores shared by the running jobs, a FIFO queue, warm-up and injected faults. It keeps
//! no clock: the caller passes the time in and asks when the next event is due.
use std::collections::VecDeque;

use coveroute::types::Report;

use crate::scenario::{Cold, Workers};
use crate::world::{NodeId, TryId};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Liveness {
    Up,
    /// Finishes its jobs and rejects new ones.
    Draining,
    /// The process is gone: connections are refused.
    Down,
    /// The machine is gone: nothing is answered and nothing is refused.
    Vanished,
}

/// The faults that affect a worker now; any combination may be active.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveFaults {
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
enum JobStage {
    Queued,
    Running,
}

#[derive(Clone, Debug)]
struct Job {
    tri: TryId,
    node: NodeId,
    left: f64,
    memory: f64,
    stage: JobStage,
    acked: bool,
    last_progress: f64,
}

/// A job as it arrives at a worker.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub tri: TryId,
    pub node: NodeId,
    pub work: f64,
    pub memory: f64,
    /// Whether the sending node had been told of this worker's start.
    pub informed: bool,
}

/// What a worker does with one of its jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobAction {
    /// Acknowledges the job after this many seconds.
    Acks {
        after: f64,
    },
    Rejects,
    /// Answers at once that the job failed.
    Fails,
    Started,
    Running,
    /// The job has run to its end; its effect takes place here.
    Ran,
    /// Sends the result.
    Done,
    GivesBack,
    /// The agent on the worker's machine reports that the process died.
    Lost,
}

/// An action and the job that it concerns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerMessage {
    pub tri: TryId,
    pub node: NodeId,
    pub action: JobAction,
}

/// A job recently sent to a cold worker: when it arrived, its work relative to a mean request, and whether
/// its node knew of the worker's start.
#[derive(Clone, Copy, Debug)]
struct RecentJob {
    at: f64,
    work: f64,
    informed: bool,
}

/// An overload that makes a cold worker fail, in requests of mean work. `informed` is the share sent by
/// nodes that knew that it was cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    pub informed: f64,
    pub sent: f64,
    pub most: f64,
}

/// The load on a worker while it was cold, over all its starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdLoad {
    /// The largest load within a span, relative to the overload limit.
    pub most: f64,
    /// Work done while cold.
    pub work: f64,
}

/// The random draw that decides a job's fate; the world makes it in order of arrival.
#[derive(Clone, Copy, Debug)]
pub struct FaultDraw {
    pub fate: f64,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub spec: Workers,
    pub cell: i64,
    pub life: Liveness,
    /// Start time of the process; 0 means long ago.
    pub started: f64,
    pub faults: ActiveFaults,
    cold: Cold,
    /// The mean work of a request.
    mean_work: f64,
    pub cold_load: ColdLoad,
    jobs: Vec<Job>,
    /// Jobs that arrived while the process was paused.
    inbox: Vec<(Arrival, FaultDraw)>,
    /// Messages held back while the worker is silent.
    withheld: Vec<WorkerMessage>,
    recent_jobs: VecDeque<RecentJob>,
    reports: VecDeque<(f64, Report)>,
    updated_at: f64,
    progress: f64,
    tells_start: bool,
}

/// Interval at which the speed is recomputed during warm-up.
const WARMING_INTERVAL: f64 = 0.25;
/// Reports kept, to serve those that are sent late.
const MAX_REPORTS: usize = 256;

/// The overload rule that the operators stated: a cold worker fails on more than this many requests of mean
/// work in a span for which the settings allow `n`. Twice the square root allows for random variation.
pub fn overload_limit(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl Worker {
    /// `mean_work` is the mean work of a request.
    pub fn new(
        spec: &Workers,
        cell: i64,
        (cold, mean_work): (&Cold, f64),
        progress: f64,
        tells_start: bool,
    ) -> Self {
        Worker {
            spec: spec.clone(),
            cell,
            life: Liveness::Up,
            started: 0.0,
            faults: ActiveFaults::default(),
            cold: cold.clone(),
            mean_work,
            cold_load: ColdLoad::default(),
            jobs: Vec::new(),
            inbox: Vec::new(),
            withheld: Vec::new(),
            recent_jobs: VecDeque::new(),
            reports: VecDeque::new(),
            updated_at: 0.0,
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
        if self.spec.memory.0 > 0.0 {
            self.spec.memory.0
        } else {
            self.spec.slots.0 as f64
        }
    }

    /// Work per second that the worker can do without faults.
    pub fn capacity(&self, now: f64) -> f64 {
        self.spec.cores.0.min(self.spec.slots.0 as f64) * self.spec.speed.0 * self.warmth(now)
    }

    fn running(&self) -> usize {
        self.jobs.iter().filter(|job| job.stage == JobStage::Running).count()
    }

    pub fn queued(&self) -> usize {
        self.jobs.len() - self.running()
    }

    pub fn held(&self) -> usize {
        self.jobs.len()
    }

    /// Remaining work of all held jobs.
    pub fn backlog(&self) -> f64 {
        self.jobs.iter().map(|job| job.left).sum()
    }

    /// Work per second that each running job gets.
    fn rate_per_job(&self, now: f64) -> f64 {
        let running = self.running().max(1) as f64;
        let cores = self.spec.cores.0 * self.warmth(now) * (1.0 - self.faults.stolen);
        if self.faults.paused || matches!(self.life, Liveness::Down | Liveness::Vanished) {
            return 0.0;
        }
        self.spec.speed.0 * (cores / running).min(1.0)
    }

    /// Advances the running jobs to `now`.
    fn progress_jobs(&mut self, now: f64) {
        let done = self.rate_per_job(0.5 * (self.updated_at + now)) * (now - self.updated_at).max(0.0);
        self.cold_load.work += if self.warmth(now) < 1.0 { done * self.running() as f64 } else { 0.0 };
        self.updated_at = now;
        let running = self.jobs.iter_mut().filter(|job| job.stage == JobStage::Running);
        running.for_each(|job| job.left -= done);
    }

    /// Time of the next event, if nothing else happens to the worker.
    pub fn next(&self, now: f64) -> Option<f64> {
        let rate_per_job = self.rate_per_job(now);
        if rate_per_job <= 0.0 || self.running() == 0 {
            return None;
        }
        let running = || self.jobs.iter().filter(|job| job.stage == JobStage::Running);
        let ends = running().map(|job| job.left.max(0.0) / rate_per_job).fold(f64::INFINITY, f64::min);
        let record_report = |job: &Job| {
            if self.progress > 0.0 {
                job.last_progress + self.progress - now
            } else {
                f64::INFINITY
            }
        };
        let notes = running().map(record_report).fold(f64::INFINITY, f64::min);
        let warming = if self.warmth(now) < 1.0 { WARMING_INTERVAL } else { f64::INFINITY };
        Some(now + ends.min(notes).min(warming).max(1e-6))
    }

    /// Processes everything due by `now`.
    pub fn advance(&mut self, now: f64, out: &mut Vec<WorkerMessage>) {
        self.progress_jobs(now);
        let ended = |job: &Job| job.stage == JobStage::Running && job.left <= 1e-9;
        let mut at = 0;
        while at < self.jobs.len() {
            if ended(&self.jobs[at]) {
                let job = self.jobs.remove(at);
                out.push(WorkerMessage { tri: job.tri, node: job.node, action: JobAction::Ran });
                self.emit(job.tri, job.node, JobAction::Done, out);
            } else {
                at += 1;
            }
        }
        if self.progress > 0.0 && !self.faults.paused {
            let due = |job: &&mut Job| {
                job.stage == JobStage::Running && now - job.last_progress >= self.progress - 1e-9
            };
            let due: Vec<(TryId, NodeId)> = self
                .jobs
                .iter_mut()
                .filter(due)
                .map(|job| {
                    job.last_progress = now;
                    (job.tri, job.node)
                })
                .collect();
            due.into_iter().for_each(|(tri, node)| self.emit(tri, node, JobAction::Running, out));
        }
        self.start_queued(now, out);
        self.record_report(now);
    }

    /// Starts queued jobs strictly in order: a job that doesn't fit keeps the later ones waiting.
    fn start_queued(&mut self, now: f64, out: &mut Vec<WorkerMessage>) {
        if self.faults.paused || matches!(self.life, Liveness::Down | Liveness::Vanished) {
            return;
        }
        loop {
            let running = self.running();
            let used: f64 = self.jobs.iter().filter(|j| j.stage == JobStage::Running).map(|j| j.memory).sum();
            let spare = self.memory() - used;
            let slot = running < self.spec.slots.0;
            let first = self.jobs.iter_mut().find(|job| job.stage == JobStage::Queued);
            // A job larger than the whole memory runs alone.
            let Some(job) = first.filter(|j| slot && (j.memory <= spare + 1e-9 || running == 0)) else {
                return;
            };
            (job.stage, job.last_progress) = (JobStage::Running, now);
            let (tri, node) = (job.tri, job.node);
            if self.tells_start {
                self.emit(tri, node, JobAction::Started, out);
            }
        }
    }

    fn emit(&mut self, tri: TryId, node: NodeId, action: JobAction, out: &mut Vec<WorkerMessage>) {
        let said = WorkerMessage { tri, node, action };
        match (self.faults.silent, action) {
            (false, _) => out.push(said),
            // Results are sent once the worker can speak again; progress messages are dropped.
            (true, JobAction::Done | JobAction::Lost) => self.withheld.push(said),
            (true, _) => {}
        }
    }

    /// A job's last byte has arrived. Returns the overload if it made a cold worker fail.
    pub fn arrive(
        &mut self,
        now: f64,
        job: Arrival,
        draw: FaultDraw,
        out: &mut Vec<WorkerMessage>,
    ) -> Option<Overload> {
        let fall = self.check_overload(now, &job);
        if fall.is_some() {
            return fall;
        }
        if self.faults.paused {
            self.inbox.push((job, draw));
            return None;
        }
        self.progress_jobs(now);
        self.accept(now, job, draw, out);
        self.start_queued(now, out);
        self.record_report(now);
        None
    }

    fn accept(&mut self, now: f64, job: Arrival, draw: FaultDraw, out: &mut Vec<WorkerMessage>) {
        let Arrival { tri, node, work, memory, .. } = job;
        let full = self.queued() >= self.spec.queue.0 && self.running() >= self.spec.slots.0;
        let faults = &self.faults;
        let action = match draw.fate {
            _ if full || self.life == Liveness::Draining => JobAction::Rejects,
            fate if fate < faults.errors => JobAction::Fails,
            fate if fate < faults.errors + faults.loses => return self.ack(tri, node, out),
            fate if fate < faults.errors + faults.loses + faults.gives_back => {
                self.ack(tri, node, out);
                JobAction::GivesBack
            }
            _ => {
                self.ack(tri, node, out);
                let (stage, acked) = (JobStage::Queued, !self.faults.silent);
                self.jobs.push(Job {
                    tri,
                    node,
                    left: work.max(1e-6),
                    memory,
                    stage,
                    acked,
                    last_progress: now,
                });
                return;
            }
        };
        self.emit(tri, node, action, out);
    }

    fn ack(&mut self, tri: TryId, node: NodeId, out: &mut Vec<WorkerMessage>) {
        let after = self.spec.acknowledges.0 + self.faults.slow_acks;
        self.emit(tri, node, JobAction::Acks { after }, out);
    }

    /// Counts every job that arrives at a cold worker, including rejected ones, both by number and by work,
    /// as the operators' rule can be read either way.
    fn check_overload(&mut self, now: f64, job: &Arrival) -> Option<Overload> {
        if self.warmth(now) >= 1.0 {
            self.recent_jobs.clear();
            return None;
        }
        let Cold { factor, fall, .. } = &self.cold;
        let (factor, fall) = (factor.0, fall.0);
        self.recent_jobs.retain(|p| now - p.at <= fall);
        self.recent_jobs.push_back(RecentJob {
            at: now,
            work: job.work / self.mean_work,
            informed: job.informed,
        });
        let most = overload_limit(factor * self.capacity(now) * fall / self.mean_work);
        let readings: [fn(&RecentJob) -> f64; 2] = [|_| 1.0, |p| p.work];
        let falls = readings.map(|of| {
            let sent: f64 = self.recent_jobs.iter().map(of).sum();
            let informed: f64 = self.recent_jobs.iter().filter(|p| p.informed).map(of).sum();
            Overload { informed: informed / sent, sent, most }
        });
        // A single job above the whole limit is not counted against anyone.
        if self.recent_jobs.len() < 2 {
            return None;
        }
        self.cold_load.most = falls.iter().map(|fall| fall.sent / most).fold(self.cold_load.most, f64::max);
        falls.into_iter().filter(|fall| fall.sent > most).max_by(|a, b| a.informed.total_cmp(&b.informed))
    }

    /// The node cancels a job, or closes the connection on which it awaited the acknowledgement.
    pub fn give_up(&mut self, now: f64, tri: TryId, node: NodeId, out: &mut Vec<WorkerMessage>) {
        if matches!(self.life, Liveness::Down | Liveness::Vanished) {
            return;
        }
        self.inbox.retain(|(job, _)| (job.tri, job.node) != (tri, node));
        if self.faults.paused {
            return;
        }
        self.progress_jobs(now);
        self.jobs.retain(|job| (job.tri, job.node) != (tri, node));
        self.start_queued(now, out);
        self.record_report(now);
    }

    /// Whether the worker acknowledged the job to the node.
    pub fn acked(&self, tri: TryId, node: NodeId) -> bool {
        self.jobs.iter().any(|job| (job.tri, job.node) == (tri, node) && job.acked)
    }

    /// Pauses the process or resumes it.
    pub fn set_paused(&mut self, now: f64, paused: bool, out: &mut Vec<WorkerMessage>) {
        self.progress_jobs(now);
        self.faults.paused = paused;
        if !paused {
            let came = std::mem::take(&mut self.inbox);
            came.into_iter().for_each(|(job, draw)| self.accept(now, job, draw, out));
            self.start_queued(now, out);
            self.record_report(now);
        }
    }

    /// Sets the share of the cores taken by other load on the machine.
    pub fn steal(&mut self, now: f64, part: f64) {
        self.progress_jobs(now);
        self.faults.stolen = part;
    }

    pub fn set_silent(&mut self, silent: bool, out: &mut Vec<WorkerMessage>) {
        self.faults.silent = silent;
        if !silent {
            out.append(&mut self.withheld);
        }
    }

    /// The process ends, and the jobs that it held are lost.
    pub fn end(&mut self, now: f64, life: Liveness, out: &mut Vec<WorkerMessage>) {
        self.progress_jobs(now);
        self.life = life;
        if life == Liveness::Down {
            let lost = |job: &Job| WorkerMessage { tri: job.tri, node: job.node, action: JobAction::Lost };
            out.extend(self.jobs.iter().map(lost));
            out.extend(self.inbox.iter().map(|(j, _)| WorkerMessage {
                tri: j.tri,
                node: j.node,
                action: JobAction::Lost,
            }));
        }
        self.jobs.clear();
        self.inbox.clear();
        self.withheld.clear();
        self.reports.clear();
    }

    /// Starts a new process.
    pub fn start(&mut self, now: f64) {
        (self.life, self.started, self.updated_at) = (Liveness::Up, now, now);
        self.recent_jobs.clear();
        self.record_report(now);
    }

    pub fn drain(&mut self) {
        self.life = Liveness::Draining;
    }

    fn current_report(&self) -> Report {
        let (running, queued) = (self.running() as f64, self.queued() as f64);
        let used: f64 = self.jobs.iter().filter(|j| j.stage == JobStage::Running).map(|j| j.memory).sum();
        let slots = self.spec.slots.0 as f64;
        Report {
            free: Some((slots - running).max(0.0)),
            queue: Some(queued),
            inflight: Some(running + queued),
            util: Some((running / slots).min(1.0)),
            memory: Some((self.memory() - used).max(0.0)),
        }
    }

    fn record_report(&mut self, now: f64) {
        let current_report = self.current_report();
        self.reports.push_back((now, current_report));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// The load report as it was `age` seconds ago.
    pub fn report(&self, now: f64, age: f64) -> Report {
        let age = age.max(self.faults.old_reports);
        if age <= 0.0 {
            return self.current_report();
        }
        let old = self.reports.iter().rev().find(|(at, _)| now - at >= age).or(self.reports.front());
        old.map_or_else(|| self.current_report(), |(_, report)| *report)
    }

    pub fn connections(&self) -> usize {
        self.faults.connections.unwrap_or(self.spec.connections.0)
    }

    /// Whether the worker answers probes at all.
    pub fn answers_probes(&self) -> bool {
        matches!(self.life, Liveness::Up | Liveness::Draining) && !self.faults.paused && !self.faults.silent
    }
}

#[cfg(test)]
mod tests;
