//! Tests of the schedule of calls to discovery.
use test_case::test_case;

use super::*;
use crate::list_state::Outage;
use crate::types::InitialListAge;

const NOW: f64 = 1000.25;
const UNCONFIRMED: ListState = ListState::Unheard { since: f64::NEG_INFINITY, outage: None };
const SILENT: ListState = ListState::Unheard { since: NOW - 2.5, outage: None };
const DOWN: ListState = ListState::Unreachable { since: NOW };
/// Discovery has been out of reach for so long that an expired list is used.
const LONG_DOWN: ListState =
    ListState::Unheard { since: NOW - 60.0, outage: Some(Outage { begun: NOW - 50.0, confirmed: NOW }) };

fn settings(node_index: usize, nodes: usize) -> Settings {
    Settings { node_index, nodes, polls_list: true, ..Settings::default() }
}

/// The longest wait of any node before each call: the first one if it starts with a list, and one after each
/// failure.
fn longest(nodes: usize, state: ListState, initial: Option<InitialListAge>, failures: usize) -> Vec<f64> {
    let waits = |node_index| {
        let (set, mut calls) = (settings(node_index, nodes), ListCalls::default());
        let first = initial.map(|age| calls.first(NOW, ListState::initial(NOW, age, false), true, &set));
        let again = (0..failures).map(|_| calls.next(NOW, state, Loss::Waited(0.5), 0.25, &set));
        first.into_iter().chain(again).collect::<Vec<f64>>()
    };
    let all: Vec<Vec<f64>> = (0..nodes).map(waits).collect();
    let most = |at: usize| all.iter().map(|waits| waits[at]).fold(0.0, f64::max);
    (0..all[0].len()).map(most).collect()
}

// Rounds of hundreds of nodes. While a node sends by its list, it has to notice the end of an outage in time, however
// long it lasts.
// A node that does not send can wait longer each time, so that a service that also spends time on refused
// calls serves all nodes.
#[test_case(UNCONFIRMED, Some(InitialListAge::Unknown), &[6.0, 9.0, 13.5, 18.0, 18.0]; "a list from before the start")]
#[test_case(SILENT, Some(InitialListAge::Current), &[4.5, 2.0, 4.0, 8.0]; "a list that was handed over, then silence")]
#[test_case(SILENT, None, &[2.0, 2.0, 4.0, 8.0, 16.0, 18.0, 18.0]; "a watch that fell silent")]
#[test_case(DOWN, None, &[4.5, 4.5, 4.5, 4.5, 4.5, 4.5, 4.5]; "an outage")]
#[test_case(LONG_DOWN, None, &[4.5, 4.5, 4.5, 4.5, 4.5, 4.5, 4.5]; "a long outage, by an expired list")]
fn rounds_grow_while_calls_fail(state: ListState, initial: Option<InitialListAge>, rounds: &[f64]) {
    let waits = longest(300, state, initial, rounds.len() - usize::from(initial.is_some()));
    for (at, (wait, round)) in waits.iter().zip(rounds).enumerate() {
        assert!(
            *wait <= *round && *wait > 0.95 * round,
            "{waits:?}, wait {at} should be in a round of {round} s"
        );
    }
}

// A call that hangs or is aborted is no sign of too many callers.
#[test_case(Loss::Closed, 2.0; "discovery is down")]
#[test_case(Loss::Missed(3.25), 2.0; "the call hangs")]
#[test_case(Loss::Missed(0.01), 2.0; "the answer is aborted")]
#[test_case(Loss::Refused, 9.0; "the call is refused on arrival")]
#[test_case(Loss::Waited(0.5), 9.0; "the call waits and is refused")]
fn only_refusals_make_the_first_rounds_longer(loss: Loss, round: f64) {
    let wait = |node_index| {
        let (set, mut calls) = (settings(node_index, 300), ListCalls::default());
        calls.first(NOW, UNCONFIRMED, true, &set);
        calls.next(NOW, UNCONFIRMED, loss, 0.25, &set)
    };
    let longest = (0..300).map(wait).fold(0.0, f64::max);
    assert!(longest <= round && longest > 0.95 * round, "{longest}");
}

#[test_case(UNCONFIRMED, Some(InitialListAge::Unknown); "a list from before the start")]
#[test_case(SILENT, None; "a watch that fell silent")]
#[test_case(DOWN, None; "an outage")]
fn a_few_nodes_never_wait_long(state: ListState, initial: Option<InitialListAge>) {
    assert!(longest(6, state, initial, 8).iter().all(|wait| *wait <= 2.0));
}

// In an outage each call begins early enough to fail before the list expires, also where calls wait for seconds. Guards
// against nodes that stop sending now and then although discovery is down.
#[test_case(0.0; "calls fail at once")]
#[test_case(1.0; "after a second")]
#[test_case(2.0; "after two seconds")]
#[test_case(2.5; "after two and a half seconds")]
fn a_list_does_not_expire_while_all_calls_fail(call_duration: f64) {
    for (node_index, nodes) in [(0, 1), (3, 6), (7, 24), (23, 24), (299, 300)] {
        let (set, mut calls) = (settings(node_index, nodes), ListCalls::default());
        let mut state = DOWN;
        let mut now = NOW;
        for call in 0..20 {
            let loss = Loss::Waited(call_duration);
            now += calls.next(now, state, loss, 0.25, &set) + call_duration;
            assert!(call == 0 || state.permits(now), "node {node_index} of {nodes}, call {call}");
            state = state.after(now, loss);
        }
    }
}

// When an outage has lasted for so long that the expired list is used, a call shows it in time.
#[test]
fn a_call_is_due_when_an_outage_counts_as_long() {
    let outage = Outage { begun: NOW - 29.0, confirmed: NOW - 2.0 };
    let state = ListState::Unheard { since: NOW - 40.0, outage: Some(outage) };
    for node_index in 0..300 {
        let (set, mut calls) = (settings(node_index, 300), ListCalls::default());
        for _ in 0..6 {
            calls.next(NOW, SILENT, Loss::Refused, 0.25, &set);
        }
        assert!(calls.next(NOW, state, Loss::Waited(2.0), 0.25, &set) <= 1.0);
    }
}

#[test]
fn a_call_is_scheduled_until_the_list_is_followed() {
    let (set, mut calls) = (settings(200, 300), ListCalls::default());
    assert!(!calls.is_scheduled() && !calls.is_after(NOW));
    let wait = calls.first(NOW, UNCONFIRMED, true, &set);
    assert!(calls.is_scheduled() && calls.is_after(NOW + wait - 0.01) && !calls.is_after(NOW + wait + 0.01));
    let again = calls.next(NOW + 7.0, UNCONFIRMED, Loss::Refused, 0.25, &set);
    assert!(calls.is_after(NOW + 7.0 + again - 0.01) && !calls.is_after(NOW + 7.0 + again + 0.01));
    calls.followed();
    assert!(!calls.is_scheduled() && !calls.is_after(NOW));
}
