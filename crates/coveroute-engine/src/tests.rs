//! Tests of the engine: for a given event, the resulting actions and the state of the records, without sockets or clock.
use bytes::Bytes;
use coveroute::reconfigure::OperationMapping;
use coveroute::types::*;
use coveroute_shared::Names;
use test_case::test_case;

use crate::admit::admit;
use crate::operations::Operations;
use crate::records::Forward;
use crate::timers::Timers;
use crate::*;

const ID: InvocationId = 7;
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

/// An engine with an established watch on a list of two executors, and its actions at the start.
fn engine() -> (Engine, Vec<Action>) {
    let (mut engine, out) = started();
    engine.handle(NOW, Event::Watch(1, WatchEvent::Established), &mut Vec::new());
    (engine, out)
}

/// An engine that starts with a stored list of two executors, and its actions at the start. It requests the list within
/// its slot of the spread over all nodes.
fn started() -> (Engine, Vec<Action>) {
    let settings = Settings {
        nodes: 1,
        operations: vec![operation(Effect::Idempotent), operation(Effect::NonIdempotent)],
        max_forwards: 4,
        cancelling: true,
        probing: true,
        polls_list: true,
        max_pause: 2.0,
        ..Settings::default()
    };
    let known = Some(listing(1, true, (0..2).map(|at| host(at, Standing::Ready)).collect()));
    let setup =
        Setup { settings, names: names(), seed: 1, timeouts: vec![5.0, 10.0], known, previous_state: None };
    let mut out = Vec::new();
    let mut engine = Engine::new(NOW - 0.1, setup, &mut out);
    engine.advance(NOW, &mut out);
    (engine, out)
}

fn call(call: &str, class: &str, budget: f64) -> Call {
    let (call, class) = (call.into(), class.to_owned());
    Call {
        call_id: call,
        class,
        caller: Some("nobody".into()),
        budget,
        hint: None,
        memory: None,
        key: None,
        is_retry: false,
        received_at: NOW,
    }
}

/// An engine with one invocation whose forwards have these executors and stages; the decisions do not know them.
fn with_forwards(class: &str, forwards: &[(ExecutorIndex, Stage)]) -> Engine {
    let mut engine = engine().0;
    engine.accept_call(NOW, ID, &call(CALL, class, 5.0), &mut Vec::new());
    let record = engine.records.get(ID).expect("a record");
    let forward = |&(executor_index, stage): &(ExecutorIndex, Stage)| Forward {
        executor_index,
        sent: NOW,
        stage,
        may_be_running: false,
    };
    record.forwards = forwards.iter().map(forward).collect();
    engine.queue.drain();
    engine
}

fn handle(engine: &mut Engine, now: f64, event: Event) -> Vec<Action> {
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
    engine.records.get(ID).map(|record| record.forwards.iter().map(|forward| forward.stage).collect())
}

fn report(from: ExecutorIndex, status: JobStatus) -> Event<'static> {
    Event::JobReport(JobReport {
        call: CALL.into(),
        from: format!("s-{from}"),
        status,
        report: Report::default(),
    })
}

fn done() -> JobStatus {
    JobStatus::Succeeded("r".into())
}

const SENDING: (ExecutorIndex, Stage) = (0, Stage::Sending);
const TAKEN: (ExecutorIndex, Stage) = (0, Stage::Taken);
const ENDED: (ExecutorIndex, Stage) = (0, Stage::Ended);
const RETURNED: (ExecutorIndex, Stage) = (0, Stage::Returned);
const FULL: JobStatus = JobStatus::Ended(Outcome::Full);
const FAILED: JobStatus = JobStatus::Ended(Outcome::Errored);

// Each kind of report, whether it answers the client, and the stages of the forwards afterwards.
#[test_case(&[TAKEN], 0, done(), true, None; "done")]
#[test_case(&[SENDING], 0, done(), true, None; "done before the acknowledgement")]
#[test_case(&[ENDED, (1, Stage::Taken)], 0, done(), true, Some(&[ENDED.1, TAKEN.1]); "done by a forward that had ended")]
#[test_case(&[TAKEN], 1, done(), false, Some(&[TAKEN.1]); "done by an executor without a forward")]
#[test_case(&[TAKEN], 9, done(), false, Some(&[TAKEN.1]); "done by an unknown executor")]
#[test_case(&[TAKEN], 0, JobStatus::Running, false, Some(&[TAKEN.1]); "progress")]
#[test_case(&[SENDING], 0, JobStatus::Running, false, Some(&[TAKEN.1]); "progress before the acknowledgement")]
#[test_case(&[TAKEN], 0, FAILED, false, Some(&[ENDED.1]); "failed")]
#[test_case(&[TAKEN], 0, FULL, false, Some(&[RETURNED.1]); "returned")]
#[test_case(&[RETURNED, TAKEN], 0, FULL, false, Some(&[RETURNED.1, TAKEN.1]); "returned, reported again later")]
#[test_case(&[ENDED, TAKEN], 0, FULL, false, Some(&[ENDED.1, RETURNED.1]); "returned, rejected before")]
fn reports_are_applied_once(
    forwards: &[(ExecutorIndex, Stage)],
    from: ExecutorIndex,
    status: JobStatus,
    answered: bool,
    left: Option<&[Stage]>,
) {
    let mut engine = with_forwards("look", forwards);
    let out = handle(&mut engine, NOW, report(from, status));
    assert_eq!(!answers(&out).is_empty(), answered);
    assert_eq!(stages(&mut engine).as_deref(), left);
}

#[test]
fn a_repeated_result_answers_once() {
    let mut engine = with_forwards("look", &[TAKEN]);
    let first = handle(&mut engine, NOW, report(0, done()));
    let second = handle(&mut engine, NOW, report(0, JobStatus::Succeeded("other".into())));
    assert_eq!((answers(&first), answers(&second).len()), (vec![&Answer::Succeeded("r".into())], 0));
    assert_eq!(engine.held(), 0, "the record has ended");
}

#[test_case(Reply::Taken, Stage::Taken; "taken")]
#[test_case(Reply::Ended(Outcome::Reset, Report::default()), Stage::Ended; "broken")]
fn replies_are_recorded(reply: Reply, stage: Stage) {
    let mut engine = with_forwards("look", &[SENDING]);
    // A late reply, or one without a record or forward, changes nothing.
    let replies = [(ID, 0, reply.clone()), (ID, 0, Reply::Taken), (ID + 1, 0, reply.clone()), (ID, 5, reply)];
    for (id, forward, reply) in replies {
        handle(&mut engine, NOW, Event::Replied(id, forward, reply));
        assert_eq!(stages(&mut engine), Some(vec![stage]));
    }
}

#[test]
fn a_rejection_as_invalid_is_passed_to_the_client() {
    let mut engine = with_forwards("look", &[SENDING]);
    let out = handle(&mut engine, NOW, Event::Replied(ID, 0, Reply::Rejected(400, Report::default())));
    assert_eq!(answers(&out), [&Answer::Rejected(Rejection::RejectedByExecutor(400))]);
    assert_eq!(engine.held(), 0, "it is not tried elsewhere");
}

#[test_case(&[TAKEN], false; "served")]
#[test_case(&[TAKEN], true; "ended")]
fn a_call_is_not_taken_again(forwards: &[(ExecutorIndex, Stage)], ended: bool) {
    let mut engine = with_forwards("look", forwards);
    if ended {
        handle(&mut engine, NOW, report(0, done()));
    }
    let out = handle(&mut engine, NOW, Event::CallReceived(ID + 1, &call(CALL, "look", 5.0)));
    assert_eq!(answers(&out), [&Answer::Rejected(Rejection::DuplicateCall)]);
    assert_eq!(engine.held(), usize::from(!ended), "the first one continues");
}

// Guards against a call that runs twice: requests that were refused at once displaced it from the remembered ones.
#[test_case(true, false; "calls with forwards displace earlier ones")]
#[test_case(false, true; "calls without a forward displace only their like")]
fn the_ids_of_ended_calls_are_bounded(forwarded: bool, first_is_known: bool) {
    let mut engine = with_forwards("look", &[TAKEN]);
    handle(&mut engine, NOW, report(0, done()));
    for id in 0..9000 {
        handle(&mut engine, NOW, Event::CallReceived(ID + 2 + id, &call(&id.to_string(), "pay", 5.0)));
        let record = engine.records.get(ID + 2 + id).expect("a record");
        record.forwards.clear();
        if forwarded {
            let stage = Stage::Ended;
            record.forwards.push(Forward { executor_index: 0, sent: NOW, stage, may_be_running: false });
        }
        engine.answer(ID + 2 + id, Answer::Errored, &mut Vec::new());
    }
    assert_eq!(engine.records.knows(CALL), first_is_known);
    assert!(engine.records.knows("8999") && !engine.records.knows("0"), "only the latest ones are kept");
}

// Guards against memory that grows with the requests that are refused at once: each left the timer of its deadline.
#[test]
fn an_ended_call_leaves_no_timer() {
    let mut engine = engine().0;
    let before = engine.timers.len();
    for id in 0..1000 {
        handle(&mut engine, NOW, Event::CallReceived(ID + id, &call(&id.to_string(), "pay", 5.0)));
        engine.answer(ID + id, Answer::Throttled { pause: 0.0 }, &mut Vec::new());
        handle(&mut engine, NOW, Event::ClientDisconnected(ID + id));
        let open = engine.records.get(ID + id).map_or(0, |record| record.forwards.len());
        for forward in 0..open {
            engine.withdraw(NOW, ID + id, forward, &mut Vec::new());
        }
    }
    assert_eq!(engine.held(), 0);
    assert!(engine.timers.len() <= before + 2, "{} timers, {before} before", engine.timers.len());
}

#[test_case(false; "with cancelling")]
#[test_case(true; "without cancelling")]
fn nothing_is_sent_for_a_client_that_has_left(no_cancelling: bool) {
    let mut engine = with_forwards("pay", &[SENDING]);
    engine.cancelling = !no_cancelling;
    let out = handle(&mut engine, NOW, Event::ClientDisconnected(ID));
    let abort = Action::Abort { id: ID, forward: 0, cancel: !no_cancelling };
    assert_eq!((out, engine.held()), (vec![abort], 0));
}

// Guards against a second copy of a job whose first forward ended for this node alone: its connection broke, or nothing
// came back, and the executor may still run it.
#[test_case(Outcome::Reset, false, true, true; "its connection broke")]
#[test_case(Outcome::TimedOut, false, true, true; "nothing came back")]
#[test_case(Outcome::Errored, false, true, false; "the executor has answered")]
#[test_case(Outcome::Full, false, true, false; "it was handed back")]
#[test_case(Outcome::Reset, true, true, false; "second copies are allowed")]
#[test_case(Outcome::Reset, false, false, false; "jobs can't be cancelled")]
fn an_earlier_forward_that_may_run_is_cancelled_before_the_next(
    outcome: Outcome,
    second_copies: bool,
    cancelling: bool,
    cancelled: bool,
) {
    let mut engine = with_forwards("look", &[SENDING]);
    (engine.second_copies, engine.cancelling) = (second_copies, cancelling);
    engine.settle_forward(NOW, ID, 0, outcome, Report::default());
    for expected in [cancelled, false] {
        let mut out = Vec::new();
        engine.forward(NOW, ID, 1, &mut out);
        let cancel = Action::Cancel { executor_index: 0, call: CALL.into() };
        assert_eq!(out.iter().position(|action| *action == cancel), expected.then_some(0), "{out:?}");
        assert!(matches!(out.last(), Some(Action::Send { executor_index: 1, .. })), "{out:?}");
    }
}

#[test]
fn the_record_of_a_client_that_has_left_is_removed_once_its_forwards_end() {
    let mut engine = with_forwards("look", &[TAKEN]);
    handle(&mut engine, NOW, Event::ClientDisconnected(ID));
    assert_eq!(engine.held(), 1, "a forward is still open");
    let mut out = Vec::new();
    engine.withdraw(NOW, ID, 0, &mut out);
    assert_eq!((out, engine.held()), (vec![Action::Cancel { executor_index: 0, call: CALL.into() }], 0));
    assert!(handle(&mut engine, NOW, Event::ClientDisconnected(ID)).is_empty());
    assert!(answers(&handle(&mut engine, NOW, report(0, done()))).is_empty());
}

#[test]
fn a_stopping_node_answers_within_the_time_that_the_platform_allows() {
    let mut engine = with_forwards("pay", &[TAKEN]);
    assert!(answers(&handle(&mut engine, NOW, Event::Stop)).is_empty());
    let end = engine.records.get(ID).map(|record| record.end - NOW).expect("a record");
    assert!(end > 1.0 && end < 3.3, "{end}");
    assert_eq!(engine.phase(), Phase::Leaving);
    handle(&mut engine, NOW + 1.0, Event::Stop);
    let mut out = Vec::new();
    engine.advance(NOW + end, &mut out);
    assert_eq!(answers(&out), [&Answer::Errored]);
    handle(&mut engine, NOW + end, Event::Idle);
    assert_eq!(engine.phase(), Phase::Ended);
}

#[test_case("look", true; "an idempotent call is refused")]
#[test_case("pay", false; "a call that may have run is not refused")]
fn every_call_gets_an_answer_in_time(class: &str, refused: bool) {
    let mut engine = engine().0;
    let sent = handle(&mut engine, NOW, Event::CallReceived(ID, &call(CALL, class, 2.0)));
    let send = sent.iter().find(|action| matches!(action, Action::Send { .. }));
    let Some(&Action::Send { forward, end, .. }) = send else { panic!("not sent: {sent:?}") };
    handle(&mut engine, NOW, Event::Replied(ID, forward, Reply::Taken));
    let (mut out, mut now) = (Vec::new(), NOW);
    while answers(&out).is_empty() {
        now = engine.next_due().expect("something is due");
        engine.advance(now, &mut out);
    }
    assert!(now <= end + 1e-6 && end < NOW + 2.0, "{}", now - NOW);
    assert_eq!(matches!(answers(&out)[0], Answer::Throttled { .. }), refused);
}

// Executor 0 is removed, and another one is listed some time later.
#[test_case(10.0, 2; "the number is kept while messages may still arrive")]
#[test_case(700.0, 0; "the number is reused after that")]
fn numbers_of_removed_executors_are_reused(since: f64, number: ExecutorIndex) {
    let mut engine = engine().0;
    let gone = listing(2, false, vec![host(0, Standing::Gone)]);
    let out = handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Listed(gone)));
    assert!(out.contains(&Action::RemoveExecutor(0)) && engine.fleet().addr(0).is_none());
    let new = listing(3, false, vec![host(9, Standing::Ready)]);
    let out = handle(&mut engine, NOW + since, Event::Watch(1, WatchEvent::Listed(new)));
    assert!(out.contains(&Action::SetAddress(number, ([127, 0, 0, 1], 9009).into())), "{out:?}");
    assert_eq!((engine.fleet().known("s-9"), engine.fleet().addr(1).is_some()), (Some(number), true));
}

#[test]
fn with_only_draining_an_address_outlives_its_list_entry() {
    let names = Names { operations: Vec::new(), tenants: Vec::new(), zones: Vec::new(), kinds: Vec::new() };
    let mut fleet = crate::list::Fleet::new(names, true);
    fleet.apply(NOW, &listing(1, true, vec![host(0, Standing::Ready)]));
    let (_, changes) = fleet.apply(NOW, &listing(2, true, Vec::new()));
    assert!(changes.is_empty() && fleet.addr(0).is_some(), "it may still be sent to");
    fleet.apply(NOW + 700.0, &listing(3, false, Vec::new()));
    assert!(fleet.addr(0).is_none(), "but not forever");
}

#[test]
fn executors_missing_from_a_whole_list_are_removed() {
    let mut engine = engine().0;
    let whole = listing(2, true, vec![host(1, Standing::Draining)]);
    let out = handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Listed(whole)));
    assert!(out.contains(&Action::RemoveExecutor(0)) && !out.contains(&Action::RemoveExecutor(1)), "{out:?}");
    let out = handle(&mut engine, NOW, Event::CallReceived(ID, &call(CALL, "look", 5.0)));
    assert!(!out.iter().any(|action| matches!(action, Action::Send { .. })), "no new job is sent there");
}

// Discovery loses its data at the largest supported size: the node logs one line, running jobs continue, and
// executors that are listed again keep their numbers.
#[test]
fn an_emptied_list_ends_no_job() {
    const MANY: usize = 7_800;
    let mut engine = engine().0;
    let whole = |version| listing(version, true, (0..MANY).map(|at| host(at, Standing::Ready)).collect());
    handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Listed(whole(2))));
    let sent = handle(&mut engine, NOW, Event::CallReceived(ID, &call(CALL, "pay", 9.0)));
    let send = sent.iter().find(|action| matches!(action, Action::Send { .. }));
    let Some(&Action::Send { forward, executor_index, .. }) = send else { panic!("not sent: {sent:?}") };
    handle(&mut engine, NOW, Event::Replied(ID, forward, Reply::Taken));
    let line = engine.fleet().emptied_warning(&listing(3, true, Vec::new())).expect("a line");
    assert!(line.contains("list 3 is empty, 7800 executors") && !line.contains('\n'), "{line}");
    let out = handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Listed(listing(3, true, Vec::new()))));
    assert!(
        answers(&out).is_empty() && !out.iter().any(|action| matches!(action, Action::Abort { .. })),
        "it keeps running"
    );
    assert_eq!(engine.fleet().emptied_warning(&listing(4, true, Vec::new())), None, "warned once");
    let out = handle(&mut engine, NOW, Event::CallReceived(ID + 1, &call("d", "look", 5.0)));
    assert!(!out.iter().any(|action| matches!(action, Action::Send { .. })), "no new job is sent");
    let out = handle(&mut engine, NOW + 1.0, report(executor_index, done()));
    assert!(matches!(answers(&out)[..], [Answer::Succeeded(_)]), "{out:?}");
    // All are listed again under their old numbers, and the waiting job is sent.
    let out = handle(&mut engine, NOW + 2.0, Event::Watch(1, WatchEvent::Listed(whole(5))));
    assert_eq!((engine.fleet().listed_count(), engine.fleet().known("s-7799")), (MANY, Some(MANY - 1)));
    assert!(
        out.iter().any(|action| matches!(action, Action::Send { id, .. } if *id == ID + 1)),
        "the waiting job is sent"
    );
}

#[test]
fn a_new_list_source_restarts_the_watch_and_keeps_jobs() {
    let mut engine = with_forwards("look", &[TAKEN]);
    let out = handle(&mut engine, NOW, Event::Reloaded { settings: None, list_source_changed: true });
    assert_eq!(out, [Action::WatchList { watch: 2, version: 0 }]);
    assert_eq!(engine.phase(), Phase::Reloading);
    // Events of the old service's watch are ignored.
    let old = WatchEvent::Listed(listing(9, false, vec![host(9, Standing::Ready)]));
    assert!(
        handle(&mut engine, NOW, Event::Watch(1, old)).is_empty() && engine.fleet().known("s-9").is_none()
    );
    assert!(handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Lost(Loss::Closed))).is_empty());
    handle(&mut engine, NOW, Event::Watch(2, WatchEvent::Established));
    assert_eq!((engine.phase(), engine.held()), (Phase::Serving, 1));
}

// Guards against jobs sent by an old list: what the service of a new configuration has counts as known after four seconds.
#[test_case(3.3, true; "before the old list expires")]
#[test_case(3.7, false; "after it has expired")]
fn an_old_list_is_used_for_a_short_time_after_a_reload(after: f64, sent: bool) {
    let mut engine = engine().0;
    handle(&mut engine, NOW, Event::Reloaded { settings: None, list_source_changed: true });
    handle(&mut engine, NOW, Event::Watch(2, WatchEvent::Lost(Loss::Refused)));
    let mut call = call(CALL, "look", 5.0);
    call.received_at = NOW + after;
    let out = handle(&mut engine, NOW + after, Event::CallReceived(ID, &call));
    assert_eq!(out.iter().any(|action| matches!(action, Action::Send { .. })), sent, "{out:?}");
}

#[test]
fn a_reload_during_a_stop_changes_nothing() {
    let mut engine = with_forwards("look", &[TAKEN]);
    handle(&mut engine, NOW, Event::Stop);
    assert!(
        handle(&mut engine, NOW, Event::Reloaded { settings: None, list_source_changed: true }).is_empty()
    );
    assert_eq!(engine.phase(), Phase::Leaving);
}

#[test]
fn a_lost_list_is_requested_again_and_kept_meanwhile() {
    let (mut engine, out) = engine();
    assert!(out.contains(&Action::WatchList { watch: 1, version: 1 }));
    handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Lost(Loss::Closed)));
    let (mut out, mut now) = (Vec::new(), NOW);
    while !out.contains(&Action::WatchList { watch: 2, version: 1 }) {
        now = engine.next_due().expect("something is due");
        engine.advance(now, &mut out);
    }
    assert!(now < NOW + 2.0 && engine.fleet().addr(0).is_some(), "{}", now - NOW);
}

/// An engine with a pushed list, and its actions at the start.
fn pushed() -> (Engine, Vec<Action>) {
    let settings =
        Settings { nodes: 1, operations: vec![operation(Effect::Idempotent); 2], ..Settings::default() };
    let known = Some(listing(1, true, vec![host(0, Standing::Ready)]));
    let setup =
        Setup { settings, names: names(), seed: 1, timeouts: vec![5.0, 10.0], known, previous_state: None };
    let mut out = Vec::new();
    (Engine::new(NOW, setup, &mut out), out)
}

// A node with a pushed list must not wait for a push that never comes: it watches the agent's list from the start and
// restarts a lost watch every time.
#[test]
fn the_watch_on_a_pushed_list_starts_at_once_and_is_restarted() {
    let (mut engine, out) = pushed();
    assert_eq!(
        out.iter().filter(|a| **a == Action::WatchList { watch: 1, version: 1 }).count(),
        1,
        "{out:?}"
    );
    for watch in 1..9 {
        let now = NOW + watch as f64;
        let lost = handle(&mut engine, now, Event::Watch(watch, WatchEvent::Lost(Loss::Closed)));
        assert!(!lost.iter().any(|a| matches!(a, Action::WatchList { .. })), "not immediately: {lost:?}");
        let mut out = Vec::new();
        engine.advance(now + 0.1, &mut out);
        assert!(out.contains(&Action::WatchList { watch: watch + 1, version: 1 }), "{watch}: {out:?}");
    }
}

// A watch is lost, a reload starts a new one at another source, and then the retry of the lost watch becomes due.
#[test]
fn a_retry_from_before_a_reload_does_not_replace_the_new_watch() {
    let mut engine = pushed().0;
    handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Lost(Loss::Closed)));
    let out = handle(&mut engine, NOW, Event::Reloaded { settings: None, list_source_changed: true });
    assert_eq!(out, [Action::WatchList { watch: 2, version: 0 }]);
    let mut out = Vec::new();
    engine.advance(NOW + 0.2, &mut out);
    assert!(!out.iter().any(|a| matches!(a, Action::WatchList { .. })), "{out:?}");
}

// A list that was pushed before a drain, and is read after the watch has reported the drain, must not undo it (rule 3).
#[test_case(true, Standing::Draining; "the watch has a newer version")]
#[test_case(false, Standing::Ready; "without a watch the push is applied")]
fn a_push_older_than_the_watch_is_ignored(watched: bool, expected: Standing) {
    let mut engine = pushed().0;
    let push_list = |engine: &mut Engine, watch, version, standing| {
        let list = WatchEvent::Listed(listing(version, true, vec![host(0, standing)]));
        handle(engine, NOW, Event::Watch(watch, list));
    };
    if watched {
        handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Established));
    }
    push_list(&mut engine, 1, 5, Standing::Draining);
    push_list(&mut engine, NO_WATCH, 4, Standing::Ready);
    assert_eq!(engine.fleet().listing(0).hosts[0].standing, expected);
}

#[test_case(&[Step::Idle], Phase::Starting; "idle while starting")]
#[test_case(&[Step::ExecutorsKnown, Step::Idle, Step::FrontNotified], Phase::Serving; "idle while serving")]
#[test_case(&[Step::ExecutorsKnown, Step::Reload, Step::Reload], Phase::Reloading; "reloaded twice")]
#[test_case(&[Step::ExecutorsKnown, Step::Reload, Step::ListFollowed], Phase::Serving; "reloaded, and the watch established")]
#[test_case(&[Step::Reload, Step::ListFollowed], Phase::Starting; "reloaded before ready")]
#[test_case(&[Step::ExecutorsKnown, Step::StopRequested, Step::Reload], Phase::Leaving; "reloaded during a stop")]
#[test_case(&[Step::StopRequested], Phase::Leaving; "stopped before ready")]
#[test_case(&[Step::ExecutorsKnown, Step::StopRequested, Step::Idle, Step::StopRequested], Phase::Leaving; "idle before the front has noticed")]
#[test_case(&[Step::ExecutorsKnown, Step::StopRequested, Step::FrontNotified, Step::Idle], Phase::Ended; "finished")]
#[test_case(&[Step::StopRequested, Step::FrontNotified, Step::ExecutorsKnown, Step::StopTimedOut], Phase::Ended; "out of time")]
fn steps_lead_through_the_phases(steps: &[Step], phase: Phase) {
    let step = |phase: Phase, step: &Step| phase.after(*step).unwrap_or(phase);
    assert_eq!(steps.iter().fold(Phase::Starting, step), phase);
}

#[test]
fn timers_come_due_in_order() {
    let mut timers = Timers::new();
    for (second, what) in
        [(2.0, 'c'), (1.0, 'a'), (1.0, 'b'), (9.0, 'd'), (f64::NAN, '!'), (f64::INFINITY, 'e')]
    {
        timers.schedule(second, what);
    }
    let due: String = std::iter::from_fn(|| timers.pop(2.0)).collect();
    assert_eq!((&*due, timers.next()), ("!abc", Some(9.0)));
}

#[test_case("look", 2.0, 2.0, Ok(0.95); "elapsed time and the answer's delivery are subtracted")]
#[test_case("look", 1e9, 2.0, Ok(3.95); "limited by the operation's timeout")]
#[test_case("read", 2.0, 2.0, Err(Rejection::UnknownOperation); "an unknown operation")]
fn calls_are_admitted(class: &str, budget: f64, now: f64, expected: Result<f64, Rejection>) {
    let odd = Call { received_at: 1.0, ..call("c", class, budget) };
    let admitted = admit(7, &odd, &operations(), &names(), now);
    assert_eq!(admitted.map(|sub| (sub.timeout * 1e3).round() / 1e3), expected);
}

#[test_case(Some(0.5), Some(0.5); "unchanged")]
#[test_case(Some(1e15), Some(50.0); "no more than ten timeouts")]
#[test_case(Some(1e-15), Some(1e-4); "at least the smallest hint")]
#[test_case(Some(-1.0), None; "negative")]
#[test_case(Some(f64::NAN), None; "not a number")]
fn hints_are_limited(came: Option<f64>, expected: Option<f64>) {
    let odd = Call { hint: came, ..call("c", "look", 2.0) };
    assert_eq!(admit(7, &odd, &operations(), &names(), NOW).map(|sub| sub.hint), Ok(expected));
}

fn reloaded_settings(
    names: &[&str],
    entries: &[Operation],
    timeouts: &[f64],
    max_forwards: usize,
) -> Box<ReloadedSettings> {
    let settings = Settings { nodes: 1, operations: entries.to_vec(), max_forwards, ..Settings::default() };
    let settings = Settings { cancelling: true, probing: true, polls_list: true, ..settings };
    let operations = names.iter().map(|name| (*name).to_owned()).collect();
    let names = Names { operations, zones: vec![String::new()], ..Names::default() };
    Box::new(ReloadedSettings { settings, names, timeouts: timeouts.to_vec() })
}

fn reload(engine: &mut Engine, now: f64, reloaded_settings: Box<ReloadedSettings>) -> Vec<Action> {
    handle(engine, now, Event::Reloaded { settings: Some(reloaded_settings), list_source_changed: false })
}

// A reload must not change the effect, deadline or index of a job that was admitted before.
#[test]
fn running_jobs_keep_their_operation_and_new_ones_get_the_new_settings() {
    let mut engine = engine().0;
    handle(&mut engine, NOW, Event::CallReceived(1, &call("a", "look", 5.0)));
    let strict = [operation(Effect::NonIdempotent), operation(Effect::NonIdempotent)];
    let out = reload(&mut engine, NOW, reloaded_settings(&["pay", "look"], &strict, &[10.0, 3.0], 4));
    assert!(out.is_empty() && engine.phase() == Phase::Serving, "no action: {out:?}");
    handle(&mut engine, NOW, Event::CallReceived(2, &call("b", "look", 5.0)));
    let ends: Vec<f64> = [1, 2]
        .map(|id| engine.records.get(id).expect("a record").end - NOW)
        .map(|s| (s * 100.0).round())
        .into();
    assert_eq!(ends, [495.0, 295.0], "each by the client timeout at its admission");
    let set = engine.decisions().settings();
    let effects: Vec<Effect> = set.operations.iter().map(|op| op.effect).collect();
    assert_eq!(effects, [Effect::Idempotent, Effect::NonIdempotent, Effect::NonIdempotent]);
}

#[test]
fn a_lower_limit_of_forwards_applies_to_running_jobs() {
    let mut engine = engine().0;
    let (entries, now) = ([operation(Effect::Idempotent), operation(Effect::NonIdempotent)], NOW + 0.01);
    let out = handle(&mut engine, NOW, Event::CallReceived(1, &call("a", "look", 5.0)));
    assert!(out.iter().any(|action| matches!(action, Action::Send { id: 1, forward: 0, .. })), "{out:?}");
    reload(&mut engine, now, reloaded_settings(&["look", "pay"], &entries, &[5.0, 10.0], 1));
    let ended = Reply::Ended(Outcome::Unreachable, Report::default());
    let out = handle(&mut engine, now, Event::Replied(1, 0, ended));
    assert!(matches!(answers(&out)[..], [Answer::Throttled { .. }]), "none is left: {out:?}");
}

// Throttled clients may retry for one client timeout after the settings lost their operation; then the name is unknown.
// The operation's figures stay.
#[test_case(4.0, true; "served while throttled clients may retry")]
#[test_case(5.5, false; "unknown afterwards")]
fn a_removed_operation_is_served_for_one_timeout(after: f64, served: bool) {
    let mut engine = engine().0;
    reload(&mut engine, NOW, reloaded_settings(&["pay"], &[operation(Effect::NonIdempotent)], &[10.0], 4));
    let late = Call { received_at: NOW + after, ..call("a", "look", 5.0) };
    let out = handle(&mut engine, NOW + after, Event::CallReceived(1, &late));
    let unknown = Answer::Rejected(Rejection::UnknownOperation);
    assert_eq!(!answers(&out).contains(&&unknown), served, "{out:?}");
    let look = engine.metrics(NOW).operations.into_iter().find(|op| &*op.0 == "look").expect("its figures");
    assert_eq!(look.1.errored, u64::from(!served));
}

#[test]
fn repeated_reloads_do_not_add_entries() {
    let mut engine = engine().0;
    handle(&mut engine, NOW, Event::CallReceived(1, &call("a", "look", 5.0)));
    for round in 0..1000 {
        let entry = Operation { value: f64::from(round), ..operation(Effect::Idempotent) };
        let entries = [entry, operation(Effect::NonIdempotent)];
        let now = NOW + f64::from(round);
        reload(&mut engine, now, reloaded_settings(&["look", "pay"], &entries, &[5.0, 10.0], 4));
    }
    let many = engine.decisions().settings().operations.len();
    assert!(many <= 5, "{many} entries");
}

#[test]
fn zones_and_kinds_keep_their_numbers_whatever_the_order_of_the_new_names() {
    let mut fleet = crate::list::Fleet::new(Names { zones: vec!["a".into(), "b".into()], ..names() }, false);
    let (entry, _) = fleet.apply(NOW, &listing(1, true, vec![host(0, Standing::Ready)]));
    let kind = Operation { kind: Some(1), ..operation(Effect::Idempotent) };
    let none = Operation { kind: Some(7), ..operation(Effect::Idempotent) };
    let mut set = Settings { zone: 0, operations: vec![kind, none], ..Settings::default() };
    let (zones, kinds) = (vec!["b".to_owned(), "a".to_owned()], vec!["x".to_owned(), String::new()]);
    fleet.apply_settings(Names { zones, kinds, ..Names::default() }, &mut set);
    assert_eq!((set.zone, set.operations[0].kind), (1, Some(entry[0].kind)), "by name");
    assert_eq!(set.operations[1].kind, Some(usize::MAX), "an unnamed kind matches no executor");
}

#[test]
fn each_job_is_counted_once_where_it_gets_its_answer() {
    let mut engine = with_forwards("look", &[TAKEN]);
    handle(&mut engine, NOW, Event::CallReceived(8, &call("left", "pay", 5.0)));
    assert_eq!(engine.metrics(NOW).outstanding, 2);
    handle(&mut engine, NOW, report(0, done()));
    handle(&mut engine, NOW, report(0, done()));
    handle(&mut engine, NOW, Event::ClientDisconnected(8));
    handle(&mut engine, NOW, Event::CallReceived(9, &call(CALL, "look", 5.0)));
    handle(&mut engine, NOW, Event::CallReceived(10, &call("x", "made-up", 5.0)));
    handle(&mut engine, NOW, Event::AnsweredByFront("pay", JobResult::Throttled));
    handle(&mut engine, NOW, Event::Replied(ID, 0, Reply::Written));
    handle(&mut engine, NOW, Event::ReloadFailed);
    let figures = engine.metrics(NOW);
    let tallies: Vec<(&str, Tally)> = figures.operations.iter().map(|op| (&*op.0, op.1)).collect();
    let look = Tally { succeeded: 1, throttled: 0, errored: 1 };
    assert_eq!(tallies, [("look", look), ("pay", Tally { throttled: 1, ..Tally::default() })]);
    assert_eq!((figures.outstanding, figures.forwards, figures.listed), (0, 1, 2));
    assert_eq!((figures.applied, figures.rejected), (0, 1));
}

#[test]
fn avoided_executors_are_those_excluded_by_the_decisions() {
    let mut engine = engine().0;
    assert_eq!(engine.metrics(NOW).avoided, 0);
    for _ in 0..2 {
        handle(&mut engine, NOW, Event::Probed(1, Outcome::Unreachable, Report::default()));
        handle(&mut engine, NOW, Event::Probed(1, Outcome::Unreachable, Report::default()));
    }
    let drained = listing(2, false, vec![host(1, Standing::Draining)]);
    assert_eq!(engine.metrics(NOW).avoided, 1);
    handle(&mut engine, NOW, Event::Watch(1, WatchEvent::Listed(drained)));
    let figures = engine.metrics(NOW);
    assert_eq!((figures.avoided, figures.listed), (0, 2), "a draining executor does not count as avoided");
}

/// The next process of the node, started with the state of the old one.
fn successor(old: &Engine) -> Engine {
    let operations = vec![operation(Effect::Idempotent), operation(Effect::NonIdempotent)];
    let settings = Settings { nodes: 1, operations, max_forwards: 4, ..Settings::default() };
    let (names, previous_state) = (names(), Some(old.state()));
    let setup = Setup { settings, names, seed: 2, timeouts: vec![5.0, 10.0], known: None, previous_state };
    Engine::new(NOW, setup, &mut Vec::new())
}

#[test]
fn a_successor_starts_with_the_list_and_the_learned_state() {
    let mut old = engine().0;
    for _ in 0..4 {
        handle(&mut old, NOW, Event::Probed(1, Outcome::Unreachable, Report::default()));
    }
    let drained = listing(5, false, vec![host(0, Standing::Draining)]);
    handle(&mut old, NOW, Event::Watch(1, WatchEvent::Listed(drained)));
    let mut new = successor(&old);
    assert_eq!((new.phase(), new.metrics(NOW).listed, new.metrics(NOW).avoided), (Phase::Starting, 2, 1));
    let out = handle(&mut new, NOW, Event::CallReceived(1, &call("a", "look", 5.0)));
    assert!(
        !out.iter().any(|action| matches!(action, Action::Send { executor_index: 0, .. })),
        "it drains: {out:?}"
    );
}

// Guards against sends to draining executors: the next process served for seconds by the list that it took over, before it
// heard of changes.
#[test_case(Some(WatchEvent::Established), 0.1, Phase::Serving; "it hears of changes")]
#[test_case(Some(WatchEvent::Lost(Loss::Waited(0.05))), 0.1, Phase::Starting; "its call came to nothing")]
#[test_case(None, 5.4, Phase::Starting; "it waits")]
#[test_case(None, 5.6, Phase::Serving; "the platform waits no longer")]
fn a_successor_is_ready_once_it_hears_of_changes(event: Option<WatchEvent>, after: f64, phase: Phase) {
    let mut new = successor(&engine().0);
    assert_eq!(new.phase(), Phase::Starting);
    event.into_iter().for_each(|event| drop(handle(&mut new, NOW, Event::Watch(1, event))));
    new.advance(NOW + after, &mut Vec::new());
    assert_eq!(new.phase(), phase);
}

#[test]
fn a_call_that_the_previous_process_serves_is_not_taken_again() {
    let mut old = engine().0;
    handle(&mut old, NOW, Event::CallReceived(1, &call("a", "look", 5.0)));
    let mut new = successor(&old);
    let out = handle(&mut new, NOW, Event::CallReceived(1, &call("a", "look", 5.0)));
    assert_eq!(answers(&out), [&Answer::Rejected(Rejection::DuplicateCall)]);
    assert!(!new.knows("a"), "reports on it are passed on to the old process");
}

// The job continues in its current state; the old process neither answers it nor cancels it at executors.
#[test]
fn a_job_continues_in_the_next_process() {
    let mut old = engine().0;
    let out = handle(&mut old, NOW, Event::CallReceived(1, &call("a", "pay", 9.0)));
    let sent = |out: &[Action]| {
        out.iter().find_map(|a| {
            if let Action::Send { executor_index, .. } = a {
                Some(*executor_index)
            } else {
                None
            }
        })
    };
    let executor_index = sent(&out).expect("a forward");
    let mut new = successor(&old);
    assert!(old.hand_over_job(1).is_none(), "its connection to the executor is still in use here");
    handle(&mut old, NOW, Event::Replied(1, 0, Reply::Taken));
    let handover = old.hand_over_job(1).expect("a handover");
    assert!(handover.survives_round_trip() && !old.knows("a") && old.held() == 0);
    let mut out = Vec::new();
    old.advance(NOW + 20.0, &mut out);
    assert!(answers(&out).is_empty() && !out.iter().any(|a| matches!(a, Action::Cancel { .. })), "{out:?}");
    let mut out = Vec::new();
    new.take_over_job(NOW, 7, handover, &mut out);
    assert!(new.knows("a") && sent(&out).is_none(), "it is sent already: {out:?}");
    let done = JobReport {
        call: "a".into(),
        from: format!("s-{executor_index}"),
        status: done(),
        report: Report::default(),
    };
    let out = handle(&mut new, NOW + 1.0, Event::JobReport(done));
    assert_eq!(answers(&out), [&Answer::Succeeded("r".into())]);
    let pay = new.metrics(NOW).operations.into_iter().find(|op| &*op.0 == "pay").expect("figures");
    assert_eq!((pay.1.succeeded, new.held()), (1, 0));
}

// Different settings in the next process must not make a job run twice or change its deadline.
#[test]
fn a_job_handed_over_keeps_its_operation() {
    let mut old = engine().0;
    handle(&mut old, NOW, Event::CallReceived(1, &call("a", "pay", 9.0)));
    handle(&mut old, NOW, Event::Replied(1, 0, Reply::Taken));
    let mut new = successor(&old);
    let free = [operation(Effect::Idempotent), operation(Effect::Idempotent)];
    reload(&mut new, NOW, reloaded_settings(&["look", "pay"], &free, &[5.0, 3.0], 4));
    let handover = old.hand_over_job(1).expect("a handover");
    new.take_over_job(NOW, 7, handover, &mut Vec::new());
    let reset = Reply::Ended(Outcome::Reset, Report::default());
    let out = handle(&mut new, NOW + 5.0, Event::Replied(7, 0, reset));
    assert_eq!(answers(&out), [&Answer::Errored], "it may have run, and may not run again");
}

/// Executors 0 and 1 are in zone and cell 0, executors 2 and 3 in zone and cell 1.
fn grouped_host(at: usize) -> Host {
    Host { zone: format!("z{}", at / 2), cell: at as i64 / 2, ..host(at, Standing::Ready) }
}

/// Hands over a job whose executor, 2 or 3, has left the list, through JSON; the other three are listed. With `without`,
/// the handover lacks this field. Returns the executors to which the next process sends the job once the first attempt is
/// lost, and its answers.
fn resent_after_handover(effect: Effect, without: &str) -> (Vec<String>, Vec<Action>) {
    let mut old = engine().0;
    reload(
        &mut old,
        NOW,
        reloaded_settings(&["look", "pay"], &[operation(effect), operation(effect)], &[5.0, 10.0], 4),
    );
    let list = |version, hosts| Event::Watch(1, WatchEvent::Listed(listing(version, true, hosts)));
    handle(&mut old, NOW, list(2, (2..4).map(grouped_host).collect()));
    let sent = |out: &[Action]| -> Vec<ExecutorIndex> {
        let to = |action: &Action| {
            if let Action::Send { executor_index, .. } = action {
                Some(*executor_index)
            } else {
                None
            }
        };
        out.iter().filter_map(to).collect()
    };
    let out = handle(&mut old, NOW, Event::CallReceived(1, &call(CALL, "pay", 9.0)));
    handle(&mut old, NOW, Event::Replied(1, 0, Reply::Taken));
    let first = old.fleet().id(sent(&out)[0]).to_owned();
    let others = (0..4).map(grouped_host).filter(|host| host.id != first).collect();
    handle(&mut old, NOW, list(3, others));
    let mut new = successor(&old);
    let mut handover = serde_json::to_value(old.hand_over_job(1).expect("a handover")).expect("JSON");
    handover.as_object_mut().expect("an object").remove(without);
    let handover: JobHandover = serde_json::from_value(handover).expect("a handover");
    assert!(handover.is_consistent());
    new.take_over_job(NOW, 7, handover, &mut Vec::new());
    let lost = JobStatus::Ended(Outcome::Reset);
    let lost = JobReport { call: CALL.into(), from: first, status: lost, report: Report::default() };
    let out = handle(&mut new, NOW + 1.0, Event::JobReport(lost));
    (sent(&out).into_iter().map(|i| new.fleet().id(i).to_owned()).collect(), out)
}

// Guards against a second effect: the next process took an executor that had left the list for one of zone and cell 0.
#[test_case(Group::Zone; "by zone")]
#[test_case(Group::Cell; "by cell")]
fn a_job_handed_over_stays_in_its_deduplication_group(group: Group) {
    let (sent, out) = resent_after_handover(Effect::Deduplicated { group, window: 9.0 }, "");
    assert!(sent == ["s-2"] || sent == ["s-3"], "{out:?}");
}

// Guards against a second effect: a handover from an older release does not say where an executor was.
#[test_case(Group::Zone, 0; "by zone it fails")]
#[test_case(Group::Cell, 0; "by cell it fails")]
#[test_case(Group::All, 1; "in one group of all it is sent again")]
fn a_job_of_an_unknown_deduplication_group_is_not_sent_again(group: Group, forwards: usize) {
    let (sent, out) = resent_after_handover(Effect::Deduplicated { group, window: 9.0 }, "locations");
    assert_eq!(sent.len(), forwards, "{out:?}");
    assert_eq!(answers(&out), Vec::from_iter((forwards == 0).then_some(&Answer::Errored)));
}

#[test]
fn the_overload_factor_of_cold_executors_is_split_between_processes() {
    let mut engine = engine().0;
    let factor = |engine: &Engine| engine.decisions().settings().cold.factor;
    let mut with = reloaded_settings(&["look"], &[operation(Effect::Idempotent)], &[5.0], 4);
    with.settings.cold.factor = 4.0;
    handle(&mut engine, NOW, Event::CapacityShare(0.25));
    reload(&mut engine, NOW, with);
    assert_eq!(factor(&engine), 1.0, "also after a reload");
    handle(&mut engine, NOW, Event::CapacityShare(1.0));
    assert_eq!(factor(&engine), 4.0);
}

#[test]
fn two_processes_of_a_node_share_one_budget_of_forwards() {
    let budgeted = |old: Option<&Engine>| {
        let mut with = reloaded_settings(&["look"], &[operation(Effect::Idempotent)], &[5.0], 4);
        with.settings.budget = Some(Budget { floor: 2.0, share: 0.5, span: 5.0 });
        let mut engine = old.map_or_else(|| engine().0, successor);
        reload(&mut engine, NOW, with);
        engine
    };
    let left = |engine: &Engine| engine.decisions().settings().budget.map(|b| (b.floor, b.share));
    let mut old = budgeted(None);
    let out = handle(&mut old, NOW, Event::CallReceived(1, &call("a", "look", 5.0)));
    assert!(out.iter().any(|action| matches!(action, Action::Send { .. })));
    handle(&mut old, NOW, Event::Replied(1, 0, Reply::Ended(Outcome::Full, Report::default())));
    assert!(old.state().further_forwards.len() <= 1 && old.state().arrivals.len() == 1);
    let new = budgeted(Some(&old));
    assert_eq!(
        (new.state().arrivals, new.state().further_forwards),
        (old.state().arrivals, old.state().further_forwards)
    );
    handle(&mut old, NOW, Event::CapacityShare(0.25));
    assert_eq!((left(&old), left(&new)), (Some((0.0, 0.0)), Some((2.0, 0.5))));
    handle(&mut old, NOW, Event::CapacityShare(1.0));
    assert_eq!(left(&old), Some((2.0, 0.5)), "alone again");
}

/// Sends every submission to both executors at once and ignores the results.
struct SendToBoth;

impl Decisions for SendToBoth {
    fn handle(&mut self, _: f64, input: Input, out: &mut Vec<Output>) {
        if let Input::Submitted(sub) = input {
            out.extend([0, 1].map(|executor_index| Output::Forward { id: sub.id, executor_index }));
        }
    }

    fn apply_settings(&mut self, _: Settings, _: &[OperationMapping], _: &[Option<usize>]) {}

    fn uses_operation(&self, _: usize) -> bool {
        false
    }

    fn untrusted_count(&self, _: f64) -> usize {
        0
    }

    fn set_process_share(&mut self, _: f64, _: Option<Budget>) {}
}

// With a second copy open, only the first result answers the client, whichever forward it belongs to.
#[test_case(0, 1; "the first forward answers first")]
#[test_case(1, 0; "the copy answers first")]
fn the_first_of_two_results_is_the_answer(first: usize, second: usize) {
    let settings =
        Settings { nodes: 1, operations: vec![operation(Effect::Idempotent)], ..Settings::default() };
    let known = Some(listing(1, true, (0..2).map(|at| host(at, Standing::Ready)).collect()));
    let setup = Setup { settings, names: names(), seed: 1, timeouts: vec![5.0], known, previous_state: None };
    let mut engine = Engine::with_decisions(NOW, SendToBoth, setup, &mut Vec::new());
    let mut handle = |now, event: Event| {
        let mut out = Vec::new();
        engine.handle(now, event, &mut out);
        out
    };
    let taken = call("a", "look", 5.0);
    let sent = handle(NOW, Event::CallReceived(1, &taken));
    assert_eq!(sent.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 2);
    handle(NOW, Event::Replied(1, 0, Reply::Taken));
    handle(NOW, Event::Replied(1, 1, Reply::Taken));
    let done = |forward| Event::Replied(1, forward, Reply::Succeeded(Bytes::new(), Report::default()));
    assert_eq!(answers(&handle(NOW + 1.0, done(first))).len(), 1);
    assert!(answers(&handle(NOW + 1.1, done(second))).is_empty(), "one final answer");
    assert_eq!(engine.held(), 0);
}

#[test]
fn a_stop_does_not_shorten_the_deadline_in_the_next_process() {
    let mut old = engine().0;
    handle(&mut old, NOW, Event::CallReceived(1, &call("a", "pay", 9.0)));
    handle(&mut old, NOW, Event::Stop);
    handle(&mut old, NOW, Event::Replied(1, 0, Reply::Taken));
    let handover = old.hand_over_job(1).expect("a handover");
    assert!(
        handover.deadline > NOW + 8.0 && handover.invocation.deadline == handover.deadline,
        "{} {}",
        handover.deadline,
        handover.invocation.deadline
    );
}

// The two processes of a replacement may be of different releases, which must agree on these names.
#[test]
fn handed_over_state_keeps_its_serialized_names() {
    let keys = |value: &serde_json::Value| -> String {
        let keys: Vec<&str> = value.as_object().expect("an object").keys().map(String::as_str).collect();
        keys.join(" ")
    };
    let mut old = engine().0;
    handle(&mut old, NOW, Event::CallReceived(1, &call("a", "pay", 9.0)));
    handle(&mut old, NOW, Event::Replied(1, 0, Reply::Taken));
    let state = serde_json::to_value(old.state()).expect("JSON");
    assert_eq!(keys(&state), "calls current executors further kinds listing node operations taken tenants");
    let handover = serde_json::to_value(old.hand_over_job(1).expect("a handover")).expect("JSON");
    assert_eq!(keys(&handover), "call end entry forwards inv kind locations operation timeout");
    assert_eq!(keys(&handover["locations"][0]), "cell zone");
    assert_eq!(
        keys(&handover["inv"]),
        "again aim cross end forwards gap hasty hint hopeless key life load memory op press sample spare until worth"
    );
    assert_eq!(keys(&handover["inv"]["forwards"][0]), "errored fate kept late sent sure tgt told vain wait");
    assert_eq!(
        (&handover["inv"]["life"], &handover["inv"]["forwards"][0]["fate"]),
        (&"Out".into(), &"Out".into())
    );
}

// Recorded runs of the emulator contain these texts.
#[test]
fn replies_and_watch_events_keep_their_debug_text() {
    let text = |value: &dyn std::fmt::Debug| format!("{value:?}");
    let report = Report::default();
    let body = "Report { free: None, queue: None, inflight: None, util: None, memory: None }";
    assert_eq!(text(&Reply::NotAcknowledged), "Unheard");
    assert_eq!(text(&Reply::Rejected(400, report)), format!("Unfit(400, {body})"));
    assert_eq!(text(&Reply::Ended(Outcome::NotWritten, report)), format!("Ended(Moot, {body})"));
    assert_eq!(text(&Reply::Ended(Outcome::Rejected, report)), format!("Ended(Unfit, {body})"));
    assert_eq!(text(&Reply::Succeeded("r".into(), report)), format!("Succeeded(b\"r\", {body})"));
    assert_eq!(text(&WatchEvent::Established), "Begun");
    assert_eq!(text(&WatchEvent::Lost(Loss::Missed(1.5))), "Lost(Missed(1.5))");
    assert_eq!(text(&WatchEvent::Lost(Loss::Unspecified)), "Lost(Unsaid)");
    let kinds = [PeerMessageKind::Held, PeerMessageKind::Query, PeerMessageKind::FreeSlots];
    assert_eq!(text(&kinds), "[Held, Asks, Room]");
}
