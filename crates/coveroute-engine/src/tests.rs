//! Tests of the engine: one event given to it, what it has its host do, how its records stand. No sockets, no clock.
use bytes::Bytes;
use coveroute::adopt::Moved;
use coveroute::types::*;
use coveroute_shared::Names;
use test_case::test_case;

use crate::admit::admit;
use crate::book::Forward;
use crate::operations::Operations;
use crate::timers::Timers;
use crate::*;

const ID: InvId = 7;
const CALL: &str = "c";
const NOW: f64 = 1e9;

fn names() -> Names {
    let texts = |texts: &[&str]| texts.iter().map(|text| (*text).to_owned()).collect();
    Names { operations: texts(&["look", "pay"]), tenants: Vec::new(), zones: Vec::new(), kinds: Vec::new() }
}

fn operations() -> Operations {
    Operations::new(names().operations, &[5.0, 10.0])
}

fn operation(effect: Effect) -> Operation {
    Operation { effect, objective: 1.0, stretch: 0.0, value: 1.0, late_value: 0.0, kind: None }
}

fn host(at: usize, standing: Standing) -> Host {
    let addr = Some(([127, 0, 0, 1], 9000 + at as u16).into());
    let (id, zone, kind) = (format!("s-{at}"), "a".to_owned(), String::new());
    Host { id, addr, zone, kind, cell: 0, started: 0.0, size: 1.0, standing }
}

fn listing(version: u64, full: bool, hosts: Vec<Host>) -> Listing {
    Listing { version, full, hosts }
}

/// An engine that follows a list of two executors, and what it asked for at its start.
fn engine() -> (Engine, Vec<Action>) {
    let (mut engine, out) = started();
    engine.handle(NOW, Event::Watch(1, Watched::Begun), &mut Vec::new());
    (engine, out)
}

/// An engine that knows two executors from before its start, and what it asks for then: the list, within its part of a spread.
fn started() -> (Engine, Vec<Action>) {
    let settings = Settings {
        nodes: 1,
        operations: vec![operation(Effect::Idempotent), operation(Effect::NonIdempotent)],
        max_forwards: 4,
        cancelling: true,
        probing: true,
        must_ask: true,
        max_pause: 2.0,
        ..Settings::default()
    };
    let known = Some(listing(1, true, (0..2).map(|at| host(at, Standing::Ready)).collect()));
    let setup = Setup { settings, names: names(), seed: 1, timeouts: vec![5.0, 10.0], known, memory: None };
    let mut out = Vec::new();
    let mut engine = Engine::new(NOW - 0.1, setup, &mut out);
    engine.advance(NOW, &mut out);
    (engine, out)
}

fn call(call: &str, class: &str, budget: f64) -> Call {
    let (call, class) = (call.into(), class.to_owned());
    Call {
        call,
        class,
        caller: Some("nobody".into()),
        budget,
        hint: None,
        memory: None,
        key: None,
        again: false,
        came: NOW,
    }
}

/// An invocation whose forwards went to these, and stand so; the decisions have not seen it.
fn with(class: &str, forwards: &[(Tgt, Stage)]) -> Engine {
    let mut engine = engine().0;
    engine.taken(NOW, ID, &call(CALL, class, 5.0), &mut Vec::new());
    let record = engine.book.get(ID).expect("a record");
    let forward = |&(tgt, stage): &(Tgt, Stage)| Forward { tgt, sent: NOW, stage };
    record.forwards = forwards.iter().map(forward).collect();
    engine.route.take();
    engine
}

fn told(engine: &mut Engine, now: f64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    engine.handle(now, event, &mut out);
    out
}

fn answers(out: &[Action]) -> Vec<&Answer> {
    let answer = |action: &Action| matches!(action, Action::Answer { .. });
    out.iter()
        .filter(|a| answer(a))
        .map(|a| if let Action::Answer { answer, .. } = a { answer } else { unreachable!() })
        .collect()
}

fn stages(engine: &mut Engine) -> Option<Vec<Stage>> {
    engine.book.get(ID).map(|record| record.forwards.iter().map(|forward| forward.stage).collect())
}

fn news(from: Tgt, word: Word) -> Event<'static> {
    Event::News(News { call: CALL.into(), from: format!("s-{from}"), word, report: Report::default() })
}

fn done() -> Word {
    Word::Succeeded("r".into())
}

const SENDING: (Tgt, Stage) = (0, Stage::Sending);
const TAKEN: (Tgt, Stage) = (0, Stage::Taken);
const ENDED: (Tgt, Stage) = (0, Stage::Ended);
const RETURNED: (Tgt, Stage) = (0, Stage::Returned);
const FULL: Word = Word::Ended(Outcome::Full);
const FAILED: Word = Word::Ended(Outcome::Errored);

// What executors tell: each word, whether the client is answered then, and how the forwards stand.
#[test_case(&[TAKEN], 0, done(), true, None; "done")]
#[test_case(&[SENDING], 0, done(), true, None; "done before it was said to be taken")]
#[test_case(&[ENDED, (1, Stage::Taken)], 0, done(), true, Some(&[ENDED.1, TAKEN.1]); "done by a lost one")]
#[test_case(&[TAKEN], 1, done(), false, Some(&[TAKEN.1]); "done by one that never had it")]
#[test_case(&[TAKEN], 9, done(), false, Some(&[TAKEN.1]); "done by one that nobody knows")]
#[test_case(&[TAKEN], 0, Word::Alive, false, Some(&[TAKEN.1]); "progress")]
#[test_case(&[SENDING], 0, Word::Alive, false, Some(&[TAKEN.1]); "progress before it was said to be taken")]
#[test_case(&[TAKEN], 0, FAILED, false, Some(&[ENDED.1]); "failed")]
#[test_case(&[TAKEN], 0, FULL, false, Some(&[RETURNED.1]); "given back")]
#[test_case(&[RETURNED, TAKEN], 0, FULL, false, Some(&[RETURNED.1, TAKEN.1]); "given back, told again later")]
#[test_case(&[ENDED, TAKEN], 0, FULL, false, Some(&[ENDED.1, RETURNED.1]); "given back, turned away before")]
fn news_are_booked_once(
    forwards: &[(Tgt, Stage)],
    from: Tgt,
    word: Word,
    answered: bool,
    left: Option<&[Stage]>,
) {
    let mut engine = with("look", forwards);
    let out = told(&mut engine, NOW, news(from, word));
    assert_eq!(!answers(&out).is_empty(), answered);
    assert_eq!(stages(&mut engine).as_deref(), left);
}

#[test]
fn a_result_told_twice_answers_once() {
    let mut engine = with("look", &[TAKEN]);
    let first = told(&mut engine, NOW, news(0, done()));
    let second = told(&mut engine, NOW, news(0, Word::Succeeded("other".into())));
    assert_eq!((answers(&first), answers(&second).len()), (vec![&Answer::Succeeded("r".into())], 0));
    assert_eq!(engine.held(), 0, "the record has ended");
}

#[test_case(Reply::Taken, Stage::Taken; "taken")]
#[test_case(Reply::Ended(Outcome::Reset, Report::default()), Stage::Ended; "broken")]
fn replies_are_booked(reply: Reply, stage: Stage) {
    let mut engine = with("look", &[SENDING]);
    // One that comes late, or for nothing that is held, changes nothing.
    let replies = [(ID, 0, reply.clone()), (ID, 0, Reply::Taken), (ID + 1, 0, reply.clone()), (ID, 5, reply)];
    for (id, forward, reply) in replies {
        told(&mut engine, NOW, Event::Replied(id, forward, reply));
        assert_eq!(stages(&mut engine), Some(vec![stage]));
    }
}

#[test]
fn a_fault_found_with_the_request_is_the_clients_answer() {
    let mut engine = with("look", &[SENDING]);
    let out = told(&mut engine, NOW, Event::Replied(ID, 0, Reply::Unfit(400, Report::default())));
    assert_eq!(answers(&out), [&Answer::Unfit(Unfit::TurnedAway(400))]);
    assert_eq!(engine.held(), 0, "it is not tried elsewhere");
}

#[test_case(&[TAKEN], false; "served")]
#[test_case(&[TAKEN], true; "ended")]
fn a_call_is_not_taken_again(forwards: &[(Tgt, Stage)], ended: bool) {
    let mut engine = with("look", forwards);
    if ended {
        told(&mut engine, NOW, news(0, done()));
    }
    let out = told(&mut engine, NOW, Event::Taken(ID + 1, &call(CALL, "look", 5.0)));
    assert_eq!(answers(&out), [&Answer::Unfit(Unfit::Again)]);
    assert_eq!(engine.held(), usize::from(!ended), "the first one is served on");
}

#[test]
fn the_ids_of_ended_calls_are_bounded() {
    let mut engine = with("look", &[TAKEN]);
    told(&mut engine, NOW, news(0, done()));
    for id in 0..9000 {
        told(&mut engine, NOW, Event::Taken(ID + 2 + id, &call(&id.to_string(), "pay", 5.0)));
        engine.answer(ID + 2 + id, Answer::Errored, &mut Vec::new());
    }
    assert!(!engine.book.knows(CALL) && engine.book.knows("8999"), "the last ones are kept, no more");
}

#[test_case(false; "where executors can be told to stop")]
#[test_case(true; "and where they can't")]
fn nothing_is_sent_for_a_client_that_has_left(deaf: bool) {
    let mut engine = with("pay", &[SENDING]);
    engine.cancelling = !deaf;
    let out = told(&mut engine, NOW, Event::Left(ID));
    assert_eq!((out, engine.held()), (vec![Action::Abort { id: ID, forward: 0 }], 0));
}

#[test]
fn a_client_that_leaves_is_forgotten_once_its_forwards_end() {
    let mut engine = with("look", &[TAKEN]);
    told(&mut engine, NOW, Event::Left(ID));
    assert_eq!(engine.held(), 1, "a forward is still out");
    let mut out = Vec::new();
    engine.withdraw(NOW, ID, 0, &mut out);
    assert_eq!((out, engine.held()), (vec![Action::GiveUp { tgt: 0, call: CALL.into() }], 0));
    assert!(told(&mut engine, NOW, Event::Left(ID)).is_empty());
    assert!(answers(&told(&mut engine, NOW, news(0, done()))).is_empty());
}

#[test]
fn at_a_stop_all_is_answered_in_the_time_that_the_platform_gives() {
    let mut engine = with("pay", &[TAKEN]);
    assert!(answers(&told(&mut engine, NOW, Event::Stop)).is_empty());
    let end = engine.book.get(ID).map(|record| record.end - NOW).expect("a record");
    assert!(end > 1.0 && end < 3.3, "{end}");
    assert_eq!(engine.phase(), Phase::Leaving);
    told(&mut engine, NOW + 1.0, Event::Stop);
    let mut out = Vec::new();
    engine.advance(NOW + end, &mut out);
    assert_eq!(answers(&out), [&Answer::Errored]);
    told(&mut engine, NOW + end, Event::Idle);
    assert_eq!(engine.phase(), Phase::Ended);
}

#[test_case("look", true; "idempotent is refused")]
#[test_case("pay", false; "what may have run is not refused")]
fn every_call_gets_an_answer_in_time(class: &str, refused: bool) {
    let mut engine = engine().0;
    let sent = told(&mut engine, NOW, Event::Taken(ID, &call(CALL, class, 2.0)));
    let send = sent.iter().find(|action| matches!(action, Action::Send { .. }));
    let Some(&Action::Send { forward, end, .. }) = send else { panic!("sent nowhere: {sent:?}") };
    told(&mut engine, NOW, Event::Replied(ID, forward, Reply::Taken));
    let (mut out, mut now) = (Vec::new(), NOW);
    while answers(&out).is_empty() {
        now = engine.next_due().expect("something is due");
        engine.advance(now, &mut out);
    }
    assert!(now <= end + 1e-6 && end < NOW + 2.0, "{}", now - NOW);
    assert_eq!(matches!(answers(&out)[0], Answer::Throttled { .. }), refused);
}

// Executor 0 is gone; another is listed a while later.
#[test_case(10.0, 2; "a number is kept while something may still come")]
#[test_case(700.0, 0; "after that it is another's")]
fn numbers_of_executors_do_not_grow_without_end(since: f64, number: Tgt) {
    let mut engine = engine().0;
    let gone = listing(2, false, vec![host(0, Standing::Gone)]);
    let out = told(&mut engine, NOW, Event::Watch(1, Watched::Listed(gone)));
    assert!(out.contains(&Action::Gone(0)) && engine.fleet().addr(0).is_none());
    let new = listing(3, false, vec![host(9, Standing::Ready)]);
    let out = told(&mut engine, NOW + since, Event::Watch(1, Watched::Listed(new)));
    assert!(out.contains(&Action::At(number, ([127, 0, 0, 1], 9009).into())), "{out:?}");
    assert_eq!((engine.fleet().known("s-9"), engine.fleet().addr(1).is_some()), (Some(number), true));
}

#[test]
fn where_only_a_drain_binds_an_address_outlives_the_list() {
    let names = Names { operations: Vec::new(), tenants: Vec::new(), zones: Vec::new(), kinds: Vec::new() };
    let mut fleet = crate::list::Fleet::new(names, true);
    fleet.listed(NOW, &listing(1, true, vec![host(0, Standing::Ready)]));
    let (_, moves) = fleet.listed(NOW, &listing(2, true, Vec::new()));
    assert!(moves.is_empty() && fleet.addr(0).is_some(), "it may still be sent to");
    fleet.listed(NOW + 700.0, &listing(3, false, Vec::new()));
    assert!(fleet.addr(0).is_none(), "but not for ever");
}

#[test]
fn what_a_whole_list_lacks_is_gone() {
    let mut engine = engine().0;
    let whole = listing(2, true, vec![host(1, Standing::Draining)]);
    let out = told(&mut engine, NOW, Event::Watch(1, Watched::Listed(whole)));
    assert!(out.contains(&Action::Gone(0)) && !out.contains(&Action::Gone(1)), "{out:?}");
    let out = told(&mut engine, NOW, Event::Taken(ID, &call(CALL, "look", 5.0)));
    assert!(!out.iter().any(|action| matches!(action, Action::Send { .. })), "nothing new goes there");
}

// A keeper of the list that forgets everything, at the size that is designed for: one line, and who comes back is known.
#[test]
fn a_list_that_shrinks_to_nothing_ends_no_job() {
    const MANY: usize = 7_800;
    let mut engine = engine().0;
    let whole = |version| listing(version, true, (0..MANY).map(|at| host(at, Standing::Ready)).collect());
    told(&mut engine, NOW, Event::Watch(1, Watched::Listed(whole(2))));
    let sent = told(&mut engine, NOW, Event::Taken(ID, &call(CALL, "pay", 9.0)));
    let send = sent.iter().find(|action| matches!(action, Action::Send { .. }));
    let Some(&Action::Send { forward, tgt, .. }) = send else { panic!("sent nowhere: {sent:?}") };
    told(&mut engine, NOW, Event::Replied(ID, forward, Reply::Taken));
    let line = engine.fleet().empties(&listing(3, true, Vec::new())).expect("a line");
    assert!(line.contains("list 3 is empty, 7800 executors") && !line.contains('\n'), "{line}");
    let out = told(&mut engine, NOW, Event::Watch(1, Watched::Listed(listing(3, true, Vec::new()))));
    assert!(answers(&out).is_empty() && !out.contains(&Action::Abort { id: ID, forward }), "it runs on");
    assert_eq!(engine.fleet().empties(&listing(4, true, Vec::new())), None, "told once");
    let out = told(&mut engine, NOW, Event::Taken(ID + 1, &call("d", "look", 5.0)));
    assert!(!out.iter().any(|action| matches!(action, Action::Send { .. })), "nothing new goes out");
    let out = told(&mut engine, NOW + 1.0, news(tgt, done()));
    assert!(matches!(answers(&out)[..], [Answer::Succeeded(_)]), "{out:?}");
    // All are listed again, under their numbers, and what waited goes out.
    let out = told(&mut engine, NOW + 2.0, Event::Watch(1, Watched::Listed(whole(5))));
    assert_eq!((engine.fleet().listed_now(), engine.fleet().known("s-7799")), (MANY, Some(MANY - 1)));
    assert!(
        out.iter().any(|action| matches!(action, Action::Send { id, .. } if *id == ID + 1)),
        "it waits on"
    );
}

#[test]
fn a_new_configuration_moves_the_watch_and_nothing_else() {
    let mut engine = with("look", &[TAKEN]);
    let out = told(&mut engine, NOW, Event::Reread { tuning: None, moved: true });
    assert_eq!(out, [Action::Follow { watch: 2, version: 0 }]);
    assert_eq!(engine.phase(), Phase::Reloading);
    // What the old service still told comes too late.
    let old = Watched::Listed(listing(9, false, vec![host(9, Standing::Ready)]));
    assert!(told(&mut engine, NOW, Event::Watch(1, old)).is_empty() && engine.fleet().known("s-9").is_none());
    assert!(told(&mut engine, NOW, Event::Watch(1, Watched::Lost(Loss::Closed))).is_empty());
    told(&mut engine, NOW, Event::Watch(2, Watched::Begun));
    assert_eq!((engine.phase(), engine.held()), (Phase::Serving, 1));
}

#[test]
fn a_reload_during_a_stop_changes_nothing() {
    let mut engine = with("look", &[TAKEN]);
    told(&mut engine, NOW, Event::Stop);
    assert!(told(&mut engine, NOW, Event::Reread { tuning: None, moved: true }).is_empty());
    assert_eq!(engine.phase(), Phase::Leaving);
}

#[test]
fn a_list_that_was_lost_is_asked_for_again_and_never_forgotten() {
    let (mut engine, out) = engine();
    assert!(out.contains(&Action::Follow { watch: 1, version: 1 }));
    told(&mut engine, NOW, Event::Watch(1, Watched::Lost(Loss::Closed)));
    let (mut out, mut now) = (Vec::new(), NOW);
    while !out.contains(&Action::Follow { watch: 2, version: 1 }) {
        now = engine.next_due().expect("something is due");
        engine.advance(now, &mut out);
    }
    assert!(now < NOW + 2.0 && engine.fleet().addr(0).is_some(), "{}", now - NOW);
}

/// An engine whose list is pushed, and what it asks for at its start.
fn pushed() -> (Engine, Vec<Action>) {
    let settings =
        Settings { nodes: 1, operations: vec![operation(Effect::Idempotent); 2], ..Settings::default() };
    let known = Some(listing(1, true, vec![host(0, Standing::Ready)]));
    let setup = Setup { settings, names: names(), seed: 1, timeouts: vec![5.0, 10.0], known, memory: None };
    let mut out = Vec::new();
    (Engine::new(NOW, setup, &mut out), out)
}

// Guards against a node that waits for a list that nobody brings: what the agent has counts as told from the first
// moment, and again at once after a watch has ended, however often.
#[test]
fn where_lists_are_pushed_their_keeper_is_followed_at_once_and_again() {
    let (mut engine, out) = pushed();
    assert_eq!(out.iter().filter(|a| **a == Action::Follow { watch: 1, version: 1 }).count(), 1, "{out:?}");
    for watch in 1..9 {
        let now = NOW + watch as f64;
        let lost = told(&mut engine, now, Event::Watch(watch, Watched::Lost(Loss::Closed)));
        assert!(!lost.iter().any(|a| matches!(a, Action::Follow { .. })), "not in the same breath: {lost:?}");
        let mut out = Vec::new();
        engine.advance(now + 0.1, &mut out);
        assert!(out.contains(&Action::Follow { watch: watch + 1, version: 1 }), "{watch}: {out:?}");
    }
}

// A watch ends, the list moves by a new configuration, and only then the old one's repeat is due.
#[test]
fn a_repeat_that_a_move_has_overtaken_does_not_cost_the_new_watch() {
    let mut engine = pushed().0;
    told(&mut engine, NOW, Event::Watch(1, Watched::Lost(Loss::Closed)));
    let out = told(&mut engine, NOW, Event::Reread { tuning: None, moved: true });
    assert_eq!(out, [Action::Follow { watch: 2, version: 0 }]);
    let mut out = Vec::new();
    engine.advance(NOW + 0.2, &mut out);
    assert!(!out.iter().any(|a| matches!(a, Action::Follow { .. })), "{out:?}");
}

// Guards against rule 3: a list that was posted before a drain, and read after the watch has told of it.
#[test_case(true, Standing::Draining; "the watch knows better")]
#[test_case(false, Standing::Ready; "without one it is all there is")]
fn a_push_that_the_watch_has_overtaken_counts_no_more(watched: bool, expected: Standing) {
    let mut engine = pushed().0;
    let told_so = |engine: &mut Engine, watch, version, standing| {
        let list = Watched::Listed(listing(version, true, vec![host(0, standing)]));
        told(engine, NOW, Event::Watch(watch, list));
    };
    if watched {
        told(&mut engine, NOW, Event::Watch(1, Watched::Begun));
    }
    told_so(&mut engine, 1, 5, Standing::Draining);
    told_so(&mut engine, UNASKED, 4, Standing::Ready);
    assert_eq!(engine.fleet().listing(0).hosts[0].standing, expected);
}

#[test_case(&[Step::Idle], Phase::Starting; "nothing to end yet")]
#[test_case(&[Step::Ready, Step::Idle, Step::Quiet], Phase::Serving; "idle is no reason to stop")]
#[test_case(&[Step::Ready, Step::Reread, Step::Reread], Phase::Reloading; "read anew, and again")]
#[test_case(&[Step::Ready, Step::Reread, Step::Followed], Phase::Serving; "and followed")]
#[test_case(&[Step::Reread, Step::Followed], Phase::Starting; "read anew before it began")]
#[test_case(&[Step::Ready, Step::Told, Step::Reread], Phase::Leaving; "read anew during a stop")]
#[test_case(&[Step::Told], Phase::Leaving; "stopped before it began")]
#[test_case(&[Step::Ready, Step::Told, Step::Idle, Step::Told], Phase::Leaving; "the front comes first")]
#[test_case(&[Step::Ready, Step::Told, Step::Quiet, Step::Idle], Phase::Ended; "finished")]
#[test_case(&[Step::Told, Step::Quiet, Step::Ready, Step::Late], Phase::Ended; "out of time")]
fn life_goes_by_its_steps(steps: &[Step], phase: Phase) {
    let step = |phase: Phase, step: &Step| phase.after(*step).unwrap_or(phase);
    assert_eq!(steps.iter().fold(Phase::Starting, step), phase);
}

#[test]
fn timers_come_due_in_order() {
    let mut timers = Timers::new();
    for (second, what) in
        [(2.0, 'c'), (1.0, 'a'), (1.0, 'b'), (9.0, 'd'), (f64::NAN, '!'), (f64::INFINITY, 'e')]
    {
        timers.set(second, what);
    }
    let due: String = std::iter::from_fn(|| timers.pop(2.0)).collect();
    assert_eq!((&*due, timers.next()), ("!abc", Some(9.0)));
}

#[test_case("look", 2.0, 2.0, Ok(0.95); "time that has passed comes off, and the answer's way")]
#[test_case("look", 1e9, 2.0, Ok(3.95); "nobody waits longer than the operation allows")]
#[test_case("read", 2.0, 2.0, Err(Unfit::Operation); "an operation that is not known")]
fn calls_are_admitted(class: &str, budget: f64, now: f64, expected: Result<f64, Unfit>) {
    let odd = Call { came: 1.0, ..call("c", class, budget) };
    let told = admit(7, &odd, &operations(), &names(), now);
    assert_eq!(told.map(|sub| (sub.timeout * 1e3).round() / 1e3), expected);
}

#[test_case(Some(0.5), Some(0.5); "as it came")]
#[test_case(Some(1e15), Some(50.0); "no more than ten timeouts")]
#[test_case(Some(1e-15), Some(1e-4); "nor nothing")]
#[test_case(Some(-1.0), None; "nor less")]
#[test_case(Some(f64::NAN), None; "no number")]
fn hints_are_kept_sane(came: Option<f64>, expected: Option<f64>) {
    let odd = Call { hint: came, ..call("c", "look", 2.0) };
    assert_eq!(admit(7, &odd, &operations(), &names(), NOW).map(|sub| sub.hint), Ok(expected));
}

fn tuning(names: &[&str], entries: &[Operation], timeouts: &[f64], max_forwards: usize) -> Box<Tuning> {
    let settings = Settings { nodes: 1, operations: entries.to_vec(), max_forwards, ..Settings::default() };
    let settings = Settings { cancelling: true, probing: true, must_ask: true, ..settings };
    let operations = names.iter().map(|name| (*name).to_owned()).collect();
    let names = Names { operations, zones: vec![String::new()], ..Names::default() };
    Box::new(Tuning { settings, names, timeouts: timeouts.to_vec() })
}

fn retuned(engine: &mut Engine, now: f64, tuning: Box<Tuning>) -> Vec<Action> {
    told(engine, now, Event::Reread { tuning: Some(tuning), moved: false })
}

// Guards against a job that gets another effect, deadline or index under way than it was taken with.
#[test]
fn jobs_under_way_keep_their_operation_and_new_ones_get_the_new_settings() {
    let mut engine = engine().0;
    told(&mut engine, NOW, Event::Taken(1, &call("a", "look", 5.0)));
    let strict = [operation(Effect::NonIdempotent), operation(Effect::NonIdempotent)];
    let out = retuned(&mut engine, NOW, tuning(&["pay", "look"], &strict, &[10.0, 3.0], 4));
    assert!(out.is_empty() && engine.phase() == Phase::Serving, "nothing moves: {out:?}");
    told(&mut engine, NOW, Event::Taken(2, &call("b", "look", 5.0)));
    let ends: Vec<f64> =
        [1, 2].map(|id| engine.book.get(id).expect("a record").end - NOW).map(|s| (s * 100.0).round()).into();
    assert_eq!(ends, [495.0, 295.0], "each by the client timeout that it came under");
    let set = engine.decisions().settings();
    let effects: Vec<Effect> = set.operations.iter().map(|op| op.effect).collect();
    assert_eq!(effects, [Effect::Idempotent, Effect::NonIdempotent, Effect::NonIdempotent]);
}

#[test]
fn fewer_forwards_bind_jobs_under_way() {
    let mut engine = engine().0;
    let (entries, now) = ([operation(Effect::Idempotent), operation(Effect::NonIdempotent)], NOW + 0.01);
    let out = told(&mut engine, NOW, Event::Taken(1, &call("a", "look", 5.0)));
    assert!(out.iter().any(|action| matches!(action, Action::Send { id: 1, forward: 0, .. })), "{out:?}");
    retuned(&mut engine, now, tuning(&["look", "pay"], &entries, &[5.0, 10.0], 1));
    let ended = Reply::Ended(Outcome::Unreachable, Report::default());
    let out = told(&mut engine, now, Event::Replied(1, 0, ended));
    assert!(matches!(answers(&out)[..], [Answer::Throttled { .. }]), "none is left: {out:?}");
}

// Who was told to come back may, for as long as a client waits; after that the name stands for nothing. Its figures
// stay.
#[test_case(4.0, true; "served while who was throttled comes again")]
#[test_case(5.5, false; "unknown from then on")]
fn an_operation_that_vanishes_is_served_out(after: f64, served: bool) {
    let mut engine = engine().0;
    retuned(&mut engine, NOW, tuning(&["pay"], &[operation(Effect::NonIdempotent)], &[10.0], 4));
    let late = Call { came: NOW + after, ..call("a", "look", 5.0) };
    let out = told(&mut engine, NOW + after, Event::Taken(1, &late));
    let unknown = Answer::Unfit(Unfit::Operation);
    assert_eq!(!answers(&out).contains(&&unknown), served, "{out:?}");
    let look = engine.figures(NOW).operations.into_iter().find(|op| &*op.0 == "look").expect("its figures");
    assert_eq!(look.1.errored, u64::from(!served));
}

#[test]
fn a_thousand_reloads_hold_the_entries_level() {
    let mut engine = engine().0;
    told(&mut engine, NOW, Event::Taken(1, &call("a", "look", 5.0)));
    for round in 0..1000 {
        let entry = Operation { value: f64::from(round), ..operation(Effect::Idempotent) };
        let entries = [entry, operation(Effect::NonIdempotent)];
        let now = NOW + f64::from(round);
        retuned(&mut engine, now, tuning(&["look", "pay"], &entries, &[5.0, 10.0], 4));
    }
    let many = engine.decisions().settings().operations.len();
    assert!(many <= 5, "{many} entries");
}

#[test]
fn zones_and_kinds_keep_their_numbers_whatever_the_order_of_the_new_names() {
    let mut fleet = crate::list::Fleet::new(Names { zones: vec!["a".into(), "b".into()], ..names() }, false);
    let (entry, _) = fleet.listed(NOW, &listing(1, true, vec![host(0, Standing::Ready)]));
    let kind = Operation { kind: Some(1), ..operation(Effect::Idempotent) };
    let none = Operation { kind: Some(7), ..operation(Effect::Idempotent) };
    let mut set = Settings { zone: 0, operations: vec![kind, none], ..Settings::default() };
    let (zones, kinds) = (vec!["b".to_owned(), "a".to_owned()], vec!["x".to_owned(), String::new()]);
    fleet.adopt(Names { zones, kinds, ..Names::default() }, &mut set);
    assert_eq!((set.zone, set.operations[0].kind), (1, Some(entry[0].kind)), "by name");
    assert_eq!(set.operations[1].kind, Some(usize::MAX), "a kind that is not named is nobody's");
}

#[test]
fn each_job_is_counted_once_where_it_gets_its_answer() {
    let mut engine = with("look", &[TAKEN]);
    told(&mut engine, NOW, Event::Taken(8, &call("left", "pay", 5.0)));
    assert_eq!(engine.figures(NOW).outstanding, 2);
    told(&mut engine, NOW, news(0, done()));
    told(&mut engine, NOW, news(0, done()));
    told(&mut engine, NOW, Event::Left(8));
    told(&mut engine, NOW, Event::Taken(9, &call(CALL, "look", 5.0)));
    told(&mut engine, NOW, Event::Taken(10, &call("x", "made-up", 5.0)));
    told(&mut engine, NOW, Event::Ended("pay", Verdict::Throttled));
    told(&mut engine, NOW, Event::Replied(ID, 0, Reply::Written));
    told(&mut engine, NOW, Event::NotReread);
    let figures = engine.figures(NOW);
    let tallies: Vec<(&str, Tally)> = figures.operations.iter().map(|op| (&*op.0, op.1)).collect();
    let look = Tally { succeeded: 1, throttled: 0, errored: 1 };
    assert_eq!(tallies, [("look", look), ("pay", Tally { throttled: 1, ..Tally::default() })]);
    assert_eq!((figures.outstanding, figures.forwards, figures.listed), (0, 1, 2));
    assert_eq!((figures.applied, figures.rejected), (0, 1));
}

#[test]
fn who_is_avoided_is_who_the_draw_leaves_out() {
    let mut engine = engine().0;
    assert_eq!(engine.figures(NOW).avoided, 0);
    for _ in 0..2 {
        told(&mut engine, NOW, Event::Probed(1, Outcome::Unreachable, Report::default()));
        told(&mut engine, NOW, Event::Probed(1, Outcome::Unreachable, Report::default()));
    }
    let drained = listing(2, false, vec![host(1, Standing::Draining)]);
    assert_eq!(engine.figures(NOW).avoided, 1);
    told(&mut engine, NOW, Event::Watch(1, Watched::Listed(drained)));
    let figures = engine.figures(NOW);
    assert_eq!((figures.avoided, figures.listed), (0, 2), "a drain is the list's doing");
}

/// What another process of the node begins with.
fn successor(old: &Engine) -> Engine {
    let operations = vec![operation(Effect::Idempotent), operation(Effect::NonIdempotent)];
    let settings = Settings { nodes: 1, operations, max_forwards: 4, ..Settings::default() };
    let (names, memory) = (names(), Some(old.memory()));
    let setup = Setup { settings, names, seed: 2, timeouts: vec![5.0, 10.0], known: None, memory };
    Engine::new(NOW, setup, &mut Vec::new())
}

#[test]
fn a_successor_begins_with_the_list_and_what_was_learnt() {
    let mut old = engine().0;
    for _ in 0..4 {
        told(&mut old, NOW, Event::Probed(1, Outcome::Unreachable, Report::default()));
    }
    let drained = listing(5, false, vec![host(0, Standing::Draining)]);
    told(&mut old, NOW, Event::Watch(1, Watched::Listed(drained)));
    let mut new = successor(&old);
    assert_eq!((new.phase(), new.figures(NOW).listed, new.figures(NOW).avoided), (Phase::Serving, 2, 1));
    let out = told(&mut new, NOW, Event::Taken(1, &call("a", "look", 5.0)));
    assert!(!out.iter().any(|action| matches!(action, Action::Send { tgt: 0, .. })), "it drains: {out:?}");
}

#[test]
fn a_call_that_the_process_before_serves_is_not_taken_again() {
    let mut old = engine().0;
    told(&mut old, NOW, Event::Taken(1, &call("a", "look", 5.0)));
    let mut new = successor(&old);
    let out = told(&mut new, NOW, Event::Taken(1, &call("a", "look", 5.0)));
    assert_eq!(answers(&out), [&Answer::Unfit(Unfit::Again)]);
    assert!(!new.knows("a"), "what executors tell of it is passed on");
}

// A job goes on where it stands; the old process neither answers it nor has executors stop.
#[test]
fn a_job_goes_on_in_the_next_process() {
    let mut old = engine().0;
    let out = told(&mut old, NOW, Event::Taken(1, &call("a", "pay", 9.0)));
    let sent = |out: &[Action]| {
        out.iter().find_map(|a| if let Action::Send { tgt, .. } = a { Some(*tgt) } else { None })
    };
    let tgt = sent(&out).expect("a forward");
    let mut new = successor(&old);
    assert!(old.part_with(1).is_none(), "its connection to the executor is still in use here");
    told(&mut old, NOW, Event::Replied(1, 0, Reply::Taken));
    let parcel = old.part_with(1).expect("a parcel");
    assert!(parcel.travels() && !old.knows("a") && old.held() == 0);
    let mut out = Vec::new();
    old.advance(NOW + 20.0, &mut out);
    assert!(answers(&out).is_empty() && !out.iter().any(|a| matches!(a, Action::GiveUp { .. })), "{out:?}");
    let mut out = Vec::new();
    new.take_in(NOW, 7, parcel, &mut out);
    assert!(new.knows("a") && sent(&out).is_none(), "it is out: {out:?}");
    let done = News { call: "a".into(), from: format!("s-{tgt}"), word: done(), report: Report::default() };
    let out = told(&mut new, NOW + 1.0, Event::News(done));
    assert_eq!(answers(&out), [&Answer::Succeeded("r".into())]);
    let pay = new.figures(NOW).operations.into_iter().find(|op| &*op.0 == "pay").expect("figures");
    assert_eq!((pay.1.succeeded, new.held()), (1, 0));
}

// Guards against a job that runs twice, or gets another deadline, because the next process has other settings.
#[test]
fn a_job_that_moves_keeps_its_operation() {
    let mut old = engine().0;
    told(&mut old, NOW, Event::Taken(1, &call("a", "pay", 9.0)));
    told(&mut old, NOW, Event::Replied(1, 0, Reply::Taken));
    let mut new = successor(&old);
    let free = [operation(Effect::Idempotent), operation(Effect::Idempotent)];
    retuned(&mut new, NOW, tuning(&["look", "pay"], &free, &[5.0, 3.0], 4));
    let parcel = old.part_with(1).expect("a parcel");
    new.take_in(NOW, 7, parcel, &mut Vec::new());
    let reset = Reply::Ended(Outcome::Reset, Report::default());
    let out = told(&mut new, NOW + 5.0, Event::Replied(7, 0, reset));
    assert_eq!(answers(&out), [&Answer::Errored], "it may have run, and may not run again");
}

#[test]
fn what_cold_executors_can_stand_is_parted() {
    let mut engine = engine().0;
    let factor = |engine: &Engine| engine.decisions().settings().cold.factor;
    let mut with = tuning(&["look"], &[operation(Effect::Idempotent)], &[5.0], 4);
    with.settings.cold.factor = 4.0;
    told(&mut engine, NOW, Event::Part(0.25));
    retuned(&mut engine, NOW, with);
    assert_eq!(factor(&engine), 1.0, "also of new settings");
    told(&mut engine, NOW, Event::Part(1.0));
    assert_eq!(factor(&engine), 4.0);
}

#[test]
fn two_processes_of_a_node_have_one_budget_of_forwards() {
    let budgeted = |old: Option<&Engine>| {
        let mut with = tuning(&["look"], &[operation(Effect::Idempotent)], &[5.0], 4);
        with.settings.budget = Some(Budget { floor: 2.0, share: 0.5, span: 5.0 });
        let mut engine = old.map_or_else(|| engine().0, successor);
        retuned(&mut engine, NOW, with);
        engine
    };
    let left = |engine: &Engine| engine.decisions().settings().budget.map(|b| (b.floor, b.share));
    let mut old = budgeted(None);
    let out = told(&mut old, NOW, Event::Taken(1, &call("a", "look", 5.0)));
    assert!(out.iter().any(|action| matches!(action, Action::Send { .. })));
    told(&mut old, NOW, Event::Replied(1, 0, Reply::Ended(Outcome::Full, Report::default())));
    assert!(old.memory().further.len() <= 1 && old.memory().taken.len() == 1);
    let new = budgeted(Some(&old));
    assert_eq!((new.memory().taken, new.memory().further), (old.memory().taken, old.memory().further));
    told(&mut old, NOW, Event::Part(0.25));
    assert_eq!((left(&old), left(&new)), (Some((0.0, 0.0)), Some((2.0, 0.5))));
    told(&mut old, NOW, Event::Part(1.0));
    assert_eq!(left(&old), Some((2.0, 0.5)), "alone again");
}

/// Sends whatever is submitted to both executors at once, and lets the answers be.
struct Doubler;

impl Decide for Doubler {
    fn handle(&mut self, _: f64, input: Input, out: &mut Vec<Output>) {
        if let Input::Submitted(sub) = input {
            out.extend([0, 1].map(|tgt| Output::Forward { id: sub.id, tgt }));
        }
    }

    fn adopt(&mut self, _: Settings, _: &[Moved], _: &[Option<usize>]) {}

    fn has(&self, _: usize) -> bool {
        false
    }

    fn avoided(&self, _: f64) -> usize {
        0
    }

    fn share(&mut self, _: f64, _: Option<Budget>) {}
}

// Where a second copy is out, the first answer is the only one, whichever forward it is of.
#[test_case(0, 1; "the first forward's")]
#[test_case(1, 0; "the copy's")]
fn of_two_that_are_out_the_first_answer_counts(first: usize, second: usize) {
    let settings =
        Settings { nodes: 1, operations: vec![operation(Effect::Idempotent)], ..Settings::default() };
    let known = Some(listing(1, true, (0..2).map(|at| host(at, Standing::Ready)).collect()));
    let setup = Setup { settings, names: names(), seed: 1, timeouts: vec![5.0], known, memory: None };
    let mut engine = Engine::deciding(NOW, Doubler, setup, &mut Vec::new());
    let mut told = |now, event: Event| {
        let mut out = Vec::new();
        engine.handle(now, event, &mut out);
        out
    };
    let taken = call("a", "look", 5.0);
    let sent = told(NOW, Event::Taken(1, &taken));
    assert_eq!(sent.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 2);
    told(NOW, Event::Replied(1, 0, Reply::Taken));
    told(NOW, Event::Replied(1, 1, Reply::Taken));
    let done = |forward| Event::Replied(1, forward, Reply::Succeeded(Bytes::new(), Report::default()));
    assert_eq!(answers(&told(NOW + 1.0, done(first))).len(), 1);
    assert!(answers(&told(NOW + 1.1, done(second))).is_empty(), "one final answer");
    assert_eq!(engine.held(), 0);
}

#[test]
fn a_stop_does_not_shorten_what_a_job_has_in_the_next_process() {
    let mut old = engine().0;
    told(&mut old, NOW, Event::Taken(1, &call("a", "pay", 9.0)));
    told(&mut old, NOW, Event::Stop);
    told(&mut old, NOW, Event::Replied(1, 0, Reply::Taken));
    let parcel = old.part_with(1).expect("a parcel");
    assert!(parcel.end > NOW + 8.0 && parcel.inv.end == parcel.end, "{} {}", parcel.end, parcel.inv.end);
}
