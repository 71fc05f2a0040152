//! The body of an answer that is a stream, and the sender of its events.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::memory::HeldBytes;

/// Maximum number of reads whose events are queued for a caller that reads slowly. Its socket holds
/// far more.
const QUEUED_READS_MAX: usize = 8;

/// The outcome of a complete stream in logs and metrics.
pub const ANSWERED: &str = "answered";

/// An answer was interrupted. `hyper` then closes the connection without the terminator that
/// would make the answer look complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer was interrupted")]
pub struct Interrupted;

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the caller has disconnected")]
pub struct CallerDisconnected;

/// The body of a stream.
///
/// It ends as complete only if its sender says so. A sender that is dropped for any other reason,
/// also because its task has panicked, interrupts the stream.
#[derive(Debug)]
pub struct StreamBody {
    events: Receiver<HeldBytes>,
    is_complete: Rc<Cell<bool>>,
    has_yielded: bool,
}

/// The sender of a stream's events.
#[derive(Debug)]
pub struct EventSender {
    events: Sender<HeldBytes>,
    is_complete: Rc<Cell<bool>>,
}

/// Creates the body of a stream and the sender of its events.
pub fn stream_body() -> (EventSender, StreamBody) {
    let (sender, receiver) = channel(QUEUED_READS_MAX);
    let is_complete = Rc::<Cell<bool>>::default();
    let sender = EventSender {
        events: sender,
        is_complete: is_complete.clone(),
    };
    let body = StreamBody {
        events: receiver,
        is_complete,
        has_yielded: false,
    };
    (sender, body)
}

impl EventSender {
    /// Sends events, after a wait if the caller reads slowly.
    pub async fn send(&self, events: HeldBytes) -> Result<(), CallerDisconnected> {
        let sent = self.events.send(events).await;
        sent.map_err(|_| CallerDisconnected)
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.events.closed().await;
    }

    /// Ends the stream as complete.
    pub fn complete(self) {
        self.is_complete.set(true);
    }
}

impl StreamBody {
    /// Polls for the next frame of the body.
    pub fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        let body = self.get_mut();
        match ready!(body.events.poll_recv(context)) {
            Some(held) => Poll::Ready(Some(Ok(Frame::data(held.bytes)))),
            None if body.is_complete.get() => Poll::Ready(None),
            None if body.has_yielded => Poll::Ready(Some(Err(Interrupted))),
            None => {
                // N.B. `hyper` discards what it has not written when the body fails. It writes while
                // the body is pending.
                body.has_yielded = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}
