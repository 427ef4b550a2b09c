//! What the node is told at its start: the platform's variables and the configuration file.
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use coveroute::types::{Reports, Settings};
use coveroute_engine::{Listing, Tuning};
use coveroute_shared::{decode, Names};
use log::warn;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::clock::seconds;
use crate::hosts::Hosts;
use crate::needed::{fit, Figure, Keys};
use crate::transient::{retry, retry_blocking};

pub const PATH: &str = "BALANCER_CONFIG";
const LISTEN: &str = "BALANCER_LISTEN";
const DISCOVERY: &str = "BALANCER_DISCOVERY";
const MANAGEMENT: &str = "BALANCER_MANAGEMENT";

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    management: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Hosts>,
    /// The addresses of all nodes, by their numbers, where they may tell each other.
    peers: Option<Vec<SocketAddr>>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// What only a node on sockets reads of the settings, in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Sockets {
    limits: SocketLimits,
    rules: SocketRules,
    categories: Vec<Category>,
    registry_mode: String,
    #[serde(default)]
    weights: Option<String>,
    report: Report,
}

#[derive(Deserialize)]
struct Report {
    source: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    deadline: f64,
    on_time: f64,
    credit: f64,
    #[serde(default)]
    window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SocketLimits {
    conn_idle: f64,
    dial_timeout: f64,
    max_attempts: f64,
    #[serde(default)]
    max_retry_after: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SocketRules {
    start_capacity: f64,
    warm_up: f64,
    overload_factor: f64,
    fall: f64,
}

/// What the platform's variables say.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub management: Option<String>,
}

impl Told {
    fn by_environment() -> Self {
        let told = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        Told { listen: told(LISTEN), discovery: told(DISCOVERY), management: told(MANAGEMENT) }
    }
}

#[derive(Debug)]
pub struct Config {
    /// The node's own, under which it stands in the fleet's file unless told otherwise.
    pub name: Option<String>,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The operators' door, if there is one.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: Option<Listing>,
    pub peers: Option<Vec<SocketAddr>>,
    pub settings: Settings,
    pub names: Names,
    /// Executors close a connection that has stood idle for so long.
    pub idle: Duration,
    /// A connection that takes longer to come up counts as failed.
    pub dial: Duration,
    /// Each operation's client timeout.
    pub timeouts: Vec<f64>,
    /// The keys of the file that a later one must have too.
    pub keys: Keys,
}

impl Config {
    /// Reads the file that is named, else the one that the environment names. At the start what the platform's
    /// variables say goes before it.
    pub fn read(path: Option<PathBuf>) -> Result<Self, String> {
        let path = Self::path(path)?;
        let text = retry_blocking(|| std::fs::read_to_string(&path));
        Self::load(&path, text, |text| Self::parse(text, Told::by_environment()))
    }

    /// Reads it anew: the variables of a process that runs stay as they were, so the file goes before them. A disk that fails for a
    /// moment is waited for, as the operators' word comes once.
    pub async fn reread(path: Option<PathBuf>) -> Result<Self, String> {
        let path = Self::path(path)?;
        let text = retry(|| std::fs::read_to_string(&path)).await;
        Self::load(&path, text, |text| Self::parse_again(text, Told::by_environment()))
    }

    /// Whose lists are taken unasked.
    pub fn pushed_by(&self) -> Option<IpAddr> {
        (!self.settings.must_ask).then_some(self.discovery.ip())
    }

    fn path(named: Option<PathBuf>) -> Result<PathBuf, String> {
        let path = named.or_else(|| std::env::var_os(PATH).map(PathBuf::from));
        path.ok_or(format!("no configuration: name a file or set {PATH}"))
    }

    fn load(
        path: &Path,
        text: std::io::Result<String>,
        parse: impl Fn(&str) -> Result<Self, String>,
    ) -> Result<Self, String> {
        let text = text.map_err(|e| e.to_string());
        text.and_then(|text| parse(&text)).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn parse(text: &str, told: Told) -> Result<Self, String> {
        Self::parsed(text, told, |file, told| told.or(file))
    }

    pub fn parse_again(text: &str, told: Told) -> Result<Self, String> {
        Self::parsed(text, told, Option::or)
    }

    /// `discovery` chooses between what the file says of it and what the platform does.
    fn parsed(
        text: &str,
        told: Told,
        discovery: impl Fn(Option<String>, Option<String>) -> Option<String>,
    ) -> Result<Self, String> {
        let mut file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        file.listen = told.listen.or(file.listen);
        file.discovery = discovery(file.discovery, told.discovery);
        file.management = told.management.or(file.management);
        Ok(Config { keys: Keys::of(text), ..file.config()? })
    }

    /// Tenants' shares: invocations a second over all nodes.
    pub fn shares(&self) -> Vec<(String, f64)> {
        self.names.tenants.iter().cloned().zip(self.settings.quotas.iter().copied()).collect()
    }

    /// What of it counts for decisions.
    pub fn tuning(&self) -> Tuning {
        let (settings, names, timeouts) = (self.settings.clone(), self.names.clone(), self.timeouts.clone());
        Tuning { settings, names, timeouts }
    }
}

impl File {
    fn config(self) -> Result<Config, String> {
        let file = self;
        let (settings, names) = decode(&file.settings)?;
        shares(&names.tenants, &settings.quotas)?.iter().for_each(|line| warn!("{line}"));
        let sockets: Sockets =
            serde_json::from_str(file.settings.get()).map_err(|e| format!("settings: {e}"))?;
        shape(&sockets, &settings, file.peers.as_deref())?;
        figures(&sockets)?;
        let seed = if file.seed.is_empty() { "0" } else { &file.seed };
        let listen = address("listen", file.listen)?;
        let management = file.management.map(|told| address("management", Some(told))).transpose()?;
        if management == Some(listen) {
            return Err(format!("management: {listen} is where clients come"));
        }
        Ok(Config {
            name: file.name,
            listen,
            management,
            discovery: address("discovery", file.discovery)?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed {seed} is not hexadecimal"))?,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            known: file.known.map(Listing::from),
            peers: file.peers,
            settings,
            names,
            idle: seconds(sockets.limits.conn_idle / 1e3),
            dial: seconds(sockets.limits.dial_timeout / 1e3),
            timeouts: sockets.categories.iter().map(|category| category.deadline / 1e3).collect(),
            keys: Keys::default(),
        })
    }
}

/// Refuses figures that nothing could be served by, and an operation that is told of twice.
fn figures(sockets: &Sockets) -> Result<(), String> {
    let (limits, rules) = (&sockets.limits, &sockets.rules);
    let whole = [
        Figure::Over("settings.limits.maxAttempts", limits.max_attempts),
        Figure::Over("settings.limits.connIdle", limits.conn_idle),
        Figure::Over("settings.limits.dialTimeout", limits.dial_timeout),
        Figure::Least("settings.limits.maxRetryAfter", limits.max_retry_after),
        Figure::Least("settings.rules.startCapacity", rules.start_capacity),
        Figure::Least("settings.rules.warmUp", rules.warm_up),
        Figure::Over("settings.rules.overloadFactor", rules.overload_factor),
        Figure::Least("settings.rules.fall", rules.fall),
    ];
    fit(&whole)?;
    if sockets.categories.is_empty() {
        return Err("settings.categories: there is none".into());
    }
    for (at, category) in sockets.categories.iter().enumerate() {
        let of = |key| format!("settings.categories: {}: {key}", category.name);
        let [deadline, on_time, credit, window] = ["deadline", "onTime", "credit", "window"].map(of);
        let own = [
            Figure::Over(&deadline, category.deadline),
            Figure::Least(&on_time, category.on_time),
            Figure::Least(&credit, category.credit),
            Figure::Least(&window, category.window),
        ];
        fit(&own)?;
        if sockets.categories[..at].iter().any(|other| other.name == category.name) {
            return Err(format!("settings.categories: {} is there twice", category.name));
        }
    }
    Ok(())
}

/// Refuses shares that are no figure, or of a tenant that is told of twice; a line where some have a share and others none.
pub fn shares(tenants: &[String], quotas: &[f64]) -> Result<Option<String>, String> {
    let mut told = BTreeSet::new();
    for (tenant, quota) in tenants.iter().zip(quotas) {
        fit(&[Figure::Least(&format!("settings.orgs: {tenant}: quotaRps"), *quota)])?;
        if !told.insert(tenant) {
            return Err(format!("settings.orgs: {tenant} is there twice"));
        }
    }
    let without: Vec<&str> =
        tenants.iter().zip(quotas).filter(|(_, quota)| **quota == 0.0).map(|(name, _)| &**name).collect();
    let line = || {
        let (many, all) = (without.len(), tenants.len());
        format!(
            "settings.orgs: {many} of {all} have no share, the first: {}: all it sends is beyond it",
            without[0]
        )
    };
    Ok((1..tenants.len()).contains(&without.len()).then(line))
}

/// Refuses what mixes shapes of deployment, or would leave a node without a word of its executors, by the key.
fn shape(sockets: &Sockets, settings: &Settings, peers: Option<&[SocketAddr]>) -> Result<(), String> {
    let one_of = |key, told: &str, words: &[&str]| match words.contains(&told) {
        true => Ok(()),
        false => Err(format!("settings.{key}: {told} is none of {}", words.join(", "))),
    };
    one_of("registryMode", &sockets.registry_mode, &["on_request", "pushed"])?;
    one_of("report.source", &sockets.report.source, &["answers", "probe", "none"])?;
    one_of("weights", sockets.weights.as_deref().unwrap_or("none"), &["none", "nominal", "rough", "live"])?;
    let (told, nodes) = (settings.reports != Reports::Never, settings.nodes);
    let mixed = [
        (settings.me >= nodes, format!("settings.me: {} is not one of {nodes} nodes", settings.me)),
        (
            settings.peers && !(told && settings.probing),
            "settings.limits.peers: who counts must also ask executors, see settings.limits.probing and report"
                .into(),
        ),
        (
            settings.peers != peers.is_some(),
            format!("peers: all nodes' addresses go with settings.limits.peers, which is {}", settings.peers),
        ),
        (
            peers.is_some_and(|peers| peers.len() != nodes),
            format!("peers: {} addresses for {nodes} nodes", peers.map_or(0, <[_]>::len)),
        ),
    ];
    mixed.into_iter().find(|mixed| mixed.0).map_or(Ok(()), |mixed| Err(mixed.1))
}

fn address(what: &str, told: Option<String>) -> Result<SocketAddr, String> {
    let told = told.ok_or(format!("no address for {what}"))?;
    told.parse().map_err(|_| format!("{what}: {told} is not an address and a port"))
}
