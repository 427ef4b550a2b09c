//! The proof `fleet`: what nodes that know each other promise, on real processes and in virtual time.
use std::path::Path;
use std::time::{Duration, Instant};

use coveroute_fleet::explore::{explore, Model};
use serde::Serialize;
use serde_json::json;

use super::callers::Caller;
use super::measure::{
    false_deaths_an_hour, limited_schedules, price_of_limits, quantile, schedules, size, small, uneven,
};
use super::model::{way, Few};
use super::model_limits::{self, Sharing};
use super::processes::Processes;
use crate::load::{load, Members, Plan};
use crate::loopback::{self, taken_by};
use crate::proof::{Place, Proof};
use crate::scenario::{Direction, FleetPart, Scenario, What};
use crate::search::{drawn_fleet, search};
use crate::world::NodeId;

const THERE: [&str; 2] = ["alive", "returned"];
/// What a kill, a cut, the end of a stall, and the end of a cut may take to be known, in seconds.
const KILL: f64 = 2.0;
const CUT: f64 = 3.0;
const STALL: f64 = 1.0;
const HEAL: f64 = 2.0;
/// What knowing each other may cost of the service, and how many pairs of runs show it.
const APART: f64 = 0.03;
const PAIRS: usize = 3;

pub fn fleet(place: &Place) -> Result<Proof, String> {
    let mut proof = Proof::new();
    virtual_time(place.long, &mut proof);
    let plans: &[(usize, usize, usize)] =
        if place.long { &[(2, 16, 400_000), (3, 12, 250_000), (4, 10, 150_000)] } else { &[(2, 7, 30_000)] };
    plans.iter().for_each(|plan| orders(&mut proof, *plan, &Few::new(plan.0, 0.01), way));
    together(place.long, &mut proof)?;
    let (nodes, kills, cuts, stall) = if place.long { (12, 50, 10, 20.0) } else { (5, 3, 1, 3.0) };
    processes(&place.node, nodes, (kills, cuts, stall), &mut proof)?;
    service(place, &mut proof)?;
    if place.long {
        price(&place.node, &mut proof)?;
    }
    Ok(proof)
}

fn virtual_time(long: bool, proof: &mut Proof) {
    let all = schedules(1, if long { 10_000 } else { 300 });
    proof.want(all.broken == 0, format!("schedules: {} broken, {:?}", all.broken, all.breaches));
    proof.want(all.apart == 0, format!("schedules: {} not in one table again: {:?}", all.apart, all.unequal));
    proof.want(all.ages.nearest <= 1.0, format!("a told age under the truth: {}", all.ages.nearest));
    proof.want(all.ages.nearest >= 1.0 / 3.0, "no told age comes near the truth".into());
    proof.note("schedules", &all);
    let mut sizes = Vec::new();
    for (nodes, kills) in if long { vec![(12, 50), (30, 50), (300, 10), (1000, 3)] } else { vec![(30, 10)] } {
        let began = Instant::now();
        let size = size(nodes, kills, 1);
        proof.want(size.bytes <= 4096.0, format!("{nodes} nodes: {:.0} bytes a second each", size.bytes));
        proof.want(size.false_deaths == 0, format!("{nodes} nodes: {} false deaths", size.false_deaths));
        proof.note(&format!("size_{nodes}"), (&size, began.elapsed().as_secs_f64()));
        sizes.push(size);
    }
    if let (true, Some(least), Some(most)) = (long, sizes.get(1), sizes.last()) {
        let times = most.bytes / least.bytes;
        proof.note("bytes_30_to_1000", times);
        proof.want(times <= 1.3, format!("{times:.2} times the bytes at 1,000 as at 30"));
    }
    for (name, loss) in [("lost_0", 0.0), ("lost_10", 0.1), ("lost_30", 0.3)] {
        let (seconds, seeds) = if long { (3600.0, 8) } else { (120.0, 8) };
        let deaths = false_deaths_an_hour(12, loss, seconds, seeds);
        proof.note(&format!("false_deaths_an_hour_{name}"), deaths);
        proof.want(deaths == 0.0, format!("{name}: {deaths} false deaths an hour"));
    }
}

/// The fleet's faults together with all others, under work.
fn together(long: bool, proof: &mut Proof) -> Result<(), String> {
    let seeds = if long { 5000 } else { 300 };
    let searched = search(1, seeds, 0, false, drawn_fleet, || {})?;
    proof.note("searched", (seeds, searched.mean));
    for found in &searched.broken {
        proof.want(false, format!("seed {}: {}", found.seed, found.words));
    }
    Ok(())
}

/// All orders of what can happen to so many nodes, to a depth, or as deep as so many states allow.
fn orders<M: Model>(
    proof: &mut Proof,
    (nodes, depth, most): (usize, usize, usize),
    model: &M,
    way: impl Fn(&[M::Step]) -> String,
) {
    let explored = explore(model, depth, most);
    let (states, steps) = (explored.states, explored.steps);
    let looked = json!({ "states": states, "steps": steps, "depth": explored.depth });
    proof.note(&format!("orders_{nodes}"), looked);
    let breach = explored.breach.map(|breach| format!("{}: {}", way(&breach.steps), breach.words));
    proof.want(breach.is_none(), format!("{nodes} nodes: {}", breach.unwrap_or_default()));
}

#[derive(Serialize)]
struct Took {
    p50: f64,
    p99: f64,
    runs: usize,
}

fn took(mut figures: Vec<f64>) -> Took {
    Took { p50: quantile(&mut figures, 0.5), p99: quantile(&mut figures, 0.99), runs: figures.len() }
}

/// Real processes: how soon kills, cuts, the ends of stalls and of cuts are known to all.
fn processes(
    program: &Path,
    nodes: usize,
    (kills, cuts, stall): (usize, usize, f64),
    proof: &mut Proof,
) -> Result<(), String> {
    let mut fleet = Processes::start(program, nodes, FleetPart::default())?;
    let all: Vec<NodeId> = (0..nodes).collect();
    let met = |p: &Processes| p.hold(&all, &all, &THERE) && p.agree(&all);
    let began = fleet.until(30.0, met).ok_or("the processes do not all know each other after 30 s")?;
    proof.note("met", began);
    let (mut known, mut back) = (Vec::new(), Vec::new());
    for kill in 0..kills {
        let victim = (kill * 5 + 1) % nodes;
        let rest: Vec<NodeId> = all.iter().copied().filter(|node| *node != victim).collect();
        fleet.kill(victim);
        known.push(fleet.until(15.0, |p| p.hold(&rest, &[victim], &["dead"])).unwrap_or(f64::INFINITY));
        fleet.begin(victim)?;
        back.push(fleet.until(15.0, met).unwrap_or(f64::INFINITY));
    }
    let (known, back) = (took(known), took(back));
    proof.want(known.p99 <= KILL, format!("a kill is known to all after {:.2} s, {KILL} wanted", known.p99));
    proof.note("kill_known", known);
    proof.note("start_known", back);
    let (mut missed, mut healed) = (Vec::new(), Vec::new());
    for cut in 0..cuts {
        let side: Vec<NodeId> = (0..nodes * 5 / 12).map(|at| (at + cut) % nodes).collect();
        let rest: Vec<NodeId> = all.iter().copied().filter(|node| !side.contains(node)).collect();
        fleet.strike(What::LinkCut, 0.0, &side, Direction::Both);
        let both = |p: &Processes| p.hold(&rest, &side, &["dead"]) && p.hold(&side, &rest, &["dead"]);
        missed.push(fleet.until(15.0, both).unwrap_or(f64::INFINITY));
        let among = fleet.hold(&rest, &rest, &THERE) && fleet.hold(&side, &side, &THERE);
        proof.want(among, format!("cut {cut}: a member of the own side is missed"));
        fleet.heal();
        healed.push(fleet.until(15.0, met).unwrap_or(f64::INFINITY));
    }
    let (missed, healed) = (took(missed), took(healed));
    proof.want(missed.p99 <= CUT, format!("a cut is known after {:.2} s, {CUT} wanted", missed.p99));
    proof.want(healed.p99 <= HEAL, format!("one table {:.2} s after a cut, {HEAL} wanted", healed.p99));
    proof.note("cut_known", missed);
    proof.note("cut_healed", healed);
    let still = nodes - 1;
    let rest: Vec<NodeId> = all.iter().copied().filter(|node| *node != still).collect();
    fleet.stall(still);
    std::thread::sleep(Duration::from_secs_f64(stall));
    proof
        .want(fleet.hold(&rest, &[still], &["dead"]), format!("who stood still for {stall} s is not missed"));
    fleet.wake(still);
    let refuted = fleet.until(15.0, met).unwrap_or(f64::INFINITY);
    proof.note("stall_refuted", refuted);
    proof.want(refuted <= STALL, format!("a stall's end is known after {refuted:.2} s, {STALL} wanted"));
    let cpu = |fleet: &Processes| {
        all.iter()
            .filter_map(|node| fleet.pid(*node))
            .map(|pid| taken_by(pid as i32).cpu_seconds)
            .sum::<f64>()
    };
    let (before, span) = (cpu(&fleet), 5.0);
    std::thread::sleep(Duration::from_secs_f64(span));
    proof.note("cpu_of_a_core_each", (cpu(&fleet) - before) / span / nodes as f64);
    Ok(())
}

/// The same scenario with nodes that know each other, and without: pairs of runs, one right after the other. What a busy
/// machine takes from both of a pair counts for neither, and the median leaves out what it took from one.
fn service(place: &Place, proof: &mut Proof) -> Result<(), String> {
    let mut scenario = Scenario::read(&place.scenarios.join("rehearsal-short.toml"))?;
    let mut pairs = [[0.0; 2]; PAIRS];
    for (pair, figures) in pairs.iter_mut().enumerate() {
        // Each goes first in turn.
        for with in [pair % 2, 1 - pair % 2] {
            scenario.fleet = (with == 1).then(FleetPart::default);
            let options = loopback::Options { node: place.node.clone(), logs: None };
            let (outcome, _) = loopback::run(&scenario, scenario.seed, options)?;
            proof.want(outcome.broken == 0, format!("service: {:?}", outcome.breaches.first()));
            figures[with] = outcome.figure();
        }
    }
    proof.note("service_without_and_with", pairs);
    let apart = quantile(&mut pairs.map(|[without, with]| with - without), 0.5);
    proof.want(apart >= -APART, format!("service {apart:.3} apart with nodes that know each other"));
    Ok(())
}

/// What a call costs a node, with five that know each other and without, in turns.
fn price(program: &Path, proof: &mut Proof) -> Result<(), String> {
    let mut costs = [Vec::new(), Vec::new()];
    for _ in 0..5 {
        for (with, costs) in costs.iter_mut().enumerate() {
            let mut others = Processes::start(program, 5, FleetPart::default())?;
            others.kill(0);
            let (node, seconds) = (program.to_owned(), 3.0);
            let (file, member) = others.file(0);
            let members = if with == 1 { Members::File(file, member) } else { Members::Nobody };
            let plan = Plan { node, seconds, members, ..Plan::default() };
            costs.push(load(&plan)?.cpu_us_a_call);
        }
    }
    let [without, with] = costs.map(|mut costs| quantile(&mut costs, 0.5));
    proof.note("cpu_us_a_call_without_and_with", [without, with]);
    proof.want(with <= 1.1 * without, format!("{with:.1} us a call with, {without:.1} without"));
    Ok(())
}

const TENANT: &str = "acme";
/// Its share in the proof on real processes, invocations a second over all.
const SHARE: f64 = 60.0;

/// A share that holds over all nodes: never over what is stated, and had where it is wanted.
pub fn limits(place: &Place) -> Result<Proof, String> {
    let mut proof = Proof::new();
    let all = limited_schedules(1, if place.long { 10_000 } else { 300 });
    proof.want(all.broken == 0, format!("schedules: {} over, {:?}", all.broken, all.breaches));
    proof.want(all.fullest >= 0.5, format!("the fullest window has {:.2} of the bound", all.fullest));
    proof.note("schedules", &all);
    let plans: &[(usize, usize, usize)] =
        if place.long { &[(2, 14, 400_000), (3, 10, 300_000)] } else { &[(2, 7, 30_000)] };
    let way = |steps: &[model_limits::Step]| format!("{steps:?}");
    plans.iter().for_each(|plan| orders(&mut proof, *plan, &Sharing::new(plan.0, 0.01), way));
    for (nodes, rate) in if place.long { vec![(12, 120.0), (100, 1000.0)] } else { vec![(12, 120.0)] } {
        let (had, equal) = uneven(nodes, 1, 60.0, (rate, 1.0));
        proof.note(&format!("uneven_{nodes}"), json!({ "had": had, "equal_parts": equal }));
        proof.want(
            had >= 0.97,
            format!("{nodes} nodes: {had:.3} of an unevenly wanted share is had, 0.97 wanted"),
        );
    }
    let small = small(12, 1);
    proof.note("small_of_0.3_a_second", small);
    proof.want(small >= 0.9, format!("{small:.2} of a share of 0.3 a second among 12 nodes is had"));
    for (nodes, tenants) in
        if place.long { vec![(12, 10), (12, 100), (100, 10), (100, 100)] } else { vec![(12, 10)] }
    {
        let bytes = price_of_limits(nodes, tenants);
        proof.note(&format!("bytes_{nodes}_nodes_{tenants}_tenants"), bytes);
    }
    shared(place, &mut proof)?;
    Ok(proof)
}

/// Real processes under more than the share, with faults: what all had together, looked at from outside all the time.
fn shared(place: &Place, proof: &mut Proof) -> Result<(), String> {
    let (nodes, rounds) = if place.long { (12, 12) } else { (5, 2) };
    let mut fleet = Processes::limited(&place.node, nodes, FleetPart::default(), Some((TENANT, SHARE)))?;
    let minted =
        |p: &Processes| (0..nodes).all(|node| p.fleet(node).is_some_and(|f| f["mints"].as_u64() == Some(1)));
    fleet.until(30.0, minted).ok_or("the processes do not all hold their mints after 30 s")?;
    let callers: Vec<Caller> = (0..nodes).map(|node| Caller::new(fleet.listens(node), TENANT)).collect();
    // In calm: all at one node.
    callers[0].calls(0.95 * SHARE);
    std::thread::sleep(Duration::from_secs(2));
    let within = |p: &Processes, node: NodeId| p.within(node, TENANT).unwrap_or_default();
    let before = within(&fleet, 0);
    std::thread::sleep(Duration::from_secs(5));
    let after = within(&fleet, 0);
    let had = (after.1 - before.1) / (after.0 - before.0).max(1.0);
    proof.note("all_at_one_node", had);
    proof.want(had >= 0.95, format!("all at one node: {had:.3} of what is wanted is within the share"));
    // With faults: more is wanted than there is, everywhere.
    callers.iter().for_each(|caller| caller.calls(2.0 * SHARE / nodes as f64));
    let (began, mut watch) = (Instant::now(), Watch::new(nodes));
    let (mut kills, mut stalls, mut cuts) = (0, 0, 0);
    for round in 0..rounds {
        let (one, two) = (round % nodes, (round + nodes / 2) % nodes);
        let side: Vec<NodeId> = (0..nodes * 5 / 12).map(|at| (at + round) % nodes).collect();
        fleet.strike(What::LinkCut, 0.0, &side, Direction::Both);
        watch.look(&fleet, began, 3.0, proof);
        fleet.stall(one);
        watch.look(&fleet, began, 3.0, proof);
        fleet.heal();
        watch.look(&fleet, began, 1.0, proof);
        fleet.wake(one);
        watch.look(&fleet, began, 1.0, proof);
        watch.kill(&mut fleet, two);
        watch.look(&fleet, began, 1.0, proof);
        fleet.begin(two)?;
        watch.look(&fleet, began, 2.0, proof);
        (kills, stalls, cuts) = (kills + 1, stalls + 1, cuts + 1);
    }
    proof.note("faults", json!({ "kills": kills, "stalls": stalls, "cuts": cuts, "windows": watch.windows }));
    proof.note("fullest_window", watch.fullest);
    proof.note("had_under_faults", watch.had() / (SHARE * began.elapsed().as_secs_f64()));
    Ok(())
}

/// What all nodes have had, time after time.
struct Watch {
    last: Vec<f64>,
    ended: f64,
    seen: Vec<(f64, f64)>,
    windows: u64,
    fullest: f64,
}

impl Watch {
    fn new(nodes: usize) -> Self {
        Watch { last: vec![0.0; nodes], ended: 0.0, seen: Vec::new(), windows: 0, fullest: 0.0 }
    }

    fn had(&self) -> f64 {
        self.seen.last().map_or(0.0, |last| last.1) - self.seen.first().map_or(0.0, |first| first.1)
    }

    fn kill(&mut self, fleet: &mut Processes, node: NodeId) {
        let had = fleet.within(node, TENANT).map_or(self.last[node], |within| within.1);
        fleet.kill(node);
        self.ended += had.max(self.last[node]);
        self.last[node] = 0.0;
    }

    /// For so long: no window holds more than the share, twice a stock's time of it, and one for a use that is under way.
    fn look(&mut self, fleet: &Processes, began: Instant, seconds: f64, proof: &mut Proof) {
        let until = began.elapsed().as_secs_f64() + seconds;
        while began.elapsed().as_secs_f64() < until {
            let from = began.elapsed().as_secs_f64();
            for node in fleet.running() {
                let within = fleet.within(node, TENANT);
                self.last[node] = within.map_or(self.last[node], |within| within.1.max(self.last[node]));
            }
            let (to, had) = (began.elapsed().as_secs_f64(), self.ended + self.last.iter().sum::<f64>());
            for (at, before) in &self.seen {
                let most = SHARE * (to - at) * 1.02 + SHARE + 1.0;
                self.windows += 1;
                self.fullest = self.fullest.max((had - before) / most);
                proof.want(
                    had - before <= most,
                    format!("{} had in {:.2} s, {most:.1} at most", had - before, to - at),
                );
            }
            self.seen.push((from, had));
            std::thread::sleep(Duration::from_millis(40));
        }
    }
}
