//! Parsing and writing of scenarios.
use test_case::test_case;

use super::*;

pub const PLAIN: &str = "name = \"p\"\nseconds = 10\n[nodes]\ncount = 1\n[[workers]]\ncount = 2\n\
    [[operations]]\nname = \"look\"\neffect = \"idempotent\"\nrate = 5\nwork = 0.1\nobjective = 1\ntimeout = 3\n";

#[test]
fn written_scenarios_parse_back() {
    let scenario = Scenario::parse(PLAIN).expect("valid");
    assert_eq!(Scenario::parse(&scenario.text()), Ok(scenario));
}

#[test_case("rate = 5", "rat = 5", &["line 10", "rat", "rate"]; "an unknown key")]
#[test_case("work = 0.1", "work = -1", &["line 11: work", "over 0"]; "a value out of range")]
#[test_case("\"idempotent\"", "\"perhaps\"", &["line 9: effect", "non-idempotent"]; "an unknown effect")]
#[test_case("timeout = 3", "timeout = 0.5", &["line 7: operations", "objective"]; "a timeout too short")]
#[test_case("count = 1", "count = 0", &["line 3: nodes", "at least one"]; "no nodes")]
#[test_case("timeout = 3", "timeout = 3\nkind = \"x\"", &["line 7: operations", "no worker"]; "an unknown machine kind")]
#[test_case("timeout = 3", "timeout = 3\n[[faults]]\nat = 1\nwhat = \"stolen\"", &["line 14: faults", "a part"]; "a missing strength")]
#[test_case("timeout = 3", "timeout = 3\n[[faults]]\nat = 1\nwhat = \"partition\"", &["line 14", "zone"]; "a missing zone")]
#[test_case("timeout = 3", "timeout = 3\n[[faults]]\nat = 1\nwhat = \"melts\"", &["line 16: what", "silent"]; "an unknown fault")]
fn errors_name_line_key_and_allowed_values(old: &str, new: &str, words: &[&str]) {
    let told = Scenario::parse(&PLAIN.replacen(old, new, 1)).expect_err("an error");
    assert!(words.iter().all(|word| told.contains(word)) && !told.contains('\n'), "{told}");
}
