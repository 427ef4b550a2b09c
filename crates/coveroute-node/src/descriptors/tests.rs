//! Tests of what the node takes its descriptors for.
use super::*;

const LEAST: usize = 30;
const TICK: Duration = Duration::from_millis(100);

#[test]
fn a_shortage_that_goes_on_shrinks_the_bound_once() {
    let mut descriptors = Descriptors::default();
    (0..50).for_each(|_| descriptors.run_out(80, LEAST));
    assert_eq!(descriptors.connections(), 60);
    descriptors.found();
    descriptors.run_out(64, LEAST);
    assert_eq!(descriptors.connections(), 48);
}

#[test]
fn a_shortage_of_others_making_leaves_room() {
    let mut descriptors = Descriptors::default();
    descriptors.run_out(3, LEAST);
    assert_eq!(descriptors.connections(), LEAST);
}

#[test]
fn what_was_taken_is_tried_again_faster_and_faster() {
    let mut descriptors = Descriptors::default();
    descriptors.run_out(100, LEAST);
    descriptors.grow(TICK);
    assert_eq!(descriptors.connections(), 75, "not before one was found");
    descriptors.found();
    (0..60).for_each(|_| descriptors.grow(TICK));
    assert!((75 + 63..75 + 127).contains(&descriptors.connections()), "{descriptors:?}");
}
