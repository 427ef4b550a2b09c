//! The door: accepts clients' and executors' connections, within a bound, and serves each by actix-http.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use actix_service::{fn_service, Service, ServiceFactory};
use coveroute::types::InvId;
use log::{debug, warn};
use tokio::sync::{oneshot, Notify};

use crate::clock::Clock;
use crate::driver::{Event, Events};
use crate::phase::{Life, Phase};
use crate::relay::Answer;
use crate::{callbacks, take_in, wire};

/// A connection that has stood idle for so long may be closed for another: its last answer has long left by
/// then, and a client that has only just connected has had time to say what it wants.
const IDLE_AT_LEAST: Duration = Duration::from_millis(250);
/// Where it is closed whether or not others want its place.
const IDLE_MOST: Duration = Duration::from_secs(120);

/// What a client is told when connections beyond the bound are busy; it is closed with that.
const CROWDED: Answer = Answer::Throttled { pause: 1.0 };

/// One accepted connection; `busy` from the last byte of a request to its answer.
struct Guest {
    busy: Cell<bool>,
    since: Cell<Instant>,
    close: Notify,
}

impl Guest {
    fn rest(&self) {
        self.since.set(Instant::now());
        self.busy.set(false);
    }
}

/// What the requests of all connections share.
pub struct Door {
    clock: Clock,
    life: Rc<Life>,
    events: Events,
    next: Cell<InvId>,
    guests: RefCell<BTreeMap<SocketAddr, Rc<Guest>>>,
    /// Busy connections that are served, and connections beyond those, idle or only answered.
    most: usize,
    beyond: usize,
    /// Told when a connection has ended.
    left: Notify,
}

impl Door {
    pub fn new(clock: Clock, life: Rc<Life>, events: Events, (most, beyond): (usize, usize)) -> Self {
        let guests = RefCell::default();
        Door { clock, life, events, next: Cell::new(0), guests, most, beyond, left: Notify::new() }
    }

    /// Closes connections that have stood idle for `least`, the longest first, `most` of them.
    fn close_idle(&self, least: Duration, most: usize) {
        let guests = self.guests.borrow();
        let idle = |guest: &&Rc<Guest>| !guest.busy.get() && guest.since.get().elapsed() >= least;
        let mut idle: Vec<&Rc<Guest>> = guests.values().filter(idle).collect();
        idle.sort_by_key(|guest| guest.since.get());
        idle.into_iter().take(most).for_each(|guest| guest.close.notify_one());
    }

    /// Waits for a place for one more connection. Guards against clients that are connected and never heard:
    /// the kernel has accepted them, so that what they sent counts as taken.
    async fn place(&self) {
        const AT_ONCE: usize = 16; // Idle ones closed for each that comes: clients that only connect lose.
        let open = || self.guests.borrow().len();
        if open() >= self.most {
            self.close_idle(IDLE_AT_LEAST, AT_ONCE);
        }
        while open() >= self.most + self.beyond {
            self.close_idle(IDLE_AT_LEAST, AT_ONCE);
            let _ = timeout(Duration::from_millis(10), self.left.notified()).await;
        }
    }

    async fn serve(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let guest = request.peer_addr().and_then(|peer| self.guests.borrow().get(&peer).cloned());
        let answer = self.answer(request, guest.as_deref()).await;
        let keep = self.keeps(&answer);
        guest.iter().for_each(|guest| guest.rest());
        answer.response(keep)
    }

    /// Whether the connection may be used again. Guards against a restart that leaves clients with no node at
    /// all, while the one before is not up yet: new connections go elsewhere, but those that are open serve
    /// on. With what is given back the client is sent elsewhere.
    pub fn keeps(&self, answer: &Answer) -> bool {
        match self.life.phase() {
            Phase::Starting | Phase::Serving | Phase::Reloading => *answer != CROWDED,
            Phase::Leaving => !matches!(answer, Answer::Throttled { .. }),
            Phase::Closing | Phase::Ended => false,
        }
    }

    async fn answer(&self, mut request: Request, guest: Option<&Guest>) -> Answer {
        let came = self.clock.now();
        match (request.path(), request.method()) {
            (wire::UP, &Method::GET | &Method::HEAD) if self.life.is_up() => Answer::Succeeded("up\n".into()),
            (wire::UP, _) => Answer::Throttled { pause: 0.0 },
            (wire::NEWS, &Method::POST) => match take_in::body(request.take_payload()).await {
                Ok(body) => self.news(&body),
                Err(unfit) => unfit,
            },
            (wire::NEWS, _) => Answer::Unfit(StatusCode::METHOD_NOT_ALLOWED, "news come by POST"),
            _ => match take_in::job(request, came).await {
                Ok(job) => {
                    guest.iter().for_each(|guest| guest.busy.set(true));
                    self.job(job).await
                }
                Err(unfit) => unfit,
            },
        }
    }

    fn news(&self, body: &[u8]) -> Answer {
        match callbacks::parse(body) {
            Ok(news) => {
                let _ = self.events.send(Event::News(news));
                Answer::Succeeded("".into())
            }
            Err(e) => {
                warn!("news that can't be read: {e}");
                Answer::Unfit(StatusCode::BAD_REQUEST, "can't be read")
            }
        }
    }

    async fn job(&self, job: take_in::Job) -> Answer {
        let _held = self.life.hold();
        if self.guests.borrow().values().filter(|guest| guest.busy.get()).count() > self.most {
            return CROWDED;
        }
        let id = self.next.get();
        self.next.set(id.wrapping_add(1));
        let (answer, answered) = oneshot::channel();
        let _ = self.events.send(Event::Taken(id, Box::new(job), answer));
        // Dropped with this future, when the client has closed the connection.
        let mut visit = Visit { id, events: &self.events, over: false };
        let answer = answered.await;
        visit.over = true;
        answer.unwrap_or(Answer::Errored)
    }
}

/// Tells that the client has gone if it is dropped before it is over.
struct Visit<'a> {
    id: InvId,
    events: &'a Events,
    over: bool,
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        if !self.over {
            let _ = self.events.send(Event::Left(self.id));
        }
    }
}

/// Accepts connections until the node's life ends.
pub async fn accept(listener: TcpListener, door: Rc<Door>) {
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
        door.place().await;
        match listener.accept().await {
            Ok((socket, peer)) => {
                let _ = socket.set_nodelay(true);
                welcome(&door, &service, socket, peer);
            }
            Err(e) => {
                warn!("accept: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn welcome<S>(door: &Rc<Door>, service: &Rc<S>, socket: TcpStream, peer: SocketAddr)
where
    S: Service<(TcpStream, Option<SocketAddr>), Response = ()> + 'static,
    S::Error: std::fmt::Debug,
{
    let guest = Guest { busy: Cell::new(false), since: Cell::new(Instant::now()), close: Notify::new() };
    let guest = Rc::new(guest);
    door.guests.borrow_mut().insert(peer, guest.clone());
    let (door, serving) = (door.clone(), service.call((socket, Some(peer))));
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

/// Closes what stands idle: after long, or at once when the node closes.
pub async fn sweep(door: Rc<Door>) {
    loop {
        sleep(Duration::from_millis(100)).await;
        match door.life.phase() {
            Phase::Closing => door.close_idle(Duration::from_millis(100), usize::MAX),
            _ => door.close_idle(IDLE_MOST, usize::MAX),
        }
    }
}
