//! Executors: connections to executors, with one awc client per executor, so that one executor's connections
//! can be closed without the others', and with one limit on all together. awc itself gets no limit, so that
//! it neither resends nor queues requests.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::{Client, Connector};
use coveroute::types::ExecutorIndex;
use log::debug;

use crate::connection::Dialer;

/// Maximum age of a connection; practically unlimited, as executors may run for months.
const MAX_LIFETIME: Duration = Duration::from_secs(100_000_000);
/// Share of the executors' idle timeout after which connections are closed here. The rest covers the network
/// delay, so that nothing is written to a connection that the executor is closing.
const IDLE_SHARE: f64 = 0.8;

/// The connections to one executor.
struct ExecutorPool {
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
    queue: VecDeque<ExecutorIndex>,
    queued: Vec<bool>,
}

impl IdleQueue {
    fn push(&mut self, executor_index: ExecutorIndex) {
        self.queued.resize(self.queued.len().max(executor_index + 1), false);
        if !std::mem::replace(&mut self.queued[executor_index], true) {
            self.queue.push_back(executor_index);
        }
    }

    fn pop(&mut self) -> Option<ExecutorIndex> {
        let executor_index = self.queue.pop_front()?;
        self.queued[executor_index] = false;
        Some(executor_index)
    }
}

/// The right to use one connection to an executor; returned when dropped.
pub struct Lease {
    executor_index: ExecutorIndex,
    client: Client,
    addr: SocketAddr,
    leased: Rc<Cell<usize>>,
    idle_executors: Rc<RefCell<IdleQueue>>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.leased.set(self.leased.get() - 1);
        if self.leased.get() == 0 {
            self.idle_executors.borrow_mut().push(self.executor_index);
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
pub struct AckTimeouts {
    /// Until the missing acknowledgement is reported.
    pub report_after: Duration,
    /// Until the forward is given up.
    pub give_up_after: Duration,
}

/// The connections to all executors.
pub struct ExecutorConnections {
    pools: Vec<Option<ExecutorPool>>,
    /// Upper bound on the open connections: the sum of all peaks.
    open: usize,
    idle_executors: Rc<RefCell<IdleQueue>>,
    /// Maximum number of connections of the node.
    most: usize,
    /// This process's share of that: all, unless another process of the node is alive.
    limit: usize,
    /// Connect timeout.
    dial: Duration,
    /// Idle time after which connections are closed.
    idle: Duration,
}

impl ExecutorConnections {
    pub fn new(most: usize, dial: Duration, idle: Duration) -> Self {
        let idle = idle.mul_f64(IDLE_SHARE);
        ExecutorConnections {
            pools: Vec::new(),
            open: 0,
            idle_executors: Rc::default(),
            most,
            limit: most,
            dial,
            idle,
        }
    }

    fn client(&self) -> Client {
        let connector = Connector::new().connector(Dialer::new(self.dial)).limit(0).timeout(self.dial);
        let connector = connector.conn_keep_alive(self.idle).conn_lifetime(MAX_LIFETIME);
        let builder = Client::builder().connector(connector).disable_redirects().disable_timeout();
        builder.no_default_headers().finish()
    }

    /// Sets the executor's address. If it changed, the old connections are dropped.
    pub fn set_address(&mut self, executor_index: ExecutorIndex, addr: SocketAddr) {
        if self.pools.len() <= executor_index {
            self.pools.resize_with(executor_index + 1, || None);
        }
        if self.pools[executor_index].as_ref().is_none_or(|pool| pool.addr != addr) {
            let pool = ExecutorPool { addr, client: self.client(), leased: Rc::default(), peak: 0 };
            self.remove(executor_index);
            self.pools[executor_index] = Some(pool);
        }
    }

    /// Forgets an executor that is not listed any more.
    pub fn remove(&mut self, executor_index: ExecutorIndex) {
        let pool = self.pools.get_mut(executor_index).and_then(Option::take);
        self.open -= pool.map_or(0, |pool| pool.peak);
    }

    /// Leases a connection to the executor, if its address is known and the limit allows it.
    pub fn lease(&mut self, executor_index: ExecutorIndex) -> Option<Lease> {
        let pool = self.pools.get(executor_index)?.as_ref()?;
        if pool.leased.get() >= pool.peak {
            if !self.make_room() {
                debug!("connection limit reached: none available for executor {executor_index}");
                return None;
            }
            self.pools[executor_index].as_mut()?.peak += 1;
            self.open += 1;
        }
        let pool = self.pools[executor_index].as_ref()?;
        pool.leased.set(pool.leased.get() + 1);
        let (client, leased) = (pool.client.clone(), pool.leased.clone());
        Some(Lease {
            executor_index,
            client,
            addr: pool.addr,
            leased,
            idle_executors: self.idle_executors.clone(),
        })
    }

    /// Makes room for one more connection, if necessary by closing the idle ones of the executor that has had
    /// none in use for the longest. The amortized cost depends on neither the number of executors nor that of
    /// connections: every entry that is taken from the queue was added by a returned lease.
    fn make_room(&mut self) -> bool {
        while self.open >= self.limit {
            let Some(executor_index) = self.idle_executors.borrow_mut().pop() else { return false };
            self.close_idle(executor_index);
        }
        true
    }

    /// Closes the connections to the executor if none of them is in use.
    pub fn close_idle(&mut self, executor_index: ExecutorIndex) {
        let unused = |pool: &&mut ExecutorPool| pool.leased.get() == 0 && pool.peak > 0;
        let Some(pool) = self.pools.get_mut(executor_index).and_then(Option::as_mut).filter(unused) else {
            return;
        };
        self.open -= std::mem::take(&mut pool.peak);
        let client = self.client();
        self.pools[executor_index].iter_mut().for_each(|pool| pool.client = client.clone());
    }

    /// Sets whether half of the limit belongs to another process of the node.
    pub fn set_paired(&mut self, paired: bool) {
        self.limit = if paired { self.most / 2 } else { self.most };
    }

    /// Changes the connect timeout and the idle timeout. Connections in use finish with the old ones.
    pub fn set_timeouts(&mut self, dial: Duration, idle: Duration) {
        let idle = idle.mul_f64(IDLE_SHARE);
        if (self.dial, self.idle) == (dial, idle) {
            return;
        }
        (self.dial, self.idle) = (dial, idle);
        let clients: Vec<Client> = self.pools.iter().map(|_| self.client()).collect();
        for (pool, client) in self.pools.iter_mut().zip(clients) {
            pool.iter_mut().for_each(|pool| (pool.client, pool.peak) = (client.clone(), pool.leased.get()));
        }
        self.open = self.pools.iter().flatten().map(|pool| pool.peak).sum();
    }

    /// Time limit for a probe, or for telling an executor to give up a job: twice the connect timeout.
    pub fn request_timeout(&self) -> Duration {
        2 * self.dial
    }

    /// Time limits for acknowledging a job. Healthy executors, even with work waiting, acknowledge within a
    /// fifth of the connect timeout. One that is later was paused, or is running the job and reports it with
    /// its first progress update.
    pub fn ack_timeouts(&self) -> AckTimeouts {
        AckTimeouts { report_after: self.dial, give_up_after: 10 * self.dial }
    }
}
