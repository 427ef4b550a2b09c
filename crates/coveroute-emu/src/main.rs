//! The command-line interface of the emulator. See `coveroute-emu help`.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use coveroute_emu::compare::{compare, Side};
use coveroute_emu::fleet::model::{self, FleetModel};
use coveroute_emu::load::{load, LoadPlan};
use coveroute_emu::proof::ProofContext;
use coveroute_emu::prove::prove;
use coveroute_emu::scenario::Scenario;
use coveroute_emu::search::{random_fleet_scenario, random_scenario, search, Found};
use coveroute_emu::virtual_time::{run, run_sampled, Policy, RunStats};
use coveroute_emu::world::Outcome;
use coveroute_emu::{loopback, report, trace};
use coveroute_fleet::explore::explore;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;

/// Emulates failures around coveroute, in virtual time or on loopback against real nodes.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Validate scenarios
    Check { scenarios: Vec<PathBuf> },
    /// Run a scenario in virtual time or on loopback
    Run {
        scenario: PathBuf,
        /// Seed to use instead of the scenario's own
        #[arg(long)]
        seed: Option<u64>,
        /// Policy: coveroute, random, round-robin, least-in-flight, two-choices or oracle; on loopback only
        /// coveroute
        #[arg(long, default_value = "coveroute")]
        policy: String,
        /// Use real nodes on sockets, in real time
        #[arg(long)]
        loopback: bool,
        /// The node's program; by default in the directory of this one
        #[arg(long)]
        node: Option<PathBuf>,
        /// Directory for the nodes' logs
        #[arg(long)]
        logs: Option<PathBuf>,
        /// Print the outcome as one JSON line
        #[arg(long)]
        json: bool,
    },
    /// Run a scenario in virtual time and write every event to a file
    Record {
        scenario: PathBuf,
        to: PathBuf,
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Replay a record and compare it with the recorded run
    Replay { record: PathBuf },
    /// Print the first event where two records differ
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
        /// Calls per second (open loop); without it as fast as they are answered (closed loop)
        #[arg(long)]
        rate: Option<f64>,
        #[arg(long, default_value_t = 4096)]
        sockets: usize,
        /// Running time of a job in milliseconds
        #[arg(long, default_value_t = 0.0)]
        runs: f64,
        #[arg(long)]
        node: Option<PathBuf>,
    },
    /// Compare two policies, or builds of this tool, on the same seeds
    Compare {
        scenario: PathBuf,
        one: String,
        two: String,
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Run random schedules of faults; shrink those that break a rule, and the deepest losses
    Search {
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of deepest losses to shrink and write out
        #[arg(long, default_value_t = 3)]
        worst: usize,
        /// Measure losses against the better of two plain policies on the same seed
        #[arg(long)]
        baselines: bool,
        /// Use fleets: nodes that know each other, with faults of the links between them
        #[arg(long)]
        fleet: bool,
        /// Directory for the scenarios found
        #[arg(long, default_value = "found")]
        to: PathBuf,
    },
    /// Run a scenario in virtual time and write an HTML report with plots, and a CSV file beside it
    Report {
        scenario: PathBuf,
        to: PathBuf,
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Explore every order of events between a few nodes that know each other, up to a depth
    Explore {
        #[arg(long, default_value_t = 2)]
        nodes: usize,
        #[arg(long, default_value_t = 8)]
        depth: usize,
        /// Maximum number of states
        #[arg(long, default_value_t = 200_000)]
        most: usize,
        /// Clock drift: clocks run at 1 plus and minus this; the fleet allows for 0.01
        #[arg(long, default_value_t = 0.01)]
        drift: f64,
        /// Replay this sequence of steps instead, as printed for a breach
        #[arg(long)]
        way: Option<String>,
    },
    /// Run a proof; print one JSON line and fail if a requirement is missed
    Prove {
        name: String,
        /// Run the long form, which is meant to be run by hand
        #[arg(long)]
        long: bool,
        #[arg(long, default_value = "scenarios")]
        scenarios: PathBuf,
        #[arg(long)]
        node: Option<PathBuf>,
    },
}

fn progress_bar(most: u64, message: &'static str) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let progress_bar = ProgressBar::new(most).with_message(message);
    style.map(|style| progress_bar.clone().with_style(style)).unwrap_or(progress_bar)
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

fn print_result(outcome: &Outcome, more: serde_json::Value, json: bool) {
    if json {
        println!("{}", json!({ "figure": outcome.figure(), "outcome": outcome, "run": more }));
    } else {
        summary(outcome);
        println!("{more}");
    }
}

fn check_rules(outcome: &Outcome) -> Result<(), String> {
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

fn execute(command: Command) -> Result<(), String> {
    let program = |node: Option<PathBuf>| node.unwrap_or_else(loopback::node_program);
    match command {
        Command::Check { scenarios } => scenarios.iter().try_for_each(|path| {
            let scenario = Scenario::read(path)?;
            println!("{}: valid, {} faults", path.display(), scenario.faults.len());
            Ok(())
        }),
        Command::Run { scenario, seed, policy, loopback: true, node, logs, json } => {
            if policy != "coveroute" {
                return Err("policy: loopback runs real nodes and supports coveroute only".into());
            }
            let scenario = Scenario::read(&scenario)?;
            if let Some(logs) = &logs {
                std::fs::create_dir_all(logs).map_err(|e| format!("{}: {e}", logs.display()))?;
            }
            let options = loopback::Options { node: program(node), logs };
            let (outcome, machines) = loopback::run(&scenario, seed.unwrap_or(scenario.seed), options)?;
            print_result(&outcome, json!(machines), json);
            check_rules(&outcome)
        }
        Command::Run { scenario, seed, policy, json, .. } => {
            let scenario = Scenario::read(&scenario)?;
            let policy = Policy::named(&policy).ok_or(format!("policy: unknown policy {policy}"))?;
            let (outcome, pace) = run(&scenario, seed.unwrap_or(scenario.seed), policy, None)?;
            let RunStats { events, seconds, wall } = pace;
            let speed = json!({ "events": events, "times_real": seconds / wall, "events_a_second": events as f64 / wall });
            print_result(&outcome, speed, json);
            check_rules(&outcome)
        }
        Command::Record { scenario, to, seed } => {
            let scenario = Scenario::read(&scenario)?;
            let outcome = trace::record(&scenario, seed.unwrap_or(scenario.seed), Policy::Node, &to)?;
            println!("{}: service {:.6}", to.display(), outcome.figure());
            Ok(())
        }
        Command::Replay { record } => {
            let outcome = trace::replay(&record)?;
            println!("identical: service {:.6}", outcome.figure());
            Ok(())
        }
        Command::Diff { one, two } => match trace::diff(&one, &two)? {
            None => {
                println!("identical");
                Ok(())
            }
            Some((at, one, two)) => Err(format!("differ at event {at}:\n  {one}\n  {two}")),
        },
        Command::Load { nodes, executors, connections, seconds, rate, sockets, runs, node } => {
            let node = program(node);
            let plan = LoadPlan {
                node,
                nodes,
                executors,
                connections,
                seconds,
                rate,
                sockets,
                runs,
                ..LoadPlan::default()
            };
            println!("{}", json!(load(&plan)?));
            Ok(())
        }
        Command::Compare { scenario, one, two, seeds } => {
            let compared = compare(&scenario, &Side::named(&one)?, &Side::named(&two)?, seeds)?;
            println!("{}", json!(compared));
            Ok(())
        }
        Command::Search { seeds, from, worst, baselines, fleet, to } => {
            let draws = if fleet { random_fleet_scenario } else { random_scenario };
            let progress_bar = progress_bar(seeds, "searching");
            let searched = search(from, seeds, worst, baselines, draws, || progress_bar.inc(1))?;
            progress_bar.finish_and_clear();
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
            let model = FleetModel::new(nodes, drift);
            if let Some(way) = way {
                return model.replay(&way);
            }
            let explored = explore(&model, depth, most);
            let (states, steps, depth) = (explored.states, explored.steps, explored.depth);
            println!("{states} states, {steps} steps, every order to depth {depth}");
            match explored.violation {
                None => Ok(()),
                Some(violation) => {
                    let steps = model::format_path(&violation.steps);
                    println!("#[test_case({nodes}, {drift:?}, {steps:?})]");
                    Err(violation.description)
                }
            }
        }
        Command::Report { scenario, to, seed } => {
            let scenario = Scenario::read(&scenario)?;
            let (seed, mut samples) = (seed.unwrap_or(scenario.seed), Vec::new());
            let (outcome, _) = run_sampled(&scenario, seed, &mut samples)?;
            write(&to, &report::html(&scenario, seed, &outcome, &samples))?;
            write(&to.with_extension("csv"), &report::csv(&samples))
        }
        Command::Prove { name, long, scenarios, node } => {
            let proof = prove(&name, &ProofContext { scenarios, node: program(node), long })?;
            println!(
                "{}",
                json!({ "proof": name, "long": long, "figures": proof.figures, "short_of": proof.short_of })
            );
            match proof.short_of.len() {
                0 => Ok(()),
                n => Err(format!("{name}: {n} requirements missed")),
            }
        }
    }
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("coveroute-emu: {message}");
            ExitCode::FAILURE
        }
    }
}
