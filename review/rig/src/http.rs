//! HTTP/1.1 as far as the protocol page uses it.
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name)).map(|header| header.1.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one request or answer; an error of kind `UnexpectedEof` if the peer has closed before its first byte.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message::default();
    if stream.read_line(&mut message.line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    message.line = message.line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::Error::other("the head broke off"));
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut size = String::new();
            stream.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().map_err(io::Error::other)?];
        stream.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(message)
}

/// An answer in one piece.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// One call on a connection of its own.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, most: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, most)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(most))?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n");
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
    read(&mut BufReader::new(stream))
}
