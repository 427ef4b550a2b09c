//! The driver: owns the engine and the clock, gives it everything that happens, and carries out its actions.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use coveroute::types::{InvId, Outcome, Report, Reports, Tgt, Told};
use coveroute_engine::{Action, Engine, Event, Figures, News, Phase, Reply, Setup, Verdict, Watched};
use log::{error, info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::clock::{seconds, Clock};
use crate::config::Config;
use crate::discovery::Discovery;
use crate::executors::{give_up, probe, Links};
use crate::needed::Keys;
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
    /// The door has ended a job of this operation by itself.
    Ended(String, Verdict),
    /// Operators ask for the figures.
    Asked(oneshot::Sender<Figures>),
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

/// What of the configuration in force a new one is held against.
struct Running {
    keys: Keys,
    /// These count from the next start on.
    fixed: (SocketAddr, Option<SocketAddr>, usize, usize),
    /// With another of these the node would be another one.
    identity: (usize, Option<Vec<SocketAddr>>),
    discovery: SocketAddr,
}

impl Running {
    fn of(config: &Config) -> Self {
        Running {
            keys: config.keys.clone(),
            fixed: (config.listen, config.management, config.sockets, config.memory_mb),
            identity: (config.settings.me, config.peers.clone()),
            discovery: config.discovery,
        }
    }

    /// Why the new one can't take this one's place while the node runs.
    fn refuses(&self, new: &Running, pushed: (bool, bool)) -> Option<String> {
        let lacks = new.keys.lacks(&self.keys);
        match lacks {
            Some(key) => Some(format!("{key}: missing, and the configuration in force has it")),
            None if pushed.0 != pushed.1 => {
                Some("settings.registryMode counts from the next start on".into())
            }
            None if self.identity != new.identity => {
                Some("settings.me and peers count from the next start on".into())
            }
            None => None,
        }
    }
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
    running: Running,
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
        life.take_max_pause(config.settings.max_pause);
        let running = Running::of(&config);
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
            running,
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

    #[cfg(test)]
    pub fn settings(&self) -> &coveroute::types::Settings {
        self.engine.decisions().settings()
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
                if !matches!(reply, Reply::Unheard | Reply::Written) {
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
            Happening::Reload(Err(words)) => self.not_reloaded(&words),
            Happening::Ended(operation, verdict) => self.tell(Event::Ended(&operation, verdict)),
            Happening::Asked(tell) => drop(tell.send(self.engine.figures(self.clock.now()))),
            Happening::Stop => self.tell(Event::Stop),
        }
    }

    fn not_reloaded(&mut self, words: &str) {
        error!("not reloaded, all stays as it is: {words}");
        self.tell(Event::NotReread);
    }

    /// Takes a configuration over, whole or not at all.
    fn reload(&mut self, config: &Config) {
        if !self.engine.phase().takes_settings() {
            return self.not_reloaded("the node is about to stop");
        }
        let new = Running::of(config);
        let pushed = (self.life.lists_from().is_some(), config.pushed_by().is_some());
        if let Some(why) = self.running.refuses(&new, pushed) {
            return self.not_reloaded(&why);
        }
        if self.running.fixed != new.fixed {
            warn!("addresses and limits of the process count from the next start on");
        }
        let moved = !pushed.1 && self.running.discovery != new.discovery;
        if moved {
            info!("follows the list at {}", new.discovery);
            self.discovery.move_to(new.discovery);
        }
        self.running = Running { fixed: self.running.fixed, ..new };
        self.life.take_lists_from(config.pushed_by());
        self.life.take_max_pause(config.settings.max_pause);
        self.links.retune(config.dial, config.idle);
        self.reports = config.settings.reports != Reports::Never;
        self.tell(Event::Reread { tuning: Some(Box::new(config.tuning())), moved });
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
