//! Admission: checks a call and converts it into a submission for the decisions.
use std::sync::Arc;

use coveroute::types::{InvocationId, Submission};
use coveroute_shared::Names;

use crate::answer::Rejection;
use crate::operations::Operations;

/// The parameters of an invocation as a front has read them; its body stays with the front.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id that the client gave the call.
    pub call_id: Arc<str>,
    pub class: String,
    pub caller: Option<String>,
    /// How long the client waits, in seconds, counted from `received_at`.
    pub budget: f64,
    /// The client's estimate of the work, in seconds.
    pub hint: Option<f64>,
    pub memory: Option<f64>,
    /// Partition key of the call, as a number that is the same at every node.
    pub key: Option<u64>,
    /// Whether the client marks the call as a retry.
    pub is_retry: bool,
    /// When the call was received.
    pub received_at: f64,
}

/// Seconds subtracted from the client's budget for the delivery of the answer's last byte from a busy core.
pub const ANSWER_RESERVE: f64 = 0.05;

/// Smallest accepted hint, in seconds: below the network delay to an executor it makes no difference.
const MIN_HINT: f64 = 1e-4;
/// Largest accepted hint, in client timeouts: heavy work takes tens of times the usual, which is itself a fraction of
/// a timeout.
const MAX_HINT_TIMEOUTS: f64 = 10.0;

/// Resolves names to indices and subtracts the time already spent from the client's budget. The budget and the hint are
/// limited by the operation's timeout, so that implausible values from one client do not distort what is learned.
pub fn admit(
    id: InvocationId,
    call: &Call,
    operations: &Operations,
    names: &Names,
    now: f64,
) -> Result<Submission, Rejection> {
    let find = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let operation = operations.find(&call.class, now).ok_or(Rejection::UnknownOperation)?;
    let timeout = operations.timeout(operation).max(MIN_HINT);
    Ok(Submission {
        id,
        operation,
        tenant: call.caller.as_deref().and_then(|caller| find(&names.tenants, caller)),
        timeout: call.budget.min(timeout) - (now - call.received_at).max(0.0) - ANSWER_RESERVE,
        hint: call
            .hint
            .filter(|hint| *hint > 0.0)
            .map(|hint| hint.clamp(MIN_HINT, MAX_HINT_TIMEOUTS * timeout)),
        memory: call.memory,
        key: call.key,
        is_retry: call.is_retry,
    })
}
