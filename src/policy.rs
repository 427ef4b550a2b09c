//! Every decision of a coveroute node.
//!
//! How it is called: `Node::new(settings, seed)` once, then `handle(now, input, &mut outputs)` for each thing
//! that happens, in order; the caller carries out the outputs in order. Nothing here waits or reads a clock.
//! Its interface (inputs, outputs, settings) is `types.rs`; docs/design.md tells why it decides as it does.
use std::collections::BTreeMap;

use crate::chance::Chance;
use crate::types::*;

/// Timers: the solve, another look at what waits, asking again for the list.
const SOLVE: u64 = 0;
const LOOK: u64 = 1;
const ASK: u64 = 2;

/// State, input, next state, effect. What is not listed changes nothing: late, double or unknown events.
const TABLE: [(Life, Turn, Life, Act); 14] = [
    (Life::Waiting, Turn::Sent, Life::Out, Act::Keep),
    (Life::Suspect, Turn::Sent, Life::Again, Act::Keep),
    (Life::Out, Turn::Sent, Life::Again, Act::Keep),
    (Life::Again, Turn::Sent, Life::Again, Act::Keep),
    (Life::Out, Turn::NotRun, Life::Waiting, Act::Queue),
    (Life::Out, Turn::MayHaveRun, Life::Suspect, Act::Queue),
    (Life::Again, Turn::NotRun, Life::Waiting, Act::Queue),
    (Life::Again, Turn::MayHaveRun, Life::Suspect, Act::Queue),
    (Life::Waiting, Turn::GaveUp, Life::Ended, Act::Throttle),
    (Life::Suspect, Turn::GaveUp, Life::Ended, Act::Answer),
    (Life::Waiting, Turn::Finished, Life::Ended, Act::Close),
    (Life::Out, Turn::Finished, Life::Ended, Act::Close),
    (Life::Suspect, Turn::Finished, Life::Ended, Act::Close),
    (Life::Again, Turn::Finished, Life::Ended, Act::Close),
];

impl Executor {
    /// The part of its capacity that an executor has at least.
    fn warmth(&self, now: f64, cold: &Cold) -> f64 {
        let age = if self.entry.started > 0.0 { (now - self.entry.started).max(0.0) } else { f64::INFINITY };
        (cold.start + (1.0 - cold.start) * age / cold.warm).min(1.0)
    }

    fn judge(&mut self, out: &mut Vec<Output>) {
        const DOUBT: f64 = 0.65; // Mean of the posterior: below it doubtful,
        const TRUST: f64 = 0.75; // above this one trusted again, with a gap against wavering.
        let mean = (1.0 + self.good) / (2.0 + self.good + self.bad);
        let doubtful = mean < if self.doubtful { TRUST } else { DOUBT };
        if doubtful != self.doubtful {
            self.doubtful = doubtful;
            let words = if doubtful { "is doubtful" } else { "is trusted again" };
            out.push(Output::Log(format!("executor {:04x} {words}", self.entry.mark)));
        }
    }

    /// A sign of life: what it was blamed for while silent is forgiven, as it works off what it holds.
    fn woke(&mut self, now: f64) {
        self.heard = now;
        self.bad *= if std::mem::take(&mut self.silent) { 0.0 } else { 1.0 };
    }

    fn failed(&mut self, weight: f64, out: &mut Vec<Output>) {
        const GOOD_LEFT: f64 = 0.7; // Of remembered successes, after a failure: two in a row outweigh them.
        self.bad += weight;
        self.good *= GOOD_LEFT.powf(weight);
        self.judge(out);
    }
}

/// COOP (paper, section 3): the Nash-bargaining split of phi over executors of rates mu, the slowest left out
/// while their rate is below the common spare rate c.
pub fn coop(mu: &[f64], phi: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..mu.len()).collect();
    order.sort_by(|&a, &b| mu[b].total_cmp(&mu[a]).then(a.cmp(&b)));
    let mut n = mu.len();
    let mut c = (mu.iter().sum::<f64>() - phi) / n.max(1) as f64;
    while n > 1 && c > mu[order[n - 1]] {
        let all = n as f64;
        c = (c - mu[order[n - 1]] / all) * all / (all - 1.0);
        n -= 1;
    }
    let mut beta = vec![0.0; mu.len()];
    order[..n].iter().for_each(|&i| beta[i] = (mu[i] - c).max(0.0));
    beta
}

#[derive(Default)]
pub struct Node {
    set: Settings,
    chance: Chance,
    tgts: Vec<Executor>,
    /// Ready executors by share, the largest first; invocations that wait, the most pressing first.
    rank: Vec<Tgt>,
    waiting: Vec<InvId>,
    invs: BTreeMap<InvId, Inv>,
    classes: Vec<Class>,
    tenants: Vec<Class>,
    peer_heard: Vec<f64>,
    phi: f64,
    util: f64,
    misled: f64,
    /// Mean billed value of an invocation.
    value: f64,
    /// Mean own forwards held, at the last solve.
    held: f64,
    memory: f64,
    /// This node's part of the work that executors hold.
    part: f64,
    solved: f64,
    solves: usize,
    looking: bool,
    list_lost: u32,
}

const SOLVE_EVERY: f64 = 0.25; // Several times in the shortest running time met; cheap at any size.
const BEFORE_END: f64 = 0.1; // A held invocation is answered this long before its end: several batches.

impl Node {
    pub fn new(set: Settings, seed: u64) -> Self {
        let nodes = set.nodes.max(set.me + 1);
        Node {
            chance: Chance::new(seed),
            classes: vec![Class::default(); set.operations.len()],
            tenants: vec![Class::default(); set.quotas.len()],
            peer_heard: vec![0.0; nodes],
            util: 0.5,
            memory: 0.5,
            part: 1.0 / nodes as f64,
            set,
            ..Node::default()
        }
    }

    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::List(list) => self.list(now, list, out),
            Input::Submitted(sub) => self.submitted(now, sub, out),
            Input::Settled(settled) => self.settled(now, settled, out),
            Input::Alive { id, forward } => return self.alive(now, id, forward),
            Input::Expired(id) => self.step(now, id, Turn::Finished, out),
            Input::Timer(SOLVE) => self.tick(now, out),
            Input::Timer(LOOK) => self.review(now, out),
            Input::Timer(_) => out.extend((self.list_lost > 0).then_some(Output::Follow)),
            Input::Probed { tgt, outcome, report } => self.probed(now, tgt, outcome, report, out),
            Input::Heard { from, whole, held } => self.peer(now, from, whole, held),
        }
        self.look(now, out);
        self.tell(false, out);
    }

    fn list(&mut self, now: f64, list: List, out: &mut Vec<Output>) {
        const ASK_AGAIN: f64 = 0.5; // Doubled up to three times: inside what a silent node is held to know.
        let (whole, first) = (!matches!(list, List::Changes(_)), matches!(list, List::Kept(_)));
        let (List::Changes(entries) | List::Whole(entries) | List::Kept(entries)) = list else {
            self.list_lost += 1;
            out.extend((self.list_lost == 2).then(|| Output::Log("list of executors out of reach".into())));
            let wait = ASK_AGAIN * f64::from(1 << (self.list_lost - 1).min(3));
            return out.push(Output::Wake { after: wait * (0.5 + self.chance.draw()), timer: ASK });
        };
        self.list_lost = 0;
        if first {
            self.solved = now;
            out.push(Output::Wake { after: SOLVE_EVERY, timer: SOLVE });
            out.extend(self.set.must_ask.then_some(Output::Follow));
        }
        // Guards against an executor that was removed while this node did not hear: absent means gone.
        let absent = |t: &&mut Executor| whole && !entries.iter().any(|e| e.tgt == t.entry.tgt);
        self.tgts.iter_mut().filter(absent).for_each(|t| t.entry.standing = Standing::Gone);
        entries.into_iter().for_each(|entry| self.entry(now, entry, out));
        self.solve(now);
    }

    fn entry(&mut self, now: f64, entry: Entry, out: &mut Vec<Output>) {
        const GOOD_AT_START: f64 = 4.0; // Of an unknown executor: two failures in a row make it doubtful.
        while self.tgts.len() <= entry.tgt {
            let entry = Entry { tgt: self.tgts.len(), started: f64::NAN, ..Entry::default() };
            self.tgts.push(Executor { entry, ..Executor::default() });
        }
        let t = &mut self.tgts[entry.tgt];
        let drains = t.entry.standing == Standing::Ready && entry.standing == Standing::Draining;
        out.extend(drains.then(|| Output::Log(format!("executor {:04x} drains", entry.mark))));
        if t.entry.started != entry.started {
            // A new start time is a new process: what was known of the old one says nothing of it.
            let others = vec![0; self.peer_heard.len()];
            let (held, memory, good) = (t.held, t.memory, GOOD_AT_START);
            *t = Executor { held, memory, good, others, heard: now, turn: usize::MAX, ..Executor::default() };
        }
        t.entry = entry;
    }

    fn submitted(&mut self, now: f64, sub: Submission, out: &mut Vec<Output>) {
        const MEMORY_NEW: f64 = 0.02; // Weight of an invocation in the mean memory: some fifty.
        const WAIT: f64 = 0.5; // Of what could be spared on the mean: running times vary as much again.

        // An operation that the settings don't name may run nobody knows how; a client's last milliseconds (a
        // late retry) end before anything could be answered. Neither is sent.
        let op = self.set.operations.get(sub.operation).filter(|_| sub.timeout > BEFORE_END);
        let Some(op) = op else { return out.push(Output::Throttle { id: sub.id, pause: 0.0 }) };
        let class = &mut self.classes[sub.operation];
        class.arrived += 1.0;
        let hint = sub.hint.filter(|h| h.is_finite() && *h > 0.0).unwrap_or(1.0);
        let load = class.pace.map_or(op.objective, |pace| pace.exp() * hint);
        let memory = sub.memory.filter(|m| m.is_finite() && *m > 0.0).unwrap_or(0.0);
        self.memory += MEMORY_NEW * (memory - self.memory);
        // What it can wait and still be in time, if it then runs as its like do.
        let spare = WAIT * (op.objective + (op.stretch - 1.0) * load).max(0.5 * op.objective);
        // A client that comes back has less time left than one that comes first: its objective has run since.
        class.longest = class.longest.max(sub.timeout);
        let aim = now + spare - (class.longest - sub.timeout);
        let late = if op.late_value > 0.0 { op.objective + op.stretch * load } else { 0.0 };
        let tenant = sub.tenant.filter(|&tenant| tenant < self.tenants.len());
        let in_share = tenant.map_or(1.0, |tenant| {
            self.tenants[tenant].arrived += 1.0;
            let (rate, quota) = (self.tenants[tenant].rate, self.set.quotas[tenant] * self.part);
            (quota / rate.max(1e-3)).min(1.0)
        });
        let worth = in_share + (1.0 - in_share) * self.set.over_share_value;
        let end = now + sub.timeout;
        // A crossing waits for the part of its spare time that it would cost of the value it serves.
        let dear = self.set.cross_zone_price * self.value / self.value(sub.operation, load).max(1e-6);
        let until = (aim.max(now) + late).min(end - BEFORE_END);
        let (op, cross) = (sub.operation, now + dear * spare);
        let inv = Inv { op, worth, aim, until, end, hint, load, memory, cross, ..Inv::default() };
        self.invs.insert(sub.id, inv);
        self.queue(now, sub.id);
    }

    /// What serving it now adds to the operators' goal per second of a slot: its part of all billed value,
    /// and, while its operation is the worst served, that part of the goal too.
    fn press(&self, now: f64, inv: &Inv) -> f64 {
        const BEHIND: f64 = 0.25; // So far behind the best served an operation counts fully as the worst.
        let best = self.classes.iter().map(|c| c.timely).fold(0.0, f64::max);
        let (op, class) = (&self.set.operations[inv.op], &self.classes[inv.op]);
        let mut part = self.set.goal_whole / (self.value * self.phi).max(1e-6);
        if class.rate > 0.0 {
            let behind = ((best - class.timely) / BEHIND).clamp(0.0, 1.0);
            let usual = self.value(inv.op, class.pace.map_or(1.0, f64::exp));
            part += behind * self.set.goal_worst_operation / (class.rate * usual).max(1e-6);
        }
        let late = if now > inv.aim { op.late_value } else { 1.0 };
        part * self.value(inv.op, inv.load) * late * inv.worth / inv.load.max(1e-3)
    }

    fn value(&self, op: usize, load: f64) -> f64 {
        self.set.operations[op].value * if self.set.value_by_work { load } else { 1.0 }
    }

    fn queue(&mut self, now: f64, id: InvId) {
        let press = self.press(now, &self.invs[&id]);
        let at = self.waiting.partition_point(|other| self.invs.get(other).is_some_and(|o| o.press >= press));
        self.waiting.insert(at, id);
        self.invs.entry(id).and_modify(|inv| (inv.press, inv.late) = (press, now > inv.aim));
    }

    fn step(&mut self, now: f64, id: InvId, turn: Turn, out: &mut Vec<Output>) {
        const TIMELY_NEW: f64 = 0.02; // Weight of an invocation in what is sent in time: some fifty.
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(row) = TABLE.iter().find(|row| row.0 == inv.life && row.1 == turn) else { return };
        inv.life = row.2;
        let (effect, end) = (self.set.operations[inv.op].effect, inv.end);
        // Throttled clients are spread over the upper half of what they honour, not to return as one.
        let pause = self.set.max_pause * (0.5 + 0.5 * self.chance.draw());
        match (row.3, effect) {
            (Act::Keep, _) => return,
            (Act::Queue, _) => {
                self.queue(now, id);
                // A time-out at the client's own end leaves time for nothing but the answer.
                let turn = if now >= end - BEFORE_END { Turn::GaveUp } else { Turn::NotRun };
                return self.step(now, id, turn, out);
            }
            (Act::Close, _) => {}
            (Act::Throttle, _)
            | (Act::Answer, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. }) => {
                out.push(Output::Throttle { id, pause })
            }
            (Act::Answer, _) => out.push(Output::Error { id }),
        }
        self.waiting.retain(|&other| other != id);
        let in_time = inv.forwards.last().is_some_and(|f| turn == Turn::Finished && f.sent <= inv.aim);
        let class = &mut self.classes[inv.op];
        class.timely += TIMELY_NEW * (f64::from(u8::from(in_time)) - class.timely);
        let still_out =
            inv.forwards.iter().enumerate().filter(|f| f.1.fate == Fate::Out && self.set.cancelling);
        out.extend(still_out.map(|(forward, _)| Output::Withdraw { id, forward }));
        if inv.outs() == 0 {
            self.invs.remove(&id);
        }
    }

    fn settled(&mut self, now: f64, settled: Settled, out: &mut Vec<Output>) {
        const MISLED_NEW: f64 = 0.05; // Weight of an outcome in how often reports mislead: some twenty.
        let Settled { id, forward, outcome, took, ended, report } = settled;
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(fwd) = inv.forwards.get_mut(forward).filter(|f| f.fate == Fate::Out) else { return };
        let proven = matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::Moot);
        fwd.fate = if proven { Fate::NotRun } else { Fate::MayHaveRun };
        let (tgt, op, hint) = (fwd.tgt, inv.op, inv.hint);
        inv.drawn = None;
        let t = &mut self.tgts[tgt];
        t.held = t.held.saturating_sub(1);
        t.memory = if t.held == 0 { 0.0 } else { (t.memory - inv.memory).max(0.0) };
        t.running = t.running.saturating_sub(usize::from(fwd.started));
        match outcome {
            Outcome::Succeeded => Self::succeeded(now, t, &mut self.classes[op], took / hint, out),
            Outcome::Full => (t.refused, t.refusals) = (now, t.refusals + 1),
            Outcome::Cancelled | Outcome::Moot => {}
            // Nothing listens there: the next would lose the time of a connect as well.
            Outcome::Unreachable => t.failed(3.0, out),
            _ => t.failed(1.0, out),
        }
        let (outs, ran) = (inv.outs(), inv.anchor().is_some());
        if inv.life == Life::Ended && outs == 0 {
            self.invs.remove(&id);
        }
        // Full beside reported room: the report speaks of another time than now.
        let late = outcome == Outcome::Full && report.free >= Some(ONE) && report.queue < Some(0.5);
        self.misled += MISLED_NEW * (f64::from(u8::from(late)) - self.misled);
        self.report(now, tgt, report);
        match (ended || outcome == Outcome::Succeeded, outs) {
            (true, _) => self.step(now, id, Turn::Finished, out),
            (false, 1..) => {}
            (false, 0) => self.step(now, id, if ran { Turn::MayHaveRun } else { Turn::NotRun }, out),
        }
    }

    /// Only answers that succeeded count as latencies: an executor that fails fast must not look fast.
    fn succeeded(now: f64, t: &mut Executor, class: &mut Class, took: f64, out: &mut Vec<Output>) {
        const SLOW_NEW: f64 = 0.1; // Weight of a latency in its executor's mean: some ten answers.
        const PACE_NEW: f64 = 0.02; // And in its operation's: some fifty.
        const GOOD_MOST: f64 = 8.0; // The most successes that count, so that failures soon outweigh them.
        let log = took.max(1e-4).ln();
        let pace = class.pace.get_or_insert(log);
        let ratio = (log - *pace).clamp(-3.0, 3.0);
        *pace += PACE_NEW * (ratio - t.slow);
        t.slow += SLOW_NEW * (ratio - t.slow);
        t.woke(now);
        (t.sampled, t.refusals) = (now, 0);
        t.good = (t.good + 1.0).min(GOOD_MOST);
        t.judge(out);
    }

    fn alive(&mut self, now: f64, id: InvId, forward: usize) {
        let fwd = self.invs.get_mut(&id).and_then(|inv| inv.forwards.get_mut(forward));
        let Some(fwd) = fwd.filter(|f| f.fate == Fate::Out) else { return };
        let t = &mut self.tgts[fwd.tgt];
        t.running += usize::from(!std::mem::replace(&mut fwd.started, true));
        t.woke(now);
    }

    fn probed(&mut self, now: f64, tgt: Tgt, outcome: Outcome, report: Report, out: &mut Vec<Output>) {
        let Some(t) = self.tgts.get_mut(tgt) else { return };
        match outcome {
            Outcome::Succeeded => return self.report(now, tgt, report),
            Outcome::Full => {}
            // Half of a failure: a probe waits beside the work and may be late for small reasons.
            _ => t.failed(0.5, out),
        }
        (t.refused, t.refusals) = (now, t.refusals.max(1));
    }

    fn report(&mut self, now: f64, tgt: Tgt, report: Report) {
        const TOO_YOUNG: f64 = 0.03; // Forwards this young may be missing from a report: some round trips.
        const UTIL_NEW: f64 = 0.02; // Weight of a new report in the mean utilisation: some seconds' worth.
        let t = &mut self.tgts[tgt];
        let Some(free) = report.free else { return };
        let busy = report.inflight.zip(report.queue).map(|(inflight, queue)| (inflight - queue).max(0.0));
        // Without the number at work, the most ever seen free or at work is all that is known of the slots.
        let seen = busy.map_or(t.slots.max(t.running as f64), |busy| busy + free);
        t.slots = if busy.is_some() { seen.round().max(1.0) } else { seen.max(free.round()) };
        // Work queued beside free slots waits for memory, and all that is sent after waits too.
        (t.free, t.reported) = (if report.queue.unwrap_or(0.0) >= 0.5 { 0.0 } else { free }, now);
        let others = (report.inflight.unwrap_or(0.0) - t.held as f64).max(0.0) * self.memory;
        t.foreign = report.memory.map_or(others, |spare| (t.slots - spare - t.memory).max(0.0));
        t.unseen = if now - t.last_sent < TOO_YOUNG { 1.0 } else { 0.0 };
        let util = report.util.or((t.slots > 0.0).then(|| 1.0 - free / t.slots));
        self.util += UTIL_NEW * (util.unwrap_or(self.util).clamp(0.0, 1.0) - self.util);
    }

    /// Free slots that may be counted on; `None` when what is known is too old.
    fn room(&self, now: f64, t: &Executor) -> Option<f64> {
        const FREE_HOLDS: f64 = 0.1; // A report of room holds while few others can have sent there.
        const FULL_HOLDS: f64 = 0.25; // One of none a little longer: it errs only by waiting.
        const REFUSED_HOLDS: f64 = 0.2; // After a full answer, whatever reports say; doubled by each more.
        const MISLED: f64 = 0.07; // Two of the last twenty forwards misled: reports are too late to go by.
        const PASS: f64 = 1.5; // Without reports: yields above this multiple of the mean held, and one.
        if t.refusals > 0 && now - t.refused < REFUSED_HOLDS * f64::from(1 << (t.refusals - 1).min(5)) {
            return Some(0.0);
        }
        if self.set.peers && t.slots > 0.0 {
            return Some(t.slots - t.held as f64 - t.elsewhere());
        }
        if self.set.reports == Reports::Answers && self.set.probing && self.misled < MISLED {
            let room = t.free - t.unseen;
            let holds = if room >= ONE { FREE_HOLDS } else { FULL_HOLDS };
            return (t.slots > 0.0 && now - t.reported <= holds).then_some(room);
        }
        Some(PASS * self.held + 1.0 - t.held as f64)
    }

    /// A cold executor takes its budget from nodes in turn, by their number, each turn as long as the span
    /// the budget counts. A turn spends half, as any span may touch two of them.
    fn cold_room(&self, now: f64, t: &Executor, load: f64) -> bool {
        let (cold, share) = (&self.set.cold, t.warmth(now, &self.set.cold));
        if share >= 1.0 {
            return true;
        }
        let (turn, slots) = (self.turn(now, t), t.slots.max(1.0));
        let spent = if t.turn == turn { t.spent } else { 0.0 };
        turn % self.set.nodes.max(1) == self.set.me
            && spent + load <= 0.5 * cold.factor * share * slots * cold.fall
            && (t.held as f64) < (share * slots).max(1.0)
    }

    fn turn(&self, now: f64, t: &Executor) -> usize {
        ((now - t.entry.started).max(0.0) / self.set.cold.fall.max(1e-3)) as usize
    }

    /// Whether the rules let this invocation go there.
    fn may_go(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        const WINDOW_MARGIN: f64 = 0.1; // Off the end of the window: several times the way to an executor.
        let op = &self.set.operations[inv.op];
        t.entry.standing == Standing::Ready
            && op.kind.is_none_or(|kind| kind == t.entry.kind)
            && !inv.forwards.iter().any(|f| f.tgt == t.entry.tgt && f.fate != Fate::NotRun)
            && inv.anchor().is_none_or(|first| match op.effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => false,
                Effect::Deduplicated { group, window } => {
                    let other = &self.tgts[first.tgt].entry;
                    let same = match group {
                        Group::All => true,
                        Group::Zone => other.zone == t.entry.zone,
                        Group::Cell => other.cell == t.entry.cell,
                    };
                    same && now < first.sent + window - WINDOW_MARGIN
                }
            })
    }

    /// May go there, and is trusted to be answered. Doubtful or silent ones: only on the posterior's draw,
    /// and not with what could not be sent again.
    fn able(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        let again = self.set.operations[inv.op].effect != Effect::NonIdempotent;
        ((!t.doubtful && !t.silent) || (t.trial && again)) && self.may_go(now, inv, t)
    }

    /// Draws by beta, or evenly while all are zero.
    fn draw(&mut self, now: f64, id: InvId) -> Option<Tgt> {
        const TRIAL: f64 = 0.02; // Of the mean share, for a zero share: one in fifty keeps its figures alive.
        let point = self.chance.draw();
        let inv = &self.invs[&id];
        let able = || self.rank.iter().copied().filter(|&i| self.able(now, inv, &self.tgts[i]));
        let (many, sum) = able().fold((0, 0.0), |(n, sum), i| (n + 1, sum + self.tgts[i].beta));
        let least = if sum > 0.0 { TRIAL * sum / f64::from(many) } else { 1.0 };
        let share = |i: Tgt| self.tgts[i].beta.max(least);
        let mut left = point * able().map(share).sum::<f64>();
        able().find(|&i| {
            left -= share(i);
            left < 0.0
        })
    }

    fn place(&mut self, now: f64, id: InvId, out: &mut Vec<Output>) -> Place {
        const ASKED: usize = 2; // Executors asked for their state at a time.
        let inv = &self.invs[&id];
        let spent = inv.forwards.len() >= self.set.max_forwards;
        if spent || (inv.anchor().is_some() && !self.tgts.iter().any(|t| self.may_go(now, inv, t))) {
            return Place::Never;
        }
        let keeps = inv.drawn.filter(|&i| self.able(now, inv, &self.tgts[i]));
        let drawn = keeps.or_else(|| self.draw(now, id));
        let Some(first) = drawn else { return Place::Later };
        self.invs.entry(id).and_modify(|inv| inv.drawn = drawn);
        let inv = &self.invs[&id];
        let dear = self.set.cross_zone_price > 0.0;
        let next = self.rank.iter().filter(|&&i| i != first && self.tgts[i].beta > 0.0);
        let order = std::iter::once(&first).chain(next);
        let near = |i: &&Tgt| !dear || self.tgts[**i].entry.zone == self.set.zone;
        let order = order.clone().filter(near).chain(order.filter(|i| now >= inv.cross && !near(i)));
        let mut stale = Vec::new();
        let able = |t: &Executor| self.able(now, inv, t) && self.cold_room(now, t, inv.load);
        for &i in order.filter(|&&i| able(&self.tgts[i])) {
            let t = &self.tgts[i];
            let fits = t.slots <= 0.0 || t.memory + t.foreign + inv.memory <= t.slots;
            match self.room(now, t) {
                None => stale.push(i),
                Some(room) if room >= ONE && fits && stale.is_empty() => return Place::Here(i),
                Some(_) => {}
            }
        }
        stale.truncate(ASKED);
        for i in stale.into_iter().filter(|&i| now - self.tgts[i].asked > ASKED_HOLDS).collect::<Vec<_>>() {
            self.tgts[i].asked = now;
            out.push(Output::Probe(i));
        }
        Place::Later
    }

    fn send(&mut self, now: f64, id: InvId, tgt: Tgt, out: &mut Vec<Output>) {
        let turn = self.turn(now, &self.tgts[tgt]);
        let Some(inv) = self.invs.get_mut(&id) else { return };
        inv.forwards.push(Fwd { tgt, sent: now, fate: Fate::Out, started: false });
        let t = &mut self.tgts[tgt];
        t.memory += inv.memory;
        t.spent = inv.load + if t.turn == turn { t.spent } else { 0.0 };
        t.heard = if t.held == 0 { now } else { t.heard };
        (t.turn, t.held, t.unseen, t.last_sent, t.trial) = (turn, t.held + 1, t.unseen + 1.0, now, false);
        self.waiting.retain(|&other| other != id);
        out.push(Output::Forward { id, tgt });
        self.step(now, id, Turn::Sent, out);
    }

    /// Sends what waits, the most pressing first, while any executor has room or could be asked.
    fn look(&mut self, now: f64, out: &mut Vec<Output>) {
        const MISSES: usize = 6; // Looked at without finding a place: CPU is scarce where queues are long.
        const LOOK_EVERY: f64 = 0.025; // A few batches, and short beside any objective.
        let mut at = 0;
        while at < self.waiting.len().min(MISSES) {
            let open =
                |t: &Executor| self.room(now, t).map_or(now - t.asked > ASKED_HOLDS, |room| room >= ONE);
            if !self.rank.iter().any(|&i| open(&self.tgts[i])) {
                break;
            }
            let id = self.waiting[at];
            match self.place(now, id, out) {
                Place::Here(tgt) => self.send(now, id, tgt, out),
                Place::Later => at += 1,
                Place::Never => self.step(now, id, Turn::GaveUp, out),
            }
        }
        if !self.waiting.is_empty() && !self.looking {
            self.looking = true;
            out.push(Output::Wake { after: LOOK_EVERY, timer: LOOK });
        }
    }

    /// Puts back what is late now, and gives up what has waited for as long as that can pay.
    fn review(&mut self, now: f64, out: &mut Vec<Output>) {
        self.looking = false;
        for id in std::mem::take(&mut self.waiting) {
            let inv = &self.invs[&id];
            match (now >= inv.until, now > inv.aim && !inv.late) {
                (true, _) => self.step(now, id, Turn::GaveUp, out),
                (false, true) => self.queue(now, id),
                (false, false) => self.waiting.push(id),
            }
        }
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        const FORGET: f64 = 0.97; // Of remembered failures, each interval: half after six seconds.
        const PEER_SILENT: f64 = 3.0; // Three whole counts: a peer not heard for this long holds nothing.
        const TRY_AT: f64 = 0.7; // A doubtful one is tried when the draw is near what trusted ones reach.
        const PHI_NEW: f64 = 0.12; // Weight of the newest interval in phi: some two seconds.
        let passed = (now - self.solved).max(1e-3);
        (self.solved, self.solves) = (now, self.solves + 1);
        let new = if self.solves == 1 { 1.0 } else { PHI_NEW };
        for class in self.classes.iter_mut().chain(&mut self.tenants) {
            class.rate += new * (std::mem::take(&mut class.arrived) / passed - class.rate);
        }
        self.phi = self.classes.iter().map(|class| class.rate).sum();
        let usual = |(op, c): (usize, &Class)| c.rate * self.value(op, c.pace.map_or(1.0, f64::exp));
        self.value = self.classes.iter().enumerate().map(usual).sum::<f64>() / self.phi.max(1e-6);
        for from in (0..self.peer_heard.len()).filter(|&from| now - self.peer_heard[from] > PEER_SILENT) {
            self.tgts.iter_mut().for_each(|t| t.hold(from, 0));
        }
        // Silent: no sign for one and a half intervals, longer where starts are told and none was (queued).
        let limit = if self.set.progress > 0.0 { 1.5 * self.set.progress + 0.2 } else { 5.0 };
        for t in &mut self.tgts {
            t.bad *= FORGET;
            let (a, b) = (1 + t.good.round() as usize, 1 + t.bad.round().min(12.0) as usize);
            t.trial = (t.doubtful || t.silent) && self.chance.beta(a, b) >= TRY_AT;
            let limit = if self.set.tells_start && t.running == 0 { 2.5 * limit } else { limit };
            if t.held > 0 && now - t.heard > limit {
                (t.heard, t.silent) = (now, true);
                t.failed(2.0, out);
            }
            t.judge(out);
        }
        self.share_out();
        self.solve(now);
        self.sample(now, out);
        self.tell(self.solves.is_multiple_of(4), out);
        out.push(Output::Wake { after: SOLVE_EVERY, timer: SOLVE });
    }

    /// Tenants' shares are for all nodes: this node counts its part by what it holds of all that is at work.
    fn share_out(&mut self) {
        const PART_NEW: f64 = 0.025; // Weight of the newest interval in the part: some ten seconds.
        let own = |t: &Executor| t.held as f64;
        let held: f64 = self.tgts.iter().map(own).sum();
        let all = |t: &Executor| own(t) + if self.set.peers { t.elsewhere() } else { 0.0 };
        let seen = |t: &Executor| all(t).max(if self.set.peers { 0.0 } else { t.slots - t.free });
        let all: f64 = self.tgts.iter().map(seen).sum();
        self.part += PART_NEW * if all >= 1.0 { held / all - self.part } else { 0.0 };
    }

    /// Rates from own latencies and reports, then COOP, then the order of the pass.
    fn solve(&mut self, now: f64) {
        const DRIFT: f64 = 0.98; // Of an executor's difference from the mean, each interval without outcomes.
        const UNSAMPLED: f64 = 3.0; // Some invocations' time: so long without an own outcome, it drifts.
        let known = self.tgts.iter().map(|t| t.slots).filter(|slots| *slots > 0.0);
        let (many, slots) = known.fold((0.0, 0.0), |(n, sum), slots| (n + 1.0, sum + slots));
        let usual = if many > 0.0 { slots / many } else { 1.0 };
        for t in &mut self.tgts {
            t.slow *= if now - t.sampled > UNSAMPLED { DRIFT } else { 1.0 };
            let slots = if t.slots > 0.0 { t.slots } else { usual };
            (t.mu, t.beta) = (slots * t.warmth(now, &self.set.cold) * (-t.slow).exp(), 0.0);
        }
        let mut rank: Vec<Tgt> =
            (0..self.tgts.len()).filter(|&i| self.tgts[i].entry.standing == Standing::Ready).collect();
        // Scaled so that this node's arrivals load them as much as they report to be loaded.
        let sum: f64 = rank.iter().map(|&i| self.tgts[i].mu).sum();
        let scale = self.phi.max(1e-3) / self.util.clamp(0.05, 1.0) / sum.max(1e-9);
        rank.iter().for_each(|&i| self.tgts[i].mu *= scale);
        // Kinds are solved apart where an operation needs one, each with its part of phi.
        let apart = self.set.operations.iter().any(|op| op.kind.is_some());
        let mut kinds: Vec<usize> = rank.iter().map(|&i| self.tgts[i].entry.kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        for kind in kinds.into_iter().take(if apart { usize::MAX } else { 1 }) {
            let one = |i: &Tgt| !apart || self.tgts[*i].entry.kind == kind;
            let members: Vec<Tgt> = rank.iter().copied().filter(one).collect();
            let mu: Vec<f64> = members.iter().map(|&i| self.tgts[i].mu).collect();
            let phi = self.phi * mu.iter().sum::<f64>() / (sum * scale).max(1e-9);
            members.iter().zip(coop(&mu, phi)).for_each(|(&i, beta)| self.tgts[i].beta = beta);
        }
        rank.sort_by(|&a, &b| self.tgts[b].beta.total_cmp(&self.tgts[a].beta).then(a.cmp(&b)));
        self.held = rank.iter().map(|&i| self.tgts[i].held as f64).sum::<f64>() / rank.len().max(1) as f64;
        self.rank = rank;
    }

    /// Where only probes report, a few executors are probed each interval, those asked longest ago first:
    /// its slots are learned from what is free, and a probe without an answer tells of a hang.
    fn sample(&mut self, now: f64, out: &mut Vec<Output>) {
        const PROBE_EVERY: f64 = 3.0; // Each executor: four times rarer loses hangs, twice as often no gain.
        let part = self.rank.len() as f64 * SOLVE_EVERY / PROBE_EVERY;
        let many = if self.solves == 1 { usize::MAX } else { part.ceil() as usize };
        let mut order = self.rank.clone();
        order.sort_by(|&a, &b| self.tgts[a].asked.total_cmp(&self.tgts[b].asked));
        let asks = self.set.reports == Reports::Probes && self.set.probing;
        for i in order.into_iter().take(if asks { many } else { 0 }) {
            self.tgts[i].asked = now;
            out.push(Output::Probe(i));
        }
    }

    /// Tells the other nodes what this one holds: the counts that changed, or all of them.
    fn tell(&mut self, whole: bool, out: &mut Vec<Output>) {
        let mut held = Vec::new();
        for t in self.tgts.iter_mut().filter(|t| if whole { t.held > 0 } else { t.held != t.told }) {
            t.told = t.held;
            held.push((t.entry.mark, t.held.min(255) as u8));
        }
        if self.set.peers && (whole || !held.is_empty()) {
            out.push(Output::Tell { whole, held });
        }
    }

    fn peer(&mut self, now: f64, from: usize, whole: bool, held: Vec<(u16, u8)>) {
        let Some(heard) = self.peer_heard.get_mut(from) else { return };
        *heard = now;
        for t in &mut self.tgts {
            let told = held.iter().find(|told| told.0 == t.entry.mark).map(|told| told.1);
            if let Some(count) = told.or(whole.then_some(0)) {
                t.hold(from, count);
            }
        }
    }
}

const ONE: f64 = 0.9; // One free slot, allowing for noise in reports.
const ASKED_HOLDS: f64 = 0.1; // How long a probe's answer is waited for before the next.

#[cfg(test)]
mod tests;
