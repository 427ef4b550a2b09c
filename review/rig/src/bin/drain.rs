//! A node's process is replaced, and an executor begins to drain just after that.
use rig::case::Verdict;
use rig::client::Clients;
use rig::discovery::{Discovery, Entry};
use rig::executor::{Executor, Log, Plan};
use rig::node::{self, Node};
use rig::{configuration, Case};

const CATEGORIES: &str = r#"[
   {"name":"rebuild","effect":"free","group":"all","window":5000.0,"onTime":250.0,"deadline":5000.0,"credit":1.0,"lateValue":0.0,"stream":false},
   {"name":"verify","effect":"guarded","group":"all","window":7500.0,"onTime":250.0,"deadline":5000.0,"credit":8.0,"lateValue":0.0,"stream":false}]"#;
const ORGS: &str =
    r#"[{"name":"t0","quotaRps":400.0,"share":0.6},{"name":"t1","quotaRps":260.0,"share":0.4}]"#;
/// Thirteen nodes, of which this is one; the others are not needed.
const NODES: usize = 13;
const ME: usize = 5;
const REPLACEMENTS: usize = 5;
/// Seconds after the yes from which discovery's news counts as told.
const TOLD: f64 = 2.0;
/// The grace on drains, in seconds, and what limits are longer by on sockets.
const GRACE: f64 = 0.5 + 0.05;
/// Seconds for what the case itself is late by between reading its clock and the node's send.
const MEASURING: f64 = 0.1;

fn main() {
    let case = Case::begin();
    let listen = node::free_address();
    let log = Log::default();
    let executors: Vec<Executor> = (0..10)
        .map(|at| {
            Executor::start(&case, &format!("s-{at:02}"), listen, 4, &log, |_, attempt| {
                Plan::Run(0.15, format!("done {}", attempt.call))
            })
        })
        .collect();
    let entry = |executor: &Executor, state| Entry {
        id: executor.id.clone(),
        addr: executor.addr,
        zone: "north".into(),
        kind: "std".into(),
        cell: 0,
        state,
    };
    let discovery = Discovery::start(&case, executors.iter().map(|e| entry(e, "up")).collect());
    let file = || configuration(listen, discovery.addr, &discovery.known(), NODES, ME, CATEGORIES, ORGS);
    let mut serving = Node::start(&case, "p0", listen, discovery.addr, Some(node::free_address()), &file());
    serving.until_up();
    case.sleep(2.0);
    let clients = Clients::new(&case, listen);
    let mut waiting = Vec::new();
    let mut drained = Vec::new();
    let mut send = |case: &Case, until: f64| {
        while case.now() < until {
            let class = ["rebuild", "verify"][waiting.len() % 2];
            waiting.push(clients.send(class, &format!("c{:05}", waiting.len()), "t0", 5000));
            case.sleep(0.02);
        }
    };
    send(&case, case.now() + 3.0);
    for (number, leaving) in executors.iter().enumerate().skip(1).take(REPLACEMENTS) {
        if case.trouble {
            let management = node::free_address();
            let new =
                Node::start(&case, &format!("p{number}"), listen, discovery.addr, Some(management), &file());
            let ready = || new.get(management, "/v1/readyz").is_some_and(|ready| ready.0 == 200);
            if !case.wait(6.0, ready) {
                case.say(new.log_tail());
                case.finish(Verdict::CouldNotRun("the new process was not ready within 6 s".into()));
            }
            case.say("platform: the new process says yes");
            let yes = case.now();
            serving.signal(node::SIGTERM);
            case.sleep(0.3);
            discovery.change(entry(leaving, "draining"));
            drained.push((leaving.id.clone(), yes + TOLD, number));
            serving = new;
        } else {
            case.sleep(0.3);
            discovery.change(entry(leaving, "draining"));
            drained.push((leaving.id.clone(), case.now(), number));
        }
        // Not a multiple of the round in which the nodes ask discovery.
        send(&case, case.now() + 6.1);
    }
    let answers: Vec<_> = waiting.into_iter().map(|client| client.join().expect("a client")).collect();
    case.say(serving.log_tail());
    let attempts = log.attempts.lock().unwrap().clone();
    let mut broken = Vec::new();
    for (id, told, number) in &drained {
        let late: Vec<_> =
            attempts.iter().filter(|a| a.executor == *id && a.at > told + GRACE + MEASURING).collect();
        if let Some(last) = late.last() {
            broken.push(format!(
                "replacement {number}: {} attempts at {id}, the last {:.2} s after the drain counted as told",
                late.len(),
                last.at - told
            ));
        }
    }
    let served = answers.iter().filter(|answer| matches!(answer.result, Ok((200, _)))).count();
    let line = format!("{} sent, {served} served, {} drains", answers.len(), drained.len());
    match broken.is_empty() {
        false => case.finish(Verdict::Broken(format!("{}; {line}", broken.join("; ")))),
        true if served < answers.len() / 2 => case.finish(Verdict::CouldNotRun(line)),
        true => case.finish(Verdict::Held(line)),
    }
}
