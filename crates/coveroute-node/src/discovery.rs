//! Discovery: watches the list of executors on a streaming HTTP connection.
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::{timeout, Instant};
use awc::{Client, Connector};
use bytes::{Buf, BytesMut};
use coveroute::types::Loss;
use coveroute_engine::{Listing, WatchEvent};
use futures_util::StreamExt;
use log::info;
use tokio::time::timeout_at;

use crate::connection::{is_local_connect_failure, Dialer};
use crate::event::{DriverEvent, EventSender};
use crate::hosts::Hosts;
use crate::wire;

/// How long a watch request may wait for its response. Discovery queues requests, for up to 3 s wherever that is known;
/// one that has no response by then counts as failed. A change published meanwhile counts as known to this node six
/// seconds after the request: docs/design/told.md has the calculation.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3250);
/// The longest gap between two lines of a watch. A line is due every two seconds, and a change that a silent watch
/// fails to deliver counts as known after six.
const LINE_TIMEOUT: Duration = Duration::from_millis(2500);
/// After so many empty lines without a list, no initial list is coming. The first line is a list even if nothing has
/// changed, except with services that leave it out.
const EMPTY_LINES_WITHOUT_LIST: u32 = 2;
/// Connecting takes milliseconds on the platform's network.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A request that fails sooner than this was not queued: the service is down, or it has too many requests.
const IMMEDIATE_FAILURE: Duration = Duration::from_millis(150);
/// The largest accepted list: enough for twice the design capacity of executors (`docs/CAPACITY.md`), even if indented.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Up to this size an incomplete list is parsed again with each chunk. Beyond, it is parsed only if it may be
/// complete or has doubled since the last attempt, so each byte is parsed a few times at most, however small the
/// chunks are.
const REPARSE_ALWAYS_BYTES: usize = 16 * 1024;
/// A large list is also parsed at a line break, but only for its first few: in an indented list each entry has some.
const MAX_PARSED_LINE_BREAKS: usize = 4;

/// Client of the discovery service; it runs one watch at a time.
pub struct Discovery {
    client: Client,
    addr: SocketAddr,
    events: EventSender,
    watch: Option<JoinHandle<()>>,
}

impl Discovery {
    pub fn new(addr: SocketAddr, events: EventSender) -> Self {
        // Each request uses a new connection. A kept-alive connection that the service has closed would fail
        // immediately, which would look like a service that is down.
        let connector = Connector::new().connector(Dialer::new(CONNECT_TIMEOUT));
        let connector = connector.timeout(CONNECT_TIMEOUT).conn_keep_alive(Duration::ZERO);
        let builder = Client::builder().connector(connector).disable_redirects().disable_timeout();
        Discovery { client: builder.no_default_headers().finish(), addr, events, watch: None }
    }

    /// Starts watch `number` for changes after `version`, and cancels a watch that is still running.
    pub fn follow(&mut self, number: u64, version: u64) {
        let (client, events) = (self.client.clone(), self.events.clone());
        let uri = format!("http://{}{}?stream=1&index={version}", self.addr, wire::HOSTS);
        let watch = actix_rt::spawn(async move {
            let report = |watched| drop(events.send(DriverEvent::Watch(number, watched)));
            let (why, loss) = watch(&client, &uri, report).await;
            info!("watch {number} ended: {why}");
            report(WatchEvent::Lost(loss));
        });
        if let Some(old) = self.watch.replace(watch) {
            old.abort();
        }
    }

    /// Sets the address of the service for the next watch.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        self.addr = addr;
    }
}

/// Reports lists until the watch ends. Returns why it ended, and what that implies for the list that the node holds.
async fn watch(client: &Client, uri: &str, report: impl Fn(WatchEvent)) -> (String, Loss) {
    let called = Instant::now();
    let missed = |since: Instant| Loss::Missed(since.elapsed().as_secs_f64());
    let waited = || Loss::Waited(called.elapsed().as_secs_f64());
    let was_queued = || called.elapsed() >= IMMEDIATE_FAILURE;
    let mut answer = match timeout(RESPONSE_TIMEOUT, client.get(uri).send()).await {
        Err(_) => return ("no response in time".into(), missed(called)),
        // The connection failed: whether the service is running is unknown.
        Ok(Err(e)) if is_local_connect_failure(&e) => return (e.to_string(), missed(called)),
        Ok(Err(e)) => return (e.to_string(), if was_queued() { waited() } else { Loss::Closed }),
        Ok(Ok(answer)) if answer.status() != 200 => {
            let loss = if was_queued() { waited() } else { Loss::Refused };
            return (format!("response status {}", answer.status()), loss);
        }
        Ok(Ok(answer)) => answer,
    };
    let (mut lists, mut begun, mut heard) = (ListParser::default(), false, called);
    let mut empty_lines = 0;
    loop {
        // A response that ends before its first list shows that discovery is running, but brought no changes.
        let lost = || if begun { Loss::Closed } else { missed(called) };
        let within = if begun { LINE_TIMEOUT } else { RESPONSE_TIMEOUT };
        // Only a complete list or an empty line resets the timeout, so a watch that trickles bytes without ever
        // completing a list still times out.
        match timeout_at(heard + within, answer.next()).await {
            Err(_) => return ("no list or empty line in time".into(), missed(heard)),
            Ok(None) => return ("the response ended".into(), lost()),
            Ok(Some(Err(e))) => return (e.to_string(), lost()),
            Ok(Some(Ok(chunk))) => lists.push(&chunk),
        }
        loop {
            let item = match lists.next() {
                Ok(None) => break,
                Ok(Some(item)) => item,
                // The content of the broken list is unknown. A new request brings it again.
                Err(e) => return (e, missed(heard)),
            };
            // A single empty line may precede the first list, which may still be in transit, so it says nothing about
            // changes before the request. After the second empty line, one interval later, no list can be pending.
            match item {
                WatchItem::List(listing) => {
                    report(WatchEvent::Listed(listing));
                    empty_lines = EMPTY_LINES_WITHOUT_LIST;
                }
                WatchItem::KeepAlive => empty_lines += 1,
            }
            if empty_lines >= EMPTY_LINES_WITHOUT_LIST && !std::mem::replace(&mut begun, true) {
                report(WatchEvent::Established);
            }
            heard = if begun { Instant::now() } else { heard };
        }
    }
}

/// A complete item received on a watch.
#[derive(Debug)]
pub enum WatchItem {
    List(Listing),
    /// An empty line: no changes, and the watch is alive.
    KeepAlive,
}

/// Extracts lists from chunks that may end anywhere. A list may span one line or several.
#[derive(Default)]
pub struct ListParser {
    buffer: BytesMut,
    scan: BracketScan,
    /// Length of the buffer at the last parse.
    parsed_len: usize,
    /// Total bytes parsed, counting each repeated parse.
    #[cfg(test)]
    pub parsed_bytes: usize,
}

/// Bracket-matching state over the buffered bytes. Each byte is scanned once.
#[derive(Default)]
struct BracketScan {
    scanned: usize,
    depth: usize,
    string: StringState,
    /// Line breaks seen, inside strings or outside.
    breaks: usize,
}

#[derive(Clone, Copy, Default)]
enum StringState {
    #[default]
    Outside,
    Inside,
    Escaped,
}

impl BracketScan {
    /// Whether the buffer may hold a complete value: all brackets are closed, or the value has none.
    fn may_be_complete(&mut self, buffer: &[u8]) -> bool {
        while let Some(&byte) = buffer.get(self.scanned) {
            self.scanned += 1;
            self.breaks += usize::from(byte == b'\n');
            (self.depth, self.string) = match (self.string, byte) {
                (StringState::Outside, b'"') => (self.depth, StringState::Inside),
                (StringState::Outside, b'{' | b'[') => (self.depth + 1, StringState::Outside),
                (StringState::Outside, b'}' | b']') => (self.depth.saturating_sub(1), StringState::Outside),
                (StringState::Inside, b'"') | (StringState::Outside, _) => (self.depth, StringState::Outside),
                (StringState::Inside, b'\\') => (self.depth, StringState::Escaped),
                (StringState::Inside | StringState::Escaped, _) => (self.depth, StringState::Inside),
            };
            if self.depth == 0 && matches!(self.string, StringState::Outside) {
                // The remaining bytes belong to the next value.
                self.scanned = buffer.len();
            }
        }
        self.depth == 0 && matches!(self.string, StringState::Outside)
    }
}

impl ListParser {
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Whether a syntax error is at the end of the buffer. A chunk that ends within a number, as in `1.`, is reported
    /// as a syntax error, but may only be incomplete.
    fn is_at_end(&self, e: &serde_json::Error) -> bool {
        let last = self.buffer.rsplit(|&b| b == b'\n').next().unwrap_or_default();
        e.line() > self.buffer.iter().filter(|&&b| b == b'\n').count() && e.column() >= last.len()
    }

    /// Whether parsing the buffer now is worthwhile. Parsing a long list from its beginning with each small chunk
    /// took a tenth of a second for a list of thousands of executors.
    fn should_parse(&mut self) -> bool {
        let (len, breaks) = (self.buffer.len(), self.scan.breaks);
        let complete = self.scan.may_be_complete(&self.buffer);
        // A truncated single-line list is detected as soon as the next list begins.
        let truncated = self.scan.breaks > breaks && breaks < MAX_PARSED_LINE_BREAKS;
        complete || truncated || len <= REPARSE_ALWAYS_BYTES || len >= 2 * self.parsed_len
    }

    /// The next complete item, or none while the buffer holds no complete one.
    pub fn next(&mut self) -> Result<Option<WatchItem>, String> {
        let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
        let keep_alive = self.buffer.split_to(blank).contains(&b'\n');
        if !self.should_parse() {
            return self.incomplete(keep_alive);
        }
        self.parsed_len = self.buffer.len();
        #[cfg(test)]
        {
            self.parsed_bytes += self.parsed_len;
        }
        let mut lists = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Hosts>();
        match lists.next() {
            Some(Ok(hosts)) => {
                let end = lists.byte_offset();
                self.buffer.advance(end);
                (self.scan, self.parsed_len) = (BracketScan::default(), 0);
                Ok(Some(WatchItem::List(hosts.into())))
            }
            Some(Err(e)) if !e.is_eof() && !self.is_at_end(&e) => Err(format!("invalid list: {e}")),
            Some(Err(_)) | None => self.incomplete(keep_alive),
        }
    }

    /// The result while the buffer holds no complete list.
    fn incomplete(&self, keep_alive: bool) -> Result<Option<WatchItem>, String> {
        if self.buffer.len() > MAX_LIST_BYTES {
            return Err(format!("list exceeds {MAX_LIST_BYTES} bytes"));
        }
        // The line break that ends a list is not an empty line, but shows equally that the watch is alive.
        Ok(keep_alive.then_some(WatchItem::KeepAlive))
    }
}
