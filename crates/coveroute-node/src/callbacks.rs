//! What executors tell of jobs that they have taken.
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

#[derive(Debug, Deserialize)]
struct Line {
    id: String,
    from: String,
    state: State,
    result: Option<String>,
    load: Option<Gauge>,
}

pub fn parse(body: &[u8]) -> Result<News, String> {
    let line: Line = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let word = match (line.state, line.result) {
        (State::Started | State::Running, _) => Word::Alive,
        (State::Done, Some(result)) => Word::Succeeded(result.into()),
        (State::Done, None) => return Err("done without a result".into()),
        (State::Failed, _) => Word::Ended(Outcome::Errored),
        (State::Returned, _) => Word::Ended(Outcome::Full),
        (State::Lost, _) => Word::Ended(Outcome::Reset),
    };
    Ok(News { call: line.id, from: line.from, word, report: line.load.unwrap_or_default().into() })
}
