//! Searches for failures: runs random schedules of faults on all cores and checks each run. A breach, or a
//! deep loss of service, is shrunk to the fewest faults that still show it.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::baseline::Choice;
use crate::scenario::{
    Amount, Count, Direction, Effect, Fault, FaultKind, FaultScope, FleetSettings, Group, Nodes, Operation,
    Part, Positive, Scenario, Span, Strength, Workers,
};
use crate::virtual_time::{run, Policy};

/// Calls `act` for each number below `most`, on all cores; the results are in order.
pub fn parallel_map<T: Send>(most: u64, act: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let done = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                if at >= most {
                    return;
                }
                let result = act(at);
                if let Ok(mut done) = done.lock() {
                    done.push((at, result));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, result)| result).collect()
}

fn operation(name: &str, effect: Effect, group: Group, rate: f64, work: f64) -> Operation {
    Operation {
        name: name.into(),
        effect,
        group,
        window: Span(if effect == Effect::Deduplicated { 3.0 } else { 0.0 }),
        rate: Amount(rate),
        work: Positive(work),
        spread: Amount(0.6),
        heavy: Part(0.02),
        heavy_times: Positive(8.0),
        objective: Positive(1.5),
        stretch: Amount(2.0),
        timeout: Positive(5.0),
        value: Positive(1.0),
        late_value: Part(0.0),
        kind: None,
        memory: Amount(0.0),
        hint: Some(Amount(0.3)),
    }
}

/// A small random scenario: two to four nodes, six to twelve workers, 24 s, and some faults.
pub fn random_scenario(seed: u64) -> Scenario {
    let mut draw = Pcg64Mcg::seed_from_u64(seed ^ 0x5ea7c4);
    let zones = draw.random_range(1..=2);
    let zone = |at: usize| ["a", "b"][at % zones].to_owned();
    let make = |at: usize, count: usize, speed: f64, draw: &mut Pcg64Mcg| Workers {
        count: Count(count),
        zone: zone(at),
        cells: Count(2),
        slots: Count(draw.random_range(2..=4)),
        cores: Positive(3.0),
        speed: Positive(speed),
        queue: Count(draw.random_range(0..=6)),
        connections: Count(60),
        ..Workers::default()
    };
    let workers = vec![make(0, draw.random_range(3..=6), 1.0, &mut draw), make(1, 4, 1.5, &mut draw)];
    let capacity: f64 = workers.iter().map(|w| w.count.0 as f64 * w.slots.0.min(3) as f64 * w.speed.0).sum();
    // About half of the capacity, by work: 0.3 s for each invocation, with its spread and its heavy ones.
    let rate = capacity * draw.random_range(0.3..0.7) / 0.4;
    let operations = vec![
        operation("look", Effect::Idempotent, Group::All, 0.5 * rate, 0.3),
        operation("post", Effect::Deduplicated, Group::All, 0.1 * rate, 0.3),
        operation("keep", Effect::Deduplicated, Group::Cell, 0.1 * rate, 0.3),
        operation("pay", Effect::NonIdempotent, Group::All, 0.3 * rate, 0.3),
    ];
    let mut scenario = Scenario {
        name: format!("found-{seed}"),
        about: String::new(),
        seconds: Positive(24.0),
        seed,
        nodes: Nodes {
            count: Count(draw.random_range(2..=4)),
            zones: Vec::new(),
            sockets: Count(384),
            memory_mb: Count(96),
        },
        workers,
        operations,
        tenants: Vec::new(),
        clients: Default::default(),
        network: Default::default(),
        discovery: Default::default(),
        platform: Default::default(),
        fleet: None,
        faults: Vec::new(),
    };
    scenario.clients.leave = Part(if draw.random_bool(0.3) { 0.05 } else { 0.0 });
    scenario.platform.cancelling = draw.random_bool(0.8);
    scenario.platform.progress = Span(if draw.random_bool(0.7) { 1.0 } else { 0.0 });
    scenario.platform.tells_start = draw.random_bool(0.7);
    scenario.platform.peers = draw.random_bool(0.3);
    for _ in 0..draw.random_range(1..=4) {
        let fault = fault(&scenario, &mut draw);
        scenario.faults.push(fault);
    }
    scenario
}

/// A random scenario with a fleet and one to four additional faults of the fleet.
pub fn random_fleet_scenario(seed: u64) -> Scenario {
    let mut scenario = random_scenario(seed);
    let mut draw = Pcg64Mcg::seed_from_u64(seed ^ 0xf1ee7);
    scenario.nodes.count = Count(draw.random_range(2..=6));
    scenario.fleet = Some(FleetSettings { writes: Span(0.5), ..FleetSettings::default() });
    scenario.faults.retain(|fault| fault.what.scope() != FaultScope::Nodes);
    for _ in 0..draw.random_range(1..=4) {
        let what = *FaultKind::FLEET.choose(&mut draw).unwrap_or(&FaultKind::LinkCut);
        let mut fault = fault_of(what, &scenario, &mut draw);
        if what.scope() == FaultScope::Links {
            fault.way =
                *[Direction::Both, Direction::Out, Direction::In].choose(&mut draw).unwrap_or(&fault.way);
            fault.flaps = Span(if draw.random_bool(0.2) { draw.random_range(0.2..2.0) } else { 0.0 });
        }
        scenario.faults.push(fault);
    }
    scenario
}

fn fault(scenario: &Scenario, draw: &mut Pcg64Mcg) -> Fault {
    let what = *FaultKind::ALL.choose(draw).unwrap_or(&FaultKind::Pause);
    fault_of(what, scenario, draw)
}

fn fault_of(what: FaultKind, scenario: &Scenario, draw: &mut Pcg64Mcg) -> Fault {
    let at = Span((draw.random_range(2.0..14.0_f64) * 10.0).round() / 10.0);
    let lasts = Span((draw.random_range(1.0..10.0_f64) * 10.0).round() / 10.0);
    let by = match what.strength() {
        Strength::None => None,
        Strength::Part => Some(draw.random_range(0.2..0.9)),
        Strength::Seconds => Some(draw.random_range(0.05..1.5)),
        Strength::Times => Some(draw.random_range(1.5..4.0)),
        Strength::Count => Some(f64::from(draw.random_range(2..8))),
        Strength::Rate => Some(draw.random_range(500.0..20_000.0)),
    };
    let all: usize = scenario.workers.iter().map(|w| w.count.0).sum();
    let count = match what.scope() {
        FaultScope::Workers => Some(Count(draw.random_range(1..=all.div_ceil(2)))),
        FaultScope::Nodes | FaultScope::Links => {
            Some(Count(draw.random_range(1..scenario.nodes.count.0.max(2))))
        }
        _ => None,
    };
    let zone = (what == FaultKind::Partition).then(|| scenario.workers[0].zone.clone());
    let by = by.map(|by: f64| Amount((by * 100.0).round() / 100.0));
    Fault { by, count, zone, ..Fault::new(what, at.0, lasts.0) }
}

#[derive(Clone, Debug, Serialize)]
pub struct Found {
    pub seed: u64,
    pub figure: f64,
    /// How much better the best of the plain policies did.
    pub behind: f64,
    pub broken: u64,
    pub words: String,
    #[serde(skip)]
    pub scenario: Scenario,
}

/// Runs one scenario. `baselines` also runs it with plain policies, to tell losses that could have been
/// avoided.
fn evaluate(scenario: Scenario, baselines: bool) -> Result<Found, String> {
    let (outcome, _) = run(&scenario, scenario.seed, Policy::Node, None)?;
    let mut best = 0.0_f64;
    for choice in [Choice::Random, Choice::Least].into_iter().filter(|_| baselines) {
        best = best.max(run(&scenario, scenario.seed, Policy::Baseline(choice), None)?.0.figure());
    }
    let words = outcome.breaches.first().map_or(String::new(), |b| format!("{:?}: {}", b.rule, b.words));
    let behind = if baselines { best - outcome.figure() } else { 0.0 };
    Ok(Found {
        seed: scenario.seed,
        figure: outcome.figure(),
        behind,
        broken: outcome.broken,
        words,
        scenario,
    })
}

/// Shrinks a scenario to the fewest and shortest faults that still satisfy `shows`.
pub fn shrink(found: Found, shows: impl Fn(&Found) -> bool, baselines: bool) -> Result<Found, String> {
    let mut least = found;
    loop {
        let reductions = reductions(&least.scenario).into_iter().find_map(|scenario| {
            let found = evaluate(scenario, baselines).ok()?;
            shows(&found).then_some(found)
        });
        match reductions {
            Some(found) => least = found,
            None => return Ok(least),
        }
    }
}

fn reductions(scenario: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    for at in 0..scenario.faults.len() {
        let mut one = scenario.clone();
        one.faults.remove(at);
        all.push(one);
    }
    for (at, fault) in scenario.faults.iter().enumerate() {
        if fault.lasts.0 > 1.0 {
            let mut one = scenario.clone();
            one.faults[at].lasts = Span((fault.lasts.0 * 5.0).round() / 10.0);
            all.push(one);
        }
        if let Some(Count(count @ 2..)) = fault.count {
            let mut one = scenario.clone();
            one.faults[at].count = Some(Count(count / 2));
            all.push(one);
        }
    }
    all
}

#[derive(Debug, Serialize)]
pub struct Searched {
    pub seeds: u64,
    pub broken: Vec<Found>,
    pub worst: Vec<Found>,
    pub mean: f64,
    pub wall: f64,
}

/// Searches `seeds` seeds starting with `from`. Returns the first few breaches and the `worst` deepest
/// losses, shrunk.
pub fn search(
    from: u64,
    seeds: u64,
    worst: usize,
    baselines: bool,
    generate: fn(u64) -> Scenario,
    tick: impl Fn() + Sync,
) -> Result<Searched, String> {
    const MAX_SHRUNK_BREACHES: usize = 8; // Further breaches most likely have the same cause.
    let began = std::time::Instant::now();
    let results = parallel_map(seeds, |at| {
        let found = evaluate(generate(from + at), baselines);
        tick();
        found
    });
    let found: Vec<Found> = results.into_iter().collect::<Result<_, String>>()?;
    let mean = found.iter().map(|f| f.figure).sum::<f64>() / found.len().max(1) as f64;
    let breaches = found.iter().filter(|f| f.broken > 0).take(MAX_SHRUNK_BREACHES).cloned();
    let broken = breaches.map(|f| shrink(f, |f| f.broken > 0, false)).collect::<Result<_, _>>()?;
    let mut by_loss = found;
    by_loss.sort_by(
        |a, b| if baselines { b.behind.total_cmp(&a.behind) } else { a.figure.total_cmp(&b.figure) },
    );
    by_loss.truncate(worst);
    let shrunk = |f: Found| {
        let (figure, behind) = (f.figure, f.behind);
        // At least nine tenths of the loss must remain.
        let shows = move |g: &Found| {
            if baselines {
                g.behind >= 0.9 * behind
            } else {
                1.0 - g.figure >= 0.9 * (1.0 - figure)
            }
        };
        shrink(f, shows, baselines)
    };
    let worst = by_loss.into_iter().map(shrunk).collect::<Result<_, _>>()?;
    Ok(Searched { seeds, broken, worst, mean, wall: began.elapsed().as_secs_f64() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn drawn_scenarios_are_valid() {
        for seed in 0..200 {
            let scenario = random_scenario(seed);
            assert_eq!(
                Scenario::parse(&scenario.text()).as_ref().map(|s| s.faults.len()),
                Ok(scenario.faults.len())
            );
        }
    }

    #[test]
    fn a_loss_is_shrunk_to_the_fault_that_causes_it() {
        let mut scenario = random_scenario(1);
        let fault = |what, by| Fault { by, ..Fault::new(what, 5.0, 8.0) };
        scenario.faults =
            vec![fault(FaultKind::DoubledNews, None), fault(FaultKind::Heavy, Some(Amount(9.0)))];
        let found = evaluate(scenario, false).expect("a run");
        let loss = 1.0 - found.figure;
        let least = shrink(found, |f| 1.0 - f.figure >= 0.9 * loss, false).expect("a run");
        assert_eq!(least.scenario.faults.iter().map(|f| f.what).collect::<Vec<_>>(), [FaultKind::Heavy]);
    }
}
