//! A world to rehearse failures in. `world` models workers, clients, discovery and network as state machines,
//! (now, input) -> outputs, and a referee that sees only what crosses; `virtual_time` and `loopback` are two hosts
//! for the same scenario; the rest compares, searches, records and reports.
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
