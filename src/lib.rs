//! coveroute: a node pushes invocations to executors by the Nash-bargaining split.
//! `policy` holds every decision, `types` what goes in and out; neither does I/O or reads a clock.
pub mod adopt;
pub mod chance;
pub mod learnt;
mod parcel;
pub mod policy;
pub mod types;
