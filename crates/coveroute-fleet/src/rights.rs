//! Limits that hold for the whole fleet: rights to use so much, minted at the limit's rate, moved from node to node, and
//! never made otherwise.
//!
//! Each member has a **mint**: an N-th of every limit's rate. It is held by lease: a majority of the voters must say so,
//! and who holds it counts from when it asked. The owner holds its own; a dead member's goes to a deputy, once the
//! voters' leases to it are surely over. A mint gives rights while it is held; they are used, or given to a member that
//! asks and has none left, or they **lapse**: after a stock's time with whoever minted them, and after one more with
//! who was given them, counted from its question. So a right is used within twice the stock's time of its minting, or
//! never: in any window of W seconds all nodes together use at most
//!
//! ```text
//! rate x (W + 2 x stock)
//! ```
//!
//! whoever is cut off, stands still, starts again, forgets, or is told twice or late. A strict limit of L in W mints at
//! L / (W + 2 x stock), and is never over; one whose rate matters more mints at L / W, and is over by 2 x stock / W at the
//! edge and never in the long run. Rights are moved and not made (escrow: O'Neil 1986; bounded counters: Balegas et al.
//! 2015; demarcation: Barbara, Garcia-Molina 1992), mints are leased (Gray, Cheriton 1989). What it rests on: steady
//! clocks within the drift, voters that keep silent for a lease after their start, and that a use follows its check at once.
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::member::{Id, Incarnation};

/// A limit's number: its name's, the same at every node.
pub type LimitId = u32;

pub fn limit_id(name: &str) -> LimitId {
    coveroute::chance::hash(name.as_bytes()) as LimitId
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub id: LimitId,
    /// So much may be used in a window, over all nodes.
    pub most: f64,
    /// In seconds.
    pub window: f64,
    /// Never more, or never more in the long run.
    pub strict: bool,
}

impl Limit {
    /// Seconds that a right is kept by whoever has it: a half, in which it is asked for several times; longer where the
    /// limit is so small that a whole use takes longer to gather.
    pub fn stock(&self) -> f64 {
        (GATHERED * self.window / self.most.max(1e-9)).max(STOCK)
    }

    /// Rights that are minted a second, by all together.
    pub fn rate(&self) -> f64 {
        let over = if self.strict { 2.0 * self.stock() } else { 0.0 };
        self.most / (self.window + over)
    }

    /// The most that all together use in any window.
    pub fn bound(&self) -> f64 {
        self.rate() * (self.window + 2.0 * self.stock())
    }
}

/// Seconds of rights that are kept: some answers' time, and little beside a window.
const STOCK: f64 = 0.5;
/// A stock holds at least so many uses of one.
const GATHERED: f64 = 2.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub limits: Vec<Limit>,
    /// Those who say who holds which mint; a majority must.
    pub voters: Vec<Id>,
    /// Seconds that a mint is held for, from the question on.
    pub lease: f64,
    /// Clocks may run fast or slow by this part.
    pub drift: f64,
}

impl Terms {
    /// By the own clock, when a span that another one counts from no later is over for sure.
    fn surely(&self, span: f64) -> f64 {
        span * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// So much of the own clock's time is no more than that span of true time.
    fn within(&self, span: f64) -> f64 {
        span * (1.0 - self.drift)
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub fn limit(&self, id: LimitId) -> Option<Limit> {
        self.limits.iter().find(|limit| limit.id == id).copied()
    }
}

/// What nodes say to each other of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Say {
    /// To a voter: these mints, for this process.
    Renew { number: u64, mints: Vec<Id> },
    /// Those of them that it has.
    Renewed { number: u64, mints: Vec<Id> },
    /// Rights that are wanted of the other.
    Ask { number: u64, wants: Vec<(LimitId, f32)> },
    /// Rights that it has no more.
    Given { number: u64, rights: Vec<(LimitId, f32)> },
}

/// A lease at a voter: whose process has it, and until when nobody else gets it, by the voter's clock.
#[derive(Clone, Copy, Debug)]
struct Granted {
    to: Id,
    mark: u64,
    until: f64,
}

/// A mint that voters have said is held here: by each until when, and since when it has given rights.
#[derive(Clone, Debug)]
struct Mint {
    votes: BTreeMap<Id, f64>,
    since: f64,
}

impl Mint {
    /// Until when a majority says so.
    fn until(&self, majority: usize) -> f64 {
        let mut until: Vec<f64> = self.votes.values().copied().collect();
        until.sort_by(|one, two| two.total_cmp(one));
        until.get(majority - 1).copied().unwrap_or(f64::NEG_INFINITY)
    }
}

/// Rights to one limit, and what was wanted of it.
#[derive(Clone, Debug)]
struct Purse {
    limit: Limit,
    /// Of the own mints.
    own: f64,
    minted: f64,
    /// Of others: when they lapse, and how many.
    given: VecDeque<(f64, f64)>,
    /// Wanted and had since `since`, and before, a second, with old times forgotten.
    wanted: f64,
    had: f64,
    since: f64,
    rate: f64,
    had_rate: f64,
    /// Since this process began.
    all_wanted: f64,
    all_had: f64,
}

impl Purse {
    fn new(now: f64, limit: Limit) -> Self {
        let (given, nil) = (VecDeque::new(), 0.0);
        let (wanted, had, rate, had_rate, all_wanted, all_had) = (nil, nil, nil, nil, nil, nil);
        let (own, minted, since) = (nil, now, now);
        Purse { limit, own, minted, given, wanted, had, since, rate, had_rate, all_wanted, all_had }
    }

    /// Adds what the mints have given since, while they were held, and lets lapse what is older than the stock.
    fn mint(&mut self, now: f64, held: &[(f64, f64)], rate: f64, stock: f64) {
        let over = |from: f64| -> f64 {
            held.iter().map(|(since, until)| (until.min(now) - since.max(from)).max(0.0)).sum()
        };
        let new = rate * over(self.minted);
        self.own = (self.own + new).min(rate * over(now - stock));
        self.minted = now;
    }

    fn has(&mut self, now: f64) -> f64 {
        self.given(now) + self.own
    }

    fn given(&mut self, now: f64) -> f64 {
        self.given.retain(|(lapses, many)| now < *lapses && *many > 0.0);
        self.given.iter().map(|(_, many)| many).sum()
    }
}

#[derive(Clone, Debug)]
pub struct Rights {
    terms: Terms,
    me: Id,
    mark: u64,
    members: Vec<Id>,
    born: f64,
    granted: BTreeMap<Id, Granted>,
    mints: BTreeMap<Id, Mint>,
    /// Questions that are out: when they were asked, of whom, and for which mints.
    asked: BTreeMap<u64, (f64, Id, Vec<Id>)>,
    number: u64,
    /// Who has asked of late.
    askers: BTreeMap<Id, f64>,
    purses: BTreeMap<LimitId, Purse>,
    renews: f64,
    asks: f64,
    turn: usize,
}

/// A message to another member.
pub type Post = (Id, Vec<u8>);

/// Mints are renewed so many times in a lease: two losses in a row cost nothing.
const RENEWALS: f64 = 4.0;
/// Rights are asked for so many times in the shortest stock's time.
const ASKS: f64 = 5.0;
/// Others who are asked at a time, by turns.
const ASKED: usize = 16;
/// Limits, or mints, that one message speaks of: ten bytes each.
const WANTS: usize = 80;
/// Rights of less are none.
const LEAST: f64 = 1e-6;
/// Seconds in which half of what was wanted before is forgotten.
const MEMORY: f64 = 0.5;
/// What is asked for, of what is lacking: some have none to give.
const ASKED_OVER: f64 = 2.0;

impl Rights {
    pub fn new(now: f64, me: Id, incarnation: Incarnation, members: Vec<Id>, terms: Terms) -> Self {
        let purse = |limit: &Limit| (limit.id, Purse::new(now, *limit));
        Rights {
            me,
            mark: incarnation.mark(),
            members,
            born: now,
            granted: BTreeMap::new(),
            mints: BTreeMap::new(),
            asked: BTreeMap::new(),
            number: incarnation.mark() << 32,
            askers: BTreeMap::new(),
            purses: terms.limits.iter().map(purse).collect(),
            renews: now,
            asks: now,
            turn: 0,
            terms,
        }
    }

    // What the parts on top need.

    /// Wants so much of a limit now: whether it may be used, and then it is.
    pub fn take(&mut self, now: f64, id: LimitId, amount: f64) -> bool {
        let Some(purse) = self.mint(now, id) else { return false };
        (purse.wanted, purse.all_wanted) = (purse.wanted + amount, purse.all_wanted + amount);
        if purse.has(now) < amount {
            return false;
        }
        // What lapses soonest goes first.
        let mut left = amount;
        for (_, many) in &mut purse.given {
            let used = many.min(left);
            (*many, left) = (*many - used, left - used);
        }
        purse.own = (purse.own - left).max(0.0);
        (purse.had, purse.all_had) = (purse.had + amount, purse.all_had + amount);
        true
    }

    /// So much a second is within the limit here: what was had of late, and what could be. None while there is no mint
    /// and nothing was given: nobody here knows.
    pub fn covered(&mut self, now: f64, id: LimitId) -> Option<f64> {
        let holds = self.holds(now);
        let purse = self.mint(now, id)?;
        let has = purse.has(now);
        (holds > 0 || has > 0.0).then_some(purse.had_rate + has / purse.limit.stock())
    }

    /// Wanted and had since the start.
    pub fn totals(&self, id: LimitId) -> (f64, f64) {
        self.purses.get(&id).map_or((0.0, 0.0), |purse| (purse.all_wanted, purse.all_had))
    }

    /// Rights that are here now.
    pub fn has(&mut self, now: f64, id: LimitId) -> f64 {
        self.mint(now, id).map_or(0.0, |purse| purse.has(now))
    }

    /// Mints that are held here now.
    pub fn holds(&self, now: f64) -> usize {
        let majority = self.terms.majority();
        self.mints.values().filter(|mint| mint.until(majority) > now).count()
    }

    pub fn mark(&self) -> u64 {
        self.mark
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Since when the mints here give rights, and until when they are held.
    fn held(&self) -> Vec<(f64, f64)> {
        let majority = self.terms.majority();
        self.mints.values().map(|mint| (mint.since, mint.until(majority))).collect()
    }

    /// That limit's purse, with what has been minted until now: a use looks at no other.
    fn mint(&mut self, now: f64, id: LimitId) -> Option<&mut Purse> {
        let (held, members) = (self.held(), self.members.len());
        let purse = self.purses.get_mut(&id)?;
        // By a clock that may run fast.
        let rate = part(&purse.limit, members) / (1.0 + self.terms.drift);
        purse.mint(now, &held, rate, self.terms.within(purse.limit.stock()));
        Some(purse)
    }

    fn mint_all(&mut self, now: f64) {
        for limit in self.terms.limits.clone() {
            self.mint(now, limit.id);
        }
    }

    /// How much is wanted a second, with old times forgotten.
    fn reckon(&mut self, now: f64) {
        for purse in self.purses.values_mut() {
            let span = now - purse.since;
            if span > 0.0 {
                let old = 0.5_f64.powf(span / MEMORY);
                purse.rate = old * purse.rate + (1.0 - old) * purse.wanted / span;
                purse.had_rate = old * purse.had_rate + (1.0 - old) * purse.had / span;
                (purse.wanted, purse.had, purse.since) = (0.0, 0.0, now);
            }
        }
    }

    // Time.

    /// `is_gone`: whether a member is held to be dead, or has left.
    pub fn advance(&mut self, now: f64, is_gone: impl Fn(Id) -> bool, out: &mut Vec<Post>) {
        if now >= self.renews {
            self.renews = now + self.terms.lease / RENEWALS;
            self.renew(now, &is_gone, out);
        }
        if now >= self.asks {
            let stock = self.terms.limits.iter().map(Limit::stock).fold(f64::INFINITY, f64::min);
            self.asks = now + stock.min(self.terms.lease) / ASKS;
            self.mint_all(now);
            self.reckon(now);
            self.ask(now, &is_gone, out);
            self.forget(now);
        }
    }

    fn forget(&mut self, now: f64) {
        let stock = self.terms.limits.iter().map(Limit::stock).fold(self.terms.lease, f64::max);
        self.asked.retain(|_, (at, ..)| now - *at < stock);
        self.askers.retain(|_, at| now - *at < STOCK);
        self.granted.retain(|_, granted| now < granted.until);
        let majority = self.terms.majority();
        self.mints
            .retain(|_, mint| now - stock < mint.until(majority) || mint.votes.values().any(|u| now < *u));
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// The own mint, and those of the gone that fall to this node: to the next one there after each, in a ring.
    fn renew(&mut self, now: f64, is_gone: &impl Fn(Id) -> bool, out: &mut Vec<Post>) {
        let deputy = |mint: usize| {
            let ring = self.members[mint + 1..].iter().chain(&self.members[..mint]);
            ring.copied().find(|other| *other == self.me || !is_gone(*other))
        };
        let falls = |at: &usize| {
            let mint = self.members[*at];
            mint == self.me || is_gone(mint) && deputy(*at) == Some(self.me)
        };
        let mints: Vec<Id> =
            (0..self.members.len()).filter(falls).map(|at| self.members[at]).take(WANTS).collect();
        for voter in self.terms.voters.clone() {
            if voter == self.me {
                let granted = self.vote(now, self.me, self.mark, &mints);
                self.count_votes(now, now, voter, granted);
                continue;
            }
            let number = self.next_number();
            self.asked.insert(number, (now, voter, mints.clone()));
            out.push((voter, bytes(&Say::Renew { number, mints: mints.clone() })));
        }
    }

    /// As a voter: which of these mints that process gets. One that has just begun knows nothing of what it granted before.
    fn vote(&mut self, now: f64, to: Id, mark: u64, mints: &[Id]) -> Vec<Id> {
        let held = self.terms.surely(self.terms.lease);
        if now - self.born < held {
            return Vec::new();
        }
        let mut granted = Vec::new();
        for mint in mints.iter().copied().filter(|mint| self.members.contains(mint)) {
            let other = self.granted.get(&mint).filter(|other| now < other.until);
            if other.is_none_or(|other| (other.to, other.mark) == (to, mark)) {
                self.granted.insert(mint, Granted { to, mark, until: now + held });
                granted.push(mint);
            }
        }
        granted
    }

    fn count_votes(&mut self, now: f64, asked: f64, voter: Id, mints: Vec<Id>) {
        self.mint_all(now); // By what was held until now.
        let majority = self.terms.majority();
        for id in mints {
            let mint = self.mints.entry(id).or_insert(Mint { votes: BTreeMap::new(), since: now });
            let before = mint.until(majority);
            let until = mint.votes.entry(voter).or_insert(f64::NEG_INFINITY);
            *until = until.max(asked + self.terms.lease);
            // Held anew, it gives from now on; what it gave before is the one before's.
            if before <= now {
                mint.since = now;
            }
        }
    }

    /// Of others what is wanted beyond what the own mints give: by turns.
    fn ask(&mut self, now: f64, is_gone: &impl Fn(Id) -> bool, out: &mut Vec<Post>) {
        let mut short: Vec<(LimitId, f64)> = Vec::new();
        let (held, members) = (self.holds(now) as f64, self.members.len());
        for (id, purse) in &mut self.purses {
            let (limit, mints) = (purse.limit, held * part(&purse.limit, members));
            // What the time until rights lapse will want, with one use in hand.
            let (span, one) = (limit.stock(), if purse.rate > LEAST { 1.0 } else { 0.0 });
            let lacks = (purse.rate - mints) * span + one - purse.has(now);
            if lacks > LEAST {
                short.push((*id, lacks.min(limit.rate() * span)));
            }
        }
        let there: Vec<Id> = self.members.iter().copied().filter(|m| *m != self.me && !is_gone(*m)).collect();
        if there.is_empty() || short.is_empty() {
            return;
        }
        let whom: Vec<Id> =
            (0..there.len().min(ASKED)).map(|at| there[(self.turn + at) % there.len()]).collect();
        self.turn = (self.turn + whom.len()) % there.len();
        let share = (ASKED_OVER / whom.len() as f64).min(1.0);
        // In one message; the rest by turns.
        let many = short.len();
        short.rotate_left(self.turn % many);
        short.truncate(WANTS);
        let wants: Vec<(LimitId, f32)> =
            short.iter().map(|(id, lacks)| (*id, (lacks * share) as f32)).collect();
        for other in whom {
            let number = self.next_number();
            self.asked.insert(number, (now, other, Vec::new()));
            out.push((other, bytes(&Say::Ask { number, wants: wants.clone() })));
        }
    }

    // Messages.

    /// `mark`: of the process that says it. What is odd is passed over.
    pub fn heard(&mut self, now: f64, from: Id, mark: u64, said: &[u8], out: &mut Vec<Post>) {
        let Ok((say, [])) = postcard::take_from_bytes::<Say>(said) else { return };
        match say {
            Say::Renew { number, mints } => {
                let votes = self.terms.voters.contains(&self.me);
                let mints = if votes { self.vote(now, from, mark, &mints) } else { Vec::new() };
                out.push((from, bytes(&Say::Renewed { number, mints })));
            }
            Say::Renewed { number, mints } => {
                let asked = self.asked.remove(&number).filter(|(_, voter, _)| *voter == from);
                let Some((at, voter, wanted)) = asked else { return };
                let mints = mints.into_iter().filter(|mint| wanted.contains(mint)).collect();
                self.count_votes(now, at, voter, mints);
            }
            Say::Ask { number, wants } => {
                self.askers.insert(from, now);
                let rights: Vec<(LimitId, f32)> =
                    wants.into_iter().filter_map(|(id, wanted)| self.give(now, id, wanted)).collect();
                if !rights.is_empty() {
                    out.push((from, bytes(&Say::Given { number, rights })));
                }
            }
            Say::Given { number, rights } => {
                let asked = self.asked.remove(&number).filter(|(_, other, _)| *other == from);
                let Some((at, ..)) = asked else { return };
                for (id, many) in rights {
                    let Some(purse) = self.purses.get_mut(&id) else { continue };
                    let lapses = at + self.terms.within(purse.limit.stock());
                    let many = f64::from(many);
                    if many.is_finite() && many > 0.0 && now < lapses {
                        purse.given.push_back((lapses, many));
                    }
                }
            }
        }
    }

    /// Rights that another one gets, first taken from here: of the own what is not wanted here while it lasts, and never
    /// what was given, whose time has begun.
    fn give(&mut self, now: f64, id: LimitId, wanted: f32) -> Option<(LimitId, f32)> {
        let (askers, held) = (self.askers.len().max(1) as f64, self.holds(now) as f64);
        let members = self.members.len();
        let purse = self.mint(now, id)?;
        let (limit, mints) = (purse.limit, held * part(&purse.limit, members));
        // The own wants come from the mint first, as it gives on; the stock covers what they are more.
        let keeps =
            if purse.rate > LEAST { ((purse.rate - mints) * limit.stock()).max(0.0) + 1.0 } else { 0.0 };
        let spare = purse.own - keeps.min(purse.own);
        let given = f64::from(wanted).min(spare / askers).max(0.0) * (1.0 - 1e-6);
        if given <= LEAST {
            return None;
        }
        let told = given as f32;
        purse.own = (purse.own - given.max(f64::from(told))).max(0.0);
        Some((id, told))
    }

    /// Members and limits may change with the operators' file. Who changes begins anew, with nothing, and keeps silent as a
    /// voter for a lease.
    pub fn reread(&mut self, now: f64, members: Vec<Id>, terms: Terms) {
        if self.members != members || self.terms != terms {
            let number = self.number;
            *self = Rights::new(now, self.me, Incarnation(self.mark), members, terms);
            // Its own mint was held, and may be again when that is over for sure.
            self.renews = now + self.terms.surely(self.terms.lease);
            self.number = number;
        }
    }
}

/// An N-th of a limit's rate: what one mint gives.
fn part(limit: &Limit, members: usize) -> f64 {
    limit.rate() / members.max(1) as f64
}

fn bytes(say: &Say) -> Vec<u8> {
    // Can't fail: nothing in it has a length that is not known.
    postcard::to_stdvec(say).unwrap_or_default()
}
