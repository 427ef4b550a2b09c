//! Membership among several real processes under faults: partitions, also one-way, stalls, kills, restarts, packet loss, a
//! process replacement, and configuration reloads.
use std::path::Path;

use coveroute_emu::fleet::processes::Processes;
use coveroute_emu::scenario::{Count, Direction, FaultKind, FleetSettings};
use test_case::test_case;

const ALIVE: [&str; 2] = ["alive", "returned"];

/// Starts this many processes and waits until all hold each other to be alive.
fn start_connected(nodes: usize, settings: FleetSettings) -> Processes {
    let program = Path::new(env!("CARGO_BIN_EXE_coveroute"));
    let processes = Processes::start(program, nodes, settings).expect("failed to start the processes");
    let all: Vec<usize> = (0..nodes).collect();
    let known =
        processes.wait_until(20.0, |p| p.all_hold_states(&all, &all, &ALIVE) && p.agree_on_table(&all));
    assert!(known.is_some(), "{:?} {}", processes.fleet_metrics(0), processes.log(0));
    processes
}

fn others(nodes: usize, node: usize) -> Vec<usize> {
    (0..nodes).filter(|other| *other != node).collect()
}

/// Factor on the time limits, as tests share their machine: three times what the emulator's proof requires of a machine that
/// does nothing else.
const TIME_LIMIT_FACTOR: f64 = 3.0;

#[test]
fn a_kill_is_detected_by_all_and_a_restarted_process_rejoins() {
    let mut fleet = start_connected(5, FleetSettings::default());
    let rest = others(5, 2);
    fleet.kill(2);
    let known = fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, |p| p.all_hold_states(&rest, &[2], &["dead"]));
    assert!(known.is_some(), "{}", fleet.log(0));
    fleet.start_node(2).expect("failed to start the process");
    let all: Vec<usize> = (0..5).collect();
    let back = fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, |p| {
        p.all_hold_states(&all, &all, &ALIVE) && p.agree_on_table(&all)
    });
    assert!(back.is_some(), "{:?}", fleet.fleet_metrics(2));
}

/// Guards against a restart within the failure detector's timeout that goes unnoticed: state of the earlier incarnation must be
/// superseded.
#[test]
fn a_restart_within_the_detectors_timeout_is_noticed() {
    let mut fleet = start_connected(4, FleetSettings::default());
    let before = fleet.fleet_metrics(1).expect("no metrics")["incarnation"].as_u64();
    fleet.kill(1);
    fleet.start_node(1).expect("failed to start the process");
    let rest = others(4, 1);
    let seen = fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, |p| {
        p.all_hold_states(&rest, &[1], &["returned"]) && p.agree_on_table(&[0, 1, 2, 3])
    });
    assert!(seen.is_some(), "{:?}", fleet.fleet_metrics(0));
    assert!(fleet.fleet_metrics(1).expect("no metrics")["incarnation"].as_u64() > before);
}

#[test_case(Direction::Both, &["dead"]; "both ways")]
#[test_case(Direction::Out, &["dead"]; "only outgoing")]
fn a_partition_is_detected_and_heals(way: Direction, states: &[&str]) {
    let fleet = start_connected(5, FleetSettings::default());
    let (cut, rest, all) = ([0, 1], [2, 3, 4], [0, 1, 2, 3, 4]);
    fleet.inject_link_fault(FaultKind::LinkCut, 0.0, &cut, way);
    let known = fleet.wait_until(3.0 * TIME_LIMIT_FACTOR, |p| p.all_hold_states(&rest, &cut, states));
    assert!(known.is_some() && fleet.all_hold_states(&rest, &rest, &ALIVE), "{:?}", fleet.fleet_metrics(2));
    assert!(fleet.all_hold_states(&cut, &cut, &ALIVE), "{:?}", fleet.fleet_metrics(0));
    fleet.heal();
    let healed = fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, |p| {
        p.all_hold_states(&all, &all, &ALIVE) && p.agree_on_table(&all)
    });
    assert!(healed.is_some(), "{:?}", fleet.fleet_metrics(0));
}

/// Guards against false deaths after a stall (SIGSTOP): the resumed process is alive again at once, and does not declare others
/// dead for messages that it missed while stopped.
#[test]
fn a_resumed_process_rejoins_at_once_and_declares_nobody_dead() {
    let mut fleet = start_connected(5, FleetSettings::default());
    let (rest, all) = (others(5, 3), [0, 1, 2, 3, 4]);
    fleet.stall(3);
    assert!(fleet
        .wait_until(2.0 * TIME_LIMIT_FACTOR, |p| p.all_hold_states(&rest, &[3], &["dead"]))
        .is_some());
    std::thread::sleep(std::time::Duration::from_secs(2));
    fleet.resume(3);
    let back = fleet.wait_until(1.0 * TIME_LIMIT_FACTOR, |p| p.all_hold_states(&all, &all, &ALIVE));
    assert!(back.is_some(), "{:?}", fleet.fleet_metrics(3));
    let own = fleet.fleet_metrics(3).expect("no metrics");
    assert_eq!((own["buried"].as_u64(), own["stalls"].as_u64() >= Some(1)), (Some(0), true), "{own}");
}

#[test_case(FaultKind::LinkLoss, 0.3; "a third lost")]
#[test_case(FaultKind::LinkDoubles, 0.5; "doubled")]
#[test_case(FaultKind::LinkCorrupts, 0.2; "damaged")]
#[test_case(FaultKind::LinkReorders, 0.5; "out of order")]
fn faulty_links_cause_no_false_deaths(kind: FaultKind, by: f64) {
    let fleet = start_connected(5, FleetSettings::default());
    fleet.inject_link_fault(kind, by, &[], Direction::Both);
    std::thread::sleep(std::time::Duration::from_secs(6));
    let buried = |node: usize| fleet.fleet_metrics(node).and_then(|own| own["buried"].as_u64());
    assert_eq!((0..5).map(buried).collect::<Vec<_>>(), vec![Some(0); 5]);
    fleet.heal();
    assert!(fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, |p| p.agree_on_table(&[0, 1, 2, 3, 4])).is_some());
}

/// A replacement process is the same member: nobody declares it dead or left in the meantime.
#[test]
fn a_replacement_is_one_member() {
    let mut fleet = start_connected(4, FleetSettings::default());
    let (rest, all) = (others(4, 0), [0, 1, 2, 3]);
    fleet.replace(0).expect("failed to start the process");
    // The new process never becomes ready, as there is no discovery here: the old one serves until it is stopped.
    std::thread::sleep(std::time::Duration::from_secs(2));
    assert!(fleet.all_hold_states(&rest, &[0], &ALIVE), "{:?}", fleet.fleet_metrics(1));
    fleet.stop_replaced(0);
    let taken = fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, |p| {
        p.all_hold_states(&all, &all, &ALIVE) && p.agree_on_table(&all)
    });
    assert!(taken.is_some(), "{:?} {}", fleet.fleet_metrics(0), fleet.log(0));
    let buried = |node: &usize| fleet.fleet_metrics(*node).and_then(|own| own["buried"].as_u64());
    assert_eq!(rest.iter().map(buried).collect::<Vec<_>>(), vec![Some(0); 3]);
}

/// A process that is told to stop announces its departure, so that the others need not detect it.
#[test]
fn a_stopped_member_has_left() {
    let mut fleet = start_connected(4, FleetSettings::default());
    fleet.stop(3);
    let known = fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, |p| p.all_hold_states(&[0, 1, 2], &[3], &["left"]));
    assert!(known.is_some(), "{:?}", fleet.fleet_metrics(0));
}

#[test]
fn a_member_that_never_starts_is_not_declared_dead() {
    let fleet = start_connected(3, FleetSettings { absent: Count(1), ..FleetSettings::default() });
    std::thread::sleep(std::time::Duration::from_secs(3));
    assert_eq!(fleet.fleet_metrics(0).expect("no metrics")["states"]["n3"], "unseen");
}

/// SIGHUP with a file that lacks a live member, and then with an invalid one.
#[test]
fn a_reload_removes_a_live_member_or_changes_nothing() {
    let fleet = start_connected(4, FleetSettings::default());
    (0..3).for_each(|node| {
        fleet.write_member_file(node, |other| other != 3).expect("failed to write the file")
    });
    (0..3).for_each(|node| fleet.reload(node));
    let unknown = |p: &Processes| {
        (0..3).all(|node| p.fleet_metrics(node).is_some_and(|own| own["states"]["n3"].is_null()))
    };
    assert!(fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, unknown).is_some(), "{}", fleet.log(0));
    let has_dropped_stranger =
        |p: &Processes| p.fleet_metrics(0).is_some_and(|own| own["dropped"]["stranger"].as_u64() > Some(0));
    assert!(
        fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, has_dropped_stranger).is_some(),
        "{:?}",
        fleet.fleet_metrics(0)
    );
    fleet.write_member_file(1, |other| other != 1).expect("failed to write the file");
    fleet.reload(1);
    assert!(fleet.wait_until(2.0 * TIME_LIMIT_FACTOR, |p| p.log(1).contains("not reloaded")).is_some());
    assert!(fleet.all_hold_states(&[1], &[0, 2], &ALIVE));
}
