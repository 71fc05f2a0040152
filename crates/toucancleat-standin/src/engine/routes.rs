//! The engine's HTTP routes.

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
use super::arrival::Arrival;
use super::orders::Order;
use super::records::GenerationState;
use super::stream;
use crate::clock::now_unix_ms;
use crate::{faults, reply};

/// Returns the routes of an engine.
pub(super) fn router(shared: &Arc<Shared>) -> Router {
    generations(shared).merge(control(shared))
}

fn generations(shared: &Arc<Shared>) -> Router {
    let completions = Arc::clone(shared);
    let chat = Arc::clone(shared);
    let resumed = Arc::clone(shared);
    let cancelled = Arc::clone(shared);
    Router::new()
        .route(
            "/v1/completions",
            post(move |request: Request| begin(completions, request, false)),
        )
        .route(
            "/v1/chat/completions",
            post(move |request: Request| begin(chat, request, true)),
        )
        .route(
            "/v1/generations/{id}/stream",
            get(
                move |PathParams(id): PathParams<String>,
                      Query(from): Query<ResumePoint>| async move {
                    resume(&resumed, &id, from.from)
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

fn control(shared: &Arc<Shared>) -> Router {
    let loaded = Arc::clone(shared);
    let ordered = Arc::clone(shared);
    let shown = Arc::clone(shared);
    let records = Arc::clone(shared);
    let faults = Arc::clone(shared);
    let patched = Arc::clone(shared);
    Router::new()
        .route("/v1/load", get(move || async move { load(&loaded) }))
        .route(
            "/v1/cache/events",
            get(|| async { reply::json(StatusCode::OK, &json!({"events": [], "next": 0})) }),
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
            get(move || async move { reply::json(StatusCode::OK, &records.records()) }),
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
struct ResumePoint {
    from: u32,
}

/// Begins a generation and streams it.
async fn begin(shared: Arc<Shared>, request: Request, chat: bool) -> Response {
    let (parts, body) = match reply::collect(request).await {
        Ok(collected) => collected,
        Err(reply) => return *reply,
    };
    let arrival = match Arrival::read(&parts, &body, chat) {
        Ok(arrival) => arrival,
        Err(reply) => return *reply,
    };
    let generation = match arrival.accept(&shared) {
        Ok(generation) => generation,
        Err(reply) => return *reply,
    };
    if arrival.is_marked(&shared) {
        shared.stop.die().await;
    }
    stream::response(shared, generation, 0)
}

fn resume(shared: &Arc<Shared>, id: &str, from: u32) -> Response {
    let mut state = shared.state();
    let Some(generation) = state.generations.get(id).cloned() else {
        return reply::empty(StatusCode::NOT_FOUND);
    };
    let records = &mut state.records.generations;
    if let Some(record) = records.iter_mut().find(|r| r.generation_id == id) {
        record.resumes += 1;
    }
    drop(state);
    stream::response(Arc::clone(shared), generation, from)
}

fn cancel(shared: &Shared, id: &str) -> Response {
    let generation = shared.state().generations.get(id).cloned();
    let Some(generation) = generation else {
        return reply::empty(StatusCode::NOT_FOUND);
    };
    generation.end(GenerationState::Cancelled);
    reply::empty(StatusCode::OK)
}

fn load(shared: &Shared) -> Response {
    let state = shared.state();
    let running = state
        .generations
        .values()
        .filter(|generation| generation.progress().state == GenerationState::Running)
        .count();
    let report = json!({
        "measured_unix_ms": now_unix_ms(),
        "running": running,
        "waiting": 0,
        "blocks_used": 0,
        "blocks_total": 512,
        "block_tokens": 16,
        "preemptions_total": 0,
        "step_ms": shared.config.step_ms,
        "state": if state.faults.leaving { "leaving" } else { "serving" },
        "leaving_in_ms": null,
        "role": state.orders.role,
        "models": state.orders.models.keys().collect::<Vec<_>>(),
        "adapters": state.orders.adapters.keys().collect::<Vec<_>>(),
    });
    reply::json(StatusCode::OK, &report)
}

fn order(shared: &Shared, body: &Bytes) -> Response {
    let order: Order = match reply::parse(body) {
        Ok(order) => order,
        Err(reply) => return *reply,
    };
    let mut state = shared.state();
    let outcome = state.orders.obey(&order, shared.config.checks_fencing);
    let record = order.record(now_unix_ms(), outcome.is_ok());
    state.records.orders.push(record);
    match outcome {
        Ok(()) => reply::empty(StatusCode::OK),
        Err(fencing_number) => {
            let body = json!({ "fencing_number": fencing_number });
            reply::json(StatusCode::CONFLICT, &body)
        }
    }
}

fn patch_faults(shared: &Shared, body: &Bytes) -> Response {
    let patched = faults::patched(&shared.state().faults, body);
    match patched {
        Ok(patched) => {
            shared.change_faults(|faults| *faults = patched);
            reply::json(StatusCode::OK, &shared.state().faults)
        }
        Err(err) => reply::bad_request(&err.to_string()),
    }
}
