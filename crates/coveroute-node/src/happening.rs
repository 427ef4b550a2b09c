//! Happenings: what the units on sockets tell the driver.
use std::rc::Rc;

use bytes::Bytes;
use coveroute::types::{InvId, Outcome, Report, Tgt, Told};
use coveroute_engine::{Figures, News, Reply, Verdict, Watched};
use coveroute_fleet::Plan;
use tokio::sync::{mpsc, oneshot};

use crate::attempt::AttemptFigures;
use crate::config::Config;
use crate::guest::Client;
use crate::handed::Handed;
use crate::link::{Link, Said, Side};
use crate::take_in::Job;

pub type Happenings = mpsc::UnboundedSender<Happening>;

/// What operators are shown: the engine's figures, and the sockets'.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeFigures {
    pub engine: Figures,
    pub attempts: AttemptFigures,
}

/// What the units on sockets tell the driver.
pub enum Happening {
    Taken(InvId, Box<Job>, Client),
    /// The client has closed its connection.
    Left(InvId),
    Replied(InvId, usize, Reply),
    /// What an executor tells, as it came too, and who waits for whether a process has it.
    News(News, Bytes, Option<oneshot::Sender<bool>>),
    /// What an executor tells, of no other process's job: whether it is then acknowledged.
    Returned(News, Option<oneshot::Sender<bool>>, bool),
    /// A successor asks for what it begins with.
    Handing(oneshot::Sender<Handed>),
    /// It has it.
    Linked(Rc<Link>),
    /// What another process of this node says, on the link of this number.
    Said(Side, u64, Said),
    Probed(Tgt, Outcome, Report),
    Watch(u64, Watched),
    /// Another node's message.
    Heard {
        from: usize,
        told: Told,
        mark: u32,
        count: u8,
    },
    /// The operators ask for the configuration to be read anew: what it says, or why it is not fit. With it the fleet's
    /// file, where there is one.
    Reload(Result<Box<Config>, String>, Option<Plan>),
    /// The door has ended a job of this operation by itself.
    Ended(String, Verdict),
    /// Operators ask for the figures.
    Asked(oneshot::Sender<NodeFigures>),
    /// Of tenants' shares, what is this node's now.
    Quotas(Vec<(String, f64)>),
    /// The platform asks the node to stop.
    Stop,
}
