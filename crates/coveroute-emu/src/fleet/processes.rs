//! The stage on loopback: real processes of the program, a relay on each way between two of them, real signals. What
//! becomes of a datagram is decided by the same links as in virtual time; what is known is read at the operators' doors.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coveroute_fleet::plan::Entry;
use coveroute_fleet::Plan;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::runtime::Runtime;

use super::links::Links;
use super::stage::{member, plan};
use crate::scenario::{Direction, FleetPart, Scenario, What};
use crate::search::drawn;
use crate::world::NodeId;

const CONFIG: &str = include_str!("../../../../examples/config.json");
/// A door that says nothing for so long is a process that stands still.
const DOOR_WITHIN: Duration = Duration::from_millis(400);
const LOOKS_EVERY: Duration = Duration::from_millis(10);

struct Seat {
    child: Option<Child>,
    door: SocketAddr,
    /// Another process of the node, in whose place the first one came.
    before: Option<Child>,
    still: bool,
}

pub struct Processes {
    program: PathBuf,
    dir: PathBuf,
    block: u8,
    part: FleetPart,
    tenant: Option<(String, f64)>,
    seats: Vec<Seat>,
    links: Arc<Mutex<Links>>,
    began: Instant,
    started: u16,
    /// The relays run on it, until this is dropped.
    _runtime: Runtime,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for seat in &mut self.seats {
            for child in seat.child.iter_mut().chain(&mut seat.before) {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn lock(links: &Mutex<Links>) -> MutexGuard<'_, Links> {
    links.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where a node hears.
pub fn own(block: u8, node: NodeId) -> SocketAddr {
    ([127, block, 60, node as u8], 9400).into()
}

/// Where `from` finds `to`: a relay.
pub fn relay(block: u8, from: NodeId, to: NodeId) -> SocketAddr {
    ([127, block, 64 + from as u8, to as u8], 9401).into()
}

/// Brings what `from` sends to `to`, and sends it from where `to` finds `from`.
pub async fn bring(
    here: Arc<UdpSocket>,
    there: Arc<UdpSocket>,
    links: Arc<Mutex<Links>>,
    began: Instant,
    (from, to): (NodeId, NodeId),
    block: u8,
) {
    let (mut buffer, comes, goes) = ([0; 2048], own(block, from), own(block, to));
    loop {
        let Ok((many, whose)) = here.recv_from(&mut buffer).await else { continue };
        if whose != comes {
            continue;
        }
        let passed = lock(&links).pass(began.elapsed().as_secs_f64(), from, to, buffer[..many].to_vec());
        for (after, bytes) in passed {
            if after < 1e-3 {
                let _ = there.send_to(&bytes, goes).await;
            } else {
                let there = there.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(after)).await;
                    let _ = there.send_to(&bytes, goes).await;
                });
            }
        }
    }
}

/// A relay for each way between two of them, each a task.
pub async fn relays(
    block: u8,
    nodes: usize,
    links: &Arc<Mutex<Links>>,
    began: Instant,
) -> Result<(), String> {
    let bind =
        |addr| async move { UdpSocket::bind(addr).await.map(Arc::new).map_err(|e| format!("{addr}: {e}")) };
    for from in 0..nodes {
        for to in 0..from {
            let (one, two) = (bind(relay(block, from, to)).await?, bind(relay(block, to, from)).await?);
            tokio::spawn(bring(one.clone(), two.clone(), links.clone(), began, (from, to), block));
            tokio::spawn(bring(two, one, links.clone(), began, (to, from), block));
        }
    }
    Ok(())
}

/// The operators' file of that node, with the others behind its relays.
pub fn plan_of(block: u8, nodes: usize, part: &FleetPart, node: NodeId) -> Plan {
    plan(nodes, part, |other| if other == node { own(block, node) } else { relay(block, node, other) })
}

impl Processes {
    /// So many processes of the program, each with the others in its file.
    pub fn start(program: &Path, nodes: usize, part: FleetPart) -> Result<Self, String> {
        Self::limited(program, nodes, part, None)
    }

    /// The same with a tenant whose share, in invocations a second, holds over all of them.
    pub fn limited(
        program: &Path,
        nodes: usize,
        part: FleetPart,
        tenant: Option<(&str, f64)>,
    ) -> Result<Self, String> {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        if !program.is_file() {
            return Err(format!("{}: no program; build it first", program.display()));
        }
        if nodes > 60 {
            return Err(format!("{nodes} processes: 60 at most here"));
        }
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        // A block of loopback addresses of its own, so that runs beside each other don't meet.
        let block = 16 + ((std::process::id() + 101 * number) % 200) as u8;
        let dir = std::env::temp_dir().join(format!("coveroute-fleet-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let mut scenario: Scenario = drawn(1);
        let latency = crate::scenario::Span(0.0);
        (scenario.fleet, scenario.faults) = (Some(FleetPart { latency, ..part.clone() }), Vec::new());
        let links = Arc::new(Mutex::new(Links::new(&scenario, 1, &vec!["a".into(); nodes])));
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let began = Instant::now();
        runtime.block_on(relays(block, nodes, &links, began))?;
        let seat = |_| Seat { child: None, door: own(block, 0), before: None, still: false };
        let seats = (0..nodes).map(seat).collect();
        let (program, started) = (program.to_owned(), 0);
        let tenant = tenant.map(|(name, share)| (name.to_owned(), share));
        let mut all =
            Processes { program, dir, block, part, tenant, seats, links, began, started, _runtime: runtime };
        for node in 0..nodes {
            all.configure(node)?;
            all.write_plan(node, |_| true)?;
            all.begin(node)?;
        }
        Ok(all)
    }

    fn configure(&self, node: NodeId) -> Result<(), String> {
        let listen = self.listens(node);
        let nobody = SocketAddr::from(([127, self.block, 61, node as u8], 9));
        let text = CONFIG.replace("127.0.0.1:9000", &listen.to_string());
        let text = text.replace("127.0.0.1:8500", &nobody.to_string());
        let text = text.replace("\"name\": \"n0\"", &format!("\"name\": \"{}\"", member(node)));
        let nodes = format!("\"replicasOfMe\": {}", self.seats.len());
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
        // Beside it first: a node that reads meanwhile has the one or the other.
        let (new, path) = (self.dir.join(format!("{name}.new")), self.dir.join(name));
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
        written.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The operators' file of that node, with the members that fit.
    pub fn write_plan(&self, node: NodeId, fits: impl Fn(NodeId) -> bool) -> Result<(), String> {
        let mut plan = plan_of(self.block, self.seats.len(), &self.part, node);
        plan.limits.tenants = self.tenant.is_some();
        plan.members.retain(|name, _| name[1..].parse().is_ok_and(&fits));
        self.write(&format!("f{node}.toml"), &text(&plan))
    }

    fn spawn(&mut self, node: NodeId) -> Result<(Child, SocketAddr), String> {
        self.started += 1;
        let door = SocketAddr::from(([127, self.block, 62, node as u8], 10_000 + self.started));
        let path = self.dir.join(format!("n{node}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&path);
        let folder = self.dir.join(format!("t{node}"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(self.dir.join(format!("c{node}.json")));
        command.arg("--fleet").arg(self.dir.join(format!("f{node}.toml")));
        command.env_remove("BALANCER_LISTEN").env_remove("BALANCER_DISCOVERY").env_remove("BALANCER_CONFIG");
        command.env("BALANCER_MANAGEMENT", door.to_string()).env("TMPDIR", folder);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log.map_err(|e| format!("{}: {e}", path.display()))?);
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        Ok((child, door))
    }

    pub fn begin(&mut self, node: NodeId) -> Result<(), String> {
        let (child, door) = self.spawn(node)?;
        let seat = &mut self.seats[node];
        (seat.child, seat.door, seat.still) = (Some(child), door, false);
        Ok(())
    }

    /// A new process in the place of the node's; the old one is asked to stop once the new one is ready to be told.
    pub fn replace(&mut self, node: NodeId) -> Result<(), String> {
        let (child, door) = self.spawn(node)?;
        let seat = &mut self.seats[node];
        seat.before = seat.child.replace(child);
        seat.door = door;
        Ok(())
    }

    /// Ends the one in whose place another came.
    pub fn stop_before(&mut self, node: NodeId) {
        if let Some(mut before) = self.seats[node].before.take() {
            let _ = kill(Pid::from_raw(before.id() as i32), Signal::SIGTERM);
            let _ = before.wait();
        }
    }

    fn signal(&self, node: NodeId, signal: Signal) {
        if let Some(child) = &self.seats[node].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    pub fn kill(&mut self, node: NodeId) {
        if let Some(mut child) = self.seats[node].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn stop(&mut self, node: NodeId) {
        self.signal(node, Signal::SIGTERM);
    }

    pub fn stall(&mut self, node: NodeId) {
        self.seats[node].still = true;
        self.signal(node, Signal::SIGSTOP);
    }

    pub fn wake(&mut self, node: NodeId) {
        self.seats[node].still = false;
        self.signal(node, Signal::SIGCONT);
    }

    pub fn reread(&self, node: NodeId) {
        self.signal(node, Signal::SIGHUP);
    }

    pub fn strike(&self, what: What, by: f64, set: &[NodeId], way: Direction) {
        lock(&self.links).strike(self.began.elapsed().as_secs_f64(), what, by, set, way);
    }

    pub fn heal(&self) {
        lock(&self.links).heal();
    }

    /// The file of that node, and its name there.
    pub fn file(&self, node: NodeId) -> (PathBuf, String) {
        (self.dir.join(format!("f{node}.toml")), member(node))
    }

    pub fn pid(&self, node: NodeId) -> Option<u32> {
        self.seats[node].child.as_ref().map(Child::id)
    }

    /// What a node's door tells.
    pub fn metrics(&self, node: NodeId) -> Option<Value> {
        let mut stream = TcpStream::connect_timeout(&self.seats[node].door, DOOR_WITHIN).ok()?;
        stream.set_read_timeout(Some(DOOR_WITHIN)).ok()?;
        stream.write_all(b"GET /v1/metrics HTTP/1.1\r\nHost: n\r\n\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        serde_json::from_str(answer.split_once("\r\n\r\n")?.1).ok()
    }

    pub fn fleet(&self, node: NodeId) -> Option<Value> {
        Some(self.metrics(node)?.get("fleet")?.clone())
    }

    pub fn log(&self, node: NodeId) -> String {
        std::fs::read_to_string(self.dir.join(format!("n{node}.log"))).unwrap_or_default()
    }

    /// Another share of the tenant's, in the configurations of these nodes; they read it when they are told to.
    pub fn share(&mut self, nodes: &[NodeId], share: f64) -> Result<(), String> {
        self.tenant.iter_mut().for_each(|tenant| tenant.1 = share);
        nodes.iter().try_for_each(|node| self.configure(*node))
    }

    /// Where clients of that node call.
    pub fn listens(&self, node: NodeId) -> SocketAddr {
        ([127, self.block, 61, node as u8], 9100).into()
    }

    /// A tenant's invocations at a node that were wanted, and that were within its share, since its process began.
    pub fn within(&self, node: NodeId, tenant: &str) -> Option<(f64, f64)> {
        let limit = self.fleet(node)?["limits"][tenant].clone();
        Some((limit["wanted"].as_f64()?, limit["had"].as_f64()?))
    }

    /// The nodes whose processes run now.
    pub fn running(&self) -> Vec<NodeId> {
        let runs = |node: &NodeId| self.seats[*node].child.is_some() && !self.seats[*node].still;
        (0..self.seats.len()).filter(runs).collect()
    }

    /// Whether each of these holds each of those to be one of that.
    pub fn hold(&self, by: &[NodeId], of: &[NodeId], states: &[&str]) -> bool {
        by.iter().all(|by| {
            let Some(fleet) = self.fleet(*by) else { return false };
            let fits = |of: &NodeId| {
                let state = fleet["states"][member(*of)].as_str();
                state.is_some_and(|state| states.contains(&state))
            };
            of.iter().filter(|of| *of != by).all(fits)
        })
    }

    /// Whether these hold the same.
    pub fn agree(&self, nodes: &[NodeId]) -> bool {
        let sums: Vec<Option<String>> = nodes
            .iter()
            .map(|node| self.fleet(*node).and_then(|fleet| Some(fleet["sum"].as_str()?.to_owned())))
            .collect();
        sums.iter().all(|sum| sum.is_some() && *sum == sums[0])
    }

    /// Waits until it holds; how long that took, in seconds.
    pub fn until(&self, within: f64, holds: impl Fn(&Processes) -> bool) -> Option<f64> {
        let began = Instant::now();
        loop {
            if holds(self) {
                return Some(began.elapsed().as_secs_f64());
            }
            if began.elapsed().as_secs_f64() > within {
                return None;
            }
            std::thread::sleep(LOOKS_EVERY);
        }
    }
}

/// As operators write it.
pub fn text(plan: &Plan) -> String {
    let (d, l) = (&plan.detector, &plan.limits);
    let mut text = format!(
        "fleet = \"{}\"\n[detector]\nevery = {:?}\nrelays = {}\nsuspicion = {:?}\npatience = {:?}\ndrift = {:?}\n\
         budget = {:?}\n[records]\nlife = {:?}\nmost = {}\n[limits]\ntenants = {}\nwindow = {:?}\nlease = {:?}\nvoters = {:?}\n[members]\n",
        plan.fleet,
        d.every,
        d.relays,
        d.suspicion,
        d.patience,
        d.drift,
        d.budget,
        plan.records.life,
        plan.records.most,
        l.tenants,
        l.window,
        l.lease,
        l.voters
    );
    for (name, Entry { address, zone, machine }) in &plan.members {
        text +=
            &format!("{name} = {{ address = \"{address}\", zone = \"{zone}\", machine = \"{machine}\" }}\n");
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_that_is_written_reads_the_same() {
        let plan = plan(3, &FleetPart::default(), |node| own(16, node));
        assert_eq!(Plan::parse(&text(&plan)), Ok(plan));
    }
}
