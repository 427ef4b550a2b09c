//! What every adapter of coveroute shares: the settings object, names and ids turned into indices, entries of
//! the list of executors, and load reports. No I/O, no decision.
mod roster;
mod settings;
mod words;

pub use roster::{mark, Listed, Roster};
pub use settings::{decode, Names};
pub use words::{message, words};

use coveroute::types::Report;
use serde::Deserialize;

/// The index of a name, which is added when it is new.
pub fn position(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

/// A load report as it came, under the simulator's names or those of the sockets.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct Gauge {
    pub x0: Option<f64>,
    pub x1: Option<f64>,
    #[serde(alias = "queue")]
    pub depth: Option<f64>,
    #[serde(alias = "inflight")]
    pub concurrent: Option<f64>,
    #[serde(alias = "util")]
    pub load_share: Option<f64>,
}

impl From<Gauge> for Report {
    fn from(gauge: Gauge) -> Report {
        let sane = |value: Option<f64>| value.filter(|v| v.is_finite() && *v >= 0.0);
        Report {
            free: sane(gauge.x0),
            queue: sane(gauge.depth),
            inflight: sane(gauge.concurrent),
            util: sane(gauge.load_share),
            memory: sane(gauge.x1),
        }
    }
}
