//! The final answers to clients.
use bytes::Bytes;

/// Why a call was rejected as invalid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// A call with the same id was received before.
    DuplicateCall,
    /// The operation is unknown.
    UnknownOperation,
    /// An executor rejected it with this status.
    RejectedByExecutor(u16),
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
    Rejected(Rejection),
}
