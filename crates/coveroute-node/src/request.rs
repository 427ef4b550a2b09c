//! Request: turns a client's request into a job. The request is kept as received; only what decisions depend
//! on is decoded.
use actix_http::header::{HeaderMap, CONTENT_LENGTH};
use actix_http::uri::PathAndQuery;
use actix_http::{HttpMessage, Method, Payload, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use coveroute::random;
use coveroute_engine::Call;
use futures_util::StreamExt;

use crate::answer::Answer;
use crate::wire;

/// Maximum total size of a request's headers, in bytes; they are kept for as long as the job.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The answer to a request whose body ended early.
pub const BODY_INCOMPLETE: &str = "the body broke off";
/// Headers that may occur only once: of two, different recipients might each use another one.
const SINGLE_VALUE: [&str; 4] = [wire::CALL_ID, wire::CALL_CLASS, wire::CALLER, wire::BUDGET_MS];

/// A client's request: what decisions depend on, and the request as received.
#[derive(Debug)]
pub struct Job {
    pub call: Call,
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Reads the whole request; `received_at` is when its head had arrived. A request with an invalid head is rejected
/// before its body is read, so that clients can't make the node read large bodies that it can't use.
pub async fn read_job(mut request: Request, received_at: f64) -> Result<Job, Answer> {
    let invalid = |words| Answer::Invalid(StatusCode::BAD_REQUEST, words);
    if request.method() != Method::POST {
        return Err(Answer::Invalid(StatusCode::METHOD_NOT_ALLOWED, "jobs come by POST"));
    }
    let size: usize = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size > MAX_HEADER_BYTES {
        return Err(Answer::Invalid(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "too many headers"));
    }
    let is_repeated = |name: &&str| request.headers().get_all(*name).nth(1).is_some();
    if SINGLE_VALUE.iter().any(is_repeated) {
        return Err(invalid("a header that may come once came twice"));
    }
    let payload = request.take_payload();
    let (head, _) = request.into_parts();
    let headers = head.headers.clone();
    // Accepts any UTF-8: a tenant with a name beyond ASCII would otherwise count as unknown and have no
    // share.
    let text =
        |name| headers.get(name).and_then(|value| std::str::from_utf8(value.as_bytes()).ok()).map(str::trim);
    let number = |name| text(name).and_then(|value| value.parse::<f64>().ok());
    let digits = |name| text(name).filter(|value| value.bytes().all(|b| b.is_ascii_digit()));
    let call =
        text(wire::CALL_ID).filter(|call| is_valid_call_id(call)).ok_or(invalid("no fit X-Call-Id"))?;
    // A budget beyond 32 bits counts as missing: no client waits for that long, and executors reject it.
    let budget = digits(wire::BUDGET_MS).and_then(|ms| ms.parse::<u32>().ok()).filter(|ms| *ms > 0);
    let budget = f64::from(budget.ok_or(invalid("no fit X-Budget-Ms"))?) / 1e3;
    let target = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
    let class = operation(target.path());
    // Otherwise the node could treat a job as harmless to repeat that is a different operation to the
    // executor.
    if text(wire::CALL_CLASS).is_some_and(|told| told != class) {
        return Err(invalid("X-Call-Class is not the first part of the path"));
    }
    let body = read_body(payload, &headers, wire::MAX_BODY_BYTES).await?;
    let call = Call {
        call_id: call.into(),
        class: class.to_owned(),
        caller: text(wire::CALLER).map(str::to_owned),
        budget,
        hint: number(wire::CALL_COST).map(|us| us / 1e6),
        memory: text(wire::CALL_INFO).and_then(|info| info_value(info, "memory")),
        is_retry: text(wire::AGAIN) == Some("1"),
        key: text(wire::ROUTE_HASH).map(|key| random::hash(key.as_bytes())),
        received_at,
    };
    Ok(Job { call, method: head.method.clone(), target, headers, body })
}

/// The operation that a path names: its first segment.
pub fn operation(path: &str) -> &str {
    path.split('/').nth(1).unwrap_or_default()
}

/// Reads a body of at most `most` bytes; one with a larger stated length is rejected unread. The time limit
/// is enforced by the connection's sweep.
pub async fn read_body(mut payload: Payload, headers: &HeaderMap, most: usize) -> Result<Bytes, Answer> {
    let too_large = || Err(Answer::Invalid(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    let stated =
        headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.trim().parse::<usize>().ok());
    if stated > Some(most) {
        return too_large();
    }
    let mut body = BytesMut::with_capacity(stated.unwrap_or(0));
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Answer::Invalid(StatusCode::BAD_REQUEST, BODY_INCOMPLETE))?;
        if body.len() + chunk.len() > most {
            return too_large();
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Whether a call id can be used in a URL path unescaped, as it is when a forward is given up.
fn is_valid_call_id(call: &str) -> bool {
    const MAX_LENGTH: usize = 128;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    (1..=MAX_LENGTH).contains(&call.len()) && call.bytes().all(plain) && !call.bytes().all(|b| b == b'.')
}

/// The value of `name` in a list of the form `name=value,name=value`.
fn info_value(info: &str, name: &str) -> Option<f64> {
    let pairs = info.split(',').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|pair| pair.0.trim() == name)?.1.trim().parse().ok()
}
