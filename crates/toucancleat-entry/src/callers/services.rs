//! The handler of requests that are forwarded to plain services.

use std::sync::Arc;

use http::header::{ACCEPT, CONTENT_TYPE};
use http::request::Parts;
use http::{HeaderName, HeaderValue};
use toucancleat_core::claims::BodyHash;
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::{Problem, Refusal};
use toucancleat_core::requests::Arrival;
use toucancleat_core::settings::TargetClass;
use volo_http::request::Request;
use volo_http::response::Response;

use super::{AdmittedRequest, admit, body, refuse, start_relay};
use crate::host::Host;
use crate::relay::Work;
use crate::service::ServiceRequest;

/// Prefix of the paths of requests to plain services.
const PREFIX: &str = "/services/";

/// Handles one request to a plain service.
pub(super) async fn handle(host: Arc<Host>, request: Request) -> Response {
    let id = RequestId(rand::random());
    match prepare(&host, id, request).await {
        Ok((arrival, request, admitted)) => {
            start_relay(host, arrival, Work::Service(request), admitted.in_progress).await
        }
        Err(refusal) => refuse(&host, id, &refusal),
    }
}

async fn prepare(
    host: &Arc<Host>,
    id: RequestId,
    request: Request,
) -> Result<(Arrival, ServiceRequest, AdmittedRequest), Refusal> {
    let (head, incoming) = request.into_parts();
    let kind = request_kind(head.uri.path())?;
    let admitted = admit(host, &head.headers, kind)?;
    if admitted.request_settings.class != TargetClass::Service {
        let detail = format!("requests of kind {kind} go to /v1/");
        return Err(Refusal::not_run(Problem::Unknown, detail));
    }
    let max_bytes = admitted.request_settings.values.max_body_bytes;
    let bytes = body::read(incoming, max_bytes, host.config.body_timeout_ms).await?;
    let request = service_request(&head, bytes, admitted.idempotency_key.as_deref());
    let arrival = build_arrival(id, host.clock.now_ms(), &request, &admitted);
    Ok((arrival, request, admitted))
}

fn request_kind(path: &str) -> Result<&str, Refusal> {
    path.strip_prefix(PREFIX)
        .and_then(|rest| rest.split('/').next())
        .filter(|kind| !kind.is_empty())
        .ok_or_else(|| {
            Refusal::not_run(Problem::Unknown, "expected /services/{kind}/{path}")
        })
}

fn service_request(
    head: &Parts,
    body: bytes::Bytes,
    idempotency_key: Option<&str>,
) -> ServiceRequest {
    let mut headers: Vec<(HeaderName, HeaderValue)> = Vec::new();
    for name in [CONTENT_TYPE, ACCEPT] {
        if let Some(value) = head.headers.get(&name) {
            headers.push((name, value.clone()));
        }
    }
    let key = idempotency_key.and_then(|key| HeaderValue::from_str(key).ok());
    if let Some(key) = key {
        headers.push((HeaderName::from_static("idempotency-key"), key));
    }
    let path = head
        .uri
        .path_and_query()
        .map_or(PREFIX, |path| path.as_str());
    ServiceRequest {
        method: head.method.clone(),
        path: path.to_owned(),
        headers,
        body,
    }
}

fn build_arrival(
    id: RequestId,
    arrived_unix_ms: u64,
    request: &ServiceRequest,
    admitted: &AdmittedRequest,
) -> Arrival {
    let request_settings = &admitted.request_settings;
    let mut content = request.method.as_str().as_bytes().to_vec();
    content.push(b' ');
    content.extend_from_slice(request.path.as_bytes());
    content.push(0);
    content.extend_from_slice(&request.body);
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
        prompt_tokens: 0,
        max_output_tokens: 0,
        prefix_hashes: Vec::new(),
    }
}
