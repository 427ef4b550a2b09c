//! What the fleet's part of a node takes and gives, measured on the stage in virtual time.
use std::time::Instant;

use coveroute_fleet::rights::{Limit, Terms};
use coveroute_fleet::State;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::stage::Stage;
use super::witness::Ages;
use crate::scenario::{Direction, FleetPart, Scenario, Span, What};
use crate::search::{drawn, on_all_cores};
use crate::world::{NodeId, Order};

/// A stage without faults, and nobody on it.
fn bare(nodes: usize, seed: u64, part: FleetPart) -> Stage {
    let mut scenario: Scenario = drawn(1);
    (scenario.fleet, scenario.faults) = (Some(part), Vec::new());
    Stage::new(&scenario, seed, &vec!["a".into(); nodes])
}

pub fn begun(nodes: usize, seed: u64, part: FleetPart) -> Stage {
    let mut stage = bare(nodes, seed, part);
    (0..nodes).for_each(|node| stage.start(0.0, node, false));
    stage
}

/// The part of them at which so many are no greater.
pub fn quantile(figures: &mut [f64], part: f64) -> f64 {
    figures.sort_by(f64::total_cmp);
    let at = (part * figures.len() as f64).ceil() as usize;
    figures.get(at.max(1) - 1).copied().unwrap_or(f64::NAN)
}

#[derive(Clone, Debug, Serialize)]
pub struct Size {
    pub nodes: usize,
    /// From a kill to the first who holds it for one, and to the last of all; median and 99 of 100, in seconds.
    pub known: (f64, f64),
    pub told: (f64, f64),
    /// From a write to the last reader.
    pub written: (f64, f64),
    /// Bytes that a node sends a second, at rest.
    pub bytes: f64,
    pub false_deaths: usize,
}

/// Kills, one after the other, and writes; then a time at rest.
pub fn size(nodes: usize, kills: usize, seed: u64) -> Size {
    let mut stage = begun(nodes, seed, FleetPart::default());
    // A standing record each, as nodes write.
    for node in 0..nodes {
        stage.write(0.0, node, 0);
    }
    let mut now = 15.0;
    stage.play(now);
    let sent = |stage: &Stage, now| {
        (0..nodes).filter_map(|node| stage.figures(now, node)).map(|f| f.counts.sent_bytes).sum::<u64>()
            as f64
    };
    let before = sent(&stage, now);
    stage.play(now + 30.0);
    let bytes = (sent(&stage, now + 30.0) - before) / 30.0 / nodes as f64;
    now += 30.0;
    let (mut known, mut told, mut written) = (Vec::new(), Vec::new(), Vec::new());
    for kill in 0..kills {
        let (victim, writer) = ((kill * 7) % nodes, (kill * 7 + 1) % nodes);
        stage.seen.clear();
        stage.kill(victim);
        let done = stage.until(now, now + 60.0, |stage| {
            (0..nodes).all(|by| by == victim || stage.state(by, victim) == Some(State::Dead))
        });
        let first =
            stage.seen.iter().filter(|seen| seen.of == victim && seen.to == State::Dead).map(|s| s.at);
        known.push(first.fold(f64::INFINITY, f64::min) - now);
        told.push(done.map_or(f64::INFINITY, |done| done - now));
        now = done.unwrap_or(now + 60.0);
        stage.start(now, victim, false);
        stage.write(now, victim, 0);
        now += 5.0;
        stage.play(now);
        stage.write(now, writer, 1);
        let all = stage.until(now, now + 60.0, Stage::agree);
        written.push(all.map_or(f64::INFINITY, |all| all - now));
        now = all.unwrap_or(now + 60.0) + 1.0;
        stage.play(now);
    }
    let both = |figures: &mut Vec<f64>| (quantile(figures, 0.5), quantile(figures, 0.99));
    let false_deaths = stage.seen.iter().filter(|seen| seen.false_death).count();
    Size {
        nodes,
        known: both(&mut known),
        told: both(&mut told),
        written: both(&mut written),
        bytes,
        false_deaths,
    }
}

/// Deaths an hour in a fleet of which none dies, by the part of datagrams that is lost.
pub fn false_deaths_an_hour(nodes: usize, loss: f64, seconds: f64, seeds: u64) -> f64 {
    let deaths = on_all_cores(seeds, |seed| {
        let mut stage = begun(nodes, 100 + seed, FleetPart::default());
        stage.play(5.0);
        stage.links.strike(5.0, What::LinkLoss, loss, &[], Direction::Both);
        stage.play(5.0 + seconds);
        // One death that all come to hold is one.
        let mut deaths: Vec<(NodeId, u64)> = stage
            .seen
            .iter()
            .filter(|seen| seen.false_death)
            .map(|seen| (seen.of, (seen.at / 5.0) as u64))
            .collect();
        deaths.sort_unstable();
        deaths.dedup();
        deaths.len()
    });
    deaths.iter().sum::<usize>() as f64 / (seeds as f64 * seconds / 3600.0)
}

/// What random schedules of all faults come to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Schedules {
    pub schedules: u64,
    pub broken: u64,
    pub breaches: Vec<String>,
    pub ages: Ages,
    /// Schedules after whose end not all held the same within ten seconds.
    pub apart: u64,
    pub unequal: Vec<u64>,
}

/// One schedule: 3 to 8 nodes, 25 s with up to six faults of links and nodes, then ten seconds without.
pub fn schedule(seed: u64) -> (Stage, bool) {
    let mut draw = Pcg64Mcg::seed_from_u64(seed ^ 0x5c4ed);
    let nodes = draw.random_range(3..=8);
    let writes = Span(*[0.3, 1.0, 6.0].choose(&mut draw).unwrap_or(&1.0));
    let mut stage = begun(nodes, seed, FleetPart { writes, ..FleetPart::default() });
    break_things(&mut stage, nodes, &mut draw);
    stage.links.heal();
    stage.stop_writing();
    let same = stage.until(25.0, 35.0, Stage::agree).is_some();
    (stage, same)
}

/// 25 seconds with up to three faults of nodes and three of links, drawn.
fn break_things(stage: &mut Stage, nodes: usize, draw: &mut Pcg64Mcg) {
    let mut acts: Vec<(f64, NodeId, Order)> = Vec::new();
    for _ in 0..draw.random_range(1..=3) {
        let node = draw.random_range(0..nodes);
        let at = draw.random_range(1.0..18.0);
        let until = at + draw.random_range(0.05..7.0);
        let (begin, end) = *[
            (Order::Kill, Order::Start),
            (Order::Kill, Order::StartBack),
            (Order::Stall, Order::Wake),
            (Order::Stop, Order::Start),
        ]
        .choose(draw)
        .unwrap_or(&(Order::Kill, Order::Start));
        acts.push((at, node, begin));
        if begin == Order::Stop {
            acts.push((until - 0.01, node, Order::Kill));
        }
        acts.push((until, node, end));
    }
    let mut links: Vec<(f64, What, f64, Vec<NodeId>, Direction)> = Vec::new();
    for _ in 0..draw.random_range(0..=3) {
        let what = What::FLEET[draw.random_range(0..7)];
        let by = match what {
            What::LinkDelay => draw.random_range(0.01..2.0),
            What::LinkSlow => draw.random_range(300.0..20_000.0),
            _ => draw.random_range(0.1..0.9),
        };
        let set = (0..nodes).filter(|_| draw.random_bool(0.4)).collect();
        let way = *[Direction::Both, Direction::Out, Direction::In].choose(draw).unwrap_or(&Direction::Both);
        links.push((draw.random_range(1.0..18.0), what, by, set, way));
    }
    acts.sort_by(|one, two| one.0.total_cmp(&two.0));
    links.sort_by(|one, two| one.0.total_cmp(&two.0));
    let (mut acts, mut links) = (acts.into_iter().peekable(), links.into_iter().peekable());
    loop {
        let (act, link) = (acts.peek().map(|act| act.0), links.peek().map(|link| link.0));
        match (act, link) {
            (Some(at), link) if link.is_none_or(|link| at <= link) => {
                stage.play(at);
                if let Some((at, node, order)) = acts.next() {
                    stage.order(at, node, order);
                }
            }
            (_, Some(at)) => {
                stage.play(at);
                if let Some((at, what, by, set, way)) = links.next() {
                    stage.links.strike(at, what, by, &set, way);
                }
            }
            _ => break,
        }
    }
    stage.play(25.0);
}

pub fn schedules(from: u64, many: u64) -> Schedules {
    let played = on_all_cores(many, |at| {
        let (stage, same) = schedule(from + at);
        (from + at, stage.witness.broken, stage.witness.breaches, stage.witness.ages, same)
    });
    let mut all = Schedules { schedules: many, ..Schedules::default() };
    for (seed, broken, breaches, ages, same) in played {
        all.broken += broken;
        let room = 10_usize.saturating_sub(all.breaches.len());
        all.breaches
            .extend(breaches.into_iter().take(1.min(room)).map(|words| format!("seed {seed}: {words}")));
        all.ages.readings += ages.readings;
        all.ages.nearest = all.ages.nearest.max(ages.nearest);
        all.ages.oldest = all.ages.oldest.max(ages.oldest);
        all.ages.slack = all.ages.slack.max(ages.slack);
        if !same {
            all.apart += 1;
            all.unequal.push(seed);
        }
    }
    all.unequal.truncate(10);
    all
}

/// What a limit over the whole fleet comes to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Limited {
    pub schedules: u64,
    pub broken: u64,
    pub breaches: Vec<String>,
    /// The most of the limit that any window saw.
    pub fullest: f64,
    pub wanted: u64,
    pub had: u64,
}

pub fn terms(stage: &Stage, (most, window, strict): (f64, f64, bool)) -> Terms {
    let voters = stage.members().iter().copied().take(5).collect();
    Terms { limits: vec![Limit { id: 1, most, window, strict }], voters, lease: 2.0, drift: 0.01 }
}

fn limited(nodes: usize, seed: u64, limit: (f64, f64, bool)) -> Stage {
    let mut stage = bare(nodes, seed, FleetPart::default());
    stage.limit(terms(&stage, limit));
    (0..nodes).for_each(|node| stage.start(0.0, node, false));
    stage
}

/// One schedule with more wanted than there is, at nodes that change.
pub fn limited_schedule(seed: u64) -> Stage {
    let mut draw = Pcg64Mcg::seed_from_u64(seed ^ 0x11317);
    let nodes = draw.random_range(3..=8);
    let window = *[0.5, 1.0, 2.0].choose(&mut draw).unwrap_or(&1.0);
    let most = *[1.0, 4.0, 20.0, 100.0].choose(&mut draw).unwrap_or(&20.0);
    let mut stage = limited(nodes, seed, (most, window, draw.random_bool(0.5)));
    let wants = most / window * draw.random_range(0.5..3.0);
    for node in 0..nodes {
        let part = draw.random_range(0.0..1.0_f64).powi(3);
        stage.demand(0.0, node, wants * part);
    }
    break_things(&mut stage, nodes, &mut draw);
    stage
}

pub fn limited_schedules(from: u64, many: u64) -> Limited {
    let played = on_all_cores(many, |at| {
        let stage = limited_schedule(from + at);
        let Stage { witness, wanted, had, .. } = stage;
        (from + at, witness, wanted, had)
    });
    let mut all = Limited { schedules: many, ..Limited::default() };
    for (seed, witness, wanted, had) in played {
        all.broken += witness.broken;
        let room = 10_usize.saturating_sub(all.breaches.len());
        let first = witness.breaches.into_iter().take(room.min(1));
        all.breaches.extend(first.map(|words| format!("seed {seed}: {words}")));
        all.fullest = all.fullest.max(witness.fullest);
        (all.wanted, all.had) = (all.wanted + wanted, all.had + had);
    }
    all
}

/// In calm, 1.2 times the limit is wanted, five times the mean of it at one node that changes every ten seconds: the part
/// of the limit that is had, and what equal parts would give at the same demand.
pub fn uneven(nodes: usize, seed: u64, seconds: f64, (most, window): (f64, f64)) -> (f64, f64) {
    let mut stage = limited(nodes, seed, (most, window, false));
    let (mut now, begins) = (8.0, 10.0);
    stage.play(now);
    let each = 1.2 * most / window / (nodes as f64 + 4.0);
    let (mut hot, mut equal, mut had) = (0, 0.0, 0);
    while now < begins + seconds {
        (0..nodes).for_each(|node| stage.demand(now, node, if node == hot { 5.0 * each } else { each }));
        if now >= begins {
            let part = most / window / nodes as f64;
            equal += 10.0 * (part.min(5.0 * each) + (nodes as f64 - 1.0) * part.min(each));
        } else {
            had = 0;
        }
        let until = if now < begins { begins } else { now + 10.0 };
        stage.play(until);
        if now < begins {
            had = stage.had;
        }
        (now, hot) = (until, (hot + 5) % nodes);
    }
    let may = (now - begins) * most / window;
    ((stage.had - had) as f64 / may, equal / may)
}

/// Less than one use a second among many nodes, all wanted at one: the part of it that is had.
pub fn small(nodes: usize, seed: u64) -> f64 {
    let (rate, window, begins, seconds) = (0.3, 10.0, 20.0, 600.0);
    let mut stage = limited(nodes, seed, (rate * window, window, false));
    stage.demand(0.0, 0, 3.0 * rate);
    stage.play(begins);
    let before = stage.had;
    stage.play(begins + seconds);
    (stage.had - before) as f64 / (rate * seconds)
}

/// What a node sends a second, and what that took of this process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Traffic {
    pub nodes: usize,
    pub tenants: u32,
    pub messages: f64,
    pub bytes: f64,
    /// Part of a core a node, the stage's own work with it.
    pub cores: f64,
}

/// Traffic at rest, with so many tenants of whom each wants more than the share at one node in ten, and nothing elsewhere;
/// `apart`: the two halves of the nodes do not reach each other.
pub fn traffic(nodes: usize, tenants: u32, apart: bool) -> Traffic {
    let mut stage = bare(nodes, 1, FleetPart::default());
    let limit = |id| Limit { id, most: 100.0, window: 10.0, strict: false };
    if tenants > 0 {
        let terms = Terms { limits: (0..tenants).map(limit).collect(), ..terms(&stage, (1.0, 1.0, false)) };
        stage.limit(terms);
    }
    (0..nodes).for_each(|node| stage.start(0.0, node, false));
    for node in 0..nodes.div_ceil(10) {
        stage.demand(0.0, node, 12.0 * f64::from(tenants));
    }
    let mut begins = 10.0;
    if apart {
        let half: Vec<NodeId> = (0..nodes / 2).collect();
        stage.play(begins);
        stage.links.strike(begins, What::LinkCut, 1.0, &half, Direction::Both);
        // By then all on the one side hold all on the other for dead.
        begins += 20.0;
    }
    let sent = |stage: &Stage, now| {
        let counts = (0..nodes).filter_map(|node| stage.figures(now, node)).map(|f| f.counts);
        counts.fold((0.0, 0.0), |(many, bytes), c| (many + c.sent as f64, bytes + c.sent_bytes as f64))
    };
    stage.play(begins);
    let (before, began) = (sent(&stage, begins), Instant::now());
    stage.play(begins + 10.0);
    let (took, after) = (began.elapsed().as_secs_f64(), sent(&stage, begins + 10.0));
    let each = 10.0 * nodes as f64;
    let (messages, bytes) = ((after.0 - before.0) / each, (after.1 - before.1) / each);
    Traffic { nodes, tenants, messages, bytes, cores: took / each }
}

/// Bytes that a node sends a second, with so many tenants.
pub fn price_of_limits(nodes: usize, tenants: u32) -> f64 {
    traffic(nodes, tenants, false).bytes
}

#[cfg(test)]
mod tests;
