//! Logger: writes log lines to standard error: time, level, module and message.
use std::io::Write;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Maximum number of lines written per second; unlimited at the levels debug and trace. Otherwise clients
/// could fill a disk or take up a core with messages about them; the node's own messages are a few lines per
/// second.
const MAX_LINES_PER_SECOND: u32 = 100;

/// Limits the lines per second: counts those of the current second.
#[derive(Debug)]
pub struct RateLimiter {
    pub second: u64,
    pub lines: u32,
}

/// Whether a line is written.
#[derive(Debug, PartialEq)]
pub enum Decision {
    Written,
    /// Written, after this many lines were left out.
    WrittenAfter(u32),
    LeftOut,
}

impl RateLimiter {
    /// Decides on a line in the given second.
    pub fn decide(&mut self, second: u64) -> Decision {
        let left_out = self.lines.saturating_sub(MAX_LINES_PER_SECOND);
        if self.second != second {
            (self.second, self.lines) = (second, 1);
            return if left_out > 0 { Decision::WrittenAfter(left_out) } else { Decision::Written };
        }
        self.lines = self.lines.saturating_add(1);
        if self.lines > MAX_LINES_PER_SECOND {
            Decision::LeftOut
        } else {
            Decision::Written
        }
    }
}

struct Stderr(Mutex<RateLimiter>);

impl Log for Stderr {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // Libraries log every client mistake as an error: their lines are shown only from debug on.
        let own = metadata.target().starts_with(env!("CARGO_BIN_NAME"));
        metadata.level() <= log::max_level() && (own || log::max_level() >= LevelFilter::Debug)
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |unix| unix.as_secs_f64());
        let module = record.target().rsplit("::").next().unwrap_or_default();
        let all = log::max_level() >= LevelFilter::Debug;
        let decision = self.0.lock().map_or(Decision::Written, |mut limiter| limiter.decide(unix as u64));
        // Errors are ignored: a log that can't be written must not stop the node.
        match decision {
            Decision::LeftOut if !all => return,
            Decision::WrittenAfter(lines) if !all => {
                let _ = writeln!(std::io::stderr(), "{unix:.3} WARN  logger: {lines} lines left out");
            }
            _ => {}
        }
        let _ = writeln!(std::io::stderr(), "{unix:.3} {:5} {module}: {}", record.level(), record.args());
    }

    fn flush(&self) {}
}

/// Installs the logger.
pub fn start(level: LevelFilter) {
    static LOGGER: Stderr = Stderr(Mutex::new(RateLimiter { second: 0, lines: 0 }));
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(level);
    }
}
