//! The link between two processes of one node: its messages, and the handle that each process holds.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::os::fd::OwnedFd;
use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::handover::{HandoverState, TransferredJob};

/// Time limit for the other process to reply whether it knows a job: many times one iteration of a busy event loop, and
/// well below the time after which an executor repeats its report.
const REPORT_REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// The most relayed reports that wait for a reply. Executors must repeat reports beyond that.
const MAX_PENDING_REPORTS: usize = 1024;

/// Which process of the node the link leads to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Side {
    Predecessor,
    Successor,
}

/// A message on the link. The two processes may be of different releases, so the serialized names must not change.
#[derive(Debug, Deserialize, Serialize)]
pub enum Message {
    /// First message of the new process, with its protocol version.
    Hello(u32),
    /// Reply of the old process: its state, and how many sockets come with the message.
    #[serde(rename = "Handed")]
    State(Box<HandoverState>, usize),
    /// The new process accepts connections and knows executors.
    #[serde(rename = "Serves")]
    Serving,
    /// The old process has stopped accepting connections.
    Stopped,
    /// An idle client connection; its socket comes with the message.
    #[serde(rename = "Guest")]
    IdleConnection,
    /// A job in progress; its client's socket comes with the message.
    Job(Box<TransferredJob>),
    /// An executor's report on a job that the sending process does not know.
    #[serde(rename = "News")]
    ExecutorReport(u64, String),
    /// Reply to `ExecutorReport`: whether the receiving process knows the job.
    #[serde(rename = "Heard")]
    ReportReply(u64, bool),
}

/// A message, and the sockets that are sent with it.
pub type OutgoingMessage = (Message, Vec<OwnedFd>);

/// A message from the other process, as an event for the driver.
#[derive(Debug)]
pub enum LinkEvent {
    IdleConnection(OwnedFd),
    Job(Box<TransferredJob>, OwnedFd),
    Serving,
    Stopped,
    /// An executor's report, and the channel for the reply whether its job is known.
    ExecutorReport(Bytes, oneshot::Sender<bool>),
    Ended,
}

/// One end of a link.
pub struct Link {
    pub side: Side,
    pub number: u64,
    out: mpsc::UnboundedSender<OutgoingMessage>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
    next_number: Cell<u64>,
    /// Number of messages that are queued but not written.
    unwritten: Cell<usize>,
}

impl Link {
    pub fn new(side: Side, number: u64, out: mpsc::UnboundedSender<OutgoingMessage>) -> Self {
        Link {
            side,
            number,
            out,
            pending: RefCell::default(),
            next_number: Cell::new(0),
            unwritten: Cell::new(0),
        }
    }

    pub fn send(&self, message: Message, sockets: Vec<OwnedFd>) -> bool {
        let sent = self.out.send((message, sockets)).is_ok();
        self.unwritten.set(self.unwritten.get() + usize::from(sent));
        sent
    }

    /// Notes that one queued message has been written.
    pub fn mark_written(&self) {
        self.unwritten.set(self.unwritten.get() - 1);
    }

    /// Closes the link. Pending reports fail at once.
    pub fn close(&self) {
        self.pending.borrow_mut().clear();
        self.unwritten.set(0);
    }

    /// Whether all queued messages have been written, or the link has closed.
    pub fn is_flushed(&self) -> bool {
        self.unwritten.get() == 0
    }

    pub fn send_serving(&self) {
        self.send(Message::Serving, Vec::new());
    }

    pub fn send_stopped(&self) {
        self.send(Message::Stopped, Vec::new());
    }

    pub fn send_connection(&self, socket: OwnedFd) {
        self.send(Message::IdleConnection, vec![socket]);
    }

    pub fn send_job(&self, job: TransferredJob, socket: OwnedFd) {
        self.send(Message::Job(Box::new(job)), vec![socket]);
    }

    /// Relays an executor's report. Returns whether the other process knows its job, or none if it did not reply.
    pub async fn relay_report(&self, body: &[u8]) -> Option<bool> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (reply, replied) = oneshot::channel();
        if self.pending.borrow().len() >= MAX_PENDING_REPORTS {
            return None;
        }
        self.pending.borrow_mut().insert(number, reply);
        let body = String::from_utf8_lossy(body).into_owned(); // It was parsed as JSON, so it is UTF-8.
        let answer = match self.send(Message::ExecutorReport(number, body), Vec::new()) {
            true => timeout(REPORT_REPLY_TIMEOUT, replied).await.ok(),
            false => Some(Ok(false)),
        };
        self.pending.borrow_mut().remove(&number);
        // A process that has exited has no jobs.
        answer.map(|answer| answer.unwrap_or(false))
    }

    /// Completes a relayed report with the other process's reply.
    pub fn complete_report(&self, number: u64, known: bool) {
        let pending = self.pending.borrow_mut().remove(&number);
        pending.map(|reply| reply.send(known));
    }
}
