use std::cell::Cell;
use std::collections::BinaryHeap;
use std::time::Instant;

use super::*;
use crate::node::Node;
use test_case::test_case;

thread_local!(static EXAMINED: Cell<usize> = const { Cell::new(0) });

/// Counts an examined executor.
pub(crate) fn count_examined() {
    EXAMINED.with(|examined| examined.set(examined.get() + 1));
}

/// The number of executors examined since the last call.
fn take_examined() -> usize {
    EXAMINED.with(|examined| examined.replace(0))
}

/// A sampler of `many` executors with the shares 1, 2, 3, 1, 2, 3, ...
fn sampler(many: usize) -> Sampler {
    Sampler::new((0..many).collect(), |i| (1 + i % 3) as f64)
}

#[test]
fn draws_open_executors_by_share() {
    // Closed executors must not distort the shares of the others.
    let (sampler, mut rng) = (sampler(12), Rng::new(3));
    let open = |i: &ExecutorIndex| i % 4 != 1;
    let mut counts = [0.0; 12];
    let draws = 24_000;
    for _ in 0..draws / 2 {
        sampler.draw(2, &mut rng, 0, &open).into_iter().for_each(|i| counts[i] += 1.0);
    }
    let sum: f64 = (0..12).filter(open).map(|i| (1 + i % 3) as f64).sum();
    let part = |i: usize| draws as f64 * (1 + i % 3) as f64 / sum;
    assert!((0..12).filter(|i| !open(i)).all(|i| counts[i] == 0.0), "{counts:?}");
    let chi: f64 = (0..12).filter(open).map(|i| (counts[i] - part(i)).powi(2) / part(i)).sum();
    assert!(
        chi < 24.3,
        "chi-square with 8 degrees of freedom, one in a thousand is over 26: {chi} {counts:?}"
    );
}

#[test_case(7_800, 1; "one open of 7800")]
#[test_case(7_800, 78; "one in a hundred")]
#[test_case(12, 1; "one open of twelve")]
fn finds_open_executors_in_bounded_time(many: usize, open: usize) {
    // Draws must find open executors if there are few, as after the loss of a zone, and must terminate.
    let (sampler, windows) = (sampler(many), many.div_ceil(MAX_SCANNED));
    for seed in 0..8 {
        let (mut rng, examined) = (Rng::new(seed), Cell::new(0));
        let is_open = |i: &ExecutorIndex| {
            examined.set(examined.get() + 1);
            i % (many / open) == many / open - 1
        };
        let draw = |at: usize| sampler.draw(2, &mut rng, 7 + at * MAX_SCANNED, &is_open);
        let found: Vec<ExecutorIndex> = (0..windows).flat_map(draw).collect();
        assert!(examined.get() <= windows * (2 * MAX_TRIES + MAX_SCANNED), "{}", examined.get());
        assert!(!found.is_empty() && found.iter().all(is_open), "{found:?}");
    }
    let (mut rng, none) = (Rng::new(3), Sampler::default());
    assert!(sampler.draw(2, &mut rng, 0, &|_| false).is_empty(), "none open");
    assert!(none.draw(1, &mut rng, 9, &|_| true).is_empty(), "no executors");
}

#[test]
fn keys_map_by_share_and_move_only_where_needed() {
    // Cached data must not be fetched anew because nodes differ or an executor leaves, and shares must be
    // respected.
    let lots = |gone: ExecutorIndex| {
        let members = (0..1000).filter(|i| *i != gone).collect();
        RendezvousTree::new(members, |i| mix(i as u64), |i| if i < 500 { 1.0 } else { 3.0 })
    };
    let (all, fewer) = (lots(1000), lots(700));
    let drawn: Vec<Option<ExecutorIndex>> = (0..8000).map(|key| all.draw(mix(key))).collect();
    let large = drawn.iter().flatten().filter(|i| **i >= 500).count() as f64 / 8000.0;
    assert!((0.735..0.765).contains(&large), "three quarters expected: {large}");
    let moved = (0..8000).filter(|&key| fewer.draw(mix(key)) != drawn[key as usize]).count();
    let its = drawn.iter().filter(|i| **i == Some(700)).count();
    assert!((its..its + 60).contains(&moved), "{moved} for {its}");
    let order = all.order(77);
    assert!(order.len() == KEY_ORDER_LEN && order == lots(1000).order(77), "the same at every node");
    assert!(
        lots(order[0]).order(77).contains(&order[1]),
        "without its first executor the key moves to the next ones"
    );
}

/// Simulates a node with `many` equal executors of sixteen slots in virtual time; running times vary by a
/// twentieth.
struct Simulation {
    node: Node,
    events: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
    inputs: Vec<Option<Input>>,
    held: Vec<f64>,
    received: Vec<f64>,
    failed: usize,
    rng: Rng,
    sent: BTreeMap<InvocationId, f64>,
    /// Executors examined outside solves.
    examined: usize,
}

const RATE: f64 = 330.0;
const DEDUP_CELL: Effect = Effect::Deduplicated { group: Group::Cell, window: 2.0 };

impl Simulation {
    fn new(many: usize, change: impl Fn(&mut Settings), entry: impl Fn(ExecutorIndex) -> Entry) -> Self {
        let effect = Effect::Idempotent;
        let operations =
            vec![Operation { effect, objective: 1.0, stretch: 1.0, value: 1.0, late_value: 0.0, kind: None }];
        let cold = Cold { start: 0.25, warm: 8.0, factor: 4.0, fall: 2.0 };
        let set =
            Settings { operations, nodes: 1, max_forwards: 3, cold, probing: true, ..Settings::default() };
        let mut set = Settings { reports: Reports::Answers, goal_whole: 1.0, ..set };
        change(&mut set);
        let node = Node::new(set, 5);
        let (held, received) = (vec![0.0; many], vec![0.0; many]);
        let (events, inputs, sent) = (BinaryHeap::new(), Vec::new(), BTreeMap::new());
        let mut simulation = Simulation {
            node,
            events,
            inputs,
            held,
            received,
            failed: 0,
            rng: Rng::new(9),
            sent,
            examined: 0,
        };
        simulation.deliver(
            0.0,
            Input::List(List::Initial((0..many).map(entry).collect(), InitialListAge::Unspecified)),
        );
        simulation
    }

    fn schedule(&mut self, at: f64, input: Input) {
        self.events.push(std::cmp::Reverse(((at * 1e9) as u64, self.inputs.len())));
        self.inputs.push(Some(input));
    }

    fn report(&self, executor_index: ExecutorIndex) -> Report {
        let inflight = Some(self.held[executor_index]);
        Report {
            free: Some(16.0 - self.held[executor_index]),
            queue: Some(0.0),
            inflight,
            ..Report::default()
        }
    }

    fn deliver(&mut self, now: f64, input: Input) {
        let (solves, mut out) = (matches!(input, Input::Timer(0) | Input::List(_)), Vec::new());
        take_examined();
        self.node.handle(now, input, &mut out);
        self.examined += if solves { 0 } else { take_examined() };
        for output in out {
            match output {
                Output::Forward { id, executor_index } => {
                    self.received[executor_index] += 1.0;
                    self.held[executor_index] += 1.0;
                    self.sent.insert(id, now);
                    let took = 0.05 * (0.05 * (self.rng.draw() + self.rng.draw() - 1.0) * 2.4).exp();
                    let report = self.report(executor_index);
                    let (outcome, ended, forward) = (Outcome::Succeeded, true, 0);
                    self.schedule(now + 0.001, Input::Started { id, forward });
                    let settled = Settled { id, forward, outcome, took, ended, report };
                    self.schedule(now + took, Input::Settled(settled));
                }
                Output::Probe(executor_index) => {
                    let (report, way) = (self.report(executor_index), 0.0005 + 0.001 * self.rng.draw());
                    self.schedule(
                        now + way,
                        Input::Probed { executor_index, outcome: Outcome::Succeeded, report },
                    );
                }
                Output::SetTimer { after, timer } => self.schedule(now + after, Input::Timer(timer)),
                Output::Throttle { .. } | Output::Error { .. } => self.failed += 1,
                _ => {}
            }
        }
    }

    fn run_until(&mut self, due: f64) {
        while let Some(std::cmp::Reverse((when, event))) = self.events.pop() {
            if when as f64 / 1e9 > due {
                self.events.push(std::cmp::Reverse((when, event)));
                break;
            }
            let input = self.inputs[event].take().expect("delivered once");
            if let Input::Settled(Settled { id, .. }) = &input {
                let executor_index = self
                    .node
                    .invocations
                    .get(id)
                    .and_then(|invocation| invocation.forwards.last())
                    .map(|f| f.executor_index);
                executor_index.into_iter().for_each(|executor_index| self.held[executor_index] -= 1.0);
            }
            self.deliver(when as f64 / 1e9, input);
        }
    }

    /// Submits `many` invocations at 330 per second from the time `from`; returns the end.
    fn submit_many(&mut self, from: f64, many: usize) -> f64 {
        for at in 0..many {
            let due = from + at as f64 / RATE;
            self.run_until(due);
            let sub = Submission {
                id: 100 + (due * RATE).round() as InvocationId,
                operation: 0,
                tenant: None,
                timeout: 5.0,
                hint: None,
                memory: None,
                key: None,
                is_retry: false,
            };
            self.deliver(due, Input::Submitted(sub));
        }
        from + many as f64 / RATE
    }

    fn peak_to_mean(&self) -> f64 {
        let mean = self.received.iter().sum::<f64>() / self.received.len() as f64;
        self.received.iter().copied().fold(0.0, f64::max) / mean
    }
}

fn ready(executor_index: ExecutorIndex) -> Entry {
    let standing = Standing::Ready;
    Entry {
        executor_index,
        stable_id: executor_index as u32,
        zone: executor_index % 5,
        cell: executor_index as i64 / 2,
        size: 1.0,
        standing,
        ..Entry::default()
    }
}

#[test_case(1_000; "a thousand")]
#[test_case(4_000; "four thousand")]
fn an_invocation_examines_few_executors_and_equal_ones_get_equal_load(many: usize) {
    // The cost per invocation must not grow with the fleet size, measurement noise must not exclude equal
    // executors, and random clusters must not overload some of them.
    let mut simulation = Simulation::new(many, |_| {}, ready);
    let now = simulation.submit_many(1.0, 500);
    (simulation.received, simulation.examined) = (vec![0.0; many], 0);
    simulation.submit_many(now, 3 * many);
    let examined = simulation.examined as f64 / (3 * many) as f64;
    assert!(examined < 16.0, "examined {examined} per invocation");
    assert!(
        simulation.peak_to_mean() <= 3.0 && simulation.failed == 0,
        "{} failed {}",
        simulation.peak_to_mean(),
        simulation.failed
    );
    let none = simulation.received.iter().filter(|received| **received == 0.0).count();
    assert!(none * 20 < many, "{none} got nothing");
}

#[test]
fn unequal_executors_get_their_shares() {
    // The choice among the drawn executors must not even out the shares of the bargaining split.
    let sized = |executor_index| Entry {
        size: if executor_index % 2 == 0 { 1.0 } else { 1.04 },
        ..ready(executor_index)
    };
    let mut simulation = Simulation::new(800, |set| set.sizes = Sizes::Listed, sized);
    simulation.submit_many(1.0, 8_000);
    simulation.received = vec![0.0; 800];
    simulation.submit_many(40.0, 8_000);
    let even = |of: &dyn Fn(ExecutorIndex) -> f64| {
        (0..800).step_by(2).map(of).sum::<f64>() / (0..800).map(of).sum::<f64>()
    };
    let (share, received) =
        (even(&|i| simulation.node.executors[i].share), even(&|i| simulation.received[i]));
    assert!((0.05..0.45).contains(&share) && (received - share).abs() < 0.04, "{received} for {share}");
}

#[test_case(|executor_index| executor_index % 5 == 0; "one zone is closed")]
#[test_case(|executor_index| executor_index % 100 != 7; "one in a hundred is open")]
fn invocations_avoid_closed_executors(closed: fn(ExecutorIndex) -> bool) {
    // While some executors have free slots, invocations must neither fail nor go to closed ones.
    let mut simulation = Simulation::new(3_000, |_| {}, ready);
    simulation.submit_many(1.0, 100);
    simulation.run_until(2.0);
    let full = |t: &mut Executor| (t.refused_at, t.refusals) = (2.0, 6); // Closed for 6.4 s.
    simulation.node.executors.iter_mut().filter(|t| closed(t.entry.executor_index)).for_each(full);
    simulation.received = vec![0.0; 3_000];
    simulation.submit_many(2.0, 1_500);
    let (received, lost) = (
        simulation.received.iter().sum::<f64>(),
        (0..3_000).filter(|i| closed(*i) && simulation.received[*i] > 0.0).count(),
    );
    assert!(
        received > 1_400.0 && lost == 0 && simulation.failed == 0,
        "{received} started, {lost} at closed ones, {} failed",
        simulation.failed
    );
}

#[test_case(DEDUP_CELL, |t| t.cell == 2000; "its cell")]
#[test_case(Effect::Idempotent, |t| t.executor_index != 4000; "anywhere")]
fn a_repeat_is_drawn_from_where_it_may_go(effect: Effect, fits: fn(&Entry) -> bool) {
    // A repeat may be restricted to a few of thousands of executors, which draws over all hardly ever hit.
    let mut simulation = Simulation::new(5_000, |set| set.operations[0].effect = effect, ready);
    let location = Some(simulation.node.executors[4000].entry.location());
    let first = Forward { state: ForwardState::MayHaveRun, location, ..Forward::new(4000, 1.0) };
    let invocation = Invocation {
        latest_start: 5.0,
        give_up_at: 5.0,
        deadline: 9.0,
        slack: 1.0,
        load: 0.1,
        forwards: vec![first],
        ..Invocation::default()
    };
    simulation.node.invocations.insert(1, invocation);
    let drawn = simulation.node.draw_executors(1.1, 1, 2);
    assert!(
        !drawn.is_empty() && drawn.iter().all(|i| *i != 4000 && fits(&simulation.node.executors[*i].entry)),
        "{drawn:?}"
    );
    let invocation = &simulation.node.invocations[&1];
    assert!(simulation
        .node
        .permitted_executors(invocation)
        .any(|t| simulation.node.is_eligible(1.1, invocation, t)));
}

#[test_case(|t| t.started_at_once = true; "an executor that started at once")]
#[test_case(|t| t.entry.started = 1.0; "a cold executor in its turn")]
fn without_reports_a_large_fleet_prefers_useful_executors(change: fn(&mut Executor)) {
    // In a large fleet without load reports, draws must still prefer executors that started at once or would
    // be idle while cold.
    let change_set = |set: &mut Settings| (set.probing, set.reports_starts) = (false, true);
    let mut simulation = Simulation::new(2_000, change_set, ready);
    change(&mut simulation.node.executors[1_234]);
    simulation.node.solve(2.0);
    let invocation = Invocation {
        latest_start: 9.0,
        give_up_at: 9.0,
        deadline: 9.0,
        slack: 1.0,
        load: 0.1,
        ..Invocation::default()
    };
    simulation.node.invocations.insert(1, invocation);
    assert!((0..50).all(|_| simulation.node.draw_executors(2.0, 1, 1) == [1_234]));
}

#[test]
#[ignore = "a measurement: run by hand"]
fn processor_time_by_size() {
    for _ in 0..3 {
        for many in [16, 200, 320, 321, 1000, 4000, 7800] {
            let mut simulation = Simulation::new(many, |_| {}, ready);
            let now = simulation.submit_many(1.0, 1000);
            (simulation.received, simulation.examined) = (vec![0.0; many], 0);
            let began = Instant::now();
            let count = 10_000.max(3 * many);
            simulation.submit_many(now, count);
            let each = began.elapsed().as_secs_f64() / count as f64 * 1e6;
            println!(
                "{many}: {each:.1} us a start, looked at {:.1}, busiest {:.2}, failed {}",
                simulation.examined as f64 / count as f64,
                simulation.peak_to_mean(),
                simulation.failed
            );
        }
    }
}

#[test_case(0.05, 0.0; "within the noise of single answers")]
#[test_case(0.7, 0.67; "half as fast, beyond the noise")]
#[test_case(-0.7, -0.67; "twice as fast")]
fn only_slowness_beyond_the_noise_counts(measured: f64, counted: f64) {
    // At low load, where the spare rate is near the mean rate, the split would exclude equal executors
    // because of noise. A standard deviation of 0.3, so a standard error of 0.07.
    let kind = MachineKindStats { variance: 0.09, ..MachineKindStats::default() };
    assert!(
        (kind.significant_slowness(measured, false) - counted).abs() < 0.01,
        "{}",
        kind.significant_slowness(measured, false)
    );
    assert_eq!(kind.significant_slowness(measured, true), measured, "all of it in a small fleet");
}
