//! coveroute-emu: rehearses failures. See `coveroute-emu help`.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use coveroute_emu::compare::{compare, Side};
use coveroute_emu::fleet::model::{self, Few};
use coveroute_emu::load::{load, Plan};
use coveroute_emu::proof::Place;
use coveroute_emu::prove::prove;
use coveroute_emu::scenario::Scenario;
use coveroute_emu::search::{drawn, drawn_fleet, search, Found};
use coveroute_emu::virtual_time::{run, sampled, Pace, Policy};
use coveroute_emu::world::Outcome;
use coveroute_emu::{loopback, report, trace};
use coveroute_fleet::explore::explore;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;

/// Rehearses failures of coveroute: in virtual time, or on loopback against real nodes.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Read scenarios, say whether they are fit
    Check { scenarios: Vec<PathBuf> },
    /// Play a scenario: in virtual time, or on loopback
    Run {
        scenario: PathBuf,
        /// In place of the scenario's own
        #[arg(long)]
        seed: Option<u64>,
        /// coveroute, random, round-robin, least-in-flight, two-choices or oracle; in virtual time alone
        #[arg(long, default_value = "coveroute")]
        policy: String,
        /// Real nodes on sockets, in real time
        #[arg(long)]
        loopback: bool,
        /// The node's program; beside this one without it
        #[arg(long)]
        node: Option<PathBuf>,
        /// A folder for the nodes' logs
        #[arg(long)]
        logs: Option<PathBuf>,
        /// The outcome as one JSON line
        #[arg(long)]
        json: bool,
    },
    /// Play a scenario in virtual time and write every event down
    Record {
        scenario: PathBuf,
        to: PathBuf,
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Play a record again: the same figure, or the first event where it parts
    Replay { record: PathBuf },
    /// Tell the first event where two records part
    Diff { one: PathBuf, two: PathBuf },
    /// Load real nodes on loopback and measure them
    Load {
        #[arg(long, default_value_t = 1)]
        nodes: usize,
        #[arg(long, default_value_t = 16)]
        executors: usize,
        #[arg(long, default_value_t = 64)]
        connections: usize,
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Calls a second (open loop); without it as fast as they are answered (closed loop)
        #[arg(long)]
        rate: Option<f64>,
        #[arg(long, default_value_t = 4096)]
        sockets: usize,
        /// Milliseconds that a job runs
        #[arg(long, default_value_t = 0.0)]
        runs: f64,
        #[arg(long)]
        node: Option<PathBuf>,
    },
    /// Two policies, or builds of this tool, on the same seeds
    Compare {
        scenario: PathBuf,
        one: String,
        two: String,
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Play random schedules of faults; shrink what breaks a rule, and the deepest losses
    Search {
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Deepest losses to shrink and write out
        #[arg(long, default_value_t = 3)]
        worst: usize,
        /// Count a loss against the better of two plain policies on the same seed
        #[arg(long)]
        baselines: bool,
        /// Nodes that know each other, and faults of the links between them on top
        #[arg(long)]
        fleet: bool,
        /// Where what is found is written
        #[arg(long, default_value = "found")]
        to: PathBuf,
    },
    /// Play a scenario in virtual time and write a page with plots, and a CSV beside it
    Report {
        scenario: PathBuf,
        to: PathBuf,
        #[arg(long)]
        seed: Option<u64>,
    },
    /// All orders of what can happen between a few nodes that know each other, to a depth
    Explore {
        #[arg(long, default_value_t = 2)]
        nodes: usize,
        #[arg(long, default_value_t = 8)]
        depth: usize,
        /// States at most
        #[arg(long, default_value_t = 200_000)]
        most: usize,
        /// Clocks run at 1 plus and minus this; 0.01 is allowed for
        #[arg(long, default_value_t = 0.01)]
        drift: f64,
        /// Play this way again instead, as a breach was told
        #[arg(long)]
        way: Option<String>,
    },
    /// Run a proof: one JSON line, and a failure when a figure falls short
    Prove {
        name: String,
        /// The long form, by hand
        #[arg(long)]
        long: bool,
        #[arg(long, default_value = "scenarios")]
        scenarios: PathBuf,
        #[arg(long)]
        node: Option<PathBuf>,
    },
}

fn bar(most: u64, words: &'static str) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let bar = ProgressBar::new(most).with_message(words);
    style.map(|style| bar.clone().with_style(style)).unwrap_or(bar)
}

fn summary(outcome: &Outcome) {
    println!(
        "{:16} {:>8} {:>7} {:>8} {:>6} {:>8} {:>7}",
        "operation", "service", "asks", "in time", "late", "refused", "failed"
    );
    let rows = outcome.service.operations.iter().map(|(name, sums)| (name.as_str(), sums));
    for (name, sums) in rows.chain([("all", &outcome.service.whole)]) {
        println!(
            "{name:16} {:8.4} {:7} {:8} {:6} {:8} {:7}",
            sums.service(),
            sums.asks,
            sums.in_time,
            sums.late,
            sums.refused,
            sums.failed
        );
    }
    let tens: Vec<String> = outcome.service.tens.iter().map(|s| format!("{:.2}", s.service())).collect();
    println!("by ten seconds: {}", tens.join(" "));
    println!("{:?}; rules broken {}", outcome.counts, outcome.broken);
    for breach in outcome.breaches.iter().take(5) {
        println!("{:?} at {:.3} by node {}: {}", breach.rule, breach.at, breach.node, breach.words);
        breach.trace.iter().for_each(|line| println!("    {line}"));
    }
}

fn told(outcome: &Outcome, more: serde_json::Value, json: bool) {
    if json {
        println!("{}", json!({ "figure": outcome.figure(), "outcome": outcome, "run": more }));
    } else {
        summary(outcome);
        println!("{more}");
    }
}

fn judged(outcome: &Outcome) -> Result<(), String> {
    match outcome.broken {
        0 => Ok(()),
        broken => Err(format!("rules broken: {broken}")),
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn write_found(to: &Path, kind: &str, found: &Found) -> Result<(), String> {
    std::fs::create_dir_all(to).map_err(|e| format!("{}: {e}", to.display()))?;
    let path = to.join(format!("{kind}-{}.toml", found.seed));
    let head = format!(
        "# service {:.4}, behind {:.4}, rules broken {}\n# {}\n",
        found.figure, found.behind, found.broken, found.words
    );
    println!(
        "{}: {} faults, service {:.4}, behind {:.4} {}",
        path.display(),
        found.scenario.faults.len(),
        found.figure,
        found.behind,
        found.words
    );
    write(&path, &(head + &found.scenario.text()))
}

fn act(command: Command) -> Result<(), String> {
    let program = |node: Option<PathBuf>| node.unwrap_or_else(loopback::node_program);
    match command {
        Command::Check { scenarios } => scenarios.iter().try_for_each(|path| {
            let scenario = Scenario::read(path)?;
            println!("{}: fit, {} faults", path.display(), scenario.faults.len());
            Ok(())
        }),
        Command::Run { scenario, seed, policy, loopback: true, node, logs, json } => {
            if policy != "coveroute" {
                return Err("policy: on loopback real nodes are played, coveroute alone".into());
            }
            let scenario = Scenario::read(&scenario)?;
            if let Some(logs) = &logs {
                std::fs::create_dir_all(logs).map_err(|e| format!("{}: {e}", logs.display()))?;
            }
            let options = loopback::Options { node: program(node), logs };
            let (outcome, machines) = loopback::run(&scenario, seed.unwrap_or(scenario.seed), options)?;
            told(&outcome, json!(machines), json);
            judged(&outcome)
        }
        Command::Run { scenario, seed, policy, json, .. } => {
            let scenario = Scenario::read(&scenario)?;
            let policy = Policy::named(&policy).ok_or(format!("policy: there is no {policy}"))?;
            let (outcome, pace) = run(&scenario, seed.unwrap_or(scenario.seed), policy, None)?;
            let Pace { events, seconds, wall } = pace;
            let speed = json!({ "events": events, "times_real": seconds / wall, "events_a_second": events as f64 / wall });
            told(&outcome, speed, json);
            judged(&outcome)
        }
        Command::Record { scenario, to, seed } => {
            let scenario = Scenario::read(&scenario)?;
            let outcome = trace::record(&scenario, seed.unwrap_or(scenario.seed), Policy::Node, &to)?;
            println!("{}: service {:.6}", to.display(), outcome.figure());
            Ok(())
        }
        Command::Replay { record } => {
            let outcome = trace::replay(&record)?;
            println!("the same: service {:.6}", outcome.figure());
            Ok(())
        }
        Command::Diff { one, two } => match trace::diff(&one, &two)? {
            None => {
                println!("the same");
                Ok(())
            }
            Some((at, one, two)) => Err(format!("part at event {at}:\n  {one}\n  {two}")),
        },
        Command::Load { nodes, executors, connections, seconds, rate, sockets, runs, node } => {
            let node = program(node);
            let plan =
                Plan { node, nodes, executors, connections, seconds, rate, sockets, runs, ..Plan::default() };
            println!("{}", json!(load(&plan)?));
            Ok(())
        }
        Command::Compare { scenario, one, two, seeds } => {
            let compared = compare(&scenario, &Side::named(&one)?, &Side::named(&two)?, seeds)?;
            println!("{}", json!(compared));
            Ok(())
        }
        Command::Search { seeds, from, worst, baselines, fleet, to } => {
            let draws = if fleet { drawn_fleet } else { drawn };
            let bar = bar(seeds, "searching");
            let searched = search(from, seeds, worst, baselines, draws, || bar.inc(1))?;
            bar.finish_and_clear();
            println!("{seeds} seeds in {:.1} s, mean service {:.4}", searched.wall, searched.mean);
            searched.broken.iter().try_for_each(|found| write_found(&to, "breach", found))?;
            searched.worst.iter().try_for_each(|found| write_found(&to, "worst", found))?;
            match searched.broken.len() {
                0 => Ok(()),
                broken => Err(format!("seeds that break a rule: {broken} or more")),
            }
        }
        Command::Explore { nodes, depth, most, drift, way } => {
            if !(1..=4).contains(&nodes) {
                return Err(format!("nodes: {nodes} is not 1 to 4"));
            }
            let model = Few::new(nodes, drift);
            if let Some(way) = way {
                return model.replay(&way);
            }
            let explored = explore(&model, depth, most);
            let (states, steps, depth) = (explored.states, explored.steps, explored.depth);
            println!("{states} states, {steps} steps, all orders to depth {depth}");
            match explored.breach {
                None => Ok(()),
                Some(breach) => {
                    let steps = model::way(&breach.steps);
                    println!("#[test_case({nodes}, {drift:?}, {steps:?})]");
                    Err(breach.words)
                }
            }
        }
        Command::Report { scenario, to, seed } => {
            let scenario = Scenario::read(&scenario)?;
            let (seed, mut samples) = (seed.unwrap_or(scenario.seed), Vec::new());
            let (outcome, _) = sampled(&scenario, seed, &mut samples)?;
            write(&to, &report::html(&scenario, seed, &outcome, &samples))?;
            write(&to.with_extension("csv"), &report::csv(&samples))
        }
        Command::Prove { name, long, scenarios, node } => {
            let proof = prove(&name, &Place { scenarios, node: program(node), long })?;
            println!(
                "{}",
                json!({ "proof": name, "long": long, "figures": proof.figures, "short_of": proof.short_of })
            );
            match proof.short_of.len() {
                0 => Ok(()),
                n => Err(format!("{name}: {n} figures fall short")),
            }
        }
    }
}

fn main() -> ExitCode {
    match act(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("coveroute-emu: {words}");
            ExitCode::FAILURE
        }
    }
}
