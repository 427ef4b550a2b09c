//! Recorded runs: a header with the scenario and the seed, one line for each event, and a footer with the
//! result. A replay must give the same figure, and two records are compared up to the first event where they
//! differ.
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::scenario::Scenario;
use crate::sink::Sink;
use crate::virtual_time::{run, Policy};
use crate::world::{NodeId, Outcome};

#[derive(Debug, Deserialize, Serialize)]
struct Header {
    policy: String,
    seed: u64,
    scenario: Scenario,
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Footer {
    figure: f64,
    broken: u64,
    events: u64,
}

fn line(now: f64, node: NodeId, message: &str) -> String {
    format!("{now:.9} n{node} {message}")
}

struct Writer<W: Write> {
    to: W,
    events: u64,
    failed: Option<std::io::Error>,
}

impl<W: Write> Sink for Writer<W> {
    fn event(&mut self, now: f64, node: NodeId, message: &str) {
        self.events += 1;
        if self.failed.is_none() {
            self.failed = writeln!(self.to, "{}", line(now, node, message)).err();
        }
    }
}

/// Runs a scenario and writes every event to a file.
pub fn record(scenario: &Scenario, seed: u64, policy: Policy, path: &Path) -> Result<Outcome, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", path.display());
    let file = std::fs::File::create(path).map_err(with_path)?;
    let mut writer = Writer { to: BufWriter::new(file), events: 0, failed: None };
    let header = Header { policy: policy.name().into(), seed, scenario: scenario.clone() };
    let header = serde_json::to_string(&header).map_err(|e| e.to_string())?;
    writeln!(writer.to, "{header}").map_err(with_path)?;
    let (outcome, _) = run(scenario, seed, policy, Some(&mut writer))?;
    let footer = Footer { figure: outcome.figure(), broken: outcome.broken, events: writer.events };
    let footer = serde_json::to_string(&footer).map_err(|e| e.to_string())?;
    writeln!(writer.to, "{footer}").and_then(|()| writer.to.flush()).map_err(with_path)?;
    writer.failed.map_or(Ok(outcome), |e| Err(with_path(e)))
}

struct Record {
    header: Header,
    lines: Vec<String>,
    footer: Footer,
}

fn read(path: &Path) -> Result<Record, String> {
    let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let file = std::fs::File::open(path).map_err(|e| with_path(&e))?;
    let mut lines = BufReader::new(file).lines().collect::<Result<Vec<_>, _>>().map_err(|e| with_path(&e))?;
    if lines.len() < 2 {
        return Err(with_path(&"not a record: a header and a footer are required"));
    }
    let header: Header =
        serde_json::from_str(&lines.remove(0)).map_err(|e| with_path(&format!("line 1: {e}")))?;
    let last = lines.pop().unwrap_or_default();
    let footer: Footer = serde_json::from_str(&last).map_err(|e| with_path(&format!("footer: {e}")))?;
    Ok(Record { header, lines, footer })
}

/// Compares each event with the recorded one.
struct ReplayChecker {
    lines: Vec<String>,
    at: usize,
    divergence: Option<(usize, String)>,
}

impl Sink for ReplayChecker {
    fn event(&mut self, now: f64, node: NodeId, message: &str) {
        let same = || self.lines.get(self.at) == Some(&line(now, node, message));
        if self.divergence.is_none() && !same() {
            self.divergence = Some((self.at, line(now, node, message)));
        }
        self.at += 1;
    }
}

/// Replays a record. Returns its outcome, or the first event where the run diverges from it.
pub fn replay(path: &Path) -> Result<Outcome, String> {
    let Record { header, lines, footer } = read(path)?;
    let policy = Policy::named(&header.policy).ok_or(format!("unknown policy {}", header.policy))?;
    let mut checker = ReplayChecker { lines, at: 0, divergence: None };
    let (outcome, _) = run(&header.scenario, header.seed, policy, Some(&mut checker))?;
    if let Some((at, now)) = checker.divergence {
        let then = checker.lines.get(at).map_or("the end of the record", |line| line);
        return Err(format!("differs at event {}: recorded {then}; now {now}", at + 1));
    }
    // The figure's text form may be off in its last digit.
    if checker.at < checker.lines.len() || (outcome.figure() - footer.figure).abs() > 1e-12 {
        let (events, figure) = (checker.at, outcome.figure());
        return Err(format!("ends after {events} events with {figure}, recorded {footer:?}"));
    }
    Ok(outcome)
}

/// The first event where two records differ, if any.
pub fn diff(one: &Path, two: &Path) -> Result<Option<(usize, String, String)>, String> {
    let (one, two) = (read(one)?, read(two)?);
    let most = one.lines.len().max(two.lines.len());
    let text = |record: &Record, at: usize| record.lines.get(at).map_or("the end".to_owned(), String::clone);
    let divergence = (0..most).find(|&at| one.lines.get(at) != two.lines.get(at));
    Ok(divergence.map(|at| (at + 1, text(&one, at), text(&two, at))))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::search::random_scenario;

    fn path(name: &str) -> std::path::PathBuf {
        std::env::temp_dir().join(format!("coveroute-emu-{}-{name}", std::process::id()))
    }

    #[test]
    fn records_replay_and_report_the_first_difference() {
        let (one, two) = (path("one"), path("two"));
        let outcome = record(&random_scenario(5), 5, Policy::Node, &one).expect("recorded");
        assert_eq!(replay(&one).map(|again| again.figure()), Ok(outcome.figure()));
        assert_eq!(diff(&one, &one), Ok(None));
        record(&random_scenario(5), 6, Policy::Node, &two).expect("recorded");
        assert!(matches!(diff(&one, &two), Ok(Some((at, a, b))) if at >= 1 && a != b));
        // An altered event is reported with its number.
        let text = std::fs::read_to_string(&one).expect("a record");
        let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
        lines[40] += "!";
        std::fs::write(&one, lines.join("\n") + "\n").expect("written");
        let difference = replay(&one).expect_err("a difference");
        assert!(difference.contains("event 40"), "{difference}");
        std::fs::write(&one, "nonsense\nmore\n").expect("written");
        assert!(replay(&one).is_err_and(|error| error.contains("line 1")));
        let _ = std::fs::remove_file(one).and(std::fs::remove_file(two));
    }
}
