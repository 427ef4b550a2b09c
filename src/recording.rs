//! Updates of a node's state from answers and load reports, and its initial state. `policy` decides by them.
use crate::node::Node;
use crate::policy::{MAX_RACED_RATE, MAX_SUCCESSES};
use crate::random::Rng;
use crate::types::*;

/// The fraction of remembered successes that a failure leaves, so that two failures in a row outweigh them.
const SUCCESSES_KEPT: f64 = 0.7;

/// Smoothing weight of one latency in its executor's mean: some ten answers.
const SLOWNESS_WEIGHT: f64 = 0.1;

impl MachineKindStats {
    /// The significant part of an executor's measured slowness. Within `NOISE_LIMIT` standard errors of zero
    /// it counts as measurement noise, so that equal executors are treated as equal; far beyond, all of it
    /// counts (non-negative garrote). The standard error is that of a mean in which each answer has the
    /// weight `SLOWNESS_WEIGHT`, from the variance of single answers. In a small fleet, where each executor
    /// has answers all the time, all of it counts: temporary slowness matters more than the noise.
    pub(crate) fn significant_slowness(&self, measured: f64, few: bool) -> f64 {
        const NOISE_LIMIT: f64 = 2.0; // One in twenty equal executors lies beyond, most by little.
        let error = if few { 0.0 } else { self.variance * SLOWNESS_WEIGHT / (2.0 - SLOWNESS_WEIGHT) };
        measured * (1.0 - NOISE_LIMIT.powi(2) * error / measured.powi(2).max(1e-12)).max(0.0)
    }
}

/// About the mean of the initial record, four successes in four; the reference level is relative to it.
const INITIAL_MEAN: f64 = 0.8;

impl Record {
    /// Draws a success probability from the posterior.
    pub(crate) fn draw_from_posterior(&self, rng: &mut Rng) -> f64 {
        rng.beta(1 + self.successes.round() as usize, 1 + self.failures.round().min(12.0) as usize)
    }

    /// Adds a failure of the given weight.
    pub(crate) fn add_failure(&mut self, weight: f64) {
        (self.successes, self.failures) =
            (self.successes * SUCCESSES_KEPT.powf(weight), self.failures + weight);
    }
}

impl Node {
    /// The level that the best quarter of the ready executors reach; a few bad or lucky executors don't move
    /// it.
    pub(crate) fn compute_trust_reference(&self) -> f64 {
        let ready = self.executors.iter().filter(|t| t.is_ready());
        let mut means: Vec<f64> = ready.map(|t| t.overall.mean()).collect();
        means.sort_by(|a, b| b.total_cmp(a));
        means.get(means.len() / 4).map_or(1.0, |mean| (mean / INITIAL_MEAN).min(1.0))
    }

    pub fn new(set: Settings, seed: u64) -> Self {
        Node {
            rng: Rng::new(seed),
            operation_stats: vec![TrafficStats::default(); set.operations.len()],
            tenant_stats: vec![TrafficStats::default(); set.quotas.len()],
            peer_last_heard: vec![0.0; set.nodes.max(set.node_index + 1)],
            util: 0.5,
            // As if one start in five were late.
            spill_probability: 1.0 - (5.0 * set.cross_zone_price).min(1.0),
            trust_reference: 1.0,
            // Reports count less until starts confirm them.
            missing_slot_rate: if set.reports_starts { 2.0 * MAX_RACED_RATE } else { 0.0 },
            settings: set,
            ..Node::default()
        }
    }

    /// Records a success and its latency. Only successes count as latencies, so that an executor that fails
    /// fast does not look fast.
    pub(crate) fn record_success(
        now: f64,
        t: &mut Executor,
        op: usize,
        stats: &mut TrafficStats,
        kind: &mut MachineKindStats,
        took: f64,
    ) {
        // Smoothing over some fifty answers of the operation; the first ones count equally.
        const LATENCY_WEIGHT: f64 = 0.02;
        let log = took.max(1e-4).ln();
        let log_latency = stats.log_latency.get_or_insert(log);
        let ratio = (log - *log_latency - kind.log_slowness).clamp(-3.0, 3.0);
        let deviation = ratio - t.log_slowness;
        (stats.answers, kind.answers) = (stats.answers + 1.0, kind.answers + 1.0);
        *log_latency += LATENCY_WEIGHT.max(1.0 / stats.answers) * deviation;
        kind.log_slowness += LATENCY_WEIGHT * deviation;
        kind.variance += LATENCY_WEIGHT.max(1.0 / kind.answers) * (deviation.powi(2) - kind.variance);
        t.log_slowness += SLOWNESS_WEIGHT * deviation;
        t.on_sign_of_life(now);
        t.operation_record(op).add_success(now, MAX_SUCCESSES, false);
        (t.last_success, t.refusals) = (now, 0);
        t.overall.add_success(now, MAX_SUCCESSES, false);
    }

    /// Applies a load report of an executor.
    pub(crate) fn apply_report(&mut self, now: f64, executor_index: ExecutorIndex, report: Report) {
        // Seconds: a report may not include forwards this recent; some round trips.
        const TOO_YOUNG: f64 = 0.03;
        // Smoothing weight of one report: some seconds' worth of reports.
        const UTIL_WEIGHT: f64 = 0.02;
        let t = &mut self.executors[executor_index];
        let Some(free) = report.free else { return };
        let busy = report.inflight.zip(report.queue).map(|(inflight, queue)| (inflight - queue).max(0.0));
        // Without the number of running jobs, the number of slots is estimated by the most ever seen free or
        // running.
        let observed = busy.map_or(t.slots.max(t.running as f64), |busy| busy + free);
        let max_slots = &mut self.kind_stats[t.entry.kind].max_slots;
        *max_slots = if busy.is_some() { 0.0 } else { max_slots.max(observed).max(free.round()) };
        t.slots = if busy.is_some() { observed.round().max(1.0) } else { *max_slots };
        // Work queued beside free slots waits for memory, and anything sent now would wait too.
        (t.free, t.reported_at) = (if report.queue.unwrap_or(0.0) >= 0.5 { 0.0 } else { free }, now);
        t.foreign_memory = report.memory.map_or(0.0, |spare| (t.slots - spare - t.memory).max(0.0));
        (t.own_report_at, t.sent_since_report) = (now, if now - t.last_sent < TOO_YOUNG { 1.0 } else { 0.0 });
        let util = report.util.or((t.slots > 0.0).then(|| 1.0 - free / t.slots));
        self.util += UTIL_WEIGHT * (util.unwrap_or(self.util).clamp(0.0, 1.0) - self.util);
    }
}
