//! Discovery: follows the list of executors, line by line.
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::timeout;
use awc::{Client, Connector};
use bytes::BytesMut;
use coveroute::types::{Entry, List, Standing};
use coveroute_shared::{Listed, Names, Roster};
use futures_util::StreamExt;
use log::{debug, warn};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::driver::{Event, Events, Watched};
use crate::wire;

/// Calls wait in turn there; one that is not begun by then is as good as failed.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
/// A line is due each two seconds. What a silent watch does not bring counts as told after six: one line that
/// is a second late, a pause and a new call stay well inside that.
const LINE_WITHIN: Duration = Duration::from_secs(3);
/// For a connection to come up, which on the platform's network takes milliseconds.
const DIAL_WITHIN: Duration = Duration::from_secs(1);
/// The version before any: what has changed since is the whole list.
const WHOLE: u64 = 0;
/// The longest line: a whole list of some thousands of executors.
const LINE_MOST: usize = 2 * 1024 * 1024;

/// A list of executors as discovery words it.
#[derive(Debug, Default, Deserialize)]
pub struct Hosts {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    servers: Vec<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
struct Host<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    addr: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    #[serde(borrow, default)]
    kind: Cow<'a, str>,
    #[serde(default)]
    cell: i64,
    state: State,
    #[serde(default)]
    started_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Up,
    Draining,
    Removed,
    #[serde(other)]
    Unknown,
}

impl Hosts {
    /// The entries, numbered, each with the executor's address if it has one. One that can't be read is left
    /// out and logged: it must not cost the others.
    pub fn entries(&self, roster: &mut Roster, names: &mut Names) -> Vec<(Entry, Option<SocketAddr>)> {
        let mut read = |raw: &RawValue| match serde_json::from_str::<Host>(raw.get()) {
            Ok(host) => {
                let addr = host.addr.parse().ok();
                Some((roster.entry(names, &host.listed(addr)), addr))
            }
            Err(e) => {
                warn!("entry left out: {e}: {}", raw.get());
                None
            }
        };
        self.servers.iter().filter_map(|raw| read(raw)).collect()
    }

    pub fn list(&self, entries: Vec<Entry>) -> List {
        if self.full {
            List::Whole(entries)
        } else {
            List::Changes(entries)
        }
    }
}

impl Host<'_> {
    fn listed(&self, addr: Option<SocketAddr>) -> Listed<'_> {
        let standing = match (self.state, addr) {
            (State::Up, Some(_)) => Standing::Ready,
            // Nothing new goes where it is not known to be wanted, or where to.
            (State::Draining | State::Unknown, _) => Standing::Draining,
            (State::Removed, _) | (State::Up, None) => Standing::Gone,
        };
        let started = self.started_ms / 1e3;
        Listed { id: &self.id, zone: &self.zone, kind: &self.kind, cell: self.cell, started, standing }
    }
}

/// The watch on changes; one runs at a time.
pub struct Discovery {
    client: Client,
    addr: SocketAddr,
    events: Events,
    watch: Option<JoinHandle<()>>,
    /// How many watches there have been: what an earlier one has still told counts no more.
    begun: u64,
}

impl Discovery {
    pub fn new(addr: SocketAddr, events: Events) -> Self {
        let connector = Connector::new().timeout(DIAL_WITHIN);
        let builder = Client::builder().connector(connector).disable_redirects().disable_timeout();
        Discovery { client: builder.no_default_headers().finish(), addr, events, watch: None, begun: 0 }
    }

    /// Starts a watch from after `version`; one that still ran is dropped.
    pub fn follow(&mut self, version: u64) {
        self.begun += 1;
        let (client, events, number) = (self.client.clone(), self.events.clone(), self.begun);
        let uri = format!("http://{}{}?stream=1&index={version}", self.addr, wire::HOSTS);
        let watch = actix_rt::spawn(async move {
            let tell = |watched| drop(events.send(Event::Watch(number, watched)));
            let ended = watch(&client, &uri, tell).await;
            debug!("watch ended: {ended}");
            tell(Watched::Lost);
        });
        if let Some(old) = self.watch.replace(watch) {
            old.abort();
        }
    }

    /// From here on another service is followed. Its versions may count otherwise: the whole list is asked
    /// for.
    pub fn move_to(&mut self, addr: SocketAddr) {
        self.addr = addr;
        self.follow(WHOLE);
    }

    /// Whether it is the watch that runs now.
    pub fn is_current(&self, number: u64) -> bool {
        number == self.begun
    }
}

/// Passes lists on until the watch ends; answers why.
async fn watch(client: &Client, uri: &str, tell: impl Fn(Watched)) -> String {
    let mut answer = match timeout(ANSWER_WITHIN, client.get(uri).send()).await {
        Err(_) => return "no answer in time".into(),
        Ok(Err(e)) => return e.to_string(),
        Ok(Ok(answer)) if answer.status() != 200 => return format!("answered {}", answer.status()),
        Ok(Ok(answer)) => answer,
    };
    let (mut lines, mut begun) = (Lines::default(), false);
    loop {
        match timeout(LINE_WITHIN, answer.next()).await {
            Err(_) => return "silent".into(),
            Ok(None) => return "closed".into(),
            Ok(Some(Err(e))) => return e.to_string(),
            Ok(Some(Ok(chunk))) => lines.add(&chunk),
        }
        if !std::mem::replace(&mut begun, true) {
            tell(Watched::Begun);
        }
        loop {
            match lines.next() {
                Ok(None) => break,
                Ok(Some(hosts)) => tell(Watched::Listed(hosts)),
                // What it held is unknown: asking anew brings it again.
                Err(e) => return e,
            }
        }
    }
}

/// Lines out of chunks that may end anywhere.
#[derive(Default)]
pub struct Lines {
    buffer: BytesMut,
}

impl Lines {
    pub fn add(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The next list that has come whole; empty lines only show that the watch lives.
    pub fn next(&mut self) -> Result<Option<Hosts>, String> {
        while let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
            let line = self.buffer.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                continue;
            }
            return serde_json::from_slice(&line).map(Some).map_err(|e| format!("a line can't be read: {e}"));
        }
        if self.buffer.len() > LINE_MOST {
            return Err("a line is too long".into());
        }
        Ok(None)
    }
}
