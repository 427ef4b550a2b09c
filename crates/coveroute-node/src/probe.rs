//! Probe: what a node asks an executor beside jobs, and tells it of one.
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use coveroute::types::{Outcome, Report};
use log::debug;

use crate::connection::could_not_connect;
use crate::executors::Lease;
use crate::send;
use crate::wire;

/// How often a probe is sent: three in a row that meet a connection which nobody told us was closed are rare, even
/// where a fifth of them are.
const PROBES_SENT: usize = 3;

/// Asks an executor whether it serves, and for its load where it reports that. Guards against connections that
/// have been kept and are reset at the next request, by what lies between or by the executor: that says nothing
/// of the executor, and asking again is harmless. A process that has died refuses the next one.
pub async fn probe(lease: Lease, reports: bool, patience: Duration) -> (Outcome, Report) {
    let path = if reports { wire::LOAD } else { wire::ALIVE };
    let ask = || async {
        let mut answer = lease.client().get(format!("http://{}{path}", lease.addr())).send().await?;
        let body = answer.body().limit(wire::BODY_MOST).await.unwrap_or_default();
        Ok((answer.status().as_u16(), body))
    };
    let asked = async {
        for _ in 1..PROBES_SENT {
            match ask().await {
                Err(e) if send::broken(&e) == Outcome::Reset => debug!("{}: asks again: {e}", lease.addr()),
                told => return told,
            }
        }
        ask().await
    };
    match timeout(patience, asked).await {
        Err(_) => (Outcome::TimedOut, Report::default()),
        // As where no connection is free: it says nothing of the executor.
        Ok(Err(e)) if could_not_connect(&e) => (Outcome::Full, Report::default()),
        Ok(Err(e)) => (send::broken(&e), Report::default()),
        Ok(Ok((200, body))) => (Outcome::Succeeded, send::report(&body)),
        Ok(Ok((503, body))) => (Outcome::Full, send::report(&body)),
        Ok(Ok(_)) => (Outcome::Errored, Report::default()),
    }
}

/// Tells an executor to give up a job that it has taken; whatever it answers, the forward has ended for us.
pub async fn give_up(lease: Lease, call: Arc<str>, patience: Duration) {
    let uri = format!("http://{}{}/{call}", lease.addr(), wire::JOBS);
    let tell = async {
        if let Ok(mut answer) = lease.client().delete(uri).send().await {
            let _ = answer.body().limit(wire::BODY_MOST).await;
        }
    };
    let _ = timeout(patience, tell).await;
}
