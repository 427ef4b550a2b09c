use std::cell::Cell;
use std::collections::BinaryHeap;
use std::time::Instant;

use super::*;
use crate::node::Node;
use test_case::test_case;

thread_local!(static LOOKS: Cell<usize> = const { Cell::new(0) });

/// An executor has been looked at.
pub(crate) fn look() {
    LOOKS.with(|looks| looks.set(looks.get() + 1));
}

fn looks() -> usize {
    LOOKS.with(|looks| looks.replace(0))
}

/// Shares 1, 2, 3, 1, 2, 3, ...
fn sampler(many: usize) -> Sampler {
    Sampler::new((0..many).collect(), |i| (1 + i % 3) as f64)
}

#[test]
fn draws_by_share_among_the_open() {
    // Guards against draws that shift shares: of twelve, four are closed, the others share as if these were not there.
    let (sampler, mut chance) = (sampler(12), Chance::new(3));
    let open = |i: &Tgt| i % 4 != 1;
    let mut counts = [0.0; 12];
    let draws = 24_000;
    for _ in 0..draws / 2 {
        sampler.draw(2, &mut chance, 0, &open).into_iter().for_each(|i| counts[i] += 1.0);
    }
    let sum: f64 = (0..12).filter(open).map(|i| (1 + i % 3) as f64).sum();
    let part = |i: usize| draws as f64 * (1 + i % 3) as f64 / sum;
    assert!((0..12).filter(|i| !open(i)).all(|i| counts[i] == 0.0), "{counts:?}");
    let chi: f64 = (0..12).filter(open).map(|i| (counts[i] - part(i)).powi(2) / part(i)).sum();
    assert!(chi < 24.3, "chi-square of 8 degrees, one in a thousand is over 26: {chi} {counts:?}");
}

#[test_case(7_800, 1; "one open of all")]
#[test_case(7_800, 78; "one in a hundred")]
#[test_case(12, 1; "one of a dozen")]
fn finds_who_is_open_after_a_bounded_number_of_looks(many: usize, open: usize) {
    // Guards against starts that fail while some have room, as after a zone is lost, and against draws without end.
    let (sampler, windows) = (sampler(many), many.div_ceil(MAX_SCANNED));
    for seed in 0..8 {
        let (mut chance, looked) = (Chance::new(seed), Cell::new(0));
        let is_open = |i: &Tgt| {
            looked.set(looked.get() + 1);
            i % (many / open) == many / open - 1
        };
        let draw = |at: usize| sampler.draw(2, &mut chance, 7 + at * MAX_SCANNED, &is_open);
        let found: Vec<Tgt> = (0..windows).flat_map(draw).collect();
        assert!(looked.get() <= windows * (2 * MAX_TRIES + MAX_SCANNED), "{}", looked.get());
        assert!(!found.is_empty() && found.iter().all(is_open), "{found:?}");
    }
    let (mut chance, none) = (Chance::new(3), Sampler::default());
    assert!(sampler.draw(2, &mut chance, 0, &|_| false).is_empty(), "nobody");
    assert!(none.draw(1, &mut chance, 9, &|_| true).is_empty(), "of nobody");
}

#[test]
fn keys_draw_by_share_and_move_only_as_they_must() {
    // Guards against kept data that is fetched anew, at one node or as an executor leaves, and against uneven parts.
    let lots = |gone: Tgt| {
        let members = (0..1000).filter(|i| *i != gone).collect();
        RendezvousTree::new(members, |i| mix(i as u64), |i| if i < 500 { 1.0 } else { 3.0 })
    };
    let (all, fewer) = (lots(1000), lots(700));
    let drawn: Vec<Option<Tgt>> = (0..8000).map(|key| all.draw(mix(key))).collect();
    let large = drawn.iter().flatten().filter(|i| **i >= 500).count() as f64 / 8000.0;
    assert!((0.735..0.765).contains(&large), "three quarters: {large}");
    let moved = (0..8000).filter(|&key| fewer.draw(mix(key)) != drawn[key as usize]).count();
    let its = drawn.iter().filter(|i| **i == Some(700)).count();
    assert!((its..its + 60).contains(&moved), "{moved} for {its}");
    let order = all.order(77);
    assert!(order.len() == KEY_ORDER_LEN && order == lots(1000).order(77), "the same at every node");
    assert!(
        lots(order[0]).order(77).contains(&order[1]),
        "without its first the key goes to those that follow"
    );
}

/// A node with so many equal executors of sixteen slots, in virtual time: answers vary by a twentieth.
struct Play {
    node: Node,
    events: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
    todo: Vec<Option<Input>>,
    held: Vec<f64>,
    got: Vec<f64>,
    failed: usize,
    chance: Chance,
    sent: BTreeMap<InvId, f64>,
    /// Looked at by what was no solve.
    looked: usize,
}

const RATE: f64 = 330.0;
const DEDUP_CELL: Effect = Effect::Deduplicated { group: Group::Cell, window: 2.0 };

impl Play {
    fn new(many: usize, change: impl Fn(&mut Settings), entry: impl Fn(Tgt) -> Entry) -> Self {
        let effect = Effect::Idempotent;
        let operations =
            vec![Operation { effect, objective: 1.0, stretch: 1.0, value: 1.0, late_value: 0.0, kind: None }];
        let cold = Cold { start: 0.25, warm: 8.0, factor: 4.0, fall: 2.0 };
        let set =
            Settings { operations, nodes: 1, max_forwards: 3, cold, probing: true, ..Settings::default() };
        let mut set = Settings { reports: Reports::Answers, goal_whole: 1.0, ..set };
        change(&mut set);
        let node = Node::new(set, 5);
        let (held, got) = (vec![0.0; many], vec![0.0; many]);
        let (events, todo, sent) = (BinaryHeap::new(), Vec::new(), BTreeMap::new());
        let mut play =
            Play { node, events, todo, held, got, failed: 0, chance: Chance::new(9), sent, looked: 0 };
        play.hand(0.0, Input::List(List::Kept((0..many).map(entry).collect(), KeptAge::Unsaid)));
        play
    }

    fn after(&mut self, at: f64, input: Input) {
        self.events.push(std::cmp::Reverse(((at * 1e9) as u64, self.todo.len())));
        self.todo.push(Some(input));
    }

    fn report(&self, tgt: Tgt) -> Report {
        let inflight = Some(self.held[tgt]);
        Report { free: Some(16.0 - self.held[tgt]), queue: Some(0.0), inflight, ..Report::default() }
    }

    fn hand(&mut self, now: f64, input: Input) {
        let (solves, mut out) = (matches!(input, Input::Timer(0) | Input::List(_)), Vec::new());
        looks();
        self.node.handle(now, input, &mut out);
        self.looked += if solves { 0 } else { looks() };
        for output in out {
            match output {
                Output::Forward { id, tgt } => {
                    self.got[tgt] += 1.0;
                    self.held[tgt] += 1.0;
                    self.sent.insert(id, now);
                    let took = 0.05 * (0.05 * (self.chance.draw() + self.chance.draw() - 1.0) * 2.4).exp();
                    let report = self.report(tgt);
                    let (outcome, ended, forward) = (Outcome::Succeeded, true, 0);
                    self.after(now + 0.001, Input::Alive { id, forward });
                    let settled = Settled { id, forward, outcome, took, ended, report };
                    self.after(now + took, Input::Settled(settled));
                }
                Output::Probe(tgt) => {
                    let (report, way) = (self.report(tgt), 0.0005 + 0.001 * self.chance.draw());
                    self.after(now + way, Input::Probed { tgt, outcome: Outcome::Succeeded, report });
                }
                Output::Wake { after, timer } => self.after(now + after, Input::Timer(timer)),
                Output::Throttle { .. } | Output::Error { .. } => self.failed += 1,
                _ => {}
            }
        }
    }

    fn until(&mut self, due: f64) {
        while let Some(std::cmp::Reverse((when, event))) = self.events.pop() {
            if when as f64 / 1e9 > due {
                self.events.push(std::cmp::Reverse((when, event)));
                break;
            }
            let input = self.todo[event].take().expect("handed once");
            if let Input::Settled(Settled { id, .. }) = &input {
                let tgt = self.node.invocations.get(id).and_then(|inv| inv.forwards.last()).map(|f| f.tgt);
                tgt.into_iter().for_each(|tgt| self.held[tgt] -= 1.0);
            }
            self.hand(when as f64 / 1e9, input);
        }
    }

    /// So many starts, at 330 a second.
    fn starts(&mut self, from: f64, many: usize) -> f64 {
        for at in 0..many {
            let due = from + at as f64 / RATE;
            self.until(due);
            let sub = Submission {
                id: 100 + (due * RATE).round() as InvId,
                operation: 0,
                tenant: None,
                timeout: 5.0,
                hint: None,
                memory: None,
                key: None,
                again: false,
            };
            self.hand(due, Input::Submitted(sub));
        }
        from + many as f64 / RATE
    }

    fn busiest(&self) -> f64 {
        let mean = self.got.iter().sum::<f64>() / self.got.len() as f64;
        self.got.iter().copied().fold(0.0, f64::max) / mean
    }
}

fn ready(tgt: Tgt) -> Entry {
    let standing = Standing::Ready;
    Entry {
        tgt,
        mark: tgt as u32,
        zone: tgt % 5,
        cell: tgt as i64 / 2,
        size: 1.0,
        standing,
        ..Entry::default()
    }
}

#[test_case(1_000; "a thousand")]
#[test_case(4_000; "four thousand")]
fn a_start_looks_at_a_few_and_equal_executors_get_equal_parts(many: usize) {
    // Guards against a start that costs by the size of the fleet, against equal executors that noise in what is measured
    // of them leaves out, and against some that are busy by chance alone.
    let mut play = Play::new(many, |_| {}, ready);
    let now = play.starts(1.0, 500);
    (play.got, play.looked) = (vec![0.0; many], 0);
    play.starts(now, 3 * many);
    let looked = play.looked as f64 / (3 * many) as f64;
    assert!(looked < 16.0, "looked at {looked} a start");
    assert!(play.busiest() <= 3.0 && play.failed == 0, "{} failed {}", play.busiest(), play.failed);
    let none = play.got.iter().filter(|got| **got == 0.0).count();
    assert!(none * 20 < many, "{none} got nothing");
}

#[test]
fn uneven_executors_get_their_shares() {
    // Guards against a choice among the drawn that evens out what the bargaining split tells apart.
    let sized = |tgt| Entry { size: if tgt % 2 == 0 { 1.0 } else { 1.04 }, ..ready(tgt) };
    let mut play = Play::new(800, |set| set.sizes = Sizes::Listed, sized);
    play.starts(1.0, 8_000);
    play.got = vec![0.0; 800];
    play.starts(40.0, 8_000);
    let even =
        |of: &dyn Fn(Tgt) -> f64| (0..800).step_by(2).map(of).sum::<f64>() / (0..800).map(of).sum::<f64>();
    let (share, got) = (even(&|i| play.node.executors[i].share), even(&|i| play.got[i]));
    assert!((0.05..0.45).contains(&share) && (got - share).abs() < 0.04, "{got} for {share}");
}

#[test_case(|tgt| tgt % 5 == 0; "a zone is lost")]
#[test_case(|tgt| tgt % 100 != 7; "one in a hundred is left")]
fn starts_go_on_beside_those_that_are_closed(closed: fn(Tgt) -> bool) {
    // Guards against starts that fail, or go to who is closed, as long as some have room.
    let mut play = Play::new(3_000, |_| {}, ready);
    play.starts(1.0, 100);
    play.until(2.0);
    let full = |t: &mut Executor| (t.refused_at, t.refusals) = (2.0, 6); // For 6.4 s.
    play.node.executors.iter_mut().filter(|t| closed(t.entry.tgt)).for_each(full);
    play.got = vec![0.0; 3_000];
    play.starts(2.0, 1_500);
    let (got, lost) =
        (play.got.iter().sum::<f64>(), (0..3_000).filter(|i| closed(*i) && play.got[*i] > 0.0).count());
    assert!(
        got > 1_400.0 && lost == 0 && play.failed == 0,
        "{got} started, {lost} at closed ones, {} failed",
        play.failed
    );
}

#[test_case(DEDUP_CELL, |t| t.cell == 2000; "its cell")]
#[test_case(Effect::Idempotent, |t| t.tgt != 4000; "anywhere")]
fn a_repeat_finds_where_it_may_go(effect: Effect, fits: fn(&Entry) -> bool) {
    // Guards against repeats that are bound to a few of thousands, whom draws over all hardly ever meet.
    let mut play = Play::new(5_000, |set| set.operations[0].effect = effect, ready);
    let first = Forward { state: ForwardState::MayHaveRun, ..Forward::new(4000, 1.0) };
    let inv = Inv {
        latest_start: 5.0,
        give_up_at: 5.0,
        end: 9.0,
        slack: 1.0,
        load: 0.1,
        forwards: vec![first],
        ..Inv::default()
    };
    play.node.invocations.insert(1, inv);
    let drawn = play.node.draw_executors(1.1, 1, 2);
    assert!(
        !drawn.is_empty() && drawn.iter().all(|i| *i != 4000 && fits(&play.node.executors[*i].entry)),
        "{drawn:?}"
    );
    let inv = &play.node.invocations[&1];
    assert!(play.node.permitted_executors(inv).any(|t| play.node.is_eligible(1.1, inv, t)));
}

#[test_case(|t| t.started_at_once = true; "what began at once")]
#[test_case(|t| t.entry.started = 1.0; "what is cold, in turn")]
fn a_large_blind_fleet_draws_first_who_is_of_use(change: fn(&mut Executor)) {
    // Guards against blind draws that forget, in a large fleet, who began at once and who would stand idle while cold.
    let change_set = |set: &mut Settings| (set.probing, set.tells_start) = (false, true);
    let mut play = Play::new(2_000, change_set, ready);
    change(&mut play.node.executors[1_234]);
    play.node.solve(2.0);
    let inv = Inv { latest_start: 9.0, give_up_at: 9.0, end: 9.0, slack: 1.0, load: 0.1, ..Inv::default() };
    play.node.invocations.insert(1, inv);
    assert!((0..50).all(|_| play.node.draw_executors(2.0, 1, 1) == [1_234]));
}

#[test]
#[ignore = "a measurement: run by hand"]
fn processor_time_by_size() {
    for _ in 0..3 {
        for many in [16, 200, 320, 321, 1000, 4000, 7800] {
            let mut play = Play::new(many, |_| {}, ready);
            let now = play.starts(1.0, 1000);
            (play.got, play.looked) = (vec![0.0; many], 0);
            let began = Instant::now();
            let starts = 10_000.max(3 * many);
            play.starts(now, starts);
            let each = began.elapsed().as_secs_f64() / starts as f64 * 1e6;
            println!(
                "{many}: {each:.1} us a start, looked at {:.1}, busiest {:.2}, failed {}",
                play.looked as f64 / starts as f64,
                play.busiest(),
                play.failed
            );
        }
    }
}

#[test_case(0.05, 0.0; "within the noise of single answers")]
#[test_case(0.7, 0.67; "half as fast, and seen so")]
#[test_case(-0.7, -0.67; "twice as fast")]
fn slowness_counts_beyond_the_noise(measured: f64, counted: f64) {
    // Guards against equal executors that the split leaves out at low load, where its spare rate is near the mean rate.
    let kind = MachineKindStats { variance: 0.09, ..MachineKindStats::default() }; // Three tenths: a standard error of 0.07.
    assert!(
        (kind.significant_slowness(measured, false) - counted).abs() < 0.01,
        "{}",
        kind.significant_slowness(measured, false)
    );
    assert_eq!(kind.significant_slowness(measured, true), measured, "all of it in a fleet of few");
}
