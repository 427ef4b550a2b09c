//! How current a node's list of executors is, and whether requests may be sent by it. docs/design/told.md
//! gives the times.
use std::fmt;

use crate::types::{InitialListAge, Loss};

/// Seconds after which a list that receives no changes expires. A node counts as informed of a change six
/// seconds after discovery has it, and a connection takes up to half a second of these.
const LIST_LIFETIME: f64 = 5.5;
/// Seconds until which a forward decided before has to be written. The margin to six seconds covers a stall
/// of the node after it has read the clock.
const WRITE_LIFETIME: f64 = 5.85;
/// Seconds without a sign of discovery after which it counts as down and an expired list is used again, which
/// is better than none. Longer than the longest round of calls plus the wait for an answer, within which a
/// service that is up reaches each node.
const OUTAGE_AFTER: f64 = 30.0;

/// How current the list is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListState {
    /// Changes arrive as they are made.
    #[default]
    Followed,
    /// The list was current when discovery went down or became unreachable; no node is informed of changes
    /// since.
    Unreachable { since: f64 },
    /// Other nodes may be informed of changes after `since`, so the list expires. A list from before the
    /// start has expired already (`since` is minus infinity).
    Unheard {
        since: f64,
        /// Since when no call has had a sign that discovery is up.
        unreachable_since: Option<f64>,
    },
}

impl ListState {
    /// The state with the list that a node starts with. Where lists are pushed, discovery is contacted at
    /// once, and no answer means that it is down.
    pub fn initial(now: f64, age: InitialListAge, pushed: bool) -> Self {
        let unreachable_since = pushed.then_some(now);
        match age {
            InitialListAge::Unspecified => ListState::Followed,
            InitialListAge::Unknown => ListState::Unheard { since: f64::NEG_INFINITY, unreachable_since },
            InitialListAge::Current => ListState::Unheard { since: now, unreachable_since },
        }
    }

    /// The state after the end of a watch, or of a call for one.
    pub fn after(self, now: f64, loss: Loss) -> Self {
        match (self, loss) {
            (_, Loss::Unspecified) => ListState::Followed,
            // An expired list must not count as current again because discovery has gone down since.
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

    /// Until when a forward decided by the list now may be written.
    pub fn written_until(self) -> f64 {
        match self {
            ListState::Unheard { since, unreachable_since: None } => since + WRITE_LIFETIME,
            _ => f64::INFINITY,
        }
    }

    /// Whether a process that takes over the list may treat it as current.
    pub fn is_current(self) -> bool {
        matches!(self, ListState::Followed | ListState::Unreachable { .. })
    }

    /// When changes last arrived as they were made; infinity while they do.
    fn since(self) -> f64 {
        match self {
            ListState::Followed => f64::INFINITY,
            ListState::Unreachable { since } | ListState::Unheard { since, .. } => since,
        }
    }

    /// The state's name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            ListState::Followed => "followed",
            ListState::Unreachable { .. } => "unreachable",
            ListState::Unheard { since, .. } if since.is_infinite() => "unconfirmed",
            ListState::Unheard { .. } => "unheard",
        }
    }

    /// The log line for a change to another state, if it is one.
    pub(crate) fn transition(self, now: f64, next: Self) -> Option<String> {
        (self.name() != next.name())
            .then(|| format!("list state: {} -> {}", Shown(self, now), Shown(next, now)))
    }
}

/// Displays a state with its times relative to now.
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
