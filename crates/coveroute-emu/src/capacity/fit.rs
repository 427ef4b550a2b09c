//! Linear regression over measurements at several sizes, and other statistics of measured values.
use serde::Serialize;

/// A fitted line and its quality.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at size 0, and increase per unit of size.
    pub base: f64,
    pub slope: f64,
    /// Standard error of the slope; not a number if there are only two sizes.
    pub error: f64,
    /// Fraction of the variance that the line explains (R squared).
    pub explains: f64,
    /// Greatest distance of a value from the line, relative to the greatest value.
    pub off: f64,
}

impl Fit {
    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Least squares over (size, value) pairs.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean = |figure: fn(&(f64, f64)) -> f64| points.iter().map(figure).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |term: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(term).sum::<f64>();
    let (xx, xy) = (sum(&|p| (p.0 - x).powi(2)), sum(&|p| (p.0 - x) * (p.1 - y)));
    let slope = xy / xx;
    let base = y - slope * x;
    let residual = |p: &(f64, f64)| p.1 - base - slope * p.0;
    let (unexplained, spread) = (sum(&|p| residual(p).powi(2)), sum(&|p| (p.1 - y).powi(2)));
    let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
    let farthest = points.iter().map(|p| residual(p).abs()).fold(0.0, f64::max);
    Fit {
        base,
        slope,
        error: (unexplained / (count - 2.0) / xx).sqrt(),
        explains: if spread > 0.0 { 1.0 - unexplained / spread } else { 1.0 },
        off: if largest > 0.0 { farthest / largest } else { 0.0 },
    }
}

pub fn median(figures: &[f64]) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    let half = sorted.len() / 2;
    match sorted.len() {
        0 => f64::NAN,
        count if count % 2 == 1 => sorted[half],
        _ => (sorted[half - 1] + sorted[half]) / 2.0,
    }
}

/// The median ratio of `numerators` to `denominators`, pair by pair; both values of a pair were measured at the same time.
pub fn median_ratio(numerators: &[f64], denominators: &[f64]) -> f64 {
    let pairs = numerators.iter().zip(denominators);
    median(&pairs.map(|(numerator, denominator)| numerator / denominator.max(1e-12)).collect::<Vec<_>>())
}

/// The expected ratio of the greatest count to the mean, if `population` items are picked with equal probability and each
/// `mean` times on average: the count that one item is expected to reach at most under a Poisson distribution. Tells an
/// uneven distribution from too short a measurement.
pub fn expected_max_over_mean(mean: f64, population: usize) -> f64 {
    let (mut count, mut probability, mut cumulative) = (0.0, (-mean).exp(), (-mean).exp());
    // If the mean is so large that its least probability underflows, four standard deviations of the normal distribution
    // are used instead.
    if mean <= 0.0 || probability <= 0.0 {
        return 1.0 + 4.0 / mean.max(1e-9).sqrt();
    }
    while 1.0 - cumulative > 1.0 / population as f64 {
        count += 1.0;
        probability *= mean / count;
        cumulative += probability;
        if probability < 1e-300 {
            break;
        }
    }
    count / mean
}
