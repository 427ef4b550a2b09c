//! Many processes start again at once, and discovery is slow and full: a part of a fleet of 300, and of its discovery.
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::stand_in::{executor, free, until, Bound, Discovery, Process, Seat};

/// Processes that are started, of a fleet that each is told of.
const STARTED: usize = 30;
const FLEET: usize = 300;
/// Nine in ten of them are ready by then, and all in three times that.
const READY: Duration = Duration::from_secs(10);

/// How long each process took, in order: to be ready, and to have heard of the list.
struct Starts {
    ready: Vec<f64>,
    listed: Vec<f64>,
}

/// `calls` a second would be the whole fleet's.
fn started(bound: Bound, known: bool) -> Starts {
    let bound = Bound { calls: bound.calls * STARTED as f64 / FLEET as f64, ..bound };
    let node = free();
    let discovery = Discovery::down(executor(node), bound);
    discovery.comes_up();
    let known = known.then_some(discovery.executor);
    let seat = Seat { nodes: FLEET, known, ..Seat::of(128) };
    let (began, at) = (Instant::now(), discovery.addr);
    let start = |nth| {
        let seat = Seat { me: nth * (FLEET / STARTED), ..seat };
        thread::spawn(move || {
            let process = Process::start(free(), at, seat);
            let took = |holds: bool| if holds { began.elapsed().as_secs_f64() } else { f64::INFINITY };
            let ready = took(until(3 * READY, || process.is_ready()));
            let left = (3 * READY).saturating_sub(began.elapsed());
            let listed = took(until(left, || process.has_logged("discovery is first heard of")));
            if ready.max(listed).is_infinite() {
                println!("{} is not ready, or without a list: {}", process.node, process.log());
            }
            ((ready, listed), process)
        })
    };
    let starts: Vec<_> = (0..STARTED).map(start).collect();
    let ended = starts.into_iter().map(|start| start.join().expect("a process"));
    // All of them live until the last is ready.
    let (took, _processes): (Vec<(f64, f64)>, Vec<Process>) = ended.unzip();
    let (mut ready, mut listed): (Vec<f64>, Vec<f64>) = took.into_iter().unzip();
    ready.sort_by(f64::total_cmp);
    listed.sort_by(f64::total_cmp);
    let (calls, refused) =
        (discovery.calls.load(Ordering::Relaxed), discovery.refused.load(Ordering::Relaxed));
    println!("{bound:?}: {calls} calls, {refused} refused");
    Starts { ready, listed }
}

const PATIENCE: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_millis(500);

#[test_case(Bound { calls: 40.0, patience: PATIENCE, answers: true, late: LATE }, true; "the last list known")]
#[test_case(Bound { calls: 40.0, patience: PATIENCE, answers: true, late: LATE }, false; "nobody known")]
#[test_case(Bound { calls: 40.0, patience: PATIENCE, answers: false, late: LATE }, false; "nobody known, reset")]
fn nine_in_ten_that_start_at_once_are_ready_in_time(bound: Bound, known: bool) {
    let Starts { ready, listed } = started(bound, known);
    for (what, took) in [("ready", ready), ("with a list", listed)] {
        let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
        let in_time = took.iter().filter(|took| **took <= READY.as_secs_f64()).count();
        let within = in_time as f64 / took.len() as f64;
        let (half, most, last) = (at(0.5), at(0.9), at(1.0));
        println!(
            "known {known}: {within:.3} {what} in time, p50 {half:.1}, p90 {most:.1}, longest {last:.1}"
        );
        assert!(within >= 0.9, "{within} {what} within {READY:?}");
        assert!(last <= 3.0 * READY.as_secs_f64(), "{what}: longest {last}");
    }
}
