//! Reading of HTTP/1.1 heads and bodies, for stand-ins of servers, clients and the store.

use std::io::{self, Read};
use std::net::TcpStream;

#[derive(Clone, Debug)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map(|(_, value)| value.as_slice())
    }

    pub fn text(&self, name: &str) -> Option<String> {
        self.header(name)
            .map(|value| String::from_utf8_lossy(value).into_owned())
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection whose bytes are read through a buffer.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16_384];
        let length = self.stream.read(&mut bytes)?;
        if length == 0 {
            return Err(ended());
        }
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.buffer[..end].to_vec();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                let first_line = String::from_utf8_lossy(&first).into_owned();
                return Ok(Head {
                    first_line,
                    headers,
                });
            }
            if let Some(colon) = line.iter().position(|byte| *byte == b':') {
                let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
                headers.push((name, line[colon + 1..].trim_ascii().to_vec()));
            }
        }
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Returns the next chunk of a chunked body; an empty one ends it.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let text = String::from_utf8_lossy(&line).into_owned();
        let length = usize::from_str_radix(text.trim(), 16).map_err(|_| ended())?;
        let bytes = self.exact(length)?;
        self.exact(2)?;
        Ok(bytes)
    }

    /// Reads a body with a length or chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head
            .text("transfer-encoding")
            .is_some_and(|text| text.contains("chunked"))
        {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = head.text("content-length");
        self.exact(length.and_then(|text| text.parse().ok()).unwrap_or(0))
    }
}
