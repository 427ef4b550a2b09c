//! How current the list of executors is that a node holds, and whether requests may be sent by it.
//! docs/design/told.md has the times.
use std::fmt;

use crate::types::{KeptAge, Loss};

/// A change counts as told six seconds after discovery had it; of these a connection takes up to half a second.
const LIST_LIFETIME: f64 = 5.5;
/// By then what was decided before has to be written: the node may be held up for a moment after it looks at the clock.
const WRITE_LIFETIME: f64 = 5.85;
/// A discovery that for so long gives no sign of being there is taken to be down, and an expired list is better than none: longer
/// than the longest round of calls and the wait for an answer, in which a service that is there gets to each node.
const OUTAGE_AFTER: f64 = 30.0;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListState {
    /// Changes arrive as they are made.
    #[default]
    Followed,
    /// The list was current when discovery went down, or could no longer be reached: nobody is told of changes since.
    Unreachable { since: f64 },
    /// Changes since then may count as told, so the list expires; those before a list from before the start count at once.
    Unheard {
        since: f64,
        /// Since when no call has met a sign of a discovery that is there.
        unreachable_since: Option<f64>,
    },
}

impl ListState {
    /// The state with the list that a node begins with; where lists are pushed their keeper is called at once, and one that
    /// does not answer is silent because discovery is down.
    pub fn kept(now: f64, age: KeptAge, pushed: bool) -> Self {
        let unreachable_since = pushed.then_some(now);
        match age {
            KeptAge::Unsaid => ListState::Followed,
            KeptAge::Unknown => ListState::Unheard { since: f64::NEG_INFINITY, unreachable_since },
            KeptAge::Current => ListState::Unheard { since: now, unreachable_since },
        }
    }

    /// The state after the end of a watch, or of a call for one.
    pub fn after(self, now: f64, loss: Loss) -> Self {
        match (self, loss) {
            (_, Loss::Unsaid) => ListState::Followed,
            // Guards against an expired list that counts as current again because discovery has gone since.
            (ListState::Unheard { since, unreachable_since }, Loss::Closed | Loss::Waited) => {
                ListState::Unheard { since, unreachable_since: unreachable_since.or(Some(now)) }
            }
            (_, Loss::Closed | Loss::Waited) => ListState::Unreachable { since: now },
            (_, Loss::Refused) => self.after(now, Loss::Missed(0.0)),
            (_, Loss::Missed(ago)) => {
                ListState::Unheard { since: self.since().min(now - ago), unreachable_since: None }
            }
        }
    }

    /// Whether requests may be sent by the list.
    pub fn permits(self, now: f64) -> bool {
        match self {
            ListState::Followed | ListState::Unreachable { .. } => true,
            ListState::Unheard { since, unreachable_since } => {
                now < since + LIST_LIFETIME
                    || unreachable_since.is_some_and(|from| now >= from + OUTAGE_AFTER)
            }
        }
    }

    /// Until when what is decided by the list now may be written.
    pub fn written_until(self) -> f64 {
        match self {
            ListState::Unheard { since, unreachable_since: None } => since + WRITE_LIFETIME,
            _ => f64::INFINITY,
        }
    }

    /// Whether a process that goes on with the list may take it for current.
    pub fn is_current(self) -> bool {
        matches!(self, ListState::Followed | ListState::Unreachable { .. })
    }

    /// When changes last arrived as they were made, unless they do.
    fn since(self) -> f64 {
        match self {
            ListState::Followed => f64::INFINITY,
            ListState::Unreachable { since } | ListState::Unheard { since, .. } => since,
        }
    }

    /// The state's name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            ListState::Followed => "followed",
            ListState::Unreachable { .. } => "unreachable",
            ListState::Unheard { since, .. } if since.is_infinite() => "unconfirmed",
            ListState::Unheard { .. } => "unheard",
        }
    }

    /// A log line on the change to another state; none where it stays.
    pub(crate) fn transition(self, now: f64, next: Self) -> Option<String> {
        (self.name() != next.name())
            .then(|| format!("list state: {} -> {}", Shown(self, now), Shown(next, now)))
    }
}

/// A state with its times as spans before now.
struct Shown(ListState, f64);

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Shown(state, now) = *self;
        write!(f, "{}", state.name())?;
        match state {
            ListState::Followed => Ok(()),
            ListState::Unreachable { since } => write!(f, " for {:.2} s", now - since),
            ListState::Unheard { since, .. } if since.is_infinite() => write!(f, ", nothing is sent by it"),
            ListState::Unheard { since, .. } => {
                write!(f, " for {:.2} s, expires after {LIST_LIFETIME} s", now - since)
            }
        }
    }
}

#[cfg(test)]
mod tests;
