//! Arrival: when a connection's bytes arrived, according to the kernel. The node may read them later: while
//! it can't accept connections, after a failed read, or while it is busy.
use std::os::fd::RawFd;
use std::time::Duration;

use nix::libc;

/// TCP states in which data from the peer can be read.
const ESTABLISHED: u8 = 1;
const CLOSE_WAIT: u8 = 8;

/// How long ago the newest byte of the connection arrived; `None` if the kernel does not report it.
pub fn newest_byte_age(socket: RawFd) -> Option<Duration> {
    // SAFETY: `tcp_info` consists of integers, for which zero is valid.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut size = std::mem::size_of_val(&info) as libc::socklen_t;
    let to = (&raw mut info).cast();
    // SAFETY: writes at most `size` bytes of the record; an invalid descriptor is reported as an error.
    let result = unsafe { libc::getsockopt(socket, libc::IPPROTO_TCP, libc::TCP_INFO, to, &mut size) };
    let known = result == 0 && matches!(info.tcpi_state, ESTABLISHED | CLOSE_WAIT);
    known.then(|| Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}
