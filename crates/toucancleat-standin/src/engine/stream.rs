//! Server-sent event stream of a generation.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http_body_util::StreamBody;
use serde_json::json;
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::http::header::{self, HeaderValue};
use volo_http::hyper::body::Frame;
use volo_http::response::Response;

use super::Shared;
use super::faults::{InvalidEventKind, StreamFault};
use super::generation::{Generation, Progress, token_text};
use super::records::GenerationState;

/// Size of the text of an event that the `HugeFrame` fault sends.
const HUGE_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Interval at which a stalled stream checks whether the fault is cleared.
const STALL_POLL_MS: u64 = 20;

/// Returns a reply that streams a generation from a token index on.
pub(super) fn response(
    shared: Arc<Shared>,
    generation: Arc<Generation>,
    from: u32,
) -> Response {
    let events = events(Reader::new(shared, generation, from));
    let mut response = Response::new(Body::from_body(StreamBody::new(events)));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// A stream that reads a generation.
struct Reader {
    shared: Arc<Shared>,
    generation: Arc<Generation>,
    progress: watch::Receiver<Progress>,
    next_index: u32,
    sent_tokens: u32,
    is_done: bool,
}

impl Reader {
    fn new(shared: Arc<Shared>, generation: Arc<Generation>, from: u32) -> Reader {
        generation.attach();
        Reader {
            shared,
            progress: generation.subscribe(),
            generation,
            next_index: from,
            sent_tokens: 0,
            is_done: false,
        }
    }

    /// Returns the next chunk of the stream, or `None` after the last.
    async fn next(&mut self) -> Option<Result<Bytes, BoxError>> {
        if self.is_done {
            return None;
        }
        if let Err(err) = self.apply_faults().await {
            self.is_done = true;
            return Some(Err(err));
        }
        let ping = Duration::from_millis(self.shared.config.ping_ms);
        loop {
            let progress = *self.progress.borrow_and_update();
            if self.next_index < progress.produced_tokens {
                return Some(Ok(self.token_event()));
            }
            if progress.state != GenerationState::Running {
                self.is_done = true;
                return self.last_event(progress.state);
            }
            if tokio::time::timeout(ping, self.progress.changed())
                .await
                .is_err()
            {
                return Some(Ok(Bytes::from_static(b": ping\n\n")));
            }
        }
    }

    /// Returns the event of the next token, which may be an invalid one, and advances.
    fn token_event(&mut self) -> Bytes {
        let index = self.next_index;
        self.next_index += 1;
        self.sent_tokens += 1;
        let invalid = self.shared.state().faults.take_invalid_event(index);
        match invalid {
            None => self.event(&self.generation.id, index),
            Some(InvalidEventKind::BadEvent) => {
                Bytes::from_static(b"id: ??\ndata: {nonsense\n\n")
            }
            Some(InvalidEventKind::WrongGeneration) => {
                let other: String = self.generation.id.chars().rev().collect();
                self.event(&other, index)
            }
            Some(InvalidEventKind::SkippedIndex) => {
                self.event(&self.generation.id, index + 1)
            }
            Some(InvalidEventKind::RepeatedIndex) => {
                self.event(&self.generation.id, index.saturating_sub(1))
            }
            Some(InvalidEventKind::HugeFrame) => self.huge_event(index),
        }
    }

    fn event(&self, id: &str, index: u32) -> Bytes {
        let text = token_text(id, index);
        self.event_with_text(id, index, &text)
    }

    fn huge_event(&self, index: u32) -> Bytes {
        let text = "x".repeat(HUGE_FRAME_BYTES);
        self.event_with_text(&self.generation.id, index, &text)
    }

    fn event_with_text(&self, id: &str, index: u32, text: &str) -> Bytes {
        let is_last = index + 1 >= self.generation.length.tokens;
        let finish_reason = is_last.then_some(self.generation.length.finish_reason);
        let choice = if self.generation.is_chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason})
        } else {
            json!({"index": 0, "text": text, "finish_reason": finish_reason})
        };
        let data = json!({ "choices": [choice] });
        Bytes::from(format!("id: {id}:{index}\ndata: {data}\n\n"))
    }

    /// Ends the stream: with `[DONE]` if the generation finished, otherwise by closing
    /// the connection before the end of the body.
    fn last_event(&self, state: GenerationState) -> Option<Result<Bytes, BoxError>> {
        if state == GenerationState::Finished {
            return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        Some(Err("generation ended before it finished".into()))
    }

    /// Applies the faults that are due before the next event; an error closes the
    /// connection.
    async fn apply_faults(&self) -> Result<(), BoxError> {
        loop {
            let fault = self
                .shared
                .state()
                .faults
                .take_stream_fault(self.sent_tokens);
            match fault {
                None => return Ok(()),
                Some(StreamFault::Crash) => {
                    yield_for_flush().await;
                    self.shared.stop.crash().await;
                }
                Some(StreamFault::Cut) => {
                    yield_for_flush().await;
                    return Err("stream cut by a fault".into());
                }
                Some(StreamFault::Stall) => {
                    tokio::time::sleep(Duration::from_millis(STALL_POLL_MS)).await;
                }
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.generation.detach() {
            self.shared.schedule_orphan_timeout(&self.generation);
        }
    }
}

/// Lets the server send the events that the stream has already yielded: it flushes its
/// buffer whenever a stream isn't ready.
async fn yield_for_flush() {
    tokio::task::yield_now().await;
}

fn events(reader: Reader) -> impl Stream<Item = Result<Frame<Bytes>, BoxError>> {
    futures::stream::unfold(reader, |mut reader| async move {
        let chunk = reader.next().await?;
        Some((chunk.map(Frame::data), reader))
    })
}
