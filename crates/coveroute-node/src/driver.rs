//! The driver: owns the engine and the clock, gives it everything that happens, and carries out its actions.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use coveroute::types::{InvId, Outcome, Report, Reports, Tgt, Told};
use coveroute_engine::{Action, Engine, Event, News, Phase, Reply, Setup, Watched};
use log::{error, info};
use tokio::sync::{mpsc, oneshot};

use crate::clock::{seconds, Clock};
use crate::config::Config;
use crate::discovery::Discovery;
use crate::executors::{give_up, probe, Links};
use crate::peers::Peers;
use crate::phase::Life;
use crate::relay::Answer;
use crate::send;
use crate::take_in::Job;

pub type Happenings = mpsc::UnboundedSender<Happening>;

/// What the units on sockets tell the driver.
pub enum Happening {
    Taken(InvId, Box<Job>, oneshot::Sender<Answer>),
    /// The client has closed its connection.
    Left(InvId),
    Replied(InvId, usize, Reply),
    News(News),
    Probed(Tgt, Outcome, Report),
    Watch(u64, Watched),
    /// Another node's message.
    Heard {
        from: usize,
        told: Told,
        mark: u32,
        count: u8,
    },
    /// The operators ask for the configuration to be read anew: what it says, or why it is not fit.
    Reload(Result<Box<Config>, String>),
    /// The platform asks the node to stop.
    Stop,
}

/// How often a node that closes looks whether it may end.
const LOOK_EVERY: f64 = 0.02;

/// What is kept of a job until its client has the final answer.
struct Held {
    job: Rc<Job>,
    answer: oneshot::Sender<Answer>,
}

pub struct Driver {
    clock: Clock,
    engine: Engine,
    life: Rc<Life>,
    links: Links,
    discovery: Discovery,
    held: HashMap<InvId, Held>,
    /// What sends a forward; stopped when it is given up before an answer, which closes the connection.
    sending: HashMap<(InvId, usize), JoinHandle<()>>,
    reports: bool,
    /// Where nodes may tell each other.
    peers: Option<Peers>,
    happenings: Happenings,
    /// Kept for the next event's actions.
    actions: Vec<Action>,
}

impl Driver {
    pub fn new(
        config: Config,
        clock: Clock,
        life: Rc<Life>,
        links: Links,
        happenings: Happenings,
    ) -> Result<Self, String> {
        life.take_lists_from(config.pushed_by());
        let Config { settings, names, seed, timeouts, known, discovery, peers, .. } = config;
        let listen = |addrs: Vec<SocketAddr>| {
            let me = addrs[settings.me];
            Peers::new(settings.me, addrs, happenings.clone()).map_err(|e| format!("peers: {me}: {e}"))
        };
        let peers = peers.map(listen).transpose()?;
        let reports = settings.reports != Reports::Never;
        let setup = Setup { settings, names, seed, timeouts, known };
        let mut actions = Vec::new();
        let mut driver = Driver {
            clock,
            engine: Engine::new(clock.now(), setup, &mut actions),
            life,
            links,
            discovery: Discovery::new(discovery, happenings.clone()),
            held: HashMap::new(),
            sending: HashMap::new(),
            reports,
            peers,
            happenings,
            actions,
        };
        driver.carry_out();
        Ok(driver)
    }

    /// Runs until the node's life has ended.
    pub async fn run(mut self, mut happenings: mpsc::UnboundedReceiver<Happening>) {
        while self.life.phase() != Phase::Ended {
            let look = Instant::now() + seconds(LOOK_EVERY);
            let closing = (self.life.phase() == Phase::Closing).then_some(look);
            let due = self.engine.next_due().map(|due| self.clock.instant(due));
            let next = due.into_iter().chain(closing).min();
            tokio::select! {
                biased;
                happening = happenings.recv() => happening.into_iter().for_each(|what| self.happened(what)),
                () = tokio::time::sleep_until(next.unwrap_or(look).into()) => {}
            }
            self.advance();
            // An answer has left once its request is no longer in hand.
            if closing.is_some() && self.life.idle() {
                self.tell(Event::Idle);
            }
        }
    }

    fn advance(&mut self) {
        self.engine.advance(self.clock.now(), &mut self.actions);
        self.carry_out();
    }

    fn tell(&mut self, event: Event) {
        self.engine.handle(self.clock.now(), event, &mut self.actions);
        self.carry_out();
    }

    pub fn happened(&mut self, happening: Happening) {
        match happening {
            Happening::Taken(id, job, answer) => {
                let job: Rc<Job> = job.into();
                self.held.insert(id, Held { job: job.clone(), answer });
                self.tell(Event::Taken(id, &job.call));
            }
            Happening::Left(id) => {
                self.held.remove(&id);
                self.tell(Event::Left(id));
            }
            Happening::Replied(id, forward, reply) => {
                if reply != Reply::Unheard {
                    self.sending.remove(&(id, forward));
                }
                self.tell(Event::Replied(id, forward, reply));
            }
            Happening::News(news) => self.tell(Event::News(news)),
            Happening::Probed(tgt, outcome, report) => self.tell(Event::Probed(tgt, outcome, report)),
            Happening::Watch(watch, watched) => self.tell(Event::Watch(watch, watched)),
            Happening::Heard { from, told, mark, count } => {
                self.tell(Event::Heard { from, told, mark, count });
            }
            Happening::Reload(Ok(config)) => self.reload(&config),
            Happening::Reload(Err(words)) => error!("not reloaded, all stays as it is: {words}"),
            Happening::Stop => self.tell(Event::Stop),
        }
    }

    /// Another way to the list counts from the next start on: it would leave this one with two, or none.
    fn reload(&mut self, config: &Config) {
        let discovery = config.discovery;
        match (self.life.lists_from(), config.pushed_by()) {
            (None, None) => {}
            (Some(_), Some(who)) => {
                info!("takes the list from {who}");
                return self.life.take_lists_from(Some(who));
            }
            _ => return error!("not reloaded: settings.registryMode counts from the next start on"),
        }
        if self.engine.phase().is_up() || self.engine.phase() == Phase::Starting {
            info!("follows the list at {discovery}");
            self.discovery.move_to(discovery);
        }
        self.tell(Event::Reread);
    }

    /// What can't be carried out is told to the engine, which may give more to do.
    fn carry_out(&mut self) {
        while !self.actions.is_empty() {
            let mut actions = std::mem::take(&mut self.actions);
            for action in actions.drain(..) {
                if let Some(failed) = self.act(action) {
                    self.engine.handle(self.clock.now(), failed, &mut self.actions);
                }
            }
            if self.actions.is_empty() {
                self.actions = actions; // Its room is used again.
                break;
            }
        }
        self.life.set(self.engine.phase());
    }

    fn act(&mut self, action: Action) -> Option<Event<'static>> {
        match action {
            Action::Send { id, forward, tgt, left } => return self.send(id, forward, tgt, left),
            Action::Abort { id, forward } => {
                self.sending.remove(&(id, forward)).into_iter().for_each(|task| task.abort());
            }
            Action::GiveUp { tgt, call } => {
                let patience = self.links.patience();
                let lease = self.links.lease(tgt);
                lease.map(|lease| actix_rt::spawn(give_up(lease, call, patience)));
            }
            Action::Answer { id, answer } => {
                let held = self.held.remove(&id);
                held.map(|held| held.answer.send(answer.into()));
            }
            Action::Probe(tgt) => return self.probe(tgt),
            Action::Release(tgt) => self.links.release(tgt),
            Action::At(tgt, addr) => self.links.listed(tgt, addr),
            Action::Gone(tgt) => self.links.gone(tgt),
            Action::Follow { watch, version } => self.discovery.follow(watch, version),
            Action::Tell { to, told, mark, count } => {
                self.peers.iter().for_each(|peers| peers.tell(to, told, mark, count));
            }
        }
        None
    }

    fn send(&mut self, id: InvId, forward: usize, tgt: Tgt, left: f64) -> Option<Event<'static>> {
        let job = self.held.get(&id).map(|held| held.job.clone());
        let Some((job, lease)) = job.zip(self.links.lease(tgt)) else {
            // Never sent, and no fault of the executor's: it must not be doubted for want of descriptors
            // here, nor for a client that has left.
            return Some(Event::Replied(id, forward, Reply::Ended(Outcome::Moot, Report::default())));
        };
        let (happenings, within) = (self.happenings.clone(), self.links.taken_within());
        let task = actix_rt::spawn(async move {
            let tell = |reply| drop(happenings.send(Happening::Replied(id, forward, reply)));
            send::forward(lease, &job, left, within, tell).await;
        });
        self.sending.insert((id, forward), task);
        None
    }

    fn probe(&mut self, tgt: Tgt) -> Option<Event<'static>> {
        let Some(lease) = self.links.lease(tgt) else {
            // It has no room that could be used now.
            return Some(Event::Probed(tgt, Outcome::Full, Report::default()));
        };
        let (happenings, reports, patience) = (self.happenings.clone(), self.reports, self.links.patience());
        actix_rt::spawn(async move {
            let (outcome, report) = probe(lease, reports, patience).await;
            let _ = happenings.send(Happening::Probed(tgt, outcome, report));
        });
        None
    }
}

#[cfg(test)]
mod tests;
