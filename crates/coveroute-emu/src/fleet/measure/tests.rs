use super::*;

/// A process whose clock was set back receives late messages about several incarnations of its predecessor. Guards against
/// taking each for another process under its name, after which it stayed silent for half a minute.
#[test]
fn incarnations_of_a_predecessor_are_no_conflict() {
    let (simulation, equal) = run_schedule(4385);
    assert!(equal, "{:?}", (0..5).map(|node| simulation.figures(35.0, node)).collect::<Vec<_>>());
}

#[test]
fn random_schedules_use_no_more_than_the_bound() {
    let all = run_limited_schedules(1, 60);
    assert_eq!(all.broken, 0, "{all:?}");
    assert!(all.fullest > 0.5 && all.had > all.wanted / 10, "{all:?}");
}

#[test]
fn rights_move_to_the_nodes_with_demand() {
    let (had, equal) = uneven_demand(12, 1, 30.0, (120.0, 1.0));
    assert!(had > 0.95 && had > equal, "{had} {equal}");
}

#[test]
fn random_schedules_keep_the_rules_and_end_with_equal_tables() {
    let all = run_schedules(1, 60);
    assert_eq!((all.broken, all.apart), (0, 0), "{all:?}");
    assert!(all.ages.nearest > 0.5, "{all:?}");
}
