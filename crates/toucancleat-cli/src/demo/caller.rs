//! One caller of the demonstration, who asks again as the refusals tell.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::time::Instant;
use toucancleat_entry::http::{Call, CallError, HttpClient};
use volo_http::body::Body;
use volo_http::client::sse::SseReader;
use volo_http::response::Response;

/// Most times that a caller sends its request.
const SENDINGS_MAX: u32 = 20;
/// Pause before a request whose answer broke off is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
const REPLY_TIMEOUT_MS: u64 = 30_000;
const REPLY_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    /// What is asked for.
    pub work: Work,
    /// The organisation's key.
    pub api_key: &'static str,
    /// The entry hosts, the one that is asked first in front.
    pub hosts: Vec<SocketAddr>,
}

/// The four kinds of request of the deployment.
#[derive(Clone, Debug)]
pub(super) enum Work {
    /// A timetable draft with this many tokens, which only the stand-in engine knows.
    Draft { tokens: u32 },
    /// A short check of one stop pairing.
    Check { tokens: u32 },
    /// A roster lookup.
    Roster { driver: u32 },
    /// A coach booking under an idempotency key, which the caller sends twice.
    Booking { key: String },
}

/// What came of one request.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// The request kind.
    pub kind: &'static str,
    /// How it ended.
    pub ending: Ending,
    /// How many times the caller sent it.
    pub sendings: u32,
    /// Time from the sending that was answered first to its first token or byte.
    pub first_token_ms: Option<f64>,
    /// Times between the tokens of a streamed answer.
    pub gaps_ms: Vec<f64>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The whole answer came.
    Whole,
    /// Every sending was refused or broke off.
    GivenUp,
    /// An answer came that can't be right; in words.
    Wrong(String),
}

/// How one sending ended.
enum Sending {
    Whole {
        first_token_ms: f64,
        gaps_ms: Vec<f64>,
    },
    Again {
        after: Duration,
    },
    Wrong(String),
}

impl Work {
    /// Returns the request kind.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Work::Draft { .. } => "timetable-draft",
            Work::Check { .. } => "stop-pair-check",
            Work::Roster { .. } => "roster-lookup",
            Work::Booking { .. } => "coach-booking",
        }
    }

    fn path(&self) -> String {
        match self {
            Work::Draft { .. } | Work::Check { .. } => "/v1/completions".to_owned(),
            Work::Roster { driver } => {
                format!("/services/roster-lookup/drivers/{driver}")
            }
            Work::Booking { .. } => "/services/coach-booking/coaches".to_owned(),
        }
    }

    fn body(&self) -> Value {
        let generation = |prompt: &str, stream: bool, tokens: u32| json!({"prompt": prompt, "stream": stream, "standin_output_tokens": tokens});
        match self {
            Work::Draft { tokens } => {
                generation("Plan the closure weekend", true, *tokens)
            }
            Work::Check { tokens } => {
                generation("Is stop 4 paired with stop 9?", false, *tokens)
            }
            Work::Roster { driver } => json!({"driver": driver}),
            Work::Booking { key } => json!({"coach": key}),
        }
    }

    fn headers(&self) -> Vec<(HeaderName, String)> {
        let header = HeaderName::from_static;
        match self {
            Work::Draft { .. } | Work::Check { .. } => {
                vec![(header("x-request-kind"), self.kind().to_owned())]
            }
            Work::Roster { .. } => Vec::new(),
            Work::Booking { key } => vec![(header("idempotency-key"), key.clone())],
        }
    }
}

impl Ask {
    /// Sends the request until its answer is whole; a booking then once more.
    pub(super) async fn carry_out(&self) -> Outcome {
        let mut outcome = Outcome {
            kind: self.work.kind(),
            ending: Ending::GivenUp,
            sendings: 0,
            first_token_ms: None,
            gaps_ms: Vec::new(),
        };
        let mut wanted = if matches!(self.work, Work::Booking { .. }) {
            2
        } else {
            1
        };
        while wanted > 0 && outcome.sendings < SENDINGS_MAX {
            let host = self.hosts[outcome.sendings as usize % self.hosts.len()];
            outcome.sendings += 1;
            match self.send(host).await {
                Sending::Whole {
                    first_token_ms,
                    gaps_ms,
                } => {
                    wanted -= 1;
                    outcome.first_token_ms.get_or_insert(first_token_ms);
                    outcome.gaps_ms = gaps_ms;
                }
                Sending::Again { after } => tokio::time::sleep(after).await,
                Sending::Wrong(why) => {
                    outcome.ending = Ending::Wrong(why);
                    return outcome;
                }
            }
        }
        if wanted == 0 {
            outcome.ending = Ending::Whole;
        }
        outcome
    }

    async fn send(&self, host: SocketAddr) -> Sending {
        match &self.work {
            Work::Draft { tokens } => self.stream(host, *tokens).await,
            Work::Check { tokens } => {
                let check = |body: &Value| {
                    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
                    check_tokens(text, *tokens)
                };
                self.exchange(host, check).await
            }
            Work::Roster { .. } | Work::Booking { .. } => {
                self.exchange(host, |_| Ok(())).await
            }
        }
    }

    async fn exchange(
        &self,
        host: SocketAddr,
        check: impl Fn(&Value) -> Result<(), String>,
    ) -> Sending {
        let started = Instant::now();
        let path = self.work.path();
        let client = HttpClient::fresh();
        let reply = client
            .exchange(self.call(host, &path), REPLY_TIMEOUT_MS, REPLY_MAX_BYTES)
            .await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(_) => {
                return Sending::Again {
                    after: RESEND_PAUSE,
                };
            }
        };
        if reply.status() != StatusCode::OK {
            return refused(reply.status(), reply.headers());
        }
        let body = serde_json::from_slice(reply.body()).unwrap_or_default();
        match check(&body) {
            Ok(()) => Sending::Whole {
                first_token_ms: ms_since(started),
                gaps_ms: Vec::new(),
            },
            Err(why) => Sending::Wrong(why),
        }
    }

    async fn stream(&self, host: SocketAddr, tokens: u32) -> Sending {
        let started = Instant::now();
        let path = self.work.path();
        let sent: Result<Response, CallError> =
            HttpClient::fresh().send(self.call(host, &path)).await;
        let response = match sent {
            Ok(response) => response,
            Err(_) => {
                return Sending::Again {
                    after: RESEND_PAUSE,
                };
            }
        };
        if response.status() != StatusCode::OK {
            let (head, body) = response.into_parts();
            // The connection is used up by the read, whatever it gives.
            let _ = body.collect().await;
            return refused(head.status, &head.headers);
        }
        match SseReader::into_sse(response) {
            Ok(reader) => read_stream(reader, started, tokens).await,
            Err(_) => {
                Sending::Wrong("the reply to a draft is no stream of events".to_owned())
            }
        }
    }

    fn call<'a>(&self, address: SocketAddr, path: &'a str) -> Call<'a> {
        let text = |text: &str| HeaderValue::from_str(text).expect("a plain header");
        let mut headers = vec![
            (AUTHORIZATION, text(&format!("Bearer {}", self.api_key))),
            (CONTENT_TYPE, text("application/json")),
        ];
        let own = self.work.headers().into_iter();
        headers.extend(own.map(|(name, value)| (name, text(&value))));
        let body = Bytes::from(self.work.body().to_string());
        Call {
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
) -> Sending {
    let mut text = String::new();
    let mut first_token_ms = None;
    let mut gaps_ms = Vec::new();
    let mut last = started;
    loop {
        let event = match reader.read().await {
            Ok(Some(event)) => event,
            Ok(None) | Err(_) => {
                return Sending::Again {
                    after: RESEND_PAUSE,
                };
            }
        };
        if event.event() == "error" {
            return Sending::Again {
                after: RESEND_PAUSE,
            };
        }
        let data = event.data().unwrap_or_default();
        if data == "[DONE]" {
            break;
        }
        match first_token_ms {
            None => first_token_ms = Some(ms_since(started)),
            Some(_) => gaps_ms.push(ms_since(last)),
        }
        last = Instant::now();
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
    }
    match check_tokens(&text, tokens) {
        Ok(()) => Sending::Whole {
            first_token_ms: first_token_ms.unwrap_or_default(),
            gaps_ms,
        },
        Err(why) => Sending::Wrong(why),
    }
}

/// Checks that an answer holds each token once, in order and of one generation: the
/// stand-in's tokens name their generation and index.
fn check_tokens(text: &str, expected: u32) -> Result<(), String> {
    let mut generation = None;
    let mut count = 0;
    for token in text.split_whitespace() {
        let Some((id, index)) = token.rsplit_once(':') else {
            return Err(format!("a token that no engine generated: {token}"));
        };
        if *generation.get_or_insert(id) != id {
            return Err("an answer of two generations".to_owned());
        }
        if index.parse() != Ok(count) {
            return Err(format!("token {index} in place of token {count}"));
        }
        count += 1;
    }
    match count == expected {
        true => Ok(()),
        false => Err(format!("{count} tokens in place of {expected}")),
    }
}

fn refused(status: StatusCode, headers: &HeaderMap) -> Sending {
    let retry_after = headers.get("retry-after");
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    match seconds {
        Some(seconds) => Sending::Again {
            after: Duration::from_secs(seconds),
        },
        None if status.is_server_error() => Sending::Again {
            after: RESEND_PAUSE,
        },
        None => Sending::Wrong(format!("refused with {status}")),
    }
}

fn ms_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}
