//! What is said and heard: words of members, records, and what differs.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Fleet, TALKS};
use crate::detector::{Out, Purpose};
use crate::fleet::{Action, News};
use crate::member::{Claim, Id, Incarnation, Input, Standing, State, Word};
use crate::message::{decode, encode, Message, Odd, What, MOST};
use crate::table::{Key, Record, Taken};

/// Bytes that a word takes at most.
pub(super) const WORD_SIZE: usize = 22;
/// Each word and record is told on so many times the logarithm of the members' number (SWIM's lambda).
const TOLD: f64 = 3.0;
/// Words in a message at most; more go with the next.
pub(super) const WORDS: usize = 8;
/// Bytes of a message that words and records may fill, under the head and the longest record.
pub(super) const FILL: usize = MOST - 120;
/// Messages in answer to one question about what differs.
const PARTS_MOST: usize = 4;
/// Answers in a row that differ before it is asked what does: what is new goes round by itself meanwhile.
const DIFFERS: u8 = 3;
/// So many others under the own name within this many seconds are one that stays.
const DISPUTES: (usize, f64) = (4, 30.0);

impl Fleet {
    pub(super) fn spread(&mut self, of: Id) {
        let times = self.times();
        self.words.insert(of, times);
    }

    pub(super) fn times(&self) -> u32 {
        (TOLD * (self.peers.len() as f64 + 2.0).log2()).ceil() as u32
    }

    pub(super) fn learn(&mut self, now: f64, word: Word, out: &mut Vec<Action>) {
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
    pub(super) fn spoken_of(
        &mut self,
        now: f64,
        incarnation: Incarnation,
        claim: Claim,
        out: &mut Vec<Action>,
    ) {
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
    pub(super) fn rise(&mut self, now: f64, over: Incarnation, out: &mut Vec<Action>) {
        let before = (self.incarnation, Claim::Alive);
        self.incarnation = self.incarnation.above(over);
        self.stand((self.incarnation, Claim::Alive), Some(before));
        let (keys, times) = (self.table.rise(self.me, self.incarnation), self.times());
        self.fresh.extend(keys.into_iter().map(|key| (key, times)));
        self.tell_some(now, out);
    }

    pub(super) fn tell_some(&mut self, now: f64, out: &mut Vec<Action>) {
        let some = self.some_of(self.plan.detector.relays.max(1), |_, peer| peer.state.is_there());
        some.into_iter().for_each(|to| self.ping(now, to, Purpose::Talk, out));
    }

    pub(super) fn stand(&mut self, after: Standing, before: Option<Standing>) {
        self.table.stands(self.me, before, Some(after));
    }

    /// An earlier process that others remember stands wherever it did. One that is there rises one above what it hears of
    /// this one, again and again; and of two only the one with the greater mark may go on.
    pub(super) fn disputed(&mut self, now: f64, other: Incarnation, out: &mut Vec<Action>) {
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

    pub(super) fn odd(&mut self, why: Odd) {
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

    pub(super) fn carry(
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

    pub(super) fn reached(&mut self, number: u64, well: bool) {
        match self.out.get_mut(&number) {
            Some(sent) if well && matches!(sent.purpose, Purpose::Probe { .. }) => {
                sent.purpose = Purpose::Talk
            }
            Some(Out { purpose: Purpose::Probe { tried, .. }, .. }) => *tried += 1,
            _ => {}
        }
    }

    pub(super) fn take(&mut self, now: f64, asked: f64, records: Vec<Record>, out: &mut Vec<Action>) {
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
    pub(super) fn compare(&mut self, now: f64, from: Id, sum: u64, out: &mut Vec<Action>) {
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

    pub(super) fn ask_what_differs(&mut self, now: f64, to: Id, out: &mut Vec<Action>) {
        let number = self.next_number();
        let sums = self.table.sums().to_vec();
        self.out.insert(number, Out { to, at: now, purpose: Purpose::Talk });
        self.send_within(to, What::Compare { number, sums }, out);
    }

    /// What is known of members whose parts differ, and their records, as much as goes into a few messages; from
    /// another member on each time, so that all comes to its turn.
    pub(super) fn tell_differences(
        &mut self,
        now: f64,
        to: Id,
        number: u64,
        sums: &[u32],
        out: &mut Vec<Action>,
    ) {
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

    pub(super) fn fresh_records(&mut self, now: f64) -> Vec<Record> {
        let mut by: Vec<(u32, Key)> = self.fresh.iter().map(|(key, left)| (*left, *key)).collect();
        by.sort_by(|one, two| two.cmp(one)); // What was told least first.
        let (mut room, mut records) = (FILL - WORDS * WORD_SIZE, Vec::new());
        for (_, key) in by {
            let Some(record) = self.table.record(now, &key) else {
                self.fresh.remove(&key);
                continue;
            };
            if record.size() > room {
                break;
            }
            room -= record.size();
            records.push(record);
            tell_once(&mut self.fresh, key);
        }
        records
    }

    pub(super) fn word(&mut self, of: Id) -> Option<Word> {
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
    pub(super) fn words_for(&mut self, to: Id) -> Vec<Word> {
        let mut words = self.word_of_itself(to);
        let mut by: Vec<(u32, Id)> = self.words.iter().map(|(id, left)| (*left, *id)).collect();
        by.sort_by(|one, two| two.cmp(one));
        for (_, id) in by.into_iter().filter(|(_, id)| *id != to).take(WORDS - 1) {
            words.extend(self.word(id));
            tell_once(&mut self.words, id);
        }
        words
    }

    /// Another one holds the same: what goes round is known to more than those it was told to. Guards against a fleet
    /// that starts at once and tells for minutes what all know: 1,000 members sent 4.2 KB a second for it.
    pub(super) fn cool(&mut self) {
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
    pub(super) fn words_beyond_sums(&mut self, to: Id) -> Vec<Word> {
        let peers = &self.peers;
        let passing = |id: &Id| peers.get(id).is_some_and(|peer| peer.state == State::Suspected);
        let ids: Vec<Id> = self.words.keys().copied().filter(passing).take(WORDS - 1).collect();
        let mut words = self.word_of_itself(to);
        for id in ids.into_iter().filter(|id| *id != to) {
            words.extend(self.word(id));
            tell_once(&mut self.words, id);
        }
        words
    }

    pub(super) fn word_of_itself(&mut self, to: Id) -> Vec<Word> {
        let ill = self.peers.get(&to).and_then(|peer| peer.standing).is_some_and(|s| s.1 != Claim::Alive);
        if ill {
            self.word(to).into_iter().collect()
        } else {
            Vec::new()
        }
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    pub(super) fn ping(&mut self, now: f64, to: Id, purpose: Purpose, out: &mut Vec<Action>) {
        let number = self.next_number();
        self.out.insert(number, Out { to, at: now, purpose });
        self.send(to, What::Ping { number }, out);
    }

    pub(super) fn send(&mut self, to: Id, what: What, out: &mut Vec<Action>) {
        let words = self.words_for(to);
        self.post(to, words, what, out);
    }

    /// What can wait keeps to the budget.
    pub(super) fn send_within(&mut self, to: Id, what: What, out: &mut Vec<Action>) {
        let words = self.words_for(to);
        self.send_words(to, words, what, out);
    }

    pub(super) fn send_words(&mut self, to: Id, words: Vec<Word>, what: What, out: &mut Vec<Action>) {
        if self.purse < MOST as f64 {
            self.counts.withheld += 1;
            return;
        }
        let before = self.counts.sent_bytes;
        self.post(to, words, what, out);
        self.purse -= (self.counts.sent_bytes - before) as f64;
    }

    pub(super) fn post(&mut self, to: Id, words: Vec<Word>, what: What, out: &mut Vec<Action>) {
        let Some(addr) = self.peers.get(&to).map(|peer| peer.addr) else { return };
        let (from, incarnation, sum) = (self.me, self.incarnation, self.table.sum());
        let bytes = encode(self.mark, &Message { from, incarnation, sum, words, what });
        debug_assert!(bytes.len() <= MOST, "{} bytes", bytes.len());
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Action::Send { to: addr, bytes });
    }
}

/// It is told once more; what was told often enough is told no more.
fn tell_once<K: Ord>(left: &mut BTreeMap<K, u32>, what: K) {
    match left.get_mut(&what) {
        Some(left @ 2..) => *left -= 1,
        _ => drop(left.remove(&what)),
    }
}
