//! The size that is designed for, and what may be spent at it: `docs/CAPACITY.md` says how its figures are read.

pub const WORKERS: usize = 7_800;
/// Nodes that hand out, each on a machine that is set aside for it.
pub const NODES: usize = 21;
/// Nodes where each of two regions and further uses have theirs, as large as the proofs of members go.
pub const MANY_NODES: usize = 300;
pub const STARTS_A_SECOND: f64 = 6_900.0;
pub const RUNNING: usize = 77_000;
pub const TEAMS: usize = 130;
/// Workers of a zone: one of five.
pub const ZONE: usize = WORKERS / 5;
/// Changes of configuration a day, and within how many seconds each is in force everywhere.
pub const CONFIGURATIONS_A_DAY: f64 = 20_000.0;
pub const IN_FORCE_WITHIN: f64 = 7.0;
/// Machines that fail on an ordinary day, and that are restarted or replaced.
pub const FAILS_A_DAY: f64 = 110.0;
pub const RESTARTS_A_DAY: f64 = 1_000.0;
pub const DAY: f64 = 86_400.0;

/// For control a node spends at most: part of a core, memory, bytes a second.
pub const CORE: f64 = 0.034;
pub const MEMORY_MB: f64 = 32.0;
pub const BYTES_A_SECOND: f64 = 27_000.0;

/// A node's part of the peak.
pub fn node_starts() -> f64 {
    STARTS_A_SECOND / NODES as f64
}

/// Changes of the list a second: who fails goes and comes back, who is restarted drains, goes and comes back.
pub fn list_changes() -> f64 {
    (2.0 * FAILS_A_DAY + 3.0 * RESTARTS_A_DAY) / DAY
}
