//! Executors: connections to executors, with one awc client per executor, so that one executor's connections
//! can be closed without the others', and with one limit on all together. awc itself gets no limit, so that
//! it neither resends nor queues requests.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::{Client, Connector};
use coveroute::types::Tgt;
use log::debug;

use crate::connection::Dialer;

/// Maximum age of a connection; practically unlimited, as executors may run for months.
const MAX_LIFETIME: Duration = Duration::from_secs(100_000_000);
/// Share of the executors' idle timeout after which connections are closed here. The rest covers the network
/// delay, so that nothing is written to a connection that the executor is closing.
const IDLE_SHARE: f64 = 0.8;

/// The connections to one executor.
struct Link {
    addr: SocketAddr,
    client: Client,
    /// Number of connections in use.
    leased: Rc<Cell<usize>>,
    /// The most connections ever in use at once: awc keeps no more open.
    peak: usize,
}

/// Executors without a connection in use, the longest idle first, each at most once. Entries may be out of
/// date: some executors have connections in use again.
#[derive(Default)]
struct IdleQueue {
    queue: VecDeque<Tgt>,
    queued: Vec<bool>,
}

impl IdleQueue {
    fn push(&mut self, tgt: Tgt) {
        self.queued.resize(self.queued.len().max(tgt + 1), false);
        if !std::mem::replace(&mut self.queued[tgt], true) {
            self.queue.push_back(tgt);
        }
    }

    fn pop(&mut self) -> Option<Tgt> {
        let tgt = self.queue.pop_front()?;
        self.queued[tgt] = false;
        Some(tgt)
    }
}

/// The right to use one connection to an executor; returned when dropped.
pub struct Lease {
    tgt: Tgt,
    client: Client,
    addr: SocketAddr,
    leased: Rc<Cell<usize>>,
    idle_executors: Rc<RefCell<IdleQueue>>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.leased.set(self.leased.get() - 1);
        if self.leased.get() == 0 {
            self.idle_executors.borrow_mut().push(self.tgt);
        }
    }
}

impl Lease {
    pub fn client(&self) -> &Client {
        &self.client
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// How long an executor may take to acknowledge a job.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Until the missing acknowledgement is reported.
    pub heard: Duration,
    /// Until the forward is given up.
    pub taken: Duration,
}

/// The connections to all executors.
pub struct Links {
    links: Vec<Option<Link>>,
    /// Upper bound on the open connections: the sum of all peaks.
    open: usize,
    idle_executors: Rc<RefCell<IdleQueue>>,
    /// Maximum number of connections of the node.
    most: usize,
    /// This process's share of that: all, unless another process of the node is alive.
    part: usize,
    /// Connect timeout.
    dial: Duration,
    /// Idle time after which connections are closed.
    idle: Duration,
}

impl Links {
    pub fn new(most: usize, dial: Duration, idle: Duration) -> Self {
        let idle = idle.mul_f64(IDLE_SHARE);
        Links { links: Vec::new(), open: 0, idle_executors: Rc::default(), most, part: most, dial, idle }
    }

    fn client(&self) -> Client {
        let connector = Connector::new().connector(Dialer::new(self.dial)).limit(0).timeout(self.dial);
        let connector = connector.conn_keep_alive(self.idle).conn_lifetime(MAX_LIFETIME);
        let builder = Client::builder().connector(connector).disable_redirects().disable_timeout();
        builder.no_default_headers().finish()
    }

    /// Sets the executor's address. If it changed, the old connections are dropped.
    pub fn listed(&mut self, tgt: Tgt, addr: SocketAddr) {
        if self.links.len() <= tgt {
            self.links.resize_with(tgt + 1, || None);
        }
        if self.links[tgt].as_ref().is_none_or(|link| link.addr != addr) {
            let link = Link { addr, client: self.client(), leased: Rc::default(), peak: 0 };
            self.gone(tgt);
            self.links[tgt] = Some(link);
        }
    }

    /// Forgets an executor that is not listed any more.
    pub fn gone(&mut self, tgt: Tgt) {
        let link = self.links.get_mut(tgt).and_then(Option::take);
        self.open -= link.map_or(0, |link| link.peak);
    }

    /// Leases a connection to the executor, if its address is known and the limit allows it.
    pub fn lease(&mut self, tgt: Tgt) -> Option<Lease> {
        let link = self.links.get(tgt)?.as_ref()?;
        if link.leased.get() >= link.peak {
            if !self.make_room() {
                debug!("connection limit reached: none available for executor {tgt}");
                return None;
            }
            self.links[tgt].as_mut()?.peak += 1;
            self.open += 1;
        }
        let link = self.links[tgt].as_ref()?;
        link.leased.set(link.leased.get() + 1);
        let (client, leased) = (link.client.clone(), link.leased.clone());
        Some(Lease { tgt, client, addr: link.addr, leased, idle_executors: self.idle_executors.clone() })
    }

    /// Makes room for one more connection, if necessary by closing the idle ones of the executor that has had
    /// none in use for the longest. The amortized cost depends on neither the number of executors nor that of
    /// connections: every entry that is taken from the queue was added by a returned lease.
    fn make_room(&mut self) -> bool {
        while self.open >= self.part {
            let Some(tgt) = self.idle_executors.borrow_mut().pop() else { return false };
            self.release(tgt);
        }
        true
    }

    /// Closes the connections to the executor if none of them is in use.
    pub fn release(&mut self, tgt: Tgt) {
        let unused = |link: &&mut Link| link.leased.get() == 0 && link.peak > 0;
        let Some(link) = self.links.get_mut(tgt).and_then(Option::as_mut).filter(unused) else { return };
        self.open -= std::mem::take(&mut link.peak);
        let client = self.client();
        self.links[tgt].iter_mut().for_each(|link| link.client = client.clone());
    }

    /// Sets whether half of the limit belongs to another process of the node.
    pub fn share(&mut self, paired: bool) {
        self.part = if paired { self.most / 2 } else { self.most };
    }

    /// Changes the connect timeout and the idle timeout. Connections in use finish with the old ones.
    pub fn retune(&mut self, dial: Duration, idle: Duration) {
        let idle = idle.mul_f64(IDLE_SHARE);
        if (self.dial, self.idle) == (dial, idle) {
            return;
        }
        (self.dial, self.idle) = (dial, idle);
        let clients: Vec<Client> = self.links.iter().map(|_| self.client()).collect();
        for (link, client) in self.links.iter_mut().zip(clients) {
            link.iter_mut().for_each(|link| (link.client, link.peak) = (client.clone(), link.leased.get()));
        }
        self.open = self.links.iter().flatten().map(|link| link.peak).sum();
    }

    /// Time limit for a probe, or for telling an executor to give up a job: twice the connect timeout.
    pub fn patience(&self) -> Duration {
        2 * self.dial
    }

    /// Time limits for acknowledging a job. Healthy executors, even with work waiting, acknowledge within a
    /// fifth of the connect timeout. One that is later was paused, or is running the job and reports it with
    /// its first progress update.
    pub fn taken_within(&self) -> Patience {
        Patience { heard: self.dial, taken: 10 * self.dial }
    }
}
