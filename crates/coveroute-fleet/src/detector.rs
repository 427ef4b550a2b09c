//! Failure detector: probes with the help of other members (SWIM: Das, Gupta, Motivala 2002), suspicions that
//! expire early only if several members share them, and a local health score that makes a degraded node more
//! patient (Lifeguard: Dadgar, Phillips, Currey 2017).
use crate::member::Id;

/// Settings of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    /// Probe period in seconds. The first half is left for a direct answer, the rest for indirect probes.
    pub every: f64,
    /// Number of members asked to probe a member that did not answer.
    pub relays: usize,
    /// Seconds until a shared suspicion turns into death, in a fleet of ten. Grows with the logarithm of the number
    /// of members, as updates take longer to spread.
    pub suspicion: f64,
    /// Factor by which a suspicion that no other member shares lasts longer.
    pub patience: f64,
    /// Maximum clock drift, as a fraction of true time, in either direction.
    pub drift: f64,
    /// Bytes per second for messages other than probes and their answers.
    pub budget: f64,
}

impl Default for Detector {
    /// With these values 12 members learn of a death within 2 s, and no member is considered dead because a third of
    /// all datagrams is lost (`docs/measurements.md`).
    fn default() -> Self {
        Detector { every: 0.15, relays: 3, suspicion: 0.4, patience: 6.0, drift: 0.01, budget: 65_536.0 }
    }
}

/// Ticks per detector period. Pending pings and suspicions are checked once per tick.
pub const TICKS_PER_PERIOD: u64 = 4;
/// Members, beyond the first, that must share a suspicion for it to expire early (K in Lifeguard).
pub const MAX_CONFIRMATIONS: usize = 3;
/// Upper limit of the health score: probe and suspicion timeouts grow by a factor of up to 4.
const MAX_HEALTH_SCORE: u8 = 3;

impl Detector {
    pub fn tick(&self) -> f64 {
        self.every / TICKS_PER_PERIOD as f64
    }

    /// Seconds from the start of a suspicion to its expiry, with `confirmations` from members beyond the first.
    /// `trusted` counts the members that are not suspected themselves; `members` counts all. The confirmations
    /// needed are limited to `trusted` because on the smaller side of a network partition too few members are left
    /// to confirm what all of them see: of 5 members split 3 to 2, the two took 3.02 s.
    pub fn suspicion_timeout(
        &self,
        confirmations: usize,
        trusted: usize,
        members: usize,
        health: Health,
    ) -> f64 {
        let shortest = self.suspicion * (members.max(10) as f64).log10();
        let longest = shortest * self.patience.max(1.0);
        let needed = MAX_CONFIRMATIONS.min(trusted);
        if confirmations >= needed && needed > 0 {
            return shortest;
        }
        let fraction = (1.0 + confirmations as f64).ln() / (1.0 + needed.max(1) as f64).ln();
        (longest - (longest - shortest) * fraction).max(shortest) * health.multiplier()
    }
}

/// Local health score: 0 is healthy; higher values mean that this node may itself be slow or cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health(u8);

impl Health {
    pub fn degrade(&mut self) {
        self.0 = (self.0 + 1).min(MAX_HEALTH_SCORE);
    }

    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    pub fn multiplier(self) -> f64 {
        1.0 + f64::from(self.0)
    }

    pub fn score(self) -> u8 {
        self.0
    }
}

/// A suspicion that a member has failed.
#[derive(Clone, Debug)]
pub struct Suspicion {
    pub began: f64,
    /// Members known here to share it.
    pub reported_by: Vec<Id>,
}

impl Suspicion {
    pub fn new(now: f64, by: Id) -> Self {
        Suspicion { began: now, reported_by: vec![by] }
    }

    /// Adds a reporter. Returns false if it is already known or no more are needed.
    pub fn confirm(&mut self, by: Id) -> bool {
        let added = self.reported_by.len() <= MAX_CONFIRMATIONS && !self.reported_by.contains(&by);
        if added {
            self.reported_by.push(by);
        }
        added
    }

    /// Confirmations that count. None do if the member was heard directly since the suspicion began, so that other
    /// members' reports alone don't expire it early.
    pub fn confirmations(&self, last_heard: f64) -> usize {
        if last_heard > self.began {
            0
        } else {
            self.reported_by.len() - 1
        }
    }
}

/// The purpose of a ping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// Checks that the member is alive. `asked` counts the members asked to probe it too, and `failed` those of
    /// them that reported no answer.
    Probe { asked: usize, failed: usize },
    /// Exchanges records or updates.
    Sync,
    /// Probes on behalf of another member, under that member's request number.
    Relay(Id, u64),
}

/// A ping or other request that awaits its answer.
#[derive(Clone, Copy, Debug)]
pub struct PendingPing {
    pub to: Id,
    pub at: f64,
    pub purpose: Purpose,
}

/// What to do about a pending ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PingStatus {
    Wait,
    /// Ping again and ask other members to probe.
    RequestHelp,
    /// Neither a direct nor an indirect answer arrived.
    NoReply,
    /// Report to the requester that there is no answer so far.
    RelayFailed,
    /// Drop it; no answer is expected any more.
    Forget,
}

impl PendingPing {
    /// Requests are remembered for this many periods, as late answers still bring records.
    const KEPT_PERIODS: f64 = 25.0;

    pub fn status(&self, now: f64, detector: &Detector, health: Health) -> PingStatus {
        let (waited, every) = (now - self.at, detector.every);
        match self.purpose {
            Purpose::Probe { .. } if waited >= every * health.multiplier() - 1e-9 => PingStatus::NoReply,
            Purpose::Probe { asked: 0, .. } if waited >= every / 2.0 - 1e-9 => PingStatus::RequestHelp,
            Purpose::Relay(..) if waited >= every / 2.0 - 1e-9 => PingStatus::RelayFailed,
            _ if waited > every * Self::KEPT_PERIODS => PingStatus::Forget,
            _ => PingStatus::Wait,
        }
    }
}
