//! Reports a run as one page: service over time with the faults as bands, the jobs that each worker held,
//! and its share of the forwards next to its beta. A single HTML file without external resources, and the
//! samples as CSV.
use std::fmt::Write;

use crate::scenario::Scenario;
use crate::world::Outcome;

/// A sample of a run, taken every second.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    pub at: f64,
    /// Jobs held by each worker.
    pub held: Vec<usize>,
    /// Forwards that arrived at each worker so far.
    pub forwards: Vec<u64>,
    /// Each worker's share of beta, averaged over the nodes.
    pub beta: Vec<f64>,
}

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 200.0;
const COLOURS: [&str; 8] =
    ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#7f7f7f"];

struct Plot {
    svg: String,
    span: f64,
    most: f64,
}

impl Plot {
    fn new(span: f64, most: f64) -> Self {
        let svg = format!(
            "<svg viewBox=\"-40 -10 {} {}\" width=\"{}\" font-size=\"11\" font-family=\"sans-serif\">",
            WIDTH + 60.0,
            HEIGHT + 40.0,
            WIDTH + 60.0
        );
        Plot { svg, span: span.max(1e-9), most: most.max(1e-9) }
    }

    fn x(&self, at: f64) -> f64 {
        WIDTH * (at / self.span).clamp(0.0, 1.0)
    }

    fn y(&self, value: f64) -> f64 {
        HEIGHT * (1.0 - (value / self.most).clamp(0.0, 1.0))
    }

    fn bands(&mut self, scenario: &Scenario) {
        for (at, fault) in scenario.faults.iter().enumerate() {
            let (from, to) = (self.x(fault.at.0), self.x(fault.until().min(self.span)));
            let line = 12.0 * (1 + at % 8) as f64;
            let _ = write!(
                self.svg,
                "<rect x=\"{from:.1}\" y=\"0\" width=\"{:.1}\" height=\"{HEIGHT}\" fill=\"#d62728\" opacity=\"0.08\"/>\
                 <text x=\"{from:.1}\" y=\"{line}\" fill=\"#a00\">{:?}</text>",
                (to - from).max(2.0),
                fault.what
            );
        }
    }

    fn line(&mut self, points: impl Iterator<Item = (f64, f64)>, colour: &str, label: &str) {
        let path: Vec<String> =
            points.map(|(at, value)| format!("{:.1},{:.1}", self.x(at), self.y(value))).collect();
        let _ = write!(
            self.svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"><title>{}</title></polyline>",
            path.join(" "),
            escape(label)
        );
    }

    fn axes(mut self) -> String {
        for part in [0.0, 0.25, 0.5, 0.75, 1.0] {
            let (x, y) = (WIDTH * part, self.y(self.most * part));
            let _ = write!(
                self.svg,
                "<text x=\"-36\" y=\"{y:.0}\">{:.2}</text><text x=\"{x:.0}\" y=\"{}\">{:.0} s</text>\
                 <line x1=\"0\" x2=\"{WIDTH}\" y1=\"{y:.0}\" y2=\"{y:.0}\" stroke=\"#ddd\"/>",
                self.most * part,
                HEIGHT + 16.0,
                self.span * part
            );
        }
        self.svg + "</svg>"
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn service(scenario: &Scenario, outcome: &Outcome) -> String {
    let mut plot = Plot::new(scenario.seconds.0, 1.0);
    plot.bands(scenario);
    let tens = outcome.service.tens.iter().enumerate();
    plot.line(tens.map(|(at, sums)| (10.0 * at as f64 + 5.0, sums.service())), COLOURS[0], "service");
    plot.axes()
}

fn held(scenario: &Scenario, samples: &[Sample]) -> String {
    let most = samples.iter().flat_map(|sample| sample.held.iter().copied()).max().unwrap_or(1);
    let mut plot = Plot::new(scenario.seconds.0, most as f64);
    plot.bands(scenario);
    let workers = samples.first().map_or(0, |sample| sample.held.len());
    for worker in 0..workers {
        let points = samples.iter().map(|sample| (sample.at, sample.held[worker] as f64));
        plot.line(points, COLOURS[worker % COLOURS.len()], &crate::world::name(worker));
    }
    plot.axes()
}

/// A worker's share of the forwards of the last ten seconds, and of beta, over time.
fn shares(samples: &[Sample], worker: usize) -> Vec<(f64, f64, f64)> {
    let share = |at: usize| {
        let (now, then) = (&samples[at], &samples[at.saturating_sub(10)]);
        let of = |worker: usize| (now.forwards[worker] - then.forwards[worker]) as f64;
        let all: f64 = (0..now.forwards.len()).map(of).sum();
        (now.at, of(worker) / all.max(1.0), now.beta.get(worker).copied().unwrap_or(0.0))
    };
    (0..samples.len()).map(share).collect()
}

pub fn html(scenario: &Scenario, seed: u64, outcome: &Outcome, samples: &[Sample]) -> String {
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><h1>{0}</h1><p>{1}</p>\
         <p>Seed {seed}; service {2:.4}; rules broken {3}. All workers are simulated.</p>",
        escape(&scenario.name),
        escape(&scenario.about),
        outcome.figure(),
        outcome.broken
    );
    let _ = write!(page, "<h2>Service by ten seconds</h2>{}", service(scenario, outcome));
    let _ = write!(page, "<h2>Jobs held by each worker</h2>{}", held(scenario, samples));
    page.push_str("<h2>Share of the forwards of ten seconds (full) and of beta (grey)</h2>");
    let workers = samples.first().map_or(0, |sample| sample.held.len());
    for worker in (0..workers).take(24) {
        let points = shares(samples, worker);
        let most = points.iter().map(|p| p.1.max(p.2)).fold(0.01, f64::max);
        let mut plot = Plot::new(scenario.seconds.0, most);
        plot.line(points.iter().map(|p| (p.0, p.2)), "#999", "beta");
        plot.line(points.iter().map(|p| (p.0, p.1)), COLOURS[worker % COLOURS.len()], "forwards");
        let _ = write!(page, "<h3>{}</h3>{}", crate::world::name(worker), plot.axes());
    }
    page.push_str("<h2>By operation</h2><table border=\"1\" cellpadding=\"4\"><tr><th>operation<th>service<th>asked<th>in time<th>late<th>refused<th>failed</tr>");
    for (name, sums) in &outcome.service.operations {
        let _ = write!(
            page,
            "<tr><td>{}<td>{:.4}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            escape(name),
            sums.service(),
            sums.asks,
            sums.in_time,
            sums.late,
            sums.refused,
            sums.failed
        );
    }
    page.push_str("</table>");
    for breach in &outcome.breaches {
        let trace = breach.trace.join("\n");
        let _ = write!(
            page,
            "<h3>{:?} at {:.3}</h3><p>{}</p><pre>{}</pre>",
            breach.rule,
            breach.at,
            escape(&breach.words),
            escape(&trace)
        );
    }
    page
}

/// One line for each second and worker: held jobs, forwards so far, beta.
pub fn csv(samples: &[Sample]) -> String {
    let mut text = String::from("second,worker,held,forwards,beta\n");
    for sample in samples {
        for worker in 0..sample.held.len() {
            let beta = sample.beta.get(worker).copied().unwrap_or(0.0);
            let (held, forwards) = (sample.held[worker], sample.forwards[worker]);
            let _ =
                writeln!(text, "{:.0},{},{held},{forwards},{beta:.5}", sample.at, crate::world::name(worker));
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_page_is_self_contained_and_shows_the_faults() {
        let mut scenario = crate::search::random_scenario(3);
        scenario.name = "<odd>".into();
        let mut samples = Vec::new();
        let (outcome, _) = crate::virtual_time::run_sampled(&scenario, 3, &mut samples).expect("a run");
        let page = html(&scenario, 3, &outcome, &samples);
        assert!(page.contains("&lt;odd&gt;") && !page.contains("src=") && !page.contains("href="));
        assert!(scenario.faults.iter().all(|fault| page.contains(&format!("{:?}", fault.what))));
        let sum: f64 = samples[5].beta.iter().sum();
        assert!((sum - 1.0).abs() < 1e-6, "betas are shares: {sum}");
        assert_eq!(csv(&samples).lines().count(), 1 + samples.len() * samples[0].held.len());
    }
}
