//! What the node is told at its start: the platform's variables and the configuration file.
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use coveroute::types::{Reports, Settings};
use coveroute_engine::Listing;
use coveroute_shared::{decode, Names};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::clock::seconds;
use crate::hosts::Hosts;

pub const PATH: &str = "BALANCER_CONFIG";
const LISTEN: &str = "BALANCER_LISTEN";
const DISCOVERY: &str = "BALANCER_DISCOVERY";

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
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
struct Category {
    deadline: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SocketLimits {
    conn_idle: f64,
    dial_timeout: f64,
}

#[derive(Debug)]
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
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
}

impl Config {
    /// Reads the file that is named, else the one that the environment names. At the start what the platform's
    /// variables say goes before it.
    pub fn read(path: Option<PathBuf>) -> Result<Self, String> {
        let told = |name| std::env::var(name).ok();
        Self::load(path, |text| Self::parse(text, told(LISTEN), told(DISCOVERY)))
    }

    /// Reads it anew: the variables of a process that runs stay as they were, so the file goes before them.
    pub fn reread(path: Option<PathBuf>) -> Result<Self, String> {
        let told = |name| std::env::var(name).ok();
        Self::load(path, |text| Self::parse_again(text, told(LISTEN), told(DISCOVERY)))
    }

    /// Whose lists are taken unasked.
    pub fn pushed_by(&self) -> Option<IpAddr> {
        (!self.settings.must_ask).then_some(self.discovery.ip())
    }

    fn load(path: Option<PathBuf>, parse: impl Fn(&str) -> Result<Self, String>) -> Result<Self, String> {
        let path = path.or_else(|| std::env::var_os(PATH).map(PathBuf::from));
        let path = path.ok_or(format!("no configuration: name a file or set {PATH}"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| e.to_string());
        text.and_then(|text| parse(&text)).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn parse(text: &str, listen: Option<String>, discovery: Option<String>) -> Result<Self, String> {
        let mut file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        (file.listen, file.discovery) = (listen.or(file.listen), discovery.or(file.discovery));
        file.config()
    }

    pub fn parse_again(
        text: &str,
        listen: Option<String>,
        discovery: Option<String>,
    ) -> Result<Self, String> {
        let mut file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        (file.listen, file.discovery) = (listen.or(file.listen), file.discovery.or(discovery));
        file.config()
    }
}

impl File {
    fn config(self) -> Result<Config, String> {
        let file = self;
        let (settings, names) = decode(&file.settings)?;
        let sockets: Sockets =
            serde_json::from_str(file.settings.get()).map_err(|e| format!("settings: {e}"))?;
        shape(&sockets, &settings, file.peers.as_deref())?;
        let seed = if file.seed.is_empty() { "0" } else { &file.seed };
        Ok(Config {
            listen: address("listen", file.listen)?,
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
        })
    }
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
            told && !settings.probing,
            "settings.report.source: reports are gone by only where settings.limits.probing allows to ask"
                .into(),
        ),
        (
            !told && !settings.tells_start,
            "settings.familyInfo.tellsStart: without reports only starts tell of queues".into(),
        ),
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
