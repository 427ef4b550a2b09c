//! A minimal environment for one node on loopback: a discovery service, and executors that run each job for a short time.
//!
//!     cargo run --release --example toy
//!
//! With an address as argument, runs only the discovery service, at that address.
//!
//! Discovery listens on 127.0.0.1:8500 and two executors on 9101 and 9102. They report the results of jobs to the node on 9000
//! (see `examples/config.json`). Only the protocol's success path is implemented.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const NODE: &str = "127.0.0.1:9000";
const DISCOVERY: &str = "127.0.0.1:8500";
const EXECUTORS: [(&str, &str); 2] = [("s-one", "127.0.0.1:9101"), ("s-two", "127.0.0.1:9102")];
/// Number of jobs that an executor runs concurrently, and the duration of each.
const SLOTS: usize = 2;
const JOB_DURATION: Duration = Duration::from_millis(300);

struct Request {
    line: String,
    call: String,
    body: Vec<u8>,
}

/// Reads one request; none if the peer has closed the connection.
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
    // In one write: Nagle's algorithm would hold back a second small one until the first is acknowledged.
    stream
        .write_all(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").as_bytes())
}

/// Serves each connection in its own thread.
fn listen(addr: &str, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    let listener = TcpListener::bind(addr).expect("failed to bind a port");
    println!("listening on {addr}");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

fn load_report(running: &AtomicUsize) -> String {
    let inflight = running.load(Ordering::SeqCst);
    format!(r#"{{"x0":{},"queue":0,"inflight":{inflight}}}"#, SLOTS - inflight.min(SLOTS))
}

/// Accepts jobs while a slot is free, and reports to the node when they are done.
fn executor(id: &'static str, stream: TcpStream, running: &Arc<AtomicUsize>) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream) {
        match request.line.split(' ').next() {
            Some("GET") => answer(&mut out, "200 OK", "", &load_report(running))?,
            Some("DELETE") => answer(&mut out, "204 No Content", "", "")?,
            _ if running.load(Ordering::SeqCst) >= SLOTS => {
                let headers = format!("X-Rejected: 1\r\nX-Load-Report: {}\r\n", load_report(running));
                answer(&mut out, "503 Service Unavailable", &headers, "")?;
            }
            _ => {
                running.fetch_add(1, Ordering::SeqCst);
                answer(&mut out, "202 Accepted", "", "")?;
                let running = running.clone();
                thread::spawn(move || {
                    thread::sleep(JOB_DURATION);
                    running.fetch_sub(1, Ordering::SeqCst);
                    let result = format!("{id} read {} bytes", request.body.len());
                    let (call, load) = (&request.call, load_report(&running));
                    let news = format!(
                        r#"{{"id":"{call}","from":"{id}","state":"done","result":"{result}","load":{load}}}"#
                    );
                    let reported = report(&news);
                    println!(
                        "{id}: {call} done{}",
                        if reported.is_ok() { "" } else { ", but the report to the node failed" }
                    );
                });
            }
        }
    }
    Ok(())
}

fn report(news: &str) -> std::io::Result<()> {
    let mut node = TcpStream::connect(NODE)?;
    let length = news.len();
    let head = format!("POST /_jobs/news HTTP/1.1\r\nHost: {NODE}\r\nConnection: close\r\n");
    node.write_all(format!("{head}Content-Length: {length}\r\n\r\n{news}").as_bytes())?;
    node.read_to_end(&mut Vec::new()).map(drop)
}

/// Sends the whole list once, then an empty line every two seconds, as the list never changes.
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
    let discovery_addr = std::env::args().nth(1);
    listen(discovery_addr.as_deref().unwrap_or(DISCOVERY), |stream| drop(discovery(stream)));
    for (id, addr) in EXECUTORS.into_iter().filter(|_| discovery_addr.is_none()) {
        let running = Arc::default();
        listen(addr, move |stream| drop(executor(id, stream, &running)));
    }
    loop {
        thread::park();
    }
}
