//! Discovery: follows the list of executors, list by list.
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::{timeout, Instant};
use awc::{Client, Connector};
use bytes::{Buf, BytesMut};
use coveroute::types::Loss;
use coveroute_engine::{Listing, Watched};
use futures_util::StreamExt;
use log::info;
use tokio::time::timeout_at;

use crate::connection::{could_not_connect, Dialer};
use crate::happening::{Happening, Happenings};
use crate::hosts::Hosts;
use crate::wire;

/// Calls wait in turn there, for up to 3 s wherever that is known; one that is not begun by then is as good as failed.
/// What is told meanwhile counts as told six seconds after the call: docs/design/told.md has the sum.
const ANSWER_WITHIN: Duration = Duration::from_millis(3250);
/// A line is due each two seconds, and what a silent watch does not bring counts as told after six.
const LINE_WITHIN: Duration = Duration::from_millis(2500);
/// After so many empty lines there is no list before them: the first line is one, also where nothing has changed, but for services
/// that leave it out.
const EMPTY_LINES: u32 = 2;
/// For a connection to come up, which on the platform's network takes milliseconds.
const DIAL_WITHIN: Duration = Duration::from_millis(500);
/// A call that fails sooner has not waited for its turn: nobody is there, or there are too many who ask.
const AT_ONCE: Duration = Duration::from_millis(150);
/// The longest list: twice the executors that are designed for (`docs/CAPACITY.md`), also where it is indented.
pub const LIST_MOST: usize = 4 * 1024 * 1024;
/// What has come of a list is read anew with each piece up to here. Beyond, only where it may be whole or there is twice
/// as much of it as at the last time: each byte is then read a few times at most, however small the pieces are.
const READ_EACH: usize = 16 * 1024;
/// And where a line ends, after so many at most: of an indented list each entry has some.
const BREAKS: usize = 4;

/// The watch on changes; one runs at a time.
pub struct Discovery {
    client: Client,
    addr: SocketAddr,
    happenings: Happenings,
    watch: Option<JoinHandle<()>>,
}

impl Discovery {
    pub fn new(addr: SocketAddr, happenings: Happenings) -> Self {
        // Each call has a connection of its own: one that was kept and is closed by then would read as a call that was
        // turned away as it came, and so as a service that is down.
        let connector = Connector::new().connector(Dialer::new(DIAL_WITHIN));
        let connector = connector.timeout(DIAL_WITHIN).conn_keep_alive(Duration::ZERO);
        let builder = Client::builder().connector(connector).disable_redirects().disable_timeout();
        Discovery { client: builder.no_default_headers().finish(), addr, happenings, watch: None }
    }

    /// Starts a watch of this number from after `version`; one that still ran is dropped.
    pub fn follow(&mut self, number: u64, version: u64) {
        let (client, happenings) = (self.client.clone(), self.happenings.clone());
        let uri = format!("http://{}{}?stream=1&index={version}", self.addr, wire::HOSTS);
        let watch = actix_rt::spawn(async move {
            let tell = |watched| drop(happenings.send(Happening::Watch(number, watched)));
            let (why, loss) = watch(&client, &uri, tell).await;
            info!("watch {number} ended: {why}");
            tell(Watched::Lost(loss));
        });
        if let Some(old) = self.watch.replace(watch) {
            old.abort();
        }
    }

    /// From the next watch on another service is followed.
    pub fn move_to(&mut self, addr: SocketAddr) {
        self.addr = addr;
    }
}

/// Passes lists on until the watch ends; answers why, and what that tells of the list that is held.
async fn watch(client: &Client, uri: &str, tell: impl Fn(Watched)) -> (String, Loss) {
    let called = Instant::now();
    let missed = |since: Instant| Loss::Missed(since.elapsed().as_secs_f64());
    let waited = || called.elapsed() >= AT_ONCE;
    let mut answer = match timeout(ANSWER_WITHIN, client.get(uri).send()).await {
        Err(_) => return ("no answer in time".into(), missed(called)),
        // Whether it is there is unknown.
        Ok(Err(e)) if could_not_connect(&e) => return (e.to_string(), missed(called)),
        Ok(Err(e)) => return (e.to_string(), if waited() { Loss::Waited } else { Loss::Closed }),
        Ok(Ok(answer)) if answer.status() != 200 => {
            let loss = if waited() { Loss::Waited } else { Loss::Refused };
            return (format!("answered {}", answer.status()), loss);
        }
        Ok(Ok(answer)) => answer,
    };
    let (mut lists, mut begun, mut heard) = (Lists::default(), false, called);
    let mut empty_lines = 0;
    loop {
        // An answer that ends before its first list: discovery is there, and nothing was heard of it.
        let lost = || if begun { Loss::Closed } else { missed(called) };
        let within = if begun { LINE_WITHIN } else { ANSWER_WITHIN };
        // Guards against a watch that trickles and never says anything whole: only a list, or an empty line, counts.
        match timeout_at(heard + within, answer.next()).await {
            Err(_) => return ("silent".into(), missed(heard)),
            Ok(None) => return ("closed".into(), lost()),
            Ok(Some(Err(e))) => return (e.to_string(), lost()),
            Ok(Some(Ok(chunk))) => lists.add(&chunk),
        }
        loop {
            let told = match lists.next() {
                Ok(None) => break,
                Ok(Some(told)) => told,
                // What it held is unknown: asking anew brings it again.
                Err(e) => return (e, missed(heard)),
            };
            // Guards against an empty line before the first list, which may still be on its way: it tells nothing of what
            // changed before the call. After the second, a beat later, none can be.
            match told {
                Told::List(listing) => {
                    tell(Watched::Listed(listing));
                    empty_lines = EMPTY_LINES;
                }
                Told::Lives => empty_lines += 1,
            }
            if empty_lines >= EMPTY_LINES && !std::mem::replace(&mut begun, true) {
                tell(Watched::Begun);
            }
            heard = if begun { Instant::now() } else { heard };
        }
    }
}

/// What has come on a watch since it was last looked at.
#[derive(Debug)]
pub enum Told {
    List(Listing),
    /// An empty line: no news, and it lives.
    Lives,
}

/// Lists out of chunks that may end anywhere; one may stand on one line or on many.
#[derive(Default)]
pub struct Lists {
    buffer: BytesMut,
    scan: Scan,
    /// So much there was when it was last read.
    read: usize,
    /// Bytes that were read, each time anew.
    #[cfg(test)]
    pub worked: usize,
}

/// Where in a list the bytes end that have been looked through: each is looked at once.
#[derive(Default)]
struct Scan {
    seen: usize,
    depth: usize,
    text: Text,
    /// Line breaks, wherever they stand.
    breaks: usize,
}

#[derive(Clone, Copy, Default)]
enum Text {
    #[default]
    Outside,
    Inside,
    Escaped,
}

impl Scan {
    /// Whether a value may be whole: as many brackets have been closed as opened, or it is none that has any.
    fn whole(&mut self, buffer: &[u8]) -> bool {
        while let Some(&byte) = buffer.get(self.seen) {
            self.seen += 1;
            self.breaks += usize::from(byte == b'\n');
            (self.depth, self.text) = match (self.text, byte) {
                (Text::Outside, b'"') => (self.depth, Text::Inside),
                (Text::Outside, b'{' | b'[') => (self.depth + 1, Text::Outside),
                (Text::Outside, b'}' | b']') => (self.depth.saturating_sub(1), Text::Outside),
                (Text::Inside, b'"') | (Text::Outside, _) => (self.depth, Text::Outside),
                (Text::Inside, b'\\') => (self.depth, Text::Escaped),
                (Text::Inside | Text::Escaped, _) => (self.depth, Text::Inside),
            };
            if self.depth == 0 && matches!(self.text, Text::Outside) {
                // The rest belongs to what comes behind.
                self.seen = buffer.len();
            }
        }
        self.depth == 0 && matches!(self.text, Text::Outside)
    }
}

impl Lists {
    pub fn add(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Guards against a chunk that ends within a number, as `1.`: that is told as a fault, and may only not be whole.
    fn at_end(&self, e: &serde_json::Error) -> bool {
        let last = self.buffer.rsplit(|&b| b == b'\n').next().unwrap_or_default();
        e.line() > self.buffer.iter().filter(|&&b| b == b'\n').count() && e.column() >= last.len()
    }

    /// Whether it is worth while to read what there is. Guards against a long list in small pieces that is read from its
    /// beginning with each: one of thousands of executors took a tenth of a second for itself.
    fn is_worth_reading(&mut self) -> bool {
        let (held, breaks) = (self.buffer.len(), self.scan.breaks);
        let whole = self.scan.whole(&self.buffer);
        // A list on one line that was broken off is told to be none as soon as another begins.
        let broken = self.scan.breaks > breaks && breaks < BREAKS;
        whole || broken || held <= READ_EACH || held >= 2 * self.read
    }

    /// The next list that has come whole, or what else there is; none while nothing is whole.
    pub fn next(&mut self) -> Result<Option<Told>, String> {
        let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
        let lives = self.buffer.split_to(blank).contains(&b'\n');
        if !self.is_worth_reading() {
            return self.unread(lives);
        }
        self.read = self.buffer.len();
        #[cfg(test)]
        {
            self.worked += self.read;
        }
        let mut lists = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Hosts>();
        match lists.next() {
            Some(Ok(hosts)) => {
                let end = lists.byte_offset();
                self.buffer.advance(end);
                (self.scan, self.read) = (Scan::default(), 0);
                Ok(Some(Told::List(hosts.into())))
            }
            Some(Err(e)) if !e.is_eof() && !self.at_end(&e) => Err(format!("a list can't be read: {e}")),
            Some(Err(_)) | None => self.unread(lives),
        }
    }

    /// What is told while nothing is whole.
    fn unread(&self, lives: bool) -> Result<Option<Told>, String> {
        if self.buffer.len() > LIST_MOST {
            return Err("a list is too long".into());
        }
        // The end of a list's own line is none that was left empty, but tells as much.
        Ok(lives.then_some(Told::Lives))
    }
}
