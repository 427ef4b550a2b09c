//! The proof `capacity`: measures what a node uses at three sizes or more of each quantity that grows, fits a line, and
//! evaluates it at the size that the system is designed for (`docs/CAPACITY.md`).
//!
//! All workers are stubs in this process: each listens on an address of its own, accepts jobs, runs nothing and reports
//! them done. Nodes are real processes, except where only their messages count: those are simulated in virtual time.
use std::time::Instant;

use serde::Serialize;
use serde_json::json;

use self::fit::{fit, median_ratio, Fit};
use self::rig_group::{IdleFigures, LoadFigures, RigGroup};
use crate::fleet::measure::{traffic, Traffic};
use crate::load::{on_runtime, LoadPlan, Members};
use crate::proof::{Proof, ProofContext};

pub mod fit;
pub mod rig_group;
pub mod size;

#[cfg(test)]
mod tests;

/// Allowed ratio of the processor time of a start at 7,800 executors to that at 200; see `docs/CAPACITY.md`, Start.
pub const START_COST_GROWTH: f64 = 1.25;
/// Allowed growth of the cost per entry of a full list with its length. An implementation that parses the list again with
/// each piece received exceeds it.
const LIST_COST_GROWTH: f64 = 2.5;
/// Fraction of the calls that may fail, on a machine with other load.
const MAX_FAILED: f64 = 0.05;
/// If a node waits for a core for more than this fraction of the time, the machine is the bottleneck and not the node.
const MAX_CPU_WAIT: f64 = 0.1;
/// Fraction of the requested rate that the nodes must reach if the machine is large enough.
const MIN_ACHIEVED: f64 = 0.95;
/// Duration of jobs in measurements of starts, in milliseconds.
const JOB_MS: f64 = 50.0;
/// Idle time after which connections to executors close, in seconds, so that each start opens a new one.
const IDLE_WITHOUT_REUSE: f64 = 0.005;
/// Descriptors that this process needs besides those for executors and clients.
const OWN_DESCRIPTORS: usize = 500;

/// Sizes and durations of the measurements: the short form is for CI, the long one is run by hand.
struct Extent {
    /// Starts per second.
    rate: f64,
    /// Warm-up before a measurement, in seconds; then the number of windows and the seconds of each.
    warm: f64,
    windows: usize,
    each: f64,
    /// Numbers of executors, in groups that run side by side.
    sizes: &'static [&'static [usize]],
    /// Rounds of lists, changes and configurations.
    lists: usize,
    /// Fractions of a node's starts at peak.
    rates: [f64; 3],
    /// Running tasks per node.
    running: &'static [usize],
    running_rate: f64,
    teams: &'static [usize],
    nodes: &'static [usize],
}

const SHORT: Extent = Extent {
    rate: 120.0,
    warm: 2.0,
    windows: 8,
    each: 0.75,
    sizes: &[&[200, 1_000, size::WORKERS]],
    lists: 2,
    rates: [0.2, 0.4, 0.6],
    running: &[100, 300, 600],
    running_rate: 200.0,
    teams: &[],
    nodes: &[size::NODES],
};

const LONG: Extent = Extent {
    rate: size::STARTS_A_SECOND / size::NODES as f64,
    warm: 10.0,
    windows: 15,
    each: 1.0,
    sizes: &[&[200, size::WORKERS], &[200, 1_000, 4_000]],
    lists: 5,
    rates: [0.3, 1.0, 2.0],
    running: &[500, 2_000, 4_000],
    running_rate: size::STARTS_A_SECOND / size::NODES as f64,
    teams: &[10, 100, size::TEAMS],
    nodes: &[size::NODES, size::MANY_NODES],
};

/// The growth of a measured figure (`of`) with a quantity (`by`).
#[derive(Serialize)]
struct Slope {
    by: &'static str,
    of: &'static str,
    fit: Fit,
    /// The fitted value at the size that the system is designed for.
    there: f64,
}

/// Runs the proof.
pub fn capacity(context: &ProofContext) -> Result<Proof, String> {
    let extent = if context.long { &LONG } else { &SHORT };
    let (mut proof, began) = (Proof::new(), Instant::now());
    let bound = descriptor_limit();
    proof.note("descriptors", bound);
    let node = LoadPlan { node: context.node.clone(), runs: JOB_MS, ..LoadPlan::default() };
    let plan = |executors: usize, rate: f64| LoadPlan {
        executors,
        rate: Some(rate),
        sockets: executors + OWN_DESCRIPTORS,
        ..node.clone()
    };
    let mut slopes = Vec::new();
    type Part =
        fn(&Extent, &dyn Fn(usize, f64) -> LoadPlan, &mut Vec<Slope>, &mut Proof) -> Result<(), String>;
    let parts: [(&str, Part); 4] = [
        ("by executors", by_executors),
        ("by rate", by_rate),
        ("by running tasks", by_running),
        ("by teams", by_teams),
    ];
    for (what, part) in parts {
        // A part that cannot run is reported, and the others run all the same.
        let result = part(extent, &plan, &mut slopes, &mut proof);
        result.unwrap_or_else(|e| proof.require(false, format!("{what}: {e}")));
    }
    fleet_traffic(extent, &mut proof);
    if context.long {
        let results = [
            without_discovery(&plan, &mut proof),
            without_free_slots(&plan, &mut proof),
            all_nodes(&node, bound, &mut proof),
        ];
        results.into_iter().for_each(|result| result.unwrap_or_else(|e| proof.require(false, e)));
    }
    proof.note("slopes", slopes);
    proof.note("seconds", began.elapsed().as_secs_f64());
    Ok(proof)
}

/// The limit of open descriptors per process on this machine.
fn descriptor_limit() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(1024)
}

/// Whether the nodes carried the load. If they did not although they got the processor time, the proof fails; if other
/// processes took their cores, the part is noted as not measured and nothing that depends on it is required.
fn load_carried(proof: &mut Proof, what: &str, all: &[LoadFigures]) -> bool {
    let carried = |one: &LoadFigures| one.other <= MAX_FAILED && one.starts >= MIN_ACHIEVED * one.rate;
    let failed: Vec<&LoadFigures> = all.iter().filter(|one| !carried(one)).collect();
    let starved = all.iter().map(|one| one.starved).fold(0.0, f64::max);
    if !failed.is_empty() && starved > MAX_CPU_WAIT {
        proof.note(&format!("not_measured: {what}"), json!({ "starved": starved }));
        return false;
    }
    for one in &failed {
        let (achieved, requested, other) = (one.starts, one.rate, one.other);
        let words = format!(
            "{what}: {achieved:.0} of {requested:.0} starts per second, {other:.3} of the calls failed"
        );
        proof.require(false, format!("{words} at {} executors", one.executors));
    }
    failed.is_empty()
}

/// Fits a line to `of` over `by`.
fn fit_line<T>(all: &[T], by: impl Fn(&T) -> f64, of: impl Fn(&T) -> f64) -> Fit {
    fit(&all.iter().map(|one| (by(one), of(one))).collect::<Vec<_>>())
}

/// Measures starts, memory, lists, changes and new configurations by the number of executors.
fn by_executors(
    extent: &Extent,
    plan: &dyn Fn(usize, f64) -> LoadPlan,
    slopes: &mut Vec<Slope>,
    proof: &mut Proof,
) -> Result<(), String> {
    let (mut all, mut all_idle) = (Vec::new(), Vec::new());
    for sizes in extent.sizes {
        let mut plans: Vec<LoadPlan> = sizes.iter().map(|size| plan(*size, extent.rate)).collect();
        // The first size again, with a new connection for each start.
        plans.push(LoadPlan { idle: IDLE_WITHOUT_REUSE, ..plans[0].clone() });
        let (mut loaded, mut idle) = on_runtime(async {
            let group = RigGroup::start(&plans).await?;
            let loaded = group.load(extent.warm, extent.windows, extent.each).await;
            group.stop_calls().await;
            let idle = group.measure_idle(extent.lists).await;
            group.stop().await.map(|()| (loaded, idle))
        })?;
        let carried = load_carried(proof, "by executors", &loaded);
        let (dialling, _) = (loaded.pop(), idle.pop());
        if let (Some(dialling), [first, .., last]) = (dialling, &loaded[..]) {
            check_start_growth(first, last, &dialling, carried, proof);
        }
        all.extend(loaded);
        all_idle.extend(idle);
    }
    let (loaded, idle) = (by_size(all, |one| one.executors), by_size(all_idle, |one| one.executors));
    let most = size::WORKERS as f64;
    let mut slope = |of, fit: Fit| slopes.push(Slope { by: "executors", of, fit, there: fit.at(most) });
    let executors = |one: &LoadFigures| one.executors as f64;
    slope("start_us", fit_line(&loaded, executors, |one| one.start_us));
    slope("resident_mb", fit_line(&loaded, executors, |one| one.resident_mb));
    slope("up_cpu_s", fit_line(&loaded, executors, |one| one.up_cpu));
    let executors = |one: &IdleFigures| one.executors as f64;
    slope("idle_cores", fit_line(&idle, executors, |one| one.cores));
    slope("list_bytes", fit_line(&idle, executors, |one| one.list_bytes as f64));
    slope("list_ms", fit_line(&idle, executors, |one| one.list_ms));
    slope("fifth_goes_ms", fit_line(&idle, executors, |one| one.fifth_goes_ms));
    slope("fifth_comes_ms", fit_line(&idle, executors, |one| one.fifth_comes_ms));
    slope("change_ms", fit_line(&idle, executors, |one| one.change_ms));
    slope("reload_ms", fit_line(&idle, executors, |one| one.reload_ms));
    check_control_cost(&idle, proof);
    proof.note("by_executors", loaded);
    proof.note("lists", idle);
    Ok(())
}

/// The first measurement of each size, in ascending order of size.
fn by_size<T>(all: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<T> {
    let mut kept: Vec<T> = Vec::new();
    for one in all {
        if kept.iter().all(|other| size(other) != size(&one)) {
            kept.push(one);
        }
    }
    kept.sort_by_key(size);
    kept
}

/// Checks the ratio of a start's cost at the most executors to that at the fewest, measured side by side. Also notes the
/// ratio without the cost of new connections, which nodes open until they have called each of many executors.
fn check_start_growth(
    first: &LoadFigures,
    last: &LoadFigures,
    dialling: &LoadFigures,
    carried: bool,
    proof: &mut Proof,
) {
    let raw = median_ratio(&last.windows, &first.windows);
    let dial = (dialling.start_us - first.start_us) / (dialling.dials - first.dials).max(0.1);
    let without = |one: &LoadFigures| -> Vec<f64> {
        one.windows.iter().map(|us| us - dial.max(0.0) * one.dials).collect()
    };
    let bare = median_ratio(&without(last), &without(first));
    proof.note(
        &format!("start_growth_{}", last.executors),
        json!({ "raw": raw, "dial_us": dial, "without_dials": bare,
                "share_least": last.share_least, "share_most": last.share_most, "share_chance": last.share_chance }),
    );
    if last.executors == size::WORKERS {
        let words = format!(
            "a start at {} executors costs {raw:.2} times one at {}",
            last.executors, first.executors
        );
        proof.require(
            !carried || raw <= START_COST_GROWTH,
            format!("{words}, at most {START_COST_GROWTH} allowed"),
        );
        proof.require(
            last.resident_mb <= size::CONTROL_MEMORY_MB,
            format!(
                "{:.1} MB at {} executors, at most {} allowed",
                last.resident_mb,
                last.executors,
                size::CONTROL_MEMORY_MB
            ),
        );
    }
}

/// Checks the cost of full lists, a zone, single changes and new configurations against the budget for control.
fn check_control_cost(measured: &[IdleFigures], proof: &mut Proof) {
    let [first, .., last] = measured else { return };
    let within = 1e3 * size::CONTROL_CORES * size::CONFIGURATION_WITHIN;
    for (what, ms) in [
        ("a full list", last.list_ms),
        ("loss of a zone", last.fifth_goes_ms),
        ("return of a zone", last.fifth_comes_ms),
    ] {
        let words =
            format!("{what}: {ms:.1} ms at {} executors, at most {within:.0} allowed", last.executors);
        proof.require(ms <= within, words);
    }
    // Compares with the second smallest size, where the constant cost of a list no longer matters.
    let from = measured.get(1).unwrap_or(first);
    let each = |one: &IdleFigures| one.list_ms / one.executors as f64;
    let grown = each(last) / each(from).max(1e-9);
    proof.note("list_ms_an_executor_grown", grown);
    proof.require(
        grown <= LIST_COST_GROWTH,
        format!("an entry of a long list costs {grown:.2} times one of a short, at most {LIST_COST_GROWTH} allowed"),
    );
    let cores = |ms: f64, per_second: f64| ms / 1e3 * per_second;
    let changes = cores(last.change_ms, size::list_changes());
    let configurations = cores(last.reload_ms, size::CONFIGURATIONS_A_DAY / size::DAY);
    proof.note("changes_cores", changes);
    proof.note("configurations_cores", configurations);
    proof.require(changes + configurations + last.cores <= size::CONTROL_CORES, format!(
        "control uses {:.4} cores: {changes:.4} for changes of the list, {configurations:.4} for configurations, \
         {:.4} when idle",
        changes + configurations + last.cores, last.cores
    ));
}

/// Measures a group of rigs under load.
fn measure_load(extent: &Extent, warm: f64, plans: &[LoadPlan]) -> Result<Vec<LoadFigures>, String> {
    on_runtime(async {
        let group = RigGroup::start(plans).await?;
        let loaded = group.load(warm, extent.windows, extent.each).await;
        group.stop().await.map(|()| loaded)
    })
}

fn by_rate(
    extent: &Extent,
    plan: &dyn Fn(usize, f64) -> LoadPlan,
    slopes: &mut Vec<Slope>,
    proof: &mut Proof,
) -> Result<(), String> {
    let plans: Vec<LoadPlan> =
        extent.rates.iter().map(|part| plan(1_000, part * size::node_starts())).collect();
    let all = measure_load(extent, extent.warm, &plans)?;
    load_carried(proof, "by rate", &all);
    let fit = fit_line(&all, |one| one.starts, |one| one.cores);
    slopes.push(Slope { by: "starts a second", of: "cores", fit, there: fit.at(size::node_starts()) });
    proof.note("by_rate", all);
    Ok(())
}

fn by_running(
    extent: &Extent,
    plan: &dyn Fn(usize, f64) -> LoadPlan,
    slopes: &mut Vec<Slope>,
    proof: &mut Proof,
) -> Result<(), String> {
    let rate = extent.running_rate;
    let plans: Vec<LoadPlan> = extent
        .running
        .iter()
        .map(|running| {
            let connections = running + running / 3 + OWN_DESCRIPTORS;
            let (runs, timeout) = (1e3 * *running as f64 / rate, 60.0);
            // A node accepts no more waiting clients than fit: they may use a third of the descriptors and half of the
            // memory, with up to 256 KiB each (`docs/CAPACITY.md`, Running tasks).
            let (sockets, memory_mb) = (3 * connections, 64 + connections * 2 * 256 / 1024);
            LoadPlan { connections, sockets, memory_mb, runs, timeout, ..plan(1_000, rate) }
        })
        .collect();
    let longest = plans.iter().map(|plan| plan.runs / 1e3).fold(0.0, f64::max);
    let all = measure_load(extent, extent.warm + longest, &plans)?;
    load_carried(proof, "by running tasks", &all);
    let there = size::RUNNING as f64 / size::NODES as f64;
    let fit = fit_line(&all, |one| one.running, |one| one.start_us);
    slopes.push(Slope { by: "running tasks", of: "start_us", fit, there: fit.at(there) });
    let fit = fit_line(&all, |one| one.running, |one| one.resident_mb);
    slopes.push(Slope { by: "running tasks", of: "resident_mb", fit, there: fit.at(there) });
    proof.note("by_running", all);
    Ok(())
}

fn by_teams(
    extent: &Extent,
    plan: &dyn Fn(usize, f64) -> LoadPlan,
    slopes: &mut Vec<Slope>,
    proof: &mut Proof,
) -> Result<(), String> {
    if extent.teams.is_empty() {
        return Ok(());
    }
    let plans: Vec<LoadPlan> = extent
        .teams
        .iter()
        .map(|tenants| LoadPlan { tenants: *tenants, ..plan(1_000, extent.rate) })
        .collect();
    let all = measure_load(extent, extent.warm, &plans)?;
    load_carried(proof, "by teams", &all);
    let fit = fit_line(&all, |one| one.tenants as f64, |one| one.start_us);
    slopes.push(Slope { by: "teams", of: "start_us", fit, there: fit.at(size::TEAMS as f64) });
    proof.note("by_teams", all);
    Ok(())
}

/// Checks the traffic of a simulated fleet in virtual time: idle, with shares that move, and partitioned into two halves.
fn fleet_traffic(extent: &Extent, proof: &mut Proof) {
    let mut all: Vec<(&str, Traffic)> = Vec::new();
    let teams = size::TEAMS as u32;
    for nodes in extent.nodes {
        for (how, tenants, partitioned) in
            [("at rest", 0, false), ("shares", teams, false), ("parted", teams, true)]
        {
            let figures = traffic(*nodes, tenants, partitioned);
            let words = format!("{nodes} nodes, {how}: {:.0} bytes per second", figures.bytes);
            proof.require(
                figures.bytes <= size::CONTROL_BYTES_A_SECOND,
                format!("{words}, at most {} allowed", size::CONTROL_BYTES_A_SECOND),
            );
            all.push((how, figures));
        }
    }
    proof.note("members", all);
}

/// Measures a fleet of 21 real nodes with shares for 130 teams and up to 7,800 workers, at rising fractions of the peak.
fn all_nodes(node: &LoadPlan, bound: usize, proof: &mut Proof) -> Result<(), String> {
    // This process needs a descriptor for each worker, and one for the other end of each of the nodes' sockets.
    let sockets = (bound - size::WORKERS - OWN_DESCRIPTORS) / size::NODES;
    let mut figures = Vec::new();
    let plans: [(usize, &[f64]); 3] = [(1_000, &[0.2, 0.4]), (3_000, &[0.2]), (size::WORKERS, &[0.05, 0.1])];
    for (executors, parts) in plans {
        for part in parts {
            let plan = LoadPlan {
                nodes: size::NODES,
                executors,
                rate: Some(part * size::STARTS_A_SECOND),
                connections: 24 * size::NODES,
                sockets,
                tenants: size::TEAMS,
                members: Members::Each,
                ..node.clone()
            };
            let (loaded, failed_accepts) = on_runtime(async {
                let group = RigGroup::start(std::slice::from_ref(&plan)).await?;
                let loaded = group.load(12.0, 8, 1.0).await;
                let failed_accepts = group.failed_accepts();
                group.stop().await.map(|()| (loaded, failed_accepts))
            })?;
            let carried =
                loaded.iter().all(|one| one.starts >= MIN_ACHIEVED * one.rate && one.other <= MAX_FAILED);
            figures.push((loaded, failed_accepts));
            if !carried {
                break;
            }
        }
    }
    proof.note("all_nodes_sockets", sockets);
    proof.note("all_nodes", figures);
    Ok(())
}

/// Measures a node at its share of the peak, before and after it loses discovery and goes on with the list it has.
fn without_discovery(plan: &dyn Fn(usize, f64) -> LoadPlan, proof: &mut Proof) -> Result<(), String> {
    let plan = plan(size::WORKERS, size::node_starts());
    let figures = on_runtime(async {
        let group = RigGroup::start(std::slice::from_ref(&plan)).await?;
        let mut figures = group.load(10.0, 10, 1.0).await;
        group.cut_discovery();
        figures.extend(group.continue_load(10.0, 10, 1.0).await);
        group.stop().await.map(|()| figures)
    })?;
    load_carried(proof, "without discovery", &figures);
    proof.note("with_and_without_discovery", figures);
    Ok(())
}

/// Measures how long calls of any urgency wait for their start if the workers have no free slots.
fn without_free_slots(plan: &dyn Fn(usize, f64) -> LoadPlan, proof: &mut Proof) -> Result<(), String> {
    // 320 slots; jobs last as long as at the designed size, where 77,000 run and 6,900 start per second.
    let runs = 1e3 * size::RUNNING as f64 / size::STARTS_A_SECOND;
    let most = 320.0 / (runs / 1e3);
    let mut figures = Vec::new();
    let plans: Vec<LoadPlan> = [0.9, 1.1, 1.5]
        .iter()
        .map(|part| LoadPlan {
            connections: 2_000,
            sockets: 6_000,
            memory_mb: 900,
            runs,
            timeout: 60.0,
            ..plan(20, part * most)
        })
        .collect();
    figures.extend(on_runtime(async {
        let group = RigGroup::start(&plans).await?;
        let loaded = group.load(30.0, 20, 1.0).await;
        group.stop().await.map(|()| loaded)
    })?);
    proof.note("full", figures);
    Ok(())
}
