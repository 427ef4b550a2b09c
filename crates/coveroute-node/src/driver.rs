//! The driver: owns the engine and the clock, gives it everything that happens, and carries out its actions.
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use coveroute::types::{InvId, Outcome, Report, Reports, Tgt};
use coveroute_engine::{Action, Engine, Event, News, Phase, Reply, Setup};
use coveroute_fleet::Plan;
use log::{debug, error, info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::attempt::{Attempt, AttemptCounts, Deadline, Progress};
use crate::callbacks;
use crate::clock::{seconds, Clock};
use crate::config::Config;
use crate::discovery::Discovery;
use crate::executors::Links;
use crate::fleet::Carrier;
use crate::guest::{Client, Guest, Guests, Leaves};
use crate::handed::{Handed, HandedJob};
use crate::happening::{Happening, Happenings, NodeFigures};
use crate::link::{Link, Said, Side};
use crate::needed::Keys;
use crate::peers::Peers;
use crate::phase::Life;
use crate::probe::{give_up, probe};
use crate::replace::{self, Waits};
use crate::send;
use crate::server::Comes;
use crate::take_in::Job;

/// Of what cold executors can stand, the part of the process that takes connections while there are two: the other
/// one only sends again what it has.
const COLD_PART: f64 = 0.75;
/// How often a node that closes looks whether it may end.
const LOOK_EVERY: f64 = 0.02;

/// What is kept of a job until its client has the final answer.
struct Held {
    job: Rc<Job>,
    client: Client,
}

/// What sends a forward, and how far it is.
struct Sending {
    task: JoinHandle<()>,
    attempt: Rc<Attempt>,
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

/// What leads to other nodes, and to other processes of this one.
#[derive(Default)]
pub struct Others {
    /// For other nodes' messages, where nodes tell each other.
    pub datagrams: Option<UdpSocket>,
    /// This node's part in the fleet, where nodes know each other.
    pub carrier: Option<Rc<Carrier>>,
    /// The process before, and what it has handed over.
    pub before: Option<(Rc<Link>, Handed)>,
    pub successors: Option<Successors>,
    /// The clients' connections, and where those of the process before go.
    pub guests: Guests,
    pub comes: Option<mpsc::UnboundedSender<Comes>>,
}

/// Where successors come, and the sockets that they get.
pub struct Successors {
    pub place: PathBuf,
    pub sockets: Vec<OwnedFd>,
}

pub struct Driver {
    clock: Clock,
    engine: Engine,
    life: Rc<Life>,
    links: Links,
    discovery: Discovery,
    held: HashMap<InvId, Held>,
    /// What sends a forward; stopped when it is given up before an answer, which closes the connection.
    sending: HashMap<(InvId, usize), Sending>,
    attempts: Rc<AttemptCounts>,
    reports: bool,
    running: Running,
    /// Where nodes may tell each other.
    peers: Option<Peers>,
    carrier: Option<Rc<Carrier>>,
    /// The other processes of this node: the one that this one takes the place of, and the one that takes this one's.
    before: Option<Rc<Link>>,
    after: Option<Rc<Link>>,
    /// Where it will wait for its successor, and does.
    successors: Option<Successors>,
    waits: Option<Waits>,
    guests: Guests,
    comes: Option<mpsc::UnboundedSender<Comes>>,
    /// It has told the process before that it serves.
    announced: bool,
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
        others: Others,
        happenings: Happenings,
    ) -> Result<Self, String> {
        let Others { datagrams, carrier, before, successors, guests, comes } = others;
        life.take_lists_from(config.pushed_by());
        life.take_max_pause(config.settings.max_pause);
        let running = Running::of(&config);
        let Config { settings, names, seed, timeouts, known, discovery, peers, .. } = config;
        let listen = |socket: UdpSocket| {
            Peers::new(settings.me, peers.unwrap_or_default(), socket, happenings.clone(), carrier.clone())
                .map_err(|e| format!("nodes' messages: {e}"))
        };
        let peers = datagrams.map(listen).transpose()?;
        let (before, handed) = before.unzip();
        let memory = handed.map(|handed| handed.memory(discovery));
        let reports = settings.reports != Reports::Never;
        let setup = Setup { settings, names, seed, timeouts, known, memory };
        let mut actions = Vec::new();
        let mut driver = Driver {
            clock,
            engine: Engine::new(clock.now(), setup, &mut actions),
            life,
            links,
            discovery: Discovery::new(discovery, happenings.clone()),
            held: HashMap::new(),
            sending: HashMap::new(),
            attempts: Rc::default(),
            reports,
            running,
            peers,
            carrier,
            before,
            after: None,
            successors,
            guests,
            comes,
            waits: None,
            announced: false,
            happenings,
            actions,
        };
        driver.life.follow(driver.before.is_some());
        driver.pair();
        driver.carry_out();
        if driver.before.is_none() {
            driver.hear(true);
            driver.await_successors();
        }
        Ok(driver)
    }

    /// Runs until the node's life has ended.
    pub async fn run(mut self, mut happenings: mpsc::UnboundedReceiver<Happening>) {
        while self.life.phase() != Phase::Ended {
            let look = Instant::now() + seconds(LOOK_EVERY);
            let handing = !self.life.takes();
            let closing = (self.life.phase() == Phase::Closing || handing).then_some(look);
            let due = self.engine.next_due().map(|due| self.clock.instant(due));
            let next = due.into_iter().chain(closing).min();
            tokio::select! {
                biased;
                happening = happenings.recv() => happening.into_iter().for_each(|what| self.happened(what)),
                () = tokio::time::sleep_until(next.unwrap_or(look).into()) => {}
            }
            self.advance();
            if handing {
                self.hand_over();
            }
            // An answer has left once its request is no longer in hand.
            let busy = || self.guests.borrow().values().any(|guest| guest.is_busy());
            if closing.is_some() && self.life.idle() && !busy() {
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
            Happening::Taken(id, job, client) => {
                self.carrier.iter().for_each(|carrier| carrier.wanted(job.call.caller.as_deref()));
                let job: Rc<Job> = job.into();
                self.held.insert(id, Held { job: job.clone(), client });
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
            Happening::News(news, body, tell) => self.news(news, body, tell, None),
            Happening::Returned(news, tell, told) => {
                let told = told || self.engine.knows(&news.call);
                self.tell(Event::News(news));
                tell.map(|tell| tell.send(told));
            }
            Happening::Handing(tell) => {
                let _ =
                    tell.send(Handed::of(self.running.discovery, self.engine.memory(), self.clock.reading()));
            }
            Happening::Linked(link) => self.linked(link),
            Happening::Said(side, number, said) => self.said(side, number, said),
            Happening::Probed(tgt, outcome, report) => self.tell(Event::Probed(tgt, outcome, report)),
            Happening::Watch(watch, watched) => self.tell(Event::Watch(watch, watched)),
            Happening::Heard { from, told, mark, count } => {
                self.tell(Event::Heard { from, told, mark, count });
            }
            Happening::Reload(Ok(config), plan) => self.reload(&config, plan),
            Happening::Reload(Err(words), _) => self.not_reloaded(&words),
            Happening::Ended(operation, verdict) => self.tell(Event::Ended(&operation, verdict)),
            Happening::Quotas(quotas) => self.tell(Event::Quotas(quotas)),
            Happening::Asked(tell) => {
                let (engine, attempts) = (self.engine.figures(self.clock.now()), self.attempts.figures());
                let _ = tell.send(NodeFigures { engine, attempts });
            }
            Happening::Stop => {
                // Before anything is given back or cut for the stop.
                self.hand_over();
                // A successor goes on as the same member.
                self.carrier.iter().filter(|_| self.after.is_none()).for_each(|carrier| carrier.leave());
                self.tell(Event::Stop);
            }
        }
    }

    fn not_reloaded(&mut self, words: &str) {
        error!("not reloaded, all stays as it is: {words}");
        self.tell(Event::NotReread);
    }

    /// Takes a configuration over, whole or not at all.
    fn reload(&mut self, config: &Config, plan: Option<Plan>) {
        if !self.engine.phase().takes_settings() {
            return self.not_reloaded("the node is about to stop");
        }
        let new = Running::of(config);
        let pushed = (self.life.lists_from().is_some(), config.pushed_by().is_some());
        if let Some(why) = self.running.refuses(&new, pushed) {
            return self.not_reloaded(&why);
        }
        if let Some((carrier, plan)) = self.carrier.as_ref().zip(plan) {
            if let Err(why) = carrier.reread(plan, config.shares()) {
                return self.not_reloaded(&format!("the fleet's file: {why}"));
            }
        }
        if self.running.fixed != new.fixed {
            warn!("addresses and limits of the process count from the next start on");
        }
        let moved = self.running.discovery != new.discovery;
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
        if let Some(before) = self.before.as_ref().filter(|_| self.life.is_up() && !self.announced) {
            before.serves();
            self.announced = true;
            self.hear(true);
        }
    }

    /// Limits, and what cold executors can stand, are for all processes of this node together. The one that takes
    /// connections gets most of the latter.
    fn pair(&mut self) {
        let paired = self.before.is_some() || self.after.is_some();
        self.life.pair(paired);
        self.links.share(paired);
        let part = match (paired, self.life.takes()) {
            (false, _) => 1.0,
            (true, true) => COLD_PART,
            (true, false) => 1.0 - COLD_PART,
        };
        self.tell(Event::Part(part));
    }

    fn await_successors(&mut self) {
        if let Some(Successors { place, sockets }) = self.successors.take() {
            self.waits = replace::wait(&place, sockets, self.happenings.clone());
        }
    }

    /// Another one that came before and did not get so far is no successor any more.
    fn linked(&mut self, link: Rc<Link>) {
        info!("another process of this node has begun");
        self.after = Some(link);
        self.takes(true);
    }

    /// Whether connections, and other nodes' messages, come here from now on.
    fn takes(&mut self, takes: bool) {
        self.life.take_connections(takes);
        self.hear(takes);
        self.pair();
    }

    /// Of a node's processes one hears what other nodes say: the one that serves.
    fn hear(&mut self, hears: bool) {
        self.peers.iter_mut().for_each(|peers| peers.hear(hears));
    }

    fn said(&mut self, side: Side, number: u64, said: Said) {
        let link = match side {
            Side::Before => &mut self.before,
            Side::After => &mut self.after,
        };
        let Some(own) = link.as_ref().filter(|link| link.number == number).cloned() else { return };
        match (side, said) {
            (Side::After, Said::Serves) => {
                info!("the process after this one serves: no connections are taken here any more");
                self.takes(false);
                own.stopped();
                self.hand_over();
            }
            (Side::Before, Said::Stopped) => self.taken_over(),
            (Side::Before, Said::Guest(socket)) => {
                self.come(socket, Comes::Idle);
            }
            (Side::Before, Said::Job(job, socket)) => self.take_in(*job, socket),
            (Side::After, Said::Guest(_) | Said::Job(..)) => warn!("a successor hands nothing over"),
            (side, Said::News(body, tell)) => match callbacks::parse(&body) {
                Ok(news) => self.news(news, body, Some(tell), Some(side)),
                Err(e) => warn!("a link's news that can't be read: {e}"),
            },
            (Side::Before, Said::Ended) => {
                self.before = None;
                self.hear(true);
                self.taken_over();
                self.pair();
            }
            (Side::After, Said::Ended) => {
                // Guards against a successor that died: whoever is left serves on.
                self.after = None;
                self.takes(true);
            }
            (Side::Before, Said::Serves) | (Side::After, Said::Stopped) => {
                warn!("the link says what it can't know")
            }
        }
    }

    /// Whether somebody serves it from now on.
    fn come(&mut self, socket: OwnedFd, how: impl FnOnce(TcpStream) -> Comes) -> bool {
        let stream = TcpStream::from_std(std::net::TcpStream::from(socket));
        match (stream, &self.comes) {
            (Ok(stream), Some(comes)) => return comes.send(how(stream)).is_ok(),
            (Ok(_), None) => {}
            (Err(e), _) => warn!("a connection of the process before is lost: {e}"),
        }
        false
    }

    /// Goes on with a job of the process before.
    fn take_in(&mut self, handed: HandedJob, socket: OwnedFd) {
        let job = handed.job().filter(|_| handed.parcel.is_sound());
        let Some(job) = job else { return error!("a job of the process before can't be read") };
        let (id, (answer, answered)) = (self.life.next_id(), oneshot::channel());
        // It may have left on its way here: that is looked at before anything is sent.
        let guest = Rc::new(Guest::new(socket.as_raw_fd()));
        let client = Client { answer, guest: Some(guest.clone()) };
        self.held.insert(id, Held { job: Rc::new(job), client });
        let mine = guest.clone();
        if !self.come(socket, |stream| Comes::Waiting(stream, mine, id, answered)) {
            guest.closed();
        }
        self.engine.take_in(self.clock.now(), id, handed.parcel, &mut self.actions);
        self.carry_out();
    }

    /// Hands over what can go now: idle connections, and jobs with their clients' connections. Once told to stop, this
    /// process ends when nothing is left.
    fn hand_over(&mut self) {
        let Some(after) = self.after.clone().filter(|_| !self.life.takes()) else { return };
        let guests: Vec<_> = self.guests.borrow().values().cloned().collect();
        for guest in &guests {
            let Some(leaves) = guest.leaves() else { continue };
            let Ok(socket) = guest.socket() else { continue };
            match leaves {
                Leaves::Idle => after.guest(socket),
                Leaves::Waiting(id) => {
                    let Some(held) = self.held.get(&id).map(|held| held.job.clone()) else { continue };
                    let Some(parcel) = self.engine.part_with(id) else { continue };
                    self.held.remove(&id);
                    after.job(HandedJob::of(parcel, &held), socket);
                }
            }
            guest.goes();
        }
        if guests.is_empty() && after.is_written() && self.life.phase() == Phase::Leaving {
            self.tell(Event::Relieved);
        }
    }

    /// This is the process that serves.
    fn taken_over(&mut self) {
        self.life.follow(false);
        self.await_successors();
    }

    /// Executors tell whichever process their connection leads to. What is of no job here goes to the others, and
    /// is acknowledged once one of them has it, or none does.
    fn news(&mut self, news: News, body: Bytes, tell: Option<oneshot::Sender<bool>>, from: Option<Side>) {
        let others: Vec<Rc<Link>> = self.before.iter().chain(&self.after).cloned().collect();
        let others: Vec<_> = others.into_iter().filter(|link| Some(link.side) != from).collect();
        let own = self.engine.knows(&news.call);
        if own || others.is_empty() {
            tell.map(|tell| tell.send(own || from.is_none()));
            return self.tell(Event::News(news));
        }
        let happenings = self.happenings.clone();
        actix_rt::spawn(async move {
            let mut known = true;
            for link in others {
                match link.pass(&body).await {
                    Some(true) => {
                        tell.map(|tell| tell.send(true));
                        return;
                    }
                    Some(false) => {}
                    None => known = false,
                }
            }
            // Of nobody's job: there is nothing to wait for, unless one has not said so. It may have come here meanwhile.
            let _ = happenings.send(Happening::Returned(news, tell, known && from.is_none()));
        });
    }

    fn act(&mut self, action: Action) -> Option<Event<'static>> {
        match action {
            Action::Send { id, forward, tgt, end, write_until } => {
                let deadline = Deadline::at(self.clock.instant(end), self.clock.instant(write_until));
                return self.send(id, forward, tgt, deadline);
            }
            Action::Abort { id, forward } => {
                self.sending.remove(&(id, forward)).into_iter().for_each(|sending| sending.task.abort());
            }
            Action::Recall { id, forward } => return self.recall(id, forward),
            Action::GiveUp { tgt, call } => {
                let patience = self.links.patience();
                let lease = self.links.lease(tgt);
                lease.map(|lease| actix_rt::spawn(give_up(lease, call, patience)));
            }
            Action::Answer { id, answer } => {
                let held = self.held.remove(&id);
                held.map(|held| held.client.answer.send(answer.into()));
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

    fn send(&mut self, id: InvId, forward: usize, tgt: Tgt, deadline: Deadline) -> Option<Event<'static>> {
        let Some((job, client)) =
            self.held.get(&id).map(|held| (held.job.clone(), held.client.guest.clone()))
        else {
            debug!("forward {forward} of {id} is not begun: its client has left");
            self.attempts.client_left();
            return Some(not_begun(id, forward));
        };
        let Some(lease) = self.links.lease(tgt) else {
            debug!("forward {forward} of {id} is not begun: no connection is free");
            self.attempts.no_connection();
            return Some(not_begun(id, forward));
        };
        let (happenings, within) = (self.happenings.clone(), self.links.taken_within());
        let attempt = Rc::new(Attempt::new((id, forward), deadline, client, self.attempts.clone()));
        let mine = attempt.clone();
        let task = actix_rt::spawn(async move {
            let tell = |reply| drop(happenings.send(Happening::Replied(id, forward, reply)));
            send::forward(lease, &job, mine, within, tell).await;
        });
        self.sending.insert((id, forward), Sending { task, attempt });
        None
    }

    /// Takes a forward back whose executor was told to be draining while its connection was still coming up.
    fn recall(&mut self, id: InvId, forward: usize) -> Option<Event<'static>> {
        self.sending.get(&(id, forward)).filter(|sending| sending.attempt.progress() == Progress::Waiting)?;
        self.sending.remove(&(id, forward))?.task.abort();
        debug!("forward {forward} of {id} is taken back: its executor drains");
        Some(not_begun(id, forward))
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

/// What was never sent is no fault of the executor's: it must not be doubted for want of descriptors here, nor for a
/// client that has left.
fn not_begun(id: InvId, forward: usize) -> Event<'static> {
    Event::Replied(id, forward, Reply::Ended(Outcome::Moot, Report::default()))
}

#[cfg(test)]
mod tests;
