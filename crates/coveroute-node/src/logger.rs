//! Log lines on standard error: time, level, unit and words.
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

struct Stderr;

impl Log for Stderr {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // The libraries call each client's mistake an error: their lines are for those who look for them.
        let own = metadata.target().starts_with(env!("CARGO_BIN_NAME"));
        metadata.level() <= log::max_level() && (own || log::max_level() >= LevelFilter::Debug)
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |unix| unix.as_secs_f64());
        let unit = record.target().rsplit("::").next().unwrap_or_default();
        // A log that can't be written must not stop the node.
        let _ = writeln!(std::io::stderr(), "{unix:.3} {:5} {unit}: {}", record.level(), record.args());
    }

    fn flush(&self) {}
}

pub fn start(level: LevelFilter) {
    if log::set_logger(&Stderr).is_ok() {
        log::set_max_level(level);
    }
}
