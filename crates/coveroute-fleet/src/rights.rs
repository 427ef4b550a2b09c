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
        (MIN_STOCK_USES * self.window / self.most.max(1e-9)).max(MIN_STOCK_SECONDS)
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
const MIN_STOCK_SECONDS: f64 = 0.5;
/// A stock holds at least so many uses of one.
const MIN_STOCK_USES: f64 = 2.0;

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
    fn local_upper_bound(&self, span: f64) -> f64 {
        span * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// So much of the own clock's time is no more than that span of true time.
    fn local_lower_bound(&self, span: f64) -> f64 {
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
enum Message {
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
struct Grant {
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
struct Account {
    limit: Limit,
    /// Of the own mints.
    own_balance: f64,
    last_mint: f64,
    /// Of others: when they lapse, and how many.
    received: VecDeque<(f64, f64)>,
    /// Wanted and had since `since`, and before, a second, with old times forgotten.
    wanted: f64,
    had: f64,
    since: f64,
    wanted_rate: f64,
    had_rate: f64,
    /// Since this process began.
    all_wanted: f64,
    all_had: f64,
}

impl Account {
    fn new(now: f64, limit: Limit) -> Self {
        let (received, zero) = (VecDeque::new(), 0.0);
        let (wanted, had, wanted_rate, had_rate, all_wanted, all_had) = (zero, zero, zero, zero, zero, zero);
        let (own_balance, last_mint, since) = (zero, now, now);
        Account {
            limit,
            own_balance,
            last_mint,
            received,
            wanted,
            had,
            since,
            wanted_rate,
            had_rate,
            all_wanted,
            all_had,
        }
    }

    /// Adds what the mints have given since, while they were held, and lets lapse what is older than the stock.
    fn accrue(&mut self, now: f64, held: &[(f64, f64)], rate: f64, stock: f64) {
        let held_time = |from: f64| -> f64 {
            held.iter().map(|(since, until)| (until.min(now) - since.max(from)).max(0.0)).sum()
        };
        let minted = rate * held_time(self.last_mint);
        self.own_balance = (self.own_balance + minted).min(rate * held_time(now - stock));
        self.last_mint = now;
    }

    fn balance(&mut self, now: f64) -> f64 {
        self.received_balance(now) + self.own_balance
    }

    fn received_balance(&mut self, now: f64) -> f64 {
        self.received.retain(|(lapses, amount)| now < *lapses && *amount > 0.0);
        self.received.iter().map(|(_, amount)| amount).sum()
    }
}

#[derive(Clone, Debug)]
pub struct Rights {
    terms: Terms,
    me: Id,
    mark: u64,
    members: Vec<Id>,
    started: f64,
    grants: BTreeMap<Id, Grant>,
    mints: BTreeMap<Id, Mint>,
    /// Questions that are out: when they were asked, of whom, and for which mints.
    pending: BTreeMap<u64, (f64, Id, Vec<Id>)>,
    last_number: u64,
    /// Who has asked of late.
    recent_askers: BTreeMap<Id, f64>,
    accounts: BTreeMap<LimitId, Account>,
    next_renewal: f64,
    next_request: f64,
    next_peer: usize,
}

/// A message to another member.
pub type Post = (Id, Vec<u8>);

/// Mints are renewed so many times in a lease: two losses in a row cost nothing.
const RENEWALS_PER_LEASE: f64 = 4.0;
/// Rights are asked for so many times in the shortest stock's time.
const REQUESTS_PER_STOCK: f64 = 5.0;
/// Others who are asked at a time, by turns.
const MAX_PEERS_ASKED: usize = 16;
/// Limits, or mints, that one message speaks of: ten bytes each.
const MAX_ENTRIES: usize = 80;
/// Rights of less are none.
const MIN_RIGHTS: f64 = 1e-6;
/// Seconds in which half of what was wanted before is forgotten.
const RATE_HALF_LIFE: f64 = 0.5;
/// What is asked for, of what is lacking: some have none to give.
const OVER_REQUEST: f64 = 2.0;

impl Rights {
    pub fn new(now: f64, me: Id, incarnation: Incarnation, members: Vec<Id>, terms: Terms) -> Self {
        let account = |limit: &Limit| (limit.id, Account::new(now, *limit));
        Rights {
            me,
            mark: incarnation.mark(),
            members,
            started: now,
            grants: BTreeMap::new(),
            mints: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_number: incarnation.mark() << 32,
            recent_askers: BTreeMap::new(),
            accounts: terms.limits.iter().map(account).collect(),
            next_renewal: now,
            next_request: now,
            next_peer: 0,
            terms,
        }
    }

    // What the parts on top need.

    /// Wants so much of a limit now: whether it may be used, and then it is.
    pub fn take(&mut self, now: f64, id: LimitId, amount: f64) -> bool {
        let Some(account) = self.refresh(now, id) else { return false };
        (account.wanted, account.all_wanted) = (account.wanted + amount, account.all_wanted + amount);
        if account.balance(now) < amount {
            return false;
        }
        // What lapses soonest goes first.
        let mut left = amount;
        for (_, amount) in &mut account.received {
            let used = amount.min(left);
            (*amount, left) = (*amount - used, left - used);
        }
        account.own_balance = (account.own_balance - left).max(0.0);
        (account.had, account.all_had) = (account.had + amount, account.all_had + amount);
        true
    }

    /// So much a second is within the limit here: what was had of late, and what could be. None while there is no mint
    /// and nothing was given: nobody here knows.
    pub fn covered(&mut self, now: f64, id: LimitId) -> Option<f64> {
        let holds = self.holds(now);
        let account = self.refresh(now, id)?;
        let has = account.balance(now);
        (holds > 0 || has > 0.0).then_some(account.had_rate + has / account.limit.stock())
    }

    /// Wanted and had since the start.
    pub fn totals(&self, id: LimitId) -> (f64, f64) {
        self.accounts.get(&id).map_or((0.0, 0.0), |account| (account.all_wanted, account.all_had))
    }

    /// Rights that are here now.
    pub fn has(&mut self, now: f64, id: LimitId) -> f64 {
        self.refresh(now, id).map_or(0.0, |account| account.balance(now))
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
    fn refresh(&mut self, now: f64, id: LimitId) -> Option<&mut Account> {
        let (held, members) = (self.held(), self.members.len());
        let account = self.accounts.get_mut(&id)?;
        // By a clock that may run fast.
        let rate = mint_rate(&account.limit, members) / (1.0 + self.terms.drift);
        account.accrue(now, &held, rate, self.terms.local_lower_bound(account.limit.stock()));
        Some(account)
    }

    fn refresh_all(&mut self, now: f64) {
        for limit in self.terms.limits.clone() {
            self.refresh(now, limit.id);
        }
    }

    /// How much is wanted a second, with old times forgotten.
    fn update_rates(&mut self, now: f64) {
        for account in self.accounts.values_mut() {
            let span = now - account.since;
            if span > 0.0 {
                let old = 0.5_f64.powf(span / RATE_HALF_LIFE);
                account.wanted_rate = old * account.wanted_rate + (1.0 - old) * account.wanted / span;
                account.had_rate = old * account.had_rate + (1.0 - old) * account.had / span;
                (account.wanted, account.had, account.since) = (0.0, 0.0, now);
            }
        }
    }

    // Time.

    /// `is_gone`: whether a member is held to be dead, or has left.
    pub fn advance(&mut self, now: f64, is_gone: impl Fn(Id) -> bool, out: &mut Vec<Post>) {
        if now >= self.next_renewal {
            self.next_renewal = now + self.terms.lease / RENEWALS_PER_LEASE;
            self.renew_leases(now, &is_gone, out);
        }
        if now >= self.next_request {
            let stock = self.terms.limits.iter().map(Limit::stock).fold(f64::INFINITY, f64::min);
            self.next_request = now + stock.min(self.terms.lease) / REQUESTS_PER_STOCK;
            self.refresh_all(now);
            self.update_rates(now);
            self.request_rights(now, &is_gone, out);
            self.drop_expired(now);
        }
    }

    fn drop_expired(&mut self, now: f64) {
        let stock = self.terms.limits.iter().map(Limit::stock).fold(self.terms.lease, f64::max);
        self.pending.retain(|_, (at, ..)| now - *at < stock);
        self.recent_askers.retain(|_, at| now - *at < MIN_STOCK_SECONDS);
        self.grants.retain(|_, granted| now < granted.until);
        let majority = self.terms.majority();
        self.mints
            .retain(|_, mint| now - stock < mint.until(majority) || mint.votes.values().any(|u| now < *u));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The own mint, and those of the gone that fall to this node: to the next one there after each, in a ring.
    fn renew_leases(&mut self, now: f64, is_gone: &impl Fn(Id) -> bool, out: &mut Vec<Post>) {
        let deputy = |mint: usize| {
            let ring = self.members[mint + 1..].iter().chain(&self.members[..mint]);
            ring.copied().find(|other| *other == self.me || !is_gone(*other))
        };
        let is_held_here = |at: &usize| {
            let mint = self.members[*at];
            mint == self.me || is_gone(mint) && deputy(*at) == Some(self.me)
        };
        let mints: Vec<Id> = (0..self.members.len())
            .filter(is_held_here)
            .map(|at| self.members[at])
            .take(MAX_ENTRIES)
            .collect();
        for voter in self.terms.voters.clone() {
            if voter == self.me {
                let granted = self.grant_leases(now, self.me, self.mark, &mints);
                self.record_votes(now, now, voter, granted);
                continue;
            }
            let number = self.next_number();
            self.pending.insert(number, (now, voter, mints.clone()));
            out.push((voter, encode(&Message::Renew { number, mints: mints.clone() })));
        }
    }

    /// As a voter: which of these mints that process gets. One that has just begun knows nothing of what it granted before.
    fn grant_leases(&mut self, now: f64, to: Id, mark: u64, mints: &[Id]) -> Vec<Id> {
        let held = self.terms.local_upper_bound(self.terms.lease);
        if now - self.started < held {
            return Vec::new();
        }
        let mut granted = Vec::new();
        for mint in mints.iter().copied().filter(|mint| self.members.contains(mint)) {
            let other = self.grants.get(&mint).filter(|other| now < other.until);
            if other.is_none_or(|other| (other.to, other.mark) == (to, mark)) {
                self.grants.insert(mint, Grant { to, mark, until: now + held });
                granted.push(mint);
            }
        }
        granted
    }

    fn record_votes(&mut self, now: f64, asked: f64, voter: Id, mints: Vec<Id>) {
        self.refresh_all(now); // By what was held until now.
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
    fn request_rights(&mut self, now: f64, is_gone: &impl Fn(Id) -> bool, out: &mut Vec<Post>) {
        let mut deficits: Vec<(LimitId, f64)> = Vec::new();
        let (held, members) = (self.holds(now) as f64, self.members.len());
        for (id, account) in &mut self.accounts {
            let (limit, mints) = (account.limit, held * mint_rate(&account.limit, members));
            // What the time until rights lapse will want, with one use in hand.
            let (span, spare_use) = (limit.stock(), if account.wanted_rate > MIN_RIGHTS { 1.0 } else { 0.0 });
            let deficit = (account.wanted_rate - mints) * span + spare_use - account.balance(now);
            if deficit > MIN_RIGHTS {
                deficits.push((*id, deficit.min(limit.rate() * span)));
            }
        }
        let present: Vec<Id> =
            self.members.iter().copied().filter(|m| *m != self.me && !is_gone(*m)).collect();
        if present.is_empty() || deficits.is_empty() {
            return;
        }
        let targets: Vec<Id> = (0..present.len().min(MAX_PEERS_ASKED))
            .map(|at| present[(self.next_peer + at) % present.len()])
            .collect();
        self.next_peer = (self.next_peer + targets.len()) % present.len();
        let share = (OVER_REQUEST / targets.len() as f64).min(1.0);
        // In one message; the rest by turns.
        let count = deficits.len();
        deficits.rotate_left(self.next_peer % count);
        deficits.truncate(MAX_ENTRIES);
        let wants: Vec<(LimitId, f32)> =
            deficits.iter().map(|(id, deficit)| (*id, (deficit * share) as f32)).collect();
        for other in targets {
            let number = self.next_number();
            self.pending.insert(number, (now, other, Vec::new()));
            out.push((other, encode(&Message::Ask { number, wants: wants.clone() })));
        }
    }

    // Messages.

    /// `mark`: of the process that says it. What is odd is passed over.
    pub fn heard(&mut self, now: f64, from: Id, mark: u64, bytes: &[u8], out: &mut Vec<Post>) {
        let Ok((message, [])) = postcard::take_from_bytes::<Message>(bytes) else { return };
        match message {
            Message::Renew { number, mints } => {
                let is_voter = self.terms.voters.contains(&self.me);
                let mints = if is_voter { self.grant_leases(now, from, mark, &mints) } else { Vec::new() };
                out.push((from, encode(&Message::Renewed { number, mints })));
            }
            Message::Renewed { number, mints } => {
                let asked = self.pending.remove(&number).filter(|(_, voter, _)| *voter == from);
                let Some((at, voter, wanted)) = asked else { return };
                let mints = mints.into_iter().filter(|mint| wanted.contains(mint)).collect();
                self.record_votes(now, at, voter, mints);
            }
            Message::Ask { number, wants } => {
                self.recent_askers.insert(from, now);
                let rights: Vec<(LimitId, f32)> =
                    wants.into_iter().filter_map(|(id, wanted)| self.give_rights(now, id, wanted)).collect();
                if !rights.is_empty() {
                    out.push((from, encode(&Message::Given { number, rights })));
                }
            }
            Message::Given { number, rights } => {
                let asked = self.pending.remove(&number).filter(|(_, other, _)| *other == from);
                let Some((at, ..)) = asked else { return };
                for (id, amount) in rights {
                    let Some(account) = self.accounts.get_mut(&id) else { continue };
                    let lapses = at + self.terms.local_lower_bound(account.limit.stock());
                    let amount = f64::from(amount);
                    if amount.is_finite() && amount > 0.0 && now < lapses {
                        account.received.push_back((lapses, amount));
                    }
                }
            }
        }
    }

    /// Rights that another one gets, first taken from here: of the own what is not wanted here while it lasts, and never
    /// what was given, whose time has begun.
    fn give_rights(&mut self, now: f64, id: LimitId, wanted: f32) -> Option<(LimitId, f32)> {
        let (askers, held) = (self.recent_askers.len().max(1) as f64, self.holds(now) as f64);
        let members = self.members.len();
        let account = self.refresh(now, id)?;
        let (limit, mints) = (account.limit, held * mint_rate(&account.limit, members));
        // The own wants come from the mint first, as it gives on; the stock covers what they are more.
        let reserved = if account.wanted_rate > MIN_RIGHTS {
            ((account.wanted_rate - mints) * limit.stock()).max(0.0) + 1.0
        } else {
            0.0
        };
        let spare = account.own_balance - reserved.min(account.own_balance);
        let given = f64::from(wanted).min(spare / askers).max(0.0) * (1.0 - 1e-6);
        if given <= MIN_RIGHTS {
            return None;
        }
        let sent_amount = given as f32;
        account.own_balance = (account.own_balance - given.max(f64::from(sent_amount))).max(0.0);
        Some((id, sent_amount))
    }

    /// Members and limits may change with the operators' file. Who changes begins anew, with nothing, and keeps silent as a
    /// voter for a lease.
    pub fn reread(&mut self, now: f64, members: Vec<Id>, terms: Terms) {
        if self.members != members || self.terms != terms {
            let number = self.last_number;
            *self = Rights::new(now, self.me, Incarnation(self.mark), members, terms);
            // Its own mint was held, and may be again when that is over for sure.
            self.next_renewal = now + self.terms.local_upper_bound(self.terms.lease);
            self.last_number = number;
        }
    }
}

/// An N-th of a limit's rate: what one mint gives.
fn mint_rate(limit: &Limit, members: usize) -> f64 {
    limit.rate() / members.max(1) as f64
}

fn encode(message: &Message) -> Vec<u8> {
    // Can't fail: nothing in it has a length that is not known.
    postcard::to_stdvec(message).unwrap_or_default()
}
