//! Tests of odd input at the size that is designed for (`docs/CAPACITY.md`): one clear line, and what was before goes on.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use actix_rt::time::timeout;
use coveroute_engine::{Listing, Watched};
use test_case::test_case;
use tokio::sync::mpsc::unbounded_channel;

use crate::clock::seconds;
use crate::config::{self, Config};
use crate::discovery::{Discovery, ListParser, WatchItem, LIST_MOST};
use crate::happening::Happening;
use crate::hosts::Hosts;
use crate::tests::{block, driver, CONFIG};

const WORKERS: usize = 7_800;
const TEAMS: usize = 130;

fn entry(at: usize) -> String {
    let (high, low) = (at >> 8, at & 255);
    format!(
        r#"{{"id":"s-{at:08x}","addr":"10.1.{high}.{low}:9000","zone":"zone-{}","kind":"m2","cell":3,"state":"up","weight":1.0,"started_ms":1700000000000}}"#,
        at % 5
    )
}

fn whole(version: u64, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
}

fn entries(many: usize) -> Vec<String> {
    (0..many).map(entry).collect()
}

// Guards against a line for each entry: where all are unfit these would be thousands.
#[test_case(&["{\"id\":7}"], 1; "one is no executor")]
#[test_case(&["7", "{\"id\":\"s\",\n\"state\":\"up\",\"addr\":9}", "\"\""], 3; "three, one over two lines")]
fn entries_that_are_unfit_are_told_in_one_line(unfit: &[&str], many: usize) {
    let mut entries = entries(WORKERS);
    unfit.iter().enumerate().for_each(|(at, unfit)| entries[1_000 + at] = (*unfit).to_owned());
    let hosts: Hosts = serde_json::from_str(&whole(9, &entries)).expect("a list");
    let (listing, line) = hosts.into_listing();
    let line = line.expect("a line");
    assert!(
        line.starts_with(&format!("list 9: skipped {many} invalid of {WORKERS} entries, the first: ")),
        "{line}"
    );
    assert!(!line.contains('\n') && line.len() < 500, "{line}");
    assert_eq!((listing.hosts.len(), listing.version, listing.full), (WORKERS - many, 9, true));
    let hosts: Hosts = serde_json::from_str(&whole(9, &self::entries(3))).expect("a list");
    assert_eq!(hosts.into_listing().1, None, "nothing is said of what is well");
}

/// The list that comes out of a text in pieces, and how many bytes were read for it.
fn in_pieces(text: &str, piece: usize) -> (Listing, usize) {
    let (mut lists, mut came) = (ListParser::default(), None);
    for piece in text.as_bytes().chunks(piece) {
        lists.push(piece);
        match lists.next().expect("no fault") {
            Some(WatchItem::List(listing)) => assert!(came.replace(listing).is_none(), "once"),
            Some(WatchItem::KeepAlive) | None => {}
        }
    }
    (came.expect("a list"), lists.parsed_bytes)
}

// Guards against a list that is read from its beginning with each piece: what it takes grows with its length squared.
#[test_case(WORKERS, 1_400; "in packets")]
#[test_case(WORKERS, 16_384; "in pieces")]
#[test_case(2 * WORKERS, 4_096; "twice as long")]
#[test_case(20, 100; "a short one in small pieces")]
fn a_long_list_is_read_a_few_times_at_most(many: usize, piece: usize) {
    let text = whole(3, &entries(many));
    let (listing, parsed_bytes) = in_pieces(&text, piece);
    assert_eq!((listing.hosts.len(), listing.version), (many, 3));
    if many >= WORKERS {
        // What may be read anew with each piece, then each time twice as much; at last the whole.
        let first = 16_384 * 16_384_usize.div_ceil(piece);
        assert!(parsed_bytes <= first + 3 * text.len(), "{parsed_bytes} bytes were read of {}", text.len());
    }
}

// Guards against one that is noticed by its silence alone, seconds later.
#[test]
fn a_list_that_was_broken_off_is_none_as_soon_as_another_begins() {
    let (text, mut lists) = (whole(5, &entries(WORKERS)), ListParser::default());
    for piece in text.as_bytes()[..500_000].chunks(16_384) {
        lists.push(piece);
        assert!(matches!(lists.next(), Ok(None)));
    }
    lists.push(format!("\n{}\n", whole(6, &entries(1))).as_bytes());
    let told = lists.next().expect_err("a fault");
    assert!(told.starts_with("invalid list: ") && !told.contains('\n'), "{told}");
}

// Brackets in texts are none; nor is a quoted quote an end.
#[test]
fn brackets_in_a_text_end_no_list() {
    let odd = r#"{"id":"s-\"}]}\\","addr":"10.1.0.1:1","zone":"]}","state":"up"}"#.to_owned();
    let mut entries = entries(500);
    entries.insert(250, odd);
    let text = format!("\n{}\n{}\n", whole(5, &entries), "");
    let (listing, _) = in_pieces(&text, 999);
    assert_eq!(listing.hosts.len(), 501);
    assert_eq!((listing.hosts[250].id.as_str(), listing.hosts[250].zone.as_str()), ("s-\"}]}\\", "]}"));
}

#[test]
fn a_list_of_twice_as_many_is_taken_also_where_it_is_indented() {
    let text = whole(3, &entries(2 * WORKERS));
    let value: serde_json::Value = serde_json::from_str(&text).expect("a list");
    let text = serde_json::to_string_pretty(&value).expect("a text");
    assert!(text.len() < LIST_MOST, "{} bytes, {LIST_MOST} at most", text.len());
    assert_eq!(in_pieces(&text, 16_384).0.hosts.len(), 2 * WORKERS);
}

/// Writes this, in pieces, to the first who asks for the list.
fn tells(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, mut head) = (listener.accept().expect("a call").0, [0; 4096]);
        let _ = stream.read(&mut head);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for piece in text.as_bytes().chunks(16_384) {
            let written = stream
                .write_all(format!("{:x}\r\n", piece.len()).as_bytes())
                .and_then(|()| stream.write_all(piece))
                .and_then(|()| stream.write_all(b"\r\n"));
            if written.is_err() {
                return;
            }
        }
        let _ = stream.read(&mut head);
    });
    addr
}

// A list beyond all measure, or broken off and gone on with another: the watch ends, nothing of it is taken.
#[test_case(&" ".repeat(LIST_MOST); "without end")]
#[test_case("{\"version\":5}"; "broken off")]
fn of_a_list_that_is_no_list_nothing_is_taken(odd: &str) {
    let begun = whole(4, &entries(WORKERS));
    let broken = whole(5, &entries(WORKERS))[..500_000].to_owned() + odd + "\n";
    let addr = tells(format!("{begun}\n{broken}"));
    let told = block(async move {
        let (happenings, mut happens) = unbounded_channel();
        Discovery::new(addr, happenings).follow(1, 0);
        let mut told = Vec::new();
        let lost = timeout(seconds(10.0), async {
            while let Some(Happening::Watch(1, watched)) = happens.recv().await {
                let lost = matches!(watched, Watched::Lost(_));
                told.push(watched);
                if lost {
                    return;
                }
            }
        });
        assert!(lost.await.is_ok(), "it is followed still");
        told
    });
    let versions: Vec<u64> = told
        .iter()
        .filter_map(
            |watched| if let Watched::Listed(listing) = watched { Some(listing.version) } else { None },
        )
        .collect();
    assert_eq!(versions, [4]);
}

fn teams(without: Option<usize>) -> String {
    let team = |at: usize| match without == Some(at) {
        true => format!(r#"{{"name":"t{at}"}}"#),
        false => format!(r#"{{"name":"t{at}","quotaRps":{at}.5}}"#),
    };
    let teams: Vec<String> = (0..TEAMS).map(team).collect();
    CONFIG.replace("\"zone\": \"a\",", &format!("\"zone\": \"a\", \"orgs\": [{}],", teams.join(",")))
}

#[test]
fn a_team_without_a_share_is_told_in_a_line() {
    let line = |without| {
        let config = Config::parse(&teams(without), config::Environment::default()).expect("fit");
        config::check_quotas(&config.names.tenants, &config.settings.quotas)
    };
    let told = line(Some(77)).expect("fit").expect("a line");
    assert_eq!(
        told,
        "settings.orgs: 1 of 130 have no quota, the first: t77: all its invocations exceed its share"
    );
    assert_eq!(line(None), Ok(None));
    let none = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(config::check_quotas(&none, &[0.0, 0.0]), Ok(None), "where nobody has one none is missed");
    assert!(config::check_quotas(&none, &[1.0, -1.0])
        .is_err_and(|e| e == "settings.orgs: b: quotaRps: -1 is negative"));
    let twice = vec!["a".to_owned(), "a".to_owned()];
    assert!(
        config::check_quotas(&twice, &[1.0, 2.0]).is_err_and(|e| e == "settings.orgs: a is defined twice")
    );
}

// At SIGHUP a share that the file in force has is missed: all stays as it was.
#[test]
fn a_team_that_loses_its_share_changes_nothing() {
    block(async {
        let (mut driver, _happens, _) = driver(&[]);
        let again = |text: &str| Config::parse_reload(text, config::Environment::default()).map(Box::new);
        driver.happened(Happening::Reload(again(&teams(None)), None));
        let before = driver.settings().quotas.clone();
        assert_eq!((before.len(), before[77]), (TEAMS, 77.5));
        driver.happened(Happening::Reload(again(&teams(Some(77))), None));
        assert_eq!(driver.settings().quotas, before);
        let (tell, mut told) = tokio::sync::oneshot::channel();
        driver.happened(Happening::Asked(tell));
        let figures = told.try_recv().expect("figures");
        assert_eq!((figures.engine.applied, figures.engine.rejected), (1, 1));
    });
}
