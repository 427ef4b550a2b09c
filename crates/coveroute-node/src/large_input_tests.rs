//! Tests of invalid input at the design capacity (`docs/CAPACITY.md`): it is reported in one line, and the state
//! before it stays in force.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use actix_rt::time::timeout;
use coveroute_engine::{Listing, WatchEvent};
use test_case::test_case;
use tokio::sync::mpsc::unbounded_channel;

use crate::clock::seconds;
use crate::config::{self, Config};
use crate::discovery::{Discovery, ListParser, WatchItem, MAX_LIST_BYTES};
use crate::event::DriverEvent;
use crate::hosts::Hosts;
use crate::tests::{block, driver, CONFIG};

const EXECUTORS: usize = 7_800;
const TENANTS: usize = 130;

fn entry(at: usize) -> String {
    let (high, low) = (at >> 8, at & 255);
    format!(
        r#"{{"id":"s-{at:08x}","addr":"10.1.{high}.{low}:9000","zone":"zone-{}","kind":"m2","cell":3,"state":"up","weight":1.0,"started_ms":1700000000000}}"#,
        at % 5
    )
}

fn full_list(version: u64, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
}

fn entries(many: usize) -> Vec<String> {
    (0..many).map(entry).collect()
}

// Guards against one log line per invalid entry, which would be thousands if all are invalid.
#[test_case(&["{\"id\":7}"], 1; "one is not an executor")]
#[test_case(&["7", "{\"id\":\"s\",\n\"state\":\"up\",\"addr\":9}", "\"\""], 3; "three, one spanning two lines")]
fn invalid_entries_are_logged_in_one_line(invalid: &[&str], many: usize) {
    let mut entries = entries(EXECUTORS);
    invalid.iter().enumerate().for_each(|(at, invalid)| entries[1_000 + at] = (*invalid).to_owned());
    let hosts: Hosts = serde_json::from_str(&full_list(9, &entries)).expect("a list");
    let (listing, line) = hosts.into_listing();
    let line = line.expect("a line");
    assert!(
        line.starts_with(&format!("list 9: skipped {many} invalid of {EXECUTORS} entries, the first: ")),
        "{line}"
    );
    assert!(!line.contains('\n') && line.len() < 500, "{line}");
    assert_eq!((listing.hosts.len(), listing.version, listing.full), (EXECUTORS - many, 9, true));
    let hosts: Hosts = serde_json::from_str(&full_list(9, &self::entries(3))).expect("a list");
    assert_eq!(hosts.into_listing().1, None, "valid lists are not logged");
}

/// Parses a text in chunks; returns its list and the number of bytes parsed.
fn parse_in_chunks(text: &str, chunk: usize) -> (Listing, usize) {
    let (mut lists, mut came) = (ListParser::default(), None);
    for chunk in text.as_bytes().chunks(chunk) {
        lists.push(chunk);
        match lists.next().expect("no error") {
            Some(WatchItem::List(listing)) => assert!(came.replace(listing).is_none(), "once"),
            Some(WatchItem::KeepAlive) | None => {}
        }
    }
    (came.expect("a list"), lists.parsed_bytes)
}

// Guards against parsing a list from its beginning with each chunk, which takes time quadratic in its length.
#[test_case(EXECUTORS, 1_400; "in packets")]
#[test_case(EXECUTORS, 16_384; "in chunks")]
#[test_case(2 * EXECUTORS, 4_096; "twice as long")]
#[test_case(20, 100; "a short one in small chunks")]
fn each_byte_of_a_long_list_is_parsed_a_few_times_at_most(many: usize, chunk: usize) {
    let text = full_list(3, &entries(many));
    let (listing, parsed_bytes) = parse_in_chunks(&text, chunk);
    assert_eq!((listing.hosts.len(), listing.version), (many, 3));
    if many >= EXECUTORS {
        // The part that is parsed with each chunk, then parses of doubling length, and finally the whole text.
        let first = 16_384 * 16_384_usize.div_ceil(chunk);
        assert!(
            parsed_bytes <= first + 3 * text.len(),
            "{parsed_bytes} bytes were parsed for {}",
            text.len()
        );
    }
}

// Guards against noticing a truncated list only by the silence of the watch, seconds later.
#[test]
fn a_truncated_list_is_an_error_as_soon_as_another_begins() {
    let (text, mut lists) = (full_list(5, &entries(EXECUTORS)), ListParser::default());
    for chunk in text.as_bytes()[..500_000].chunks(16_384) {
        lists.push(chunk);
        assert!(matches!(lists.next(), Ok(None)));
    }
    lists.push(format!("\n{}\n", full_list(6, &entries(1))).as_bytes());
    let error = lists.next().expect_err("an error");
    assert!(error.starts_with("invalid list: ") && !error.contains('\n'), "{error}");
}

// Brackets inside strings don't count, and an escaped quote does not end a string.
#[test]
fn brackets_in_strings_do_not_end_a_list() {
    let odd = r#"{"id":"s-\"}]}\\","addr":"10.1.0.1:1","zone":"]}","state":"up"}"#.to_owned();
    let mut entries = entries(500);
    entries.insert(250, odd);
    let text = format!("\n{}\n{}\n", full_list(5, &entries), "");
    let (listing, _) = parse_in_chunks(&text, 999);
    assert_eq!(listing.hosts.len(), 501);
    assert_eq!((listing.hosts[250].id.as_str(), listing.hosts[250].zone.as_str()), ("s-\"}]}\\", "]}"));
}

#[test]
fn an_indented_list_of_twice_the_capacity_is_accepted() {
    let text = full_list(3, &entries(2 * EXECUTORS));
    let value: serde_json::Value = serde_json::from_str(&text).expect("a list");
    let text = serde_json::to_string_pretty(&value).expect("a text");
    assert!(text.len() < MAX_LIST_BYTES, "{} bytes, {MAX_LIST_BYTES} at most", text.len());
    assert_eq!(parse_in_chunks(&text, 16_384).0.hosts.len(), 2 * EXECUTORS);
}

/// A service that sends this text in chunks in response to the first request.
fn serve_once(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, mut head) = (listener.accept().expect("a call").0, [0; 4096]);
        let _ = stream.read(&mut head);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for chunk in text.as_bytes().chunks(16_384) {
            let written = stream
                .write_all(format!("{:x}\r\n", chunk.len()).as_bytes())
                .and_then(|()| stream.write_all(chunk))
                .and_then(|()| stream.write_all(b"\r\n"));
            if written.is_err() {
                return;
            }
        }
        let _ = stream.read(&mut head);
    });
    addr
}

// A list that exceeds the maximum size, or is truncated and followed by another: the watch ends, and nothing of it is
// used.
#[test_case(&" ".repeat(MAX_LIST_BYTES); "endless")]
#[test_case("{\"version\":5}"; "truncated")]
fn nothing_of_an_invalid_list_is_used(odd: &str) {
    let begun = full_list(4, &entries(EXECUTORS));
    let broken = full_list(5, &entries(EXECUTORS))[..500_000].to_owned() + odd + "\n";
    let addr = serve_once(format!("{begun}\n{broken}"));
    let told = block(async move {
        let (events, mut event_receiver) = unbounded_channel();
        Discovery::new(addr, events).follow(1, 0);
        let mut told = Vec::new();
        let lost = timeout(seconds(10.0), async {
            while let Some(DriverEvent::Watch(1, watched)) = event_receiver.recv().await {
                let lost = matches!(watched, WatchEvent::Lost(_));
                told.push(watched);
                if lost {
                    return;
                }
            }
        });
        assert!(lost.await.is_ok(), "the watch is still running");
        told
    });
    let versions: Vec<u64> = told
        .iter()
        .filter_map(
            |watched| if let WatchEvent::Listed(listing) = watched { Some(listing.version) } else { None },
        )
        .collect();
    assert_eq!(versions, [4]);
}

fn config_with_tenants(without: Option<usize>) -> String {
    let tenant = |at: usize| match without == Some(at) {
        true => format!(r#"{{"name":"t{at}"}}"#),
        false => format!(r#"{{"name":"t{at}","quotaRps":{at}.5}}"#),
    };
    let tenants: Vec<String> = (0..TENANTS).map(tenant).collect();
    CONFIG.replace("\"zone\": \"a\",", &format!("\"zone\": \"a\", \"orgs\": [{}],", tenants.join(",")))
}

#[test]
fn a_tenant_without_a_quota_is_reported_in_one_line() {
    let line = |without| {
        let config =
            Config::parse(&config_with_tenants(without), config::Environment::default()).expect("valid");
        config::check_quotas(&config.names.tenants, &config.settings.quotas)
    };
    let told = line(Some(77)).expect("valid").expect("a line");
    assert_eq!(
        told,
        "settings.orgs: 1 of 130 have no quota, the first: t77: all its invocations exceed its share"
    );
    assert_eq!(line(None), Ok(None));
    let none = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(config::check_quotas(&none, &[0.0, 0.0]), Ok(None), "no warning if no tenant has a quota");
    assert!(config::check_quotas(&none, &[1.0, -1.0])
        .is_err_and(|e| e == "settings.orgs: b: quotaRps: -1 is negative"));
    let twice = vec!["a".to_owned(), "a".to_owned()];
    assert!(
        config::check_quotas(&twice, &[1.0, 2.0]).is_err_and(|e| e == "settings.orgs: a is defined twice")
    );
}

// A file that lacks a quota of the file in force is rejected on SIGHUP, and nothing changes.
#[test]
fn a_reload_that_drops_a_quota_changes_nothing() {
    block(async {
        let (mut driver, _event_receiver, _) = driver(&[]);
        let again = |text: &str| Config::parse_reload(text, config::Environment::default()).map(Box::new);
        driver.handle_event(DriverEvent::Reload(again(&config_with_tenants(None)), None));
        let before = driver.settings().quotas.clone();
        assert_eq!((before.len(), before[77]), (TENANTS, 77.5));
        driver.handle_event(DriverEvent::Reload(again(&config_with_tenants(Some(77))), None));
        assert_eq!(driver.settings().quotas, before);
        let (reply, mut told) = tokio::sync::oneshot::channel();
        driver.handle_event(DriverEvent::FiguresRequested(reply));
        let figures = told.try_recv().expect("figures");
        assert_eq!((figures.engine.applied, figures.engine.rejected), (1, 1));
    });
}
