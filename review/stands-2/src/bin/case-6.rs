//! Case 6: some clients send hundreds of requests at once that a node can't use. The node answers them faster than it counts them,
//! and what waits to be counted takes more memory than the node may have. The platform kills a node for that.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use stands_2::*;

const DEADLINE: u64 = 8000;
/// `limits.memory_mb` in `LIMITS`.
const MEMORY_MB: f64 = 192.0;
const BAD_CLIENTS: usize = 60;
/// Requests that a bad client sends at once; none is of use, as it has no id.
const AT_ONCE: usize = 300;
const UNFIT: &[u8] = b"POST /payment HTTP/1.1\r\nHost: backend.local\r\nContent-Length: 0\r\n\r\n";
/// How long the bad clients stay, in milliseconds.
const FOR: u64 = 60_000;

/// Sends its requests at full speed, reads what it is sent, and begins again on a new connection.
fn bad_client(node: SocketAddr, over: &AtomicBool, answers: &AtomicUsize) {
    let requests = UNFIT.repeat(AT_ONCE);
    while !over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(node) else {
            thread::sleep(ms(10));
            continue;
        };
        let _ = stream.set_read_timeout(Some(ms(3000)));
        let _ = stream.write_all(&requests);
        let mut piece = [0; 16 * 1024];
        while let Ok(count @ 1..) = stream.read(&mut piece) {
            answers.fetch_add(
                piece[..count].windows(9).filter(|text| text == b"HTTP/1.1 ").count(),
                Ordering::SeqCst,
            );
        }
    }
}

/// Sends one payment; returns whether it got an answer in time.
fn pay(node: SocketAddr, call: &str, record: &Record) -> io::Result<bool> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(ms(DEADLINE + 500)))?;
    record.line(format!("client: sends {call}"));
    stream.write_all(&job("payment", call, DEADLINE, "", b"payment"))?;
    let answer = Reader::new(stream).read();
    let shown = answer.as_ref().map(|answer| answer.as_ref().map(|answer| answer.status()));
    record.line(format!("client: {call}: {shown:?}"));
    Ok(matches!(answer, Ok(Some(_))))
}

/// Resident memory of a process in megabytes, as the kernel tells it.
fn memory_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.trim().split(' ').next()?.parse::<f64>().ok()? / 1024.0)
}

fn main() -> ExitCode {
    let record = Record::open().expect("the record");
    let (tmp, discovery, listen) = (Folder::new("tmp"), Discovery::start(&record), free_address());
    let _attempts = workers(&["e1", "e2", "e3", "e4"], listen, ms(1500), &record, &discovery);
    let settings = Deployment::of("payment", "single_shot", DEADLINE).settings();
    let terms = Terms { discovery: discovery.addr, listen, limits: LIMITS, settings: &settings };
    let mut node = Node::start(&terms, &tmp.0, &record);
    if !node.ready(&record) {
        return did_not_start(&record);
    }
    let Some(before) = memory_mb(node.child.id()) else {
        return could_not_run(&record, "the node's memory is not told");
    };
    record.line(format!("node: {before:.1} MB of {MEMORY_MB}"));
    let (over, answers, lost) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let run = unix_ms() & 0xffff_ffff;
    let usual = {
        let (record, over, lost) = (record.clone(), over.clone(), lost.clone());
        thread::spawn(move || {
            let mut clients = Vec::new();
            for number in 0.. {
                if over.load(Ordering::SeqCst) {
                    break;
                }
                let (record, lost) = (record.clone(), lost.clone());
                clients.push(thread::spawn(move || {
                    let call = call_id(run, number);
                    // Who meets no node at all has handed nothing in.
                    if let Ok(false) = pay(listen, &call, &record) {
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                }));
                thread::sleep(ms(250));
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        })
    };
    thread::sleep(ms(3000));
    for _ in 0..if trouble() { BAD_CLIENTS } else { 0 } {
        let (over, answers) = (over.clone(), answers.clone());
        thread::spawn(move || bad_client(listen, &over, &answers));
    }
    record.line(format!("{} bad clients begin", if trouble() { BAD_CLIENTS } else { 0 }));
    let begun = record.now();
    let (mut peak, mut killed, mut shown) = (before, false, begun);
    while record.now() < begun + FOR as f64 / 1e3 && node.ended().is_none() {
        thread::sleep(ms(10));
        peak = memory_mb(node.child.id()).map_or(peak, |now| now.max(peak));
        if record.now() > shown + 0.5 {
            shown = record.now();
            record.line(format!(
                "node: {peak:.1} MB; {} answers to bad clients",
                answers.load(Ordering::SeqCst)
            ));
        }
        if peak > MEMORY_MB {
            record.line(format!("BROKEN: the node has {peak:.1} MB of {MEMORY_MB}, {:.1} s after they began; the platform kills it", record.now() - begun));
            let _ = node.child.kill();
            killed = true;
            break;
        }
    }
    let crashed = killed || node.ended().is_some();
    over.store(true, Ordering::SeqCst);
    drop(usual.join());
    let lost = lost.load(Ordering::SeqCst);
    record.line(format!("{lost} payments have no answer; the node had {peak:.1} MB at most"));
    verdict(
        &record,
        usize::from(crashed) + usize::from(lost > 0 && !crashed),
        "times the node was killed for its memory, ended, or left a payment unanswered",
    )
}
