//! The state that one process of a node hands over to its successor, in the format of the link between them.
use std::net::SocketAddr;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::Method;
use coveroute_engine::{Call, EngineState, JobHandover};
use serde::{Deserialize, Serialize};

use crate::clock::{Clock, Reading};
use crate::request::Job;

/// The state that the successor starts with.
#[derive(Debug, Deserialize, Serialize)]
pub struct HandoverState {
    /// The discovery service that the list came from. Another service's list versions are unrelated.
    discovery: SocketAddr,
    memory: EngineState,
    /// The clock that all times in the handed-over state refer to. Older releases don't send it.
    #[serde(default)]
    clock: Option<Reading>,
}

impl HandoverState {
    pub fn of(discovery: SocketAddr, memory: EngineState, clock: Option<Reading>) -> Self {
        HandoverState { discovery, memory, clock }
    }

    /// The clock of this process, which continues the predecessor's if that is known.
    pub fn clock(&self) -> Clock {
        self.clock.map_or_else(Clock::new, Clock::continuing)
    }

    /// The engine's state. If it came from another discovery service than `discovery`, its list version is reset.
    pub fn memory(mut self, discovery: SocketAddr) -> EngineState {
        if self.discovery != discovery {
            self.memory.listing.version = 0;
        }
        self.memory
    }
}

/// A job in progress: the engine's state of it, and the client's request.
#[derive(Debug, Deserialize, Serialize)]
pub struct TransferredJob {
    pub parcel: JobHandover,
    method: String,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl TransferredJob {
    pub fn of(handover: JobHandover, job: &Job) -> Self {
        let headers = job.headers.iter().map(|(name, value)| (name.as_str().into(), value.as_bytes().into()));
        TransferredJob {
            parcel: handover,
            method: job.method.as_str().into(),
            target: job.target.as_str().into(),
            headers: headers.collect(),
            body: job.body.to_vec(),
        }
    }

    /// The client's request, if it is valid.
    pub fn job(&self) -> Option<Job> {
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            let name = HeaderName::try_from(name.as_str()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let call = Call {
            call_id: self.parcel.call.as_str().into(),
            class: self.parcel.operation.clone(),
            caller: None,
            budget: self.parcel.timeout,
            hint: None,
            memory: None,
            key: None,
            is_retry: false,
            received_at: 0.0,
        };
        let method = Method::from_bytes(self.method.as_bytes()).ok()?;
        Some(Job { call, method, target: self.target.parse().ok()?, headers, body: self.body.clone().into() })
    }
}
