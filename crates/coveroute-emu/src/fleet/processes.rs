//! A fleet of real node processes on loopback, with a relay for each direction between two nodes and real signals. The same
//! `Links` as in virtual time decide what happens to each datagram; states are read from the nodes' management endpoints.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coveroute_fleet::config::MemberConfig;
use coveroute_fleet::FleetConfig;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::runtime::Runtime;

use super::links::Links;
use super::simulation::{fleet_config, member};
use crate::scenario::{Direction, FaultKind, FleetSettings, Scenario};
use crate::search::random_scenario;
use crate::world::NodeId;

const CONFIG: &str = include_str!("../../../../examples/config.json");
/// A management endpoint that does not respond within this time belongs to a stalled process.
const MANAGEMENT_TIMEOUT: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct NodeProcess {
    child: Option<Child>,
    management: SocketAddr,
    /// The previous process of the node, while `child` replaces it.
    replaced: Option<Child>,
    stalled: bool,
}

/// A running fleet; its processes are killed and its files removed when it is dropped.
pub struct Processes {
    program: PathBuf,
    dir: PathBuf,
    block: u8,
    settings: FleetSettings,
    tenant: Option<(String, f64)>,
    processes: Vec<NodeProcess>,
    links: Arc<Mutex<Links>>,
    start: Instant,
    spawned: u16,
    /// Runs the relays until it is dropped.
    _runtime: Runtime,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for process in &mut self.processes {
            for child in process.child.iter_mut().chain(&mut process.replaced) {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn lock_links(links: &Mutex<Links>) -> MutexGuard<'_, Links> {
    links.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The address that a node listens on for other members.
pub fn member_addr(block: u8, node: NodeId) -> SocketAddr {
    ([127, block, 60, node as u8], 9400).into()
}

/// The address at which `from` reaches `to`: that of a relay.
pub fn relay_addr(block: u8, from: NodeId, to: NodeId) -> SocketAddr {
    ([127, block, 64 + from as u8, to as u8], 9401).into()
}

/// Forwards datagrams from `from` to `to`, with the address at which `to` reaches `from` as their source.
async fn forward_datagrams(
    inbound: Arc<UdpSocket>,
    outbound: Arc<UdpSocket>,
    links: Arc<Mutex<Links>>,
    start: Instant,
    (from, to): (NodeId, NodeId),
    block: u8,
) {
    let (mut buffer, source, target) = ([0; 2048], member_addr(block, from), member_addr(block, to));
    loop {
        let Ok((many, sender)) = inbound.recv_from(&mut buffer).await else { continue };
        if sender != source {
            continue;
        }
        let copies =
            lock_links(&links).transmit(start.elapsed().as_secs_f64(), from, to, buffer[..many].to_vec());
        for (after, bytes) in copies {
            if after < 1e-3 {
                let _ = outbound.send_to(&bytes, target).await;
            } else {
                let outbound = outbound.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(after)).await;
                    let _ = outbound.send_to(&bytes, target).await;
                });
            }
        }
    }
}

/// Starts a relay task for each direction between two nodes.
pub async fn start_relays(
    block: u8,
    nodes: usize,
    links: &Arc<Mutex<Links>>,
    start: Instant,
) -> Result<(), String> {
    let bind =
        |addr| async move { UdpSocket::bind(addr).await.map(Arc::new).map_err(|e| format!("{addr}: {e}")) };
    for from in 0..nodes {
        for to in 0..from {
            let (one, two) =
                (bind(relay_addr(block, from, to)).await?, bind(relay_addr(block, to, from)).await?);
            tokio::spawn(forward_datagrams(
                one.clone(),
                two.clone(),
                links.clone(),
                start,
                (from, to),
                block,
            ));
            tokio::spawn(forward_datagrams(two, one, links.clone(), start, (to, from), block));
        }
    }
    Ok(())
}

/// The operators' file of `node`, with relays as the addresses of the other members.
pub fn config_for_node(block: u8, nodes: usize, settings: &FleetSettings, node: NodeId) -> FleetConfig {
    fleet_config(nodes, settings, |other| {
        if other == node {
            member_addr(block, node)
        } else {
            relay_addr(block, node, other)
        }
    })
}

impl Processes {
    /// Starts `nodes` processes of the program, each with the others in its operators' file.
    pub fn start(program: &Path, nodes: usize, settings: FleetSettings) -> Result<Self, String> {
        Self::start_with_share(program, nodes, settings, None)
    }

    /// The same with a tenant whose share, in invocations per second, applies to the nodes together.
    pub fn start_with_share(
        program: &Path,
        nodes: usize,
        settings: FleetSettings,
        tenant: Option<(&str, f64)>,
    ) -> Result<Self, String> {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        if !program.is_file() {
            return Err(format!("{}: no program; build it first", program.display()));
        }
        if nodes > 60 {
            return Err(format!("{nodes} processes: at most 60 are supported"));
        }
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        // A block of loopback addresses of its own, so that concurrent runs do not collide.
        let block = 16 + ((std::process::id() + 101 * number) % 200) as u8;
        let dir = std::env::temp_dir().join(format!("coveroute-fleet-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let mut scenario: Scenario = random_scenario(1);
        let latency = crate::scenario::Span(0.0);
        (scenario.fleet, scenario.faults) = (Some(FleetSettings { latency, ..settings.clone() }), Vec::new());
        let links = Arc::new(Mutex::new(Links::new(&scenario, 1, &vec!["a".into(); nodes])));
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let start = Instant::now();
        runtime.block_on(start_relays(block, nodes, &links, start))?;
        let process = |_| NodeProcess {
            child: None,
            management: member_addr(block, 0),
            replaced: None,
            stalled: false,
        };
        let processes = (0..nodes).map(process).collect();
        let (program, spawned) = (program.to_owned(), 0);
        let tenant = tenant.map(|(name, share)| (name.to_owned(), share));
        let mut fleet = Processes {
            program,
            dir,
            block,
            settings,
            tenant,
            processes,
            links,
            start,
            spawned,
            _runtime: runtime,
        };
        for node in 0..nodes {
            fleet.write_config(node)?;
            fleet.write_member_file(node, |_| true)?;
            fleet.start_node(node)?;
        }
        Ok(fleet)
    }

    fn write_config(&self, node: NodeId) -> Result<(), String> {
        let listen = self.listen_addr(node);
        let unused = SocketAddr::from(([127, self.block, 61, node as u8], 9));
        let text = CONFIG.replace("127.0.0.1:9000", &listen.to_string());
        let text = text.replace("127.0.0.1:8500", &unused.to_string());
        let text = text.replace("\"name\": \"n0\"", &format!("\"name\": \"{}\"", member(node)));
        let nodes = format!("\"replicasOfMe\": {}", self.processes.len());
        let text =
            text.replace("\"replicasOfMe\": 1", &nodes).replace("\"me\": 0", &format!("\"me\": {node}"));
        let text = match &self.tenant {
            None => text,
            Some((name, share)) => text.replace(
                "\"zone\": \"a\",",
                &format!("\"zone\": \"a\", \"orgs\": [{{ \"name\": \"{name}\", \"quotaRps\": {share:?} }}],"),
            ),
        };
        self.write(&format!("c{node}.json"), &text)
    }

    fn write(&self, name: &str, text: &str) -> Result<(), String> {
        // Written under another name and renamed, so that a node never reads a partial file.
        let (new, path) = (self.dir.join(format!("{name}.new")), self.dir.join(name));
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
        written.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Writes the operators' file of the node, with the members for which `fits` holds.
    pub fn write_member_file(&self, node: NodeId, fits: impl Fn(NodeId) -> bool) -> Result<(), String> {
        let mut config = config_for_node(self.block, self.processes.len(), &self.settings, node);
        config.limits.tenants = self.tenant.is_some();
        config.members.retain(|name, _| name[1..].parse().is_ok_and(&fits));
        self.write(&format!("f{node}.toml"), &config_to_toml(&config))
    }

    fn spawn(&mut self, node: NodeId) -> Result<(Child, SocketAddr), String> {
        self.spawned += 1;
        let management = SocketAddr::from(([127, self.block, 62, node as u8], 10_000 + self.spawned));
        let path = self.dir.join(format!("n{node}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&path);
        let temp_dir = self.dir.join(format!("t{node}"));
        std::fs::create_dir_all(&temp_dir).map_err(|e| format!("{}: {e}", temp_dir.display()))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(self.dir.join(format!("c{node}.json")));
        command.arg("--fleet").arg(self.dir.join(format!("f{node}.toml")));
        command.env_remove("BALANCER_LISTEN").env_remove("BALANCER_DISCOVERY").env_remove("BALANCER_CONFIG");
        command.env("BALANCER_MANAGEMENT", management.to_string()).env("TMPDIR", temp_dir);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log.map_err(|e| format!("{}: {e}", path.display()))?);
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        Ok((child, management))
    }

    /// Starts the node's process.
    pub fn start_node(&mut self, node: NodeId) -> Result<(), String> {
        let (child, management) = self.spawn(node)?;
        let process = &mut self.processes[node];
        (process.child, process.management, process.stalled) = (Some(child), management, false);
        Ok(())
    }

    /// Starts a new process for the node beside the old one, which `stop_replaced` ends.
    pub fn replace(&mut self, node: NodeId) -> Result<(), String> {
        let (child, management) = self.spawn(node)?;
        let process = &mut self.processes[node];
        process.replaced = process.child.replace(child);
        process.management = management;
        Ok(())
    }

    /// Stops the process that `replace` replaced and waits for its end.
    pub fn stop_replaced(&mut self, node: NodeId) {
        if let Some(mut replaced) = self.processes[node].replaced.take() {
            let _ = kill(Pid::from_raw(replaced.id() as i32), Signal::SIGTERM);
            let _ = replaced.wait();
        }
    }

    fn signal(&self, node: NodeId, signal: Signal) {
        if let Some(child) = &self.processes[node].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    pub fn kill(&mut self, node: NodeId) {
        if let Some(mut child) = self.processes[node].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn stop(&mut self, node: NodeId) {
        self.signal(node, Signal::SIGTERM);
    }

    pub fn stall(&mut self, node: NodeId) {
        self.processes[node].stalled = true;
        self.signal(node, Signal::SIGSTOP);
    }

    pub fn resume(&mut self, node: NodeId) {
        self.processes[node].stalled = false;
        self.signal(node, Signal::SIGCONT);
    }

    pub fn reload(&self, node: NodeId) {
        self.signal(node, Signal::SIGHUP);
    }

    pub fn inject_link_fault(&self, kind: FaultKind, by: f64, set: &[NodeId], way: Direction) {
        lock_links(&self.links).inject(self.start.elapsed().as_secs_f64(), kind, by, set, way);
    }

    pub fn heal(&self) {
        lock_links(&self.links).heal();
    }

    /// The operators' file of the node, and the node's name in it.
    pub fn fleet_file(&self, node: NodeId) -> (PathBuf, String) {
        (self.dir.join(format!("f{node}.toml")), member(node))
    }

    pub fn pid(&self, node: NodeId) -> Option<u32> {
        self.processes[node].child.as_ref().map(Child::id)
    }

    /// The metrics that the node's management endpoint returns.
    pub fn metrics(&self, node: NodeId) -> Option<Value> {
        let mut stream =
            TcpStream::connect_timeout(&self.processes[node].management, MANAGEMENT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(MANAGEMENT_TIMEOUT)).ok()?;
        stream.write_all(b"GET /v1/metrics HTTP/1.1\r\nHost: n\r\n\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        serde_json::from_str(answer.split_once("\r\n\r\n")?.1).ok()
    }

    pub fn fleet_metrics(&self, node: NodeId) -> Option<Value> {
        Some(self.metrics(node)?.get("fleet")?.clone())
    }

    pub fn log(&self, node: NodeId) -> String {
        std::fs::read_to_string(self.dir.join(format!("n{node}.log"))).unwrap_or_default()
    }

    /// Writes another share of the tenant into the configurations of these nodes; they read it on `reload`.
    pub fn set_share(&mut self, nodes: &[NodeId], share: f64) -> Result<(), String> {
        self.tenant.iter_mut().for_each(|tenant| tenant.1 = share);
        nodes.iter().try_for_each(|node| self.write_config(*node))
    }

    /// The address at which the node accepts invocations.
    pub fn listen_addr(&self, node: NodeId) -> SocketAddr {
        ([127, self.block, 61, node as u8], 9100).into()
    }

    /// A tenant's invocations at a node since its process started: those requested, and those within the share.
    pub fn limit_counts(&self, node: NodeId, tenant: &str) -> Option<(f64, f64)> {
        let limit = self.fleet_metrics(node)?["limits"][tenant].clone();
        Some((limit["wanted"].as_f64()?, limit["had"].as_f64()?))
    }

    /// The nodes whose processes run and are not stalled.
    pub fn running(&self) -> Vec<NodeId> {
        let is_running =
            |node: &NodeId| self.processes[*node].child.is_some() && !self.processes[*node].stalled;
        (0..self.processes.len()).filter(is_running).collect()
    }

    /// Whether each node in `by` holds each node in `of` to be in one of the `states`.
    pub fn all_hold_states(&self, by: &[NodeId], of: &[NodeId], states: &[&str]) -> bool {
        by.iter().all(|by| {
            let Some(fleet) = self.fleet_metrics(*by) else { return false };
            let fits = |of: &NodeId| {
                let state = fleet["states"][member(*of)].as_str();
                state.is_some_and(|state| states.contains(&state))
            };
            of.iter().filter(|of| *of != by).all(fits)
        })
    }

    /// Whether these nodes have equal tables.
    pub fn agree_on_table(&self, nodes: &[NodeId]) -> bool {
        let checksums: Vec<Option<String>> = nodes
            .iter()
            .map(|node| self.fleet_metrics(*node).and_then(|fleet| Some(fleet["sum"].as_str()?.to_owned())))
            .collect();
        checksums.iter().all(|checksum| checksum.is_some() && *checksum == checksums[0])
    }

    /// Waits until the condition holds; returns how long that took, in seconds, or none after `timeout` seconds.
    pub fn wait_until(&self, timeout: f64, condition: impl Fn(&Processes) -> bool) -> Option<f64> {
        let start = Instant::now();
        loop {
            if condition(self) {
                return Some(start.elapsed().as_secs_f64());
            }
            if start.elapsed().as_secs_f64() > timeout {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// The configuration as the text of an operators' file.
pub fn config_to_toml(config: &FleetConfig) -> String {
    let (d, l) = (&config.detector, &config.limits);
    let mut text = format!(
        "fleet = \"{}\"\n[detector]\nevery = {:?}\nrelays = {}\nsuspicion = {:?}\npatience = {:?}\ndrift = {:?}\n\
         budget = {:?}\n[records]\nlife = {:?}\nmost = {}\n[limits]\ntenants = {}\nwindow = {:?}\nlease = {:?}\nvoters = {:?}\n[members]\n",
        config.fleet,
        d.every,
        d.relays,
        d.suspicion,
        d.patience,
        d.drift,
        d.budget,
        config.records.life,
        config.records.most,
        l.tenants,
        l.window,
        l.lease,
        l.voters
    );
    for (name, MemberConfig { address, zone, machine }) in &config.members {
        text +=
            &format!("{name} = {{ address = \"{address}\", zone = \"{zone}\", machine = \"{machine}\" }}\n");
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_written_configuration_parses_to_the_same_configuration() {
        let config = fleet_config(3, &FleetSettings::default(), |node| member_addr(16, node));
        assert_eq!(FleetConfig::parse(&config_to_toml(&config)), Ok(config));
    }
}
