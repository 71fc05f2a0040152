//! The dialect of the model engines; see docs/PROTOCOLS.md, "Model engines".

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use tokio::time::Instant;
use toucancleat_core::accounts;
use toucancleat_core::observation::Observation;
use toucancleat_core::prelude::*;
use volo_http::client::sse::SseReader;
use volo_http::error::BoxError;
use volo_http::response::Response;

use crate::http::{Call, HttpClient};

/// Largest event of an engine's stream.
const EVENT_MAX_BYTES: usize = 256 * 1_024;
/// Largest error body that is passed on.
const ERROR_BODY_MAX_BYTES: usize = 64 * 1_024;
/// Time for a call that only tells or asks the engine something.
const CONTROL_TIMEOUT_MS: u64 = 3_000;
/// Largest reply of such a call.
const CONTROL_REPLY_MAX_BYTES: usize = 1_024 * 1_024;
/// State of an engine that takes no new work.
const LEAVING: &str = "leaving";
/// The data of the event that closes a whole answer.
const DONE: &str = "[DONE]";

/// How an engine answered a request to generate.
#[derive(Debug)]
pub enum Start {
    /// The stream of tokens.
    Streaming(EngineStream),
    /// The engine proved that it did not begin.
    NotBegun {
        /// When it asks to come back.
        retry_after_ms: Option<u64>,
    },
    /// The engine finds the request itself wrong; the caller is told in its words.
    Rejected {
        /// HTTP status, 400 to 499.
        status: StatusCode,
        /// Body.
        body: Bytes,
    },
    /// The engine may have begun.
    Unknown {
        /// What was seen.
        detail: String,
    },
}

/// One attempt at a generation, as the engine is asked for it.
#[derive(Debug)]
pub struct StartCall<'a> {
    /// Address of the engine.
    pub address: SocketAddr,
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'a str,
    /// The caller's body, with streaming switched on.
    pub body: Bytes,
    /// The attempt.
    pub generation: GenerationId,
    /// 0 is preempted first, 9 last.
    pub priority: u8,
    /// When the answer must be whole.
    pub deadline_unix_ms: u64,
}

/// The tokens of one generation.
#[derive(Debug)]
pub struct EngineStream {
    reader: EventReader,
    heard: Heard,
}

/// When the last byte of a stream came, as the body that reads it notes.
#[derive(Clone, Debug)]
struct Heard {
    since: Instant,
    after_ms: Arc<AtomicU64>,
}

struct EventReader(Box<SseReader<BoundedEvents<volo_http::body::Body>>>);

impl std::fmt::Debug for EventReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EventReader")
    }
}

/// What an engine's stream brings.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token.
    Token {
        /// The generation it belongs to.
        generation: GenerationId,
        /// Its place in the answer, from 0.
        index: u32,
        /// The JSON chunk, passed on as it is.
        data: String,
    },
    /// The answer is whole.
    Done,
    /// Something that the protocol does not permit.
    Unreadable {
        /// What was expected.
        detail: String,
    },
    /// The stream ended without closing the answer.
    Broken,
}

/// The load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// When the engine was started; 0 where it doesn't say.
    pub started_unix_ms: u64,
    /// When the engine measured it.
    pub measured_unix_ms: u64,
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences waiting at the engine.
    pub waiting: u32,
    /// Blocks of cache memory in use.
    pub blocks_used: u64,
    /// Blocks of cache memory.
    pub blocks_total: u64,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Preemptions since the engine's start.
    pub preemptions_total: u64,
    /// Time of the latest decoding step.
    pub step_ms: f64,
    /// `serving` or `leaving`.
    pub state: String,
}

impl Heard {
    fn now() -> Self {
        Heard {
            since: Instant::now(),
            after_ms: Arc::new(AtomicU64::new(0)),
        }
    }

    fn note(&self) {
        let after_ms = self.since.elapsed().as_millis() as u64;
        self.after_ms.store(after_ms, Ordering::Relaxed);
    }

    fn last(&self) -> Instant {
        self.since + Duration::from_millis(self.after_ms.load(Ordering::Relaxed))
    }
}

impl EngineStream {
    /// Returns when the last byte came, be it of a token or of a comment.
    pub fn last_byte(&self) -> Instant {
        self.heard.last()
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> EngineEvent {
        loop {
            let event = match self.reader.0.read().await {
                Ok(Some(event)) => event,
                Ok(None) => return EngineEvent::Broken,
                Err(error) if error.is::<EventTooLarge>() => {
                    return EngineEvent::Unreadable {
                        detail: error.to_string(),
                    };
                }
                Err(_) => return EngineEvent::Broken,
            };
            let Some(data) = event.data else { continue };
            if data == DONE {
                return EngineEvent::Done;
            }
            return match event.id.as_deref().and_then(parse_event_id) {
                Some((generation, index)) => EngineEvent::Token {
                    generation,
                    index,
                    data,
                },
                None => EngineEvent::Unreadable {
                    detail: "expected an event id of generation and index".to_owned(),
                },
            };
        }
    }
}

/// Parses `<generation>:<index>`.
fn parse_event_id(id: &str) -> Option<(GenerationId, u32)> {
    let (generation, index) = id.split_once(':')?;
    Some((GenerationId::parse(generation)?, index.parse().ok()?))
}

/// Asks an engine to generate.
pub async fn start(client: &HttpClient, call: StartCall<'_>) -> Start {
    let headers = vec![
        (CONTENT_TYPE, HeaderValue::from_static("application/json")),
        (
            HeaderName::from_static("x-generation-id"),
            text(&call.generation.to_string()),
        ),
        (
            HeaderName::from_static("x-priority"),
            HeaderValue::from(u16::from(call.priority)),
        ),
        (
            HeaderName::from_static("x-deadline-unix-ms"),
            HeaderValue::from(call.deadline_unix_ms),
        ),
    ];
    let sent = client
        .send(Call {
            address: call.address,
            method: Method::POST,
            path: call.path,
            headers,
            body: call.body,
        })
        .await;
    match sent {
        Ok(response) => read_start(response).await,
        Err(error) if error.is_not_sent() => Start::NotBegun {
            retry_after_ms: None,
        },
        Err(error) => Start::Unknown {
            detail: error.to_string(),
        },
    }
}

/// Asks an engine for the rest of a generation from a token index on.
///
/// `None` means that the engine doesn't give it.
pub async fn resume(
    client: &HttpClient,
    address: SocketAddr,
    generation: GenerationId,
    from_index: u32,
) -> Option<EngineStream> {
    let path = format!("/v1/generations/{generation}/stream?from={from_index}");
    let call = control_call(address, Method::GET, &path);
    let response = client.send(call).await.ok()?;
    match read_start(response).await {
        Start::Streaming(stream) => Some(stream),
        _ => None,
    }
}

/// Tells an engine to cancel a generation; returns whether it confirmed.
pub async fn cancel(
    client: &HttpClient,
    address: SocketAddr,
    generation: GenerationId,
) -> bool {
    let path = format!("/v1/generations/{generation}");
    let call = control_call(address, Method::DELETE, &path);
    let reply = client
        .exchange(call, CONTROL_TIMEOUT_MS, CONTROL_REPLY_MAX_BYTES)
        .await;
    reply.is_ok_and(|reply| {
        reply.status().is_success() || reply.status() == StatusCode::NOT_FOUND
    })
}

/// Asks an engine how it is.
pub async fn observe(client: &HttpClient, address: SocketAddr) -> Observation {
    let call = control_call(address, Method::GET, "/v1/load");
    let reply = client
        .exchange(call, CONTROL_TIMEOUT_MS, CONTROL_REPLY_MAX_BYTES)
        .await;
    match reply {
        Ok(reply) if reply.status().is_success() => {
            match serde_json::from_slice::<LoadReport>(reply.body()) {
                Ok(report) => report.observation(),
                Err(_) => Observation::Silent,
            }
        }
        Err(error) if error.is_refused() => Observation::Gone,
        _ => Observation::Silent,
    }
}

impl LoadReport {
    fn observation(&self) -> Observation {
        let started_unix_ms = self.started_unix_ms;
        if self.state == LEAVING {
            return Observation::Leaving { started_unix_ms };
        }
        let block_tokens = u64::from(self.block_tokens);
        Observation::Serving {
            started_unix_ms,
            load: Some(accounts::LoadReport {
                measured_unix_ms: self.measured_unix_ms,
                running: self.running,
                waiting: self.waiting,
                used_tokens: self.blocks_used * block_tokens,
                memory_tokens: self.blocks_total * block_tokens,
                preemptions_total: self.preemptions_total,
                step_ms: self.step_ms,
            }),
        }
    }
}

fn control_call(address: SocketAddr, method: Method, path: &str) -> Call<'_> {
    Call {
        address,
        method,
        path,
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

async fn read_start(response: Response) -> Start {
    let status = response.status();
    if status == StatusCode::OK {
        return read_stream(response);
    }
    let retry_after_ms = retry_after_ms(response.headers());
    if says_not_run(response.headers()) {
        return Start::NotBegun { retry_after_ms };
    }
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        let body = Limited::new(response.into_body(), ERROR_BODY_MAX_BYTES);
        let body = body.collect().await.map(|collected| collected.to_bytes());
        return Start::Rejected {
            status,
            body: body.unwrap_or_default(),
        };
    }
    Start::Unknown {
        detail: format!("the engine replied {status} without a verdict"),
    }
}

fn read_stream(response: Response) -> Start {
    let heard = Heard::now();
    let bounded = response.map(|body| BoundedEvents {
        body,
        heard: heard.clone(),
        since_event_bytes: 0,
    });
    match SseReader::into_sse(bounded) {
        Ok(reader) => Start::Streaming(EngineStream {
            reader: EventReader(Box::new(reader)),
            heard,
        }),
        Err(error) => Start::Unknown {
            detail: error.to_string(),
        },
    }
}

/// Returns the time to come back that a reply names.
pub fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// Says whether a reply proves that the request did not run.
pub fn says_not_run(headers: &HeaderMap) -> bool {
    headers
        .get("x-verdict")
        .is_some_and(|value| value == Verdict::NotRun.as_str())
}

/// Makes a header value of text that is known to be plain ASCII.
fn text(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).expect("the value is plain ASCII")
}

/// A body that fails once an event grows beyond [`EVENT_MAX_BYTES`].
///
/// The reader of events keeps a line until its end comes, so an engine that never ends a
/// line would otherwise take all memory.
struct BoundedEvents<B> {
    body: B,
    heard: Heard,
    since_event_bytes: usize,
}

#[derive(Debug, thiserror::Error)]
#[error("expected events of at most {EVENT_MAX_BYTES} bytes")]
struct EventTooLarge;

impl<B> BoundedEvents<B> {
    fn count(&mut self, data: &[u8]) -> Result<(), EventTooLarge> {
        match data.windows(2).rposition(|pair| pair == b"\n\n") {
            Some(end) => self.since_event_bytes = data.len() - end - 2,
            None => self.since_event_bytes += data.len(),
        }
        if self.since_event_bytes > EVENT_MAX_BYTES {
            Err(EventTooLarge)
        } else {
            Ok(())
        }
    }
}

impl<B> HttpBody for BoundedEvents<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
            Poll::Ready(Some(Ok(frame))) => frame,
        };
        let counted = match frame.data_ref() {
            Some(data) => {
                self.heard.note();
                self.count(data)
            }
            None => Ok(()),
        };
        Poll::Ready(Some(counted.map(|()| frame).map_err(BoxError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
