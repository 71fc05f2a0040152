//! HTTP routes of a stand-in platform.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use volo_http::http::StatusCode;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::param::PathParams;
use volo_http::server::route::{get, post, put};

use super::table::{Get, Scan, Transaction};
use super::{Shared, State, TransactionOutcome, TransactionRecord};
use crate::clock::now_unix_ms;
use crate::{faults, reply};

/// Value of `Retry-After` in refusals.
const RETRY_AFTER_SECONDS: u32 = 1;

/// Returns the routes of a platform.
pub(super) fn router(shared: Arc<Shared>) -> Router {
    let table = Router::new()
        .route("/v1/table/transact", post(with_body(&shared, transact)))
        .route("/v1/table/get", post(with_body(&shared, table_get)))
        .route("/v1/table/scan", post(with_body(&shared, table_scan)));
    let objects = Router::new().route(
        "/v1/objects/{*name}",
        put(with_name(&shared, object_put)).get(with_name(&shared, object_get)),
    );
    let hosts = Router::new()
        .route("/v1/hosts", get(with_body(&shared, host_list)))
        .route(
            "/v1/hosts/{name}",
            put(with_name(&shared, host_put)).delete(with_name(&shared, host_delete)),
        );
    let control = Router::new()
        .route("/standin/records", get(with_body(&shared, records)))
        .route(
            "/standin/faults",
            post(with_body(&shared, set_faults)).get(with_body(&shared, show_faults)),
        );
    table.merge(objects).merge(hosts).merge(control)
}

fn with_body<F, Fut>(
    shared: &Arc<Shared>,
    handler: F,
) -> impl FnOnce(Bytes) -> Fut + Clone + Send + Sync + 'static
where
    F: FnOnce(Arc<Shared>, Bytes) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send,
{
    let shared = Arc::clone(shared);
    move |body| handler(shared, body)
}

fn with_name<F, Fut>(
    shared: &Arc<Shared>,
    handler: F,
) -> impl FnOnce(PathParams<String>, Bytes) -> Fut + Clone + Send + Sync + 'static
where
    F: FnOnce(Arc<Shared>, String, Bytes) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send,
{
    let shared = Arc::clone(shared);
    move |PathParams(name), body| handler(shared, name, body)
}

/// Applies the faults that precede the handling of a request; the error is the reply.
async fn apply_request_faults(shared: &Shared) -> Result<(), Box<Response>> {
    let slow_ms = shared.state().faults.slow_ms;
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    let state = shared.state();
    if state.faults.down {
        return Err(Box::new(reply::closed_connection()));
    }
    if state.faults.reject {
        return Err(Box::new(unavailable_response()));
    }
    Ok(())
}

fn unavailable_response() -> Response {
    reply::retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
}

/// Counts a request over a limit and returns the refusal.
fn over_limit_response(state: &mut State) -> Response {
    state.records.limited += 1;
    reply::retry_later(StatusCode::TOO_MANY_REQUESTS, RETRY_AFTER_SECONDS)
}

async fn transact(shared: Arc<Shared>, body: Bytes) -> Response {
    if let Err(reply) = apply_request_faults(&shared).await {
        return *reply;
    }
    let transaction: Transaction = match reply::parse(&body) {
        Ok(transaction) => transaction,
        Err(reply) => return *reply,
    };
    let limits = shared.config.clone();
    let mut state = shared.state();
    let now = now_unix_ms();
    let accepted = if transaction.writes.is_empty() {
        state.read_window.accept(limits.reads_per_second, now)
    } else {
        state.write_window.accept(limits.writes_per_second, now)
    };
    if !accepted {
        return over_limit_response(&mut state);
    }
    if consume_fault(&mut state, &transaction, |faults| &mut faults.drop_requests) {
        return reply::closed_connection();
    }
    decide(&mut state, &transaction, &body, now)
}

/// Decides and records a transaction, and returns its reply.
fn decide(
    state: &mut State,
    transaction: &Transaction,
    body: &Bytes,
    now_unix_ms: u64,
) -> Response {
    let decided = state.tables.transact(transaction);
    let reply_dropped =
        consume_fault(state, transaction, |faults| &mut faults.drop_replies)
            || state
                .faults
                .drop_replies_of_table
                .as_deref()
                .is_some_and(|table| transaction.writes_to(table));
    let outcome = match decided {
        Ok(_) => TransactionOutcome::Applied,
        Err(_) => TransactionOutcome::Conflict,
    };
    state.records.transactions.push(TransactionRecord {
        decided_unix_ms: now_unix_ms,
        body: serde_json::from_slice(body).unwrap_or_default(),
        outcome,
        reply_dropped,
    });
    if reply_dropped {
        return reply::closed_connection();
    }
    match decided {
        Ok(versions) => reply::json(StatusCode::OK, &json!({ "versions": versions })),
        Err(conflicts) => {
            reply::json(StatusCode::CONFLICT, &json!({ "conflicts": conflicts }))
        }
    }
}

/// Counts a fault as used and returns true if it applies to the transaction and has uses
/// left.
fn consume_fault(
    state: &mut State,
    transaction: &Transaction,
    count: impl FnOnce(&mut super::PlatformFaults) -> &mut u32,
) -> bool {
    let is_applicable = match &state.faults.table {
        Some(table) => transaction.touches(table),
        None => true,
    };
    let count = count(&mut state.faults);
    if !is_applicable || *count == 0 {
        return false;
    }
    *count -= 1;
    true
}

/// Replies to a read of the table service with the rows that `rows` returns.
async fn read_rows<T, F>(shared: &Shared, body: &Bytes, rows: F) -> Response
where
    T: serde::de::DeserializeOwned,
    F: FnOnce(&State, &T) -> Value,
{
    if let Err(reply) = apply_request_faults(shared).await {
        return *reply;
    }
    let request: T = match reply::parse(body) {
        Ok(request) => request,
        Err(reply) => return *reply,
    };
    let mut state = shared.state();
    let limit = shared.config.reads_per_second;
    if !state.read_window.accept(limit, now_unix_ms()) {
        return over_limit_response(&mut state);
    }
    state.records.table_reads += 1;
    let rows = rows(&state, &request);
    reply::json(StatusCode::OK, &json!({ "rows": rows }))
}

async fn table_get(shared: Arc<Shared>, body: Bytes) -> Response {
    read_rows(&shared, &body, |state, get: &Get| {
        json!(state.tables.get(get))
    })
    .await
}

async fn table_scan(shared: Arc<Shared>, body: Bytes) -> Response {
    read_rows(&shared, &body, |state, scan: &Scan| {
        json!(state.tables.scan(scan))
    })
    .await
}

async fn object_put(shared: Arc<Shared>, name: String, body: Bytes) -> Response {
    if let Err(reply) = apply_request_faults(&shared).await {
        return *reply;
    }
    let mut state = shared.state();
    state.records.object_requests += 1;
    state.objects.insert(name, body);
    reply::empty(StatusCode::OK)
}

async fn object_get(shared: Arc<Shared>, name: String, _: Bytes) -> Response {
    if let Err(reply) = apply_request_faults(&shared).await {
        return *reply;
    }
    let mut state = shared.state();
    state.records.object_requests += 1;
    match state.objects.get(&name) {
        Some(body) => Response::new(body.clone().into()),
        None => reply::empty(StatusCode::NOT_FOUND),
    }
}

async fn host_list(shared: Arc<Shared>, _: Bytes) -> Response {
    if let Err(reply) = apply_request_faults(&shared).await {
        return *reply;
    }
    let mut state = shared.state();
    state.records.host_reads += 1;
    let hosts = state.hosts.visible(now_unix_ms());
    reply::json(StatusCode::OK, &json!({ "hosts": hosts }))
}

async fn host_put(shared: Arc<Shared>, name: String, body: Bytes) -> Response {
    if let Err(reply) = apply_request_faults(&shared).await {
        return *reply;
    }
    let host: Value = match reply::parse(&body) {
        Ok(host) => host,
        Err(reply) => return *reply,
    };
    schedule_host_change(&shared, &name, Some(host))
}

async fn host_delete(shared: Arc<Shared>, name: String, _: Bytes) -> Response {
    if let Err(reply) = apply_request_faults(&shared).await {
        return *reply;
    }
    schedule_host_change(&shared, &name, None)
}

fn schedule_host_change(shared: &Shared, name: &str, host: Option<Value>) -> Response {
    let visible_unix_ms = now_unix_ms() + shared.config.host_list_lag_ms;
    shared
        .state()
        .hosts
        .schedule_change(name, host, visible_unix_ms);
    reply::empty(StatusCode::OK)
}

async fn records(shared: Arc<Shared>, _: Bytes) -> Response {
    reply::json(StatusCode::OK, &shared.state().records)
}

async fn show_faults(shared: Arc<Shared>, _: Bytes) -> Response {
    reply::json(StatusCode::OK, &shared.state().faults)
}

async fn set_faults(shared: Arc<Shared>, body: Bytes) -> Response {
    let mut state = shared.state();
    match faults::apply_patch(&state.faults, &body) {
        Ok(patched) => {
            state.faults = patched;
            reply::json(StatusCode::OK, &state.faults)
        }
        Err(err) => reply::bad_request(&err.to_string()),
    }
}
