//! When a node calls discovery for the list: in rounds in which each node has a turn of its own, and which grow while calls fail.
//! docs/design/told.md has the times.
use crate::list_state::ListState;
use crate::types::{Loss, Settings};

/// A node's part of a round: a small service takes a few calls a second.
const CALL_INTERVAL: f64 = 0.4;
/// The same where nobody is known: a few nodes ask at once.
const CALL_INTERVAL_EMPTY: f64 = 0.05;
/// The longest first round of nodes that know a list from before their start.
const FIRST_ROUND: f64 = 6.0;
/// The same where nobody is known.
const FIRST_ROUND_EMPTY: f64 = 8.0;
/// While requests are sent by a list that is not followed: most of the six seconds after which all counts as told, from the
/// moment on in which discovery is back.
const ROUND_WHILE_SENDING: f64 = 4.5;
/// What silence has left of the six seconds.
const ROUND_UNHEARD: f64 = 2.0;
/// The longest of all: hundreds of nodes then make some fifteen calls a second, also where refused calls are worked off too.
const ROUND_MAX: f64 = 18.0;
/// Failures in a row that an outage at a release makes: rounds stay as they are, so that all nodes hear in time of its end.
const OUTAGE_FAILURES: u32 = 4;

/// How many times longer each round is than the one before that failed.
const ROUND_GROWTH: f64 = 2.0;
/// The same after first calls that were refused: rounds of 6, 9, 13.5 and 18 s get all of 300 nodes through to a service of thirty
/// calls a second within 23 s, equal ones of 6 s never, and doubled ones keep those longer that were refused by chance.
const ROUND_GROWTH_UNCONFIRMED: f64 = 1.5;

/// Whether the call met a service that is there and has too many callers, or waited with others for one that may be.
fn is_refusal(loss: Loss) -> bool {
    matches!(loss, Loss::Waited | Loss::Refused)
}

/// The calls for a list that is not followed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListCalls {
    /// Calls, and the watch before them, that have failed since the list was last heard of; none while it is followed.
    failed: u32,
    /// When the next call is due, or the one that is out was.
    due: f64,
}

impl ListCalls {
    #[cfg(test)]
    pub fn due_at(due: f64) -> Self {
        ListCalls { failed: 1, due }
    }

    /// Whether a call is due at all.
    pub fn is_due(self) -> bool {
        self.failed > 0
    }

    /// The list is followed.
    pub fn followed(&mut self) {
        self.failed = 0;
    }

    /// Whether the next call for a list that is not followed comes only after that time.
    pub fn is_after(self, time: f64) -> bool {
        self.is_due() && self.due > time
    }

    /// How long to wait before the first call after the start.
    pub fn first(&mut self, now: f64, state: ListState, knows_some: bool, settings: &Settings) -> f64 {
        self.failed = 1;
        let wait = match (knows_some, state) {
            (false, _) => settings.time_to_turn(now, CALL_INTERVAL_EMPTY, 0.0, FIRST_ROUND_EMPTY),
            (true, ListState::Unheard { since, .. }) if since.is_finite() => {
                settings.time_to_turn(now, CALL_INTERVAL, 0.0, ROUND_WHILE_SENDING)
            }
            (true, _) => settings.time_to_turn(now, CALL_INTERVAL, 0.0, FIRST_ROUND),
        };
        self.due = now + wait;
        wait
    }

    /// How long to wait before the next call, now that a watch or a call has ended; `least` is the shortest round.
    pub fn next(&mut self, now: f64, state: ListState, loss: Loss, least: f64, settings: &Settings) -> f64 {
        let up = loss == Loss::Closed && state.permits(now);
        self.failed = if up { 1 } else { self.failed + 1 };
        let (first, growth, grown) = match state {
            ListState::Unheard { since, .. } if since.is_infinite() => match is_refusal(loss) {
                true => (FIRST_ROUND, ROUND_GROWTH_UNCONFIRMED, self.failed - 1),
                false => (ROUND_UNHEARD, ROUND_GROWTH, 0),
            },
            ListState::Unheard { .. } => (ROUND_UNHEARD, ROUND_GROWTH, self.failed.saturating_sub(2)),
            ListState::Unreachable { .. } => {
                (ROUND_WHILE_SENDING, ROUND_GROWTH, self.failed.saturating_sub(OUTAGE_FAILURES))
            }
            ListState::Followed => (ROUND_WHILE_SENDING, ROUND_GROWTH, self.failed.saturating_sub(3)),
        };
        let longest = (first * growth.powi(grown as i32)).min(ROUND_MAX);
        let wait = settings.time_to_turn(now, CALL_INTERVAL, least, longest);
        self.due = now + wait;
        wait
    }
}

#[cfg(test)]
mod tests;
