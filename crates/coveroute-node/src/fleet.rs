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
use coveroute_fleet::rights::{limit_id, Rights};
use coveroute_fleet::standing::{Stage, Standing};
use coveroute_fleet::{Action, Figures, Fleet, Kind, News, Plan, State};
use log::{error, info};
use nix::time::{clock_gettime, ClockId};
use serde::Serialize;

use crate::clock::seconds;
use crate::happening::{Happening, Happenings};
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
    /// Whether this process is the one of its node that takes part.
    part: Cell<bool>,
    /// When the own record is written again at the latest.
    again: Cell<f64>,
    /// Of this second, what may still be looked at.
    second: Cell<(Instant, u32)>,
    flooded: Cell<u64>,
    /// Tenants' shares, and the rights to parts of them where they are the fleet's.
    shares: RefCell<Vec<(String, f64)>>,
    rights: RefCell<Option<Rights>>,
    happenings: Happenings,
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
    /// Tenants' shares, where they are the fleet's, and the mints that this node holds.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    limits: BTreeMap<String, Limited>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mints: Option<usize>,
}

#[derive(Serialize)]
struct Limited {
    /// In the window, and the most that all nodes together use in any.
    share: f64,
    bound: f64,
    window: f64,
    /// Here, since the start: invocations, and those within the share.
    wanted: f64,
    had: f64,
    /// Rights that are here now, and what is within the share here a second.
    rights: f64,
    here: f64,
}

#[derive(Serialize)]
struct Stands {
    stage: Stage,
    age: f64,
}

impl Carrier {
    /// It takes part once its process is the one of its node that hears.
    pub fn new(
        place: &Place,
        plan: Plan,
        shares: Vec<(String, f64)>,
        (socket, life, happenings): (UdpSocket, Rc<Life>, Happenings),
    ) -> Result<Self, String> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let mark = mix(unix.as_nanos() as u64 ^ u64::from(std::process::id()) << 40);
        let count = (unix.as_secs_f64() * COUNTS) as u64;
        let mut fleet = Fleet::new(now(), &place.name, plan, count, mark)?;
        fleet.take_part(now(), false);
        info!("member {} of fleet {}, of {}", place.name, fleet.plan().fleet, fleet.plan().members.len());
        socket.set_nonblocking(true).map_err(|e| e.to_string())?;
        let (told, again, flooded) = (Cell::new(None), Cell::new(0.0), Cell::new(0));
        let second = Cell::new((Instant::now(), HEARD_MOST));
        let rights = RefCell::new(Self::rights(&fleet, &shares));
        let (fleet, shares) = (RefCell::new(fleet), RefCell::new(shares));
        Ok(Carrier {
            fleet,
            socket,
            life,
            told,
            part: Cell::new(false),
            again,
            second,
            flooded,
            shares,
            rights,
            happenings,
        })
    }

    fn rights(fleet: &Fleet, shares: &[(String, f64)]) -> Option<Rights> {
        let terms = fleet.plan().terms(shares)?;
        Some(Rights::new(now(), fleet.me(), fleet.incarnation(), fleet.plan().ids(), terms))
    }

    // Limits.

    /// An invocation of that tenant has come: it is within its share if there is a right to it here.
    pub fn wanted(&self, tenant: Option<&str>) {
        let Some((tenant, mut rights)) = tenant.zip(self.rights.try_borrow_mut().ok()) else { return };
        if let Some(rights) = rights.as_mut() {
            rights.take(now(), limit_id(tenant), 1.0);
        }
    }

    /// Renews and asks, and tells the decisions what is within the shares here. Where this node has no mint, as most voters
    /// are out of reach, it goes by an equal part, as without.
    fn limits(&self, tells: bool) {
        let (mut posts, now) = (Vec::new(), now());
        {
            let (fleet, mut rights) = (self.fleet.borrow(), self.rights.borrow_mut());
            let Some(rights) = rights.as_mut() else { return };
            let gone = |id| matches!(fleet.state(id), Some(State::Dead | State::Left));
            rights.advance(now, gone, &mut posts);
            if tells {
                let members = fleet.plan().members.len().max(1) as f64;
                let shares = self.shares.borrow();
                let here = |(name, share): &(String, f64)| {
                    let here = rights.covered(now, limit_id(name)).unwrap_or(share / members);
                    (name.clone(), here)
                };
                let quotas = shares.iter().filter(|(_, share)| *share > 0.0).map(here).collect();
                let _ = self.happenings.send(Happening::Quotas(quotas));
            }
        }
        self.post(posts);
    }

    fn post(&self, posts: Vec<(Id, Vec<u8>)>) {
        let mut actions = Vec::new();
        for (to, bytes) in posts {
            self.fleet.borrow_mut().say(now(), to, Kind::RIGHTS, bytes, &mut actions);
        }
        self.carry_out(actions);
    }

    /// For as long as the process lives.
    pub async fn run(self: Rc<Self>) {
        let mut looks = now();
        loop {
            let due = self.fleet.borrow().next_due().min(looks);
            actix_rt::time::sleep(seconds(due - now())).await;
            let mut actions = Vec::new();
            self.fleet.borrow_mut().advance(now(), &mut actions);
            let looked = now() >= looks;
            if looked {
                looks = now() + LOOKS_EVERY;
                self.stand(&mut actions);
            }
            self.carry_out(actions);
            if self.part.get() {
                self.limits(looked);
            }
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
                Action::Said { from, mark, bytes, .. } => {
                    let mut posts = Vec::new();
                    let mut rights = self.rights.borrow_mut();
                    rights.iter_mut().for_each(|r| r.heard(now(), from, mark, &bytes, &mut posts));
                    drop(rights);
                    self.post(posts);
                }
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
        self.part.set(part);
        self.told.set(None); // Another one may have told otherwise meanwhile.
        self.fleet.borrow_mut().take_part(now(), part);
    }

    /// Says that the node goes.
    pub fn leave(&self) {
        let mut actions = Vec::new();
        self.fleet.borrow_mut().leave(&mut actions);
        self.carry_out(actions);
    }

    pub fn reread(&self, plan: Plan, shares: Vec<(String, f64)>) -> Result<(), String> {
        self.fleet.borrow_mut().reread(now(), plan)?;
        let (fleet, mut rights) = (self.fleet.borrow(), self.rights.borrow_mut());
        match (rights.as_mut(), fleet.plan().terms(&shares)) {
            (Some(rights), Some(terms)) => rights.reread(now(), fleet.plan().ids(), terms),
            (None, Some(_)) => *rights = Self::rights(&fleet, &shares),
            (_, None) => *rights = None,
        }
        drop(rights);
        *self.shares.borrow_mut() = shares;
        Ok(())
    }

    pub fn shown(&self) -> Shown {
        let (fleet, now) = (self.fleet.borrow(), now());
        let stands = fleet.read(now, Kind::STANDING).filter_map(|reading| {
            let standing = Standing::read(reading.value)?;
            Some((self.name(reading.key.owner), Stands { stage: standing.stage, age: reading.age }))
        });
        let (mut rights, shares) = (self.rights.borrow_mut(), self.shares.borrow());
        let limited = |rights: &mut Rights| -> BTreeMap<String, Limited> {
            let limited = shares.iter().filter_map(|(name, _)| {
                let id = limit_id(name);
                let limit = rights.terms().limit(id)?;
                let ((wanted, had), here) = (rights.totals(id), rights.covered(now, id).unwrap_or(0.0));
                let (share, bound, window) = (limit.most, limit.bound(), limit.window);
                let rights = rights.has(now, id);
                Some((name.clone(), Limited { share, bound, window, wanted, had, rights, here }))
            });
            limited.collect()
        };
        let (limits, mints) = match rights.as_mut() {
            Some(rights) => (limited(rights), Some(rights.holds(now))),
            None => (BTreeMap::new(), None),
        };
        let (figures, standing, flooded) = (fleet.figures(now), stands.collect(), self.flooded.get());
        Shown { figures, flooded, standing, limits, mints }
    }
}
