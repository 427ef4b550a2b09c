//! How current a node's list of executors is, and whether requests may be sent by it. docs/design/told.md
//! gives the times.
use std::fmt;

use crate::types::{InitialListAge, Loss};

/// Seconds after which a list that receives no changes expires. A node counts as informed of a change six
/// seconds after discovery has it, and a connection takes up to half a second of these.
const LIST_LIFETIME: f64 = 5.5;
/// The same after the configuration has named another service: its changes count as known after four seconds.
const SOURCE_CHANGE_LIFETIME: f64 = 3.5;
/// Seconds until which a forward decided before has to be written. The margin to six seconds covers a stall
/// of the node after it has read the clock.
const WRITE_LIFETIME: f64 = 5.85;
/// Seconds without a sign of discovery after which it counts as down and an expired list is used again, which
/// is better than none. Longer than the longest round of calls plus the wait for an answer, within which a
/// service that is up reaches each node.
const OUTAGE_AFTER: f64 = 30.0;

/// Seconds by which a failing call may take longer than the one before it.
const CALL_MARGIN: f64 = 0.1;

/// How current the list is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListState {
    /// Changes arrive as they are made.
    #[default]
    Followed,
    /// No node was informed of changes up to `since`: the watch ended then, or the latest call that found
    /// discovery down or unreachable began then. Each further such call confirms the list anew.
    Unreachable { since: f64 },
    /// Other nodes may be informed of changes after `since`, so the list expires. A list from before the
    /// start has expired already (`since` is minus infinity).
    Unheard { since: f64, outage: Option<Outage> },
    /// The configuration has named another service, which has not answered yet. The list expires as one that
    /// was current until `since`.
    SourceChanged { since: f64 },
}

/// A span in which no call had a sign that discovery is up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// When the first of these calls ended.
    pub begun: f64,
    /// When the latest of them began; infinity where lists are pushed, as their keeper is called all the time.
    pub confirmed: f64,
}

impl Outage {
    /// When it has lasted for so long that an expired list is used.
    pub fn counts_from(self) -> f64 {
        self.begun + OUTAGE_AFTER
    }

    /// Whether the latest call shows that it has lasted for so long.
    fn is_confirmed(self) -> bool {
        self.confirmed >= self.counts_from()
    }
}

impl ListState {
    /// The state with the list that a node starts with. Where lists are pushed, discovery is contacted at
    /// once, and no answer means that it is down.
    pub fn initial(now: f64, age: InitialListAge, pushed: bool) -> Self {
        let outage = pushed.then_some(Outage { begun: now, confirmed: f64::INFINITY });
        match age {
            InitialListAge::Unspecified => ListState::Followed,
            InitialListAge::Unknown => ListState::Unheard { since: f64::NEG_INFINITY, outage },
            InitialListAge::Current => ListState::Unheard { since: now, outage },
        }
    }

    /// The state after the end of a watch, or of a call for one.
    pub fn after(self, now: f64, loss: Loss) -> Self {
        match loss {
            Loss::Unspecified => ListState::Followed,
            Loss::Closed => self.after_failure(now, now),
            Loss::Waited(ago) => self.after_failure(now, now - ago),
            Loss::Refused => self.after(now, Loss::Missed(0.0)),
            Loss::Missed(ago) => ListState::Unheard { since: self.since().min(now - ago), outage: None },
        }
    }

    /// The state when the configuration names another service, which is called at once.
    pub fn after_source_change(self, now: f64) -> Self {
        let since = self.since().min(now + SOURCE_CHANGE_LIFETIME - LIST_LIFETIME);
        match self {
            ListState::Unheard { outage, .. } => ListState::Unheard { since, outage },
            ListState::Followed | ListState::Unreachable { .. } | ListState::SourceChanged { .. } => {
                ListState::SourceChanged { since }
            }
        }
    }

    /// The state after a call that began at `called` found no sign of discovery.
    fn after_failure(self, now: f64, called: f64) -> Self {
        match self {
            // An expired list must not count as current again because discovery has gone down since.
            ListState::Unheard { since, outage } => {
                let begun = outage.map_or(now, |outage| outage.begun);
                ListState::Unheard { since, outage: Some(Outage { begun, confirmed: called }) }
            }
            ListState::Followed | ListState::Unreachable { .. } | ListState::SourceChanged { .. } => {
                ListState::Unreachable { since: called }
            }
        }
    }

    /// When the list was last confirmed by a call that found discovery unreachable, if its use depends on that.
    pub fn confirmed(self) -> Option<f64> {
        match self {
            ListState::Followed | ListState::SourceChanged { .. } => None,
            ListState::Unreachable { since } => Some(since),
            ListState::Unheard { outage, .. } => {
                outage.filter(|outage| outage.is_confirmed()).map(|outage| outage.confirmed)
            }
        }
    }

    /// Until when a basis for the list is valid that lasts for `lifetime` seconds from each confirmation.
    fn valid_for(self, lifetime: f64) -> f64 {
        let heard = match self {
            ListState::Followed => return f64::INFINITY,
            ListState::Unreachable { since }
            | ListState::SourceChanged { since }
            | ListState::Unheard { since, .. } => since,
        };
        heard.max(self.confirmed().unwrap_or(f64::NEG_INFINITY)) + lifetime
    }

    /// Whether requests may be sent by the list. Any list expires that nothing has confirmed for
    /// `LIST_LIFETIME`: discovery may be up again by then, and other nodes informed of changes.
    pub fn permits(self, now: f64) -> bool {
        match self {
            ListState::Unheard { since, outage: Some(outage) } if now < outage.counts_from() => {
                now < since + LIST_LIFETIME
            }
            _ => now < self.valid_for(LIST_LIFETIME),
        }
    }

    /// Until when a forward decided by the list now may be written.
    pub fn written_until(self) -> f64 {
        self.valid_for(WRITE_LIFETIME)
    }

    /// The longest wait before a call that ends before the list expires, if it fails as the latest one did.
    /// `None` if the list does not depend on such calls.
    pub(crate) fn longest_wait(self, now: f64) -> Option<f64> {
        let confirmed = self.confirmed()?;
        let call_duration = now - confirmed;
        Some((confirmed + LIST_LIFETIME - CALL_MARGIN - call_duration - now).max(0.0))
    }

    /// Whether a process that takes over the list may treat it as current.
    pub fn is_current(self) -> bool {
        matches!(self, ListState::Followed | ListState::Unreachable { .. })
    }

    /// When changes last arrived as they were made; infinity while they do.
    fn since(self) -> f64 {
        match self {
            ListState::Followed => f64::INFINITY,
            ListState::Unreachable { since }
            | ListState::SourceChanged { since }
            | ListState::Unheard { since, .. } => since,
        }
    }

    /// The state's name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            ListState::Followed => "followed",
            ListState::Unreachable { .. } => "unreachable",
            ListState::Unheard { since, .. } if since.is_infinite() => "unconfirmed",
            ListState::Unheard { .. } | ListState::SourceChanged { .. } => "unheard",
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
            ListState::Unheard { since, .. } | ListState::SourceChanged { since } => {
                write!(f, " for {:.2} s, expires after {LIST_LIFETIME} s", now - since)
            }
        }
    }
}

#[cfg(test)]
mod tests;
