//! Table of system-call faults, in memory that a test shares with the processes it starts: the test sets what fails, and the library
//! that is loaded into a process (`examples/system_call_faults.rs`) reads it at each call.
use std::fs::OpenOptions;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64};

/// The environment variable that names the table's file.
pub const TABLE_FILE: &str = "COVEROUTE_FAULT_TABLE";
pub const CALLS: usize = 9;
/// A chance of one.
pub const ALWAYS: u32 = 1000;

/// Calls that can fail. Clients' connections are those that the node has accepted, servers' those that it has opened.
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
    /// What the kernel tells of a connection.
    ConnectionInfo,
}

/// How a call fails.
#[repr(C)]
#[derive(Default)]
pub struct Rule {
    /// In a thousand calls.
    pub chance: AtomicU32,
    /// What it fails with; 0 where it only moves fewer bytes, or is late.
    pub errno: AtomicU32,
    /// The most bytes that it moves; 0 for no bound.
    pub most_bytes: AtomicU32,
    /// So late it returns.
    pub delay_ms: AtomicU32,
    /// After what did not move all bytes, the kernel tells so much later that more can be moved.
    pub rearm_ms: AtomicU32,
    /// How often it has struck.
    pub struck: AtomicU64,
}

#[repr(C)]
#[derive(Default)]
pub struct Table {
    /// Where clients connect: tells clients' connections from servers'.
    pub clients_port: AtomicU32,
    /// Added to the wall clock, in seconds.
    pub clock_step: AtomicI64,
    pub rules: [Rule; CALLS],
}

impl Table {
    /// The table in the file, which is made where there is none. It stays mapped until the process ends.
    pub fn map(path: &Path) -> std::io::Result<&'static Table> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        file.set_len(std::mem::size_of::<Table>() as u64)?;
        let (protection, size) = (libc::PROT_READ | libc::PROT_WRITE, std::mem::size_of::<Table>());
        // SAFETY: a new shared mapping of a file that is as long; all fields are atomics, for which any bits are valid.
        let at = unsafe {
            libc::mmap(std::ptr::null_mut(), size, protection, libc::MAP_SHARED, file.as_raw_fd(), 0)
        };
        if at == libc::MAP_FAILED {
            return Err(std::io::Error::last_os_error());
        }
        // SAFETY: as above; nothing unmaps it.
        Ok(unsafe { &*at.cast::<Table>() })
    }

    pub fn rule(&self, call: Call) -> &Rule {
        &self.rules[call as usize]
    }
}
