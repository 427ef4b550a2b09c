use super::*;

/// Guards against a process whose clock has gone back and that hears late of several incarnations of its earlier life:
/// it took each for another process under its name, and fell silent for half a minute.
#[test]
fn an_earlier_life_is_no_rival() {
    let (stage, same) = schedule(4385);
    assert!(same, "{:?}", (0..5).map(|node| stage.figures(35.0, node)).collect::<Vec<_>>());
}

#[test]
fn no_schedule_uses_more_than_the_bound() {
    let all = limited_schedules(1, 60);
    assert_eq!(all.broken, 0, "{all:?}");
    assert!(all.fullest > 0.5 && all.had > all.wanted / 10, "{all:?}");
}

#[test]
fn a_share_goes_where_it_is_wanted() {
    let (had, equal) = uneven(12, 1, 30.0, (120.0, 1.0));
    assert!(had > 0.95 && had > equal, "{had} {equal}");
}

#[test]
fn random_schedules_break_nothing_and_end_in_one_table() {
    let all = schedules(1, 60);
    assert_eq!((all.broken, all.apart), (0, 0), "{all:?}");
    assert!(all.ages.nearest > 0.5, "{all:?}");
}
