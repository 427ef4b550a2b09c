use test_case::test_case;

use super::*;

fn invariants(effect: Effect, group: Group) -> InvariantChecker {
    let places = vec![("a".into(), 0), ("a".into(), 1), ("b".into(), 2)];
    let mut invariants = InvariantChecker::new(1, places, 0.05, 0.5);
    invariants.taken(0.0, 1, 0, OperationTerms { effect, group, window: 2.0 }, 5.0);
    invariants
}

fn rules(invariants: &InvariantChecker) -> Vec<Rule> {
    invariants.breaches.iter().map(|breach| breach.rule).collect()
}

const PAY: Effect = Effect::NonIdempotent;
const READ: Effect = Effect::Idempotent;
const KEYED: Effect = Effect::Deduplicated;

// Each way to break the first rule, as a scripted node, next to correct nodes.
#[test_case(|r| { r.ran(1); r.answered(1.0, 1, FinalAnswer::Served) }, &[]; "served")]
#[test_case(|r| { r.ran(1); r.answered(1.0, 1, FinalAnswer::Served); r.answered(1.1, 1, FinalAnswer::Failed) }, &[Rule::OneAnswer]; "two answers")]
#[test_case(|r| r.answered(5.04, 1, FinalAnswer::Failed), &[]; "within the slack")]
#[test_case(|r| r.answered(5.1, 1, FinalAnswer::Failed), &[Rule::OneAnswer]; "late")]
#[test_case(|r| r.expired(5.2, 1), &[Rule::OneAnswer]; "no answer")]
#[test_case(|r| { r.waive_answer(1); r.expired(5.2, 1) }, &[]; "client left")]
#[test_case(|r| { r.node_died(0); r.expired(5.2, 1) }, &[]; "node killed")]
#[test_case(|r| r.dropped(1.0, 1), &[Rule::OneAnswer]; "connection closed")]
#[test_case(|r| r.answered(1.0, 1, FinalAnswer::Served), &[Rule::OneAnswer]; "served although nothing ran")]
#[test_case(|r| { r.answered(1.0, 1, FinalAnswer::Failed); r.forwarded(1, 0, 0, 1.2) }, &[Rule::OneAnswer]; "sent after the answer")]
#[test_case(|r| r.forwarded(9, 0, 0, 1.2), &[Rule::OneAnswer]; "sent although never received")]
fn one_answer(script: fn(&mut InvariantChecker), expected: &[Rule]) {
    let mut invariants = invariants(READ, Group::All);
    script(&mut invariants);
    assert_eq!(rules(&invariants), expected);
}

// The first forward goes to worker 0 at 0.1, the second to worker `to` at `at`; `proof` is what the first
// proved.
#[test_case(PAY, Group::All, None, 1, 1.0, false; "an outstanding payment is not sent again")]
#[test_case(PAY, Group::All, Some(Proof::MayHaveRun), 1, 1.0, false; "nor a payment that may have run")]
#[test_case(PAY, Group::All, Some(Proof::NeverRan), 1, 1.0, true; "one that never ran may be")]
#[test_case(PAY, Group::All, Some(Proof::NeverRan), 1, 0.2, false; "not before the proof arrives")]
#[test_case(READ, Group::All, None, 1, 1.0, true; "an idempotent operation always may")]
#[test_case(KEYED, Group::All, Some(Proof::MayHaveRun), 2, 1.0, true; "deduplicated by all workers")]
#[test_case(KEYED, Group::All, Some(Proof::MayHaveRun), 2, 2.5, false; "after the deduplication window")]
#[test_case(KEYED, Group::Zone, Some(Proof::MayHaveRun), 1, 1.0, true; "in the same zone")]
#[test_case(KEYED, Group::Zone, Some(Proof::MayHaveRun), 2, 1.0, false; "in another zone")]
#[test_case(KEYED, Group::Cell, Some(Proof::MayHaveRun), 1, 1.0, false; "in another cell")]
#[test_case(KEYED, Group::Cell, Some(Proof::NeverRan), 1, 1.0, true; "in another cell if it never ran")]
fn no_effect_twice(effect: Effect, group: Group, proof: Option<Proof>, to: WorkerId, at: f64, fits: bool) {
    let mut invariants = invariants(effect, group);
    invariants.forwarded(1, 0, 0, 0.1);
    proof.into_iter().for_each(|proof| invariants.outcome(0.5, 1, 0, proof));
    invariants.forwarded(1, 0, to, at);
    assert_eq!(rules(&invariants), if fits { vec![] } else { vec![Rule::NoEffectTwice] });
    assert!(fits || invariants.breaches[0].trace.len() >= 3, "the breach has a trace");
}

#[test_case(PAY, Group::All, None, false; "an outstanding payment is not refused")]
#[test_case(PAY, Group::All, Some(Proof::NeverRan), true; "one that never ran may be")]
#[test_case(KEYED, Group::All, Some(Proof::MayHaveRun), true; "deduplicated by all workers")]
#[test_case(KEYED, Group::Cell, Some(Proof::MayHaveRun), false; "not when deduplicated within a cell")]
#[test_case(READ, Group::All, None, true; "an idempotent operation may be")]
fn refusals_need_proof(effect: Effect, group: Group, proof: Option<Proof>, fits: bool) {
    let mut invariants = invariants(effect, group);
    invariants.forwarded(1, 0, 0, 0.1);
    proof.into_iter().for_each(|proof| invariants.outcome(0.5, 1, 0, proof));
    invariants.answered(1.0, 1, FinalAnswer::Refused);
    assert_eq!(rules(&invariants).is_empty(), fits);
}

#[test_case(1.4, &[]; "within the grace period")]
#[test_case(1.6, &[Rule::NothingToTheGone]; "after the grace period")]
fn nothing_to_the_gone(sent: f64, expected: &[Rule]) {
    let mut invariants = invariants(READ, Group::All);
    invariants.announce(1.0, 0, 2, false, 0.0);
    invariants.announce(1.5, 0, 2, false, 0.0);
    invariants.forwarded(1, 0, 2, sent);
    assert_eq!(rules(&invariants), expected);
}

#[test_case(0.9, &[Rule::NoColdWorkerPushedOver]; "nodes knew")]
#[test_case(8.0 / 11.0, &[Rule::NoColdWorkerPushedOver]; "over two thirds knew")]
#[test_case(8.0 / 12.0, &[]; "two thirds is not over two thirds")]
#[test_case(0.5, &[]; "nodes did not know")]
fn cold_worker_overload_needs_informed_nodes(informed: f64, expected: &[Rule]) {
    let mut invariants = invariants(READ, Group::All);
    invariants.worker_overloaded(1.0, 0, 2, Overload { informed, sent: 11.0, most: 10.0 });
    assert_eq!(rules(&invariants), expected);
}
