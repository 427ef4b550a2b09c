//! Tests of until when a forward may be written.
use test_case::test_case;

use crate::list_state::ListState;

const NOW: f64 = 1000.0;

#[test_case(ListState::Followed, f64::INFINITY; "changes arrive, and take back what waits")]
#[test_case(ListState::Unreachable { since: NOW }, f64::INFINITY; "nobody is told")]
#[test_case(ListState::Unheard { since: NOW, unreachable_since: Some(NOW) }, f64::INFINITY; "nor here")]
#[test_case(ListState::Unheard { since: NOW, unreachable_since: None }, NOW + 5.85; "others may be told after six seconds")]
fn a_forward_that_waits_for_its_connection_outlives_its_list_by_no_more(state: ListState, until: f64) {
    assert_eq!(state.written_until(), until);
}
