//! A line through what was measured at three sizes or more, and how well it fits.
use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// What is spent at none, and by each more.
    pub base: f64,
    pub slope: f64,
    /// Standard error of the slope; none where there are but two sizes.
    pub error: f64,
    /// The part of the figures' spread that the line explains.
    pub explains: f64,
    /// The greatest distance of a figure from the line, as a part of the greatest figure.
    pub off: f64,
}

impl Fit {
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Least squares over (size, figure).
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let many = points.len() as f64;
    let mean = |figure: fn(&(f64, f64)) -> f64| points.iter().map(figure).sum::<f64>() / many;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |term: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(term).sum::<f64>();
    let (xx, xy) = (sum(&|p| (p.0 - x).powi(2)), sum(&|p| (p.0 - x) * (p.1 - y)));
    let slope = xy / xx;
    let base = y - slope * x;
    let left = |p: &(f64, f64)| p.1 - base - slope * p.0;
    let (unexplained, spread) = (sum(&|p| left(p).powi(2)), sum(&|p| (p.1 - y).powi(2)));
    let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
    let farthest = points.iter().map(|p| left(p).abs()).fold(0.0, f64::max);
    Fit {
        base,
        slope,
        error: (unexplained / (many - 2.0) / xx).sqrt(),
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
        many if many % 2 == 1 => sorted[half],
        _ => (sorted[half - 1] + sorted[half]) / 2.0,
    }
}

/// The figures' medians of `many` over `few`, pair by pair: both of a pair were measured at the same time.
pub fn times(many: &[f64], few: &[f64]) -> f64 {
    let pairs = many.iter().zip(few);
    median(&pairs.map(|(many, few)| many / few.max(1e-12)).collect::<Vec<_>>())
}

/// Of so many that are drawn equally, each `mean` times in the mean, the busiest over the mean: the count that one of them is
/// expected to reach at most, by Poisson's law. Tells uneven parts from too short a time.
pub fn busiest_by_chance(mean: f64, many: usize) -> f64 {
    let (mut count, mut part, mut under) = (0.0, (-mean).exp(), (-mean).exp());
    // Where the mean is so large that its least part is nothing, the normal law's four deviations stand for it.
    if mean <= 0.0 || part <= 0.0 {
        return 1.0 + 4.0 / mean.max(1e-9).sqrt();
    }
    while 1.0 - under > 1.0 / many as f64 {
        count += 1.0;
        part *= mean / count;
        under += part;
        if part < 1e-300 {
            break;
        }
    }
    count / mean
}
