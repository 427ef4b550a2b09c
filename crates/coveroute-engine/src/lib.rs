//! What a coveroute node does, on any wire and in any time: the engine takes (now, event) and gives actions, which
//! its host carries out in order. It owns the decisions, the book of records, the timers, the list of executors
//! and the node's phases; it does no I/O, reads no clock and knows no protocol. Times are seconds, on whichever
//! clock the host keeps to.
mod admit;
mod answer;
mod book;
mod counts;
mod decide;
mod engine;
mod list;
mod memory;
mod operations;
mod parcel;
mod phase;
mod route;
mod timers;

pub use admit::{Call, ANSWER_TAKES};
pub use answer::{Answer, Unfit};
pub use book::Stage;
pub use counts::{Figures, ListFigures, Tally, Verdict};
pub use decide::Decide;
pub use engine::{Action, Engine, Event, News, Reply, Setup, Tuning, Watched, Word, UNASKED};
pub use list::{Host, Listing};
pub use memory::Memory;
pub use parcel::Parcel;
pub use phase::{Phase, Step};

#[cfg(test)]
mod tests;
