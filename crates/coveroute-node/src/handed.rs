//! Handed: what one process of a node tells the next, in the words of the link between them.
use std::net::SocketAddr;

use coveroute::types::Standing;
use coveroute_engine::{Host, Listing, Memory, Rows};
use serde::{Deserialize, Serialize};

#[derive(Debug, Deserialize, Serialize)]
pub struct Handed {
    /// Whom the list is followed at: another service's versions count otherwise.
    discovery: SocketAddr,
    version: u64,
    hosts: Vec<HandedHost>,
    calls: Vec<String>,
    executors: Rows,
    operations: Rows,
    tenants: Rows,
    kinds: Rows,
    node: Vec<f64>,
}

#[derive(Debug, Deserialize, Serialize)]
struct HandedHost {
    id: String,
    addr: Option<SocketAddr>,
    zone: String,
    kind: String,
    cell: i64,
    started: f64,
    size: f64,
    draining: bool,
}

impl HandedHost {
    fn of(host: Host) -> Self {
        let Host { id, addr, zone, kind, cell, started, size, standing } = host;
        HandedHost { id, addr, zone, kind, cell, started, size, draining: standing == Standing::Draining }
    }

    fn host(self) -> Host {
        let HandedHost { id, addr, zone, kind, cell, started, size, draining } = self;
        let standing = if draining { Standing::Draining } else { Standing::Ready };
        Host { id, addr, zone, kind, cell, started, size, standing }
    }
}

impl Handed {
    pub fn of(discovery: SocketAddr, memory: Memory) -> Self {
        let Memory { listing, calls, executors, operations, tenants, kinds, node } = memory;
        let hosts = listing.hosts.into_iter().map(HandedHost::of).collect();
        let version = listing.version;
        Handed { discovery, version, hosts, calls, executors, operations, tenants, kinds, node }
    }

    pub fn memory(self, discovery: SocketAddr) -> Memory {
        let Handed { calls, executors, operations, tenants, kinds, node, .. } = self;
        let version = if self.discovery == discovery { self.version } else { 0 };
        let hosts = self.hosts.into_iter().map(HandedHost::host).collect();
        let listing = Listing { version, full: true, hosts };
        Memory { listing, calls, executors, operations, tenants, kinds, node }
    }
}
