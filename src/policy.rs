//! Every decision of a coveroute node.
//!
//! How it is called: `Node::new(settings, seed)` once, then `handle(now, input, &mut outputs)` for each thing that
//! happens, in order; the caller carries out the outputs in order. Nothing here waits, reads a clock or does I/O.
//! Its interface, all inputs, outputs and settings, is `types.rs`; docs/design.md tells why it decides as it does.
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
    fn elsewhere(&self) -> f64 {
        self.others.iter().map(|&n| f64::from(n)).sum()
    }

    fn hold(&mut self, from: usize, count: u8) {
        self.others.iter_mut().skip(from).take(1).for_each(|n| *n = count);
    }

    /// The part of its capacity that an executor has at least.
    fn warmth(&self, now: f64, cold: &Cold) -> f64 {
        let age = (now - self.entry.started).max(0.0);
        let warm = self.entry.started <= 0.0 || age >= cold.warm;
        if warm {
            1.0
        } else {
            cold.start + (1.0 - cold.start) * age / cold.warm
        }
    }

    /// Doubtful below this mean of the posterior, trusted again a little above it.
    fn judge(&mut self, out: &mut Vec<Output>) {
        const DOUBT: f64 = 0.65;
        const TRUST: f64 = 0.75;
        let mean = (1.0 + self.good) / (2.0 + self.good + self.bad);
        let doubtful = mean < if self.doubtful { TRUST } else { DOUBT };
        if doubtful != self.doubtful {
            self.doubtful = doubtful;
            let words = if doubtful { "is doubtful" } else { "is trusted again" };
            out.push(Output::Log(format!("executor {:04x} {words}", self.entry.mark)));
        }
    }

    fn failed(&mut self, weight: f64, out: &mut Vec<Output>) {
        /// What a failure leaves of the successes remembered: two in a row outweigh them.
        const GOOD_LEFT: f64 = 0.7;
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
    tokens: Vec<f64>,
    peer_heard: Vec<f64>,
    phi: f64,
    util: f64,
    memory: f64,
    /// This node's part of the work that executors hold.
    part: f64,
    solved: f64,
    solves: usize,
    looking: bool,
    list_lost: u32,
}

/// How often the shares are re-solved: several times in the shortest running time met, cheap at any size.
const SOLVE_EVERY: f64 = 0.25;
/// Invocations a tenant may be ahead of its share at this node: a second or two of one that is over it.
const BURST: f64 = 8.0;
/// A held invocation is answered this long before the client gives up: several batches.
const BEFORE_END: f64 = 0.1;

impl Node {
    pub fn new(set: Settings, seed: u64) -> Self {
        let nodes = set.nodes.max(set.me + 1);
        Node {
            chance: Chance::new(seed),
            classes: vec![Class::default(); set.operations.len()],
            tokens: vec![BURST; set.quotas.len()],
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
            Input::Timer(_) if self.list_lost > 0 => out.push(Output::Follow),
            Input::Timer(_) => {}
            Input::Probed { tgt, outcome, report } => self.probed(now, tgt, outcome, report, out),
            Input::Heard { from, whole, held } => self.peer(now, from, whole, held),
        }
        self.look(now, out);
        self.tell(false, out);
    }

    fn list(&mut self, now: f64, list: List, out: &mut Vec<Output>) {
        /// First wait before the list is asked for again, doubled up to three times: well inside the interval
        /// in which a silent node is held to know what it never heard.
        const ASK_AGAIN: f64 = 0.5;
        let whole = !matches!(list, List::Changes(_));
        let first = matches!(list, List::Kept(_));
        let (List::Changes(entries) | List::Whole(entries) | List::Kept(entries)) = list else {
            self.list_lost += 1;
            if self.list_lost == 2 {
                out.push(Output::Log("list of executors out of reach".into()));
            }
            let wait = ASK_AGAIN * f64::from(1 << (self.list_lost - 1).min(3));
            return out.push(Output::Wake { after: wait * (0.5 + self.chance.draw()), timer: ASK });
        };
        self.list_lost = 0;
        if first {
            self.solved = now;
            out.push(Output::Wake { after: SOLVE_EVERY, timer: SOLVE });
            if self.set.must_ask {
                out.push(Output::Follow);
            }
        }
        // Guards against an executor that was removed while this node did not hear: absent means gone.
        for t in self.tgts.iter_mut().filter(|t| whole && !entries.iter().any(|e| e.tgt == t.entry.tgt)) {
            t.entry.standing = Standing::Gone;
        }
        entries.into_iter().for_each(|entry| self.entry(now, entry, out));
        self.solve(now);
    }

    fn entry(&mut self, now: f64, entry: Entry, out: &mut Vec<Output>) {
        /// Successes granted to an executor nothing is known of: two failures in a row make it doubtful.
        const GOOD_AT_START: f64 = 4.0;
        while self.tgts.len() <= entry.tgt {
            let entry = Entry { tgt: self.tgts.len(), started: f64::NAN, ..Entry::default() };
            self.tgts.push(Executor { entry, ..Executor::default() });
        }
        let t = &mut self.tgts[entry.tgt];
        if t.entry.standing == Standing::Ready && entry.standing == Standing::Draining {
            out.push(Output::Log(format!("executor {:04x} drains", entry.mark)));
        }
        if t.entry.started != entry.started {
            // A new start time is a new process: what was known of the old one says nothing of it.
            let others = vec![0; self.peer_heard.len()];
            let (held, memory, good) = (t.held, t.memory, GOOD_AT_START);
            *t = Executor { held, memory, good, others, heard: now, turn: usize::MAX, ..Executor::default() };
        }
        t.entry = entry;
    }

    fn submitted(&mut self, now: f64, sub: Submission, out: &mut Vec<Output>) {
        /// Weight of an invocation in the mean memory: some fifty.
        const MEMORY_NEW: f64 = 0.02;
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
        let spare = (op.objective + (op.stretch - 1.0) * load).max(0.5 * op.objective);
        let late = if op.late_value > 0.0 { op.objective + op.stretch * load } else { 0.0 };
        let mut over = false;
        if let Some(tokens) = sub.tenant.and_then(|tenant| self.tokens.get_mut(tenant)) {
            over = *tokens < 1.0;
            *tokens -= if over { 0.0 } else { 1.0 };
        }
        let end = now + sub.timeout;
        let (aim, until) = (now + spare, (now + spare + late).min(end - BEFORE_END));
        let inv = Inv { op: sub.operation, over, aim, until, end, hint, load, memory, ..Inv::default() };
        self.invs.insert(sub.id, inv);
        self.queue(now, sub.id);
    }

    /// What serving it now adds to the operators' goal for each second of a slot: its part of all billed value,
    /// and, while its operation is the worst served, that part of the goal too.
    fn press(&self, now: f64, inv: &Inv) -> f64 {
        /// So far behind the best served, an operation counts fully as the worst: a quarter of its traffic.
        const BEHIND: f64 = 0.25;
        let worth = |op: usize, load: f64| {
            self.set.operations[op].value * if self.set.value_by_work { load } else { 1.0 }
        };
        let load_of = |c: &Class| c.pace.map_or(1.0, f64::exp);
        let all: f64 = self.classes.iter().enumerate().map(|(op, c)| c.rate * worth(op, load_of(c))).sum();
        let best = self.classes.iter().map(|c| c.timely).fold(0.0, f64::max);
        let (op, class) = (&self.set.operations[inv.op], &self.classes[inv.op]);
        let mut part = self.set.goal_whole / all.max(1e-6);
        if class.rate > 0.0 {
            let behind = ((best - class.timely) / BEHIND).clamp(0.0, 1.0);
            part += behind * self.set.goal_worst_operation
                / (class.rate * worth(inv.op, load_of(class))).max(1e-6);
        }
        let late = if now > inv.aim { op.late_value } else { 1.0 };
        let over = if inv.over { self.set.over_share_value } else { 1.0 };
        part * worth(inv.op, inv.load) * late * over / inv.load.max(1e-3)
    }

    fn queue(&mut self, now: f64, id: InvId) {
        let press = self.press(now, &self.invs[&id]);
        let at = self.waiting.partition_point(|other| self.invs.get(other).is_some_and(|o| o.press >= press));
        self.waiting.insert(at, id);
        if let Some(inv) = self.invs.get_mut(&id) {
            (inv.press, inv.drawn) = (press, None);
        }
    }

    fn step(&mut self, now: f64, id: InvId, turn: Turn, out: &mut Vec<Output>) {
        /// Weight of an invocation in the part of its operation that is sent in time: some fifty.
        const TIMELY_NEW: f64 = 0.02;
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
                return if now >= end - BEFORE_END {
                    self.step(now, id, Turn::GaveUp, out)
                };
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
        for (forward, fwd) in inv.forwards.iter().enumerate() {
            if fwd.fate == Fate::Out && self.set.cancelling {
                out.push(Output::Withdraw { id, forward });
            }
        }
        if inv.outs() == 0 {
            self.invs.remove(&id);
        }
    }

    fn settled(&mut self, now: f64, settled: Settled, out: &mut Vec<Output>) {
        let Settled { id, forward, outcome, took, ended, report } = settled;
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(fwd) = inv.forwards.get_mut(forward).filter(|f| f.fate == Fate::Out) else { return };
        let proven = matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::Moot);
        fwd.fate = if proven { Fate::NotRun } else { Fate::MayHaveRun };
        let (tgt, op, hint) = (fwd.tgt, inv.op, inv.hint);
        let t = &mut self.tgts[tgt];
        t.held = t.held.saturating_sub(1);
        t.memory = if t.held == 0 { 0.0 } else { (t.memory - inv.memory).max(0.0) };
        t.running = t.running.saturating_sub(usize::from(fwd.started));
        match outcome {
            Outcome::Succeeded => Self::succeeded(now, t, &mut self.classes[op], took / hint, out),
            Outcome::Full => t.refused = now,
            Outcome::Errored | Outcome::Reset | Outcome::Unreachable | Outcome::TimedOut => {
                t.failed(1.0, out)
            }
            Outcome::Cancelled | Outcome::Moot => {}
        }
        let (outs, ran) = (inv.outs(), inv.anchor().is_some());
        if inv.life == Life::Ended && outs == 0 {
            self.invs.remove(&id);
        }
        self.report(now, tgt, report);
        match (ended || outcome == Outcome::Succeeded, outs) {
            (true, _) => self.step(now, id, Turn::Finished, out),
            (false, 1..) => {}
            (false, 0) => self.step(now, id, if ran { Turn::MayHaveRun } else { Turn::NotRun }, out),
        }
    }

    /// Only answers that succeeded count as latencies: an executor that fails fast must not look fast.
    fn succeeded(now: f64, t: &mut Executor, class: &mut Class, took: f64, out: &mut Vec<Output>) {
        /// Weights of a new latency: an executor's mean over some ten answers, an operation's over fifty.
        const SLOW_NEW: f64 = 0.1;
        const PACE_NEW: f64 = 0.02;
        /// The most successes that count, so that failures soon outweigh them.
        const GOOD_MOST: f64 = 8.0;
        let log = took.max(1e-4).ln();
        let pace = class.pace.get_or_insert(log);
        let ratio = (log - *pace).clamp(-3.0, 3.0);
        *pace += PACE_NEW * (ratio - t.slow);
        t.slow += SLOW_NEW * (ratio - t.slow);
        (t.sampled, t.heard, t.silent) = (now, now, false);
        t.good = (t.good + 1.0).min(GOOD_MOST);
        t.judge(out);
    }

    fn alive(&mut self, now: f64, id: InvId, forward: usize) {
        let fwd = self.invs.get_mut(&id).and_then(|inv| inv.forwards.get_mut(forward));
        let Some(fwd) = fwd.filter(|f| f.fate == Fate::Out) else { return };
        let t = &mut self.tgts[fwd.tgt];
        t.running += usize::from(!std::mem::replace(&mut fwd.started, true));
        (t.heard, t.silent) = (now, false);
    }

    fn probed(&mut self, now: f64, tgt: Tgt, outcome: Outcome, report: Report, out: &mut Vec<Output>) {
        let Some(t) = self.tgts.get_mut(tgt) else { return };
        match outcome {
            Outcome::Succeeded => self.report(now, tgt, report),
            Outcome::Full => t.refused = now,
            // Half of a failure: a probe waits beside the work and may be late for small reasons.
            _ => {
                t.refused = now;
                t.failed(0.5, out);
            }
        }
    }

    fn report(&mut self, now: f64, tgt: Tgt, report: Report) {
        /// Forwards this young may be missing from a report: some round trips and refreshes.
        const TOO_YOUNG: f64 = 0.03;
        /// Weight of a new report in the mean utilisation: some seconds' worth.
        const UTIL_NEW: f64 = 0.02;
        let t = &mut self.tgts[tgt];
        let Some(free) = report.free else { return };
        let busy = report.inflight.zip(report.queue).map(|(inflight, queue)| (inflight - queue).max(0.0));
        // Without the number at work, the most ever seen free or at work is all that is known of the slots.
        let seen = busy.map_or(t.slots.max(t.running as f64), |busy| busy + free);
        t.slots = if busy.is_some() { seen.round().max(1.0) } else { seen.max(free.round()) };
        // Work in an executor's queue beside free slots waits for memory, and all that is sent after waits too.
        (t.free, t.reported) = (if report.queue.unwrap_or(0.0) >= 0.5 { 0.0 } else { free }, now);
        let others = (report.inflight.unwrap_or(0.0) - t.held as f64).max(0.0) * self.memory;
        t.foreign = report.memory.map_or(others, |spare| (t.slots - spare - t.memory).max(0.0));
        t.unseen = if now - t.last_sent < TOO_YOUNG { 1.0 } else { 0.0 };
        let util = report.util.or((t.slots > 0.0).then(|| 1.0 - free / t.slots));
        self.util += UTIL_NEW * (util.unwrap_or(self.util).clamp(0.0, 1.0) - self.util);
    }

    /// Free slots that may be counted on; `None` when what is known is too old.
    fn room(&self, now: f64, t: &Executor) -> Option<f64> {
        /// A report of free slots holds as long as few others send there, one of none a little longer.
        const FREE_HOLDS: f64 = 0.1;
        const FULL_HOLDS: f64 = 0.25;
        /// After a forward came back full, whatever reports say: what it lacks may not be slots.
        const REFUSED_HOLDS: f64 = 0.2;
        /// Without reports: an executor yields above this multiple of the mean forwards held, and one more.
        const PASS: f64 = 1.5;
        if t.refused > 0.0 && now - t.refused < REFUSED_HOLDS {
            return Some(0.0);
        }
        if self.set.peers && t.slots > 0.0 {
            return Some(t.slots - t.held as f64 - t.elsewhere());
        }
        if self.set.reports == Reports::Answers && self.set.probing {
            let room = t.free - t.unseen;
            let holds = if room >= ONE { FREE_HOLDS } else { FULL_HOLDS };
            return (t.slots > 0.0 && now - t.reported <= holds).then_some(room);
        }
        let held: usize = self.rank.iter().map(|&i| self.tgts[i].held).sum();
        Some(PASS * held as f64 / self.rank.len().max(1) as f64 + 1.0 - t.held as f64)
    }

    /// A cold executor takes its budget from nodes in turn, by their number, each turn as long as the span
    /// the budget counts. A turn spends half, as any span may touch two of them.
    fn cold_room(&self, now: f64, t: &Executor, load: f64) -> bool {
        let (cold, share) = (&self.set.cold, t.warmth(now, &self.set.cold));
        if share >= 1.0 {
            return true;
        }
        let turn = self.turn(now, t);
        let slots = t.slots.max(1.0);
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
        /// Kept off the end of the window in which repeats are dropped: several times the way there.
        const WINDOW_MARGIN: f64 = 0.1;
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

    /// May go there, and is trusted to be answered. Doubtful or silent executors: only on the posterior's draw,
    /// and not with what could not be sent again.
    fn able(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        let again = self.set.operations[inv.op].effect != Effect::NonIdempotent;
        ((!t.doubtful && !t.silent) || (t.trial && again)) && self.may_go(now, inv, t)
    }

    /// Draws by beta, or evenly while all are zero.
    fn draw(&mut self, now: f64, id: InvId) -> Option<Tgt> {
        /// What a zero share is tried with, as a part of the mean share: one in fifty keeps its figures alive.
        const TRIAL: f64 = 0.02;
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
        /// A crossing at this price or dearer (a part of an invocation's billed value) goes after the own zone.
        const CROSSING_DEAR: f64 = 0.03;
        /// Executors asked for their state at a time.
        const ASKED: usize = 2;
        let inv = &self.invs[&id];
        let spent = inv.forwards.len() >= self.set.max_forwards;
        if spent || (inv.anchor().is_some() && !self.tgts.iter().any(|t| self.may_go(now, inv, t))) {
            return Place::Never;
        }
        let keeps = inv.drawn.filter(|&i| self.able(now, inv, &self.tgts[i]));
        let Some(first) = keeps.or_else(|| self.draw(now, id)) else { return Place::Later };
        if let Some(inv) = self.invs.get_mut(&id) {
            inv.drawn = Some(first);
        }
        let inv = &self.invs[&id];
        let from = self.rank.iter().position(|&i| i == first).unwrap_or(0);
        let dear = self.set.cross_zone_price >= CROSSING_DEAR;
        let order = self.rank[from..].iter().chain(&self.rank[..from]);
        let near = |i: &&Tgt| !dear || self.tgts[**i].entry.zone == self.set.zone;
        let order = order.clone().filter(near).chain(order.filter(|i| !near(i)));
        let mut stale = [None; ASKED];
        let mut asks = 0;
        for &i in order {
            let t = &self.tgts[i];
            if !self.able(now, inv, t) || !self.cold_room(now, t, inv.load) {
                continue;
            }
            let fits = t.slots <= 0.0 || t.memory + t.foreign + inv.memory <= t.slots;
            match self.room(now, t) {
                Some(room) if room >= ONE && fits && asks == 0 => return Place::Here(i),
                Some(_) => {}
                None => {
                    stale[asks] = Some(i);
                    asks += 1;
                }
            }
            if asks == ASKED {
                break;
            }
        }
        for i in stale.into_iter().flatten() {
            if now - self.tgts[i].asked > ASKED_HOLDS {
                self.tgts[i].asked = now;
                out.push(Output::Probe(i));
            }
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
        /// How soon what waits is looked at again: a few batches, and short beside any objective.
        const LOOK_EVERY: f64 = 0.025;
        let mut at = 0;
        while at < self.waiting.len() {
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

    /// Orders anew what waits, and gives up what has waited for as long as that can pay.
    fn review(&mut self, now: f64, out: &mut Vec<Output>) {
        self.looking = false;
        for id in std::mem::take(&mut self.waiting) {
            let late = self.invs.get(&id).is_none_or(|inv| now >= inv.until);
            match late {
                true => self.step(now, id, Turn::GaveUp, out),
                false => {
                    let press = self.press(now, &self.invs[&id]);
                    self.waiting.push(id);
                    self.invs.entry(id).and_modify(|inv| inv.press = press);
                }
            }
        }
        let press = |id: &InvId| self.invs.get(id).map_or(0.0, |inv| inv.press);
        self.waiting.sort_by(|a, b| press(b).total_cmp(&press(a)));
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        /// What an interval leaves of remembered failures: half after some six seconds.
        const FORGET: f64 = 0.97;
        /// A peer not heard for this long, three whole counts, is taken to hold nothing.
        const PEER_SILENT: f64 = 3.0;
        /// Weight of the newest interval in phi: some two seconds.
        const PHI_NEW: f64 = 0.12;
        let passed = (now - self.solved).max(1e-3);
        (self.solved, self.solves) = (now, self.solves + 1);
        let new = if self.solves == 1 { 1.0 } else { PHI_NEW };
        for class in &mut self.classes {
            class.rate += new * (std::mem::take(&mut class.arrived) / passed - class.rate);
        }
        self.phi = self.classes.iter().map(|class| class.rate).sum();
        for (from, heard) in
            self.peer_heard.iter().enumerate().filter(|(_, heard)| now - **heard > PEER_SILENT)
        {
            let _ = heard;
            self.tgts.iter_mut().for_each(|t| t.hold(from, 0));
        }
        // Executors tell their work's progress: silent beyond one interval and a half, it stands still. Where
        // starts are told and none was, the work may just be queued.
        let limit = if self.set.progress > 0.0 { 1.5 * self.set.progress + 0.2 } else { 5.0 };
        for t in &mut self.tgts {
            t.bad *= FORGET;
            let (a, b) = (1 + t.good.round() as usize, 1 + t.bad.round().min(12.0) as usize);
            t.trial = (t.doubtful || t.silent) && self.chance.beta(a, b) >= 0.5;
            let limit = if self.set.tells_start && t.running == 0 { 2.5 * limit } else { limit };
            if t.held > 0 && now - t.heard > limit {
                (t.heard, t.silent) = (now, true);
                t.failed(2.0, out);
            }
            if t.doubtful {
                t.judge(out);
            }
        }
        self.share_out(passed);
        self.solve(now);
        self.rescue(now, out);
        self.sample(now, out);
        if self.solves.is_multiple_of(4) {
            self.tell(true, out);
        }
        out.push(Output::Wake { after: SOLVE_EVERY, timer: SOLVE });
    }

    /// Tenants' shares are for all nodes: this node counts its part by what it holds of all that is at work.
    fn share_out(&mut self, passed: f64) {
        /// Weight of the newest interval in the part: some ten seconds.
        const PART_NEW: f64 = 0.025;
        let held: f64 = self.tgts.iter().map(|t| t.held as f64).sum();
        let seen = |t: &Executor| match self.set.peers {
            true => t.held as f64 + t.elsewhere(),
            false => (t.slots - t.free).max(t.held as f64),
        };
        let all: f64 = self.tgts.iter().map(seen).sum();
        if all >= 1.0 {
            self.part += PART_NEW * (held / all - self.part);
        }
        for (tokens, quota) in self.tokens.iter_mut().zip(&self.set.quotas) {
            *tokens = (*tokens + passed * quota * self.part).min(BURST);
        }
    }

    /// Rates from own latencies and reports, then COOP, then the order of the pass.
    fn solve(&mut self, now: f64) {
        /// What an interval without own outcomes leaves of an executor's difference from the mean.
        const DRIFT: f64 = 0.98;
        const UNSAMPLED: f64 = 3.0;
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
        self.rank = rank;
    }

    /// A second copy for what an executor gone silent holds, where the operation allows it and room is known.
    fn rescue(&mut self, now: f64, out: &mut Vec<Output>) {
        let stuck = |inv: &Inv| {
            let pays = self.set.operations[inv.op].late_value > 0.0 || now < inv.aim;
            let silent = |f: &Fwd| f.fate != Fate::Out || self.tgts[f.tgt].silent;
            inv.life == Life::Out && pays && now < inv.end && inv.forwards.iter().all(silent)
        };
        if !self.set.second_copies || !self.tgts.iter().any(|t| t.silent) {
            return;
        }
        let ids: Vec<InvId> = self.invs.iter().filter(|(_, inv)| stuck(inv)).map(|(&id, _)| id).collect();
        for id in ids {
            if let Place::Here(tgt) = self.place(now, id, out) {
                self.send(now, id, tgt, out);
            }
        }
    }

    /// Where only probes report, nodes probe in turn, the executor first whose report is oldest.
    fn sample(&mut self, now: f64, out: &mut Vec<Output>) {
        let (first, nodes) = (self.solves == 1, self.set.nodes.max(1));
        let due = first || self.solves % nodes == self.set.me % nodes;
        if self.set.reports != Reports::Probes || !self.set.probing || !due {
            return;
        }
        let mut order = self.rank.clone();
        order.sort_by(|&a, &b| self.tgts[a].asked.total_cmp(&self.tgts[b].asked));
        for &i in order.iter().take(if first { usize::MAX } else { 1 }) {
            self.tgts[i].asked = now;
            out.push(Output::Probe(i));
        }
    }

    /// Tells the other nodes what this one holds: the counts that changed, or all of them.
    fn tell(&mut self, whole: bool, out: &mut Vec<Output>) {
        if !self.set.peers || self.set.nodes < 2 {
            return;
        }
        let mut held = Vec::new();
        for t in self.tgts.iter_mut().filter(|t| if whole { t.held > 0 } else { t.held != t.told }) {
            t.told = t.held;
            held.push((t.entry.mark, t.held.min(255) as u8));
        }
        if whole || !held.is_empty() {
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

/// One free slot, allowing for noise in reports.
const ONE: f64 = 0.9;
/// How long a probe's answer is waited for before the executor may be asked again.
const ASKED_HOLDS: f64 = 0.1;

#[cfg(test)]
mod tests;
