//! Sends one attempt of a request to one target and classifies how it ends.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode, Version, header};
use toucancleat_fleet::prelude::*;
use toucancleat_platform::answer::{AnswerClass, classify_answer, decode_notice};
use toucancleat_platform::caller::{
    ForwardedRequest, KvCacheLocation, forwarded_headers,
};

use crate::clock;
use crate::connection::{Connection, Driver};
use crate::event_log::version_text;
use crate::host::{Host, RunEnd};
use crate::memory::HeldBytes;

/// Maximum size in bytes of an answer that isn't a stream. Such an answer is buffered
/// until it is complete, so that an interrupted one can be retried at another target.
const ANSWER_MAX_BYTES: usize = 8 * 1_048_576;

/// Media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// A request as it is forwarded to targets.
#[derive(Debug)]
pub struct Outbound {
    /// The id that the caller gave this attempt.
    pub attempt_id: Arc<str>,
    /// The id of the attempt that brought the first event, if the caller resumes a stream.
    pub resumed_attempt_id: Option<Arc<str>>,
    /// The head of the caller's request.
    pub parts: Parts,
    /// The body of the caller's request.
    pub body: HeldBytes,
}

/// The point from which an interrupted or migrated stream is resumed.
#[derive(Clone, Debug, Default)]
pub struct Resumption {
    /// The id of the last event that was forwarded to the caller.
    pub last_event_id: Option<u64>,
    /// The address of the engine that holds the KV cache of the run, and the engine's
    /// handle of that KV cache.
    pub kv_cache: Option<(std::net::SocketAddr, String)>,
}

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The attempt ended, with an answer that isn't a stream or with none.
    Ended {
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The answer, if there is one to forward.
        answer: Option<Answer>,
    },
    /// The target started to answer with a stream.
    Stream(StreamStart),
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers as the target sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: HeldBytes,
}

/// The head of an answer that is a stream, and the connection that delivers its body.
#[derive(Debug)]
pub struct StreamStart {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers as the target sent them.
    pub headers: HeaderMap,
    /// The connection of the stream.
    pub upstream: Upstream,
}

/// The connection that a stream arrives on; dropping it closes the connection, and the
/// target ends the run.
#[derive(Debug)]
pub struct Upstream {
    /// The bytes of the stream.
    pub body: Incoming,
    /// Whether the body is chunked or has a length, so that its end differs from a connection
    /// that is closed midway.
    pub is_framed: bool,
    _driver: Driver,
}

/// Sends a request to a target and waits for the complete answer, or for the head of a
/// stream.
pub async fn run_attempt(
    host: &Rc<Host>,
    outbound: &Outbound,
    dispatch: &Dispatch,
    resumption: &Resumption,
    run_end: &RunEnd,
) -> AttemptResult {
    let began_ms = clock::now_ms();
    let result = tokio::select! {
        biased;
        result = send_request(host, outbound, dispatch, resumption) => result,
        () = run_end.wait() => Err(AttemptOutcome::Interrupted),
    };
    let took_ms = clock::now_ms().saturating_sub(began_ms);
    let (outcome, answer) = match result {
        Ok(AttemptResult::Stream(start)) => {
            log_attempt(outbound, dispatch, "stream", took_ms);
            return AttemptResult::Stream(start);
        }
        Ok(AttemptResult::Ended { outcome, answer }) => (outcome, answer),
        Err(outcome) => (outcome, None),
    };
    let name = outcome_name(outcome);
    host.metrics.count_attempt(name);
    log_attempt(outbound, dispatch, name, took_ms);
    AttemptResult::Ended { outcome, answer }
}

async fn send_request(
    host: &Host,
    outbound: &Outbound,
    dispatch: &Dispatch,
    resumption: &Resumption,
) -> Result<AttemptResult, AttemptOutcome> {
    let began_ms = clock::now_ms();
    let connection = Connection::open(dispatch.address)
        .await
        .map_err(|_| AttemptOutcome::NotSent)?;
    let request = build_request(outbound, dispatch, resumption);
    let timeout =
        Duration::from_millis(dispatch.attempt_deadline_ms.saturating_sub(began_ms));
    let head = tokio::time::timeout(timeout, connection.send(request))
        .await
        .map_err(|_| AttemptOutcome::TimedOut)?;
    let (response, driver) = head.map_err(|_| AttemptOutcome::Interrupted)?;
    let (head, body) = response.into_parts();
    record_notice(host, outbound, dispatch, head.status, &head.headers);
    match classify_answer(&outbound.attempt_id, head.status, &head.headers) {
        AnswerClass::Declined => return Err(AttemptOutcome::Declined),
        AnswerClass::Misdirected => return Err(AttemptOutcome::Misdirected),
        AnswerClass::Unverified => return Err(AttemptOutcome::Interrupted),
        AnswerClass::Success if is_stream(&head.headers) => {
            let is_framed = is_framed(&head.headers);
            return Ok(AttemptResult::Stream(StreamStart {
                status: head.status,
                headers: head.headers,
                upstream: Upstream {
                    body,
                    is_framed,
                    _driver: driver,
                },
            }));
        }
        AnswerClass::Success if dispatch.retry_safety.is_stream() => {
            log::warn!(
                request:% = outbound.attempt_id,
                target_name:% = dispatch.target;
                "a target's answer is no stream of events where one is due; closing the connection"
            );
            return Err(AttemptOutcome::Interrupted);
        }
        AnswerClass::Success | AnswerClass::Failure => {}
    }
    let remaining_ms = dispatch.deadline_ms.saturating_sub(clock::now_ms());
    let timeout = Duration::from_millis(remaining_ms);
    let sender = dispatch.target.as_str();
    let body = tokio::time::timeout(timeout, read_answer(host, sender, body))
        .await
        .map_err(|_| AttemptOutcome::TimedOut)?
        .ok_or(AttemptOutcome::Interrupted)?;
    let lacks_proof = body.bytes.is_empty() && !is_framed(&head.headers);
    if lacks_proof
        && head.status.is_success()
        && has_body(&outbound.parts.method, head.status)
    {
        // N.B. the head may have been cut off: a blank line and the end of the connection are all
        // that such an answer ends with.
        log::warn!(
            request:% = outbound.attempt_id,
            target_name:% = dispatch.target;
            "a target's answer has neither a length nor a body; closing the connection"
        );
        return Err(AttemptOutcome::Interrupted);
    }
    let outcome = if head.status.is_success() {
        AttemptOutcome::Answered {
            took_ms: clock::now_ms().saturating_sub(began_ms),
        }
    } else {
        AttemptOutcome::ErrorAnswer
    };
    Ok(AttemptResult::Ended {
        outcome,
        answer: Some(Answer {
            status: head.status,
            headers: head.headers,
            body,
        }),
    })
}

/// Reads the body of an answer, or returns `None` if it is interrupted, too long, or exceeds
/// the bound on all answers.
pub async fn read_answer(
    host: &Host,
    sender: &str,
    mut body: Incoming,
) -> Option<HeldBytes> {
    let mut reservation = host.answer_memory.start_reservation();
    // N.B. the parts are joined at once. A list of them would take many times their length if
    // they are short.
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.ok()?.into_data() else {
            continue;
        };
        let length = bytes.len() + part.len();
        if length > ANSWER_MAX_BYTES || reservation.resize(length as u64).is_err() {
            log::warn!(sender, bytes = length; "answer exceeds the bound on one answer or on all; closing the connection");
            return None;
        }
        bytes.extend_from_slice(&part);
    }
    let bytes = bytes.freeze();
    Some(HeldBytes::new(bytes, reservation))
}

/// Tells the reducer what an answer reports about its target. An invalid report leaves the
/// last valid one in force.
fn record_notice(
    host: &Host,
    outbound: &Outbound,
    dispatch: &Dispatch,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let target = &dispatch.target;
    match decode_notice(&outbound.attempt_id, status, headers) {
        Ok(Some(notice)) => host.apply(Event::NoticeReceived {
            target: target.clone(),
            notice,
        }),
        Ok(None) => {}
        Err(error) => {
            host.metrics.invalid_notices.inc();
            log::debug!(target_name:% = target, error:% = error; "could not read what an answer reports about its target; keeping the last report");
        }
    }
}

fn build_request(
    outbound: &Outbound,
    dispatch: &Dispatch,
    resumption: &Resumption,
) -> Request<Full<Bytes>> {
    let last_event_id = resumption.last_event_id.map(|id| id.to_string());
    let headers = forwarded_headers(
        &outbound.parts,
        &ForwardedRequest {
            target: &dispatch.target,
            remaining_ms: dispatch.deadline_ms.saturating_sub(clock::now_ms()),
            organisation: dispatch.organisation.as_ref(),
            priority: dispatch.priority,
            last_event_id: last_event_id.as_deref(),
            kv_cache: resumption.kv_cache.as_ref().map(|(source, handle)| {
                KvCacheLocation {
                    source: *source,
                    handle,
                }
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

/// Returns true if the body of an answer is a stream of events.
pub fn is_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok())
        .is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

fn log_attempt(outbound: &Outbound, dispatch: &Dispatch, outcome: &str, took_ms: u64) {
    let inputs = &dispatch.inputs;
    log::info!(
        request:% = outbound.attempt_id,
        target_name:% = dispatch.target,
        attempt = inputs.attempt,
        outcome,
        took_ms,
        cost = inputs.cost,
        target_version = version_text(inputs.target_version.as_ref()),
        resumes = outbound.resumed_attempt_id.as_deref().unwrap_or_default(),
        configuration_version = inputs.configuration_version,
        configuration_age_ms = inputs.configuration_age_ms,
        targets_version = inputs.host_list_version,
        hosts_heard = inputs.live_peers,
        limited_targets = inputs.limited_targets,
        evacuated_zones = inputs.evacuated_zones;
        "request attempt outcome"
    );
}

/// Returns true if the body of an answer is chunked or has a length, so that its end differs from a
/// connection that is closed midway.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
        || headers.contains_key(header::CONTENT_LENGTH)
}

/// Returns true if successful answers to a method have a body.
pub fn has_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD && status != StatusCode::NO_CONTENT
}

/// Returns the name of an outcome in logs and metrics.
pub fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered { .. } => "answered",
        AttemptOutcome::ErrorAnswer => "error_answer",
        AttemptOutcome::Declined => "declined",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Interrupted => "broken",
        AttemptOutcome::TimedOut => "silent",
    }
}
