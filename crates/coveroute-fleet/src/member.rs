//! Members: claims about them, the order of claims, and the resulting states.
use serde::{Deserialize, Serialize};

/// A member's number: a hash of its name, the same at every node and in every version of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u32);

impl Id {
    pub fn of(name: &str) -> Self {
        Id(coveroute::random::hash(name.as_bytes()) as u32)
    }
}

/// Incarnation of a member. The upper 40 bits are a counter; the lower 24 are a mark that each process draws once
/// at its start, so that no two processes use the same incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    const PROCESS_MARK_BITS: u32 = 24;
    /// Counters above this are invalid: at 16 increments a second since 1970 it would be reached in the year 3059.
    const MAX_COUNT: u64 = 1 << 39;

    /// `count` should be above all earlier incarnations; if it is not, messages from other members raise it.
    pub fn new(count: u64, mark: u64) -> Self {
        Incarnation(
            (count.min(Self::MAX_COUNT / 2) << Self::PROCESS_MARK_BITS)
                | (mark & ((1 << Self::PROCESS_MARK_BITS) - 1)),
        )
    }

    pub fn mark(self) -> u64 {
        self.0 & ((1 << Self::PROCESS_MARK_BITS) - 1)
    }

    /// The next incarnation of this process that is above `other`.
    pub fn next_above(self, other: Incarnation) -> Self {
        let count = self.0.max(other.0) >> Self::PROCESS_MARK_BITS;
        Incarnation(((count + 1) << Self::PROCESS_MARK_BITS) | self.mark())
    }

    /// Whether the counter is exactly one above that of `other`.
    pub fn is_successor_of(self, other: Incarnation) -> bool {
        self.0 >> Self::PROCESS_MARK_BITS == (other.0 >> Self::PROCESS_MARK_BITS) + 1
    }

    pub fn is_valid(self) -> bool {
        self.0 >> Self::PROCESS_MARK_BITS <= Self::MAX_COUNT
    }
}

/// What is claimed of a member in one incarnation; within an incarnation a later variant supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Claim {
    Alive,
    Suspected,
    Dead,
    Left,
}

/// The greatest status wins in whatever order updates arrive, so nodes that received the same updates agree.
pub type ClaimedStatus = (Incarnation, Claim);

/// A membership update: a claim as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub of: Id,
    pub incarnation: Incarnation,
    pub claim: Claim,
    /// The member that made the observation. Suspicions reported by several members expire sooner.
    pub by: Id,
}

/// A member's state as a node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Listed in the file but not heard of yet. Not considered dead.
    Unseen,
    Alive,
    Suspected,
    Dead,
    Left,
    /// Present again as another process, or after it was considered dead or had left.
    Returned,
}

/// Inputs of the state machine of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A claim of a later incarnation of the same process says that it is alive.
    Alive,
    /// A claim of another process of this member says that it is alive.
    Restarted,
    Suspected,
    Dead,
    Left,
    /// It answered neither a direct nor an indirect probe.
    NoReply,
    /// A suspicion was not refuted in time.
    SuspicionExpired,
    /// It has been back for a while.
    Settled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// A suspicion begins.
    StartSuspicion,
    /// Another member shares the suspicion.
    ConfirmSuspicion,
    /// A suspicion ends.
    ClearSuspicion,
}

type Transition = (State, Input, State, Effect);

/// (state, input, next state, effect). Combinations that are not listed change nothing.
const TRANSITIONS: [Transition; 35] = {
    use {Effect as E, Input as I, State as S};
    [
        (S::Unseen, I::Alive, S::Alive, E::Nothing),
        (S::Unseen, I::Restarted, S::Alive, E::Nothing),
        (S::Unseen, I::Suspected, S::Suspected, E::StartSuspicion),
        (S::Unseen, I::Dead, S::Dead, E::Nothing),
        (S::Unseen, I::Left, S::Left, E::Nothing),
        (S::Alive, I::Restarted, S::Returned, E::Nothing),
        (S::Alive, I::Suspected, S::Suspected, E::StartSuspicion),
        (S::Alive, I::NoReply, S::Suspected, E::StartSuspicion),
        (S::Alive, I::Dead, S::Dead, E::Nothing),
        (S::Alive, I::Left, S::Left, E::Nothing),
        (S::Suspected, I::Alive, S::Alive, E::ClearSuspicion),
        (S::Suspected, I::Restarted, S::Returned, E::ClearSuspicion),
        (S::Suspected, I::Suspected, S::Suspected, E::ConfirmSuspicion),
        (S::Suspected, I::NoReply, S::Suspected, E::ConfirmSuspicion),
        (S::Suspected, I::SuspicionExpired, S::Dead, E::ClearSuspicion),
        (S::Suspected, I::Dead, S::Dead, E::ClearSuspicion),
        (S::Suspected, I::Left, S::Left, E::ClearSuspicion),
        (S::Dead, I::Alive, S::Returned, E::Nothing),
        (S::Dead, I::Restarted, S::Returned, E::Nothing),
        (S::Dead, I::Suspected, S::Suspected, E::StartSuspicion),
        (S::Dead, I::Dead, S::Dead, E::Nothing),
        (S::Dead, I::Left, S::Left, E::Nothing),
        (S::Left, I::Alive, S::Returned, E::Nothing),
        (S::Left, I::Restarted, S::Returned, E::Nothing),
        (S::Left, I::Suspected, S::Suspected, E::StartSuspicion),
        (S::Left, I::Dead, S::Dead, E::Nothing),
        (S::Left, I::Left, S::Left, E::Nothing),
        (S::Returned, I::Restarted, S::Returned, E::Nothing),
        (S::Returned, I::Suspected, S::Suspected, E::StartSuspicion),
        (S::Returned, I::NoReply, S::Suspected, E::StartSuspicion),
        (S::Returned, I::Dead, S::Dead, E::Nothing),
        (S::Returned, I::Left, S::Left, E::Nothing),
        (S::Returned, I::Settled, S::Alive, E::Nothing),
        (S::Returned, I::Alive, S::Returned, E::Nothing),
        (S::Alive, I::Alive, S::Alive, E::Nothing),
    ]
};

pub fn next_state(state: State, input: Input) -> (State, Effect) {
    let row = TRANSITIONS.iter().find(|row| row.0 == state && row.1 == input);
    row.map_or((state, Effect::Nothing), |row| (row.2, row.3))
}

impl State {
    pub const ALL: [State; 6] =
        [State::Unseen, State::Alive, State::Suspected, State::Dead, State::Left, State::Returned];

    /// Whether the member takes part; a suspected member still does.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspected | State::Returned)
    }
}
