//! Callbacks: the status updates that executors send for jobs that they have accepted.
use coveroute::types::Outcome;
use coveroute_engine::{JobReport, JobStatus};
use coveroute_shared::Gauge;
use serde::Deserialize;

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

/// A status update as received.
#[derive(Debug, Deserialize)]
struct StatusUpdate {
    id: String,
    from: String,
    state: State,
    result: Option<String>,
    load: Option<Gauge>,
}

/// The sender that `report_without_executor` names. No executor has this id.
const NO_EXECUTOR: &str = "coveroute:no-executor";

/// A status update on a call that matches no forward, whatever the call. A valid call id needs no escapes in JSON.
pub fn report_without_executor(call: &str) -> String {
    format!("{{\"id\":\"{call}\",\"from\":\"{NO_EXECUTOR}\",\"state\":\"started\"}}")
}

/// Parses a status update.
pub fn parse(body: &[u8]) -> Result<JobReport, String> {
    let update: StatusUpdate = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let status = match (update.state, update.result) {
        (State::Started | State::Running, _) => JobStatus::Running,
        (State::Done, Some(result)) => JobStatus::Succeeded(result.into()),
        (State::Done, None) => return Err("state \"done\" without a result".into()),
        (State::Failed, _) => JobStatus::Ended(Outcome::Errored),
        (State::Returned, _) => JobStatus::Ended(Outcome::Full),
        (State::Lost, _) => JobStatus::Ended(Outcome::Reset),
    };
    Ok(JobReport {
        call: update.id,
        from: update.from,
        status,
        report: update.load.unwrap_or_default().into(),
    })
}
