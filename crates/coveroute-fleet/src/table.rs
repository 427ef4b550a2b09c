//! The table of records. Each record is written by its owner alone, passed on by all members, and carries an upper
//! bound on its age.
//!
//! How the bound works: the owner's clock tells how long ago it wrote the record. A member that passes it on adds
//! the time it held it. A member that receives it adds the time since it sent the request that this answers, which
//! exceeds the time of the way back. Each uses its own monotonic clock, stretched by the maximum drift, so the sum
//! is never below the true age: with clocks that run at 1 - d to 1 + d of true time, age <= stated age <= age (1 +
//! d) / (1 - d) + the round trips on its way.
use std::collections::BTreeMap;

use coveroute::random::mix;
use serde::{Deserialize, Serialize};

use crate::member::{Claim, ClaimedStatus, Id, Incarnation};

/// The component of the dispatcher that a record belongs to. Each component defines its kind here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(pub u8);

impl Kind {
    /// A node's phase and what it holds.
    pub const NODE_STATUS: Kind = Kind(1);
    /// Rights to shares of limits.
    pub const RIGHTS: Kind = Kind(2);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub owner: Id,
    pub kind: Kind,
    pub key: u64,
}

/// A record as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub key: Key,
    pub incarnation: Incarnation,
    pub version: u64,
    /// Upper bound on the age, in milliseconds, rounded up.
    pub age: u32,
    pub life: u32,
    pub value: Vec<u8>,
}

impl Record {
    /// Upper bound on the encoded size without the value, in bytes.
    const MAX_OVERHEAD: usize = 48;

    pub fn max_len(&self) -> usize {
        Self::MAX_OVERHEAD + self.value.len()
    }
}

/// An upper bound on an age: `bound` at the local time `at`, growing since.
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
    /// Upper bound on the seconds of true time since the owner wrote it.
    pub age: f64,
}

/// The result of merging a received record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    Newer,
    /// The same version, with a lower bound on its age.
    TighterAge,
    Known,
    Expired,
    /// The owner has reached its limit on records, or the value is too long.
    Full,
}

/// Partitions of the table that are compared separately. 64 need 256 bytes of sums in a request, and limit an
/// answer to about a sixty-fourth of the table for each difference.
pub const PARTITIONS: usize = 64;
/// Upper limit on the length of a value, in bytes.
pub const MAX_VALUE_LEN: usize = 400;

#[derive(Clone, Debug)]
pub struct Table {
    entries: BTreeMap<Key, Entry>,
    /// The version of each expired record, and until when it is remembered. Age bounds differ between nodes, so an
    /// earlier version can survive elsewhere with a lower bound; it must not be accepted after a later one has
    /// expired here.
    tombstones: BTreeMap<Key, (Incarnation, u64, f64)>,
    sums: [u32; PARTITIONS],
    /// Maximum clock drift, as a fraction of true time, in either direction.
    drift: f64,
    /// Upper limit on records per owner.
    max_per_owner: usize,
}

fn partition(of: Id) -> usize {
    mix(u64::from(of.0)) as usize % PARTITIONS
}

/// The smallest key of this owner.
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

    /// The longest true time that can have passed while the local clock advanced by `span`.
    fn max_elapsed(&self, span: f64) -> f64 {
        span.max(0.0) / (1.0 - self.drift)
    }

    fn age(&self, now: f64, age: Age) -> f64 {
        age.bound + self.max_elapsed(now - age.at)
    }

    /// Writes a record as its owner. Returns its version, or none if there is no room.
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

    /// The latest version held here, expired or not.
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

    /// Merges a record received in answer to a request sent at `asked`.
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

    /// The record as it is passed on, or none once it has expired.
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

    /// Removes expired records.
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

    /// Moves the records written by the same process to its later incarnation.
    pub fn adopt_incarnation(&mut self, owner: Id, to: Incarnation) -> Vec<Key> {
        let own = |(key, entry): (&Key, &Entry)| (entry.incarnation.mark() == to.mark()).then_some(*key);
        let keys: Vec<Key> = self.entries_of(owner).filter_map(own).collect();
        for key in &keys {
            let entry = self.entries.get(key).cloned();
            entry.into_iter().for_each(|entry| self.insert(*key, Entry { incarnation: to, ..entry }));
        }
        keys
    }

    /// Removes everything about a member that is no longer listed.
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

    /// A member's claimed status is part of the sums, except that a suspicion, which is temporary, counts as alive.
    pub fn update_claimed_status(
        &mut self,
        of: Id,
        before: Option<ClaimedStatus>,
        after: Option<ClaimedStatus>,
    ) {
        let fingerprint = |(incarnation, claim): ClaimedStatus| {
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

    /// Whether the partition of this member differs from the other node's.
    pub fn differs(&self, of: Id, others: &[u32]) -> bool {
        others.get(partition(of)).is_some_and(|other| *other != self.sums[partition(of)])
    }

    pub fn keys_of(&self, owner: Id) -> impl Iterator<Item = Key> + '_ {
        self.entries_of(owner).map(|(key, _)| *key)
    }
}
