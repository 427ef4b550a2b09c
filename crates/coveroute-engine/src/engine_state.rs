//! The state that one process of a node hands to the next. It uses names, because each process assigns its own
//! numbers.
use coveroute::measurements::{Measurements, Row};
use coveroute_shared::Names;
use serde::{Deserialize, Serialize};

use crate::list::{Fleet, Listing};
use crate::operations::Operations;

type Rows = Vec<(String, Row)>;

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineState {
    pub listing: Listing,
    /// The list was watched until the handover. State from older versions of the program lacks this field.
    #[serde(default)]
    pub current: bool,
    /// Ids of calls that the previous process still serves, or that it or an earlier one has served.
    pub calls: Vec<String>,
    pub executors: Rows,
    pub operations: Rows,
    pub tenants: Rows,
    pub kinds: Rows,
    pub node: Row,
    #[serde(default, rename = "taken")]
    pub arrivals: Row,
    #[serde(default, rename = "further")]
    pub further_forwards: Row,
}

/// Converts rows by number to rows by name; rows without a name are left out.
fn by_name<'a>(rows: Vec<(usize, Row)>, name: impl Fn(usize) -> Option<&'a str>) -> Rows {
    rows.into_iter().filter_map(|(at, row)| Some((name(at)?.to_owned(), row))).collect()
}

/// Converts rows by name to rows by number; names unknown here are left out.
fn by_number(rows: &Rows, number: impl Fn(&str) -> Option<usize>) -> Vec<(usize, Row)> {
    rows.iter().filter_map(|(name, row)| Some((number(name)?, row.clone()))).collect()
}

impl EngineState {
    pub fn new(
        measurements: Measurements,
        fleet: &Fleet,
        operations: &Operations,
        version: u64,
        calls: Vec<String>,
    ) -> Self {
        let names = fleet.names();
        EngineState {
            listing: fleet.listing(version),
            current: false,
            calls,
            executors: by_name(measurements.executors, |executor_index| {
                Some(fleet.id(executor_index)).filter(|id| !id.is_empty())
            }),
            operations: by_name(measurements.operations, |at| operations.current(at)),
            tenants: by_name(measurements.tenants, |at| names.tenants.get(at).map(String::as_str)),
            kinds: by_name(measurements.kinds, |at| names.kinds.get(at).map(String::as_str)),
            node: measurements.node,
            arrivals: measurements.arrivals,
            further_forwards: measurements.further_forwards,
        }
    }

    pub fn measurements(&self, fleet: &Fleet, operations: &Operations, now: f64) -> Measurements {
        let Names { tenants, kinds, .. } = fleet.names();
        let at = |names: &[String], name: &str| names.iter().position(|known| known == name);
        Measurements {
            executors: by_number(&self.executors, |id| fleet.known(id)),
            operations: by_number(&self.operations, |name| operations.find(name, now)),
            tenants: by_number(&self.tenants, |name| at(tenants, name)),
            kinds: by_number(&self.kinds, |name| at(kinds, name)),
            node: self.node.clone(),
            arrivals: self.arrivals.clone(),
            further_forwards: self.further_forwards.clone(),
        }
    }
}
