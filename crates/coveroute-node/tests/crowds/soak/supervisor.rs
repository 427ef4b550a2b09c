//! Starts, stops and kills the processes of one node.
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use coveroute::random::Rng;
use coveroute_emu::loopback::resource_usage;

use super::{start, uniform, Run, State, KILL_AFTER, LOST_AFTER, MAX_BUDGET, READY};
use crate::harness::{wait_until, Process, MEMORY_MB};
use crate::system_calls::Faults;

/// An action on a node's process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Reload,
    Stop,
    Kill,
}

/// Draws the actions on one node, ordered by time in seconds after the start.
pub fn signals(rng: &mut Rng) -> Vec<(f64, Signal)> {
    let at = uniform(rng, 1.0, 4.0);
    match rng.draw() {
        roll if roll < 0.2 => vec![(at, Signal::Stop)],
        roll if roll < 0.3 => vec![(at, Signal::Kill)],
        // Several in a row, as when several changes are rolled out.
        roll if roll < 0.5 => (0..3).map(|nth| (at + 0.2 * f64::from(nth), Signal::Reload)).collect(),
        _ => Vec::new(),
    }
}

/// Runs the successive processes of one node and applies the scheduled actions.
pub struct Supervisor<'a> {
    pub run: &'a Run,
    pub at: usize,
    pub faults: &'a Faults,
    pub list: SocketAddr,
    pub process: Process,
}

impl Supervisor<'_> {
    pub fn run(mut self, begun: Instant, signals: Vec<(f64, Signal)>) {
        for (after, signal) in signals {
            let due = begun + Duration::from_secs_f64(after);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.check_process();
            match signal {
                Signal::Reload => self.process.signal(libc::SIGHUP),
                Signal::Stop => self.stop_and_restart(),
                Signal::Kill => self.kill_and_restart(),
            }
        }
        thread::sleep(self.run.end.saturating_duration_since(Instant::now()) + MAX_BUDGET + LOST_AFTER);
        self.check_process();
    }

    /// Checks that the process has not ended by itself and has stayed within its memory limit.
    fn check_process(&mut self) {
        let (node, peak_mb) = (self.process.node, resource_usage(self.process.id()).peak_mb);
        if self.process.has_exited() {
            self.run.record_violation(format!("{node} has exited: {}", self.process.log()));
        }
        if peak_mb > MEMORY_MB {
            self.run.record_violation(format!("{node} took {peak_mb:.1} MB of {MEMORY_MB}"));
        }
    }

    fn set(&self, state: State) {
        self.run.nodes[self.at].state.lock().expect("poisoned lock").0 = state;
    }

    /// Tells the process to stop, kills it as early as the platform would, and starts it again.
    fn stop_and_restart(&mut self) {
        let since = Instant::now();
        self.set(State::Stopping(since));
        self.process.signal(libc::SIGTERM);
        wait_until(KILL_AFTER, || self.process.has_exited());
        self.set(State::Starting);
        self.restart();
    }

    fn kill_and_restart(&mut self) {
        {
            let mut state = self.run.nodes[self.at].state.lock().expect("poisoned lock");
            *state = (State::Killed, state.1 + 1);
        }
        self.process.signal(libc::SIGKILL);
        thread::sleep(Duration::from_millis(200));
        self.restart();
    }

    fn restart(&mut self) {
        self.process = start(self.process.node, self.list, self.faults);
        if !wait_until(READY, || self.process.is_ready()) {
            self.run.record_violation(format!(
                "{} not ready after a restart: {}",
                self.process.node,
                self.process.log()
            ));
        }
        self.set(State::Serving);
    }
}
