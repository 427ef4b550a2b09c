use super::*;

const INFO: &str = r#"{"categories":[{"name":"look","effect":"free","onTime":400.0,"deadline":9000.0,
"credit":1.0}],"limits":{"maxAttempts":3,"probing":false},"me":0,"replicasOfMe":1,"registryMode":"pushed",
"report":{"source":"none"},"rules":{"startCapacity":0.3,"warmUp":9000.0,"overloadFactor":4.0,"fall":2000.0},
"zone":"a","zones":["a"],"keyOfALaterDay":[1]}"#;

/// Runs the adapter on these lines, with `INFO` replaced by the settings, and returns its output.
fn run_lines(lines: &[&str]) -> Result<String, Error> {
    let info = INFO.replace('\n', "");
    let text: String = lines.iter().map(|line| line.replace("INFO", &info) + "\n").collect();
    let mut reply = Vec::new();
    run(&mut text.as_bytes(), &mut reply).map(|()| String::from_utf8(reply).expect("UTF-8"))
}

const START: [&str; 4] = [
    r#"{"what":"BEGIN_BATCH","time":1000}"#,
    r#"{"what":"INIT","nodeId":3,"rngSeed":7,"info":INFO}"#,
    r#"{"what":"CATALOG","page":0,"records":[{"executor":"10.0.0.1:7001","area":"a","availability":"U"}]}"#,
    r#"{"what":"MEMBERS","nodeId":3,"scope":"warm_copy","gen":1,"page":0}"#,
];
const SUBMIT: &str = r#"{"what":"SUBMIT","nodeId":3,"job":9,"lane":"look","ttl":900,"org":0}"#;
const END: &str = r#"{"what":"OVER_TO_YOU"}"#;

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(run_lines(&[START[0], "", END]).as_deref(), Ok("{\"what\":\"OK\"}\n"));
}

#[test]
fn a_submission_is_forwarded_with_ids_unmodified() {
    let reply = run_lines(&[&START[..], &[SUBMIT, END]].concat()).expect("a reply");
    assert!(reply.contains(r#"{"what":"TRY","nodeId":3,"job":9,"executor":"10.0.0.1:7001"}"#), "{reply}");
}

#[test]
fn a_reused_page_is_read_in_the_order_of_events() {
    let again = START[2].replace("10.0.0.1", "10.9.9.9");
    let reply = run_lines(&[&START[..], &[&again, SUBMIT, END]].concat()).expect("a reply");
    assert!(reply.contains("10.0.0.1:7001") && !reply.contains("10.9.9.9"), "{reply}");
}

#[test]
fn a_restarted_instance_keeps_no_jobs() {
    let kill = r#"{"what":"KILL","nodeId":3}"#;
    let settled = r#"{"what":"SETTLED","nodeId":3,"job":9,"copy":0,"verdict":"Failed","timeTaken":1}"#;
    let batch = [&START[..], &[SUBMIT, kill], &START[1..], &[settled, END]].concat();
    let reply = run_lines(&batch).expect("a reply");
    assert_eq!(reply.matches("\"TRY\"").count(), 1, "{reply}");
}

#[test]
fn malformed_lines_end_with_an_error_that_quotes_them() {
    for bad in [r#"{"what":"SUBMIT","nodeId":3}"#, "{", r#"{"what":"NEWS"}"#, r#"{"what":"TIMER"}"#] {
        let error = run_lines(&[&START[..], &[bad, END]].concat()).expect_err("an error");
        assert!(error.starts_with("bad line: ") && error.ends_with(bad), "{error}");
    }
}
