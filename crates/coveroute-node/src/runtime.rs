//! Runtime: creates the asynchronous runtime, for which the machine must have descriptors and memory.
use std::io;
use std::os::unix::net::UnixStream;

use actix_rt::{System, SystemRunner};
use tokio::runtime::{Builder, Runtime};

use crate::transient::retry_blocking;

/// Creates the runtime and retries it for a while after temporary failures of this machine.
pub fn start() -> io::Result<SystemRunner> {
    let runtime = retry_blocking(create)?;
    Ok(System::with_tokio_rt(|| runtime))
}

fn create() -> io::Result<Runtime> {
    // Tokio opens such a pair for signals and panics if it can't, so this is tried first.
    drop(UnixStream::pair()?);
    Builder::new_current_thread().enable_all().build()
}
