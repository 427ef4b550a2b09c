//! The decision logic of a coveroute node, as a deterministic state machine. Create it once with
//! `Node::new(settings, seed)`, then call `handle(now, input, &mut out)` for each event in order; the caller
//! performs the outputs in order. Nothing here blocks or reads a clock. The interface is in `types.rs`;
//! docs/design.md gives the reasons behind the rules.
use crate::list_state::ListState;
use crate::node::Node;
use crate::sampler::{Index, Sampler, MAX_SCANNED};
use crate::types::*;
use crate::write_limit;

// Timer ids.
/// Recomputes the shares.
const SOLVE_TIMER: u64 = 0;
/// Retries the waiting queue.
pub const DISPATCH_TIMER: u64 = 1;
/// Calls discovery for the list of executors.
const LIST_CALL_TIMER: u64 = 2;

/// State, event, next state, action. Late, duplicate and unknown events have no row and change nothing.
const TRANSITIONS: [(InvocationState, InvocationEvent, InvocationState, TransitionAction); 14] = [
    (InvocationState::Waiting, InvocationEvent::Sent, InvocationState::InFlight, TransitionAction::Keep),
    (
        InvocationState::Uncertain,
        InvocationEvent::Sent,
        InvocationState::InFlightUncertain,
        TransitionAction::Keep,
    ),
    (
        InvocationState::InFlight,
        InvocationEvent::Sent,
        InvocationState::InFlightUncertain,
        TransitionAction::Keep,
    ),
    (
        InvocationState::InFlightUncertain,
        InvocationEvent::Sent,
        InvocationState::InFlightUncertain,
        TransitionAction::Keep,
    ),
    (InvocationState::InFlight, InvocationEvent::NotRun, InvocationState::Waiting, TransitionAction::Queue),
    (
        InvocationState::InFlight,
        InvocationEvent::MayHaveRun,
        InvocationState::Uncertain,
        TransitionAction::Queue,
    ),
    (
        InvocationState::InFlightUncertain,
        InvocationEvent::NotRun,
        InvocationState::Waiting,
        TransitionAction::Queue,
    ),
    (
        InvocationState::InFlightUncertain,
        InvocationEvent::MayHaveRun,
        InvocationState::Uncertain,
        TransitionAction::Queue,
    ),
    (InvocationState::Waiting, InvocationEvent::GaveUp, InvocationState::Ended, TransitionAction::Throttle),
    (
        InvocationState::Uncertain,
        InvocationEvent::GaveUp,
        InvocationState::Ended,
        TransitionAction::ThrottleOrError,
    ),
    (InvocationState::Waiting, InvocationEvent::Finished, InvocationState::Ended, TransitionAction::Close),
    (InvocationState::InFlight, InvocationEvent::Finished, InvocationState::Ended, TransitionAction::Close),
    (InvocationState::Uncertain, InvocationEvent::Finished, InvocationState::Ended, TransitionAction::Close),
    (
        InvocationState::InFlightUncertain,
        InvocationEvent::Finished,
        InvocationState::Ended,
        TransitionAction::Close,
    ),
];

/// An executor becomes doubtful below the first fraction of the reference level and is trusted again above
/// the second. The gap is hysteresis against flapping.
const DOUBT_THRESHOLDS: [f64; 2] = [0.65, 0.75];
/// Cap on the remembered successes, so that new failures soon outweigh them.
pub(crate) const MAX_SUCCESSES: f64 = 8.0;

impl Record {
    /// Adds a failure and marks the record as avoided if its mean falls below the threshold.
    fn fail_and_compare(&mut self, weight: f64, level: f64) {
        self.add_failure(weight);
        self.avoided = self.mean() < level * DOUBT_THRESHOLDS[0];
    }
}

impl Executor {
    /// Records a failure of one operation. If other operations succeed here, the executor as a whole is not
    /// blamed: it may fail a single operation and serve the rest.
    fn record_operation_failure(
        &mut self,
        now: f64,
        op: usize,
        weight: f64,
        level: f64,
        out: &mut Vec<Output>,
    ) {
        const RECENT: f64 = 10.0; // Seconds; covers several of a node's forwards to one executor.
        let succeeds =
            |(at, r): (usize, &Record)| at != op && now - r.last_success < RECENT && r.failures < 0.5;
        let others_succeed = self.operation_records.iter().enumerate().any(succeeds);
        let record = self.operation_record(op);
        record.fail_and_compare(weight, level);
        self.record_failure(if others_succeed { 0.0 } else { weight }, level, out);
    }

    /// Compares the record with `level`, which the better executors reach, so that a network fault that
    /// affects all executors alike does not make all of them doubtful.
    fn update_doubtful(&mut self, level: f64, out: &mut Vec<Output>) {
        let doubtful = self.overall.mean() < level * DOUBT_THRESHOLDS[usize::from(self.doubtful)];
        let verdict = if doubtful { "is doubtful" } else { "is trusted again" };
        let changed = doubtful != std::mem::replace(&mut self.doubtful, doubtful);
        out.extend(changed.then(|| Output::Log(format!("executor {:06x} {verdict}", self.entry.stable_id))));
    }

    fn record_failure(&mut self, weight: f64, level: f64, out: &mut Vec<Output>) {
        self.overall.add_failure(weight);
        self.update_doubtful(level, out);
    }
}

/// COOP (paper, section 3): splits the arrival rate phi over the service rates mu. The slowest executor is
/// dropped while its rate is below the spare rate c.
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

/// If the better executors reach no more than this, the network is slow or failing to all executors alike.
/// Load reports then arrive too late to be used, and a withdrawn forward fares no better at another executor.
const DEGRADED_BELOW: f64 = 0.7;
/// Seconds for which the network counts as degraded after it was last seen so.
const DEGRADED_HOLD: f64 = 5.0;
/// Seconds between solves: several within the shortest running time met.
const SOLVE_INTERVAL: f64 = 0.25;
/// Seconds before the client's deadline at which a waiting invocation is answered: several event-loop
/// batches.
const ANSWER_MARGIN: f64 = 0.1;

impl Node {
    /// Processes one event at time `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        self.last_inputs =
            if now > self.last_inputs[1] { [self.last_inputs[1], now] } else { self.last_inputs };
        match input {
            Input::List(list) => self.on_list(now, list, out),
            Input::Submitted(sub) => self.on_submitted(now, sub, out),
            Input::Settled(settled) => self.on_settled(now, settled, out),
            Input::Started { id, forward } => return self.on_alive(now, id, forward),
            Input::Unacknowledged { id, forward } => self.on_unacknowledged(now, id, forward, out),
            Input::Expired(id) => self.transition(now, id, InvocationEvent::Finished, out),
            Input::Stopping(deadline) => self.begin_stop(deadline),
            Input::Timer(SOLVE_TIMER) => self.on_solve_timer(now, out),
            Input::Timer(DISPATCH_TIMER) => self.expire_waiting(now, out),
            Input::Timer(_) => out.extend(self.list_calls.is_scheduled().then_some(Output::WatchList)),
            Input::Probed { executor_index, outcome, report } => {
                self.on_probed(now, executor_index, outcome, report, out)
            }
            Input::PeerMessage { from, kind, executor_index, count } => {
                self.on_peer_message(now, from, kind, executor_index, count, out)
            }
        }
        self.dispatch_waiting(now, out);
    }

    /// Applies a list of executors, or the loss of the watch on it. docs/design/told.md summarises the
    /// timing.
    fn on_list(&mut self, now: f64, list: List, out: &mut Vec<Output>) {
        let state = match list {
            List::Lost(loss) => self.list_state.after(now, loss),
            List::Initial(_, age) => ListState::initial(now, age, !self.settings.polls_list),
            List::Changes(_) | List::Whole(_) => ListState::Followed,
            List::SourceChanged if self.settings.polls_list => self.list_state.after_source_change(now),
            // The keeper of pushed lists belongs to the node.
            List::SourceChanged => self.list_state,
        };
        out.extend(self.list_state.transition(now, state).map(Output::Log));
        self.list_state = state;
        let call = |after| Output::SetTimer { after, timer: LIST_CALL_TIMER };
        let whole = list.is_whole();
        let entries = match list {
            List::SourceChanged => return,
            List::Lost(loss) => {
                let after = self.list_calls.next(now, state, loss, SOLVE_INTERVAL, &self.settings);
                return out.push(call(after));
            }
            List::Initial(entries, _) => {
                let knows_some = !entries.is_empty();
                let after = self
                    .settings
                    .polls_list
                    .then(|| self.list_calls.first(now, state, knows_some, &self.settings));
                out.extend(after.map(call));
                self.last_solve = now;
                out.push(Output::SetTimer { after: SOLVE_INTERVAL, timer: SOLVE_TIMER });
                entries
            }
            List::Changes(entries) | List::Whole(entries) => {
                self.list_calls.followed();
                entries
            }
        };
        // An executor absent from a whole list is gone: it was removed while this node received no changes.
        self.with_absent(whole, entries).into_iter().for_each(|entry| self.apply_entry(now, entry));
        self.solve(now);
    }

    /// Applies one line of the list of executors.
    fn apply_entry(&mut self, now: f64, entry: Entry) {
        self.ensure_known(&entry);
        let t = &mut self.executors[entry.executor_index];
        let (previous, started, only_draining) =
            (t.entry.standing, t.entry.started, self.settings.only_draining);
        // With `only_draining`, a list may be wrong or out of date: draining is final for a process, and an
        // executor that is no longer listed is used again once it has been seen alive.
        let outdated = entry.started < started || entry.started == started && previous == Standing::Draining;
        let vanished =
            entry.standing == Standing::Gone && matches!(previous, Standing::Ready | Standing::Missing);
        if only_draining && (outdated || vanished && !entry.started.is_nan()) {
            t.entry.standing = if vanished { Standing::Missing } else { previous };
            return t.seen_alive &= previous == Standing::Missing;
        }
        t.apply_entry(now, entry);
    }

    /// The number of further forwards (beyond an invocation's first) that the budget still allows; unlimited
    /// without one.
    fn remaining_further_forwards(&self, now: f64) -> f64 {
        const SPAN_MARGIN: f64 = 0.002; // Whether the ends of the span are inclusive is unspecified.
        let Some(Budget { floor, share, span }) = self.settings.budget else { return f64::INFINITY };
        floor + share * self.accepted.count_since(now - span + SPAN_MARGIN)
            - self.further_sent.count_since(now - span - SPAN_MARGIN)
    }

    /// Admits an invocation to the waiting queue, or answers it at once.
    fn on_submitted(&mut self, now: f64, sub: Submission, out: &mut Vec<Output>) {
        // Smoothing weight of one invocation in its tenant's timeouts.
        const TIMEOUT_WEIGHT: f64 = 0.1;
        // Lower bound, so that some are still tried.
        const MIN_WEIGHT: f64 = 0.05;
        // Fraction of the longest timeout; a tenant whose short timeouts come only from retries stays above
        // it.
        const IMPATIENT_BELOW: f64 = 0.5;
        // Of the mean slack: running times vary by about as much again.
        const WAIT_FRACTION: f64 = 0.5;
        self.accepted.record_if(true, now, self.settings.budget_retention());
        // Refused: an unknown operation, whose effect is unknown, and a client about to time out.
        let op = self.settings.operations.get(sub.operation).filter(|_| sub.timeout > ANSWER_MARGIN);
        let Some(op) = op else { return out.push(Output::Throttle { id: sub.id, pause: 0.0 }) };
        let stats = &mut self.operation_stats[sub.operation];
        stats.arrived += 1.0;
        let hint = sub.hint.filter(|h| h.is_finite() && *h > 0.0).unwrap_or(1.0);
        let load = stats.log_latency.map_or(op.objective, |log_latency| log_latency.exp() * hint);
        let memory = sub.memory.filter(|m| m.is_finite() && *m > 0.0).unwrap_or(0.0);
        // How long it can wait and still meet its objective, given its operation's usual running time.
        let slack = WAIT_FRACTION * (op.objective + (op.stretch - 1.0) * load).max(0.5 * op.objective);
        // A retrying client has less of its timeout left, and its objective counts from the first attempt.
        // Where clients mark retries, an unmarked one is late by at most the time this node was stalled.
        stats.longest_timeout = stats.longest_timeout.max(sub.timeout);
        let stall = if self.settings.clients_mark_retries && !sub.is_retry {
            now - self.last_inputs[0]
        } else {
            f64::INFINITY
        };
        let tenant = sub.tenant.filter(|&t| t < self.tenant_stats.len());
        // If all clients of a tenant use shorter timeouts than before, their invocations are not taken for
        // late retries.
        let (operation, timeout_fraction) = (sub.operation, sub.timeout / stats.longest_timeout);
        let impatient = tenant.is_some_and(|t| {
            self.tenant_stats[t].observe_timeout(operation, timeout_fraction, TIMEOUT_WEIGHT)
                < IMPATIENT_BELOW
        });
        let latest_start =
            now + slack - if impatient { 0.0 } else { (stats.longest_timeout - sub.timeout).min(stall) };
        tenant.iter().for_each(|&t| self.tenant_stats[t].arrived += 1.0);
        let quota = |t: usize| {
            self.settings.quotas[t] / self.settings.nodes as f64 / self.tenant_stats[t].rate.max(1e-3)
        };
        let share_fraction = tenant.map_or(1.0, quota).min(1.0);
        let weight = share_fraction + (1.0 - share_fraction) * self.settings.over_share_value;
        // For impatient clients only the fraction answered in time is worth its work.
        let weight = weight
            * tenant
                .filter(|_| impatient)
                .map_or(1.0, |t| self.tenant_stats[t].in_time_fraction.max(MIN_WEIGHT));
        // A zone crossing is delayed by the fraction of the slack that its price is of the value it serves.
        let crossing_cost = self.settings.cross_zone_price * self.mean_value
            / self.billed_value(sub.operation, load).max(1e-6);
        let crosses_now = !self.can_query_load() && self.rng.draw() < self.spill_probability;
        let (op, cross_zone_from) =
            (sub.operation, if crosses_now { now } else { now + crossing_cost * slack });
        let deadline = self.stop_deadline.unwrap_or(f64::INFINITY).min(now + sub.timeout);
        let (give_up_at, key) =
            (if impatient { now } else { latest_start.max(now) }.min(deadline - ANSWER_MARGIN), sub.key);
        let invocation = Invocation {
            op,
            weight,
            latest_start,
            slack,
            give_up_at,
            deadline,
            hint,
            load,
            tenant,
            impatient,
            ..Invocation::default()
        };
        let invocation = Invocation { memory, cross_zone_from, key, ..invocation };
        self.invocations.insert(sub.id, invocation);
        self.enqueue(sub.id);
        // The threshold is randomised, so that no operation is excluded entirely.
        let min_priority =
            if self.price > 0.0 { self.price * self.typical_priority * (0.5 + self.rng.draw()) } else { 0.0 };
        let starts_at_once = |t: &Executor| {
            t.started_at_once && t.held == 0 && self.can_send(now, &self.invocations[&sub.id], t)
        };
        let no_list_by_then = !self.list_state.permits(now) && self.list_calls.is_after(give_up_at);
        if now > latest_start + slack
            || no_list_by_then
            || self.invocations[&sub.id].priority < min_priority && !self.executors.iter().any(starts_at_once)
        {
            self.transition(now, sub.id, InvocationEvent::GaveUp, out);
        }
    }

    /// The gain in the operators' goal per slot second: in the overall value and in that of the worst
    /// operation.
    fn priority(&self, invocation: &Invocation) -> f64 {
        // An operation this far behind the best one counts fully as the worst.
        const FULLY_BEHIND: f64 = 0.25;
        let best = self.operation_stats.iter().map(|c| c.in_time_fraction).fold(0.0, f64::max);
        let stats = &self.operation_stats[invocation.op];
        let mut goal_weight = self.settings.goal_whole / (self.mean_value * self.phi).max(1e-6);
        if stats.rate > 0.0 {
            let behind = ((best - stats.in_time_fraction) / FULLY_BEHIND).clamp(0.0, 1.0);
            let typical_value = self.billed_value(invocation.op, stats.log_latency.map_or(1.0, f64::exp));
            goal_weight +=
                behind * self.settings.goal_worst_operation / (stats.rate * typical_value).max(1e-6);
        }
        goal_weight * self.billed_value(invocation.op, invocation.load) * invocation.weight
            / invocation.load.max(1e-3)
    }

    /// The billed value of an invocation of the operation with this load.
    fn billed_value(&self, op: usize, load: f64) -> f64 {
        self.settings.operations[op].value * if self.settings.value_by_work { load } else { 1.0 }
    }

    /// Inserts the invocation into the waiting queue by priority.
    fn enqueue(&mut self, id: InvocationId) {
        let priority = self.priority(&self.invocations[&id]);
        let at = self
            .waiting
            .partition_point(|other| self.invocations.get(other).is_some_and(|o| o.priority >= priority));
        self.waiting.insert(at, id);
        self.invocations.entry(id).and_modify(|invocation| invocation.priority = priority);
    }

    /// Applies an event to an invocation as `TRANSITIONS` says.
    fn transition(&mut self, now: f64, id: InvocationId, event: InvocationEvent, out: &mut Vec<Output>) {
        const IN_TIME_WEIGHT: f64 = 0.02; // Smoothing over some fifty invocations.
        let Some(invocation) = self.invocations.get_mut(&id) else { return };
        let Some(row) = TRANSITIONS.iter().find(|row| row.0 == invocation.state && row.1 == event) else {
            return;
        };
        invocation.state = row.2;
        let (op, deadline) = (&self.settings.operations[invocation.op], invocation.deadline);
        // The pause is randomised to spread retries. It stays within the slack while a retry can still earn
        // something; after that it is as long as clients honour. It is zero at a stop or without a list, as
        // another node may still have time for the invocation.
        let try_elsewhere = self.stop_deadline.is_some() || !self.list_state.permits(now);
        let retry_now = try_elsewhere && now < invocation.give_up_at;
        let longest_pause =
            if invocation.no_more_forwards || now >= invocation.latest_start && op.late_value <= 0.0 {
                f64::MAX
            } else {
                invocation.slack
            };
        let pause = if retry_now {
            0.0
        } else {
            longest_pause.min(self.settings.max_pause) * (0.5 + 0.5 * self.rng.draw())
        };
        let repeat_is_safe =
            matches!(op.effect, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. });
        match (row.3, repeat_is_safe) {
            (TransitionAction::Keep, _) => return,
            (TransitionAction::Queue, _) => {
                self.enqueue(id);
                // Close to the client's deadline there is only time to answer.
                let event = if now >= deadline - ANSWER_MARGIN {
                    InvocationEvent::GaveUp
                } else {
                    InvocationEvent::NotRun
                };
                return self.transition(now, id, event, out);
            }
            (TransitionAction::Close, _) => {}
            (TransitionAction::ThrottleOrError, false) => out.push(Output::Error { id }),
            (TransitionAction::Throttle | TransitionAction::ThrottleOrError, _) => {
                out.push(Output::Throttle { id, pause })
            }
        }
        let without_list = event == InvocationEvent::GaveUp && !self.list_state.permits(now);
        self.refused_without_list += u64::from(without_list);
        self.waiting.retain(|&other| other != id);
        let in_time = invocation
            .forwards
            .last()
            .is_some_and(|f| event == InvocationEvent::Finished && f.sent <= invocation.latest_start);
        self.operation_stats[invocation.op].observe_outcome(in_time, IN_TIME_WEIGHT);
        let tenant = invocation.tenant.filter(|_| !invocation.forwards.is_empty());
        tenant.into_iter().for_each(|t| self.tenant_stats[t].observe_outcome(in_time, IN_TIME_WEIGHT));
        let in_flight = invocation.in_flight().filter(|_| self.settings.cancelling);
        out.extend(in_flight.map(|forward| Output::Withdraw { id, forward }));
        if invocation.in_flight().count() == 0 {
            self.invocations.remove(&id);
        }
    }

    /// Handles the end of a forward: updates the records and decides how the invocation goes on.
    fn on_settled(&mut self, now: f64, settled: Settled, out: &mut Vec<Output>) {
        // Smoothing weight of one retried failure in the job fault rate.
        const JOB_FAULT_WEIGHT: f64 = 0.1;
        // Seconds after the start: short compared with running times, long compared with message delays.
        const FATAL_WITHIN: f64 = 0.1;
        // Smoothing over some twenty outcomes.
        const MISLEADING_WEIGHT: f64 = 0.05;
        let Settled { id, forward, outcome, took, ended, report } = settled;
        let Some(invocation) = self.invocations.get_mut(&id) else { return };
        let Some(fwd) = invocation.forwards.get_mut(forward).filter(|f| f.state == ForwardState::InFlight)
        else {
            return;
        };
        fwd.state =
            if self.settings.never_ran(outcome) { ForwardState::NotRun } else { ForwardState::MayHaveRun };
        // Stops jobs that crash each executor that starts them, often before the start is reported. An
        // invocation that merely ran beside such a job is stopped too; its client retries.
        let run_time = fwd.wait.map_or(f64::INFINITY, |wait| now - fwd.sent - wait);
        let ran = (FATAL_WITHIN..f64::INFINITY).contains(&run_time);
        invocation.no_more_forwards |= self.settings.reports_starts && outcome == Outcome::Reset && !ran;
        let (executor_index, op, took) =
            (fwd.executor_index, invocation.op, (took - fwd.wait.unwrap_or(0.0)) / invocation.hint);
        fwd.errored = outcome == Outcome::Errored;
        // A second copy of a job that crashes executors does the most harm, so resets make copies less
        // likely.
        self.never_started_rate -= if fwd.start_overdue && outcome == Outcome::Reset {
            NEVER_STARTED_WEIGHT * self.never_started_rate
        } else {
            0.0
        };
        let (connection, late) = (fwd.connection_kind(), std::mem::take(&mut fwd.start_overdue));
        invocation.candidates.clear();
        let failed_before =
            invocation.forwards[..forward].iter().rfind(|f| f.errored).map(|f| f.executor_index);
        if let Some(other) =
            failed_before.filter(|_| matches!(outcome, Outcome::Errored | Outcome::Succeeded))
        {
            invocation.no_more_forwards |= outcome == Outcome::Errored;
            let fault = f64::from(u8::from(invocation.no_more_forwards));
            self.job_fault_rate += JOB_FAULT_WEIGHT * (fault - self.job_fault_rate);
            self.executors[other].overall.retract_failure(invocation.no_more_forwards);
        }
        let (in_flight, ran, state, memory) = (
            invocation.in_flight().count(),
            invocation.first_possible_run().is_some(),
            invocation.state,
            invocation.memory,
        );
        let (t, connection) = (&mut self.executors[executor_index], &mut self.connection_records[connection]);
        let answered =
            matches!(outcome, Outcome::Succeeded | Outcome::Errored | Outcome::Rejected | Outcome::Full);
        t.release_connection(now, answered);
        if answered {
            connection.add_success(now, MAX_SUCCESSES, late);
        } else if outcome == Outcome::Unreachable && !late && self.settings.reports_starts {
            connection.add_failure(1.0);
        }
        t.held = t.held.saturating_sub(1);
        t.memory = if t.held == 0 { 0.0 } else { (t.memory - memory).max(0.0) };
        t.running = t.running.saturating_sub(usize::from(run_time.is_finite()));
        t.started_at_once &= outcome == Outcome::Succeeded;
        self.index.on_connection_freed(t);
        let kind = &mut self.kind_stats[t.entry.kind];
        match outcome {
            Outcome::Succeeded => Self::record_success(now, t, op, &mut self.operation_stats[op], kind, took),
            Outcome::Full => (t.refused_at, t.refusals) = (now, t.refusals + 1),
            Outcome::Cancelled | Outcome::NotWritten => {}
            Outcome::Unreachable => {
                t.seen_alive = false;
                // Weighs more, as the next forward would lose as much time; less where new connections fail
                // everywhere.
                t.record_failure(
                    3.0 * self.connection_records[NEW].mean() / Record::default().mean(),
                    self.trust_reference,
                    out,
                );
            }
            // A job that fails at two executors is itself at fault; the rate of these weighs first failures.
            Outcome::Errored if failed_before.is_some() => {}
            Outcome::Errored => {
                t.record_operation_failure(now, op, 1.0 - self.job_fault_rate, self.trust_reference, out)
            }
            Outcome::Rejected => t.record_failure(0.25, self.trust_reference, out),
            _ => t.record_operation_failure(now, op, 1.0, self.trust_reference, out),
        }
        t.update_doubtful(self.trust_reference, out);
        // Idle connections of hundreds of nodes would fill an executor's connection table and make connects
        // fail.
        let idle = t.held == 0 && !t.started_at_once && outcome != Outcome::Errored;
        let idle = idle
            && !self.scans_whole_fleet()
            && !self.connection_records[NEW].avoided
            && self.limits_idle_connections();
        self.announce_held(executor_index, out);
        if idle
            || self.connection_records[REUSED].avoided && self.executors[executor_index].has_idle_connection()
        {
            self.close_idle_connections(executor_index, out);
        }
        // A full answer whose report shows a free slot means that the report is out of date.
        let late = outcome == Outcome::Full && report.free >= Some(ONE_SLOT) && report.queue < Some(0.5);
        self.misleading_report_rate +=
            MISLEADING_WEIGHT * (f64::from(u8::from(late)) - self.misleading_report_rate);
        self.apply_report(now, executor_index, report);
        self.update_price(now, (outcome == Outcome::Full).then_some(true), now);
        match (ended || outcome == Outcome::Succeeded, in_flight) {
            (_, 0) if state == InvocationState::Ended => drop(self.invocations.remove(&id)),
            (true, _) => self.transition(now, id, InvocationEvent::Finished, out),
            (false, 1..) => {}
            (false, 0) => self.transition(
                now,
                id,
                if ran { InvocationEvent::MayHaveRun } else { InvocationEvent::NotRun },
                out,
            ),
        }
    }

    /// Closes the connections to the executor that are not in use.
    fn close_idle_connections(&mut self, executor_index: ExecutorIndex, out: &mut Vec<Output>) {
        self.executors[executor_index].connections = self.executors[executor_index].held;
        out.push(Output::Release(executor_index));
    }

    /// Whether idle connections are closed: they have a price, or serve no purpose because load can be
    /// queried, or would fill the executors' tables if all nodes kept as many.
    fn limits_idle_connections(&self) -> bool {
        // A seventh of the smallest connection table met; a fuller one costs capacity.
        const MAX_MEAN_CONNECTIONS: f64 = 30.0;
        let always = self.settings.connection_price > 0.0 || self.can_query_load();
        always
            || (self.connection_count() * self.settings.nodes) as f64
                > MAX_MEAN_CONNECTIONS * self.ranked.len() as f64
    }

    /// Handles a sign that a forward has started or makes progress.
    fn on_alive(&mut self, now: f64, id: InvocationId, forward: usize) {
        // Smoothing weight of one start in the spill probability; steps are smaller for cheap crossings.
        const SPILL_WEIGHT: f64 = 0.05;
        // Smoothing weight of one start where a free slot was reported.
        const MISSING_SLOT_WEIGHT: f64 = 0.1;
        // Smoothing over some twenty starts, where utilisation is not reported.
        const WAITED_WEIGHT: f64 = 0.05;
        let Some(invocation) = self.invocations.get_mut(&id) else { return };
        let Some(fwd) = invocation.forwards.get_mut(forward).filter(|f| f.state == ForwardState::InFlight)
        else {
            return;
        };
        let (t, sent, wait, first) =
            (&mut self.executors[fwd.executor_index], fwd.sent, now - fwd.sent, fwd.wait.is_none());
        let late = (first && self.settings.reports_starts).then_some(wait > LATE_START * invocation.slack);
        let was_overdue = std::mem::take(&mut fwd.start_overdue);
        // An overdue forward that starts after all was only queued.
        self.never_started_rate *= if was_overdue { 1.0 - 2.0 * NEVER_STARTED_WEIGHT } else { 1.0 };
        if first {
            (t.running, t.started_at_once) = (t.running + 1, wait < STARTED_AT_ONCE);
            fwd.wait = Some(if self.settings.reports_starts { wait } else { 0.0 });
        }
        t.on_sign_of_life(now);
        if late.is_some() {
            self.connection_records[fwd.connection_kind()].add_success(now, MAX_SUCCESSES, was_overdue);
            t.operation_record(invocation.op).retract_failure(was_overdue);
        }
        if late.is_some() && fwd.had_reported_slot {
            self.missing_slot_rate +=
                MISSING_SLOT_WEIGHT * (f64::from(u8::from(wait >= STARTED_AT_ONCE)) - self.missing_slot_rate);
        }
        if let Some(late) = late.map(|late| f64::from(u8::from(late))) {
            let (in_own_zone, cost) = (t.entry.zone == self.settings.zone, self.settings.cross_zone_price);
            let step = if in_own_zone { late - cost } else { -late * (5.0 * cost).min(1.0) };
            self.spill_probability = (self.spill_probability + SPILL_WEIGHT * step).clamp(0.0, 1.0);
        }
        let waited = if wait >= STARTED_AT_ONCE { 1.0 } else { 0.5 } - self.util;
        self.util += if late.is_some() && !self.can_query_load() { WAITED_WEIGHT * waited } else { 0.0 };
        self.update_price(now, late, sent);
    }

    /// Handles a forward that its executor has not acknowledged: the job may be lost while others run there.
    /// It is withdrawn if it can be sent again.
    fn on_unacknowledged(&mut self, now: f64, id: InvocationId, forward: usize, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get(&id) else { return };
        let fwd = invocation
            .forwards
            .get(forward)
            .filter(|f| f.state == ForwardState::InFlight && f.wait.is_none());
        let Some(executor_index) = fwd.map(|f| f.executor_index) else { return };
        let allowed = self.settings.cancelling
            && now >= self.degraded_until
            && self.remaining_further_forwards(now) >= 1.0;
        let withdraw =
            allowed && self.permitted_executors(invocation).any(|t| self.is_eligible(now, invocation, t));
        out.extend(withdraw.then_some(Output::Withdraw { id, forward }));
        self.executors[executor_index].record_failure(1.0, self.trust_reference, out);
    }

    /// Raises the admission price on late starts, which show queues that no report shows; at most once per
    /// wait.
    fn update_price(&mut self, now: f64, late: Option<bool>, sent: f64) {
        // The price goes from half to twice the typical priority: refuses hardly any to all but the best.
        const PRICE_RAISE: f64 = 1.5;
        // A few late starts are no overload; 0.87 to 0.95 were compared on random days of four fleets.
        const PRICE_DECAY: f64 = 0.9;
        if late == Some(true) && sent > self.price_raised_at && !self.can_query_load() {
            (self.price, self.price_raised_at) = ((self.price * PRICE_RAISE).clamp(0.5, 2.0), now);
        }
        self.price *= if late == Some(false) { PRICE_DECAY } else { 1.0 };
    }

    /// Handles the result of a probe.
    fn on_probed(
        &mut self,
        now: f64,
        executor_index: ExecutorIndex,
        outcome: Outcome,
        report: Report,
        out: &mut Vec<Output>,
    ) {
        let Some(t) = self.executors.get_mut(executor_index) else { return };
        if outcome == Outcome::Succeeded {
            t.seen_alive = true;
            return self.apply_report(now, executor_index, report);
        }
        t.seen_alive = false;
        // A failed probe weighs less: its answer may only be late.
        t.record_failure(if outcome == Outcome::Full { 0.0 } else { 0.5 }, self.trust_reference, out);
        (t.refused_at, t.refusals) = (now, t.refusals.max(1));
    }

    /// The free slots that can be relied on; `None` if the information is too old.
    fn available_slots(&self, now: f64, t: &Executor) -> Option<f64> {
        // Seconds in which few other nodes can have taken the slot.
        const FREE_REPORT_LIFETIME: f64 = 0.1;
        // A report of no free slot may be older: an error only costs waiting.
        const FULL_REPORT_LIFETIME: f64 = 0.25;
        // Seconds after a full answer, whatever reports say; doubled by each further one.
        const REFUSAL_BACKOFF: f64 = 0.2;
        // Without reports, the limit is this multiple of the mean held, plus one.
        const OVERLOAD_FACTOR: f64 = 1.5;
        if t.refusals > 0 && now - t.refused_at < REFUSAL_BACKOFF * f64::from(1 << (t.refusals - 1).min(5)) {
            return Some(0.0);
        }
        let warm_fraction = t.warm_fraction(now, &self.settings.cold);
        match self.counting_node(t) {
            Some(counting) if counting == self.settings.node_index && t.slots > 0.0 => {
                return Some(
                    (t.slots * warm_fraction).max(1.0)
                        - t.held as f64
                        - t.held_by_peers()
                        - t.pending_promises(now),
                );
            }
            Some(_) if warm_fraction < 1.0 => {
                return (now - t.granted_at <= FREE_REPORT_LIFETIME).then_some(t.free - t.sent_since_report)
            }
            _ => {}
        }
        if self.reports_are_reliable(now) {
            if t.queried_at > t.reported_at && now - t.queried_at <= FULL_REPORT_LIFETIME {
                return (now - t.queried_at > QUERY_TIMEOUT).then_some(0.0);
            }
            let room = t.free - t.sent_since_report;
            let lifetime = if room >= ONE_SLOT { FREE_REPORT_LIFETIME } else { FULL_REPORT_LIFETIME };
            return (t.reported_at > 0.0 && now - t.reported_at <= lifetime).then_some(room);
        }
        // The last forward has not started, so the next one would wait too.
        if self.settings.reports_starts && t.held > t.running && now - t.last_sent > STARTED_AT_ONCE {
            return Some(0.0);
        }
        let in_own_zone = self.own_zone_count > 0 && t.entry.zone == self.settings.zone;
        Some(OVERLOAD_FACTOR * self.mean_held[usize::from(!in_own_zone)] + 1.0 - t.held as f64)
    }

    /// Whether reports can be queried and are current enough: fewer than two of the last twenty were
    /// misleading.
    fn reports_are_reliable(&self, now: f64) -> bool {
        self.can_query_load() && self.misleading_report_rate < 0.07 && now >= self.degraded_until
    }

    /// The node that counts what all nodes hold at the executor, where nodes exchange messages.
    fn counting_node(&self, t: &Executor) -> Option<usize> {
        (self.settings.peers && self.settings.probing)
            .then_some(t.entry.stable_id as usize % self.peer_last_heard.len())
    }

    /// Whether executors' load can be queried. If not, only the outcomes of own forwards tell of it.
    fn can_query_load(&self) -> bool {
        self.settings.probing
            && self.settings.reports != Reports::Never
            && self.missing_slot_rate < self.util.powi(2).max(MAX_MISSING_RATE)
    }

    /// Limits the work sent to a cold executor, so that the nodes together neither overload it nor leave it
    /// idle. With current reports, all nodes use the fraction of its slots that it can serve while cold.
    /// Otherwise nodes take turns, each with less than half of the limit, as a measuring span may touch two
    /// turns.
    fn admits_while_cold(&self, now: f64, t: &Executor, load: f64) -> bool {
        let (cold, warm_fraction) = (&self.settings.cold, t.warm_fraction(now, &self.settings.cold));
        if warm_fraction >= 1.0 {
            return true;
        }
        // The counting node grants no more slots than a cold executor has, but does not limit the work per
        // slot.
        let counted =
            self.counting_node(t).is_some_and(|node| node != self.settings.node_index || t.slots > 0.0);
        let (turn, slots) = (t.turn_number(now, cold.fall), t.slots.max(1.0));
        let work = if t.cold_turn == turn { t.cold_work } else { 0.0 };
        let cold_slots = (warm_fraction * slots).max(1.0).ceil();
        let open = match self.reports_are_reliable(now) && self.missing_slot_rate < MAX_RACED_RATE {
            _ if counted => true,
            true => self
                .available_slots(now, t)
                .is_none_or(|room| room >= slots - cold_slots + ONE_SLOT && t.reported_just_now(now)),
            false => {
                (turn + t.entry.stable_id as usize) % self.settings.nodes.max(1) == self.settings.node_index
            }
        };
        open && work + load <= 0.4 * cold.factor * warm_fraction * slots * cold.fall
            && (t.held as f64) < cold_slots
    }

    /// Whether a forward of the invocation to the executor is allowed, given its earlier forwards and their
    /// effect.
    pub(crate) fn is_eligible(&self, now: f64, invocation: &Invocation, t: &Executor) -> bool {
        let op = &self.settings.operations[invocation.op];
        t.is_ready()
            && invocation.forwards.len() < self.settings.max_forwards
            && op.kind.is_none_or(|kind| kind == t.entry.kind)
            && !invocation
                .forwards
                .iter()
                .any(|f| f.executor_index == t.entry.executor_index && f.state != ForwardState::NotRun)
            && invocation.first_possible_run().is_none_or(|first| match op.effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => false,
                Effect::Deduplicated { group, window } => {
                    first.shares_dedup_group(group, &t.entry)
                        && now < first.sent + window - write_limit::WINDOW_MARGIN
                }
            })
    }

    /// Eligible and trusted. An untrusted executor gets trials, chosen by a draw from its posterior, with
    /// invocations that can be sent again.
    fn can_send(&self, now: f64, invocation: &Invocation, t: &Executor) -> bool {
        let repeatable = self.settings.operations[invocation.op].effect != Effect::NonIdempotent;
        let avoided = now >= self.degraded_until
            && t.operation_records.get(invocation.op).is_some_and(|record| record.avoided);
        let usable = !avoided && self.list_state.permits(now);
        usable
            && (t.is_trusted(now, self.degraded_until) || (t.trial && repeatable))
            && self.is_eligible(now, invocation, t)
    }

    /// Whether a draw may return the executor. In a large fleet, where draws are expensive, it must not be
    /// known to be full or unable to take this much work while cold.
    fn is_candidate(&self, now: f64, invocation: &Invocation, t: &Executor) -> bool {
        let full = || self.available_slots(now, t).is_some_and(|room| room < ONE_SLOT);
        self.can_send(now, invocation, t)
            && (self.scans_whole_fleet() || self.admits_while_cold(now, t, invocation.load) && !full())
    }

    /// Draws executors by share, or evenly while all betas are zero; in a large fleet only from the own zone
    /// until `cross_zone_from`.
    pub(crate) fn draw_executors(&mut self, now: f64, id: InvocationId, times: usize) -> Vec<ExecutorIndex> {
        let own_zone_only = now < self.invocations[&id].cross_zone_from
            && self.own_zone_count > 0
            && !self.scans_whole_fleet();
        let mut rng = std::mem::take(&mut self.rng);
        let (count, invocation) =
            (if own_zone_only { self.own_zone_count } else { self.ranked.len() }, &self.invocations[&id]);
        let (small_fleet, no_reports, reuse_only) =
            (self.is_small_fleet(), !self.can_query_load(), self.connection_records[NEW].avoided);
        let in_zone = |t: &Executor| small_fleet || !own_zone_only || t.entry.zone == self.settings.zone;
        let is_open = |i: &ExecutorIndex| {
            in_zone(&self.executors[*i]) && self.is_candidate(now, invocation, &self.executors[*i])
        };
        // A node whose turn it is prefers cold executors, which would else stand idle, for work that will be
        // in time.
        let warm_fraction = |i: &ExecutorIndex| self.executors[*i].warm_fraction(now, &self.settings.cold);
        let cold_in_time = |i: &ExecutorIndex| {
            warm_fraction(i) < 1.0
                && invocation.load * (1.0 / warm_fraction(i) - 1.0) <= 2.0 * invocation.slack
        };
        let idle_connection =
            |i: &ExecutorIndex| self.executors[*i].has_fresh_connection(now, self.settings.idle);
        // Without reports, an executor that started the last forward at once is preferred: it has no queue.
        let free_at_once =
            |i: &ExecutorIndex| self.executors[*i].started_at_once && self.executors[*i].held == 0;
        let preferred = |i: &ExecutorIndex| {
            small_fleet
                || no_reports && (cold_in_time(i) || free_at_once(i))
                || reuse_only && idle_connection(i)
        };
        let members = if small_fleet {
            self.ranked[..count].to_vec()
        } else {
            self.index.preferred_executors(&mut rng, no_reports, reuse_only)
        };
        let mut pool: Vec<ExecutorIndex> =
            members.into_iter().filter(|i| preferred(i) && is_open(i)).collect();
        prefer(&mut pool, no_reports, cold_in_time);
        prefer(&mut pool, reuse_only, idle_connection);
        prefer(&mut pool, no_reports, free_at_once);
        pool.retain(|i| !(invocation.impatient && no_reports) || free_at_once(i));
        let subset = self
            .subset(invocation, own_zone_only)
            .filter(|_| pool.is_empty() && !(invocation.impatient && no_reports));
        let all = Sampler::new(pool, |i| self.executors[i].share);
        let (count, from) = (if small_fleet { times } else { 2 * times }, self.index.window_start);
        let mut drawn = subset.unwrap_or(&all).draw(count, &mut rng, from, &is_open);
        // Of the drawn ones, those that are due longest by their share come first; this evens out random
        // clusters.
        let overdue_share = |i: &ExecutorIndex| {
            if small_fleet {
                0.0
            } else {
                (now - self.executors[*i].last_sent) * self.executors[*i].share
            }
        };
        drawn.sort_by(|a, b| overdue_share(b).total_cmp(&overdue_share(a)));
        drawn.truncate(times);
        (self.rng, self.index.window_start) = (rng, from.wrapping_add(MAX_SCANNED));
        drawn
    }

    /// Whether the fleet is small enough to try all executors in order. Above 20 this takes over ten rounds
    /// of queries, and all nodes would converge on the same executors.
    fn scans_whole_fleet(&self) -> bool {
        self.can_query_load() && self.ranked.len() <= 20
    }

    /// The executors to try, in order: the drawn one, then the others by share, own zone first; in a large
    /// fleet two drawn ones. An invocation with a key uses the key's order, the same at every node (weighted
    /// rendezvous hashing), as executors cache data by key.
    fn candidates(&mut self, now: f64, id: InvocationId) -> Vec<ExecutorIndex> {
        // One more executor of the key's order per fifth of the slack; with a tenth, too much data is fetched
        // anew.
        const KEY_SPILL: f64 = 0.2;
        const DRAW_INTERVAL_MIN: f64 = 0.005; // About a round trip at first, doubled each time,
        const DRAW_INTERVAL_MAX: f64 = 0.16; // up to this: some six draws in half a second.
        let (scan_all, invocation) = (self.scans_whole_fleet(), &self.invocations[&id]);
        if let Some(key) = invocation.key {
            if invocation.candidates.is_empty() {
                let order = self.rendezvous_order(key);
                self.invocations.entry(id).and_modify(|invocation| invocation.candidates = order);
            }
            let invocation = &self.invocations[&id];
            let count = 1
                + ((now - invocation.latest_start + invocation.slack) / (KEY_SPILL * invocation.slack))
                    .max(0.0) as usize;
            let can_send = |i: &ExecutorIndex| self.can_send(now, invocation, &self.executors[*i]);
            let order: Vec<ExecutorIndex> =
                invocation.candidates.iter().copied().filter(can_send).take(count).collect();
            return if order.is_empty() && !self.is_small_fleet() {
                self.draw_executors(now, id, 1)
            } else {
                order
            };
        }
        let is_open = |i: &&ExecutorIndex| self.is_candidate(now, invocation, &self.executors[**i]);
        let mut drawn: Vec<ExecutorIndex> = invocation.candidates.iter().filter(is_open).copied().collect();
        if drawn.is_empty() && (scan_all || now >= invocation.next_draw) {
            drawn = self.draw_executors(now, id, if scan_all { 1 } else { 2 });
            drawn.dedup();
            let invocation = self.invocations.entry(id).or_default();
            invocation.draw_interval =
                (2.0 * invocation.draw_interval).clamp(DRAW_INTERVAL_MIN, DRAW_INTERVAL_MAX);
            (invocation.next_draw, invocation.candidates) = (now + invocation.draw_interval, drawn.clone());
        }
        let Some(first) = drawn.first().copied().filter(|_| scan_all) else { return drawn };
        drawn.extend(self.ranked.iter().copied().filter(|&i| i != first && self.executors[i].beta > 0.0));
        let other_zone = |i: &ExecutorIndex| {
            self.own_zone_count > 0 && self.executors[*i].entry.zone != self.settings.zone
        };
        drawn.retain(|i| now >= self.invocations[&id].cross_zone_from || !other_zone(i));
        drawn.sort_by_key(other_zone);
        drawn
    }

    /// Finds an executor for the invocation, or queries those whose load is unknown.
    fn find_placement(&mut self, now: f64, id: InvocationId, out: &mut Vec<Output>) -> Placement {
        // Seconds (some running times) after which the memory taken by other nodes' jobs is unknown.
        const MEMORY_REPORT_LIFETIME: f64 = 1.0;
        const RESERVED_SHARE: f64 = 0.5; // Of the budget's floor, reserved for invocations of high priority.
        const MAX_QUERIES: usize = 2; // Executors queried at a time.
        let invocation = &self.invocations[&id];
        let max_forwards = if invocation.no_more_forwards { 0 } else { self.settings.max_forwards };
        // The last further forwards are reserved for high priority and for invocations proven not to have
        // run.
        let reserved = self.settings.budget.map_or(0.0, |budget| RESERVED_SHARE * budget.floor);
        let has_precedence = invocation.forwards.is_empty()
            || invocation.first_possible_run().is_none()
            || invocation.priority >= self.typical_priority;
        let budget_spent = !invocation.forwards.is_empty()
            && self.remaining_further_forwards(now) < if has_precedence { 1.0 } else { 1.0 + reserved };
        let no_more = budget_spent
            || invocation.forwards.len() >= max_forwards
            || self.stop_deadline.is_some() && now + invocation.load > invocation.deadline;
        if no_more
            || (invocation.first_possible_run().is_some()
                && !self.permitted_executors(invocation).any(|t| self.is_eligible(now, invocation, t)))
        {
            return Placement::Never;
        }
        let (order, invocation, mut unknown) = (self.candidates(now, id), &self.invocations[&id], Vec::new());
        let admits = |t: &Executor| {
            self.can_send(now, invocation, t) && self.admits_while_cold(now, t, invocation.load)
        };
        for i in order.into_iter().filter(|&i| admits(&self.executors[i])) {
            let t = &self.executors[i];
            let foreign_memory =
                if now - t.own_report_at < MEMORY_REPORT_LIFETIME { t.foreign_memory } else { 0.0 };
            let fits = t.slots <= 0.0 || t.memory + foreign_memory + invocation.memory <= t.slots;
            let may_skip_unknown =
                unknown.is_empty() || invocation.key.is_none() && !self.scans_whole_fleet();
            match self.available_slots(now, t) {
                None => unknown.push(i),
                Some(room) if room >= ONE_SLOT && fits && may_skip_unknown => return Placement::Here(i),
                Some(_) => {}
            }
        }
        unknown.truncate(MAX_QUERIES);
        unknown.retain(|&i| now - self.executors[i].queried_at > QUERY_TIMEOUT);
        unknown.into_iter().for_each(|i| self.query_load(now, i, out));
        Placement::Later
    }

    /// Queries the executor's counting node; or the executor itself, if this node counts or the last query
    /// had no answer.
    fn query_load(&mut self, now: f64, executor_index: ExecutorIndex, out: &mut Vec<Output>) {
        let t = &self.executors[executor_index];
        let counting_node =
            self.counting_node(t).filter(|&k| k != self.settings.node_index && t.queried_at <= t.reported_at);
        let question = |to| Output::SendToPeer { to, kind: PeerMessageKind::Query, executor_index, count: 0 };
        out.push(counting_node.map_or(Output::Probe(executor_index), question));
        self.executors[executor_index].queried_at = now;
    }

    /// Sends the invocation to the executor and updates what is held there.
    fn send_forward(
        &mut self,
        now: f64,
        id: InvocationId,
        executor_index: ExecutorIndex,
        out: &mut Vec<Output>,
    ) {
        let turn = self.executors[executor_index].turn_number(now, self.settings.cold.fall);
        let t = &self.executors[executor_index];
        let had_reported_slot = self.reports_are_reliable(now) && t.free - t.sent_since_report >= ONE_SLOT;
        let expected_at_once =
            self.settings.reports_starts && (had_reported_slot || t.held == 0 && t.started_at_once);
        if t.has_idle_connection()
            && (!t.has_fresh_connection(now, self.settings.idle) || self.connection_records[REUSED].avoided)
        {
            self.close_idle_connections(executor_index, out);
        }
        let Some(invocation) = self.invocations.get_mut(&id) else { return };
        self.further_sent.record_if(!invocation.forwards.is_empty(), now, self.settings.budget_retention());
        let t = &mut self.executors[executor_index];
        self.awaiting_start.remove(&id);
        self.awaiting_start.extend(expected_at_once.then_some(id));
        invocation.forwards.push(Forward {
            had_reported_slot,
            reused_connection: t.has_idle_connection(),
            expected_at_once,
            location: Some(t.entry.location()),
            ..Forward::new(executor_index, now)
        });
        // Ends the trial: it is one invocation.
        t.operation_record(invocation.op).fail_and_compare(0.0, self.trust_reference);
        t.connections = t.connections.max(t.held + 1);
        t.memory += invocation.memory;
        t.cold_work = invocation.load + if t.cold_turn == turn { t.cold_work } else { 0.0 };
        t.last_sign_of_life = if t.held == 0 { now } else { t.last_sign_of_life };
        (t.cold_turn, t.held, t.sent_since_report, t.last_sent, t.trial) =
            (turn, t.held + 1, t.sent_since_report + 1.0, now, false);
        self.waiting.retain(|&other| other != id);
        out.push(Output::Forward { id, executor_index });
        self.announce_held(executor_index, out);
        self.transition(now, id, InvocationEvent::Sent, out);
    }

    /// Sends waiting invocations in order of priority while executors have free slots or can be queried.
    fn dispatch_waiting(&mut self, now: f64, out: &mut Vec<Output>) {
        // Invocations tried without a placement; saves CPU where queues are long.
        const MAX_MISSES: usize = 6;
        // Seconds: a few event-loop batches, and short compared with any objective.
        const DISPATCH_INTERVAL: f64 = 0.025;
        let mut at = 0;
        while let Some(&id) = self.waiting.get(at).filter(|_| at < MAX_MISSES) {
            match self.find_placement(now, id, out) {
                Placement::Here(executor_index) => self.send_forward(now, id, executor_index, out),
                Placement::Later => at += 1,
                Placement::Never => self.transition(now, id, InvocationEvent::GaveUp, out),
            }
        }
        for id in self.check_overdue_starts(now) {
            if let Placement::Here(executor_index) = self.find_placement(now, id, out) {
                self.send_forward(now, id, executor_index, out);
            }
        }
        if (!self.awaiting_start.is_empty() || !self.waiting.is_empty()) && !self.dispatch_timer_set {
            self.dispatch_timer_set = true;
            out.push(Output::SetTimer { after: DISPATCH_INTERVAL, timer: DISPATCH_TIMER });
        }
    }

    /// Detects forwards that should have started, as on lost connections or operations that an executor drops
    /// silently. Returns the invocations to send a second copy of.
    fn check_overdue_starts(&mut self, now: f64) -> Vec<InvocationId> {
        // Times the slack, which is half of what it could wait: it will not be in time.
        const GIVEN_UP_AFTER: f64 = 2.0;
        let mut copies = Vec::new();
        for id in std::mem::take(&mut self.awaiting_start) {
            let Some(invocation) =
                self.invocations.get_mut(&id).filter(|invocation| invocation.state != InvocationState::Ended)
            else {
                continue;
            };
            let Some(fwd) =
                invocation.forwards.last_mut().filter(|f| f.is_start_missing() && !f.start_given_up)
            else {
                continue;
            };
            let (age, t) = (now - fwd.sent, &mut self.executors[fwd.executor_index]);
            if !fwd.start_overdue && age > LATE_START * invocation.slack {
                (fwd.start_overdue, t.started_at_once) = (true, false);
                self.connection_records[fwd.connection_kind()].add_failure(1.0);
                t.operation_record(invocation.op).fail_and_compare(1.0, self.trust_reference);
            }
            if fwd.start_overdue && age > GIVEN_UP_AFTER * invocation.slack {
                fwd.start_given_up = true;
                self.never_started_rate += NEVER_STARTED_WEIGHT * (1.0 - self.never_started_rate);
            } else if fwd.start_overdue
                && (self.never_started_rate > 0.5 || fwd.had_reported_slot && fwd.reused_connection)
                && now < invocation.deadline - ANSWER_MARGIN
            {
                copies.extend(self.settings.second_copies.then_some(id));
            }
            self.awaiting_start.extend((!fwd.start_given_up).then_some(id));
        }
        copies
    }

    /// Limits all deadlines to the stop, so that no answer is cut off. Invocations that usually take longer
    /// are given back (see `find_placement`).
    fn begin_stop(&mut self, deadline: f64) {
        self.stop_deadline = Some(deadline);
        self.invocations
            .values_mut()
            .for_each(|invocation| invocation.deadline = invocation.deadline.min(deadline));
    }

    /// Gives up the invocations whose waiting no longer pays.
    fn expire_waiting(&mut self, now: f64, out: &mut Vec<Output>) {
        self.dispatch_timer_set = false;
        let expired = |id: &InvocationId| {
            now >= self.invocations[id].give_up_at.min(self.invocations[id].deadline - ANSWER_MARGIN)
        };
        let (expired, waiting): (Vec<InvocationId>, _) =
            std::mem::take(&mut self.waiting).into_iter().partition(expired);
        self.waiting = waiting;
        expired.into_iter().for_each(|id| self.transition(now, id, InvocationEvent::GaveUp, out));
    }

    /// Periodic update: decays records, detects silent executors, then solves the split anew.
    fn on_solve_timer(&mut self, now: f64, out: &mut Vec<Output>) {
        // Time constant in seconds: remembered failures halve in about six.
        const FAILURE_DECAY: f64 = 8.2;
        // Time constant in seconds, after which distrusted reports are used again.
        const MISSING_SLOT_DECAY: f64 = 60.0;
        // Ten times the cost per executor, in invocations: solves take a tenth of the CPU.
        const SOLVE_COST: f64 = 5e-3;
        // Seconds; later, the shares would be far out of date.
        const SOLVE_INTERVAL_MAX: f64 = 5.0;
        // Seconds, longer than any solve interval; a peer silent for longer holds nothing.
        const PEER_SILENT: f64 = 6.0;
        // A doubtful executor gets a trial if its draw is near what trusted ones reach.
        const TRIAL_THRESHOLD: f64 = 0.7;
        // phi is smoothed over this many arrivals plus two seconds.
        const PHI_ARRIVALS: f64 = 4.0;
        let elapsed = (now - self.last_solve).max(1e-3);
        self.last_solve = now;
        self.trust_reference = self.compute_trust_reference();
        self.degraded_until =
            if self.trust_reference < DEGRADED_BELOW { now + DEGRADED_HOLD } else { self.degraded_until };
        let weight = 1.0 - (-elapsed / (2.0 + PHI_ARRIVALS / self.phi.max(1.0))).exp();
        for stats in self.operation_stats.iter_mut().chain(&mut self.tenant_stats) {
            stats.smooth_rate(elapsed, weight);
        }
        self.phi = self.operation_stats.iter().map(|stats| stats.rate).sum();
        let value_rate = |(op, c): (usize, &TrafficStats)| {
            c.rate * self.billed_value(op, c.log_latency.map_or(1.0, f64::exp))
        };
        self.mean_value =
            self.operation_stats.iter().enumerate().map(value_rate).sum::<f64>() / self.phi.max(1e-6);
        let work =
            self.operation_stats.iter().map(|c| c.rate * c.log_latency.map_or(1.0, f64::exp)).sum::<f64>();
        self.typical_priority = self.settings.goal_whole / work.max(1e-6);
        self.price *= (-elapsed / FAILURE_DECAY).exp();
        self.missing_slot_rate *= (-elapsed / MISSING_SLOT_DECAY).exp();
        let is_late = |f: &&Forward, i: &Invocation| {
            f.state == ForwardState::InFlight && f.wait.is_none() && now - f.sent > LATE_START * i.slack
        };
        let late_starts = self
            .invocations
            .values()
            .filter_map(|invocation| invocation.forwards.last().filter(|f| is_late(f, invocation)));
        let last_sent = late_starts.map(|f| f.sent).fold(0.0, f64::max);
        self.update_price(now, (self.settings.reports_starts && last_sent > 0.0).then_some(true), last_sent);
        // Silent means no sign of life for 1.5 progress intervals; longer if none of its forwards is known to
        // have started, as they may be queued.
        let limit = if self.settings.progress > 0.0 { 1.5 * self.settings.progress + 0.2 } else { 5.0 };
        for t in &mut self.executors {
            t.forget_silent_peers(now, &self.peer_last_heard, PEER_SILENT);
            t.overall.failures *= (-elapsed / FAILURE_DECAY).exp();
            t.trial =
                (t.doubtful || t.silent) && t.overall.draw_from_posterior(&mut self.rng) >= TRIAL_THRESHOLD;
            let limit = if self.settings.reports_starts && t.running == 0 { 2.5 * limit } else { limit };
            if t.held > 0 && now - t.last_sign_of_life > limit {
                (t.last_sign_of_life, t.silent) = (now, true);
                t.record_failure(2.0, self.trust_reference, out);
            }
            t.update_doubtful(self.trust_reference, out);
            for record in &mut t.operation_records {
                record.failures *= (-elapsed / FAILURE_DECAY).exp();
                record.fail_and_compare(0.0, self.trust_reference);
                record.avoided =
                    record.avoided && record.draw_from_posterior(&mut self.rng) < TRIAL_THRESHOLD;
            }
        }
        self.update_connection_records(elapsed, out);
        self.probe_missing(now, out);
        self.solve(now);
        // Messages may be lost: each second all held counts are repeated, and each count that became zero
        // once more.
        let repeat_all = now.floor() > (now - elapsed).floor();
        for executor_index in 0..if repeat_all { self.executors.len() } else { 0 } {
            if self.executors[executor_index].held_announced {
                self.announce_held(executor_index, out);
                self.executors[executor_index].held_announced = self.executors[executor_index].held > 0;
            }
        }
        // A node with few invocations solves a large fleet less often, as CPU is measured per invocation.
        let cost = SOLVE_COST * self.ranked.len() as f64;
        let after = (cost / self.phi.max(0.5)).clamp(SOLVE_INTERVAL, SOLVE_INTERVAL_MAX);
        out.push(Output::SetTimer { after, timer: SOLVE_TIMER });
    }

    /// Compares reused with new connections, as one kind may fail while the other works. The worse kind is
    /// avoided but for trials.
    fn update_connection_records(&mut self, elapsed: f64, out: &mut Vec<Output>) {
        // Such faults last for tens of seconds, and a trial costs an invocation.
        const FAILURE_DECAY: f64 = 20.0;
        const WORSE_FACTOR: f64 = 0.75; // Times the other kind's mean.
        let was_avoided = self.connection_records[REUSED].avoided;
        for kind in [REUSED, NEW] {
            let (other, record) = (self.connection_records[1 - kind], &mut self.connection_records[kind]);
            record.failures *= (-elapsed / FAILURE_DECAY).exp();
            let worse = record.mean() < WORSE_FACTOR * other.mean();
            record.avoided =
                worse && record.draw_from_posterior(&mut self.rng) < other.draw_from_posterior(&mut self.rng);
        }
        let is_suspect = |i: &ExecutorIndex| {
            self.connection_records[REUSED].avoided
                && !was_avoided
                && self.executors[*i].has_idle_connection()
        };
        let suspects: Vec<ExecutorIndex> = (0..self.executors.len()).filter(is_suspect).collect();
        suspects.into_iter().for_each(|executor_index| self.close_idle_connections(executor_index, out));
    }

    /// Probes some of the missing executors; if none is ready, treats all missing ones as alive.
    fn probe_missing(&mut self, now: f64, out: &mut Vec<Output>) {
        const MAX_PROBES: usize = 3; // At a time: finds dozens in some seconds, more than one node needs.
        let none_ready = !self.executors.iter().any(Executor::is_ready);
        let is_missing = |t: &Executor| t.entry.standing == Standing::Missing && !t.seen_alive;
        let missing: Vec<ExecutorIndex> =
            (0..self.executors.len()).filter(|&i| is_missing(&self.executors[i])).collect();
        if none_ready {
            missing.iter().for_each(|&i| self.executors[i].seen_alive = true);
        }
        for _ in 0..if self.settings.probing && !missing.is_empty() { MAX_PROBES } else { 0 } {
            let executor_index = missing[(self.rng.draw() * missing.len() as f64) as usize];
            let t = &mut self.executors[executor_index];
            if now - t.queried_at > 0.5 && (t.refusals == 0 || now - t.refused_at > 5.0) {
                t.queried_at = now;
                out.push(Output::Probe(executor_index));
            }
        }
    }

    /// Computes the rates from own latencies and reports, splits the arrivals by COOP and ranks the
    /// executors.
    pub(crate) fn solve(&mut self, now: f64) {
        // Per interval without outcomes, towards the mean of the kind.
        const SLOWNESS_DECAY: f64 = 0.98;
        // Of the mean share, given to zero shares: one in fifty keeps their measurements current.
        const TRIAL_SHARE: f64 = 0.02;
        // Seconds without an own outcome (some invocations' time) before the decay begins.
        const DECAY_AFTER: f64 = 3.0;
        // Without reports or starts nothing shows that the own zone is full.
        let prefer_own_zone =
            self.settings.cross_zone_price > 0.0 && (self.can_query_load() || self.settings.reports_starts);
        let known: Vec<f64> = self.executors.iter().map(|t| t.slots).filter(|slots| *slots > 0.0).collect();
        let mean_slots = known.iter().sum::<f64>().max(1.0) / known.len().max(1) as f64;
        let small_fleet = self.is_small_fleet();
        for t in &mut self.executors {
            t.log_slowness *= if now - t.last_success > DECAY_AFTER { SLOWNESS_DECAY } else { 1.0 };
            let kind = &self.kind_stats[t.entry.kind];
            t.slots = if t.slots > 0.0 { t.slots } else { kind.max_slots };
            let slots = if t.slots > 0.0 { t.slots } else { mean_slots };
            let size = match self.settings.sizes {
                Sizes::Listed => t.entry.size,
                Sizes::Rough => t.entry.size * (-kind.log_slowness).exp(),
                Sizes::Live => kind.max_size,
                Sizes::Never => slots * (-kind.log_slowness).exp(),
            };
            (t.mu, t.beta) = (
                size * t.warm_fraction(now, &self.settings.cold)
                    * (-kind.significant_slowness(t.log_slowness, small_fleet)).exp(),
                0.0,
            );
        }
        let ready = |i: &ExecutorIndex| self.executors[*i].is_ready();
        let mut ranked: Vec<ExecutorIndex> = (0..self.executors.len()).filter(ready).collect();
        // Scaled so that this node's arrivals load the executors to the utilisation they report.
        let sum: f64 = ranked.iter().map(|&i| self.executors[i].mu).sum();
        let scale = self.phi.max(1e-3) / self.util.clamp(0.05, 1.0) / sum.max(1e-9);
        ranked.iter().for_each(|&i| self.executors[i].mu *= scale);
        // If an operation needs a machine kind, kinds are solved separately, each with its part of phi.
        let by_kind = self.settings.operations.iter().any(|op| op.kind.is_some());
        for kind in 0..if by_kind { self.kind_stats.len() } else { 1 } {
            let is_member = |i: &ExecutorIndex| !by_kind || self.executors[*i].entry.kind == kind;
            let members: Vec<ExecutorIndex> = ranked.iter().copied().filter(is_member).collect();
            let mu: Vec<f64> = members.iter().map(|&i| self.executors[i].mu).collect();
            let phi = self.phi * mu.iter().sum::<f64>() / (sum * scale).max(1e-9);
            members.iter().zip(coop(&mu, phi)).for_each(|(&i, beta)| self.executors[i].beta = beta);
        }
        let in_own_zone =
            |i: ExecutorIndex| prefer_own_zone && self.executors[i].entry.zone == self.settings.zone;
        let share = |i: ExecutorIndex| self.executors[i].beta;
        ranked.sort_by(|&a, &b| {
            in_own_zone(b).cmp(&in_own_zone(a)).then(share(b).total_cmp(&share(a))).then(a.cmp(&b))
        });
        self.own_zone_count = ranked.iter().take_while(|&&i| in_own_zone(i)).count();
        let sum: f64 = ranked.iter().map(|&i| share(i)).sum();
        let min_share = if sum > 0.0 { TRIAL_SHARE * sum / ranked.len() as f64 } else { 1.0 };
        ranked.iter().for_each(|&i| self.executors[i].share = self.executors[i].beta.max(min_share));
        let mean = |of: &[ExecutorIndex]| {
            of.iter().map(|&i| self.executors[i].held as f64).sum::<f64>() / of.len().max(1) as f64
        };
        self.mean_held = [mean(&ranked[..self.own_zone_count]), mean(&ranked[self.own_zone_count..])];
        self.index = Index::new(now, &self.settings, &self.executors, &ranked, self.index.window_start);
        self.ranked = ranked;
    }

    /// Tells the executor's counting node how many forwards this node holds there.
    fn announce_held(&mut self, executor_index: ExecutorIndex, out: &mut Vec<Output>) {
        self.executors[executor_index].held_announced = true;
        let (t, kind) = (&self.executors[executor_index], PeerMessageKind::Held);
        let (to, count) =
            (self.counting_node(t).filter(|to| *to != self.settings.node_index), t.held.min(255) as u8);
        out.extend(to.map(|to| Output::SendToPeer { to, kind, executor_index, count }));
    }

    /// Handles a message of another node about an executor.
    fn on_peer_message(
        &mut self,
        now: f64,
        from: usize,
        kind: PeerMessageKind,
        executor_index: ExecutorIndex,
        count: u8,
        out: &mut Vec<Output>,
    ) {
        let Some(()) = self.peer_last_heard.get_mut(from).map(|heard| *heard = now) else { return };
        let room = self.executors.get(executor_index).and_then(|t| self.available_slots(now, t));
        let Some(t) = self.executors.get_mut(executor_index) else { return };
        match kind {
            PeerMessageKind::Held => t.set_peer_held(from, count),
            PeerMessageKind::FreeSlots => {
                (t.free, t.sent_since_report, t.reported_at, t.granted_at) = (f64::from(count), 0.0, now, now)
            }
            PeerMessageKind::Query => {
                // Reserves the slot, so that the next node to ask is not granted it too.
                if room >= Some(ONE_SLOT) {
                    (t.promised_at, t.promised_slots) = (now, t.pending_promises(now) + 1.0);
                }
                out.extend(room.map(|n| Output::SendToPeer {
                    to: from,
                    kind: PeerMessageKind::FreeSlots,
                    executor_index,
                    count: n as u8,
                }));
            }
        }
    }
}

/// A start later than this fraction of the slack shows that the queue is too long.
const LATE_START: f64 = 0.5;
/// Smoothing weight of one overdue forward in the never-started rate: some five forwards.
const NEVER_STARTED_WEIGHT: f64 = 0.2;
/// Seconds: covers network delay, a new connection and some event-loop batches. A start within it had no
/// queue.
const STARTED_AT_ONCE: f64 = 0.05;
/// If a reported free slot is missing this often, nodes race for slots, which can bring down a cold executor.
pub(crate) const MAX_RACED_RATE: f64 = 0.1;
/// If a reported free slot is missing this often, reports are of no use and own forwards tell more.
const MAX_MISSING_RATE: f64 = 0.35;
/// One free slot, allowing for noise in reports.
const ONE_SLOT: f64 = 0.9;
/// Seconds: a query's round trip and some event-loop batches. No answer within it counts as no free slot.
const QUERY_TIMEOUT: f64 = 0.06;

#[cfg(test)]
mod tests;
