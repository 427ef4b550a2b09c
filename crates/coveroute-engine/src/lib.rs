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
mod list;
mod memory;
mod operations;
mod parcel;
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
pub use list::{Host, Listing};
pub use memory::Memory;
pub use parcel::Parcel;
pub use phase::{Phase, Step};
pub use records::Stage;

#[cfg(test)]
mod tests;
