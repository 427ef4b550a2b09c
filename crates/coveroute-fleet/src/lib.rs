//! What the nodes of a fleet know of each other: who is there, and one table of records that all come to agree on, each
//! with a bound on its age. Without I/O or clock: (now, event) gives actions. `docs/design/fleet.md` weighs the ways.
//!
//! Times are seconds (f64) of a steady clock of the caller's own; any origin. What parts of a dispatcher need of other
//! nodes they write and read here, each under a [`table::Kind`] of its own.
pub mod detector;
pub mod explore;
pub mod fleet;
pub mod member;
pub mod message;
pub mod plan;
pub mod rights;
pub mod standing;
pub mod table;

pub use fleet::{Action, Figures, Fleet, News};
pub use member::{Id, State};
pub use plan::Plan;
pub use table::{Kind, Reading};

#[cfg(test)]
mod tests;
