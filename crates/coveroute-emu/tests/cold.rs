//! Cold workers under the load of all nodes together, by the operators' overload rule.
use std::path::Path;

use coveroute_emu::scenario::Scenario;
use coveroute_emu::virtual_time::{run, Policy};
use test_case::test_case;

// Guards against nodes that all use the same free slot (20 nodes: 4 overloads before the fix, 30 nodes: 1),
// and against cold workers left idle while nodes take turns. `work` is the minimum work that cold workers
// do, `most` the largest load sent to one, relative to its overload limit.
#[test_case("20", 100.0, 0.97; "twenty nodes, prompt reports")]
#[test_case("30", 100.0, 0.95; "thirty nodes, short jobs")]
#[test_case("late", 70.0, 0.9; "thirty nodes taking turns, late reports")]
fn cold_workers_are_used_but_not_overloaded(name: &str, work: f64, most: f64) {
    let path = format!("{}/../../scenarios/cold-throng-{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let scenario = Scenario::read(Path::new(&path)).expect("a valid scenario");
    for seed in [scenario.seed, scenario.seed + 1] {
        let (outcome, _) = run(&scenario, seed, Policy::Node, None).expect("a run");
        assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
        let counts = outcome.counts;
        assert!(counts.falls == 0 && counts.cold_work >= work && counts.cold_most <= most, "{counts:?}");
    }
}
