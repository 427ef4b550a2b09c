//! Load generators for real nodes: invocations of one tenant at a fixed rate, whatever their outcome.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Calls one node for one tenant, on a single connection that is reopened after an error.
pub struct Caller {
    /// In thousandths of a call per second.
    millirate: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Caller {
    pub fn new(node: SocketAddr, tenant: &str) -> Self {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        let (millirate, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let caller = Caller { millirate: millirate.clone(), stop: stop.clone() };
        let tenant = tenant.to_owned();
        std::thread::spawn(move || {
            let (mut stream, mut due) = (None, Instant::now());
            while !stop.load(Ordering::Relaxed) {
                let rate = millirate.load(Ordering::Relaxed) as f64 / 1e3;
                if rate <= 0.0 {
                    std::thread::sleep(Duration::from_millis(5));
                    due = Instant::now();
                    continue;
                }
                due += Duration::from_secs_f64(1.0 / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
                let request = format!(
                    "POST /look HTTP/1.1\r\nHost: b\r\nX-Call-Id: {}-{id}\r\nX-Budget-Ms: 200\r\nX-Caller: {tenant}\r\n\
                     Content-Length: 1\r\n\r\n1",
                    std::process::id()
                );
                stream = send_request(stream, node, &request);
            }
        });
        caller
    }

    /// Sets the rate in calls per second, from now on.
    pub fn set_rate(&self, rate: f64) {
        self.millirate.store((rate * 1e3) as u64, Ordering::Relaxed);
    }
}

/// Sends one request and reads its response; returns the connection if it can be reused.
fn send_request(stream: Option<TcpStream>, node: SocketAddr, request: &str) -> Option<TcpStream> {
    let timeout = Duration::from_millis(400);
    let mut stream = stream.or_else(|| TcpStream::connect_timeout(&node, timeout).ok())?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
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
