//! Every decision of a coveroute node.
//!
//! How it is called: `Node::new(settings, seed)` once, then `handle(now, input, &mut outputs)` for each thing that
//! happens, in order; the caller carries out the outputs in order. Nothing here waits, reads a clock or does I/O.
//! Its interface, all inputs, outputs and settings, is `types.rs`; docs/design.md tells why it decides as it does.
use std::collections::BTreeMap;

use crate::types::*;

/// Timers: the solve, another look at what waits, asking again for the list.
const SOLVE: u64 = 0;
const LOOK: u64 = 1;
const ASK: u64 = 2;

/// Where an invocation stands. `Suspect`: nothing is out, but an earlier forward may have run.
/// `Again`: out, and an earlier forward may have run or is out too.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Life {
    Waiting,
    Out,
    Suspect,
    Again,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Turn {
    Sent,
    Served,
    /// Nothing is out any more and nothing can have run.
    NotRun,
    /// Nothing is out any more and something may have run.
    MayHaveRun,
    /// One forward ended, another is out.
    OneLess,
    GaveUp,
    ClientLeft,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Keep,
    Queue,
    Forget,
    Throttle,
    /// Throttle where the operation allows it after a forward that may have run, else error.
    Answer,
}

/// State, input, next state, effect. What is not listed changes nothing: late, double or unknown events.
const TABLE: [(Life, Turn, Life, Act); 20] = [
    (Life::Waiting, Turn::Sent, Life::Out, Act::Keep),
    (Life::Suspect, Turn::Sent, Life::Again, Act::Keep),
    (Life::Out, Turn::Sent, Life::Again, Act::Keep),
    (Life::Again, Turn::Sent, Life::Again, Act::Keep),
    (Life::Out, Turn::Served, Life::Ended, Act::Forget),
    (Life::Again, Turn::Served, Life::Ended, Act::Forget),
    (Life::Out, Turn::NotRun, Life::Waiting, Act::Queue),
    (Life::Out, Turn::MayHaveRun, Life::Suspect, Act::Queue),
    (Life::Again, Turn::NotRun, Life::Waiting, Act::Queue),
    (Life::Again, Turn::MayHaveRun, Life::Suspect, Act::Queue),
    (Life::Again, Turn::OneLess, Life::Again, Act::Keep),
    (Life::Waiting, Turn::GaveUp, Life::Ended, Act::Throttle),
    (Life::Suspect, Turn::GaveUp, Life::Ended, Act::Answer),
    (Life::Waiting, Turn::ClientLeft, Life::Ended, Act::Forget),
    (Life::Out, Turn::ClientLeft, Life::Ended, Act::Forget),
    (Life::Suspect, Turn::ClientLeft, Life::Ended, Act::Forget),
    (Life::Again, Turn::ClientLeft, Life::Ended, Act::Forget),
    (Life::Waiting, Turn::Served, Life::Ended, Act::Forget),
    (Life::Suspect, Turn::Served, Life::Ended, Act::Forget),
    (Life::Ended, Turn::OneLess, Life::Ended, Act::Keep),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Out,
    NotRun,
    MayHaveRun,
}

#[derive(Clone, Debug)]
struct Fwd {
    tgt: Tgt,
    sent: f64,
    fate: Fate,
}

#[derive(Clone, Debug)]
struct Inv {
    op: usize,
    life: Life,
    /// Beyond its tenant's share: served after all others.
    over: bool,
    /// In time if it is sent before `aim`; given up while it waits after `until`; client timeout at `end`.
    aim: f64,
    until: f64,
    end: f64,
    hint: f64,
    drawn: Option<Tgt>,
    forwards: Vec<Fwd>,
}

impl Inv {
    fn outs(&self) -> usize {
        self.forwards.iter().filter(|f| f.fate == Fate::Out).count()
    }
    /// The first forward that may have run: its group and time bind all further ones.
    fn anchor(&self) -> Option<&Fwd> {
        self.forwards.iter().find(|f| f.fate != Fate::NotRun)
    }
}

/// What is known of one executor.
#[derive(Clone, Debug)]
struct Executor {
    entry: Entry,
    mu: f64,
    beta: f64,
    /// Smoothed log of own latency over what the same operation takes elsewhere.
    slow: f64,
    sampled: f64,
    /// Slots, 0 while unknown; free slots as last reported, and own forwards that report can't have seen.
    slots: f64,
    free: f64,
    unseen: f64,
    reported: f64,
    asked: f64,
    /// Own forwards out, and the other nodes' where they tell.
    held: usize,
    told: usize,
    others: Vec<u8>,
    last_sent: f64,
    /// Last sign of life, or when the forward was sent that broke idleness.
    heard: f64,
    silent: bool,
    good: f64,
    bad: f64,
    doubtful: bool,
    /// The posterior's last draw lets one trial through.
    trial: bool,
    turn: usize,
    spent: f64,
}

impl Executor {
    fn new(entry: Entry, nodes: usize) -> Self {
        let others = vec![0; nodes];
        let long_ago = f64::NEG_INFINITY;
        Executor {
            entry,
            mu: 0.0,
            beta: 0.0,
            slow: 0.0,
            sampled: long_ago,
            slots: 0.0,
            free: 0.0,
            unseen: 0.0,
            reported: long_ago,
            asked: long_ago,
            held: 0,
            told: 0,
            others,
            last_sent: long_ago,
            heard: 0.0,
            silent: false,
            good: GOOD_AT_START,
            bad: 0.0,
            doubtful: false,
            trial: false,
            turn: usize::MAX,
            spent: 0.0,
        }
    }
    fn elsewhere(&self) -> f64 {
        self.others.iter().map(|&n| f64::from(n)).sum()
    }
}

/// Successes remembered of an executor nothing is known of, and the most that count: few, so that two failures
/// in a row make it doubtful.
const GOOD_AT_START: f64 = 4.0;
const GOOD_MOST: f64 = 8.0;

/// Multiply-with-carry (Marsaglia's factor for 32 bits).
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
    /// A draw from Beta(a, b), whole a and b: the a-th smallest of a + b - 1 even draws.
    fn beta(&mut self, a: usize, b: usize) -> f64 {
        let mut draws: Vec<f64> = (0..a + b - 1).map(|_| self.next()).collect();
        draws.sort_by(f64::total_cmp);
        draws[a - 1]
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
        let left = (n - 1) as f64;
        c = (c - mu[order[n - 1]] / n as f64) * n as f64 / left;
        n -= 1;
    }
    let mut beta = vec![0.0; mu.len()];
    for &i in &order[..n] {
        beta[i] = (mu[i] - c).max(0.0);
    }
    beta
}

/// Where an invocation can go now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Here(Tgt),
    /// None has room that is known of, or its state is being asked.
    Later,
    /// No executor may take it, now or later.
    Never,
}

pub struct Node {
    set: Settings,
    chance: Chance,
    tgts: Vec<Option<Executor>>,
    /// Executors by share, the largest first.
    rank: Vec<Tgt>,
    invs: BTreeMap<InvId, Inv>,
    waiting: Vec<InvId>,
    /// Smoothed log of each operation's latency (per second of hint where there is one).
    pace: Vec<Option<f64>>,
    phi: f64,
    arrived: f64,
    util: f64,
    solved: f64,
    solves: usize,
    tokens: Vec<f64>,
    peer_heard: Vec<f64>,
    looking: bool,
    list_lost: usize,
}

impl Node {
    pub fn new(set: Settings, seed: u64) -> Self {
        let (ops, tenants, nodes) = (set.operations.len(), set.quotas.len(), set.nodes.max(set.me + 1));
        Node {
            chance: Chance((seed % 0x7fff_ffff_ffff) | 1),
            tgts: Vec::new(),
            rank: Vec::new(),
            invs: BTreeMap::new(),
            waiting: Vec::new(),
            pace: vec![None; ops],
            phi: 0.0,
            arrived: 0.0,
            util: 0.5,
            solved: 0.0,
            solves: 0,
            tokens: vec![BURST; tenants],
            peer_heard: vec![0.0; nodes],
            looking: false,
            list_lost: 0,
            set,
        }
    }

    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::List(list) => self.list(now, list, out),
            Input::Submitted(sub) => self.submitted(now, sub, out),
            Input::Settled { id, forward, outcome, took, ended, report } => {
                self.settled(now, (id, forward), outcome, took, ended, report, out)
            }
            Input::Alive { id, forward } => self.alive(now, id, forward),
            Input::Expired(id) => self.step(now, id, Turn::ClientLeft, out),
            Input::Timer(SOLVE) => self.tick(now, out),
            Input::Timer(LOOK) => self.looking = false,
            Input::Timer(_) if self.list_lost > 0 => out.push(Output::Follow),
            Input::Timer(_) => return,
            Input::Probed { tgt, outcome, report } => self.probed(now, tgt, outcome, report, out),
            Input::Heard { from, text } => self.peer(now, from, &text),
        }
        self.look(now, out);
        self.tell(false, out);
    }

    // ---- the list ----

    fn list(&mut self, now: f64, list: List, out: &mut Vec<Output>) {
        /// First wait before the list is asked for again, doubled at each failure up to 8 times: well inside
        /// the interval in which a silent node is held to know what it never heard.
        const ASK_AGAIN: f64 = 0.5;
        if matches!(list, List::Lost) {
            self.list_lost += 1;
            if self.list_lost == 2 {
                out.push(Output::Log("list of executors out of reach".into()));
            }
            let wait = ASK_AGAIN * f64::from(1 << (self.list_lost - 1).min(3));
            out.push(Output::Wake { after: wait * (0.5 + self.chance.next()), timer: ASK });
            return;
        }
        self.list_lost = 0;
        if let List::Kept(_) = list {
            self.solved = now;
            out.push(Output::Wake { after: SOLVE_EVERY, timer: SOLVE });
            if self.set.must_ask {
                out.push(Output::Follow);
            }
        }
        let whole = !matches!(list, List::Changes(_));
        let (List::Changes(entries) | List::Whole(entries) | List::Kept(entries)) = list else { return };
        if whole {
            // Guards against an executor that was removed while this node did not hear: absent means gone.
            for tgt in self.tgts.iter_mut().flatten() {
                if !entries.iter().any(|e| e.tgt == tgt.entry.tgt) {
                    tgt.entry.standing = Standing::Gone;
                }
            }
        }
        for entry in entries {
            self.entry(now, entry, out);
        }
        self.solve(now);
    }

    fn entry(&mut self, now: f64, entry: Entry, out: &mut Vec<Output>) {
        let nodes = self.peer_heard.len();
        let at = entry.tgt;
        if self.tgts.len() <= at {
            self.tgts.resize(at + 1, None);
        }
        match &mut self.tgts[at] {
            // A new start time is a new process: what was known of the old one says nothing of it.
            Some(known) if known.entry.started == entry.started => {
                if known.entry.standing == Standing::Ready && entry.standing == Standing::Draining {
                    out.push(Output::Log(format!("executor {:04x} drains", entry.mark)));
                }
                known.entry = entry;
            }
            slot => {
                let held = slot.as_ref().map_or(0, |old| old.held);
                let fresh = Executor { held, heard: now, ..Executor::new(entry, nodes) };
                *slot = Some(fresh);
            }
        }
    }

    // ---- an invocation's life ----

    fn submitted(&mut self, now: f64, sub: Submission, out: &mut Vec<Output>) {
        /// A held invocation is answered this long before the client gives up: several batches.
        const BEFORE_END: f64 = 0.1;
        self.arrived += 1.0;
        let Some(op) = self.set.operations.get(sub.operation) else {
            // An operation that the settings don't name: nothing is known of how it may run, so nothing is sent.
            out.push(Output::Throttle { id: sub.id, pause: 0.0 });
            return;
        };
        let hint = sub.hint.filter(|h| h.is_finite() && *h > 0.0).unwrap_or(1.0);
        let typical = self.pace[sub.operation].map_or(op.objective, |p| p.exp() * hint);
        let spare = (op.objective + (op.stretch - 1.0) * typical).max(0.5 * op.objective);
        let late = if op.late_value > 0.0 { op.objective + op.stretch * typical } else { 0.0 };
        let end = now + sub.timeout;
        let over = sub.tenant.and_then(|t| self.tokens.get_mut(t)).is_some_and(|tokens| {
            *tokens -= 1.0;
            *tokens < 0.0
        });
        if over {
            self.tokens[sub.tenant.unwrap_or(0)] = 0.0;
        }
        let until = (now + spare + late).min(end - BEFORE_END);
        let (life, forwards) = (Life::Waiting, Vec::new());
        let inv =
            Inv { op: sub.operation, life, over, aim: now + spare, until, end, hint, drawn: None, forwards };
        self.invs.insert(sub.id, inv);
        self.waiting.push(sub.id);
    }

    fn step(&mut self, now: f64, id: InvId, turn: Turn, out: &mut Vec<Output>) {
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(&(_, _, next, act)) = TABLE.iter().find(|row| row.0 == inv.life && row.1 == turn) else {
            return;
        };
        let left = std::mem::replace(&mut inv.life, next);
        let effect = self.set.operations[inv.op].effect;
        match act {
            Act::Keep => {}
            Act::Queue => {
                inv.drawn = None;
                self.waiting.push(id);
                if now >= inv.end - 1e-3 {
                    // The time-out at the client's own end: no time for anything but the answer.
                    return self.step(now, id, Turn::GaveUp, out);
                }
            }
            Act::Throttle => out.push(Output::Throttle { id, pause: self.pause() }),
            Act::Answer => match effect {
                Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. } => {
                    out.push(Output::Throttle { id, pause: self.pause() })
                }
                _ => out.push(Output::Error { id }),
            },
            Act::Forget => {}
        }
        if next != Life::Ended {
            return;
        }
        if matches!(left, Life::Waiting | Life::Suspect) {
            self.waiting.retain(|&other| other != id);
        }
        let Some(inv) = self.invs.get(&id) else { return };
        if self.set.cancelling {
            for (forward, _) in inv.forwards.iter().enumerate().filter(|(_, f)| f.fate == Fate::Out) {
                out.push(Output::Withdraw { id, forward });
            }
        }
        self.drop_if_done(id);
    }

    fn drop_if_done(&mut self, id: InvId) {
        if self.invs.get(&id).is_some_and(|inv| inv.life == Life::Ended && inv.outs() == 0) {
            self.invs.remove(&id);
        }
    }

    /// Throttled clients are spread over the upper half of what they honour, so that they don't return as one.
    fn pause(&mut self) -> f64 {
        self.set.max_pause * (0.5 + 0.5 * self.chance.next())
    }

    #[allow(clippy::too_many_arguments)]
    fn settled(
        &mut self,
        now: f64,
        (id, forward): (InvId, usize),
        outcome: Outcome,
        took: f64,
        ended: bool,
        report: Report,
        out: &mut Vec<Output>,
    ) {
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(fwd) = inv.forwards.get_mut(forward).filter(|f| f.fate == Fate::Out) else { return };
        let proven = matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::Moot);
        fwd.fate = if proven { Fate::NotRun } else { Fate::MayHaveRun };
        let (tgt, op, hint) = (fwd.tgt, inv.op, inv.hint);
        let turn = match (ended || outcome == Outcome::Succeeded, inv.outs()) {
            (true, _) => Turn::Served,
            (false, 1..) => Turn::OneLess,
            (false, 0) if inv.anchor().is_some() => Turn::MayHaveRun,
            (false, 0) => Turn::NotRun,
        };
        if let Some(t) = self.tgts.get_mut(tgt).and_then(Option::as_mut) {
            t.held = t.held.saturating_sub(1);
        }
        match outcome {
            Outcome::Succeeded => self.succeeded(now, tgt, op, took / hint, out),
            Outcome::Errored | Outcome::Reset | Outcome::Unreachable => self.failed(tgt, 1.0, out),
            Outcome::TimedOut => self.failed(tgt, 1.0, out),
            Outcome::Full => self.full(now, tgt),
            Outcome::Cancelled | Outcome::Moot => {}
        }
        self.report(now, tgt, report);
        self.step(now, id, turn, out);
        self.drop_if_done(id);
    }

    // ---- executors: rates, room, health ----

    fn succeeded(&mut self, now: f64, tgt: Tgt, op: usize, took: f64, out: &mut Vec<Output>) {
        /// Weights of a new latency: an executor's mean over some ten answers, an operation's over fifty.
        const SLOW_NEW: f64 = 0.1;
        const PACE_NEW: f64 = 0.02;
        let Some(t) = self.tgts.get_mut(tgt).and_then(Option::as_mut) else { return };
        let log = took.max(1e-4).ln();
        let pace = self.pace[op].get_or_insert(log);
        let ratio = (log - *pace).clamp(-3.0, 3.0);
        t.slow += SLOW_NEW * (ratio - t.slow);
        *pace += PACE_NEW * (ratio - t.slow);
        t.sampled = now;
        t.good = (t.good + 1.0).min(GOOD_MOST);
        t.heard = now;
        if std::mem::take(&mut t.silent) || t.doubtful {
            t.judge(out);
        }
    }

    fn failed(&mut self, tgt: Tgt, weight: f64, out: &mut Vec<Output>) {
        /// What a failure leaves of the successes remembered: two in a row outweigh them.
        const GOOD_LEFT: f64 = 0.7;
        if let Some(t) = self.tgts.get_mut(tgt).and_then(Option::as_mut) {
            t.bad += weight;
            t.good *= GOOD_LEFT.powf(weight);
            t.judge(out);
        }
    }

    fn full(&mut self, now: f64, tgt: Tgt) {
        if let Some(t) = self.tgts.get_mut(tgt).and_then(Option::as_mut) {
            (t.free, t.unseen, t.reported) = (0.0, 0.0, now);
        }
    }

    fn alive(&mut self, now: f64, id: InvId, forward: usize) {
        let fwd = self.invs.get(&id).and_then(|inv| inv.forwards.get(forward));
        let Some(tgt) = fwd.map(|f| f.tgt) else { return };
        if let Some(t) = self.tgts.get_mut(tgt).and_then(Option::as_mut) {
            t.heard = now;
            t.silent = false;
        }
    }

    fn probed(&mut self, now: f64, tgt: Tgt, outcome: Outcome, report: Report, out: &mut Vec<Output>) {
        match outcome {
            Outcome::Succeeded => self.report(now, tgt, report),
            Outcome::Full => self.full(now, tgt),
            // Half of a failure: a probe waits beside the work and may be late for small reasons.
            _ => {
                self.full(now, tgt);
                self.failed(tgt, 0.5, out);
            }
        }
    }

    fn report(&mut self, now: f64, tgt: Tgt, report: Report) {
        /// Forwards this young may be missing from a report: some round trips and refreshes.
        const TOO_YOUNG: f64 = 0.03;
        /// Weight of a new report in the mean utilisation: some seconds' worth.
        const UTIL_NEW: f64 = 0.02;
        let peers = self.set.peers;
        let Some(t) = self.tgts.get_mut(tgt).and_then(Option::as_mut) else { return };
        let Some(free) = report.free else { return };
        let busy = report.inflight.zip(report.queue).map(|(inflight, queue)| (inflight - queue).max(0.0));
        t.free = free;
        t.reported = now;
        t.unseen = if now - t.last_sent < TOO_YOUNG { 1.0 } else { 0.0 };
        match busy {
            Some(busy) if busy + free >= 0.5 => t.slots = (busy + free).round().max(1.0),
            Some(_) => {}
            None => {
                let known = t.held as f64 + if peers { t.elsewhere() } else { 0.0 };
                if free >= 0.5 {
                    let seen = free + known;
                    t.slots = if t.slots > 0.0 { t.slots + 0.2 * (seen - t.slots) } else { seen };
                }
                t.slots = t.slots.max(free.round());
            }
        }
        let util = report.util.or((t.slots > 0.0).then(|| 1.0 - free / t.slots));
        if let Some(util) = util {
            self.util += UTIL_NEW * (util.clamp(0.0, 1.0) - self.util);
        }
    }

    /// Free slots that may be counted on; `None` when what is known is too old.
    fn room(&self, now: f64, t: &Executor) -> Option<f64> {
        /// A report of free slots holds as long as few others send there, one of none a little longer.
        const FREE_HOLDS: f64 = 0.1;
        const FULL_HOLDS: f64 = 0.25;
        /// Without reports: an executor yields above this multiple of the mean forwards held, and one more.
        const PASS: f64 = 1.5;
        if self.set.peers && t.slots > 0.0 {
            return Some(t.slots.round() - t.held as f64 - t.elsewhere());
        }
        if self.set.reports == Reports::Answers && self.set.probing {
            let holds = if t.free - t.unseen >= 0.9 { FREE_HOLDS } else { FULL_HOLDS };
            return (now - t.reported <= holds).then_some(t.free - t.unseen);
        }
        let held: usize = self.rank.iter().filter_map(|&i| self.tgts[i].as_ref()).map(|t| t.held).sum();
        Some(PASS * held as f64 / self.rank.len().max(1) as f64 + 1.0 - t.held as f64)
    }

    /// A cold executor takes its budget from nodes in turn, by their number, each turn as long as the span
    /// the budget counts. A turn spends half, as any span may touch two of them.
    fn cold_room(&self, now: f64, t: &Executor, load: f64) -> bool {
        let (cold, age) = (&self.set.cold, now - t.entry.started);
        if t.entry.started <= 0.0 || age >= cold.warm {
            return true;
        }
        let turn = (age.max(0.0) / cold.fall.max(1e-3)) as usize;
        if turn % self.set.nodes.max(1) != self.set.me {
            return false;
        }
        let share = cold.start + (1.0 - cold.start) * (age / cold.warm).max(0.0);
        let slots = if t.slots > 0.0 { t.slots } else { 1.0 };
        let spent = if t.turn == turn { t.spent } else { 0.0 };
        spent + load <= 0.5 * cold.factor * share * slots * cold.fall
            && (t.held as f64) < (share * slots).max(1.0)
    }

    /// Whether the rules and the executor's state let this invocation go there.
    fn may_go(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        /// Kept off the end of the window in which repeats are dropped: several times the way there.
        const WINDOW_MARGIN: f64 = 0.1;
        let op = &self.set.operations[inv.op];
        let bound = inv.anchor().is_none_or(|first| match op.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated { group, window } => {
                let same = self.tgts[first.tgt].as_ref().is_some_and(|f| match group {
                    Group::All => true,
                    Group::Zone => f.entry.zone == t.entry.zone,
                    Group::Cell => f.entry.cell == t.entry.cell,
                });
                same && now < first.sent + window - WINDOW_MARGIN
            }
        });
        bound
            && t.entry.standing == Standing::Ready
            && op.kind.is_none_or(|kind| kind == t.entry.kind)
            && !inv.forwards.iter().any(|f| f.tgt == t.entry.tgt && f.fate != Fate::NotRun)
    }

    /// Doubtful or silent: only on the posterior's draw, and not for what could not be sent again.
    fn trusted(&self, inv: &Inv, t: &Executor) -> bool {
        let again = self.set.operations[inv.op].effect != Effect::NonIdempotent;
        (!t.doubtful && !t.silent) || (t.trial && again)
    }

    // ---- the ordinary path: a draw by shares, and the pass ----

    fn draw(&mut self, now: f64, id: InvId) -> Option<Tgt> {
        /// What a zero share is tried with, as a part of the mean share: one in fifty keeps its figures alive.
        const TRIAL: f64 = 0.02;
        let inv = &self.invs[&id];
        let fits = |&i: &Tgt| {
            self.tgts[i]
                .as_ref()
                .filter(|t| self.may_go(now, inv, t) && self.trusted(inv, t))
                .map(|t| (i, t.beta))
        };
        let able: Vec<(Tgt, f64)> = self.rank.iter().filter_map(fits).collect();
        let least = TRIAL * able.iter().map(|a| a.1).sum::<f64>() / able.len().max(1) as f64;
        let sum: f64 = able.iter().map(|a| a.1.max(least)).sum();
        let mut left = self.chance.next() * sum;
        if sum <= 0.0 {
            return able.get((self.chance.next() * able.len() as f64) as usize).map(|a| a.0);
        }
        for &(i, beta) in &able {
            left -= beta.max(least);
            if left < 0.0 {
                return Some(i);
            }
        }
        able.last().map(|a| a.0)
    }

    fn place(&mut self, now: f64, id: InvId, out: &mut Vec<Output>) -> Place {
        /// A crossing at this price or dearer (a part of an invocation's billed value) goes after the own zone.
        const CROSSING_DEAR: f64 = 0.03;
        /// Executors asked for their state at a time, and how long an answer to that is waited for.
        const ASKED: usize = 2;
        const ASKED_HOLDS: f64 = 0.1;
        let inv = &self.invs[&id];
        let spent = inv.forwards.len() >= self.set.max_forwards;
        if spent || !self.tgts.iter().flatten().any(|t| self.may_go(now, inv, t)) {
            let none_known = !spent && inv.anchor().is_none();
            return if none_known { Place::Later } else { Place::Never };
        }
        let keeps = inv.drawn.and_then(|i| self.tgts[i].as_ref());
        let keeps = keeps.is_some_and(|t| self.may_go(now, inv, t) && self.trusted(inv, t));
        let drawn = if keeps { inv.drawn } else { self.draw(now, id) };
        let Some(first) = drawn else { return Place::Later };
        if let Some(inv) = self.invs.get_mut(&id) {
            inv.drawn = drawn;
        }
        let inv = &self.invs[&id];
        let load = self.load(inv);
        let from = self.rank.iter().position(|&i| i == first).unwrap_or(0);
        let mut order: Vec<Tgt> = self.rank[from..].iter().chain(&self.rank[..from]).copied().collect();
        if self.set.cross_zone_price >= CROSSING_DEAR {
            order.sort_by_key(|&i| self.tgts[i].as_ref().is_some_and(|t| t.entry.zone != self.set.zone));
        }
        let mut stale = Vec::new();
        for i in order {
            let Some(t) = self.tgts[i].as_ref() else { continue };
            if !self.may_go(now, inv, t) || !self.trusted(inv, t) || !self.cold_room(now, t, load) {
                continue;
            }
            match self.room(now, t) {
                Some(room) if room >= 0.9 && stale.is_empty() => return Place::Here(i),
                Some(_) => {}
                None => stale.push(i),
            }
            if stale.len() >= ASKED {
                break;
            }
        }
        for i in stale {
            let Some(t) = self.tgts[i].as_mut() else { continue };
            if now - t.asked > ASKED_HOLDS {
                t.asked = now;
                out.push(Output::Probe(i));
            }
        }
        Place::Later
    }

    /// How long an invocation will keep an ordinary slot busy.
    fn load(&self, inv: &Inv) -> f64 {
        self.pace[inv.op].map_or(self.set.operations[inv.op].objective, |p| p.exp() * inv.hint)
    }

    fn send(&mut self, now: f64, id: InvId, tgt: Tgt, out: &mut Vec<Output>) {
        let load = self.load(&self.invs[&id]);
        let fall = self.set.cold.fall.max(1e-3);
        let Some(t) = self.tgts[tgt].as_mut() else { return };
        let turn = ((now - t.entry.started).max(0.0) / fall) as usize;
        t.spent = if t.turn == turn { t.spent + load } else { load };
        t.turn = turn;
        if t.held == 0 {
            t.heard = now;
        }
        t.held += 1;
        t.unseen += 1.0;
        t.last_sent = now;
        t.trial = false;
        if let Some(inv) = self.invs.get_mut(&id) {
            inv.forwards.push(Fwd { tgt, sent: now, fate: Fate::Out });
        }
        out.push(Output::Forward { id, tgt });
        self.step(now, id, Turn::Sent, out);
    }

    /// Looks at what waits, the most pressing first, and sends, keeps or gives up.
    fn look(&mut self, now: f64, out: &mut Vec<Output>) {
        /// How soon what waits is looked at again, and how many at a time: CPU is scarce where queues are long.
        const LOOK_EVERY: f64 = 0.025;
        const AT_A_TIME: usize = 12;
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        let key = |id: &InvId| self.invs.get(id).map(|inv| (inv.over || now > inv.aim, inv.aim));
        waiting.sort_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal));
        self.waiting = waiting.clone();
        let mut tried = 0;
        for id in waiting {
            let Some(inv) = self.invs.get(&id) else { continue };
            let late = now >= inv.until;
            if tried >= AT_A_TIME && !late {
                continue;
            }
            tried += 1;
            match self.place(now, id, out) {
                Place::Here(tgt) => {
                    self.waiting.retain(|&other| other != id);
                    self.send(now, id, tgt, out);
                }
                Place::Later if !late => {}
                Place::Later | Place::Never => self.step(now, id, Turn::GaveUp, out),
            }
        }
        if !self.waiting.is_empty() && !self.looking {
            self.looking = true;
            out.push(Output::Wake { after: LOOK_EVERY, timer: LOOK });
        }
    }

    // ---- the solve ----

    fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        /// What an interval leaves of remembered failures: half after some six seconds.
        const FORGET: f64 = 0.97;
        /// A peer not heard for this long, three whole counts, is taken to hold nothing.
        const PEER_SILENT: f64 = 3.0;
        let gone = |from: usize| now - self.peer_heard[from] > PEER_SILENT;
        for from in (0..self.peer_heard.len()).filter(|&from| gone(from)) {
            self.tgts.iter_mut().flatten().for_each(|t| t.others[from] = 0);
        }
        // Executors sign their work's progress: silent beyond one interval and a half means it stands still.
        let limit = if self.set.progress > 0.0 { 1.5 * self.set.progress + 0.2 } else { 5.0 };
        let mut fell_silent = Vec::new();
        for t in self.tgts.iter_mut().flatten() {
            t.bad *= FORGET;
            let a = 1 + t.good.round() as usize;
            let b = 1 + t.bad.round().min(12.0) as usize;
            t.trial = (t.doubtful || t.silent) && self.chance.beta(a, b) >= 0.5;
            if t.doubtful {
                t.judge(out);
            }
            if t.held > 0 && now - t.heard > limit {
                t.heard = now;
                t.silent = true;
                fell_silent.push(t.entry.tgt);
            }
        }
        for tgt in fell_silent {
            self.failed(tgt, 2.0, out);
        }
        let passed = (now - self.solved).max(1e-3);
        self.solved = now;
        self.solves += 1;
        let rate = self.arrived / passed;
        // Weight of the newest interval in phi: some two seconds.
        self.phi += if self.solves <= 1 { rate } else { 0.12 * (rate - self.phi) };
        self.arrived = 0.0;
        for (tokens, quota) in self.tokens.iter_mut().zip(&self.set.quotas) {
            *tokens = (*tokens + passed * quota / self.set.nodes.max(1) as f64).min(BURST);
        }
        self.solve(now);
        self.rescue(now, out);
        self.sample(now, out);
        if self.solves.is_multiple_of(4) {
            self.tell(true, out);
        }
        out.push(Output::Wake { after: SOLVE_EVERY, timer: SOLVE });
    }

    /// Rates from own latencies and reports, then COOP, then the order of the pass.
    fn solve(&mut self, now: f64) {
        /// What an interval without own outcomes leaves of an executor's difference from the mean.
        const DRIFT: f64 = 0.98;
        const UNSAMPLED: f64 = 3.0;
        let able: Vec<Tgt> = (0..self.tgts.len())
            .filter(|&i| self.tgts[i].as_ref().is_some_and(|t| t.entry.standing == Standing::Ready))
            .collect();
        let known: Vec<f64> =
            self.tgts.iter().flatten().map(|t| t.slots).filter(|slots| *slots > 0.0).collect();
        let usual = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
        let cold = &self.set.cold;
        for t in self.tgts.iter_mut().flatten() {
            if now - t.sampled > UNSAMPLED {
                t.slow *= DRIFT;
            }
            let age = now - t.entry.started;
            let warm = t.entry.started <= 0.0 || age >= cold.warm;
            let share = if warm { 1.0 } else { cold.start + (1.0 - cold.start) * (age / cold.warm).max(0.0) };
            t.mu = share * if t.slots > 0.0 { t.slots } else { usual } * (-t.slow).exp();
        }
        let sum: f64 = able.iter().filter_map(|&i| self.tgts[i].as_ref()).map(|t| t.mu).sum();
        if sum > 0.0 && self.phi > 0.0 {
            let scale = self.phi / self.util.clamp(0.05, 1.0) / sum;
            self.tgts.iter_mut().flatten().for_each(|t| t.mu *= scale);
        }
        let apart = self.set.operations.iter().any(|op| op.kind.is_some());
        let total: f64 = able.iter().filter_map(|&i| self.tgts[i].as_ref()).map(|t| t.mu).sum();
        let group = |i: Tgt| if apart { self.tgts[i].as_ref().map(|t| t.entry.kind) } else { None };
        let mut groups: BTreeMap<Option<usize>, Vec<Tgt>> = BTreeMap::new();
        able.iter().for_each(|&i| groups.entry(group(i)).or_default().push(i));
        for members in groups.values() {
            let mu: Vec<f64> = members.iter().filter_map(|&i| self.tgts[i].as_ref()).map(|t| t.mu).collect();
            let phi = self.phi * mu.iter().sum::<f64>() / total.max(1e-9);
            for (&i, beta) in members.iter().zip(coop(&mu, phi)) {
                if let Some(t) = self.tgts[i].as_mut() {
                    t.beta = beta;
                }
            }
        }
        let beta = |i: Tgt| self.tgts[i].as_ref().map_or(0.0, |t| t.beta);
        self.rank = able;
        let mut rank = std::mem::take(&mut self.rank);
        rank.sort_by(|&a, &b| beta(b).total_cmp(&beta(a)).then(a.cmp(&b)));
        self.rank = rank;
    }

    /// A second copy for what an executor gone silent holds, where the operation allows it and room is known.
    fn rescue(&mut self, now: f64, out: &mut Vec<Output>) {
        if !self.set.second_copies {
            return;
        }
        let stuck = |inv: &Inv| {
            let on_silent = |f: &Fwd| self.tgts[f.tgt].as_ref().is_some_and(|t| t.silent);
            let worth = self.set.operations[inv.op].late_value > 0.0 || now < inv.aim;
            inv.life == Life::Out && worth && inv.forwards.iter().all(|f| f.fate != Fate::Out || on_silent(f))
        };
        let ids: Vec<InvId> = self.invs.iter().filter(|(_, inv)| stuck(inv)).map(|(&id, _)| id).collect();
        for id in ids {
            if let Place::Here(tgt) = self.place(now, id, out) {
                self.send(now, id, tgt, out);
            }
        }
    }

    /// Where only probes report, nodes probe in turn, the executor first whose report is oldest.
    fn sample(&mut self, now: f64, out: &mut Vec<Output>) {
        if self.set.reports != Reports::Probes || !self.set.probing {
            return;
        }
        let first = self.solves == 1;
        if !first && self.solves % self.set.nodes.max(1) != self.set.me {
            return;
        }
        let oldest = |t: &&mut Executor| t.reported.max(t.asked);
        let ready = self.tgts.iter_mut().flatten().filter(|t| t.entry.standing == Standing::Ready);
        let mut ready: Vec<&mut Executor> = ready.collect();
        ready.sort_by(|a, b| oldest(a).total_cmp(&oldest(b)));
        let many = if first { ready.len() } else { 1 };
        for t in ready.into_iter().take(many) {
            t.asked = now;
            out.push(Output::Probe(t.entry.tgt));
        }
    }

    // ---- peers ----

    /// Tells the other nodes what this one holds: the counts that changed, or all of them.
    fn tell(&mut self, whole: bool, out: &mut Vec<Output>) {
        if !self.set.peers || self.set.nodes < 2 {
            return;
        }
        let mut text = String::from(if whole { "f" } else { "h" });
        for t in self.tgts.iter_mut().flatten().filter(|t| if whole { t.held > 0 } else { t.held != t.told })
        {
            if text.len() + 6 > 256 {
                break;
            }
            t.told = t.held;
            text.push_str(&format!("{:04x}{:02x}", t.entry.mark, t.held.min(255)));
        }
        if whole || text.len() > 1 {
            out.push(Output::Tell(text));
        }
    }

    fn peer(&mut self, now: f64, from: usize, text: &str) {
        if from >= self.peer_heard.len() || !text.is_ascii() || text.is_empty() {
            return;
        }
        self.peer_heard[from] = now;
        if text.starts_with('f') {
            self.tgts.iter_mut().flatten().for_each(|t| t.others[from] = 0);
        }
        for item in text.as_bytes()[1..].chunks_exact(6) {
            let item = std::str::from_utf8(item).unwrap_or("");
            let number = u32::from_str_radix(item, 16).unwrap_or(0);
            let mark = (number >> 8) as u16;
            for t in self.tgts.iter_mut().flatten().filter(|t| t.entry.mark == mark) {
                t.others[from] = number as u8;
            }
        }
    }
}

/// How often the shares are re-solved: several times in the shortest running time met, cheap at any size.
const SOLVE_EVERY: f64 = 0.25;
/// Invocations a tenant may be ahead of its share at this node.
const BURST: f64 = 8.0;

impl Executor {
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
}

#[cfg(test)]
mod tests;
