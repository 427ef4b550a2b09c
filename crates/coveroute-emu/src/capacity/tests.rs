use super::fit::{expected_max_over_mean, fit, median, median_ratio};
use super::{by_size, descriptor_limit};

#[test]
fn fit_returns_the_line_and_its_error() {
    let exact = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((exact.base - 3.0).abs() < 1e-9 && (exact.slope - 2.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.error < 1e-6 && exact.explains > 1.0 - 1e-9 && exact.off < 1e-9, "{exact:?}");
    assert!((exact.at(10.0) - 23.0).abs() < 1e-9);
    // Points that are not on a line give a poor fit.
    let bent = fit(&[(1.0, 1.0), (2.0, 9.0), (3.0, 1.0)]);
    assert!(
        bent.slope.abs() < 1e-9 && bent.error > 1.0 && bent.explains < 1e-9 && bent.off > 0.5,
        "{bent:?}"
    );
}

// Guards against mistaking load on the machine for growth: it affects both values of a pair, and few of the pairs.
#[test]
fn median_ratio_ignores_short_load_on_the_machine() {
    let (few, many) = ([100.0, 900.0, 110.0, 100.0, 90.0], [200.0, 1800.0, 220.0, 990.0, 180.0]);
    assert!((median_ratio(&many, &few) - 2.0).abs() < 1e-9);
    assert!((median(&[1.0, 2.0]) - 1.5).abs() < 1e-9 && median(&[]).is_nan());
}

#[test]
fn by_size_keeps_the_first_measurement_of_a_size() {
    let all = vec![(200, 'a'), (7800, 'b'), (200, 'c'), (1000, 'd')];
    assert_eq!(by_size(all, |one| one.0), [(200, 'a'), (1000, 'd'), (7800, 'b')]);
    assert!(descriptor_limit() > 0);
}

// Guards against reporting an uneven distribution if each worker was called less than once on average: the greatest count
// is then many times the mean by chance.
#[test]
fn expected_max_is_far_above_a_small_mean() {
    let (short, long) = (expected_max_over_mean(0.63, 7_800), expected_max_over_mean(100.0, 7_800));
    assert!((7.0..10.0).contains(&short) && (1.3..1.5).contains(&long), "{short} {long}");
    assert!(expected_max_over_mean(1e5, 200) < 1.02);
}
