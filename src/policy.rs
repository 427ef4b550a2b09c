//! Every decision of a coveroute node. `Node::new(settings, seed)` once, then `handle(now, input, &mut out)`
//! for each thing that happens, in order; the caller carries out what is put out, in order. Nothing here
//! waits or reads a clock. Its interface is `types.rs`; docs/design.md tells why it decides as it does.
use crate::list_state::ListState;
use crate::node::Node;
use crate::sampler::{Index, Sampler, MAX_SCANNED};
use crate::types::*;
use crate::write_limit;

const SOLVE_TIMER: u64 = 0; // Timers: the solve,
pub const LOOK: u64 = 1; // another look at what waits,
const LIST_CALL_TIMER: u64 = 2; // asking again for the list.

/// State, input, next state, effect. What is not listed changes nothing: late, double or unknown events.
const TRANSITIONS: [(InvState, InvEvent, InvState, TransitionAction); 14] = [
    (InvState::Waiting, InvEvent::Sent, InvState::InFlight, TransitionAction::Keep),
    (InvState::Uncertain, InvEvent::Sent, InvState::InFlightUncertain, TransitionAction::Keep),
    (InvState::InFlight, InvEvent::Sent, InvState::InFlightUncertain, TransitionAction::Keep),
    (InvState::InFlightUncertain, InvEvent::Sent, InvState::InFlightUncertain, TransitionAction::Keep),
    (InvState::InFlight, InvEvent::NotRun, InvState::Waiting, TransitionAction::Queue),
    (InvState::InFlight, InvEvent::MayHaveRun, InvState::Uncertain, TransitionAction::Queue),
    (InvState::InFlightUncertain, InvEvent::NotRun, InvState::Waiting, TransitionAction::Queue),
    (InvState::InFlightUncertain, InvEvent::MayHaveRun, InvState::Uncertain, TransitionAction::Queue),
    (InvState::Waiting, InvEvent::GaveUp, InvState::Ended, TransitionAction::Throttle),
    (InvState::Uncertain, InvEvent::GaveUp, InvState::Ended, TransitionAction::ThrottleOrError),
    (InvState::Waiting, InvEvent::Finished, InvState::Ended, TransitionAction::Close),
    (InvState::InFlight, InvEvent::Finished, InvState::Ended, TransitionAction::Close),
    (InvState::Uncertain, InvEvent::Finished, InvState::Ended, TransitionAction::Close),
    (InvState::InFlightUncertain, InvEvent::Finished, InvState::Ended, TransitionAction::Close),
];

const DOUBT_THRESHOLDS: [f64; 2] = [0.65, 0.75]; // Doubtful below this part, until above that: against wavering.
pub(crate) const MAX_SUCCESSES: f64 = 8.0; // The most successes that count, so that failures soon outweigh them.

impl Record {
    fn fail_and_compare(&mut self, weight: f64, level: f64) {
        self.add_failure(weight);
        self.avoided = self.mean() < level * DOUBT_THRESHOLDS[0];
    }
}

impl Executor {
    /// Guards against executors that let down one operation, serve the rest, and are doubted as a whole.
    fn record_operation_failure(
        &mut self,
        now: f64,
        op: usize,
        weight: f64,
        level: f64,
        out: &mut Vec<Output>,
    ) {
        const RECENT: f64 = 10.0; // Some of a node's visits to one executor.
        let fares = |(at, r): (usize, &Record)| at != op && now - r.last_success < RECENT && r.failures < 0.5;
        let other = self.operation_records.iter().enumerate().any(fares);
        let record = self.operation_record(op);
        record.fail_and_compare(weight, level);
        self.record_failure(if other { 0.0 } else { weight }, level, out);
    }

    /// Guards against doubting all where a network breaks to all: `level` is what the better ones reach.
    fn update_doubtful(&mut self, level: f64, out: &mut Vec<Output>) {
        let doubtful = self.overall.mean() < level * DOUBT_THRESHOLDS[usize::from(self.doubtful)];
        let words = if doubtful { "is doubtful" } else { "is trusted again" };
        let news = doubtful != std::mem::replace(&mut self.doubtful, doubtful);
        out.extend(news.then(|| Output::Log(format!("executor {:06x} {words}", self.entry.mark))));
    }

    fn record_failure(&mut self, weight: f64, level: f64, out: &mut Vec<Output>) {
        self.overall.add_failure(weight);
        self.update_doubtful(level, out);
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

const DEGRADED_BELOW: f64 = 0.7; // Where the better ones reach no more, the way is slow or breaks to all alike:
const DEGRADED_HOLD: f64 = 5.0; // reports come too late to go by, and what is taken back fares as badly again.
const SOLVE_INTERVAL: f64 = 0.25; // Several times in the shortest running time met.
const ANSWER_MARGIN: f64 = 0.1; // A held invocation is answered this long before its end: several batches.

impl Node {
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        self.last_inputs =
            if now > self.last_inputs[1] { [self.last_inputs[1], now] } else { self.last_inputs };
        match input {
            Input::List(list) => self.on_list(now, list, out),
            Input::Submitted(sub) => self.on_submitted(now, sub, out),
            Input::Settled(settled) => self.on_settled(now, settled, out),
            Input::Alive { id, forward } => return self.on_alive(now, id, forward),
            Input::Unheard { id, forward } => self.on_unacknowledged(now, id, forward, out),
            Input::Expired(id) => self.transition(now, id, InvEvent::Finished, out),
            Input::Leaving(end) => self.begin_stop(end),
            Input::Timer(SOLVE_TIMER) => self.on_solve_timer(now, out),
            Input::Timer(LOOK) => self.expire_waiting(now, out),
            Input::Timer(_) => out.extend(self.list_calls.is_due().then_some(Output::Follow)),
            Input::Probed { tgt, outcome, report } => self.on_probed(now, tgt, outcome, report, out),
            Input::Heard { from, told, tgt, count } => self.on_peer_message(now, from, told, tgt, count, out),
        }
        self.dispatch_waiting(now, out);
    }

    /// Takes a list over, or the loss of the watch on it; docs/design/told.md sums the times up.
    fn on_list(&mut self, now: f64, list: List, out: &mut Vec<Output>) {
        let state = match list {
            List::Lost(loss) => self.list_state.after(now, loss),
            List::Kept(_, age) => ListState::kept(now, age, !self.settings.must_ask),
            List::Changes(_) | List::Whole(_) => ListState::Followed,
        };
        out.extend(self.list_state.transition(now, state).map(Output::Log));
        self.list_state = state;
        let call = |after| Output::Wake { after, timer: LIST_CALL_TIMER };
        let whole = list.is_whole();
        let entries = match list {
            List::Lost(loss) => {
                let after = self.list_calls.next(now, state, loss, SOLVE_INTERVAL, &self.settings);
                return out.push(call(after));
            }
            List::Kept(entries, _) => {
                let knows_some = !entries.is_empty();
                let after = self
                    .settings
                    .must_ask
                    .then(|| self.list_calls.first(now, state, knows_some, &self.settings));
                out.extend(after.map(call));
                self.last_solve = now;
                out.push(Output::Wake { after: SOLVE_INTERVAL, timer: SOLVE_TIMER });
                entries
            }
            List::Changes(entries) | List::Whole(entries) => {
                self.list_calls.followed();
                entries
            }
        };
        // Guards against an executor that was removed while this node did not hear: absent means gone.
        self.with_absent(whole, entries).into_iter().for_each(|entry| self.apply_entry(now, entry));
        self.solve(now);
    }

    fn apply_entry(&mut self, now: f64, entry: Entry) {
        self.add_slots_for(&entry);
        let t = &mut self.executors[entry.tgt];
        let (was, began, only) = (t.entry.standing, t.entry.started, self.settings.only_draining);
        // Guards against lists that are wrong or old, where they prove little: what drains does so for good;
        // who is not listed any more is used once it has shown that it lives.
        let old = entry.started < began || entry.started == began && was == Standing::Draining;
        let lost = entry.standing == Standing::Gone && matches!(was, Standing::Ready | Standing::Missing);
        if only && (old || lost && !entry.started.is_nan()) {
            t.entry.standing = if lost { Standing::Missing } else { was };
            return t.seen_alive &= was == Standing::Missing;
        }
        t.apply_entry(now, entry);
    }

    /// How many forwards beyond an invocation's first may still go now; no end to them without a budget.
    fn remaining_further_forwards(&self, now: f64) -> f64 {
        const SPAN_MARGIN: f64 = 0.002; // Off both ends of the span, of which nothing says whether they count.
        let Some(Budget { floor, share, span }) = self.settings.budget else { return f64::INFINITY };
        floor + share * self.accepted.count_since(now - span + SPAN_MARGIN)
            - self.further_sent.count_since(now - span - SPAN_MARGIN)
    }

    fn on_submitted(&mut self, now: f64, sub: Submission, out: &mut Vec<Output>) {
        const TIMEOUT_WEIGHT: f64 = 0.1; // Weight of an invocation in what its tenant's clients come with.
        const MIN_WEIGHT: f64 = 0.05; // Of the worth, so that some are tried still.
        const IMPATIENT_BELOW: f64 = 0.5; // Of the longest: those who come again alone would come with more.
        const WAIT_FRACTION: f64 = 0.5; // Of what could be spared on the mean: running times vary as much again.
        self.accepted.record_if(true, now, self.settings.budget_retention());
        // Not sent: an operation of unknown effect, and what comes in a client's last milliseconds.
        let op = self.settings.operations.get(sub.operation).filter(|_| sub.timeout > ANSWER_MARGIN);
        let Some(op) = op else { return out.push(Output::Throttle { id: sub.id, pause: 0.0 }) };
        let class = &mut self.operation_stats[sub.operation];
        class.arrived += 1.0;
        let hint = sub.hint.filter(|h| h.is_finite() && *h > 0.0).unwrap_or(1.0);
        let load = class.log_latency.map_or(op.objective, |pace| pace.exp() * hint);
        let memory = sub.memory.filter(|m| m.is_finite() && *m > 0.0).unwrap_or(0.0);
        // What it can wait and still be in time, if it then runs as its like do.
        let spare = WAIT_FRACTION * (op.objective + (op.stretch - 1.0) * load).max(0.5 * op.objective);
        // A client that comes back has less time left: its objective has run since. Where clients say so, one
        // that comes first is late by this node's own stall at most.
        class.longest_timeout = class.longest_timeout.max(sub.timeout);
        let stall =
            if self.settings.marks_again && !sub.again { now - self.last_inputs[0] } else { f64::INFINITY };
        let tenant = sub.tenant.filter(|&t| t < self.tenant_stats.len());
        // Guards against clients of one tenant that all give up sooner than they did: that makes none late.
        let (at, part) = (sub.operation, sub.timeout / class.longest_timeout);
        let hasty = tenant.is_some_and(|t| {
            self.tenant_stats[t].observe_timeout(at, part, TIMEOUT_WEIGHT) < IMPATIENT_BELOW
        });
        let aim = now + spare - if hasty { 0.0 } else { (class.longest_timeout - sub.timeout).min(stall) };
        tenant.iter().for_each(|&t| self.tenant_stats[t].arrived += 1.0);
        let quota = |t: usize| {
            self.settings.quotas[t] / self.settings.nodes as f64 / self.tenant_stats[t].rate.max(1e-3)
        };
        let in_share = tenant.map_or(1.0, quota).min(1.0);
        let worth = in_share + (1.0 - in_share) * self.settings.over_share_value;
        // Of tries that are soon given up only those that end by then are worth their work.
        let worth = worth
            * tenant.filter(|_| hasty).map_or(1.0, |t| self.tenant_stats[t].in_time_fraction.max(MIN_WEIGHT));
        // A crossing waits for the part of its spare time that it would cost of the value it serves.
        let dear = self.settings.cross_zone_price * self.mean_value
            / self.billed_value(sub.operation, load).max(1e-6);
        let spills = !self.can_query_load() && self.rng.draw() < self.spill_probability;
        let (op, cross) = (sub.operation, if spills { now } else { now + dear * spare });
        let end = self.stop_deadline.unwrap_or(f64::INFINITY).min(now + sub.timeout);
        let (until, key) = (if hasty { now } else { aim.max(now) }.min(end - ANSWER_MARGIN), sub.key);
        let inv = Inv {
            op,
            weight: worth,
            latest_start: aim,
            slack: spare,
            give_up_at: until,
            end,
            hint,
            load,
            tenant,
            impatient: hasty,
            ..Inv::default()
        };
        let inv = Inv { memory, cross_zone_from: cross, key, ..inv };
        self.invocations.insert(sub.id, inv);
        self.enqueue(sub.id);
        // Met in part by chance: no operation falls out as a whole.
        let least =
            if self.price > 0.0 { self.price * self.typical_priority * (0.5 + self.rng.draw()) } else { 0.0 };
        let begins = |t: &Executor| {
            t.started_at_once && t.held == 0 && self.can_send(now, &self.invocations[&sub.id], t)
        };
        let no_list_by_then = !self.list_state.permits(now) && self.list_calls.is_after(until);
        if now > aim + spare
            || no_list_by_then
            || self.invocations[&sub.id].priority < least && !self.executors.iter().any(begins)
        {
            self.transition(now, sub.id, InvEvent::GaveUp, out);
        }
    }

    /// What it adds to the operators' goal per second of a slot: to the whole, and to a worst operation.
    fn priority(&self, inv: &Inv) -> f64 {
        const FULLY_BEHIND: f64 = 0.25; // So far behind the best served an operation counts fully as the worst.
        let best = self.operation_stats.iter().map(|c| c.in_time_fraction).fold(0.0, f64::max);
        let class = &self.operation_stats[inv.op];
        let mut part = self.settings.goal_whole / (self.mean_value * self.phi).max(1e-6);
        if class.rate > 0.0 {
            let behind = ((best - class.in_time_fraction) / FULLY_BEHIND).clamp(0.0, 1.0);
            let usual = self.billed_value(inv.op, class.log_latency.map_or(1.0, f64::exp));
            part += behind * self.settings.goal_worst_operation / (class.rate * usual).max(1e-6);
        }
        part * self.billed_value(inv.op, inv.load) * inv.weight / inv.load.max(1e-3)
    }

    fn billed_value(&self, op: usize, load: f64) -> f64 {
        self.settings.operations[op].value * if self.settings.value_by_work { load } else { 1.0 }
    }

    fn enqueue(&mut self, id: InvId) {
        let press = self.priority(&self.invocations[&id]);
        let at = self
            .waiting
            .partition_point(|other| self.invocations.get(other).is_some_and(|o| o.priority >= press));
        self.waiting.insert(at, id);
        self.invocations.entry(id).and_modify(|inv| inv.priority = press);
    }

    fn transition(&mut self, now: f64, id: InvId, turn: InvEvent, out: &mut Vec<Output>) {
        const IN_TIME_WEIGHT: f64 = 0.02; // Weight of an invocation in what is sent in time: some fifty.
        let Some(inv) = self.invocations.get_mut(&id) else { return };
        let Some(row) = TRANSITIONS.iter().find(|row| row.0 == inv.state && row.1 == turn) else { return };
        inv.state = row.2;
        let (op, end) = (&self.settings.operations[inv.op], inv.end);
        // Throttled clients come back, spread, while that pays; after that as late as they honour.
        // At a stop, or without a list: elsewhere there may be time.
        let elsewhere = self.stop_deadline.is_some() || !self.list_state.permits(now);
        let back = elsewhere && now < inv.give_up_at;
        let most = if inv.no_more_forwards || now >= inv.latest_start && op.late_value <= 0.0 {
            f64::MAX
        } else {
            inv.slack
        };
        let pause =
            if back { 0.0 } else { most.min(self.settings.max_pause) * (0.5 + 0.5 * self.rng.draw()) };
        let harmless =
            matches!(op.effect, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. });
        match (row.3, harmless) {
            (TransitionAction::Keep, _) => return,
            (TransitionAction::Queue, _) => {
                self.enqueue(id);
                // A time-out at the client's own end leaves time for nothing but the answer.
                let turn = if now >= end - ANSWER_MARGIN { InvEvent::GaveUp } else { InvEvent::NotRun };
                return self.transition(now, id, turn, out);
            }
            (TransitionAction::Close, _) => {}
            (TransitionAction::ThrottleOrError, false) => out.push(Output::Error { id }),
            (TransitionAction::Throttle | TransitionAction::ThrottleOrError, _) => {
                out.push(Output::Throttle { id, pause })
            }
        }
        let for_want_of_list = turn == InvEvent::GaveUp && !self.list_state.permits(now);
        self.refused_without_list += u64::from(for_want_of_list);
        self.waiting.retain(|&other| other != id);
        let in_time =
            inv.forwards.last().is_some_and(|f| turn == InvEvent::Finished && f.sent <= inv.latest_start);
        self.operation_stats[inv.op].observe_outcome(in_time, IN_TIME_WEIGHT);
        let tenant = inv.tenant.filter(|_| !inv.forwards.is_empty());
        tenant.into_iter().for_each(|t| self.tenant_stats[t].observe_outcome(in_time, IN_TIME_WEIGHT));
        let still_out = inv.in_flight().filter(|_| self.settings.cancelling);
        out.extend(still_out.map(|forward| Output::Withdraw { id, forward }));
        if inv.in_flight().count() == 0 {
            self.invocations.remove(&id);
        }
    }

    fn on_settled(&mut self, now: f64, settled: Settled, out: &mut Vec<Output>) {
        const JOB_FAULT_WEIGHT: f64 = 0.1; // Weight of a failed job that was sent again in whose fault it is.
        const FATAL_WITHIN: f64 = 0.1; // Since it began: short beside running times, long beside a word's way.
        const MISLEADING_WEIGHT: f64 = 0.05; // Weight of an outcome in how often reports mislead: some twenty.
        let Settled { id, forward, outcome, took, ended, report } = settled;
        let Some(inv) = self.invocations.get_mut(&id) else { return };
        let Some(fwd) = inv.forwards.get_mut(forward).filter(|f| f.state == ForwardState::InFlight) else {
            return;
        };
        fwd.state =
            if self.settings.never_ran(outcome) { ForwardState::NotRun } else { ForwardState::MayHaveRun };
        // Guards against jobs that bring down whoever begins them, one executor after another, often before a
        // word of the start is out. For one that was but near when another did so, its client asks again.
        let began = fwd.wait.map_or(f64::INFINITY, |wait| now - fwd.sent - wait);
        let ran = (FATAL_WITHIN..f64::INFINITY).contains(&began);
        inv.no_more_forwards |= self.settings.tells_start && outcome == Outcome::Reset && !ran;
        let (tgt, op, took) = (fwd.tgt, inv.op, (took - fwd.wait.unwrap_or(0.0)) / inv.hint);
        fwd.errored = outcome == Outcome::Errored;
        // A copy of what brings down who begins it does more harm than any other.
        self.never_started_rate -= if fwd.start_overdue && outcome == Outcome::Reset {
            NEVER_STARTED_WEIGHT * self.never_started_rate
        } else {
            0.0
        };
        let (way, late) = (fwd.connection_kind(), std::mem::take(&mut fwd.start_overdue));
        inv.candidates.clear();
        let blamed = inv.forwards[..forward].iter().rfind(|f| f.errored).map(|f| f.tgt);
        if let Some(other) = blamed.filter(|_| matches!(outcome, Outcome::Errored | Outcome::Succeeded)) {
            inv.no_more_forwards |= outcome == Outcome::Errored;
            let fault = f64::from(u8::from(inv.no_more_forwards));
            self.job_fault_rate += JOB_FAULT_WEIGHT * (fault - self.job_fault_rate);
            self.executors[other].overall.retract_failure(inv.no_more_forwards);
        }
        let (outs, ran, life, memory) =
            (inv.in_flight().count(), inv.first_possible_run().is_some(), inv.state, inv.memory);
        let (t, way) = (&mut self.executors[tgt], &mut self.connection_records[way]);
        let answered =
            matches!(outcome, Outcome::Succeeded | Outcome::Errored | Outcome::Unfit | Outcome::Full);
        t.release_connection(now, answered);
        if answered {
            way.add_success(now, MAX_SUCCESSES, late);
        } else if outcome == Outcome::Unreachable && !late && self.settings.tells_start {
            way.add_failure(1.0);
        }
        t.held = t.held.saturating_sub(1);
        t.memory = if t.held == 0 { 0.0 } else { (t.memory - memory).max(0.0) };
        t.running = t.running.saturating_sub(usize::from(began.is_finite()));
        t.started_at_once &= outcome == Outcome::Succeeded;
        self.index.on_connection_freed(t);
        let kind = &mut self.kind_stats[t.entry.kind];
        match outcome {
            Outcome::Succeeded => Self::record_success(now, t, op, &mut self.operation_stats[op], kind, took),
            Outcome::Full => (t.refused_at, t.refusals) = (now, t.refusals + 1),
            Outcome::Cancelled | Outcome::Moot => {}
            Outcome::Unreachable => {
                t.seen_alive = false;
                // The next would lose as much time; unless it is connections that fail, there and everywhere.
                t.record_failure(
                    3.0 * self.connection_records[NEW].mean() / Record::default().mean(),
                    self.trust_reference,
                    out,
                );
            }
            // Two executors that fail the same job are not to blame; how often that is so tells of others.
            Outcome::Errored if blamed.is_some() => {}
            Outcome::Errored => {
                t.record_operation_failure(now, op, 1.0 - self.job_fault_rate, self.trust_reference, out)
            }
            Outcome::Unfit => t.record_failure(0.25, self.trust_reference, out),
            _ => t.record_operation_failure(now, op, 1.0, self.trust_reference, out),
        }
        t.update_doubtful(self.trust_reference, out);
        // Guards against connect failures: hundreds of nodes' idle connections fill an executor's table.
        let idle = t.held == 0 && !t.started_at_once && outcome != Outcome::Errored; // It answers, and will again.
        let idle = idle
            && !self.scans_whole_fleet()
            && !self.connection_records[NEW].avoided
            && self.limits_idle_connections();
        self.announce_held(tgt, out);
        if idle || self.connection_records[REUSED].avoided && self.executors[tgt].has_idle_connection() {
            self.close_idle_connections(tgt, out);
        }
        // Full beside reported room: the report speaks of another time than now.
        let late = outcome == Outcome::Full && report.free >= Some(ONE_SLOT) && report.queue < Some(0.5);
        self.misleading_report_rate +=
            MISLEADING_WEIGHT * (f64::from(u8::from(late)) - self.misleading_report_rate);
        self.apply_report(now, tgt, report);
        self.update_price(now, (outcome == Outcome::Full).then_some(true), now);
        match (ended || outcome == Outcome::Succeeded, outs) {
            (_, 0) if life == InvState::Ended => drop(self.invocations.remove(&id)),
            (true, _) => self.transition(now, id, InvEvent::Finished, out),
            (false, 1..) => {}
            (false, 0) => {
                self.transition(now, id, if ran { InvEvent::MayHaveRun } else { InvEvent::NotRun }, out)
            }
        }
    }

    fn close_idle_connections(&mut self, tgt: Tgt, out: &mut Vec<Output>) {
        self.executors[tgt].connections = self.executors[tgt].held;
        out.push(Output::Release(tgt));
    }

    /// All nodes with as many connections fill executors' tables, or they have a price, or no use.
    fn limits_idle_connections(&self) -> bool {
        const MAX_MEAN_CONNECTIONS: f64 = 30.0; // Connections: a seventh of the smallest table met, which takes capacity.
        let dear = self.settings.connection_price > 0.0 || self.can_query_load();
        dear || (self.connection_count() * self.settings.nodes) as f64
            > MAX_MEAN_CONNECTIONS * self.ranked.len() as f64
    }

    fn on_alive(&mut self, now: f64, id: InvId, forward: usize) {
        const SPILL_WEIGHT: f64 = 0.05; // Weight of a start in what leaves the zone; less for cheap crossings.
        const MISSING_SLOT_WEIGHT: f64 = 0.1; // Weight of a start where room was told in how often it was not there.
        const WAITED_WEIGHT: f64 = 0.05; // Weight of a start in a utilisation that is not reported: some twenty.
        let Some(inv) = self.invocations.get_mut(&id) else { return };
        let Some(fwd) = inv.forwards.get_mut(forward).filter(|f| f.state == ForwardState::InFlight) else {
            return;
        };
        let (t, sent, wait, first) =
            (&mut self.executors[fwd.tgt], fwd.sent, now - fwd.sent, fwd.wait.is_none());
        let late = (first && self.settings.tells_start).then_some(wait > LATE_START * inv.slack);
        let blamed = std::mem::take(&mut fwd.start_overdue);
        self.never_started_rate *= if blamed { 1.0 - 2.0 * NEVER_STARTED_WEIGHT } else { 1.0 }; // Also after all: it was a queue.
        if first {
            (t.running, t.started_at_once) = (t.running + 1, wait < STARTED_AT_ONCE);
            fwd.wait = Some(if self.settings.tells_start { wait } else { 0.0 });
        }
        t.on_sign_of_life(now);
        if late.is_some() {
            self.connection_records[fwd.connection_kind()].add_success(now, MAX_SUCCESSES, blamed);
            t.operation_record(inv.op).retract_failure(blamed);
        }
        if late.is_some() && fwd.had_reported_slot {
            self.missing_slot_rate +=
                MISSING_SLOT_WEIGHT * (f64::from(u8::from(wait >= STARTED_AT_ONCE)) - self.missing_slot_rate);
        }
        if let Some(late) = late.map(|late| f64::from(u8::from(late))) {
            let (near, cost) = (t.entry.zone == self.settings.zone, self.settings.cross_zone_price);
            let step = if near { late - cost } else { -late * (5.0 * cost).min(1.0) };
            self.spill_probability = (self.spill_probability + SPILL_WEIGHT * step).clamp(0.0, 1.0);
        }
        let waited = if wait >= STARTED_AT_ONCE { 1.0 } else { 0.5 } - self.util;
        self.util += if late.is_some() && !self.can_query_load() { WAITED_WEIGHT * waited } else { 0.0 };
        self.update_price(now, late, sent);
    }

    /// Guards against jobs that get lost while others run there: what can be sent again is taken back.
    fn on_unacknowledged(&mut self, now: f64, id: InvId, forward: usize, out: &mut Vec<Output>) {
        let Some(inv) = self.invocations.get(&id) else { return };
        let fwd = inv.forwards.get(forward).filter(|f| f.state == ForwardState::InFlight && f.wait.is_none());
        let Some(tgt) = fwd.map(|f| f.tgt) else { return };
        let more = self.settings.cancelling
            && now >= self.degraded_until
            && self.remaining_further_forwards(now) >= 1.0;
        let again = more && self.permitted_executors(inv).any(|t| self.is_eligible(now, inv, t));
        out.extend(again.then_some(Output::Withdraw { id, forward }));
        self.executors[tgt].record_failure(1.0, self.trust_reference, out);
    }

    /// Guards against queues that nothing tells of: late starts raise what is to be pressed, once a wait.
    fn update_price(&mut self, now: f64, late: Option<bool>, sent: f64) {
        const PRICE_RAISE: f64 = 1.5; // From a half to twice the usual press: hardly any, and all but the best.
        const PRICE_DECAY: f64 = 0.9; // Of 0.87 to 0.95, on drawn days of four fleets: a few late are no overload.
        if late == Some(true) && sent > self.price_raised_at && !self.can_query_load() {
            (self.price, self.price_raised_at) = ((self.price * PRICE_RAISE).clamp(0.5, 2.0), now);
        }
        self.price *= if late == Some(false) { PRICE_DECAY } else { 1.0 };
    }

    fn on_probed(&mut self, now: f64, tgt: Tgt, outcome: Outcome, report: Report, out: &mut Vec<Output>) {
        let Some(t) = self.executors.get_mut(tgt) else { return };
        if outcome == Outcome::Succeeded {
            t.seen_alive = true;
            return self.apply_report(now, tgt, report);
        }
        t.seen_alive = false;
        t.record_failure(if outcome == Outcome::Full { 0.0 } else { 0.5 }, self.trust_reference, out); // It may just be late.
        (t.refused_at, t.refusals) = (now, t.refusals.max(1));
    }

    /// Free slots that may be counted on; `None` when what is known is too old.
    fn available_slots(&self, now: f64, t: &Executor) -> Option<f64> {
        const FREE_REPORT_LIFETIME: f64 = 0.1; // A report of room holds while few others can have sent there.
        const FULL_REPORT_LIFETIME: f64 = 0.25; // One of none a little longer: it errs only by waiting.
        const REFUSAL_BACKOFF: f64 = 0.2; // After a full answer, whatever reports say; doubled by each more.
        const OVERLOAD_FACTOR: f64 = 1.5; // Without reports: yields above this multiple of the mean held, and one.
        if t.refusals > 0 && now - t.refused_at < REFUSAL_BACKOFF * f64::from(1 << (t.refusals - 1).min(5)) {
            return Some(0.0);
        }
        let warmth = t.warm_fraction(now, &self.settings.cold);
        match self.counting_node(t) {
            Some(me) if me == self.settings.me && t.slots > 0.0 => {
                return Some(
                    (t.slots * warmth).max(1.0) - t.held as f64 - t.held_by_peers() - t.pending_promises(now),
                );
            }
            Some(_) if warmth < 1.0 => {
                return (now - t.granted_at <= FREE_REPORT_LIFETIME).then_some(t.free - t.sent_since_report)
            }
            _ => {}
        }
        if self.reports_are_reliable(now) {
            if t.queried_at > t.reported_at && now - t.queried_at <= FULL_REPORT_LIFETIME {
                return (now - t.queried_at > QUERY_TIMEOUT).then_some(0.0);
            }
            let room = t.free - t.sent_since_report;
            let holds = if room >= ONE_SLOT { FREE_REPORT_LIFETIME } else { FULL_REPORT_LIFETIME };
            return (t.reported_at > 0.0 && now - t.reported_at <= holds).then_some(room);
        }
        // What was sent there last still waits: so would the next.
        if self.settings.tells_start && t.held > t.running && now - t.last_sent > STARTED_AT_ONCE {
            return Some(0.0);
        }
        let near = self.own_zone_count > 0 && t.entry.zone == self.settings.zone;
        Some(OVERLOAD_FACTOR * self.mean_held[usize::from(!near)] + 1.0 - t.held as f64)
    }

    /// Reports can be asked for, and are prompt enough to go by: fewer than two of the last twenty misled.
    fn reports_are_reliable(&self, now: f64) -> bool {
        self.can_query_load() && self.misleading_report_rate < 0.07 && now >= self.degraded_until
    }

    /// The node that counts what all hold there, where they may tell.
    fn counting_node(&self, t: &Executor) -> Option<usize> {
        (self.settings.peers && self.settings.probing)
            .then_some(t.entry.mark as usize % self.peer_last_heard.len())
    }

    /// Executors and nodes can be asked; if not, nothing tells of them but how own forwards fare there.
    fn can_query_load(&self) -> bool {
        self.settings.probing
            && self.settings.reports != Reports::Never
            && self.missing_slot_rate < self.util.powi(2).max(MAX_MISSING_RATE)
    }

    /// Guards against a cold executor that all push over, or leave idle. Where reports are prompt, all use
    /// its cold part of the slots; elsewhere nodes take turns, each less than half: a span may touch two.
    fn admits_while_cold(&self, now: f64, t: &Executor, load: f64) -> bool {
        let (cold, share) = (&self.settings.cold, t.warm_fraction(now, &self.settings.cold));
        if share >= 1.0 {
            return true;
        }
        // Who counts for it tells of no more slots than it has while cold, but not how long they are taken.
        let counted = self.counting_node(t).is_some_and(|keeper| keeper != self.settings.me || t.slots > 0.0);
        let (turn, slots) = (t.turn_number(now, cold.fall), t.slots.max(1.0));
        let spent = if t.cold_turn == turn { t.cold_work } else { 0.0 };
        let part = (share * slots).max(1.0).ceil();
        let open = match self.reports_are_reliable(now) && self.missing_slot_rate < MAX_RACED_RATE {
            _ if counted => true,
            true => self
                .available_slots(now, t)
                .is_none_or(|room| room >= slots - part + ONE_SLOT && t.reported_just_now(now)),
            false => (turn + t.entry.mark as usize) % self.settings.nodes.max(1) == self.settings.me,
        };
        open && spent + load <= 0.4 * cold.factor * share * slots * cold.fall && (t.held as f64) < part
    }

    pub(crate) fn is_eligible(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        let op = &self.settings.operations[inv.op];
        t.is_ready()
            && inv.forwards.len() < self.settings.max_forwards
            && op.kind.is_none_or(|kind| kind == t.entry.kind)
            && !inv.forwards.iter().any(|f| f.tgt == t.entry.tgt && f.state != ForwardState::NotRun)
            && inv.first_possible_run().is_none_or(|first| match op.effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => false,
                Effect::Deduplicated { group, window } => {
                    let same = self.executors[first.tgt].entry.same(group, &t.entry);
                    same && now < first.sent + window - write_limit::WINDOW_MARGIN
                }
            })
    }

    /// May go there, and it is trusted; if not, on the posterior's draw, with what could be sent again.
    fn can_send(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        let again = self.settings.operations[inv.op].effect != Effect::NonIdempotent;
        let shut = now >= self.degraded_until
            && t.operation_records.get(inv.op).is_some_and(|record| record.avoided);
        let open = !shut && self.list_state.permits(now);
        open && (t.is_trusted(now, self.degraded_until) || (t.trial && again))
            && self.is_eligible(now, inv, t)
    }

    /// Able, and in a large fleet, where a draw is dear, not known to be full or closed to so much work.
    fn is_candidate(&self, now: f64, inv: &Inv, t: &Executor) -> bool {
        let full = || self.available_slots(now, t).is_some_and(|room| room < ONE_SLOT);
        self.can_send(now, inv, t)
            && (self.scans_whole_fleet() || self.admits_while_cold(now, t, inv.load) && !full())
    }

    /// Draws by beta, or evenly while all are zero; in a large fleet from the own zone before `cross`.
    pub(crate) fn draw_executors(&mut self, now: f64, id: InvId, times: usize) -> Vec<Tgt> {
        let near = now < self.invocations[&id].cross_zone_from
            && self.own_zone_count > 0
            && !self.scans_whole_fleet();
        let mut chance = std::mem::take(&mut self.rng);
        let (many, inv) =
            (if near { self.own_zone_count } else { self.ranked.len() }, &self.invocations[&id]);
        let (few, blind, old) =
            (self.is_small_fleet(), !self.can_query_load(), self.connection_records[NEW].avoided);
        let zoned = |t: &Executor| few || !near || t.entry.zone == self.settings.zone;
        let open = |i: &Tgt| zoned(&self.executors[*i]) && self.is_candidate(now, inv, &self.executors[*i]);
        // Guards against cold executors left idle: who has a turn sends there first what will be in time.
        let warm = |i: &Tgt| self.executors[*i].warm_fraction(now, &self.settings.cold);
        let fresh = |i: &Tgt| warm(i) < 1.0 && inv.load * (1.0 / warm(i) - 1.0) <= 2.0 * inv.slack;
        let idle = |i: &Tgt| self.executors[*i].has_fresh_connection(now, self.settings.idle);
        // Guards against queues that nothing tells of: an executor that began at once is drawn again.
        let kept = |i: &Tgt| self.executors[*i].started_at_once && self.executors[*i].held == 0;
        let used = |i: &Tgt| few || blind && (fresh(i) || kept(i)) || old && idle(i);
        let some = if few {
            self.ranked[..many].to_vec()
        } else {
            self.index.preferred_executors(&mut chance, blind, old)
        };
        let mut pool: Vec<Tgt> = some.into_iter().filter(|i| used(i) && open(i)).collect();
        prefer(&mut pool, blind, fresh);
        prefer(&mut pool, old, idle);
        prefer(&mut pool, blind, kept);
        pool.retain(|i| !(inv.impatient && blind) || kept(i));
        let part = self.subset(inv, near).filter(|_| pool.is_empty() && !(inv.impatient && blind));
        let all = Sampler::new(pool, |i| self.executors[i].share);
        let (many, from) = (if few { times } else { 2 * times }, self.index.window_start);
        let mut drawn = part.unwrap_or(&all).draw(many, &mut chance, from, &open);
        // Guards against one that is busy by chance alone: who has waited longer, by its share, is looked at.
        let due =
            |i: &Tgt| if few { 0.0 } else { (now - self.executors[*i].last_sent) * self.executors[*i].share };
        drawn.sort_by(|a, b| due(b).total_cmp(&due(a)));
        drawn.truncate(times);
        (self.rng, self.index.window_start) = (chance, from.wrapping_add(MAX_SCANNED));
        drawn
    }

    /// Small enough to be gone through: more take over ten rounds, and all would meet at the same ones.
    fn scans_whole_fleet(&self) -> bool {
        self.can_query_load() && self.ranked.len() <= 20
    }

    /// Where to look: the drawn one, then down the shares, own zone first; in a large fleet two drawn ones.
    /// A key that executors keep has its own draws, the same at every node (weighted rendezvous hashing).
    fn candidates(&mut self, now: f64, id: InvId) -> Vec<Tgt> {
        const KEY_SPILL: f64 = 0.2; // Of the wait, for one more of a key's order: a tenth fetches too much.
        const DRAW_INTERVAL_MIN: f64 = 0.005; // About a round trip at first, doubled each time
        const DRAW_INTERVAL_MAX: f64 = 0.16; // up to this: some six times in half a second.
        let (whole, inv) = (self.scans_whole_fleet(), &self.invocations[&id]);
        if let Some(key) = inv.key {
            if inv.candidates.is_empty() {
                let order = self.rendezvous_order(key);
                self.invocations.entry(id).and_modify(|inv| inv.candidates = order);
            }
            let inv = &self.invocations[&id];
            let many = 1 + ((now - inv.latest_start + inv.slack) / (KEY_SPILL * inv.slack)).max(0.0) as usize;
            let able = |i: &Tgt| self.can_send(now, inv, &self.executors[*i]);
            let order: Vec<Tgt> = inv.candidates.iter().copied().filter(able).take(many).collect();
            return if order.is_empty() && !self.is_small_fleet() {
                self.draw_executors(now, id, 1)
            } else {
                order
            };
        }
        let open = |i: &&Tgt| self.is_candidate(now, inv, &self.executors[**i]);
        let mut sample: Vec<Tgt> = inv.candidates.iter().filter(open).copied().collect();
        if sample.is_empty() && (whole || now >= inv.next_draw) {
            sample = self.draw_executors(now, id, if whole { 1 } else { 2 });
            sample.dedup();
            let inv = self.invocations.entry(id).or_default();
            inv.draw_interval = (2.0 * inv.draw_interval).clamp(DRAW_INTERVAL_MIN, DRAW_INTERVAL_MAX);
            (inv.next_draw, inv.candidates) = (now + inv.draw_interval, sample.clone());
        }
        let Some(first) = sample.first().copied().filter(|_| whole) else { return sample };
        sample.extend(self.ranked.iter().copied().filter(|&i| i != first && self.executors[i].beta > 0.0));
        let far = |i: &Tgt| self.own_zone_count > 0 && self.executors[*i].entry.zone != self.settings.zone;
        sample.retain(|i| now >= self.invocations[&id].cross_zone_from || !far(i));
        sample.sort_by_key(far);
        sample
    }

    fn find_placement(&mut self, now: f64, id: InvId, out: &mut Vec<Output>) -> Placement {
        const MEMORY_REPORT_LIFETIME: f64 = 1.0; // Then what others' jobs take of it is unknown: some running times.
        const RESERVED_SHARE: f64 = 0.5; // Of the budget's floor, for the first of its invocations by what they press.
        const MAX_QUERIES: usize = 2; // Executors asked for their state at a time.
        let inv = &self.invocations[&id];
        let most = if inv.no_more_forwards { 0 } else { self.settings.max_forwards };
        // The last few further forwards are for what is worth most, and for what is known not to have run.
        let few = self.settings.budget.map_or(0.0, |budget| RESERVED_SHARE * budget.floor);
        let first = inv.forwards.is_empty()
            || inv.first_possible_run().is_none()
            || inv.priority >= self.typical_priority;
        let none = !inv.forwards.is_empty()
            && self.remaining_further_forwards(now) < if first { 1.0 } else { 1.0 + few };
        let spent =
            none || inv.forwards.len() >= most || self.stop_deadline.is_some() && now + inv.load > inv.end;
        if spent
            || (inv.first_possible_run().is_some()
                && !self.permitted_executors(inv).any(|t| self.is_eligible(now, inv, t)))
        {
            return Placement::Never;
        }
        let (order, inv, mut stale) = (self.candidates(now, id), &self.invocations[&id], Vec::new());
        let able = |t: &Executor| self.can_send(now, inv, t) && self.admits_while_cold(now, t, inv.load);
        for i in order.into_iter().filter(|&i| able(&self.executors[i])) {
            let t = &self.executors[i];
            let foreign = if now - t.own_report_at < MEMORY_REPORT_LIFETIME { t.foreign_memory } else { 0.0 };
            let fits = t.slots <= 0.0 || t.memory + foreign + inv.memory <= t.slots;
            let first = stale.is_empty() || inv.key.is_none() && !self.scans_whole_fleet();
            match self.available_slots(now, t) {
                None => stale.push(i),
                Some(room) if room >= ONE_SLOT && fits && first => return Placement::Here(i),
                Some(_) => {}
            }
        }
        stale.truncate(MAX_QUERIES);
        stale.retain(|&i| now - self.executors[i].queried_at > QUERY_TIMEOUT);
        stale.into_iter().for_each(|i| self.query_load(now, i, out));
        Placement::Later
    }

    /// Asks who counts for the executor, or itself if that is this node or its last answer never came.
    fn query_load(&mut self, now: f64, tgt: Tgt, out: &mut Vec<Output>) {
        let t = &self.executors[tgt];
        let keeper =
            self.counting_node(t).filter(|&k| k != self.settings.me && t.queried_at <= t.reported_at);
        let question = |to| Output::Tell { to, told: Told::Asks, tgt, count: 0 };
        out.push(keeper.map_or(Output::Probe(tgt), question));
        self.executors[tgt].queried_at = now;
    }

    fn send_forward(&mut self, now: f64, id: InvId, tgt: Tgt, out: &mut Vec<Output>) {
        let turn = self.executors[tgt].turn_number(now, self.settings.cold.fall);
        let t = &self.executors[tgt];
        let told = self.reports_are_reliable(now) && t.free - t.sent_since_report >= ONE_SLOT;
        let sure = self.settings.tells_start && (told || t.held == 0 && t.started_at_once);
        if t.has_idle_connection()
            && (!t.has_fresh_connection(now, self.settings.idle) || self.connection_records[REUSED].avoided)
        {
            self.close_idle_connections(tgt, out);
        }
        let Some(inv) = self.invocations.get_mut(&id) else { return };
        self.further_sent.record_if(!inv.forwards.is_empty(), now, self.settings.budget_retention());
        let t = &mut self.executors[tgt];
        self.awaiting_start.remove(&id);
        self.awaiting_start.extend(sure.then_some(id));
        inv.forwards.push(Forward {
            had_reported_slot: told,
            reused_connection: t.has_idle_connection(),
            expected_at_once: sure,
            ..Forward::new(tgt, now)
        });
        t.operation_record(inv.op).fail_and_compare(0.0, self.trust_reference); // A trial is one invocation.
        t.connections = t.connections.max(t.held + 1);
        t.memory += inv.memory;
        t.cold_work = inv.load + if t.cold_turn == turn { t.cold_work } else { 0.0 };
        t.last_sign_of_life = if t.held == 0 { now } else { t.last_sign_of_life };
        (t.cold_turn, t.held, t.sent_since_report, t.last_sent, t.trial) =
            (turn, t.held + 1, t.sent_since_report + 1.0, now, false);
        self.waiting.retain(|&other| other != id);
        out.push(Output::Forward { id, tgt });
        self.announce_held(tgt, out);
        self.transition(now, id, InvEvent::Sent, out);
    }

    /// Sends what waits, the most pressing first, while any executor has room or could be asked.
    fn dispatch_waiting(&mut self, now: f64, out: &mut Vec<Output>) {
        const MAX_MISSES: usize = 6; // Looked at without finding a place: CPU is scarce where queues are long.
        const DISPATCH_INTERVAL: f64 = 0.025; // A few batches, and short beside any objective.
        let mut at = 0;
        while let Some(&id) = self.waiting.get(at).filter(|_| at < MAX_MISSES) {
            match self.find_placement(now, id, out) {
                Placement::Here(tgt) => self.send_forward(now, id, tgt, out),
                Placement::Later => at += 1,
                Placement::Never => self.transition(now, id, InvEvent::GaveUp, out),
            }
        }
        for id in self.check_overdue_starts(now) {
            if let Placement::Here(tgt) = self.find_placement(now, id, out) {
                self.send_forward(now, id, tgt, out);
            }
        }
        if (!self.awaiting_start.is_empty() || !self.waiting.is_empty()) && !self.dispatch_timer_set {
            self.dispatch_timer_set = true;
            out.push(Output::Wake { after: DISPATCH_INTERVAL, timer: LOOK });
        }
    }

    /// Guards against lost connections and swallowed operations: what should have begun. Tells what to copy.
    fn check_overdue_starts(&mut self, now: f64) -> Vec<InvId> {
        const GIVEN_UP_AFTER: f64 = 2.0; // Of the half of what it could wait: it will not be in time.
        let mut copies = Vec::new();
        for id in std::mem::take(&mut self.awaiting_start) {
            let Some(inv) = self.invocations.get_mut(&id).filter(|inv| inv.state != InvState::Ended) else {
                continue;
            };
            let Some(fwd) = inv.forwards.last_mut().filter(|f| f.is_start_missing() && !f.start_given_up)
            else {
                continue;
            };
            let (age, t) = (now - fwd.sent, &mut self.executors[fwd.tgt]);
            if !fwd.start_overdue && age > LATE_START * inv.slack {
                (fwd.start_overdue, t.started_at_once) = (true, false);
                self.connection_records[fwd.connection_kind()].add_failure(1.0);
                t.operation_record(inv.op).fail_and_compare(1.0, self.trust_reference);
            }
            if fwd.start_overdue && age > GIVEN_UP_AFTER * inv.slack {
                fwd.start_given_up = true;
                self.never_started_rate += NEVER_STARTED_WEIGHT * (1.0 - self.never_started_rate);
            } else if fwd.start_overdue
                && (self.never_started_rate > 0.5 || fwd.had_reported_slot && fwd.reused_connection)
                && now < inv.end - ANSWER_MARGIN
            {
                copies.extend(self.settings.second_copies.then_some(id));
            }
            self.awaiting_start.extend((!fwd.start_given_up).then_some(id));
        }
        copies
    }

    /// Guards against answers cut off at a stop: what usually takes longer is given back (see `place`).
    fn begin_stop(&mut self, end: f64) {
        self.stop_deadline = Some(end);
        self.invocations.values_mut().for_each(|inv| inv.end = inv.end.min(end));
    }

    /// Gives up what has waited for as long as that can pay.
    fn expire_waiting(&mut self, now: f64, out: &mut Vec<Output>) {
        self.dispatch_timer_set = false;
        let over =
            |id: &InvId| now >= self.invocations[id].give_up_at.min(self.invocations[id].end - ANSWER_MARGIN);
        let (over, waiting): (Vec<InvId>, _) = std::mem::take(&mut self.waiting).into_iter().partition(over);
        self.waiting = waiting;
        over.into_iter().for_each(|id| self.transition(now, id, InvEvent::GaveUp, out));
    }

    fn on_solve_timer(&mut self, now: f64, out: &mut Vec<Output>) {
        const FAILURE_DECAY: f64 = 8.2; // Seconds in which remembered failures fade to a third: half after six.
        const MISSING_SLOT_DECAY: f64 = 60.0; // Then reports that told of no room are looked at again.
        const SOLVE_COST: f64 = 5e-3; // Tenfold, an executor, in invocations: solves take a tenth of the CPU.
        const SOLVE_INTERVAL_MAX: f64 = 5.0; // Before what is known is far out of date.
        const PEER_SILENT: f64 = 6.0; // A peer not heard for longer than from solve to solve holds nothing.
        const TRIAL_THRESHOLD: f64 = 0.7; // A doubtful one is tried when the draw is near what trusted ones reach.
        const PHI_ARRIVALS: f64 = 4.0; // Arrivals that phi is smoothed over, and two seconds more.
        let passed = (now - self.last_solve).max(1e-3);
        self.last_solve = now;
        self.trust_reference = self.compute_trust_reference();
        self.degraded_until =
            if self.trust_reference < DEGRADED_BELOW { now + DEGRADED_HOLD } else { self.degraded_until };
        let new = 1.0 - (-passed / (2.0 + PHI_ARRIVALS / self.phi.max(1.0))).exp();
        for class in self.operation_stats.iter_mut().chain(&mut self.tenant_stats) {
            class.smooth_rate(passed, new);
        }
        self.phi = self.operation_stats.iter().map(|class| class.rate).sum();
        let usual = |(op, c): (usize, &TrafficStats)| {
            c.rate * self.billed_value(op, c.log_latency.map_or(1.0, f64::exp))
        };
        self.mean_value =
            self.operation_stats.iter().enumerate().map(usual).sum::<f64>() / self.phi.max(1e-6);
        let work =
            self.operation_stats.iter().map(|c| c.rate * c.log_latency.map_or(1.0, f64::exp)).sum::<f64>();
        self.typical_priority = self.settings.goal_whole / work.max(1e-6);
        self.price *= (-passed / FAILURE_DECAY).exp();
        self.missing_slot_rate *= (-passed / MISSING_SLOT_DECAY).exp();
        let late = |f: &&Forward, i: &Inv| {
            f.state == ForwardState::InFlight && f.wait.is_none() && now - f.sent > LATE_START * i.slack
        };
        let queued = self.invocations.values().filter_map(|inv| inv.forwards.last().filter(|f| late(f, inv)));
        let sent = queued.map(|f| f.sent).fold(0.0, f64::max);
        self.update_price(now, (self.settings.tells_start && sent > 0.0).then_some(true), sent);
        // Silent: no sign for one and a half intervals, longer where starts are told and none was (queued).
        let limit = if self.settings.progress > 0.0 { 1.5 * self.settings.progress + 0.2 } else { 5.0 };
        for t in &mut self.executors {
            t.forget_silent_peers(now, &self.peer_last_heard, PEER_SILENT);
            t.overall.failures *= (-passed / FAILURE_DECAY).exp();
            t.trial =
                (t.doubtful || t.silent) && t.overall.draw_from_posterior(&mut self.rng) >= TRIAL_THRESHOLD;
            let limit = if self.settings.tells_start && t.running == 0 { 2.5 * limit } else { limit };
            if t.held > 0 && now - t.last_sign_of_life > limit {
                (t.last_sign_of_life, t.silent) = (now, true);
                t.record_failure(2.0, self.trust_reference, out);
            }
            t.update_doubtful(self.trust_reference, out);
            for record in &mut t.operation_records {
                record.failures *= (-passed / FAILURE_DECAY).exp();
                record.fail_and_compare(0.0, self.trust_reference);
                record.avoided =
                    record.avoided && record.draw_from_posterior(&mut self.rng) < TRIAL_THRESHOLD;
            }
        }
        self.update_connection_records(passed, out);
        self.probe_missing(now, out);
        self.solve(now);
        // Each second all that it holds, and once more what has changed, as messages may be lost.
        let again = now.floor() > (now - passed).floor();
        for tgt in 0..if again { self.executors.len() } else { 0 } {
            if self.executors[tgt].held_announced {
                self.announce_held(tgt, out);
                self.executors[tgt].held_announced = self.executors[tgt].held > 0;
            }
        }
        // A node with few invocations solves a large fleet less often: CPU counts by the invocation.
        let cost = SOLVE_COST * self.ranked.len() as f64;
        let after = (cost / self.phi.max(0.5)).clamp(SOLVE_INTERVAL, SOLVE_INTERVAL_MAX);
        out.push(Output::Wake { after, timer: SOLVE_TIMER });
    }

    /// Guards against connections that fail by their sort, kept or new: the worse is left, but for trials.
    fn update_connection_records(&mut self, passed: f64, out: &mut Vec<Output>) {
        const FAILURE_DECAY: f64 = 20.0; // Such troubles last for tens of seconds; a trial costs an invocation.
        const WORSE_FACTOR: f64 = 0.75; // Of the other's mean.
        let was = self.connection_records[REUSED].avoided;
        for way in [REUSED, NEW] {
            let (other, way) = (self.connection_records[1 - way], &mut self.connection_records[way]);
            way.failures *= (-passed / FAILURE_DECAY).exp();
            let worse = way.mean() < WORSE_FACTOR * other.mean();
            way.avoided =
                worse && way.draw_from_posterior(&mut self.rng) < other.draw_from_posterior(&mut self.rng);
        }
        let suspect = |i: &Tgt| {
            self.connection_records[REUSED].avoided && !was && self.executors[*i].has_idle_connection()
        };
        let suspects: Vec<Tgt> = (0..self.executors.len()).filter(suspect).collect();
        suspects.into_iter().for_each(|tgt| self.close_idle_connections(tgt, out));
    }

    /// Asks some of those that are missing whether they live, or takes it for granted where none is left.
    fn probe_missing(&mut self, now: f64, out: &mut Vec<Output>) {
        const MAX_PROBES: usize = 3; // At a time: some seconds later there are dozens, more than one node needs.
        let none = !self.executors.iter().any(Executor::is_ready);
        let left = |t: &Executor| t.entry.standing == Standing::Missing && !t.seen_alive;
        let missing: Vec<Tgt> = (0..self.executors.len()).filter(|&i| left(&self.executors[i])).collect();
        if none {
            missing.iter().for_each(|&i| self.executors[i].seen_alive = true);
        }
        for _ in 0..if self.settings.probing && !missing.is_empty() { MAX_PROBES } else { 0 } {
            let tgt = missing[(self.rng.draw() * missing.len() as f64) as usize];
            let t = &mut self.executors[tgt];
            if now - t.queried_at > 0.5 && (t.refusals == 0 || now - t.refused_at > 5.0) {
                t.queried_at = now;
                out.push(Output::Probe(tgt));
            }
        }
    }

    /// Rates from own latencies and reports, then COOP, then the order of the pass.
    pub(crate) fn solve(&mut self, now: f64) {
        const SLOWNESS_DECAY: f64 = 0.98; // Of an executor's difference from the mean, each interval without outcomes.
        const TRIAL_SHARE: f64 = 0.02; // Of the mean share, for a zero share: one in fifty keeps its figures alive.
        const DECAY_AFTER: f64 = 3.0; // Some invocations' time: so long without an own outcome, it drifts.
        let dear =
            self.settings.cross_zone_price > 0.0 && (self.can_query_load() || self.settings.tells_start); // Else blind.
        let known: Vec<f64> = self.executors.iter().map(|t| t.slots).filter(|slots| *slots > 0.0).collect();
        let usual = known.iter().sum::<f64>().max(1.0) / known.len().max(1) as f64;
        let few = self.is_small_fleet();
        for t in &mut self.executors {
            t.log_slowness *= if now - t.last_success > DECAY_AFTER { SLOWNESS_DECAY } else { 1.0 };
            let kind = &self.kind_stats[t.entry.kind];
            t.slots = if t.slots > 0.0 { t.slots } else { kind.max_slots };
            let slots = if t.slots > 0.0 { t.slots } else { usual };
            let size = match self.settings.sizes {
                Sizes::Listed => t.entry.size,
                Sizes::Rough => t.entry.size * (-kind.log_slowness).exp(),
                Sizes::Live => kind.max_size,
                Sizes::Never => slots * (-kind.log_slowness).exp(),
            };
            (t.mu, t.beta) = (
                size * t.warm_fraction(now, &self.settings.cold)
                    * (-kind.significant_slowness(t.log_slowness, few)).exp(),
                0.0,
            );
        }
        let ready = |i: &Tgt| self.executors[*i].is_ready();
        let mut rank: Vec<Tgt> = (0..self.executors.len()).filter(ready).collect();
        // Scaled so that this node's arrivals load them as much as they report to be loaded.
        let sum: f64 = rank.iter().map(|&i| self.executors[i].mu).sum();
        let scale = self.phi.max(1e-3) / self.util.clamp(0.05, 1.0) / sum.max(1e-9);
        rank.iter().for_each(|&i| self.executors[i].mu *= scale);
        // Kinds are solved apart where an operation needs one, each with its part of phi.
        let apart = self.settings.operations.iter().any(|op| op.kind.is_some());
        for kind in 0..if apart { self.kind_stats.len() } else { 1 } {
            let one = |i: &Tgt| !apart || self.executors[*i].entry.kind == kind;
            let members: Vec<Tgt> = rank.iter().copied().filter(one).collect();
            let mu: Vec<f64> = members.iter().map(|&i| self.executors[i].mu).collect();
            let phi = self.phi * mu.iter().sum::<f64>() / (sum * scale).max(1e-9);
            members.iter().zip(coop(&mu, phi)).for_each(|(&i, beta)| self.executors[i].beta = beta);
        }
        let near = |i: Tgt| dear && self.executors[i].entry.zone == self.settings.zone;
        let share = |i: Tgt| self.executors[i].beta;
        rank.sort_by(|&a, &b| near(b).cmp(&near(a)).then(share(b).total_cmp(&share(a))).then(a.cmp(&b)));
        self.own_zone_count = rank.iter().take_while(|&&i| near(i)).count();
        let sum: f64 = rank.iter().map(|&i| share(i)).sum();
        let least = if sum > 0.0 { TRIAL_SHARE * sum / rank.len() as f64 } else { 1.0 };
        rank.iter().for_each(|&i| self.executors[i].share = self.executors[i].beta.max(least));
        let mean = |of: &[Tgt]| {
            of.iter().map(|&i| self.executors[i].held as f64).sum::<f64>() / of.len().max(1) as f64
        };
        self.mean_held = [mean(&rank[..self.own_zone_count]), mean(&rank[self.own_zone_count..])];
        self.index = Index::new(now, &self.settings, &self.executors, &rank, self.index.window_start);
        self.ranked = rank;
    }

    /// Tells who counts for it what this node holds at an executor.
    fn announce_held(&mut self, tgt: Tgt, out: &mut Vec<Output>) {
        self.executors[tgt].held_announced = true;
        let (t, told) = (&self.executors[tgt], Told::Held);
        let (to, count) = (self.counting_node(t).filter(|to| *to != self.settings.me), t.held.min(255) as u8);
        out.extend(to.map(|to| Output::Tell { to, told, tgt, count }));
    }

    fn on_peer_message(
        &mut self,
        now: f64,
        from: usize,
        told: Told,
        tgt: Tgt,
        count: u8,
        out: &mut Vec<Output>,
    ) {
        let Some(()) = self.peer_last_heard.get_mut(from).map(|heard| *heard = now) else { return };
        let room = self.executors.get(tgt).and_then(|t| self.available_slots(now, t));
        let Some(t) = self.executors.get_mut(tgt) else { return };
        match told {
            Told::Held => t.set_peer_held(from, count),
            Told::Room => {
                (t.free, t.sent_since_report, t.reported_at, t.granted_at) = (f64::from(count), 0.0, now, now)
            }
            Told::Asks => {
                // The next to ask is not promised the same slot.
                if room >= Some(ONE_SLOT) {
                    (t.promised_at, t.promised_slots) = (now, t.pending_promises(now) + 1.0);
                }
                out.extend(room.map(|n| Output::Tell { to: from, told: Told::Room, tgt, count: n as u8 }));
            }
        }
    }
}

const LATE_START: f64 = 0.5; // Of what it can wait: without a start until then the queue is too long.
const NEVER_STARTED_WEIGHT: f64 = 0.2; // Weight of a forward that should have started in how many never do: some five.
const STARTED_AT_ONCE: f64 = 0.05; // A forward's way, a new connection and some batches: it waited for nothing.
pub(crate) const MAX_RACED_RATE: f64 = 0.1; // Room not there so often is raced for, at a cold executor to its fall.
const MAX_MISSING_RATE: f64 = 0.35; // Room that is not there so often is no guide: own forwards tell more.
const ONE_SLOT: f64 = 0.9; // One free slot, allowing for noise in reports.
const QUERY_TIMEOUT: f64 = 0.06; // A question's way there and back, and some batches: no answer means no room.

#[cfg(test)]
mod tests;
