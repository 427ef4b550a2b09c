//! The discovery service: the list of executors, its watches and when each is updated. It may be late, down,
//! stale or empty.
use std::net::SocketAddr;

use coveroute::types::Standing;
use coveroute_engine::{Host, Listing};

use crate::scenario::Discovery as Limits;
use crate::world::{NodeId, WorkerId};

#[derive(Clone, Debug)]
struct Entry {
    host: Host,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    number: u64,
    sent: u64,
}

#[derive(Debug)]
pub struct Discovery {
    entries: Vec<Entry>,
    version: u64,
    watches: Vec<Option<Watch>>,
    pub down: bool,
    pub stale: bool,
    pub empty: bool,
    /// Additional delay of updates, in seconds.
    pub late: f64,
    /// When it was last degraded in any way.
    pub last_degraded: f64,
    /// Calls for a watch.
    pub calls: u64,
    /// Calls refused.
    pub refused: u64,
    /// The time until which accepted work keeps it busy.
    busy: f64,
    /// By node: the call that waits for its answer.
    waiting: Vec<Option<(u64, u64)>>,
}

impl Discovery {
    pub fn new(hosts: Vec<Host>, nodes: usize) -> Self {
        let entries = hosts.into_iter().map(|host| Entry { host, version: 1 }).collect();
        let (down, stale, empty, late, last_degraded) = (false, false, false, 0.0, f64::NEG_INFINITY);
        Discovery {
            entries,
            version: 1,
            watches: vec![None; nodes],
            down,
            stale,
            empty,
            late,
            last_degraded,
            calls: 0,
            refused: 0,
            busy: f64::NEG_INFINITY,
            waiting: vec![None; nodes],
        }
    }

    pub fn is_healthy(&self) -> bool {
        !(self.down || self.stale || self.empty || self.late > 0.0)
    }

    /// A worker's standing, its start time and the version of the entry.
    pub fn entry(&self, worker: WorkerId) -> (Standing, f64, u64) {
        let Entry { host, version } = &self.entries[worker];
        (host.standing, host.started, *version)
    }

    /// Changes a worker's standing; returns the version of the change.
    pub fn change(&mut self, worker: WorkerId, standing: Standing, started: f64) -> u64 {
        self.version += 1;
        let entry = &mut self.entries[worker];
        (entry.host.standing, entry.host.started, entry.version) = (standing, started, self.version);
        self.version
    }

    pub fn moved(&mut self, worker: WorkerId, addr: SocketAddr) {
        self.entries[worker].host.addr = Some(addr);
    }

    /// The complete current list.
    pub fn full_list(&self) -> Listing {
        let listed = |entry: &&Entry| entry.host.standing != Standing::Gone && !self.empty;
        let hosts = self.entries.iter().filter(listed).map(|entry| entry.host.clone()).collect();
        Listing { version: self.version, full: true, hosts }
    }

    /// A node asks for a watch with this number, starting after a version. Returns when the answer comes and
    /// whether it is a refusal.
    pub fn request_watch(
        &mut self,
        now: f64,
        node: NodeId,
        watch: (u64, u64),
        limits: &Limits,
    ) -> (f64, bool) {
        self.watches[node] = None;
        self.waiting[node] = Some(watch);
        let lines = self.entries.iter().filter(|entry| entry.version > watch.1).count();
        let turn = self.occupy(now, limits.call.0 + lines as f64, limits);
        let refused = turn - now > limits.patience.0;
        self.refused += u64::from(refused);
        (if refused { now + limits.patience.0 } else { turn }, refused)
    }

    /// Takes the waiting call, if it is still the one of this number.
    pub fn take_waiting(&mut self, node: NodeId, watch: u64) -> Option<(u64, u64)> {
        self.waiting[node].take_if(|asked| asked.0 == watch)
    }

    /// The time until which it is busy, if it is.
    pub fn busy_until(&self, now: f64) -> Option<f64> {
        (self.busy > now).then_some(self.busy)
    }

    /// Accepts work of this many lines; returns when it is done.
    pub fn occupy(&mut self, now: f64, lines: f64, limits: &Limits) -> f64 {
        let takes = if limits.lines.0 > 0.0 { lines / limits.lines.0 } else { 0.0 };
        self.busy = self.busy.max(now) + takes;
        self.busy
    }

    /// Starts a watch after a version and returns the first update; none if the service is down.
    pub fn watch(&mut self, node: NodeId, number: u64, from: u64) -> Option<Option<Listing>> {
        self.calls += 1;
        self.watches[node] = None;
        if self.down {
            return None;
        }
        self.watches[node] = Some(Watch { number, sent: from });
        Some(if self.stale { None } else { self.pending_update(node).map(|told| told.1) })
    }

    /// The changes that a watch has not been sent yet, with the watch's number.
    pub fn pending_update(&mut self, node: NodeId) -> Option<(u64, Listing)> {
        if self.down || self.stale {
            return None;
        }
        let watch = self.watches[node]?;
        if watch.sent >= self.version {
            return None;
        }
        let listing = if watch.sent == 0 || self.empty {
            self.full_list()
        } else {
            let changed = |entry: &&Entry| entry.version > watch.sent;
            let hosts = self.entries.iter().filter(changed).map(|entry| entry.host.clone()).collect();
            Listing { version: self.version, full: false, hosts }
        };
        self.watches[node] = Some(Watch { sent: self.version, ..watch });
        Some((watch.number, listing))
    }

    pub fn watched(&self, node: NodeId) -> bool {
        self.watches[node].is_some()
    }

    pub fn unwatch(&mut self, node: NodeId) -> Option<u64> {
        self.waiting[node] = None;
        self.watches[node].take().map(|watch| watch.number)
    }

    /// Empties the list or restores it; every watch is then sent the complete list.
    pub fn set_empty(&mut self, empty: bool) {
        (self.empty, self.version) = (empty, self.version + 1);
        self.watches.iter_mut().flatten().for_each(|watch| watch.sent = 0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{Amount, Positive};

    fn host(id: &str) -> Host {
        let (id, zone, kind) = (id.to_owned(), String::new(), String::new());
        let addr = Some(([127, 0, 0, 1], 1).into());
        Host { id, addr, zone, kind, cell: 0, started: 0.0, size: 1.0, standing: Standing::Ready }
    }

    fn ids(listing: Option<Listing>) -> Option<(bool, Vec<String>)> {
        listing.map(|l| (l.full, l.hosts.into_iter().map(|host| host.id).collect()))
    }

    #[test]
    fn a_watch_receives_each_change_once() {
        let mut list = Discovery::new(vec![host("a"), host("b")], 1);
        assert_eq!(list.watch(0, 1, 0).map(ids), Some(Some((true, vec!["a".into(), "b".into()]))));
        assert!(list.pending_update(0).is_none());
        list.change(1, Standing::Draining, 0.0);
        assert_eq!(ids(list.pending_update(0).map(|told| told.1)), Some((false, vec!["b".into()])));
        assert!(list.pending_update(0).is_none());
    }

    #[test]
    fn calls_beyond_the_patience_are_refused_but_occupy_the_service() {
        let limits =
            Limits { lines: Amount(10.0), call: Amount(4.0), patience: Positive(1.0), ..Limits::default() };
        let mut list = Discovery::new(vec![host("a")], 3);
        // Five lines for each call at ten lines a second: the third would wait 1.5 s.
        let asked: Vec<(f64, bool)> =
            (0..3).map(|node| list.request_watch(0.0, node, (1, 0), &limits)).collect();
        assert_eq!(asked, [(0.5, false), (1.0, false), (1.0, true)]);
        assert_eq!((list.request_watch(1.0, 2, (2, 0), &limits), list.refused), ((2.0, false), 1));
        assert_eq!(
            (list.take_waiting(2, 1), list.take_waiting(2, 2), list.take_waiting(2, 2)),
            (None, Some((2, 0)), None)
        );
        assert_eq!((list.busy_until(1.9), list.busy_until(2.0)), (Some(2.0), None));
    }

    #[test]
    fn stale_down_and_empty_lists() {
        let mut list = Discovery::new(vec![host("a"), host("b")], 1);
        list.watch(0, 1, 0);
        list.change(0, Standing::Gone, 0.0);
        list.stale = true;
        assert!(list.pending_update(0).is_none() && list.watch(0, 2, 1) == Some(None));
        (list.stale, list.down) = (false, true);
        assert!(list.watch(0, 3, 1).is_none() && !list.watched(0));
        list.down = false;
        assert_eq!(list.watch(0, 4, 1).map(ids), Some(Some((false, vec!["a".into()]))));
        list.set_empty(true);
        assert_eq!(ids(list.pending_update(0).map(|told| told.1)), Some((true, vec![])));
        list.set_empty(false);
        assert_eq!(ids(list.pending_update(0).map(|told| told.1)), Some((true, vec!["b".into()])));
        assert!(list.is_healthy());
    }
}
