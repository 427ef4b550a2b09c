//! The membership state machine of one node. Received datagrams and the current time go in; datagrams to send and
//! events come out.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use coveroute::random::Rng;
use serde::Serialize;

mod gossip;
mod probe;

use gossip::{MAX_CONTENT_LEN, MAX_UPDATES, MAX_UPDATE_LEN};

use crate::config::FleetConfig;
use crate::detector::{Health, PendingPing, Purpose, Suspicion, TICKS_PER_PERIOD};
use crate::member::{Claim, ClaimedStatus, Id, Incarnation, MemberUpdate, State};
use crate::message::{DropReason, MessageBody};
use crate::table::{Key, Kind, Reading, Table};

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Event(FleetEvent),
    /// A message from an application component of another member. `mark` identifies the sending process.
    Message {
        from: Id,
        mark: u64,
        kind: Kind,
        bytes: Vec<u8>,
    },
}

/// Events for the components built on the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetEvent {
    Member {
        id: Id,
        from: State,
        to: State,
    },
    /// A new or newer record was stored.
    Record(Key),
    /// Another process uses this node's name. `yields`: this process is the one that stops sending.
    NameConflict {
        yields: bool,
    },
}

/// Another member as this node sees it.
#[derive(Clone, Debug)]
struct Peer {
    addr: SocketAddr,
    claimed_status: Option<ClaimedStatus>,
    state: State,
    state_since: f64,
    suspicion: Option<Suspicion>,
    /// When a message last came directly from this member.
    last_heard: f64,
}

/// Upper limit on pings sent back, per detector period, to members whose table differs from ours.
const MAX_SYNC_PINGS: usize = 2;
/// A tick that is late by more than this many ticks counts as a stall of this process.
const STALL_TICKS: f64 = 5.0;

#[derive(Clone, Debug)]
pub struct Fleet {
    config: FleetConfig,
    me: Id,
    mark: u32,
    incarnation: Incarnation,
    rng: Rng,
    peers: BTreeMap<Id, Peer>,
    addresses: BTreeMap<SocketAddr, Id>,
    /// The order in which members are probed, and the index of the next one.
    probe_order: Vec<Id>,
    next_probe: usize,
    table: Table,
    pending: BTreeMap<u64, PendingPing>,
    last_number: u64,
    /// Membership updates and records still to be disseminated, each with its remaining number of transmissions.
    pending_updates: BTreeMap<Id, u32>,
    pending_records: BTreeMap<Key, u32>,
    health: Health,
    next_tick: f64,
    ticks: u64,
    send_budget: f64,
    mismatches: u8,
    sync_pings: usize,
    conflict_times: Vec<f64>,
    /// Sends nothing until this time because another process uses the same name.
    silent_until: f64,
    /// False while another process of this node takes part in its place.
    active: bool,
    left: bool,
    counts: Counters,
}

/// Counters since the start of this process.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    /// Datagrams dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Messages not sent because the byte budget was used up.
    pub withheld: u64,
    /// Suspicions of this node that it refuted.
    pub refuted: u64,
    /// Members that this node came to consider dead.
    pub buried: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// Records refused because their owner has reached the limit on its records.
    pub full: u64,
}

/// Figures for operators, and for the emulator's checker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    pub incarnation: u64,
    pub members: BTreeMap<State, usize>,
    /// The state of each other member, by name.
    pub states: BTreeMap<String, State>,
    pub records: usize,
    /// The greatest upper bound on a record's age, in seconds.
    pub oldest: f64,
    /// Checksum of the table: nodes that hold the same content have the same sum.
    pub sum: String,
    pub health: u8,
    pub doubled: bool,
    #[serde(flatten)]
    pub counts: Counters,
}

impl Fleet {
    /// `count` is an estimate above all earlier incarnations of this member; if it is too low, messages from other
    /// members raise it. `mark` distinguishes this process from others of the same name. Fails if `name` is not
    /// among the configured members.
    pub fn new(now: f64, name: &str, config: FleetConfig, count: u64, mark: u64) -> Result<Self, String> {
        let me = config.id(name).ok_or(format!("members: {name} is not listed"))?;
        let table = Table::new(config.detector.drift, config.records.most);
        let seed = coveroute::random::mix(mark ^ u64::from(me.0) << 24);
        let mut fleet = Fleet {
            mark: config.mark(),
            me,
            incarnation: Incarnation::new(count, mark),
            rng: Rng::new(seed),
            peers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            probe_order: Vec::new(),
            next_probe: 0,
            table,
            pending: BTreeMap::new(),
            // Starts at random so that an answer to an earlier process's request matches none of this one's.
            last_number: seed >> 8 << 8,
            pending_updates: BTreeMap::new(),
            pending_records: BTreeMap::new(),
            health: Health::default(),
            next_tick: now,
            ticks: 0,
            send_budget: config.detector.budget,
            mismatches: 0,
            sync_pings: 0,
            conflict_times: Vec::new(),
            silent_until: f64::NEG_INFINITY,
            active: true,
            left: false,
            counts: Counters::default(),
            config,
        };
        fleet.update_own_status((fleet.incarnation, Claim::Alive), None);
        fleet.apply_members(now);
        Ok(fleet)
    }

    /// Adopts the configured list of members: adds new ones, removes those no longer listed.
    fn apply_members(&mut self, now: f64) {
        let members = self.config.members.iter().map(|(name, entry)| (Id::of(name), entry.address));
        let members: BTreeMap<Id, SocketAddr> = members.collect();
        let gone: Vec<Id> = self.peers.keys().filter(|id| !members.contains_key(id)).copied().collect();
        for id in gone {
            let status = self.peers.remove(&id).and_then(|peer| peer.claimed_status);
            self.table.update_claimed_status(id, status, None);
            self.table.remove_owner(id);
            self.pending_updates.remove(&id);
        }
        self.pending.retain(|_, ping| members.contains_key(&ping.to));
        self.pending_records.retain(|key, _| members.contains_key(&key.owner));
        for (id, addr) in members.iter().filter(|(id, _)| **id != self.me) {
            let unseen = Peer {
                addr: *addr,
                claimed_status: None,
                state: State::Unseen,
                state_since: now,
                suspicion: None,
                last_heard: now,
            };
            self.peers.entry(*id).or_insert(unseen).addr = *addr;
        }
        self.addresses = self.peers.iter().map(|(id, peer)| (peer.addr, *id)).collect();
        self.probe_order = self.peers.keys().copied().collect();
        self.shuffle_probe_order();
    }

    /// Checks that `config` can replace the current one while the node runs.
    pub fn check_replacement(&self, config: &FleetConfig) -> Result<(), String> {
        let name = self.config.members.keys().find(|name| Id::of(name) == self.me).cloned();
        let name = name.unwrap_or_default();
        if config.id(&name).is_none() {
            return Err(format!("members: {name}, the name of this node, is not listed"));
        }
        if config.fleet != self.config.fleet {
            return Err("fleet: a change takes effect only after a restart".into());
        }
        if config.members[&name].address != self.config.members[&name].address {
            return Err(format!("members.{name}.address: a change takes effect only after a restart"));
        }
        Ok(())
    }

    /// Replaces the configuration; if the new one doesn't fit, nothing changes.
    pub fn reconfigure(&mut self, now: f64, config: FleetConfig) -> Result<(), String> {
        self.check_replacement(&config)?;
        self.table.set_limits(config.detector.drift, config.records.most);
        self.config = config;
        self.apply_members(now);
        Ok(())
    }

    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    pub fn me(&self) -> Id {
        self.me
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    // Time.

    pub fn next_due(&self) -> f64 {
        self.next_tick
    }

    pub fn advance(&mut self, now: f64, out: &mut Vec<Action>) {
        let (tick, late) = (self.config.detector.tick(), now - self.next_tick);
        if late < 0.0 {
            return;
        }
        if late > STALL_TICKS * tick {
            self.handle_stall(late);
        }
        self.next_tick = if late > tick { now + tick } else { self.next_tick + tick };
        self.send_budget =
            (self.send_budget + self.config.detector.budget * tick).min(self.config.detector.budget);
        if self.may_send(now) {
            self.tick(now, out);
        }
    }

    /// Called when this process did not run for a while. Peers may have answered in the meantime, so missing
    /// replies to pings sent before the stall are not held against them, and suspicions are extended by the length
    /// of the stall.
    fn handle_stall(&mut self, late: f64) {
        self.counts.stalls += 1;
        self.health.degrade();
        self.pending.values_mut().for_each(|ping| ping.purpose = Purpose::Sync);
        let suspicions = self.peers.values_mut().filter_map(|peer| peer.suspicion.as_mut());
        suspicions.for_each(|suspicion| suspicion.began += late);
    }

    /// False while another process acts as this member, and after this member has left.
    fn may_send(&self, now: f64) -> bool {
        self.active && !self.left && now >= self.silent_until
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        self.ticks += 1;
        self.check_pending(now, out);
        self.expire_suspicions(now, out);
        if self.ticks % TICKS_PER_PERIOD == 1 {
            self.sync_pings = 0;
            self.probe_next(now, out);
            self.probe_absent(now, out);
        }
        if self.ticks % (5 * TICKS_PER_PERIOD) == 1 {
            self.table.expire(now);
            self.settle_returned(now, out);
        }
    }

    // Interface for the components built on the fleet.

    /// Writes one of this node's own records. Returns false if there is no room for it.
    pub fn write(&mut self, now: f64, kind: Kind, key: u64, value: &[u8], out: &mut Vec<Action>) -> bool {
        let key = Key { owner: self.me, kind, key };
        let written = self.table.write(now, key, self.incarnation, self.config.records.life, value).is_some();
        if written {
            let times = self.transmissions();
            self.pending_records.insert(key, times);
            if self.may_send(now) {
                // The receivers see from the sum that their tables differ, and ask.
                let targets = self.sample_peers(MAX_SYNC_PINGS, |_, peer| peer.state.is_present());
                targets.into_iter().for_each(|to| self.ping(now, to, Purpose::Sync, out));
            }
        }
        written
    }

    /// Sends `bytes` to the same component at another member. Delivery is best effort: the message may be lost or
    /// duplicated.
    pub fn send_message(&mut self, now: f64, to: Id, kind: Kind, bytes: Vec<u8>, out: &mut Vec<Action>) {
        if self.may_send(now) && bytes.len() <= MAX_CONTENT_LEN - MAX_UPDATES * MAX_UPDATE_LEN {
            self.send(to, MessageBody::Application { kind, bytes }, out);
        }
    }

    pub fn read(&self, now: f64, kind: Kind) -> impl Iterator<Item = Reading<'_>> {
        self.table.read(now, kind)
    }

    pub fn readings(&self, now: f64) -> impl Iterator<Item = Reading<'_>> {
        self.table.readings(now)
    }

    pub fn claimed_status(&self, of: Id) -> Option<ClaimedStatus> {
        self.peers.get(&of).and_then(|peer| peer.claimed_status)
    }

    pub fn state(&self, of: Id) -> Option<State> {
        self.peers.get(&of).map(|peer| peer.state)
    }

    /// Sets whether this process, of all processes of this node, takes part in the fleet.
    pub fn set_active(&mut self, now: f64, active: bool) {
        if active && !self.active {
            self.next_tick = now;
        }
        self.active = active;
    }

    /// Announces that this member leaves for good. Nothing is sent afterwards.
    pub fn leave(&mut self, out: &mut Vec<Action>) {
        if self.left || !self.active {
            return;
        }
        let update =
            MemberUpdate { of: self.me, incarnation: self.incarnation, claim: Claim::Left, by: self.me };
        let targets =
            self.sample_peers(2 * self.config.detector.relays.max(1), |_, peer| peer.state.is_present());
        for to in targets {
            let number = self.next_number();
            self.transmit(to, vec![update], MessageBody::Ping { number }, out);
        }
        self.left = true;
    }

    pub fn sum(&self) -> u64 {
        self.table.sum()
    }

    pub fn figures(&self, now: f64) -> Figures {
        let names =
            self.config.members.keys().filter_map(|name| Some((name.clone(), self.state(Id::of(name))?)));
        let states: BTreeMap<String, State> = names.collect();
        let mut members: BTreeMap<State, usize> = State::ALL.into_iter().map(|state| (state, 0)).collect();
        states.values().for_each(|state| *members.entry(*state).or_default() += 1);
        Figures {
            incarnation: self.incarnation.0,
            members,
            states,
            records: self.table.len(),
            oldest: self.readings(now).map(|reading| reading.age).fold(0.0, f64::max),
            sum: format!("{:016x}", self.table.sum()),
            health: self.health.score(),
            doubled: now < self.silent_until,
            counts: self.counts.clone(),
        }
    }
}
