//! The wire format of discovery's list of executors.
use std::borrow::Cow;
use std::net::SocketAddr;

use coveroute::types::Standing;
use coveroute_engine as engine;
use coveroute_engine::Listing;
use log::warn;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Length in characters of the excerpt of an invalid entry in the log.
const EXCERPT_LENGTH: usize = 200;

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
    /// The list without its invalid entries, and a log line about these. An invalid entry must not make the others
    /// unusable.
    pub fn into_listing(self) -> (Listing, Option<String>) {
        let (mut hosts, mut invalid, mut first) = (Vec::with_capacity(self.servers.len()), 0, None);
        for raw in &self.servers {
            match serde_json::from_str::<Host>(raw.get()) {
                Ok(host) => hosts.push(host.into_engine_host()),
                Err(e) => {
                    invalid += 1;
                    first.get_or_insert_with(|| format!("{e}: {}", excerpt(raw.get())));
                }
            }
        }
        let (version, full, all) = (self.version, self.full, self.servers.len());
        let line = first.map(|first| {
            format!("list {version}: skipped {invalid} invalid of {all} entries, the first: {first}")
        });
        (Listing { version, full, hosts }, line)
    }
}

/// An excerpt for the log: one line, of limited length.
fn excerpt(raw: &str) -> String {
    raw.chars().map(|c| if c.is_control() { ' ' } else { c }).take(EXCERPT_LENGTH).collect()
}

impl From<Hosts> for Listing {
    fn from(hosts: Hosts) -> Listing {
        let (listing, line) = hosts.into_listing();
        line.iter().for_each(|line| warn!("{line}"));
        listing
    }
}

impl Host<'_> {
    fn into_engine_host(self) -> engine::Host {
        let addr: Option<SocketAddr> = self.addr.parse().ok();
        let standing = match (self.state, addr) {
            (State::Up, Some(_)) => Standing::Ready,
            // An executor in an unknown state gets no new jobs, nor does one whose address is missing or invalid.
            (State::Draining | State::Unknown, _) => Standing::Draining,
            (State::Removed, _) | (State::Up, None) => Standing::Gone,
        };
        let size = self.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
        let (id, zone, kind) = (self.id.into_owned(), self.zone.into_owned(), self.kind.into_owned());
        engine::Host { id, addr, zone, kind, cell: self.cell, started: self.started_ms / 1e3, size, standing }
    }
}
