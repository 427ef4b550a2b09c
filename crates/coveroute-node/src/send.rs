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
use bytes::Bytes;
use coveroute::types::{Outcome, Report};
use coveroute_engine::Reply;
use coveroute_shared::Gauge;
use log::{debug, warn};

use crate::attempt::{Attempt, Progress};
use crate::executors::{Lease, Patience};
use crate::take_in::Job;
use crate::wire;

/// The rest of an answer whose head has told all; a connection that takes longer is not worth keeping.
const REST_WITHIN: Duration = Duration::from_secs(1);

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
    let uri = Uri::builder().scheme("http").authority(lease.addr().to_string());
    let Ok(uri) = uri.path_and_query(job.target.clone()).build() else {
        // Can't be: both parts were read as such before.
        return tell(Reply::Ended(Outcome::Unreachable, Report::default()));
    };
    let mut request = lease.client().request(job.method.clone(), uri);
    *request.headers_mut() = headers(&job.headers, attempt.tells());
    let body = Body { bytes: job.body.clone(), attempt: attempt.clone() };
    let mut sent = pin!(watched(request.send_body(body), &attempt, || tell(Reply::Written)));
    let mut answer = timeout(patience.heard, &mut sent).await;
    if answer.is_err() {
        tell(Reply::Unheard);
        answer = timeout(patience.taken.saturating_sub(patience.heard), sent).await;
    }
    match answer {
        Err(_) => tell(Reply::Ended(Outcome::TimedOut, Report::default())),
        Ok(Err(e)) => {
            debug!("{}: {e}", lease.addr());
            tell(Reply::Ended(broken(&e), Report::default()));
        }
        Ok(Ok(mut answer)) => {
            tell(reply(answer.status(), answer.headers()));
            let _ = timeout(REST_WITHIN, answer.body().limit(wire::BODY_MOST)).await;
        }
    }
}

/// Does the work, and looks before each step of it whether that is still wanted; none if it is not. Guards against a
/// client that leaves while the node is busy, or a connection comes up: nothing is begun for it any more.
pub async fn unless<T>(unwanted: impl Fn() -> bool, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    poll_fn(|context| match unwanted() {
        true => Poll::Ready(None),
        false => work.as_mut().poll(context).map(Some),
    })
    .await
}

/// A job's body, which notes what of it was asked for.
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
        self.attempt.moves_on(if bytes.is_empty() { Progress::Ended } else { Progress::Begun });
        Poll::Ready((!bytes.is_empty()).then_some(Ok(bytes)))
    }
}

/// Drives the exchange, and tells once that the request has been written whole: its end was asked for, and what was
/// in hand went out with no error. A socket that takes no more than a part of the last 64 KiB counts as if it had.
async fn watched<T>(
    exchange: impl Future<Output = Result<T, SendRequestError>>,
    attempt: &Attempt,
    tell: impl Fn(),
) -> Result<T, SendRequestError> {
    let (mut exchange, mut told) = (pin!(exchange), false);
    poll_fn(|context| {
        let polled = exchange.as_mut().poll(context);
        let failed = matches!(&polled, Poll::Ready(Err(SendRequestError::Send(_))));
        if attempt.progress() == Progress::Ended && !failed && !std::mem::replace(&mut told, true) {
            attempt.is_written();
            tell();
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
