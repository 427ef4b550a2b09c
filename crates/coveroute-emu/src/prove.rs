//! Proofs: each prints its figures as one JSON line and fails if a requirement is missed. The short form is
//! for CI, the long form is run by hand.
use std::path::Path;

use serde_json::json;

use crate::capacity::capacity;
use crate::fleet::proof::{fleet, limits};
use crate::loopback;
use crate::proof::{Proof, ProofContext};
use crate::scenario::Scenario;
use crate::search::{random_scenario, search};
use crate::sink::Digest;
use crate::virtual_time::{run, Policy};

pub const NAMES: [&str; 5] = ["emulator", "daily", "fleet", "limits", "capacity"];

pub fn prove(name: &str, context: &ProofContext) -> Result<Proof, String> {
    match name {
        "emulator" => emulator(context),
        "daily" => daily(context),
        "fleet" => fleet(context),
        "limits" => limits(context),
        "capacity" => capacity(context),
        other => Err(format!("unknown proof {other}; available: {}", NAMES.join(", "))),
    }
}

fn spread(figures: &[f64]) -> (f64, f64) {
    let mean = figures.iter().sum::<f64>() / figures.len().max(1) as f64;
    let most = figures.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let least = figures.iter().copied().fold(f64::INFINITY, f64::min);
    (mean, (most - least) / mean.max(1e-9))
}

/// Runs a scenario twice in virtual time. Returns its figure, digest, whether both runs were identical, and
/// the number of breaches.
fn run_twice(scenario: &Scenario) -> Result<(f64, Digest, bool, u64), String> {
    let mut digests = [Digest::default(); 2];
    let (one, _) = run(scenario, scenario.seed, Policy::Node, Some(&mut digests[0]))?;
    let (two, _) = run(scenario, scenario.seed, Policy::Node, Some(&mut digests[1]))?;
    Ok((one.figure(), digests[0], digests[0] == digests[1] && one == two, one.broken))
}

/// Proves the emulator itself: runs repeat exactly in virtual time, loopback agrees with virtual time, and
/// search finds no breach.
fn emulator(context: &ProofContext) -> Result<Proof, String> {
    let mut proof = Proof::new();
    let path = context.scenarios.join(if context.long { "rehearsal.toml" } else { "rehearsal-short.toml" });
    let scenario = Scenario::read(&path)?;
    let (figure, digest, same, broken) = run_twice(&scenario)?;
    proof.note("virtual", figure);
    proof.note("events", digest.events);
    proof.require(same, "two virtual runs of one seed differ".into());
    proof.require(broken == 0, format!("{broken} rules broken in virtual time"));
    let runs = if context.long { 5 } else { 1 };
    let mut figures = Vec::new();
    for _ in 0..runs {
        let options = loopback::Options { node: context.node.clone(), logs: None };
        let (outcome, machines) = loopback::run(&scenario, scenario.seed, options)?;
        proof.note("machines", machines);
        proof.require(outcome.broken == 0, format!("loopback: {:?}", outcome.breaches.first()));
        proof.require(outcome.counts.duplicates == 0, "loopback: a payment ran twice".into());
        figures.push(outcome.figure());
    }
    let (mean, relative_spread) = spread(&figures);
    proof.note("loopback", &figures);
    proof.note("loopback_spread", relative_spread);
    proof.require(
        relative_spread <= 0.03,
        format!("loopback runs differ by {relative_spread:.3}, 0.03 allowed"),
    );
    let off = (mean - figure).abs() / figure;
    proof.note("loopback_off_virtual", off);
    proof.require(
        off <= 0.05,
        format!("the loopback mean differs by {off:.3} from virtual time, 0.05 allowed"),
    );
    for name in SCENARIOS {
        let scenario = Scenario::read(&context.scenarios.join(name))?;
        let (figure, _, same, broken) = run_twice(&scenario)?;
        proof.note(name, figure);
        proof.require(same && broken == 0, format!("{name}: runs equal: {same}, {broken} rules broken"));
    }
    let seeds = if context.long { 10_000 } else { 300 };
    let searched = search(1, seeds, 0, false, random_scenario, || {})?;
    proof.note("searched", seeds);
    proof.note("search_mean", searched.mean);
    proof.note("search_seconds", searched.wall);
    for found in &searched.broken {
        proof.require(false, format!("seed {}: {}", found.seed, found.words));
    }
    if context.long {
        measure_sizes(&context.scenarios, &mut proof)?;
    }
    Ok(proof)
}

/// Proves daily operation with real processes under load: replacing processes, changing settings, and
/// metrics that match what clients saw.
fn daily(context: &ProofContext) -> Result<Proof, String> {
    let mut proof = Proof::new();
    for name in ["replace.toml", "retune.toml"] {
        let scenario = Scenario::read(&context.scenarios.join(name))?;
        let options = loopback::Options { node: context.node.clone(), logs: None };
        let (outcome, _) = loopback::run(&scenario, scenario.seed, options)?;
        proof.note(name, outcome.figure());
        proof.require(outcome.broken == 0, format!("{name}: {:?}", outcome.breaches.first()));
        proof.require(outcome.counts.duplicates == 0, format!("{name}: a payment ran twice"));
        proof.require(
            outcome.figure() >= 0.9,
            format!("{name}: {:.3} served in time, 0.9 required", outcome.figure()),
        );
    }
    Ok(proof)
}

/// Short scenarios that CI runs in virtual time.
const SCENARIOS: [&str; 5] = [
    "silent-worker.toml",
    "cold-worker.toml",
    "mass-loss.toml",
    "rolling-restart.toml",
    "cold-throng-300.toml",
];

/// Speed of large scenarios: as a multiple of real time, and in events per second.
fn measure_sizes(scenarios: &Path, proof: &mut Proof) -> Result<(), String> {
    for (name, times) in [("size-300.toml", Some(20.0)), ("size-1000.toml", None)] {
        let scenario = Scenario::read(&scenarios.join(name))?;
        let (outcome, pace) = run(&scenario, scenario.seed, Policy::Node, None)?;
        let real = pace.seconds / pace.wall;
        proof.note(name, json!({
            "figure": outcome.figure(), "times_real": real, "events_a_second": pace.events as f64 / pace.wall,
            "peak_mb": loopback::resource_usage(std::process::id() as i32).peak_mb, "broken": outcome.broken,
        }));
        proof.require(times.is_none_or(|times| real >= times), format!("{name}: {real:.1} times real time"));
        proof.require(outcome.broken == 0, format!("{name}: {:?}", outcome.breaches.first()));
    }
    Ok(())
}
