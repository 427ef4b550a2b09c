//! Admit: whether a call can be taken at all, and what the decisions are told of it.
use std::sync::Arc;

use coveroute::types::{InvId, Submission};
use coveroute_shared::Names;

use crate::answer::Unfit;
use crate::operations::Operations;

/// What a front has read of an invocation; its bytes stay with the front.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id that it came with.
    pub call: Arc<str>,
    pub class: String,
    pub caller: Option<String>,
    /// How long the client will wait, in seconds, counted from `came`.
    pub budget: f64,
    pub hint: Option<f64>,
    pub memory: Option<f64>,
    /// What it works on, as a number that is the same at every node.
    pub key: Option<u64>,
    /// Whether the client says that it comes back.
    pub again: bool,
    pub came: f64,
}

/// Kept back from what the client waits, in seconds: the way of the answer's last byte, with a busy core.
pub const ANSWER_TAKES: f64 = 0.05;

/// The least work that a hint may speak of: under the way to an executor it makes no difference.
const HINT_LEAST: f64 = 1e-4;
/// And the most, in client timeouts: heavy work takes tens of the usual, which is itself a part of a timeout.
const HINT_MOST: f64 = 10.0;

/// Names become indices, and what the node has already used of the client's time comes off. Guards against
/// odd clients whose figures would spoil what is learned of all: their time and their hint are bound by what
/// the settings give the operation.
pub fn admit(
    id: InvId,
    call: &Call,
    operations: &Operations,
    names: &Names,
    now: f64,
) -> Result<Submission, Unfit> {
    let find = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let operation = operations.find(&call.class, now).ok_or(Unfit::Operation)?;
    let most = operations.timeout(operation).max(HINT_LEAST);
    Ok(Submission {
        id,
        operation,
        tenant: call.caller.as_deref().and_then(|caller| find(&names.tenants, caller)),
        timeout: call.budget.min(most) - (now - call.came).max(0.0) - ANSWER_TAKES,
        hint: call.hint.filter(|hint| *hint > 0.0).map(|hint| hint.clamp(HINT_LEAST, HINT_MOST * most)),
        memory: call.memory,
        key: call.key,
        again: call.again,
    })
}
