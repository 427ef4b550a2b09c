//! What the node is told at its start: the platform's variables and the configuration file.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use coveroute::types::Settings;
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
struct Sockets {
    limits: SocketLimits,
    categories: Vec<Category>,
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
        let (mut settings, names) = decode(&file.settings)?;
        let sockets: Sockets =
            serde_json::from_str(file.settings.get()).map_err(|e| format!("settings: {e}"))?;
        // On sockets the list has to be watched everywhere, and no address of another node is told.
        (settings.must_ask, settings.peers) = (true, false);
        let seed = if file.seed.is_empty() { "0" } else { &file.seed };
        Ok(Config {
            listen: address("listen", file.listen)?,
            discovery: address("discovery", file.discovery)?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed {seed} is not hexadecimal"))?,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            known: file.known.map(Listing::from),
            settings,
            names,
            idle: seconds(sockets.limits.conn_idle / 1e3),
            dial: seconds(sockets.limits.dial_timeout / 1e3),
            timeouts: sockets.categories.iter().map(|category| category.deadline / 1e3).collect(),
        })
    }
}

fn address(what: &str, told: Option<String>) -> Result<SocketAddr, String> {
    let told = told.ok_or(format!("no address for {what}"))?;
    told.parse().map_err(|_| format!("{what}: {told} is not an address and a port"))
}
