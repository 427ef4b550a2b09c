//! What a node notes: of what it begins with, of answers, and of reports. What follows from it `policy` decides.
use crate::chance::Chance;
use crate::node::Node;
use crate::policy::{MAX_RACED_RATE, MAX_SUCCESSES};
use crate::types::*;

/// Of remembered successes, after a failure: two in a row outweigh them.
const SUCCESSES_KEPT: f64 = 0.7;

/// Weight of a latency in its executor's mean: some ten answers.
const SLOWNESS_WEIGHT: f64 = 0.1;

impl MachineKindStats {
    /// The part of an executor's measured slowness that counts. Within `NOISE` standard errors of none it is noise of
    /// the measurement, and equal executors count as equal; far beyond, all of it does (the non-negative garrote).
    /// The standard error is that of a mean in which each answer weighs `SLOW_NEW`, from the spread of single answers.
    /// In a fleet of few, where each has answers all the time, what it shows of slow hours outweighs the noise.
    pub(crate) fn significant_slowness(&self, measured: f64, few: bool) -> f64 {
        const NOISE_LIMIT: f64 = 2.0; // One in twenty of equal ones lies beyond, and of these most by little.
        let error = if few { 0.0 } else { self.variance * SLOWNESS_WEIGHT / (2.0 - SLOWNESS_WEIGHT) };
        measured * (1.0 - NOISE_LIMIT.powi(2) * error / measured.powi(2).max(1e-12)).max(0.0)
    }
}

const INITIAL_MEAN: f64 = 0.8; // The mean of an executor that is as good as it begins: of four successes in four.

impl Record {
    /// From its posterior.
    pub(crate) fn draw_from_posterior(&self, chance: &mut Chance) -> f64 {
        chance.beta(1 + self.successes.round() as usize, 1 + self.failures.round().min(12.0) as usize)
    }

    pub(crate) fn add_failure(&mut self, weight: f64) {
        (self.successes, self.failures) =
            (self.successes * SUCCESSES_KEPT.powf(weight), self.failures + weight);
    }
}

impl Node {
    /// What the better quarter of the ready executors reach: neither a few bad nor a few lucky ones move it.
    pub(crate) fn compute_trust_reference(&self) -> f64 {
        let ready = self.executors.iter().filter(|t| t.is_ready());
        let mut means: Vec<f64> = ready.map(|t| t.overall.mean()).collect();
        means.sort_by(|a, b| b.total_cmp(a));
        means.get(means.len() / 4).map_or(1.0, |mean| (mean / INITIAL_MEAN).min(1.0))
    }

    pub fn new(set: Settings, seed: u64) -> Self {
        Node {
            rng: Chance::new(seed),
            operation_stats: vec![TrafficStats::default(); set.operations.len()],
            tenant_stats: vec![TrafficStats::default(); set.quotas.len()],
            peer_last_heard: vec![0.0; set.nodes.max(set.me + 1)],
            util: 0.5,
            spill_probability: 1.0 - (5.0 * set.cross_zone_price).min(1.0), // As if one in five came late there.
            trust_reference: 1.0,
            missing_slot_rate: if set.tells_start { 2.0 * MAX_RACED_RATE } else { 0.0 }, // Believed less until starts show.
            settings: set,
            ..Node::default()
        }
    }

    /// Only answers that succeeded count as latencies: an executor that fails fast must not look fast.
    pub(crate) fn record_success(
        now: f64,
        t: &mut Executor,
        op: usize,
        class: &mut TrafficStats,
        kind: &mut MachineKindStats,
        took: f64,
    ) {
        const LATENCY_WEIGHT: f64 = 0.02; // And in its operation's: some fifty, the first ones evenly.
        let log = took.max(1e-4).ln();
        let pace = class.log_latency.get_or_insert(log);
        let ratio = (log - *pace - kind.log_slowness).clamp(-3.0, 3.0);
        let off = ratio - t.log_slowness;
        (class.answers, kind.answers) = (class.answers + 1.0, kind.answers + 1.0);
        *pace += LATENCY_WEIGHT.max(1.0 / class.answers) * off;
        kind.log_slowness += LATENCY_WEIGHT * off;
        kind.variance += LATENCY_WEIGHT.max(1.0 / kind.answers) * (off.powi(2) - kind.variance);
        t.log_slowness += SLOWNESS_WEIGHT * off;
        t.on_sign_of_life(now);
        t.operation_record(op).add_success(now, MAX_SUCCESSES, false);
        (t.last_success, t.refusals) = (now, 0);
        t.overall.add_success(now, MAX_SUCCESSES, false);
    }

    pub(crate) fn apply_report(&mut self, now: f64, tgt: Tgt, report: Report) {
        const TOO_YOUNG: f64 = 0.03; // Forwards this young may be missing from a report: some round trips.
        const UTIL_WEIGHT: f64 = 0.02; // Weight of a new report in the mean utilisation: some seconds' worth.
        let t = &mut self.executors[tgt];
        let Some(free) = report.free else { return };
        let busy = report.inflight.zip(report.queue).map(|(inflight, queue)| (inflight - queue).max(0.0));
        // Without the number at work, the most ever seen free or at work is all that is known of the slots.
        let seen = busy.map_or(t.slots.max(t.running as f64), |busy| busy + free);
        let most = &mut self.kind_stats[t.entry.kind].max_slots;
        *most = if busy.is_some() { 0.0 } else { most.max(seen).max(free.round()) };
        t.slots = if busy.is_some() { seen.round().max(1.0) } else { *most };
        // Work queued beside free slots waits for memory, and all that is sent after waits too.
        (t.free, t.reported_at) = (if report.queue.unwrap_or(0.0) >= 0.5 { 0.0 } else { free }, now);
        t.foreign_memory = report.memory.map_or(0.0, |spare| (t.slots - spare - t.memory).max(0.0));
        (t.own_report_at, t.sent_since_report) = (now, if now - t.last_sent < TOO_YOUNG { 1.0 } else { 0.0 });
        let util = report.util.or((t.slots > 0.0).then(|| 1.0 - free / t.slots));
        self.util += UTIL_WEIGHT * (util.unwrap_or(self.util).clamp(0.0, 1.0) - self.util);
    }
}
