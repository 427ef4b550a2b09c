//! Schedule of the system-call faults and clock steps of one node.
use std::thread;
use std::time::{Duration, Instant};

use coveroute::random::Rng;

use super::{pick, uniform, DURATION};
use crate::fault_table::Call;
use crate::system_calls::{Fault, Faults};

/// Maximum duration of a fault of one system call in seconds, short enough for a response in time.
const MAX_FAULT_SECONDS: f64 = 0.35;
const WINDOWS_PER_NODE: usize = 8;
const HOUR: i64 = 3600;
const EAGAIN: Fault = Fault { rearm_ms: 20, ..Fault::errno(libc::EAGAIN) };
/// Possible faults; at most one at a time for each system call.
const FAULTS: [(Call, Fault); 18] = [
    (Call::Accept, Fault::errno(libc::EMFILE)),
    (Call::Accept, Fault::errno(libc::ENOBUFS).with_per_mille(900)),
    (Call::Accept, Fault::errno(libc::EINTR).with_per_mille(500)),
    (Call::Socket, Fault::errno(libc::ENFILE)),
    (Call::Connect, Fault::errno(libc::EINTR).with_per_mille(500)),
    (Call::Connect, Fault::errno(libc::EADDRNOTAVAIL).with_per_mille(800)),
    (Call::ReceiveFromClient, EAGAIN),
    (Call::ReceiveFromClient, Fault::short(60, 20)),
    (Call::ReceiveFromClient, Fault::errno(libc::EINTR).with_per_mille(400)),
    (Call::ReceiveFromClient, Fault::errno(libc::ENOMEM).with_per_mille(500)),
    (Call::SendToClient, Fault::short(40, 20)),
    (Call::SendToClient, Fault::errno(libc::ENOBUFS).with_per_mille(500)),
    (Call::SendToServer, Fault::errno(libc::ENOBUFS).with_per_mille(500)),
    (Call::SendToServer, EAGAIN),
    (Call::SendToServer, Fault::short(70, 60)),
    (Call::ReceiveFromServer, Fault::errno(libc::EINTR).with_per_mille(400)),
    (Call::WriteLog, Fault::errno(libc::ENOSPC)),
    (Call::WriteLog, Fault::late(100).with_per_mille(100)),
];

/// Draws the windows in which system calls of one process fail. Windows of the same call are at least a second apart.
fn windows(rng: &mut Rng) -> Vec<(f64, f64, Call, Fault)> {
    let mut windows: Vec<(f64, f64, Call, Fault)> = Vec::new();
    for _ in 0..WINDOWS_PER_NODE {
        let (call, fault) = pick(rng, &FAULTS);
        let from = uniform(rng, 0.3, DURATION.as_secs_f64() - 1.5);
        let to = from + uniform(rng, 0.05, MAX_FAULT_SECONDS);
        let apart =
            |other: &(f64, f64, Call, Fault)| other.2 != call || to + 1.0 < other.0 || other.1 + 1.0 < from;
        if windows.iter().all(apart) {
            windows.push((from, to, call, fault));
        }
    }
    windows
}

/// A change of the faults or of the clock.
#[derive(Clone, Copy, Debug)]
pub enum FaultChange {
    Begin(Call, Fault),
    End(Call),
    StepClock(i64),
}

/// Draws the schedule of one node, ordered by time in seconds after the start.
pub fn fault_schedule(rng: &mut Rng) -> Vec<(f64, FaultChange)> {
    let mut fault_schedule = Vec::new();
    for (from, to, call, fault) in windows(rng) {
        fault_schedule.extend([(from, FaultChange::Begin(call, fault)), (to, FaultChange::End(call))]);
    }
    if rng.draw() < 0.5 {
        let step = if rng.draw() < 0.5 { HOUR } else { -HOUR };
        fault_schedule.push((uniform(rng, 0.0, 6.0), FaultChange::StepClock(step)));
    }
    fault_schedule.sort_by(|a, b| a.0.total_cmp(&b.0));
    fault_schedule
}

pub fn apply_schedule(faults: &Faults, begun: Instant, fault_schedule: Vec<(f64, FaultChange)>) {
    for (after, change) in fault_schedule {
        let due = begun + Duration::from_secs_f64(after);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        match change {
            FaultChange::Begin(call, fault) => faults.begin(call, fault),
            FaultChange::End(call) => faults.end(call),
            FaultChange::StepClock(step) => faults.step_clock(step),
        }
    }
}
