use test_case::test_case;

use super::{portion_len, MAX_LINES, MIN_PORTION};

// Each case has a part that is repeated, how often, and how much of it the parser gets before it runs. Guards against memory
// that grows with the number of requests or chunks that have been received, and against turns that grow with the bytes.
#[test_case("GET / HTTP/1.1\r\n\r\n", 1, 18, true; "a request without a body")]
#[test_case("GET / HTTP/1.1\r\n\r\n", 900, MIN_PORTION, true; "small requests at once")]
#[test_case("GET / HTTP/1.1\n\n", 900, MIN_PORTION, true; "small requests with bare line feeds")]
#[test_case("\r\n", 9000, MIN_PORTION, true; "empty lines")]
#[test_case("1\r\nx\r\n", 2000, 3 * MAX_LINES, true; "chunks of one byte")]
#[test_case("a:\r\n", 2000, 4 * MAX_LINES, true; "short headers")]
#[test_case("x", 16384, 16384, false; "a long line")]
#[test_case("x-a: some value of a header, as long as most are\r\n", 90, 4500, false; "a part of a head")]
fn portions_complete_few_requests(part: &str, count: usize, length: usize, is_cut: bool) {
    assert_eq!(portion_len(part.repeat(count).as_bytes()), (length, is_cut));
}

#[test]
fn a_portion_ends_with_the_first_head_in_it() {
    let head = format!("POST /look HTTP/1.1\r\nx-a: {}\r\n\r\n", "x".repeat(600));
    let bytes = format!("{head}{head}");
    assert_eq!(portion_len(bytes.as_bytes()), (head.len(), true));
}
