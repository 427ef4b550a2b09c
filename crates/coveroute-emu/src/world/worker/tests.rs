use test_case::test_case;

use super::*;
use crate::scenario::{Amount, Count, Positive};

fn worker() -> Worker {
    let make = Workers { slots: Count(2), cores: Positive(1.0), queue: Count(1), ..Workers::default() };
    Worker::new(&make, 0, (&Cold::default(), 0.5), 0.0, false)
}

fn job(tri: TryId, work: f64) -> Arrival {
    Arrival { tri, node: 0, work, memory: 1.0, informed: true }
}

const LUCKY: Luck = Luck { fate: 0.999 };

fn deeds(out: &[Said]) -> Vec<(TryId, Deed)> {
    out.iter().map(|said| (said.tri, said.deed)).collect()
}

fn until(worker: &mut Worker, mut now: f64, end: f64) -> Vec<(f64, TryId)> {
    let mut done = Vec::new();
    while let Some(next) = worker.next(now).filter(|next| *next <= end) {
        now = next;
        let mut out = Vec::new();
        worker.advance(now, &mut out);
        done.extend(out.iter().filter(|s| s.deed == Deed::Ran).map(|s| ((now * 1e3).round() / 1e3, s.tri)));
    }
    done
}

#[test]
fn running_jobs_share_the_cores_and_the_rest_waits_in_order() {
    let (mut worker, mut out) = (worker(), Vec::new());
    for tri in 0..4 {
        worker.arrive(0.0, job(tri, 1.0), LUCKY, &mut out);
    }
    assert_eq!((worker.held(), worker.queued()), (3, 1), "the fourth finds the queue full");
    assert!(deeds(&out).contains(&(3, Deed::Rejects)));
    assert_eq!(until(&mut worker, 0.0, 9.0), [(2.0, 0), (2.0, 1), (3.0, 2)]);
}

#[test]
fn the_first_that_waits_for_memory_keeps_others_waiting() {
    let mut worker = worker();
    worker.make.memory = Amount(2.0);
    worker.make.queue = Count(9);
    for (tri, memory) in [(0, 1.0), (1, 1.5), (2, 0.1)] {
        worker.arrive(0.0, Arrival { memory, ..job(tri, 1.0) }, LUCKY, &mut Vec::new());
    }
    assert_eq!((worker.running(), worker.queued()), (1, 2));
    assert_eq!(until(&mut worker, 0.0, 9.0), [(1.0, 0), (3.0, 1), (3.0, 2)]);
}

#[test_case(false, 1.0; "goes on at once")]
#[test_case(true, 6.0; "five seconds later")]
fn a_pause_moves_all_that_is_left(paused: bool, expected: f64) {
    let mut worker = worker();
    worker.arrive(0.0, job(0, 1.0), LUCKY, &mut Vec::new());
    if paused {
        worker.pause(0.5, true, &mut Vec::new());
        assert_eq!(worker.next(0.5), None);
        let mut out = Vec::new();
        worker.arrive(1.0, job(1, 1.0), LUCKY, &mut out);
        worker.give_up(1.0, 1, 0, &mut out);
        assert!(out.is_empty(), "nothing is heard of it");
        worker.pause(5.5, false, &mut out);
        assert!(out.is_empty(), "what was given up meanwhile is not begun");
    }
    assert_eq!(until(&mut worker, if paused { 5.5 } else { 0.0 }, 9.0), [(expected, 0)]);
}

#[test]
fn a_silent_worker_runs_what_it_has_and_tells_it_later() {
    let (mut worker, mut out) = (worker(), Vec::new());
    worker.silence(true, &mut out);
    worker.arrive(0.0, job(0, 1.0), LUCKY, &mut out);
    assert!(out.is_empty() && !worker.hears(), "it does not even say that it has it");
    assert_eq!(until(&mut worker, 0.0, 9.0), [(1.0, 0)]);
    worker.silence(false, &mut out);
    assert_eq!(deeds(&out), [(0, Deed::Done)]);
}

#[test_case(0.05, &[Deed::Fails]; "fails at once")]
#[test_case(0.15, &[Deed::Acks { after: 0.001 }]; "takes it and forgets it")]
#[test_case(0.25, &[Deed::Acks { after: 0.001 }, Deed::GivesBack]; "takes it and gives it back")]
#[test_case(0.35, &[Deed::Acks { after: 0.001 }]; "takes it and runs it")]
fn a_jobs_fate_is_drawn(fate: f64, expected: &[Deed]) {
    let (mut worker, mut out) = (worker(), Vec::new());
    (worker.ails.errors, worker.ails.loses, worker.ails.gives_back) = (0.1, 0.1, 0.1);
    worker.arrive(0.0, job(0, 1.0), Luck { fate }, &mut out);
    assert_eq!(out.iter().map(|said| said.deed).collect::<Vec<_>>(), expected);
    assert_eq!(worker.held(), usize::from(fate > 0.3));
}

/// What is sent until it falls, and whether it does; the first `told` came from nodes that knew.
fn pushed(worker: &mut Worker, now: f64, works: &[f64], told: usize) -> (usize, Option<Fall>) {
    for (at, work) in works.iter().enumerate() {
        let job = Arrival { informed: at < told, ..job(at as TryId, *work) };
        if let Some(fall) = worker.arrive(now, job, LUCKY, &mut Vec::new()) {
            return (at + 1, Some(fall));
        }
    }
    (works.len(), None)
}

// Cores 1, at 0.3 of them, four times that over two seconds: 2.4 s of work, in means of 0.6 s four requests. So
// N + 2 x root of N + 2 is ten, and ten is not more than ten.
#[test_case(&[0.6; 10], None; "as many as the term allows")]
#[test_case(&[0.6; 11], Some(11); "one more")]
#[test_case(&[0.01; 10], None; "light ones, by number")]
#[test_case(&[0.01; 11], Some(11); "one more, however light")]
#[test_case(&[3.0, 2.9, 0.05], None; "heavy ones, by work")]
#[test_case(&[3.0, 2.9, 0.05, 0.06], Some(4); "a little more work")]
#[test_case(&[9.0], None; "one job that is heavier than all is nobody's fault")]
fn a_cold_worker_falls_by_the_operators_term(works: &[f64], falls: Option<usize>) {
    let mut worker = worker();
    worker.mean = 0.6;
    worker.start(100.0);
    let (sent, fall) = pushed(&mut worker, 100.0, works, 99);
    assert_eq!(fall.map(|_| sent), falls);
    assert!(fall.is_none_or(|fall| (fall.most - 10.0).abs() < 1e-9 && fall.informed == 1.0));
    worker.life = Life::Up;
    assert_eq!(pushed(&mut worker, 120.0, &[9.0; 40], 99).1, None, "a warm one turns away, no more");
}

// Guards against a term that goes by the start alone, or by all that came since then.
#[test_case(102.0, 10; "within the span what came at the start still counts")]
#[test_case(104.5, 0; "after it no more")]
fn the_term_goes_by_the_span_and_the_warmth(at: f64, left: usize) {
    let mut worker = worker();
    worker.mean = 0.6;
    worker.start(100.0);
    assert_eq!(pushed(&mut worker, 100.0, &[0.6; 10], 99).1, None);
    let n: f64 = 4.0 * (0.3 + 0.7 * (at - 100.0) / 9.0) * 2.0 / 0.6;
    let most = (n + 2.0 * n.sqrt() + 2.0) as usize - left;
    assert_eq!(pushed(&mut worker, at, &vec![0.6; most], 99).1, None);
    assert!(pushed(&mut worker, at, &[0.6], 99).1.is_some(), "one more than {most}");
}

#[test_case(8, 8.0 / 11.0; "most were told")]
#[test_case(7, 7.0 / 11.0; "fewer than two thirds were")]
fn a_fall_tells_the_part_that_knew(told: usize, informed: f64) {
    let mut worker = worker();
    worker.mean = 0.6;
    worker.start(100.0);
    let fall = pushed(&mut worker, 100.0, &[0.6; 11], told).1.expect("it falls");
    assert!((fall.informed - informed).abs() < 1e-9, "{fall:?}");
}

#[test]
fn a_cold_worker_runs_slow_at_first() {
    let mut worker = worker();
    worker.start(100.0);
    worker.arrive(100.0, job(0, 1.0), LUCKY, &mut Vec::new());
    let done = until(&mut worker, 100.0, 120.0);
    assert!(done[0].0 > 102.0 && done[0].0 < 103.0, "{done:?}");
}

#[test]
fn reports_can_be_old() {
    let mut worker = worker();
    worker.advance(0.0, &mut Vec::new());
    worker.arrive(5.0, job(0, 9.0), LUCKY, &mut Vec::new());
    assert_eq!([0.0, 2.0].map(|age| worker.report(6.0, age).free), [Some(1.0), Some(2.0)]);
}

#[test]
fn what_a_process_held_when_it_died_is_lost() {
    let (mut worker, mut out) = (worker(), Vec::new());
    worker.arrive(0.0, job(0, 1.0), LUCKY, &mut Vec::new());
    worker.end(0.5, Life::Down, &mut out);
    assert_eq!((deeds(&out), worker.held()), (vec![(0, Deed::Lost)], 0));
    worker.start(3.0);
    assert_eq!((worker.life, worker.next(3.0)), (Life::Up, None));
}
