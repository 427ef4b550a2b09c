//! Case 9: a client sends many jobs at once on one connection. What the node can't hold it reads and drops, and it closes the
//! connection with its next answer.
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::thread;

use stands_2::*;

const DEADLINE: u64 = 10_000;
const CLIENTS: u64 = 4;
const AT_ONCE: u64 = 40;
/// A job's body; the page allows 64 KiB.
const BODY: usize = 4 * 1024;

/// Sends the jobs and returns how many of them got no answer.
fn client(node: SocketAddr, run: u64, own: u64, record: &Record) -> io::Result<u64> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(DEADLINE + 500)))?;
    let mut reader = Reader::new(stream.try_clone()?);
    let calls: Vec<String> = (0..AT_ONCE).map(|number| call_id(run, own * AT_ONCE + number)).collect();
    let jobs: Vec<Vec<u8>> =
        calls.iter().map(|call| job("post", call, DEADLINE, "", &[b'x'; BODY])).collect();
    if trouble() {
        stream.write_all(&jobs.concat())?;
        record.line(format!("client {own}: has written {} to {}", calls[0], calls[calls.len() - 1]));
    }
    let mut lost = 0;
    for (call, job) in calls.iter().zip(&jobs) {
        if !trouble() {
            stream.write_all(job)?;
        }
        match reader.read() {
            Ok(Some(answer)) => record.line(format!("client {own}: {call}: {}", answer.status())),
            other => {
                record.line(format!("BROKEN: client {own}: {call}: no answer: {:?}", other.err()));
                lost += 1;
            }
        }
    }
    Ok(lost)
}

fn main() -> ExitCode {
    let record = Record::open().expect("the record");
    let (tmp, discovery, listen) = (Folder::new("tmp"), Discovery::start(&record), free_address());
    let _attempts = workers(&["e1", "e2", "e3", "e4"], listen, ms(20), &record, &discovery);
    let settings = Deployment::of("post", "free", DEADLINE).settings();
    let terms = Terms { discovery: discovery.addr, listen, limits: LIMITS, settings: &settings };
    let mut node = Node::start(&terms, &tmp.0, &record);
    if !node.ready(&record) {
        return did_not_start(&record);
    }
    let (run, mut lost) = (unix_ms() & 0xffff_ffff, 0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|own| {
            let record = record.clone();
            thread::spawn(move || client(listen, run, own, &record))
        })
        .collect();
    for client in clients {
        match client.join() {
            Ok(Ok(count)) => lost += count,
            other => return could_not_run(&record, &format!("a client: {other:?}")),
        }
    }
    if node.ended().is_some() {
        return could_not_run(&record, "the node has ended");
    }
    verdict(&record, lost as usize, "jobs without an answer")
}
