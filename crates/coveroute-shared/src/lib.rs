//! Code shared by all adapters of coveroute: the settings object, the mapping of names and ids to indices, entries of
//! the list of executors, and load reports. It does no I/O and makes no decisions.
mod message;
mod roster;
mod settings;

pub use message::{format_message, parse_message};
pub use roster::{mark, Listed, Roster};
pub use settings::{decode, Names};

use coveroute::types::Report;
use serde::Deserialize;

/// The index of a name; a new name is appended.
pub fn position(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

/// A load report as received, with the simulator's field names or those of the socket protocol.
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
        let valid = |value: Option<f64>| value.filter(|v| v.is_finite() && *v >= 0.0);
        Report {
            free: valid(gauge.x0),
            queue: valid(gauge.depth),
            inflight: valid(gauge.concurrent),
            util: valid(gauge.load_share),
            memory: valid(gauge.x1),
        }
    }
}
