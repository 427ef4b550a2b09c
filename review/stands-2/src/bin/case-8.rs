//! Case 8: the answer 202 of an executor gets lost on its way. The node closes the connection after that and sends the job to
//! another executor, where the settings forbid a second copy.
use std::io::Write;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

use stands_2::*;

const DEADLINE: u64 = 5000;
const JOBS: u64 = 90;
/// Answers get lost for 6 s, one in so many.
const LOST_FROM: f64 = 2.0;
const LOST_UNTIL: f64 = 8.0;
const LOST: u64 = 5;
/// The rules on sockets give each time limit so many seconds more.
const SLACK: f64 = 0.05;

fn main() -> ExitCode {
    let record = Record::open().expect("the record");
    let (tmp, discovery, listen) = (Folder::new("tmp"), Discovery::start(&record), free_address());
    let (attempts, answers) = (Attempts::default(), Arc::new(AtomicU64::new(0)));
    for id in ["e1", "e2", "e3", "e4"] {
        let executor = start_executor(Arc::new(Plain(worker(id, listen, ms(700), &record, &attempts))));
        let (own, answers) = (record.clone(), answers.clone());
        let passes = move |piece: &[u8]| {
            let in_time = (LOST_FROM..LOST_UNTIL).contains(&own.now());
            let lost = trouble()
                && in_time
                && piece.starts_with(b"HTTP/1.1 202")
                && answers.fetch_add(1, Ordering::SeqCst) % LOST == LOST - 1;
            if lost {
                own.line(format!("the way from {id}: a 202 is lost"));
            }
            !lost
        };
        discovery.set(Entry::up(id, proxy(executor, passes)));
    }
    let settings = Deployment {
        nodes: 2,
        second_copies: false,
        registry_mode: "pushed",
        ..Deployment::of("lookup", "free", DEADLINE)
    }
    .settings();
    let terms = Terms { discovery: discovery.addr, listen, limits: LIMITS, settings: &settings };
    let mut node = Node::start(&terms, &tmp.0, &record);
    if !node.ready(&record) {
        return did_not_start(&record);
    }
    let run = unix_ms() & 0xffff_ffff;
    let clients: Vec<_> = (0..JOBS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || -> std::io::Result<()> {
                thread::sleep(ms(100 * number));
                let call = call_id(run, number);
                let mut stream = TcpStream::connect(listen)?;
                stream.set_read_timeout(Some(ms(DEADLINE + 1000)))?;
                record.line(format!("client: sends {call}"));
                stream.write_all(&job("lookup", &call, DEADLINE, "", b"lobby"))?;
                let answer = Reader::new(stream).read()?;
                record.line(format!("client: {call}: {:?}", answer.map(|answer| answer.status())));
                Ok(())
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(ms(1000));
    if node.ended().is_some() {
        return could_not_run(&record, "the node has ended");
    }
    let (attempts, mut broken) = (attempts.lock().unwrap(), 0);
    for (at, first) in attempts.iter().enumerate() {
        for second in attempts[at + 1..].iter().filter(|second| second.call == first.call) {
            let until = first.end.map_or(f64::INFINITY, |(end, _)| end);
            if until > second.begun + SLACK {
                record.line(format!("BROKEN: {second:?} has begun while this one is out: {first:?}"));
                broken += 1;
            }
        }
    }
    verdict(&record, broken, "second copies")
}
