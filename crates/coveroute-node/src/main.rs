//! The coveroute node: accepts invocations from clients and pushes them to executors. The library `coveroute` makes the
//! decisions; this program carries them out.
mod answer;
mod arrival;
mod attempt;
mod callbacks;
mod client_connection;
mod client_stream;
mod clock;
mod config;
mod connection;
mod descriptors;
#[cfg(test)]
mod disconnect_tests;
mod discovery;
#[cfg(test)]
mod discovery_tests;
mod driver;
mod event;
mod executors;
mod fleet;
#[cfg(test)]
mod give_up_tests;
mod handover;
mod held_bytes;
mod hosts;
#[cfg(test)]
mod large_input_tests;
mod link;
mod listen;
mod logger;
mod management;
mod node_state;
mod peers;
mod probe;
#[cfg(test)]
mod race_tests;
mod replace;
mod request;
mod runtime;
mod send;
mod server;
mod socket;
#[cfg(test)]
mod tests;
mod transient;
mod validation;
mod wire;

use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use log::{info, LevelFilter};
use pico_args::Arguments;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use clock::Clock;
use config::Config;
use coveroute_fleet::rights::limit_id;
use coveroute_fleet::FleetConfig;
use driver::{Driver, Endpoints, SuccessorSocket};
use event::{DriverEvent, EventSender};
use executors::ExecutorConnections;
use fleet::FleetMember;
use held_bytes::HeldBytes;
use node_state::NodeState;
use server::ClientServer;

const USAGE: &str = "\
coveroute: accepts invocations from clients and pushes them to executors

usage: coveroute serve [--config FILE] [--fleet FILE] [--member NAME] [--log LEVEL]   run a node until it is asked to stop
       coveroute check [--config FILE] [--fleet FILE] [--member NAME]                 validate the files
       coveroute version
       coveroute help

--config FILE   default: the file that BALANCER_CONFIG names; BALANCER_LISTEN, BALANCER_DISCOVERY and
                BALANCER_MANAGEMENT take precedence over the file
--fleet FILE    the members of the fleet, see deploy/fleet.toml; without it a node knows no other nodes
--member NAME   this node's name in the fleet file; default: the configuration's name
--log LEVEL     off, error, warn, info (default), debug or trace";

enum Command {
    Serve(Files, LevelFilter),
    Check(Files),
    Version,
    Help,
}

/// The files that are read at the start and on SIGHUP.
#[derive(Clone)]
struct Files {
    config: Option<PathBuf>,
    fleet: Option<PathBuf>,
    member: Option<String>,
}

impl Files {
    fn of(arguments: &mut Arguments) -> Result<Self, String> {
        let text = |e: pico_args::Error| e.to_string();
        let config = arguments.opt_value_from_str("--config").map_err(text)?;
        let fleet: Option<PathBuf> = arguments.opt_value_from_str("--fleet").map_err(text)?;
        let member: Option<String> = arguments.opt_value_from_str("--member").map_err(text)?;
        match (&fleet, &member) {
            (None, Some(_)) => Err("--member: requires --fleet".into()),
            _ => Ok(Files { config, fleet, member }),
        }
    }

    /// The node's entry in the fleet file, if there is a fleet file.
    fn membership(&self, config: &Config) -> Result<Option<fleet::Membership>, String> {
        let Some(path) = self.fleet.clone() else { return Ok(None) };
        let name = self.member.clone().or(config.name.clone());
        let name = name.ok_or("--member: required with --fleet, because the configuration has no name")?;
        Ok(Some(fleet::Membership { path, name }))
    }

    fn own_peer(config: &Config) -> Option<SocketAddr> {
        config.peers.as_ref().map(|peers| peers[config.settings.node_index])
    }

    /// The fleet file's content, and the address for the fleet's datagrams.
    fn plan(&self, config: &Config) -> Result<Option<(fleet::Membership, FleetConfig, SocketAddr)>, String> {
        let Some(membership) = self.membership(config)? else { return Ok(None) };
        let plan = membership.read()?;
        let address = membership.address(&plan, Self::own_peer(config))?;
        Ok(Some((membership, plan, address)))
    }

    /// Reads both files again; reports them, or why one of them is invalid.
    async fn reread(&self) -> DriverEvent {
        match self.read_reload().await {
            Ok((config, plan)) => DriverEvent::Reload(Ok(config), plan),
            Err(reason) => DriverEvent::Reload(Err(reason), None),
        }
    }

    async fn read_reload(&self) -> Result<(Box<Config>, Option<FleetConfig>), String> {
        let config = Config::reread(self.config.clone()).await?;
        let plan = self.plan(&config)?.map(|(_, plan, _)| plan);
        Ok((Box::new(config), plan))
    }
}

fn command(mut arguments: Arguments) -> Result<Command, String> {
    let text = |e: pico_args::Error| e.to_string();
    let name = arguments.subcommand().map_err(text)?;
    let help = arguments.contains(["-h", "--help"]);
    let command = match name.as_deref() {
        _ if help => Command::Help,
        Some("serve") => {
            let level = arguments.opt_value_from_str("--log").map_err(text)?;
            Command::Serve(Files::of(&mut arguments)?, level.unwrap_or(LevelFilter::Info))
        }
        Some("check") => Command::Check(Files::of(&mut arguments)?),
        Some("version") => Command::Version,
        Some("help") => Command::Help,
        Some(other) => return Err(format!("unknown command {other}; see coveroute help")),
        None => return Err("no command; see coveroute help".into()),
    };
    let rest = arguments.finish();
    match rest.first().filter(|_| !help) {
        Some(rest) => Err(format!("unexpected argument {}; see coveroute help", rest.to_string_lossy())),
        None => Ok(command),
    }
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("coveroute {}", env!("CARGO_PKG_VERSION")),
        // The fleet file is the same for all nodes, so it can be checked without a node's configuration.
        Command::Check(Files { config: None, fleet: Some(path), member: None })
            if std::env::var_os(config::PATH).is_none() =>
        {
            let plan = fleet::read_plan(&path)?;
            println!("fit: fleet {}, {} members", plan.fleet, plan.members.len());
        }
        Command::Check(files) => {
            let config = Config::read(files.config.clone())?;
            let fleet = files.plan(&config)?;
            let (operations, nodes) = (config.settings.operations.len(), config.settings.nodes);
            println!("fit: {operations} operations, {nodes} nodes, listens on {}", config.listen);
            if let Some((membership, plan, address)) = fleet {
                let (shares, members) = (config.shares(), plan.members.len());
                let terms = plan.limit_terms(&shares);
                for (name, _) in &shares {
                    // Tenants without a quota have no limit.
                    let limit = terms.as_ref().and_then(|terms| terms.limit(limit_id(name)));
                    let Some(limit) = limit else { continue };
                    let (bound, one) = (limit.bound(), limit.most / members as f64);
                    println!(
                        "tenant {name}: {:.1} in {:.0} s, {bound:.1} at most; {one:.1} more for each node that is cut off from most voters",
                        limit.most, limit.window
                    );
                }
                let fleet = &plan.fleet;
                println!("fit: fleet {fleet}, {members} members; {} hears at {address}", membership.name);
            }
        }
        Command::Serve(files, level) => {
            logger::start(level);
            let config = Config::read(files.config.clone())?;
            let runtime = runtime::start().map_err(|e| format!("can't create the runtime: {e}"))?;
            runtime.block_on(serve(config, files))?;
        }
    }
    Ok(())
}

/// Splits the node's descriptor limit: connections to executors, connections from waiting clients, and additional ones
/// for executors that report, idle clients and clients that are throttled. The remaining sixth is for connections that
/// are being closed and for the process's own descriptors.
fn descriptor_limits(sockets: usize, memory_mb: usize) -> (usize, (usize, usize)) {
    // A client's connection may buffer 128 KiB of request head, 64 KiB of body, and the same body for its executor.
    const KIB_PER_CLIENT: usize = 256;
    let clients_in_memory = memory_mb * 1024 / KIB_PER_CLIENT;
    (sockets / 3, ((sockets / 3).min(clients_in_memory / 2), (sockets / 6).min(clients_in_memory / 8)))
}

async fn serve(config: Config, files: Files) -> Result<(), String> {
    let (events, event_receiver) = mpsc::unbounded_channel();
    // First, because a signal without a handler would end the process.
    actix_rt::spawn(signals(events.clone(), files.clone())?);
    let fleet = files.plan(&config)?;
    // This address is not shared, and is bound before the handover: operators could not tell two processes apart that
    // answer there.
    let management_listener = match config.management {
        Some(addr) => {
            Some(listen::bind_management(addr).await.map_err(|e| format!("management: {addr}: {e}"))?)
        }
        None => None,
    };
    let handover_path = replace::socket_path(config.listen);
    let predecessor = match &handover_path {
        Some(path) => replace::predecessor(path).await,
        None => None,
    };
    let (predecessor, sockets) = predecessor.map(|predecessor| predecessor.into_link(events.clone())).unzip();
    let peer_addr = Files::own_peer(&config).or(fleet.as_ref().map(|(.., address)| *address));
    let (listener, datagrams) = listen::open(config.listen, peer_addr, sockets.unwrap_or_default()).await?;
    let clock = predecessor.as_ref().map_or_else(Clock::new, |(_, state)| state.clock());
    let node_state = Rc::new(NodeState::new());
    let (executors, clients) = descriptor_limits(config.sockets, config.memory_mb);
    let executor_connections = ExecutorConnections::new(executors, config.dial, config.idle);
    let held_bytes = HeldBytes::new(config.memory_mb);
    let server = ClientServer::new(clock, node_state.clone(), events.clone(), clients, held_bytes);
    let server = Rc::new(server);
    let fleet_member = match (fleet, &datagrams) {
        (Some((membership, plan, _)), Some(socket)) => {
            let socket = socket.try_clone().map_err(|e| e.to_string())?;
            Some(Rc::new(FleetMember::new(
                &membership,
                plan,
                config.shares(),
                (socket, node_state.clone(), events.clone()),
            )?))
        }
        _ => None,
    };
    fleet_member.iter().for_each(|fleet_member| drop(actix_rt::spawn(fleet_member.clone().run())));
    let management =
        management::ManagementServer::new(node_state.clone(), events.clone(), fleet_member.clone());
    management_listener.map(|listener| actix_rt::spawn(management::accept(listener, management)));
    let shared = [Some(listener.as_fd()), datagrams.as_ref().map(AsFd::as_fd)];
    let sockets = listen::duplicate(shared.into_iter().flatten()).await.map_err(|e| e.to_string())?;
    let successor_socket = handover_path.map(|path| SuccessorSocket { path, sockets });
    let (adopt, adopted) = mpsc::unbounded_channel();
    let endpoints = Endpoints {
        datagrams,
        fleet_member,
        predecessor,
        successor_socket,
        connections: server.connections(),
        adopted: Some(adopt),
    };
    let driver = Driver::new(config, clock, node_state, executor_connections, endpoints, events)?;
    actix_rt::spawn(server::accept(listener, server.clone(), adopted));
    actix_rt::spawn(server::sweep(server));
    driver.run(event_receiver).await;
    info!("stopped");
    Ok(())
}

/// Turns the signals to stop and to reload into events.
fn signals(events: EventSender, files: Files) -> Result<impl Future<Output = ()>, String> {
    let listen = |kind| signal(kind).map_err(|e| e.to_string());
    let mut term = listen(SignalKind::terminate())?;
    let mut int = listen(SignalKind::interrupt())?;
    let mut hup = listen(SignalKind::hangup())?;
    Ok(async move {
        loop {
            let event = tokio::select! {
                _ = term.recv() => DriverEvent::Stop,
                _ = int.recv() => DriverEvent::Stop,
                _ = hup.recv() => {
                    // In a separate task: a stop must not wait for disk reads.
                    let (events, files) = (events.clone(), files.clone());
                    actix_rt::spawn(async move { events.send(files.reread().await) });
                    continue;
                }
            };
            let _ = events.send(event);
        }
    })
}

fn main() -> ExitCode {
    match command(Arguments::from_env()).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("coveroute: {reason}");
            ExitCode::FAILURE
        }
    }
}
