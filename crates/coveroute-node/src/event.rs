//! Events: what the socket modules report to the driver, and the bound on those that clients cause.
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use coveroute::types::{ExecutorIndex, InvocationId, Outcome, PeerMessageKind, Report};
use coveroute_engine::{JobReport, JobResult, NodeMetrics, Reply, WatchEvent};
use coveroute_fleet::FleetConfig;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};

use crate::attempt::AttemptFigures;
use crate::client_connection::Client;
use crate::config::Config;
use crate::handover::HandoverState;
use crate::link::{Link, LinkEvent, Side};
use crate::request::Job;

/// Unbounded: for events whose number the sender bounds by itself.
pub type EventSender = mpsc::UnboundedSender<DriverEvent>;

/// Events of client connections that may wait for the driver at once.
const MAX_QUEUED_CLIENT_EVENTS: usize = 64;

/// A place among the queued client events. It is free again when it is dropped.
pub type QueueSlot = OwnedSemaphorePermit;

/// Sends the events of all client connections. At most `MAX_QUEUED_CLIENT_EVENTS` of them wait for the driver at
/// once; a connection whose event has no place waits, and reads nothing further meanwhile. Clients that send faster
/// than the driver works are thus slowed down by TCP, and what other clients send is not queued behind all of it.
pub struct ClientEvents {
    events: EventSender,
    slots: Arc<Semaphore>,
}

impl ClientEvents {
    pub fn new(events: EventSender) -> Self {
        ClientEvents { events, slots: Arc::new(Semaphore::new(MAX_QUEUED_CLIENT_EVENTS)) }
    }

    /// Waits for a place in the queue, in the order of the calls.
    pub async fn slot(&self) -> Option<QueueSlot> {
        // Fails only for a closed semaphore, and this one is never closed.
        self.slots.clone().acquire_owned().await.ok()
    }

    /// Sends the event, which keeps its place until the driver has handled it.
    pub fn send(&self, slot: Option<QueueSlot>, event: DriverEvent) {
        let _ = self.events.send(DriverEvent::FromClient(Box::new(event), slot));
    }

    /// Reports that the client of a job has disconnected. It takes no place, as there is one such event at most for
    /// each `Accepted`, which had one.
    pub fn client_disconnected(&self, id: InvocationId) {
        let _ = self.events.send(DriverEvent::Disconnected(id));
    }
}

/// The figures reported in the metrics: the engine's and those of attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeFigures {
    pub engine: NodeMetrics,
    pub attempts: AttemptFigures,
}

/// An event for the driver.
pub enum DriverEvent {
    /// An event of a client connection, with its place in the queue.
    FromClient(Box<DriverEvent>, Option<QueueSlot>),
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
    /// A client's request came while another process of this node is alive. The reply is whether that one knows the call.
    CallQueried(Arc<str>, oneshot::Sender<bool>),
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
