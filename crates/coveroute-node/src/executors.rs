//! Connections to executors: one awc client each, so that those of one can be closed without the others', and
//! a bound on all together. awc itself neither resends nor queues here: it is given no limit of its own.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::{Client, Connector};
use coveroute::types::Tgt;
use log::debug;

use crate::connection::Dialer;

/// The longest that a connection is kept: executors may live for months.
const LIFETIME: Duration = Duration::from_secs(100_000_000);
/// Of the idle time after which executors close: the rest covers the way there, so that nothing is written to
/// a connection that is being closed.
const IDLE_SHARE: f64 = 0.8;

struct Link {
    addr: SocketAddr,
    client: Client,
    lent: Rc<Cell<usize>>,
    /// The most ever lent at once: awc keeps no more open.
    peak: usize,
}

/// Executors none of whose connections is lent, the longest so first, each once; some have been lent again since.
#[derive(Default)]
struct Idlers {
    queue: VecDeque<Tgt>,
    queued: Vec<bool>,
}

impl Idlers {
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

/// The right to use one connection to an executor.
pub struct Lease {
    tgt: Tgt,
    client: Client,
    addr: SocketAddr,
    lent: Rc<Cell<usize>>,
    idlers: Rc<RefCell<Idlers>>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.lent.set(self.lent.get() - 1);
        if self.lent.get() == 0 {
            self.idlers.borrow_mut().push(self.tgt);
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

/// How long an executor may take to say that it has a job: before that is told, and before it is given up.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    pub heard: Duration,
    pub taken: Duration,
}

pub struct Links {
    links: Vec<Option<Link>>,
    /// The sum of all peaks.
    open: usize,
    idlers: Rc<RefCell<Idlers>>,
    most: usize,
    /// Of these, the part of this process: all, unless another one of this node lives.
    part: usize,
    dial: Duration,
    idle: Duration,
}

impl Links {
    pub fn new(most: usize, dial: Duration, idle: Duration) -> Self {
        let idle = idle.mul_f64(IDLE_SHARE);
        Links { links: Vec::new(), open: 0, idlers: Rc::default(), most, part: most, dial, idle }
    }

    fn client(&self) -> Client {
        let connector = Connector::new().connector(Dialer::new(self.dial)).limit(0).timeout(self.dial);
        let connector = connector.conn_keep_alive(self.idle).conn_lifetime(LIFETIME);
        let builder = Client::builder().connector(connector).disable_redirects().disable_timeout();
        builder.no_default_headers().finish()
    }

    /// Where the executor listens; at a new address nothing of the old connections is kept.
    pub fn listed(&mut self, tgt: Tgt, addr: SocketAddr) {
        if self.links.len() <= tgt {
            self.links.resize_with(tgt + 1, || None);
        }
        if self.links[tgt].as_ref().is_none_or(|link| link.addr != addr) {
            let link = Link { addr, client: self.client(), lent: Rc::default(), peak: 0 };
            self.gone(tgt);
            self.links[tgt] = Some(link);
        }
    }

    pub fn gone(&mut self, tgt: Tgt) {
        let link = self.links.get_mut(tgt).and_then(Option::take);
        self.open -= link.map_or(0, |link| link.peak);
    }

    /// A connection to the executor, if it has an address and the bound allows one.
    pub fn lease(&mut self, tgt: Tgt) -> Option<Lease> {
        let link = self.links.get(tgt)?.as_ref()?;
        if link.lent.get() >= link.peak {
            if !self.has_room() {
                debug!("no descriptor left for executor {tgt}");
                return None;
            }
            self.links[tgt].as_mut()?.peak += 1;
            self.open += 1;
        }
        let link = self.links[tgt].as_ref()?;
        link.lent.set(link.lent.get() + 1);
        let (client, lent, idlers) = (link.client.clone(), link.lent.clone(), self.idlers.clone());
        Some(Lease { tgt, client, addr: link.addr, lent, idlers })
    }

    /// Makes room for one more connection, by closing the idle ones of another executor where it must: who has lent
    /// none for the longest. Its cost depends on neither the executors nor the connections: one comes off the queue for
    /// each that was given back.
    fn has_room(&mut self) -> bool {
        while self.open >= self.part {
            let Some(tgt) = self.idlers.borrow_mut().pop() else { return false };
            self.release(tgt);
        }
        true
    }

    /// Closes the idle connections to the executor.
    pub fn release(&mut self, tgt: Tgt) {
        let unused = |link: &&mut Link| link.lent.get() == 0 && link.peak > 0;
        let Some(link) = self.links.get_mut(tgt).and_then(Option::as_mut).filter(unused) else { return };
        self.open -= std::mem::take(&mut link.peak);
        let client = self.client();
        self.links[tgt].iter_mut().for_each(|link| link.client = client.clone());
    }

    /// From now on half of the bound is another process's, or no more.
    pub fn share(&mut self, paired: bool) {
        self.part = if paired { self.most / 2 } else { self.most };
    }

    /// From now on connections may take, and stand idle, for so long. Those that are lent end as they began.
    pub fn retune(&mut self, dial: Duration, idle: Duration) {
        let idle = idle.mul_f64(IDLE_SHARE);
        if (self.dial, self.idle) == (dial, idle) {
            return;
        }
        (self.dial, self.idle) = (dial, idle);
        let clients: Vec<Client> = self.links.iter().map(|_| self.client()).collect();
        for (link, client) in self.links.iter_mut().zip(clients) {
            link.iter_mut().for_each(|link| (link.client, link.peak) = (client.clone(), link.lent.get()));
        }
        self.open = self.links.iter().flatten().map(|link| link.peak).sum();
    }

    /// How long a probe, or telling an executor to give up, may take: as long as two connections.
    pub fn patience(&self) -> Duration {
        2 * self.dial
    }

    /// Healthy executors, with work waiting, say within a fifth of a connection's time that they have a job. One
    /// that says so later has paused, or runs it and tells with its first progress note.
    pub fn taken_within(&self) -> Patience {
        Patience { heard: self.dial, taken: 10 * self.dial }
    }
}
