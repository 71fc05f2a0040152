//! HTTP routes of a proxy's control port.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use volo_http::http::StatusCode;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use super::Shared;
use super::faults::Direction;
use crate::{faults, reply};

/// Returns the routes of a proxy's control port.
pub(super) fn router(shared: &Arc<Shared>) -> Router {
    let records = Arc::clone(shared);
    let shown = Arc::clone(shared);
    let patched = Arc::clone(shared);
    let cut = Arc::clone(shared);
    let half_closed = Arc::clone(shared);
    let upstream = Arc::clone(shared);
    Router::new()
        .route(
            "/standin/records",
            get(move || async move {
                reply::json(StatusCode::OK, &records.state().records)
            }),
        )
        .route(
            "/standin/faults",
            get(move || async move { reply::json(StatusCode::OK, &shown.faults()) })
                .post(move |body: Bytes| async move { patch_faults(&patched, &body) }),
        )
        .route(
            "/standin/cut",
            post(move || async move {
                cut.cut();
                reply::empty(StatusCode::OK)
            }),
        )
        .route(
            "/standin/half-close",
            post(move |body: Bytes| async move { half_close(&half_closed, &body) }),
        )
        .route(
            "/standin/upstream",
            post(move |body: Bytes| async move { set_upstream(&upstream, &body) }),
        )
}

#[derive(Debug, Deserialize)]
struct HalfCloseRequest {
    direction: Direction,
}

#[derive(Debug, Deserialize)]
struct UpstreamRequest {
    address: SocketAddr,
}

fn patch_faults(shared: &Shared, body: &Bytes) -> Response {
    match faults::apply_patch(&shared.faults(), body) {
        Ok(patched) => {
            shared.faults.send_replace(patched);
            reply::json(StatusCode::OK, &shared.faults())
        }
        Err(err) => reply::bad_request(&err.to_string()),
    }
}

fn half_close(shared: &Shared, body: &Bytes) -> Response {
    match reply::parse::<HalfCloseRequest>(body) {
        Ok(half_close) => {
            shared.half_closes.send_replace(Some(half_close.direction));
            reply::empty(StatusCode::OK)
        }
        Err(reply) => *reply,
    }
}

fn set_upstream(shared: &Shared, body: &Bytes) -> Response {
    match reply::parse::<UpstreamRequest>(body) {
        Ok(upstream) => {
            shared.state().upstream = upstream.address;
            reply::empty(StatusCode::OK)
        }
        Err(reply) => *reply,
    }
}
