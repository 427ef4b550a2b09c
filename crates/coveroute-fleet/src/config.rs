//! The operators' file: the list of members and the settings of each component. Parsing is strict: an error is
//! reported on one line, with the key and the allowed values.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::detector::Detector;
use crate::member::Id;
use crate::rights::{limit_id, Limit, LimitTerms};

/// A member as listed in the file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberConfig {
    pub address: SocketAddr,
    #[serde(default)]
    pub zone: String,
    /// Nodes on the same machine fail together.
    #[serde(default)]
    pub machine: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Records {
    /// Seconds until a record expires that its owner does not write again.
    pub life: f64,
    /// Upper limit on records per member.
    pub most: usize,
}

impl Default for Records {
    fn default() -> Self {
        Records { life: 600.0, most: 256 }
    }
}

/// Fleet-wide limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Enforces tenants' shares over all nodes, by transferring rights between them. If false, each node enforces
    /// an equal part of each share.
    pub tenants: bool,
    /// Seconds over which a share is measured.
    pub window: f64,
    /// Seconds for which a mint is leased. A dead member's part of each limit is unavailable for about as long.
    pub lease: f64,
    /// Members that grant the mints' leases; the first five by name if empty.
    pub voters: Vec<String>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { tenants: false, window: 10.0, lease: 2.0, voters: Vec::new() }
    }
}

/// Number of voters if none are configured: two of the five may fail.
const DEFAULT_VOTERS: usize = 5;

#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Messages of other fleets are dropped.
    pub fleet: String,
    pub members: BTreeMap<String, MemberConfig>,
    pub detector: Detector,
    pub records: Records,
    pub limits: Limits,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: String,
    members: BTreeMap<String, MemberConfig>,
    #[serde(default)]
    detector: DetectorFile,
    #[serde(default)]
    records: Records,
    #[serde(default)]
    limits: Limits,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct DetectorFile {
    every: Option<f64>,
    relays: Option<usize>,
    suspicion: Option<f64>,
    patience: Option<f64>,
    drift: Option<f64>,
    budget: Option<f64>,
}

impl DetectorFile {
    fn detector(self) -> Detector {
        let defaults = Detector::default();
        Detector {
            every: self.every.unwrap_or(defaults.every),
            relays: self.relays.unwrap_or(defaults.relays),
            suspicion: self.suspicion.unwrap_or(defaults.suspicion),
            patience: self.patience.unwrap_or(defaults.patience),
            drift: self.drift.unwrap_or(defaults.drift),
            budget: self.budget.unwrap_or(defaults.budget),
        }
    }
}

impl FleetConfig {
    pub fn parse(text: &str) -> Result<Self, String> {
        let file: File = toml::from_str(text).map_err(|e| format_toml_error(text, &e))?;
        let File { fleet, members, detector, records, limits } = file;
        let config = FleetConfig { fleet, members, detector: detector.detector(), records, limits };
        config.validate().map(|()| config)
    }

    /// The limits for tenants, given by name and invocations per second. None if each node enforces an equal part.
    pub fn limit_terms(&self, tenants: &[(String, f64)]) -> Option<LimitTerms> {
        let limits = tenants.iter().filter(|(_, rate)| *rate > 0.0).map(|(name, rate)| Limit {
            id: limit_id(name),
            most: rate * self.limits.window,
            window: self.limits.window,
            strict: false,
        });
        let limits: Vec<Limit> = limits.collect();
        let defaults = || self.members.keys().take(DEFAULT_VOTERS).cloned().collect();
        let voters = if self.limits.voters.is_empty() { defaults() } else { self.limits.voters.clone() };
        let voters = voters.iter().map(|name| Id::of(name)).collect();
        let (lease, drift) = (self.limits.lease, self.detector.drift);
        (self.limits.tenants && !limits.is_empty()).then_some(LimitTerms { limits, voters, lease, drift })
    }

    /// All members' numbers, in the same order at every node.
    pub fn ids(&self) -> Vec<Id> {
        self.members.keys().map(|name| Id::of(name)).collect()
    }

    pub fn id(&self, name: &str) -> Option<Id> {
        self.members.contains_key(name).then(|| Id::of(name))
    }

    /// Identifies the fleet in the checksum of its messages.
    pub fn mark(&self) -> u32 {
        coveroute::random::hash(self.fleet.as_bytes()) as u32
    }

    fn validate(&self) -> Result<(), String> {
        let is_valid_name = |name: &str| {
            let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            !name.is_empty() && name.len() <= 64 && name.bytes().all(fits)
        };
        let allowed = "1 to 64 letters, digits, -, _ or . are allowed";
        if !is_valid_name(&self.fleet) {
            return Err(format!("fleet: {:?}: {allowed}", self.fleet));
        }
        if self.members.is_empty() {
            return Err("members: at least one member is required".into());
        }
        let (mut ids, mut addresses) = (BTreeMap::new(), BTreeMap::new());
        for (name, entry) in &self.members {
            if !is_valid_name(name) {
                return Err(format!("members.{name}: {allowed}"));
            }
            if let Some(other) = ids.insert(Id::of(name), name) {
                return Err(format!("members.{name}: its hash equals that of {other}; choose another name"));
            }
            if entry.address.port() == 0 || entry.address.ip().is_unspecified() {
                return Err(format!(
                    "members.{name}.address: {}: other members can't reach this address",
                    entry.address
                ));
            }
            if let Some(other) = addresses.insert(entry.address, name) {
                return Err(format!("members.{name}.address: {} is already used by {other}", entry.address));
            }
        }
        let Detector { every, relays, suspicion, patience, drift, budget } = self.detector;
        let ranges = [
            ("detector.every", every, 0.02, 10.0, "seconds"),
            ("detector.relays", relays as f64, 0.0, 10.0, "members"),
            ("detector.suspicion", suspicion, 0.05, 600.0, "seconds"),
            ("detector.patience", patience, 1.0, 100.0, "(a factor)"),
            ("detector.drift", drift, 0.0, 0.1, "(a fraction)"),
            ("detector.budget", budget, 4096.0, 1e8, "bytes per second"),
            ("records.life", self.records.life, 1.0, 1e6, "seconds"),
            ("limits.window", self.limits.window, 1.0, 3600.0, "seconds"),
            ("limits.lease", self.limits.lease, 0.5, 600.0, "seconds"),
            ("records.most", self.records.most as f64, 1.0, 4096.0, "records"),
        ];
        if let Some(voter) = self.limits.voters.iter().find(|voter| !self.members.contains_key(*voter)) {
            return Err(format!("limits.voters: {voter} is not a member"));
        }
        let out_of_range = ranges.iter().find(|(_, value, min, max, _)| !(*min..=*max).contains(value));
        match out_of_range {
            Some((key, value, min, max, unit)) => {
                Err(format!("{key}: {value} is out of range: {min} to {max} {unit}"))
            }
            None if suspicion < every => Err(format!(
                "detector.suspicion: {suspicion} is less than {every}, the value of detector.every"
            )),
            None => Ok(()),
        }
    }
}

/// Formats a TOML error on one line, with the number of the faulty line and its key.
pub fn format_toml_error(text: &str, e: &toml::de::Error) -> String {
    let line = e.span().map(|span| 1 + text[..span.start.min(text.len())].matches('\n').count());
    let key = line.and_then(|line| text.lines().nth(line - 1)).and_then(|l| l.split_once('='));
    let message = e.message().replace('\n', ", ");
    match (line, key) {
        (Some(line), Some((key, _))) => format!("line {line}: {}: {message}", key.trim()),
        (Some(line), None) => format!("line {line}: {message}"),
        _ => message,
    }
}
