//! Reads HTTP/1.1 messages in tests.
use std::io::BufRead;

/// Reads a request or a response: the lines of its head, and its body.
pub fn read_message(stream: &mut impl BufRead) -> Option<(Vec<String>, Vec<u8>)> {
    let (mut head, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        head.push(line);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}
