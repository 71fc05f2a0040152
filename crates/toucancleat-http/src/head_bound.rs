//! A stream that fails if the head of an answer takes too much.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::interim::{INTERIM_ANSWERS_MAX, InterimCounter};

/// Maximum number of bytes up to the end of the head of an answer, with interim answers and what is read of
/// the body behind it.
pub const HEAD_MAX_BYTES: usize = 196_608;

/// What has been read of a connection before the head of the answer.
#[derive(Debug, Default)]
pub struct HeadProgress(Mutex<Progress>);

#[derive(Debug, Default)]
struct Progress {
    read_bytes: usize,
    interim: InterimCounter,
    is_received: bool,
}

impl HeadProgress {
    /// Records that the head is complete; what is read from now on is its body.
    pub fn record_head(&self) {
        self.lock().is_received = true;
    }

    /// Records that another request is sent on the connection, whose answer has a head of its own.
    pub fn begin_request(&self) {
        *self.lock() = Progress::default();
    }

    fn record_read(&self, bytes: &[u8]) -> io::Result<()> {
        let mut progress = self.lock();
        if progress.is_received {
            return Ok(());
        }
        progress.read_bytes += bytes.len();
        let is_too_long = progress.read_bytes > HEAD_MAX_BYTES;
        if is_too_long || progress.interim.read(bytes) > INTERIM_ANSWERS_MAX {
            let message = "no complete head of an answer within the bounds";
            return Err(io::Error::other(message));
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        // Each field is valid by itself, also after a panic.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that fails if the head of the answer isn't complete within a number of bytes and of interim
/// answers.
#[derive(Debug)]
pub struct HeadBoundedStream<S> {
    stream: S,
    progress: Arc<HeadProgress>,
}

impl<S> HeadBoundedStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, progress: Arc<HeadProgress>) -> Self {
        HeadBoundedStream { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadBoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let recorded = self.progress.record_read(&buffer.filled()[before..]);
        if recorded.is_err() {
            buffer.set_filled(before);
        }
        Poll::Ready(recorded)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadBoundedStream<S> {
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
