//! Dissemination: membership updates, records, and synchronisation of tables that differ.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Fleet, MAX_SYNC_PINGS};
use crate::detector::{PendingPing, Purpose};
use crate::fleet::{Action, FleetEvent};
use crate::member::{Claim, ClaimedStatus, Id, Incarnation, Input, MemberUpdate, State};
use crate::message::{decode, encode, DropReason, Message, MessageBody, MAX_DATAGRAM};
use crate::table::{Key, MergeResult, Record};

/// Upper bound on the encoded size of a membership update, in bytes.
pub(super) const MAX_UPDATE_LEN: usize = 22;
/// Each update and record is sent this many times the logarithm of the number of members (lambda in SWIM).
const RETRANSMIT_FACTOR: f64 = 3.0;
/// Upper limit on updates in a message; the rest go with the next messages.
pub(super) const MAX_UPDATES: usize = 8;
/// Bytes of a message available to updates and records; the rest is reserved for the header and the encoding.
pub(super) const MAX_CONTENT_LEN: usize = MAX_DATAGRAM - 120;
/// Upper limit on messages in reply to one `Compare`.
const MAX_DIFF_MESSAGES: usize = 4;
/// Consecutive answers with a different sum before the differences are requested. Until then, gossip usually
/// resolves them by itself.
const MISMATCHES_BEFORE_SYNC: u8 = 3;
/// This many conflicting incarnations within this many seconds mean that another process keeps using this node's
/// name.
const CONFLICTS: (usize, f64) = (4, 30.0);

impl Fleet {
    pub(super) fn queue_update(&mut self, of: Id) {
        let times = self.transmissions();
        self.pending_updates.insert(of, times);
    }

    /// How many times a new update or record is sent.
    pub(super) fn transmissions(&self) -> u32 {
        (RETRANSMIT_FACTOR * (self.peers.len() as f64 + 2.0).log2()).ceil() as u32
    }

    pub(super) fn apply_update(&mut self, now: f64, update: MemberUpdate, out: &mut Vec<Action>) {
        if !update.incarnation.is_valid() {
            return self.count_dropped(DropReason::Unreadable);
        }
        if update.of == self.me {
            return self.handle_claim_about_self(now, update.incarnation, update.claim, out);
        }
        let Some(peer) = self.peers.get_mut(&update.of) else {
            return self.count_dropped(DropReason::Stranger);
        };
        let (known, new) = (peer.claimed_status, (update.incarnation, update.claim));
        if known.is_some_and(|known| new <= known) {
            if known == Some(new) && update.claim == Claim::Suspected {
                self.apply_input(now, update.of, Input::Suspected, update.by, out);
            }
            return;
        }
        let restarted = known.is_some_and(|known| known.0.mark() != update.incarnation.mark());
        let input = match update.claim {
            Claim::Alive if restarted => Input::Restarted,
            Claim::Alive => Input::Alive,
            Claim::Suspected => Input::Suspected,
            Claim::Dead => Input::Dead,
            Claim::Left => Input::Left,
        };
        peer.claimed_status = Some(new);
        self.table.update_claimed_status(update.of, known, Some(new));
        self.queue_update(update.of);
        self.apply_input(now, update.of, input, update.by, out);
    }

    /// Handles a claim about this node that is wrong, or that concerns an earlier process or another process of the
    /// same name.
    pub(super) fn handle_claim_about_self(
        &mut self,
        now: f64,
        incarnation: Incarnation,
        claim: Claim,
        out: &mut Vec<Action>,
    ) {
        let is_known = (incarnation, claim) <= (self.incarnation, Claim::Alive);
        if self.left || is_known {
            return;
        }
        if incarnation.mark() != self.incarnation.mark() {
            self.handle_name_conflict(now, incarnation, out);
        } else {
            self.counts.refuted += 1;
            self.health.degrade();
        }
        self.raise_incarnation(now, incarnation, out);
    }

    /// Moves this node to an incarnation above `over` and announces it at once.
    pub(super) fn raise_incarnation(&mut self, now: f64, over: Incarnation, out: &mut Vec<Action>) {
        let before = (self.incarnation, Claim::Alive);
        self.incarnation = self.incarnation.next_above(over);
        self.update_own_status((self.incarnation, Claim::Alive), Some(before));
        let (keys, times) = (self.table.adopt_incarnation(self.me, self.incarnation), self.transmissions());
        self.pending_records.extend(keys.into_iter().map(|key| (key, times)));
        self.ping_some_peers(now, out);
    }

    pub(super) fn ping_some_peers(&mut self, now: f64, out: &mut Vec<Action>) {
        let targets =
            self.sample_peers(self.config.detector.relays.max(1), |_, peer| peer.state.is_present());
        targets.into_iter().for_each(|to| self.ping(now, to, Purpose::Sync, out));
    }

    pub(super) fn update_own_status(&mut self, after: ClaimedStatus, before: Option<ClaimedStatus>) {
        self.table.update_claimed_status(self.me, before, Some(after));
    }

    /// Detects a second live process with this node's name. An earlier process that the others still remember may
    /// have any incarnation. A live one answers each of our incarnations with the next higher one, again and again;
    /// of two such processes only the one with the greater mark continues.
    pub(super) fn handle_name_conflict(&mut self, now: f64, other: Incarnation, out: &mut Vec<Action>) {
        if !other.is_successor_of(self.incarnation) {
            return;
        }
        self.conflict_times.retain(|at| now - at < CONFLICTS.1);
        self.conflict_times.push(now);
        if self.conflict_times.len() >= CONFLICTS.0 {
            let yields = other.mark() > self.incarnation.mark();
            if yields {
                self.silent_until = now + CONFLICTS.1;
            }
            out.push(Action::Event(FleetEvent::NameConflict { yields }));
        }
    }

    pub(super) fn count_dropped(&mut self, why: DropReason) {
        *self.counts.dropped.entry(why).or_default() += 1;
    }

    /// Handles a datagram received from `from`.
    pub fn handle_datagram(&mut self, now: f64, from: SocketAddr, bytes: &[u8], out: &mut Vec<Action>) {
        self.counts.heard += 1;
        self.counts.heard_bytes += bytes.len() as u64;
        if !self.active || self.left {
            return;
        }
        let message = match decode(self.mark, bytes) {
            Ok(message) => message,
            Err(why) => return self.count_dropped(why),
        };
        if message.from == self.me || self.addresses.get(&from) != Some(&message.from) {
            return self.count_dropped(DropReason::Stranger);
        }
        let Message { from, incarnation, sum, words: updates, what } = message;
        self.apply_update(now, MemberUpdate { of: from, incarnation, claim: Claim::Alive, by: from }, out);
        self.peers.get_mut(&from).into_iter().for_each(|peer| peer.last_heard = now);
        updates.into_iter().for_each(|update| self.apply_update(now, update, out));
        if now >= self.silent_until {
            self.handle_body(now, (from, incarnation), sum, what, out);
        }
    }

    pub(super) fn handle_body(
        &mut self,
        now: f64,
        (from, incarnation): (Id, Incarnation),
        sum: u64,
        what: MessageBody,
        out: &mut Vec<Action>,
    ) {
        match what {
            MessageBody::Ping { number } if sum == self.table.sum() => {
                self.decay_pending();
                let (updates, records) = (self.updates_beyond_sums(from), Vec::new());
                self.transmit(from, updates, MessageBody::Answer { number, records }, out);
            }
            MessageBody::Ping { number } => {
                let records = self.records_to_send(now);
                self.send(from, MessageBody::Answer { number, records }, out);
                if self.sync_pings < MAX_SYNC_PINGS {
                    self.sync_pings += 1;
                    self.ping(now, from, Purpose::Sync, out);
                }
            }
            MessageBody::Answer { number, records } => {
                let Some(ping) = self.pending.remove(&number).filter(|ping| ping.to == from) else { return };
                match ping.purpose {
                    Purpose::Probe { .. } => self.health.improve(),
                    Purpose::Relay(requester, their_number) => {
                        self.send(requester, MessageBody::Reached { number: their_number, well: true }, out);
                    }
                    Purpose::Sync => {}
                }
                self.merge_records(now, ping.at, records, out);
                self.compare_sum(now, from, sum, out);
            }
            MessageBody::Reach { number, of } if self.peers.contains_key(&of) => {
                self.ping(now, of, Purpose::Relay(from, number), out);
            }
            MessageBody::Reach { .. } => {}
            MessageBody::Reached { number, well } => self.handle_reached(number, well),
            MessageBody::Application { kind, bytes } => {
                out.push(Action::Message { from, mark: incarnation.mark(), kind, bytes });
            }
            MessageBody::Compare { number, sums } => self.send_differences(now, from, number, &sums, out),
            MessageBody::Differs { number, records, more } => {
                // A request can be answered by several of these, so it stays pending.
                let ping = self.pending.get(&number).copied().filter(|ping| ping.to == from);
                let Some(ping) = ping else { return };
                self.merge_records(now, ping.at, records, out);
                if more && sum != self.table.sum() {
                    self.request_differences(now, from, out);
                }
            }
        }
    }

    pub(super) fn handle_reached(&mut self, number: u64, well: bool) {
        match self.pending.get_mut(&number) {
            Some(ping) if well && matches!(ping.purpose, Purpose::Probe { .. }) => {
                ping.purpose = Purpose::Sync
            }
            Some(PendingPing { purpose: Purpose::Probe { failed, .. }, .. }) => *failed += 1,
            _ => {}
        }
    }

    pub(super) fn merge_records(
        &mut self,
        now: f64,
        asked: f64,
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) {
        for record in records {
            let (key, incarnation) = (record.key, record.incarnation);
            if key.owner != self.me && !self.peers.contains_key(&key.owner) || !incarnation.is_valid() {
                self.count_dropped(DropReason::Stranger);
                continue;
            }
            if key.owner == self.me && incarnation.mark() != self.incarnation.mark() {
                self.handle_claim_about_self(now, incarnation, Claim::Alive, out);
            }
            match self.table.merge(now, asked, record) {
                MergeResult::Newer => {
                    let times = self.transmissions();
                    self.pending_records.insert(key, times);
                    out.push(Action::Event(FleetEvent::Record(key)));
                }
                MergeResult::Full => self.counts.full += 1,
                MergeResult::TighterAge | MergeResult::Known | MergeResult::Expired => {}
            }
        }
    }

    /// Requests the differences if the tables have differed for longer than gossip takes.
    pub(super) fn compare_sum(&mut self, now: f64, from: Id, sum: u64, out: &mut Vec<Action>) {
        if sum == self.table.sum() {
            self.mismatches = 0;
            return self.decay_pending();
        }
        self.mismatches += 1;
        if self.mismatches >= MISMATCHES_BEFORE_SYNC {
            self.mismatches = 0;
            self.request_differences(now, from, out);
        }
    }

    pub(super) fn request_differences(&mut self, now: f64, to: Id, out: &mut Vec<Action>) {
        let number = self.next_number();
        let sums = self.table.sums().to_vec();
        self.pending.insert(number, PendingPing { to, at: now, purpose: Purpose::Sync });
        self.send_within_budget(to, MessageBody::Compare { number, sums }, out);
    }

    /// Sends membership updates and records of all members whose partitions differ, as far as a few messages can
    /// hold. The starting member is random, so that all are covered in time.
    pub(super) fn send_differences(
        &mut self,
        now: f64,
        to: Id,
        number: u64,
        sums: &[u32],
        out: &mut Vec<Action>,
    ) {
        let mut ids: Vec<Id> = self.peers.keys().copied().chain([self.me]).collect();
        ids.retain(|id| self.table.differs(*id, sums));
        let start = (self.rng.draw() * ids.len() as f64) as usize;
        let start = start.min(ids.len());
        ids.rotate_left(start);
        let (mut updates, mut records, mut room_left, mut messages) =
            (Vec::new(), Vec::new(), MAX_CONTENT_LEN, 0);
        let mut items: Vec<(Option<MemberUpdate>, Option<Record>)> = Vec::new();
        for id in ids {
            items.extend(self.update_about(id).map(|update| (Some(update), None)));
            let own = self.table.keys_of(id).filter_map(|key| self.table.record(now, &key));
            items.extend(own.map(|record| (None, Some(record))));
        }
        for (update, record) in items {
            let size = update.map_or(0, |_| MAX_UPDATE_LEN) + record.as_ref().map_or(0, Record::max_len);
            if size > room_left {
                let (updates, records) = (std::mem::take(&mut updates), std::mem::take(&mut records));
                (room_left, messages) = (MAX_CONTENT_LEN, messages + 1);
                let more = messages >= MAX_DIFF_MESSAGES;
                self.send_updates_within_budget(
                    to,
                    updates,
                    MessageBody::Differs { number, records, more },
                    out,
                );
                if more {
                    return;
                }
            }
            room_left -= size;
            updates.extend(update);
            records.extend(record);
        }
        self.send_updates_within_budget(
            to,
            updates,
            MessageBody::Differs { number, records, more: false },
            out,
        );
    }

    pub(super) fn records_to_send(&mut self, now: f64) -> Vec<Record> {
        let mut by_remaining: Vec<(u32, Key)> =
            self.pending_records.iter().map(|(key, left)| (*left, *key)).collect();
        by_remaining.sort_by(|one, two| two.cmp(one)); // Fewest transmissions first.
        let (mut room_left, mut records) = (MAX_CONTENT_LEN - MAX_UPDATES * MAX_UPDATE_LEN, Vec::new());
        for (_, key) in by_remaining {
            let Some(record) = self.table.record(now, &key) else {
                self.pending_records.remove(&key);
                continue;
            };
            if record.max_len() > room_left {
                break;
            }
            room_left -= record.max_len();
            records.push(record);
            decrement_remaining(&mut self.pending_records, key);
        }
        records
    }

    pub(super) fn update_about(&mut self, of: Id) -> Option<MemberUpdate> {
        if of == self.me {
            return Some(MemberUpdate { of, incarnation: self.incarnation, claim: Claim::Alive, by: of });
        }
        let peer = self.peers.get(&of)?;
        let ((incarnation, claim), by) =
            (peer.claimed_status?, peer.suspicion.as_ref().map(|suspicion| &suspicion.reported_by));
        // Names one of the reporters at random: a receiver that hears of several confirms the suspicion sooner.
        let draw = self.rng.draw();
        let by = by.map_or(self.me, |by| by[(draw * by.len() as f64) as usize]);
        Some(MemberUpdate { of, incarnation, claim, by })
    }

    /// Updates to attach to a message: first what is claimed about the receiver itself, then the ones sent the
    /// fewest times.
    pub(super) fn updates_for(&mut self, to: Id) -> Vec<MemberUpdate> {
        let mut updates = self.update_about_receiver(to);
        let mut by_remaining: Vec<(u32, Id)> =
            self.pending_updates.iter().map(|(id, left)| (*left, *id)).collect();
        by_remaining.sort_by(|one, two| two.cmp(one));
        for (_, id) in by_remaining.into_iter().filter(|(_, id)| *id != to).take(MAX_UPDATES - 1) {
            updates.extend(self.update_about(id));
            decrement_remaining(&mut self.pending_updates, id);
        }
        updates
    }

    /// Called when a peer has the same table. Lowers the remaining transmissions of everything still queued,
    /// because updates have reached more members than this node sent them to. Without it, a fleet whose members all
    /// start at once keeps sending what everyone knows for minutes: 1,000 members sent 4.2 KB a second.
    pub(super) fn decay_pending(&mut self) {
        let peers = &self.peers;
        let suspected = |id: &Id| peers.get(id).is_some_and(|peer| peer.state == State::Suspected);
        self.pending_updates.retain(|id, left| {
            *left -= u32::from(!suspected(id));
            *left > 0
        });
        self.pending_records.retain(|_, left| {
            *left -= 1;
            *left > 0
        });
    }

    /// Updates for a peer with the same table: only claims about itself, and suspicions, which the sums don't
    /// cover.
    pub(super) fn updates_beyond_sums(&mut self, to: Id) -> Vec<MemberUpdate> {
        let peers = &self.peers;
        let suspected = |id: &Id| peers.get(id).is_some_and(|peer| peer.state == State::Suspected);
        let ids: Vec<Id> =
            self.pending_updates.keys().copied().filter(suspected).take(MAX_UPDATES - 1).collect();
        let mut updates = self.update_about_receiver(to);
        for id in ids.into_iter().filter(|id| *id != to) {
            updates.extend(self.update_about(id));
            decrement_remaining(&mut self.pending_updates, id);
        }
        updates
    }

    pub(super) fn update_about_receiver(&mut self, to: Id) -> Vec<MemberUpdate> {
        let not_alive =
            self.peers.get(&to).and_then(|peer| peer.claimed_status).is_some_and(|s| s.1 != Claim::Alive);
        if not_alive {
            self.update_about(to).into_iter().collect()
        } else {
            Vec::new()
        }
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    pub(super) fn ping(&mut self, now: f64, to: Id, purpose: Purpose, out: &mut Vec<Action>) {
        let number = self.next_number();
        self.pending.insert(number, PendingPing { to, at: now, purpose });
        self.send(to, MessageBody::Ping { number }, out);
    }

    pub(super) fn send(&mut self, to: Id, what: MessageBody, out: &mut Vec<Action>) {
        let updates = self.updates_for(to);
        self.transmit(to, updates, what, out);
    }

    /// Sends a message that can wait; it is dropped if the byte budget is used up.
    pub(super) fn send_within_budget(&mut self, to: Id, what: MessageBody, out: &mut Vec<Action>) {
        let updates = self.updates_for(to);
        self.send_updates_within_budget(to, updates, what, out);
    }

    pub(super) fn send_updates_within_budget(
        &mut self,
        to: Id,
        updates: Vec<MemberUpdate>,
        what: MessageBody,
        out: &mut Vec<Action>,
    ) {
        if self.send_budget < MAX_DATAGRAM as f64 {
            self.counts.withheld += 1;
            return;
        }
        let before = self.counts.sent_bytes;
        self.transmit(to, updates, what, out);
        self.send_budget -= (self.counts.sent_bytes - before) as f64;
    }

    pub(super) fn transmit(
        &mut self,
        to: Id,
        updates: Vec<MemberUpdate>,
        what: MessageBody,
        out: &mut Vec<Action>,
    ) {
        let Some(addr) = self.peers.get(&to).map(|peer| peer.addr) else { return };
        let (from, incarnation, sum) = (self.me, self.incarnation, self.table.sum());
        let bytes = encode(self.mark, &Message { from, incarnation, sum, words: updates, what });
        debug_assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Action::Send { to: addr, bytes });
    }
}

/// Lowers the remaining transmissions of `key` and removes it when none are left.
fn decrement_remaining<K: Ord>(remaining: &mut BTreeMap<K, u32>, key: K) {
    match remaining.get_mut(&key) {
        Some(left @ 2..) => *left -= 1,
        _ => drop(remaining.remove(&key)),
    }
}
