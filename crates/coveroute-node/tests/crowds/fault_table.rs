//! Table of system-call faults in memory shared between a test and the processes it starts. The test sets the faults, and the
//! library preloaded into a process (`examples/system_call_faults.rs`) reads them at each call.
use std::fs::OpenOptions;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64};

/// Environment variable with the path of the table's file.
pub const TABLE_FILE: &str = "COVEROUTE_FAULT_TABLE";
pub const CALLS: usize = 14;
/// Every call, in a thousand.
pub const ALWAYS: u32 = 1000;

/// Calls that can fail. Client connections are those that the node has accepted, server connections those that it has opened.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(usize)]
pub enum Call {
    Accept,
    Socket,
    Connect,
    ReceiveFromClient,
    SendToClient,
    ReceiveFromServer,
    SendToServer,
    WriteLog,
    /// `getsockopt` with `TCP_INFO`.
    ConnectionInfo,
    /// `epoll_create1`.
    EpollCreate,
    /// `eventfd`.
    EventFd,
    /// `socketpair`.
    SocketPair,
    /// `fcntl` that duplicates a descriptor.
    Duplicate,
    /// `epoll_ctl` that adds a descriptor.
    EpollAdd,
}

/// How a call fails.
#[repr(C)]
#[derive(Default)]
pub struct Rule {
    /// Calls affected, in a thousand.
    pub per_mille: AtomicU32,
    /// Error number to fail with; 0 if the call only moves fewer bytes or is delayed.
    pub errno: AtomicU32,
    /// Maximum number of bytes that a call moves; 0 for no limit.
    pub most_bytes: AtomicU32,
    /// Delay of the call.
    pub delay_ms: AtomicU32,
    /// After a call that did not move all bytes, delay until the kernel signals readiness again.
    pub rearm_ms: AtomicU32,
    /// Number of calls that the rule was applied to.
    pub hits: AtomicU64,
}

#[repr(C)]
#[derive(Default)]
pub struct Table {
    /// Port that clients connect to; tells client connections from server connections.
    pub clients_port: AtomicU32,
    /// Added to the wall clock, in seconds.
    pub clock_step: AtomicI64,
    pub rules: [Rule; CALLS],
}

impl Table {
    /// Maps the table from the file, which is created if missing. It stays mapped until the process ends.
    pub fn map(path: &Path) -> std::io::Result<&'static Table> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        file.set_len(std::mem::size_of::<Table>() as u64)?;
        let (protection, size) = (libc::PROT_READ | libc::PROT_WRITE, std::mem::size_of::<Table>());
        // SAFETY: a new shared mapping of a file of this length; all fields are atomics, for which any bits are valid.
        let at = unsafe {
            libc::mmap(std::ptr::null_mut(), size, protection, libc::MAP_SHARED, file.as_raw_fd(), 0)
        };
        if at == libc::MAP_FAILED {
            return Err(std::io::Error::last_os_error());
        }
        // SAFETY: the mapping has the size of a table, as above, and is never unmapped.
        Ok(unsafe { &*at.cast::<Table>() })
    }

    pub fn rule(&self, call: Call) -> &Rule {
        &self.rules[call as usize]
    }
}
