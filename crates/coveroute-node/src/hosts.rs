//! A list of executors as discovery words it.
use std::borrow::Cow;
use std::net::SocketAddr;

use coveroute::types::Standing;
use coveroute_engine as engine;
use coveroute_engine::Listing;
use log::warn;
use serde::Deserialize;
use serde_json::value::RawValue;

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

impl From<Hosts> for Listing {
    /// An entry that can't be read is left out and logged: it must not cost the others.
    fn from(hosts: Hosts) -> Listing {
        let read = |raw: &RawValue| match serde_json::from_str::<Host>(raw.get()) {
            Ok(host) => Some(host.listed()),
            Err(e) => {
                warn!("entry left out: {e}: {}", raw.get());
                None
            }
        };
        let entries = hosts.servers.iter().filter_map(|raw| read(raw)).collect();
        Listing { version: hosts.version, full: hosts.full, hosts: entries }
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
