//! The HTTP interface for operators; see docs/PROTOCOLS.md, "Operators".

use std::sync::Arc;

use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use subtle::ConstantTimeEq;
use toucancleat_core::{Event, State};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::driver::Input;
use crate::host::Host;
use crate::views;

/// Media type of the OpenMetrics text format.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Maximum number of timeline records in one reply.
const TIMELINE_PAGE_MAX: usize = 10_000;
/// Default number of timeline records in one reply.
const TIMELINE_PAGE: usize = 1_000;

/// The query that selects a page of the timeline.
#[derive(Deserialize)]
struct TimelineQuery {
    #[serde(default)]
    after: u64,
    #[serde(default = "timeline_page")]
    limit: usize,
}

fn timeline_page() -> usize {
    TIMELINE_PAGE
}

/// Creates the routes of the operators' port.
pub fn router(host: Arc<Host>) -> Router {
    let metrics = host.clone();
    let settings = host.clone();
    let targets = host.clone();
    let hosts = host.clone();
    let timeline = host.clone();
    let status = host.clone();
    let drain = host;
    Router::new()
        .route(
            "/metrics",
            get(move |request: Request| read_metrics(metrics, request)),
        )
        .route(
            "/settings",
            get(move |request: Request| read_settings(settings, request)),
        )
        .route(
            "/targets",
            get(move |request: Request| read_targets(targets, request)),
        )
        .route(
            "/hosts",
            get(move |request: Request| read_hosts(hosts, request)),
        )
        .route(
            "/timeline",
            get(move |request: Request| read_timeline(timeline, request)),
        )
        .route(
            "/status",
            get(move |request: Request| read_status(status, request)),
        )
        .route(
            "/drain",
            post(move |request: Request| start_drain(drain, request)),
        )
}

async fn read_metrics(host: Arc<Host>, request: Request) -> Response {
    if let Some(rejection) = reject_unauthorised(&host, &request) {
        return rejection;
    }
    let now_ms = host.clock.now_ms();
    let updated_host = host.clone();
    let updated = host
        .inspect(move |state| updated_host.metrics.update_from_state(state, now_ms))
        .await;
    if updated.is_none() {
        log::debug!("the host is exiting; the metrics of its state are not updated");
    }
    reply(StatusCode::OK, OPENMETRICS, host.metrics.encode())
}

async fn read_settings(host: Arc<Host>, request: Request) -> Response {
    if let Some(rejection) = reject_unauthorised(&host, &request) {
        return rejection;
    }
    match host.settings() {
        Some(settings) => json_reply(json!({
            "revision": settings.revision,
            "tree": settings.tree,
        })),
        None => json_reply(json!({ "revision": null })),
    }
}

async fn read_targets(host: Arc<Host>, request: Request) -> Response {
    if let Some(rejection) = reject_unauthorised(&host, &request) {
        return rejection;
    }
    let now_ms = host.clock.now_ms();
    reply_from_state(&host, move |state| views::targets(state, now_ms)).await
}

async fn read_hosts(host: Arc<Host>, request: Request) -> Response {
    if let Some(rejection) = reject_unauthorised(&host, &request) {
        return rejection;
    }
    reply_from_state(&host, views::hosts).await
}

async fn read_timeline(host: Arc<Host>, request: Request) -> Response {
    if let Some(rejection) = reject_unauthorised(&host, &request) {
        return rejection;
    }
    let query: TimelineQuery = match parse_query(request.uri().query()) {
        Ok(query) => query,
        Err(error) => return reply(StatusCode::BAD_REQUEST, "text/plain", error),
    };
    reply_from_state(&host, move |state| {
        let limit = query.limit.min(TIMELINE_PAGE_MAX);
        serde_json::to_value(state.timeline.page(query.after, limit)).unwrap_or_default()
    })
    .await
}

async fn read_status(host: Arc<Host>, request: Request) -> Response {
    if let Some(rejection) = reject_unauthorised(&host, &request) {
        return rejection;
    }
    let now_ms = host.clock.now_ms();
    let in_progress = host.in_progress();
    let ready = host.is_ready();
    reply_from_state(&host, move |state| {
        json!({
            "host": state.identity.host,
            "zone": state.identity.zone,
            "revision": state.settings.as_ref().map(|settings| settings.revision),
            "settings_age_ms": state.dissemination.age_ms(now_ms),
            "ready": ready,
            "draining": state.is_draining,
            "requests_in_progress": in_progress,
            "waiting_for_target": state.accounts.pending_count(),
            "claims": state.claims.len(),
            "limits_settled": state.limits.is_settled(now_ms),
            "zone_hosts": state.membership.live_hosts().count(),
            "abandoned_streams": state.streams.len(),
            "marked_requests": state.crash_marks.marked_count(),
            "timeline_bytes": state.timeline.bytes(),
        })
    })
    .await
}

async fn start_drain(host: Arc<Host>, request: Request) -> Response {
    if let Some(rejection) = reject_unauthorised(&host, &request) {
        return rejection;
    }
    host.drain();
    host.notify_driver(Input::Event(Event::Drain));
    json_reply(json!({ "draining": true }))
}

/// Replies with the JSON value that a function reads from the reducer's state.
async fn reply_from_state<F>(host: &Host, read: F) -> Response
where
    F: FnOnce(&State) -> Value + Send + 'static,
{
    match host.inspect(read).await {
        Some(value) => json_reply(value),
        None => reply(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "stopping".to_owned(),
        ),
    }
}

fn reject_unauthorised(host: &Host, request: &Request) -> Option<Response> {
    let expected = format!("Bearer {}", host.config.operator_key.as_ref()?);
    let given = request
        .headers()
        .get(AUTHORIZATION)
        .map_or(&[][..], |value| value.as_bytes());
    let is_equal: bool = expected.as_bytes().ct_eq(given).into();
    (!is_equal).then(|| {
        let text = "expected Authorization: Bearer and the operators' key".to_owned();
        reply(StatusCode::UNAUTHORIZED, "text/plain", text)
    })
}

fn parse_query<T: DeserializeOwned>(query: Option<&str>) -> Result<T, String> {
    serde_urlencoded::from_str(query.unwrap_or_default())
        .map_err(|error| format!("expected a query with numbers: {error}"))
}

fn json_reply(value: Value) -> Response {
    reply(StatusCode::OK, "application/json", value.to_string())
}

fn reply(status: StatusCode, content_type: &'static str, body: String) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
