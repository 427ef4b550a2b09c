//! Several processes of the program that know each other, with faults between them: cuts, also one way, stalls, kills,
//! restarts, loss, a replacement, and files read anew.
use std::path::Path;

use coveroute_emu::fleet::processes::Processes;
use coveroute_emu::scenario::{Count, Direction, FleetPart, What};
use test_case::test_case;

const THERE: [&str; 2] = ["alive", "returned"];

/// That many, and all know each other.
fn met(nodes: usize, part: FleetPart) -> Processes {
    let program = Path::new(env!("CARGO_BIN_EXE_coveroute"));
    let processes = Processes::start(program, nodes, part).expect("processes");
    let all: Vec<usize> = (0..nodes).collect();
    let known = processes.until(20.0, |p| p.hold(&all, &all, &THERE) && p.agree(&all));
    assert!(known.is_some(), "{:?} {}", processes.fleet(0), processes.log(0));
    processes
}

fn others(nodes: usize, node: usize) -> Vec<usize> {
    (0..nodes).filter(|other| *other != node).collect()
}

/// A bound on how long is a machine's as well: three times what the proof asks of one that does nothing else.
const SLACK: f64 = 3.0;

#[test]
fn a_kill_is_known_to_all_and_the_one_that_starts_again_is_back() {
    let mut fleet = met(5, FleetPart::default());
    let rest = others(5, 2);
    fleet.kill(2);
    let known = fleet.until(2.0 * SLACK, |p| p.hold(&rest, &[2], &["dead"]));
    assert!(known.is_some(), "{}", fleet.log(0));
    fleet.begin(2).expect("a process");
    let all: Vec<usize> = (0..5).collect();
    let back = fleet.until(2.0 * SLACK, |p| p.hold(&all, &all, &THERE) && p.agree(&all));
    assert!(back.is_some(), "{:?}", fleet.fleet(2));
}

/// Guards against a restart within the detector's time that nobody sees: its earlier life's word must not stand.
#[test]
fn a_restart_within_the_detectors_time_is_seen() {
    let mut fleet = met(4, FleetPart::default());
    let before = fleet.fleet(1).expect("figures")["incarnation"].as_u64();
    fleet.kill(1);
    fleet.begin(1).expect("a process");
    let rest = others(4, 1);
    let seen = fleet.until(2.0 * SLACK, |p| p.hold(&rest, &[1], &["returned"]) && p.agree(&[0, 1, 2, 3]));
    assert!(seen.is_some(), "{:?}", fleet.fleet(0));
    assert!(fleet.fleet(1).expect("figures")["incarnation"].as_u64() > before);
}

#[test_case(Direction::Both, &["dead"]; "both ways")]
#[test_case(Direction::Out, &["dead"]; "they are not heard")]
fn a_side_that_is_cut_off_is_missed_and_comes_back(way: Direction, states: &[&str]) {
    let fleet = met(5, FleetPart::default());
    let (cut, rest, all) = ([0, 1], [2, 3, 4], [0, 1, 2, 3, 4]);
    fleet.strike(What::LinkCut, 0.0, &cut, way);
    let known = fleet.until(3.0 * SLACK, |p| p.hold(&rest, &cut, states));
    assert!(known.is_some() && fleet.hold(&rest, &rest, &THERE), "{:?}", fleet.fleet(2));
    assert!(fleet.hold(&cut, &cut, &THERE), "{:?}", fleet.fleet(0));
    fleet.heal();
    let healed = fleet.until(2.0 * SLACK, |p| p.hold(&all, &all, &THERE) && p.agree(&all));
    assert!(healed.is_some(), "{:?}", fleet.fleet(0));
}

/// Guards against a process that stood still (SIGSTOP) and wakes with its old time: it is there again at once, and
/// holds nobody to be dead for what it did not hear.
#[test]
fn who_stood_still_is_back_at_once_and_accuses_nobody() {
    let mut fleet = met(5, FleetPart::default());
    let (rest, all) = (others(5, 3), [0, 1, 2, 3, 4]);
    fleet.stall(3);
    assert!(fleet.until(2.0 * SLACK, |p| p.hold(&rest, &[3], &["dead"])).is_some());
    std::thread::sleep(std::time::Duration::from_secs(2));
    fleet.wake(3);
    let back = fleet.until(1.0 * SLACK, |p| p.hold(&all, &all, &THERE));
    assert!(back.is_some(), "{:?}", fleet.fleet(3));
    let own = fleet.fleet(3).expect("figures");
    assert_eq!((own["buried"].as_u64(), own["stalls"].as_u64() >= Some(1)), (Some(0), true), "{own}");
}

#[test_case(What::LinkLoss, 0.3; "a third lost")]
#[test_case(What::LinkDoubles, 0.5; "doubled")]
#[test_case(What::LinkCorrupts, 0.2; "damaged")]
#[test_case(What::LinkReorders, 0.5; "out of order")]
fn bad_links_kill_nobody(what: What, by: f64) {
    let fleet = met(5, FleetPart::default());
    fleet.strike(what, by, &[], Direction::Both);
    std::thread::sleep(std::time::Duration::from_secs(6));
    let buried = |node: usize| fleet.fleet(node).and_then(|own| own["buried"].as_u64());
    assert_eq!((0..5).map(buried).collect::<Vec<_>>(), vec![Some(0); 5]);
    fleet.heal();
    assert!(fleet.until(2.0 * SLACK, |p| p.agree(&[0, 1, 2, 3, 4])).is_some());
}

/// One process in the place of another is one member: nobody holds it to be dead meanwhile, or to have left.
#[test]
fn a_replacement_is_one_member() {
    let mut fleet = met(4, FleetPart::default());
    let (rest, all) = (others(4, 0), [0, 1, 2, 3]);
    fleet.replace(0).expect("a process");
    // It can't serve, as there is no list here: the one before goes on until it is stopped.
    std::thread::sleep(std::time::Duration::from_secs(2));
    assert!(fleet.hold(&rest, &[0], &THERE), "{:?}", fleet.fleet(1));
    fleet.stop_before(0);
    let taken = fleet.until(2.0 * SLACK, |p| p.hold(&all, &all, &THERE) && p.agree(&all));
    assert!(taken.is_some(), "{:?} {}", fleet.fleet(0), fleet.log(0));
    let buried = |node: &usize| fleet.fleet(*node).and_then(|own| own["buried"].as_u64());
    assert_eq!(rest.iter().map(buried).collect::<Vec<_>>(), vec![Some(0); 3]);
}

/// Who is asked to stop says that it goes: the others do not have to find out.
#[test]
fn who_is_stopped_has_left() {
    let mut fleet = met(4, FleetPart::default());
    fleet.stop(3);
    let known = fleet.until(2.0 * SLACK, |p| p.hold(&[0, 1, 2], &[3], &["left"]));
    assert!(known.is_some(), "{:?}", fleet.fleet(0));
}

#[test]
fn a_member_that_never_comes_is_not_held_to_be_dead() {
    let fleet = met(3, FleetPart { absent: Count(1), ..FleetPart::default() });
    std::thread::sleep(std::time::Duration::from_secs(3));
    assert_eq!(fleet.fleet(0).expect("figures")["states"]["n3"], "unseen");
}

/// SIGHUP with a file that lacks a live member, and then with one that is not fit.
#[test]
fn a_file_read_anew_removes_a_live_member_or_changes_nothing() {
    let fleet = met(4, FleetPart::default());
    (0..3).for_each(|node| fleet.write_plan(node, |other| other != 3).expect("a file"));
    (0..3).for_each(|node| fleet.reread(node));
    let unknown =
        |p: &Processes| (0..3).all(|node| p.fleet(node).is_some_and(|own| own["states"]["n3"].is_null()));
    assert!(fleet.until(2.0 * SLACK, unknown).is_some(), "{}", fleet.log(0));
    let strange = |p: &Processes| p.fleet(0).is_some_and(|own| own["dropped"]["stranger"].as_u64() > Some(0));
    assert!(fleet.until(2.0 * SLACK, strange).is_some(), "{:?}", fleet.fleet(0));
    fleet.write_plan(1, |other| other != 1).expect("a file");
    fleet.reread(1);
    assert!(fleet.until(2.0 * SLACK, |p| p.log(1).contains("not reloaded")).is_some());
    assert!(fleet.hold(&[1], &[0, 2], &THERE));
}
