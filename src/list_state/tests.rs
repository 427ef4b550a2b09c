//! Tests of the list states: transitions after each loss, and when requests may be sent.
use test_case::test_case;

use super::*;

const START: f64 = 1000.0;

/// The state after these losses, with their times in seconds after the start.
fn after(age: InitialListAge, pushed: bool, losses: &[(f64, Loss)]) -> ListState {
    let initial = ListState::initial(START, age, pushed);
    losses.iter().fold(initial, |state, (at, loss)| state.after(START + at, *loss))
}

const HUNG: Loss = Loss::Missed(3.25);
const REFUSED: Loss = Loss::Refused;

/// Seconds between the calls that a node makes while discovery is down.
const CALL_INTERVAL: usize = 2;

// `from` and `until` are the seconds after the start between which nothing may be sent. After a last loss that shows
// discovery to be down, calls go on and show the same.
#[test_case(InitialListAge::Unknown, &[], 0.0, f64::INFINITY; "a list from before the start")]
#[test_case(InitialListAge::Unknown, &[(1.0, REFUSED), (3.0, HUNG)], 0.0, f64::INFINITY; "discovery is up, but refuses calls or is silent")]
#[test_case(InitialListAge::Unknown, &[(1.0, Loss::Closed)], 0.0, 31.0; "discovery is down: an outage after 30 s")]
#[test_case(InitialListAge::Unknown, &[(1.0, Loss::Closed), (4.0, Loss::Waited(0.5)), (9.0, Loss::Waited(0.5))], 0.0, 31.0; "discovery is still down later")]
#[test_case(InitialListAge::Unknown, &[(1.0, Loss::Waited(0.5)), (4.0, REFUSED)], 0.0, f64::INFINITY; "discovery is down, then up and refuses calls")]
#[test_case(InitialListAge::Unknown, &[(1.0, Loss::Waited(0.5)), (4.0, REFUSED), (6.0, Loss::Closed)], 0.0, 36.0; "and then down again")]
#[test_case(InitialListAge::Current, &[], 5.5, f64::INFINITY; "a list just handed over")]
#[test_case(InitialListAge::Current, &[(2.0, Loss::Closed)], 5.5, 32.0; "just handed over, and discovery is down")]
#[test_case(InitialListAge::Current, &[(4.0, HUNG)], 5.5, f64::INFINITY; "just handed over, and the first call hangs")]
#[test_case(InitialListAge::Unspecified, &[(4.0, Loss::Unspecified)], f64::INFINITY, f64::INFINITY; "the protocol gives no meaning to its age")]
fn the_list_at_the_start_expires(age: InitialListAge, losses: &[(f64, Loss)], from: f64, until: f64) {
    let mut state = after(age, false, losses);
    let (last, loss) = losses.last().copied().unwrap_or((0.0, REFUSED));
    let is_down = matches!(loss, Loss::Closed | Loss::Waited(_));
    for tenth in (last * 10.0) as usize..600 {
        let at = tenth as f64 * 0.1;
        if is_down && (tenth - (last * 10.0) as usize).is_multiple_of(10 * CALL_INTERVAL) {
            state = state.after(START + at, Loss::Closed);
        }
        let expired = at >= from && at < until;
        assert_eq!(state.permits(START + at + 1e-6), !expired, "{state:?} {at} s after the start");
    }
}

// Guards against a list that stays in use after discovery is back: calls became so rare that a node heard of its return
// only after nine seconds, when changes had counted as known for three. `until` is when it expires without another call.
#[test_case(&[(10.0, Loss::Closed)], 15.5; "a watch was closed")]
#[test_case(&[(10.0, Loss::Closed), (14.0, Loss::Closed)], 19.5; "and a call found nobody")]
#[test_case(&[(10.0, Loss::Closed), (14.0, Loss::Waited(2.0))], 17.5; "and a call waited: it counts from its begin")]
#[test_case(&[(10.0, Loss::Closed), (14.0, Loss::Waited(2.0)), (18.0, REFUSED)], 17.5; "and the next was refused by a service that is up")]
#[test_case(&[(10.0, HUNG), (11.0, Loss::Closed), (41.0, Loss::Closed)], 46.5; "an expired list in a long outage")]
#[test_case(&[(10.0, HUNG), (11.0, Loss::Closed), (44.0, Loss::Waited(2.0))], 47.5; "an expired list in a long outage, and a call waited")]
fn a_list_that_no_call_confirms_expires(losses: &[(f64, Loss)], until: f64) {
    let state = after(InitialListAge::Unspecified, false, losses);
    assert!(state.permits(START + until - 0.01) || losses.last().expect("a loss").0 > until, "{state:?}");
    assert!(!state.permits(START + until + 0.01) && !state.permits(START + 1e6), "{state:?}");
    assert!(state.written_until() < START + until + 0.5, "{state:?}");
}

// The configuration names another service 10 s after the start; its changes count as known four seconds later. Guards
// against an old list that was used for 5.5 s after that.
#[test_case(&[], Some(REFUSED), 13.5; "the new service refuses calls")]
#[test_case(&[], Some(HUNG), 13.5; "the new service does not answer")]
#[test_case(&[], None, 13.5; "no call has ended yet")]
#[test_case(&[(9.0, REFUSED)], Some(REFUSED), 13.5; "the old one refused calls too")]
#[test_case(&[(6.0, REFUSED)], Some(REFUSED), 11.5; "the old one has refused calls for longer")]
#[test_case(&[(6.0, REFUSED)], Some(Loss::Closed), 11.5; "the old one has refused calls for longer, and nobody is at the new one")]
#[test_case(&[(9.0, Loss::Closed)], Some(REFUSED), 13.5; "the old one was down")]
#[test_case(&[], Some(Loss::Closed), 18.8; "nobody is at the new service: no node is informed")]
fn a_list_expires_sooner_after_a_change_of_its_source(
    before: &[(f64, Loss)],
    loss: Option<Loss>,
    until: f64,
) {
    let state = after(InitialListAge::Unspecified, false, before).after_source_change(START + 10.0);
    let state = loss.map_or(state, |loss| state.after(START + 13.3, loss));
    assert!(state.permits(START + until - 0.01) && !state.permits(START + until + 0.01), "{state:?}");
    assert!(!state.is_current() || loss == Some(Loss::Closed), "{state:?}");
}

// In a long outage calls that all fail keep an expired list in use, once it counts as one.
#[test]
fn calls_in_a_long_outage_keep_an_expired_list_in_use() {
    let mut state = after(InitialListAge::Unknown, false, &[(1.0, Loss::Closed)]);
    for at in 2..60 {
        state = state.after(START + f64::from(at), Loss::Waited(1.0));
        assert_eq!(state.permits(START + f64::from(at)), at >= 32, "{at}: {state:?}");
    }
}

#[test_case(InitialListAge::Unknown, 29.9, false; "discovery of pushed lists does not answer")]
#[test_case(InitialListAge::Unknown, 30.1, true; "for long enough to count as down")]
#[test_case(InitialListAge::Current, 5.0, true; "and the list was just handed over")]
fn where_lists_are_pushed_silence_is_an_outage(age: InitialListAge, at: f64, permits: bool) {
    assert_eq!(after(age, true, &[]).permits(START + at), permits);
}

// A process that takes over the list of another must not treat it as more current than it is.
#[test_case(InitialListAge::Unknown, &[], false; "of unknown age")]
#[test_case(InitialListAge::Current, &[(1.0, REFUSED)], false; "receives no changes")]
#[test_case(InitialListAge::Unspecified, &[], true; "followed")]
#[test_case(InitialListAge::Unspecified, &[(1.0, Loss::Closed)], true; "discovery went down")]
fn only_a_current_list_is_handed_on_as_one(age: InitialListAge, losses: &[(f64, Loss)], current: bool) {
    assert_eq!(after(age, false, losses).is_current(), current);
}

#[test]
fn transitions_are_logged_once() {
    let initial = ListState::initial(START, InitialListAge::Unknown, false);
    let log_line = |from: ListState, to| from.transition(START + 2.0, to);
    assert_eq!(log_line(initial, initial.after(START + 2.0, REFUSED)), None);
    let line = log_line(initial, ListState::Followed);
    assert_eq!(line.as_deref(), Some("list state: unconfirmed, nothing is sent by it -> followed"));
    let silent = ListState::Followed.after(START + 2.0, Loss::Missed(2.5));
    let line = log_line(ListState::Followed, silent);
    assert_eq!(line.as_deref(), Some("list state: followed -> unheard for 2.50 s, expires after 5.5 s"));
}
