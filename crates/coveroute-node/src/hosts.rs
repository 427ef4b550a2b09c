//! A list of executors as discovery words it.
use std::borrow::Cow;
use std::net::SocketAddr;

use coveroute::types::Standing;
use coveroute_engine as engine;
use coveroute_engine::Listing;
use log::warn;
use serde::Deserialize;
use serde_json::value::RawValue;

/// So much of an entry that can't be read is shown.
const SHOWN: usize = 200;

#[derive(Debug, Default, Deserialize)]
pub struct Hosts {
    version: u64,
    #[serde(default)]
    full: bool,
    servers: Vec<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
struct Host<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    addr: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    #[serde(borrow, default)]
    kind: Cow<'a, str>,
    #[serde(default)]
    cell: i64,
    state: State,
    #[serde(default)]
    started_ms: f64,
    weight: Option<f64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Up,
    Draining,
    Removed,
    #[serde(other)]
    Unknown,
}

impl Hosts {
    /// The list without entries that can't be read, and a line that says of these: they must not cost the others.
    pub fn read(self) -> (Listing, Option<String>) {
        let (mut hosts, mut faults, mut first) = (Vec::with_capacity(self.servers.len()), 0, None);
        for raw in &self.servers {
            match serde_json::from_str::<Host>(raw.get()) {
                Ok(host) => hosts.push(host.listed()),
                Err(e) => {
                    faults += 1;
                    first.get_or_insert_with(|| format!("{e}: {}", shown(raw.get())));
                }
            }
        }
        let (version, full, all) = (self.version, self.full, self.servers.len());
        let line = first
            .map(|first| format!("list {version}: left out {faults} of {all} entries, the first: {first}"));
        (Listing { version, full, hosts }, line)
    }
}

/// On one line, and no longer than one can be.
fn shown(raw: &str) -> String {
    raw.chars().map(|c| if c.is_control() { ' ' } else { c }).take(SHOWN).collect()
}

impl From<Hosts> for Listing {
    fn from(hosts: Hosts) -> Listing {
        let (listing, line) = hosts.read();
        line.iter().for_each(|line| warn!("{line}"));
        listing
    }
}

impl Host<'_> {
    fn listed(self) -> engine::Host {
        let addr: Option<SocketAddr> = self.addr.parse().ok();
        let standing = match (self.state, addr) {
            (State::Up, Some(_)) => Standing::Ready,
            // Nothing new goes where it is not known to be wanted, or where to.
            (State::Draining | State::Unknown, _) => Standing::Draining,
            (State::Removed, _) | (State::Up, None) => Standing::Gone,
        };
        let size = self.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
        let (id, zone, kind) = (self.id.into_owned(), self.zone.into_owned(), self.kind.into_owned());
        engine::Host { id, addr, zone, kind, cell: self.cell, started: self.started_ms / 1e3, size, standing }
    }
}
