//! Runs this node's fleet membership: feeds datagrams and the clock to the protocol, and sends its messages. It is a
//! task of its own with its own rate limit, so that a flood of datagrams does not delay calls.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coveroute::random::mix;
use coveroute_engine::Phase;
use coveroute_fleet::member::Id;
use coveroute_fleet::rights::{limit_id, Rights};
use coveroute_fleet::status::{NodeStatus, Stage};
use coveroute_fleet::{Action, Figures, Fleet, FleetConfig, FleetEvent, Kind, State};
use log::{error, info};
use nix::time::{clock_gettime, ClockId};
use serde::Serialize;

use crate::clock::seconds;
use crate::event::{DriverEvent, EventSender};
use crate::node_state::NodeState;

/// The most datagrams handled per second. A member that each of 1,000 others asks every 0.2 s has ten.
const MAX_DATAGRAMS_PER_SECOND: u32 = 2000;
/// How often the node checks whether its stage differs from the published one.
const STAGE_CHECK_INTERVAL: f64 = 0.2;
/// Incarnation numbers are taken from the system clock, at this rate per second, so that a start more than one step
/// after the previous one gets a higher number.
const INCARNATIONS_PER_SECOND: f64 = 16.0;

/// The operators' fleet file, and this node's name in it.
#[derive(Clone, Debug)]
pub struct Membership {
    pub path: PathBuf,
    pub name: String,
}

impl Membership {
    pub fn read(&self) -> Result<FleetConfig, String> {
        let config = read_plan(&self.path)?;
        match config.members.contains_key(&self.name) {
            true => Ok(config),
            false => {
                Err(format!("{}: members: {} is not listed; see --member", self.path.display(), self.name))
            }
        }
    }

    /// The address at which this node receives datagrams.
    pub fn address(&self, config: &FleetConfig, peers: Option<SocketAddr>) -> Result<SocketAddr, String> {
        let own = config.members[&self.name].address;
        match peers {
            Some(peers) if peers != own => Err(format!(
                "{}: members.{}.address: {own} differs from {peers}, this node's address in the configuration's peers",
                self.path.display(),
                self.name
            )),
            _ => Ok(own),
        }
    }
}

pub fn read_plan(path: &Path) -> Result<FleetConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|text| FleetConfig::parse(&text)).map_err(|e| format!("{}: {e}", path.display()))
}

/// Seconds of a clock that is never adjusted and includes time in suspend, because ages are computed from it.
fn now() -> f64 {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    read.map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

/// This node as a member of the fleet: the protocol state, and the socket that its messages are sent from.
pub struct FleetMember {
    fleet: RefCell<Fleet>,
    /// For sending; non-blocking.
    socket: UdpSocket,
    node_state: Rc<NodeState>,
    published: Cell<Option<Stage>>,
    /// Whether this process is the one of its node that takes part in the fleet.
    active: Cell<bool>,
    /// When the node's own record must be written again.
    republish_at: Cell<f64>,
    /// Start of the current second, and how many more datagrams may be handled in it.
    rate_window: Cell<(Instant, u32)>,
    flooded: Cell<u64>,
    /// Tenants' shares, and this node's rights to parts of them where the fleet enforces them.
    shares: RefCell<Vec<(String, f64)>>,
    rights: RefCell<Option<Rights>>,
    events: EventSender,
}

/// The fleet's figures for operators.
#[derive(Serialize)]
pub struct FleetFigures {
    #[serde(flatten)]
    figures: Figures,
    /// Datagrams dropped by the rate limit.
    flooded: u64,
    /// The stage that each member last published, and the greatest possible age of that.
    standing: BTreeMap<String, MemberStage>,
    /// Tenants' limits, where the fleet enforces them, and the number of mints that this node holds.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    limits: BTreeMap<String, LimitFigures>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mints: Option<usize>,
}

#[derive(Serialize)]
struct LimitFigures {
    /// Invocations per window, and the most that all nodes together use in any window.
    share: f64,
    bound: f64,
    window: f64,
    /// Invocations at this node since the start, and those of them within the share.
    wanted: f64,
    had: f64,
    /// Rights that this node holds now, and its part of the share per second.
    rights: f64,
    here: f64,
}

#[derive(Serialize)]
struct MemberStage {
    stage: Stage,
    age: f64,
}

impl FleetMember {
    /// Starts inactive: it takes part once this process receives its node's datagrams.
    pub fn new(
        membership: &Membership,
        config: FleetConfig,
        shares: Vec<(String, f64)>,
        (socket, node_state, events): (UdpSocket, Rc<NodeState>, EventSender),
    ) -> Result<Self, String> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let mark = mix(unix.as_nanos() as u64 ^ u64::from(std::process::id()) << 40);
        let count = (unix.as_secs_f64() * INCARNATIONS_PER_SECOND) as u64;
        let mut fleet = Fleet::new(now(), &membership.name, config, count, mark)?;
        fleet.set_active(now(), false);
        info!(
            "member {} of fleet {}, of {}",
            membership.name,
            fleet.config().fleet,
            fleet.config().members.len()
        );
        socket.set_nonblocking(true).map_err(|e| e.to_string())?;
        let (published, republish_at, flooded) = (Cell::new(None), Cell::new(0.0), Cell::new(0));
        let rate_window = Cell::new((Instant::now(), MAX_DATAGRAMS_PER_SECOND));
        let rights = RefCell::new(Self::rights(&fleet, &shares));
        let (fleet, shares) = (RefCell::new(fleet), RefCell::new(shares));
        Ok(FleetMember {
            fleet,
            socket,
            node_state,
            published,
            active: Cell::new(false),
            republish_at,
            rate_window,
            flooded,
            shares,
            rights,
            events,
        })
    }

    fn rights(fleet: &Fleet, shares: &[(String, f64)]) -> Option<Rights> {
        let terms = fleet.config().limit_terms(shares)?;
        Some(Rights::new(now(), fleet.me(), fleet.incarnation(), fleet.config().ids(), terms))
    }

    /// Counts an invocation of a tenant. It is within the tenant's share if this node holds a right to it.
    pub fn record_invocation(&self, tenant: Option<&str>) {
        let Some((tenant, mut rights)) = tenant.zip(self.rights.try_borrow_mut().ok()) else { return };
        if let Some(rights) = rights.as_mut() {
            rights.take(now(), limit_id(tenant), 1.0);
        }
    }

    /// Renews and requests rights, and reports this node's quotas to the engine if `report_quotas` is set. A node
    /// that has no mint because most voters are unreachable uses an equal part of each share, as without a fleet.
    fn update_limits(&self, report_quotas: bool) {
        let (mut messages, now) = (Vec::new(), now());
        {
            let (fleet, mut rights) = (self.fleet.borrow(), self.rights.borrow_mut());
            let Some(rights) = rights.as_mut() else { return };
            let gone = |id| matches!(fleet.state(id), Some(State::Dead | State::Left));
            rights.advance(now, gone, &mut messages);
            if report_quotas {
                let members = fleet.config().members.len().max(1) as f64;
                let shares = self.shares.borrow();
                let here = |(name, share): &(String, f64)| {
                    let here = rights.estimated_rate(now, limit_id(name)).unwrap_or(share / members);
                    (name.clone(), here)
                };
                let quotas = shares.iter().filter(|(_, share)| *share > 0.0).map(here).collect();
                let _ = self.events.send(DriverEvent::Quotas(quotas));
            }
        }
        self.send_rights_messages(messages);
    }

    fn send_rights_messages(&self, messages: Vec<(Id, Vec<u8>)>) {
        let mut actions = Vec::new();
        for (to, bytes) in messages {
            self.fleet.borrow_mut().send_message(now(), to, Kind::RIGHTS, bytes, &mut actions);
        }
        self.execute_actions(actions);
    }

    /// Runs until the process exits.
    pub async fn run(self: Rc<Self>) {
        let mut next_check = now();
        loop {
            let due = self.fleet.borrow().next_due().min(next_check);
            actix_rt::time::sleep(seconds(due - now())).await;
            let mut actions = Vec::new();
            self.fleet.borrow_mut().advance(now(), &mut actions);
            let checked = now() >= next_check;
            if checked {
                next_check = now() + STAGE_CHECK_INTERVAL;
                self.publish_stage(&mut actions);
            }
            self.execute_actions(actions);
            if self.active.get() {
                self.update_limits(checked);
            }
        }
    }

    /// Publishes this node's stage when it changes or its record is about to expire.
    fn publish_stage(&self, actions: &mut Vec<Action>) {
        let stage = match self.node_state.phase() {
            Phase::Starting => Stage::Starting,
            Phase::Serving | Phase::Reloading => Stage::Serving,
            Phase::Leaving | Phase::Closing | Phase::Ended => Stage::Leaving,
        };
        let (now, mut fleet) = (now(), self.fleet.borrow_mut());
        if self.published.get() != Some(stage) || now >= self.republish_at.get() {
            fleet.write(now, Kind::NODE_STATUS, 0, &NodeStatus { stage }.encode(), actions);
            self.published.set(Some(stage));
            self.republish_at.set(now + fleet.config().records.life / 3.0);
        }
    }

    pub fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let (began, left) = self.rate_window.get();
        let (began, left) = if began.elapsed() >= Duration::from_secs(1) {
            (Instant::now(), MAX_DATAGRAMS_PER_SECOND)
        } else {
            (began, left)
        };
        self.rate_window.set((began, left.saturating_sub(1)));
        if left == 0 {
            return self.flooded.set(self.flooded.get() + 1);
        }
        let mut actions = Vec::new();
        self.fleet.borrow_mut().handle_datagram(now(), from, bytes, &mut actions);
        self.execute_actions(actions);
    }

    fn execute_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                // A datagram that can't be sent counts as lost, which the protocol allows for.
                Action::Send { to, bytes } => drop(self.socket.send_to(&bytes, to)),
                Action::Event(FleetEvent::Member { id, from, to }) => {
                    info!("{}: {from:?} -> {to:?}", self.name(id))
                }
                Action::Event(FleetEvent::Record(_)) => {}
                Action::Message { from, mark, bytes, .. } => {
                    let mut messages = Vec::new();
                    let mut rights = self.rights.borrow_mut();
                    rights
                        .iter_mut()
                        .for_each(|r| r.handle_message(now(), from, mark, &bytes, &mut messages));
                    drop(rights);
                    self.send_rights_messages(messages);
                }
                Action::Event(FleetEvent::NameConflict { yields: false }) => {
                    error!("another process uses this member's name, and stops sending")
                }
                Action::Event(FleetEvent::NameConflict { yields: true }) => {
                    error!("another process uses this member's name: this process stops sending for a while")
                }
            }
        }
    }

    fn name(&self, id: Id) -> String {
        let fleet = self.fleet.borrow();
        let name = fleet.config().members.keys().find(|name| Id::of(name) == id);
        name.cloned().unwrap_or_default()
    }

    /// Sets whether this process is the one of its node that takes part in the fleet.
    pub fn take_part(&self, active: bool) {
        self.active.set(active);
        self.published.set(None); // The other process may have published another stage in the meantime.
        self.fleet.borrow_mut().set_active(now(), active);
    }

    /// Announces that the node leaves the fleet.
    pub fn leave(&self) {
        let mut actions = Vec::new();
        self.fleet.borrow_mut().leave(&mut actions);
        self.execute_actions(actions);
    }

    pub fn reread(&self, config: FleetConfig, shares: Vec<(String, f64)>) -> Result<(), String> {
        self.fleet.borrow_mut().reconfigure(now(), config)?;
        let (fleet, mut rights) = (self.fleet.borrow(), self.rights.borrow_mut());
        match (rights.as_mut(), fleet.config().limit_terms(&shares)) {
            (Some(rights), Some(terms)) => rights.reconfigure(now(), fleet.config().ids(), terms),
            (None, Some(_)) => *rights = Self::rights(&fleet, &shares),
            (_, None) => *rights = None,
        }
        drop(rights);
        *self.shares.borrow_mut() = shares;
        Ok(())
    }

    pub fn figures(&self) -> FleetFigures {
        let (fleet, now) = (self.fleet.borrow(), now());
        let stages = fleet.read(now, Kind::NODE_STATUS).filter_map(|reading| {
            let status = NodeStatus::decode(reading.value)?;
            Some((self.name(reading.key.owner), MemberStage { stage: status.stage, age: reading.age }))
        });
        let (mut rights, shares) = (self.rights.borrow_mut(), self.shares.borrow());
        let limit_figures = |rights: &mut Rights| -> BTreeMap<String, LimitFigures> {
            let figures = shares.iter().filter_map(|(name, _)| {
                let id = limit_id(name);
                let limit = rights.terms().limit(id)?;
                let ((wanted, had), here) =
                    (rights.wanted_and_used(id), rights.estimated_rate(now, id).unwrap_or(0.0));
                let (share, bound, window) = (limit.most, limit.bound(), limit.window);
                let rights = rights.available(now, id);
                Some((name.clone(), LimitFigures { share, bound, window, wanted, had, rights, here }))
            });
            figures.collect()
        };
        let (limits, mints) = match rights.as_mut() {
            Some(rights) => (limit_figures(rights), Some(rights.held_mints(now))),
            None => (BTreeMap::new(), None),
        };
        let (figures, standing, flooded) = (fleet.figures(now), stages.collect(), self.flooded.get());
        FleetFigures { figures, flooded, standing, limits, mints }
    }
}
