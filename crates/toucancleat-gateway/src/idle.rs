//! Time limits of a caller's connection while no request is under way on it.
//!
//! `hyper` has one limit for a head, which also runs while a kept connection is idle; the
//! two limits differ by a factor here, so a connection that has been idle for long enough
//! to pass the shorter one would be closed under its caller.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use toucancleat_fleet::configuration::CallerLimits;

use crate::clock;

/// What happens on one connection.
#[derive(Debug)]
pub struct Activity {
    requests: Cell<u32>,
    idle_since_ms: Cell<u64>,
    head_since_ms: Cell<Option<u64>>,
}

impl Default for Activity {
    fn default() -> Self {
        Activity {
            requests: Cell::new(0),
            idle_since_ms: Cell::new(clock::now_ms()),
            head_since_ms: Cell::new(None),
        }
    }
}

/// A request under way on a connection, until this is dropped.
#[derive(Debug)]
pub struct UnderWay(Rc<Activity>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.idle_since_ms.set(clock::now_ms());
    }
}

/// What the limits say of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// It may go on, and is looked at again at this time.
    Until(u64),
    /// It was idle for too long.
    TooIdle,
    /// The head of a request takes too long.
    HeadTooSlow,
}

impl Activity {
    /// Notes that a request has begun.
    pub fn begin(self: &Rc<Self>) -> UnderWay {
        self.requests.set(self.requests.get() + 1);
        self.head_since_ms.set(None);
        UnderWay(self.clone())
    }

    /// Compares what happens with the limits.
    pub fn rest(&self, now_ms: u64, limits: &CallerLimits) -> Rest {
        if self.requests.get() > 0 {
            return Rest::Until(now_ms + limits.idle_timeout_ms);
        }
        if let Some(since_ms) = self.head_since_ms.get() {
            let end_ms = since_ms + limits.head_timeout_ms;
            return if now_ms >= end_ms {
                Rest::HeadTooSlow
            } else {
                Rest::Until(end_ms)
            };
        }
        let end_ms = self.idle_since_ms.get() + limits.idle_timeout_ms;
        if now_ms >= end_ms {
            Rest::TooIdle
        } else {
            Rest::Until(end_ms.min(now_ms + limits.head_timeout_ms))
        }
    }

    fn note_read(&self) {
        if self.requests.get() == 0 && self.head_since_ms.get().is_none() {
            self.head_since_ms.set(Some(clock::now_ms()));
        }
    }
}

/// A stream that notes when bytes come.
#[derive(Debug)]
pub struct Watched {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl Watched {
    /// Watches a stream.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> Self {
        Watched { stream, activity }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.note_read();
        }
        poll
    }
}

impl AsyncWrite for Watched {
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
