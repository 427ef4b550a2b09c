//! coveroute: a node pushes invocations to executors by the Nash-bargaining split.
//! `policy`, `list_state`, `list_calls` and `write_limit` hold every decision, `notes` what is known of answers and reports, `sampler` who is drawn from, `types` what goes in and out, `node` what is kept; neither does I/O or reads a clock.
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
