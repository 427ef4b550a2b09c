//! coveroute, the node on sockets: takes invocations from clients and pushes them to executors. The decisions
//! stand in the library `coveroute`; this program carries them out.
mod arrival;
#[cfg(test)]
mod at_size;
mod attempt;
mod callbacks;
mod clock;
mod config;
mod connection;
#[cfg(test)]
mod crossings;
#[cfg(test)]
mod departures;
mod descriptors;
mod discovery;
mod driver;
mod executors;
mod fleet;
mod guest;
mod handed;
mod happening;
mod hosts;
mod link;
mod listen;
mod logger;
mod needed;
mod operators;
mod peers;
mod phase;
mod probe;
mod relay;
mod replace;
mod send;
mod server;
mod socket;
mod take_in;
#[cfg(test)]
mod tests;
mod transient;
#[cfg(test)]
mod watches;
mod wire;

use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
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
use coveroute_fleet::Plan;
use driver::{Driver, Others, Successors};
use executors::Links;
use fleet::Carrier;
use happening::{Happening, Happenings};
use phase::Life;
use server::Door;

const USAGE: &str = "\
coveroute: takes invocations from clients and pushes them to executors

usage: coveroute serve [--config FILE] [--fleet FILE] [--member NAME] [--log LEVEL]   run a node until it is asked to stop
       coveroute check [--config FILE] [--fleet FILE] [--member NAME]                 say whether the files are fit
       coveroute version
       coveroute help

--config FILE   default: what BALANCER_CONFIG names; BALANCER_LISTEN, BALANCER_DISCOVERY and BALANCER_MANAGEMENT
                go before the file
--fleet FILE    who the other nodes are, see deploy/fleet.toml; without it a node knows no other
--member NAME   under which the node stands there; default: the configuration's name
--log LEVEL     off, error, warn, info (default), debug or trace";

enum Command {
    Serve(Files, LevelFilter),
    Check(Files),
    Version,
    Help,
}

/// What is read at the start and at SIGHUP.
#[derive(Clone)]
struct Files {
    config: Option<PathBuf>,
    fleet: Option<PathBuf>,
    member: Option<String>,
}

impl Files {
    fn of(arguments: &mut Arguments) -> Result<Self, String> {
        let told = |e: pico_args::Error| e.to_string();
        let config = arguments.opt_value_from_str("--config").map_err(told)?;
        let fleet: Option<PathBuf> = arguments.opt_value_from_str("--fleet").map_err(told)?;
        let member: Option<String> = arguments.opt_value_from_str("--member").map_err(told)?;
        match (&fleet, &member) {
            (None, Some(_)) => Err("--member: goes with --fleet".into()),
            _ => Ok(Files { config, fleet, member }),
        }
    }

    /// Where the node stands in the fleet's file, if there is one.
    fn place(&self, config: &Config) -> Result<Option<fleet::Place>, String> {
        let Some(path) = self.fleet.clone() else { return Ok(None) };
        let name = self.member.clone().or(config.name.clone());
        let name = name.ok_or("--member: under which name does the node stand in the fleet's file?")?;
        Ok(Some(fleet::Place { path, name }))
    }

    fn own_peer(config: &Config) -> Option<SocketAddr> {
        config.peers.as_ref().map(|peers| peers[config.settings.me])
    }

    /// The fleet's file, and where its datagrams come.
    fn plan(&self, config: &Config) -> Result<Option<(fleet::Place, Plan, SocketAddr)>, String> {
        let Some(place) = self.place(config)? else { return Ok(None) };
        let plan = place.read()?;
        let address = place.address(&plan, Self::own_peer(config))?;
        Ok(Some((place, plan, address)))
    }

    /// Both anew, or why one of them is not fit.
    async fn reread(&self) -> Happening {
        match self.read_again().await {
            Ok((config, plan)) => Happening::Reload(Ok(config), plan),
            Err(words) => Happening::Reload(Err(words), None),
        }
    }

    async fn read_again(&self) -> Result<(Box<Config>, Option<Plan>), String> {
        let config = Config::reread(self.config.clone()).await?;
        let plan = self.plan(&config)?.map(|(_, plan, _)| plan);
        Ok((Box::new(config), plan))
    }
}

fn command(mut arguments: Arguments) -> Result<Command, String> {
    let told = |e: pico_args::Error| e.to_string();
    let name = arguments.subcommand().map_err(told)?;
    let help = arguments.contains(["-h", "--help"]);
    let command = match name.as_deref() {
        _ if help => Command::Help,
        Some("serve") => {
            let level = arguments.opt_value_from_str("--log").map_err(told)?;
            Command::Serve(Files::of(&mut arguments)?, level.unwrap_or(LevelFilter::Info))
        }
        Some("check") => Command::Check(Files::of(&mut arguments)?),
        Some("version") => Command::Version,
        Some("help") => Command::Help,
        Some(other) => return Err(format!("no command {other}; see coveroute help")),
        None => return Err("no command; see coveroute help".into()),
    };
    let rest = arguments.finish();
    match rest.first().filter(|_| !help) {
        Some(rest) => Err(format!("{} is not understood; see coveroute help", rest.to_string_lossy())),
        None => Ok(command),
    }
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("coveroute {}", env!("CARGO_PKG_VERSION")),
        // The fleet's file is the same for all nodes: it can be looked at without any node's configuration.
        Command::Check(Files { config: None, fleet: Some(path), member: None })
            if std::env::var_os(config::PATH).is_none() =>
        {
            let plan = fleet::read(&path)?;
            println!("fit: fleet {}, {} members", plan.fleet, plan.members.len());
        }
        Command::Check(files) => {
            let config = Config::read(files.config.clone())?;
            let fleet = files.plan(&config)?;
            let (operations, nodes) = (config.settings.operations.len(), config.settings.nodes);
            println!("fit: {operations} operations, {nodes} nodes, listens on {}", config.listen);
            if let Some((place, plan, address)) = fleet {
                let (shares, members) = (config.shares(), plan.members.len());
                let terms = plan.terms(&shares);
                for (name, _) in &shares {
                    // Those without a share have no limit.
                    let limit = terms.as_ref().and_then(|terms| terms.limit(limit_id(name)));
                    let Some(limit) = limit else { continue };
                    let (bound, one) = (limit.bound(), limit.most / members as f64);
                    println!(
                        "tenant {name}: {:.1} in {:.0} s, {bound:.1} at most; {one:.1} more for each node that is cut off from most voters",
                        limit.most, limit.window
                    );
                }
                let fleet = &plan.fleet;
                println!("fit: fleet {fleet}, {members} members; {} hears at {address}", place.name);
            }
        }
        Command::Serve(files, level) => {
            logger::start(level);
            let config = Config::read(files.config.clone())?;
            actix_rt::System::new().block_on(serve(config, files))?;
        }
    }
    Ok(())
}

/// Parts of the descriptors that the node may hold: to executors, from clients that wait, and from others
/// beyond those: executors that tell, and clients who are idle or only told to come back. A sixth is left for
/// what is being closed and the process's own.
fn budget(sockets: usize, memory_mb: usize) -> (usize, (usize, usize)) {
    // A client's connection may hold 128 KiB of a head that is being read, and 64 KiB of a body.
    const KIB_EACH: usize = 192;
    let fit = memory_mb * 1024 / KIB_EACH;
    (sockets / 3, ((sockets / 3).min(fit / 2), (sockets / 6).min(fit / 8)))
}

async fn serve(config: Config, files: Files) -> Result<(), String> {
    let (happenings, happens) = mpsc::unbounded_channel();
    // First: a signal that nobody listens to would end the process.
    actix_rt::spawn(signals(happenings.clone(), files.clone())?);
    let fleet = files.plan(&config)?;
    // Not shared, and before anything is handed over: two processes that answer here would be told apart by nobody.
    let operators = match config.management {
        Some(addr) => Some(listen::operators(addr).await.map_err(|e| format!("management: {addr}: {e}"))?),
        None => None,
    };
    let place = replace::place(config.listen);
    let before = match &place {
        Some(place) => replace::predecessor(place).await,
        None => None,
    };
    let (before, sockets) = before.map(|before| before.link(happenings.clone())).unzip();
    let hears = Files::own_peer(&config).or(fleet.as_ref().map(|(.., address)| *address));
    let (listener, datagrams) = listen::sockets(config.listen, hears, sockets.unwrap_or_default()).await?;
    let clock = before.as_ref().map_or_else(Clock::new, |(_, handed)| handed.clock());
    let life = Rc::new(Life::new());
    let (executors, clients) = budget(config.sockets, config.memory_mb);
    let links = Links::new(executors, config.dial, config.idle);
    let door = Rc::new(Door::new(clock, life.clone(), happenings.clone(), clients));
    let carrier = match (fleet, &datagrams) {
        (Some((place, plan, _)), Some(socket)) => {
            let socket = socket.try_clone().map_err(|e| e.to_string())?;
            Some(Rc::new(Carrier::new(
                &place,
                plan,
                config.shares(),
                (socket, life.clone(), happenings.clone()),
            )?))
        }
        _ => None,
    };
    carrier.iter().for_each(|carrier| drop(actix_rt::spawn(carrier.clone().run())));
    let desk = operators::Desk::new(life.clone(), happenings.clone(), carrier.clone());
    operators.map(|listener| actix_rt::spawn(operators::accept(listener, desk)));
    let own = |socket: std::io::Result<OwnedFd>| socket.map_err(|e| e.to_string());
    let mut sockets = vec![own(listener.as_fd().try_clone_to_owned())?];
    if let Some(datagrams) = &datagrams {
        sockets.push(own(datagrams.as_fd().try_clone_to_owned())?);
    }
    let successors = place.map(|place| Successors { place, sockets });
    let (adopts, comes) = mpsc::unbounded_channel();
    let others =
        Others { datagrams, carrier, before, successors, guests: door.guests(), comes: Some(adopts) };
    let driver = Driver::new(config, clock, life, links, others, happenings)?;
    actix_rt::spawn(server::accept(listener, door.clone(), comes));
    actix_rt::spawn(server::sweep(door));
    driver.run(happens).await;
    info!("stopped");
    Ok(())
}

/// Passes on that the platform wants the node to stop, or the operators its configuration to be read anew.
fn signals(happenings: Happenings, files: Files) -> Result<impl Future<Output = ()>, String> {
    let listen = |kind| signal(kind).map_err(|e| e.to_string());
    let mut term = listen(SignalKind::terminate())?;
    let mut int = listen(SignalKind::interrupt())?;
    let mut hup = listen(SignalKind::hangup())?;
    Ok(async move {
        loop {
            let happening = tokio::select! {
                _ = term.recv() => Happening::Stop,
                _ = int.recv() => Happening::Stop,
                _ = hup.recv() => {
                    // Apart: a stop must not wait for a disk.
                    let (happenings, files) = (happenings.clone(), files.clone());
                    actix_rt::spawn(async move { happenings.send(files.reread().await) });
                    continue;
                }
            };
            let _ = happenings.send(happening);
        }
    })
}

fn main() -> ExitCode {
    match command(Arguments::from_env()).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("coveroute: {words}");
            ExitCode::FAILURE
        }
    }
}
