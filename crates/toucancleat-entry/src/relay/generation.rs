//! One attempt of a generation at a model engine, or the resumption of its stream.

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use tokio::time::timeout_at;
use toucancleat_core::generation::{self as delivery, Cursor};
use toucancleat_core::prelude::*;
use toucancleat_core::requests::{InterruptionCause, Outcome};
use toucancleat_core::{Event, streams};

use super::answer;
use super::response::ResponseSender;
use super::stream::{Context, StreamRelay};
use crate::driver::Input;
use crate::engine::{self, EngineStream, StartReply, StartRequest};

/// Sends the request to an engine and relays its tokens to the caller.
pub(super) async fn attempt(
    context: Context<'_>,
    response: &mut ResponseSender,
) -> Outcome {
    let mut stream = StreamRelay::new(context, response);
    let outcome = match start(&mut stream).await {
        Ok(reader) => stream.run(reader).await,
        Err(outcome) => outcome,
    };
    end_unread(&stream, &outcome);
    outcome
}

/// Relays the rest of a resumed stream; returns `None` if the engine no longer has it.
pub(super) async fn resume(
    context: Context<'_>,
    response: &mut ResponseSender,
    cursor: &Cursor,
) -> Option<Outcome> {
    let mut stream = StreamRelay::resumed(context, response, cursor);
    let reader = stream.resume(cursor.next_index).await?;
    let event = streams::Event::Resumed {
        request: stream.context.arrival.request,
        generation: cursor.generation,
        target: cursor.target.clone(),
        from_index: cursor.next_index,
    };
    let host = stream.context.host;
    host.notify_driver(Input::Event(Event::Streams(event)));
    let outcome = stream.run(reader).await;
    end_unread(&stream, &outcome);
    Some(outcome)
}

/// Ends a generation whose stream is no longer read.
///
/// If the caller has disconnected and can resume the stream, the reducer keeps the
/// generation for a grace period; any other generation is cancelled at once.
fn end_unread(stream: &StreamRelay<'_>, outcome: &Outcome) {
    let is_ended = matches!(outcome, Outcome::Finished { .. } | Outcome::NotBegun { .. });
    if is_ended {
        return;
    }
    if *outcome == Outcome::CallerDisconnected && stream.is_resumable() {
        let event = streams::Event::CallerDisconnected {
            generation: stream.generation,
            target: stream.context.dispatch.target.clone(),
        };
        let host = stream.context.host;
        host.notify_driver(Input::Event(Event::Streams(event)));
        return;
    }
    let host = stream.context.host.clone();
    let address = stream.context.address;
    let generation = stream.generation;
    tokio::spawn(async move {
        engine::cancel(&host.pooled, address, generation).await;
    });
}

async fn start(stream: &mut StreamRelay<'_>) -> Result<EngineStream, Outcome> {
    let host = stream.context.host;
    let generation = stream.generation;
    stream.apply_delivery_event(delivery::Event::Started { generation });
    stream.apply_delivery_event(delivery::Event::Sent);
    let request = StartRequest {
        address: stream.context.address,
        path: stream.context.work.path,
        body: stream.context.work.body.clone(),
        generation: stream.generation,
        priority: stream.context.dispatch.priority,
        deadline_unix_ms: stream.context.dispatch.deadline_ms,
    };
    let until = stream.silence_deadline(None);
    let client = if stream.config.idempotent {
        &host.pooled
    } else {
        &host.unpooled
    };
    let outlives_caller = stream.context.arrival.needs_claim();
    let start = tokio::select! {
        start = timeout_at(until, engine::start(client, request)) => start,
        () = stream.response.disconnected(), if !outlives_caller => {
            return Err(Outcome::CallerDisconnected)
        }
    };
    match start {
        Ok(StartReply::Streaming(stream)) => Ok(stream),
        Ok(StartReply::NotBegun { retry_after_ms }) => {
            Err(Outcome::NotBegun { retry_after_ms })
        }
        Ok(StartReply::Rejected { status, body }) => {
            Err(forward_rejection(stream, status, body))
        }
        Ok(StartReply::Unknown { detail }) => {
            log::warn!(
                request = stream.context.arrival.request.to_string(),
                target_name = stream.context.dispatch.target.as_str();
                "the engine started no stream; the attempt is interrupted: {detail}"
            );
            Err(stream.interrupted(InterruptionCause::Disconnected))
        }
        Err(_) => Err(stream.interrupted(stream.timeout_cause())),
    }
}

/// Forwards an engine's rejection of an invalid request to the caller.
fn forward_rejection(
    stream: &mut StreamRelay<'_>,
    status: StatusCode,
    body: Bytes,
) -> Outcome {
    let json = Some(HeaderValue::from_static(answer::JSON));
    let response = answer::response(status, json, Verdict::NotRun, body);
    match stream.response.respond(response) {
        Ok(()) => Outcome::Finished {
            tokens: 0,
            first_token_ms: 0,
            answer: None,
        },
        Err(_) => Outcome::CallerDisconnected,
    }
}
