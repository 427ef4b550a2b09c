//! Case 9: a new configuration moves discovery, and the new service has too many callers at first. The node goes on by its old
//! list for longer than the page allows after SIGHUP, and sends payments to an executor that drains.
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use stands_2::*;

const SETTINGS: &str = r#"{"me":0,"replicasOfMe":4,"zone":"a","zones":["a"],"skus":["k"],
 "categories":[{"name":"payment","effect":"single_shot","onTime":800.0,"deadline":8000.0,"credit":3.0}],
 "goal":{"whole":0.8,"worstClass":0.2},"familyInfo":{"tellsStart":false,"progress":0.0},
 "limits":{"maxAttempts":4,"dialTimeout":250.0,"connIdle":60000.0,"cancelling":true,"probing":true,"retryAfter":true,
  "maxRetryAfter":2000.0,"secondCopies":true},
 "registryMode":"on_request","report":{"source":"none","names":[]},
 "rules":{"startCapacity":0.3,"warmUp":9000.0,"overloadFactor":4.0,"fall":2000.0,"drainGrace":500.0,"askWithin":10000.0}}"#;
const DEADLINE: u64 = 8000;
/// After SIGHUP, in seconds: what discovery has to tell counts as told.
const TOLD: f64 = 4.0;
/// `rules.drainGrace`, and what each limit is longer on sockets.
const GRACE: f64 = 0.5 + 0.05;
/// For so long after SIGHUP the new service turns the node's calls away.
const CROWDED: u64 = 8000;

/// An executor that is taken out of service: what it got too late dies with its process.
struct Leaving {
    worker: Arc<Worker>,
    gone: Arc<AtomicBool>,
}

impl Executor for Leaving {
    fn request(&self, request: Message, stream: &mut TcpStream) -> io::Result<bool> {
        let call = request.call();
        if request.method != "POST" || call.is_empty() {
            return self.worker.other(&request, stream);
        }
        self.worker.begin(&call);
        respond(stream, "202 Accepted", "", "")?;
        let (worker, gone) = (self.worker.clone(), self.gone.clone());
        if !gone.load(Ordering::SeqCst) {
            worker.run(call);
            return Ok(true);
        }
        thread::spawn(move || {
            thread::sleep(ms(600));
            worker.end(&call, "lost");
            news(&worker.record, worker.node, &call, worker.id, r#""state":"lost""#);
        });
        Ok(true)
    }
}

fn pay(node: SocketAddr, call: &str, record: &Record) -> io::Result<()> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(ms(DEADLINE + 1000)))?;
    record.line(format!("client: sends {call}"));
    stream.write_all(&job("payment", call, DEADLINE, "", b"payment"))?;
    let answer = Reader::new(stream).next()?;
    record.line(format!("client: {call}: {:?}", answer.map(|answer| answer.status())));
    Ok(())
}

/// Another caller, whose turn it is: shows that discovery can be reached.
fn another_caller(discovery: &Discovery, record: &Record) -> io::Result<()> {
    let mut stream = TcpStream::connect(discovery.addr)?;
    stream.set_read_timeout(Some(ms(2000)))?;
    stream.write_all(b"GET /discovery/hosts HTTP/1.1\r\nhost: discovery\r\nx-turn: 1\r\n\r\n")?;
    let list = Reader::new(stream).next()?.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    record.line(format!("another node: is told {}", list.unwrap_or_default().trim_end()));
    Ok(())
}

fn main() -> ExitCode {
    let record = Record::open().expect("the record");
    let (tmp, listen) = (Folder::new("tmp"), free_address());
    let (old, new) = (Discovery::start(&record), Discovery::start(&record));
    let (attempts, gone) = (Attempts::default(), Arc::new(AtomicBool::new(false)));
    let mut leaving = None;
    for id in ["e1", "e2", "e3", "e4"] {
        let worker = worker(id, listen, ms(300), &record, &attempts);
        let addr = match id {
            "e4" => start_executor(Arc::new(Leaving { worker, gone: gone.clone() })),
            _ => start_executor(Arc::new(Plain(worker))),
        };
        let entry = Entry::up(id, addr);
        old.set(entry.clone());
        new.set(entry.clone());
        leaving = Some(entry);
    }
    let terms = Terms { discovery: old.addr, listen, limits: LIMITS, settings: SETTINGS };
    let mut node = Node::start(&terms, &tmp.0, &record);
    if !node.ready(&record) {
        return could_not_run(&record, "the node does not serve");
    }
    let run = unix_ms() & 0xffff_ffff;
    let own = record.clone();
    let clients = thread::spawn(move || {
        let each = (0..14_000 / 50).map(|number| {
            let record = own.clone();
            thread::sleep(ms(50));
            thread::spawn(move || {
                let call = call_id(run, number);
                if let Err(e) = pay(listen, &call, &record) {
                    record.line(format!("client: {call}: {e}"));
                }
            })
        });
        let each: Vec<_> = each.collect();
        each.into_iter().for_each(|client| drop(client.join()));
    });
    thread::sleep(ms(2500));
    if trouble() {
        new.refuse(Some(ms(5)));
    }
    let moved = record.now();
    node.reload(&Terms { discovery: new.addr, ..terms }, &record);
    let draining = Entry { state: "draining".into(), ..leaving.expect("an executor") };
    new.set(draining);
    if another_caller(&new, &record).is_err() {
        return could_not_run(&record, "discovery can't be reached");
    }
    thread::sleep(ms(1500));
    old.end_watches();
    let late = moved + TOLD + GRACE;
    thread::sleep(ms(((late - record.now()) * 1e3) as u64));
    record.line("e4: has to get nothing new from now on, and is taken out of service");
    gone.store(true, Ordering::SeqCst);
    thread::sleep(ms(CROWDED - 4550));
    new.refuse(None);
    drop(clients.join());
    thread::sleep(ms(1000));
    if node.ended().is_some() {
        return could_not_run(&record, "the node has ended");
    }
    let attempts = attempts.lock().unwrap();
    let broken: Vec<_> = attempts.iter().filter(|a| a.executor == "e4" && a.begun > late).collect();
    for attempt in &broken {
        record.line(format!("BROKEN: {:.3} s after SIGHUP: {attempt:?}", attempt.begun - moved));
    }
    verdict(&record, broken.len(), "payments sent to an executor that drains")
}
