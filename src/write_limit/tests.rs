//! Tests of the write limit of forwards.
use test_case::test_case;

use crate::list_state::ListState;

const NOW: f64 = 1000.0;

#[test_case(ListState::Followed, f64::INFINITY; "changes arrive and withdraw waiting forwards")]
#[test_case(ListState::Unreachable { since: NOW }, f64::INFINITY; "discovery is down: no node is informed")]
#[test_case(ListState::Unheard { since: NOW, unreachable_since: Some(NOW) }, f64::INFINITY; "changes may have been missed, but discovery is down")]
#[test_case(ListState::Unheard { since: NOW, unreachable_since: None }, NOW + 5.85; "other nodes may be informed after six seconds")]
fn a_forward_that_waits_for_its_connection_is_written_only_while_its_list_holds(
    state: ListState,
    until: f64,
) {
    assert_eq!(state.written_until(), until);
}
