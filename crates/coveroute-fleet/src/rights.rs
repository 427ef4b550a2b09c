//! Fleet-wide limits: rights to a share of a limit are created at the limit's rate, transferred between nodes, and
//! never created in any other way.
//!
//! Each member has a **mint**, worth 1/N of every limit's rate, which is held under a lease. A majority of the
//! voters must grant it, and the holder counts the lease from the time of its request. A member holds its own mint;
//! a dead member's goes to a deputy, after the voters' leases to the old holder have certainly expired. A mint
//! yields rights while it is held. They are used, or given to a member that asks and has none left, or they
//! **lapse**: one stock time after they were minted if still with the mint's holder, and one stock time after the
//! receiver's request if they were given away. So a right is used within two stock times of its minting or never,
//! and in any window of W seconds all nodes together use at most
//!
//! ```text
//! rate x (W + 2 x stock)
//! ```
//!
//! no matter which nodes are partitioned, stall, restart, lose their state, or receive messages twice or late. A strict
//! limit of L in W mints at L / (W + 2 x stock) and is never exceeded; a limit whose rate matters more mints at L /
//! W and can be exceeded by 2 x stock / W over one window, but not in the long run. Rights are transferred rather
//! than created (escrow: O'Neil 1986; bounded counters: Balegas et al. 2015; demarcation: Barbara, Garcia-Molina
//! 1992), and mints are leased (Gray, Cheriton 1989). Assumptions: monotonic clocks within the drift, voters that
//! grant nothing for one lease after their start, and that a use follows its check immediately.
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::member::{Id, Incarnation};

/// A limit's number: a hash of its name, the same at every node.
pub type LimitId = u32;

pub fn limit_id(name: &str) -> LimitId {
    coveroute::random::hash(name.as_bytes()) as LimitId
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub id: LimitId,
    /// Amount that may be used in a window, by all nodes together.
    pub most: f64,
    /// Length of the window in seconds.
    pub window: f64,
    /// True: the limit holds in every window. False: it holds in the long run.
    pub strict: bool,
}

impl Limit {
    /// Seconds until an unused right lapses: half a second, in which it is asked for several times, or longer for a
    /// limit so small that the rights for a single use take longer to accumulate.
    pub fn stock(&self) -> f64 {
        (MIN_STOCK_USES * self.window / self.most.max(1e-9)).max(MIN_STOCK_SECONDS)
    }

    /// Rights minted per second by all members together.
    pub fn rate(&self) -> f64 {
        let over = if self.strict { 2.0 * self.stock() } else { 0.0 };
        self.most / (self.window + over)
    }

    /// The most that all nodes together use in any window.
    pub fn bound(&self) -> f64 {
        self.rate() * (self.window + 2.0 * self.stock())
    }
}

/// Shortest stock time in seconds: a few round trips, and short compared with a window.
const MIN_STOCK_SECONDS: f64 = 0.5;
/// A stock holds at least enough rights for this many uses of size one.
const MIN_STOCK_USES: f64 = 2.0;

#[derive(Clone, Debug, PartialEq)]
pub struct LimitTerms {
    pub limits: Vec<Limit>,
    /// Members that grant the mints' leases; a majority is needed.
    pub voters: Vec<Id>,
    /// Length of a lease in seconds, counted from the request.
    pub lease: f64,
    /// Maximum clock drift, as a fraction of true time, in either direction.
    pub drift: f64,
}

impl LimitTerms {
    /// Time by the local clock after which a span that another node has started to count no later is certainly over
    /// there.
    fn local_upper_bound(&self, span: f64) -> f64 {
        span * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// Time by the local clock that is no longer than `span` of true time.
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

/// Messages between the nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    /// Asks a voter to grant these mints to the sender's process.
    Renew { number: u64, mints: Vec<Id> },
    /// Those of the requested mints that the voter granted.
    Renewed { number: u64, mints: Vec<Id> },
    /// Asks another member for rights.
    Ask { number: u64, wants: Vec<(LimitId, f32)> },
    /// Rights that the sender has given up in favour of the receiver.
    Given { number: u64, rights: Vec<(LimitId, f32)> },
}

/// A lease as recorded by a voter: the process that holds the mint, and until when no other can get it, by the
/// voter's clock.
#[derive(Clone, Copy, Debug)]
struct Grant {
    to: Id,
    mark: u64,
    until: f64,
}

/// A mint held by this node: until when each voter has granted it, and since when it yields rights.
#[derive(Clone, Debug)]
struct Mint {
    votes: BTreeMap<Id, f64>,
    since: f64,
}

impl Mint {
    /// Until when a majority of the voters grants it.
    fn until(&self, majority: usize) -> f64 {
        let mut until: Vec<f64> = self.votes.values().copied().collect();
        until.sort_by(|one, two| two.total_cmp(one));
        until.get(majority - 1).copied().unwrap_or(f64::NEG_INFINITY)
    }
}

/// The rights of this node to one limit, and its demand.
#[derive(Clone, Debug)]
struct Account {
    limit: Limit,
    /// Rights from the mints held here, and when they were last added up.
    own_balance: f64,
    last_mint: f64,
    /// Rights received from other members: when they lapse, and how many.
    received: VecDeque<(f64, f64)>,
    /// Amounts wanted and had since `since`, and exponentially decaying averages of both per second.
    wanted: f64,
    had: f64,
    since: f64,
    wanted_rate: f64,
    had_rate: f64,
    /// Totals since the start of this process.
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

    /// Adds the rights yielded by the mints while they were held, and drops those older than the stock time.
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
    terms: LimitTerms,
    me: Id,
    mark: u64,
    members: Vec<Id>,
    started: f64,
    grants: BTreeMap<Id, Grant>,
    mints: BTreeMap<Id, Mint>,
    /// Pending requests: when they were sent, to whom, and for which mints.
    pending: BTreeMap<u64, (f64, Id, Vec<Id>)>,
    last_number: u64,
    /// Members that asked for rights recently, and when.
    recent_askers: BTreeMap<Id, f64>,
    accounts: BTreeMap<LimitId, Account>,
    next_renewal: f64,
    next_request: f64,
    next_peer: usize,
}

/// A message and its receiver.
pub type OutgoingMessage = (Id, Vec<u8>);

/// Renewals per lease: two consecutive losses are harmless.
const RENEWALS_PER_LEASE: f64 = 4.0;
/// Requests for rights per shortest stock time.
const REQUESTS_PER_STOCK: f64 = 5.0;
/// Upper limit on members asked at a time; all are asked in rotation.
const MAX_PEERS_ASKED: usize = 16;
/// Upper limit on limits or mints in a message: ten bytes each.
const MAX_ENTRIES: usize = 80;
/// Amounts of rights below this count as zero.
const MIN_RIGHTS: f64 = 1e-6;
/// Half-life, in seconds, of the averages of demand.
const RATE_HALF_LIFE: f64 = 0.5;
/// Rights requested in relation to the deficit, as some of the members asked have none to give.
const OVER_REQUEST: f64 = 2.0;

impl Rights {
    pub fn new(now: f64, me: Id, incarnation: Incarnation, members: Vec<Id>, terms: LimitTerms) -> Self {
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

    // Interface for the components built on the fleet.

    /// Takes `amount` of a limit's rights for use now. Returns false, and takes nothing, if there are not enough.
    pub fn take(&mut self, now: f64, id: LimitId, amount: f64) -> bool {
        let Some(account) = self.refresh(now, id) else { return false };
        (account.wanted, account.all_wanted) = (account.wanted + amount, account.all_wanted + amount);
        if account.balance(now) < amount {
            return false;
        }
        // Rights that lapse soonest are used first.
        let mut left = amount;
        for (_, available) in &mut account.received {
            let used = available.min(left);
            (*available, left) = (*available - used, left - used);
        }
        account.own_balance = (account.own_balance - left).max(0.0);
        (account.had, account.all_had) = (account.had + amount, account.all_had + amount);
        true
    }

    /// Estimates the rate per second that the limit allows at this node: the rate used recently plus what its stock
    /// could add. None while this node holds no mint and no rights, and thus knows nothing of the limit.
    pub fn estimated_rate(&mut self, now: f64, id: LimitId) -> Option<f64> {
        let held_mints = self.held_mints(now);
        let account = self.refresh(now, id)?;
        let balance = account.balance(now);
        (held_mints > 0 || balance > 0.0).then_some(account.had_rate + balance / account.limit.stock())
    }

    /// Amounts wanted and had since the start of this process.
    pub fn wanted_and_used(&self, id: LimitId) -> (f64, f64) {
        self.accounts.get(&id).map_or((0.0, 0.0), |account| (account.all_wanted, account.all_had))
    }

    /// Rights available here now.
    pub fn available(&mut self, now: f64, id: LimitId) -> f64 {
        self.refresh(now, id).map_or(0.0, |account| account.balance(now))
    }

    /// Number of mints held here now.
    pub fn held_mints(&self, now: f64) -> usize {
        let majority = self.terms.majority();
        self.mints.values().filter(|mint| mint.until(majority) > now).count()
    }

    pub fn mark(&self) -> u64 {
        self.mark
    }

    pub fn terms(&self) -> &LimitTerms {
        &self.terms
    }

    /// Since when each mint here yields rights, and until when it is held.
    fn held(&self) -> Vec<(f64, f64)> {
        let majority = self.terms.majority();
        self.mints.values().map(|mint| (mint.since, mint.until(majority))).collect()
    }

    /// The account of one limit, brought up to date. A use updates no other account.
    fn refresh(&mut self, now: f64, id: LimitId) -> Option<&mut Account> {
        let (held, members) = (self.held(), self.members.len());
        let account = self.accounts.get_mut(&id)?;
        // Allows for a local clock that runs fast.
        let rate = mint_rate(&account.limit, members) / (1.0 + self.terms.drift);
        account.accrue(now, &held, rate, self.terms.local_lower_bound(account.limit.stock()));
        Some(account)
    }

    fn refresh_all(&mut self, now: f64) {
        for limit in self.terms.limits.clone() {
            self.refresh(now, limit.id);
        }
    }

    /// Updates the averages of demand per second.
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

    /// `is_gone` tells whether a member is considered dead or has left.
    pub fn advance(&mut self, now: f64, is_gone: impl Fn(Id) -> bool, out: &mut Vec<OutgoingMessage>) {
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

    /// Renews the leases of this node's own mint and of those it holds as a deputy. A dead or departed member's
    /// deputy is the next present member after it in the ring of members.
    fn renew_leases(&mut self, now: f64, is_gone: &impl Fn(Id) -> bool, out: &mut Vec<OutgoingMessage>) {
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

    /// As a voter, grants mints to a process and returns those granted. A voter that has just started doesn't know
    /// what it granted before, and grants nothing for one lease.
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

    /// Records that a voter granted these mints to this node, in answer to a request sent at `asked`.
    fn record_votes(&mut self, now: f64, asked: f64, voter: Id, mints: Vec<Id>) {
        // Adds up what the mints yielded under the previous grants before those change.
        self.refresh_all(now);
        let majority = self.terms.majority();
        for id in mints {
            let mint = self.mints.entry(id).or_insert(Mint { votes: BTreeMap::new(), since: now });
            let before = mint.until(majority);
            let until = mint.votes.entry(voter).or_insert(f64::NEG_INFINITY);
            *until = until.max(asked + self.terms.lease);
            // A mint acquired anew yields rights from now on; earlier ones belong to its previous holder.
            if before <= now {
                mint.since = now;
            }
        }
    }

    /// Requests rights from other members, in rotation, for demand beyond what the mints held here yield.
    fn request_rights(&mut self, now: f64, is_gone: &impl Fn(Id) -> bool, out: &mut Vec<OutgoingMessage>) {
        let mut deficits: Vec<(LimitId, f64)> = Vec::new();
        let (held, members) = (self.held_mints(now) as f64, self.members.len());
        for (id, account) in &mut self.accounts {
            let (limit, mints) = (account.limit, held * mint_rate(&account.limit, members));
            // The expected demand until the rights lapse, plus one use in reserve.
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
        // One message holds a limited number of limits; the others follow in rotation.
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

    /// `mark` identifies the sending process. Invalid messages are ignored.
    pub fn handle_message(
        &mut self,
        now: f64,
        from: Id,
        mark: u64,
        bytes: &[u8],
        out: &mut Vec<OutgoingMessage>,
    ) {
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

    /// Gives rights to another member and deducts them here first. Gives only rights from the mints held here that
    /// this node won't need before they lapse; never rights received from others, whose time is already running.
    fn give_rights(&mut self, now: f64, id: LimitId, wanted: f32) -> Option<(LimitId, f32)> {
        let (askers, held) = (self.recent_askers.len().max(1) as f64, self.held_mints(now) as f64);
        let members = self.members.len();
        let account = self.refresh(now, id)?;
        let (limit, mints) = (account.limit, held * mint_rate(&account.limit, members));
        // The mint's future yield covers this node's demand first; the stock covers the rest.
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

    /// Applies a change of members or limits in the operators' file. A node whose members or limits changed starts
    /// over without rights, and grants nothing as a voter for one lease.
    pub fn reconfigure(&mut self, now: f64, members: Vec<Id>, terms: LimitTerms) {
        if self.members != members || self.terms != terms {
            let number = self.last_number;
            *self = Rights::new(now, self.me, Incarnation(self.mark), members, terms);
            // Its own mint was held before, and may be held again once that lease has certainly expired.
            self.next_renewal = now + self.terms.local_upper_bound(self.terms.lease);
            self.last_number = number;
        }
    }
}

/// Rights per second that one mint yields: 1/N of the limit's rate.
fn mint_rate(limit: &Limit, members: usize) -> f64 {
    limit.rate() / members.max(1) as f64
}

fn encode(message: &Message) -> Vec<u8> {
    // Can't fail: serde knows the length of every sequence in the message.
    postcard::to_stdvec(message).unwrap_or_default()
}
