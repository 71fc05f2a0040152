//! A client of the model engines; see docs/PROTOCOLS.md, "Model engines".

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
use serde::Deserialize;
use tokio::time::Instant;
use toucancleat_core::accounts;
use toucancleat_core::observation::Observation;
use toucancleat_core::prelude::*;
use toucancleat_core::status::ends_request;
use volo_http::client::sse::SseReader;
use volo_http::error::BoxError;
use volo_http::response::Response;

use crate::http::{HttpCall, HttpClient, read_joined};

/// Bound on the size of an event in an engine's stream.
const EVENT_MAX_BYTES: usize = 256 * 1_024;
/// Bound on the size of an error body that is forwarded.
const ERROR_BODY_MAX_BYTES: usize = 64 * 1_024;
/// Timeout of a control call, such as to cancel or to read the load.
const CONTROL_TIMEOUT_MS: u64 = 3_000;
/// Bound on the size of a reply to a control call.
const CONTROL_REPLY_MAX_BYTES: usize = 1_024 * 1_024;
/// State of an engine that accepts no new work.
const LEAVING: &str = "leaving";
/// Data of the event that completes an answer.
const DONE: &str = "[DONE]";

/// An engine's reply to a request to generate.
#[derive(Debug)]
pub enum StartReply {
    /// The stream of tokens.
    Streaming(EngineStream),
    /// The engine proved that it did not begin.
    NotBegun {
        /// Delay in milliseconds that the engine requests before a retry.
        retry_after_ms: Option<u64>,
    },
    /// The engine rejected the request as invalid; its reply is forwarded to the caller.
    Rejected {
        /// HTTP status, 400 to 499.
        status: StatusCode,
        /// Body.
        body: Bytes,
    },
    /// The engine may have begun.
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

/// A request to an engine to start one attempt of a generation.
#[derive(Debug)]
pub struct StartRequest<'a> {
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
    /// When the answer must be complete, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
}

/// The stream of one generation's events.
#[derive(Debug)]
pub struct EngineStream {
    reader: EventReader,
    last_byte: LastByte,
}

/// The time at which the last byte of a stream was received, shared with the body that
/// records it.
#[derive(Clone, Debug)]
struct LastByte {
    created: Instant,
    elapsed_ms: Arc<AtomicU64>,
}

struct EventReader(Box<SseReader<BoundedEvents<volo_http::body::Body>>>);

impl std::fmt::Debug for EventReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EventReader")
    }
}

/// An event of an engine's stream.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token.
    Token {
        /// The generation it belongs to.
        generation: GenerationId,
        /// Its place in the answer, from 0.
        index: u32,
        /// The JSON chunk, forwarded unchanged.
        data: String,
    },
    /// The answer is complete.
    Done,
    /// Something that the protocol does not permit.
    ProtocolViolation {
        /// What was expected.
        detail: String,
    },
    /// The stream ended before the answer was complete.
    Interrupted,
}

/// The load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// When the engine was started; 0 if the engine doesn't report it.
    pub started_unix_ms: u64,
    /// When the engine measured its load.
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
    /// Duration of the latest decoding step, in milliseconds.
    pub step_ms: f64,
    /// `serving` or `leaving`.
    pub state: String,
}

impl LastByte {
    fn now() -> Self {
        LastByte {
            created: Instant::now(),
            elapsed_ms: Arc::new(AtomicU64::new(0)),
        }
    }

    fn record(&self) {
        let elapsed_ms = self.created.elapsed().as_millis() as u64;
        self.elapsed_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    fn instant(&self) -> Instant {
        self.created + Duration::from_millis(self.elapsed_ms.load(Ordering::Relaxed))
    }
}

impl EngineStream {
    /// Returns when the last byte was received, of a token or of a comment.
    pub fn last_byte(&self) -> Instant {
        self.last_byte.instant()
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> EngineEvent {
        loop {
            let event = match self.reader.0.read().await {
                Ok(Some(event)) => event,
                Ok(None) => return EngineEvent::Interrupted,
                Err(error) if error.is::<EventTooLarge>() => {
                    return EngineEvent::ProtocolViolation {
                        detail: error.to_string(),
                    };
                }
                Err(_) => return EngineEvent::Interrupted,
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
                None => EngineEvent::ProtocolViolation {
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

/// Requests a generation from an engine.
pub async fn start(client: &HttpClient, request: StartRequest<'_>) -> StartReply {
    let headers = vec![
        (CONTENT_TYPE, HeaderValue::from_static("application/json")),
        (
            HeaderName::from_static("x-generation-id"),
            header_value(&request.generation.to_string()),
        ),
        (
            HeaderName::from_static("x-priority"),
            HeaderValue::from(u16::from(request.priority)),
        ),
        (
            HeaderName::from_static("x-deadline-unix-ms"),
            HeaderValue::from(request.deadline_unix_ms),
        ),
    ];
    let sent = client
        .send(HttpCall {
            address: request.address,
            method: Method::POST,
            path: request.path,
            headers,
            body: request.body,
        })
        .await;
    match sent {
        Ok(response) => read_start_reply(response).await,
        Err(error) if error.is_not_sent() => StartReply::NotBegun {
            retry_after_ms: None,
        },
        Err(error) => StartReply::Unknown {
            detail: error.to_string(),
        },
    }
}

/// Requests the rest of a generation from a token index on.
///
/// Returns `None` if the engine starts no stream.
pub async fn resume(
    client: &HttpClient,
    address: SocketAddr,
    generation: GenerationId,
    from_index: u32,
) -> Option<EngineStream> {
    let path = format!("/v1/generations/{generation}/stream?from={from_index}");
    let call = control_call(address, Method::GET, &path);
    let response = client.send(call).await.ok()?;
    match read_start_reply(response).await {
        StartReply::Streaming(stream) => Some(stream),
        _ => None,
    }
}

/// Cancels a generation at an engine; returns true if the engine confirmed that the
/// generation is not running.
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

/// Observes an engine by reading its load.
pub async fn observe(client: &HttpClient, address: SocketAddr) -> Observation {
    let call = control_call(address, Method::GET, "/v1/load");
    let reply = client
        .exchange(call, CONTROL_TIMEOUT_MS, CONTROL_REPLY_MAX_BYTES)
        .await;
    match reply {
        Ok(reply) if reply.status().is_success() => {
            match serde_json::from_slice::<LoadReport>(reply.body()) {
                Ok(report) => report.observation(),
                Err(_) => Observation::NoAnswer,
            }
        }
        Err(error) if error.is_refused() => Observation::ConnectionRefused,
        _ => Observation::NoAnswer,
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

fn control_call(address: SocketAddr, method: Method, path: &str) -> HttpCall<'_> {
    HttpCall {
        address,
        method,
        path,
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

async fn read_start_reply(response: Response) -> StartReply {
    let status = response.status();
    if status == StatusCode::OK {
        return read_stream(response);
    }
    let retry_after_ms = retry_after_ms(response.headers());
    if ends_request(status.as_u16()) && has_not_run_verdict(response.headers()) {
        return StartReply::NotBegun { retry_after_ms };
    }
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        let body = read_joined(response.into_body(), ERROR_BODY_MAX_BYTES).await;
        return StartReply::Rejected {
            status,
            body: body.unwrap_or_default(),
        };
    }
    StartReply::Unknown {
        detail: format!("the engine replied {status} without a verdict"),
    }
}

fn read_stream(response: Response) -> StartReply {
    let last_byte = LastByte::now();
    let bounded = response.map(|body| BoundedEvents {
        body,
        last_byte: last_byte.clone(),
        current_event_bytes: 0,
    });
    match SseReader::into_sse(bounded) {
        Ok(reader) => StartReply::Streaming(EngineStream {
            reader: EventReader(Box::new(reader)),
            last_byte,
        }),
        Err(error) => StartReply::Unknown {
            detail: error.to_string(),
        },
    }
}

/// Returns the delay of a reply's `Retry-After` header, in milliseconds.
pub fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// Returns true if a reply proves that the request did not run.
pub fn has_not_run_verdict(headers: &HeaderMap) -> bool {
    headers
        .get("x-verdict")
        .is_some_and(|value| value == Verdict::NotRun.as_str())
}

/// Converts text that is known to be plain ASCII to a header value.
fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).expect("the value is plain ASCII")
}

/// A body that fails once an event grows beyond [`EVENT_MAX_BYTES`].
///
/// The event reader buffers a line until its end, so an engine that never ends a line
/// would otherwise exhaust the memory.
struct BoundedEvents<B> {
    body: B,
    last_byte: LastByte,
    current_event_bytes: usize,
}

#[derive(Debug, thiserror::Error)]
#[error("expected events of at most {EVENT_MAX_BYTES} bytes")]
struct EventTooLarge;

impl<B> BoundedEvents<B> {
    fn count_bytes(&mut self, data: &[u8]) -> Result<(), EventTooLarge> {
        match data.windows(2).rposition(|pair| pair == b"\n\n") {
            Some(end) => self.current_event_bytes = data.len() - end - 2,
            None => self.current_event_bytes += data.len(),
        }
        if self.current_event_bytes > EVENT_MAX_BYTES {
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
                self.last_byte.record();
                self.count_bytes(data)
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
