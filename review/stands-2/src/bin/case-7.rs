//! Case 7: an executor begins a payment, and its answer comes spoilt, as 429. The node hands that status on, the client takes
//! it for a refusal and sends the payment again.
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use stands_2::*;

const DEADLINE: u64 = 8000;
const PAYMENTS: u64 = 60;
/// One answer in so many is spoilt.
const SPOILT: u64 = 8;
/// Clients repeat by themselves up to two times, after a wait.
const TRIES: u64 = 3;

struct Spoiler {
    worker: Arc<Worker>,
    answers: Arc<AtomicU64>,
    /// How often each payment has run, by its body.
    ledger: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
}

impl Executor for Spoiler {
    fn request(&self, request: Message, stream: &mut TcpStream) -> io::Result<bool> {
        let call = request.call();
        if request.method != "POST" || call.is_empty() {
            return self.worker.other(&request, stream);
        }
        let payment = String::from_utf8_lossy(&request.body).into_owned();
        self.worker.begin(&call);
        self.ledger.lock().unwrap().entry(payment).or_default().push(call.clone());
        let spoilt = trouble() && self.answers.fetch_add(1, Ordering::SeqCst) % SPOILT == SPOILT - 1;
        self.worker.record.line(format!(
            "{}: runs {call}, answer {}",
            self.worker.id,
            if spoilt { "429" } else { "202" }
        ));
        respond(stream, if spoilt { "429 Too Many Requests" } else { "202 Accepted" }, "", "")?;
        self.worker.run(call);
        Ok(true)
    }
}

/// Sends the payment until it is served, fails or has been refused too often.
fn pay(node: SocketAddr, run: u64, number: u64, record: &Record) -> io::Result<usize> {
    let payment = format!("payment {number}");
    let mut refused_after_run = 0;
    for attempt in 0..TRIES {
        let call = call_id(run, number * TRIES + attempt);
        let mut stream = TcpStream::connect(node)?;
        stream.set_read_timeout(Some(ms(DEADLINE + 1000)))?;
        record.line(format!("client: sends {call}: {payment}"));
        stream.write_all(&job("payment", &call, DEADLINE, "", payment.as_bytes()))?;
        let answer = Reader::new(stream).read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        record.line(format!("client: {call}: {}", answer.status()));
        if !matches!(answer.status(), 429 | 503) {
            break;
        }
        refused_after_run += 1;
        let pause = answer.header("retry-after").and_then(|pause| pause.parse::<f64>().ok()).unwrap_or(0.1);
        thread::sleep(ms((pause * 1e3) as u64));
    }
    Ok(refused_after_run)
}

fn main() -> ExitCode {
    let record = Record::open().expect("the record");
    let (tmp, discovery, listen) = (Folder::new("tmp"), Discovery::start(&record), free_address());
    let (attempts, answers, ledger) =
        (Attempts::default(), Arc::default(), Arc::<Mutex<BTreeMap<_, _>>>::default());
    for id in ["e1", "e2", "e3", "e4"] {
        let worker = worker(id, listen, ms(300), &record, &attempts);
        let spoiler = Spoiler { worker, answers: Arc::clone(&answers), ledger: ledger.clone() };
        discovery.set(Entry::up(id, start_executor(Arc::new(spoiler))));
    }
    let settings = Deployment::of("payment", "single_shot", DEADLINE).settings();
    let terms = Terms { discovery: discovery.addr, listen, limits: LIMITS, settings: &settings };
    let mut node = Node::start(&terms, &tmp.0, &record);
    if !node.ready(&record) {
        return did_not_start(&record);
    }
    let run = unix_ms() & 0xffff_ffff;
    let clients: Vec<_> = (0..PAYMENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(ms(100 * number));
                if let Err(e) = pay(listen, run, number, &record) {
                    record.line(format!("client: payment {number}: {e}"));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(ms(500));
    if node.ended().is_some() {
        return could_not_run(&record, "the node has ended");
    }
    let ledger = ledger.lock().unwrap();
    let twice: Vec<_> = ledger.iter().filter(|(_, runs)| runs.len() > 1).collect();
    twice.iter().for_each(|(payment, runs)| record.line(format!("BROKEN: {payment} has run as {runs:?}")));
    verdict(&record, twice.len(), "payments have run more than once")
}
