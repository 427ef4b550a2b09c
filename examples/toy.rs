//! A toy world for one node, on loopback: discovery, and executors that run each job for a moment.
//!
//!     cargo run --release --example toy
//!
//! With an address behind it, it is discovery alone, at that address.
//!
//! Discovery listens on 127.0.0.1:8500, two executors on 9101 and 9102, and they tell the node on 9000 (see
//! `examples/config.json`) what became of its jobs. It keeps to the protocol's ordinary path only.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const NODE: &str = "127.0.0.1:9000";
const DISCOVERY: &str = "127.0.0.1:8500";
const EXECUTORS: [(&str, &str); 2] = [("s-one", "127.0.0.1:9101"), ("s-two", "127.0.0.1:9102")];
/// Jobs that an executor runs at a time, and for how long.
const SLOTS: usize = 2;
const RUNS_FOR: Duration = Duration::from_millis(300);

struct Request {
    line: String,
    call: String,
    body: Vec<u8>,
}

/// Reads one request; none when the other side has closed.
fn read(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let (mut line, mut call, mut length) = (String::new(), String::new(), 0);
    stream.read_line(&mut line).ok().filter(|read| *read > 0)?;
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "x-call-id" => call = value.trim().to_owned(),
            "content-length" => length = value.trim().parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { line, call, body })
}

fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    // In one piece: small ones after another would wait for each other on the way.
    stream
        .write_all(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").as_bytes())
}

/// Serves each connection in a thread of its own.
fn listen(addr: &str, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    let listener = TcpListener::bind(addr).expect("a free port");
    println!("listens on {addr}");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

fn load(held: &AtomicUsize) -> String {
    let inflight = held.load(Ordering::SeqCst);
    format!(r#"{{"x0":{},"queue":0,"inflight":{inflight}}}"#, SLOTS - inflight.min(SLOTS))
}

/// Takes jobs while it has a slot, and tells the node when they are done.
fn executor(id: &'static str, stream: TcpStream, held: &Arc<AtomicUsize>) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream) {
        match request.line.split(' ').next() {
            Some("GET") => answer(&mut out, "200 OK", "", &load(held))?,
            Some("DELETE") => answer(&mut out, "204 No Content", "", "")?,
            _ if held.load(Ordering::SeqCst) >= SLOTS => {
                let headers = format!("X-Rejected: 1\r\nX-Load-Report: {}\r\n", load(held));
                answer(&mut out, "503 Service Unavailable", &headers, "")?;
            }
            _ => {
                held.fetch_add(1, Ordering::SeqCst);
                answer(&mut out, "202 Accepted", "", "")?;
                let held = held.clone();
                thread::spawn(move || {
                    thread::sleep(RUNS_FOR);
                    held.fetch_sub(1, Ordering::SeqCst);
                    let result = format!("{id} read {} bytes", request.body.len());
                    let (call, load) = (&request.call, load(&held));
                    let news = format!(
                        r#"{{"id":"{call}","from":"{id}","state":"done","result":"{result}","load":{load}}}"#
                    );
                    let told = tell(&news);
                    println!("{id}: {call} done{}", if told.is_ok() { "" } else { ", but the node is gone" });
                });
            }
        }
    }
    Ok(())
}

fn tell(news: &str) -> std::io::Result<()> {
    let mut node = TcpStream::connect(NODE)?;
    let length = news.len();
    let head = format!("POST /_jobs/news HTTP/1.1\r\nHost: {NODE}\r\nConnection: close\r\n");
    node.write_all(format!("{head}Content-Length: {length}\r\n\r\n{news}").as_bytes())?;
    node.read_to_end(&mut Vec::new()).map(drop)
}

/// The whole list once; then an empty line every two seconds, as nothing changes.
fn discovery(stream: TcpStream) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let Some(request) = read(&mut BufReader::new(stream)) else { return Ok(()) };
    let entry = |(id, addr): &(&str, &str)| format!(r#"{{"id":"{id}","addr":"{addr}","state":"up"}}"#);
    let entries: Vec<String> = EXECUTORS.iter().map(entry).collect();
    let list = format!("{{\"version\":1,\"full\":true,\"servers\":[{}]}}\n", entries.join(","));
    if !request.line.contains("stream=1") {
        return answer(&mut out, "200 OK", "", &list);
    }
    write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(out, "{:x}\r\n{list}\r\n", list.len())?;
    loop {
        thread::sleep(Duration::from_secs(2));
        write!(out, "1\r\n\n\r\n")?;
    }
}

fn main() {
    let alone = std::env::args().nth(1);
    listen(alone.as_deref().unwrap_or(DISCOVERY), |stream| drop(discovery(stream)));
    for (id, addr) in EXECUTORS.into_iter().filter(|_| alone.is_none()) {
        let held = Arc::default();
        listen(addr, move |stream| drop(executor(id, stream, &held)));
    }
    loop {
        thread::park();
    }
}
