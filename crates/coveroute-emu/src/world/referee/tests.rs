use test_case::test_case;

use super::*;

fn referee(effect: Effect, group: Group) -> Referee {
    let places = vec![("a".into(), 0), ("a".into(), 1), ("b".into(), 2)];
    let mut referee = Referee::new(1, places, 0.05, 0.5);
    referee.taken(0.0, 1, 0, Terms { effect, group, window: 2.0 }, 5.0);
    referee
}

fn rules(referee: &Referee) -> Vec<Rule> {
    referee.breaches.iter().map(|breach| breach.rule).collect()
}

const PAY: Effect = Effect::NonIdempotent;
const LOOK: Effect = Effect::Idempotent;
const KEYED: Effect = Effect::Deduplicated;

// A scripted wrong node for each way to break the first rule, and right ones beside them.
#[test_case(|r| { r.ran(1); r.answered(1.0, 1, Final::Served) }, &[]; "served")]
#[test_case(|r| { r.ran(1); r.answered(1.0, 1, Final::Served); r.answered(1.1, 1, Final::Failed) }, &[Rule::OneAnswer]; "two answers")]
#[test_case(|r| r.answered(5.04, 1, Final::Failed), &[]; "within the slack")]
#[test_case(|r| r.answered(5.1, 1, Final::Failed), &[Rule::OneAnswer]; "late")]
#[test_case(|r| r.expired(5.2, 1), &[Rule::OneAnswer]; "never")]
#[test_case(|r| { r.void(1); r.expired(5.2, 1) }, &[]; "its client has left")]
#[test_case(|r| { r.node_died(0); r.expired(5.2, 1) }, &[]; "its node was killed")]
#[test_case(|r| r.dropped(1.0, 1), &[Rule::OneAnswer]; "the connection was closed")]
#[test_case(|r| r.answered(1.0, 1, Final::Served), &[Rule::OneAnswer]; "made up")]
#[test_case(|r| { r.answered(1.0, 1, Final::Failed); r.forwarded(1, 0, 0, 1.2) }, &[Rule::OneAnswer]; "sent after")]
#[test_case(|r| r.forwarded(9, 0, 0, 1.2), &[Rule::OneAnswer]; "sent though never taken")]
fn one_answer(acts: fn(&mut Referee), expected: &[Rule]) {
    let mut referee = referee(LOOK, Group::All);
    acts(&mut referee);
    assert_eq!(rules(&referee), expected);
}

// Forwards to workers at 0.1 and then at `second`; what the first proved.
#[test_case(PAY, Group::All, None, 1, 1.0, false; "a payment out is not sent again")]
#[test_case(PAY, Group::All, Some(Proof::MayHaveRun), 1, 1.0, false; "nor one that may have run")]
#[test_case(PAY, Group::All, Some(Proof::NeverRan), 1, 1.0, true; "one that never ran may be")]
#[test_case(PAY, Group::All, Some(Proof::NeverRan), 1, 0.2, false; "but not before that is known")]
#[test_case(LOOK, Group::All, None, 1, 1.0, true; "a look may always be")]
#[test_case(KEYED, Group::All, Some(Proof::MayHaveRun), 2, 1.0, true; "deduplicated by all")]
#[test_case(KEYED, Group::All, Some(Proof::MayHaveRun), 2, 2.5, false; "too late for it")]
#[test_case(KEYED, Group::Zone, Some(Proof::MayHaveRun), 1, 1.0, true; "in its zone")]
#[test_case(KEYED, Group::Zone, Some(Proof::MayHaveRun), 2, 1.0, false; "in another")]
#[test_case(KEYED, Group::Cell, Some(Proof::MayHaveRun), 1, 1.0, false; "in another cell")]
#[test_case(KEYED, Group::Cell, Some(Proof::NeverRan), 1, 1.0, true; "anywhere if it never ran")]
fn no_effect_twice(effect: Effect, group: Group, proof: Option<Proof>, to: WorkerId, at: f64, fits: bool) {
    let mut referee = referee(effect, group);
    referee.forwarded(1, 0, 0, 0.1);
    proof.into_iter().for_each(|proof| referee.outcome(0.5, 1, 0, proof));
    referee.forwarded(1, 0, to, at);
    assert_eq!(rules(&referee), if fits { vec![] } else { vec![Rule::NoEffectTwice] });
    assert!(fits || referee.breaches[0].trace.len() >= 3, "with its trace");
}

#[test_case(PAY, Group::All, None, false; "a payment that is out is not refused")]
#[test_case(PAY, Group::All, Some(Proof::NeverRan), true; "one that never ran may be")]
#[test_case(KEYED, Group::All, Some(Proof::MayHaveRun), true; "where all drop repeats")]
#[test_case(KEYED, Group::Cell, Some(Proof::MayHaveRun), false; "not where a cell does")]
#[test_case(LOOK, Group::All, None, true; "a look may be")]
fn refusals(effect: Effect, group: Group, proof: Option<Proof>, fits: bool) {
    let mut referee = referee(effect, group);
    referee.forwarded(1, 0, 0, 0.1);
    proof.into_iter().for_each(|proof| referee.outcome(0.5, 1, 0, proof));
    referee.answered(1.0, 1, Final::Refused);
    assert_eq!(rules(&referee).is_empty(), fits);
}

#[test_case(1.4, &[]; "in its grace")]
#[test_case(1.6, &[Rule::NothingToTheGone]; "after it")]
fn nothing_to_the_gone(sent: f64, expected: &[Rule]) {
    let mut referee = referee(LOOK, Group::All);
    referee.told(1.0, 0, 2, false, 0.0);
    referee.told(1.5, 0, 2, false, 0.0);
    referee.forwarded(1, 0, 2, sent);
    assert_eq!(rules(&referee), expected);
}

#[test_case(0.9, &[Rule::NoColdWorkerPushedOver]; "they knew")]
#[test_case(8.0 / 11.0, &[Rule::NoColdWorkerPushedOver]; "over two thirds knew")]
#[test_case(8.0 / 12.0, &[]; "two thirds is not over two thirds")]
#[test_case(0.5, &[]; "they did not")]
fn cold_workers(informed: f64, expected: &[Rule]) {
    let mut referee = referee(LOOK, Group::All);
    referee.fell(1.0, 0, 2, Fall { informed, sent: 11.0, most: 10.0 });
    assert_eq!(rules(&referee), expected);
}
