//! The operators' port; see docs/PROTOCOLS.md, "Operators".

use std::sync::Arc;

use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;
use toucancleat_core::{Event, State};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::driver::Input;
use crate::host::Host;

/// Media type of the Prometheus text format.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Makes the routes of the operators' port.
pub fn router(host: Arc<Host>) -> Router {
    let metrics = host.clone();
    let settings = host.clone();
    let targets = host.clone();
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
            "/status",
            get(move |request: Request| read_status(status, request)),
        )
        .route(
            "/drain",
            post(move |request: Request| start_drain(drain, request)),
        )
}

async fn read_metrics(host: Arc<Host>, request: Request) -> Response {
    if let Some(refused) = unauthorised(&host, &request) {
        return refused;
    }
    reply(StatusCode::OK, OPENMETRICS, host.metrics.encode())
}

async fn read_settings(host: Arc<Host>, request: Request) -> Response {
    if let Some(refused) = unauthorised(&host, &request) {
        return refused;
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
    if let Some(refused) = unauthorised(&host, &request) {
        return refused;
    }
    inspect(&host, |state| json!({ "outstanding": state.outstanding })).await
}

async fn read_status(host: Arc<Host>, request: Request) -> Response {
    if let Some(refused) = unauthorised(&host, &request) {
        return refused;
    }
    let in_progress = host.in_progress();
    let ready = host.is_ready();
    inspect(&host, move |state| {
        json!({
            "host": state.host,
            "zone": state.zone,
            "revision": state.settings.as_ref().map(|settings| settings.revision),
            "ready": ready,
            "draining": state.draining,
            "requests_in_progress": in_progress,
            "claims": state.claims.len(),
        })
    })
    .await
}

async fn start_drain(host: Arc<Host>, request: Request) -> Response {
    if let Some(refused) = unauthorised(&host, &request) {
        return refused;
    }
    host.drain();
    host.tell(Input::Event(Event::Drain));
    json_reply(json!({ "draining": true }))
}

/// Runs a function on the reducer's state, in the driver's task.
async fn inspect<F>(host: &Host, look: F) -> Response
where
    F: FnOnce(&State) -> Value + Send + 'static,
{
    let (sender, receiver) = oneshot::channel();
    host.tell(Input::Inspect(Box::new(move |state| {
        // The operator may have gone away meanwhile.
        let _ = sender.send(look(state));
    })));
    match receiver.await {
        Ok(value) => json_reply(value),
        Err(_) => reply(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "stopping".to_owned(),
        ),
    }
}

fn unauthorised(host: &Host, request: &Request) -> Option<Response> {
    let expected = format!("Bearer {}", host.config.operator_key.as_ref()?);
    let given = request
        .headers()
        .get(AUTHORIZATION)
        .map_or(&[][..], |value| value.as_bytes());
    let same: bool = expected.as_bytes().ct_eq(given).into();
    (!same).then(|| {
        let text = "expected Authorization: Bearer and the operators' key".to_owned();
        reply(StatusCode::UNAUTHORIZED, "text/plain", text)
    })
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
