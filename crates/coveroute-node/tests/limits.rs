//! A tenant's share over several real processes under faults: it moves to the nodes with traffic, and the total over all nodes
//! never exceeds the configured share.
use std::path::Path;
use std::time::{Duration, Instant};

use coveroute_emu::fleet::callers::Caller;
use coveroute_emu::fleet::processes::Processes;
use coveroute_emu::scenario::{Direction, FaultKind, FleetSettings};

const TENANT: &str = "acme";
const SHARE: f64 = 40.0;
/// Required fraction of the demand at one node. An equal split would give it a quarter of the share.
const MIN_ADMITTED: f64 = 0.9;
/// Required fraction of a share that is exceeded by the total demand.
const MIN_SHARE_USED: f64 = 0.85;
/// Allowed excess over the share at any moment, over all nodes: twice the time for which rights accumulate, half a second.
const MAX_EXCESS: f64 = 2.0 * 0.5 * SHARE;

fn start_connected(nodes: usize) -> (Processes, Vec<Caller>) {
    let program = Path::new(env!("CARGO_BIN_EXE_coveroute"));
    let tenant = Some((TENANT, SHARE));
    let fleet = Processes::start_with_share(program, nodes, FleetSettings::default(), tenant)
        .expect("failed to start the processes");
    let mints = |p: &Processes| (0..nodes).all(|node| mints(p, node) == Some(1));
    assert!(fleet.wait_until(20.0, mints).is_some(), "{:?} {}", fleet.fleet_metrics(0), fleet.log(0));
    let callers = (0..nodes).map(|node| Caller::new(fleet.listen_addr(node), TENANT)).collect();
    (fleet, callers)
}

fn mints(fleet: &Processes, node: usize) -> Option<u64> {
    fleet.fleet_metrics(node)?["mints"].as_u64()
}

/// Sampling interval of demand and admissions in seconds: equals the lifetime of rights.
const SAMPLE_SECONDS: f64 = 0.5;

/// Returns the admitted fraction of the demand at these nodes, with demand capped at the share. The cap is applied per sampling
/// interval, so that pauses of nodes or callers on a busy machine don't count against the result: demand that is missing in a
/// pause can't be admitted, and what callers make up for afterwards exceeds the share. On an idle machine, the result is the
/// admitted fraction of all demand, or of the share if demand exceeds it.
fn admitted_fraction(fleet: &Processes, nodes: &[usize], seconds: f64) -> f64 {
    let sample = || {
        let figures = nodes.iter().map(|node| fleet.limit_counts(*node, TENANT).expect("no metrics"));
        (Instant::now(), figures.fold((0.0, 0.0), |sum, node| (sum.0 + node.0, sum.1 + node.1)))
    };
    let (mut before, mut demand, mut admitted) = (sample(), 0.0, 0.0);
    for _ in 0..(seconds / SAMPLE_SECONDS) as usize {
        std::thread::sleep(Duration::from_secs_f64(SAMPLE_SECONDS));
        let now = sample();
        let limit = SHARE * (now.0 - before.0).as_secs_f64() + 1.0;
        demand += (now.1 .0 - before.1 .0).min(limit);
        admitted += now.1 .1 - before.1 .1;
        before = now;
    }
    assert!(demand > 10.0 * seconds, "only {demand} invocations within the share in {seconds} s");
    println!("{:.3} of {demand:.0}", admitted / demand);
    admitted / demand
}

#[test]
fn the_share_moves_to_the_nodes_with_traffic() {
    let (fleet, callers) = start_connected(4);
    for node in [0, 3] {
        callers[node].set_rate(0.9 * SHARE);
        std::thread::sleep(Duration::from_secs(2));
        let fraction = admitted_fraction(&fleet, &[node], 4.0);
        assert!(fraction > MIN_ADMITTED, "{fraction} {:?}", fleet.fleet_metrics(node));
        callers[node].set_rate(0.0);
    }
}

/// A dead node's part is taken over by a deputy once its lease has certainly expired.
#[test]
fn a_dead_nodes_part_is_taken_over_and_returned() {
    let (mut fleet, callers) = start_connected(4);
    fleet.kill(2);
    let taken = |p: &Processes| [0, 1, 3].map(|node| mints(p, node).unwrap_or(0)).iter().sum::<u64>() == 4;
    assert!(fleet.wait_until(15.0, taken).is_some(), "{:?}", fleet.fleet_metrics(0));
    callers[0].set_rate(0.9 * SHARE);
    std::thread::sleep(Duration::from_secs(2));
    let fraction = admitted_fraction(&fleet, &[0], 4.0);
    assert!(fraction > MIN_ADMITTED, "{fraction} {:?}", fleet.fleet_metrics(0));
    // The node gets its part back after a restart.
    fleet.start_node(2).expect("failed to start the process");
    assert!(fleet.wait_until(20.0, |p| mints(p, 2) == Some(1)).is_some(), "{:?}", fleet.fleet_metrics(2));
}

/// Guards against rights that are used twice: by a node that is partitioned, stalled or restarted, and by the node that took
/// over from it.
#[test]
fn all_nodes_together_never_exceed_the_share() {
    let (mut fleet, callers) = start_connected(5);
    callers.iter().for_each(|caller| caller.set_rate(SHARE));
    let began = Instant::now();
    // Admissions of each running process at its last sample, and the total of processes that have ended.
    let (mut last, mut ended) = (vec![0.0; 5], 0.0);
    let mut samples: Vec<(f64, f64)> = Vec::new();
    let sample = |fleet: &Processes, last: &mut Vec<f64>, ended: f64| {
        // Takes the time before the first and after the last reading: a window from the start of one sample to the end of a later
        // one is never shorter than the time that its admissions took.
        let from = began.elapsed().as_secs_f64();
        for node in fleet.running() {
            last[node] =
                fleet.limit_counts(node, TENANT).map_or(last[node], |within| within.1.max(last[node]));
        }
        (from, began.elapsed().as_secs_f64(), ended + last.iter().sum::<f64>())
    };
    let mut step = 0;
    while began.elapsed().as_secs_f64() < 24.0 {
        let (from, to, admitted) = sample(&fleet, &mut last, ended);
        for (at, before) in &samples {
            let limit = SHARE * (to - at) * 1.02 + MAX_EXCESS + 1.0;
            assert!(
                admitted - before <= limit,
                "{} admitted in {:.2} s, limit {limit:.1}",
                admitted - before,
                to - at
            );
        }
        samples.push((from, admitted));
        let due = [3.0, 6.0, 9.0, 12.0, 15.0, 18.0, 21.0].iter().filter(|at| from >= **at).count();
        if due > step {
            step = due;
            match step {
                1 => fleet.inject_link_fault(FaultKind::LinkCut, 0.0, &[0, 1], Direction::Both),
                2 => fleet.stall(4),
                3 => fleet.heal(),
                4 => fleet.resume(4),
                5 => {
                    let own = fleet.limit_counts(1, TENANT).map_or(last[1], |within| within.1);
                    fleet.kill(1);
                    (ended, last[1]) = (ended + own.max(last[1]), 0.0);
                    fleet.start_node(1).expect("failed to start the process");
                }
                6 => fleet.inject_link_fault(FaultKind::LinkDoubles, 0.5, &[], Direction::Both),
                _ => fleet.inject_link_fault(FaultKind::LinkLoss, 0.3, &[], Direction::Both),
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let (_, admitted) = samples[samples.len() - 1];
    assert!(admitted > 0.5 * SHARE * 24.0, "less than half of the share was used: {admitted}");
}

/// A share lowered by SIGHUP under load is enforced from then on, also at a partitioned node; a raised one is available within
/// seconds.
#[test]
fn a_reloaded_share_is_enforced_under_load() {
    let (mut fleet, callers) = start_connected(4);
    let all = [0, 1, 2, 3];
    callers.iter().for_each(|caller| caller.set_rate(SHARE / 2.0));
    std::thread::sleep(Duration::from_secs(2));
    fleet.inject_link_fault(FaultKind::LinkCut, 0.0, &[3], Direction::Both);
    fleet.set_share(&all, SHARE / 4.0).expect("failed to write the files");
    all.iter().for_each(|node| fleet.reload(*node));
    let lower = |p: &Processes| all.iter().all(|node| share_in_force(p, *node) == Some(SHARE / 4.0));
    assert!(fleet.wait_until(5.0, lower).is_some(), "{}", fleet.log(0));
    let admitted =
        |p: &Processes| all.iter().filter_map(|node| p.limit_counts(*node, TENANT)).map(|w| w.1).sum::<f64>();
    let (before, began) = (admitted(&fleet), Instant::now());
    std::thread::sleep(Duration::from_secs(4));
    let (after, span) = (admitted(&fleet), began.elapsed().as_secs_f64());
    let limit = SHARE / 4.0 * (span * 1.02 + 2.0 * 0.5) + 1.0;
    assert!(after - before <= limit, "{} of {limit} in {span} s", after - before);
    fleet.heal();
    fleet.set_share(&all, SHARE).expect("failed to write the files");
    all.iter().for_each(|node| fleet.reload(*node));
    let minted = |p: &Processes| all.iter().all(|node| mints(p, *node) == Some(1));
    std::thread::sleep(Duration::from_secs(1));
    assert!(fleet.wait_until(20.0, minted).is_some(), "{:?}", fleet.fleet_metrics(0));
    let fraction = admitted_fraction(&fleet, &all, 4.0);
    assert!(fraction > MIN_SHARE_USED, "{fraction} of the share was used");
}

/// The share in force by the management endpoint, in invocations a second.
fn share_in_force(fleet: &Processes, node: usize) -> Option<f64> {
    let limit = fleet.fleet_metrics(node)?["limits"][TENANT].clone();
    Some(limit["share"].as_f64()? / limit["window"].as_f64()?)
}

/// A node without a majority of voters falls back to an equal part, as without a fleet, and reports that it mints no rights.
#[test]
fn a_partitioned_node_falls_back_to_an_equal_part() {
    let (fleet, callers) = start_connected(4);
    callers[3].set_rate(SHARE);
    fleet.inject_link_fault(FaultKind::LinkCut, 0.0, &[3], Direction::Both);
    let alone = |p: &Processes| mints(p, 3) == Some(0) && mints(p, 0).is_some_and(|mints| mints >= 1);
    assert!(fleet.wait_until(10.0, alone).is_some(), "{:?}", fleet.fleet_metrics(3));
    let others = |p: &Processes| [0, 1, 2].map(|node| mints(p, node).unwrap_or(0)).iter().sum::<u64>() == 4;
    assert!(fleet.wait_until(20.0, others).is_some(), "{:?}", fleet.fleet_metrics(0));
    fleet.heal();
    assert!(fleet.wait_until(20.0, |p| mints(p, 3) == Some(1)).is_some(), "{:?}", fleet.fleet_metrics(3));
}
