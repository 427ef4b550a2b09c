//! Handed: what one process of a node tells the next, in the words of the link between them.
use std::net::SocketAddr;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::Method;
use coveroute::types::Standing;
use coveroute_engine::{Call, Host, Listing, Memory, Parcel, Rows};
use serde::{Deserialize, Serialize};

use crate::take_in::Job;

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

/// A job under way: what the engine knows of it, and its bytes.
#[derive(Debug, Deserialize, Serialize)]
pub struct HandedJob {
    pub parcel: Parcel,
    method: String,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl HandedJob {
    pub fn of(parcel: Parcel, job: &Job) -> Self {
        let headers = job.headers.iter().map(|(name, value)| (name.as_str().into(), value.as_bytes().into()));
        HandedJob {
            parcel,
            method: job.method.as_str().into(),
            target: job.target.as_str().into(),
            headers: headers.collect(),
            body: job.body.to_vec(),
        }
    }

    /// The job's bytes again, if they can be read.
    pub fn job(&self) -> Option<Job> {
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            let name = HeaderName::try_from(name.as_str()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let call = Call {
            call: self.parcel.call.as_str().into(),
            class: self.parcel.operation.clone(),
            caller: None,
            budget: self.parcel.timeout,
            hint: None,
            memory: None,
            key: None,
            again: false,
            came: 0.0,
        };
        let method = Method::from_bytes(self.method.as_bytes()).ok()?;
        Some(Job { call, method, target: self.target.parse().ok()?, headers, body: self.body.clone().into() })
    }
}
