//! Send: one forward of an invocation to an executor, and what its connection tells of it.
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
use crate::connection::could_not_connect;
use crate::executors::{Lease, Patience};
use crate::take_in::Job;
use crate::wire;

/// The rest of an answer whose head has told all; a connection that takes longer is not worth keeping.
const REST_WITHIN: Duration = Duration::from_secs(1);

/// How often an attempt is begun while its connection comes up or the kernel has no room: once more after a connection that came up
/// late, and once after a node that was held up just then.
const BEGUN_MOST: usize = 3;

/// Sends the job as it came. Tells the reply as soon as it is known.
/// An executor that does not say in time that it has the job is told of first, then given up, by closing the
/// connection. Guards against machines that vanish and jobs that get lost: neither says anything.
pub async fn forward(
    lease: Lease,
    job: &Job,
    attempt: Rc<Attempt>,
    patience: Patience,
    tell: impl Fn(Reply),
) {
    let mut sent = pin!(exchange(&lease, job, &attempt, || tell(Reply::Written)));
    let mut answer = timeout(patience.heard, &mut sent).await;
    if answer.is_err() {
        tell(Reply::Unheard);
        answer = timeout(patience.taken.saturating_sub(patience.heard), sent).await;
    }
    match answer {
        Err(_) => tell(Reply::Ended(Outcome::TimedOut, Report::default())),
        Ok(Err(NotSent::Refused(Refusal::ClientLeft))) => {
            // What serves the client ends, and tells that it has left.
            attempt.client().iter().for_each(|client| client.close.notify_one());
        }
        Ok(Err(NotSent::Refused(_))) => tell(Reply::Ended(Outcome::Moot, Report::default())),
        Ok(Err(NotSent::NoConnection(e))) => {
            attempt.has_no_connection(&e);
            tell(Reply::Ended(Outcome::Moot, Report::default()));
        }
        Ok(Err(NotSent::Broken(e))) => {
            debug!("{}: {e}", lease.addr());
            tell(Reply::Ended(broken(&e), Report::default()));
        }
        Ok(Ok(mut answer)) => {
            tell(reply(answer.status(), answer.headers()));
            let _ = timeout(REST_WITHIN, answer.body().limit(wire::BODY_MOST)).await;
        }
    }
}

/// Why an exchange came to no answer.
enum NotSent {
    /// Not all bytes were written.
    Refused(Refusal),
    /// This machine could open no connection.
    NoConnection(SendRequestError),
    Broken(SendRequestError),
}

/// Words the request and writes it, anew where what it told no longer holds when it could be written.
async fn exchange(
    lease: &Lease,
    job: &Job,
    attempt: &Rc<Attempt>,
    tell_written: impl Fn(),
) -> Result<ClientResponse, NotSent> {
    let uri = Uri::builder().scheme("http").authority(lease.addr().to_string());
    // Can't fail: both parts were read as such before.
    let uri = uri.path_and_query(job.target.clone()).build().unwrap_or_default();
    for _ in 0..BEGUN_MOST {
        let left = attempt.begins().map_err(NotSent::Refused)?;
        let mut request = lease.client().request(job.method.clone(), uri.clone());
        *request.headers_mut() = headers(&job.headers, left);
        let body = Body { bytes: job.body.clone(), attempt: attempt.clone() };
        let sent = attempt.drives(watched(request.send_body(body), attempt, &tell_written)).await;
        match (sent, attempt.progress(), attempt.refusal()) {
            (Ok(answer), ..) => return Ok(answer),
            (Err(_), Progress::Waiting, Some(Refusal::ToldTooMuch)) => {}
            (Err(_), Progress::Waiting, Some(refusal)) => return Err(NotSent::Refused(refusal)),
            (Err(_), Progress::Begun, Some(refusal @ (Refusal::ClientLeft | Refusal::TooLate))) => {
                return Err(NotSent::Refused(refusal));
            }
            (Err(e), ..) if could_not_connect(&e) => return Err(NotSent::NoConnection(e)),
            (Err(e), ..) => return Err(NotSent::Broken(e)),
        }
    }
    Err(NotSent::Refused(Refusal::ToldTooMuch))
}

/// A job's body, which tells the attempt when all of it was asked for.
struct Body {
    bytes: Bytes,
    attempt: Rc<Attempt>,
}

impl MessageBody for Body {
    type Error = Infallible;

    /// Also of an empty one it is not told, as nothing would be asked for then: the client sends it in chunks,
    /// of which there are none, and so frames it as empty.
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

/// Drives the exchange, and tells once that the request has been written whole.
async fn watched<T>(exchange: impl Future<Output = T>, attempt: &Attempt, tell_written: impl Fn()) -> T {
    let (mut exchange, mut told) = (pin!(exchange), false);
    poll_fn(|context| {
        let polled = exchange.as_mut().poll(context);
        if attempt.progress() == Progress::Written && !std::mem::replace(&mut told, true) {
            tell_written();
        }
        polled
    })
    .await
}

/// All that the client sent, but for what holds for its own connection only and for the time left.
pub fn headers(came: &HeaderMap, left: Duration) -> HeaderMap {
    const OWN: [HeaderName; 9] = [
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
    let mut headers = HeaderMap::with_capacity(came.len());
    let kept = came.iter().filter(|(name, _)| !OWN.contains(name) && name.as_str() != "keep-alive");
    kept.for_each(|(name, value)| headers.append(name.clone(), value.clone()));
    let left = HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
    headers.insert(HeaderName::from_static(wire::BUDGET_MS), left);
    headers
}

pub fn reply(status: StatusCode, headers: &HeaderMap) -> Reply {
    let rejected = headers.get(wire::REJECTED).is_some_and(|value| value == "1");
    let load = headers.get(wire::LOAD_REPORT).map_or(&b""[..], |value| value.as_bytes());
    let outcome = match (status.as_u16(), rejected) {
        (202, _) => return Reply::Taken,
        // Only its own word proves that it never ran.
        (503 | 504, true) => Outcome::Full,
        (500, _) => Outcome::Errored,
        (400..=499, _) => return Reply::Unfit(status.as_u16(), report(load)),
        _ => {
            warn!("an executor answered {status} to a job");
            Outcome::Errored
        }
    };
    Reply::Ended(outcome, report(load))
}

/// A load report; none where it can't be read.
pub fn report(text: &[u8]) -> Report {
    serde_json::from_slice::<Gauge>(text).unwrap_or_default().into()
}

/// What a broken exchange proves. awc tells a connection that ended without an answer in the same words as
/// one that never came up, but for `Disconnected`; an error in writing means that the last byte never left.
pub fn broken(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Reset,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            Outcome::Unreachable
        }
        _ => Outcome::Reset,
    }
}
