//! Callbacks: the status updates that executors send for jobs that they have accepted.
use coveroute::types::Outcome;
use coveroute_engine::{News, Word};
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

/// Parses a status update.
pub fn parse(body: &[u8]) -> Result<News, String> {
    let update: StatusUpdate = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let word = match (update.state, update.result) {
        (State::Started | State::Running, _) => Word::Alive,
        (State::Done, Some(result)) => Word::Succeeded(result.into()),
        (State::Done, None) => return Err("state \"done\" without a result".into()),
        (State::Failed, _) => Word::Ended(Outcome::Errored),
        (State::Returned, _) => Word::Ended(Outcome::Full),
        (State::Lost, _) => Word::Ended(Outcome::Reset),
    };
    Ok(News { call: update.id, from: update.from, word, report: update.load.unwrap_or_default().into() })
}
