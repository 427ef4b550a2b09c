//! Failure detection: probes, suspicions, and state transitions of the other members.
use super::{Fleet, Peer};
use crate::detector::{PendingPing, PingStatus, Purpose, Suspicion};
use crate::fleet::{Action, FleetEvent};
use crate::member::{next_state, Claim, Effect, Id, Input, State};
use crate::message::MessageBody;

/// Pings per second that the whole fleet sends to each absent member. Independent of the number of members, so that
/// a returning member is found equally fast in a fleet of any size.
const ABSENT_PROBE_RATE: f64 = 4.0;
/// Average number of members that probe a suspected member themselves after another member has reported it. Matches
/// the number of members that must share a suspicion.
const VERIFIERS: f64 = 4.0;
/// A member counts as returned for this many seconds, about a dozen gossip rounds, in which it catches up on what
/// it missed.
const RETURNED_SECONDS: f64 = 10.0;

impl Fleet {
    pub(super) fn check_pending(&mut self, now: f64, out: &mut Vec<Action>) {
        let (detector, health) = (self.config.detector, self.health);
        let statuses =
            self.pending.iter().map(|(number, ping)| (*number, *ping, ping.status(now, &detector, health)));
        let statuses: Vec<(u64, PendingPing, PingStatus)> =
            statuses.filter(|entry| entry.2 != PingStatus::Wait).collect();
        for (number, ping, status) in statuses {
            match (status, ping.purpose) {
                (PingStatus::RequestHelp, _) => self.request_indirect_probes(number, ping.to, out),
                (PingStatus::NoReply, Purpose::Probe { asked, failed }) => {
                    // None of the helpers replied: this node itself may be the one that is cut off.
                    if asked > 0 && failed == 0 {
                        self.health.degrade();
                    }
                    self.set_purpose(number, Purpose::Sync);
                    self.apply_input(now, ping.to, Input::NoReply, self.me, out);
                }
                (PingStatus::RelayFailed, Purpose::Relay(requester, their_number)) => {
                    self.set_purpose(number, Purpose::Sync);
                    self.send(requester, MessageBody::Reached { number: their_number, well: false }, out);
                }
                _ => drop(self.pending.remove(&number)),
            }
        }
    }

    pub(super) fn set_purpose(&mut self, number: u64, purpose: Purpose) {
        self.pending.get_mut(&number).into_iter().for_each(|ping| ping.purpose = purpose);
    }

    /// Pings the member again and asks other members to ping it.
    pub(super) fn request_indirect_probes(&mut self, number: u64, of: Id, out: &mut Vec<Action>) {
        let others =
            self.sample_peers(self.config.detector.relays, |id, peer| id != of && peer.state.is_present());
        self.set_purpose(number, Purpose::Probe { asked: others.len().max(1), failed: 0 });
        self.send(of, MessageBody::Ping { number }, out);
        for other in others {
            self.send(other, MessageBody::Reach { number, of }, out);
        }
    }

    /// A random sample of up to `count` peers that satisfy `accepts`.
    pub(super) fn sample_peers(&mut self, count: usize, accepts: impl Fn(Id, &Peer) -> bool) -> Vec<Id> {
        let mut matching: Vec<Id> =
            self.peers.iter().filter(|(id, peer)| accepts(**id, peer)).map(|(id, _)| *id).collect();
        for at in 0..count.min(matching.len()) {
            let other = at + (self.rng.draw() * (matching.len() - at) as f64) as usize;
            matching.swap(at, other);
        }
        matching.truncate(count);
        matching
    }

    pub(super) fn shuffle_probe_order(&mut self) {
        for at in (1..self.probe_order.len()).rev() {
            let other = (self.rng.draw() * (at + 1) as f64) as usize;
            self.probe_order.swap(at, other);
        }
        self.next_probe = 0;
    }

    /// Probes members in turn; the order is shuffled for each round, so no member waits longer than two rounds.
    pub(super) fn probe_next(&mut self, now: f64, out: &mut Vec<Action>) {
        for _ in 0..self.probe_order.len() {
            if self.next_probe >= self.probe_order.len() {
                self.shuffle_probe_order();
            }
            let of = self.probe_order[self.next_probe];
            self.next_probe += 1;
            if self.peers[&of].state.is_present() {
                return self.ping(now, of, Purpose::Probe { asked: 0, failed: 0 }, out);
            }
        }
    }

    /// Members considered dead, or never seen, may only be cut off: every now and then some member pings one of
    /// them.
    pub(super) fn probe_absent(&mut self, now: f64, out: &mut Vec<Action>) {
        let absent = self.sample_peers(1, |_, peer| !peer.state.is_present());
        let absent_count = self.peers.values().filter(|peer| !peer.state.is_present()).count();
        let present = 1 + self.peers.len() - absent_count;
        let chance = ABSENT_PROBE_RATE * self.config.detector.every * absent_count as f64 / present as f64;
        if self.rng.draw() < chance {
            absent.into_iter().for_each(|of| self.ping(now, of, Purpose::Sync, out));
        }
    }

    pub(super) fn expire_suspicions(&mut self, now: f64, out: &mut Vec<Action>) {
        let members = 1 + self.peers.values().filter(|peer| peer.state.is_present()).count();
        let trusted = |peer: &&Peer| matches!(peer.state, State::Alive | State::Returned);
        let trusted_count = self.peers.values().filter(trusted).count();
        let has_expired = |peer: &Peer| {
            peer.suspicion.as_ref().is_some_and(|suspicion| {
                let timeout = self.config.detector.suspicion_timeout(
                    suspicion.confirmations(peer.last_heard),
                    trusted_count,
                    members,
                    self.health,
                );
                now - suspicion.began >= timeout
            })
        };
        let expired: Vec<Id> =
            self.peers.iter().filter(|(_, peer)| has_expired(peer)).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.apply_input(now, id, Input::SuspicionExpired, self.me, out));
    }

    pub(super) fn settle_returned(&mut self, now: f64, out: &mut Vec<Action>) {
        let settled =
            |peer: &Peer| peer.state == State::Returned && now - peer.state_since >= RETURNED_SECONDS;
        let ids: Vec<Id> = self.peers.iter().filter(|(_, peer)| settled(peer)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.apply_input(now, id, Input::Settled, self.me, out));
    }

    /// Applies `input` to a member's state and performs the resulting effect.
    pub(super) fn apply_input(&mut self, now: f64, id: Id, input: Input, by: Id, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let (from, (to, effect)) = (peer.state, next_state(peer.state, input));
        // A failure detected here, rather than reported by another member, becomes a claim to disseminate.
        let claim = match (input, effect) {
            (Input::NoReply, Effect::StartSuspicion) => Some(Claim::Suspected),
            (Input::SuspicionExpired, _) if to == State::Dead => Some(Claim::Dead),
            _ => None,
        };
        if let Some((incarnation, claim)) = peer.claimed_status.map(|status| status.0).zip(claim) {
            let before = peer.claimed_status.replace((incarnation, claim));
            self.table.update_claimed_status(id, before, Some((incarnation, claim)));
        }
        let mut disseminate = from != to && input != Input::Settled;
        match effect {
            Effect::Nothing => {}
            Effect::StartSuspicion => peer.suspicion = Some(Suspicion::new(now, by)),
            Effect::ConfirmSuspicion => {
                disseminate |= peer.suspicion.as_mut().is_some_and(|suspicion| suspicion.confirm(by))
            }
            Effect::ClearSuspicion => peer.suspicion = None,
        }
        if from != to {
            (peer.state, peer.state_since) = (to, now);
            self.counts.buried += u64::from(to == State::Dead);
            out.push(Action::Event(FleetEvent::Member { id, from, to }));
        }
        if disseminate {
            self.queue_update(id);
        }
        if effect == Effect::StartSuspicion {
            self.verify_suspicion(now, id, by, out);
        }
    }

    /// Pings a newly suspected member, which thereby learns of the suspicion and can refute it. When another member
    /// reported the suspicion, only a random few probe it.
    pub(super) fn verify_suspicion(&mut self, now: f64, id: Id, by: Id, out: &mut Vec<Action>) {
        let present = self.peers.values().filter(|peer| peer.state.is_present()).count();
        if by == self.me {
            self.ping(now, id, Purpose::Sync, out);
        } else if self.rng.draw() * (present as f64) < VERIFIERS {
            self.ping(now, id, Purpose::Probe { asked: 0, failed: 0 }, out);
        }
    }
}
