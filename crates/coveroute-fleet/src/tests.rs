//! What needs no stage: the table of states, the order of claims, messages, ages, the operators' file.
use std::net::SocketAddr;

use proptest::prelude::*;
use test_case::test_case;

use crate::detector::{Detector, Health, Suspicion};
use crate::explore::{explore, Model};
use crate::member::{next_state, Claim, Effect, Id, Incarnation, Input, State};
use crate::message::{decode, encode, DropReason, Message, MessageBody, MAX_DATAGRAM};
use crate::rights::{Limit, Post, Rights, Terms};
use crate::table::{Key, Kind, MergeResult, Record, Table};
use crate::{Action, Fleet, News, Plan};

const FILE: &str = "fleet = \"north\"\n[members]\na = { address = \"10.0.0.1:9400\", zone = \"x\" }\n\
    b = { address = \"10.0.0.2:9400\", machine = \"m\" }\n";

fn plan() -> Plan {
    Plan::parse(FILE).expect("fit")
}

fn addr(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 9400).into()
}

#[test_case(State::Unseen, Input::NoReply, State::Unseen, Effect::Nothing; "who never came is not suspected")]
#[test_case(State::Alive, Input::NoReply, State::Suspected, Effect::StartSuspicion; "no answer")]
#[test_case(State::Suspected, Input::Suspected, State::Suspected, Effect::ConfirmSuspicion; "shared")]
#[test_case(State::Suspected, Input::Alive, State::Alive, Effect::ClearSuspicion; "refuted")]
#[test_case(State::Suspected, Input::SuspicionExpired, State::Dead, Effect::ClearSuspicion; "not refuted")]
#[test_case(State::Alive, Input::SuspicionExpired, State::Alive, Effect::Nothing; "an end without a suspicion")]
#[test_case(State::Dead, Input::NoReply, State::Dead, Effect::Nothing; "dead already")]
#[test_case(State::Dead, Input::Alive, State::Returned, Effect::Nothing; "back")]
#[test_case(State::Alive, Input::Restarted, State::Returned, Effect::Nothing; "another process")]
#[test_case(State::Left, Input::Restarted, State::Returned, Effect::Nothing; "back after it left")]
fn states(from: State, input: Input, to: State, effect: Effect) {
    assert_eq!(next_state(from, input), (to, effect));
}

/// Guards against a count that was put back: whoever hears of a later self goes above it, and stays itself.
#[test]
fn incarnations_rise_above_what_was_heard() {
    let (one, other) = (Incarnation::new(5, 0xabcdef), Incarnation::new(9, 0x123456));
    let above = one.next_above(other);
    assert!(above > other && above.mark() == one.mark() && above.is_valid());
    assert!(!Incarnation(u64::MAX).is_valid());
}

/// Whatever order words come in, and however often, who has heard the same holds the same.
#[test]
fn words_in_any_order_come_to_the_same() {
    let claims = [Claim::Alive, Claim::Suspected, Claim::Dead, Claim::Left];
    let words: Vec<_> = (1..4).flat_map(|count| claims.map(|c| (Incarnation::new(count, 1), c))).collect();
    let held = |words: &[(Incarnation, Claim)]| words.iter().copied().max();
    let (mut turned, doubled) = (words.clone(), [words.clone(), words.clone()].concat());
    turned.reverse();
    assert!(held(&words) == held(&turned) && held(&words) == held(&doubled));
    assert_eq!(held(&words), Some((Incarnation::new(3, 1), Claim::Left)));
}

/// The bound's share of a suspicion: who is alone in it waits, who is joined by enough does not.
#[test]
fn a_shared_suspicion_ends_sooner() {
    let (detector, well) = (Detector::default(), Health::default());
    let timeouts: Vec<f64> = (0..4).map(|others| detector.suspicion_timeout(others, 11, 12, well)).collect();
    assert!(timeouts.windows(2).all(|two| two[0] > two[1]), "{timeouts:?}");
    let mut degraded = Health::default();
    (0..9).for_each(|_| degraded.degrade());
    assert!(
        detector.suspicion_timeout(0, 11, 12, degraded) > 3.0 * timeouts[0],
        "one that doubts itself waits"
    );
    assert_eq!(detector.suspicion_timeout(3, 11, 12, degraded), timeouts[3], "not when others say the same");
    assert_eq!(
        detector.suspicion_timeout(1, 1, 5, well),
        detector.suspicion_timeout(3, 3, 5, well),
        "all that could share it do"
    );
    assert!(detector.suspicion_timeout(0, 0, 5, well) >= 6.0 * detector.suspicion, "who is alone waits");
    let mut suspicion = Suspicion::new(1.0, Id(1));
    assert!(suspicion.confirm(Id(2)) && !suspicion.confirm(Id(2)));
    assert_eq!(
        (suspicion.confirmations(0.5), suspicion.confirmations(1.5)),
        (1, 0),
        "who is heard itself is not given up early"
    );
}

fn record(version: u64, age: u32) -> Record {
    let key = Key { owner: Id(7), kind: Kind::STANDING, key: 1 };
    Record { key, incarnation: Incarnation::new(1, 1), version, age, life: 10_000, value: vec![1] }
}

/// Bounds add up: what was told, the whole round trip, and what it was held, each stretched by the drift.
#[test]
fn ages_add_up() {
    let mut table = Table::new(0.01, 4);
    assert_eq!(table.merge(100.0, 99.0, record(1, 2000)), MergeResult::Newer);
    let told = |table: &Table, now| table.read(now, Kind::STANDING).map(|r| r.age).next();
    assert_eq!(told(&table, 100.0), Some(2.0 + 1.0 / 0.99));
    assert_eq!(told(&table, 103.0), Some(2.0 + 1.0 / 0.99 + 3.0 / 0.99));
    // Rounded up on its way.
    assert_eq!(table.record(100.0, &record(1, 0).key).map(|r| r.age), Some(3011));
    assert_eq!(table.merge(103.0, 102.99, record(1, 2500)), MergeResult::TighterAge);
    assert_eq!(table.merge(103.0, 102.0, record(1, 8000)), MergeResult::Known);
}

/// Guards against an earlier record that comes, with a closer bound, after a later one has ended here.
#[test]
fn what_has_ended_is_not_undone_by_what_was_before_it() {
    let mut table = Table::new(0.01, 4);
    assert_eq!(table.merge(0.0, 0.0, record(2, 9000)), MergeResult::Newer);
    table.expire(2.0);
    assert!(table.is_empty());
    assert_eq!(table.merge(2.0, 2.0, record(1, 1000)), MergeResult::Known);
    assert_eq!(table.merge(2.0, 2.0, record(2, 1000)), MergeResult::Known);
    assert_eq!(table.merge(2.0, 2.0, record(3, 1000)), MergeResult::Newer);
}

#[test]
fn memory_is_bounded_by_owner() {
    let mut table = Table::new(0.01, 2);
    let other = |key| Record { key: Key { key, ..record(1, 0).key }, ..record(1, 0) };
    let taken: Vec<MergeResult> = (1..4).map(|key| table.merge(0.0, 0.0, other(key))).collect();
    assert_eq!(taken, [MergeResult::Newer, MergeResult::Newer, MergeResult::Full]);
    let long = Record { value: vec![0; 401], ..record(2, 0) };
    assert_eq!(table.merge(0.0, 0.0, long), MergeResult::Full);
}

#[test]
fn sums_are_the_same_for_the_same_whatever_came_before() {
    let (mut one, mut other) = (Table::new(0.01, 4), Table::new(0.01, 4));
    one.merge(0.0, 0.0, record(1, 0));
    one.merge(0.0, 0.0, record(2, 0));
    other.merge(5.0, 5.0, record(2, 100));
    assert_eq!(one.sum(), other.sum());
    other.remove_owner(Id(7));
    assert_eq!(other.sum(), Table::new(0.01, 4).sum());
}

#[test_case("fleet = \"north\"", "", "fleet"; "no name")]
#[test_case("\"north\"", "\"no rth\"", "fleet: \"no rth\": 1 to 64 letters"; "a name that is none")]
#[test_case("zone = \"x\"", "zon = \"x\"", "zon"; "an unknown key")]
#[test_case("10.0.0.2:9400", "10.0.0.1:9400", "members.b.address: 10.0.0.1:9400 is a's"; "one address twice")]
#[test_case("10.0.0.2:9400", "0.0.0.0:9400", "can't reach"; "no address")]
#[test_case("b = {", "a = {", "line 4"; "one name twice")]
#[test_case("[members]", "[detector]\nevery = 99\n[members]", "detector.every: 99 is not seconds, 0.02 to 10"; "out of range")]
#[test_case("[members]", "[detector]\nevery = 1\n[members]", "detector.suspicion: 0.4 is not 1"; "too short for a probe")]
#[test_case("[members]", "[records]\nlife = 0\n[members]", "records.life"; "records without a life")]
#[test_case("[members]", "[verdicts]\n[members]", "verdicts"; "a part that is not there")]
#[test_case("[members]", "[limits]\nvoters = [\"z\"]\n[members]", "limits.voters: z is not among"; "a voter that is none")]
fn a_file_that_is_not_fit_is_told_in_one_line(old: &str, new: &str, words: &str) {
    let told = Plan::parse(&FILE.replacen(old, new, 1)).expect_err("a fault");
    assert!(told.contains(words) && !told.contains('\n'), "{told}");
}

#[test]
fn the_example_is_fit() {
    let plan = Plan::parse(include_str!("../../../deploy/fleet.toml")).expect("fit");
    assert_eq!(plan.detector, Detector::default());
    assert!(plan.members.len() >= 3);
}

fn two() -> (Fleet, Fleet) {
    let new = |name, mark| Fleet::new(0.0, name, plan(), 100, mark).expect("a member");
    (new("a", 1), new("b", 2))
}

/// Brings all that is sent to the other, until nothing is.
fn talk(now: f64, one: &mut Fleet, other: &mut Fleet, mut out: Vec<Action>) -> Vec<News> {
    let mut news = Vec::new();
    while !out.is_empty() {
        for action in std::mem::take(&mut out) {
            match action {
                Action::Send { to, bytes } if to == addr(1) => one.heard(now, addr(2), &bytes, &mut out),
                Action::Send { bytes, .. } => other.heard(now, addr(1), &bytes, &mut out),
                Action::News(told) => news.push(told),
                Action::Said { .. } => {}
            }
        }
    }
    news
}

fn met() -> (Fleet, Fleet) {
    let ((mut one, mut other), mut out) = (two(), Vec::new());
    for at in 0..40 {
        let now = f64::from(at) * 0.05;
        one.advance(now, &mut out);
        other.advance(now, &mut out);
        talk(now, &mut one, &mut other, std::mem::take(&mut out));
    }
    (one, other)
}

/// A file at SIGHUP counts whole or not at all; a live member that it lacks is none any more, and is a stranger.
#[test]
fn a_file_read_anew_removes_a_live_member() {
    let (mut one, mut other) = met();
    assert_eq!(one.state(Id::of("b")), Some(State::Alive));
    let without_b = Plan::parse(&FILE.replace("b = {", "c = {")).expect("fit");
    assert!(other.reread(2.0, without_b.clone()).expect_err("itself").contains("b is not among them"));
    let moved = Plan::parse(&FILE.replace("10.0.0.1", "10.0.0.9")).expect("fit");
    assert!(one.reread(2.0, moved).expect_err("moved").contains("members.a.address"));
    assert_eq!(one.state(Id::of("b")), Some(State::Alive), "all stays as it was");
    assert_eq!(one.reread(2.0, without_b), Ok(()));
    let mut out = Vec::new();
    (0..8).for_each(|at| other.advance(2.0 + f64::from(at) * 0.05, &mut out));
    for action in out {
        if let Action::Send { bytes, .. } = action {
            one.heard(9.0, addr(2), &bytes, &mut Vec::new());
        }
    }
    let figures = one.figures(9.0);
    assert!(figures.counts.dropped.get(&DropReason::Stranger).is_some_and(|many| *many > 0), "{figures:?}");
    assert_eq!((one.state(Id::of("b")), one.state(Id::of("c"))), (None, Some(State::Unseen)));
}

/// Guards against two processes under one name that outbid each other for ever: one of them falls silent.
#[test]
fn of_two_processes_under_one_name_one_falls_silent() {
    let (mut one, mut first) = met();
    let mut second = Fleet::new(2.0, "b", plan(), 90, 3).expect("a member");
    let (mut out, mut silent) = (Vec::new(), Vec::new());
    for at in 0..100 {
        let now = 2.0 + f64::from(at) * 0.05;
        one.advance(now, &mut out);
        first.advance(now, &mut out);
        second.advance(now, &mut out);
        while !out.is_empty() {
            for action in std::mem::take(&mut out) {
                match action {
                    // Both are at the one address: what is sent there comes to both, as good as.
                    Action::Send { to, bytes } if to == addr(2) => {
                        first.heard(now, addr(1), &bytes, &mut out);
                        second.heard(now, addr(1), &bytes, &mut out);
                    }
                    Action::Send { bytes, .. } => one.heard(now, addr(2), &bytes, &mut out),
                    Action::News(News::Doubled { yields }) => silent.push(yields),
                    Action::News(_) | Action::Said { .. } => {}
                }
            }
        }
    }
    assert!(silent.contains(&true), "{silent:?}");
    let quiet = [&first, &second].map(|fleet| fleet.figures(7.0).doubled);
    assert_eq!(quiet.iter().filter(|quiet| **quiet).count(), 1);
}

/// Answers to an earlier process's questions, and answers that nobody asked for, bring no records.
#[test]
fn records_that_were_not_asked_for_are_passed_over() {
    let (mut one, other) = met();
    let before = one.readings(2.0).count();
    let (from, incarnation, words) = (other.me(), other.incarnation(), Vec::new());
    let key = Key { owner: from, ..record(1, 0).key };
    let records = vec![Record { key, ..record(1, 0) }];
    let what = MessageBody::Answer { number: 12345, records };
    let bytes = encode(plan().mark(), &Message { from, incarnation, sum: 0, words, what });
    one.heard(2.0, addr(2), &bytes, &mut Vec::new());
    assert_eq!(one.readings(2.0).count(), before);
}

#[test_case(|bytes| bytes[0] = b'h', DropReason::Foreign; "a hint")]
#[test_case(|bytes| bytes[1] = 2, DropReason::Version; "another version")]
#[test_case(|bytes| bytes[9] ^= 1, DropReason::Checksum; "damaged")]
#[test_case(|bytes| bytes.resize(MAX_DATAGRAM + 1, 0), DropReason::Foreign; "too long")]
#[test_case(|bytes| bytes.truncate(3), DropReason::Foreign; "too short")]
fn odd_datagrams_are_counted(change: fn(&mut Vec<u8>), why: DropReason) {
    let (mut one, mut other) = two();
    let mut out = Vec::new();
    other.write(0.0, Kind::STANDING, 1, b"x", &mut out);
    let words = Vec::new();
    let (from, incarnation, what) = (other.me(), other.incarnation(), MessageBody::Ping { number: 1 });
    let mut bytes = encode(plan().mark(), &Message { from, incarnation, sum: 0, words, what });
    change(&mut bytes);
    one.heard(0.0, addr(2), &bytes, &mut out);
    assert_eq!(one.figures(0.0).counts.dropped.get(&why), Some(&1));
}

proptest! {
    /// No datagram, whatever is in it, brings a node down; and none beyond the longest is ever sent.
    #[test]
    fn random_datagrams_do_no_harm(bytes in proptest::collection::vec(any::<u8>(), 0..1300), from in 0_u8..4) {
        let (mut one, mut out) = (met().0, Vec::new());
        one.heard(3.0, addr(from), &bytes, &mut out);
        // The same with a head and a checksum that fit.
        let mut framed = vec![crate::message::MARK, 1];
        let mut hasher = crc32fast::Hasher::new_with_initial(plan().mark());
        hasher.update(&bytes);
        framed.extend(hasher.finalize().to_le_bytes());
        framed.extend(&bytes);
        one.heard(3.0, addr(2), &framed, &mut out);
        one.advance(3.0, &mut out);
        let long = |action: &Action| matches!(action, Action::Send { bytes, .. } if bytes.len() > MAX_DATAGRAM);
        let longest = out.iter().any(long);
        prop_assert!(!longest);
    }

    #[test]
    fn messages_read_as_they_were_written(number: u64, sum: u64, value in proptest::collection::vec(any::<u8>(), 0..400)) {
        let records = vec![Record { value, ..record(number, 5) }];
        let (from, incarnation, words) = (Id(3), Incarnation::new(7, 8), Vec::new());
        let message = Message { from, incarnation, sum, words, what: MessageBody::Differs { number, records, more: true } };
        let bytes = encode(5, &message);
        prop_assert_eq!(decode(5, &bytes), Ok(message));
        prop_assert_eq!(decode(6, &bytes), Err(DropReason::Checksum));
    }

    /// Sums, ages and the order of versions, whatever comes in whatever order: the latest is held.
    #[test]
    fn the_latest_version_is_held(versions in proptest::collection::vec((1_u64..9, 0_u32..9000), 1..30)) {
        let mut table = Table::new(0.01, 4);
        for (version, age) in &versions {
            table.merge(1.0, 1.0, record(*version, *age));
        }
        let held = table.read(1.0, Kind::STANDING).map(|reading| reading.version).next();
        prop_assert_eq!(held, versions.iter().map(|version| version.0).max());
    }
}

/// Counts up by ones and twos; three is wrong.
struct Counter;

impl Model for Counter {
    type State = u32;
    type Step = u32;

    fn first(&self) -> u32 {
        0
    }

    fn steps(&self, _: &u32) -> Vec<u32> {
        vec![1, 2]
    }

    fn after(&self, state: &u32, step: &u32) -> Result<u32, String> {
        match state + step {
            5 => Err("five".into()),
            sum => Ok(sum % 8),
        }
    }

    fn print(&self, state: &u32) -> u64 {
        u64::from(*state)
    }
}

#[test]
fn the_shortest_way_to_a_breach_is_found() {
    let found = explore(&Counter, 9, 100).breach.map(|breach| breach.steps.len());
    assert_eq!(found, Some(3));
    assert_eq!(explore(&Counter, 2, 100).breach, None);
}

// Limits.

const LIMIT: Limit = Limit { id: 1, most: 30.0, window: 3.0, strict: false };

fn rights(me: u32, members: u32) -> Rights {
    limited(me, members, vec![LIMIT])
}

fn limited(me: u32, members: u32, limits: Vec<Limit>) -> Rights {
    let ids: Vec<Id> = (1..=members).map(Id).collect();
    let terms = Terms { limits, voters: ids.clone(), lease: 2.0, drift: 0.01 };
    Rights::new(0.0, Id(me), Incarnation::new(1, u64::from(me)), ids, terms)
}

/// Time and messages until then, all of them delivered.
fn share(all: &mut [Rights], from: f64, to: f64, gone: &[u32]) {
    let mut now = from;
    while now < to {
        now += 0.05;
        let mut posts: Vec<(u32, u64, Post)> = Vec::new();
        for (at, rights) in all.iter_mut().enumerate().filter(|(at, _)| !gone.contains(&(*at as u32 + 1))) {
            let mut out = Vec::new();
            rights.advance(now, |id| gone.contains(&id.0), &mut out);
            posts.extend(out.into_iter().map(|post| (at as u32 + 1, rights.mark(), post)));
        }
        while let Some((from, mark, (to, bytes))) = posts.pop() {
            if gone.contains(&to.0) {
                continue;
            }
            let (mut out, rights) = (Vec::new(), &mut all[to.0 as usize - 1]);
            rights.heard(now, Id(from), mark, &bytes, &mut out);
            posts.extend(out.into_iter().map(|post| (to.0, rights.mark(), post)));
        }
    }
}

/// Figures that operators are told: rate, stock and bound, also of a limit of less than one use a second.
#[test_case(30.0, 3.0, false, (10.0, 0.5, 40.0); "by its rate")]
#[test_case(30.0, 3.0, true, (7.5, 0.5, 30.0); "never over")]
#[test_case(3.0, 10.0, false, (0.3, 20.0 / 3.0, 7.0); "under one use a second")]
fn what_a_limit_comes_to(most: f64, window: f64, strict: bool, expected: (f64, f64, f64)) {
    let limit = Limit { id: 1, most, window, strict };
    let near = |one: f64, other: f64| (one - other).abs() < 1e-9;
    assert!(
        near(limit.rate(), expected.0) && near(limit.stock(), expected.1) && near(limit.bound(), expected.2)
    );
}

/// Guards against a start in which those who said before who holds what know nothing of it: they keep silent for a lease.
#[test]
fn who_has_just_begun_says_nothing_for_a_lease() {
    let mut all = [rights(1, 3), rights(2, 3), rights(3, 3)];
    share(&mut all, 0.0, 1.9, &[]);
    assert!(all.iter().all(|rights| rights.holds(1.9) == 0));
    share(&mut all, 1.9, 3.5, &[]);
    assert!(all.iter().all(|rights| rights.holds(3.5) == 1));
}

/// What is not used lapses: hoarding is worth nothing, and a stock is half a second's.
#[test]
fn rights_lapse() {
    let mut all = [rights(1, 3), rights(2, 3), rights(3, 3)];
    share(&mut all, 0.0, 10.0, &[]);
    let has = all[0].has(10.0, 1);
    assert!((1.5..=10.0 / 3.0 * 0.5).contains(&has), "{has}");
    // It stood still: what it had, and its mint, are over.
    assert_eq!((all[0].has(20.0, 1), all[0].take(20.0, 1, 0.1)), (0.0, false));
}

#[test]
fn rights_go_where_they_are_wanted() {
    let mut all = [rights(1, 3), rights(2, 3), rights(3, 3)];
    share(&mut all, 0.0, 5.0, &[]);
    let mut had = 0;
    for at in 0..90 {
        let now = 5.0 + f64::from(at) * 0.1;
        had += u32::from(all[0].take(now, 1, 1.0));
        share(&mut all, now, now + 0.1, &[]);
    }
    // Ten a second are wanted, as many as the whole limit; an equal part would be 30.
    assert!((75..=95).contains(&had), "{had}");
    let covered = all[0].covered(14.0, 1).expect("known");
    assert!((8.0..=14.0).contains(&covered), "{covered}");
}

/// A hundred tenants at four nodes, one of them greedy: it has its own share and nothing of the others', who have nearly
/// all that they want, each at a node of its own.
#[test]
fn one_greedy_tenant_takes_nothing_of_the_others() {
    let limits: Vec<Limit> = (1..=100).map(|id| Limit { id, ..LIMIT }).collect();
    let mut all: Vec<Rights> = (1..=4).map(|me| limited(me, 4, limits.clone())).collect();
    share(&mut all, 0.0, 5.0, &[]);
    let (mut wanted, mut had) = ([0, 0], [0, 0]);
    for at in 0..100 {
        let now = 5.0 + f64::from(at) * 0.1;
        for id in 1..=100_u32 {
            let greedy = usize::from(id == 1);
            // Eight a second of ten; the greedy one two hundred.
            let wants = if greedy == 1 { 20 } else { u32::from(!(at + id).is_multiple_of(5)) };
            for _ in 0..wants {
                wanted[greedy] += 1;
                had[greedy] += u32::from(all[id as usize % 4].take(now, id, 1.0));
            }
        }
        share(&mut all, now, now + 0.1, &[]);
    }
    assert!(f64::from(had[0]) > 0.95 * f64::from(wanted[0]), "{had:?} of {wanted:?}");
    let bound = LIMIT.rate() * (10.0 + 2.0 * LIMIT.stock());
    assert!(f64::from(had[1]) <= bound && f64::from(had[1]) > 0.85 * LIMIT.rate() * 10.0, "{had:?}, {bound}");
}

/// Who gave is gone before its answer is heard: what it gave is nobody's, and nobody has more for it.
#[test]
fn what_is_given_and_lost_is_nobodys() {
    let mut all = [rights(1, 2), rights(2, 2)];
    share(&mut all, 0.0, 5.0, &[]);
    let [one, other] = &mut all;
    for _ in 0..20 {
        one.take(5.3, 1, 1.0);
    }
    let (mut asks, mut answers) = (Vec::new(), Vec::new());
    one.advance(5.3, |_| false, &mut asks);
    let before = (one.has(5.3, 1), other.has(5.3, 1));
    asks.iter().for_each(|(_, bytes)| other.heard(5.3, Id(1), 1, bytes, &mut answers));
    assert!(!answers.is_empty() && other.has(5.3, 1) < before.1, "taken off before it is told");
    assert_eq!(one.has(5.3, 1), before.0);
}

/// Guards against an answer that comes twice, or long after: rights are had once, and while they last.
#[test]
fn what_is_given_is_had_once_and_in_time() {
    let mut all = [rights(1, 2), rights(2, 2)];
    share(&mut all, 0.0, 5.0, &[]);
    let ask = |one: &mut Rights, now: f64| {
        let mut asks = Vec::new();
        for _ in 0..20 {
            one.take(now, 1, 1.0);
        }
        one.advance(now, |_| false, &mut asks);
        asks
    };
    let given = |other: &mut Rights, now: f64, asks: &[Post]| {
        let mut answers = Vec::new();
        asks.iter().for_each(|(_, bytes)| other.heard(now, Id(1), 1, bytes, &mut answers));
        answers
    };
    let [one, other] = &mut all;
    let asks = ask(one, 5.3);
    let answers = given(other, 5.3, &asks);
    let take = |one: &mut Rights, now: f64, answers: &[Post]| {
        answers.iter().for_each(|(_, bytes)| one.heard(now, Id(2), 2, bytes, &mut Vec::new()));
        one.has(now, 1)
    };
    let once = take(one, 5.3, &answers);
    assert!(once > 0.1, "{once}");
    assert_eq!(take(one, 5.3, &answers), once, "a second time");
    let late = ask(one, 5.6);
    let answers = given(other, 5.6, &late);
    let before = one.has(6.2, 1);
    assert_eq!(take(one, 6.2, &answers), before, "after its time");
}

/// A dead member's mint goes to one other, after its lease is over for sure; it gets it back when it has come again.
#[test]
fn a_dead_members_mint_has_one_deputy() {
    let mut all: Vec<Rights> = (1..=4).map(|me| rights(me, 4)).collect();
    share(&mut all, 0.0, 5.0, &[]);
    share(&mut all, 5.0, 6.5, &[2]);
    let held =
        |all: &[Rights], now: f64| -> usize { [0, 2, 3].iter().map(|at: &usize| all[*at].holds(now)).sum() };
    assert_eq!(held(&all, 6.5), 3, "not while it may still hold it");
    share(&mut all, 6.5, 10.0, &[2]);
    assert_eq!(held(&all, 10.0), 4);
    let ids: Vec<Id> = (1..=4).map(Id).collect();
    let terms = all[0].terms().clone();
    all[1] = Rights::new(10.0, Id(2), Incarnation::new(1, 9), ids, terms);
    share(&mut all, 10.0, 15.0, &[]);
    assert_eq!(all.iter().map(|rights| rights.holds(15.0)).collect::<Vec<_>>(), [1, 1, 1, 1]);
}

/// A lowered limit holds from when it is read; who changes begins with nothing.
#[test]
fn limits_read_anew_begin_with_nothing() {
    let mut all = [rights(1, 2), rights(2, 2)];
    share(&mut all, 0.0, 5.0, &[]);
    let (ids, terms) = (vec![Id(1), Id(2)], all[0].terms().clone());
    all[0].reread(5.0, ids.clone(), terms.clone());
    assert!(all[0].has(5.0, 1) > 0.0, "the same again changes nothing");
    let lower = Terms { limits: vec![Limit { most: 3.0, ..LIMIT }], ..terms };
    all[0].reread(5.0, ids, lower);
    assert_eq!((all[0].has(5.0, 1), all[0].holds(5.0)), (0.0, 0));
}

proptest! {
    #[test]
    fn odd_words_of_rights_do_no_harm(said in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut one = rights(1, 3);
        one.heard(1.0, Id(2), 2, &said, &mut Vec::new());
        one.advance(2.0, |_| false, &mut Vec::new());
        prop_assert!(one.has(2.0, 1) == 0.0);
    }
}
