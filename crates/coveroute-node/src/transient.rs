//! Transient: failures of this machine that pass by themselves, and the retry of calls that meet them. Guards against a process that ends, and has
//! to be started again, for a moment without room.
use std::io;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use nix::errno::Errno;

/// For so long a call is made again: a fifth of the time that a start may take.
const RETRY_FOR: Duration = Duration::from_secs(2);
const AGAIN_AFTER: Duration = Duration::from_millis(10);

/// No descriptor, no memory, an interruption, or a disk that fails.
const TRANSIENT: [Errno; 7] =
    [Errno::EAGAIN, Errno::EINTR, Errno::EIO, Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM];

pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| TRANSIENT.contains(&Errno::from_raw(code)))
}

/// Whether a call that came to this is made again.
fn again<T>(made: &io::Result<T>, begun: Instant) -> bool {
    matches!(made, Err(e) if is_transient(e)) && begun.elapsed() < RETRY_FOR
}

/// Makes the call, and again for a while if it fails by what passes; nothing else goes on meanwhile.
pub fn retry_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let begun = Instant::now();
    loop {
        let made = call();
        if !again(&made, begun) {
            return made;
        }
        std::thread::sleep(AGAIN_AFTER);
    }
}

/// The same, while others go on.
pub async fn retry<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let begun = Instant::now();
    loop {
        let made = call();
        if !again(&made, begun) {
            return made;
        }
        sleep(AGAIN_AFTER).await;
    }
}
