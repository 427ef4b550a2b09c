//! Transient: temporary failures of this machine, and retrying the calls that meet them, so that a process
//! does not end, and have to be started again, because resources were short for a moment.
use std::io;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use nix::errno::Errno;

/// For how long a call is retried: a fifth of the time that a start may take.
const RETRY_FOR: Duration = Duration::from_secs(2);
/// Delay between tries.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Lack of descriptors or memory, an interruption, or a disk error.
const TRANSIENT: [Errno; 7] =
    [Errno::EAGAIN, Errno::EINTR, Errno::EIO, Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM];

pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| TRANSIENT.contains(&Errno::from_raw(code)))
}

/// Whether to retry a call with this result.
fn should_retry<T>(result: &io::Result<T>, begun: Instant) -> bool {
    matches!(result, Err(e) if is_transient(e)) && begun.elapsed() < RETRY_FOR
}

/// Makes the call and retries it for a while after temporary failures, blocking the thread.
pub fn retry_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let begun = Instant::now();
    loop {
        let result = call();
        if !should_retry(&result, begun) {
            return result;
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

/// Like [`retry_blocking`], without blocking the thread.
pub async fn retry<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let begun = Instant::now();
    loop {
        let result = call();
        if !should_retry(&result, begun) {
            return result;
        }
        sleep(RETRY_DELAY).await;
    }
}
