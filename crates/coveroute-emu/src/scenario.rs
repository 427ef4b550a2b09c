//! A scenario: one TOML file, strictly parsed. Errors name the line, the key and the allowed values.
use std::path::Path;

use coveroute_fleet::config::format_toml_error;
use serde::{Deserialize, Serialize};

macro_rules! bounded_number {
    ($name:ident, $words:literal, $fits:expr) => {
        #[doc = concat!("A number: ", $words, ".")]
        #[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(pub f64);

        impl TryFrom<f64> for $name {
            type Error = String;

            fn try_from(value: f64) -> Result<Self, String> {
                let fits: fn(f64) -> bool = $fits;
                if fits(value) {
                    Ok($name(value))
                } else {
                    Err(format!(concat!("{} is not ", $words), value))
                }
            }
        }

        impl From<$name> for f64 {
            fn from(number: $name) -> f64 {
                number.0
            }
        }
    };
}

bounded_number!(Span, "a time in seconds, 0 to 86400", |v| (0.0..=86_400.0).contains(&v));
bounded_number!(Positive, "a number over 0, 1e9 at most", |v| v > 0.0 && v <= 1e9);
bounded_number!(Amount, "a number of 0 or more, 1e9 at most", |v| (0.0..=1e9).contains(&v));
bounded_number!(Part, "a part, 0 to 1", |v| (0.0..=1.0).contains(&v));

/// A count, limited to what a machine can hold.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(try_from = "u64", into = "u64")]
pub struct Count(pub usize);

impl TryFrom<u64> for Count {
    type Error = String;

    fn try_from(value: u64) -> Result<Self, String> {
        match usize::try_from(value).ok().filter(|count| *count <= 100_000) {
            Some(count) => Ok(Count(count)),
            None => Err(format!("{value} is not a count, 0 to 100000")),
        }
    }
}

impl From<Count> for u64 {
    fn from(count: Count) -> u64 {
        count.0 as u64
    }
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// What it tests, for reports.
    #[serde(default)]
    pub about: String,
    /// How long new invocations arrive. Those outstanding at the end are served to completion.
    pub seconds: Positive,
    #[serde(default)]
    pub seed: u64,
    pub nodes: Nodes,
    pub workers: Vec<Workers>,
    pub operations: Vec<Operation>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub platform: Platform,
    /// The fleet: nodes that know each other, over links that can fail.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetSettings>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// How the nodes of a fleet know each other; the members are n0, n1 and so on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Interval at which a member is probed.
    pub every: Positive,
    /// One-way latency between nodes; each datagram adds a random delay of up to as much again.
    pub latency: Span,
    /// Each node's clock runs fast or slow by up to this fraction; in virtual time only.
    pub drift: Part,
    /// Interval in seconds at which each node writes a record; 0 for never. In virtual time only.
    pub writes: Span,
    /// Members that the operators' file names but that never start.
    pub absent: Count,
}

impl Default for FleetSettings {
    fn default() -> Self {
        let (every, latency, drift) = (Positive(0.15), Span(0.0005), Part(0.01));
        FleetSettings { every, latency, drift, writes: Span(0.0), absent: Count(0) }
    }
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    pub count: Count,
    /// Nodes are distributed over these zones in turn; over the workers' zones if empty.
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default = "sockets")]
    pub sockets: Count,
    #[serde(default = "memory_mb")]
    pub memory_mb: Count,
}

fn sockets() -> Count {
    Count(512)
}

fn memory_mb() -> Count {
    Count(128)
}

/// A group of identical workers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workers {
    pub count: Count,
    pub zone: String,
    pub kind: String,
    /// Number of cells that the workers are distributed over.
    pub cells: Count,
    /// Jobs that run at a time, and the cores that they share.
    pub slots: Count,
    pub cores: Positive,
    /// Speed relative to a standard core.
    pub speed: Positive,
    /// Memory units; 0 for one per slot.
    pub memory: Amount,
    /// Jobs that may wait beyond the slots; further ones are rejected.
    pub queue: Count,
    /// Maximum number of connections.
    pub connections: Count,
    /// Delay until an accepted job is acknowledged.
    pub acknowledges: Span,
}

impl Default for Workers {
    fn default() -> Self {
        Workers {
            count: Count(1),
            zone: "a".into(),
            kind: "standard".into(),
            cells: Count(1),
            slots: Count(4),
            cores: Positive(4.0),
            speed: Positive(1.0),
            memory: Amount(0.0),
            queue: Count(8),
            connections: Count(1000),
            acknowledges: Span(0.001),
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    pub name: String,
    pub effect: Effect,
    /// For a deduplicated operation: which workers drop each other's repeats, and for how long.
    #[serde(default)]
    pub group: Group,
    #[serde(default)]
    pub window: Span,
    /// Invocations per second, over all nodes.
    pub rate: Amount,
    /// Median running time on a standard core, and the standard deviation of its logarithm.
    pub work: Positive,
    #[serde(default)]
    pub spread: Amount,
    /// Heavy invocations: their fraction, and the multiple of the work that they take.
    #[serde(default)]
    pub heavy: Part,
    #[serde(default = "ten")]
    pub heavy_times: Positive,
    /// An answer is in time within this long plus `stretch` times the operation's own running time.
    pub objective: Positive,
    #[serde(default)]
    pub stretch: Amount,
    /// The client gives up after this long.
    pub timeout: Positive,
    #[serde(default = "one")]
    pub value: Positive,
    #[serde(default)]
    pub late_value: Part,
    /// The machine kind that it needs, if any.
    #[serde(default)]
    pub kind: Option<String>,
    /// Memory units that it takes.
    #[serde(default)]
    pub memory: Amount,
    /// Standard deviation of the logarithm of the hints about the work; no hints are given without it.
    #[serde(default)]
    pub hint: Option<Amount>,
}

fn one() -> Positive {
    Positive(1.0)
}

fn ten() -> Positive {
    Positive(10.0)
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Fraction of all invocations that belong to the tenant.
    pub part: Part,
    /// Invocations per second that its share allows, over all nodes; 0 for no limit.
    #[serde(default)]
    pub share: Amount,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of tries for an invocation.
    pub tries: Count,
    /// Minimum delay between tries, plus a random delay of up to as much again. A longer pause requested by
    /// the node is respected.
    pub wait: Span,
    /// Delay until the front end notices that a node has died.
    pub notices: Span,
    /// Fraction of the clients that leave midway, before their deadline.
    pub leave: Part,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { tries: Count(3), wait: Span(0.2), notices: Span(2.0), leave: Part(0.0) }
    }
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way latency within a zone and between zones. Each message varies by a quarter either way.
    pub latency: Span,
    pub crossing: Span,
}

impl Default for Network {
    fn default() -> Self {
        Network { latency: Span(0.0005), crossing: Span(0.002) }
    }
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Delay from a change to its announcement; each watch adds a random delay of up to as much again.
    pub lag: Span,
    /// A drain is announced this long before the worker ends.
    pub drains: Span,
    /// Lines that the service processes per second, for calls and changes alike; 0 for no limit.
    pub lines: Amount,
    /// Cost of a call in lines, in addition to the lines that answer it.
    pub call: Amount,
    /// A call that would wait longer is refused after this long, but is still processed.
    pub patience: Positive,
    /// Restarted nodes are given the list that they last had; otherwise they start with an empty one.
    pub known: bool,
}

impl Default for Discovery {
    fn default() -> Self {
        let (lines, call, patience) = (Amount(0.0), Amount(50.0), Positive(2.0));
        Discovery { lag: Span(0.5), drains: Span(5.0), lines, call, patience, known: true }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    #[default]
    Answers,
    Probes,
    Never,
}

/// What nodes are told of the platform, and the limits that the platform enforces.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    pub forwards: Count,
    pub cancelling: bool,
    pub probing: bool,
    /// Nodes tell each other what they hold; in virtual time only.
    pub peers: bool,
    pub reports: Reports,
    /// Age of load reports.
    pub report_age: Span,
    /// Interval of progress messages; 0 for none.
    pub progress: Span,
    pub tells_start: bool,
    /// The longest pause that clients honour; 0 for none.
    pub pause: Span,
    pub dial: Positive,
    pub idle: Positive,
    /// Forwards to a draining or gone worker are a breach from this long after the node was told.
    pub grace: Span,
    /// A change that was not announced counts as known after this long.
    pub told_latest: Span,
    /// Tolerance for late answers.
    pub slack: Span,
    pub cold: Cold,
}

impl Default for Platform {
    fn default() -> Self {
        Platform {
            forwards: Count(4),
            cancelling: true,
            probing: true,
            peers: false,
            reports: Reports::Answers,
            report_age: Span(0.0),
            progress: Span(1.0),
            tells_start: true,
            pause: Span(2.0),
            dial: Positive(0.25),
            idle: Positive(60.0),
            grace: Span(0.55),
            told_latest: Span(6.0),
            slack: Span(0.05),
            cold: Cold::default(),
        }
    }
}

/// A cold worker: the fraction of its capacity at the start, the time until it is warm, and the load that
/// makes it fail: `factor` times its capacity within `fall` seconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    pub start: Part,
    pub warm: Positive,
    pub factor: Positive,
    pub fall: Positive,
}

impl Default for Cold {
    fn default() -> Self {
        Cold { start: Part(0.3), warm: Positive(9.0), factor: Positive(4.0), fall: Positive(2.0) }
    }
}

/// An injected fault: when, for how long, and where.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: Span,
    /// 0 for a momentary fault, or one that lasts to the end.
    #[serde(default, rename = "for")]
    pub lasts: Span,
    pub what: FaultKind,
    /// The strength, for faults that have one: a fraction (`stolen`, `errors`, `loses`, `gives-back`,
    /// `resets-before`, `resets-after`), seconds (`late-news`, `slow-acks`, `old-reports`, `latency`,
    /// `list-late`), a multiple (`surge`, `heavy`) or a count (`connections`).
    #[serde(default)]
    pub by: Option<Amount>,
    /// How many workers or nodes, drawn by the seed from those that the other keys select; all without it.
    #[serde(default)]
    pub count: Option<Count>,
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(default)]
    pub kind: Option<String>,
    /// For links: only those between these nodes and the others; all links without it. Excludes `count` and
    /// `zone`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<Vec<usize>>,
    /// For links: the direction.
    #[serde(default, skip_serializing_if = "Direction::is_both")]
    pub way: Direction,
    /// For links: the fault is on and off for this long in turn; 0 for permanently on.
    #[serde(default, skip_serializing_if = "is_nil")]
    pub flaps: Span,
}

fn is_nil(span: &Span) -> bool {
    span.0 == 0.0
}

/// The traffic that a link fault affects: what the named nodes send, what they receive, or both.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    #[default]
    Both,
    Out,
    In,
}

impl Direction {
    fn is_both(&self) -> bool {
        *self == Direction::Both
    }
}

/// The kind of a fault, in workers, the network, discovery, nodes or clients.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Accepts and runs jobs but sends nothing; sends the results when the fault ends.
    Silent,
    /// Like `Silent`, but the worker dies at the end.
    SilentThenDies,
    /// The process is suspended, then resumes.
    Pause,
    /// Other load takes this fraction of its cores.
    Stolen,
    /// Answers this fraction of the jobs at once with an error.
    Errors,
    /// Accepts this fraction of the jobs and loses them.
    Loses,
    /// Accepts this fraction of the jobs and gives them back unstarted.
    GivesBack,
    LateNews,
    /// Sends all news twice.
    DoubledNews,
    SlowAcks,
    OldReports,
    /// Limits the number of connections.
    Connections,
    /// The process dies and, unless the fault lasts to the end, starts again as a new process.
    Dies,
    /// The machine vanishes: nothing is answered, and nothing is refused.
    Vanishes,
    /// Leaves in order: drains, ends, and comes back as a new process.
    Drains,
    /// A rolling release: the workers drain and restart in turn, spread over the fault's duration.
    Release,
    /// Connections to workers break before the last byte of a job, or after it.
    ResetsBefore,
    ResetsAfter,
    Latency,
    /// No messages pass between the zone and the others.
    Partition,
    ListDown,
    ListLate,
    /// The service stays up but sends no more changes.
    ListStale,
    /// The service loses its state for a while: its lists are empty.
    ListEmpty,
    /// Nodes are killed, and start again at the end.
    NodesKilled,
    /// Nodes are asked to stop, and start again at the end.
    NodesStop,
    NodesReload,
    /// Nodes get a truncated configuration, then one with other settings.
    NodesRetune,
    /// A new process starts beside each node's and takes its place. On loopback only.
    NodesReplace,
    /// Multiplies the rate of invocations.
    Surge,
    /// Multiplies the work of each invocation.
    Heavy,
    /// Nodes are suspended (SIGSTOP), then resume as if no time had passed.
    NodesStall,
    /// Nodes are killed, and start again at the end with their clock set back. In virtual time only.
    NodesSetBack,
    /// Faults of links between nodes, for the fleet's datagrams only: everything is lost, a fraction is
    /// lost, or datagrams are delayed by up to `by` seconds, duplicated, reordered, corrupted, or limited to
    /// `by` bytes per second.
    LinkCut,
    LinkLoss,
    LinkDelay,
    LinkDoubles,
    LinkReorders,
    LinkCorrupts,
    LinkSlow,
}

/// Where a fault takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultScope {
    Workers,
    Network,
    List,
    Nodes,
    Clients,
    Links,
}

/// The unit of a fault's strength.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strength {
    None,
    Part,
    Seconds,
    Times,
    Count,
    Rate,
}

impl FaultKind {
    /// The faults that search adds for fleets.
    pub const FLEET: [FaultKind; 9] = [
        FaultKind::LinkCut,
        FaultKind::LinkLoss,
        FaultKind::LinkDelay,
        FaultKind::LinkDoubles,
        FaultKind::LinkReorders,
        FaultKind::LinkCorrupts,
        FaultKind::LinkSlow,
        FaultKind::NodesStall,
        FaultKind::NodesSetBack,
    ];

    /// The faults that search draws from: all that virtual time supports without a fleet. The order is
    /// fixed, since recorded seeds depend on it.
    pub const ALL: [FaultKind; 29] = [
        FaultKind::Silent,
        FaultKind::SilentThenDies,
        FaultKind::Pause,
        FaultKind::Stolen,
        FaultKind::Errors,
        FaultKind::Loses,
        FaultKind::GivesBack,
        FaultKind::LateNews,
        FaultKind::DoubledNews,
        FaultKind::SlowAcks,
        FaultKind::OldReports,
        FaultKind::Connections,
        FaultKind::Dies,
        FaultKind::Vanishes,
        FaultKind::Drains,
        FaultKind::Release,
        FaultKind::ResetsBefore,
        FaultKind::ResetsAfter,
        FaultKind::Latency,
        FaultKind::Partition,
        FaultKind::ListDown,
        FaultKind::ListLate,
        FaultKind::ListStale,
        FaultKind::ListEmpty,
        FaultKind::NodesKilled,
        FaultKind::NodesStop,
        FaultKind::NodesReload,
        FaultKind::Surge,
        FaultKind::Heavy,
    ];

    pub fn scope(self) -> FaultScope {
        match self {
            FaultKind::ResetsBefore | FaultKind::ResetsAfter | FaultKind::Latency | FaultKind::Partition => {
                FaultScope::Network
            }
            FaultKind::ListDown | FaultKind::ListLate | FaultKind::ListStale | FaultKind::ListEmpty => {
                FaultScope::List
            }
            FaultKind::NodesKilled
            | FaultKind::NodesStop
            | FaultKind::NodesReload
            | FaultKind::NodesRetune
            | FaultKind::NodesReplace
            | FaultKind::NodesStall
            | FaultKind::NodesSetBack => FaultScope::Nodes,
            FaultKind::LinkCut
            | FaultKind::LinkLoss
            | FaultKind::LinkDelay
            | FaultKind::LinkDoubles
            | FaultKind::LinkReorders
            | FaultKind::LinkCorrupts
            | FaultKind::LinkSlow => FaultScope::Links,
            FaultKind::Surge | FaultKind::Heavy => FaultScope::Clients,
            _ => FaultScope::Workers,
        }
    }

    pub fn strength(self) -> Strength {
        match self {
            FaultKind::Stolen | FaultKind::Errors | FaultKind::Loses | FaultKind::GivesBack => Strength::Part,
            FaultKind::ResetsBefore | FaultKind::ResetsAfter => Strength::Part,
            FaultKind::LateNews | FaultKind::SlowAcks | FaultKind::OldReports => Strength::Seconds,
            FaultKind::Latency | FaultKind::ListLate => Strength::Seconds,
            FaultKind::Surge | FaultKind::Heavy => Strength::Times,
            FaultKind::Connections => Strength::Count,
            FaultKind::LinkLoss
            | FaultKind::LinkDoubles
            | FaultKind::LinkReorders
            | FaultKind::LinkCorrupts => Strength::Part,
            FaultKind::LinkDelay => Strength::Seconds,
            FaultKind::LinkSlow => Strength::Rate,
            _ => Strength::None,
        }
    }
}

impl Fault {
    pub fn new(what: FaultKind, at: f64, lasts: f64) -> Self {
        let (way, flaps) = (Direction::Both, Span(0.0));
        let (by, count, zone, kind, nodes) = (None, None, None, None, None);
        Fault { at: Span(at), lasts: Span(lasts), what, by, count, zone, kind, nodes, way, flaps }
    }

    pub fn strength(&self) -> f64 {
        self.by.map_or(0.0, |by| by.0)
    }

    /// The end of the fault; infinite without a duration.
    pub fn until(&self) -> f64 {
        if self.lasts.0 > 0.0 {
            self.at.0 + self.lasts.0
        } else {
            f64::INFINITY
        }
    }
}

impl Scenario {
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| format_toml_error(text, &e))?;
        scenario.check().map_err(|(key, nth, message)| match line_of(text, key, nth) {
            Some(line) => format!("line {line}: {key}: {message}"),
            None => format!("{key}: {message}"),
        })?;
        Ok(scenario)
    }

    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = Vec::new();
        let named = self.workers.iter().map(|w| &w.zone).chain(&self.nodes.zones);
        for zone in named {
            if !zones.contains(zone) {
                zones.push(zone.clone());
            }
        }
        zones
    }

    /// Checks that concern several values. Returns the key, its index among tables of that name, and the
    /// problem.
    fn check(&self) -> Result<(), (&'static str, usize, String)> {
        let fault = |key, nth, message: String| Err((key, nth, message));
        if self.nodes.count.0 == 0 {
            return fault("nodes", 0, "count: at least one node is needed".into());
        }
        if self.workers.iter().all(|w| w.count.0 == 0) {
            return fault("workers", 0, "at least one worker is needed".into());
        }
        for (at, workers) in self.workers.iter().enumerate() {
            if workers.slots.0 == 0 || workers.cells.0 == 0 || workers.connections.0 == 0 {
                return fault("workers", at, "slots, cells and connections must be 1 or more".into());
            }
        }
        if self.operations.is_empty() {
            return fault("operations", 0, "at least one operation is needed".into());
        }
        for (at, op) in self.operations.iter().enumerate() {
            let same = |other: &Operation| other.name == op.name;
            if self.operations[..at].iter().any(same) {
                return fault("operations", at, format!("name {} is used twice", op.name));
            }
            let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
            if op.name.is_empty() || !op.name.bytes().all(plain) {
                return fault(
                    "operations",
                    at,
                    format!("name {:?}: letters, digits and - are allowed", op.name),
                );
            }
            if op.timeout.0 < op.objective.0 {
                return fault("operations", at, "timeout must not be less than the objective".into());
            }
            let deduplicated = op.effect == Effect::Deduplicated;
            if deduplicated && op.window.0 <= 0.0 {
                return fault("operations", at, "a deduplicated operation needs a window over 0".into());
            }
            let known = |kind: &String| self.workers.iter().any(|w| w.kind == *kind);
            if let Some(kind) = op.kind.as_ref().filter(|kind| !known(kind)) {
                return fault("operations", at, format!("kind {kind}: no worker has it"));
            }
        }
        if self.tenants.iter().map(|t| t.part.0).sum::<f64>() > 1.0 + 1e-9 {
            return fault("tenants", 0, "the parts add up to more than 1".into());
        }
        if self.clients.tries.0 == 0 {
            return fault("clients", 0, "tries: at least one is needed".into());
        }
        self.faults.iter().enumerate().try_for_each(|(at, f)| self.check_fault(at, f))
    }

    fn check_fault(&self, at: usize, f: &Fault) -> Result<(), (&'static str, usize, String)> {
        let fault = |message: String| Err(("faults", at, message));
        let fits = match (f.what.strength(), f.by) {
            (Strength::None, None) => true,
            (Strength::Part, Some(by)) => by.0 <= 1.0,
            (Strength::Seconds, Some(by)) => by.0 <= 600.0,
            (Strength::Times, Some(by)) => by.0 <= 1000.0,
            (Strength::Count, Some(by)) => by.0.fract() == 0.0,
            (Strength::Rate, Some(by)) => by.0 >= 1.0,
            _ => false,
        };
        if !fits {
            let allowed = match f.what.strength() {
                Strength::None => "none",
                Strength::Part => "a part, 0 to 1",
                Strength::Seconds => "seconds, 0 to 600",
                Strength::Times => "times, 0 to 1000",
                Strength::Count => "a whole number",
                Strength::Rate => "bytes a second, 1 or more",
            };
            return fault(format!("by: {:?} takes {allowed}", f.what));
        }
        if f.at.0 > self.seconds.0 {
            return fault(format!("at: {} is after the end of the scenario", f.at.0));
        }
        if let Some(zone) = f.zone.as_ref().filter(|zone| !self.zones().contains(zone)) {
            return fault(format!("zone {zone}: no worker or node is in it"));
        }
        if let Some(kind) = f.kind.as_ref().filter(|kind| !self.workers.iter().any(|w| w.kind == **kind)) {
            return fault(format!("kind {kind}: no worker has it"));
        }
        if f.what == FaultKind::Partition && f.zone.is_none() {
            return fault("zone: a partition needs a zone".into());
        }
        let links = f.what.scope() == FaultScope::Links;
        if links && self.fleet.is_none() {
            return fault(format!("what: {:?} needs a table [fleet]", f.what));
        }
        if !links && (f.nodes.is_some() || f.way != Direction::Both || f.flaps.0 > 0.0) {
            return fault(format!("nodes, way, flaps: {:?} does not take them", f.what));
        }
        if let Some(node) = f.nodes.iter().flatten().find(|node| **node >= self.nodes.count.0) {
            return fault(format!("nodes: {node} is not one of {}", self.nodes.count.0));
        }
        if f.nodes.is_some() && (f.count.is_some() || f.zone.is_some()) {
            return fault("nodes: not together with count or zone".into());
        }
        let counted = matches!(f.what.scope(), FaultScope::Workers | FaultScope::Nodes | FaultScope::Links);
        if f.count.is_some() && !counted {
            return fault(format!("count: {:?} does not take it", f.what));
        }
        Ok(())
    }

    pub fn text(&self) -> String {
        toml::to_string_pretty(self).unwrap_or_else(|e| format!("# {e}\n"))
    }
}

/// The line of the nth table of that name.
fn line_of(text: &str, key: &str, nth: usize) -> Option<usize> {
    let heads = [format!("[[{key}]]"), format!("[{key}]")];
    let is_head = |line: &str| heads.iter().any(|head| line.trim() == head);
    text.lines().enumerate().filter(|(_, line)| is_head(line)).nth(nth).map(|(at, _)| at + 1)
}

#[cfg(test)]
mod tests;
