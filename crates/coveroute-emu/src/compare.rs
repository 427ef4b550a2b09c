//! Compares two policies or two builds on the same seeds: the mean difference of their figures and its
//! confidence interval.
use std::path::Path;
use std::process::Command;

use serde::Serialize;

use crate::scenario::Scenario;
use crate::search::parallel_map;
use crate::virtual_time::{run, Policy};

/// One side of a comparison.
#[derive(Clone, Debug)]
pub enum Side {
    Policy(Policy),
    /// Another build of this tool.
    Build(std::path::PathBuf),
}

impl Side {
    pub fn named(name: &str) -> Result<Side, String> {
        match Policy::named(name) {
            Some(policy) => Ok(Side::Policy(policy)),
            None if Path::new(name).is_file() => Ok(Side::Build(name.into())),
            None => Err(format!("{name} is neither a policy nor a build of this tool")),
        }
    }

    fn figure(&self, scenario: &Scenario, path: &Path, seed: u64) -> Result<f64, String> {
        match self {
            Side::Policy(policy) => Ok(run(scenario, seed, *policy, None)?.0.figure()),
            Side::Build(build) => {
                let args = ["run", "--json", "--seed", &seed.to_string()];
                let output = Command::new(build).args(args).arg(path).output().map_err(|e| e.to_string())?;
                let output: serde_json::Value = serde_json::from_slice(&output.stdout)
                    .map_err(|e| format!("{}: {e}", build.display()))?;
                output["figure"].as_f64().ok_or(format!("{} printed no figure", build.display()))
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    pub seeds: usize,
    pub one: f64,
    pub two: f64,
    /// The mean of one minus two, and half the width of its 95% confidence interval.
    pub difference: f64,
    pub within: f64,
}

pub fn compare(path: &Path, one: &Side, two: &Side, seeds: u64) -> Result<Comparison, String> {
    let scenario = Scenario::read(path)?;
    let figures = parallel_map(seeds, |seed| {
        let of = |side: &Side| side.figure(&scenario, path, 1 + seed);
        Ok((of(one)?, of(two)?))
    });
    let figures: Vec<(f64, f64)> = figures.into_iter().collect::<Result<_, String>>()?;
    Ok(compare_pairs(&figures))
}

fn compare_pairs(figures: &[(f64, f64)]) -> Comparison {
    let n = figures.len().max(1) as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| figures.iter().map(of).sum::<f64>() / n;
    let difference = mean(&|f| f.0 - f.1);
    let spread = figures.iter().map(|f| (f.0 - f.1 - difference).powi(2)).sum::<f64>();
    let deviation = (spread / (n - 1.0).max(1.0)).sqrt();
    let within = student(figures.len().saturating_sub(1)) * deviation / n.sqrt();
    Comparison { seeds: figures.len(), one: mean(&|f| f.0), two: mean(&|f| f.1), difference, within }
}

/// Student's t quantile at 97.5%, from a standard table; the normal quantile beyond thirty degrees of
/// freedom.
fn student(degrees: usize) -> f64 {
    const TABLE: [f64; 15] =
        [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13];
    match degrees {
        0 => f64::INFINITY,
        1..=15 => TABLE[degrees - 1],
        16..=30 => 2.10,
        _ => 1.96,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn differences_are_computed_pairwise() {
        let same: Vec<(f64, f64)> = (0..9).map(|i| (f64::from(i) + 0.5, f64::from(i))).collect();
        let compared = compare_pairs(&same);
        assert!((compared.difference - 0.5).abs() < 1e-12 && compared.within < 1e-12, "{compared:?}");
        let compared = compare_pairs(&[(1.0, 0.0), (0.0, 1.0)]);
        assert!(
            compared.difference == 0.0 && compared.within > 1.0,
            "two seeds give a wide interval: {compared:?}"
        );
    }
}
