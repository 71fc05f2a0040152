//! Timeouts of a caller's connection while no request is in progress on it.
//!
//! `hyper` has a single timeout for the head of a request, which also runs while a
//! keep-alive connection is idle. Here the idle timeout is usually several times the head
//! timeout, so `hyper` would close idle connections that their callers may still use.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use toucancleat_fleet::configuration::CallerLimits;

use crate::clock;

/// The activity on one connection, as far as its timeouts depend on it.
#[derive(Debug)]
pub struct Activity {
    requests: Cell<u32>,
    idle_since_ms: Cell<u64>,
    head_began_ms: Cell<Option<u64>>,
}

impl Default for Activity {
    fn default() -> Self {
        Activity {
            requests: Cell::new(0),
            idle_since_ms: Cell::new(clock::now_ms()),
            head_began_ms: Cell::new(None),
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
}

impl Activity {
    /// Records that a request has begun.
    pub fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.requests.set(self.requests.get() + 1);
        self.head_began_ms.set(None);
        ActiveRequest(self.clone())
    }

    /// Compares the activity with the timeouts in `limits`.
    pub fn timeout_status(&self, now_ms: u64, limits: &CallerLimits) -> TimeoutStatus {
        if self.requests.get() > 0 {
            return TimeoutStatus::CheckAt(now_ms + limits.idle_timeout_ms);
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
