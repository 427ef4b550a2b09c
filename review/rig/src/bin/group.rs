//! A node process is replaced while an executor that has left the list still holds a deduplicated job.
use std::collections::BTreeMap;

use rig::case::Verdict;
use rig::client::Clients;
use rig::discovery::{Discovery, Entry};
use rig::executor::{Executor, Log, Plan};
use rig::node::{self, Node};
use rig::{configuration, Case};

const CATEGORIES: &str = r#"[
   {"name":"commit","effect":"single_shot","group":"all","window":5000.0,"onTime":400.0,"deadline":8000.0,"credit":2.0,"lateValue":0.4,"stream":false},
   {"name":"alarm","effect":"guarded","group":"cell","window":7500.0,"onTime":400.0,"deadline":5000.0,"credit":5.0,"lateValue":0.4,"stream":false}]"#;
const ORGS: &str = r#"[{"name":"north-water","quotaRps":27.0,"share":0.6},{"name":"south-water","quotaRps":10.0,"share":0.4}]"#;

fn main() {
    let case = Case::begin();
    let listen = node::free_address();
    let managements = [node::free_address(), node::free_address()];
    let log = Log::default();
    // Three cells of three. The first attempt of an alarm runs until its executor is stopped; a repeat is served.
    let executors: Vec<Executor> = (0..9)
        .map(|at| {
            Executor::start(&case, &format!("s-{at}"), listen, 3, &log, |executor, attempt| {
                let begun = executor.runs.lock().unwrap().contains_key(&attempt.call);
                match begun {
                    false => Plan::Hold,
                    true => Plan::Run(0.5, format!("done {}", attempt.call)),
                }
            })
        })
        .collect();
    let cells: BTreeMap<String, i64> =
        executors.iter().enumerate().map(|(at, executor)| (executor.id.clone(), at as i64 / 3)).collect();
    let entry = |executor: &Executor, state| Entry {
        id: executor.id.clone(),
        addr: executor.addr,
        zone: "north".into(),
        kind: "std".into(),
        cell: cells[&executor.id],
        state,
    };
    let discovery = Discovery::start(&case, executors.iter().map(|executor| entry(executor, "up")).collect());
    let file = configuration(listen, discovery.addr, &discovery.known(), 2, 0, CATEGORIES, ORGS);
    let old = Node::start(&case, "old", listen, discovery.addr, Some(managements[0]), &file);
    old.until_up();
    case.sleep(1.5);
    let clients = Clients::new(&case, listen);
    let waiting: Vec<_> = (0..9)
        .map(|at| {
            case.sleep(0.1);
            clients.send("alarm", &format!("k{at:04}"), "north-water", 5000)
        })
        .collect();
    if !case.wait(3.0, || log.runs.lock().unwrap().len() == 9) {
        case.say(old.log_tail());
        case.finish(Verdict::CouldNotRun("not all jobs were begun".into()));
    }
    let first: BTreeMap<String, String> =
        log.runs.lock().unwrap().iter().map(|(call, ids)| (call.clone(), ids[0].clone())).collect();
    // One executor that holds a job, of each cell but the first, is replaced: it drains, leaves the list and is stopped.
    let mut replaced: Vec<&Executor> = Vec::new();
    for cell in [1, 2] {
        replaced
            .extend(executors.iter().find(|e| cells[&e.id] == cell && first.values().any(|id| *id == e.id)));
    }
    if replaced.is_empty() {
        case.finish(Verdict::CouldNotRun("all jobs went to the first cell".into()));
    }
    let mut serving = old;
    for state in ["draining", "removed"] {
        for executor in &replaced {
            discovery.change(entry(executor, state));
        }
        case.sleep(0.5);
    }
    if case.trouble {
        let new = Node::start(&case, "new", listen, discovery.addr, Some(managements[1]), &file);
        let ready = || new.get(managements[1], "/v1/readyz").is_some_and(|ready| ready.0 == 200);
        if !case.wait(6.0, ready) {
            case.say(new.log_tail());
            case.finish(Verdict::CouldNotRun("the new process was not ready within 6 s".into()));
        }
        case.say("platform: the new process says yes");
        serving.signal(node::SIGTERM);
        case.wait(4.0, || serving.ended().is_some());
        case.say(serving.log_tail());
        serving = new;
    }
    case.sleep(0.5);
    // The executors that are replaced are stopped now: their jobs are lost.
    for executor in &replaced {
        executor.die();
        for (call, _) in first.iter().filter(|(_, id)| **id == executor.id) {
            executor.end(call, "lost", "");
        }
    }
    case.sleep(1.5);
    // All others finish.
    for (call, id) in &first {
        if let Some(executor) =
            executors.iter().find(|e| e.id == *id && !replaced.iter().any(|r| r.id == *id))
        {
            executor.end(call, "done", &format!(r#","result":"done {call}""#));
        }
    }
    let answers: Vec<_> = waiting.into_iter().map(|client| client.join().expect("a client")).collect();
    case.say(serving.log_tail());
    let mut broken = Vec::new();
    for attempt in log.attempts.lock().unwrap().iter() {
        let first = &first[&attempt.call];
        let (from, to) = (cells[first], cells[&attempt.executor]);
        if from != to {
            broken.push(format!(
                "{} may have run at {first} (cell {from}) and was sent to {} (cell {to})",
                attempt.call, attempt.executor
            ));
        }
    }
    let served = answers.iter().filter(|answer| matches!(answer.result, Ok((200, _)))).count();
    let line = format!("{} sent, {served} served", answers.len());
    match broken.is_empty() {
        false => case.finish(Verdict::Broken(format!("{}; {line}", broken.join("; ")))),
        true => case.finish(Verdict::Held(line)),
    }
}
