//! Take in: a client's request becomes a job, its bytes kept as they came and only what decisions need
//! decoded.
use actix_http::header::{HeaderMap, CONTENT_LENGTH};
use actix_http::uri::PathAndQuery;
use actix_http::{HttpMessage, Method, Payload, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use coveroute::chance;
use coveroute_engine::Call;
use futures_util::StreamExt;

use crate::relay::Answer;
use crate::wire;

/// The most that the headers of a request may hold: they are kept as long as the job is.
const HEADERS_MOST: usize = 16 * 1024;
/// What is told of a request that never came whole.
pub const BROKE_OFF: &str = "the body broke off";
/// Two of one of these may be read as one or the other further on: the operation, the id, and what frames.
const ONCE: [&str; 4] = [wire::CALL_ID, wire::CALL_CLASS, wire::CALLER, wire::BUDGET_MS];

#[derive(Debug)]
pub struct Job {
    pub call: Call,
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Reads the whole request; `came` is when its head had come. What the head shows to be unfit is told before the
/// body is read: guards against clients that send what can't be used, as much of it as they can.
pub async fn job(mut request: Request, came: f64) -> Result<Job, Answer> {
    let unfit = |words| Answer::Unfit(StatusCode::BAD_REQUEST, words);
    if request.method() != Method::POST {
        return Err(Answer::Unfit(StatusCode::METHOD_NOT_ALLOWED, "jobs come by POST"));
    }
    let size: usize = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size > HEADERS_MOST {
        return Err(Answer::Unfit(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "too many headers"));
    }
    let several = |name: &&str| request.headers().get_all(*name).nth(1).is_some();
    if ONCE.iter().any(several) {
        return Err(unfit("a header that may come once came twice"));
    }
    let payload = request.take_payload();
    let (head, _) = request.into_parts();
    let headers = head.headers.clone();
    // Guards against names of tenants that aren't ASCII: taken for nobody's, they would have no share.
    let text =
        |name| headers.get(name).and_then(|value| std::str::from_utf8(value.as_bytes()).ok()).map(str::trim);
    let number = |name| text(name).and_then(|value| value.parse::<f64>().ok());
    let whole = |name| text(name).filter(|value| value.bytes().all(|b| b.is_ascii_digit()));
    let call = text(wire::CALL_ID).filter(|call| is_id(call)).ok_or(unfit("no fit X-Call-Id"))?;
    // A figure that no clock holds is none: nobody waits for that long, and executors turn it away.
    let budget = whole(wire::BUDGET_MS).and_then(|ms| ms.parse::<u32>().ok()).filter(|ms| *ms > 0);
    let budget = f64::from(budget.ok_or(unfit("no fit X-Budget-Ms"))?) / 1e3;
    let target = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
    let class = class(target.path());
    // Guards against a job that is held to be harmless here, and is another to the executor.
    if text(wire::CALL_CLASS).is_some_and(|told| told != class) {
        return Err(unfit("X-Call-Class is not the first part of the path"));
    }
    let body = body(payload, &headers, wire::BODY_MOST).await?;
    let call = Call {
        call: call.into(),
        class: class.to_owned(),
        caller: text(wire::CALLER).map(str::to_owned),
        budget,
        hint: number(wire::CALL_COST).map(|us| us / 1e6),
        memory: text(wire::CALL_INFO).and_then(|info| figure(info, "memory")),
        again: text(wire::AGAIN) == Some("1"),
        key: text(wire::ROUTE_HASH).map(|key| chance::hash(key.as_bytes())),
        came,
    };
    Ok(Job { call, method: head.method.clone(), target, headers, body })
}

/// The operation that a path names: its first part.
pub fn class(path: &str) -> &str {
    path.split('/').nth(1).unwrap_or_default()
}

/// Reads a body up to `most`; none of one that says to hold more. How long it may take is
/// seen to at the door.
pub async fn body(mut payload: Payload, headers: &HeaderMap, most: usize) -> Result<Bytes, Answer> {
    let too_large = || Err(Answer::Unfit(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    let told =
        headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.trim().parse::<usize>().ok());
    if told > Some(most) {
        return too_large();
    }
    let mut body = BytesMut::with_capacity(told.unwrap_or(0));
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Answer::Unfit(StatusCode::BAD_REQUEST, BROKE_OFF))?;
        if body.len() + chunk.len() > most {
            return too_large();
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// An id that can stand in a path as it is: it does, where a forward is given up.
fn is_id(call: &str) -> bool {
    const MOST: usize = 128;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    (1..=MOST).contains(&call.len()) && call.bytes().all(plain) && !call.bytes().all(|b| b == b'.')
}

/// One of the figures in `name=value,name=value`.
fn figure(info: &str, name: &str) -> Option<f64> {
    let pairs = info.split(',').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|pair| pair.0.trim() == name)?.1.trim().parse().ok()
}
