//! A new configuration at SIGHUP lacks a tenant whose job is under way.
use rig::case::Verdict;
use rig::client::Clients;
use rig::discovery::{Discovery, Entry};
use rig::executor::{Executor, Log, Plan};
use rig::node::{self, Node};
use rig::{configuration, Case};

const CATEGORIES: &str = r#"[
   {"name":"lookup","effect":"free","group":"all","window":5000.0,"onTime":400.0,"deadline":10000.0,"credit":2.0,"lateValue":0.0,"stream":false},
   {"name":"payment","effect":"single_shot","group":"all","window":5000.0,"onTime":800.0,"deadline":20000.0,"credit":3.0,"lateValue":0.0,"stream":false}]"#;
const BEFORE: &str =
    r#"[{"name":"water","quotaRps":27.0,"share":0.7},{"name":"gas","quotaRps":10.0,"share":0.3}]"#;
const AFTER: &str = r#"[{"name":"water","quotaRps":37.0,"share":1.0}]"#;
/// Seconds that each job runs: as long as those of the first deployment.
const RUN: f64 = 1.5;

fn main() {
    let case = Case::begin();
    let listen = node::free_address();
    let log = Log::default();
    let executors: Vec<Executor> = (0..12)
        .map(|at| {
            Executor::start(&case, &format!("s-{at}"), listen, 3, &log, |_, attempt| {
                Plan::Run(RUN, format!("done {}", attempt.call))
            })
        })
        .collect();
    let entry = |executor: &Executor| Entry {
        id: executor.id.clone(),
        addr: executor.addr,
        zone: "north".into(),
        kind: "std".into(),
        cell: 0,
        state: "up",
    };
    let discovery = Discovery::start(&case, executors.iter().map(entry).collect());
    let write = |orgs| configuration(listen, discovery.addr, &discovery.known(), 4, 0, CATEGORIES, orgs);
    let node = Node::start(&case, "a", listen, discovery.addr, None, &write(BEFORE));
    node.until_up();
    case.sleep(2.0);
    let clients = Clients::new(&case, listen);
    let mut waiting = Vec::new();
    // Four seconds of traffic at five jobs a second, of both tenants in turn, with the new file in their middle.
    for at in 0..20 {
        let caller = ["water", "gas"][at / 2 % 2];
        let class = ["lookup", "payment"][at % 2];
        let budget = [10000, 20000][at % 2];
        // The tenant that goes sends nothing more once its file is in force.
        let caller = if at >= 10 && caller == "gas" { "water" } else { caller };
        waiting.push(clients.send(class, &format!("c{at:04}"), caller, budget));
        case.sleep(0.2);
        if at == 9 && case.trouble {
            case.say("platform: the configuration is replaced by one without the tenant gas");
            let next = node.config.with_extension("next");
            std::fs::write(&next, write(AFTER)).expect("the new file can be written");
            std::fs::rename(&next, &node.config).expect("the new file can be put in place");
            node.signal(node::SIGHUP);
        }
    }
    let answers: Vec<_> = waiting.into_iter().map(|client| client.join().expect("a client")).collect();
    let lost = answers.iter().filter(|answer| answer.result.is_err()).count();
    let served = answers.iter().filter(|answer| matches!(answer.result, Ok((200, _)))).count();
    case.say(node.log_tail());
    let line = format!("{} sent, {served} served, {lost} without an answer", answers.len());
    match node.ended() {
        Some(how) => {
            case.finish(Verdict::Broken(format!("the node's process ended by itself ({how}); {line}")))
        }
        None if lost > 0 => case.finish(Verdict::Broken(line)),
        None if served == 0 => case.finish(Verdict::CouldNotRun(line)),
        None => case.finish(Verdict::Held(line)),
    }
}
