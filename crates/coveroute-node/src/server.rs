//! The door: accepts clients' and executors' connections, within a bound, and serves each by actix-http.
use std::cell::Cell;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::Bytes;
use coveroute::types::InvId;
use coveroute_engine::{Phase, Verdict, Watched, UNASKED};
use log::{debug, warn};
use nix::errno::Errno;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::sync::{mpsc, oneshot, Notify};

use crate::clock::Clock;
use crate::descriptors::Descriptors;
use crate::guest::{Claim, Client, Doing, Guest, Guests, Stream};
use crate::happening::{Happening, Happenings};
use crate::hosts::Hosts;
use crate::phase::Life;
use crate::relay::Answer;
use crate::socket::Socket;
use crate::{callbacks, discovery, take_in, wire};

/// A connection that stands idle is closed then, whether or not others want its place.
const IDLE_MOST: Duration = Duration::from_secs(120);
/// What an accept fails with where no descriptor is left, to the process or on the machine.
const OUT: [Errno; 2] = [Errno::EMFILE, Errno::ENFILE];
/// How often connections are looked through.
const SWEEP_EVERY: Duration = Duration::from_millis(100);
/// How long a client that is told to come back when all is crowded should stay away, where it can be told:
/// about as long as the work in hand takes.
const CROWDED_FOR: f64 = 1.0;

/// How a connection goes on after its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Next {
    Asks,
    Closes,
}

/// What the requests of all connections share.
pub struct Door {
    clock: Clock,
    life: Rc<Life>,
    happenings: Happenings,
    guests: Guests,
    /// Connections that wait for an answer, and connections beyond those, idle or only answered.
    most: usize,
    beyond: usize,
    /// Since when connections may wait to be accepted, where some may.
    waiting_since: Cell<Option<Instant>>,
    descriptors: Cell<Descriptors>,
    /// Told when a connection has ended.
    left: Notify,
}

impl Door {
    pub fn new(clock: Clock, life: Rc<Life>, happenings: Happenings, (most, beyond): (usize, usize)) -> Self {
        let (guests, descriptors, left) = (Guests::default(), Cell::default(), Notify::new());
        let waiting_since = Cell::new(None);
        Door { clock, life, happenings, guests, most, beyond, waiting_since, descriptors, left }
    }

    pub fn guests(&self) -> Guests {
        self.guests.clone()
    }

    fn close(&self, which: impl Fn(&Guest) -> bool) {
        self.guests.borrow().values().filter(|guest| which(guest)).for_each(|guest| guest.close.notify_one());
    }

    /// Closes connections to make room, `most` of them: those that have not asked for anything before those
    /// that will again, and of each the longest idle first.
    fn make_room(&self, most: usize) {
        let guests = self.guests.borrow();
        let mut idle: Vec<_> = guests.values().map(|guest| (guest.claim(), guest)).collect();
        idle.retain(|guest| guest.0 < Claim::Owed);
        idle.sort_by_key(|(claim, guest)| (*claim == Claim::Rested, guest.since()));
        idle.into_iter().take(most).for_each(|guest| guest.1.close.notify_one());
    }

    /// Waits for a place for one more connection. Guards against clients that are connected and never heard:
    /// the kernel has accepted them, so that what they sent counts as taken.
    async fn place(&self) {
        const AT_ONCE: usize = 16; // Idle ones closed for each that comes: clients that only connect lose.
        let open = || self.guests.borrow().len();
        let (most, beyond) = (self.life.part(self.most), self.life.part(self.beyond));
        let all = (most + beyond).min(self.descriptors.get().connections());
        if open() >= all.saturating_sub(beyond.div_ceil(2)) {
            self.make_room(AT_ONCE);
        }
        while open() >= all {
            self.lets_wait();
            self.make_room(AT_ONCE);
            let _ = timeout(Duration::from_millis(10), self.left.notified()).await;
        }
    }

    fn note_descriptors(&self, note: impl FnOnce(&mut Descriptors)) {
        let mut descriptors = self.descriptors.get();
        note(&mut descriptors);
        self.descriptors.set(descriptors);
    }

    /// No descriptor was left for a connection. Guards against idle clients that hold them for as long as they stay,
    /// where the bound is no bound: the machine gives fewer than the configuration says, or other files hold some.
    fn runs_out(&self) {
        const CLOSED: usize = 4; // One in so many is closed at a time, if it is idle.
        const LEAST: usize = 4; // One in so many of the bound is held at least.
        let open = self.guests.borrow().len();
        let least = (self.life.part(self.most) + self.life.part(self.beyond)) / LEAST;
        self.note_descriptors(|descriptors| descriptors.run_out(open, least));
        self.make_room(open.div_ceil(CLOSED));
    }

    /// From now on connections may wait to be accepted, if none did before.
    fn lets_wait(&self) {
        self.waiting_since.set(self.waiting_since.get().or_else(|| Some(Instant::now())));
    }

    /// Looks for the next connection. Where there is none, none waits.
    fn poll_accept(
        &self,
        listener: &TcpListener,
        cx: &mut Context,
    ) -> Poll<std::io::Result<(TcpStream, SocketAddr)>> {
        let accepted = listener.poll_accept(cx);
        if accepted.is_pending() {
            self.waiting_since.set(None);
        }
        accepted
    }

    /// The next connection, while they are taken here.
    async fn accepts(&self, listener: &TcpListener) -> std::io::Result<(TcpStream, SocketAddr)> {
        loop {
            self.life.until_takes(true).await;
            self.place().await;
            tokio::select! {
                biased;
                () = self.life.until_takes(false) => {}
                accepted = poll_fn(|cx| self.poll_accept(listener, cx)) => return accepted,
            }
        }
    }

    async fn serve(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let guest = request.peer_addr().and_then(|peer| self.guests.borrow().get(&peer).cloned());
        let (answer, next) = self.answer(request, guest.as_ref()).await;
        let goes_on = guest.as_ref().is_none_or(|guest| guest.goes_on());
        let keep = next == Next::Asks && goes_on && self.keeps(&answer);
        guest.iter().for_each(|guest| guest.rests());
        answer.response(keep)
    }

    /// Whether the connection may be used again. Guards against a restart that leaves clients with no node at
    /// all, while the one before is not up yet: new connections go elsewhere, but those that are open serve
    /// on. With what is given back the client is sent elsewhere. Who sent what is unfit gives its place to
    /// others.
    pub fn keeps(&self, answer: &Answer) -> bool {
        match self.life.phase() {
            _ if matches!(answer, Answer::Unfit(..)) => false,
            // It goes to the process after this one.
            _ if !self.life.takes() => true,
            Phase::Starting | Phase::Serving | Phase::Reloading => true,
            Phase::Leaving => !matches!(answer, Answer::Throttled { pause } if *pause <= 0.0),
            Phase::Closing | Phase::Ended => false,
        }
    }

    async fn answer(&self, mut request: Request, guest: Option<&Rc<Guest>>) -> (Answer, Next) {
        let came = guest.map_or_else(|| self.clock.now(), |guest| self.clock.at(guest.arrived()));
        let answer = match (request.path(), request.method()) {
            (wire::UP, &Method::GET | &Method::HEAD) if self.life.is_up() => Answer::Succeeded("up\n".into()),
            (wire::UP, _) => Answer::Throttled { pause: 0.0 },
            (wire::NEWS, &Method::POST) => self.news(&mut request).await,
            (wire::NEWS, _) => Answer::Unfit(StatusCode::METHOD_NOT_ALLOWED, "news come by POST"),
            (wire::HOSTS, _) => self.pushed(request).await,
            _ => {
                let class = take_in::class(request.path()).to_owned();
                match take_in::job(request, came).await {
                    Ok(job) => {
                        guest.iter().for_each(|guest| guest.waits());
                        return self.job(job, guest).await;
                    }
                    Err(unfit) => {
                        if !matches!(unfit, Answer::Unfit(_, take_in::BROKE_OFF)) {
                            let _ = self.happenings.send(Happening::Ended(class, Verdict::Errored));
                        }
                        unfit
                    }
                }
            }
        };
        (answer, Next::Asks)
    }

    /// What an executor tells. While another process of this node lives it is acknowledged once the one has it that
    /// serves the job; else at once, as before.
    async fn news(&self, request: &mut Request) -> Answer {
        let (tell, told) = self.life.paired().then(oneshot::channel).unzip();
        let tell = Cell::new(tell);
        let news = |body: &Bytes| Ok(Happening::News(callbacks::parse(body)?, body.clone(), tell.take()));
        let answer = self.told(request, wire::BODY_MOST, "news", news).await;
        match (answer, told) {
            (Answer::Succeeded(had), Some(told)) => match told.await {
                Ok(false) => Answer::Throttled { pause: 0.0 },
                _ => Answer::Succeeded(had),
            },
            (answer, _) => answer,
        }
    }

    /// A list that comes unasked. Guards against clients that push one: it is taken from discovery's host alone.
    async fn pushed(&self, mut request: Request) -> Answer {
        let peer = request.peer_addr().map(|peer| peer.ip());
        if peer.is_none() || peer != self.life.lists_from() {
            return Answer::Unfit(StatusCode::FORBIDDEN, "the list is not taken from there");
        }
        if request.method() != Method::POST {
            return Answer::Unfit(StatusCode::METHOD_NOT_ALLOWED, "lists come by POST");
        }
        let list = |body: &Bytes| {
            let hosts = serde_json::from_slice::<Hosts>(body).map_err(|e| e.to_string())?;
            Ok(Happening::Watch(UNASKED, Watched::Listed(hosts.into())))
        };
        self.told(&mut request, discovery::LIST_MOST, "a list", list).await
    }

    /// Passes on what a body of at most so many bytes tells; `what` it is goes into the log if it can't be read.
    async fn told(
        &self,
        request: &mut Request,
        most: usize,
        what: &str,
        parse: impl Fn(&Bytes) -> Result<Happening, String>,
    ) -> Answer {
        let payload = request.take_payload();
        let body = match take_in::body(payload, &request.head().headers, most).await {
            Ok(body) => body,
            Err(unfit) => return unfit,
        };
        match parse(&body) {
            Ok(happening) => {
                let _ = self.happenings.send(happening);
                Answer::Succeeded("".into())
            }
            Err(e) => {
                warn!("{what} that can't be read: {e}");
                Answer::Unfit(StatusCode::BAD_REQUEST, "can't be read")
            }
        }
    }

    async fn job(&self, job: take_in::Job, guest: Option<&Rc<Guest>>) -> (Answer, Next) {
        let _held = self.life.hold();
        let waits = |guest: &&Rc<Guest>| guest.doing() == Doing::Waiting;
        if self.guests.borrow().values().filter(waits).count() > self.life.part(self.most) {
            let _ = self.happenings.send(Happening::Ended(job.call.class, Verdict::Throttled));
            return (Answer::Throttled { pause: CROWDED_FOR.min(self.life.max_pause()) }, Next::Closes);
        }
        let id = self.life.next_id();
        guest.iter().for_each(|guest| guest.waits_for(id));
        let (answer, answered) = oneshot::channel();
        let client = Client { answer, guest: guest.cloned() };
        let _ = self.happenings.send(Happening::Taken(id, Box::new(job), client));
        // Dropped with this future, when the client has closed the connection.
        let mut visit = Visit { id, happenings: &self.happenings, over: false };
        let answer = answered.await;
        visit.over = true;
        (answer.unwrap_or(Answer::Errored), Next::Asks)
    }
}

/// Tells that the client has gone if it is dropped before it is over.
struct Visit<'a> {
    id: InvId,
    happenings: &'a Happenings,
    over: bool,
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        if !self.over {
            let _ = self.happenings.send(Happening::Left(self.id));
        }
    }
}

/// Accepts connections until the node's life ends.
pub async fn accept(listener: TcpListener, door: Rc<Door>, mut comes: mpsc::UnboundedReceiver<Comes>) {
    let serve = door.clone();
    let service = HttpService::build()
        // What stands idle is closed here, by the bound; a library's time-out might cross a request.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        // Lets a client that still writes read an early answer.
        .client_disconnect_timeout(Duration::from_secs(1))
        // A client that closes has gone: its request's future is dropped.
        .h1_allow_half_closed(false)
        .h1(fn_service(move |request| {
            let door = serve.clone();
            async move { Ok::<_, std::convert::Infallible>(door.serve(request).await) }
        }))
        .new_service(());
    let Ok(service) = service.await else { return };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            // First: what comes once a successor takes connections is its.
            biased;
            Some(come) = comes.recv() => {
                come.welcome(&door, &service);
                continue;
            }
            accepted = door.accepts(&listener) => accepted,
        };
        match accepted {
            Ok((socket, peer)) => {
                door.note_descriptors(Descriptors::found);
                let _ = socket.set_nodelay(true);
                let waited_since = door.waiting_since.get();
                welcome(&door, &service, socket, peer, waited_since);
            }
            // Another try may succeed at once.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => {
                warn!("accept: {e}");
                door.lets_wait();
                if e.raw_os_error().is_some_and(|code| OUT.contains(&Errno::from_raw(code))) {
                    door.runs_out();
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// A connection that comes from the process before.
pub enum Comes {
    Idle(TcpStream),
    /// Its client waits for this job.
    Waiting(TcpStream, Rc<Guest>, InvId, oneshot::Receiver<Answer>),
}

impl Comes {
    fn welcome<S>(self, door: &Rc<Door>, service: &Rc<S>)
    where
        S: Service<(Stream, Option<SocketAddr>), Response = ()> + 'static,
        S::Error: std::fmt::Debug,
    {
        let (socket, job) = match self {
            Comes::Idle(socket) => (socket, None),
            Comes::Waiting(socket, guest, id, answered) => (socket, Some((guest, id, answered))),
        };
        match (socket.peer_addr(), job) {
            (Ok(peer), None) => welcome(door, service, socket, peer, None),
            (Ok(peer), Some((guest, id, answered))) => {
                let (door, service) = (door.clone(), service.clone());
                actix_rt::spawn(async move {
                    if let Some(socket) = door.attend(socket, (peer, guest), id, answered).await {
                        welcome(&door, &service, socket, peer, None);
                    }
                });
            }
            // It has gone on its way here.
            (Err(_), Some((guest, id, _))) => {
                guest.closed();
                let _ = door.happenings.send(Happening::Left(id));
            }
            (Err(_), None) => {}
        }
    }
}

impl Door {
    /// Waits for a job's answer and writes it; the connection, if it may be used again.
    async fn attend(
        &self,
        stream: TcpStream,
        (peer, guest): (SocketAddr, Rc<Guest>),
        id: InvId,
        answered: oneshot::Receiver<Answer>,
    ) -> Option<TcpStream> {
        let _held = self.life.hold();
        let mut socket = Socket::new(stream);
        guest.waits();
        guest.waits_for(id);
        let mine = guest.clone();
        self.guests.borrow_mut().insert(peer, guest);
        let mut visit = Visit { id, happenings: &self.happenings, over: false };
        let answer = tokio::select! {
            // First: guards against an answer to a job that has gone on to the next process, where nobody answers here.
            biased;
            () = mine.close.notified() => None,
            answer = answered => Some(answer.unwrap_or(Answer::Errored)),
            () = gone(socket.stream(), &mine) => None,
        };
        let kept = match answer {
            Some(answer) => {
                visit.over = true;
                let keep = self.keeps(&answer) && mine.goes_on();
                socket.write_all(&answer.bytes(keep)).await.is_ok() && keep
            }
            None => false,
        };
        mine.closed();
        self.guests.borrow_mut().remove(&peer);
        self.left.notify_one();
        kept.then(|| socket.into_stream())
    }
}

/// Until the client has closed, also behind more that it says meanwhile. That stays unread while it is little;
/// beyond that it is dropped. Guards against a close that never comes, behind more than the kernel holds.
async fn gone(socket: &TcpStream, guest: &Guest) {
    const UNREAD_MOST: usize = 32 * 1024; // Half of what a kernel holds unread at the least.
    let look = || match (guest.has_left(), guest.unread()) {
        (true, _) => Ok(true),
        (false, UNREAD_MOST..) => Ok(false),
        (false, _) => Err(std::io::ErrorKind::WouldBlock.into()),
    };
    let mut nothing = vec![0; UNREAD_MOST];
    // Waits for the next word of the kernel after each that was not the end.
    while let Ok(false) = socket.async_io(Interest::READABLE, look).await {
        guest.overruns();
        while let Ok(1..) = socket.try_read(&mut nothing) {}
    }
}

fn welcome<S>(
    door: &Rc<Door>,
    service: &Rc<S>,
    socket: TcpStream,
    peer: SocketAddr,
    waited_since: Option<Instant>,
) where
    S: Service<(Stream, Option<SocketAddr>), Response = ()> + 'static,
    S::Error: std::fmt::Debug,
{
    let guest = Rc::new(Guest::new(socket.as_raw_fd()).waited_since(waited_since));
    door.guests.borrow_mut().insert(peer, guest.clone());
    let stream = Stream::new(socket, guest.clone());
    let (door, serving) = (door.clone(), service.call((stream, Some(peer))));
    actix_rt::spawn(async move {
        tokio::select! {
            // First: guards against a request that is read in the same breath as its connection is closed.
            biased;
            () = guest.close.notified() => {}
            ended = serving => if let Err(e) = ended { debug!("{peer}: {e:?}") },
        }
        door.guests.borrow_mut().remove(&peer);
        door.left.notify_one();
    });
}

/// Closes what has not asked in time, and what stands idle: after long, or at once when the node closes.
pub async fn sweep(door: Rc<Door>) {
    loop {
        sleep(SWEEP_EVERY).await;
        door.note_descriptors(|descriptors| descriptors.grow(SWEEP_EVERY));
        let closing = door.life.phase() == Phase::Closing;
        let idle = if closing { Duration::from_millis(100) } else { IDLE_MOST };
        door.close(|guest| guest.claim() == Claim::Overdue || guest.idle_for(idle));
    }
}
