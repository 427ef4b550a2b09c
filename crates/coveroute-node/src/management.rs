//! Management server: the management endpoint, on an address of its own, with the readiness check and the metrics.
//! Each connection carries one request. Limits and connection slots are independent of those for clients.
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
use log::{debug, warn};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::attempt::AttemptFigures;
use crate::event::{DriverEvent, EventSender, NodeFigures};
use crate::fleet::{self, FleetMember};
use crate::node_state::NodeState;
use crate::socket::Socket;

/// The unit name in log lines. It is not the name of this module, because filters of existing logs match it.
const LOG_TARGET: &str = concat!(env!("CARGO_BIN_NAME"), "::operators");

const READY: &str = "/v1/readyz";
const METRICS: &str = "/v1/metrics";

/// Maximum number of connections, from the descriptors that the client limit leaves: enough for several
/// dashboards and some dozen connections that only stay open.
const MAX_CONNECTIONS: usize = 32;
/// Time limit for a request, from connecting to the response's last byte: twice the time that a response may
/// take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The metrics as serialized.
#[derive(Serialize)]
struct Metrics {
    results: BTreeMap<String, Results>,
    forwards: u64,
    outstanding: usize,
    discovered: usize,
    ejected: usize,
    list: ListMetrics,
    attempts: AttemptMetrics,
    sighup_applied: u64,
    sighup_rejected: u64,
    /// The node's view of the fleet, if it is in one.
    #[serde(skip_serializing_if = "Option::is_none")]
    fleet: Option<fleet::FleetFigures>,
}

/// The node's list of executors. The times are null until discovery first answered.
#[derive(Serialize)]
struct ListMetrics {
    version: u64,
    state: &'static str,
    first_heard_s: Option<f64>,
    last_heard_s: Option<f64>,
    refused_without: u64,
}

impl From<coveroute_engine::ListMetrics> for ListMetrics {
    fn from(list: coveroute_engine::ListMetrics) -> ListMetrics {
        ListMetrics {
            version: list.version,
            state: list.state,
            first_heard_s: list.first_heard,
            last_heard_s: list.last_heard,
            refused_without: list.refused,
        }
    }
}

/// Counts of attempts; see [`AttemptFigures`].
#[derive(Serialize)]
struct AttemptMetrics {
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

impl From<AttemptFigures> for AttemptMetrics {
    fn from(figures: AttemptFigures) -> AttemptMetrics {
        AttemptMetrics {
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

impl From<NodeFigures> for Metrics {
    fn from(NodeFigures { engine: figures, attempts }: NodeFigures) -> Metrics {
        let results = figures.operations.into_iter().map(|(name, tally)| {
            let (succeeded, declined, aborted) = (tally.succeeded, tally.throttled, tally.errored);
            (name.to_string(), Results { succeeded, declined, aborted })
        });
        Metrics {
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

/// The state shared by all requests of operators.
pub struct ManagementServer {
    node_state: Rc<NodeState>,
    events: EventSender,
    fleet_member: Option<Rc<FleetMember>>,
}

impl ManagementServer {
    pub fn new(
        node_state: Rc<NodeState>,
        events: EventSender,
        fleet_member: Option<Rc<FleetMember>>,
    ) -> Rc<Self> {
        Rc::new(ManagementServer { node_state, events, fleet_member })
    }

    async fn answer(&self, request: Request) -> Response<BoxBody> {
        let mut answer = match (request.path(), request.method()) {
            (READY, &Method::GET | &Method::HEAD) if self.node_state.is_ready() => {
                text(StatusCode::OK, "ready\n")
            }
            (READY, &Method::GET | &Method::HEAD) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (METRICS, &Method::GET | &Method::HEAD) => self.metrics().await,
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

    /// Requests the metrics from the driver, which owns them and handles the events before this one first.
    async fn metrics(&self) -> Response<BoxBody> {
        let (reply, replied) = oneshot::channel();
        let _ = self.events.send(DriverEvent::FiguresRequested(reply));
        let fleet = || self.fleet_member.as_ref().map(|fleet_member| fleet_member.figures());
        let metrics = replied.await.ok().map(|figures| Metrics { fleet: fleet(), ..Metrics::from(figures) });
        let Some(Ok(body)) = metrics.map(|metrics| serde_json::to_vec(&metrics)) else {
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

/// Accepts operators' connections for as long as the process runs. Connections that send no complete request
/// are closed: each has a time limit, and beyond the maximum number the oldest is closed.
pub async fn accept(listener: TcpListener, server: Rc<ManagementServer>) {
    let service = HttpService::build()
        .keep_alive(KeepAlive::Disabled)
        .client_request_timeout(Duration::ZERO) // `REQUEST_TIMEOUT` limits the whole exchange.
        .h1(actix_service::fn_service(move |request| {
            let server = server.clone();
            async move { Ok::<_, std::convert::Infallible>(server.answer(request).await) }
        }))
        .new_service(());
    let Ok(service) = service.await else { return };
    let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                connections.retain(|connection| !connection.is_finished());
                if connections.len() >= MAX_CONNECTIONS {
                    connections.pop_front().into_iter().for_each(|oldest| oldest.abort());
                }
                let serving = service.call((Socket::new(socket), Some(peer)));
                connections.push_back(actix_rt::spawn(async move {
                    if let Ok(Err(e)) = timeout(REQUEST_TIMEOUT, serving).await {
                        debug!(target: LOG_TARGET, "management endpoint: {peer}: {e:?}");
                    }
                }));
            }
            Err(e) => {
                warn!(target: LOG_TARGET, "management endpoint: can't accept a connection: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}
