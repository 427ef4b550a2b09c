//! Tests of failing list requests and silent watches, on real connections. A change that a node has not received counts
//! as known to it six seconds after its watch fell silent, whatever happened to its requests since.
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderName;
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{interval, sleep};
use bytes::Bytes;
use coveroute::types::Report;
use coveroute_engine::{JobReport, JobStatus};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;

use crate::client_connection::Client;
use crate::clock::seconds;
use crate::event::{DriverEvent, EventSender};
use crate::tests::{block, config_with, driver_with_config, job, NO_REPORTS, PUSHED};

/// Seconds after which an undelivered change counts as known. A drain's grace period comes on top, and may be short.
const KNOWN_AFTER: f64 = 6.0;
/// Duration of a run in seconds.
const RUN_SECONDS: f64 = 8.5;
/// Tolerance for a busy machine, in seconds.
const TOLERANCE: f64 = 0.25;

/// How the service handles a request for the list.
#[derive(Clone, Copy, Debug)]
enum Call {
    /// Sends the whole current list, then empty lines.
    Followed,
    /// Sends the whole current list, then nothing more.
    FallsSilent,
    /// Sends the whole current list, then closes the connection.
    Closes,
    /// Answers 503, or resets the connection, after so many seconds.
    Refused(f64),
    Reset(f64),
    Hangs,
}
use Call::*;

/// A discovery service that handles requests by a script, whose last entry applies to all further requests. `s-0`
/// starts to drain once the first request has been answered, or hangs.
struct Service {
    script: &'static [Call],
    requested_at: RefCell<Vec<Instant>>,
    drains: Cell<bool>,
    workers: [SocketAddr; 2],
}

impl Service {
    async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = listener.accept().await.expect("a call").0;
            let call = self.script[self.requested_at.borrow().len().min(self.script.len() - 1)];
            self.requested_at.borrow_mut().push(Instant::now());
            actix_rt::spawn(self.clone().answer(stream, call));
        }
    }

    async fn answer(self: Rc<Self>, mut stream: TcpStream, call: Call) {
        head(&mut stream).await;
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let begins = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let drains = self.drains.replace(true);
        match call {
            Refused(wait) => {
                sleep(seconds(wait)).await;
                let answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                let _ = stream.write_all(answer.as_bytes()).await;
            }
            Reset(wait) => {
                sleep(seconds(wait)).await;
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            Followed => {
                let _ = stream.write_all((begins.to_owned() + &chunk(&self.list(drains))).as_bytes()).await;
                let mut ticks = interval(seconds(1.0));
                while stream.write_all(chunk("\n").as_bytes()).await.is_ok() {
                    ticks.tick().await;
                }
            }
            FallsSilent | Closes => {
                let _ = stream.write_all((begins.to_owned() + &chunk(&self.list(drains))).as_bytes()).await;
                if matches!(call, Closes) {
                    return sleep(seconds(0.1)).await;
                }
            }
            Hangs => {}
        }
        // Keeps the connection open until the node closes it.
        let _ = stream.read(&mut [0; 1]).await;
    }

    /// The whole list.
    fn list(&self, drains: bool) -> String {
        let state = if drains { "draining" } else { "up" };
        let entries: Vec<String> = (0..2).map(|at| self.entry(at, ["up", state][1 - at])).collect();
        let version = 9 + u8::from(drains);
        format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}\n", entries.join(","))
    }

    fn entry(&self, at: usize, state: &str) -> String {
        format!("{{\"id\":\"s-{at}\",\"addr\":\"{}\",\"state\":\"{state}\"}}", self.workers[at])
    }
}

/// Reads a request head, in lower case.
async fn head(stream: &mut TcpStream) -> String {
    let (mut held, mut chunk) = (Vec::new(), [0; 1024]);
    while !held.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut chunk).await {
            Ok(read @ 1..) => held.extend_from_slice(&chunk[..read]),
            _ => return String::new(),
        }
    }
    String::from_utf8_lossy(&held).to_lowercase()
}

/// An executor that accepts each job, records the time, and completes it at once. It reports nothing else, draining or
/// not.
async fn run_executor(
    listener: TcpListener,
    at: usize,
    sent: Rc<RefCell<Vec<(usize, Instant)>>>,
    events: EventSender,
) {
    loop {
        let (mut stream, sent, events) =
            (listener.accept().await.expect("a connection").0, sent.clone(), events.clone());
        actix_rt::spawn(async move {
            loop {
                let head = head(&mut stream).await;
                let Some(call) = head.lines().find_map(|line| line.strip_prefix("x-call-id: ")) else {
                    return;
                };
                sent.borrow_mut().push((at, Instant::now()));
                let _ = stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").await;
                let status = JobStatus::Succeeded(Bytes::new());
                let (call, from) = (call.to_owned(), format!("s-{at}"));
                let report = JobReport { call, from, status, report: Report::default() };
                let _ = events.send(DriverEvent::JobReport(report, Bytes::new(), None));
            }
        });
    }
}

/// When list requests came, and when jobs were sent to which executor, in seconds since the first request.
struct Observed {
    calls: Vec<f64>,
    sent: Vec<(usize, f64)>,
}

impl Observed {
    /// When the last job was sent to the draining executor.
    fn last_to_draining(&self) -> f64 {
        self.sent.iter().filter(|sent| sent.0 == 0).map(|sent| sent.1).fold(0.0, f64::max)
    }

    /// Whether any job was sent in the second after `from`.
    fn sent_within_second(&self, from: f64) -> bool {
        self.sent.iter().any(|sent| (from..from + 1.0).contains(&sent.1))
    }
}

/// Runs the `me`-th of `nodes` nodes, with two executors and forty jobs per second, for the default duration.
fn run(script: &'static [Call], pushed: bool, me: usize, nodes: usize) -> Observed {
    run_for(RUN_SECONDS, script, pushed, me, nodes)
}

/// Like `run`, for `duration` seconds. The node knows both executors from before its start.
fn run_for(duration: f64, script: &'static [Call], pushed: bool, me: usize, nodes: usize) -> Observed {
    block(async move {
        let mut ports = Vec::new();
        for _ in 0..3 {
            ports.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
        }
        let addrs: Vec<_> = ports.iter().map(|port| port.local_addr().expect("an address")).collect();
        let (requested_at, drains) = (RefCell::default(), Cell::default());
        let service = Rc::new(Service { script, requested_at, drains, workers: [addrs[0], addrs[1]] });
        let known = format!("\"servers\": [{},{}]", service.entry(0, "up"), service.entry(1, "up"));
        let mut pairs = NO_REPORTS.map(|(old, new)| (old, new.to_owned())).to_vec();
        pairs.push(("\"servers\": []", known));
        pairs.push(("127.0.0.1:8500", addrs[2].to_string()));
        pairs.push(("\"me\": 0", format!("\"me\": {me}")));
        pairs.push(("\"replicasOfMe\": 1", format!("\"replicasOfMe\": {nodes}")));
        pairs.extend(pushed.then(|| (PUSHED.0, PUSHED.1.to_owned())));
        let pairs: Vec<_> = pairs.iter().map(|(old, new)| (*old, new.as_str())).collect();
        let (driver, events, event_receiver, _) = driver_with_config(config_with(&pairs));
        let sent = Rc::new(RefCell::default());
        let mut ports = ports.into_iter();
        for at in 0..2 {
            actix_rt::spawn(run_executor(ports.next().expect("a port"), at, sent.clone(), events.clone()));
        }
        actix_rt::spawn(service.clone().serve(ports.next().expect("a port")));
        actix_rt::spawn(driver.run(event_receiver));
        let (mut ticks, mut id, mut answers) = (interval(seconds(0.025)), 0, Vec::new());
        let (clock, begun) = (crate::clock::Clock::new(), Instant::now());
        let over = |requested_at: &[Instant]| {
            requested_at.first().is_some_and(|first| first.elapsed() > seconds(duration))
        };
        while !over(&service.requested_at.borrow()) {
            assert!(begun.elapsed() < seconds(2.0 * duration), "the node never requests the list");
            ticks.tick().await;
            id += 1;
            let (answer, answered) = oneshot::channel();
            answers.push(answered);
            let call = format!("c-{id}");
            let mut job = job(&call, "look", 1.0, clock.now());
            job.headers.insert(HeaderName::from_static("x-call-id"), call.try_into().expect("a value"));
            let client = Client { answer, connection: None };
            events.send(DriverEvent::Accepted(id, Box::new(job), client)).expect("a driver");
        }
        let first = service.requested_at.borrow()[0];
        let since = |at: &Instant| at.saturating_duration_since(first).as_secs_f64();
        let calls = service.requested_at.borrow().iter().map(since).collect();
        let sent = sent.borrow().iter().map(|(at, when)| (*at, since(when))).collect();
        Observed { calls, sent }
    })
}

// A watch falls silent, and an executor starts to drain right after. Each node requests the list again in its turn,
// by `called` at the latest. Nothing is sent to the draining executor once the drain counts as known, and the other
// one then gets all jobs. Guards against delays that add up: the silence, waiting for the turn and a failing request.
#[test_case(&[FallsSilent, Followed], 0, 1, 2.8; "a single node")]
#[test_case(&[FallsSilent, Followed], 2, 6, 4.5; "one of six")]
#[test_case(&[FallsSilent, Followed], 299, 300, 4.5; "one of hundreds")]
#[test_case(&[FallsSilent, Followed], 77, 300, 4.5; "another of hundreds")]
#[test_case(&[FallsSilent, Followed], 150, 300, 4.5; "a third of hundreds")]
fn a_silent_watch_is_reopened_before_changes_count_as_known(
    script: &'static [Call],
    me: usize,
    nodes: usize,
    called: f64,
) {
    let observed = run(script, false, me, nodes);
    assert!(
        observed.calls.len() == 2 && observed.calls[1] < called + TOLERANCE,
        "calls at {:?}",
        observed.calls
    );
    assert!(
        observed.last_to_draining() < observed.calls[1] + TOLERANCE,
        "sent {:.2}, calls at {:?}",
        observed.last_to_draining(),
        observed.calls
    );
    assert!(
        observed.last_to_draining() > 1.0 && observed.sent_within_second(RUN_SECONDS - 1.2),
        "jobs are sent before and after"
    );
}

// Later requests fail as well, so no list arrives in time. Then no job is sent by the old list, and sending resumes
// with a new one.
#[test_case(&[FallsSilent, Refused(0.9), Refused(0.9), Followed], 5, 6; "they wait and are refused")]
#[test_case(&[FallsSilent, Reset(0.9), Refused(0.0), Reset(0.9), Followed], 0, 6; "they wait and are reset")]
#[test_case(&[FallsSilent, Refused(0.0), Refused(0.0), Followed], 3, 6; "they are refused immediately")]
#[test_case(&[FallsSilent, Reset(2.0), Followed], 299, 300; "of hundreds")]
#[test_case(&[FallsSilent, Hangs], 3, 6; "they are never answered")]
#[test_case(&[Closes, Refused(0.0), Hangs, Followed], 0, 6; "the next is refused, the one after never answered")]
#[test_case(&[Closes, Hangs], 0, 1; "none is ever answered again")]
#[test_case(&[FallsSilent, Reset(0.0)], 0, 6; "the service falls silent, and is gone when it is called")]
fn nothing_is_sent_by_an_expired_list(script: &'static [Call], me: usize, nodes: usize) {
    let observed = run(script, false, me, nodes);
    assert!(
        observed.last_to_draining() < KNOWN_AFTER && observed.sent_within_second(4.0),
        "sent {:.2}, calls at {:?}",
        observed.last_to_draining(),
        observed.calls
    );
    let listed = observed.calls.get(script.len() - 1).filter(|_| matches!(script.last(), Some(Followed)));
    let late = observed
        .sent
        .iter()
        .filter(|sent| sent.1 > KNOWN_AFTER && listed.is_none_or(|listed| sent.1 < *listed));
    assert_eq!(late.count(), 0, "jobs sent by the expired list: calls at {:?}", observed.calls);
    for pair in observed.calls.windows(2).skip(1) {
        assert!(pair[1] - pair[0] < 3.25 + 2.0 + TOLERANCE, "calls at {:?}", observed.calls);
    }
}

// While discovery is down no node is told of changes, so nodes must go on serving.
#[test_case(&[Closes, Refused(0.5)], 2, 6; "the watch is closed, and calls wait and are refused")]
#[test_case(&[Closes, Reset(0.5)], 5, 6; "or reset")]
fn a_node_serves_on_while_discovery_is_down(script: &'static [Call], me: usize, nodes: usize) {
    let observed = run(script, false, me, nodes);
    assert!(
        (4..8).all(|from| observed.sent_within_second(f64::from(from))),
        "sent {:.2}, calls {:?}",
        observed.last_to_draining(),
        observed.calls
    );
    assert!(observed.calls.len() > 3, "requests continue: {:?}", observed.calls);
}

// In a long outage the list is in use, so each node calls often enough to hear within six seconds that discovery is back.
// Guards against calls that become rare, after which nodes sent to a draining executor for up to nine seconds.
#[test_case(&[Closes, Refused(2.0)], 20, 24; "calls wait and are refused")]
#[test_case(&[Closes, Reset(1.0)], 290, 300; "calls wait and are reset, of hundreds")]
fn the_end_of_a_long_outage_is_noticed_in_time(script: &'static [Call], me: usize, nodes: usize) {
    const OUTAGE: f64 = 32.0;
    const LONGEST_BETWEEN_CALLS: f64 = 4.5;
    let observed = run_for(OUTAGE, script, false, me, nodes);
    for pair in observed.calls.windows(2) {
        assert!(pair[1] - pair[0] < LONGEST_BETWEEN_CALLS + TOLERANCE, "calls at {:?}", observed.calls);
    }
    let is_served =
        |second: f64| observed.sent_within_second(second) || observed.sent_within_second(second + 1.0);
    assert!((0..30).map(f64::from).all(is_served), "calls at {:?}", observed.calls);
}

// A list from before the start may be arbitrarily old, and all changes since count as known. Waiting jobs are sent
// once the first list arrives.
#[test_case(&[Hangs, Followed], 1, 6, 5.25; "the first call is never answered")]
#[test_case(&[Hangs, Followed], 150, 300, 9.25; "nor is it of hundreds")]
#[test_case(&[Refused(0.0), Hangs, Followed], 0, 6, 7.25; "it is refused, and the second never answered")]
#[test_case(&[Refused(0.9), Reset(0.0), Followed], 2, 6, 5.0; "calls wait and are refused, or are reset")]
#[test_case(&[Hangs], 0, 1, RUN_SECONDS; "none is ever answered")]
fn nothing_is_sent_before_the_first_list(script: &'static [Call], me: usize, nodes: usize, followed: f64) {
    let observed = run(script, false, me, nodes);
    let first = observed.sent.first().map_or(f64::INFINITY, |sent| sent.1);
    let listed = observed.calls.get(script.len() - 1).filter(|_| matches!(script.last(), Some(Followed)));
    let from = listed.copied().unwrap_or(f64::INFINITY);
    assert!(
        first >= from && from.min(RUN_SECONDS) < followed + TOLERANCE,
        "first sent {first:.2}, calls at {:?}",
        observed.calls
    );
    assert!(observed.last_to_draining() == 0.0, "a job was sent to the draining executor");
    assert!(
        from.is_infinite() || first < from + TOLERANCE && observed.sent_within_second(RUN_SECONDS - 1.2),
        "jobs are sent by the new list"
    );
}

// After discovery has been unreachable for half a minute, an expired list is better than none.
#[test_case(&[Refused(0.5)], 0, 1, 0.0; "a list from before the start")]
#[test_case(&[FallsSilent, Reset(0.0)], 0, 6, 6.0; "a list that expired before discovery went")]
fn in_a_long_outage_an_expired_list_is_used(script: &'static [Call], me: usize, nodes: usize, until: f64) {
    const OUTAGE: f64 = 30.0;
    let observed = run_for(37.0, script, false, me, nodes);
    let gone = observed.calls[script.len() - 1]; // The first request that finds the service unreachable.
    let idle = |sent: &&(usize, f64)| sent.1 > until && sent.1 < gone + OUTAGE;
    assert_eq!(observed.sent.iter().filter(idle).count(), 0, "calls at {:?}", observed.calls);
    assert!(observed.sent_within_second(gone + OUTAGE + 1.0), "calls at {:?}", observed.calls);
}

// Where lists are pushed, the list service is used by this node alone, so it is called again at once.
#[test_case(&[FallsSilent, Followed], 2.5; "a watch that falls silent")]
#[test_case(&[Hangs, Followed], 3.25; "a call that is never answered")]
fn a_pushed_list_is_followed_again_at_once(script: &'static [Call], noticed: f64) {
    let observed = run(script, true, 3, 300);
    assert!(observed.calls[1] < noticed + 0.1 + TOLERANCE, "calls at {:?}", observed.calls);
    assert!(
        observed.last_to_draining() < observed.calls[1] + TOLERANCE
            && observed.sent_within_second(RUN_SECONDS - 1.2),
        "sent {:.2}",
        observed.last_to_draining()
    );
}
