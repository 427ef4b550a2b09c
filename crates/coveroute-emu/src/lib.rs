//! An emulator for failures. `world` models workers, clients, discovery and network as state machines, (now,
//! input) -> outputs, with a checker of the invariants that sees only the messages between nodes and the
//! world. `virtual_time` and `loopback` are two hosts for the same scenario. The other modules compare
//! policies, search for failures, record runs and report on them.
pub mod baseline;
pub mod capacity;
pub mod compare;
pub mod fleet;
pub mod load;
pub mod loopback;
pub mod proof;
pub mod prove;
pub mod queue;
pub mod report;
pub mod scenario;
pub mod search;
pub mod settings;
pub mod sink;
pub mod trace;
pub mod virtual_time;
pub mod world;
