//! Tests of the connection limit that follows from running out of file descriptors.
use super::*;

const LEAST: usize = 30;
const TICK: Duration = Duration::from_millis(100);

#[test]
fn a_continuing_shortage_lowers_the_limit_once() {
    let mut descriptors = Descriptors::default();
    (0..50).for_each(|_| descriptors.exhausted(80, LEAST));
    assert_eq!(descriptors.max_connections(), 60);
    descriptors.accept_succeeded();
    descriptors.exhausted(64, LEAST);
    assert_eq!(descriptors.max_connections(), 48);
}

#[test]
fn a_shortage_with_few_connections_keeps_the_minimum() {
    let mut descriptors = Descriptors::default();
    descriptors.exhausted(3, LEAST);
    assert_eq!(descriptors.max_connections(), LEAST);
}

#[test]
fn the_limit_grows_back_exponentially() {
    let mut descriptors = Descriptors::default();
    descriptors.exhausted(100, LEAST);
    descriptors.grow(TICK);
    assert_eq!(descriptors.max_connections(), 75, "no growth before an accept succeeds");
    descriptors.accept_succeeded();
    (0..60).for_each(|_| descriptors.grow(TICK));
    assert!((75 + 63..75 + 127).contains(&descriptors.max_connections()), "{descriptors:?}");
}
