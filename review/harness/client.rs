//! A stand-in for a client: one attempt of a request, on a new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};

/// Time that clients allow for a new connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The key of the only tenant.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Value of the `Host` header.
pub const HOSTNAME: &str = "ficu95.example";

/// Returns a new id of an attempt.
pub fn new_attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", std::process::id(), number)
}

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Request {
    pub key: &'static str,
    pub method: &'static str,
    pub path: String,
    pub attempt_id: String,
    /// Further headers, each with its line end.
    pub headers: String,
    pub body: String,
    /// How long the client waits.
    pub time_limit: Duration,
}

impl Request {
    fn encode(&self) -> String {
        let length = match self.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", self.body.len()),
        };
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Attempt-Id: {}\r\n\
             X-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n{}{length}\r\n{}",
            self.method,
            self.path,
            self.attempt_id,
            self.time_limit.as_millis(),
            self.key,
            self.headers,
            self.body,
        )
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Zero if no head of an answer was received.
    pub status: u16,
    /// Whether the answer was complete.
    pub is_complete: bool,
    pub retry_after: Option<Duration>,
    pub body: Vec<u8>,
    /// Time from sending to the last byte of the answer.
    pub took: Duration,
    /// Whether the connection was closed before a byte of an answer.
    pub is_closed: bool,
    /// Whether the answer says that the connection is closed after it.
    pub must_close: bool,
}

/// Sends a request and reads its answer, which is handed on in parts.
///
/// The client gives up, by closing its connection, when its time is over or when `use_part`
/// returns false.
pub fn send(
    address: SocketAddr,
    request: &Request,
    mut on_head: impl FnMut(&Head),
    mut use_part: impl FnMut(&[u8]) -> bool,
) -> Outcome {
    let began = Instant::now();
    let deadline = began + request.time_limit;
    let mut outcome = Outcome::default();
    let Ok(mut connection) = Connection::open(address, CONNECT_TIMEOUT) else {
        outcome.took = began.elapsed();
        return outcome;
    };
    connection.send(request.encode().as_bytes());
    if let Some(head) = connection.read_head(Some(deadline)) {
        outcome.status = head.status();
        outcome.retry_after = head.number("retry-after").map(Duration::from_secs_f64);
        on_head(&head);
        outcome.is_complete = connection.read_body(&head, deadline, &mut use_part);
    }
    outcome.took = began.elapsed();
    outcome
}

/// Sends a request like [`send`], and gives up after a time in which nothing of the answer came.
pub fn send_for(
    address: SocketAddr,
    request: &Request,
    gap: Duration,
    mut use_part: impl FnMut(&[u8]) -> bool,
) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome::default();
    let Ok(mut connection) = Connection::open(address, CONNECT_TIMEOUT) else {
        return outcome;
    };
    connection.send(request.encode().as_bytes());
    if let Some(head) = connection.read_head(Some(Instant::now() + gap)) {
        outcome.status = head.status();
        outcome.is_complete = connection.read_body(&head, began + request.time_limit, &mut use_part);
    }
    outcome.took = began.elapsed();
    outcome
}

/// Sends a request and reads its whole answer.
pub fn fetch(address: SocketAddr, request: &Request) -> Outcome {
    let mut body = Vec::new();
    let mut outcome = send(address, request, |_| {}, |part| {
        body.extend_from_slice(part);
        true
    });
    outcome.body = body;
    outcome
}

/// A connection on which a client sends one request after the other.
pub struct KeptConnection(Connection);

/// Opens a connection, or returns `None` if that fails.
pub fn open(address: SocketAddr) -> Option<KeptConnection> {
    Connection::open(address, CONNECT_TIMEOUT).ok().map(KeptConnection)
}

impl KeptConnection {
    /// Sends a request and reads its whole answer.
    pub fn fetch(&mut self, request: &Request) -> Outcome {
        let began = Instant::now();
        let deadline = began + request.time_limit;
        let mut outcome = Outcome::default();
        self.0.send(request.encode().as_bytes());
        match self.0.read_head(Some(deadline)) {
            Some(head) => {
                outcome.status = head.status();
                let option = head.get("connection").unwrap_or_default();
                outcome.must_close = option.eq_ignore_ascii_case("close");
                outcome.is_complete = self.0.read_body(&head, deadline, |part| {
                    outcome.body.extend_from_slice(part);
                    true
                });
            }
            None => outcome.is_closed = self.0.is_empty() && Instant::now() < deadline,
        }
        outcome.took = began.elapsed();
        outcome
    }
}

/// Splits the events of a stream.
#[derive(Default)]
pub struct Events {
    pending: String,
}

impl Events {
    /// Adds bytes, and returns the ids of the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u64> {
        self.pending.push_str(&String::from_utf8_lossy(bytes));
        let mut ids = Vec::new();
        let Some(end) = self.pending.rfind("\n\n") else {
            return ids;
        };
        let rest = self.pending.split_off(end + 2);
        for event in std::mem::replace(&mut self.pending, rest).split("\n\n") {
            let id = event.lines().find_map(|line| line.strip_prefix("id:"));
            ids.extend(id.and_then(|id| id.trim().parse::<u64>().ok()));
        }
        ids
    }
}
