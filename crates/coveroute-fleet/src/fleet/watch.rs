//! Watching the others: probes, suspicions, and the steps of the table of states.
use super::{Fleet, Peer};
use crate::detector::{Doubt, Look, Out, Purpose};
use crate::fleet::{Action, News};
use crate::member::{next, Claim, Effect, Id, Input, State};
use crate::message::What;

/// A fleet-wide rate of pings to each member that is not there: so soon is one found that comes back, whatever the
/// number of members.
const LOST_RATE: f64 = 4.0;
/// Members who look themselves at one who is suspected by another, on the average: as many as must share it.
const CHECKS: f64 = 4.0;
/// A member that came back counts as returned for this long: some dozen rounds, in which it learns what it missed.
const SETTLES: f64 = 10.0;

impl Fleet {
    pub(super) fn look(&mut self, now: f64, out: &mut Vec<Action>) {
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

    pub(super) fn set_purpose(&mut self, number: u64, purpose: Purpose) {
        self.out.get_mut(&number).into_iter().for_each(|sent| sent.purpose = purpose);
    }

    /// Pings once more, and asks others to try.
    pub(super) fn have_reached(&mut self, number: u64, of: Id, out: &mut Vec<Action>) {
        let others = self.some_of(self.plan.detector.relays, |id, peer| id != of && peer.state.is_there());
        self.set_purpose(number, Purpose::Probe { asked: others.len().max(1), tried: 0 });
        self.send(of, What::Ping { number }, out);
        for other in others {
            self.send(other, What::Reach { number, of }, out);
        }
    }

    /// Up to so many of the members that fit, by chance.
    pub(super) fn some_of(&mut self, many: usize, fits: impl Fn(Id, &Peer) -> bool) -> Vec<Id> {
        let mut fit: Vec<Id> =
            self.peers.iter().filter(|(id, peer)| fits(**id, peer)).map(|(id, _)| *id).collect();
        for at in 0..many.min(fit.len()) {
            let other = at + (self.chance.draw() * (fit.len() - at) as f64) as usize;
            fit.swap(at, other);
        }
        fit.truncate(many);
        fit
    }

    pub(super) fn shuffle(&mut self) {
        for at in (1..self.ring.len()).rev() {
            let other = (self.chance.draw() * (at + 1) as f64) as usize;
            self.ring.swap(at, other);
        }
        self.at = 0;
    }

    /// Each in turn, in an order that is drawn anew for each round: none waits longer than two rounds.
    pub(super) fn probe_next(&mut self, now: f64, out: &mut Vec<Action>) {
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
    pub(super) fn seek_lost(&mut self, now: f64, out: &mut Vec<Action>) {
        let lost = self.some_of(1, |_, peer| !peer.state.is_there());
        let lost_many = self.peers.values().filter(|peer| !peer.state.is_there()).count();
        let there = 1 + self.peers.len() - lost_many;
        let chance = LOST_RATE * self.plan.detector.every * lost_many as f64 / there as f64;
        if self.chance.draw() < chance {
            lost.into_iter().for_each(|of| self.ping(now, of, Purpose::Talk, out));
        }
    }

    pub(super) fn end_doubts(&mut self, now: f64, out: &mut Vec<Action>) {
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

    pub(super) fn settle(&mut self, now: f64, out: &mut Vec<Action>) {
        let settled = |peer: &Peer| peer.state == State::Returned && now - peer.since >= SETTLES;
        let ids: Vec<Id> = self.peers.iter().filter(|(_, peer)| settled(peer)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.step(now, id, Input::Settles, self.me, out));
    }

    /// Takes a member a step on by the table.
    pub(super) fn step(&mut self, now: f64, id: Id, input: Input, by: Id, out: &mut Vec<Action>) {
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
    pub(super) fn check(&mut self, now: f64, id: Id, by: Id, out: &mut Vec<Action>) {
        let there = self.peers.values().filter(|peer| peer.state.is_there()).count();
        if by == self.me {
            self.ping(now, id, Purpose::Talk, out);
        } else if self.chance.draw() * (there as f64) < CHECKS {
            self.ping(now, id, Purpose::Probe { asked: 0, tried: 0 }, out);
        }
    }
}
