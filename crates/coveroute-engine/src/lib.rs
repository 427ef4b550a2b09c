//! The protocol-independent core of a coveroute node. The engine takes the time and an event and returns actions, which
//! its host carries out in order. It owns the decisions, the records of invocations, the timers, the list of
//! executors and the node's phase. It does no I/O, reads no clock and knows no protocol. Times are in seconds on the
//! host's clock.
mod admit;
mod answer;
mod counts;
mod decision_queue;
mod decisions;
mod engine;
mod engine_state;
mod job_handover;
mod list;
mod operations;
mod phase;
mod records;
mod timers;

pub use admit::{Call, ANSWER_RESERVE};
pub use answer::{Answer, Rejection};
pub use counts::{JobResult, ListMetrics, NodeMetrics, Tally};
pub use decisions::Decisions;
pub use engine::{
    Action, Engine, Event, JobReport, JobStatus, ReloadedSettings, Reply, Setup, WatchEvent, NO_WATCH,
};
pub use engine_state::EngineState;
pub use job_handover::JobHandover;
pub use list::{Host, Listing};
pub use phase::{Phase, Step};
pub use records::Stage;

#[cfg(test)]
mod tests;
