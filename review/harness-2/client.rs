//! A client: it sends requests and takes up streams again, as the platform's page says.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::deployment::HOSTNAME;
use crate::http::{Head, Reader};

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other attempt of the run has.
pub fn attempt_id() -> String {
    let number = NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", std::process::id())
}

/// A client attempt.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
    /// Further lines of the head, each with its end.
    pub more: String,
}

impl Attempt {
    pub fn new(
        method: &'static str,
        path: &str,
        key: &str,
        deadline: Duration,
    ) -> Attempt {
        Attempt {
            id: attempt_id(),
            method,
            path: path.to_owned(),
            key: key.to_owned(),
            deadline,
            more: String::new(),
        }
    }

    pub fn send(&self, stream: &mut TcpStream) -> io::Result<()> {
        let length = if self.method == "POST" {
            "Content-Length: 2\r\n"
        } else {
            ""
        };
        let body = if self.method == "POST" { "{}" } else { "" };
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Bearer {}\r\n{}{length}\r\n{body}",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.key,
            self.more
        );
        stream.write_all(text.as_bytes())
    }
}

/// Sends an attempt on a connection, reads its whole answer, and returns the head of that.
pub fn exchange(reader: &mut Reader, attempt: &Attempt) -> io::Result<Head> {
    reader
        .stream
        .set_read_timeout(Some(attempt.deadline + Duration::from_millis(500)))?;
    attempt.send(&mut reader.stream)?;
    let head = reader.head()?;
    reader.body(&head)?;
    Ok(head)
}

/// How the answer to an attempt at a stream has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEnd {
    /// All chunks have come, with the last of them.
    Complete,
    /// The connection ended before that.
    Broken,
    /// No event came for too long.
    Silent,
    /// The attempt was refused.
    Refused {
        status: u16,
        retry_after: Option<Duration>,
    },
}

/// Events as pairs of id and data.
pub type Events = Vec<(u64, String)>;

/// Reads the answer to an attempt at a stream. Adds the events to `events`.
pub fn read_stream(
    reader: &mut Reader,
    gap: Duration,
    end: Instant,
    events: &mut Events,
) -> StreamEnd {
    let classify = |error: io::Error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => StreamEnd::Silent,
        _ => StreamEnd::Broken,
    };
    let limit = |reader: &Reader| {
        let left = end.saturating_duration_since(Instant::now()).min(gap);
        let _ = reader
            .stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))));
    };
    limit(reader);
    let head = match reader.head() {
        Ok(head) => head,
        Err(error) => return classify(error),
    };
    if head.status() != 200 {
        let retry_after = head.text("retry-after").and_then(|text| text.parse().ok());
        let _ = reader.body(&head);
        return StreamEnd::Refused {
            status: head.status(),
            retry_after: retry_after.map(Duration::from_secs_f64),
        };
    }
    let mut text = String::new();
    loop {
        limit(reader);
        match reader.chunk() {
            Ok(chunk) if chunk.is_empty() => return StreamEnd::Complete,
            Ok(chunk) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Err(error) => return classify(error),
        }
        while let Some(position) = text.find("\n\n") {
            let event: String = text.drain(..position + 2).collect();
            let field =
                |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
            events.push((id, field("data: ").unwrap_or_default().to_owned()));
        }
    }
}
