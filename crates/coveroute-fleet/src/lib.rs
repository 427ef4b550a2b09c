//! What the nodes of a fleet know about each other: the members, and one eventually consistent table of records,
//! each with an upper bound on its age. No I/O and no clock: functions of (now, event) return actions.
//! `docs/design/fleet.md` compares the alternatives.
//!
//! Times are seconds (f64) of a monotonic clock of the caller's, with any origin. Components of a dispatcher that
//! need information from other nodes write and read records here, each under a [`table::Kind`] of its own.
pub mod config;
pub mod detector;
pub mod explore;
pub mod fleet;
pub mod member;
pub mod message;
pub mod rights;
pub mod status;
pub mod table;

pub use config::FleetConfig;
pub use fleet::{Action, Figures, Fleet, FleetEvent};
pub use member::{Id, State};
pub use table::{Kind, Reading};

#[cfg(test)]
mod tests;
