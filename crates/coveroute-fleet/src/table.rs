//! The table of records: each written by its owner alone, told on by all, and with a bound on its age.
//!
//! The bound: an owner's clock says how long ago it wrote. Who hands a record on adds how long it held it. Who takes one
//! in adds the time since it sent what this answers, which is more than the way back took. Each adds by its own
//! steady clock, stretched by the drift that is allowed for, so the sum is never less than the true age: with clocks
//! that run at 1 - d to 1 + d of true time, age <= told <= age (1 + d) / (1 - d) + the round trips on its way.
use std::collections::BTreeMap;

use coveroute::chance::mix;
use serde::{Deserialize, Serialize};

use crate::member::{Claim, Id, Incarnation, Standing};

/// Which part of the dispatcher a record is of. Parts add theirs here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(pub u8);

impl Kind {
    /// How a node stands: its phase, and what it holds.
    pub const STANDING: Kind = Kind(1);
    /// Rights to parts of limits.
    pub const RIGHTS: Kind = Kind(2);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub owner: Id,
    pub kind: Kind,
    pub key: u64,
}

/// A record on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub key: Key,
    pub incarnation: Incarnation,
    pub version: u64,
    /// In milliseconds, rounded up.
    pub age: u32,
    pub life: u32,
    pub value: Vec<u8>,
}

impl Record {
    /// Bytes that it takes at most, beside its value.
    const MAX_OVERHEAD: usize = 48;

    pub fn max_len(&self) -> usize {
        Self::MAX_OVERHEAD + self.value.len()
    }
}

/// A bound on an age: that much at that moment of the own clock, and growing since.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Age {
    bound: f64,
    at: f64,
}

#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    version: u64,
    value: Vec<u8>,
    life: f64,
    age: Age,
}

/// A record as its readers get it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading<'a> {
    pub key: Key,
    pub value: &'a [u8],
    pub incarnation: Incarnation,
    pub version: u64,
    /// The owner wrote it at most so long ago, in seconds of true time.
    pub age: f64,
}

/// What became of a record that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    Newer,
    /// The same one, with a closer bound on its age.
    TighterAge,
    Known,
    Expired,
    /// No room for more of this owner.
    Full,
}

/// Parts that are compared by themselves: 256 bytes of sums in a question, and a sixty-fourth of all in an answer's part.
pub const PARTITIONS: usize = 64;
/// The longest value.
pub const MAX_VALUE_LEN: usize = 400;

#[derive(Clone, Debug)]
pub struct Table {
    entries: BTreeMap<Key, Entry>,
    /// Which ones have ended, and until when they are remembered: bounds differ by node, and an earlier one that has a
    /// closer bound elsewhere must not come after a later one.
    tombstones: BTreeMap<Key, (Incarnation, u64, f64)>,
    sums: [u32; PARTITIONS],
    /// Clocks may run fast or slow by this part.
    drift: f64,
    /// Records of one owner at most.
    max_per_owner: usize,
}

fn partition(of: Id) -> usize {
    mix(u64::from(of.0)) as usize % PARTITIONS
}

/// The least key of this owner.
pub fn first_key(owner: Id) -> Key {
    Key { owner, kind: Kind(0), key: 0 }
}

fn fingerprint(key: &Key, incarnation: Incarnation, version: u64) -> u32 {
    let key = mix(u64::from(key.owner.0) << 8 | u64::from(key.kind.0)) ^ mix(key.key.wrapping_add(1));
    mix(key ^ mix(incarnation.0) ^ mix(version ^ 0x5bd1)) as u32
}

impl Table {
    pub fn new(drift: f64, max_per_owner: usize) -> Self {
        Table {
            entries: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            sums: [0; PARTITIONS],
            drift,
            max_per_owner,
        }
    }

    pub fn set_limits(&mut self, drift: f64, max_per_owner: usize) {
        (self.drift, self.max_per_owner) = (drift, max_per_owner);
    }

    /// True time that has passed at most while the own clock went on by this.
    fn max_elapsed(&self, span: f64) -> f64 {
        span.max(0.0) / (1.0 - self.drift)
    }

    fn age(&self, now: f64, age: Age) -> f64 {
        age.bound + self.max_elapsed(now - age.at)
    }

    /// The owner's own writing; the version that it got, or none where it has no room left.
    pub fn write(
        &mut self,
        now: f64,
        key: Key,
        incarnation: Incarnation,
        life: f64,
        value: &[u8],
    ) -> Option<u64> {
        let before = self.latest_known(&key);
        let version = before.map_or(1, |known| known.1 + 1);
        let fits =
            value.len() <= MAX_VALUE_LEN && (self.entries.contains_key(&key) || self.has_room(key.owner));
        fits.then(|| {
            let age = Age { bound: 0.0, at: now };
            self.insert(key, Entry { incarnation, version, value: value.to_vec(), life, age });
            version
        })
    }

    /// The last one that was held here, whether or not it has ended.
    fn latest_known(&self, key: &Key) -> Option<(Incarnation, u64)> {
        let held = self.entries.get(key).map(|held| (held.incarnation, held.version));
        held.or_else(|| self.tombstones.get(key).map(|ended| (ended.0, ended.1)))
    }

    fn has_room(&self, owner: Id) -> bool {
        self.entries_of(owner).count()
            + self.tombstones.range(first_key(owner)..).take_while(|(key, _)| key.owner == owner).count()
            < self.max_per_owner
    }

    fn entries_of(&self, owner: Id) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.range(first_key(owner)..).take_while(move |(key, _)| key.owner == owner)
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        self.tombstones.remove(&key);
        let new = fingerprint(&key, entry.incarnation, entry.version);
        let old =
            self.entries.insert(key, entry).map_or(0, |old| fingerprint(&key, old.incarnation, old.version));
        self.sums[partition(key.owner)] ^= old ^ new;
    }

    fn remove(&mut self, key: &Key) {
        if let Some(old) = self.entries.remove(key) {
            self.sums[partition(key.owner)] ^= fingerprint(key, old.incarnation, old.version);
        }
    }

    /// Takes in a record that came in answer to what was sent at `asked`.
    pub fn merge(&mut self, now: f64, asked: f64, record: Record) -> MergeResult {
        let (bound, life) = (f64::from(record.age) / 1e3, f64::from(record.life) / 1e3);
        let age = Age { bound: bound + self.max_elapsed(now - asked), at: now };
        if age.bound >= life {
            return MergeResult::Expired;
        }
        let (held, known) = (self.entries.get(&record.key), self.latest_known(&record.key));
        let new = (record.incarnation, record.version);
        if known.is_some_and(|known| known > new) {
            return MergeResult::Known;
        }
        if known == Some(new) {
            let tighter = held.is_some_and(|held| age.bound < self.age(now, held.age));
            let entry = self.entries.get_mut(&record.key).filter(|_| tighter);
            return entry.map_or(MergeResult::Known, |entry| {
                entry.age = age;
                MergeResult::TighterAge
            });
        }
        if record.value.len() > MAX_VALUE_LEN || held.is_none() && !self.has_room(record.key.owner) {
            return MergeResult::Full;
        }
        let Record { key, incarnation, version, value, .. } = record;
        self.insert(key, Entry { incarnation, version, value, life, age });
        MergeResult::Newer
    }

    /// As it is told on now; none once its life is over.
    pub fn record(&self, now: f64, key: &Key) -> Option<Record> {
        let entry = self.entries.get(key)?;
        let age = self.age(now, entry.age);
        (age < entry.life).then(|| Record {
            key: *key,
            incarnation: entry.incarnation,
            version: entry.version,
            age: (age * 1e3).ceil() as u32,
            life: (entry.life * 1e3).floor() as u32,
            value: entry.value.clone(),
        })
    }

    pub fn read(&self, now: f64, kind: Kind) -> impl Iterator<Item = Reading<'_>> {
        self.readings(now).filter(move |reading| reading.key.kind == kind)
    }

    pub fn readings(&self, now: f64) -> impl Iterator<Item = Reading<'_>> {
        self.entries.iter().filter_map(move |(key, entry)| {
            let Entry { incarnation, version, ref value, life, age } = *entry;
            let age = self.age(now, age);
            (age < life).then_some(Reading { key: *key, value, incarnation, version, age })
        })
    }

    /// Ends what has outlived its time.
    pub fn expire(&mut self, now: f64) {
        let expired = |(key, entry): (&Key, &Entry)| (self.age(now, entry.age) >= entry.life).then_some(*key);
        let expired: Vec<Key> = self.entries.iter().filter_map(expired).collect();
        for key in &expired {
            let remembered =
                self.entries.get(key).map(|held| (held.incarnation, held.version, now + held.life));
            self.tombstones.extend(remembered.map(|remembered| (*key, remembered)));
            self.remove(key);
        }
        self.tombstones.retain(|_, (.., until)| now < *until);
    }

    /// The same process speaks under a later incarnation: what it has written is written under that one.
    pub fn adopt_incarnation(&mut self, owner: Id, to: Incarnation) -> Vec<Key> {
        let own = |(key, entry): (&Key, &Entry)| (entry.incarnation.mark() == to.mark()).then_some(*key);
        let keys: Vec<Key> = self.entries_of(owner).filter_map(own).collect();
        for key in &keys {
            let entry = self.entries.get(key).cloned();
            entry.into_iter().for_each(|entry| self.insert(*key, Entry { incarnation: to, ..entry }));
        }
        keys
    }

    /// Forgets a member that is none any more.
    pub fn remove_owner(&mut self, owner: Id) {
        let keys: Vec<Key> = self.entries_of(owner).map(|(key, _)| *key).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.tombstones.retain(|key, _| key.owner != owner);
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a member counts in the sums as well; a suspicion, which passes, does not.
    pub fn update_standing(&mut self, of: Id, before: Option<Standing>, after: Option<Standing>) {
        let fingerprint = |(incarnation, claim): Standing| {
            let claim = if claim == Claim::Suspected { Claim::Alive } else { claim };
            mix(mix(incarnation.0) ^ u64::from(of.0) << 2 ^ claim as u64) as u32
        };
        self.sums[partition(of)] ^= before.map_or(0, fingerprint) ^ after.map_or(0, fingerprint);
    }

    pub fn sum(&self) -> u64 {
        self.sums.iter().fold(0, |sum, partial| mix(sum ^ u64::from(*partial)))
    }

    pub fn sums(&self) -> &[u32] {
        &self.sums
    }

    /// Whether what is known of this member, and its records, differ from the other's.
    pub fn differs(&self, of: Id, others: &[u32]) -> bool {
        others.get(partition(of)).is_some_and(|other| *other != self.sums[partition(of)])
    }

    pub fn keys_of(&self, owner: Id) -> impl Iterator<Item = Key> + '_ {
        self.entries_of(owner).map(|(key, _)| *key)
    }
}
