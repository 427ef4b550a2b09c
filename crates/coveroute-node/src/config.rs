//! The node's configuration: the platform's environment variables and the configuration file.
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use coveroute::types::{Reports, Settings};
use coveroute_engine::{Listing, ReloadedSettings};
use coveroute_shared::{decode, Names};
use log::warn;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::clock::seconds;
use crate::hosts::Hosts;
use crate::transient::{retry, retry_blocking};
use crate::validation::{check_all, Check, Keys};

pub const PATH: &str = "BALANCER_CONFIG";
const LISTEN: &str = "BALANCER_LISTEN";
const DISCOVERY: &str = "BALANCER_DISCOVERY";
const MANAGEMENT: &str = "BALANCER_MANAGEMENT";

#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    management: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Hosts>,
    /// The addresses of all nodes, indexed by node number, where nodes exchange hints.
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

/// The settings that only this program reads, beyond those decoded by the shared crate. Times are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NodeSettings {
    limits: NodeLimits,
    rules: NodeRules,
    categories: Vec<Category>,
    registry_mode: String,
    #[serde(default)]
    weights: Option<String>,
    report: ReportSettings,
}

#[derive(Deserialize)]
struct ReportSettings {
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
struct NodeLimits {
    conn_idle: f64,
    dial_timeout: f64,
    max_attempts: f64,
    #[serde(default)]
    max_retry_after: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NodeRules {
    start_capacity: f64,
    warm_up: f64,
    overload_factor: f64,
    fall: f64,
}

/// Values from the platform's environment variables.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub management: Option<String>,
}

impl Environment {
    fn read() -> Self {
        let value = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        Environment { listen: value(LISTEN), discovery: value(DISCOVERY), management: value(MANAGEMENT) }
    }
}

#[derive(Debug)]
pub struct Config {
    /// The node's name, which is also its name in the fleet file unless overridden.
    pub name: Option<String>,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The address for operators, if there is one.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: Option<Listing>,
    pub peers: Option<Vec<SocketAddr>>,
    pub settings: Settings,
    pub names: Names,
    /// Executors close connections that have been idle for this long.
    pub idle: Duration,
    /// Timeout for establishing a connection.
    pub dial: Duration,
    /// Each operation's client timeout.
    pub timeouts: Vec<f64>,
    /// The file's keys. A reloaded file must have them too.
    pub keys: Keys,
}

impl Config {
    /// Reads the file at `path`, or else the one that the environment names. At the start the platform's environment
    /// variables take precedence over the file.
    pub fn read(path: Option<PathBuf>) -> Result<Self, String> {
        let path = Self::path(path)?;
        let text = retry_blocking(|| std::fs::read_to_string(&path));
        Self::load(&path, text, |text| Self::parse(text, Environment::read()))
    }

    /// Reads the file again for a reload. The environment of a running process can't change, so the file's discovery
    /// address takes precedence over the environment's. Transient read errors are retried, because operators request a
    /// reload only once.
    pub async fn reread(path: Option<PathBuf>) -> Result<Self, String> {
        let path = Self::path(path)?;
        let text = retry(|| std::fs::read_to_string(&path)).await;
        Self::load(&path, text, |text| Self::parse_reload(text, Environment::read()))
    }

    /// The host whose pushed lists are accepted, if lists are pushed.
    pub fn pushed_by(&self) -> Option<IpAddr> {
        (!self.settings.polls_list).then_some(self.discovery.ip())
    }

    fn path(named: Option<PathBuf>) -> Result<PathBuf, String> {
        let path = named.or_else(|| std::env::var_os(PATH).map(PathBuf::from));
        path.ok_or(format!("no configuration: pass --config or set {PATH}"))
    }

    fn load(
        path: &Path,
        text: std::io::Result<String>,
        parse: impl Fn(&str) -> Result<Self, String>,
    ) -> Result<Self, String> {
        let text = text.map_err(|e| e.to_string());
        text.and_then(|text| parse(&text)).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn parse(text: &str, environment: Environment) -> Result<Self, String> {
        Self::parse_with(text, environment, |file, environment| environment.or(file))
    }

    pub fn parse_reload(text: &str, environment: Environment) -> Result<Self, String> {
        Self::parse_with(text, environment, Option::or)
    }

    /// `discovery` chooses between the discovery addresses of the file and of the environment.
    fn parse_with(
        text: &str,
        environment: Environment,
        discovery: impl Fn(Option<String>, Option<String>) -> Option<String>,
    ) -> Result<Self, String> {
        let mut file: ConfigFile = serde_json::from_str(text).map_err(|e| e.to_string())?;
        file.listen = environment.listen.or(file.listen);
        file.discovery = discovery(file.discovery, environment.discovery);
        file.management = environment.management.or(file.management);
        Ok(Config { keys: Keys::of(text), ..file.config()? })
    }

    /// Tenants' quotas, in invocations per second over all nodes.
    pub fn shares(&self) -> Vec<(String, f64)> {
        self.names.tenants.iter().cloned().zip(self.settings.quotas.iter().copied()).collect()
    }

    /// The part that the engine uses for its decisions.
    pub fn reloaded_settings(&self) -> ReloadedSettings {
        let (settings, names, timeouts) = (self.settings.clone(), self.names.clone(), self.timeouts.clone());
        ReloadedSettings { settings, names, timeouts }
    }
}

impl ConfigFile {
    fn config(self) -> Result<Config, String> {
        let file = self;
        let (settings, names) = decode(&file.settings)?;
        check_quotas(&names.tenants, &settings.quotas)?.iter().for_each(|warning| warn!("{warning}"));
        let node: NodeSettings =
            serde_json::from_str(file.settings.get()).map_err(|e| format!("settings: {e}"))?;
        check_consistency(&node, &settings, file.peers.as_deref())?;
        check_values(&node)?;
        let seed = if file.seed.is_empty() { "0" } else { &file.seed };
        let listen = parse_address("listen", file.listen)?;
        let management = file.management.map(|value| parse_address("management", Some(value))).transpose()?;
        if management == Some(listen) {
            return Err(format!("management: {listen} is also the address for clients"));
        }
        Ok(Config {
            name: file.name,
            listen,
            management,
            discovery: parse_address("discovery", file.discovery)?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed {seed} is not hexadecimal"))?,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            known: file.known.map(Listing::from),
            peers: file.peers,
            settings,
            names,
            idle: seconds(node.limits.conn_idle / 1e3),
            dial: seconds(node.limits.dial_timeout / 1e3),
            timeouts: node.categories.iter().map(|category| category.deadline / 1e3).collect(),
            keys: Keys::default(),
        })
    }
}

/// Rejects values with which no job could be served, and operations that are defined twice.
fn check_values(node: &NodeSettings) -> Result<(), String> {
    let (limits, rules) = (&node.limits, &node.rules);
    let whole = [
        Check::Positive("settings.limits.maxAttempts", limits.max_attempts),
        Check::Positive("settings.limits.connIdle", limits.conn_idle),
        Check::Positive("settings.limits.dialTimeout", limits.dial_timeout),
        Check::NonNegative("settings.limits.maxRetryAfter", limits.max_retry_after),
        Check::NonNegative("settings.rules.startCapacity", rules.start_capacity),
        Check::NonNegative("settings.rules.warmUp", rules.warm_up),
        Check::Positive("settings.rules.overloadFactor", rules.overload_factor),
        Check::NonNegative("settings.rules.fall", rules.fall),
    ];
    check_all(&whole)?;
    if node.categories.is_empty() {
        return Err("settings.categories: must not be empty".into());
    }
    for (at, category) in node.categories.iter().enumerate() {
        let of = |key| format!("settings.categories: {}: {key}", category.name);
        let [deadline, on_time, credit, window] = ["deadline", "onTime", "credit", "window"].map(of);
        let own = [
            Check::Positive(&deadline, category.deadline),
            Check::NonNegative(&on_time, category.on_time),
            Check::NonNegative(&credit, category.credit),
            Check::NonNegative(&window, category.window),
        ];
        check_all(&own)?;
        if node.categories[..at].iter().any(|other| other.name == category.name) {
            return Err(format!("settings.categories: {} is defined twice", category.name));
        }
    }
    Ok(())
}

/// Rejects invalid quotas and tenants that are defined twice. Returns a warning if some tenants have a quota and others
/// have none.
pub fn check_quotas(tenants: &[String], quotas: &[f64]) -> Result<Option<String>, String> {
    let mut seen = BTreeSet::new();
    for (tenant, quota) in tenants.iter().zip(quotas) {
        check_all(&[Check::NonNegative(&format!("settings.orgs: {tenant}: quotaRps"), *quota)])?;
        if !seen.insert(tenant) {
            return Err(format!("settings.orgs: {tenant} is defined twice"));
        }
    }
    let without: Vec<&str> =
        tenants.iter().zip(quotas).filter(|(_, quota)| **quota == 0.0).map(|(name, _)| &**name).collect();
    let line = || {
        let (many, all) = (without.len(), tenants.len());
        format!(
            "settings.orgs: {many} of {all} have no quota, the first: {}: all its invocations exceed its share",
            without[0]
        )
    };
    Ok((1..tenants.len()).contains(&without.len()).then(line))
}

/// Rejects settings that don't fit together, or that would leave a node without information on its executors. The error
/// names the key.
fn check_consistency(
    node: &NodeSettings,
    settings: &Settings,
    peers: Option<&[SocketAddr]>,
) -> Result<(), String> {
    let one_of = |key, value: &str, allowed: &[&str]| match allowed.contains(&value) {
        true => Ok(()),
        false => Err(format!("settings.{key}: {value} is not one of {}", allowed.join(", "))),
    };
    one_of("registryMode", &node.registry_mode, &["on_request", "pushed"])?;
    one_of("report.source", &node.report.source, &["answers", "probe", "none"])?;
    one_of("weights", node.weights.as_deref().unwrap_or("none"), &["none", "nominal", "rough", "live"])?;
    let (reports, nodes) = (settings.reports != Reports::Never, settings.nodes);
    let conflicts = [
        (
            settings.node_index >= nodes,
            format!("settings.me: {} is not one of {nodes} nodes", settings.node_index),
        ),
        (
            settings.peers && !(reports && settings.probing),
            "settings.limits.peers: requires settings.limits.probing and settings.report".into(),
        ),
        (
            settings.peers != peers.is_some(),
            format!(
                "peers: must be set if and only if settings.limits.peers is, which is {}",
                settings.peers
            ),
        ),
        (
            peers.is_some_and(|peers| peers.len() != nodes),
            format!("peers: {} addresses for {nodes} nodes", peers.map_or(0, <[_]>::len)),
        ),
    ];
    conflicts.into_iter().find(|conflict| conflict.0).map_or(Ok(()), |conflict| Err(conflict.1))
}

fn parse_address(what: &str, value: Option<String>) -> Result<SocketAddr, String> {
    let value = value.ok_or(format!("{what}: no address"))?;
    value.parse().map_err(|_| format!("{what}: {value} is not an address with a port"))
}
