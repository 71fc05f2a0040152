//! One attempt at one target.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode, Version, header};
use toucancleat_fleet::prelude::*;
use toucancleat_platform::answer::{Meaning, inspect};
use toucancleat_platform::caller::{Forward, MemoryAt, forward};

use crate::bodies::Body;
use crate::clock;
use crate::connection::{Connection, Driver};
use crate::host::Host;

/// Most bytes of an answer that isn't a stream. It is kept whole until its end, so that
/// one that breaks off can be asked for elsewhere.
const ANSWER_MAX_BYTES: usize = 8 * 1_048_576;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// A request as it is sent on.
#[derive(Debug)]
pub struct Outbound {
    /// The caller's name for it.
    pub name: Arc<str>,
    /// Its head.
    pub parts: Parts,
    /// Its body.
    pub body: Body,
}

/// From where a stream goes on.
#[derive(Clone, Debug, Default)]
pub struct Resumption {
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The memory of the run, by the engine that it was at and its name there.
    pub memory: Option<(std::net::SocketAddr, String)>,
}

/// What came of an attempt.
#[derive(Debug)]
pub enum Attempt {
    /// An answer that isn't a stream, or none.
    Plain {
        /// How it ended.
        outcome: Outcome,
        /// The answer.
        answer: Option<Answer>,
    },
    /// A stream has begun.
    Stream(StreamStart),
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers as the target sent them.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A stream that has begun.
#[derive(Debug)]
pub struct StreamStart {
    /// Its status.
    pub status: StatusCode,
    /// Its headers as the target sent them.
    pub headers: HeaderMap,
    /// What comes of it.
    pub upstream: Upstream,
}

/// A stream's connection; dropping it ends the run.
#[derive(Debug)]
pub struct Upstream {
    /// The stream.
    pub body: Incoming,
    /// Whether its end can be told from a close in the middle.
    pub is_framed: bool,
    _driver: Driver,
}

/// Sends a request to a target and waits for its answer, or for its stream to begin.
pub async fn attempt(
    host: &Rc<Host>,
    outbound: &Outbound,
    dispatch: &Dispatch,
    resumption: &Resumption,
) -> Attempt {
    let began_ms = clock::now_ms();
    let result = exchange(outbound, dispatch, resumption).await;
    let took_ms = clock::now_ms().saturating_sub(began_ms);
    let (outcome, answer) = match result {
        Ok(Attempt::Stream(start)) => {
            log_attempt(outbound, dispatch, "stream", took_ms);
            return Attempt::Stream(start);
        }
        Ok(Attempt::Plain { outcome, answer }) => (outcome, answer),
        Err(outcome) => (outcome, None),
    };
    let name = outcome_name(outcome);
    host.metrics.count_attempt(name);
    log_attempt(outbound, dispatch, name, took_ms);
    Attempt::Plain { outcome, answer }
}

async fn exchange(
    outbound: &Outbound,
    dispatch: &Dispatch,
    resumption: &Resumption,
) -> Result<Attempt, Outcome> {
    let began_ms = clock::now_ms();
    let connection = Connection::open(dispatch.address)
        .await
        .map_err(|_| Outcome::NotSent)?;
    let request = build(outbound, dispatch, resumption);
    let patience = Duration::from_millis(dispatch.answer_by_ms.saturating_sub(began_ms));
    let head = tokio::time::timeout(patience, connection.send(request))
        .await
        .map_err(|_| Outcome::Silent)?;
    let (response, driver) = head.map_err(|_| Outcome::Broken)?;
    let (head, body) = response.into_parts();
    match inspect(&outbound.name, head.status, &head.headers) {
        Meaning::Declined => return Err(Outcome::Declined),
        Meaning::Misdirected => return Err(Outcome::Misdirected),
        Meaning::Foreign => return Err(Outcome::Broken),
        Meaning::Success if is_stream(&head.headers) => {
            let is_framed = head.headers.contains_key(header::TRANSFER_ENCODING)
                || head.headers.contains_key(header::CONTENT_LENGTH);
            return Ok(Attempt::Stream(StreamStart {
                status: head.status,
                headers: head.headers,
                upstream: Upstream {
                    body,
                    is_framed,
                    _driver: driver,
                },
            }));
        }
        Meaning::Success | Meaning::Failure => {}
    }
    let left_ms = dispatch.give_up_at_ms.saturating_sub(clock::now_ms());
    let patience = Duration::from_millis(left_ms);
    let whole = Limited::new(body, ANSWER_MAX_BYTES).collect();
    let body = tokio::time::timeout(patience, whole)
        .await
        .map_err(|_| Outcome::Silent)?
        .map_err(|_| Outcome::Broken)?
        .to_bytes();
    let outcome = if head.status.is_success() {
        Outcome::Answered {
            took_ms: clock::now_ms().saturating_sub(began_ms),
        }
    } else {
        Outcome::ErrorAnswer
    };
    Ok(Attempt::Plain {
        outcome,
        answer: Some(Answer {
            status: head.status,
            headers: head.headers,
            body,
        }),
    })
}

fn build(
    outbound: &Outbound,
    dispatch: &Dispatch,
    resumption: &Resumption,
) -> Request<Full<Bytes>> {
    let last_event = resumption.last_event.map(|id| id.to_string());
    let headers = forward(
        &outbound.parts,
        &Forward {
            target: &dispatch.target,
            left_ms: dispatch.give_up_at_ms.saturating_sub(clock::now_ms()),
            organisation: dispatch.organisation.as_ref(),
            priority: dispatch.priority,
            last_event: last_event.as_deref(),
            memory: resumption.memory.as_ref().map(|(source, handle)| MemoryAt {
                source: *source,
                handle,
            }),
        },
    );
    let mut request = Request::new(Full::new(outbound.body.bytes.clone()));
    *request.method_mut() = outbound.parts.method.clone();
    *request.uri_mut() = outbound.parts.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    request
}

fn is_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok())
        .is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

fn log_attempt(outbound: &Outbound, dispatch: &Dispatch, outcome: &str, took_ms: u64) {
    let basis = &dispatch.basis;
    log::info!(
        request:% = outbound.name,
        target_name:% = dispatch.target,
        attempt = basis.attempt,
        outcome,
        took_ms,
        cost = basis.cost,
        configuration_version = basis.configuration_version,
        configuration_age_ms = basis.configuration_age_ms,
        targets_version = basis.targets_version,
        hosts_heard = basis.hosts_heard;
        "an attempt at a target"
    );
}

/// Returns a short name for logs and metrics.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { .. } => "answered",
        Outcome::ErrorAnswer => "error_answer",
        Outcome::Declined => "declined",
        Outcome::Misdirected => "misdirected",
        Outcome::NotSent => "not_sent",
        Outcome::Broken => "broken",
        Outcome::Silent => "silent",
    }
}
