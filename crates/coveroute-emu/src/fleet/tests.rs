//! Difficult cases of the fleet protocol, each produced in virtual time.
use test_case::test_case;

use coveroute_fleet::State;

use super::measure::started_simulation;
use super::simulation::FleetSimulation;
use crate::scenario::{Count, Direction, FaultKind, FleetSettings, Scenario, Span};
use crate::world::{NodeCommand, NodeId};

/// A fleet in which each node writes, after 5 s without faults.
fn settled_simulation(nodes: usize, seed: u64) -> FleetSimulation {
    let mut simulation =
        started_simulation(nodes, seed, FleetSettings { writes: Span(1.0), ..FleetSettings::default() });
    simulation.run_until(5.0);
    simulation
}

fn all_hold_states(simulation: &FleetSimulation, by: &[NodeId], of: &[NodeId], states: &[State]) -> bool {
    let pairs = by.iter().flat_map(|by| of.iter().map(move |of| (*by, *of))).filter(|(by, of)| by != of);
    pairs.into_iter().all(|(by, of)| simulation.state(by, of).is_some_and(|state| states.contains(&state)))
}

const PRESENT: [State; 2] = [State::Alive, State::Returned];

fn range(from: usize, to: usize) -> Vec<NodeId> {
    (from..to).collect()
}

fn false_deaths(simulation: &FleetSimulation) -> usize {
    simulation.state_changes.iter().filter(|change| change.false_death).count()
}

fn assert_no_breaches(simulation: &FleetSimulation) {
    assert_eq!(simulation.checker.breaches, Vec::<String>::new());
}

#[test_case(2; "two")]
#[test_case(12; "twelve")]
#[test_case(60; "sixty")]
fn nodes_that_start_together_find_each_other(nodes: usize) {
    let mut simulation = started_simulation(nodes, 1, FleetSettings::default());
    let all = range(0, nodes);
    let known = simulation.run_until_true(0.0, 5.0, |simulation| {
        all_hold_states(simulation, &all, &all, &PRESENT) && simulation.agree_on_table()
    });
    assert!(known.is_some_and(|at| at < 3.0), "{known:?}");
    assert_no_breaches(&simulation);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_killed_node_is_declared_dead_by_all(seed: u64) {
    let mut simulation = settled_simulation(12, seed);
    simulation.kill(3);
    let others: Vec<NodeId> = range(0, 12).into_iter().filter(|node| *node != 3).collect();
    let known = simulation
        .run_until_true(5.0, 10.0, |simulation| all_hold_states(simulation, &others, &[3], &[State::Dead]));
    assert!(known.is_some_and(|at| at < 7.0), "{known:?}");
    assert_eq!(false_deaths(&simulation), 0);
    assert_no_breaches(&simulation);
}

/// Guards against a member being declared dead because one single node can't hear it.
#[test]
fn a_one_way_cut_between_two_nodes_causes_no_death() {
    let mut simulation = settled_simulation(12, 1);
    simulation.links.cut_one_way(5.0, 0, 1);
    simulation.run_until(65.0);
    assert_eq!(simulation.state_changes.iter().filter(|change| change.to == State::Dead).count(), 0);
    assert_no_breaches(&simulation);
}

/// A node can receive but not send, or send but not receive. Guards against its holding the others to be dead for good.
#[test_case(Direction::Out; "cannot send")]
#[test_case(Direction::In; "cannot receive")]
fn a_node_cut_off_one_way_is_declared_dead_and_returns(way: Direction) {
    let mut simulation = settled_simulation(12, 2);
    simulation.links.inject(5.0, FaultKind::LinkCut, 0.0, &[4], way);
    let others: Vec<NodeId> = range(0, 12).into_iter().filter(|node| *node != 4).collect();
    let declared_dead = simulation
        .run_until_true(5.0, 20.0, |simulation| all_hold_states(simulation, &others, &[4], &[State::Dead]));
    // A node that can still send gets the full `patience` before it is declared dead.
    assert!(declared_dead.is_some_and(|at| at < 9.0), "{declared_dead:?}");
    assert!(all_hold_states(&simulation, &others, &others, &PRESENT));
    simulation.links.heal();
    simulation.stop_writing();
    let (all, healed) = (range(0, 12), declared_dead.unwrap_or(0.0));
    let back = simulation.run_until_true(healed, 35.0, |simulation| {
        all_hold_states(simulation, &all, &all, &PRESENT) && simulation.agree_on_table()
    });
    assert!(back.is_some_and(|at| at < healed + 3.0), "{back:?}");
    assert_no_breaches(&simulation);
}

/// A process resumes after a long stall. Guards against its declaring others dead because it received nothing meanwhile,
/// and against its own late return.
#[test]
fn a_stalled_node_returns_soon_and_declares_nobody_dead() {
    let mut simulation = settled_simulation(12, 3);
    simulation.execute_command(5.0, 7, NodeCommand::Stall);
    let others: Vec<NodeId> = range(0, 12).into_iter().filter(|node| *node != 7).collect();
    simulation.run_until(25.0);
    assert!(all_hold_states(&simulation, &others, &[7], &[State::Dead]));
    simulation.resume(25.0, 7);
    let back = simulation
        .run_until_true(25.0, 30.0, |simulation| all_hold_states(simulation, &others, &[7], &PRESENT));
    assert!(back.is_some_and(|at| at < 26.0), "{back:?}");
    simulation.run_until(40.0);
    assert_eq!(false_deaths(&simulation), 0);
    assert_no_breaches(&simulation);
}

#[test]
fn loss_of_30_percent_causes_no_false_deaths() {
    let mut simulation = settled_simulation(12, 4);
    simulation.links.inject(5.0, FaultKind::LinkLoss, 0.3, &[], Direction::Both);
    simulation.run_until(125.0);
    assert_eq!(false_deaths(&simulation), 0);
    assert_no_breaches(&simulation);
}

#[test_case(5; "seven and five")]
#[test_case(6; "halves")]
#[test_case(1; "one alone")]
fn tables_are_equal_again_after_a_cut_of_a_minute(side: usize) {
    let mut simulation = settled_simulation(12, 5);
    let (cut, rest, all) = (range(0, side), range(side, 12), range(0, 12));
    simulation.links.inject(5.0, FaultKind::LinkCut, 0.0, &cut, Direction::Both);
    let known = simulation
        .run_until_true(5.0, 15.0, |simulation| all_hold_states(simulation, &rest, &cut, &[State::Dead]));
    assert!(known.is_some_and(|at| at < 8.0), "{known:?}");
    simulation.run_until(65.0);
    assert!(
        all_hold_states(&simulation, &cut, &rest, &[State::Dead])
            && all_hold_states(&simulation, &rest, &rest, &PRESENT)
    );
    simulation.links.heal();
    simulation.stop_writing();
    let healed = simulation.run_until_true(65.0, 75.0, |simulation| {
        all_hold_states(simulation, &all, &all, &PRESENT) && simulation.agree_on_table()
    });
    assert!(healed.is_some_and(|at| at < 67.0), "{healed:?}");
    assert_no_breaches(&simulation);
}

/// A process restarts before its death is detected, also with a clock that was set back. Guards against records of its
/// predecessor taking precedence over its own or reappearing.
#[test_case(false; "at once")]
#[test_case(true; "with a clock set back")]
fn records_of_a_restarted_node_take_precedence(back: bool) {
    let mut simulation = settled_simulation(8, 6);
    assert!(simulation.write(5.0, 2, 1));
    simulation.run_until(7.0);
    simulation.kill(2);
    simulation.run_until(7.1);
    simulation.start(7.1, 2, back);
    assert!(simulation.write(7.1, 2, 1));
    simulation.run_until(10.0);
    simulation.stop_writing();
    simulation.run_until(12.0);
    let all = range(0, 8);
    assert!(all_hold_states(&simulation, &all, &all, &PRESENT));
    let latest = |node: NodeId| {
        let own = simulation.fleet(node)?;
        let owner = simulation.fleet(2)?;
        let reading = own.readings(f64::MIN).find(|r| r.key.owner == owner.me() && r.key.key == 1)?;
        Some((reading.incarnation == owner.incarnation(), reading.value.to_vec()))
    };
    for node in 0..8 {
        assert_eq!(latest(node), latest(2), "node {node}");
        assert_eq!(latest(node).map(|latest| latest.0), Some(true), "node {node}");
    }
    assert_no_breaches(&simulation);
}

#[test]
fn a_member_that_never_started_is_not_dead() {
    let mut simulation =
        started_simulation(4, 7, FleetSettings { absent: Count(2), ..FleetSettings::default() });
    simulation.run_until(30.0);
    let unseen = simulation.figures(30.0, 0).map(|figures| figures.members[&State::Unseen]);
    assert_eq!(
        (unseen, simulation.state_changes.iter().filter(|change| change.to == State::Dead).count()),
        (Some(2), 0)
    );
}

#[test]
fn a_node_that_leaves_is_not_declared_dead() {
    let mut simulation = settled_simulation(12, 8);
    simulation.execute_command(5.0, 9, NodeCommand::Stop);
    simulation.run_until(5.05);
    simulation.kill(9);
    simulation.run_until(8.0);
    let others: Vec<NodeId> = range(0, 12).into_iter().filter(|node| *node != 9).collect();
    assert!(all_hold_states(&simulation, &others, &[9], &[State::Left]));
    assert!(!simulation.state_changes.iter().any(|change| change.of == 9 && change.to == State::Dead));
}

/// Guards against faults from datagrams that arrive twice, late, out of order or damaged.
#[test_case(FaultKind::LinkDoubles, 0.5; "doubled")]
#[test_case(FaultKind::LinkReorders, 0.5; "out of command")]
#[test_case(FaultKind::LinkCorrupts, 0.2; "damaged")]
#[test_case(FaultKind::LinkDelay, 0.08; "late")]
#[test_case(FaultKind::LinkSlow, 6000.0; "slow")]
fn link_faults_break_no_rules(kind: FaultKind, by: f64) {
    let mut simulation = settled_simulation(8, 9);
    simulation.links.inject(5.0, kind, by, &[], Direction::Both);
    simulation.run_until(35.0);
    assert_eq!(false_deaths(&simulation), 0);
    simulation.links.heal();
    simulation.stop_writing();
    let agree = simulation.run_until_true(35.0, 45.0, FleetSimulation::agree_on_table);
    assert!(agree.is_some(), "tables differ");
    assert_no_breaches(&simulation);
}

/// The bound on an age is the documented one: the drift of two clocks, and the round trips of the forwarded record.
#[test_case(0.0; "no drift")]
#[test_case(0.01; "one percent")]
fn reported_ages_are_at_least_the_true_ones_and_close(drift: f64) {
    let settings =
        FleetSettings { drift: crate::scenario::Part(drift), writes: Span(20.0), ..FleetSettings::default() };
    let mut simulation = started_simulation(20, 10, settings);
    simulation.run_until(120.0);
    let ages = simulation.checker.ages;
    assert!(ages.nearest <= 1.0 && ages.nearest > 0.9, "{ages:?}");
    // 2 x 1% of the oldest, and less than a second for round trips.
    assert!(ages.slack <= 2.1 * drift * ages.oldest + 0.5, "{ages:?}");
    assert_no_breaches(&simulation);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut simulation = settled_simulation(8, 11);
        simulation.links.inject(5.0, FaultKind::LinkLoss, 0.2, &[], Direction::Both);
        simulation.run_until(15.0);
        (simulation.events, simulation.checker.ages, simulation.state_changes.clone())
    };
    assert_eq!(run(), run());
}

#[test]
fn random_fleet_scenarios_are_valid() {
    for seed in 0..100 {
        let scenario = crate::search::random_fleet_scenario(seed);
        assert_eq!(Scenario::parse(&scenario.text()).as_ref(), Ok(&scenario));
    }
}
