//! The operators' door: an address of its own, on which the node tells whether it serves, and its figures. One call
//! to a connection. It shares nothing with the clients' door but the process: neither its bound nor its places.
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use actix_http::{ConnectionType, HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_rt::net::TcpListener;
use actix_rt::task::JoinHandle;
use actix_rt::time::{sleep, timeout};
use actix_service::{Service, ServiceFactory};
use coveroute_engine::ListFigures;
use log::{debug, warn};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::attempt::AttemptFigures;
use crate::fleet::{self, Carrier};
use crate::happening::{Happening, Happenings, NodeFigures};
use crate::phase::Life;
use crate::socket::Socket;

const READY: &str = "/v1/readyz";
const METRICS: &str = "/v1/metrics";

/// Connections at a time, of the descriptors that the clients' door leaves: several screens and some dozen
/// callers that only stay.
const MOST: usize = 32;
/// For a whole call, from connecting to the answer's last byte: twice what an answer may take.
const WITHIN: Duration = Duration::from_secs(2);

/// The figures as operators name them.
#[derive(Serialize)]
struct Shown {
    results: BTreeMap<String, Results>,
    forwards: u64,
    outstanding: usize,
    discovered: usize,
    ejected: usize,
    list: ListShown,
    attempts: AttemptsShown,
    sighup_applied: u64,
    sighup_rejected: u64,
    /// What it knows of the other nodes, where nodes know each other.
    #[serde(skip_serializing_if = "Option::is_none")]
    fleet: Option<fleet::Shown>,
}

/// The list of executors that this node holds; seconds are null before discovery was first heard of.
#[derive(Serialize)]
struct ListShown {
    version: u64,
    state: &'static str,
    first_heard_s: Option<f64>,
    last_heard_s: Option<f64>,
    refused_without: u64,
}

impl From<ListFigures> for ListShown {
    fn from(list: ListFigures) -> ListShown {
        ListShown {
            version: list.version,
            state: list.state,
            first_heard_s: list.first_heard,
            last_heard_s: list.last_heard,
            refused_without: list.refused,
        }
    }
}

/// What attempts told their executors of the clients' time, and why some were not begun.
#[derive(Serialize)]
struct AttemptsShown {
    written: u64,
    overstated: u64,
    longest_excess_s: f64,
    told_anew: u64,
    broken_off: u64,
    too_late: u64,
    client_left: u64,
    time_over: u64,
    no_connection: u64,
}

impl From<AttemptFigures> for AttemptsShown {
    fn from(figures: AttemptFigures) -> AttemptsShown {
        AttemptsShown {
            written: figures.written,
            overstated: figures.overstated,
            longest_excess_s: figures.longest_excess,
            told_anew: figures.told_anew,
            broken_off: figures.broken_off,
            too_late: figures.too_late,
            client_left: figures.client_left,
            time_over: figures.time_over,
            no_connection: figures.no_connection,
        }
    }
}

#[derive(Serialize)]
struct Results {
    succeeded: u64,
    declined: u64,
    aborted: u64,
}

impl From<NodeFigures> for Shown {
    fn from(NodeFigures { engine: figures, attempts }: NodeFigures) -> Shown {
        let results = figures.operations.into_iter().map(|(name, tally)| {
            let (succeeded, declined, aborted) = (tally.succeeded, tally.throttled, tally.errored);
            (name.to_string(), Results { succeeded, declined, aborted })
        });
        Shown {
            results: results.collect(),
            forwards: figures.forwards,
            outstanding: figures.outstanding,
            discovered: figures.listed,
            ejected: figures.avoided,
            list: figures.list.into(),
            attempts: attempts.into(),
            sighup_applied: figures.applied,
            sighup_rejected: figures.rejected,
            fleet: None,
        }
    }
}

/// What the calls share.
pub struct Desk {
    life: Rc<Life>,
    happenings: Happenings,
    carrier: Option<Rc<Carrier>>,
}

impl Desk {
    pub fn new(life: Rc<Life>, happenings: Happenings, carrier: Option<Rc<Carrier>>) -> Rc<Self> {
        Rc::new(Desk { life, happenings, carrier })
    }

    async fn answer(&self, request: Request) -> Response<BoxBody> {
        let mut answer = match (request.path(), request.method()) {
            (READY, &Method::GET | &Method::HEAD) if self.life.is_ready() => text(StatusCode::OK, "ready\n"),
            (READY, &Method::GET | &Method::HEAD) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (METRICS, &Method::GET | &Method::HEAD) => self.figures().await,
            (READY | METRICS, _) => {
                let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, "figures are read by GET\n");
                answer.headers_mut().insert(ALLOW, HeaderValue::from_static("GET, HEAD"));
                answer
            }
            _ => text(StatusCode::NOT_FOUND, "there is /v1/readyz and /v1/metrics\n"),
        };
        answer.head_mut().set_connection_type(ConnectionType::Close);
        answer
    }

    /// Asked of the driver, which alone has the books: after all that came before.
    async fn figures(&self) -> Response<BoxBody> {
        let (tell, told) = oneshot::channel();
        let _ = self.happenings.send(Happening::Asked(tell));
        let fleet = || self.carrier.as_ref().map(|carrier| carrier.shown());
        let shown = told.await.ok().map(|figures| Shown { fleet: fleet(), ..Shown::from(figures) });
        let shown = shown.map(|shown| serde_json::to_vec(&shown));
        let Some(Ok(body)) = shown else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the node has ended\n");
        };
        let mut answer = Response::with_body(StatusCode::OK, body).map_into_boxed_body();
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        answer
    }
}

fn text(status: StatusCode, words: &'static str) -> Response<BoxBody> {
    Response::with_body(status, words).map_into_boxed_body()
}

/// Accepts calls for as long as the process lives. Guards against callers that connect and say nothing, or half:
/// each has its time, and where they are too many who came first goes.
pub async fn accept(listener: TcpListener, desk: Rc<Desk>) {
    let service = HttpService::build()
        .keep_alive(KeepAlive::Disabled)
        .client_request_timeout(Duration::ZERO) // The whole call has a limit.
        .h1(actix_service::fn_service(move |request| {
            let desk = desk.clone();
            async move { Ok::<_, std::convert::Infallible>(desk.answer(request).await) }
        }))
        .new_service(());
    let Ok(service) = service.await else { return };
    let mut calls: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                calls.retain(|call| !call.is_finished());
                if calls.len() >= MOST {
                    calls.pop_front().into_iter().for_each(|first| first.abort());
                }
                let serving = service.call((Socket::new(socket), Some(peer)));
                calls.push_back(actix_rt::spawn(async move {
                    if let Ok(Err(e)) = timeout(WITHIN, serving).await {
                        debug!("operators' door: {peer}: {e:?}");
                    }
                }));
            }
            Err(e) => {
                warn!("operators' door: accept: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}
