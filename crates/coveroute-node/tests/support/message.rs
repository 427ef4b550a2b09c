//! What tests read from a connection.
use std::io::BufRead;

/// A request's or an answer's head, line by line, and body.
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
        if let Some(told) = line.to_lowercase().strip_prefix("content-length:") {
            length = told.trim().parse().ok()?;
        }
        head.push(line);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}
