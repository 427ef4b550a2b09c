//! The proof `capacity`: what a node spends by each thing that grows, measured at three sizes or more with a line through
//! them, and what that comes to at the size that is designed for (`docs/CAPACITY.md`).
//!
//! Workers are hollow, all of them in this process: each listens on an address of its own, takes jobs, runs nothing and
//! tells that they are done. Nodes are real ones; where only their messages count they are hollow too, in virtual time.
use std::time::Instant;

use serde::Serialize;
use serde_json::json;

use self::fit::{fit, times, Fit};
use self::side::{Loaded, Quiet, Side};
use crate::fleet::measure::{traffic, Traffic};
use crate::load::{on_runtime, Members, Plan};
use crate::proof::{Place, Proof};

pub mod fit;
pub mod side;
pub mod size;

#[cfg(test)]
mod tests;

/// A start at 7,800 executors may take so many times the processor time of one at 200; see `docs/CAPACITY.md`, Start.
pub const START_COST_GROWTH: f64 = 1.25;
/// A whole list may take so many times more by its length: whoever reads it anew with each piece takes more.
const LIST_COST_GROWTH: f64 = 2.5;
/// Of the calls so many may fail, on a machine that does other things besides.
const MAY_FAIL: f64 = 0.05;
/// A node that has to wait for a core for so much of the time is not what is measured.
const STARVED: f64 = 0.1;
/// All nodes together have so much of what was asked of them where the machine is large enough.
const FITS: f64 = 0.95;
/// Jobs run so long where it is starts that count, in milliseconds.
const RUNS_MS: f64 = 50.0;
/// Connections to executors end so soon where each start is to bring up one of its own, in seconds.
const NOT_KEPT: f64 = 0.005;
/// Descriptors that this process needs besides what it has for executors and clients.
const OWN: usize = 500;

/// How far each part goes: the short form for CI, the long one by hand.
struct Extent {
    rate: f64,
    /// Before what is measured, in seconds; then so many windows of so long.
    warm: f64,
    windows: usize,
    each: f64,
    sizes: &'static [&'static [usize]],
    lists: usize,
    /// Parts of a node's part of the peak.
    rates: [f64; 3],
    /// Running tasks a node.
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

/// A figure by what it grows with.
#[derive(Serialize)]
struct Slope {
    by: &'static str,
    of: &'static str,
    fit: Fit,
    /// At the size that is designed for.
    there: f64,
}

pub fn capacity(place: &Place) -> Result<Proof, String> {
    let extent = if place.long { &LONG } else { &SHORT };
    let (mut proof, began) = (Proof::new(), Instant::now());
    let bound = descriptors();
    proof.note("descriptors", bound);
    let node = Plan { node: place.node.clone(), runs: RUNS_MS, ..Plan::default() };
    let plan = |executors: usize, rate: f64| Plan {
        executors,
        rate: Some(rate),
        sockets: executors + OWN,
        ..node.clone()
    };
    let mut slopes = Vec::new();
    type Part = fn(&Extent, &dyn Fn(usize, f64) -> Plan, &mut Vec<Slope>, &mut Proof) -> Result<(), String>;
    let parts: [(&str, Part); 4] = [
        ("by executors", by_executors),
        ("by rate", by_rate),
        ("by running tasks", by_running),
        ("by teams", by_teams),
    ];
    for (what, part) in parts {
        // One that can't be played says so, and costs the others nothing.
        let played = part(extent, &plan, &mut slopes, &mut proof);
        played.unwrap_or_else(|e| proof.want(false, format!("{what}: {e}")));
    }
    members(extent, &mut proof);
    if place.long {
        let played =
            [without_list(&plan, &mut proof), full(&plan, &mut proof), all_nodes(&node, bound, &mut proof)];
        played.into_iter().for_each(|played| played.unwrap_or_else(|e| proof.want(false, e)));
    }
    proof.note("slopes", slopes);
    proof.note("seconds", began.elapsed().as_secs_f64());
    Ok(proof)
}

/// Descriptors that a process may have here.
fn descriptors() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(1024)
}

/// Whether the load was carried, as it has to be where nodes had the time for it. Where another took their cores that says
/// nothing of them: it is told as not measured, and nothing is wanted of what follows from it.
fn held(proof: &mut Proof, what: &str, all: &[Loaded]) -> bool {
    let carried = |one: &Loaded| one.other <= MAY_FAIL && one.starts >= FITS * one.rate;
    let short: Vec<&Loaded> = all.iter().filter(|one| !carried(one)).collect();
    let starved = all.iter().map(|one| one.starved).fold(0.0, f64::max);
    if !short.is_empty() && starved > STARVED {
        proof.note(&format!("not_measured: {what}"), json!({ "starved": starved }));
        return false;
    }
    for one in &short {
        let (had, wanted, other) = (one.starts, one.rate, one.other);
        let words =
            format!("{what}: {had:.0} of {wanted:.0} starts a second, {other:.3} of the calls failed");
        proof.want(false, format!("{words} at {} executors", one.executors));
    }
    short.is_empty()
}

fn line<T>(all: &[T], by: impl Fn(&T) -> f64, of: impl Fn(&T) -> f64) -> Fit {
    fit(&all.iter().map(|one| (by(one), of(one))).collect::<Vec<_>>())
}

/// Starts, memory, lists, changes and new configurations, by the number of executors.
fn by_executors(
    extent: &Extent,
    plan: &dyn Fn(usize, f64) -> Plan,
    slopes: &mut Vec<Slope>,
    proof: &mut Proof,
) -> Result<(), String> {
    let (mut all, mut quiet) = (Vec::new(), Vec::new());
    for sizes in extent.sizes {
        let mut plans: Vec<Plan> = sizes.iter().map(|size| plan(*size, extent.rate)).collect();
        // The first once more, with a connection of its own for each start.
        plans.push(Plan { idle: NOT_KEPT, ..plans[0].clone() });
        let (mut loaded, mut told) = on_runtime(async {
            let side = Side::begin(&plans).await?;
            let loaded = side.load(extent.warm, extent.windows, extent.each).await;
            side.hush().await;
            let told = side.quiet(extent.lists).await;
            side.end().await.map(|()| (loaded, told))
        })?;
        let carried = held(proof, "by executors", &loaded);
        let (dialling, _) = (loaded.pop(), told.pop());
        if let (Some(dialling), [first, .., last]) = (dialling, &loaded[..]) {
            growth(first, last, &dialling, carried, proof);
        }
        all.extend(loaded);
        quiet.extend(told);
    }
    let (loaded, told) = (by_size(all, |one| one.executors), by_size(quiet, |one| one.executors));
    let most = size::WORKERS as f64;
    let mut slope = |of, fit: Fit| slopes.push(Slope { by: "executors", of, fit, there: fit.at(most) });
    let executors = |one: &Loaded| one.executors as f64;
    slope("start_us", line(&loaded, executors, |one| one.start_us));
    slope("resident_mb", line(&loaded, executors, |one| one.resident_mb));
    slope("up_cpu_s", line(&loaded, executors, |one| one.up_cpu));
    let executors = |one: &Quiet| one.executors as f64;
    slope("idle_cores", line(&told, executors, |one| one.cores));
    slope("list_bytes", line(&told, executors, |one| one.list_bytes as f64));
    slope("list_ms", line(&told, executors, |one| one.list_ms));
    slope("fifth_goes_ms", line(&told, executors, |one| one.fifth_goes_ms));
    slope("fifth_comes_ms", line(&told, executors, |one| one.fifth_comes_ms));
    slope("change_ms", line(&told, executors, |one| one.change_ms));
    slope("reload_ms", line(&told, executors, |one| one.reload_ms));
    lists(&told, proof);
    proof.note("by_executors", loaded);
    proof.note("lists", told);
    Ok(())
}

/// One of each size, the first that was measured, from small to large.
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

/// What a start takes at the most executors over what it takes at the fewest, side by side; and the same without what new
/// connections take, which a fleet needs that has not called each of many executors yet.
fn growth(first: &Loaded, last: &Loaded, dialling: &Loaded, carried: bool, proof: &mut Proof) {
    let raw = times(&last.windows, &first.windows);
    let dial = (dialling.start_us - first.start_us) / (dialling.dials - first.dials).max(0.1);
    let without =
        |one: &Loaded| -> Vec<f64> { one.windows.iter().map(|us| us - dial.max(0.0) * one.dials).collect() };
    let bare = times(&without(last), &without(first));
    proof.note(
        &format!("start_growth_{}", last.executors),
        json!({ "raw": raw, "dial_us": dial, "without_dials": bare,
                "share_least": last.share_least, "share_most": last.share_most, "share_chance": last.share_chance }),
    );
    if last.executors == size::WORKERS {
        let words = format!("a start at {}: {raw:.2} times one at {}", last.executors, first.executors);
        proof.want(!carried || raw <= START_COST_GROWTH, format!("{words}, {START_COST_GROWTH} wanted"));
        proof.want(
            last.resident_mb <= size::MEMORY_MB,
            format!("{:.1} MB at {} executors, {} wanted", last.resident_mb, last.executors, size::MEMORY_MB),
        );
    }
}

/// Whole lists, a zone, single changes and new configurations, against what may be spent on control.
fn lists(told: &[Quiet], proof: &mut Proof) {
    let [first, .., last] = told else { return };
    let within = 1e3 * size::CORE * size::IN_FORCE_WITHIN;
    for (what, ms) in
        [("a list", last.list_ms), ("a zone", last.fifth_goes_ms), ("a zone back", last.fifth_comes_ms)]
    {
        let words = format!("{what}: {ms:.1} ms at {} executors, {within:.0} wanted", last.executors);
        proof.want(ms <= within, words);
    }
    // From the next to least, where what a list takes whatever its length no longer counts.
    let from = told.get(1).unwrap_or(first);
    let each = |one: &Quiet| one.list_ms / one.executors as f64;
    let grown = each(last) / each(from).max(1e-9);
    proof.note("list_ms_an_executor_grown", grown);
    proof.want(
        grown <= LIST_COST_GROWTH,
        format!("a list's entry takes {grown:.2} times as long in a long one"),
    );
    let part = |ms: f64, a_second: f64| ms / 1e3 * a_second;
    let changes = part(last.change_ms, size::list_changes());
    let configurations = part(last.reload_ms, size::CONFIGURATIONS_A_DAY / size::DAY);
    proof.note("changes_cores", changes);
    proof.note("configurations_cores", configurations);
    proof.want(changes + configurations + last.cores <= size::CORE, format!(
        "control takes {:.4} of a core: {changes:.4} for changes of the list, {configurations:.4} for configurations, \
         {:.4} at rest",
        changes + configurations + last.cores, last.cores
    ));
}

/// Rigs under load, one after the other's start, then ended.
fn loads(extent: &Extent, warm: f64, plans: &[Plan]) -> Result<Vec<Loaded>, String> {
    on_runtime(async {
        let side = Side::begin(plans).await?;
        let loaded = side.load(warm, extent.windows, extent.each).await;
        side.end().await.map(|()| loaded)
    })
}

fn by_rate(
    extent: &Extent,
    plan: &dyn Fn(usize, f64) -> Plan,
    slopes: &mut Vec<Slope>,
    proof: &mut Proof,
) -> Result<(), String> {
    let plans: Vec<Plan> = extent.rates.iter().map(|part| plan(1_000, part * size::node_starts())).collect();
    let all = loads(extent, extent.warm, &plans)?;
    held(proof, "by rate", &all);
    let fit = line(&all, |one| one.starts, |one| one.cores);
    slopes.push(Slope { by: "starts a second", of: "cores", fit, there: fit.at(size::node_starts()) });
    proof.note("by_rate", all);
    Ok(())
}

fn by_running(
    extent: &Extent,
    plan: &dyn Fn(usize, f64) -> Plan,
    slopes: &mut Vec<Slope>,
    proof: &mut Proof,
) -> Result<(), String> {
    let rate = extent.running_rate;
    let plans: Vec<Plan> = extent
        .running
        .iter()
        .map(|running| {
            let connections = running + running / 3 + OWN;
            let (runs, timeout) = (1e3 * *running as f64 / rate, 60.0);
            // Each client that waits has a third of the descriptors and half of the memory, of which it may take 192 KiB:
            // a node takes no more of them than fit (`docs/CAPACITY.md`, Running tasks).
            let (sockets, memory_mb) = (3 * connections, 64 + connections * 2 * 192 / 1024);
            Plan { connections, sockets, memory_mb, runs, timeout, ..plan(1_000, rate) }
        })
        .collect();
    let longest = plans.iter().map(|plan| plan.runs / 1e3).fold(0.0, f64::max);
    let all = loads(extent, extent.warm + longest, &plans)?;
    held(proof, "by running tasks", &all);
    let there = size::RUNNING as f64 / size::NODES as f64;
    let fit = line(&all, |one| one.running, |one| one.start_us);
    slopes.push(Slope { by: "running tasks", of: "start_us", fit, there: fit.at(there) });
    let fit = line(&all, |one| one.running, |one| one.resident_mb);
    slopes.push(Slope { by: "running tasks", of: "resident_mb", fit, there: fit.at(there) });
    proof.note("by_running", all);
    Ok(())
}

fn by_teams(
    extent: &Extent,
    plan: &dyn Fn(usize, f64) -> Plan,
    slopes: &mut Vec<Slope>,
    proof: &mut Proof,
) -> Result<(), String> {
    if extent.teams.is_empty() {
        return Ok(());
    }
    let plans: Vec<Plan> =
        extent.teams.iter().map(|tenants| Plan { tenants: *tenants, ..plan(1_000, extent.rate) }).collect();
    let all = loads(extent, extent.warm, &plans)?;
    held(proof, "by teams", &all);
    let fit = line(&all, |one| one.tenants as f64, |one| one.start_us);
    slopes.push(Slope { by: "teams", of: "start_us", fit, there: fit.at(size::TEAMS as f64) });
    proof.note("by_teams", all);
    Ok(())
}

/// Hollow nodes that know each other, in virtual time: at rest, with shares that move, and parted in two halves.
fn members(extent: &Extent, proof: &mut Proof) {
    let mut all: Vec<(&str, Traffic)> = Vec::new();
    let teams = size::TEAMS as u32;
    for nodes in extent.nodes {
        for (how, tenants, apart) in
            [("at rest", 0, false), ("shares", teams, false), ("parted", teams, true)]
        {
            let found = traffic(*nodes, tenants, apart);
            let words = format!("{nodes} nodes, {how}: {:.0} bytes a second", found.bytes);
            proof.want(
                found.bytes <= size::BYTES_A_SECOND,
                format!("{words}, {} wanted", size::BYTES_A_SECOND),
            );
            all.push((how, found));
        }
    }
    proof.note("members", all);
}

/// 21 real nodes that know each other and share 130 teams' shares, before 7,800 workers: as much of the peak as is asked
/// for, each a while.
fn all_nodes(node: &Plan, bound: usize, proof: &mut Proof) -> Result<(), String> {
    // This process has a descriptor for each worker, and for the far end of all that nodes have.
    let sockets = (bound - size::WORKERS - OWN) / size::NODES;
    let mut found = Vec::new();
    let plans: [(usize, &[f64]); 3] = [(1_000, &[0.2, 0.4]), (3_000, &[0.2]), (size::WORKERS, &[0.05, 0.1])];
    for (executors, parts) in plans {
        for part in parts {
            let plan = Plan {
                nodes: size::NODES,
                executors,
                rate: Some(part * size::STARTS_A_SECOND),
                connections: 24 * size::NODES,
                sockets,
                tenants: size::TEAMS,
                members: Members::Each,
                ..node.clone()
            };
            let (loaded, turned_away) = on_runtime(async {
                let side = Side::begin(std::slice::from_ref(&plan)).await?;
                let loaded = side.load(12.0, 8, 1.0).await;
                let turned_away = side.turned_away();
                side.end().await.map(|()| (loaded, turned_away))
            })?;
            let fits = loaded.iter().all(|one| one.starts >= FITS * one.rate && one.other <= MAY_FAIL);
            found.push((loaded, turned_away));
            if !fits {
                break;
            }
        }
    }
    proof.note("all_nodes_sockets", sockets);
    proof.note("all_nodes", found);
    Ok(())
}

/// A node under its part of the peak that loses discovery, and goes by what it has.
fn without_list(plan: &dyn Fn(usize, f64) -> Plan, proof: &mut Proof) -> Result<(), String> {
    let plan = plan(size::WORKERS, size::node_starts());
    let found = on_runtime(async {
        let side = Side::begin(std::slice::from_ref(&plan)).await?;
        let mut found = side.load(10.0, 10, 1.0).await;
        side.part();
        found.extend(side.go_on(10.0, 10, 1.0).await);
        side.end().await.map(|()| found)
    })?;
    held(proof, "without discovery", &found);
    proof.note("with_and_without_discovery", found);
    Ok(())
}

/// Workers who have no room left: how long a call waits for its start, of whatever urgency it is.
fn full(plan: &dyn Fn(usize, f64) -> Plan, proof: &mut Proof) -> Result<(), String> {
    // 320 slots; jobs run as long as 77,000 do of which 6,900 start a second.
    let runs = 1e3 * size::RUNNING as f64 / size::STARTS_A_SECOND;
    let most = 320.0 / (runs / 1e3);
    let mut found = Vec::new();
    let plans: Vec<Plan> = [0.9, 1.1, 1.5]
        .iter()
        .map(|part| Plan {
            connections: 2_000,
            sockets: 6_000,
            memory_mb: 900,
            runs,
            timeout: 60.0,
            ..plan(20, part * most)
        })
        .collect();
    found.extend(on_runtime(async {
        let side = Side::begin(&plans).await?;
        let loaded = side.load(30.0, 20, 1.0).await;
        side.end().await.map(|()| loaded)
    })?);
    proof.note("full", found);
    Ok(())
}
