//! Every decision of a coveroute node. `Node::new(settings, seed)` once, then `handle(now, input, &mut out)`
//! for each thing that happens, in order; the caller carries out what is put out, in order. Nothing here
//! waits or reads a clock. Its interface is `types.rs`; docs/design.md tells why it decides as it does.
use crate::list_state::ListState;
use crate::node::Node;
use crate::sampler::{Index, Sampler, LOOKED};
use crate::types::*;
use crate::write_limit;

const SOLVE: u64 = 0; // Timers: the solve,
pub const LOOK: u64 = 1; // another look at what waits,
const ASK: u64 = 2; // asking again for the list.

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

const DOUBT: [f64; 2] = [0.65, 0.75]; // Doubtful below this part, until above that: against wavering.
pub(crate) const GOOD_MOST: f64 = 8.0; // The most successes that count, so that failures soon outweigh them.

impl Record {
    fn blame(&mut self, weight: f64, level: f64) {
        self.fail(weight);
        self.shut = self.mean() < level * DOUBT[0];
    }
}

impl Executor {
    /// Guards against executors that let down one operation, serve the rest, and are doubted as a whole.
    fn blame(&mut self, now: f64, op: usize, weight: f64, level: f64, out: &mut Vec<Output>) {
        const OF_LATE: f64 = 10.0; // Some of a node's visits to one executor.
        let fares = |(at, r): (usize, &Record)| at != op && now - r.seen < OF_LATE && r.bad < 0.5;
        let other = self.records.iter().enumerate().any(fares);
        let record = self.record(op);
        record.blame(weight, level);
        self.failed(if other { 0.0 } else { weight }, level, out);
    }

    /// Guards against doubting all where a network breaks to all: `level` is what the better ones reach.
    fn judge(&mut self, level: f64, out: &mut Vec<Output>) {
        let doubtful = self.whole.mean() < level * DOUBT[usize::from(self.doubtful)];
        let words = if doubtful { "is doubtful" } else { "is trusted again" };
        let news = doubtful != std::mem::replace(&mut self.doubtful, doubtful);
        out.extend(news.then(|| Output::Log(format!("executor {:06x} {words}", self.entry.mark))));
    }

    fn failed(&mut self, weight: f64, level: f64, out: &mut Vec<Output>) {
        self.whole.fail(weight);
        self.judge(level, out);
    }
}

/// COOP (paper, section 3): splits phi over rates mu; the slowest is left out while below the spare rate c.
pub fn coop(mu: &[f64], phi: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..mu.len()).collect();
    order.sort_by(|&a, &b| mu[b].total_cmp(&mu[a]).then(a.cmp(&b)));
    let (mut n, mut c) = (mu.len(), (mu.iter().sum::<f64>() - phi) / mu.len().max(1) as f64);
    while n > 1 && c > mu[order[n - 1]] {
        c = (c - mu[order[n - 1]] / n as f64) * n as f64 / (n as f64 - 1.0);
        n -= 1;
    }
    let mut beta = vec![0.0; mu.len()];
    order[..n].iter().for_each(|&i| beta[i] = (mu[i] - c).max(0.0));
    beta
}

const FOG: f64 = 0.7; // Where the better ones reach no more, the way is slow or breaks to all alike:
const FOG_HOLDS: f64 = 5.0; // reports come too late to go by, and what is taken back fares as badly again.
const SOLVE_EVERY: f64 = 0.25; // Several times in the shortest running time met.
const BEFORE_END: f64 = 0.1; // A held invocation is answered this long before its end: several batches.

impl Node {
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        self.turns = if now > self.turns[1] { [self.turns[1], now] } else { self.turns };
        match input {
            Input::List(list) => self.list(now, list, out),
            Input::Submitted(sub) => self.submitted(now, sub, out),
            Input::Settled(settled) => self.settled(now, settled, out),
            Input::Alive { id, forward } => return self.alive(now, id, forward),
            Input::Unheard { id, forward } => self.unheard(now, id, forward, out),
            Input::Expired(id) => self.step(now, id, Turn::Finished, out),
            Input::Leaving(end) => self.leave(end),
            Input::Timer(SOLVE) => self.tick(now, out),
            Input::Timer(LOOK) => self.review(now, out),
            Input::Timer(_) => out.extend(self.list_calls.wanted().then_some(Output::Follow)),
            Input::Probed { tgt, outcome, report } => self.probed(now, tgt, outcome, report, out),
            Input::Heard { from, told, tgt, count } => self.peer(now, from, told, tgt, count, out),
        }
        self.look(now, out);
    }

    /// Takes a list over, or the loss of the watch on it; docs/design/told.md sums the times up.
    fn list(&mut self, now: f64, list: List, out: &mut Vec<Output>) {
        let state = match list {
            List::Lost(loss) => self.list_state.after(now, loss),
            List::Kept(_, age) => ListState::kept(now, age, !self.set.must_ask),
            List::Changes(_) | List::Whole(_) => ListState::Followed,
        };
        out.extend(self.list_state.transition(now, state).map(Output::Log));
        self.list_state = state;
        let call = |after| Output::Wake { after, timer: ASK };
        let whole = list.is_whole();
        let entries = match list {
            List::Lost(loss) => {
                let after = self.list_calls.again(now, state, loss, SOLVE_EVERY, &self.set);
                return out.push(call(after));
            }
            List::Kept(entries, _) => {
                let knows_some = !entries.is_empty();
                let after =
                    self.set.must_ask.then(|| self.list_calls.first(now, state, knows_some, &self.set));
                out.extend(after.map(call));
                self.solved = now;
                out.push(Output::Wake { after: SOLVE_EVERY, timer: SOLVE });
                entries
            }
            List::Changes(entries) | List::Whole(entries) => {
                self.list_calls.followed();
                entries
            }
        };
        // Guards against an executor that was removed while this node did not hear: absent means gone.
        self.with_absent(whole, entries).into_iter().for_each(|entry| self.entry(now, entry));
        self.solve(now);
    }

    fn entry(&mut self, now: f64, entry: Entry) {
        self.make_room(&entry);
        let t = &mut self.tgts[entry.tgt];
        let (was, began, only) = (t.entry.standing, t.entry.started, self.set.only_draining);
        // Guards against lists that are wrong or old, where they prove little: what drains does so for good;
        // who is not listed any more is used once it has shown that it lives.
        let old = entry.started < began || entry.started == began && was == Standing::Draining;
        let lost = entry.standing == Standing::Gone && matches!(was, Standing::Ready | Standing::Missing);
        if only && (old || lost && !entry.started.is_nan()) {
            t.entry.standing = if lost { Standing::Missing } else { was };
            return t.shown &= was == Standing::Missing;
        }
        t.listed(now, entry);
    }

    /// How many forwards beyond an invocation's first may still go now; no end to them without a budget.
    fn further(&self, now: f64) -> f64 {
        const EDGE: f64 = 0.002; // Off both ends of the span, of which nothing says whether they count.
        let Some(Budget { floor, share, span }) = self.set.budget else { return f64::INFINITY };
        floor + share * self.taken.since(now - span + EDGE) - self.further.since(now - span - EDGE)
    }

    fn submitted(&mut self, now: f64, sub: Submission, out: &mut Vec<Output>) {
        const PATIENCE_NEW: f64 = 0.1; // Weight of an invocation in what its tenant's clients come with.
        const LEAST: f64 = 0.05; // Of the worth, so that some are tried still.
        const IMPATIENT: f64 = 0.5; // Of the longest: those who come again alone would come with more.
        const WAIT: f64 = 0.5; // Of what could be spared on the mean: running times vary as much again.
        self.taken.note(true, now, self.set.look_back());
        // Not sent: an operation of unknown effect, and what comes in a client's last milliseconds.
        let op = self.set.operations.get(sub.operation).filter(|_| sub.timeout > BEFORE_END);
        let Some(op) = op else { return out.push(Output::Throttle { id: sub.id, pause: 0.0 }) };
        let class = &mut self.classes[sub.operation];
        class.arrived += 1.0;
        let hint = sub.hint.filter(|h| h.is_finite() && *h > 0.0).unwrap_or(1.0);
        let load = class.pace.map_or(op.objective, |pace| pace.exp() * hint);
        let memory = sub.memory.filter(|m| m.is_finite() && *m > 0.0).unwrap_or(0.0);
        // What it can wait and still be in time, if it then runs as its like do.
        let spare = WAIT * (op.objective + (op.stretch - 1.0) * load).max(0.5 * op.objective);
        // A client that comes back has less time left: its objective has run since. Where clients say so, one
        // that comes first is late by this node's own stall at most.
        class.longest = class.longest.max(sub.timeout);
        let stall = if self.set.marks_again && !sub.again { now - self.turns[0] } else { f64::INFINITY };
        let tenant = sub.tenant.filter(|&t| t < self.tenants.len());
        // Guards against clients of one tenant that all give up sooner than they did: that makes none late.
        let (at, part) = (sub.operation, sub.timeout / class.longest);
        let hasty = tenant.is_some_and(|t| self.tenants[t].comes_with(at, part, PATIENCE_NEW) < IMPATIENT);
        let aim = now + spare - if hasty { 0.0 } else { (class.longest - sub.timeout).min(stall) };
        tenant.iter().for_each(|&t| self.tenants[t].arrived += 1.0);
        let quota = |t: usize| self.set.quotas[t] / self.set.nodes as f64 / self.tenants[t].rate.max(1e-3);
        let in_share = tenant.map_or(1.0, quota).min(1.0);
        let worth = in_share + (1.0 - in_share) * self.set.over_share_value;
        // Of tries that are soon given up only those that end by then are worth their work.
        let worth = worth * tenant.filter(|_| hasty).map_or(1.0, |t| self.tenants[t].timely.max(LEAST));
        // A crossing waits for the part of its spare time that it would cost of the value it serves.
        let dear = self.set.cross_zone_price * self.value / self.value(sub.operation, load).max(1e-6);
        let spills = !self.asks() && self.chance.draw() < self.spill;
        let (op, cross) = (sub.operation, if spills { now } else { now + dear * spare });
        let end = self.leaving.unwrap_or(f64::INFINITY).min(now + sub.timeout);
        let (until, key) = (if hasty { now } else { aim.max(now) }.min(end - BEFORE_END), sub.key);
        let inv = Inv { op, worth, aim, spare, until, end, hint, load, tenant, hasty, ..Inv::default() };
        let inv = Inv { memory, cross, key, ..inv };
        self.invs.insert(sub.id, inv);
        self.queue(sub.id);
        // Met in part by chance: no operation falls out as a whole.
        let least = if self.price > 0.0 { self.price * self.usual * (0.5 + self.chance.draw()) } else { 0.0 };
        let begins = |t: &Executor| t.kept && t.held == 0 && self.able(now, &self.invs[&sub.id], t);
        let no_list_by_then = !self.list_state.permits(now) && self.list_calls.is_after(until);
        if now > aim + spare
            || no_list_by_then
            || self.invs[&sub.id].press < least && !self.tgts.iter().any(begins)
        {
            self.step(now, sub.id, Turn::GaveUp, out);
        }
    }

    /// What it adds to the operators' goal per second of a slot: to the whole, and to a worst operation.
    fn press(&self, inv: &Inv) -> f64 {
        const BEHIND: f64 = 0.25; // So far behind the best served an operation counts fully as the worst.
        let best = self.classes.iter().map(|c| c.timely).fold(0.0, f64::max);
        let class = &self.classes[inv.op];
        let mut part = self.set.goal_whole / (self.value * self.phi).max(1e-6);
        if class.rate > 0.0 {
            let behind = ((best - class.timely) / BEHIND).clamp(0.0, 1.0);
            let usual = self.value(inv.op, class.pace.map_or(1.0, f64::exp));
            part += behind * self.set.goal_worst_operation / (class.rate * usual).max(1e-6);
        }
        part * self.value(inv.op, inv.load) * inv.worth / inv.load.max(1e-3)
    }

    fn value(&self, op: usize, load: f64) -> f64 {
        self.set.operations[op].value * if self.set.value_by_work { load } else { 1.0 }
    }

    fn queue(&mut self, id: InvId) {
        let press = self.press(&self.invs[&id]);
        let at = self.waiting.partition_point(|other| self.invs.get(other).is_some_and(|o| o.press >= press));
        self.waiting.insert(at, id);
        self.invs.entry(id).and_modify(|inv| inv.press = press);
    }

    fn step(&mut self, now: f64, id: InvId, turn: Turn, out: &mut Vec<Output>) {
        const TIMELY_NEW: f64 = 0.02; // Weight of an invocation in what is sent in time: some fifty.
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(row) = TABLE.iter().find(|row| row.0 == inv.life && row.1 == turn) else { return };
        inv.life = row.2;
        let (op, end) = (&self.set.operations[inv.op], inv.end);
        // Throttled clients come back, spread, while that pays; after that as late as they honour.
        // At a stop, or without a list: elsewhere there may be time.
        let elsewhere = self.leaving.is_some() || !self.list_state.permits(now);
        let back = elsewhere && now < inv.until;
        let most = if inv.hopeless || now >= inv.aim && op.late_value <= 0.0 { f64::MAX } else { inv.spare };
        let pause = if back { 0.0 } else { most.min(self.set.max_pause) * (0.5 + 0.5 * self.chance.draw()) };
        let harmless =
            matches!(op.effect, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. });
        match (row.3, harmless) {
            (Act::Keep, _) => return,
            (Act::Queue, _) => {
                self.queue(id);
                // A time-out at the client's own end leaves time for nothing but the answer.
                let turn = if now >= end - BEFORE_END { Turn::GaveUp } else { Turn::NotRun };
                return self.step(now, id, turn, out);
            }
            (Act::Close, _) => {}
            (Act::Answer, false) => out.push(Output::Error { id }),
            (Act::Throttle | Act::Answer, _) => out.push(Output::Throttle { id, pause }),
        }
        let for_want_of_list = turn == Turn::GaveUp && !self.list_state.permits(now);
        self.refused_without_list += u64::from(for_want_of_list);
        self.waiting.retain(|&other| other != id);
        let in_time = inv.forwards.last().is_some_and(|f| turn == Turn::Finished && f.sent <= inv.aim);
        self.classes[inv.op].ended(in_time, TIMELY_NEW);
        let tenant = inv.tenant.filter(|_| !inv.forwards.is_empty());
        tenant.into_iter().for_each(|t| self.tenants[t].ended(in_time, TIMELY_NEW));
        let still_out = inv.still_out().filter(|_| self.set.cancelling);
        out.extend(still_out.map(|forward| Output::Withdraw { id, forward }));
        if inv.still_out().count() == 0 {
            self.invs.remove(&id);
        }
    }

    fn settled(&mut self, now: f64, settled: Settled, out: &mut Vec<Output>) {
        const THEIRS_NEW: f64 = 0.1; // Weight of a failed job that was sent again in whose fault it is.
        const FATAL: f64 = 0.1; // Since it began: short beside running times, long beside a word's way.
        const MISLED_NEW: f64 = 0.05; // Weight of an outcome in how often reports mislead: some twenty.
        let Settled { id, forward, outcome, took, ended, report } = settled;
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(fwd) = inv.forwards.get_mut(forward).filter(|f| f.fate == Fate::Out) else { return };
        fwd.fate = if self.set.never_ran(outcome) { Fate::NotRun } else { Fate::MayHaveRun };
        // Guards against jobs that bring down whoever begins them, one executor after another, often before a
        // word of the start is out. For one that was but near when another did so, its client asks again.
        let began = fwd.wait.map_or(f64::INFINITY, |wait| now - fwd.sent - wait);
        let ran = (FATAL..f64::INFINITY).contains(&began);
        inv.hopeless |= self.set.tells_start && outcome == Outcome::Reset && !ran;
        let (tgt, op, took) = (fwd.tgt, inv.op, (took - fwd.wait.unwrap_or(0.0)) / inv.hint);
        fwd.errored = outcome == Outcome::Errored;
        // A copy of what brings down who begins it does more harm than any other.
        self.vain -= if fwd.late && outcome == Outcome::Reset { VAIN_NEW * self.vain } else { 0.0 };
        let (way, late) = (fwd.way(), std::mem::take(&mut fwd.late));
        inv.sample.clear();
        let blamed = inv.forwards[..forward].iter().rfind(|f| f.errored).map(|f| f.tgt);
        if let Some(other) = blamed.filter(|_| matches!(outcome, Outcome::Errored | Outcome::Succeeded)) {
            inv.hopeless |= outcome == Outcome::Errored;
            let fault = f64::from(u8::from(inv.hopeless));
            self.theirs += THEIRS_NEW * (fault - self.theirs);
            self.tgts[other].whole.forgive(inv.hopeless);
        }
        let (outs, ran, life, memory) =
            (inv.still_out().count(), inv.anchor().is_some(), inv.life, inv.memory);
        let (t, way) = (&mut self.tgts[tgt], &mut self.ways[way]);
        let answered =
            matches!(outcome, Outcome::Succeeded | Outcome::Errored | Outcome::Unfit | Outcome::Full);
        t.put_back(now, answered);
        if answered {
            way.succeeded(now, GOOD_MOST, late);
        } else if outcome == Outcome::Unreachable && !late && self.set.tells_start {
            way.fail(1.0);
        }
        t.held = t.held.saturating_sub(1);
        t.memory = if t.held == 0 { 0.0 } else { (t.memory - memory).max(0.0) };
        t.running = t.running.saturating_sub(usize::from(began.is_finite()));
        t.kept &= outcome == Outcome::Succeeded;
        self.index.freed(t);
        let kind = &mut self.kinds[t.entry.kind];
        match outcome {
            Outcome::Succeeded => Self::succeeded(now, t, op, &mut self.classes[op], kind, took),
            Outcome::Full => (t.refused, t.refusals) = (now, t.refusals + 1),
            Outcome::Cancelled | Outcome::Moot => {}
            Outcome::Unreachable => {
                t.shown = false;
                // The next would lose as much time; unless it is connections that fail, there and everywhere.
                t.failed(3.0 * self.ways[NEW].mean() / Record::default().mean(), self.level, out);
            }
            // Two executors that fail the same job are not to blame; how often that is so tells of others.
            Outcome::Errored if blamed.is_some() => {}
            Outcome::Errored => t.blame(now, op, 1.0 - self.theirs, self.level, out),
            Outcome::Unfit => t.failed(0.25, self.level, out),
            _ => t.blame(now, op, 1.0, self.level, out),
        }
        t.judge(self.level, out);
        // Guards against connect failures: hundreds of nodes' idle connections fill an executor's table.
        let idle = t.held == 0 && !t.kept && outcome != Outcome::Errored; // It answers, and will again.
        let idle = idle && !self.whole() && !self.ways[NEW].shut && self.crowds();
        self.tell(tgt, out);
        if idle || self.ways[KEPT].shut && self.tgts[tgt].has_idle() {
            self.close(tgt, out);
        }
        // Full beside reported room: the report speaks of another time than now.
        let late = outcome == Outcome::Full && report.free >= Some(ONE) && report.queue < Some(0.5);
        self.misled += MISLED_NEW * (f64::from(u8::from(late)) - self.misled);
        self.report(now, tgt, report);
        self.charge(now, (outcome == Outcome::Full).then_some(true), now);
        match (ended || outcome == Outcome::Succeeded, outs) {
            (_, 0) if life == Life::Ended => drop(self.invs.remove(&id)),
            (true, _) => self.step(now, id, Turn::Finished, out),
            (false, 1..) => {}
            (false, 0) => self.step(now, id, if ran { Turn::MayHaveRun } else { Turn::NotRun }, out),
        }
    }

    fn close(&mut self, tgt: Tgt, out: &mut Vec<Output>) {
        self.tgts[tgt].open = self.tgts[tgt].held;
        out.push(Output::Release(tgt));
    }

    /// All nodes with as many connections fill executors' tables, or they have a price, or no use.
    fn crowds(&self) -> bool {
        const TABLE: f64 = 30.0; // Connections: a seventh of the smallest table met, which takes capacity.
        let dear = self.set.connection_price > 0.0 || self.asks();
        dear || (self.opened() * self.set.nodes) as f64 > TABLE * self.rank.len() as f64
    }

    fn alive(&mut self, now: f64, id: InvId, forward: usize) {
        const SPILL_NEW: f64 = 0.05; // Weight of a start in what leaves the zone; less for cheap crossings.
        const EMPTY_NEW: f64 = 0.1; // Weight of a start where room was told in how often it was not there.
        const WAITED_NEW: f64 = 0.05; // Weight of a start in a utilisation that is not reported: some twenty.
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(fwd) = inv.forwards.get_mut(forward).filter(|f| f.fate == Fate::Out) else { return };
        let (t, sent, wait, first) = (&mut self.tgts[fwd.tgt], fwd.sent, now - fwd.sent, fwd.wait.is_none());
        let late = (first && self.set.tells_start).then_some(wait > LATE * inv.spare);
        let blamed = std::mem::take(&mut fwd.late);
        self.vain *= if blamed { 1.0 - 2.0 * VAIN_NEW } else { 1.0 }; // Also after all: it was a queue.
        if first {
            (t.running, t.kept) = (t.running + 1, wait < AT_ONCE);
            fwd.wait = Some(if self.set.tells_start { wait } else { 0.0 });
        }
        t.woke(now);
        if late.is_some() {
            self.ways[fwd.way()].succeeded(now, GOOD_MOST, blamed);
            t.record(inv.op).forgive(blamed);
        }
        if late.is_some() && fwd.told {
            self.empty += EMPTY_NEW * (f64::from(u8::from(wait >= AT_ONCE)) - self.empty);
        }
        if let Some(late) = late.map(|late| f64::from(u8::from(late))) {
            let (near, cost) = (t.entry.zone == self.set.zone, self.set.cross_zone_price);
            let step = if near { late - cost } else { -late * (5.0 * cost).min(1.0) };
            self.spill = (self.spill + SPILL_NEW * step).clamp(0.0, 1.0);
        }
        let waited = if wait >= AT_ONCE { 1.0 } else { 0.5 } - self.util;
        self.util += if late.is_some() && !self.asks() { WAITED_NEW * waited } else { 0.0 };
        self.charge(now, late, sent);
    }

    /// Guards against jobs that get lost while others run there: what can be sent again is taken back.
    fn unheard(&mut self, now: f64, id: InvId, forward: usize, out: &mut Vec<Output>) {
        let Some(inv) = self.invs.get(&id) else { return };
        let fwd = inv.forwards.get(forward).filter(|f| f.fate == Fate::Out && f.wait.is_none());
        let Some(tgt) = fwd.map(|f| f.tgt) else { return };
        let more = self.set.cancelling && now >= self.fog && self.further(now) >= 1.0;
        let again = more && self.bound_to(inv).any(|t| self.may_go(now, inv, t));
        out.extend(again.then_some(Output::Withdraw { id, forward }));
        self.tgts[tgt].failed(1.0, self.level, out);
    }

    /// Guards against queues that nothing tells of: late starts raise what is to be pressed, once a wait.
    fn charge(&mut self, now: f64, late: Option<bool>, sent: f64) {
        const RAISE: f64 = 1.5; // From a half to twice the usual press: hardly any, and all but the best.
        const FALL: f64 = 0.9; // Of 0.87 to 0.95, on drawn days of four fleets: a few late are no overload.
        if late == Some(true) && sent > self.raised && !self.asks() {
            (self.price, self.raised) = ((self.price * RAISE).clamp(0.5, 2.0), now);
        }
        self.price *= if late == Some(false) { FALL } else { 1.0 };
    }

    fn probed(&mut self, now: f64, tgt: Tgt, outcome: Outcome, report: Report, out: &mut Vec<Output>) {
        let Some(t) = self.tgts.get_mut(tgt) else { return };
        if outcome == Outcome::Succeeded {
            t.shown = true;
            return self.report(now, tgt, report);
        }
        t.shown = false;
        t.failed(if outcome == Outcome::Full { 0.0 } else { 0.5 }, self.level, out); // It may just be late.
        (t.refused, t.refusals) = (now, t.refusals.max(1));
    }

    /// Free slots that may be counted on; `None` when what is known is too old.
    fn room(&self, now: f64, t: &Executor) -> Option<f64> {
        const FREE_HOLDS: f64 = 0.1; // A report of room holds while few others can have sent there.
        const FULL_HOLDS: f64 = 0.25; // One of none a little longer: it errs only by waiting.
        const REFUSED_HOLDS: f64 = 0.2; // After a full answer, whatever reports say; doubled by each more.
        const PASS: f64 = 1.5; // Without reports: yields above this multiple of the mean held, and one.
        if t.refusals > 0 && now - t.refused < REFUSED_HOLDS * f64::from(1 << (t.refusals - 1).min(5)) {
            return Some(0.0);
        }
        let warmth = t.warmth(now, &self.set.cold);
        match self.keeper(t) {
            Some(me) if me == self.set.me && t.slots > 0.0 => {
                return Some((t.slots * warmth).max(1.0) - t.held as f64 - t.elsewhere() - t.promises(now));
            }
            Some(_) if warmth < 1.0 => return (now - t.granted <= FREE_HOLDS).then_some(t.free - t.unseen),
            _ => {}
        }
        if self.told(now) {
            if t.asked > t.reported && now - t.asked <= FULL_HOLDS {
                return (now - t.asked > PROMPT).then_some(0.0);
            }
            let room = t.free - t.unseen;
            let holds = if room >= ONE { FREE_HOLDS } else { FULL_HOLDS };
            return (t.reported > 0.0 && now - t.reported <= holds).then_some(room);
        }
        // What was sent there last still waits: so would the next.
        if self.set.tells_start && t.held > t.running && now - t.last_sent > AT_ONCE {
            return Some(0.0);
        }
        let near = self.near > 0 && t.entry.zone == self.set.zone;
        Some(PASS * self.held[usize::from(!near)] + 1.0 - t.held as f64)
    }

    /// Reports can be asked for, and are prompt enough to go by: fewer than two of the last twenty misled.
    fn told(&self, now: f64) -> bool {
        self.asks() && self.misled < 0.07 && now >= self.fog
    }

    /// The node that counts what all hold there, where they may tell.
    fn keeper(&self, t: &Executor) -> Option<usize> {
        (self.set.peers && self.set.probing).then_some(t.entry.mark as usize % self.peer_heard.len())
    }

    /// Executors and nodes can be asked; if not, nothing tells of them but how own forwards fare there.
    fn asks(&self) -> bool {
        self.set.probing && self.set.reports != Reports::Never && self.empty < self.util.powi(2).max(EMPTY)
    }

    /// Guards against a cold executor that all push over, or leave idle. Where reports are prompt, all use
    /// its cold part of the slots; elsewhere nodes take turns, each less than half: a span may touch two.
    fn cold_room(&self, now: f64, t: &Executor, load: f64) -> bool {
        let (cold, share) = (&self.set.cold, t.warmth(now, &self.set.cold));
        if share >= 1.0 {
            return true;
        }
        // Who counts for it tells of no more slots than it has while cold, but not how long they are taken.
        let counted = self.keeper(t).is_some_and(|keeper| keeper != self.set.me || t.slots > 0.0);
        let (turn, slots) = (t.turn(now, cold.fall), t.slots.max(1.0));
        let spent = if t.turn == turn { t.spent } else { 0.0 };
        let part = (share * slots).max(1.0).ceil();
        let open = match self.told(now) && self.empty < RACES {
            _ if counted => true,
            true => self.room(now, t).is_none_or(|room| room >= slots - part + ONE && t.just_told(now)),
            false => (turn + t.entry.mark as usize) % self.set.nodes.max(1) == self.set.me,
        };
        open && spent + load <= 0.4 * cold.factor * share * slots * cold.fall && (t.held as f64) < part
    }

    pub(crate) fn may_go(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        let op = &self.set.operations[inv.op];
        t.ready()
            && inv.forwards.len() < self.set.max_forwards
            && op.kind.is_none_or(|kind| kind == t.entry.kind)
            && !inv.forwards.iter().any(|f| f.tgt == t.entry.tgt && f.fate != Fate::NotRun)
            && inv.anchor().is_none_or(|first| match op.effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => false,
                Effect::Deduplicated { group, window } => {
                    let same = self.tgts[first.tgt].entry.same(group, &t.entry);
                    same && now < first.sent + window - write_limit::WINDOW_MARGIN
                }
            })
    }

    /// May go there, and it is trusted; if not, on the posterior's draw, with what could be sent again.
    fn able(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        let again = self.set.operations[inv.op].effect != Effect::NonIdempotent;
        let shut = now >= self.fog && t.records.get(inv.op).is_some_and(|record| record.shut);
        let open = !shut && self.list_state.permits(now);
        open && (t.trusted(now, self.fog) || (t.trial && again)) && self.may_go(now, inv, t)
    }

    /// Able, and in a large fleet, where a draw is dear, not known to be full or closed to so much work.
    fn open(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        let full = || self.room(now, t).is_some_and(|room| room < ONE);
        self.able(now, inv, t) && (self.whole() || self.cold_room(now, t, inv.load) && !full())
    }

    /// Draws by beta, or evenly while all are zero; in a large fleet from the own zone before `cross`.
    pub(crate) fn draw(&mut self, now: f64, id: InvId, times: usize) -> Vec<Tgt> {
        let near = now < self.invs[&id].cross && self.near > 0 && !self.whole();
        let mut chance = std::mem::take(&mut self.chance);
        let (many, inv) = (if near { self.near } else { self.rank.len() }, &self.invs[&id]);
        let (few, blind, old) = (self.few(), !self.asks(), self.ways[NEW].shut);
        let zoned = |t: &Executor| few || !near || t.entry.zone == self.set.zone;
        let open = |i: &Tgt| zoned(&self.tgts[*i]) && self.open(now, inv, &self.tgts[*i]);
        // Guards against cold executors left idle: who has a turn sends there first what will be in time.
        let warm = |i: &Tgt| self.tgts[*i].warmth(now, &self.set.cold);
        let fresh = |i: &Tgt| warm(i) < 1.0 && inv.load * (1.0 / warm(i) - 1.0) <= 2.0 * inv.spare;
        let idle = |i: &Tgt| self.tgts[*i].has_fresh(now, self.set.idle);
        // Guards against queues that nothing tells of: an executor that began at once is drawn again.
        let kept = |i: &Tgt| self.tgts[*i].kept && self.tgts[*i].held == 0;
        let used = |i: &Tgt| few || blind && (fresh(i) || kept(i)) || old && idle(i);
        let some = if few { self.rank[..many].to_vec() } else { self.index.of_use(&mut chance, blind, old) };
        let mut pool: Vec<Tgt> = some.into_iter().filter(|i| used(i) && open(i)).collect();
        prefer(&mut pool, blind, fresh);
        prefer(&mut pool, old, idle);
        prefer(&mut pool, blind, kept);
        pool.retain(|i| !(inv.hasty && blind) || kept(i));
        let part = self.part(inv, near).filter(|_| pool.is_empty() && !(inv.hasty && blind));
        let all = Sampler::new(pool, |i| self.tgts[i].share);
        let (many, from) = (if few { times } else { 2 * times }, self.index.from);
        let mut drawn = part.unwrap_or(&all).draw(many, &mut chance, from, &open);
        // Guards against one that is busy by chance alone: who has waited longer, by its share, is looked at.
        let due = |i: &Tgt| if few { 0.0 } else { (now - self.tgts[*i].last_sent) * self.tgts[*i].share };
        drawn.sort_by(|a, b| due(b).total_cmp(&due(a)));
        drawn.truncate(times);
        (self.chance, self.index.from) = (chance, from.wrapping_add(LOOKED));
        drawn
    }

    /// Small enough to be gone through: more take over ten rounds, and all would meet at the same ones.
    fn whole(&self) -> bool {
        self.asks() && self.rank.len() <= 20
    }

    /// Where to look: the drawn one, then down the shares, own zone first; in a large fleet two drawn ones.
    /// A key that executors keep has its own draws, the same at every node (weighted rendezvous hashing).
    fn order(&mut self, now: f64, id: InvId) -> Vec<Tgt> {
        const SPILL: f64 = 0.2; // Of the wait, for one more of a key's order: a tenth fetches too much.
        const GAP: f64 = 0.005; // About a round trip at first, doubled each time
        const GAP_MOST: f64 = 0.16; // up to this: some six times in half a second.
        let (whole, inv) = (self.whole(), &self.invs[&id]);
        if let Some(key) = inv.key {
            if inv.sample.is_empty() {
                let order = self.lots(key);
                self.invs.entry(id).and_modify(|inv| inv.sample = order);
            }
            let inv = &self.invs[&id];
            let many = 1 + ((now - inv.aim + inv.spare) / (SPILL * inv.spare)).max(0.0) as usize;
            let able = |i: &Tgt| self.able(now, inv, &self.tgts[*i]);
            let order: Vec<Tgt> = inv.sample.iter().copied().filter(able).take(many).collect();
            return if order.is_empty() && !self.few() { self.draw(now, id, 1) } else { order };
        }
        let open = |i: &&Tgt| self.open(now, inv, &self.tgts[**i]);
        let mut sample: Vec<Tgt> = inv.sample.iter().filter(open).copied().collect();
        if sample.is_empty() && (whole || now >= inv.again) {
            sample = self.draw(now, id, if whole { 1 } else { 2 });
            sample.dedup();
            let inv = self.invs.entry(id).or_default();
            inv.gap = (2.0 * inv.gap).clamp(GAP, GAP_MOST);
            (inv.again, inv.sample) = (now + inv.gap, sample.clone());
        }
        let Some(first) = sample.first().copied().filter(|_| whole) else { return sample };
        sample.extend(self.rank.iter().copied().filter(|&i| i != first && self.tgts[i].beta > 0.0));
        let far = |i: &Tgt| self.near > 0 && self.tgts[*i].entry.zone != self.set.zone;
        sample.retain(|i| now >= self.invs[&id].cross || !far(i));
        sample.sort_by_key(far);
        sample
    }

    fn place(&mut self, now: f64, id: InvId, out: &mut Vec<Output>) -> Place {
        const MEMORY_HOLDS: f64 = 1.0; // Then what others' jobs take of it is unknown: some running times.
        const KEPT: f64 = 0.5; // Of the budget's floor, for the first of its invocations by what they press.
        const ASKED: usize = 2; // Executors asked for their state at a time.
        let inv = &self.invs[&id];
        let most = if inv.hopeless { 0 } else { self.set.max_forwards };
        // The last few further forwards are for what is worth most, and for what is known not to have run.
        let few = self.set.budget.map_or(0.0, |budget| KEPT * budget.floor);
        let first = inv.forwards.is_empty() || inv.anchor().is_none() || inv.press >= self.usual;
        let none = !inv.forwards.is_empty() && self.further(now) < if first { 1.0 } else { 1.0 + few };
        let spent = none || inv.forwards.len() >= most || self.leaving.is_some() && now + inv.load > inv.end;
        if spent || (inv.anchor().is_some() && !self.bound_to(inv).any(|t| self.may_go(now, inv, t))) {
            return Place::Never;
        }
        let (order, inv, mut stale) = (self.order(now, id), &self.invs[&id], Vec::new());
        let able = |t: &Executor| self.able(now, inv, t) && self.cold_room(now, t, inv.load);
        for i in order.into_iter().filter(|&i| able(&self.tgts[i])) {
            let t = &self.tgts[i];
            let foreign = if now - t.weighed < MEMORY_HOLDS { t.foreign } else { 0.0 };
            let fits = t.slots <= 0.0 || t.memory + foreign + inv.memory <= t.slots;
            let first = stale.is_empty() || inv.key.is_none() && !self.whole();
            match self.room(now, t) {
                None => stale.push(i),
                Some(room) if room >= ONE && fits && first => return Place::Here(i),
                Some(_) => {}
            }
        }
        stale.truncate(ASKED);
        stale.retain(|&i| now - self.tgts[i].asked > PROMPT);
        stale.into_iter().for_each(|i| self.ask(now, i, out));
        Place::Later
    }

    /// Asks who counts for the executor, or itself if that is this node or its last answer never came.
    fn ask(&mut self, now: f64, tgt: Tgt, out: &mut Vec<Output>) {
        let t = &self.tgts[tgt];
        let keeper = self.keeper(t).filter(|&k| k != self.set.me && t.asked <= t.reported);
        let question = |to| Output::Tell { to, told: Told::Asks, tgt, count: 0 };
        out.push(keeper.map_or(Output::Probe(tgt), question));
        self.tgts[tgt].asked = now;
    }

    fn send(&mut self, now: f64, id: InvId, tgt: Tgt, out: &mut Vec<Output>) {
        let turn = self.tgts[tgt].turn(now, self.set.cold.fall);
        let t = &self.tgts[tgt];
        let told = self.told(now) && t.free - t.unseen >= ONE;
        let sure = self.set.tells_start && (told || t.held == 0 && t.kept);
        if t.has_idle() && (!t.has_fresh(now, self.set.idle) || self.ways[KEPT].shut) {
            self.close(tgt, out);
        }
        let Some(inv) = self.invs.get_mut(&id) else { return };
        self.further.note(!inv.forwards.is_empty(), now, self.set.look_back());
        let t = &mut self.tgts[tgt];
        self.unsure.remove(&id);
        self.unsure.extend(sure.then_some(id));
        inv.forwards.push(Fwd { told, kept: t.has_idle(), sure, ..Fwd::new(tgt, now) });
        t.record(inv.op).blame(0.0, self.level); // A trial is one invocation.
        t.open = t.open.max(t.held + 1);
        t.memory += inv.memory;
        t.spent = inv.load + if t.turn == turn { t.spent } else { 0.0 };
        t.heard = if t.held == 0 { now } else { t.heard };
        (t.turn, t.held, t.unseen, t.last_sent, t.trial) = (turn, t.held + 1, t.unseen + 1.0, now, false);
        self.waiting.retain(|&other| other != id);
        out.push(Output::Forward { id, tgt });
        self.tell(tgt, out);
        self.step(now, id, Turn::Sent, out);
    }

    /// Sends what waits, the most pressing first, while any executor has room or could be asked.
    fn look(&mut self, now: f64, out: &mut Vec<Output>) {
        const MISSES: usize = 6; // Looked at without finding a place: CPU is scarce where queues are long.
        const LOOK_EVERY: f64 = 0.025; // A few batches, and short beside any objective.
        let mut at = 0;
        while let Some(&id) = self.waiting.get(at).filter(|_| at < MISSES) {
            match self.place(now, id, out) {
                Place::Here(tgt) => self.send(now, id, tgt, out),
                Place::Later => at += 1,
                Place::Never => self.step(now, id, Turn::GaveUp, out),
            }
        }
        for id in self.overdue(now) {
            if let Place::Here(tgt) = self.place(now, id, out) {
                self.send(now, id, tgt, out);
            }
        }
        if (!self.unsure.is_empty() || !self.waiting.is_empty()) && !self.looking {
            self.looking = true;
            out.push(Output::Wake { after: LOOK_EVERY, timer: LOOK });
        }
    }

    /// Guards against lost connections and swallowed operations: what should have begun. Tells what to copy.
    fn overdue(&mut self, now: f64) -> Vec<InvId> {
        const PAST: f64 = 2.0; // Of the half of what it could wait: it will not be in time.
        let mut copies = Vec::new();
        for id in std::mem::take(&mut self.unsure) {
            let Some(inv) = self.invs.get_mut(&id).filter(|inv| inv.life != Life::Ended) else { continue };
            let Some(fwd) = inv.forwards.last_mut().filter(|f| f.hangs() && !f.vain) else { continue };
            let (age, t) = (now - fwd.sent, &mut self.tgts[fwd.tgt]);
            if !fwd.late && age > LATE * inv.spare {
                (fwd.late, t.kept) = (true, false);
                self.ways[fwd.way()].fail(1.0);
                t.record(inv.op).blame(1.0, self.level);
            }
            if fwd.late && age > PAST * inv.spare {
                fwd.vain = true;
                self.vain += VAIN_NEW * (1.0 - self.vain);
            } else if fwd.late && (self.vain > 0.5 || fwd.told && fwd.kept) && now < inv.end - BEFORE_END {
                copies.extend(self.set.second_copies.then_some(id));
            }
            self.unsure.extend((!fwd.vain).then_some(id));
        }
        copies
    }

    /// Guards against answers cut off at a stop: what usually takes longer is given back (see `place`).
    fn leave(&mut self, end: f64) {
        self.leaving = Some(end);
        self.invs.values_mut().for_each(|inv| inv.end = inv.end.min(end));
    }

    /// Gives up what has waited for as long as that can pay.
    fn review(&mut self, now: f64, out: &mut Vec<Output>) {
        self.looking = false;
        let over = |id: &InvId| now >= self.invs[id].until.min(self.invs[id].end - BEFORE_END);
        let (over, waiting): (Vec<InvId>, _) = std::mem::take(&mut self.waiting).into_iter().partition(over);
        self.waiting = waiting;
        over.into_iter().for_each(|id| self.step(now, id, Turn::GaveUp, out));
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        const FORGET: f64 = 8.2; // Seconds in which remembered failures fade to a third: half after six.
        const BLIND: f64 = 60.0; // Then reports that told of no room are looked at again.
        const SOLVE_COST: f64 = 5e-3; // Tenfold, an executor, in invocations: solves take a tenth of the CPU.
        const SOLVE_LATEST: f64 = 5.0; // Before what is known is far out of date.
        const PEER_SILENT: f64 = 6.0; // A peer not heard for longer than from solve to solve holds nothing.
        const TRY_AT: f64 = 0.7; // A doubtful one is tried when the draw is near what trusted ones reach.
        const PHI_MANY: f64 = 4.0; // Arrivals that phi is smoothed over, and two seconds more.
        let passed = (now - self.solved).max(1e-3);
        self.solved = now;
        self.level = self.level();
        self.fog = if self.level < FOG { now + FOG_HOLDS } else { self.fog };
        let new = 1.0 - (-passed / (2.0 + PHI_MANY / self.phi.max(1.0))).exp();
        for class in self.classes.iter_mut().chain(&mut self.tenants) {
            class.smooth(passed, new);
        }
        self.phi = self.classes.iter().map(|class| class.rate).sum();
        let usual = |(op, c): (usize, &Class)| c.rate * self.value(op, c.pace.map_or(1.0, f64::exp));
        self.value = self.classes.iter().enumerate().map(usual).sum::<f64>() / self.phi.max(1e-6);
        let work = self.classes.iter().map(|c| c.rate * c.pace.map_or(1.0, f64::exp)).sum::<f64>();
        self.usual = self.set.goal_whole / work.max(1e-6);
        self.price *= (-passed / FORGET).exp();
        self.empty *= (-passed / BLIND).exp();
        let late =
            |f: &&Fwd, i: &Inv| f.fate == Fate::Out && f.wait.is_none() && now - f.sent > LATE * i.spare;
        let queued = self.invs.values().filter_map(|inv| inv.forwards.last().filter(|f| late(f, inv)));
        let sent = queued.map(|f| f.sent).fold(0.0, f64::max);
        self.charge(now, (self.set.tells_start && sent > 0.0).then_some(true), sent);
        // Silent: no sign for one and a half intervals, longer where starts are told and none was (queued).
        let limit = if self.set.progress > 0.0 { 1.5 * self.set.progress + 0.2 } else { 5.0 };
        for t in &mut self.tgts {
            t.forget_others(now, &self.peer_heard, PEER_SILENT);
            t.whole.bad *= (-passed / FORGET).exp();
            t.trial = (t.doubtful || t.silent) && t.whole.draw(&mut self.chance) >= TRY_AT;
            let limit = if self.set.tells_start && t.running == 0 { 2.5 * limit } else { limit };
            if t.held > 0 && now - t.heard > limit {
                (t.heard, t.silent) = (now, true);
                t.failed(2.0, self.level, out);
            }
            t.judge(self.level, out);
            for record in &mut t.records {
                record.bad *= (-passed / FORGET).exp();
                record.blame(0.0, self.level);
                record.shut = record.shut && record.draw(&mut self.chance) < TRY_AT;
            }
        }
        self.open_ways(passed, out);
        self.seek(now, out);
        self.solve(now);
        // Each second all that it holds, and once more what has changed, as messages may be lost.
        let again = now.floor() > (now - passed).floor();
        for tgt in 0..if again { self.tgts.len() } else { 0 } {
            if self.tgts[tgt].told {
                self.tell(tgt, out);
                self.tgts[tgt].told = self.tgts[tgt].held > 0;
            }
        }
        // A node with few invocations solves a large fleet less often: CPU counts by the invocation.
        let cost = SOLVE_COST * self.rank.len() as f64;
        let after = (cost / self.phi.max(0.5)).clamp(SOLVE_EVERY, SOLVE_LATEST);
        out.push(Output::Wake { after, timer: SOLVE });
    }

    /// Guards against connections that fail by their sort, kept or new: the worse is left, but for trials.
    fn open_ways(&mut self, passed: f64, out: &mut Vec<Output>) {
        const FORGET: f64 = 20.0; // Such troubles last for tens of seconds; a trial costs an invocation.
        const WORSE: f64 = 0.75; // Of the other's mean.
        let was = self.ways[KEPT].shut;
        for way in [KEPT, NEW] {
            let (other, way) = (self.ways[1 - way], &mut self.ways[way]);
            way.bad *= (-passed / FORGET).exp();
            let worse = way.mean() < WORSE * other.mean();
            way.shut = worse && way.draw(&mut self.chance) < other.draw(&mut self.chance);
        }
        let suspect = |i: &Tgt| self.ways[KEPT].shut && !was && self.tgts[*i].has_idle();
        let suspects: Vec<Tgt> = (0..self.tgts.len()).filter(suspect).collect();
        suspects.into_iter().for_each(|tgt| self.close(tgt, out));
    }

    /// Asks some of those that are missing whether they live, or takes it for granted where none is left.
    fn seek(&mut self, now: f64, out: &mut Vec<Output>) {
        const SOUGHT: usize = 3; // At a time: some seconds later there are dozens, more than one node needs.
        let none = !self.tgts.iter().any(Executor::ready);
        let left = |t: &Executor| t.entry.standing == Standing::Missing && !t.shown;
        let missing: Vec<Tgt> = (0..self.tgts.len()).filter(|&i| left(&self.tgts[i])).collect();
        if none {
            missing.iter().for_each(|&i| self.tgts[i].shown = true);
        }
        for _ in 0..if self.set.probing && !missing.is_empty() { SOUGHT } else { 0 } {
            let tgt = missing[(self.chance.draw() * missing.len() as f64) as usize];
            let t = &mut self.tgts[tgt];
            if now - t.asked > 0.5 && (t.refusals == 0 || now - t.refused > 5.0) {
                t.asked = now;
                out.push(Output::Probe(tgt));
            }
        }
    }

    /// Rates from own latencies and reports, then COOP, then the order of the pass.
    pub(crate) fn solve(&mut self, now: f64) {
        const DRIFT: f64 = 0.98; // Of an executor's difference from the mean, each interval without outcomes.
        const TRIAL: f64 = 0.02; // Of the mean share, for a zero share: one in fifty keeps its figures alive.
        const UNSAMPLED: f64 = 3.0; // Some invocations' time: so long without an own outcome, it drifts.
        let dear = self.set.cross_zone_price > 0.0 && (self.asks() || self.set.tells_start); // Else blind.
        let known: Vec<f64> = self.tgts.iter().map(|t| t.slots).filter(|slots| *slots > 0.0).collect();
        let usual = known.iter().sum::<f64>().max(1.0) / known.len().max(1) as f64;
        let few = self.few();
        for t in &mut self.tgts {
            t.slow *= if now - t.sampled > UNSAMPLED { DRIFT } else { 1.0 };
            let kind = &self.kinds[t.entry.kind];
            t.slots = if t.slots > 0.0 { t.slots } else { kind.slots };
            let slots = if t.slots > 0.0 { t.slots } else { usual };
            let size = match self.set.sizes {
                Sizes::Listed => t.entry.size,
                Sizes::Rough => t.entry.size * (-kind.slow).exp(),
                Sizes::Live => kind.size,
                Sizes::Never => slots * (-kind.slow).exp(),
            };
            (t.mu, t.beta) =
                (size * t.warmth(now, &self.set.cold) * (-kind.slowness(t.slow, few)).exp(), 0.0);
        }
        let ready = |i: &Tgt| self.tgts[*i].ready();
        let mut rank: Vec<Tgt> = (0..self.tgts.len()).filter(ready).collect();
        // Scaled so that this node's arrivals load them as much as they report to be loaded.
        let sum: f64 = rank.iter().map(|&i| self.tgts[i].mu).sum();
        let scale = self.phi.max(1e-3) / self.util.clamp(0.05, 1.0) / sum.max(1e-9);
        rank.iter().for_each(|&i| self.tgts[i].mu *= scale);
        // Kinds are solved apart where an operation needs one, each with its part of phi.
        let apart = self.set.operations.iter().any(|op| op.kind.is_some());
        for kind in 0..if apart { self.kinds.len() } else { 1 } {
            let one = |i: &Tgt| !apart || self.tgts[*i].entry.kind == kind;
            let members: Vec<Tgt> = rank.iter().copied().filter(one).collect();
            let mu: Vec<f64> = members.iter().map(|&i| self.tgts[i].mu).collect();
            let phi = self.phi * mu.iter().sum::<f64>() / (sum * scale).max(1e-9);
            members.iter().zip(coop(&mu, phi)).for_each(|(&i, beta)| self.tgts[i].beta = beta);
        }
        let near = |i: Tgt| dear && self.tgts[i].entry.zone == self.set.zone;
        let share = |i: Tgt| self.tgts[i].beta;
        rank.sort_by(|&a, &b| near(b).cmp(&near(a)).then(share(b).total_cmp(&share(a))).then(a.cmp(&b)));
        self.near = rank.iter().take_while(|&&i| near(i)).count();
        let sum: f64 = rank.iter().map(|&i| share(i)).sum();
        let least = if sum > 0.0 { TRIAL * sum / rank.len() as f64 } else { 1.0 };
        rank.iter().for_each(|&i| self.tgts[i].share = self.tgts[i].beta.max(least));
        let mean =
            |of: &[Tgt]| of.iter().map(|&i| self.tgts[i].held as f64).sum::<f64>() / of.len().max(1) as f64;
        self.held = [mean(&rank[..self.near]), mean(&rank[self.near..])];
        self.index = Index::new(now, &self.set, &self.tgts, &rank, self.index.from);
        self.rank = rank;
    }

    /// Tells who counts for it what this node holds at an executor.
    fn tell(&mut self, tgt: Tgt, out: &mut Vec<Output>) {
        self.tgts[tgt].told = true;
        let (t, told) = (&self.tgts[tgt], Told::Held);
        let (to, count) = (self.keeper(t).filter(|to| *to != self.set.me), t.held.min(255) as u8);
        out.extend(to.map(|to| Output::Tell { to, told, tgt, count }));
    }

    fn peer(&mut self, now: f64, from: usize, told: Told, tgt: Tgt, count: u8, out: &mut Vec<Output>) {
        let Some(()) = self.peer_heard.get_mut(from).map(|heard| *heard = now) else { return };
        let room = self.tgts.get(tgt).and_then(|t| self.room(now, t));
        let Some(t) = self.tgts.get_mut(tgt) else { return };
        match told {
            Told::Held => t.hold(from, count),
            Told::Room => (t.free, t.unseen, t.reported, t.granted) = (f64::from(count), 0.0, now, now),
            Told::Asks => {
                // The next to ask is not promised the same slot.
                if room >= Some(ONE) {
                    (t.promised, t.promises) = (now, t.promises(now) + 1.0);
                }
                out.extend(room.map(|n| Output::Tell { to: from, told: Told::Room, tgt, count: n as u8 }));
            }
        }
    }
}

const LATE: f64 = 0.5; // Of what it can wait: without a start until then the queue is too long.
const VAIN_NEW: f64 = 0.2; // Weight of a forward that should have started in how many never do: some five.
const AT_ONCE: f64 = 0.05; // A forward's way, a new connection and some batches: it waited for nothing.
pub(crate) const RACES: f64 = 0.1; // Room not there so often is raced for, at a cold executor to its fall.
const EMPTY: f64 = 0.35; // Room that is not there so often is no guide: own forwards tell more.
const ONE: f64 = 0.9; // One free slot, allowing for noise in reports.
const PROMPT: f64 = 0.06; // A question's way there and back, and some batches: no answer means no room.

#[cfg(test)]
mod tests;
