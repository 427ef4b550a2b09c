//! Tests that need no simulated network: the state machine, the order of claims, messages, ages, and the operators'
//! file.
use std::net::SocketAddr;

use proptest::prelude::*;
use test_case::test_case;

use crate::detector::{Detector, Health, Suspicion};
use crate::explore::{explore, Model};
use crate::member::{next_state, Claim, Effect, Id, Incarnation, Input, State};
use crate::message::{decode, encode, DropReason, Message, MessageBody, MAX_DATAGRAM};
use crate::rights::{Limit, LimitTerms, OutgoingMessage, Rights};
use crate::table::{Key, Kind, MergeResult, Record, Table};
use crate::{Action, Fleet, FleetConfig, FleetEvent};

const FILE: &str = "fleet = \"north\"\n[members]\na = { address = \"10.0.0.1:9400\", zone = \"x\" }\n\
    b = { address = \"10.0.0.2:9400\", machine = \"m\" }\n";

fn config() -> FleetConfig {
    FleetConfig::parse(FILE).expect("a valid file")
}

fn addr(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 9400).into()
}

#[test_case(State::Unseen, Input::NoReply, State::Unseen, Effect::Nothing; "unseen is never suspected")]
#[test_case(State::Alive, Input::NoReply, State::Suspected, Effect::StartSuspicion; "no reply")]
#[test_case(State::Suspected, Input::Suspected, State::Suspected, Effect::ConfirmSuspicion; "confirmed")]
#[test_case(State::Suspected, Input::Alive, State::Alive, Effect::ClearSuspicion; "refuted")]
#[test_case(State::Suspected, Input::SuspicionExpired, State::Dead, Effect::ClearSuspicion; "expired")]
#[test_case(State::Alive, Input::SuspicionExpired, State::Alive, Effect::Nothing; "expiry without a suspicion")]
#[test_case(State::Dead, Input::NoReply, State::Dead, Effect::Nothing; "already dead")]
#[test_case(State::Dead, Input::Alive, State::Returned, Effect::Nothing; "returned")]
#[test_case(State::Alive, Input::Restarted, State::Returned, Effect::Nothing; "another process")]
#[test_case(State::Left, Input::Restarted, State::Returned, Effect::Nothing; "returned after leaving")]
fn state_transitions(from: State, input: Input, to: State, effect: Effect) {
    assert_eq!(next_state(from, input), (to, effect));
}

/// Guards against a counter that was set back: a process that hears of a later incarnation of its member moves
/// above it and keeps its mark.
#[test]
fn incarnations_rise_above_what_was_heard() {
    let (one, other) = (Incarnation::new(5, 0xabcdef), Incarnation::new(9, 0x123456));
    let above = one.next_above(other);
    assert!(above > other && above.mark() == one.mark() && above.is_valid());
    assert!(!Incarnation(u64::MAX).is_valid());
}

/// Nodes that received the same updates agree, in whatever order and however often the updates came.
#[test]
fn updates_in_any_order_converge() {
    let claims = [Claim::Alive, Claim::Suspected, Claim::Dead, Claim::Left];
    let updates: Vec<_> = (1..4).flat_map(|count| claims.map(|c| (Incarnation::new(count, 1), c))).collect();
    let held = |updates: &[(Incarnation, Claim)]| updates.iter().copied().max();
    let (mut reversed, repeated) = (updates.clone(), [updates.clone(), updates.clone()].concat());
    reversed.reverse();
    assert!(held(&updates) == held(&reversed) && held(&updates) == held(&repeated));
    assert_eq!(held(&updates), Some((Incarnation::new(3, 1), Claim::Left)));
}

/// A suspicion that no other member shares lasts longest, and each confirmation shortens it.
#[test]
fn a_confirmed_suspicion_expires_sooner() {
    let (detector, well) = (Detector::default(), Health::default());
    let timeouts: Vec<f64> = (0..4).map(|others| detector.suspicion_timeout(others, 11, 12, well)).collect();
    assert!(timeouts.windows(2).all(|two| two[0] > two[1]), "{timeouts:?}");
    let mut degraded = Health::default();
    (0..9).for_each(|_| degraded.degrade());
    assert!(
        detector.suspicion_timeout(0, 11, 12, degraded) > 3.0 * timeouts[0],
        "a degraded node waits longer"
    );
    assert_eq!(
        detector.suspicion_timeout(3, 11, 12, degraded),
        timeouts[3],
        "not when the suspicion is confirmed"
    );
    assert_eq!(
        detector.suspicion_timeout(1, 1, 5, well),
        detector.suspicion_timeout(3, 3, 5, well),
        "every member that can confirm it has"
    );
    assert!(
        detector.suspicion_timeout(0, 0, 5, well) >= 6.0 * detector.suspicion,
        "without confirmation it waits"
    );
    let mut suspicion = Suspicion::new(1.0, Id(1));
    assert!(suspicion.confirm(Id(2)) && !suspicion.confirm(Id(2)));
    assert_eq!(
        (suspicion.confirmations(0.5), suspicion.confirmations(1.5)),
        (1, 0),
        "a member heard directly is not declared dead early"
    );
}

fn record(version: u64, age: u32) -> Record {
    let key = Key { owner: Id(7), kind: Kind::NODE_STATUS, key: 1 };
    Record { key, incarnation: Incarnation::new(1, 1), version, age, life: 10_000, value: vec![1] }
}

/// Age bounds add up: the stated age, the whole round trip, and the time it was held, each stretched by the drift.
#[test]
fn age_bounds_add_up() {
    let mut table = Table::new(0.01, 4);
    assert_eq!(table.merge(100.0, 99.0, record(1, 2000)), MergeResult::Newer);
    let age = |table: &Table, now| table.read(now, Kind::NODE_STATUS).map(|r| r.age).next();
    assert_eq!(age(&table, 100.0), Some(2.0 + 1.0 / 0.99));
    assert_eq!(age(&table, 103.0), Some(2.0 + 1.0 / 0.99 + 3.0 / 0.99));
    // Rounded up for sending.
    assert_eq!(table.record(100.0, &record(1, 0).key).map(|r| r.age), Some(3011));
    assert_eq!(table.merge(103.0, 102.99, record(1, 2500)), MergeResult::TighterAge);
    assert_eq!(table.merge(103.0, 102.0, record(1, 8000)), MergeResult::Known);
}

/// Guards against accepting an earlier version, received with a lower age bound, after a later one has expired
/// here.
#[test]
fn an_expired_record_is_not_replaced_by_an_earlier_version() {
    let mut table = Table::new(0.01, 4);
    assert_eq!(table.merge(0.0, 0.0, record(2, 9000)), MergeResult::Newer);
    table.expire(2.0);
    assert!(table.is_empty());
    assert_eq!(table.merge(2.0, 2.0, record(1, 1000)), MergeResult::Known);
    assert_eq!(table.merge(2.0, 2.0, record(2, 1000)), MergeResult::Known);
    assert_eq!(table.merge(2.0, 2.0, record(3, 1000)), MergeResult::Newer);
}

#[test]
fn records_per_owner_are_limited() {
    let mut table = Table::new(0.01, 2);
    let other = |key| Record { key: Key { key, ..record(1, 0).key }, ..record(1, 0) };
    let taken: Vec<MergeResult> = (1..4).map(|key| table.merge(0.0, 0.0, other(key))).collect();
    assert_eq!(taken, [MergeResult::Newer, MergeResult::Newer, MergeResult::Full]);
    let long = Record { value: vec![0; 401], ..record(2, 0) };
    assert_eq!(table.merge(0.0, 0.0, long), MergeResult::Full);
}

#[test]
fn tables_with_the_same_content_have_the_same_sum() {
    let (mut one, mut other) = (Table::new(0.01, 4), Table::new(0.01, 4));
    one.merge(0.0, 0.0, record(1, 0));
    one.merge(0.0, 0.0, record(2, 0));
    other.merge(5.0, 5.0, record(2, 100));
    assert_eq!(one.sum(), other.sum());
    other.remove_owner(Id(7));
    assert_eq!(other.sum(), Table::new(0.01, 4).sum());
}

#[test_case("fleet = \"north\"", "", "fleet"; "no name")]
#[test_case("\"north\"", "\"no rth\"", "fleet: \"no rth\": 1 to 64 letters"; "an invalid name")]
#[test_case("zone = \"x\"", "zon = \"x\"", "zon"; "an unknown key")]
#[test_case("10.0.0.2:9400", "10.0.0.1:9400", "members.b.address: 10.0.0.1:9400 is already used by a"; "a duplicate address")]
#[test_case("10.0.0.2:9400", "0.0.0.0:9400", "can't reach this address"; "an unspecified address")]
#[test_case("b = {", "a = {", "line 4"; "a duplicate name")]
#[test_case("[members]", "[detector]\nevery = 99\n[members]", "detector.every: 99 is out of range: 0.02 to 10 seconds"; "out of range")]
#[test_case("[members]", "[detector]\nevery = 1\n[members]", "detector.suspicion: 0.4 is less than 1"; "suspicion shorter than a probe period")]
#[test_case("[members]", "[records]\nlife = 0\n[members]", "records.life"; "records with no lifetime")]
#[test_case("[members]", "[verdicts]\n[members]", "verdicts"; "an unknown section")]
#[test_case("[members]", "[limits]\nvoters = [\"z\"]\n[members]", "limits.voters: z is not a member"; "a voter that is not a member")]
fn an_invalid_file_is_reported_on_one_line(old: &str, new: &str, expected: &str) {
    let error = FleetConfig::parse(&FILE.replacen(old, new, 1)).expect_err("an error");
    assert!(error.contains(expected) && !error.contains('\n'), "{error}");
}

#[test]
fn the_example_file_is_valid() {
    let config = FleetConfig::parse(include_str!("../../../deploy/fleet.toml")).expect("a valid file");
    assert_eq!(config.detector, Detector::default());
    assert!(config.members.len() >= 3);
}

fn two_nodes() -> (Fleet, Fleet) {
    let new = |name, mark| Fleet::new(0.0, name, config(), 100, mark).expect("a member");
    (new("a", 1), new("b", 2))
}

/// Delivers all messages between the two, until none are left.
fn deliver_all(now: f64, one: &mut Fleet, other: &mut Fleet, mut out: Vec<Action>) -> Vec<FleetEvent> {
    let mut events = Vec::new();
    while !out.is_empty() {
        for action in std::mem::take(&mut out) {
            match action {
                Action::Send { to, bytes } if to == addr(1) => {
                    one.handle_datagram(now, addr(2), &bytes, &mut out)
                }
                Action::Send { bytes, .. } => other.handle_datagram(now, addr(1), &bytes, &mut out),
                Action::Event(event) => events.push(event),
                Action::Message { .. } => {}
            }
        }
    }
    events
}

fn two_joined_nodes() -> (Fleet, Fleet) {
    let ((mut one, mut other), mut out) = (two_nodes(), Vec::new());
    for at in 0..40 {
        let now = f64::from(at) * 0.05;
        one.advance(now, &mut out);
        other.advance(now, &mut out);
        deliver_all(now, &mut one, &mut other, std::mem::take(&mut out));
    }
    (one, other)
}

/// A file reloaded at SIGHUP is applied completely or not at all. A live member that it no longer lists is removed,
/// and its messages are dropped as a stranger's.
#[test]
fn a_reloaded_file_removes_a_live_member() {
    let (mut one, mut other) = two_joined_nodes();
    assert_eq!(one.state(Id::of("b")), Some(State::Alive));
    let without_b = FleetConfig::parse(&FILE.replace("b = {", "c = {")).expect("a valid file");
    assert!(other
        .reconfigure(2.0, without_b.clone())
        .expect_err("this node is missing")
        .contains("members: b, the name of this node, is not listed"));
    let moved = FleetConfig::parse(&FILE.replace("10.0.0.1", "10.0.0.9")).expect("a valid file");
    assert!(one
        .reconfigure(2.0, moved)
        .expect_err("its own address has changed")
        .contains("members.a.address"));
    assert_eq!(one.state(Id::of("b")), Some(State::Alive), "nothing has changed");
    assert_eq!(one.reconfigure(2.0, without_b), Ok(()));
    let mut out = Vec::new();
    (0..8).for_each(|at| other.advance(2.0 + f64::from(at) * 0.05, &mut out));
    for action in out {
        if let Action::Send { bytes, .. } = action {
            one.handle_datagram(9.0, addr(2), &bytes, &mut Vec::new());
        }
    }
    let figures = one.figures(9.0);
    assert!(figures.counts.dropped.get(&DropReason::Stranger).is_some_and(|many| *many > 0), "{figures:?}");
    assert_eq!((one.state(Id::of("b")), one.state(Id::of("c"))), (None, Some(State::Unseen)));
}

/// Guards against two processes under one name that outbid each other's incarnations for ever: one of them stops
/// sending.
#[test]
fn of_two_processes_under_one_name_one_stops_sending() {
    let (mut one, mut first) = two_joined_nodes();
    let mut second = Fleet::new(2.0, "b", config(), 90, 3).expect("a member");
    let (mut out, mut silent) = (Vec::new(), Vec::new());
    for at in 0..100 {
        let now = 2.0 + f64::from(at) * 0.05;
        one.advance(now, &mut out);
        first.advance(now, &mut out);
        second.advance(now, &mut out);
        while !out.is_empty() {
            for action in std::mem::take(&mut out) {
                match action {
                    // Both use the same address, so each message to it is delivered to both.
                    Action::Send { to, bytes } if to == addr(2) => {
                        first.handle_datagram(now, addr(1), &bytes, &mut out);
                        second.handle_datagram(now, addr(1), &bytes, &mut out);
                    }
                    Action::Send { bytes, .. } => one.handle_datagram(now, addr(2), &bytes, &mut out),
                    Action::Event(FleetEvent::NameConflict { yields }) => silent.push(yields),
                    Action::Event(_) | Action::Message { .. } => {}
                }
            }
        }
    }
    assert!(silent.contains(&true), "{silent:?}");
    let quiet = [&first, &second].map(|fleet| fleet.figures(7.0).doubled);
    assert_eq!(quiet.iter().filter(|quiet| **quiet).count(), 1);
}

/// Answers to an earlier process's requests, and unsolicited answers, bring no records.
#[test]
fn unsolicited_records_are_ignored() {
    let (mut one, other) = two_joined_nodes();
    let before = one.readings(2.0).count();
    let (from, incarnation, words) = (other.me(), other.incarnation(), Vec::new());
    let key = Key { owner: from, ..record(1, 0).key };
    let records = vec![Record { key, ..record(1, 0) }];
    let what = MessageBody::Answer { number: 12345, records };
    let bytes = encode(config().mark(), &Message { from, incarnation, sum: 0, words, what });
    one.handle_datagram(2.0, addr(2), &bytes, &mut Vec::new());
    assert_eq!(one.readings(2.0).count(), before);
}

#[test_case(|bytes| bytes[0] = b'h', DropReason::Foreign; "a hint")]
#[test_case(|bytes| bytes[1] = 2, DropReason::Version; "another version")]
#[test_case(|bytes| bytes[9] ^= 1, DropReason::Checksum; "damaged")]
#[test_case(|bytes| bytes.resize(MAX_DATAGRAM + 1, 0), DropReason::Foreign; "too long")]
#[test_case(|bytes| bytes.truncate(3), DropReason::Foreign; "too short")]
fn dropped_datagrams_are_counted_by_reason(change: fn(&mut Vec<u8>), why: DropReason) {
    let (mut one, mut other) = two_nodes();
    let mut out = Vec::new();
    other.write(0.0, Kind::NODE_STATUS, 1, b"x", &mut out);
    let words = Vec::new();
    let (from, incarnation, what) = (other.me(), other.incarnation(), MessageBody::Ping { number: 1 });
    let mut bytes = encode(config().mark(), &Message { from, incarnation, sum: 0, words, what });
    change(&mut bytes);
    one.handle_datagram(0.0, addr(2), &bytes, &mut out);
    assert_eq!(one.figures(0.0).counts.dropped.get(&why), Some(&1));
}

proptest! {
    /// No datagram, whatever its content, crashes a node, and none longer than the maximum is ever sent.
    #[test]
    fn random_datagrams_are_harmless(bytes in proptest::collection::vec(any::<u8>(), 0..1300), from in 0_u8..4) {
        let (mut one, mut out) = (two_joined_nodes().0, Vec::new());
        one.handle_datagram(3.0, addr(from), &bytes, &mut out);
        // The same bytes with a valid header and checksum.
        let mut framed = vec![crate::message::MARKER_BYTE, 1];
        let mut hasher = crc32fast::Hasher::new_with_initial(config().mark());
        hasher.update(&bytes);
        framed.extend(hasher.finalize().to_le_bytes());
        framed.extend(&bytes);
        one.handle_datagram(3.0, addr(2), &framed, &mut out);
        one.advance(3.0, &mut out);
        let long = |action: &Action| matches!(action, Action::Send { bytes, .. } if bytes.len() > MAX_DATAGRAM);
        let longest = out.iter().any(long);
        prop_assert!(!longest);
    }

    #[test]
    fn messages_round_trip(number: u64, sum: u64, value in proptest::collection::vec(any::<u8>(), 0..400)) {
        let records = vec![Record { value, ..record(number, 5) }];
        let (from, incarnation, words) = (Id(3), Incarnation::new(7, 8), Vec::new());
        let message = Message { from, incarnation, sum, words, what: MessageBody::Differs { number, records, more: true } };
        let bytes = encode(5, &message);
        prop_assert_eq!(decode(5, &bytes), Ok(message));
        prop_assert_eq!(decode(6, &bytes), Err(DropReason::Checksum));
    }

    /// The latest version is held, in whatever order versions and ages arrive.
    #[test]
    fn the_latest_version_is_held(versions in proptest::collection::vec((1_u64..9, 0_u32..9000), 1..30)) {
        let mut table = Table::new(0.01, 4);
        for (version, age) in &versions {
            table.merge(1.0, 1.0, record(*version, *age));
        }
        let held = table.read(1.0, Kind::NODE_STATUS).map(|reading| reading.version).next();
        prop_assert_eq!(held, versions.iter().map(|version| version.0).max());
    }
}

/// Counts up by one or two; reaching five is the violation.
struct Counter;

impl Model for Counter {
    type State = u32;
    type Step = u32;

    fn initial(&self) -> u32 {
        0
    }

    fn enabled_steps(&self, _: &u32) -> Vec<u32> {
        vec![1, 2]
    }

    fn apply(&self, state: &u32, step: &u32) -> Result<u32, String> {
        match state + step {
            5 => Err("five".into()),
            sum => Ok(sum % 8),
        }
    }

    fn fingerprint(&self, state: &u32) -> u64 {
        u64::from(*state)
    }
}

#[test]
fn the_shortest_path_to_a_violation_is_found() {
    let found = explore(&Counter, 9, 100).violation.map(|violation| violation.steps.len());
    assert_eq!(found, Some(3));
    assert_eq!(explore(&Counter, 2, 100).violation, None);
}

// Limits.

const LIMIT: Limit = Limit { id: 1, most: 30.0, window: 3.0, strict: false };

fn rights(me: u32, members: u32) -> Rights {
    rights_with(me, members, vec![LIMIT])
}

fn rights_with(me: u32, members: u32, limits: Vec<Limit>) -> Rights {
    let ids: Vec<Id> = (1..=members).map(Id).collect();
    let terms = LimitTerms { limits, voters: ids.clone(), lease: 2.0, drift: 0.01 };
    Rights::new(0.0, Id(me), Incarnation::new(1, u64::from(me)), ids, terms)
}

/// Runs all nodes from `from` to `to` and delivers every message, except to and from those in `gone`.
fn run(all: &mut [Rights], from: f64, to: f64, gone: &[u32]) {
    let mut now = from;
    while now < to {
        now += 0.05;
        let mut messages: Vec<(u32, u64, OutgoingMessage)> = Vec::new();
        for (at, rights) in all.iter_mut().enumerate().filter(|(at, _)| !gone.contains(&(*at as u32 + 1))) {
            let mut out = Vec::new();
            rights.advance(now, |id| gone.contains(&id.0), &mut out);
            messages.extend(out.into_iter().map(|message| (at as u32 + 1, rights.mark(), message)));
        }
        while let Some((from, mark, (to, bytes))) = messages.pop() {
            if gone.contains(&to.0) {
                continue;
            }
            let (mut out, rights) = (Vec::new(), &mut all[to.0 as usize - 1]);
            rights.handle_message(now, Id(from), mark, &bytes, &mut out);
            messages.extend(out.into_iter().map(|message| (to.0, rights.mark(), message)));
        }
    }
}

/// The figures published to operators: rate, stock time and bound, also for a limit below one use a second.
#[test_case(30.0, 3.0, false, (10.0, 0.5, 40.0); "not strict")]
#[test_case(30.0, 3.0, true, (7.5, 0.5, 30.0); "strict")]
#[test_case(3.0, 10.0, false, (0.3, 20.0 / 3.0, 7.0); "below one use a second")]
fn rate_stock_and_bound_of_a_limit(most: f64, window: f64, strict: bool, expected: (f64, f64, f64)) {
    let limit = Limit { id: 1, most, window, strict };
    let near = |one: f64, other: f64| (one - other).abs() < 1e-9;
    assert!(
        near(limit.rate(), expected.0) && near(limit.stock(), expected.1) && near(limit.bound(), expected.2)
    );
}

/// Guards against voters that restart and no longer know what they granted: they grant nothing for one lease.
#[test]
fn a_new_voter_grants_nothing_for_one_lease() {
    let mut all = [rights(1, 3), rights(2, 3), rights(3, 3)];
    run(&mut all, 0.0, 1.9, &[]);
    assert!(all.iter().all(|rights| rights.held_mints(1.9) == 0));
    run(&mut all, 1.9, 3.5, &[]);
    assert!(all.iter().all(|rights| rights.held_mints(3.5) == 1));
}

/// Unused rights lapse, so hoarding gains nothing, and a stock covers half a second.
#[test]
fn unused_rights_lapse() {
    let mut all = [rights(1, 3), rights(2, 3), rights(3, 3)];
    run(&mut all, 0.0, 10.0, &[]);
    let available = all[0].available(10.0, 1);
    assert!((1.5..=10.0 / 3.0 * 0.5).contains(&available), "{available}");
    // After a stall both its rights and its lease have expired.
    assert_eq!((all[0].available(20.0, 1), all[0].take(20.0, 1, 0.1)), (0.0, false));
}

#[test]
fn rights_move_to_where_they_are_wanted() {
    let mut all = [rights(1, 3), rights(2, 3), rights(3, 3)];
    run(&mut all, 0.0, 5.0, &[]);
    let mut had = 0;
    for at in 0..90 {
        let now = 5.0 + f64::from(at) * 0.1;
        had += u32::from(all[0].take(now, 1, 1.0));
        run(&mut all, now, now + 0.1, &[]);
    }
    // Ten a second are wanted, as many as the whole limit; an equal part would be 30.
    assert!((75..=95).contains(&had), "{had}");
    let rate = all[0].estimated_rate(14.0, 1).expect("known");
    assert!((8.0..=14.0).contains(&rate), "{rate}");
}

/// A hundred tenants at four nodes, one of them greedy. It gets its own share and takes nothing from the others,
/// which get nearly all that they want, each at one node.
#[test]
fn a_greedy_tenant_takes_nothing_from_the_others() {
    let limits: Vec<Limit> = (1..=100).map(|id| Limit { id, ..LIMIT }).collect();
    let mut all: Vec<Rights> = (1..=4).map(|me| rights_with(me, 4, limits.clone())).collect();
    run(&mut all, 0.0, 5.0, &[]);
    let (mut wanted, mut had) = ([0, 0], [0, 0]);
    for at in 0..100 {
        let now = 5.0 + f64::from(at) * 0.1;
        for id in 1..=100_u32 {
            let greedy = usize::from(id == 1);
            // Eight a second of ten; the greedy tenant wants two hundred.
            let wants = if greedy == 1 { 20 } else { u32::from(!(at + id).is_multiple_of(5)) };
            for _ in 0..wants {
                wanted[greedy] += 1;
                had[greedy] += u32::from(all[id as usize % 4].take(now, id, 1.0));
            }
        }
        run(&mut all, now, now + 0.1, &[]);
    }
    assert!(f64::from(had[0]) > 0.95 * f64::from(wanted[0]), "{had:?} of {wanted:?}");
    let bound = LIMIT.rate() * (10.0 + 2.0 * LIMIT.stock());
    assert!(f64::from(had[1]) <= bound && f64::from(had[1]) > 0.85 * LIMIT.rate() * 10.0, "{had:?}, {bound}");
}

/// The giver fails before its answer arrives: the rights it gave are lost, and nobody has more for it.
#[test]
fn rights_given_in_a_lost_message_are_lost() {
    let mut all = [rights(1, 2), rights(2, 2)];
    run(&mut all, 0.0, 5.0, &[]);
    let [one, other] = &mut all;
    for _ in 0..20 {
        one.take(5.3, 1, 1.0);
    }
    let (mut asks, mut answers) = (Vec::new(), Vec::new());
    one.advance(5.3, |_| false, &mut asks);
    let before = (one.available(5.3, 1), other.available(5.3, 1));
    asks.iter().for_each(|(_, bytes)| other.handle_message(5.3, Id(1), 1, bytes, &mut answers));
    assert!(!answers.is_empty() && other.available(5.3, 1) < before.1, "deducted before the answer is sent");
    assert_eq!(one.available(5.3, 1), before.0);
}

/// Guards against an answer that arrives twice or too late: rights are received once, and only until they lapse.
#[test]
fn given_rights_are_received_once_and_in_time() {
    let mut all = [rights(1, 2), rights(2, 2)];
    run(&mut all, 0.0, 5.0, &[]);
    let ask = |one: &mut Rights, now: f64| {
        let mut asks = Vec::new();
        for _ in 0..20 {
            one.take(now, 1, 1.0);
        }
        one.advance(now, |_| false, &mut asks);
        asks
    };
    let given = |other: &mut Rights, now: f64, asks: &[OutgoingMessage]| {
        let mut answers = Vec::new();
        asks.iter().for_each(|(_, bytes)| other.handle_message(now, Id(1), 1, bytes, &mut answers));
        answers
    };
    let [one, other] = &mut all;
    let asks = ask(one, 5.3);
    let answers = given(other, 5.3, &asks);
    let take = |one: &mut Rights, now: f64, answers: &[OutgoingMessage]| {
        answers.iter().for_each(|(_, bytes)| one.handle_message(now, Id(2), 2, bytes, &mut Vec::new()));
        one.available(now, 1)
    };
    let once = take(one, 5.3, &answers);
    assert!(once > 0.1, "{once}");
    assert_eq!(take(one, 5.3, &answers), once, "a second time");
    let late = ask(one, 5.6);
    let answers = given(other, 5.6, &late);
    let before = one.available(6.2, 1);
    assert_eq!(take(one, 6.2, &answers), before, "after it has lapsed");
}

/// A dead member's mint goes to one deputy after its lease has certainly expired, and back to the member after it
/// has returned.
#[test]
fn a_dead_members_mint_goes_to_one_deputy() {
    let mut all: Vec<Rights> = (1..=4).map(|me| rights(me, 4)).collect();
    run(&mut all, 0.0, 5.0, &[]);
    run(&mut all, 5.0, 6.5, &[2]);
    let held = |all: &[Rights], now: f64| -> usize {
        [0, 2, 3].iter().map(|at: &usize| all[*at].held_mints(now)).sum()
    };
    assert_eq!(held(&all, 6.5), 3, "not while its lease may still run");
    run(&mut all, 6.5, 10.0, &[2]);
    assert_eq!(held(&all, 10.0), 4);
    let ids: Vec<Id> = (1..=4).map(Id).collect();
    let terms = all[0].terms().clone();
    all[1] = Rights::new(10.0, Id(2), Incarnation::new(1, 9), ids, terms);
    run(&mut all, 10.0, 15.0, &[]);
    assert_eq!(all.iter().map(|rights| rights.held_mints(15.0)).collect::<Vec<_>>(), [1, 1, 1, 1]);
}

/// A lowered limit holds from the time it is applied; a node whose limits change starts without rights.
#[test]
fn changed_limits_start_without_rights() {
    let mut all = [rights(1, 2), rights(2, 2)];
    run(&mut all, 0.0, 5.0, &[]);
    let (ids, terms) = (vec![Id(1), Id(2)], all[0].terms().clone());
    all[0].reconfigure(5.0, ids.clone(), terms.clone());
    assert!(all[0].available(5.0, 1) > 0.0, "applying the same limits again changes nothing");
    let lower = LimitTerms { limits: vec![Limit { most: 3.0, ..LIMIT }], ..terms };
    all[0].reconfigure(5.0, ids, lower);
    assert_eq!((all[0].available(5.0, 1), all[0].held_mints(5.0)), (0.0, 0));
}

proptest! {
    #[test]
    fn invalid_messages_about_rights_are_harmless(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut one = rights(1, 3);
        one.handle_message(1.0, Id(2), 2, &bytes, &mut Vec::new());
        one.advance(2.0, |_| false, &mut Vec::new());
        prop_assert!(one.available(2.0, 1) == 0.0);
    }
}
