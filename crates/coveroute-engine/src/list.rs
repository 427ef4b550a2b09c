//! The list of executors, independent of any protocol: the listed executors and their addresses, and when others were
//! removed.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use coveroute::location::Location;
use coveroute::types::{Entry, ExecutorIndex, List, Settings, Standing};
use coveroute_shared::{position, Listed, Names, Roster};
use serde::{Deserialize, Serialize};

/// Seconds after its removal from which nothing more can arrive from an executor: many times the longest client timeouts.
const NUMBER_KEPT_FOR: f64 = 600.0;

/// An entry of the list, as its source gives it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    pub id: String,
    pub addr: Option<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: i64,
    /// When its process started; 0 means long ago.
    pub started: f64,
    /// The size that the list gives, without a unit.
    pub size: f64,
    pub standing: Standing,
}

/// The whole list or only its changed entries, depending on `full`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    pub version: u64,
    pub full: bool,
    pub hosts: Vec<Host>,
}

impl Listing {
    pub fn list(&self, entries: Vec<Entry>) -> List {
        if self.full {
            List::Whole(entries)
        } else {
            List::Changes(entries)
        }
    }
}

/// A change to the address of an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddressChange {
    Set(ExecutorIndex, SocketAddr),
    Removed(ExecutorIndex),
}

/// The executors that the node knows.
#[derive(Debug)]
pub struct Fleet {
    names: Names,
    roster: Roster,
    /// By number; `None` for executors that have no address or were removed.
    addrs: Vec<Option<SocketAddr>>,
    /// The listed executors with their latest entries.
    listed: BTreeMap<ExecutorIndex, Host>,
    /// Executors that were removed from the list, and when.
    gone: BTreeMap<ExecutorIndex, f64>,
    /// Whether executors keep their address when they are removed from the list. They do where only draining forbids
    /// sending (`Settings::only_draining`).
    keeps_addresses: bool,
}

impl Fleet {
    pub fn new(names: Names, keeps_addresses: bool) -> Self {
        Fleet {
            names,
            roster: Roster::default(),
            addrs: Vec::new(),
            listed: BTreeMap::new(),
            gone: BTreeMap::new(),
            keeps_addresses,
        }
    }

    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Applies new names and settings. Zones and kinds keep their numbers, and `settings` is converted from the new
    /// file's numbers to these.
    pub fn apply_settings(&mut self, mut names: Names, settings: &mut Settings) {
        let kept = &mut self.names;
        settings.zone = position(&mut kept.zones, &names.zones[settings.zone]);
        for operation in &mut settings.operations {
            // A number outside the file's names matches no executor there, so it must not match one here either.
            let mut number = |kind: usize| names.kinds.get(kind).map(|name| position(&mut kept.kinds, name));
            operation.kind = operation.kind.map(|kind| number(kind).unwrap_or(usize::MAX));
        }
        kept.tenants = std::mem::take(&mut names.tenants);
        self.keeps_addresses = settings.only_draining;
    }

    /// Number of listed executors.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// A warning if the listing removes every executor. Its source may have lost its data, so running jobs continue.
    pub fn emptied_warning(&self, listing: &Listing) -> Option<String> {
        let emptied = listing.full && listing.hosts.is_empty() && !self.listed.is_empty();
        let (version, before) = (listing.version, self.listed.len());
        emptied.then(|| {
            let sending = if self.keeps_addresses { "new jobs may still be sent to them" } else { "no new job is sent" };
            format!("list {version} is empty, {before} executors were listed before: running jobs continue, {sending} until an executor is listed")
        })
    }

    /// The current list.
    pub fn listing(&self, version: u64) -> Listing {
        Listing { version, full: true, hosts: self.listed.values().cloned().collect() }
    }

    /// The executor's number. Executors that were never listed get one too.
    pub fn number(&mut self, id: &str) -> ExecutorIndex {
        self.roster.number(id)
    }

    /// The location with its zone by name, for another process.
    pub fn named_location(&self, location: Location) -> Option<Location<String>> {
        let zone = self.names.zones.get(location.zone)?.clone();
        Some(Location { zone, cell: location.cell })
    }

    /// The location with its zone by number, as in this process.
    pub fn numbered_location(&mut self, location: &Location<String>) -> Location {
        Location { zone: position(&mut self.names.zones, &location.zone), cell: location.cell }
    }

    pub fn kind(&self, kind: usize) -> Option<&String> {
        self.names.kinds.get(kind)
    }

    pub fn kind_number(&mut self, kind: &str) -> usize {
        position(&mut self.names.kinds, kind)
    }

    pub fn known(&self, id: &str) -> Option<ExecutorIndex> {
        self.roster.known(id)
    }

    pub fn id(&self, executor_index: ExecutorIndex) -> &str {
        self.roster.id(executor_index)
    }

    pub fn mark(&self, executor_index: ExecutorIndex) -> u32 {
        coveroute_shared::mark(self.roster.id(executor_index))
    }

    pub fn by_mark(&self, mark: u32) -> Option<ExecutorIndex> {
        self.roster.by_mark(mark)
    }

    pub fn addr(&self, executor_index: ExecutorIndex) -> Option<SocketAddr> {
        self.addrs.get(executor_index).copied().flatten()
    }

    /// Applies a listing; returns the entries for the decisions and the changed addresses.
    pub fn apply(&mut self, now: f64, listing: &Listing) -> (Vec<Entry>, Vec<AddressChange>) {
        let (mut for_decisions, mut changes) = (self.release_numbers(now), Vec::new());
        if listing.full {
            self.listed.clear();
        }
        let mut entries: Vec<(Entry, Option<SocketAddr>)> = Vec::with_capacity(listing.hosts.len());
        for host in &listing.hosts {
            let entry = self.entry(host);
            self.listed.insert(entry.executor_index, host.clone());
            entries.push((entry, host.addr));
        }
        if listing.full {
            // Executors that a whole list lacks are removed.
            let mut present = vec![false; self.addrs.len()];
            entries
                .iter()
                .for_each(|(e, _)| present.iter_mut().skip(e.executor_index).take(1).for_each(|n| *n = true));
            let lacking = |&executor_index: &ExecutorIndex| {
                self.addrs[executor_index].is_some() && !present[executor_index]
            };
            let lacking: Vec<ExecutorIndex> = (0..self.addrs.len()).filter(lacking).collect();
            lacking.into_iter().for_each(|executor_index| self.remove(now, executor_index, &mut changes));
        }
        for (entry, addr) in entries {
            match (entry.standing, addr) {
                (Standing::Gone, _) => self.remove(now, entry.executor_index, &mut changes),
                (Standing::Ready | Standing::Missing | Standing::Draining, addr) => {
                    self.gone.remove(&entry.executor_index);
                    addr.into_iter()
                        .for_each(|addr| self.set_address(entry.executor_index, addr, &mut changes));
                }
            }
            for_decisions.push(entry);
        }
        (for_decisions, changes)
    }

    fn entry(&mut self, host: &Host) -> Entry {
        let Host { id, zone, kind, cell, started, size, standing, .. } = host;
        let (cell, started, size) = (*cell, *started, *size);
        let listed = Listed { id, zone, kind, cell, started, size, standing: *standing };
        self.roster.entry(&mut self.names, &listed)
    }

    fn set_address(
        &mut self,
        executor_index: ExecutorIndex,
        addr: SocketAddr,
        changes: &mut Vec<AddressChange>,
    ) {
        if self.addrs.len() <= executor_index {
            self.addrs.resize(executor_index + 1, None);
        }
        if self.addrs[executor_index].replace(addr) != Some(addr) {
            changes.push(AddressChange::Set(executor_index, addr));
        }
    }

    fn remove(&mut self, now: f64, executor_index: ExecutorIndex, changes: &mut Vec<AddressChange>) {
        self.listed.remove(&executor_index);
        if self.keeps_addresses {
            self.gone.entry(executor_index).or_insert(now);
            return;
        }
        self.addrs.iter_mut().skip(executor_index).take(1).for_each(|addr| *addr = None);
        self.gone.insert(executor_index, now);
        changes.push(AddressChange::Removed(executor_index));
    }

    /// Releases the numbers of executors that were removed long ago, so that memory does not grow without bound where
    /// machines are replaced by new ones. The returned entries have NaN as their start time, which makes the decisions
    /// discard what they have learned of them.
    fn release_numbers(&mut self, now: f64) -> Vec<Entry> {
        let long = |since: &f64| now - since > NUMBER_KEPT_FOR;
        let old: Vec<ExecutorIndex> =
            self.gone.iter().filter(|gone| long(gone.1)).map(|gone| *gone.0).collect();
        let blank = |&executor_index: &ExecutorIndex| {
            self.gone.remove(&executor_index);
            self.addrs.iter_mut().skip(executor_index).take(1).for_each(|addr| *addr = None);
            self.roster.release(executor_index);
            Entry { executor_index, started: f64::NAN, ..Entry::default() }
        };
        old.iter().map(blank).collect()
    }
}
