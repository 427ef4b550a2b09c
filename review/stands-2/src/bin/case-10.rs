//! Case 10: a new configuration moves discovery, and the new service has too many callers at first. The node goes on by its old
//! list for longer than the page allows after SIGHUP, and sends payments to an executor that drains.
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
const CROWDED: f64 = 8.0;

fn main() -> ExitCode {
    let record = Record::open().expect("the record");
    let (tmp, listen) = (Folder::new("tmp"), free_address());
    let (old, new) = (Discovery::start(&record), Discovery::start(&record));
    let (attempts, gone) = (Attempts::default(), Arc::new(AtomicBool::new(false)));
    let leaving = four_executors(listen, &[&old, &new], (&record, &attempts, &gone));
    let terms = Terms { discovery: old.addr, listen, limits: LIMITS, settings: SETTINGS };
    let mut node = Node::start(&terms, &tmp.0, &record);
    if !node.ready(&record) {
        return could_not_run(&record, "the node does not serve");
    }
    let clients = payments(vec![listen], 40, 14_000, DEADLINE, &record);
    thread::sleep(ms(2500));
    if trouble() {
        new.refuse(Some(ms(5)));
    }
    let moved = record.now();
    node.reload(&Terms { discovery: new.addr, ..terms }, &record);
    new.set(Entry { state: "draining".into(), ..leaving });
    if another_caller(&new, &record).is_err() {
        return could_not_run(&record, "discovery can't be reached");
    }
    thread::sleep(ms(1500));
    old.end_watches();
    let late = moved + TOLD + GRACE;
    sleep_until(late, &record);
    record.line("e4: has to get nothing new from now on, and is taken out of service");
    gone.store(true, Ordering::SeqCst);
    sleep_until(moved + CROWDED, &record);
    new.refuse(None);
    drop(clients.join());
    thread::sleep(ms(1000));
    if node.ended().is_some() {
        return could_not_run(&record, "the node has ended");
    }
    verdict(&record, sent_late(&attempts, late, moved, &record), "payments sent to an executor that drains")
}
