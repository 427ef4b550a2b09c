//! HTTP/1.1 messages on a stream, as far as the protocol page needs them.
use std::io::{self, Read};
use std::net::TcpStream;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line's parts: method and target, or version and status.
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.target.parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn call(&self) -> String {
        self.header("x-call-id").unwrap_or_default().to_owned()
    }
}

/// Reads messages one after the other.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more; false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// The next message, or none at the end of the stream.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut parts = first.split(' ');
        let (method, target) =
            (parts.next().unwrap_or_default().to_owned(), parts.next().unwrap_or_default().to_owned());
        let mut message = Message { method, target, ..Message::default() };
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let chunked =
            message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if chunked {
            loop {
                let size = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
                let chunk = self.take(size)?;
                message.body.extend_from_slice(&chunk);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length").and_then(|value| value.parse().ok()) {
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }
}
