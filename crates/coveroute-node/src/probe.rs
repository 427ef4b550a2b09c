//! Probe: requests to executors other than jobs: health probes, and giving up a job.
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use coveroute::types::{Outcome, Report};
use log::debug;

use crate::connection::is_local_connect_failure;
use crate::executors::Lease;
use crate::send;
use crate::wire;

/// How often a probe is sent at most. That three in a row meet a connection that was closed without notice is
/// rare, even where a fifth of the connections are.
const MAX_PROBE_TRIES: usize = 3;

/// How often an executor is told to give up a job, at most.
const MAX_GIVE_UP_TRIES: usize = 3;

/// Asks an executor whether it is alive, and for its load if executors report that. A reset is retried: an
/// idle connection may be reset at the next request by an intermediary or by the executor, which says nothing
/// about the executor's health, and repeating a probe is harmless. If the process has died, the next
/// connection is refused.
pub async fn probe(lease: Lease, reports: bool, time_limit: Duration) -> (Outcome, Report) {
    let path = if reports { wire::LOAD } else { wire::ALIVE };
    let ask = || async {
        let mut response = lease.client().get(format!("http://{}{path}", lease.addr())).send().await?;
        let body = response.body().limit(wire::MAX_BODY_BYTES).await.unwrap_or_default();
        Ok((response.status().as_u16(), body))
    };
    let asked = async {
        for _ in 1..MAX_PROBE_TRIES {
            match ask().await {
                Err(e) if send::failure_outcome(&e) == Outcome::Reset => {
                    debug!("probing {} again after a reset: {e}", lease.addr())
                }
                result => return result,
            }
        }
        ask().await
    };
    match timeout(time_limit, asked).await {
        Err(_) => (Outcome::TimedOut, Report::default()),
        // Handled like a lack of free connections: it says nothing about the executor.
        Ok(Err(e)) if is_local_connect_failure(&e) => (Outcome::Full, Report::default()),
        Ok(Err(e)) => (send::failure_outcome(&e), Report::default()),
        Ok(Ok((200, body))) => (Outcome::Succeeded, send::report(&body)),
        Ok(Ok((503, body))) => (Outcome::Full, send::report(&body)),
        Ok(Ok(_)) => (Outcome::Errored, Report::default()),
    }
}

/// Tells an executor to give up a job that it may run, within the time limit. The response is ignored: for this node the
/// forward has ended. The request is repeated after a reset, which is harmless.
pub async fn give_up(lease: Rc<Lease>, call: Arc<str>, time_limit: Duration) {
    let uri = format!("http://{}{}/{call}", lease.addr(), wire::JOBS);
    let request = async {
        for _ in 0..MAX_GIVE_UP_TRIES {
            match lease.client().delete(&uri).send().await {
                Ok(mut response) => {
                    let _ = response.body().limit(wire::MAX_BODY_BYTES).await;
                    return;
                }
                Err(e) if send::failure_outcome(&e) == Outcome::Reset => {
                    debug!("telling {} to give up {call} again after a reset: {e}", lease.addr())
                }
                Err(_) => return,
            }
        }
    };
    let _ = timeout(time_limit, request).await;
}
