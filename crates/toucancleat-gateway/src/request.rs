//! Serves one request of a caller, from its head to its answer.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, header};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::request::Fingerprint;
use toucancleat_platform::{answer, caller};

use crate::attempt::{Answer, AttemptResult, Outbound, Resumption, run_attempt};
use crate::bodies::BodyError;
use crate::clock;
use crate::handoff::{HandoffResult, hand_off, pass_on};
use crate::host::{Command, Host, OpenRequest};
use crate::memory::HeldBytes;
use crate::relay::Relay;
use crate::stream_body::{Interrupted, StreamBody};
use crate::timeouts::ActiveRequest;

/// Value of `Retry-After` for a body that didn't fit into memory: about the time that most
/// requests take, after which their bodies are freed.
const BODY_RETRY_AFTER_S: u16 = 1;

/// Where a request was received from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From its caller.
    Caller,
    /// From a peer without a path to the targets, which hands it off.
    Peer,
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub struct AnswerBody {
    content: Content,
    _active_request: ActiveRequest,
}

#[derive(Debug)]
enum Content {
    Complete(Option<HeldBytes>),
    Stream(StreamBody),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match &mut self.content {
            Content::Complete(bytes) => {
                Poll::Ready(bytes.take().map(|held| Ok(Frame::data(held.bytes))))
            }
            Content::Stream(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => {
                let length = bytes.as_ref().map_or(0, |held| held.bytes.len());
                SizeHint::with_exact(length as u64)
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// Serves one request.
///
/// Fails if the request ends without an answer that could be given to the caller.
pub async fn serve(
    host: Rc<Host>,
    active_request: ActiveRequest,
    request: Request<Incoming>,
    origin: Origin,
) -> Result<Response<AnswerBody>, Interrupted> {
    let (parts, body) = request.into_parts();
    let arrived_ms = clock::now_ms();
    let body = match host.body_reader.read(body, &host.caller_limits()).await {
        Ok(body) => body,
        Err(error) => return Ok(refuse_body(error, active_request)),
    };
    let mut incoming = caller::decode_request(&parts);
    incoming.is_handed_off = origin == Origin::Peer;
    incoming.fingerprint = fingerprint(&parts.uri, &incoming, &body.bytes);
    let spent_ms = clock::now_ms().saturating_sub(arrived_ms);
    incoming.time_limit_ms = incoming
        .time_limit_ms
        .map(|limit_ms| limit_ms.saturating_sub(spent_ms));
    let Some(open_request) = host.open_request() else {
        return Err(Interrupted);
    };
    let outbound = Rc::new(Outbound {
        attempt_id: incoming.attempt_id.clone(),
        resumed_attempt_id: incoming.resumed_attempt_id.clone(),
        parts,
        body,
    });
    host.apply(Event::RequestReceived {
        request_number: open_request.request_number,
        request: incoming,
    });
    let mut response =
        answer_request(&host, open_request, outbound, arrived_ms, active_request).await?;
    if host.subscribe_stop().borrow().is_some() {
        disable_keep_alive(&mut response);
    }
    Ok(response)
}

/// Executes the reducer's commands for a request until there is an answer. A stream
/// continues in a [`Relay`].
async fn answer_request(
    host: &Rc<Host>,
    mut open_request: OpenRequest,
    outbound: Rc<Outbound>,
    arrived_ms: u64,
    active_request: ActiveRequest,
) -> Result<Response<AnswerBody>, Interrupted> {
    let mut last_answer: Option<Answer> = None;
    while let Some(command) = open_request.commands.recv().await {
        match command {
            Command::Dispatch(dispatch) => {
                let resumption = Resumption::default();
                let run_end = open_request.run_end.clone();
                let attempt =
                    run_attempt(host, &outbound, &dispatch, &resumption, &run_end);
                let result = tokio::select! {
                    biased;
                    result = attempt => result,
                    // The next command is the refusal.
                    () = host.wait_for_stop_deadline() => continue,
                };
                match result {
                    AttemptResult::Stream(start) => {
                        let headers = answer::forwarded_headers(&start.headers);
                        let status = start.status;
                        let (relay, body) = Relay::new(
                            host.clone(),
                            open_request,
                            outbound,
                            *dispatch,
                            start,
                        );
                        tokio::task::spawn_local(relay.run(arrived_ms));
                        let content = Content::Stream(body);
                        return Ok(build_response(
                            status,
                            headers,
                            content,
                            active_request,
                        ));
                    }
                    AttemptResult::Ended { outcome, answer } => {
                        last_answer = answer.or(last_answer);
                        let request_number = open_request.request_number;
                        host.apply(Event::AttemptEnded {
                            request_number,
                            outcome,
                        });
                    }
                }
            }
            Command::HandOff(handoff) => {
                let result = tokio::select! {
                    biased;
                    result = hand_off(host, &outbound, &handoff) => result,
                    () = host.wait_for_stop_deadline() => continue,
                };
                match result {
                    HandoffResult::Stream(stream) => {
                        let headers = answer::forwarded_headers(&stream.headers);
                        let status = stream.status;
                        let body = pass_on(
                            host.clone(),
                            open_request,
                            outbound,
                            handoff,
                            stream,
                        );
                        let content = Content::Stream(body);
                        return Ok(build_response(
                            status,
                            headers,
                            content,
                            active_request,
                        ));
                    }
                    HandoffResult::Ended { outcome, answer } => {
                        last_answer = answer.or(last_answer);
                        let request_number = open_request.request_number;
                        host.apply(Event::HandoffEnded {
                            request_number,
                            outcome,
                        });
                    }
                }
            }
            Command::ForwardAnswer => {
                let Some(answer) = last_answer else {
                    return Err(Interrupted);
                };
                let took_ms = clock::now_ms().saturating_sub(arrived_ms);
                log_end(&outbound, answer.status, "answered", took_ms);
                host.metrics.count_request("answered");
                host.metrics.answer_s.observe(took_ms as f64 / 1_000.0);
                let headers = answer::forwarded_headers(&answer.headers);
                let content = Content::Complete(Some(answer.body));
                return Ok(build_response(
                    answer.status,
                    headers,
                    content,
                    active_request,
                ));
            }
            Command::Refuse(refusal) => {
                return Ok(refuse(
                    host,
                    &outbound,
                    &refusal,
                    arrived_ms,
                    active_request,
                ));
            }
            Command::Migrate { .. }
            | Command::LeaveDestination
            | Command::NoDestination
            | Command::ResumeFromCopy => {
                let request_number = open_request.request_number;
                host.apply(Event::MigrationAbandoned {
                    request_number,
                    has_returned: false,
                });
            }
        }
    }
    Err(Interrupted)
}

fn refuse_body(error: BodyError, active_request: ActiveRequest) -> Response<AnswerBody> {
    let status = error.status();
    log::info!(reason:? = error, status = status.as_u16(); "request body refused");
    let mut headers = HeaderMap::new();
    if error == BodyError::NoRoom {
        headers.insert(
            header::RETRY_AFTER,
            header::HeaderValue::from(BODY_RETRY_AFTER_S),
        );
    }
    let content = Content::Complete(Some(Bytes::new().into()));
    let mut response = build_response(status, headers, content, active_request);
    disable_keep_alive(&mut response);
    response
}

fn refuse(
    host: &Host,
    outbound: &Outbound,
    refusal: &Refusal,
    arrived_ms: u64,
    active_request: ActiveRequest,
) -> Response<AnswerBody> {
    let status = answer::refusal_status(refusal);
    let took_ms = clock::now_ms().saturating_sub(arrived_ms);
    log::info!(
        request:% = outbound.attempt_id,
        reason = refusal.reason.as_str(),
        verdict = refusal.verdict.as_str(),
        status = status.as_u16(),
        retry_after_ms = refusal.retry_after_ms.unwrap_or_default(),
        took_ms;
        "request refused or failed"
    );
    host.metrics.count_request(refusal.reason.as_str());
    let body = serde_json::json!({
        "title": refusal.reason.as_str(),
        "status": status.as_u16(),
        "verdict": refusal.verdict.as_str(),
    });
    let mut headers = answer::refusal_headers(&outbound.attempt_id, refusal);
    let content_type = header::HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, content_type);
    let content = Content::Complete(Some(Bytes::from(body.to_string()).into()));
    build_response(status, headers, content, active_request)
}

fn log_end(outbound: &Outbound, status: StatusCode, outcome: &str, took_ms: u64) {
    let status = status.as_u16();
    log::info!(request:% = outbound.attempt_id, status, outcome, took_ms; "request ended");
}

fn build_response(
    status: StatusCode,
    headers: HeaderMap,
    content: Content,
    active_request: ActiveRequest,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody {
        content,
        _active_request: active_request,
    });
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn disable_keep_alive(response: &mut Response<AnswerBody>) {
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Returns a hash by which all hosts recognise a repeated request.
///
/// The hash isn't keyed with a secret, since all hosts have to compute the same value.
fn fingerprint(uri: &Uri, incoming: &IncomingRequest, body: &[u8]) -> Fingerprint {
    let mut hasher = DefaultHasher::new();
    (&incoming.hostname, uri, &incoming.api_key, body).hash(&mut hasher);
    hasher.finish()
}
