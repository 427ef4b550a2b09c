//! One node's part in the fleet: what it hears and what its clock says go in, what it sends and what has changed come out.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use coveroute::chance::Chance;
use serde::Serialize;

use crate::detector::{Doubt, Health, Look, Out, Purpose, TICKS};
use crate::member::{next, Claim, Effect, Id, Incarnation, Input, Standing, State, Word};
use crate::message::{decode, encode, Message, Odd, What, MOST};
use crate::plan::Plan;
use crate::table::{Key, Kind, Reading, Record, Table, Taken};

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    News(News),
    /// What a part on top says at another member, and the mark of its process.
    Said {
        from: Id,
        mark: u64,
        kind: Kind,
        bytes: Vec<u8>,
    },
}

/// What the parts that build on this are told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    Member {
        id: Id,
        from: State,
        to: State,
    },
    /// A record that is new here.
    Record(Key),
    /// Another process bears this one's name; whether this one keeps silent for it.
    Doubled {
        yields: bool,
    },
}

/// Who hears, and how it is seen.
#[derive(Clone, Debug)]
struct Peer {
    addr: SocketAddr,
    standing: Option<Standing>,
    state: State,
    since: f64,
    doubt: Option<Doubt>,
    /// When it was last heard itself.
    heard: f64,
}

/// A fleet-wide rate of pings to each member that is not there: so soon is one found that comes back, whatever the
/// number of members.
const LOST_RATE: f64 = 4.0;
/// Members who look themselves at one who is suspected by another, on the average: as many as must share it.
const CHECKS: f64 = 4.0;
/// A member that came back counts as returned for this long: some dozen rounds, in which it learns what it missed.
const SETTLES: f64 = 10.0;
/// Each word and record is told on so many times the logarithm of the members' number (SWIM's lambda).
const TOLD: f64 = 3.0;
/// Words in a message at most; more go with the next.
const WORDS: usize = 8;
/// Bytes of a message that words and records may fill, under the head and the longest record.
const FILL: usize = MOST - 120;
/// Messages in answer to one question about what differs.
const PARTS_MOST: usize = 4;
/// Answers in a row that differ before it is asked what does: what is new goes round by itself meanwhile.
const DIFFERS: u8 = 3;
/// Pings back to who holds something else, per `every`.
const TALKS: usize = 2;
/// A tick that comes so many ticks late was one in which this process stood still.
const STALL_TICKS: f64 = 5.0;
/// So many others under the own name within this many seconds are one that stays.
const DISPUTES: (usize, f64) = (4, 30.0);

#[derive(Clone, Debug)]
pub struct Fleet {
    plan: Plan,
    me: Id,
    mark: u32,
    incarnation: Incarnation,
    chance: Chance,
    peers: BTreeMap<Id, Peer>,
    addresses: BTreeMap<SocketAddr, Id>,
    /// In which order members are probed, and who is next.
    ring: Vec<Id>,
    at: usize,
    table: Table,
    out: BTreeMap<u64, Out>,
    number: u64,
    /// What is still to be told, and how often.
    words: BTreeMap<Id, u32>,
    fresh: BTreeMap<Key, u32>,
    health: Health,
    due: f64,
    ticks: u64,
    purse: f64,
    differs: u8,
    talks: usize,
    disputes: Vec<f64>,
    /// Another one bears this name: silent until then.
    silent: f64,
    /// Takes part: not while another process of this node does.
    part: bool,
    left: bool,
    counts: Counts,
}

/// What has been counted since this process began.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    /// Passed over, by why.
    pub dropped: BTreeMap<Odd, u64>,
    /// Not sent, for want of budget.
    pub withheld: u64,
    /// Suspicions of this node that it put right.
    pub refuted: u64,
    /// Members that were held to be dead here.
    pub buried: u64,
    /// Moments in which this process stood still.
    pub stalls: u64,
    /// Records of members that have too many.
    pub full: u64,
}

/// Figures for operators, and for the referee.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    pub incarnation: u64,
    pub members: BTreeMap<State, usize>,
    /// By name, this one left out.
    pub states: BTreeMap<String, State>,
    pub records: usize,
    /// The greatest bound on an age, in seconds.
    pub oldest: f64,
    /// Whoever holds the same has the same.
    pub sum: String,
    pub health: u8,
    pub doubled: bool,
    #[serde(flatten)]
    pub counts: Counts,
}

impl Fleet {
    /// `count`: a guess above all incarnations that this member has had; a wrong one is put right by the others. `mark`
    /// tells this process from others under its name. None if the file lacks the member.
    pub fn new(now: f64, name: &str, plan: Plan, count: u64, mark: u64) -> Result<Self, String> {
        let me = plan.id(name).ok_or(format!("members: {name} is not among them"))?;
        let table = Table::new(plan.detector.drift, plan.records.most);
        let seed = coveroute::chance::mix(mark ^ u64::from(me.0) << 24);
        let mut fleet = Fleet {
            mark: plan.mark(),
            me,
            incarnation: Incarnation::new(count, mark),
            chance: Chance::new(seed),
            peers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            ring: Vec::new(),
            at: 0,
            table,
            out: BTreeMap::new(),
            number: seed >> 8 << 8, // An answer to an earlier process's question is none to this one's.
            words: BTreeMap::new(),
            fresh: BTreeMap::new(),
            health: Health::default(),
            due: now,
            ticks: 0,
            purse: plan.detector.budget,
            differs: 0,
            talks: 0,
            disputes: Vec::new(),
            silent: f64::NEG_INFINITY,
            part: true,
            left: false,
            counts: Counts::default(),
            plan,
        };
        fleet.stand((fleet.incarnation, Claim::Alive), None);
        fleet.enrol(now);
        Ok(fleet)
    }

    /// Takes the members of the file over.
    fn enrol(&mut self, now: f64) {
        let members = self.plan.members.iter().map(|(name, entry)| (Id::of(name), entry.address));
        let members: BTreeMap<Id, SocketAddr> = members.collect();
        let gone: Vec<Id> = self.peers.keys().filter(|id| !members.contains_key(id)).copied().collect();
        for id in gone {
            let standing = self.peers.remove(&id).and_then(|peer| peer.standing);
            self.table.stands(id, standing, None);
            self.table.forget(id);
            self.words.remove(&id);
        }
        self.out.retain(|_, out| members.contains_key(&out.to));
        self.fresh.retain(|key, _| members.contains_key(&key.owner));
        for (id, addr) in members.iter().filter(|(id, _)| **id != self.me) {
            let unseen = Peer {
                addr: *addr,
                standing: None,
                state: State::Unseen,
                since: now,
                doubt: None,
                heard: now,
            };
            self.peers.entry(*id).or_insert(unseen).addr = *addr;
        }
        self.addresses = self.peers.iter().map(|(id, peer)| (peer.addr, *id)).collect();
        self.ring = self.peers.keys().copied().collect();
        self.shuffle();
    }

    /// Why that file can't take this one's place while the node runs, if it can't.
    pub fn fits(&self, plan: &Plan) -> Result<(), String> {
        let name = self.plan.members.keys().find(|name| Id::of(name) == self.me).cloned();
        let name = name.unwrap_or_default();
        if plan.id(&name).is_none() {
            return Err(format!("members: {name} is not among them, and is this node"));
        }
        if plan.fleet != self.plan.fleet {
            return Err("fleet: counts from the next start on".into());
        }
        if plan.members[&name].address != self.plan.members[&name].address {
            return Err(format!("members.{name}.address: counts from the next start on"));
        }
        Ok(())
    }

    /// Whole or not at all.
    pub fn reread(&mut self, now: f64, plan: Plan) -> Result<(), String> {
        self.fits(&plan)?;
        self.table.retune(plan.detector.drift, plan.records.most);
        self.plan = plan;
        self.enrol(now);
        Ok(())
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    pub fn me(&self) -> Id {
        self.me
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    // Time.

    pub fn next_due(&self) -> f64 {
        self.due
    }

    pub fn advance(&mut self, now: f64, out: &mut Vec<Action>) {
        let (tick, late) = (self.plan.detector.tick(), now - self.due);
        if late < 0.0 {
            return;
        }
        if late > STALL_TICKS * tick {
            self.stood_still(late);
        }
        self.due = if late > tick { now + tick } else { self.due + tick };
        self.purse = (self.purse + self.plan.detector.budget * tick).min(self.plan.detector.budget);
        if self.part && now >= self.silent && !self.left {
            self.tick(now, out);
        }
    }

    /// Nothing that was awaited meanwhile says anything of others: they may have answered.
    fn stood_still(&mut self, late: f64) {
        self.counts.stalls += 1;
        self.health.worse();
        self.out.values_mut().for_each(|out| out.purpose = Purpose::Talk);
        let doubts = self.peers.values_mut().filter_map(|peer| peer.doubt.as_mut());
        doubts.for_each(|doubt| doubt.began += late);
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        self.ticks += 1;
        self.look(now, out);
        self.end_doubts(now, out);
        if self.ticks % TICKS == 1 {
            self.talks = 0;
            self.probe_next(now, out);
            self.seek_lost(now, out);
        }
        if self.ticks % (5 * TICKS) == 1 {
            self.table.tidy(now);
            self.settle(now, out);
        }
    }

    // The detector.

    fn look(&mut self, now: f64, out: &mut Vec<Action>) {
        let (detector, health) = (self.plan.detector, self.health);
        let looks = self.out.iter().map(|(number, sent)| (*number, *sent, sent.look(now, &detector, health)));
        let looks: Vec<(u64, Out, Look)> = looks.filter(|look| look.2 != Look::Wait).collect();
        for (number, sent, look) in looks {
            match (look, sent.purpose) {
                (Look::Help, _) => self.have_reached(number, sent.to, out),
                (Look::Silent, Purpose::Probe { asked, tried }) => {
                    // Nobody who was asked says a word: it may well be this node that is cut off.
                    if asked > 0 && tried == 0 {
                        self.health.worse();
                    }
                    self.set_purpose(number, Purpose::Talk);
                    self.step(now, sent.to, Input::Silent, self.me, out);
                }
                (Look::Tried, Purpose::For(who, theirs)) => {
                    self.set_purpose(number, Purpose::Talk);
                    self.send(who, What::Reached { number: theirs, well: false }, out);
                }
                _ => drop(self.out.remove(&number)),
            }
        }
    }

    fn set_purpose(&mut self, number: u64, purpose: Purpose) {
        self.out.get_mut(&number).into_iter().for_each(|sent| sent.purpose = purpose);
    }

    /// Pings once more, and asks others to try.
    fn have_reached(&mut self, number: u64, of: Id, out: &mut Vec<Action>) {
        let others = self.some_of(self.plan.detector.relays, |id, peer| id != of && peer.state.is_there());
        self.set_purpose(number, Purpose::Probe { asked: others.len().max(1), tried: 0 });
        self.send(of, What::Ping { number }, out);
        for other in others {
            self.send(other, What::Reach { number, of }, out);
        }
    }

    /// Up to so many of the members that fit, by chance.
    fn some_of(&mut self, many: usize, fits: impl Fn(Id, &Peer) -> bool) -> Vec<Id> {
        let mut fit: Vec<Id> =
            self.peers.iter().filter(|(id, peer)| fits(**id, peer)).map(|(id, _)| *id).collect();
        for at in 0..many.min(fit.len()) {
            let other = at + (self.chance.draw() * (fit.len() - at) as f64) as usize;
            fit.swap(at, other);
        }
        fit.truncate(many);
        fit
    }

    fn shuffle(&mut self) {
        for at in (1..self.ring.len()).rev() {
            let other = (self.chance.draw() * (at + 1) as f64) as usize;
            self.ring.swap(at, other);
        }
        self.at = 0;
    }

    /// Each in turn, in an order that is drawn anew for each round: none waits longer than two rounds.
    fn probe_next(&mut self, now: f64, out: &mut Vec<Action>) {
        for _ in 0..self.ring.len() {
            if self.at >= self.ring.len() {
                self.shuffle();
            }
            let of = self.ring[self.at];
            self.at += 1;
            if self.peers[&of].state.is_there() {
                return self.ping(now, of, Purpose::Probe { asked: 0, tried: 0 }, out);
            }
        }
    }

    /// Who is held to be dead, or was never seen, may be cut off: one of all members looks every now and then.
    fn seek_lost(&mut self, now: f64, out: &mut Vec<Action>) {
        let lost = self.some_of(1, |_, peer| !peer.state.is_there());
        let lost_many = self.peers.values().filter(|peer| !peer.state.is_there()).count();
        let there = 1 + self.peers.len() - lost_many;
        let chance = LOST_RATE * self.plan.detector.every * lost_many as f64 / there as f64;
        if self.chance.draw() < chance {
            lost.into_iter().for_each(|of| self.ping(now, of, Purpose::Talk, out));
        }
    }

    fn end_doubts(&mut self, now: f64, out: &mut Vec<Action>) {
        let members = 1 + self.peers.values().filter(|peer| peer.state.is_there()).count();
        let trusted = |peer: &&Peer| matches!(peer.state, State::Alive | State::Returned);
        let could = self.peers.values().filter(trusted).count();
        let over = |peer: &Peer| {
            peer.doubt.as_ref().is_some_and(|doubt| {
                let stands = self.plan.detector.stands(doubt.others(peer.heard), could, members, self.health);
                now - doubt.began >= stands
            })
        };
        let over: Vec<Id> = self.peers.iter().filter(|(_, peer)| over(peer)).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.step(now, id, Input::Overdue, self.me, out));
    }

    fn settle(&mut self, now: f64, out: &mut Vec<Action>) {
        let settled = |peer: &Peer| peer.state == State::Returned && now - peer.since >= SETTLES;
        let ids: Vec<Id> = self.peers.iter().filter(|(_, peer)| settled(peer)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.step(now, id, Input::Settles, self.me, out));
    }

    /// Takes a member a step on by the table.
    fn step(&mut self, now: f64, id: Id, input: Input, by: Id, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let (from, (to, effect)) = (peer.state, next(peer.state, input));
        // What is found out here, and not told by a word, is a word from now on.
        let claim = match (input, effect) {
            (Input::Silent, Effect::Doubt) => Some(Claim::Suspected),
            (Input::Overdue, _) if to == State::Dead => Some(Claim::Dead),
            _ => None,
        };
        if let Some((incarnation, claim)) = peer.standing.map(|standing| standing.0).zip(claim) {
            let before = peer.standing.replace((incarnation, claim));
            self.table.stands(id, before, Some((incarnation, claim)));
        }
        let mut spread = from != to && input != Input::Settles;
        match effect {
            Effect::Nothing => {}
            Effect::Doubt => peer.doubt = Some(Doubt::new(now, by)),
            Effect::Confirm => spread |= peer.doubt.as_mut().is_some_and(|doubt| doubt.joins(by)),
            Effect::Clear => peer.doubt = None,
        }
        if from != to {
            (peer.state, peer.since) = (to, now);
            self.counts.buried += u64::from(to == State::Dead);
            out.push(Action::News(News::Member { id, from, to }));
        }
        if spread {
            self.spread(id);
        }
        if effect == Effect::Doubt {
            self.check(now, id, by, out);
        }
    }

    /// It hears of the suspicion by this; some look for themselves.
    fn check(&mut self, now: f64, id: Id, by: Id, out: &mut Vec<Action>) {
        let there = self.peers.values().filter(|peer| peer.state.is_there()).count();
        if by == self.me {
            self.ping(now, id, Purpose::Talk, out);
        } else if self.chance.draw() * (there as f64) < CHECKS {
            self.ping(now, id, Purpose::Probe { asked: 0, tried: 0 }, out);
        }
    }

    fn spread(&mut self, of: Id) {
        let times = self.times();
        self.words.insert(of, times);
    }

    fn times(&self) -> u32 {
        (TOLD * (self.peers.len() as f64 + 2.0).log2()).ceil() as u32
    }

    // Words.

    fn learn(&mut self, now: f64, word: Word, out: &mut Vec<Action>) {
        if !word.incarnation.is_sound() {
            return self.odd(Odd::Unreadable);
        }
        if word.of == self.me {
            return self.spoken_of(now, word.incarnation, word.claim, out);
        }
        let Some(peer) = self.peers.get_mut(&word.of) else { return self.odd(Odd::Stranger) };
        let (known, new) = (peer.standing, (word.incarnation, word.claim));
        if known.is_some_and(|known| new <= known) {
            if known == Some(new) && word.claim == Claim::Suspected {
                self.step(now, word.of, Input::Doubted, word.by, out);
            }
            return;
        }
        let anew = known.is_some_and(|known| known.0.mark() != word.incarnation.mark());
        let input = match word.claim {
            Claim::Alive if anew => Input::Reborn,
            Claim::Alive => Input::Lives,
            Claim::Suspected => Input::Doubted,
            Claim::Dead => Input::Died,
            Claim::Left => Input::Leaves,
        };
        peer.standing = Some(new);
        self.table.stands(word.of, known, Some(new));
        self.spread(word.of);
        self.step(now, word.of, input, word.by, out);
    }

    /// Others say what is not so, or speak of an earlier process, or of another one of this name.
    fn spoken_of(&mut self, now: f64, incarnation: Incarnation, claim: Claim, out: &mut Vec<Action>) {
        let fits = (incarnation, claim) <= (self.incarnation, Claim::Alive);
        if self.left || fits {
            return;
        }
        if incarnation.mark() != self.incarnation.mark() {
            self.disputed(now, incarnation, out);
        } else {
            self.counts.refuted += 1;
            self.health.worse();
        }
        self.rise(now, incarnation, out);
    }

    /// Goes on in an incarnation above that one, and says so at once.
    fn rise(&mut self, now: f64, over: Incarnation, out: &mut Vec<Action>) {
        let before = (self.incarnation, Claim::Alive);
        self.incarnation = self.incarnation.above(over);
        self.stand((self.incarnation, Claim::Alive), Some(before));
        let (keys, times) = (self.table.rise(self.me, self.incarnation), self.times());
        self.fresh.extend(keys.into_iter().map(|key| (key, times)));
        self.tell_some(now, out);
    }

    fn tell_some(&mut self, now: f64, out: &mut Vec<Action>) {
        let some = self.some_of(self.plan.detector.relays.max(1), |_, peer| peer.state.is_there());
        some.into_iter().for_each(|to| self.ping(now, to, Purpose::Talk, out));
    }

    fn stand(&mut self, after: Standing, before: Option<Standing>) {
        self.table.stands(self.me, before, Some(after));
    }

    /// An earlier process that others remember stands wherever it did. One that is there rises one above what it hears of
    /// this one, again and again; and of two only the one with the greater mark may go on.
    fn disputed(&mut self, now: f64, other: Incarnation, out: &mut Vec<Action>) {
        if !other.is_next_to(self.incarnation) {
            return;
        }
        self.disputes.retain(|at| now - at < DISPUTES.1);
        self.disputes.push(now);
        if self.disputes.len() >= DISPUTES.0 {
            let yields = other.mark() > self.incarnation.mark();
            if yields {
                self.silent = now + DISPUTES.1;
            }
            out.push(Action::News(News::Doubled { yields }));
        }
    }

    // Messages.

    fn odd(&mut self, why: Odd) {
        *self.counts.dropped.entry(why).or_default() += 1;
    }

    pub fn heard(&mut self, now: f64, from: SocketAddr, bytes: &[u8], out: &mut Vec<Action>) {
        self.counts.heard += 1;
        self.counts.heard_bytes += bytes.len() as u64;
        if !self.part || self.left {
            return;
        }
        let message = match decode(self.mark, bytes) {
            Ok(message) => message,
            Err(why) => return self.odd(why),
        };
        if message.from == self.me || self.addresses.get(&from) != Some(&message.from) {
            return self.odd(Odd::Stranger);
        }
        let Message { from, incarnation, sum, words, what } = message;
        self.learn(now, Word { of: from, incarnation, claim: Claim::Alive, by: from }, out);
        self.peers.get_mut(&from).into_iter().for_each(|peer| peer.heard = now);
        words.into_iter().for_each(|word| self.learn(now, word, out));
        if now >= self.silent {
            self.carry(now, (from, incarnation), sum, what, out);
        }
    }

    fn carry(
        &mut self,
        now: f64,
        (from, incarnation): (Id, Incarnation),
        sum: u64,
        what: What,
        out: &mut Vec<Action>,
    ) {
        match what {
            What::Ping { number } if sum == self.table.sum() => {
                self.cool();
                let (words, records) = (self.words_beyond_sums(from), Vec::new());
                self.post(from, words, What::Answer { number, records }, out);
            }
            What::Ping { number } => {
                let records = self.fresh_records(now);
                self.send(from, What::Answer { number, records }, out);
                if self.talks < TALKS {
                    self.talks += 1;
                    self.ping(now, from, Purpose::Talk, out);
                }
            }
            What::Answer { number, records } => {
                let Some(sent) = self.out.remove(&number).filter(|sent| sent.to == from) else { return };
                match sent.purpose {
                    Purpose::Probe { .. } => self.health.better(),
                    Purpose::For(who, theirs) => {
                        self.send(who, What::Reached { number: theirs, well: true }, out);
                    }
                    Purpose::Talk => {}
                }
                self.take(now, sent.at, records, out);
                self.compare(now, from, sum, out);
            }
            What::Reach { number, of } if self.peers.contains_key(&of) => {
                self.ping(now, of, Purpose::For(from, number), out);
            }
            What::Reach { .. } => {}
            What::Reached { number, well } => self.reached(number, well),
            What::Part { kind, bytes } => {
                out.push(Action::Said { from, mark: incarnation.mark(), kind, bytes });
            }
            What::Compare { number, sums } => self.tell_differences(now, from, number, &sums, out),
            What::Differs { number, records, more } => {
                // Several of these answer one question.
                let sent = self.out.get(&number).copied().filter(|sent| sent.to == from);
                let Some(sent) = sent else { return };
                self.take(now, sent.at, records, out);
                if more && sum != self.table.sum() {
                    self.ask_what_differs(now, from, out);
                }
            }
        }
    }

    fn reached(&mut self, number: u64, well: bool) {
        match self.out.get_mut(&number) {
            Some(sent) if well && matches!(sent.purpose, Purpose::Probe { .. }) => {
                sent.purpose = Purpose::Talk
            }
            Some(Out { purpose: Purpose::Probe { tried, .. }, .. }) => *tried += 1,
            _ => {}
        }
    }

    fn take(&mut self, now: f64, asked: f64, records: Vec<Record>, out: &mut Vec<Action>) {
        for record in records {
            let (key, incarnation) = (record.key, record.incarnation);
            if key.owner != self.me && !self.peers.contains_key(&key.owner) || !incarnation.is_sound() {
                self.odd(Odd::Stranger);
                continue;
            }
            if key.owner == self.me && incarnation.mark() != self.incarnation.mark() {
                self.spoken_of(now, incarnation, Claim::Alive, out);
            }
            match self.table.take(now, asked, record) {
                Taken::Newer => {
                    let times = self.times();
                    self.fresh.insert(key, times);
                    out.push(Action::News(News::Record(key)));
                }
                Taken::Full => self.counts.full += 1,
                Taken::Closer | Taken::Known | Taken::Ended => {}
            }
        }
    }

    /// What differs for longer than news take to go round is asked for.
    fn compare(&mut self, now: f64, from: Id, sum: u64, out: &mut Vec<Action>) {
        if sum == self.table.sum() {
            self.differs = 0;
            return self.cool();
        }
        self.differs += 1;
        if self.differs >= DIFFERS {
            self.differs = 0;
            self.ask_what_differs(now, from, out);
        }
    }

    fn ask_what_differs(&mut self, now: f64, to: Id, out: &mut Vec<Action>) {
        let number = self.next_number();
        let sums = self.table.sums().to_vec();
        self.out.insert(number, Out { to, at: now, purpose: Purpose::Talk });
        self.send_within(to, What::Compare { number, sums }, out);
    }

    /// What is known of members whose parts differ, and their records, as much as goes into a few messages; from
    /// another member on each time, so that all comes to its turn.
    fn tell_differences(&mut self, now: f64, to: Id, number: u64, sums: &[u32], out: &mut Vec<Action>) {
        let mut ids: Vec<Id> = self.peers.keys().copied().chain([self.me]).collect();
        ids.retain(|id| self.table.differs(*id, sums));
        let turn = (self.chance.draw() * ids.len() as f64) as usize;
        let turn = turn.min(ids.len());
        ids.rotate_left(turn);
        let (mut words, mut records, mut room, mut parts) = (Vec::new(), Vec::new(), FILL, 0);
        let mut items: Vec<(Option<Word>, Option<Record>)> = Vec::new();
        for id in ids {
            items.extend(self.word(id).map(|word| (Some(word), None)));
            let own = self.table.keys_of(id).filter_map(|key| self.table.record(now, &key));
            items.extend(own.map(|record| (None, Some(record))));
        }
        for (word, record) in items {
            let size = word.map_or(0, |_| WORD_SIZE) + record.as_ref().map_or(0, Record::size);
            if size > room {
                let (words, records) = (std::mem::take(&mut words), std::mem::take(&mut records));
                (room, parts) = (FILL, parts + 1);
                let more = parts >= PARTS_MOST;
                self.send_words(to, words, What::Differs { number, records, more }, out);
                if more {
                    return;
                }
            }
            room -= size;
            words.extend(word);
            records.extend(record);
        }
        self.send_words(to, words, What::Differs { number, records, more: false }, out);
    }

    fn fresh_records(&mut self, now: f64) -> Vec<Record> {
        let mut by: Vec<(u32, Key)> = self.fresh.iter().map(|(key, left)| (*left, *key)).collect();
        by.sort_by(|one, two| two.cmp(one)); // What was told least first.
        let (mut room, mut records) = (FILL - WORDS * WORD_SIZE, Vec::new());
        for (left, key) in by {
            let Some(record) = self.table.record(now, &key) else {
                self.fresh.remove(&key);
                continue;
            };
            if record.size() > room {
                break;
            }
            room -= record.size();
            records.push(record);
            match left {
                0 | 1 => drop(self.fresh.remove(&key)),
                left => drop(self.fresh.insert(key, left - 1)),
            }
        }
        records
    }

    fn word(&mut self, of: Id) -> Option<Word> {
        if of == self.me {
            return Some(Word { of, incarnation: self.incarnation, claim: Claim::Alive, by: of });
        }
        let peer = self.peers.get(&of)?;
        let ((incarnation, claim), by) = (peer.standing?, peer.doubt.as_ref().map(|doubt| &doubt.by));
        // Each of those who hold a suspicion is named in turn: who hears several believes it sooner.
        let draw = self.chance.draw();
        let by = by.map_or(self.me, |by| by[(draw * by.len() as f64) as usize]);
        Some(Word { of, incarnation, claim, by })
    }

    /// What the other should know first: what is said of itself. Then what was told least.
    fn words_for(&mut self, to: Id) -> Vec<Word> {
        let mut words = self.word_of_itself(to);
        let mut by: Vec<(u32, Id)> = self.words.iter().map(|(id, left)| (*left, *id)).collect();
        by.sort_by(|one, two| two.cmp(one));
        for (_, id) in by.into_iter().filter(|(_, id)| *id != to).take(WORDS - 1) {
            words.extend(self.word(id));
            self.tell_once(id);
        }
        words
    }

    /// Another one holds the same: what goes round is known to more than those it was told to. Guards against a fleet
    /// that starts at once and tells for minutes what all know: 1,000 members sent 4.2 KB a second for it.
    fn cool(&mut self) {
        let peers = &self.peers;
        let suspected = |id: &Id| peers.get(id).is_some_and(|peer| peer.state == State::Suspected);
        self.words.retain(|id, left| {
            *left -= u32::from(!suspected(id));
            *left > 0
        });
        self.fresh.retain(|_, left| {
            *left -= 1;
            *left > 0
        });
    }

    /// To one who holds the same there is only to say what is said of itself, and suspicions, which no sum covers.
    fn words_beyond_sums(&mut self, to: Id) -> Vec<Word> {
        let peers = &self.peers;
        let passing = |id: &Id| peers.get(id).is_some_and(|peer| peer.state == State::Suspected);
        let ids: Vec<Id> = self.words.keys().copied().filter(passing).take(WORDS - 1).collect();
        let mut words = self.word_of_itself(to);
        for id in ids.into_iter().filter(|id| *id != to) {
            words.extend(self.word(id));
            self.tell_once(id);
        }
        words
    }

    fn word_of_itself(&mut self, to: Id) -> Vec<Word> {
        let ill = self.peers.get(&to).and_then(|peer| peer.standing).is_some_and(|s| s.1 != Claim::Alive);
        if ill {
            self.word(to).into_iter().collect()
        } else {
            Vec::new()
        }
    }

    fn tell_once(&mut self, id: Id) {
        match self.words.get_mut(&id) {
            Some(left @ 2..) => *left -= 1,
            _ => drop(self.words.remove(&id)),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    fn ping(&mut self, now: f64, to: Id, purpose: Purpose, out: &mut Vec<Action>) {
        let number = self.next_number();
        self.out.insert(number, Out { to, at: now, purpose });
        self.send(to, What::Ping { number }, out);
    }

    fn send(&mut self, to: Id, what: What, out: &mut Vec<Action>) {
        let words = self.words_for(to);
        self.post(to, words, what, out);
    }

    /// What can wait keeps to the budget.
    fn send_within(&mut self, to: Id, what: What, out: &mut Vec<Action>) {
        let words = self.words_for(to);
        self.send_words(to, words, what, out);
    }

    fn send_words(&mut self, to: Id, words: Vec<Word>, what: What, out: &mut Vec<Action>) {
        if self.purse < MOST as f64 {
            self.counts.withheld += 1;
            return;
        }
        let before = self.counts.sent_bytes;
        self.post(to, words, what, out);
        self.purse -= (self.counts.sent_bytes - before) as f64;
    }

    fn post(&mut self, to: Id, words: Vec<Word>, what: What, out: &mut Vec<Action>) {
        let Some(addr) = self.peers.get(&to).map(|peer| peer.addr) else { return };
        let (from, incarnation, sum) = (self.me, self.incarnation, self.table.sum());
        let bytes = encode(self.mark, &Message { from, incarnation, sum, words, what });
        debug_assert!(bytes.len() <= MOST, "{} bytes", bytes.len());
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Action::Send { to: addr, bytes });
    }

    // What the parts on top need.

    /// Writes one of the own records; false where there is no room for it.
    pub fn write(&mut self, now: f64, kind: Kind, key: u64, value: &[u8], out: &mut Vec<Action>) -> bool {
        let key = Key { owner: self.me, kind, key };
        let written = self.table.write(now, key, self.incarnation, self.plan.records.life, value).is_some();
        if written {
            let times = self.times();
            self.fresh.insert(key, times);
            if self.part && now >= self.silent && !self.left {
                // They see that this one holds something else, and ask.
                let some = self.some_of(TALKS, |_, peer| peer.state.is_there());
                some.into_iter().for_each(|to| self.ping(now, to, Purpose::Talk, out));
            }
        }
        written
    }

    /// For a part on top, to the same one at that member. It may be lost, or come twice.
    pub fn say(&mut self, now: f64, to: Id, kind: Kind, bytes: Vec<u8>, out: &mut Vec<Action>) {
        let speaks = self.part && !self.left && now >= self.silent;
        if speaks && bytes.len() <= FILL - WORDS * WORD_SIZE {
            self.send(to, What::Part { kind, bytes }, out);
        }
    }

    pub fn read(&self, now: f64, kind: Kind) -> impl Iterator<Item = Reading<'_>> {
        self.table.read(now, kind)
    }

    pub fn readings(&self, now: f64) -> impl Iterator<Item = Reading<'_>> {
        self.table.readings(now)
    }

    pub fn standing(&self, of: Id) -> Option<Standing> {
        self.peers.get(&of).and_then(|peer| peer.standing)
    }

    pub fn state(&self, of: Id) -> Option<State> {
        self.peers.get(&of).map(|peer| peer.state)
    }

    /// Whether this one takes part, of the processes of this node.
    pub fn take_part(&mut self, now: f64, part: bool) {
        if part && !self.part {
            self.due = now;
        }
        self.part = part;
    }

    /// Says that it goes, for good; nothing is said after.
    pub fn leave(&mut self, out: &mut Vec<Action>) {
        if self.left || !self.part {
            return;
        }
        let word = Word { of: self.me, incarnation: self.incarnation, claim: Claim::Left, by: self.me };
        let some = self.some_of(2 * self.plan.detector.relays.max(1), |_, peer| peer.state.is_there());
        for to in some {
            let number = self.next_number();
            self.post(to, vec![word], What::Ping { number }, out);
        }
        self.left = true;
    }

    pub fn sum(&self) -> u64 {
        self.table.sum()
    }

    pub fn figures(&self, now: f64) -> Figures {
        let names =
            self.plan.members.keys().filter_map(|name| Some((name.clone(), self.state(Id::of(name))?)));
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
            doubled: now < self.silent,
            counts: self.counts.clone(),
        }
    }
}

/// Bytes that a word takes at most.
const WORD_SIZE: usize = 22;
