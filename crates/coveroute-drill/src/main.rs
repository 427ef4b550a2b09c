//! Adapter between the simulator's line protocol and coveroute's decisions. It reads batches of events, hosts
//! independent instances and writes one reply per batch. It translates terms, units and ids and makes no decisions.
mod wire;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write as _};
use std::panic::{self, AssertUnwindSafe};

use coveroute::node::Node;
use coveroute::types::{
    Entry, ExecutorIndex, InitialListAge, Input, List, Loss, Outcome, Output, PeerMessageKind, Settled,
    Standing, Submission,
};
use coveroute_shared::{decode, format_message, mark, parse_message, position, Listed, Names, Roster};
use wire::{Event, Line, Record};

/// A message for standard error that ends the process.
type Error = String;

/// One instance: its decisions, and its own numbering of the names in the protocol.
struct Instance {
    node: Node,
    names: Names,
    roster: Roster,
}

impl Instance {
    fn entry(&mut self, record: &Record) -> Result<Entry, Error> {
        let standing = match record.availability.as_deref() {
            Some("U") | None => Standing::Ready,
            Some("L") => Standing::Draining,
            Some("D") => Standing::Gone,
            Some(other) => return Err(format!("unknown availability {other}")),
        };
        let listed = Listed {
            id: &record.executor,
            zone: record.area.as_deref().unwrap_or(""),
            kind: record.hw.as_deref().unwrap_or(""),
            cell: record.block.unwrap_or(0),
            started: record.started_at.unwrap_or(0.0) / 1e3,
            size: record.weight.unwrap_or(1.0),
            standing,
        };
        Ok(self.roster.entry(&mut self.names, &listed))
    }

    fn input(&mut self, line: &Line, event: Event, pages: &[Vec<Record>]) -> Result<Input, Error> {
        let id = || line.job.ok_or("no job");
        Ok(match event {
            Event::Submit => Input::Submitted(Submission {
                id: id()?,
                operation: position(&mut self.names.operations, line.lane.as_deref().ok_or("no lane")?),
                tenant: line
                    .org
                    .as_ref()
                    .and_then(|org| org.0.as_deref())
                    .map(|o| position(&mut self.names.tenants, o)),
                timeout: line.ttl.ok_or("no ttl")? / 1e3,
                hint: line.hint.map(|hint| hint / 1e3),
                memory: line.memory,
                is_retry: line.resent,
                key: line.partition_key.as_deref().and_then(|key| u64::from_str_radix(key, 16).ok()),
            }),
            Event::Settled => Input::Settled(Settled {
                id: id()?,
                forward: line.copy.unwrap_or(0),
                outcome: outcome(line.verdict.as_deref())?,
                took: line.time_taken.unwrap_or(0.0) / 1e3,
                ended: line.terminal,
                report: line.gauge.unwrap_or_default().into(),
            }),
            Event::StatusNote | Event::First => Input::Started { id: id()?, forward: line.copy.unwrap_or(0) },
            Event::Expired => Input::Expired(id()?),
            Event::Timer => Input::Timer(line.cookie.unwrap_or(0)),
            Event::Health => Input::Probed {
                executor_index: self.roster.number(line.executor.as_deref().ok_or("no executor")?),
                outcome: outcome(line.verdict.as_deref())?,
                report: line.gauge.unwrap_or_default().into(),
            },
            Event::Heard => {
                let from = line.by.ok_or("no by")?;
                // A message that cannot be parsed refers to no executor: it is passed on and has no effect.
                let unparsed = (PeerMessageKind::Held, u32::MAX, 0);
                let (kind, mark, count) =
                    parse_message(line.contents.as_deref().unwrap_or("")).unwrap_or(unparsed);
                let executor_index = self.roster.by_mark(mark).unwrap_or(ExecutorIndex::MAX);
                Input::PeerMessage { from, kind, executor_index, count }
            }
            Event::Members => {
                let scope = line.scope.as_deref().ok_or("no scope")?;
                if scope == "lost" {
                    return Ok(Input::List(List::Lost(Loss::Unspecified)));
                }
                let page = line.page.and_then(|page| pages.get(page)).ok_or("no such page")?;
                let entries = page.iter().map(|record| self.entry(record)).collect::<Result<_, _>>()?;
                Input::List(match scope {
                    "incr" => List::Changes(entries),
                    "total" => List::Whole(entries),
                    "warm_copy" => List::Initial(entries, InitialListAge::Unspecified),
                    other => return Err(format!("unknown scope {other}")),
                })
            }
            Event::Init | Event::Kill | Event::Catalog | Event::BeginBatch | Event::OverToYou => {
                return Err("not an event of an instance".to_owned())
            }
        })
    }

    fn write_output(&self, me: i64, output: &Output, reply: &mut String) {
        let _ = match output {
            Output::Forward { id, executor_index } => {
                let executor = self.roster.id(*executor_index);
                writeln!(reply, r#"{{"what":"TRY","nodeId":{me},"job":{id},"executor":"{executor}"}}"#)
            }
            Output::Withdraw { id, forward } => {
                writeln!(reply, r#"{{"what":"WITHDRAW","nodeId":{me},"job":{id},"copy":{forward}}}"#)
            }
            Output::Throttle { id, pause } => {
                let pause = pause * 1e3;
                writeln!(reply, r#"{{"what":"DECLINE","nodeId":{me},"job":{id},"pause":{pause:.3}}}"#)
            }
            Output::Error { id } => writeln!(reply, r#"{{"what":"END_FAILED","nodeId":{me},"job":{id}}}"#),
            Output::SetTimer { after, timer } => {
                let after = after * 1e3;
                writeln!(reply, r#"{{"what":"WAKE_ME","nodeId":{me},"after":{after:.3},"cookie":{timer}}}"#)
            }
            Output::Probe(executor_index) => {
                let executor = self.roster.id(*executor_index);
                writeln!(reply, r#"{{"what":"SAMPLE","nodeId":{me},"executor":"{executor}"}}"#)
            }
            Output::Release(executor_index) => {
                let executor = self.roster.id(*executor_index);
                writeln!(reply, r#"{{"what":"RELEASE","nodeId":{me},"executor":"{executor}"}}"#)
            }
            Output::SendToPeer { to, kind, executor_index, count } => {
                let mark = mark(self.roster.id(*executor_index));
                let words = format_message(*kind, mark, *count);
                writeln!(reply, r#"{{"what":"TELL","nodeId":{me},"dest":{to},"contents":"{words}"}}"#)
            }
            Output::WatchList => writeln!(reply, r#"{{"what":"LISTEN","nodeId":{me},"on":true}}"#),
            Output::Log(words) => {
                let words = serde_json::Value::from(words.as_str());
                writeln!(reply, r#"{{"what":"LOG","nodeId":{me},"words":{words}}}"#)
            }
        };
    }
}

fn outcome(verdict: Option<&str>) -> Result<Outcome, Error> {
    Ok(match verdict.ok_or("no verdict")? {
        "Ok" => Outcome::Succeeded,
        "Failed" => Outcome::Errored,
        "QueueFull" => Outcome::Full,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::Unreachable,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Cancelled,
        "Ignored" => Outcome::NotWritten,
        other => return Err(format!("unknown verdict {other}")),
    })
}

/// All instances of this process, and the catalog pages that their events refer to.
#[derive(Default)]
struct Host {
    instances: BTreeMap<i64, Instance>,
    pages: Vec<Vec<Record>>,
    outputs: Vec<Output>,
    now: f64,
}

impl Host {
    /// Handles one line; returns true at the end of a batch, when the reply is due.
    fn handle_line(&mut self, text: &str, reply: &mut String) -> Result<bool, Error> {
        let mut line: Line = serde_json::from_str(text).map_err(|e| e.to_string())?;
        match line.what {
            Event::BeginBatch => self.now = line.time.ok_or("no time")? / 1e3,
            Event::OverToYou => return Ok(true),
            Event::Catalog => {
                let page = line.page.filter(|page| *page < 16).ok_or("no page from 0 to 15")?;
                if self.pages.len() <= page {
                    self.pages.resize_with(page + 1, Vec::new);
                }
                self.pages[page] = line.records.take().ok_or("no records")?;
            }
            Event::Kill => {
                self.instances.remove(&line.node_id.ok_or("no nodeId")?);
            }
            Event::Init => {
                let info = line.info.take().ok_or("no info")?;
                let (settings, names) = decode(info)?;
                let node = Node::new(settings, line.rng_seed.unwrap_or(0.0) as u64);
                let instance = Instance { node, names, roster: Roster::default() };
                self.instances.insert(line.node_id.ok_or("no nodeId")?, instance);
            }
            event => self.handle_event(&line, event, reply)?,
        }
        Ok(false)
    }

    fn handle_event(&mut self, line: &Line, event: Event, reply: &mut String) -> Result<(), Error> {
        let me = line.node_id.ok_or("no nodeId")?;
        let Some(instance) = self.instances.get_mut(&me) else {
            eprintln!("event for instance {me}, which is not running");
            return Ok(());
        };
        let input = instance.input(line, event, &self.pages)?;
        self.outputs.clear();
        let (now, outputs) = (self.now, &mut self.outputs);
        let ran = panic::catch_unwind(AssertUnwindSafe(|| instance.node.handle(now, input, outputs)));
        match ran {
            Ok(()) => self.outputs.iter().for_each(|output| instance.write_output(me, output, reply)),
            Err(cause) => {
                let words = cause.downcast_ref::<String>().map(String::as_str);
                let words = words.or(cause.downcast_ref::<&str>().copied()).unwrap_or("panic without words");
                let words = serde_json::Value::from(words);
                let _ = writeln!(reply, r#"{{"what":"PANIC","nodeId":{me},"words":{words}}}"#);
                self.instances.remove(&me);
            }
        }
        Ok(())
    }
}

fn run(input: &mut impl BufRead, output: &mut impl io::Write) -> Result<(), Error> {
    let (mut host, mut text, mut reply) = (Host::default(), String::new(), String::new());
    while input.read_line(&mut text).map_err(|e| e.to_string())? > 0 {
        if !text.trim().is_empty()
            && host
                .handle_line(&text, &mut reply)
                .map_err(|e| format!("bad line: {e}: {}", text.trim_end()))?
        {
            reply.push_str("{\"what\":\"OK\"}\n");
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
            reply.clear();
        }
        text.clear();
    }
    Ok(())
}

fn main() {
    if let Err(error) = run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        let _ = writeln!(io::stderr(), "coveroute-drill: {error}");
        std::process::exit(1);
    }
}

#[cfg(test)]
mod tests;
