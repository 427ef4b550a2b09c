//! Send: sends one forward of an invocation to an executor and interprets the response.
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{header, StatusCode, Uri};
use actix_rt::time::timeout;
use awc::error::{ConnectError, SendRequestError};
use awc::ClientResponse;
use bytes::Bytes;
use coveroute::types::{Outcome, Report};
use coveroute_engine::Reply;
use coveroute_shared::Gauge;
use log::{debug, warn};

use crate::attempt::{Attempt, Progress, Refusal};
use crate::connection::is_local_connect_failure;
use crate::executors::{AckTimeouts, Lease};
use crate::request::Job;
use crate::wire;

/// Time limit for reading the body of a response, which carries no information beyond its head. A connection
/// that takes longer is closed rather than reused.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// How often an attempt may begin before its first byte is written: a second time if its connection is
/// established late, and a third time if the node is delayed just then.
const MAX_BEGINS: usize = 3;

/// Sends the job unchanged and reports the reply through `on_reply` as soon as it is known. If the executor does
/// not acknowledge the job in time, that is first reported, and later the connection is closed. This covers
/// machines that vanish and jobs that get lost, neither of which causes an error.
pub async fn forward(
    lease: &Lease,
    job: &Job,
    attempt: Rc<Attempt>,
    timeouts: AckTimeouts,
    on_reply: impl Fn(Reply),
) {
    let mut sent = pin!(exchange(lease, job, &attempt, || on_reply(Reply::Written)));
    let mut response = timeout(timeouts.report_after, &mut sent).await;
    if response.is_err() {
        on_reply(Reply::NotAcknowledged);
        response = timeout(timeouts.give_up_after.saturating_sub(timeouts.report_after), sent).await;
    }
    match response {
        Err(_) => on_reply(Reply::Ended(Outcome::TimedOut, Report::default())),
        Ok(Err(SendError::Refused(Refusal::ClientDisconnected))) => {
            // Ends the task that serves the client, which reports the disconnect.
            attempt.client().iter().for_each(|client| client.close.notify_one());
        }
        Ok(Err(SendError::Refused(_))) => on_reply(Reply::Ended(Outcome::NotWritten, Report::default())),
        Ok(Err(SendError::NoConnection(e))) => {
            attempt.note_no_connection(&e);
            on_reply(Reply::Ended(Outcome::NotWritten, Report::default()));
        }
        Ok(Err(SendError::Failed(e))) => {
            debug!("exchange with executor {} failed: {e}", lease.addr());
            on_reply(Reply::Ended(failure_outcome(&e), Report::default()));
        }
        Ok(Ok(mut response)) => {
            on_reply(reply(response.status(), response.headers()));
            let _ = timeout(DRAIN_TIMEOUT, response.body().limit(wire::MAX_BODY_BYTES)).await;
        }
    }
}

/// Why an exchange ended without a response.
enum SendError {
    /// The attempt refused to write before all bytes were written.
    Refused(Refusal),
    /// This machine could not open a connection.
    NoConnection(SendRequestError),
    /// The connection or the exchange on it failed.
    Failed(SendRequestError),
}

/// Builds the request and sends it. Builds it again if its stated time budget is out of date before the first
/// byte is written.
async fn exchange(
    lease: &Lease,
    job: &Job,
    attempt: &Rc<Attempt>,
    on_written: impl Fn(),
) -> Result<ClientResponse, SendError> {
    let uri = Uri::builder().scheme("http").authority(lease.addr().to_string());
    // Can't fail: both parts were parsed before.
    let uri = uri.path_and_query(job.target.clone()).build().unwrap_or_default();
    for _ in 0..MAX_BEGINS {
        let left = attempt.begin().map_err(SendError::Refused)?;
        let mut request = lease.client().request(job.method.clone(), uri.clone());
        *request.headers_mut() = headers(&job.headers, left);
        let body = Body { bytes: job.body.clone(), attempt: attempt.clone() };
        let sent = attempt.run_exchange(report_written(request.send_body(body), attempt, &on_written)).await;
        match (sent, attempt.progress(), attempt.refusal()) {
            (Ok(response), ..) => return Ok(response),
            (Err(_), Progress::Waiting, Some(Refusal::BudgetOverstated)) => {}
            (Err(_), Progress::Waiting, Some(refusal)) => return Err(SendError::Refused(refusal)),
            (
                Err(_),
                Progress::Begun,
                Some(refusal @ (Refusal::ClientDisconnected | Refusal::DecisionExpired)),
            ) => {
                return Err(SendError::Refused(refusal));
            }
            (Err(e), ..) if is_local_connect_failure(&e) => return Err(SendError::NoConnection(e)),
            (Err(e), ..) => return Err(SendError::Failed(e)),
        }
    }
    Err(SendError::Refused(Refusal::BudgetOverstated))
}

/// A job's body. Notifies the attempt when the HTTP client has read it to the end.
struct Body {
    bytes: Bytes,
    attempt: Rc<Attempt>,
}

impl MessageBody for Body {
    type Error = Infallible;

    /// An empty body has no stated size either, since `poll_next` would then never be called and the attempt
    /// not notified: the HTTP client sends it chunked, with no chunk but the last, which also frames an empty
    /// body.
    fn size(&self) -> BodySize {
        match self.bytes.len() {
            0 => BodySize::Stream,
            len => BodySize::Sized(len as u64),
        }
    }

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context) -> Poll<Option<Result<Bytes, Infallible>>> {
        let bytes = std::mem::take(&mut self.bytes);
        if bytes.is_empty() {
            self.attempt.body_ended();
        }
        Poll::Ready((!bytes.is_empty()).then_some(Ok(bytes)))
    }
}

/// Runs the exchange and calls `on_written` once when the request has been completely written.
async fn report_written<T>(exchange: impl Future<Output = T>, attempt: &Attempt, on_written: impl Fn()) -> T {
    let (mut exchange, mut reported) = (pin!(exchange), false);
    poll_fn(|context| {
        let polled = exchange.as_mut().poll(context);
        if attempt.progress() == Progress::Written && !std::mem::replace(&mut reported, true) {
            on_written();
        }
        polled
    })
    .await
}

/// The client's headers without the hop-by-hop ones, with the time budget set to what is left.
pub fn headers(received: &HeaderMap, left: Duration) -> HeaderMap {
    const HOP_BY_HOP: [HeaderName; 9] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let mut headers = HeaderMap::with_capacity(received.len());
    let kept =
        received.iter().filter(|(name, _)| !HOP_BY_HOP.contains(name) && name.as_str() != "keep-alive");
    kept.for_each(|(name, value)| headers.append(name.clone(), value.clone()));
    let left = HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
    headers.insert(HeaderName::from_static(wire::BUDGET_MS), left);
    headers
}

/// Interprets the head of an executor's response to a job.
pub fn reply(status: StatusCode, headers: &HeaderMap) -> Reply {
    let rejected = headers.get(wire::REJECTED).is_some_and(|value| value == "1");
    let load = headers.get(wire::LOAD_REPORT).map_or(&b""[..], |value| value.as_bytes());
    let outcome = match (status.as_u16(), rejected) {
        (202, _) => return Reply::Taken,
        // Only the executor's own statement proves that the job never ran.
        (503 | 504, true) => Outcome::Full,
        // To a client 429 is a refusal, after which trying again is harmless. It does not prove that the job never ran.
        (500 | 429, _) => Outcome::Errored,
        (400..=499, _) => return Reply::Rejected(status.as_u16(), report(load)),
        _ => {
            warn!("unexpected status {status} from an executor in response to a job");
            Outcome::Errored
        }
    };
    Reply::Ended(outcome, report(load))
}

/// Parses a load report; one that can't be parsed yields an empty report.
pub fn report(text: &[u8]) -> Report {
    serde_json::from_slice::<Gauge>(text).unwrap_or_default().into()
}

/// What a failed exchange proves. awc reports a connection that ended without a response with the same error
/// type as one that was never established, except for the variant `Disconnected`. A write error means that
/// the last byte was never sent.
pub fn failure_outcome(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Reset,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            Outcome::Unreachable
        }
        _ => Outcome::Reset,
    }
}
