//! Admit: whether a job can be taken at all, and what the decisions are told of it.
use actix_http::StatusCode;
use coveroute::types::{InvId, Submission};
use coveroute_shared::Names;

use crate::relay::Answer;
use crate::take_in::Job;

/// Kept back from what the client waits: the way of the answer's last byte, with a busy core.
const ANSWER_TAKES: f64 = 0.05;

/// The least work that a hint may speak of: under the way to an executor it makes no difference.
const HINT_LEAST: f64 = 1e-4;
/// And the most, in client timeouts: heavy work takes tens of the usual, which is itself a part of a timeout.
const HINT_MOST: f64 = 10.0;

/// Names become indices, and what the node has already used of the client's time comes off. Guards against
/// odd clients whose figures would spoil what is learned of all: their time and their hint are bound by what
/// the settings give the operation.
pub fn admit(id: InvId, job: &Job, names: &Names, timeouts: &[f64], now: f64) -> Result<Submission, Answer> {
    let find = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let unknown = Answer::Unfit(StatusCode::NOT_FOUND, "no such operation");
    let operation = find(&names.operations, &job.class).ok_or(unknown)?;
    let most = timeouts[operation].max(HINT_LEAST);
    Ok(Submission {
        id,
        operation,
        tenant: job.caller.as_deref().and_then(|caller| find(&names.tenants, caller)),
        timeout: job.budget.min(most) - (now - job.came).max(0.0) - ANSWER_TAKES,
        hint: job.hint.filter(|hint| *hint > 0.0).map(|hint| hint.clamp(HINT_LEAST, HINT_MOST * most)),
        memory: job.memory,
    })
}
