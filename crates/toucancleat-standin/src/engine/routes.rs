//! HTTP routes of a stand-in engine.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use volo_http::http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::extract::Query;
use volo_http::server::param::PathParams;
use volo_http::server::route::{delete, get, post};

use super::Shared;
use super::incoming_request::IncomingRequest;
use super::orders::Order;
use super::records::GenerationState;
use super::state::Refusal;
use super::stream;
use crate::clock::now_unix_ms;
use crate::{faults, reply};

/// Value of `Retry-After` in refusals.
const RETRY_AFTER_SECONDS: u32 = 1;

/// Returns the routes of an engine.
pub(super) fn router(shared: &Arc<Shared>) -> Router {
    generation_routes(shared).merge(control_routes(shared))
}

fn generation_routes(shared: &Arc<Shared>) -> Router {
    let completions = Arc::clone(shared);
    let chat = Arc::clone(shared);
    let resumed = Arc::clone(shared);
    let cancelled = Arc::clone(shared);
    Router::new()
        .route(
            "/v1/completions",
            post(move |request: Request| start_generation(completions, request, false)),
        )
        .route(
            "/v1/chat/completions",
            post(move |request: Request| start_generation(chat, request, true)),
        )
        .route(
            "/v1/generations/{id}/stream",
            get(
                move |PathParams(id): PathParams<String>,
                      Query(query): Query<ResumeQuery>| async move {
                    resume(&resumed, &id, query.from)
                },
            ),
        )
        .route(
            "/v1/generations/{id}",
            delete(move |PathParams(id): PathParams<String>| async move {
                cancel(&cancelled, &id)
            }),
        )
}

fn control_routes(shared: &Arc<Shared>) -> Router {
    let loaded = Arc::clone(shared);
    let events = Arc::clone(shared);
    let ordered = Arc::clone(shared);
    let shown = Arc::clone(shared);
    let records = Arc::clone(shared);
    let faults = Arc::clone(shared);
    let patched = Arc::clone(shared);
    Router::new()
        .route("/v1/load", get(move || async move { load(&loaded) }))
        .route(
            "/v1/cache/events",
            get(move |Query(query): Query<CacheEventsQuery>| async move {
                cache_events(&events, query.after)
            }),
        )
        .route(
            "/v1/orders",
            post(move |body: Bytes| async move { order(&ordered, &body) }),
        )
        .route(
            "/v1/orders/state",
            get(move || async move {
                reply::json(StatusCode::OK, &shown.state().orders)
            }),
        )
        .route(
            "/standin/records",
            get(move || async move { reply::json(StatusCode::OK, &records.state().records()) }),
        )
        .route(
            "/standin/faults",
            get(move || async move {
                reply::json(StatusCode::OK, &faults.state().faults)
            })
            .post(move |body: Bytes| async move { patch_faults(&patched, &body) }),
        )
}

#[derive(Debug, Deserialize)]
struct ResumeQuery {
    from: u32,
}

#[derive(Debug, Deserialize)]
struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

/// Queues a generation and returns its stream.
async fn start_generation(
    shared: Arc<Shared>,
    request: Request,
    is_chat: bool,
) -> Response {
    let (parts, body) = match reply::collect(request).await {
        Ok(collected) => collected,
        Err(reply) => return *reply,
    };
    let incoming = match IncomingRequest::parse(&parts, &body, is_chat) {
        Ok(incoming) => incoming,
        Err(reply) => return *reply,
    };
    let accepted = shared.state().accept(&incoming, shared.config.max_waiting);
    match accepted {
        Ok(generation) => {
            shared.work_added.notify_one();
            stream::response(shared, generation, 0)
        }
        Err(refusal) => refusal_response(refusal),
    }
}

fn refusal_response(refusal: Refusal) -> Response {
    match refusal {
        Refusal::NotRun => {
            reply::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
        }
        Refusal::Duplicate => reply::empty(StatusCode::CONFLICT),
        Refusal::TooLong => {
            reply::bad_request("expected a prompt and output that fit into the memory")
        }
    }
}

fn resume(shared: &Arc<Shared>, id: &str, from: u32) -> Response {
    let mut state = shared.state();
    let Some(generation) = state.generation(id) else {
        return reply::empty(StatusCode::NOT_FOUND);
    };
    state.record_resume(&generation);
    drop(state);
    stream::response(Arc::clone(shared), generation, from)
}

fn cancel(shared: &Shared, id: &str) -> Response {
    let mut state = shared.state();
    let Some(generation) = state.generation(id) else {
        return reply::empty(StatusCode::NOT_FOUND);
    };
    state.end(&generation, GenerationState::Cancelled);
    reply::empty(StatusCode::OK)
}

fn load(shared: &Shared) -> Response {
    match shared.state().loads.newest_visible() {
        Some(report) => reply::json(StatusCode::OK, report),
        None => reply::empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn cache_events(shared: &Shared, after: u64) -> Response {
    let (events, next) = shared.state().cache_events.read(after);
    let body = json!({ "events": events, "next": next });
    reply::json(StatusCode::OK, &body)
}

fn order(shared: &Shared, body: &Bytes) -> Response {
    let order: Order = match reply::parse(body) {
        Ok(order) => order,
        Err(reply) => return *reply,
    };
    let mut state = shared.state();
    let outcome = state.orders.apply(&order, shared.config.checks_fencing);
    let record = order.record(now_unix_ms(), outcome.is_ok());
    state.record_order(record);
    match outcome {
        Ok(()) => reply::empty(StatusCode::OK),
        Err(fencing_number) => {
            let body = json!({ "fencing_number": fencing_number });
            reply::json(StatusCode::CONFLICT, &body)
        }
    }
}

fn patch_faults(shared: &Shared, body: &Bytes) -> Response {
    let patched = faults::apply_patch(&shared.state().faults, body);
    match patched {
        Ok(patched) => {
            shared.update_faults(|faults| *faults = patched);
            reply::json(StatusCode::OK, &shared.state().faults)
        }
        Err(err) => reply::bad_request(&err.to_string()),
    }
}
