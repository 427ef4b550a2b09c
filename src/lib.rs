//! coveroute: a dispatcher whose nodes push invocations to executors by the Nash-bargaining split.
//!
//! `policy`, `list_state`, `list_calls` and `write_limit` hold all decisions. `notes` records answers
//! and load reports, `sampler` draws executors, `types` defines inputs and outputs, and `node` holds the
//! state. No module does I/O or reads a clock.
pub mod adopt;
pub mod chance;
pub mod learnt;
mod list_calls;
pub mod list_state;
pub mod node;
mod notes;
mod parcel;
pub mod policy;
mod sampler;
pub mod types;
mod write_limit;
