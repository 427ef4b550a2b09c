//! The list of executors, in no protocol's words: who is listed, where, and who has gone since when.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use coveroute::types::{Entry, List, Settings, Standing, Tgt};
use coveroute_shared::{position, Listed, Names, Roster};
use serde::{Deserialize, Serialize};

/// After this nothing can come from an executor that has gone: many times the longest client timeouts.
const FORGET_AFTER: f64 = 600.0;

/// One executor, as a source of the list words it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    pub id: String,
    pub addr: Option<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: i64,
    /// When its process started, 0 for long ago.
    pub started: f64,
    /// What the list says of its size, in no unit.
    pub size: f64,
    pub standing: Standing,
}

/// A whole list, or the entries that changed.
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

/// What became of one executor's address with a listing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Move {
    At(Tgt, SocketAddr),
    Gone(Tgt),
}

#[derive(Debug)]
pub struct Fleet {
    names: Names,
    roster: Roster,
    /// By number; none for who has no address, or has gone.
    addrs: Vec<Option<SocketAddr>>,
    /// Those that are listed, as the list last told of them.
    listed: BTreeMap<Tgt, Host>,
    /// Executors that are not listed any more, and since when.
    gone: BTreeMap<Tgt, f64>,
    /// Where only a drain binds, who is not listed any more may still be sent to: its address is kept.
    keeps: bool,
}

impl Fleet {
    pub fn new(names: Names, keeps: bool) -> Self {
        Fleet {
            names,
            roster: Roster::default(),
            addrs: Vec::new(),
            listed: BTreeMap::new(),
            gone: BTreeMap::new(),
            keeps,
        }
    }

    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Takes other names and rules over. Zones and kinds keep their numbers: what stands in the settings by
    /// the new file's numbers gets these.
    pub fn adopt(&mut self, mut names: Names, settings: &mut Settings) {
        let kept = &mut self.names;
        settings.zone = position(&mut kept.zones, &names.zones[settings.zone]);
        for operation in &mut settings.operations {
            // A number beyond the file's own names is no kind that any executor has: nor is it here.
            let mut named = |kind: usize| names.kinds.get(kind).map(|name| position(&mut kept.kinds, name));
            operation.kind = operation.kind.map(|kind| named(kind).unwrap_or(usize::MAX));
        }
        kept.tenants = std::mem::take(&mut names.tenants);
        self.keeps = settings.only_draining;
    }

    /// Executors that are listed now.
    pub fn listed_now(&self) -> usize {
        self.listed.len()
    }

    /// A line on a list that takes everything away: whoever made it may have forgotten all, and jobs under way go on.
    pub fn empties(&self, listing: &Listing) -> Option<String> {
        let empties = listing.full && listing.hosts.is_empty() && !self.listed.is_empty();
        let (version, before) = (listing.version, self.listed.len());
        empties.then(|| {
            let then = if self.keeps { "all may still be called" } else { "nothing new goes out" };
            format!("list {version} is empty, {before} executors were listed: what runs goes on, {then} until one is listed")
        })
    }

    /// The list as it is held.
    pub fn listing(&self, version: u64) -> Listing {
        Listing { version, full: true, hosts: self.listed.values().cloned().collect() }
    }

    /// The executor's number, also of one that was never listed here.
    pub fn number(&mut self, id: &str) -> Tgt {
        self.roster.number(id)
    }

    pub fn kind(&self, kind: usize) -> Option<&String> {
        self.names.kinds.get(kind)
    }

    pub fn numbered_kind(&mut self, kind: &str) -> usize {
        position(&mut self.names.kinds, kind)
    }

    pub fn known(&self, id: &str) -> Option<Tgt> {
        self.roster.known(id)
    }

    pub fn id(&self, tgt: Tgt) -> &str {
        self.roster.id(tgt)
    }

    pub fn mark(&self, tgt: Tgt) -> u32 {
        coveroute_shared::mark(self.roster.id(tgt))
    }

    pub fn marked(&self, mark: u32) -> Option<Tgt> {
        self.roster.marked(mark)
    }

    pub fn addr(&self, tgt: Tgt) -> Option<SocketAddr> {
        self.addrs.get(tgt).copied().flatten()
    }

    /// Takes a listing over; what the decisions are told, and what moves.
    pub fn listed(&mut self, now: f64, listing: &Listing) -> (Vec<Entry>, Vec<Move>) {
        let (mut told, mut moves) = (self.forget(now), Vec::new());
        if listing.full {
            self.listed.clear();
        }
        let mut entries: Vec<(Entry, Option<SocketAddr>)> = Vec::with_capacity(listing.hosts.len());
        for host in &listing.hosts {
            let entry = self.entry(host);
            self.listed.insert(entry.tgt, host.clone());
            entries.push((entry, host.addr));
        }
        if listing.full {
            // What a whole list lacks is gone.
            let mut named = vec![false; self.addrs.len()];
            entries.iter().for_each(|(e, _)| named.iter_mut().skip(e.tgt).take(1).for_each(|n| *n = true));
            let lacking = |&tgt: &Tgt| self.addrs[tgt].is_some() && !named[tgt];
            let lacking: Vec<Tgt> = (0..self.addrs.len()).filter(lacking).collect();
            lacking.into_iter().for_each(|tgt| self.leave(now, tgt, &mut moves));
        }
        for (entry, addr) in entries {
            match (entry.standing, addr) {
                (Standing::Gone, _) => self.leave(now, entry.tgt, &mut moves),
                (Standing::Ready | Standing::Missing | Standing::Draining, addr) => {
                    self.gone.remove(&entry.tgt);
                    addr.into_iter().for_each(|addr| self.settle(entry.tgt, addr, &mut moves));
                }
            }
            told.push(entry);
        }
        (told, moves)
    }

    fn entry(&mut self, host: &Host) -> Entry {
        let Host { id, zone, kind, cell, started, size, standing, .. } = host;
        let (cell, started, size) = (*cell, *started, *size);
        let listed = Listed { id, zone, kind, cell, started, size, standing: *standing };
        self.roster.entry(&mut self.names, &listed)
    }

    fn settle(&mut self, tgt: Tgt, addr: SocketAddr, moves: &mut Vec<Move>) {
        if self.addrs.len() <= tgt {
            self.addrs.resize(tgt + 1, None);
        }
        if self.addrs[tgt].replace(addr) != Some(addr) {
            moves.push(Move::At(tgt, addr));
        }
    }

    fn leave(&mut self, now: f64, tgt: Tgt, moves: &mut Vec<Move>) {
        self.listed.remove(&tgt);
        if self.keeps {
            self.gone.entry(tgt).or_insert(now);
            return;
        }
        self.addrs.iter_mut().skip(tgt).take(1).for_each(|addr| *addr = None);
        self.gone.insert(tgt, now);
        moves.push(Move::Gone(tgt));
    }

    /// Gives back the numbers of executors that have long gone. Guards against growth without end where
    /// machines are replaced by new ones. The decisions get a start time that is none, and so forget what
    /// they knew.
    fn forget(&mut self, now: f64) -> Vec<Entry> {
        let long = |since: &f64| now - since > FORGET_AFTER;
        let old: Vec<Tgt> = self.gone.iter().filter(|gone| long(gone.1)).map(|gone| *gone.0).collect();
        let blank = |&tgt: &Tgt| {
            self.gone.remove(&tgt);
            self.addrs.iter_mut().skip(tgt).take(1).for_each(|addr| *addr = None);
            self.roster.retire(tgt);
            Entry { tgt, started: f64::NAN, ..Entry::default() }
        };
        old.iter().map(blank).collect()
    }
}
