//! Who fails: probes with help from others (SWIM: Das, Gupta, Motivala 2002), suspicions that several must share before
//! they end early, and doubt in oneself first (Lifeguard: Dadgar, Phillips, Currey 2017).
use crate::member::Id;

/// The operators' figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    /// A member is probed this often, in seconds. Half of it is left for a plain answer, the rest for help.
    pub every: f64,
    /// So many others are asked to reach who did not answer.
    pub relays: usize,
    /// How long a suspicion that several share stands before it ends in death, for ten members; more by the
    /// logarithm of their number, as words take longer to go round.
    pub suspicion: f64,
    /// A suspicion that nobody shares stands so many times longer.
    pub patience: f64,
    /// Clocks may run fast or slow by this part.
    pub drift: f64,
    /// Bytes a second beyond probes and their answers.
    pub budget: f64,
}

impl Default for Detector {
    /// Chosen on the stage (`docs/measurements.md`): 12 members know of a death within 2 s, and with a third of all
    /// datagrams lost nobody is held to be dead for it.
    fn default() -> Self {
        Detector { every: 0.15, relays: 3, suspicion: 0.4, patience: 6.0, drift: 0.01, budget: 65_536.0 }
    }
}

/// Ticks in `every`: probes are looked at, and suspicions end, by the tick.
pub const TICKS_PER_PERIOD: u64 = 4;
/// Others beyond the first who must share a suspicion for it to end early (Lifeguard's K).
pub const MAX_CONFIRMATIONS: usize = 3;
/// The most that a node doubts itself: its probes wait up to four times longer then.
const MAX_HEALTH_SCORE: u8 = 3;

impl Detector {
    pub fn tick(&self) -> f64 {
        self.every / TICKS_PER_PERIOD as f64
    }

    /// From a suspicion's beginning to its end, when `others` beyond the first share it, of `could` who are not suspected
    /// themselves, among `members` in all. Guards against the smaller side of a cut, where too few are left to share
    /// what they all see: of 5 cut in 3 and 2, the two took 3.02 s.
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

/// How well a node trusts its own ears: 0 for fully.
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

/// A suspicion.
#[derive(Clone, Debug)]
pub struct Suspicion {
    pub began: f64,
    /// Who holds it, as far as is known here.
    pub reported_by: Vec<Id>,
}

impl Suspicion {
    pub fn new(now: f64, by: Id) -> Self {
        Suspicion { began: now, reported_by: vec![by] }
    }

    /// Whether this is one more who counts.
    pub fn confirm(&mut self, by: Id) -> bool {
        let added = self.reported_by.len() <= MAX_CONFIRMATIONS && !self.reported_by.contains(&by);
        if added {
            self.reported_by.push(by);
        }
        added
    }

    /// Who is heard itself, even once, is not given up early on others' word.
    pub fn confirmations(&self, last_heard: f64) -> usize {
        if last_heard > self.began {
            0
        } else {
            self.reported_by.len() - 1
        }
    }
}

/// What a ping is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// To find out whether it lives; whether others are asked by now, and how many of them have said that they tried.
    Probe { asked: usize, failed: usize },
    /// To get records, or to tell something.
    Sync,
    /// For another one who asked, under its number.
    Relay(Id, u64),
}

/// A ping, or another question, that is out.
#[derive(Clone, Copy, Debug)]
pub struct PendingPing {
    pub to: Id,
    pub at: f64,
    pub purpose: Purpose,
}

/// What is to be done about one that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PingStatus {
    Wait,
    /// Ping again, and have others try.
    RequestHelp,
    /// No answer by any way.
    NoReply,
    /// Tell who asked that there is none so far.
    RelayFailed,
    /// Nothing is awaited any more.
    Forget,
}

impl PendingPing {
    /// Late answers still bring records for this many periods; then the number is forgotten.
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
