//! Measures the fleet protocol in virtual time: detection times, traffic, false deaths and the use of shared limits.
use std::time::Instant;

use coveroute_fleet::rights::{Limit, LimitTerms};
use coveroute_fleet::State;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::checker::Ages;
use super::simulation::FleetSimulation;
use crate::scenario::{Direction, FaultKind, FleetSettings, Scenario, Span};
use crate::search::{parallel_map, random_scenario};
use crate::world::{NodeCommand, NodeId};

/// A simulation without faults and with no process started.
fn empty_simulation(nodes: usize, seed: u64, settings: FleetSettings) -> FleetSimulation {
    let mut scenario: Scenario = random_scenario(1);
    (scenario.fleet, scenario.faults) = (Some(settings), Vec::new());
    FleetSimulation::new(&scenario, seed, &vec!["a".into(); nodes])
}

/// A simulation without faults and with all processes started at time 0.
pub fn started_simulation(nodes: usize, seed: u64, settings: FleetSettings) -> FleetSimulation {
    let mut simulation = empty_simulation(nodes, seed, settings);
    (0..nodes).for_each(|node| simulation.start(0.0, node, false));
    simulation
}

/// The smallest value that at least `fraction` of the values do not exceed; sorts the values.
pub fn quantile(figures: &mut [f64], fraction: f64) -> f64 {
    figures.sort_by(f64::total_cmp);
    let at = (fraction * figures.len() as f64).ceil() as usize;
    figures.get(at.max(1) - 1).copied().unwrap_or(f64::NAN)
}

/// Figures of a fleet of one size.
#[derive(Clone, Debug, Serialize)]
pub struct SizeFigures {
    pub nodes: usize,
    /// Time from a kill until the first node (`known`) and until all nodes (`told`) hold the member to be dead: median and
    /// 99th percentile, in seconds.
    pub known: (f64, f64),
    pub told: (f64, f64),
    /// Time from a write until all nodes hold it: median and 99th percentile, in seconds.
    pub written: (f64, f64),
    /// Bytes that each node sends per second when idle.
    pub bytes: f64,
    pub false_deaths: usize,
}

/// Measures a fleet of `nodes` nodes: 30 s idle, then `kills` rounds of a kill, a restart and a write.
pub fn measure_size(nodes: usize, kills: usize, seed: u64) -> SizeFigures {
    let mut simulation = started_simulation(nodes, seed, FleetSettings::default());
    // One status record per node, as real nodes write.
    for node in 0..nodes {
        simulation.write(0.0, node, 0);
    }
    let mut now = 15.0;
    simulation.run_until(now);
    let sent_bytes = |simulation: &FleetSimulation, now| {
        (0..nodes).filter_map(|node| simulation.figures(now, node)).map(|f| f.counts.sent_bytes).sum::<u64>()
            as f64
    };
    let before = sent_bytes(&simulation, now);
    simulation.run_until(now + 30.0);
    let bytes = (sent_bytes(&simulation, now + 30.0) - before) / 30.0 / nodes as f64;
    now += 30.0;
    let (mut known, mut told, mut written) = (Vec::new(), Vec::new(), Vec::new());
    for kill in 0..kills {
        let (victim, writer) = ((kill * 7) % nodes, (kill * 7 + 1) % nodes);
        simulation.state_changes.clear();
        simulation.kill(victim);
        let done = simulation.run_until_true(now, now + 60.0, |simulation| {
            (0..nodes).all(|by| by == victim || simulation.state(by, victim) == Some(State::Dead))
        });
        let first = simulation
            .state_changes
            .iter()
            .filter(|change| change.of == victim && change.to == State::Dead)
            .map(|change| change.at);
        known.push(first.fold(f64::INFINITY, f64::min) - now);
        told.push(done.map_or(f64::INFINITY, |done| done - now));
        now = done.unwrap_or(now + 60.0);
        simulation.start(now, victim, false);
        simulation.write(now, victim, 0);
        now += 5.0;
        simulation.run_until(now);
        simulation.write(now, writer, 1);
        let all = simulation.run_until_true(now, now + 60.0, FleetSimulation::agree_on_table);
        written.push(all.map_or(f64::INFINITY, |all| all - now));
        now = all.unwrap_or(now + 60.0) + 1.0;
        simulation.run_until(now);
    }
    let median_and_p99 = |figures: &mut Vec<f64>| (quantile(figures, 0.5), quantile(figures, 0.99));
    let false_deaths = simulation.state_changes.iter().filter(|change| change.false_death).count();
    SizeFigures {
        nodes,
        known: median_and_p99(&mut known),
        told: median_and_p99(&mut told),
        written: median_and_p99(&mut written),
        bytes,
        false_deaths,
    }
}

/// Members wrongly declared dead per hour, in a fleet where none dies and the fraction `loss` of all datagrams is lost.
pub fn false_deaths_an_hour(nodes: usize, loss: f64, seconds: f64, seeds: u64) -> f64 {
    let deaths = parallel_map(seeds, |seed| {
        let mut simulation = started_simulation(nodes, 100 + seed, FleetSettings::default());
        simulation.run_until(5.0);
        simulation.links.inject(5.0, FaultKind::LinkLoss, loss, &[], Direction::Both);
        simulation.run_until(5.0 + seconds);
        // A death that several nodes record counts once.
        let mut deaths: Vec<(NodeId, u64)> = simulation
            .state_changes
            .iter()
            .filter(|change| change.false_death)
            .map(|change| (change.of, (change.at / 5.0) as u64))
            .collect();
        deaths.sort_unstable();
        deaths.dedup();
        deaths.len()
    });
    deaths.iter().sum::<usize>() as f64 / (seeds as f64 * seconds / 3600.0)
}

/// Results of random schedules of all faults.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScheduleResults {
    pub schedules: u64,
    /// Number of breaches, over all schedules.
    pub broken: u64,
    /// The first breach of up to ten schedules.
    pub breaches: Vec<String>,
    pub ages: Ages,
    /// Schedules after which the tables were not equal within 10 s.
    pub apart: u64,
    /// The seeds of the first ten of them.
    pub unequal: Vec<u64>,
}

/// Runs one random schedule: 3 to 8 nodes, 25 s with up to six faults of links and nodes, then 10 s without. Returns
/// whether all tables were equal at the end.
pub fn run_schedule(seed: u64) -> (FleetSimulation, bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5c4ed);
    let nodes = rng.random_range(3..=8);
    let writes = Span(*[0.3, 1.0, 6.0].choose(&mut rng).unwrap_or(&1.0));
    let mut simulation =
        started_simulation(nodes, seed, FleetSettings { writes, ..FleetSettings::default() });
    run_random_faults(&mut simulation, nodes, &mut rng);
    simulation.links.heal();
    simulation.stop_writing();
    let equal = simulation.run_until_true(25.0, 35.0, FleetSimulation::agree_on_table).is_some();
    (simulation, equal)
}

/// Runs 25 s with up to three random faults of nodes and up to three of links.
fn run_random_faults(simulation: &mut FleetSimulation, nodes: usize, rng: &mut Pcg64Mcg) {
    let mut node_faults: Vec<(f64, NodeId, NodeCommand)> = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        let node = rng.random_range(0..nodes);
        let at = rng.random_range(1.0..18.0);
        let until = at + rng.random_range(0.05..7.0);
        let (begin, end) = *[
            (NodeCommand::Kill, NodeCommand::Start),
            (NodeCommand::Kill, NodeCommand::StartBack),
            (NodeCommand::Stall, NodeCommand::Wake),
            (NodeCommand::Stop, NodeCommand::Start),
        ]
        .choose(rng)
        .unwrap_or(&(NodeCommand::Kill, NodeCommand::Start));
        node_faults.push((at, node, begin));
        if begin == NodeCommand::Stop {
            node_faults.push((until - 0.01, node, NodeCommand::Kill));
        }
        node_faults.push((until, node, end));
    }
    let mut link_faults: Vec<(f64, FaultKind, f64, Vec<NodeId>, Direction)> = Vec::new();
    for _ in 0..rng.random_range(0..=3) {
        let kind = FaultKind::FLEET[rng.random_range(0..7)];
        let by = match kind {
            FaultKind::LinkDelay => rng.random_range(0.01..2.0),
            FaultKind::LinkSlow => rng.random_range(300.0..20_000.0),
            _ => rng.random_range(0.1..0.9),
        };
        let nodes = (0..nodes).filter(|_| rng.random_bool(0.4)).collect();
        let way = *[Direction::Both, Direction::Out, Direction::In].choose(rng).unwrap_or(&Direction::Both);
        link_faults.push((rng.random_range(1.0..18.0), kind, by, nodes, way));
    }
    node_faults.sort_by(|one, two| one.0.total_cmp(&two.0));
    link_faults.sort_by(|one, two| one.0.total_cmp(&two.0));
    let (mut node_faults, mut link_faults) =
        (node_faults.into_iter().peekable(), link_faults.into_iter().peekable());
    loop {
        let (node_fault, link_fault) = (
            node_faults.peek().map(|node_fault| node_fault.0),
            link_faults.peek().map(|link_fault| link_fault.0),
        );
        match (node_fault, link_fault) {
            (Some(at), link_fault) if link_fault.is_none_or(|link_fault| at <= link_fault) => {
                simulation.run_until(at);
                if let Some((at, node, command)) = node_faults.next() {
                    simulation.execute_command(at, node, command);
                }
            }
            (_, Some(at)) => {
                simulation.run_until(at);
                if let Some((at, kind, by, nodes, way)) = link_faults.next() {
                    simulation.links.inject(at, kind, by, &nodes, way);
                }
            }
            _ => break,
        }
    }
    simulation.run_until(25.0);
}

/// Runs `many` random schedules with seeds from `from`.
pub fn run_schedules(from: u64, many: u64) -> ScheduleResults {
    let results = parallel_map(many, |at| {
        let (simulation, equal) = run_schedule(from + at);
        (from + at, simulation.checker.broken, simulation.checker.breaches, simulation.checker.ages, equal)
    });
    let mut all = ScheduleResults { schedules: many, ..ScheduleResults::default() };
    for (seed, broken, breaches, ages, equal) in results {
        all.broken += broken;
        let remaining = 10_usize.saturating_sub(all.breaches.len());
        all.breaches.extend(
            breaches
                .into_iter()
                .take(1.min(remaining))
                .map(|description| format!("seed {seed}: {description}")),
        );
        all.ages.readings += ages.readings;
        all.ages.nearest = all.ages.nearest.max(ages.nearest);
        all.ages.oldest = all.ages.oldest.max(ages.oldest);
        all.ages.slack = all.ages.slack.max(ages.slack);
        if !equal {
            all.apart += 1;
            all.unequal.push(seed);
        }
    }
    all.unequal.truncate(10);
    all
}

/// Results of random schedules with a limit shared by the whole fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LimitScheduleResults {
    pub schedules: u64,
    pub broken: u64,
    pub breaches: Vec<String>,
    /// The greatest part of the bound that was used in any window.
    pub fullest: f64,
    /// Uses requested, and those of them granted.
    pub wanted: u64,
    pub had: u64,
}

/// Terms with one limit and the first five members as voters.
pub fn terms(simulation: &FleetSimulation, (most, window, strict): (f64, f64, bool)) -> LimitTerms {
    let voters = simulation.members().iter().copied().take(5).collect();
    LimitTerms { limits: vec![Limit { id: 1, most, window, strict }], voters, lease: 2.0, drift: 0.01 }
}

/// A simulation without faults, with all processes started and one shared limit.
fn simulation_with_limit(nodes: usize, seed: u64, limit: (f64, f64, bool)) -> FleetSimulation {
    let mut simulation = empty_simulation(nodes, seed, FleetSettings::default());
    simulation.set_limits(terms(&simulation, limit));
    (0..nodes).for_each(|node| simulation.start(0.0, node, false));
    simulation
}

/// Runs one random schedule with a shared limit, where each node requests a random part of 0.5 to 3 times the limit.
pub fn run_limited_schedule(seed: u64) -> FleetSimulation {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x11317);
    let nodes = rng.random_range(3..=8);
    let window = *[0.5, 1.0, 2.0].choose(&mut rng).unwrap_or(&1.0);
    let most = *[1.0, 4.0, 20.0, 100.0].choose(&mut rng).unwrap_or(&20.0);
    let mut simulation = simulation_with_limit(nodes, seed, (most, window, rng.random_bool(0.5)));
    let demand = most / window * rng.random_range(0.5..3.0);
    for node in 0..nodes {
        let fraction = rng.random_range(0.0..1.0_f64).powi(3);
        simulation.set_demand(0.0, node, demand * fraction);
    }
    run_random_faults(&mut simulation, nodes, &mut rng);
    simulation
}

/// Runs `many` random schedules with a shared limit, with seeds from `from`.
pub fn run_limited_schedules(from: u64, many: u64) -> LimitScheduleResults {
    let results = parallel_map(many, |at| {
        let simulation = run_limited_schedule(from + at);
        let FleetSimulation { checker, wanted, had, .. } = simulation;
        (from + at, checker, wanted, had)
    });
    let mut all = LimitScheduleResults { schedules: many, ..LimitScheduleResults::default() };
    for (seed, checker, wanted, had) in results {
        all.broken += checker.broken;
        let remaining = 10_usize.saturating_sub(all.breaches.len());
        let first = checker.breaches.into_iter().take(remaining.min(1));
        all.breaches.extend(first.map(|description| format!("seed {seed}: {description}")));
        all.fullest = all.fullest.max(checker.fullest);
        (all.wanted, all.had) = (all.wanted + wanted, all.had + had);
    }
    all
}

/// Without faults, the demand is 1.2 times the limit and one node, another every 10 s, has five times the demand of each
/// other. Returns the fraction of the limit that is used, and the fraction that equal parts for all nodes would allow.
pub fn uneven_demand(nodes: usize, seed: u64, seconds: f64, (most, window): (f64, f64)) -> (f64, f64) {
    let mut simulation = simulation_with_limit(nodes, seed, (most, window, false));
    let (mut now, start) = (8.0, 10.0);
    simulation.run_until(now);
    let each = 1.2 * most / window / (nodes as f64 + 4.0);
    let (mut hot, mut equal, mut had) = (0, 0.0, 0);
    while now < start + seconds {
        (0..nodes)
            .for_each(|node| simulation.set_demand(now, node, if node == hot { 5.0 * each } else { each }));
        if now >= start {
            let part = most / window / nodes as f64;
            equal += 10.0 * (part.min(5.0 * each) + (nodes as f64 - 1.0) * part.min(each));
        } else {
            had = 0;
        }
        let until = if now < start { start } else { now + 10.0 };
        simulation.run_until(until);
        if now < start {
            had = simulation.had;
        }
        (now, hot) = (until, (hot + 5) % nodes);
    }
    let allowed = (now - start) * most / window;
    ((simulation.had - had) as f64 / allowed, equal / allowed)
}

/// A limit of 0.3 uses per second among `nodes` nodes, all requested at one: the fraction of it that is granted.
pub fn small_limit(nodes: usize, seed: u64) -> f64 {
    let (rate, window, start, seconds) = (0.3, 10.0, 20.0, 600.0);
    let mut simulation = simulation_with_limit(nodes, seed, (rate * window, window, false));
    simulation.set_demand(0.0, 0, 3.0 * rate);
    simulation.run_until(start);
    let before = simulation.had;
    simulation.run_until(start + seconds);
    (simulation.had - before) as f64 / (rate * seconds)
}

/// What each node sends per second, and the processing time that takes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Traffic {
    pub nodes: usize,
    pub tenants: u32,
    pub messages: f64,
    pub bytes: f64,
    /// Fraction of a core per node, including the simulation's own work.
    pub cores: f64,
}

/// Traffic without faults, where each of `tenants` tenants requests more than its share at one node in ten and nothing at
/// the others. With `partitioned` the two halves of the nodes do not reach each other.
pub fn traffic(nodes: usize, tenants: u32, partitioned: bool) -> Traffic {
    let mut simulation = empty_simulation(nodes, 1, FleetSettings::default());
    let limit = |id| Limit { id, most: 100.0, window: 10.0, strict: false };
    if tenants > 0 {
        let terms =
            LimitTerms { limits: (0..tenants).map(limit).collect(), ..terms(&simulation, (1.0, 1.0, false)) };
        simulation.set_limits(terms);
    }
    (0..nodes).for_each(|node| simulation.start(0.0, node, false));
    for node in 0..nodes.div_ceil(10) {
        simulation.set_demand(0.0, node, 12.0 * f64::from(tenants));
    }
    let mut start = 10.0;
    if partitioned {
        let half: Vec<NodeId> = (0..nodes / 2).collect();
        simulation.run_until(start);
        simulation.links.inject(start, FaultKind::LinkCut, 1.0, &half, Direction::Both);
        // By then each half holds all members of the other half to be dead.
        start += 20.0;
    }
    let sent = |simulation: &FleetSimulation, now| {
        let counts = (0..nodes).filter_map(|node| simulation.figures(now, node)).map(|f| f.counts);
        counts.fold((0.0, 0.0), |(many, bytes), c| (many + c.sent as f64, bytes + c.sent_bytes as f64))
    };
    simulation.run_until(start);
    let (before, started) = (sent(&simulation, start), Instant::now());
    simulation.run_until(start + 10.0);
    let (elapsed, after) = (started.elapsed().as_secs_f64(), sent(&simulation, start + 10.0));
    let each = 10.0 * nodes as f64;
    let (messages, bytes) = ((after.0 - before.0) / each, (after.1 - before.1) / each);
    Traffic { nodes, tenants, messages, bytes, cores: elapsed / each }
}

/// Bytes that each node sends per second with limits for `tenants` tenants.
pub fn bytes_with_limits(nodes: usize, tenants: u32) -> f64 {
    traffic(nodes, tenants, false).bytes
}

#[cfg(test)]
mod tests;
