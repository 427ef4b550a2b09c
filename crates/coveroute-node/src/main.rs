//! coveroute, the node on sockets: takes invocations from clients and pushes them to executors. The decisions
//! stand in the library `coveroute`; this program carries them out.
mod callbacks;
mod clock;
mod config;
mod discovery;
mod driver;
mod executors;
mod guest;
mod handed;
mod hosts;
mod logger;
mod needed;
mod operators;
mod peers;
mod phase;
mod relay;
mod replace;
mod send;
mod server;
mod take_in;
#[cfg(test)]
mod tests;
mod wire;

use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use actix_rt::net::TcpListener;
use log::{info, LevelFilter};
use pico_args::Arguments;
use tokio::net::TcpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use clock::Clock;
use config::Config;
use driver::{Driver, Happening, Happenings, Others, Successors};
use executors::Links;
use phase::Life;
use server::Door;

const USAGE: &str = "\
coveroute: takes invocations from clients and pushes them to executors

usage: coveroute serve [--config FILE] [--log LEVEL]   run a node until it is asked to stop
       coveroute check [--config FILE]                 read the configuration, say whether it is fit
       coveroute version
       coveroute help

--config FILE   default: what BALANCER_CONFIG names; BALANCER_LISTEN, BALANCER_DISCOVERY and BALANCER_MANAGEMENT
                go before the file
--log LEVEL     off, error, warn, info (default), debug or trace";

enum Command {
    Serve(Option<PathBuf>, LevelFilter),
    Check(Option<PathBuf>),
    Version,
    Help,
}

fn command(mut arguments: Arguments) -> Result<Command, String> {
    let told = |e: pico_args::Error| e.to_string();
    let name = arguments.subcommand().map_err(told)?;
    let help = arguments.contains(["-h", "--help"]);
    let command = match name.as_deref() {
        _ if help => Command::Help,
        Some("serve") => {
            let level = arguments.opt_value_from_str("--log").map_err(told)?;
            let config = arguments.opt_value_from_str("--config").map_err(told)?;
            Command::Serve(config, level.unwrap_or(LevelFilter::Info))
        }
        Some("check") => Command::Check(arguments.opt_value_from_str("--config").map_err(told)?),
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
        Command::Check(path) => {
            let config = Config::read(path)?;
            let (operations, nodes) = (config.settings.operations.len(), config.settings.nodes);
            println!("fit: {operations} operations, {nodes} nodes, listens on {}", config.listen);
        }
        Command::Serve(path, level) => {
            logger::start(level);
            let config = Config::read(path.clone())?;
            actix_rt::System::new().block_on(serve(config, path))?;
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

async fn serve(config: Config, path: Option<PathBuf>) -> Result<(), String> {
    let (happenings, happens) = mpsc::unbounded_channel();
    // First: a signal that nobody listens to would end the process.
    actix_rt::spawn(signals(happenings.clone(), path)?);
    // Not shared, and before anything is handed over: two processes that answer here would be told apart by nobody.
    let operators = match config.management {
        Some(addr) => Some(TcpListener::bind(addr).await.map_err(|e| format!("management: {addr}: {e}"))?),
        None => None,
    };
    let place = replace::place(config.listen);
    let before = match &place {
        Some(place) => replace::predecessor(place).await,
        None => None,
    };
    let (before, sockets) = before.map(|before| before.link(happenings.clone())).unzip();
    let (listener, datagrams) = listen(&config, sockets.unwrap_or_default())?;
    let (clock, life) = (Clock::new(), Rc::new(Life::new()));
    let (executors, clients) = budget(config.sockets, config.memory_mb);
    let links = Links::new(executors, config.dial, config.idle);
    let door = Rc::new(Door::new(clock, life.clone(), happenings.clone(), clients));
    let desk = operators::Desk::new(life.clone(), happenings.clone());
    operators.map(|listener| actix_rt::spawn(operators::accept(listener, desk)));
    let own = |socket: std::io::Result<OwnedFd>| socket.map_err(|e| e.to_string());
    let mut sockets = vec![own(listener.as_fd().try_clone_to_owned())?];
    if let Some(datagrams) = &datagrams {
        sockets.push(own(datagrams.as_fd().try_clone_to_owned())?);
    }
    let successors = place.map(|place| Successors { place, sockets });
    let (adopts, comes) = mpsc::unbounded_channel();
    let others = Others { datagrams, before, successors, guests: door.guests(), comes: Some(adopts) };
    let driver = Driver::new(config, clock, life, links, others, happenings)?;
    actix_rt::spawn(server::accept(listener, door.clone(), comes));
    actix_rt::spawn(server::sweep(door));
    driver.run(happens).await;
    info!("stopped");
    Ok(())
}

/// The sockets that the process before handed over, or new ones. The address can be shared: a process that takes this
/// one's place may come without anything being handed over.
fn listen(
    config: &Config,
    sockets: Vec<OwnedFd>,
) -> Result<(TcpListener, Option<std::net::UdpSocket>), String> {
    let mut sockets = sockets.into_iter();
    let listener = match sockets.next() {
        Some(socket) => {
            let handed =
                TcpListener::from_std(std::net::TcpListener::from(socket)).map_err(|e| e.to_string())?;
            let there = handed.local_addr().map_err(|e| e.to_string())?;
            if there != config.listen {
                return Err(format!("{}: the process before serves at {there}", config.listen));
            }
            info!("takes over {there}");
            handed
        }
        None => {
            let listener = reuse(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
            info!("listens on {}", config.listen);
            listener
        }
    };
    let me = config.settings.me;
    let datagrams = match (&config.peers, sockets.next()) {
        (None, _) => None,
        (Some(_), Some(socket)) => Some(std::net::UdpSocket::from(socket)),
        (Some(peers), None) => {
            let addr = peers[me];
            Some(std::net::UdpSocket::bind(addr).map_err(|e| format!("peers: {addr}: {e}"))?)
        }
    };
    Ok((listener, datagrams))
}

/// Listens at an address that another process of this user may share.
fn reuse(addr: SocketAddr) -> std::io::Result<TcpListener> {
    const BACKLOG: u32 = 1024; // As the standard library's many times over: a burst while both processes start.
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Passes on that the platform wants the node to stop, or the operators its configuration to be read anew.
fn signals(happenings: Happenings, path: Option<PathBuf>) -> Result<impl Future<Output = ()>, String> {
    let listen = |kind| signal(kind).map_err(|e| e.to_string());
    let mut term = listen(SignalKind::terminate())?;
    let mut int = listen(SignalKind::interrupt())?;
    let mut hup = listen(SignalKind::hangup())?;
    Ok(async move {
        loop {
            let happening = tokio::select! {
                _ = term.recv() => Happening::Stop,
                _ = int.recv() => Happening::Stop,
                _ = hup.recv() => Happening::Reload(Config::reread(path.clone()).map(Box::new)),
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
