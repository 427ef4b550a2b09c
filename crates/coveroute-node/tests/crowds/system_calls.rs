//! System calls that fail in the processes of a test: the table that they share, and the library that reads it.
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use crate::fault_table::{Call, Table, ALWAYS, TABLE_FILE};

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// In a thousand calls.
    pub chance: u32,
    pub errno: i32,
    pub most_bytes: u32,
    pub delay_ms: u32,
    pub rearm_ms: u32,
}

impl Fault {
    const NONE: Fault = Fault { chance: 0, errno: 0, most_bytes: 0, delay_ms: 0, rearm_ms: 0 };
    /// How soon the kernel tells again that there is room, where the fault does not say.
    const REARM_MS: u32 = 5;

    /// Each call fails with this.
    pub const fn errno(errno: i32) -> Fault {
        Fault { chance: ALWAYS, errno, rearm_ms: Fault::REARM_MS, ..Fault::NONE }
    }

    /// Each call moves at most so many bytes, and can move more after so many milliseconds.
    pub const fn short(most_bytes: u32, rearm_ms: u32) -> Fault {
        Fault { chance: ALWAYS, most_bytes, rearm_ms, ..Fault::NONE }
    }

    /// Each call returns so many milliseconds late.
    pub const fn late(delay_ms: u32) -> Fault {
        Fault { chance: ALWAYS, delay_ms, ..Fault::NONE }
    }

    /// So many of a thousand calls.
    pub const fn of(self, chance: u32) -> Fault {
        Fault { chance, ..self }
    }
}

/// The faults of one process, or of several.
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
    /// None yet; clients connect to this port.
    pub fn new(clients_port: u16) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let at = NEXT.fetch_add(1, Relaxed);
        let file = std::env::temp_dir().join(format!("coveroute-faults-{}-{at}", std::process::id()));
        let table = Table::map(&file).expect("a table");
        table.clients_port.store(u32::from(clients_port), Relaxed);
        Faults { table, file }
    }

    /// What a process needs in its environment for them.
    pub fn environment(&self) -> Vec<(String, String)> {
        let test = std::env::current_exe().expect("this program's path");
        let folder = test.parent().and_then(|deps| deps.parent()).expect("the folder of what is built");
        let library = folder.join("examples/libsystem_call_faults.so");
        assert!(library.exists(), "{}: cargo build --examples makes it", library.display());
        let text = |path: &PathBuf| path.to_str().expect("a plain path").to_owned();
        vec![("LD_PRELOAD".to_owned(), text(&library)), (TABLE_FILE.to_owned(), text(&self.file))]
    }

    pub fn begin(&self, call: Call, fault: Fault) {
        let rule = self.table.rule(call);
        rule.errno.store(fault.errno as u32, Relaxed);
        rule.most_bytes.store(fault.most_bytes, Relaxed);
        rule.delay_ms.store(fault.delay_ms, Relaxed);
        rule.rearm_ms.store(fault.rearm_ms, Relaxed);
        rule.chance.store(fault.chance, Relaxed);
    }

    pub fn end(&self, call: Call) {
        self.table.rule(call).chance.store(0, Relaxed);
    }

    /// How often calls have failed.
    pub fn struck(&self, call: Call) -> u64 {
        self.table.rule(call).struck.load(Relaxed)
    }

    /// How often any has.
    pub fn all_struck(&self) -> u64 {
        self.table.rules.iter().map(|rule| rule.struck.load(Relaxed)).sum()
    }

    /// The wall clock steps by so many seconds.
    pub fn step_clock(&self, seconds: i64) {
        self.table.clock_step.fetch_add(seconds, Relaxed);
    }
}
