//! Timeouts of a caller's connection while no request is in progress on it, and whether a stopping
//! process has to wait for it.
//!
//! `hyper` has a single timeout for the head of a request, which also runs while a
//! keep-alive connection is idle. Here the idle timeout is usually several times the head
//! timeout, so `hyper` would close idle connections that their callers may still use.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use indexmap::IndexMap;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use toucancleat_fleet::configuration::CallerLimits;

use crate::clock;

/// Maximum time for which a caller's socket takes nothing of an answer. The socket holds some
/// megabytes, which a slow caller needs a while to read. A caller that reads nothing at all is given
/// up much sooner, when its connection times out.
const SEND_TIMEOUT_MS: u64 = 60_000;

/// The activity on one connection, as far as its timeouts depend on it.
#[derive(Debug)]
pub struct Activity {
    requests: Cell<u32>,
    idle_since_ms: Cell<u64>,
    head_began_ms: Cell<Option<u64>>,
    /// When bytes of an answer were last accepted for sending, while some are not yet.
    unsent_since_ms: Cell<Option<u64>>,
}

impl Default for Activity {
    fn default() -> Self {
        Activity {
            requests: Cell::new(0),
            idle_since_ms: Cell::new(clock::now_ms()),
            head_began_ms: Cell::new(None),
            unsent_since_ms: Cell::new(None),
        }
    }
}

/// A request in progress on a connection, until this is dropped.
#[derive(Debug)]
pub struct ActiveRequest(Rc<Activity>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.idle_since_ms.set(clock::now_ms());
    }
}

/// The state of a connection with respect to its timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutStatus {
    /// No timeout has passed; check again at this time.
    CheckAt(u64),
    /// The connection was idle for longer than the idle timeout.
    IdleTimeout,
    /// The head of a request did not arrive within the head timeout.
    HeadTimeout,
    /// The caller's socket has taken nothing of an answer for longer than the send timeout.
    SendTimeout,
}

impl Activity {
    /// Records that a request has begun.
    pub fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.requests.set(self.requests.get() + 1);
        self.head_began_ms.set(None);
        ActiveRequest(self.clone())
    }

    /// Returns true if a request is being received or answered, so that closing the connection
    /// would cut it off.
    pub fn is_busy(&self) -> bool {
        self.requests.get() > 0
            || self.head_began_ms.get().is_some()
            || self.unsent_since_ms.get().is_some()
    }

    /// Compares the activity with the timeouts in `limits`.
    pub fn timeout_status(&self, now_ms: u64, limits: &CallerLimits) -> TimeoutStatus {
        if self.requests.get() > 0 {
            return TimeoutStatus::CheckAt(now_ms + limits.idle_timeout_ms);
        }
        if let Some(since_ms) = self.unsent_since_ms.get() {
            // An answer that its caller reads slowly isn't idle, and the next head isn't late.
            let end_ms = since_ms + SEND_TIMEOUT_MS;
            return if now_ms >= end_ms {
                TimeoutStatus::SendTimeout
            } else {
                TimeoutStatus::CheckAt(end_ms.min(now_ms + limits.head_timeout_ms))
            };
        }
        if let Some(began_ms) = self.head_began_ms.get() {
            let end_ms = began_ms + limits.head_timeout_ms;
            return if now_ms >= end_ms {
                TimeoutStatus::HeadTimeout
            } else {
                TimeoutStatus::CheckAt(end_ms)
            };
        }
        let end_ms = self.idle_since_ms.get() + limits.idle_timeout_ms;
        if now_ms >= end_ms {
            TimeoutStatus::IdleTimeout
        } else {
            TimeoutStatus::CheckAt(end_ms.min(now_ms + limits.head_timeout_ms))
        }
    }

    fn record_read(&self) {
        if self.requests.get() == 0 && self.head_began_ms.get().is_none() {
            self.head_began_ms.set(Some(clock::now_ms()));
        }
    }

    /// Records that bytes are to be sent, and whether the caller's socket took some.
    fn record_write(&self, has_progress: bool) {
        if has_progress || self.unsent_since_ms.get().is_none() {
            self.unsent_since_ms.set(Some(clock::now_ms()));
        }
    }

    /// Records that all bytes have been sent.
    fn record_flush(&self) {
        if self.unsent_since_ms.take().is_some() {
            let now_ms = clock::now_ms();
            self.idle_since_ms.set(now_ms);
            self.head_began_ms
                .set(self.head_began_ms.get().map(|_| now_ms));
        }
    }
}

/// The connections that are open.
#[derive(Debug, Default)]
pub struct OpenConnections {
    activities: RefCell<IndexMap<u64, Rc<Activity>>>,
    next_number: Cell<u64>,
}

/// A connection that is open until this is dropped.
#[derive(Debug)]
pub struct OpenConnection<'a> {
    connections: &'a OpenConnections,
    number: u64,
    /// The activity on the connection.
    pub activity: Rc<Activity>,
}

impl OpenConnections {
    /// Adds a connection.
    pub fn open(&self) -> OpenConnection<'_> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let activity = Rc::new(Activity::default());
        self.activities
            .borrow_mut()
            .insert(number, activity.clone());
        OpenConnection {
            connections: self,
            number,
            activity,
        }
    }

    /// Returns the number of connections on which a request is being received or answered.
    pub fn busy_count(&self) -> usize {
        let activities = self.activities.borrow();
        let busy = activities.values().filter(|activity| activity.is_busy());
        busy.count()
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        let mut activities = self.connections.activities.borrow_mut();
        activities.swap_remove(&self.number);
    }
}

/// A TCP stream that records the arrival of bytes in an [`Activity`].
#[derive(Debug)]
pub struct MonitoredStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl MonitoredStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> Self {
        MonitoredStream { stream, activity }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.record_read();
        }
        poll
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.record_write(poll.is_ready());
        poll
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(context);
        if poll.is_ready() {
            self.activity.record_flush();
        }
        poll
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.activity.record_write(poll.is_ready());
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
