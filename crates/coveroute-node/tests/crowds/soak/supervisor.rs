//! Who starts and ends the processes of one node.
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use coveroute::chance::Chance;

use super::{between, start, Run, State, KILLED_AFTER, LONGEST, LOST_AFTER, READY};
use crate::stand_in::{until, Process};
use crate::system_calls::Faults;

/// What is done to one node's process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Reread,
    Stop,
    Kill,
}

/// In order of time.
pub fn signals(chance: &mut Chance) -> Vec<(f64, Signal)> {
    let at = between(chance, 1.0, 4.0);
    match chance.draw() {
        lot if lot < 0.2 => vec![(at, Signal::Stop)],
        lot if lot < 0.3 => vec![(at, Signal::Kill)],
        // In series, as when several things are rolled out.
        lot if lot < 0.5 => (0..3).map(|nth| (at + 0.2 * f64::from(nth), Signal::Reread)).collect(),
        _ => Vec::new(),
    }
}

/// One node's processes, one after the other, and what is done to them.
pub struct Supervisor<'a> {
    pub run: &'a Run,
    pub at: usize,
    pub faults: &'a Faults,
    pub list: SocketAddr,
    pub process: Process,
}

impl Supervisor<'_> {
    pub fn supervises(mut self, begun: Instant, signals: Vec<(f64, Signal)>) {
        for (after, signal) in signals {
            let due = begun + Duration::from_secs_f64(after);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            match signal {
                Signal::Reread => self.process.signal(libc::SIGHUP),
                Signal::Stop => self.stops(),
                Signal::Kill => self.is_killed(),
            }
        }
        thread::sleep(self.run.end.saturating_duration_since(Instant::now()) + LONGEST + LOST_AFTER);
        if self.process.has_ended() {
            self.run.breaks(format!("{} has ended: {}", self.process.node, self.process.log()));
        }
    }

    fn set(&self, state: State) {
        self.run.nodes[self.at].state.lock().expect("a lock").0 = state;
    }

    /// Told to stop; killed as early as the platform does, and started again.
    fn stops(&mut self) {
        let since = Instant::now();
        self.set(State::Stops(since));
        self.process.signal(libc::SIGTERM);
        until(KILLED_AFTER, || self.process.has_ended());
        self.set(State::Starts);
        self.restarts();
    }

    fn is_killed(&mut self) {
        {
            let mut state = self.run.nodes[self.at].state.lock().expect("a lock");
            *state = (State::Killed, state.1 + 1);
        }
        self.process.signal(libc::SIGKILL);
        thread::sleep(Duration::from_millis(200));
        self.restarts();
    }

    fn restarts(&mut self) {
        self.process = start(self.process.node, self.list, self.faults);
        if !until(READY, || self.process.is_ready()) {
            self.run.breaks(format!(
                "{} not ready after a restart: {}",
                self.process.node,
                self.process.log()
            ));
        }
        self.set(State::Serves);
    }
}
