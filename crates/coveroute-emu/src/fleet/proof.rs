//! The proofs `fleet` and `limits`: the guarantees of a fleet of nodes, in virtual time and on real processes.
use std::path::Path;
use std::time::{Duration, Instant};

use coveroute_fleet::explore::{explore, Model};
use serde::Serialize;
use serde_json::json;

use super::callers::Caller;
use super::measure::{
    bytes_with_limits, false_deaths_an_hour, measure_size, quantile, run_limited_schedules, run_schedules,
    small_limit, uneven_demand,
};
use super::model::{format_path, FleetModel};
use super::model_limits::{self, RightsModel};
use super::processes::Processes;
use crate::load::{load, LoadPlan, Members};
use crate::loopback::{self, resource_usage};
use crate::proof::{Proof, ProofContext};
use crate::scenario::{Direction, FaultKind, FleetSettings, Scenario};
use crate::search::{random_fleet_scenario, search};
use crate::world::NodeId;

const PRESENT: [&str; 2] = ["alive", "returned"];
/// Seconds within which all nodes must know of a kill, a cut, the end of a stall, and the end of a cut.
const KILL_KNOWN_WITHIN: f64 = 2.0;
const CUT_KNOWN_WITHIN: f64 = 3.0;
const STALL_END_KNOWN_WITHIN: f64 = 1.0;
const CUT_END_KNOWN_WITHIN: f64 = 2.0;
/// Greatest loss of service that a fleet may cost, and the number of pairs of runs that measure it.
const MAX_SERVICE_LOSS: f64 = 0.03;
const SERVICE_PAIRS: usize = 3;

/// The proof `fleet`: failure detection and equal tables.
pub fn fleet(context: &ProofContext) -> Result<Proof, String> {
    let mut proof = Proof::new();
    check_virtual_time(context.long, &mut proof);
    let plans: &[(usize, usize, usize)] = if context.long {
        &[(2, 16, 400_000), (3, 12, 250_000), (4, 10, 150_000)]
    } else {
        &[(2, 7, 30_000)]
    };
    plans
        .iter()
        .for_each(|plan| explore_orders(&mut proof, *plan, &FleetModel::new(plan.0, 0.01), format_path));
    check_all_faults(context.long, &mut proof)?;
    let (nodes, kills, cuts, stall) = if context.long { (12, 50, 10, 20.0) } else { (5, 3, 1, 3.0) };
    check_processes(&context.node, nodes, (kills, cuts, stall), &mut proof)?;
    check_service(context, &mut proof)?;
    if context.long {
        check_call_cost(&context.node, &mut proof)?;
    }
    Ok(proof)
}

/// Random schedules, figures by fleet size, and false deaths under loss, in virtual time.
fn check_virtual_time(long: bool, proof: &mut Proof) {
    let all = run_schedules(1, if long { 10_000 } else { 300 });
    proof.require(all.broken == 0, format!("schedules: {} breaches, {:?}", all.broken, all.breaches));
    proof.require(
        all.apart == 0,
        format!("schedules: tables differ after {} of them, seeds {:?}", all.apart, all.unequal),
    );
    proof.require(
        all.ages.nearest <= 1.0,
        format!("a reported age is below the true one: ratio {}", all.ages.nearest),
    );
    proof.require(all.ages.nearest >= 1.0 / 3.0, "no reported age is close to the true one".into());
    proof.note("schedules", &all);
    let mut sizes = Vec::new();
    for (nodes, kills) in if long { vec![(12, 50), (30, 50), (300, 10), (1000, 3)] } else { vec![(30, 10)] } {
        let began = Instant::now();
        let size = measure_size(nodes, kills, 1);
        proof.require(
            size.bytes <= 4096.0,
            format!("{nodes} nodes: {:.0} bytes per second each, at most 4096 allowed", size.bytes),
        );
        proof.require(size.false_deaths == 0, format!("{nodes} nodes: {} false deaths", size.false_deaths));
        proof.note(&format!("size_{nodes}"), (&size, began.elapsed().as_secs_f64()));
        sizes.push(size);
    }
    if let (true, Some(least), Some(most)) = (long, sizes.get(1), sizes.last()) {
        let times = most.bytes / least.bytes;
        proof.note("bytes_30_to_1000", times);
        proof.require(
            times <= 1.3,
            format!("{times:.2} times the bytes per node at 1,000 nodes as at 30, at most 1.3 allowed"),
        );
    }
    for (name, loss) in [("lost_0", 0.0), ("lost_10", 0.1), ("lost_30", 0.3)] {
        let (seconds, seeds) = if long { (3600.0, 8) } else { (120.0, 8) };
        let deaths = false_deaths_an_hour(12, loss, seconds, seeds);
        proof.note(&format!("false_deaths_an_hour_{name}"), deaths);
        proof.require(deaths == 0.0, format!("{name}: {deaths} false deaths per hour"));
    }
}

/// Random scenarios that combine the fleet's faults with all others, under load.
fn check_all_faults(long: bool, proof: &mut Proof) -> Result<(), String> {
    let seeds = if long { 5000 } else { 300 };
    let searched = search(1, seeds, 0, false, random_fleet_scenario, || {})?;
    proof.note("searched", (seeds, searched.mean));
    for found in &searched.broken {
        proof.require(false, format!("seed {}: {}", found.seed, found.words));
    }
    Ok(())
}

/// Explores all interleavings of a model's steps to `depth`, or as deep as `most` states allow.
fn explore_orders<M: Model>(
    proof: &mut Proof,
    (nodes, depth, most): (usize, usize, usize),
    model: &M,
    format_path: impl Fn(&[M::Step]) -> String,
) {
    let explored = explore(model, depth, most);
    let (states, steps) = (explored.states, explored.steps);
    let explored_to = json!({ "states": states, "steps": steps, "depth": explored.depth });
    proof.note(&format!("orders_{nodes}"), explored_to);
    let violation = explored
        .violation
        .map(|violation| format!("{}: {}", format_path(&violation.steps), violation.description));
    proof.require(violation.is_none(), format!("{nodes} nodes: {}", violation.unwrap_or_default()));
}

/// Quantiles of measured durations, in seconds.
#[derive(Serialize)]
struct DurationQuantiles {
    p50: f64,
    p99: f64,
    runs: usize,
}

fn duration_quantiles(mut figures: Vec<f64>) -> DurationQuantiles {
    DurationQuantiles {
        p50: quantile(&mut figures, 0.5),
        p99: quantile(&mut figures, 0.99),
        runs: figures.len(),
    }
}

/// Real processes: how soon all nodes know of kills, cuts, and the ends of stalls and cuts.
fn check_processes(
    program: &Path,
    nodes: usize,
    (kills, cuts, stall): (usize, usize, f64),
    proof: &mut Proof,
) -> Result<(), String> {
    let mut fleet = Processes::start(program, nodes, FleetSettings::default())?;
    let all: Vec<NodeId> = (0..nodes).collect();
    let all_present = |p: &Processes| p.all_hold_states(&all, &all, &PRESENT) && p.agree_on_table(&all);
    let met_after =
        fleet.wait_until(30.0, all_present).ok_or("the processes do not all know each other after 30 s")?;
    proof.note("met", met_after);
    let (mut known, mut returned) = (Vec::new(), Vec::new());
    for kill in 0..kills {
        let victim = (kill * 5 + 1) % nodes;
        let rest: Vec<NodeId> = all.iter().copied().filter(|node| *node != victim).collect();
        fleet.kill(victim);
        known.push(
            fleet
                .wait_until(15.0, |p| p.all_hold_states(&rest, &[victim], &["dead"]))
                .unwrap_or(f64::INFINITY),
        );
        fleet.start_node(victim)?;
        returned.push(fleet.wait_until(15.0, all_present).unwrap_or(f64::INFINITY));
    }
    let (known, returned) = (duration_quantiles(known), duration_quantiles(returned));
    proof.require(
        known.p99 <= KILL_KNOWN_WITHIN,
        format!("all nodes know of a kill after {:.2} s, at most {KILL_KNOWN_WITHIN} allowed", known.p99),
    );
    proof.note("kill_known", known);
    proof.note("start_known", returned);
    let (mut detected, mut healed) = (Vec::new(), Vec::new());
    for cut in 0..cuts {
        let side: Vec<NodeId> = (0..nodes * 5 / 12).map(|at| (at + cut) % nodes).collect();
        let rest: Vec<NodeId> = all.iter().copied().filter(|node| !side.contains(node)).collect();
        fleet.inject_link_fault(FaultKind::LinkCut, 0.0, &side, Direction::Both);
        let both = |p: &Processes| {
            p.all_hold_states(&rest, &side, &["dead"]) && p.all_hold_states(&side, &rest, &["dead"])
        };
        detected.push(fleet.wait_until(15.0, both).unwrap_or(f64::INFINITY));
        let among =
            fleet.all_hold_states(&rest, &rest, &PRESENT) && fleet.all_hold_states(&side, &side, &PRESENT);
        proof.require(
            among,
            format!("cut {cut}: a node does not hold a member of its own side to be present"),
        );
        fleet.heal();
        healed.push(fleet.wait_until(15.0, all_present).unwrap_or(f64::INFINITY));
    }
    let (detected, healed) = (duration_quantiles(detected), duration_quantiles(healed));
    proof.require(
        detected.p99 <= CUT_KNOWN_WITHIN,
        format!("all nodes know of a cut after {:.2} s, at most {CUT_KNOWN_WITHIN} allowed", detected.p99),
    );
    proof.require(
        healed.p99 <= CUT_END_KNOWN_WITHIN,
        format!("tables are equal {:.2} s after a cut, at most {CUT_END_KNOWN_WITHIN} allowed", healed.p99),
    );
    proof.note("cut_known", detected);
    proof.note("cut_healed", healed);
    let stalled = nodes - 1;
    let rest: Vec<NodeId> = all.iter().copied().filter(|node| *node != stalled).collect();
    fleet.stall(stalled);
    std::thread::sleep(Duration::from_secs_f64(stall));
    proof.require(
        fleet.all_hold_states(&rest, &[stalled], &["dead"]),
        format!("a node that was stalled for {stall} s is not declared dead"),
    );
    fleet.resume(stalled);
    let refuted = fleet.wait_until(15.0, all_present).unwrap_or(f64::INFINITY);
    proof.note("stall_refuted", refuted);
    let words = format!("all nodes know of the end of a stall after {refuted:.2} s");
    proof.require(
        refuted <= STALL_END_KNOWN_WITHIN,
        format!("{words}, at most {STALL_END_KNOWN_WITHIN} allowed"),
    );
    let cpu = |fleet: &Processes| {
        all.iter()
            .filter_map(|node| fleet.pid(*node))
            .map(|pid| resource_usage(pid as i32).cpu_seconds)
            .sum::<f64>()
    };
    let (before, span) = (cpu(&fleet), 5.0);
    std::thread::sleep(Duration::from_secs_f64(span));
    proof.note("cpu_of_a_core_each", (cpu(&fleet) - before) / span / nodes as f64);
    Ok(())
}

/// Compares the service of one scenario with and without a fleet, in pairs of consecutive runs. Load on the machine that
/// affects both runs of a pair cancels out, and the median leaves out pairs in which it affected only one.
fn check_service(context: &ProofContext, proof: &mut Proof) -> Result<(), String> {
    let mut scenario = Scenario::read(&context.scenarios.join("rehearsal-short.toml"))?;
    let mut pairs = [[0.0; 2]; SERVICE_PAIRS];
    for (pair, figures) in pairs.iter_mut().enumerate() {
        // The order alternates from pair to pair.
        for with in [pair % 2, 1 - pair % 2] {
            scenario.fleet = (with == 1).then(FleetSettings::default);
            let options = loopback::Options { node: context.node.clone(), logs: None };
            let (outcome, _) = loopback::run(&scenario, scenario.seed, options)?;
            proof.require(outcome.broken == 0, format!("service: {:?}", outcome.breaches.first()));
            figures[with] = outcome.figure();
        }
    }
    proof.note("service_without_and_with", pairs);
    let difference = quantile(&mut pairs.map(|[without, with]| with - without), 0.5);
    proof.require(
        difference >= -MAX_SERVICE_LOSS,
        format!(
            "service changes by {difference:.3} with a fleet, a loss of at most {MAX_SERVICE_LOSS} allowed"
        ),
    );
    Ok(())
}

/// Compares a node's processor time per call in a fleet of five and alone, in alternation.
fn check_call_cost(program: &Path, proof: &mut Proof) -> Result<(), String> {
    let mut costs = [Vec::new(), Vec::new()];
    for _ in 0..5 {
        for (with, costs) in costs.iter_mut().enumerate() {
            let mut others = Processes::start(program, 5, FleetSettings::default())?;
            others.kill(0);
            let (node, seconds) = (program.to_owned(), 3.0);
            let (file, member) = others.fleet_file(0);
            let members = if with == 1 { Members::File(file, member) } else { Members::Nobody };
            let plan = LoadPlan { node, seconds, members, ..LoadPlan::default() };
            costs.push(load(&plan)?.cpu_us_a_call);
        }
    }
    let [without, with] = costs.map(|mut costs| quantile(&mut costs, 0.5));
    proof.note("cpu_us_a_call_without_and_with", [without, with]);
    proof.require(
        with <= 1.1 * without,
        format!("{with:.1} us per call in a fleet, {without:.1} without, at most 1.1 times that allowed"),
    );
    Ok(())
}

const TENANT: &str = "acme";
/// The tenant's share on real processes, in invocations per second over all nodes.
const SHARE: f64 = 60.0;

/// The proof `limits`: a share over all nodes is never exceeded, and is available where it is requested.
pub fn limits(context: &ProofContext) -> Result<Proof, String> {
    let mut proof = Proof::new();
    let all = run_limited_schedules(1, if context.long { 10_000 } else { 300 });
    proof.require(all.broken == 0, format!("schedules: {} breaches, {:?}", all.broken, all.breaches));
    proof.require(
        all.fullest >= 0.5,
        format!("the fullest window uses {:.2} of the bound, at least 0.5 wanted", all.fullest),
    );
    proof.note("schedules", &all);
    let plans: &[(usize, usize, usize)] =
        if context.long { &[(2, 14, 400_000), (3, 10, 300_000)] } else { &[(2, 7, 30_000)] };
    let format_path = |steps: &[model_limits::Step]| format!("{steps:?}");
    plans
        .iter()
        .for_each(|plan| explore_orders(&mut proof, *plan, &RightsModel::new(plan.0, 0.01), format_path));
    for (nodes, rate) in if context.long { vec![(12, 120.0), (100, 1000.0)] } else { vec![(12, 120.0)] } {
        let (had, equal) = uneven_demand(nodes, 1, 60.0, (rate, 1.0));
        proof.note(&format!("uneven_{nodes}"), json!({ "had": had, "equal_parts": equal }));
        proof.require(
            had >= 0.97,
            format!("{nodes} nodes: {had:.3} of a share with uneven demand is used, at least 0.97 wanted"),
        );
    }
    let small = small_limit(12, 1);
    proof.note("small_of_0.3_a_second", small);
    proof.require(
        small >= 0.9,
        format!("{small:.2} of a share of 0.3 per second among 12 nodes is granted, at least 0.9 wanted"),
    );
    for (nodes, tenants) in
        if context.long { vec![(12, 10), (12, 100), (100, 10), (100, 100)] } else { vec![(12, 10)] }
    {
        let bytes = bytes_with_limits(nodes, tenants);
        proof.note(&format!("bytes_{nodes}_nodes_{tenants}_tenants"), bytes);
    }
    check_shared_limit(context, &mut proof)?;
    Ok(proof)
}

/// Real processes with more demand than the share, under faults: monitors from outside what the nodes grant together.
fn check_shared_limit(context: &ProofContext, proof: &mut Proof) -> Result<(), String> {
    let (nodes, rounds) = if context.long { (12, 12) } else { (5, 2) };
    let mut fleet =
        Processes::start_with_share(&context.node, nodes, FleetSettings::default(), Some((TENANT, SHARE)))?;
    let minted = |p: &Processes| {
        (0..nodes).all(|node| p.fleet_metrics(node).is_some_and(|f| f["mints"].as_u64() == Some(1)))
    };
    fleet.wait_until(30.0, minted).ok_or("the processes do not all hold their mints after 30 s")?;
    let callers: Vec<Caller> = (0..nodes).map(|node| Caller::new(fleet.listen_addr(node), TENANT)).collect();
    // Without faults: all demand at one node.
    callers[0].set_rate(0.95 * SHARE);
    std::thread::sleep(Duration::from_secs(2));
    let limit_counts = |p: &Processes, node: NodeId| p.limit_counts(node, TENANT).unwrap_or_default();
    let before = limit_counts(&fleet, 0);
    std::thread::sleep(Duration::from_secs(5));
    let after = limit_counts(&fleet, 0);
    let had = (after.1 - before.1) / (after.0 - before.0).max(1.0);
    proof.note("all_at_one_node", had);
    proof.require(
        had >= 0.95,
        format!("all demand at one node: {had:.3} of it is within the share, at least 0.95 wanted"),
    );
    // With faults: demand of twice the share, equal at all nodes.
    callers.iter().for_each(|caller| caller.set_rate(2.0 * SHARE / nodes as f64));
    let (start, mut monitor) = (Instant::now(), UsageMonitor::new(nodes));
    let (mut kills, mut stalls, mut cuts) = (0, 0, 0);
    for round in 0..rounds {
        let (one, two) = (round % nodes, (round + nodes / 2) % nodes);
        let side: Vec<NodeId> = (0..nodes * 5 / 12).map(|at| (at + round) % nodes).collect();
        fleet.inject_link_fault(FaultKind::LinkCut, 0.0, &side, Direction::Both);
        monitor.observe(&fleet, start, 3.0, proof);
        fleet.stall(one);
        monitor.observe(&fleet, start, 3.0, proof);
        fleet.heal();
        monitor.observe(&fleet, start, 1.0, proof);
        fleet.resume(one);
        monitor.observe(&fleet, start, 1.0, proof);
        monitor.kill(&mut fleet, two);
        monitor.observe(&fleet, start, 1.0, proof);
        fleet.start_node(two)?;
        monitor.observe(&fleet, start, 2.0, proof);
        (kills, stalls, cuts) = (kills + 1, stalls + 1, cuts + 1);
    }
    proof.note(
        "faults",
        json!({ "kills": kills, "stalls": stalls, "cuts": cuts, "windows": monitor.windows }),
    );
    proof.note("fullest_window", monitor.fullest);
    proof.note("had_under_faults", monitor.had() / (SHARE * start.elapsed().as_secs_f64()));
    Ok(())
}

/// Records over time how many uses all nodes together have granted.
struct UsageMonitor {
    /// The latest count of each node's process.
    last: Vec<f64>,
    /// The final counts of processes that were killed, summed.
    ended: f64,
    /// The time before each round of reading the nodes, and the total read.
    samples: Vec<(f64, f64)>,
    windows: u64,
    fullest: f64,
}

impl UsageMonitor {
    fn new(nodes: usize) -> Self {
        UsageMonitor { last: vec![0.0; nodes], ended: 0.0, samples: Vec::new(), windows: 0, fullest: 0.0 }
    }

    fn had(&self) -> f64 {
        self.samples.last().map_or(0.0, |last| last.1) - self.samples.first().map_or(0.0, |first| first.1)
    }

    fn kill(&mut self, fleet: &mut Processes, node: NodeId) {
        let had = fleet.limit_counts(node, TENANT).map_or(self.last[node], |counts| counts.1);
        fleet.kill(node);
        self.ended += had.max(self.last[node]);
        self.last[node] = 0.0;
    }

    /// Checks for `seconds` that no window holds more than the share, twice the stock's time of it, and one for a use in
    /// progress.
    fn observe(&mut self, fleet: &Processes, start: Instant, seconds: f64, proof: &mut Proof) {
        let until = start.elapsed().as_secs_f64() + seconds;
        while start.elapsed().as_secs_f64() < until {
            let from = start.elapsed().as_secs_f64();
            for node in fleet.running() {
                let counts = fleet.limit_counts(node, TENANT);
                self.last[node] = counts.map_or(self.last[node], |counts| counts.1.max(self.last[node]));
            }
            let (to, had) = (start.elapsed().as_secs_f64(), self.ended + self.last.iter().sum::<f64>());
            for (at, before) in &self.samples {
                let most = SHARE * (to - at) * 1.02 + SHARE + 1.0;
                self.windows += 1;
                self.fullest = self.fullest.max((had - before) / most);
                proof.require(
                    had - before <= most,
                    format!("{} used in {:.2} s, at most {most:.1} allowed", had - before, to - at),
                );
            }
            self.samples.push((from, had));
            std::thread::sleep(Duration::from_millis(40));
        }
    }
}
