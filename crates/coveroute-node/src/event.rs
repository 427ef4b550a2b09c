//! Events: what the socket modules report to the driver.
use std::rc::Rc;

use bytes::Bytes;
use coveroute::types::{ExecutorIndex, InvocationId, Outcome, PeerMessageKind, Report};
use coveroute_engine::{JobReport, JobResult, NodeMetrics, Reply, WatchEvent};
use coveroute_fleet::FleetConfig;
use tokio::sync::{mpsc, oneshot};

use crate::attempt::AttemptFigures;
use crate::client_connection::Client;
use crate::config::Config;
use crate::handover::HandoverState;
use crate::link::{Link, LinkEvent, Side};
use crate::request::Job;

pub type EventSender = mpsc::UnboundedSender<DriverEvent>;

/// The figures reported in the metrics: the engine's and those of attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeFigures {
    pub engine: NodeMetrics,
    pub attempts: AttemptFigures,
}

/// An event for the driver.
pub enum DriverEvent {
    /// A client's request was read completely.
    Accepted(InvocationId, Box<Job>, Client),
    /// The client has closed its connection.
    Disconnected(InvocationId),
    /// An executor's reply to a forward, by the forward's number.
    Replied(InvocationId, usize, Reply),
    /// An executor's job status update, parsed and as received, and where to report whether a process of this
    /// node accepted it.
    JobReport(JobReport, Bytes, Option<oneshot::Sender<bool>>),
    /// A job status update that no other process of this node recognized as its own, and whether it is
    /// acknowledged even if this process does not recognize it either.
    ReportRelayed(JobReport, Option<oneshot::Sender<bool>>, bool),
    /// A successor process asks for the state that it starts with.
    HandoverRequested(oneshot::Sender<HandoverState>),
    /// The successor has received that state.
    SuccessorConnected(Rc<Link>),
    /// A message from another process of this node, on the link with this number.
    LinkMessage(Side, u64, LinkEvent),
    /// The result of a probe of an executor.
    Probed(ExecutorIndex, Outcome, Report),
    /// An update of the list of executors, for the watch with this number.
    Watch(u64, WatchEvent),
    /// A message from another node.
    PeerMessage { from: usize, kind: PeerMessageKind, mark: u32, count: u8 },
    /// The operators requested a reload: the new configuration or why it is invalid, and the fleet file, if
    /// there is one.
    Reload(Result<Box<Config>, String>, Option<FleetConfig>),
    /// The server answered a request for this operation itself.
    Ended(String, JobResult),
    /// Operators requested the metrics.
    FiguresRequested(oneshot::Sender<NodeFigures>),
    /// This node's current part of the tenants' shares.
    Quotas(Vec<(String, f64)>),
    /// The platform requested that the node stop.
    Stop,
}
