//! The stand-in plain service, which records each run.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use volo_http::http::StatusCode;
use volo_http::http::request::Parts;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::get;

use crate::clock::now_unix_ms;
use crate::fingerprint::fingerprint;
use crate::server::{ServerThread, Stop};
use crate::{faults, reply};

/// The seconds after which a refused caller is told to come back.
const RETRY_AFTER_SECONDS: u32 = 1;

/// A running stand-in of a plain service, which ends when this is dropped.
#[derive(Debug)]
pub struct Service {
    server: ServerThread,
    shared: Arc<Shared>,
}

impl Service {
    /// Binds and starts a service.
    pub async fn start(config: ServiceConfig) -> io::Result<Service> {
        let bind = config.bind;
        let shared = Arc::new(Shared {
            config,
            stop: Stop::new(),
            state: Mutex::default(),
        });
        let routed = Arc::clone(&shared);
        let stop = shared.stop.clone();
        let server = ServerThread::start(bind, stop, move || router(&routed))?;
        Ok(Service { server, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends the service as a kill would; its records stay readable.
    pub async fn kill(&self) {
        self.server.stop();
        self.server.stopped().await;
    }

    /// Says whether the service has ended.
    pub fn is_stopped(&self) -> bool {
        self.server.is_stopped()
    }

    /// Waits until the service has ended.
    pub async fn stopped(&self) {
        self.server.stopped().await;
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        self.shared.change_faults(change);
    }

    /// Returns what reached the service.
    pub fn records(&self) -> ServiceRecords {
        self.shared.state().records.clone()
    }
}

/// How a stand-in service behaves without faults.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// The address to bind; port 0 takes a free port.
    pub bind: SocketAddr,
    /// The name that replies carry.
    pub name: String,
    /// The time that a run takes.
    pub run_ms: u64,
    /// Whether a repeated `Idempotency-Key` is answered without running again.
    pub deduplicates: bool,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig {
            bind: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "service".to_owned(),
            run_ms: 0,
            deduplicates: false,
        }
    }
}

/// The faults that a test sets on a service, in process or by `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Closes the connection of the next requests before they run.
    pub fail_before_run: u32,
    /// Runs the next requests and closes their connections without a reply.
    pub fail_after_run: u32,
    /// Replies 500 to the next requests without running them.
    pub error_before_run: u32,
    /// Runs the next requests and replies 500.
    pub error_after_run: u32,
    /// Refuses every request as not run.
    pub reject: bool,
    /// Delays every run.
    pub slow_ms: u64,
    /// Takes requests and never runs them or replies.
    pub stall: bool,
    /// Is leaving: `/healthz` says so; requests still run and are recorded as late.
    pub leaving: bool,
    /// Says that it serves although it is leaving.
    pub hides_leaving: bool,
    /// Dies when a request's body contains this text.
    pub crash_marker: Option<String>,
}

/// What reached a service since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceRecords {
    /// Runs in the order in which they took effect.
    pub runs: Vec<RunRecord>,
    /// Requests that arrived, whether or not they ran.
    pub arrivals: u64,
    /// When the service began to leave.
    pub leaving_unix_ms: Option<u64>,
}

impl ServiceRecords {
    /// Returns the number of runs per idempotency key.
    pub fn runs_by_key(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for key in self.runs.iter().filter_map(|run| run.key.as_ref()) {
            *runs.entry(key.clone()).or_default() += 1;
        }
        runs
    }
}

/// One run.
#[derive(Clone, Debug, Serialize)]
pub struct RunRecord {
    /// The `Idempotency-Key`.
    pub key: Option<String>,
    /// The `X-Request-Id`.
    pub request_id: Option<String>,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The body's [`fingerprint`](crate::fingerprint()).
    pub body_fingerprint: String,
    /// When the request arrived.
    pub arrived_unix_ms: u64,
    /// How long after the service began to leave the request arrived.
    pub arrived_after_leaving_ms: Option<u64>,
}

#[derive(Debug)]
struct Shared {
    config: ServiceConfig,
    stop: Stop,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    faults: ServiceFaults,
    records: ServiceRecords,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        let mut state = self.state();
        change(&mut state.faults);
        if !state.faults.leaving {
            state.records.leaving_unix_ms = None;
        } else if state.records.leaving_unix_ms.is_none() {
            state.records.leaving_unix_ms = Some(now_unix_ms());
        }
    }
}

fn router(shared: &Arc<Shared>) -> Router {
    let health = Arc::clone(shared);
    let records = Arc::clone(shared);
    let shown = Arc::clone(shared);
    let patched = Arc::clone(shared);
    let run = Arc::clone(shared);
    Router::new()
        .route("/healthz", get(move || async move { healthz(&health) }))
        .route(
            "/standin/records",
            get(move || async move {
                reply::json(StatusCode::OK, &records.state().records)
            }),
        )
        .route(
            "/standin/faults",
            get(move || async move {
                reply::json(StatusCode::OK, &shown.state().faults)
            })
            .post(move |body: Bytes| async move { patch_faults(&patched, &body) }),
        )
        .fallback(move |request: Request| handle(run, request))
}

fn healthz(shared: &Shared) -> Response {
    let state = shared.state();
    if state.faults.leaving && !state.faults.hides_leaving {
        return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    reply::empty(StatusCode::OK)
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

async fn handle(shared: Arc<Shared>, request: Request) -> Response {
    let (parts, body) = match reply::collect(request).await {
        Ok(collected) => collected,
        Err(reply) => return *reply,
    };
    let run = arrival(&shared, &parts, &body);
    if let Some(reply) = before_run(&shared, &body).await {
        return reply;
    }
    // A run that has begun goes on when its caller leaves, as it would in a service.
    let running = tokio::spawn(run_to_end(shared, run));
    running.await.unwrap_or_else(|_| reply::dropped())
}

async fn run_to_end(shared: Arc<Shared>, run: RunRecord) -> Response {
    let delay_ms = shared.config.run_ms + shared.state().faults.slow_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    run_once(&shared, run)
}

/// Notes the arrival and returns the record that a run would leave.
fn arrival(shared: &Shared, parts: &Parts, body: &Bytes) -> RunRecord {
    let header = |name: &str| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
    let mut state = shared.state();
    state.records.arrivals += 1;
    let arrived_unix_ms = now_unix_ms();
    RunRecord {
        key: header("idempotency-key"),
        request_id: header("x-request-id"),
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        body_fingerprint: fingerprint(body),
        arrived_unix_ms,
        arrived_after_leaving_ms: state
            .records
            .leaving_unix_ms
            .map(|leaving| arrived_unix_ms.saturating_sub(leaving)),
    }
}

/// Applies the faults that come before the run.
async fn before_run(shared: &Shared, body: &Bytes) -> Option<Response> {
    if is_marked(shared, body) {
        shared.stop.die().await;
    }
    let stall = {
        let mut state = shared.state();
        let faults = &mut state.faults;
        if faults.reject {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Some(reply::not_run(status, RETRY_AFTER_SECONDS));
        }
        if take(&mut faults.fail_before_run) {
            return Some(reply::dropped());
        }
        if take(&mut faults.error_before_run) {
            return Some(reply::empty(StatusCode::INTERNAL_SERVER_ERROR));
        }
        faults.stall
    };
    if stall {
        std::future::pending::<()>().await;
    }
    None
}

/// Runs the request, and loses the reply where a fault says so.
fn run_once(shared: &Shared, run: RunRecord) -> Response {
    let mut state = shared.state();
    let repeated = shared.config.deduplicates
        && run.key.is_some()
        && state
            .records
            .runs
            .iter()
            .any(|earlier| earlier.key == run.key);
    let body = json!({
        "service": shared.config.name,
        "key": run.key,
        "request_id": run.request_id,
        "path": run.path,
        "body_fingerprint": run.body_fingerprint,
    });
    if !repeated {
        state.records.runs.push(run);
    }
    if take(&mut state.faults.fail_after_run) {
        return reply::dropped();
    }
    if take(&mut state.faults.error_after_run) {
        return reply::empty(StatusCode::INTERNAL_SERVER_ERROR);
    }
    reply::json(StatusCode::OK, &body)
}

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

/// Says whether the body holds the text that crashes the service.
fn is_marked(shared: &Shared, body: &[u8]) -> bool {
    let state = shared.state();
    let Some(marker) = state.faults.crash_marker.as_deref() else {
        return false;
    };
    let mut windows = body.windows(marker.len().max(1));
    windows.any(|window| window == marker.as_bytes())
}
