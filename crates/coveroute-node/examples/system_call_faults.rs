//! Library for `LD_PRELOAD` that makes a node's system calls fail in ways that Linux documents, as set in a table shared with the
//! test. Built with the tests; not part of the node.
use std::collections::HashMap;
use std::ffi::c_void;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Mutex, Once, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use libc::{
    c_int, c_long, c_uint, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

#[path = "../tests/crowds/fault_table.rs"]
mod fault_table;
use fault_table::{Call, Rule, Table, ALWAYS, TABLE_FILE};

/// Polling interval for descriptors that are due to be rearmed.
const REARM_INTERVAL: Duration = Duration::from_millis(2);

fn table() -> Option<&'static Table> {
    static TABLE: OnceLock<Option<&'static Table>> = OnceLock::new();
    let map = || {
        let path = std::env::var_os(TABLE_FILE)?;
        Table::map(path.as_ref()).ok()
    };
    *TABLE.get_or_init(map)
}

/// Returns the next function of this name, which is the C library's.
fn libc_function(name: &'static std::ffi::CStr) -> *mut c_void {
    // SAFETY: the name is NUL-terminated; the result is only called as a function of its real type.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

macro_rules! real {
    ($name:literal, $type:ty) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        let at = *REAL.get_or_init(|| libc_function($name) as usize);
        // SAFETY: the C library's function of this name has this type.
        unsafe { std::mem::transmute::<usize, $type>(at) }
    }};
}

/// Draws whether the rule applies to this call, from a generator shared by all threads.
fn applies(rule: &Rule) -> bool {
    static STATE: Mutex<u64> = Mutex::new(0x9e37_79b9_7f4a_7c15);
    let per_mille = rule.per_mille.load(Relaxed);
    if per_mille == 0 {
        return false;
    }
    let Ok(mut state) = STATE.lock() else { return false };
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    let applies = (*state % u64::from(ALWAYS)) < u64::from(per_mille);
    rule.hits.fetch_add(u64::from(applies), Relaxed);
    applies
}

fn rule(call: Call) -> Option<&'static Rule> {
    table().map(|table| table.rule(call)).filter(|rule| applies(rule))
}

fn set_errno(errno: u32) -> c_int {
    // SAFETY: points to the calling thread's errno.
    unsafe { *libc::__errno_location() = errno as c_int };
    -1
}

/// Applies the rule's delay, and returns the error number if the call is to fail.
fn failure(rule: &Rule) -> Option<u32> {
    let delay = rule.delay_ms.load(Relaxed);
    if delay > 0 {
        thread::sleep(Duration::from_millis(u64::from(delay)));
    }
    Some(rule.errno.load(Relaxed)).filter(|errno| *errno != 0)
}

/// Whether a connection is a client's, by its local port; none if it is not an IPv4 connection.
fn is_clients(fd: c_int) -> Option<bool> {
    let mut name: libc::sockaddr_in = unsafe { std::mem::zeroed() };
    let mut size = std::mem::size_of_val(&name) as socklen_t;
    // SAFETY: writes at most `size` bytes of the structure.
    let result = unsafe { libc::getsockname(fd, (&raw mut name).cast(), &mut size) };
    if result != 0 || c_int::from(name.sin_family) != libc::AF_INET {
        return None;
    }
    Some(u32::from(u16::from_be(name.sin_port)) == table()?.clients_port.load(Relaxed))
}

fn transfer_rule(fd: c_int, from_clients: Call, from_servers: Call) -> Option<&'static Rule> {
    let either = [from_clients, from_servers];
    let any =
        either.iter().any(|call| table().is_some_and(|table| table.rule(*call).per_mille.load(Relaxed) > 0));
    if !any {
        return None;
    }
    rule(if is_clients(fd)? { from_clients } else { from_servers })
}

/// For each descriptor, the epoll set and the event that it is registered with.
type Registrations = HashMap<c_int, (c_int, epoll_event)>;

fn registrations() -> &'static Mutex<Registrations> {
    static REGISTRATIONS: OnceLock<Mutex<Registrations>> = OnceLock::new();
    REGISTRATIONS.get_or_init(Mutex::default)
}

fn pending() -> &'static Mutex<Vec<(c_int, Instant)>> {
    static PENDING: OnceLock<Mutex<Vec<(c_int, Instant)>>> = OnceLock::new();
    PENDING.get_or_init(Mutex::default)
}

/// Rearms the descriptor later, so that the kernel signals readiness again, as it does after its buffer was full for a moment.
fn rearm_later(fd: c_int, rule: &Rule) {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| drop(thread::spawn(rearm_due)));
    let due = Instant::now() + Duration::from_millis(u64::from(rule.rearm_ms.load(Relaxed)));
    if let Ok(mut pending) = pending().lock() {
        // Queues a descriptor only once: each rearm leads to a read, and each read could queue another one, so duplicates would
        // multiply.
        if pending.iter().all(|one| one.0 != fd) {
            pending.push((fd, due));
        }
    }
}

fn rearm_due() {
    loop {
        thread::sleep(REARM_INTERVAL);
        let now = Instant::now();
        let due: Vec<c_int> = match pending().lock() {
            Ok(mut pending) => {
                let due = pending.iter().filter(|one| one.1 <= now).map(|one| one.0).collect();
                pending.retain(|one| one.1 > now);
                due
            }
            Err(_) => return,
        };
        for fd in due {
            let Ok(registrations) = registrations().lock() else { return };
            if let Some((set, event)) = registrations.get(&fd) {
                let mut event = *event;
                // SAFETY: an epoll set and a descriptor of this process; if one was closed meanwhile, the call returns an error.
                unsafe { real_epoll_ctl(*set, libc::EPOLL_CTL_MOD, fd, &mut event) };
            }
        }
    }
}

unsafe fn real_epoll_ctl(set: c_int, change: c_int, fd: c_int, event: *mut epoll_event) -> c_int {
    let real = real!(c"epoll_ctl", unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int);
    unsafe { real(set, change, fd, event) }
}

#[no_mangle]
unsafe extern "C" fn epoll_ctl(set: c_int, change: c_int, fd: c_int, event: *mut epoll_event) -> c_int {
    if change == libc::EPOLL_CTL_ADD {
        if let Some(errno) = rule(Call::EpollAdd).and_then(failure) {
            return set_errno(errno);
        }
    }
    if let Ok(mut registrations) = registrations().lock() {
        match change {
            libc::EPOLL_CTL_DEL => drop(registrations.remove(&fd)),
            _ if event.is_null() => {}
            _ => drop(registrations.insert(fd, (set, unsafe { *event }))),
        }
    }
    unsafe { real_epoll_ctl(set, change, fd, event) }
}

#[no_mangle]
unsafe extern "C" fn accept4(fd: c_int, addr: *mut sockaddr, size: *mut socklen_t, flags: c_int) -> c_int {
    if let Some(errno) = rule(Call::Accept).and_then(failure) {
        return set_errno(errno);
    }
    let real = real!(c"accept4", unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    unsafe { real(fd, addr, size, flags) }
}

#[no_mangle]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET {
        if let Some(errno) = rule(Call::Socket).and_then(failure) {
            return set_errno(errno);
        }
    }
    let real = real!(c"socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    unsafe { real(domain, kind, protocol) }
}

#[no_mangle]
unsafe extern "C" fn epoll_create1(flags: c_int) -> c_int {
    if let Some(errno) = rule(Call::EpollCreate).and_then(failure) {
        return set_errno(errno);
    }
    let real = real!(c"epoll_create1", unsafe extern "C" fn(c_int) -> c_int);
    unsafe { real(flags) }
}

/// Declared without variable arguments, which on this platform are passed like others.
#[no_mangle]
unsafe extern "C" fn fcntl(fd: c_int, command: c_int, argument: c_long) -> c_int {
    if command == libc::F_DUPFD_CLOEXEC {
        if let Some(errno) = rule(Call::Duplicate).and_then(failure) {
            return set_errno(errno);
        }
    }
    let real = real!(c"fcntl", unsafe extern "C" fn(c_int, c_int, ...) -> c_int);
    unsafe { real(fd, command, argument) }
}

#[no_mangle]
unsafe extern "C" fn eventfd(count: c_uint, flags: c_int) -> c_int {
    if let Some(errno) = rule(Call::EventFd).and_then(failure) {
        return set_errno(errno);
    }
    let real = real!(c"eventfd", unsafe extern "C" fn(c_uint, c_int) -> c_int);
    unsafe { real(count, flags) }
}

#[no_mangle]
unsafe extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    if let Some(errno) = rule(Call::SocketPair).and_then(failure) {
        return set_errno(errno);
    }
    let real = real!(c"socketpair", unsafe extern "C" fn(c_int, c_int, c_int, *mut c_int) -> c_int);
    unsafe { real(domain, kind, protocol, pair) }
}

#[no_mangle]
unsafe extern "C" fn connect(fd: c_int, addr: *const sockaddr, size: socklen_t) -> c_int {
    if is_clients(fd).is_some() {
        if let Some(errno) = rule(Call::Connect).and_then(failure) {
            return set_errno(errno);
        }
    }
    let real = real!(c"connect", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    unsafe { real(fd, addr, size) }
}

/// Applies the rule to a transfer: fails it, or limits its bytes and rearms the descriptor for the rest.
fn transfer(fd: c_int, rule: Option<&Rule>, len: size_t, real: impl FnOnce(size_t) -> ssize_t) -> ssize_t {
    let Some(rule) = rule else { return real(len) };
    if let Some(errno) = failure(rule) {
        if errno == libc::EAGAIN as u32 {
            rearm_later(fd, rule);
        }
        return set_errno(errno) as ssize_t;
    }
    let most = rule.most_bytes.load(Relaxed) as size_t;
    if most == 0 || most >= len {
        return real(len);
    }
    rearm_later(fd, rule);
    real(most)
}

#[no_mangle]
unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, len: size_t, flags: c_int) -> ssize_t {
    let real = real!(c"recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    let rule = transfer_rule(fd, Call::ReceiveFromClient, Call::ReceiveFromServer);
    transfer(fd, rule, len, |len| unsafe { real(fd, buffer, len, flags) })
}

#[no_mangle]
unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    let real = real!(c"send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    let rule = transfer_rule(fd, Call::SendToClient, Call::SendToServer);
    transfer(fd, rule, len, |len| unsafe { real(fd, buffer, len, flags) })
}

#[no_mangle]
unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, many: c_int) -> ssize_t {
    let real = real!(c"writev", unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    let rule = transfer_rule(fd, Call::SendToClient, Call::SendToServer);
    match rule.and_then(failure) {
        Some(errno) => set_errno(errno) as ssize_t,
        None => unsafe { real(fd, parts, many) },
    }
}

#[no_mangle]
unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, len: size_t) -> ssize_t {
    let real = real!(c"write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    let rule = match fd {
        libc::STDERR_FILENO => rule(Call::WriteLog),
        _ => None,
    };
    let Some(rule) = rule else { return unsafe { real(fd, buffer, len) } };
    if let Some(errno) = failure(rule) {
        return set_errno(errno) as ssize_t;
    }
    let most = rule.most_bytes.load(Relaxed) as size_t;
    unsafe { real(fd, buffer, if most == 0 { len } else { len.min(most) }) }
}

#[no_mangle]
unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    size: *mut socklen_t,
) -> c_int {
    if (level, name) == (libc::IPPROTO_TCP, libc::TCP_INFO) {
        if let Some(errno) = rule(Call::ConnectionInfo).and_then(failure) {
            return set_errno(errno);
        }
    }
    type Getsockopt = unsafe extern "C" fn(c_int, c_int, c_int, *mut c_void, *mut socklen_t) -> c_int;
    let real = real!(c"getsockopt", Getsockopt);
    unsafe { real(fd, level, name, value, size) }
}

#[no_mangle]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real = real!(c"clock_gettime", unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    let result = unsafe { real(clock, time) };
    if clock == libc::CLOCK_REALTIME && result == 0 {
        // Mapping the table reads no clock, so this does not recurse.
        let step = table().map_or(0, |table| table.clock_step.load(Relaxed));
        unsafe { (*time).tv_sec += step };
    }
    result
}
