//! The handlers of completions and chat completions.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::{Map, Value};
use toucancleat_core::claims::BodyHash;
use toucancleat_core::generation::Cursor;
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::{Problem, Refusal};
use toucancleat_core::requests::Arrival;
use toucancleat_core::routing::prefix_hashes;
use toucancleat_core::settings::{Delivery, TargetClass};
use volo_http::request::Request;
use volo_http::response::Response;

use super::{AdmittedRequest, admit, body, refuse, start_relay, text_header};
use crate::host::Host;
use crate::relay::{GenerationWork, Work};

/// Request kind when the request has no `x-request-kind` header.
const DEFAULT_KIND: &str = "default";
/// Bytes of text per token, to estimate the length of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Handles one request to generate.
pub(super) async fn handle(
    host: Arc<Host>,
    path: &'static str,
    request: Request,
) -> Response {
    let id = RequestId(rand::random());
    match prepare(&host, path, id, request).await {
        Ok((arrival, work, admitted)) => {
            start_relay(host, arrival, work, admitted.in_progress).await
        }
        Err(refusal) => refuse(&host, id, &refusal),
    }
}

async fn prepare(
    host: &Arc<Host>,
    path: &'static str,
    id: RequestId,
    request: Request,
) -> Result<(Arrival, Work, AdmittedRequest), Refusal> {
    let (head, incoming) = request.into_parts();
    if head.method != Method::POST {
        let detail = format!("expected POST at {path}");
        return Err(Refusal::not_run(Problem::MethodNotAllowed, detail));
    }
    let admitted = admit(host, &head.headers, request_kind(&head.headers)?)?;
    if admitted.request_settings.class != TargetClass::ModelEngine {
        let detail = format!("requests of kind {} go to /services/", admitted.kind);
        return Err(Refusal::not_run(Problem::Unknown, detail));
    }
    let values = &admitted.request_settings.values;
    let bytes =
        body::read(incoming, values.max_body_bytes, host.config.body_timeout_ms).await?;
    let parsed = ParsedBody::parse(path, &bytes, values.max_output_tokens)?;
    let is_buffered = values.delivery == Delivery::Whole || !values.idempotent;
    let arrived_unix_ms = host.clock.now_ms();
    let arrival = build_arrival(id, arrived_unix_ms, path, &bytes, &parsed, &admitted);
    let work = GenerationWork {
        path,
        body: parsed.body,
        streamed: parsed.streamed,
        is_buffered,
    };
    let work = match open_cursor(host, &head.headers, &admitted)? {
        Some(cursor) => Work::Resume { work, cursor },
        None => Work::Generation(work),
    };
    Ok((arrival, work, admitted))
}

/// Opens the cursor of a caller that resumes a stream.
fn open_cursor(
    host: &Host,
    headers: &HeaderMap,
    admitted: &AdmittedRequest,
) -> Result<Option<Cursor>, Refusal> {
    let Some(text) = text_header(headers, "last-event-id")? else {
        return Ok(None);
    };
    let invalid = |detail: String| Refusal::not_run(Problem::CursorInvalid, detail);
    let request_settings = &admitted.request_settings;
    let cursor = host
        .cursor_keys
        .open(&request_settings.organisation, text)
        .map_err(|error| invalid(error.to_string()))?;
    if cursor.kind != admitted.kind || cursor.live_event != request_settings.live_event {
        let detail = "the cursor belongs to another request kind or live event";
        return Err(invalid(detail.to_owned()));
    }
    Ok(Some(cursor))
}

fn request_kind(headers: &HeaderMap) -> Result<&str, Refusal> {
    Ok(text_header(headers, "x-request-kind")?.unwrap_or(DEFAULT_KIND))
}

fn build_arrival(
    id: RequestId,
    arrived_unix_ms: u64,
    path: &str,
    bytes: &[u8],
    parsed: &ParsedBody,
    admitted: &AdmittedRequest,
) -> Arrival {
    let request_settings = &admitted.request_settings;
    let mut content = path.as_bytes().to_vec();
    content.push(0);
    content.extend_from_slice(bytes);
    Arrival {
        request: id,
        arrived_unix_ms,
        live_event: request_settings.live_event.clone(),
        live_event_starts_unix_ms: request_settings.starts_at_unix_ms,
        live_event_ends_unix_ms: request_settings.ends_at_unix_ms,
        organisation: request_settings.organisation.clone(),
        kind: admitted.kind.clone(),
        class: request_settings.class,
        revision: admitted.settings.revision,
        values: request_settings.values.clone(),
        idempotency_key: admitted.idempotency_key.clone(),
        body_sha256: BodyHash::of(&content),
        prompt_tokens: parsed.prompt_tokens,
        max_output_tokens: parsed.max_output_tokens,
        prefix_hashes: parsed.prefix_hashes.clone(),
    }
}

/// The parsed body of a request to generate.
struct ParsedBody {
    body: Bytes,
    streamed: bool,
    prompt_tokens: u32,
    max_output_tokens: u32,
    prefix_hashes: Vec<u64>,
}

impl ParsedBody {
    fn parse(path: &str, bytes: &[u8], output_limit: u32) -> Result<Self, Refusal> {
        let malformed = |detail: String| Refusal::not_run(Problem::Malformed, detail);
        let mut body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|error| malformed(format!("expected a JSON object: {error}")))?;
        let prompt = prompt_text(path, &body).map_err(malformed)?;
        let streamed = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(streamed)) => *streamed,
            Some(_) => {
                return Err(malformed("expected true or false in stream".to_owned()));
            }
        };
        let requested = match body.get("max_tokens") {
            None | Some(Value::Null) => output_limit,
            Some(value) => value
                .as_u64()
                .filter(|tokens| *tokens > 0)
                .map(|tokens| u32::try_from(tokens).unwrap_or(u32::MAX))
                .ok_or_else(|| {
                    malformed("expected a whole number above 0 in max_tokens".to_owned())
                })?,
        };
        let max_output_tokens = requested.min(output_limit);
        body.insert("stream".to_owned(), Value::Bool(true));
        body.insert("max_tokens".to_owned(), Value::from(max_output_tokens));
        let body = serde_json::to_vec(&body).expect("a JSON object can be written");
        Ok(ParsedBody {
            body: Bytes::from(body),
            streamed,
            prompt_tokens: u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN))
                .unwrap_or(u32::MAX),
            max_output_tokens,
            prefix_hashes: prefix_hashes(prompt.as_bytes()),
        })
    }
}

/// Returns the prompt's text, whose length and prefix serve for estimates and routing.
fn prompt_text(path: &str, body: &Map<String, Value>) -> Result<String, String> {
    if path == super::COMPLETIONS_PATH {
        return match body.get("prompt") {
            Some(Value::String(prompt)) => Ok(prompt.clone()),
            _ => Err("expected text in prompt".to_owned()),
        };
    }
    let Some(Value::Array(messages)) = body.get("messages") else {
        return Err("expected a list in messages".to_owned());
    };
    if messages.is_empty() {
        return Err("expected at least one message".to_owned());
    }
    let mut text = String::new();
    for message in messages {
        let content = message.get("content").and_then(Value::as_str);
        let content = content.ok_or("expected text in the content of each message")?;
        text.push_str(content);
        text.push('\n');
    }
    Ok(text)
}
