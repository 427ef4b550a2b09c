//! Sets the system-call faults of the processes that a test starts, through the shared table that the preloaded library reads.
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use crate::fault_table::{Call, Table, ALWAYS, TABLE_FILE};

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Calls affected, in a thousand.
    pub per_mille: u32,
    pub errno: i32,
    pub most_bytes: u32,
    pub delay_ms: u32,
    pub rearm_ms: u32,
}

impl Fault {
    const NONE: Fault = Fault { per_mille: 0, errno: 0, most_bytes: 0, delay_ms: 0, rearm_ms: 0 };
    /// Default delay until the kernel signals readiness again.
    const REARM_MS: u32 = 5;

    /// Each call fails with this error number.
    pub const fn errno(errno: i32) -> Fault {
        Fault { per_mille: ALWAYS, errno, rearm_ms: Fault::REARM_MS, ..Fault::NONE }
    }

    /// Each call moves at most `most_bytes`; readiness is signalled again after `rearm_ms`.
    pub const fn short(most_bytes: u32, rearm_ms: u32) -> Fault {
        Fault { per_mille: ALWAYS, most_bytes, rearm_ms, ..Fault::NONE }
    }

    /// Each call is delayed by `delay_ms`.
    pub const fn late(delay_ms: u32) -> Fault {
        Fault { per_mille: ALWAYS, delay_ms, ..Fault::NONE }
    }

    /// Limits the fault to this many of a thousand calls.
    pub const fn with_per_mille(self, per_mille: u32) -> Fault {
        Fault { per_mille, ..self }
    }
}

/// The faults of the processes that share one table.
pub struct Faults {
    table: &'static Table,
    file: PathBuf,
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Faults {
    /// Creates a table without faults. Connections to `clients_port` count as clients'.
    pub fn new(clients_port: u16) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let at = NEXT.fetch_add(1, Relaxed);
        let file = std::env::temp_dir().join(format!("coveroute-faults-{}-{at}", std::process::id()));
        let table = Table::map(&file).expect("failed to map the table");
        table.clients_port.store(u32::from(clients_port), Relaxed);
        Faults { table, file }
    }

    /// Environment variables that load the library and name the table in a process.
    pub fn environment(&self) -> Vec<(String, String)> {
        let test = std::env::current_exe().expect("no path of the test program");
        let folder = test.parent().and_then(|deps| deps.parent()).expect("no build directory");
        let library = folder.join("examples/libsystem_call_faults.so");
        assert!(library.exists(), "{} is missing: run cargo build --examples", library.display());
        let text = |path: &PathBuf| path.to_str().expect("path is not UTF-8").to_owned();
        vec![("LD_PRELOAD".to_owned(), text(&library)), (TABLE_FILE.to_owned(), text(&self.file))]
    }

    pub fn begin(&self, call: Call, fault: Fault) {
        let rule = self.table.rule(call);
        rule.errno.store(fault.errno as u32, Relaxed);
        rule.most_bytes.store(fault.most_bytes, Relaxed);
        rule.delay_ms.store(fault.delay_ms, Relaxed);
        rule.rearm_ms.store(fault.rearm_ms, Relaxed);
        rule.per_mille.store(fault.per_mille, Relaxed);
    }

    pub fn end(&self, call: Call) {
        self.table.rule(call).per_mille.store(0, Relaxed);
    }

    /// Number of calls that the fault was injected into.
    pub fn hits(&self, call: Call) -> u64 {
        self.table.rule(call).hits.load(Relaxed)
    }

    /// Number of injected faults over all calls.
    pub fn total_hits(&self) -> u64 {
        self.table.rules.iter().map(|rule| rule.hits.load(Relaxed)).sum()
    }

    /// Steps the wall clock by this many seconds.
    pub fn step_clock(&self, seconds: i64) {
        self.table.clock_step.fetch_add(seconds, Relaxed);
    }
}
