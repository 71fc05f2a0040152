//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        self.get(name).and_then(|text| text.trim().parse().ok())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request: path and query.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let text = self.first_line.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or(0)
    }
}

/// A connection with a buffer of what has been read and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Connection::new)
    }

    /// Reads more bytes. Returns false at the end of the connection, after an error, or when
    /// the deadline has passed.
    pub fn fill(&mut self, deadline: Option<Instant>) -> bool {
        let timeout = match deadline {
            None => None,
            Some(deadline) => {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return false;
                }
                Some(left)
            }
        };
        let _ = self.stream.set_read_timeout(timeout);
        let mut bytes = [0; 65_536];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }

    pub fn read_head(&mut self, deadline: Option<Instant>) -> Option<Head> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if !self.fill(deadline) {
                return None;
            }
        };
        let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
            .collect();
        Some(Head {
            first_line,
            headers,
        })
    }

    pub fn read_exact(&mut self, length: usize, deadline: Option<Instant>) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill(deadline) {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self, deadline: Option<Instant>) -> Option<String> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                break at;
            }
            if !self.fill(deadline) {
                return None;
            }
        };
        let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
        Some(String::from_utf8_lossy(&bytes[..end]).into_owned())
    }

    /// Reads the body of a request.
    pub fn read_request_body(&mut self, head: &Head) -> Option<Vec<u8>> {
        let length = head.number("content-length").unwrap_or(0.0) as usize;
        self.read_exact(length, None)
    }

    /// Reads the body of an answer in parts, and hands each on. Returns true if the body was
    /// complete, and false if it was cut off, or if `use_part` has returned false.
    pub fn read_body(
        &mut self,
        head: &Head,
        deadline: Instant,
        mut use_part: impl FnMut(&[u8]) -> bool,
    ) -> bool {
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
        let deadline = Some(deadline);
        if is_chunked {
            loop {
                let Some(line) = self.read_line(deadline) else {
                    return false;
                };
                let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                    return false;
                };
                if length == 0 {
                    return self.read_line(deadline).is_some();
                }
                let Some(part) = self.read_exact(length, deadline) else {
                    return false;
                };
                if self.read_line(deadline).is_none() || !use_part(&part) {
                    return false;
                }
            }
        }
        match head.number("content-length") {
            Some(length) => match self.read_exact(length as usize, deadline) {
                Some(part) => use_part(&part) || part.is_empty(),
                None => false,
            },
            None => {
                while self.fill(deadline) {
                    let part = std::mem::take(&mut self.buffer);
                    if !use_part(&part) {
                        return false;
                    }
                }
                true
            }
        }
    }

    /// Returns true if nothing has been read that was not used.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Returns true if the other end has closed the connection, or has reset it.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
