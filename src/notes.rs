//! What a node notes: of what it begins with, of answers, and of reports. What follows from it `policy` decides.
use crate::chance::Chance;
use crate::node::Node;
use crate::policy::{GOOD_MOST, RACES};
use crate::types::*;

/// Of remembered successes, after a failure: two in a row outweigh them.
const GOOD_LEFT: f64 = 0.7;

/// Weight of a latency in its executor's mean: some ten answers.
const SLOW_NEW: f64 = 0.1;

impl Kind {
    /// The part of an executor's measured slowness that counts. Within `NOISE` standard errors of none it is noise of
    /// the measurement, and equal executors count as equal; far beyond, all of it does (the non-negative garrote).
    /// The standard error is that of a mean in which each answer weighs `SLOW_NEW`, from the spread of single answers.
    /// In a fleet of few, where each has answers all the time, what it shows of slow hours outweighs the noise.
    pub(crate) fn slowness(&self, measured: f64, few: bool) -> f64 {
        const NOISE: f64 = 2.0; // One in twenty of equal ones lies beyond, and of these most by little.
        let error = if few { 0.0 } else { self.spread * SLOW_NEW / (2.0 - SLOW_NEW) };
        measured * (1.0 - NOISE.powi(2) * error / measured.powi(2).max(1e-12)).max(0.0)
    }
}

const TRUSTED: f64 = 0.8; // The mean of an executor that is as good as it begins: of four successes in four.

impl Record {
    /// From its posterior.
    pub(crate) fn draw(&self, chance: &mut Chance) -> f64 {
        chance.beta(1 + self.good.round() as usize, 1 + self.bad.round().min(12.0) as usize)
    }

    pub(crate) fn fail(&mut self, weight: f64) {
        (self.good, self.bad) = (self.good * GOOD_LEFT.powf(weight), self.bad + weight);
    }
}

impl Node {
    /// What the better quarter of the ready executors reach: neither a few bad nor a few lucky ones move it.
    pub(crate) fn level(&self) -> f64 {
        let ready = self.tgts.iter().filter(|t| t.ready());
        let mut means: Vec<f64> = ready.map(|t| t.whole.mean()).collect();
        means.sort_by(|a, b| b.total_cmp(a));
        means.get(means.len() / 4).map_or(1.0, |mean| (mean / TRUSTED).min(1.0))
    }

    pub fn new(set: Settings, seed: u64) -> Self {
        Node {
            chance: Chance::new(seed),
            classes: vec![Class::default(); set.operations.len()],
            tenants: vec![Class::default(); set.quotas.len()],
            peer_heard: vec![0.0; set.nodes.max(set.me + 1)],
            util: 0.5,
            spill: 1.0 - (5.0 * set.cross_zone_price).min(1.0), // As if one in five came late there.
            level: 1.0,
            empty: if set.tells_start { 2.0 * RACES } else { 0.0 }, // Believed less until starts show.
            set,
            ..Node::default()
        }
    }

    /// Only answers that succeeded count as latencies: an executor that fails fast must not look fast.
    pub(crate) fn succeeded(
        now: f64,
        t: &mut Executor,
        op: usize,
        class: &mut Class,
        kind: &mut Kind,
        took: f64,
    ) {
        const PACE_NEW: f64 = 0.02; // And in its operation's: some fifty, the first ones evenly.
        let log = took.max(1e-4).ln();
        let pace = class.pace.get_or_insert(log);
        let ratio = (log - *pace - kind.slow).clamp(-3.0, 3.0);
        let off = ratio - t.slow;
        (class.answers, kind.answers) = (class.answers + 1.0, kind.answers + 1.0);
        *pace += PACE_NEW.max(1.0 / class.answers) * off;
        kind.slow += PACE_NEW * off;
        kind.spread += PACE_NEW.max(1.0 / kind.answers) * (off.powi(2) - kind.spread);
        t.slow += SLOW_NEW * off;
        t.woke(now);
        t.record(op).succeeded(now, GOOD_MOST, false);
        (t.sampled, t.refusals) = (now, 0);
        t.whole.succeeded(now, GOOD_MOST, false);
    }

    pub(crate) fn report(&mut self, now: f64, tgt: Tgt, report: Report) {
        const TOO_YOUNG: f64 = 0.03; // Forwards this young may be missing from a report: some round trips.
        const UTIL_NEW: f64 = 0.02; // Weight of a new report in the mean utilisation: some seconds' worth.
        let t = &mut self.tgts[tgt];
        let Some(free) = report.free else { return };
        let busy = report.inflight.zip(report.queue).map(|(inflight, queue)| (inflight - queue).max(0.0));
        // Without the number at work, the most ever seen free or at work is all that is known of the slots.
        let seen = busy.map_or(t.slots.max(t.running as f64), |busy| busy + free);
        let most = &mut self.kinds[t.entry.kind].slots;
        *most = if busy.is_some() { 0.0 } else { most.max(seen).max(free.round()) };
        t.slots = if busy.is_some() { seen.round().max(1.0) } else { *most };
        // Work queued beside free slots waits for memory, and all that is sent after waits too.
        (t.free, t.reported) = (if report.queue.unwrap_or(0.0) >= 0.5 { 0.0 } else { free }, now);
        t.foreign = report.memory.map_or(0.0, |spare| (t.slots - spare - t.memory).max(0.0));
        (t.weighed, t.unseen) = (now, if now - t.last_sent < TOO_YOUNG { 1.0 } else { 0.0 });
        let util = report.util.or((t.slots > 0.0).then(|| 1.0 - free / t.slots));
        self.util += UTIL_NEW * (util.unwrap_or(self.util).clamp(0.0, 1.0) - self.util);
    }
}
