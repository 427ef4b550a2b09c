//! The schedule of calls to discovery for the list: rounds in which each node has its own turn, and which
//! grow while calls fail. docs/design/told.md gives the times.
use crate::list_state::ListState;
use crate::types::{Loss, Settings};

/// Seconds of a round per node: a small service handles a few calls per second.
const CALL_INTERVAL: f64 = 0.4;
/// The same if no executor is known: a few nodes call at once.
const CALL_INTERVAL_EMPTY: f64 = 0.05;
/// The longest first round, in seconds, of nodes with a list from before their start.
const FIRST_ROUND: f64 = 6.0;
/// The same if no executor is known.
const FIRST_ROUND_EMPTY: f64 = 8.0;
/// Round while requests are sent by a list that is not followed: most of the six seconds after which all
/// nodes count as informed once discovery is back.
const ROUND_WHILE_SENDING: f64 = 4.5;
/// Round after a silence, which has used up part of the six seconds.
const ROUND_UNHEARD: f64 = 2.0;
/// The longest round: hundreds of nodes then make some fifteen calls per second, which a service handles even
/// if it spends time on refused calls too.
const ROUND_MAX: f64 = 18.0;
/// Failures that are counted while the list depends on the calls. Rounds don't grow meanwhile, so that all nodes
/// notice the end of the outage in time.
const OUTAGE_FAILURES: u32 = 2;

/// Growth factor of rounds after a failure.
const ROUND_GROWTH: f64 = 2.0;
/// The same after refused first calls. Rounds of 6, 9, 13.5 and 18 s get all of 300 nodes through to a
/// service of thirty calls per second within 23 s; constant rounds of 6 s never do, and doubled ones delay
/// nodes that were refused by rng.
const ROUND_GROWTH_UNCONFIRMED: f64 = 1.5;

/// Whether the call was refused by a service with too many callers, or waited in vain for one that may be up.
fn is_refusal(loss: Loss) -> bool {
    matches!(loss, Loss::Waited(_) | Loss::Refused)
}

/// The state of the calls for a list that is not followed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListCalls {
    /// Failed calls, plus the watch before them, since the last news of the list; zero while it is followed.
    failed: u32,
    /// When the next call is due, or the current one was.
    due: f64,
}

impl ListCalls {
    #[cfg(test)]
    pub fn due_at(due: f64) -> Self {
        ListCalls { failed: 1, due }
    }

    /// Whether any call is scheduled.
    pub fn is_scheduled(self) -> bool {
        self.failed > 0
    }

    /// Stops the calls: the list is followed.
    pub fn followed(&mut self) {
        self.failed = 0;
    }

    /// Whether a call is scheduled, and only after `time`.
    pub fn is_after(self, time: f64) -> bool {
        self.is_scheduled() && self.due > time
    }

    /// The wait before the first call after the start.
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

    /// The wait before the next call after a watch or a call has ended; `least` is the shortest round.
    pub fn next(&mut self, now: f64, state: ListState, loss: Loss, least: f64, settings: &Settings) -> f64 {
        let was_up = loss == Loss::Closed && state.permits(now);
        self.failed = if was_up { 1 } else { self.failed + 1 };
        let wait = match state.longest_wait(now) {
            Some(longest) => {
                self.failed = self.failed.min(OUTAGE_FAILURES);
                let turn = settings.time_to_turn(now, CALL_INTERVAL, least, ROUND_WHILE_SENDING);
                turn.min(longest.max(least))
            }
            None => {
                let turn = settings.time_to_turn(now, CALL_INTERVAL, least, self.round(state, loss));
                turn.min(until_outage_counts(state, now).max(least))
            }
        };
        self.due = now + wait;
        wait
    }

    /// The longest round after a failure, while the list does not depend on the calls.
    fn round(self, state: ListState, loss: Loss) -> f64 {
        let (first, growth, grown) = match state {
            ListState::Unheard { since, .. } if since.is_infinite() => match is_refusal(loss) {
                true => (FIRST_ROUND, ROUND_GROWTH_UNCONFIRMED, self.failed - 1),
                false => (ROUND_UNHEARD, ROUND_GROWTH, 0),
            },
            ListState::Unheard { .. } => (ROUND_UNHEARD, ROUND_GROWTH, self.failed.saturating_sub(2)),
            ListState::Followed | ListState::Unreachable { .. } | ListState::SourceChanged { .. } => {
                (ROUND_WHILE_SENDING, ROUND_GROWTH, self.failed.saturating_sub(3))
            }
        };
        (first * growth.powi(grown as i32)).min(ROUND_MAX)
    }
}

/// Seconds until an expired list may be used because discovery has been out of reach for so long; infinity if it
/// is not. A call then has to show that it still is.
fn until_outage_counts(state: ListState, now: f64) -> f64 {
    match state {
        ListState::Unheard { outage: Some(outage), .. } if now < outage.counts_from() => {
            outage.counts_from() - now
        }
        _ => f64::INFINITY,
    }
}

#[cfg(test)]
mod tests;
