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

const NO_FAULT: FaultDraw = FaultDraw { fate: 0.999 };

fn actions(out: &[WorkerMessage]) -> Vec<(TryId, JobAction)> {
    out.iter().map(|message| (message.tri, message.action)).collect()
}

fn until(worker: &mut Worker, mut now: f64, end: f64) -> Vec<(f64, TryId)> {
    let mut done = Vec::new();
    while let Some(next) = worker.next(now).filter(|next| *next <= end) {
        now = next;
        let mut out = Vec::new();
        worker.advance(now, &mut out);
        done.extend(
            out.iter().filter(|s| s.action == JobAction::Ran).map(|s| ((now * 1e3).round() / 1e3, s.tri)),
        );
    }
    done
}

#[test]
fn running_jobs_share_cores_and_queued_jobs_start_in_order() {
    let (mut worker, mut out) = (worker(), Vec::new());
    for tri in 0..4 {
        worker.arrive(0.0, job(tri, 1.0), NO_FAULT, &mut out);
    }
    assert_eq!((worker.held(), worker.queued()), (3, 1), "the fourth job finds the queue full");
    assert!(actions(&out).contains(&(3, JobAction::Rejects)));
    assert_eq!(until(&mut worker, 0.0, 9.0), [(2.0, 0), (2.0, 1), (3.0, 2)]);
}

#[test]
fn a_job_waiting_for_memory_blocks_later_jobs() {
    let mut worker = worker();
    worker.spec.memory = Amount(2.0);
    worker.spec.queue = Count(9);
    for (tri, memory) in [(0, 1.0), (1, 1.5), (2, 0.1)] {
        worker.arrive(0.0, Arrival { memory, ..job(tri, 1.0) }, NO_FAULT, &mut Vec::new());
    }
    assert_eq!((worker.running(), worker.queued()), (1, 2));
    assert_eq!(until(&mut worker, 0.0, 9.0), [(1.0, 0), (3.0, 1), (3.0, 2)]);
}

#[test_case(false, 1.0; "not paused")]
#[test_case(true, 6.0; "paused for five seconds")]
fn a_pause_delays_the_remaining_work(paused: bool, expected: f64) {
    let mut worker = worker();
    worker.arrive(0.0, job(0, 1.0), NO_FAULT, &mut Vec::new());
    if paused {
        worker.set_paused(0.5, true, &mut Vec::new());
        assert_eq!(worker.next(0.5), None);
        let mut out = Vec::new();
        worker.arrive(1.0, job(1, 1.0), NO_FAULT, &mut out);
        worker.give_up(1.0, 1, 0, &mut out);
        assert!(out.is_empty(), "a paused worker sends nothing");
        worker.set_paused(5.5, false, &mut out);
        assert!(out.is_empty(), "a job cancelled during the pause does not start");
    }
    assert_eq!(until(&mut worker, if paused { 5.5 } else { 0.0 }, 9.0), [(expected, 0)]);
}

#[test]
fn a_silent_worker_runs_its_jobs_and_reports_them_later() {
    let (mut worker, mut out) = (worker(), Vec::new());
    worker.set_silent(true, &mut out);
    worker.arrive(0.0, job(0, 1.0), NO_FAULT, &mut out);
    assert!(out.is_empty() && !worker.answers_probes(), "no acknowledgement while silent");
    assert_eq!(until(&mut worker, 0.0, 9.0), [(1.0, 0)]);
    worker.set_silent(false, &mut out);
    assert_eq!(actions(&out), [(0, JobAction::Done)]);
}

#[test_case(0.05, &[JobAction::Fails]; "fails at once")]
#[test_case(0.15, &[JobAction::Acks { after: 0.001 }]; "acknowledged and lost")]
#[test_case(0.25, &[JobAction::Acks { after: 0.001 }, JobAction::GivesBack]; "acknowledged and given back")]
#[test_case(0.35, &[JobAction::Acks { after: 0.001 }]; "acknowledged and run")]
fn job_fates_follow_the_draw(fate: f64, expected: &[JobAction]) {
    let (mut worker, mut out) = (worker(), Vec::new());
    (worker.faults.errors, worker.faults.loses, worker.faults.gives_back) = (0.1, 0.1, 0.1);
    worker.arrive(0.0, job(0, 1.0), FaultDraw { fate }, &mut out);
    assert_eq!(out.iter().map(|message| message.action).collect::<Vec<_>>(), expected);
    assert_eq!(worker.held(), usize::from(fate > 0.3));
}

/// Sends jobs until the worker is overloaded; returns the number sent and the overload, if any. The first
/// `told` jobs come from nodes that knew of the worker's start.
fn send_until_overload(
    worker: &mut Worker,
    now: f64,
    works: &[f64],
    told: usize,
) -> (usize, Option<Overload>) {
    for (at, work) in works.iter().enumerate() {
        let job = Arrival { informed: at < told, ..job(at as TryId, *work) };
        if let Some(fall) = worker.arrive(now, job, NO_FAULT, &mut Vec::new()) {
            return (at + 1, Some(fall));
        }
    }
    (works.len(), None)
}

// One core at 0.3 speed, four times that over two seconds: 2.4 s of work, or N = 4 requests of 0.6 s. N + 2
// sqrt(N) + 2 = 10, and the limit is exceeded only by more than 10.
#[test_case(&[0.6; 10], None; "as many as the limit allows")]
#[test_case(&[0.6; 11], Some(11); "one more")]
#[test_case(&[0.01; 10], None; "light jobs, by number")]
#[test_case(&[0.01; 11], Some(11); "one more light job")]
#[test_case(&[3.0, 2.9, 0.05], None; "heavy jobs, by work")]
#[test_case(&[3.0, 2.9, 0.05, 0.06], Some(4); "slightly more work")]
#[test_case(&[9.0], None; "one job above the whole limit is not an overload")]
fn a_cold_worker_fails_above_the_overload_limit(works: &[f64], falls: Option<usize>) {
    let mut worker = worker();
    worker.mean_work = 0.6;
    worker.start(100.0);
    let (sent, fall) = send_until_overload(&mut worker, 100.0, works, 99);
    assert_eq!(fall.map(|_| sent), falls);
    assert!(fall.is_none_or(|fall| (fall.most - 10.0).abs() < 1e-9 && fall.informed == 1.0));
    worker.life = Liveness::Up;
    assert_eq!(
        send_until_overload(&mut worker, 120.0, &[9.0; 40], 99).1,
        None,
        "a warm worker rejects, but does not fail"
    );
}

// Guards against a limit that uses the worker's speed at its start, or that counts every job since the start
// rather than those within the span.
#[test_case(102.0, 10; "jobs from the start still count within the span")]
#[test_case(104.5, 0; "not after the span")]
fn the_overload_limit_follows_span_and_warmth(at: f64, left: usize) {
    let mut worker = worker();
    worker.mean_work = 0.6;
    worker.start(100.0);
    assert_eq!(send_until_overload(&mut worker, 100.0, &[0.6; 10], 99).1, None);
    let n: f64 = 4.0 * (0.3 + 0.7 * (at - 100.0) / 9.0) * 2.0 / 0.6;
    let most = (n + 2.0 * n.sqrt() + 2.0) as usize - left;
    assert_eq!(send_until_overload(&mut worker, at, &vec![0.6; most], 99).1, None);
    assert!(send_until_overload(&mut worker, at, &[0.6], 99).1.is_some(), "one more than {most}");
}

#[test_case(8, 8.0 / 11.0; "most nodes knew")]
#[test_case(7, 7.0 / 11.0; "fewer than two thirds knew")]
fn an_overload_reports_the_informed_share(told: usize, informed: f64) {
    let mut worker = worker();
    worker.mean_work = 0.6;
    worker.start(100.0);
    let fall = send_until_overload(&mut worker, 100.0, &[0.6; 11], told).1.expect("an overload");
    assert!((fall.informed - informed).abs() < 1e-9, "{fall:?}");
}

#[test]
fn a_cold_worker_runs_slowly_at_first() {
    let mut worker = worker();
    worker.start(100.0);
    worker.arrive(100.0, job(0, 1.0), NO_FAULT, &mut Vec::new());
    let done = until(&mut worker, 100.0, 120.0);
    assert!(done[0].0 > 102.0 && done[0].0 < 103.0, "{done:?}");
}

#[test]
fn reports_can_be_old() {
    let mut worker = worker();
    worker.advance(0.0, &mut Vec::new());
    worker.arrive(5.0, job(0, 9.0), NO_FAULT, &mut Vec::new());
    assert_eq!([0.0, 2.0].map(|age| worker.report(6.0, age).free), [Some(1.0), Some(2.0)]);
}

#[test]
fn jobs_of_a_dead_process_are_lost() {
    let (mut worker, mut out) = (worker(), Vec::new());
    worker.arrive(0.0, job(0, 1.0), NO_FAULT, &mut Vec::new());
    worker.end(0.5, Liveness::Down, &mut out);
    assert_eq!((actions(&out), worker.held()), (vec![(0, JobAction::Lost)], 0));
    worker.start(3.0);
    assert_eq!((worker.life, worker.next(3.0)), (Liveness::Up, None));
}
