//! The final answers to clients.
use bytes::Bytes;

/// Why a call was rejected as invalid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unfit {
    /// A call with the same id was received before.
    Again,
    /// The operation is unknown.
    Operation,
    /// An executor rejected it with this status.
    TurnedAway(u16),
}

/// An invocation's final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The executor's result, unchanged.
    Succeeded(Bytes),
    /// A retry is harmless, preferably after `pause` seconds.
    Throttled {
        pause: f64,
    },
    /// The job failed or may have run.
    Errored,
    Unfit(Unfit),
}
