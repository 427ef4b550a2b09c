//! Case 10: discovery is out of reach for 23 s, and an executor begins to drain at its return. A node of a fleet of 24 asks
//! again only after up to nine seconds, and meanwhile sends payments by its old list.
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use stands_2::*;

const DEADLINE: u64 = 8000;
const FLEET: usize = 24;
/// These of its nodes are started, each a process.
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
        let settings =
            Deployment { me, nodes: FLEET, ..Deployment::of("payment", "single_shot", DEADLINE) }.settings();
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
