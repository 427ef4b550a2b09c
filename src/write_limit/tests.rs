//! Tests of the write limit of forwards.
use test_case::test_case;

use crate::list_state::{ListState, Outage};

const NOW: f64 = 1000.0;

#[test_case(ListState::Followed, f64::INFINITY; "changes arrive and withdraw waiting forwards")]
#[test_case(ListState::Unreachable { since: NOW }, NOW + 5.85; "discovery was down when it was last called")]
#[test_case(ListState::Unheard { since: NOW, outage: Some(Outage { begun: NOW, confirmed: NOW }) }, NOW + 5.85; "changes may have been missed, and discovery is down since")]
#[test_case(ListState::Unheard { since: NOW, outage: Some(Outage { begun: NOW + 1.0, confirmed: NOW + 32.0 }) }, NOW + 37.85; "changes may have been missed, and discovery is down for long")]
#[test_case(ListState::Unheard { since: NOW, outage: None }, NOW + 5.85; "other nodes may be informed after six seconds")]
fn a_forward_that_waits_for_its_connection_is_written_only_while_its_list_holds(
    state: ListState,
    until: f64,
) {
    assert_eq!(state.written_until(), until);
}
