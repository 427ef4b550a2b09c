//! Arrival: when a connection's bytes came, by the kernel. The node may read them late: while it could accept nothing, while a read
//! failed, or while it was busy.
use std::os::fd::RawFd;
use std::time::Duration;

use nix::libc;

/// States in which a connection brings what its peer has sent.
const ESTABLISHED: u8 = 1;
const CLOSE_WAIT: u8 = 8;

/// How long ago the newest byte came that the connection has brought; none where the kernel does not say.
pub fn newest_byte_age(socket: RawFd) -> Option<Duration> {
    // SAFETY: a record of numbers.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut size = std::mem::size_of_val(&info) as libc::socklen_t;
    let to = (&raw mut info).cast();
    // SAFETY: writes at most `size` bytes of the record; a socket that is none is told as an error.
    let told = unsafe { libc::getsockopt(socket, libc::IPPROTO_TCP, libc::TCP_INFO, to, &mut size) };
    let known = told == 0 && matches!(info.tcpi_state, ESTABLISHED | CLOSE_WAIT);
    known.then(|| Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}
