//! Hard cases of the fleet, each caused on the stage in virtual time.
use test_case::test_case;

use coveroute_fleet::State;

use super::measure::begun;
use super::stage::Stage;
use crate::scenario::{Count, Direction, FleetPart, Scenario, Span, What};
use crate::world::{NodeId, Order};

fn usual(nodes: usize, seed: u64) -> Stage {
    let mut stage = begun(nodes, seed, FleetPart { writes: Span(1.0), ..FleetPart::default() });
    stage.play(5.0);
    stage
}

fn all_hold(stage: &Stage, by: &[NodeId], of: &[NodeId], states: &[State]) -> bool {
    let pairs = by.iter().flat_map(|by| of.iter().map(move |of| (*by, *of))).filter(|(by, of)| by != of);
    pairs.into_iter().all(|(by, of)| stage.state(by, of).is_some_and(|state| states.contains(&state)))
}

const THERE: [State; 2] = [State::Alive, State::Returned];

fn range(from: usize, to: usize) -> Vec<NodeId> {
    (from..to).collect()
}

fn false_deaths(stage: &Stage) -> usize {
    stage.seen.iter().filter(|seen| seen.false_death).count()
}

fn sound(stage: &Stage) {
    assert_eq!(stage.witness.breaches, Vec::<String>::new());
}

#[test_case(2; "two")]
#[test_case(12; "twelve")]
#[test_case(60; "sixty")]
fn all_start_at_once_and_know_each_other(nodes: usize) {
    let mut stage = begun(nodes, 1, FleetPart::default());
    let all = range(0, nodes);
    let known = stage.until(0.0, 5.0, |stage| all_hold(stage, &all, &all, &THERE) && stage.agree());
    assert!(known.is_some_and(|at| at < 3.0), "{known:?}");
    sound(&stage);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_kill_is_known_to_all(seed: u64) {
    let mut stage = usual(12, seed);
    stage.kill(3);
    let others: Vec<NodeId> = range(0, 12).into_iter().filter(|node| *node != 3).collect();
    let known = stage.until(5.0, 10.0, |stage| all_hold(stage, &others, &[3], &[State::Dead]));
    assert!(known.is_some_and(|at| at < 7.0), "{known:?}");
    assert_eq!(false_deaths(&stage), 0);
    sound(&stage);
}

/// Guards against who can't be heard by one being given up by all.
#[test]
fn a_cut_one_way_between_two_is_no_death() {
    let mut stage = usual(12, 1);
    stage.links.between(5.0, 0, 1);
    stage.play(65.0);
    assert_eq!(stage.seen.iter().filter(|seen| seen.to == State::Dead).count(), 0);
    sound(&stage);
}

/// Guards against a node that hears all and is heard by none, or the other way round, holding the others to be dead for
/// good.
#[test_case(Direction::Out; "who is not heard")]
#[test_case(Direction::In; "who does not hear")]
fn a_node_cut_off_one_way_is_missed_and_comes_back(way: Direction) {
    let mut stage = usual(12, 2);
    stage.links.strike(5.0, What::LinkCut, 0.0, &[4], way);
    let others: Vec<NodeId> = range(0, 12).into_iter().filter(|node| *node != 4).collect();
    let missed = stage.until(5.0, 20.0, |stage| all_hold(stage, &others, &[4], &[State::Dead]));
    // Who is heard itself is given the whole patience.
    assert!(missed.is_some_and(|at| at < 9.0), "{missed:?}");
    assert!(all_hold(&stage, &others, &others, &THERE));
    stage.links.heal();
    stage.stop_writing();
    let (all, healed) = (range(0, 12), missed.unwrap_or(0.0));
    let back = stage.until(healed, 35.0, |stage| all_hold(stage, &all, &all, &THERE) && stage.agree());
    assert!(back.is_some_and(|at| at < healed + 3.0), "{back:?}");
    sound(&stage);
}

/// Guards against a process that stood still and goes on as if no time had passed: it must not hold the others to be
/// dead for what it did not hear, and is itself there again soon.
#[test]
fn who_stood_still_for_long_is_back_soon_and_accuses_nobody() {
    let mut stage = usual(12, 3);
    stage.order(5.0, 7, Order::Stall);
    let others: Vec<NodeId> = range(0, 12).into_iter().filter(|node| *node != 7).collect();
    stage.play(25.0);
    assert!(all_hold(&stage, &others, &[7], &[State::Dead]));
    stage.wake(25.0, 7);
    let back = stage.until(25.0, 30.0, |stage| all_hold(stage, &others, &[7], &THERE));
    assert!(back.is_some_and(|at| at < 26.0), "{back:?}");
    stage.play(40.0);
    assert_eq!(false_deaths(&stage), 0);
    sound(&stage);
}

#[test]
fn a_third_of_all_lost_kills_nobody() {
    let mut stage = usual(12, 4);
    stage.links.strike(5.0, What::LinkLoss, 0.3, &[], Direction::Both);
    stage.play(125.0);
    assert_eq!(false_deaths(&stage), 0);
    sound(&stage);
}

#[test_case(5; "seven and five")]
#[test_case(6; "halves")]
#[test_case(1; "one alone")]
fn a_cut_for_a_minute_then_one_table_again(side: usize) {
    let mut stage = usual(12, 5);
    let (cut, rest, all) = (range(0, side), range(side, 12), range(0, 12));
    stage.links.strike(5.0, What::LinkCut, 0.0, &cut, Direction::Both);
    let known = stage.until(5.0, 15.0, |stage| all_hold(stage, &rest, &cut, &[State::Dead]));
    assert!(known.is_some_and(|at| at < 8.0), "{known:?}");
    stage.play(65.0);
    assert!(all_hold(&stage, &cut, &rest, &[State::Dead]) && all_hold(&stage, &rest, &rest, &THERE));
    stage.links.heal();
    stage.stop_writing();
    let healed = stage.until(65.0, 75.0, |stage| all_hold(stage, &all, &all, &THERE) && stage.agree());
    assert!(healed.is_some_and(|at| at < 67.0), "{healed:?}");
    sound(&stage);
}

/// Guards against a process that starts within the time that its death takes to be seen, also with a clock gone back:
/// its records go before those of its earlier life, and nothing of that comes back.
#[test_case(false; "at once")]
#[test_case(true; "with a clock gone back")]
fn a_restart_goes_before_what_was(back: bool) {
    let mut stage = usual(8, 6);
    assert!(stage.write(5.0, 2, 1));
    stage.play(7.0);
    stage.kill(2);
    stage.play(7.1);
    stage.start(7.1, 2, back);
    assert!(stage.write(7.1, 2, 1));
    stage.play(10.0);
    stage.stop_writing();
    stage.play(12.0);
    let all = range(0, 8);
    assert!(all_hold(&stage, &all, &all, &THERE));
    let latest = |node: NodeId| {
        let own = stage.fleet(node)?;
        let owner = stage.fleet(2)?;
        let reading = own.readings(f64::MIN).find(|r| r.key.owner == owner.me() && r.key.key == 1)?;
        Some((reading.incarnation == owner.incarnation(), reading.value.to_vec()))
    };
    for node in 0..8 {
        assert_eq!(latest(node), latest(2), "node {node}");
        assert_eq!(latest(node).map(|latest| latest.0), Some(true), "node {node}");
    }
    sound(&stage);
}

#[test]
fn a_member_that_never_comes_is_not_dead() {
    let mut stage = begun(4, 7, FleetPart { absent: Count(2), ..FleetPart::default() });
    stage.play(30.0);
    let unseen = stage.figures(30.0, 0).map(|figures| figures.members[&State::Unseen]);
    assert_eq!((unseen, stage.seen.iter().filter(|seen| seen.to == State::Dead).count()), (Some(2), 0));
}

#[test]
fn who_leaves_has_left_and_is_not_suspected() {
    let mut stage = usual(12, 8);
    stage.order(5.0, 9, Order::Stop);
    stage.play(5.05);
    stage.kill(9);
    stage.play(8.0);
    let others: Vec<NodeId> = range(0, 12).into_iter().filter(|node| *node != 9).collect();
    assert!(all_hold(&stage, &others, &[9], &[State::Left]));
    assert!(!stage.seen.iter().any(|seen| seen.of == 9 && seen.to == State::Dead));
}

/// Guards against datagrams that come twice, late, in another order or damaged.
#[test_case(What::LinkDoubles, 0.5; "doubled")]
#[test_case(What::LinkReorders, 0.5; "out of order")]
#[test_case(What::LinkCorrupts, 0.2; "damaged")]
#[test_case(What::LinkDelay, 0.08; "late")]
#[test_case(What::LinkSlow, 6000.0; "slow")]
fn what_ails_links_breaks_nothing(what: What, by: f64) {
    let mut stage = usual(8, 9);
    stage.links.strike(5.0, what, by, &[], Direction::Both);
    stage.play(35.0);
    assert_eq!(false_deaths(&stage), 0);
    stage.links.heal();
    stage.stop_writing();
    let agree = stage.until(35.0, 45.0, Stage::agree);
    assert!(agree.is_some(), "one table");
    sound(&stage);
}

/// The bound on an age is what the table's page says: the drift of two clocks, and the round trips on the way.
#[test_case(0.0; "no drift")]
#[test_case(0.01; "one in a hundred")]
fn told_ages_are_above_the_truth_and_near_it(drift: f64) {
    let part = FleetPart { drift: crate::scenario::Part(drift), writes: Span(20.0), ..FleetPart::default() };
    let mut stage = begun(20, 10, part);
    stage.play(120.0);
    let ages = stage.witness.ages;
    assert!(ages.nearest <= 1.0 && ages.nearest > 0.9, "{ages:?}");
    // 2 x 1% of the oldest, and under a second of round trips.
    assert!(ages.slack <= 2.1 * drift * ages.oldest + 0.5, "{ages:?}");
    sound(&stage);
}

#[test]
fn the_same_seed_plays_the_same() {
    let play = || {
        let mut stage = usual(8, 11);
        stage.links.strike(5.0, What::LinkLoss, 0.2, &[], Direction::Both);
        stage.play(15.0);
        (stage.events, stage.witness.ages, stage.seen.clone())
    };
    assert_eq!(play(), play());
}

#[test]
fn scenarios_with_the_fleets_faults_are_fit() {
    for seed in 0..100 {
        let scenario = crate::search::drawn_fleet(seed);
        assert_eq!(Scenario::parse(&scenario.text()).as_ref(), Ok(&scenario));
    }
}
