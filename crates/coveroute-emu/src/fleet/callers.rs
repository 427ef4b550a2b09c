//! Callers of real nodes: so many invocations a second of a tenant at each node, whatever becomes of them.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Calls of one tenant at one node, on one connection that is made again when it breaks.
pub struct Caller {
    /// Thousandths of calls a second.
    rate: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

impl Caller {
    pub fn new(node: SocketAddr, tenant: &str) -> Self {
        static CALLS: AtomicU64 = AtomicU64::new(1);
        let (rate, ends) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let caller = Caller { rate: rate.clone(), ends: ends.clone() };
        let tenant = tenant.to_owned();
        std::thread::spawn(move || {
            let (mut stream, mut due) = (None, Instant::now());
            while !ends.load(Ordering::Relaxed) {
                let rate = rate.load(Ordering::Relaxed) as f64 / 1e3;
                if rate <= 0.0 {
                    std::thread::sleep(Duration::from_millis(5));
                    due = Instant::now();
                    continue;
                }
                due += Duration::from_secs_f64(1.0 / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let id = CALLS.fetch_add(1, Ordering::Relaxed);
                let text = format!(
                    "POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: {}-{id}\r\nX-Budget-Ms: 200\r\nX-Caller: {tenant}\r\n\
                     Content-Length: 1\r\n\r\n1",
                    std::process::id()
                );
                stream = called(stream, node, &text);
            }
        });
        caller
    }

    /// So many a second from now on.
    pub fn calls(&self, rate: f64) {
        self.rate.store((rate * 1e3) as u64, Ordering::Relaxed);
    }
}

/// Calls, and keeps the connection if it can be used again.
fn called(stream: Option<TcpStream>, node: SocketAddr, text: &str) -> Option<TcpStream> {
    let within = Duration::from_millis(400);
    let mut stream = stream.or_else(|| TcpStream::connect_timeout(&node, within).ok())?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let mut body = vec![0; length?];
    stream.read_exact(&mut body).ok()?;
    (!head.contains("connection: close")).then_some(stream)
}
