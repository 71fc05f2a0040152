//! A caller of the demonstration, which retries refused and interrupted requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::time::Instant;
use toucancleat_entry::http::{CallError, HttpCall, HttpClient};
use volo_http::body::Body;
use volo_http::client::sse::SseReader;
use volo_http::response::Response;

/// Maximum number of times that a caller sends its request.
const SENDS_MAX: u32 = 20;
/// Pause before a request is sent again after an interrupted answer.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
const REPLY_TIMEOUT_MS: u64 = 30_000;
const REPLY_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// A caller with its request.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    /// The request to send.
    pub request: DemoRequest,
    /// The API key of the caller's organisation.
    pub api_key: &'static str,
    /// The callers' addresses of the entry hosts, in the order in which they are tried.
    pub hosts: Vec<SocketAddr>,
}

/// A request of one of the four kinds of the deployment.
#[derive(Clone, Debug)]
pub(super) enum DemoRequest {
    /// A timetable draft with this many tokens; only the stand-in engine is given the number.
    Draft { tokens: u32 },
    /// A short check of one pair of stops.
    Check { tokens: u32 },
    /// A roster lookup.
    Roster { driver: u32 },
    /// A coach booking under an idempotency key; the caller sends it twice.
    Booking { key: String },
}

/// The outcome of one request.
#[derive(Clone, Debug)]
pub(super) struct RequestOutcome {
    /// The request kind.
    pub kind: &'static str,
    /// The state of its answer.
    pub answer: AnswerState,
    /// Number of times that the caller sent it.
    pub send_count: u32,
    /// Time from sending the request to the first token, or to the whole answer if it isn't
    /// streamed; measured at the first sending with a complete answer.
    pub first_token_ms: Option<f64>,
    /// Times between the tokens of a streamed answer, in milliseconds.
    pub inter_token_ms: Vec<f64>,
}

/// The state of the answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AnswerState {
    /// The answer is complete and passed its check.
    Complete,
    /// The request was sent [`SENDS_MAX`] times, but too few answers were complete; the others
    /// were refused or interrupted.
    GivenUp,
    /// The answer violates a guarantee; holds the reason.
    Incorrect(String),
}

/// The outcome of sending the request once.
enum SendOutcome {
    Complete {
        first_token_ms: f64,
        inter_token_ms: Vec<f64>,
    },
    RetryAfter {
        after: Duration,
    },
    Incorrect(String),
}

impl DemoRequest {
    /// Returns the request kind.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            DemoRequest::Draft { .. } => "timetable-draft",
            DemoRequest::Check { .. } => "stop-pair-check",
            DemoRequest::Roster { .. } => "roster-lookup",
            DemoRequest::Booking { .. } => "coach-booking",
        }
    }

    fn path(&self) -> String {
        match self {
            DemoRequest::Draft { .. } | DemoRequest::Check { .. } => {
                "/v1/completions".to_owned()
            }
            DemoRequest::Roster { driver } => {
                format!("/services/roster-lookup/drivers/{driver}")
            }
            DemoRequest::Booking { .. } => "/services/coach-booking/coaches".to_owned(),
        }
    }

    fn body(&self) -> Value {
        let generation = |prompt: &str, stream: bool, tokens: u32| json!({"prompt": prompt, "stream": stream, "standin_output_tokens": tokens});
        match self {
            DemoRequest::Draft { tokens } => {
                generation("Plan the closure weekend", true, *tokens)
            }
            DemoRequest::Check { tokens } => {
                generation("Is stop 4 paired with stop 9?", false, *tokens)
            }
            DemoRequest::Roster { driver } => json!({"driver": driver}),
            DemoRequest::Booking { key } => json!({"coach": key}),
        }
    }

    fn headers(&self) -> Vec<(HeaderName, String)> {
        let header = HeaderName::from_static;
        match self {
            DemoRequest::Draft { .. } | DemoRequest::Check { .. } => {
                vec![(header("x-request-kind"), self.kind().to_owned())]
            }
            DemoRequest::Roster { .. } => Vec::new(),
            DemoRequest::Booking { key } => {
                vec![(header("idempotency-key"), key.clone())]
            }
        }
    }
}

impl Caller {
    /// Sends the request until its answer is complete, and a booking then once more.
    pub(super) async fn run(&self) -> RequestOutcome {
        let mut outcome = RequestOutcome {
            kind: self.request.kind(),
            answer: AnswerState::GivenUp,
            send_count: 0,
            first_token_ms: None,
            inter_token_ms: Vec::new(),
        };
        let mut answers_left = if matches!(self.request, DemoRequest::Booking { .. }) {
            2
        } else {
            1
        };
        while answers_left > 0 && outcome.send_count < SENDS_MAX {
            let host = self.hosts[outcome.send_count as usize % self.hosts.len()];
            outcome.send_count += 1;
            match self.send(host).await {
                SendOutcome::Complete {
                    first_token_ms,
                    inter_token_ms,
                } => {
                    answers_left -= 1;
                    outcome.first_token_ms.get_or_insert(first_token_ms);
                    outcome.inter_token_ms = inter_token_ms;
                }
                SendOutcome::RetryAfter { after } => tokio::time::sleep(after).await,
                SendOutcome::Incorrect(reason) => {
                    outcome.answer = AnswerState::Incorrect(reason);
                    return outcome;
                }
            }
        }
        if answers_left == 0 {
            outcome.answer = AnswerState::Complete;
        }
        outcome
    }

    async fn send(&self, host: SocketAddr) -> SendOutcome {
        match &self.request {
            DemoRequest::Draft { tokens } => self.stream(host, *tokens).await,
            DemoRequest::Check { tokens } => {
                let check = |body: &Value| {
                    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
                    check_token_sequence(text, *tokens)
                };
                self.exchange(host, check).await
            }
            DemoRequest::Roster { .. } | DemoRequest::Booking { .. } => {
                self.exchange(host, |_| Ok(())).await
            }
        }
    }

    async fn exchange(
        &self,
        host: SocketAddr,
        check: impl Fn(&Value) -> Result<(), String>,
    ) -> SendOutcome {
        let started = Instant::now();
        let path = self.request.path();
        let client = HttpClient::unpooled();
        let reply = client
            .exchange(self.call(host, &path), REPLY_TIMEOUT_MS, REPLY_MAX_BYTES)
            .await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(_) => {
                return SendOutcome::RetryAfter {
                    after: RESEND_PAUSE,
                };
            }
        };
        if reply.status() != StatusCode::OK {
            return outcome_of_refusal(reply.status(), reply.headers());
        }
        let body = serde_json::from_slice(reply.body()).unwrap_or_default();
        match check(&body) {
            Ok(()) => SendOutcome::Complete {
                first_token_ms: ms_since(started),
                inter_token_ms: Vec::new(),
            },
            Err(reason) => SendOutcome::Incorrect(reason),
        }
    }

    async fn stream(&self, host: SocketAddr, tokens: u32) -> SendOutcome {
        let started = Instant::now();
        let path = self.request.path();
        let sent: Result<Response, CallError> =
            HttpClient::unpooled().send(self.call(host, &path)).await;
        let response = match sent {
            Ok(response) => response,
            Err(_) => {
                return SendOutcome::RetryAfter {
                    after: RESEND_PAUSE,
                };
            }
        };
        if response.status() != StatusCode::OK {
            let (head, body) = response.into_parts();
            // The whole body is read to free the connection; a failed read is ignored.
            let _ = body.collect().await;
            return outcome_of_refusal(head.status, &head.headers);
        }
        match SseReader::into_sse(response) {
            Ok(reader) => read_stream(reader, started, tokens).await,
            Err(_) => SendOutcome::Incorrect(
                "expected an event stream for a draft, found none".to_owned(),
            ),
        }
    }

    fn call<'a>(&self, address: SocketAddr, path: &'a str) -> HttpCall<'a> {
        let header_value =
            |text: &str| HeaderValue::from_str(text).expect("a valid header value");
        let mut headers = vec![
            (
                AUTHORIZATION,
                header_value(&format!("Bearer {}", self.api_key)),
            ),
            (CONTENT_TYPE, header_value("application/json")),
        ];
        let request_headers = self.request.headers().into_iter();
        headers.extend(request_headers.map(|(name, value)| (name, header_value(&value))));
        let body = Bytes::from(self.request.body().to_string());
        HttpCall {
            address,
            method: Method::POST,
            path,
            headers,
            body,
        }
    }
}

async fn read_stream(
    mut reader: SseReader<Body>,
    started: Instant,
    tokens: u32,
) -> SendOutcome {
    let mut text = String::new();
    let mut first_token_ms = None;
    let mut inter_token_ms = Vec::new();
    let mut last_token_at = started;
    loop {
        let event = match reader.read().await {
            Ok(Some(event)) => event,
            Ok(None) | Err(_) => {
                return SendOutcome::RetryAfter {
                    after: RESEND_PAUSE,
                };
            }
        };
        if event.event() == "error" {
            return SendOutcome::RetryAfter {
                after: RESEND_PAUSE,
            };
        }
        let data = event.data().unwrap_or_default();
        if data == "[DONE]" {
            break;
        }
        match first_token_ms {
            None => first_token_ms = Some(ms_since(started)),
            Some(_) => inter_token_ms.push(ms_since(last_token_at)),
        }
        last_token_at = Instant::now();
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
    }
    match check_token_sequence(&text, tokens) {
        Ok(()) => SendOutcome::Complete {
            first_token_ms: first_token_ms.unwrap_or_default(),
            inter_token_ms,
        },
        Err(reason) => SendOutcome::Incorrect(reason),
    }
}

/// Checks that an answer contains each token once, in order and from one generation.
///
/// Each token of the stand-in engine carries the id of its generation and its own index.
fn check_token_sequence(text: &str, expected: u32) -> Result<(), String> {
    let mut generation = None;
    let mut count = 0;
    for token in text.split_whitespace() {
        let Some((id, index)) = token.rsplit_once(':') else {
            return Err(format!(
                "expected a token as GENERATION:INDEX, found `{token}`"
            ));
        };
        if *generation.get_or_insert(id) != id {
            return Err("expected tokens of one generation, found two".to_owned());
        }
        if index.parse() != Ok(count) {
            return Err(format!("expected token {count}, found token {index}"));
        }
        count += 1;
    }
    match count == expected {
        true => Ok(()),
        false => Err(format!("expected {expected} tokens, found {count}")),
    }
}

fn outcome_of_refusal(status: StatusCode, headers: &HeaderMap) -> SendOutcome {
    let retry_after = headers.get("retry-after");
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    match seconds {
        Some(seconds) => SendOutcome::RetryAfter {
            after: Duration::from_secs(seconds),
        },
        None if status.is_server_error() => SendOutcome::RetryAfter {
            after: RESEND_PAUSE,
        },
        None => SendOutcome::Incorrect(format!(
            "expected status 200, a retry-after header or a server error, found {status}"
        )),
    }
}

fn ms_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}
