//! Case 10: discovery is out of reach for 23 s, and an executor begins to drain at its return. A node of a fleet of 24 asks
//! again only after up to nine seconds, and meanwhile sends payments by its old list.
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use stands_2::*;

const SETTINGS: &str = r#"{"me":ME,"replicasOfMe":24,"zone":"a","zones":["a"],"skus":["k"],
 "categories":[{"name":"payment","effect":"single_shot","onTime":800.0,"deadline":8000.0,"credit":3.0}],
 "goal":{"whole":0.8,"worstClass":0.2},"familyInfo":{"tellsStart":false,"progress":0.0},
 "limits":{"maxAttempts":4,"dialTimeout":250.0,"connIdle":60000.0,"cancelling":true,"probing":true,"retryAfter":true,
  "maxRetryAfter":2000.0,"secondCopies":true},
 "registryMode":"on_request","report":{"source":"none","names":[]},
 "rules":{"startCapacity":0.3,"warmUp":9000.0,"overloadFactor":4.0,"fall":2000.0,"drainGrace":500.0,"askWithin":10000.0}}"#;
const DEADLINE: u64 = 8000;
/// These of the 24 nodes are started, each a process.
const NODES: [usize; 6] = [0, 4, 8, 12, 16, 20];
/// How long discovery is out of reach; a call ends with 503 after this wait meanwhile.
const OUTAGE: f64 = 23.0;
const WAIT: u64 = 2000;
/// In seconds: a change counts as told so long after discovery had it and could be reached.
const TOLD: f64 = 6.0;
/// `rules.drainGrace`, and what each limit is longer on sockets.
const GRACE: f64 = 0.5 + 0.05;

fn main() -> ExitCode {
    let record = Record::open().expect("the record");
    let (attempts, gone) = (Attempts::default(), Arc::new(AtomicBool::new(false)));
    let (mut nodes, mut folders, mut views) = (Vec::new(), Vec::new(), Vec::new());
    for me in NODES {
        // Each node sees discovery and the executors under addresses of its own.
        let (tmp, discovery, listen) = (Folder::new("tmp"), Discovery::start(&record), free_address());
        let leaving = four_executors(listen, &[&discovery], (&record, &attempts, &gone));
        let settings = SETTINGS.replace("ME", &me.to_string());
        let terms = Terms { discovery: discovery.addr, listen, limits: LIMITS, settings: &settings };
        nodes.push(Node::start(&terms, &tmp.0, &record));
        folders.push(tmp);
        views.push((discovery, leaving));
    }
    if !nodes.iter_mut().all(|node| node.ready(&record)) {
        return did_not_start(&record);
    }
    let listens = nodes.iter().map(|node| node.listen).collect();
    let for_ms = 2000 + (OUTAGE * 1e3) as u64 + 10_000;
    let clients = payments(listens, 8, for_ms, DEADLINE, &record);
    thread::sleep(ms(2000));
    if trouble() {
        for (discovery, _) in &views {
            discovery.refuse(Some(ms(WAIT)));
            discovery.end_watches();
        }
    }
    thread::sleep(ms((OUTAGE * 1e3) as u64));
    for (discovery, leaving) in &views {
        discovery.refuse(None);
        discovery.set(Entry { state: "draining".into(), ..leaving.clone() });
    }
    let back = record.now();
    if another_caller(&views[0].0, &record).is_err() {
        return could_not_run(&record, "discovery can't be reached");
    }
    let late = back + TOLD + GRACE;
    sleep_until(late, &record);
    record.line("e4: has to get nothing new from now on, and is taken out of service");
    gone.store(true, Ordering::SeqCst);
    drop(clients.join());
    thread::sleep(ms(1000));
    if nodes.iter_mut().any(|node| node.ended().is_some()) {
        return could_not_run(&record, "a node has ended");
    }
    verdict(&record, sent_late(&attempts, late, back, &record), "payments sent to an executor that drains")
}
