//! The stage in virtual time: every node's part in the fleet, with clocks that run fast or slow, on links that fail.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use coveroute_fleet::detector::Detector;
use coveroute_fleet::member::Id;
use coveroute_fleet::plan::{Entry, Limits, Records};
use coveroute_fleet::rights::{Rights, Terms};
use coveroute_fleet::table::Key;
use coveroute_fleet::{Action, Figures, Fleet, Kind, News, Plan, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::links::Links;
use super::witness::Witness;
use crate::queue::Queue;
use crate::scenario::{FleetPart, Scenario};
use crate::world::{NodeId, Order};

/// What a process that stands still keeps of what comes: a socket's usual buffer, by the usual datagram. More is lost.
const KEPT: usize = 400;
/// The referee looks at one node this often.
const LOOKS_EVERY: f64 = 0.05;
/// A first guess at an incarnation counts this often a second, as nodes do.
const COUNTS: f64 = 16.0;

pub fn member(node: NodeId) -> String {
    format!("n{node}")
}

fn addr(node: NodeId) -> SocketAddr {
    ([10, 100, (node >> 8) as u8, node as u8], 9400).into()
}

/// The operators' file of the scenario's fleet; `addr`: where a member is.
pub fn plan(nodes: usize, part: &FleetPart, addr: impl Fn(NodeId) -> SocketAddr) -> Plan {
    let all = nodes + part.absent.0;
    let entry = |node: NodeId| {
        let (zone, machine) = (String::new(), String::new());
        (member(node), Entry { address: addr(node), zone, machine })
    };
    let members = (0..all).map(entry).collect();
    let usual = Detector::default();
    let suspicion = usual.suspicion * part.every.0 / usual.every;
    let detector = Detector { every: part.every.0, suspicion, drift: part.drift.0.min(0.1), ..usual };
    Plan { fleet: "stage".into(), members, detector, records: Records::default(), limits: Limits::default() }
}

#[derive(Clone, Debug)]
enum Ev {
    Arrives(NodeId, NodeId, Vec<u8>),
    Tick(NodeId, u64),
    Write(NodeId, u64),
    Use(NodeId, u64),
    Look(NodeId),
}

/// A node's place: its clock, and the process there.
struct Seat {
    fleet: Option<Fleet>,
    process: u64,
    /// Local seconds for a true one, and what it shows at the start.
    rate: f64,
    shows: f64,
    /// Its rights to parts of limits, where there are limits.
    rights: Option<Rights>,
    /// Uses of the first limit that are wanted here, a second.
    wants: f64,
    /// Stands still, with what has come since.
    still: Option<Vec<(NodeId, Vec<u8>)>>,
    /// An earlier process than the last one thinks of this count.
    count: u64,
}

impl Seat {
    fn local(&self, now: f64) -> f64 {
        self.shows + self.rate * now
    }

    fn runs(&self) -> bool {
        self.fleet.is_some() && self.still.is_none()
    }
}

/// A change of state somewhere, as it happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub at: f64,
    pub by: NodeId,
    pub of: NodeId,
    pub to: State,
    /// A death of who was there and could be reached: by no fault of its own.
    pub false_death: bool,
}

pub struct Stage {
    part: FleetPart,
    plan: Plan,
    terms: Option<Terms>,
    /// Uses that were wanted, and that were had.
    pub wanted: u64,
    pub had: u64,
    ids: BTreeMap<Id, NodeId>,
    members: Vec<Id>,
    seats: Vec<Seat>,
    pub links: Links,
    queue: Queue<Ev>,
    draw: Pcg64Mcg,
    pub witness: Witness,
    pub seen: Vec<Seen>,
    processes: u64,
    written: u64,
    pub events: u64,
    actions: Vec<Action>,
}

impl Stage {
    pub fn new(scenario: &Scenario, seed: u64, zones: &[String]) -> Self {
        let part = scenario.fleet.clone().unwrap_or_default();
        let nodes = zones.len();
        let mut draw = Pcg64Mcg::seed_from_u64(seed ^ 0x57a6e);
        let drift = part.drift.0.min(0.1);
        let mut seat = |_| {
            let (rate, shows) = (1.0 + drift * draw.random_range(-1.0..=1.0), draw.random_range(0.0..1e6));
            let (fleet, rights, still) = (None, None, None);
            Seat { fleet, process: 0, rate, shows, rights, wants: 0.0, still, count: 0 }
        };
        let seats: Vec<Seat> = (0..nodes).map(&mut seat).collect();
        let plan = plan(nodes, &part, addr);
        let members: Vec<Id> = (0..nodes).map(|node| Id::of(&member(node))).collect();
        let ids = members.iter().copied().enumerate().map(|(node, id)| (id, node)).collect();
        let mut queue = Queue::new();
        if nodes > 0 {
            queue.push(LOOKS_EVERY, Ev::Look(0));
        }
        Stage {
            links: Links::new(scenario, seed, zones),
            part,
            plan,
            terms: None,
            wanted: 0,
            had: 0,
            ids,
            members,
            seats,
            queue,
            draw,
            witness: Witness::default(),
            seen: Vec::new(),
            processes: 0,
            written: 0,
            events: 0,
            actions: Vec::new(),
        }
    }

    pub fn next_due(&self) -> Option<f64> {
        self.queue.next_at()
    }

    /// Plays until then.
    pub fn play(&mut self, until: f64) {
        while self.queue.next_at().is_some_and(|at| at <= until) {
            self.advance();
        }
    }

    /// The next thing that happens.
    pub fn advance(&mut self) {
        let Some((now, ev)) = self.queue.pop() else { return };
        self.events += 1;
        match ev {
            Ev::Arrives(from, to, bytes) => self.arrives(now, from, to, bytes),
            Ev::Tick(node, process) if self.seats[node].process == process => self.tick(now, node),
            Ev::Write(node, process) if self.seats[node].process == process && self.part.writes.0 > 0.0 => {
                if self.seats[node].runs() {
                    let key = self.draw.random_range(0..4);
                    self.write(now, node, key);
                }
                let again = self.part.writes.0 * self.draw.random_range(0.5..1.5);
                self.queue.push(now + again, Ev::Write(node, process));
            }
            Ev::Use(node, process) if self.seats[node].process == process => {
                self.want(now, node);
                self.use_later(now, node);
            }
            Ev::Tick(..) | Ev::Write(..) | Ev::Use(..) => {}
            Ev::Look(node) => {
                self.look(now, node);
                self.queue.push(now + LOOKS_EVERY, Ev::Look((node + 1) % self.seats.len()));
            }
        }
    }

    // Nodes.

    pub fn order(&mut self, now: f64, node: NodeId, order: Order) {
        match order {
            Order::Start => self.start(now, node, false),
            Order::StartBack => self.start(now, node, true),
            Order::Kill => self.kill(node),
            Order::Stop => self.leave(now, node),
            Order::Stall => self.seats[node].still = Some(Vec::new()),
            Order::Wake => self.wake(now, node),
            Order::Reload | Order::Retune | Order::Replace => {}
        }
    }

    /// `back`: its clock has gone back, so that it thinks of an incarnation below the ones that it had.
    pub fn start(&mut self, now: f64, node: NodeId, back: bool) {
        if self.seats[node].fleet.is_some() {
            return;
        }
        self.processes += 1;
        let process = self.processes;
        let count = if back {
            self.draw.random_range(0..=self.seats[node].count)
        } else {
            (1e9 + now * COUNTS) as u64
        };
        let mark = self.draw.random::<u64>();
        let seat = &mut self.seats[node];
        let fleet = Fleet::new(seat.local(now), &member(node), self.plan.clone(), count, mark);
        (seat.fleet, seat.process, seat.still, seat.count) =
            (fleet.ok(), process, None, seat.count.max(count));
        let apart = self.draw.random_range(0.0..self.part.every.0);
        if let (Some(terms), Some(fleet)) = (&self.terms, &seat.fleet) {
            let (local, incarnation) = (seat.local(now), fleet.incarnation());
            seat.rights =
                Some(Rights::new(local, fleet.me(), incarnation, self.members.clone(), terms.clone()));
            self.use_later(now, node);
        }
        self.queue.push(now, Ev::Tick(node, process));
        if self.part.writes.0 > 0.0 {
            self.queue.push(now + apart * 5.0, Ev::Write(node, process));
        }
    }

    pub fn kill(&mut self, node: NodeId) {
        let seat = &mut self.seats[node];
        (seat.fleet, seat.rights, seat.still, seat.process) = (None, None, None, 0);
        self.witness.ended(node);
    }

    pub fn leave(&mut self, now: f64, node: NodeId) {
        self.with(now, node, |fleet, _, actions| fleet.leave(actions));
    }

    pub fn wake(&mut self, now: f64, node: NodeId) {
        let held = self.seats[node].still.take().unwrap_or_default();
        // What has come since is read before the clock is looked at again, as a process does that knows nothing of it.
        for (from, bytes) in held {
            self.hear(now, from, node, &bytes);
        }
        self.tick(now, node);
    }

    pub fn write(&mut self, now: f64, node: NodeId, key: u64) -> bool {
        self.written += 1;
        let value = self.written.to_le_bytes();
        let mut fits = false;
        self.with(now, node, |fleet, local, actions| {
            fits = fleet.write(local, Kind::STANDING, key, &value, actions);
        });
        self.note(now, node, key, &value);
        fits
    }

    /// Tells the referee under which stamp that stands.
    fn note(&mut self, now: f64, node: NodeId, number: u64, value: &[u8]) {
        let seat = &self.seats[node];
        let Some(fleet) = &seat.fleet else { return };
        let key = Key { owner: fleet.me(), kind: Kind::STANDING, key: number };
        let written = fleet.read(seat.local(now), Kind::STANDING).find(|reading| reading.key == key);
        let stamp = written.filter(|reading| reading.value == value).map(|r| (r.incarnation, r.version));
        stamp.into_iter().for_each(|stamp| self.witness.wrote(now, node, key, stamp, value));
    }

    /// No node writes by itself any more: for tests that wait until all hold the same.
    pub fn stop_writing(&mut self) {
        self.part.writes.0 = 0.0;
    }

    // Limits.

    /// From the next starts on these limits hold.
    pub fn limit(&mut self, terms: Terms) {
        self.terms = Some(terms);
    }

    pub fn members(&self) -> &[Id] {
        &self.members
    }

    /// So many uses of the first limit a second are wanted at that node from now on.
    pub fn demand(&mut self, now: f64, node: NodeId, wants: f64) {
        let began = std::mem::replace(&mut self.seats[node].wants, wants) <= 0.0;
        if began {
            self.use_later(now, node);
        }
    }

    fn use_later(&mut self, now: f64, node: NodeId) {
        let (wants, process) = (self.seats[node].wants, self.seats[node].process);
        if wants > 0.0 && process > 0 {
            let after = -(1.0 - self.draw.random::<f64>()).ln() / wants;
            self.queue.push(now + after, Ev::Use(node, process));
        }
    }

    fn want(&mut self, now: f64, node: NodeId) {
        let seat = &mut self.seats[node];
        let local = seat.local(now);
        if seat.still.is_some() {
            return;
        }
        let (Some(rights), Some(terms)) = (&mut seat.rights, &self.terms) else { return };
        // Of all limits alike; the referee judges where there is one.
        let limit = terms.limits[self.wanted as usize % terms.limits.len()];
        self.wanted += 1;
        if rights.take(local, limit.id, 1.0) {
            self.had += 1;
            if terms.limits.len() == 1 {
                self.witness.used(now, node, 1.0, limit.bound(), limit.window);
            }
        }
    }

    fn say(&mut self, now: f64, node: NodeId, posts: Vec<(Id, Vec<u8>)>) {
        for (to, bytes) in posts {
            self.with(now, node, |fleet, local, actions| fleet.say(local, to, Kind::RIGHTS, bytes, actions));
        }
    }

    fn rights(&mut self, now: f64, node: NodeId) {
        let Seat { fleet: Some(fleet), rights: Some(rights), rate, shows, .. } = &mut self.seats[node] else {
            return;
        };
        let mut posts = Vec::new();
        let gone = |id| matches!(fleet.state(id), Some(State::Dead | State::Left));
        rights.advance(*shows + *rate * now, gone, &mut posts);
        self.say(now, node, posts);
    }

    fn arrives(&mut self, now: f64, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        let seat = &mut self.seats[to];
        match &mut seat.still {
            Some(held) if held.len() < KEPT => held.push((from, bytes)),
            Some(_) => {}
            None => self.hear(now, from, to, &bytes),
        }
    }

    fn hear(&mut self, now: f64, from: NodeId, to: NodeId, bytes: &[u8]) {
        self.with(now, to, |fleet, local, actions| fleet.heard(local, addr(from), bytes, actions));
    }

    fn tick(&mut self, now: f64, node: NodeId) {
        if self.seats[node].still.is_some() {
            return; // It goes on when it wakes.
        }
        self.with(now, node, |fleet, local, actions| fleet.advance(local, actions));
        self.rights(now, node);
        let seat = &self.seats[node];
        if let Some(fleet) = &seat.fleet {
            let due = ((fleet.next_due() - seat.shows) / seat.rate).max(now + 1e-6);
            self.queue.push(due, Ev::Tick(node, seat.process));
        }
    }

    fn with(&mut self, now: f64, node: NodeId, act: impl FnOnce(&mut Fleet, f64, &mut Vec<Action>)) {
        let mut actions = std::mem::take(&mut self.actions);
        let seat = &mut self.seats[node];
        let local = seat.local(now);
        if let Some(fleet) = &mut seat.fleet {
            act(fleet, local, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { to, bytes } => self.send(now, node, to, bytes),
                Action::News(News::Member { id, to, .. }) => self.note_state(now, node, id, to),
                Action::News(_) => {}
                Action::Said { from, mark, bytes, .. } => {
                    let (seat, mut posts) = (&mut self.seats[node], Vec::new());
                    let local = seat.local(now);
                    seat.rights.iter_mut().for_each(|r| r.heard(local, from, mark, &bytes, &mut posts));
                    self.say(now, node, posts);
                }
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, now: f64, from: NodeId, to: SocketAddr, bytes: Vec<u8>) {
        let SocketAddr::V4(v4) = to else { return };
        let [_, _, high, low] = v4.ip().octets();
        let to = usize::from(high) << 8 | usize::from(low);
        if to < self.seats.len() {
            for (after, bytes) in self.links.pass(now, from, to, bytes) {
                self.queue.push(now + after, Ev::Arrives(from, to, bytes));
            }
        }
    }

    fn note_state(&mut self, now: f64, by: NodeId, id: Id, to: State) {
        let Some(&of) = self.ids.get(&id) else { return };
        let well =
            self.seats[of].runs() && !self.links.is_cut(now, of, by) && !self.links.is_cut(now, by, of);
        let false_death = to == State::Dead && well;
        self.seen.push(Seen { at: now, by, of, to, false_death });
    }

    fn look(&mut self, now: f64, node: NodeId) {
        let seat = &self.seats[node];
        if let Some(fleet) = seat.fleet.as_ref().filter(|_| seat.still.is_none()) {
            self.witness.look(now, seat.local(now), node, fleet, &self.members);
        }
    }

    // What is read of it.

    pub fn fleet(&self, node: NodeId) -> Option<&Fleet> {
        self.seats[node].fleet.as_ref()
    }

    /// What one holds another to be.
    pub fn state(&self, by: NodeId, of: NodeId) -> Option<State> {
        self.fleet(by)?.state(self.members[of])
    }

    pub fn figures(&self, now: f64, node: NodeId) -> Option<Figures> {
        let seat = &self.seats[node];
        seat.fleet.as_ref().map(|fleet| fleet.figures(seat.local(now)))
    }

    /// Whether all processes that run hold the same.
    pub fn agree(&self) -> bool {
        let mut sums =
            self.seats.iter().filter(|s| s.runs()).filter_map(|s| s.fleet.as_ref()).map(Fleet::sum);
        let first = sums.next();
        sums.all(|sum| Some(sum) == first)
    }

    /// Plays on until it holds, looking every 10 ms; when it did.
    pub fn until(&mut self, now: f64, latest: f64, holds: impl Fn(&Stage) -> bool) -> Option<f64> {
        let mut at = now;
        while at <= latest {
            self.play(at);
            if holds(self) {
                return Some(at);
            }
            at += 0.01;
        }
        None
    }
}
