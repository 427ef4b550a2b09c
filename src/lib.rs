//! coveroute: a dispatcher whose nodes push invocations to executors by the Nash-bargaining split.
//!
//! `policy`, `list_state`, `list_calls` and `write_limit` hold all decisions. `recording` records answers
//! and load reports, `sampler` draws executors, `types` defines inputs and outputs, and `node` holds the
//! state. No module does I/O or reads a clock.
mod list_calls;
pub mod list_state;
pub mod location;
pub mod measurements;
pub mod node;
pub mod policy;
pub mod random;
pub mod reconfigure;
mod recording;
mod sampler;
mod transfer;
pub mod types;
mod write_limit;
