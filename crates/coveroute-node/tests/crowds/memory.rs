//! Clients that send many small parts at once, to real processes under a small memory limit.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use coveroute_emu::loopback::resource_usage;
use test_case::test_case;

use crate::harness::{
    executor, job, status, unused_addr, wait_until, Discovery, DiscoveryLimits, NodeOptions, Process, Setup,
    MEMORY_MB, MEMORY_SETTING,
};

const DESCRIPTORS: usize = 512;
const CLIENTS: usize = 200;
const DURATION: Duration = Duration::from_secs(4);
const READY: Duration = Duration::from_secs(10);
/// A client that is not served must be answered or disconnected within this time.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

fn head(client: usize, at: usize) -> String {
    format!("POST /look HTTP/1.1\r\nHost: n\r\nX-Call-Id: m-{client}-{at}\r\nX-Budget-Ms: 2000\r\n")
}

/// 500 valid requests.
fn requests(client: usize) -> Vec<u8> {
    let request = |at| format!("{}Content-Length: 0\r\n\r\n", head(client, at));
    (0..500).map(request).collect::<String>().into_bytes()
}

/// 1,500 requests that the node rejects.
fn invalid_requests(_: usize) -> Vec<u8> {
    b"GET /look HTTP/1.1\r\nHost: n\r\n\r\n".repeat(1500)
}

/// A request with a body of 60,000 chunks of one byte, and no end.
fn chunks(client: usize) -> Vec<u8> {
    let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", head(client, 0));
    [head.into_bytes(), b"1\r\nx\r\n".repeat(60_000)].concat()
}

/// 80 requests of 90 short headers each.
fn headers(client: usize) -> Vec<u8> {
    let short: String = (0..85).map(|at| format!("a{at}:\r\n")).collect();
    let request = |at| format!("{}Content-Length: 0\r\n{short}\r\n", head(client, at));
    (0..80).map(request).collect::<String>().into_bytes()
}

/// Sends the bytes on new connections until the end, and reads what is answered.
fn flood(node: SocketAddr, bytes: &[u8], end: Instant) {
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect_timeout(&node, CLIENT_TIMEOUT) else { continue };
        let _ = stream.set_read_timeout(Some(CLIENT_TIMEOUT));
        let _ = stream.set_write_timeout(Some(CLIENT_TIMEOUT));
        let _ = stream.write_all(bytes);
        let mut answers = [0; 4096];
        while stream.read(&mut answers).is_ok_and(|count| count > 0) && Instant::now() < end {}
    }
}

// Guards against a node that is killed for its memory: it decoded all small requests and chunks that had been received,
// and each takes many times its bytes then.
#[test_case(requests; "requests")]
#[test_case(invalid_requests; "invalid requests")]
#[test_case(chunks; "chunks")]
#[test_case(headers; "requests with many headers")]
fn many_small_parts_at_once_stay_within_the_memory_limit(bytes: fn(usize) -> Vec<u8>) {
    let node = unused_addr();
    let discovery = Discovery::stopped(executor(node), DiscoveryLimits::NONE);
    discovery.start();
    let setup = Setup { settings: vec![MEMORY_SETTING], ..Setup::default() };
    let options = NodeOptions::with_descriptors(DESCRIPTORS);
    let mut process = Process::start_with(node, discovery.addr, options, &[], &setup);
    assert!(wait_until(READY, || status(node, "/up") == Some(200)), "{}", process.log());
    let end = Instant::now() + DURATION;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || flood(node, &bytes(client), end));
        }
    });
    assert!(!process.has_exited(), "{}", process.log());
    let peak_mb = resource_usage(process.id()).peak_mb;
    assert!(peak_mb < MEMORY_MB, "{peak_mb:.1} MB of {MEMORY_MB}");
    let served = job(node, "after", 20).join().expect("a client").map(|answer| answer.0);
    assert_eq!(served, Some(200));
}
