//! Many processes restart at once while discovery is slow and overloaded: a sample of a fleet of 300, with discovery's capacity
//! scaled down accordingly.
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::harness::{executor, unused_addr, wait_until, Discovery, DiscoveryLimits, NodeOptions, Process};

/// Processes that are started, and the fleet size in their configuration.
const STARTED: usize = 30;
const FLEET: usize = 300;
/// Required time to readiness for nine in ten of them; all must be ready in three times as long.
const READY: Duration = Duration::from_secs(10);

/// Sorted times that the processes took to become ready and to get the list.
struct StartTimes {
    ready: Vec<f64>,
    listed: Vec<f64>,
}

/// `limits.calls_per_second` is the capacity for the whole fleet; the sample gets its share of it.
fn measure_starts(limits: DiscoveryLimits, known: bool) -> StartTimes {
    let limits = DiscoveryLimits {
        calls_per_second: limits.calls_per_second * STARTED as f64 / FLEET as f64,
        ..limits
    };
    let node = unused_addr();
    let discovery = Discovery::stopped(executor(node), limits);
    discovery.start();
    let known = known.then_some(discovery.executor);
    let options =
        NodeOptions { fleet_size: FLEET, cached_executor: known, ..NodeOptions::with_descriptors(128) };
    let (began, at) = (Instant::now(), discovery.addr);
    let start = |nth| {
        let options = NodeOptions { index: nth * (FLEET / STARTED), ..options };
        thread::spawn(move || {
            let process = Process::start(unused_addr(), at, options);
            let took = |holds: bool| if holds { began.elapsed().as_secs_f64() } else { f64::INFINITY };
            let ready = took(wait_until(3 * READY, || process.is_ready()));
            let left = (3 * READY).saturating_sub(began.elapsed());
            let listed = took(wait_until(left, || process.has_logged("discovery is first heard of")));
            if ready.max(listed).is_infinite() {
                println!("{} is not ready or has no list: {}", process.node, process.log());
            }
            ((ready, listed), process)
        })
    };
    let starts: Vec<_> = (0..STARTED).map(start).collect();
    let ended = starts.into_iter().map(|start| start.join().expect("the process thread panicked"));
    // Keeps all processes running until the last one is ready.
    let (took, _processes): (Vec<(f64, f64)>, Vec<Process>) = ended.unzip();
    let (mut ready, mut listed): (Vec<f64>, Vec<f64>) = took.into_iter().unzip();
    ready.sort_by(f64::total_cmp);
    listed.sort_by(f64::total_cmp);
    let (calls, refused) =
        (discovery.calls.load(Ordering::Relaxed), discovery.refused.load(Ordering::Relaxed));
    println!("{limits:?}: {calls} calls, {refused} refused");
    StartTimes { ready, listed }
}

const MAX_WAIT: Duration = Duration::from_secs(2);
const DELAY: Duration = Duration::from_millis(500);

#[test_case(DiscoveryLimits { calls_per_second: 40.0, max_wait: MAX_WAIT, refuses_with_503: true, delay: DELAY }, true; "the last list cached")]
#[test_case(DiscoveryLimits { calls_per_second: 40.0, max_wait: MAX_WAIT, refuses_with_503: true, delay: DELAY }, false; "no list cached")]
#[test_case(DiscoveryLimits { calls_per_second: 40.0, max_wait: MAX_WAIT, refuses_with_503: false, delay: DELAY }, false; "no list cached, reset")]
fn nine_in_ten_simultaneous_restarts_are_ready_in_time(limits: DiscoveryLimits, known: bool) {
    let StartTimes { ready, listed } = measure_starts(limits, known);
    for (what, took) in [("ready", ready), ("with a list", listed)] {
        let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
        let in_time = took.iter().filter(|took| **took <= READY.as_secs_f64()).count();
        let within = in_time as f64 / took.len() as f64;
        let (half, most, last) = (at(0.5), at(0.9), at(1.0));
        println!(
            "cached list {known}: {within:.3} {what} in time, p50 {half:.1}, p90 {most:.1}, longest {last:.1}"
        );
        assert!(within >= 0.9, "{within} {what} within {READY:?}");
        assert!(last <= 3.0 * READY.as_secs_f64(), "{what}: longest {last}");
    }
}
