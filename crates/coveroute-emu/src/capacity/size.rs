//! The size that the system is designed for, and the resources it may use at that size. `docs/CAPACITY.md` explains the
//! figures.

pub const WORKERS: usize = 7_800;
/// Nodes that distribute invocations, each on a machine of its own.
pub const NODES: usize = 21;
/// Nodes if each of two regions and further uses have their own; the largest fleet that the proofs simulate.
pub const MANY_NODES: usize = 300;
pub const STARTS_A_SECOND: f64 = 6_900.0;
pub const RUNNING: usize = 77_000;
pub const TEAMS: usize = 130;
/// Workers of one of five zones.
pub const ZONE: usize = WORKERS / 5;
/// Configuration changes per day, and the seconds within which each takes effect at all nodes.
pub const CONFIGURATIONS_A_DAY: f64 = 20_000.0;
pub const CONFIGURATION_WITHIN: f64 = 7.0;
/// Machines that fail on an ordinary day, and machines that are restarted or replaced.
pub const FAILS_A_DAY: f64 = 110.0;
pub const RESTARTS_A_DAY: f64 = 1_000.0;
pub const DAY: f64 = 86_400.0;

/// What a node may use for control at most: a fraction of a core, memory, and bytes per second.
pub const CONTROL_CORES: f64 = 0.034;
pub const CONTROL_MEMORY_MB: f64 = 32.0;
pub const CONTROL_BYTES_A_SECOND: f64 = 27_000.0;

/// Starts per second of one node at peak.
pub fn node_starts() -> f64 {
    STARTS_A_SECOND / NODES as f64
}

/// Changes of the list per second: a machine that fails leaves and returns; one that is restarted drains, leaves and
/// returns.
pub fn list_changes() -> f64 {
    (2.0 * FAILS_A_DAY + 3.0 * RESTARTS_A_DAY) / DAY
}
