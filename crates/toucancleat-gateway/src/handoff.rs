//! Hands a request off to a peer, and serves the requests that peers hand off.
//!
//! A peer serves such a request as if its caller had sent it there, and its answer is passed on.
//! It listens at the address at which it receives messages, for TCP.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode, Version};
use tokio::net::TcpListener;
use toucancleat_fleet::event_stream::EventStream;
use toucancleat_fleet::prelude::*;
use toucancleat_platform::answer::{
    EVENT_EXTENSION_FIELDS, PeerAnswerClass, classify_peer_answer,
};
use toucancleat_platform::caller::handoff_headers;

use crate::attempt::{Answer, Outbound, has_body, is_framed, is_stream, read_answer};
use crate::callers::serve_connection;
use crate::clock;
use crate::connection::{Connection, Driver, set_options};
use crate::host::{Host, OpenRequest};
use crate::memory::HeldBytes;
use crate::request::Origin;
use crate::stream_body::{ANSWERED, EventSender, StreamBody, stream_body};

/// The result of a handoff.
#[derive(Debug)]
pub enum HandoffResult {
    /// The handoff ended, with an answer that isn't a stream or with none.
    Ended {
        /// How it ended.
        outcome: HandoffOutcome,
        /// The answer, if there is one to forward.
        answer: Option<Answer>,
    },
    /// The peer started to answer with a stream.
    Stream(PeerStream),
}

/// The head of a peer's answer that is a stream, and the connection that delivers its body.
#[derive(Debug)]
pub struct PeerStream {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers as the peer sent them.
    pub headers: HeaderMap,
    body: Incoming,
    _driver: Driver,
}

/// Sends a request to a peer and waits for the complete answer, or for the head of a stream.
pub async fn hand_off(
    host: &Host,
    outbound: &Outbound,
    handoff: &Handoff,
) -> HandoffResult {
    let began_ms = clock::now_ms();
    let remaining_ms = handoff.deadline_ms.saturating_sub(began_ms);
    let sending = send(host, outbound, handoff, remaining_ms);
    let timeout = Duration::from_millis(remaining_ms);
    let result = match tokio::time::timeout(timeout, sending).await {
        Ok(Ok(result)) => result,
        Ok(Err(outcome)) => ended(outcome),
        Err(_) => ended(HandoffOutcome::TimedOut),
    };
    let outcome = match &result {
        HandoffResult::Ended { outcome, .. } => outcome_name(*outcome),
        HandoffResult::Stream(_) => "stream",
    };
    host.metrics.count_handoff(outcome);
    log::info!(
        request:% = outbound.attempt_id,
        peer:% = handoff.host,
        outcome,
        took_ms = clock::now_ms().saturating_sub(began_ms);
        "request handed off to a peer"
    );
    result
}

fn ended(outcome: HandoffOutcome) -> HandoffResult {
    HandoffResult::Ended {
        outcome,
        answer: None,
    }
}

async fn send(
    host: &Host,
    outbound: &Outbound,
    handoff: &Handoff,
    remaining_ms: u64,
) -> Result<HandoffResult, HandoffOutcome> {
    let connection = Connection::open(handoff.address)
        .await
        .map_err(|_| HandoffOutcome::NotSent)?;
    let mut request = Request::new(Full::new(outbound.body.bytes.clone()));
    *request.method_mut() = outbound.parts.method.clone();
    *request.uri_mut() = outbound.parts.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = handoff_headers(&outbound.parts, remaining_ms);
    let sent = connection.send(request).await;
    let (response, driver) = sent.map_err(|_| HandoffOutcome::Interrupted)?;
    let (head, body) = response.into_parts();
    let class = classify_peer_answer(&outbound.attempt_id, head.status, &head.headers);
    let outcome = match class {
        PeerAnswerClass::Answer => HandoffOutcome::Answered,
        PeerAnswerClass::Refusal => HandoffOutcome::Refused,
        PeerAnswerClass::Unverified => return Err(HandoffOutcome::Interrupted),
    };
    let has_body = has_body(&outbound.parts.method, head.status);
    if head.status.is_success() && has_body && !is_framed(&head.headers) {
        // N.B. each answer of a peer has a length or chunks, so the head has been cut off.
        log::warn!(
            request:% = outbound.attempt_id,
            peer:% = handoff.host;
            "a peer's answer has neither a length nor chunks; closing the connection"
        );
        return Err(HandoffOutcome::Interrupted);
    }
    if head.status.is_success() && is_stream(&head.headers) {
        return Ok(HandoffResult::Stream(PeerStream {
            status: head.status,
            headers: head.headers,
            body,
            _driver: driver,
        }));
    }
    let body = read_answer(host, handoff.host.as_str(), body)
        .await
        .ok_or(HandoffOutcome::Interrupted)?;
    let answer = Some(Answer {
        status: head.status,
        headers: head.headers,
        body,
    });
    Ok(HandoffResult::Ended { outcome, answer })
}

/// Starts to pass a peer's stream on, and returns the body of the answer.
pub fn pass_on(
    host: Rc<Host>,
    open_request: OpenRequest,
    outbound: Rc<Outbound>,
    handoff: Handoff,
    stream: PeerStream,
) -> StreamBody {
    let (events, body) = stream_body();
    tokio::task::spawn_local(async move {
        let outcome = tokio::select! {
            outcome = pass_events(&host, stream, &events) => outcome,
            () = clock::sleep_until(handoff.deadline_ms) => "timed_out",
            () = events.closed() => "caller_left",
        };
        log::info!(request:% = outbound.attempt_id, peer:% = handoff.host, outcome; "stream of a peer ended");
        host.metrics.count_request(outcome);
        if outcome == ANSWERED {
            events.complete();
        }
        drop(open_request);
    });
    body
}

/// Passes whole events on, in order, until the stream ends or an event is missing. A peer that is
/// killed may stop in the middle of one.
async fn pass_events(
    host: &Host,
    mut stream: PeerStream,
    events: &EventSender,
) -> &'static str {
    let mut received_stream = EventStream::new(&EVENT_EXTENSION_FIELDS);
    received_stream.begin_run(true);
    let mut pending = host.answer_memory.start_reservation();
    while let Some(frame) = stream.body.frame().await {
        let Ok(frame) = frame else {
            return "target_failed";
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let received = received_stream.receive(&bytes);
        let length = received.bytes.len() as u64;
        let Ok(reservation) = host.answer_memory.reserve(length) else {
            return "target_failed";
        };
        let pending_bytes = received_stream.pending_bytes() as u64;
        if pending.resize(pending_bytes).is_err() {
            return "target_failed";
        }
        if received.count > 0 {
            let held = HeldBytes::new(Bytes::from(received.bytes), reservation);
            if events.send(held).await.is_err() {
                return "caller_left";
            }
        }
        if received.fault.is_some() {
            return "target_failed";
        }
    }
    if received_stream.has_partial_event() {
        "target_failed"
    } else {
        ANSWERED
    }
}

/// Serves the requests that peers hand off, until the process exits.
pub async fn serve(host: Rc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_options(&stream);
                let serving = serve_connection(host.clone(), stream, Origin::Peer);
                tokio::task::spawn_local(serving);
            }
            Err(error) => {
                log::warn!(error:% = error; "could not accept a peer's connection; waiting for the next");
                tokio::task::yield_now().await;
            }
        }
    }
}

fn outcome_name(outcome: HandoffOutcome) -> &'static str {
    match outcome {
        HandoffOutcome::Answered => "answered",
        HandoffOutcome::Refused => "refused",
        HandoffOutcome::NotSent => "not_sent",
        HandoffOutcome::Interrupted => "broken",
        HandoffOutcome::TimedOut => "silent",
    }
}
