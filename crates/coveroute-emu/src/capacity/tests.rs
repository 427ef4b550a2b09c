use super::fit::{busiest_by_chance, fit, median, times};
use super::{by_size, descriptors};

#[test]
fn a_line_is_found_with_its_error() {
    let exact = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((exact.base - 3.0).abs() < 1e-9 && (exact.slope - 2.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.error < 1e-6 && exact.explains > 1.0 - 1e-9 && exact.off < 1e-9, "{exact:?}");
    assert!((exact.at(10.0) - 23.0).abs() < 1e-9);
    // What is no line says so.
    let bent = fit(&[(1.0, 1.0), (2.0, 9.0), (3.0, 1.0)]);
    assert!(
        bent.slope.abs() < 1e-9 && bent.error > 1.0 && bent.explains < 1e-9 && bent.off > 0.5,
        "{bent:?}"
    );
}

// Guards against a moment in which the machine did something else: it strikes both of a pair, and one pair of many.
#[test]
fn a_busy_moment_is_no_growth() {
    let (few, many) = ([100.0, 900.0, 110.0, 100.0, 90.0], [200.0, 1800.0, 220.0, 990.0, 180.0]);
    assert!((times(&many, &few) - 2.0).abs() < 1e-9);
    assert!((median(&[1.0, 2.0]) - 1.5).abs() < 1e-9 && median(&[]).is_nan());
}

#[test]
fn of_a_size_that_was_measured_twice_the_first_counts() {
    let all = vec![(200, 'a'), (7800, 'b'), (200, 'c'), (1000, 'd')];
    assert_eq!(by_size(all, |one| one.0), [(200, 'a'), (1000, 'd'), (7800, 'b')]);
    assert!(descriptors() > 0);
}

// Guards against calling a fleet uneven that has been called less than once each: its busiest has many times the mean.
#[test]
fn the_busiest_of_equals_is_busy_by_chance() {
    let (short, long) = (busiest_by_chance(0.63, 7_800), busiest_by_chance(100.0, 7_800));
    assert!((7.0..10.0).contains(&short) && (1.3..1.5).contains(&long), "{short} {long}");
    assert!(busiest_by_chance(1e5, 200) < 1.02);
}
