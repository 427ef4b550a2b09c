//! The carrier of this node's part in the fleet: gives it what the nodes' datagrams bring and what its clock says, and
//! sends what it wants sent. One task beside the calls, with a budget of its own, so that nobody who floods it delays them.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coveroute::chance::mix;
use coveroute_engine::Phase;
use coveroute_fleet::member::Id;
use coveroute_fleet::standing::{Stage, Standing};
use coveroute_fleet::{Action, Figures, Fleet, Kind, News, Plan};
use log::{error, info};
use nix::time::{clock_gettime, ClockId};
use serde::Serialize;

use crate::clock::seconds;
use crate::phase::Life;

/// Datagrams a second that are looked at; a member that is asked by each of 1,000 others every 0.2 s has ten.
const HEARD_MOST: u32 = 2000;
/// How often the node looks whether it stands otherwise than it told.
const LOOKS_EVERY: f64 = 0.2;
/// Incarnations are guessed by the system's clock, so often a second: a start later than the last by more is above it.
const COUNTS: f64 = 16.0;

/// The operators' file, and under which name this node stands in it.
#[derive(Clone, Debug)]
pub struct Place {
    pub path: PathBuf,
    pub name: String,
}

impl Place {
    pub fn read(&self) -> Result<Plan, String> {
        let plan = read(&self.path)?;
        match plan.members.contains_key(&self.name) {
            true => Ok(plan),
            false => Err(format!(
                "{}: members: {} is not among them; see --member",
                self.path.display(),
                self.name
            )),
        }
    }

    /// Where this node's datagrams come.
    pub fn address(&self, plan: &Plan, peers: Option<SocketAddr>) -> Result<SocketAddr, String> {
        let own = plan.members[&self.name].address;
        match peers {
            Some(peers) if peers != own => Err(format!(
                "{}: members.{}.address: {own} is not {peers}, where nodes' messages come by the configuration's peers",
                self.path.display(),
                self.name
            )),
            _ => Ok(own),
        }
    }
}

pub fn read(path: &Path) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|text| Plan::parse(&text)).map_err(|e| format!("{}: {e}", path.display()))
}

/// Seconds of a clock that is never set and goes on while the machine sleeps: ages rest on it.
fn now() -> f64 {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    read.map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

pub struct Carrier {
    fleet: RefCell<Fleet>,
    /// For what is sent; it never blocks.
    socket: UdpSocket,
    life: Rc<Life>,
    told: Cell<Option<Stage>>,
    /// When the own record is written again at the latest.
    again: Cell<f64>,
    /// Of this second, what may still be looked at.
    second: Cell<(Instant, u32)>,
    flooded: Cell<u64>,
}

/// As operators see it.
#[derive(Serialize)]
pub struct Shown {
    #[serde(flatten)]
    figures: Figures,
    /// Datagrams that were more than is looked at.
    flooded: u64,
    /// What the others last told of themselves, and how old that is at most.
    standing: BTreeMap<String, Stands>,
}

#[derive(Serialize)]
struct Stands {
    stage: Stage,
    age: f64,
}

impl Carrier {
    /// It takes part once its process is the one of its node that hears.
    pub fn new(place: &Place, plan: Plan, socket: UdpSocket, life: Rc<Life>) -> Result<Self, String> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let mark = mix(unix.as_nanos() as u64 ^ u64::from(std::process::id()) << 40);
        let count = (unix.as_secs_f64() * COUNTS) as u64;
        let mut fleet = Fleet::new(now(), &place.name, plan, count, mark)?;
        fleet.take_part(now(), false);
        info!("member {} of fleet {}, of {}", place.name, fleet.plan().fleet, fleet.plan().members.len());
        socket.set_nonblocking(true).map_err(|e| e.to_string())?;
        let (told, again, flooded) = (Cell::new(None), Cell::new(0.0), Cell::new(0));
        let second = Cell::new((Instant::now(), HEARD_MOST));
        Ok(Carrier { fleet: RefCell::new(fleet), socket, life, told, again, second, flooded })
    }

    /// For as long as the process lives.
    pub async fn run(self: Rc<Self>) {
        let mut looks = now();
        loop {
            let due = self.fleet.borrow().next_due().min(looks);
            actix_rt::time::sleep(seconds(due - now())).await;
            let mut actions = Vec::new();
            self.fleet.borrow_mut().advance(now(), &mut actions);
            if now() >= looks {
                looks = now() + LOOKS_EVERY;
                self.stand(&mut actions);
            }
            self.carry_out(actions);
        }
    }

    /// Tells the others how this node stands, when that changes or the record would end.
    fn stand(&self, actions: &mut Vec<Action>) {
        let stage = match self.life.phase() {
            Phase::Starting => Stage::Starting,
            Phase::Serving | Phase::Reloading => Stage::Serving,
            Phase::Leaving | Phase::Closing | Phase::Ended => Stage::Leaving,
        };
        let (now, mut fleet) = (now(), self.fleet.borrow_mut());
        if self.told.get() != Some(stage) || now >= self.again.get() {
            fleet.write(now, Kind::STANDING, 0, &Standing { stage }.bytes(), actions);
            self.told.set(Some(stage));
            self.again.set(now + fleet.plan().records.life / 3.0);
        }
    }

    pub fn heard(&self, from: SocketAddr, bytes: &[u8]) {
        let (began, left) = self.second.get();
        let (began, left) = if began.elapsed() >= Duration::from_secs(1) {
            (Instant::now(), HEARD_MOST)
        } else {
            (began, left)
        };
        self.second.set((began, left.saturating_sub(1)));
        if left == 0 {
            return self.flooded.set(self.flooded.get() + 1);
        }
        let mut actions = Vec::new();
        self.fleet.borrow_mut().heard(now(), from, bytes, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                // What can't be sent counts as lost: all of this may be.
                Action::Send { to, bytes } => drop(self.socket.send_to(&bytes, to)),
                Action::News(News::Member { id, from, to }) => info!("{}: {from:?} -> {to:?}", self.name(id)),
                Action::News(News::Record(_)) => {}
                Action::News(News::Doubled { yields: false }) => {
                    error!("another process bears this member's name, and falls silent")
                }
                Action::News(News::Doubled { yields: true }) => {
                    error!("another process bears this member's name: this one falls silent for a while")
                }
            }
        }
    }

    fn name(&self, id: Id) -> String {
        let fleet = self.fleet.borrow();
        let name = fleet.plan().members.keys().find(|name| Id::of(name) == id);
        name.cloned().unwrap_or_default()
    }

    /// Whether this process is the one of its node that takes part.
    pub fn take_part(&self, part: bool) {
        self.told.set(None); // Another one may have told otherwise meanwhile.
        self.fleet.borrow_mut().take_part(now(), part);
    }

    /// Says that the node goes.
    pub fn leave(&self) {
        let mut actions = Vec::new();
        self.fleet.borrow_mut().leave(&mut actions);
        self.carry_out(actions);
    }

    pub fn reread(&self, plan: Plan) -> Result<(), String> {
        self.fleet.borrow_mut().reread(now(), plan)
    }

    pub fn shown(&self) -> Shown {
        let (fleet, now) = (self.fleet.borrow(), now());
        let stands = fleet.read(now, Kind::STANDING).filter_map(|reading| {
            let standing = Standing::read(reading.value)?;
            Some((self.name(reading.key.owner), Stands { stage: standing.stage, age: reading.age }))
        });
        Shown { figures: fleet.figures(now), flooded: self.flooded.get(), standing: stands.collect() }
    }
}
