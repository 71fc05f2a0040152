//! The HTTP interface for callers; see docs/PROTOCOLS.md, "Callers".

mod body;
mod credential;
mod generations;
mod in_progress;
mod services;

use std::sync::Arc;

use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, StatusCode};
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::{Problem, Refusal};
use toucancleat_core::settings::{RequestSettings, SettingsInForce};
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{any, get};

use crate::host::{Host, InProgress};
use crate::problem;
use crate::relay::{Relay, ResponseSender, Work};

/// Path of completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Delay before a retry when this host accepts no requests; by then the load balancer
/// sends them to other hosts.
const RETRY_AFTER_NOT_READY_MS: u64 = 1_000;
/// Bound on the length of an idempotency key.
const KEY_MAX_BYTES: usize = 255;

/// Creates the routes of the callers' port.
pub fn router(host: Arc<Host>) -> Router {
    let completions = host.clone();
    let chat = host.clone();
    let services = host.clone();
    let ready = host.clone();
    Router::new()
        .route(
            COMPLETIONS_PATH,
            any(move |request| {
                generations::handle(completions, COMPLETIONS_PATH, request)
            }),
        )
        .route(
            CHAT_PATH,
            any(move |request| generations::handle(chat, CHAT_PATH, request)),
        )
        .route(
            "/services/{kind}/{*path}",
            any(move |request| services::handle(services, request)),
        )
        .route("/readyz", get(move || readiness(ready)))
        .route("/livez", get(|| async { StatusCode::OK }))
        .fallback(not_found)
}

async fn readiness(host: Arc<Host>) -> StatusCode {
    if host.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn not_found() -> Response {
    let refusal = Refusal::not_run(Problem::Unknown, "there is nothing at this path");
    problem::response(RequestId(rand::random()), &refusal)
}

/// A request whose head was read and whose caller is authorised.
struct AdmittedRequest {
    in_progress: InProgress,
    settings: Arc<SettingsInForce>,
    request_settings: RequestSettings,
    kind: KindName,
    idempotency_key: Option<String>,
}

/// Authorises a request by its head and looks up the settings that apply to it.
fn admit(
    host: &Arc<Host>,
    headers: &HeaderMap,
    kind: &str,
) -> Result<AdmittedRequest, Refusal> {
    let in_progress = host
        .begin_request()
        .ok_or_else(|| not_ready("takes no new requests"))?;
    let settings = host
        .settings()
        .ok_or_else(|| not_ready("has no settings yet"))?;
    let api_key = credential::api_key(headers)?;
    let live_event = text_header(headers, "x-live-event")?;
    let kind = KindName::new(kind);
    let request_settings = settings.request_settings(api_key, live_event, &kind)?;
    let idempotency_key = idempotency_key(headers)?;
    host.metrics.requests.inc();
    Ok(AdmittedRequest {
        in_progress,
        settings,
        request_settings,
        kind,
        idempotency_key,
    })
}

fn not_ready(reason: &str) -> Refusal {
    Refusal::not_run(Problem::NotReady, format!("this entry host {reason}"))
        .with_retry_after_ms(RETRY_AFTER_NOT_READY_MS)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    if headers.get_all("idempotency-key").iter().count() > 1 {
        let detail = "expected one Idempotency-Key, got several";
        return Err(Refusal::not_run(Problem::Malformed, detail));
    }
    let key = text_header(headers, "idempotency-key")?;
    match key {
        Some(key) if key.is_empty() || key.len() > KEY_MAX_BYTES => {
            let detail =
                format!("expected an Idempotency-Key of 1 to {KEY_MAX_BYTES} bytes");
            Err(Refusal::not_run(Problem::Malformed, detail))
        }
        key => Ok(key.map(str::to_owned)),
    }
}

/// Returns an optional header, which must be plain ASCII.
fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| {
        Refusal::not_run(
            Problem::Malformed,
            format!("expected plain ASCII in {name}"),
        )
    })?;
    Ok(Some(text))
}

/// Relays a request in a task of its own and waits for its response.
///
/// The separate task lets a request that may run at most once continue when the caller's
/// connection, and with it this future, is dropped.
async fn start_relay(
    host: Arc<Host>,
    arrival: toucancleat_core::requests::Arrival,
    work: Work,
    in_progress: InProgress,
) -> Response {
    let request = arrival.request;
    let in_progress = Arc::new(in_progress);
    let (response, pending) = ResponseSender::new(host.config.stream_buffer_tokens);
    let relay = Relay {
        host,
        arrival: Arc::new(arrival),
        work,
        response,
        _in_progress: in_progress.clone(),
    };
    tokio::spawn(relay.run());
    match pending.response().await {
        Some(response) => with_request_id(
            in_progress::keep_in_progress(response, in_progress),
            request,
        ),
        None => {
            let refusal = Refusal::not_run(
                Problem::TargetFault,
                "the request's task ended without an answer",
            )
            .with_verdict(Verdict::MayHaveRun);
            problem::response(request, &refusal)
        }
    }
}

/// Adds the request's id to a response, so that the caller can refer to it.
fn with_request_id(mut response: Response, request: RequestId) -> Response {
    if let Ok(id) = HeaderValue::from_str(&request.to_string()) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

/// Creates the response to a request that was refused before it reached the reducer.
fn refuse(host: &Host, request: RequestId, refusal: &Refusal) -> Response {
    host.metrics.count_refusal(refusal);
    let mut response = with_request_id(problem::response(request, refusal), request);
    if refusal.problem == Problem::NotReady || refusal.problem == Problem::TooLarge {
        // N.B. the rest of the body is not read, so the connection can't be reused, and a
        // host that is stopping needs its connections closed.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
