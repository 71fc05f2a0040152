//! Whole answers: assembled from tokens, or replayed for a repeated idempotency key.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, StatusCode};
use serde::Deserialize;
use serde_json::json;
use toucancleat_core::claims::{StoredAnswer, StoredBody};
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::{Problem, Refusal};
use volo_http::body::Body;
use volo_http::response::Response;

use super::response::ResponseSender;
use crate::host::Host;

/// Delay after which a caller may retry when a stored answer can't be read.
const RETRY_AFTER_MS: u64 = 1_000;
/// Media type of an assembled answer.
pub(super) const JSON: &str = "application/json";
/// Header that marks a replayed answer.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Assembles the JSON body of an answer from its chunks.
///
/// Returns `None` if a chunk doesn't follow the engine's protocol.
pub(super) fn assemble(
    request: RequestId,
    path: &str,
    chunks: &[String],
) -> Option<String> {
    let mut text = String::new();
    let mut finish_reason = None;
    for chunk in chunks {
        let chunk: Chunk = serde_json::from_str(chunk).ok()?;
        let choice = chunk.choices.into_iter().next()?;
        let piece = choice
            .text
            .or_else(|| choice.delta.and_then(|delta| delta.content));
        text.push_str(&piece.unwrap_or_default());
        finish_reason = choice.finish_reason.or(finish_reason);
    }
    let usage = json!({ "completion_tokens": chunks.len() });
    let body = if path == crate::callers::CHAT_PATH {
        let message = json!({ "role": "assistant", "content": text });
        json!({
            "id": request.to_string(),
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": message, "finish_reason": finish_reason }],
            "usage": usage,
        })
    } else {
        json!({
            "id": request.to_string(),
            "object": "text_completion",
            "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
            "usage": usage,
        })
    };
    Some(body.to_string())
}

/// Creates a response with a whole body and its verdict.
pub(super) fn response(
    status: StatusCode,
    content_type: Option<HeaderValue>,
    verdict: Verdict,
    body: Bytes,
) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    let verdict = HeaderValue::from_static(verdict.as_str());
    response.headers_mut().insert("x-verdict", verdict);
    response
}

/// Returns the verdict that the status of a service's answer proves: a server error
/// leaves open whether the request took effect.
pub(super) fn verdict_of_status(status: StatusCode) -> Verdict {
    if status.is_server_error() {
        Verdict::MayHaveRun
    } else {
        Verdict::Ran
    }
}

/// Replays the stored answer to an earlier request with the same idempotency key.
pub(super) async fn replay(
    host: &Host,
    request: RequestId,
    stored: StoredAnswer,
    sender: &mut ResponseSender,
) {
    let body = match stored.body {
        StoredBody::Text(text) => Some(Bytes::from(text)),
        StoredBody::Object(name) => host.platform.get_object(&name).await.ok().flatten(),
        _ => None,
    };
    let (Some(body), Ok(status)) = (body, StatusCode::from_u16(stored.status)) else {
        let detail = "the request ran; its stored answer can't be read just now";
        let refusal = Refusal::not_run(Problem::ClaimsUnavailable, detail)
            .with_verdict(Verdict::Ran)
            .with_retry_after_ms(RETRY_AFTER_MS);
        host.metrics.count_refusal(&refusal);
        sender.refuse(request, &refusal).await;
        return;
    };
    let content_type = HeaderValue::from_str(&stored.content_type).ok();
    let mut response = response(status, content_type, verdict_of_status(status), body);
    response
        .headers_mut()
        .insert(REPLAYED, HeaderValue::from_static("true"));
    // A caller that has disconnected may repeat the request under its key.
    let _ = sender.respond(response);
}
