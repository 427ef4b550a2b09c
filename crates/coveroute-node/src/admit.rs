//! Admit: whether a job can be taken at all, and what the decisions are told of it.
use actix_http::StatusCode;
use coveroute::types::{InvId, Submission};
use coveroute_shared::Names;

use crate::relay::Answer;
use crate::take_in::Job;

/// Kept back from what the client waits: the way of the answer's last byte, with a busy core.
const ANSWER_TAKES: f64 = 0.05;

/// Names become indices, and what the node has already used of the client's time comes off.
pub fn admit(id: InvId, job: &Job, names: &Names, now: f64) -> Result<Submission, Answer> {
    let find = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let unknown = Answer::Unfit(StatusCode::NOT_FOUND, "no such operation");
    Ok(Submission {
        id,
        operation: find(&names.operations, &job.class).ok_or(unknown)?,
        tenant: job.caller.as_deref().and_then(|caller| find(&names.tenants, caller)),
        timeout: job.budget - (now - job.came).max(0.0) - ANSWER_TAKES,
        hint: job.hint,
        memory: job.memory,
    })
}
