//! Stand-in for a plain service, which records each run.

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
use crate::server::{ServerThread, StopSignal};
use crate::{faults, reply};

/// Value of `Retry-After` in refusals.
const RETRY_AFTER_SECONDS: u32 = 1;

/// A running stand-in for a plain service, which stops when this is dropped.
#[derive(Debug)]
pub struct Service {
    server: ServerThread,
    shared: Arc<Shared>,
}

impl Service {
    /// Binds and starts a service.
    ///
    /// Returns an error if the address can't be bound or the thread can't be started.
    pub async fn start(config: ServiceConfig) -> io::Result<Service> {
        let bind = config.bind;
        let shared = Arc::new(Shared {
            config,
            stop: StopSignal::new(),
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

    /// Stops the service as killing its process would; its records stay readable.
    pub async fn kill(&self) {
        self.server.stop();
        self.server.wait_until_stopped().await;
    }

    /// Returns true if the service has stopped.
    pub fn is_stopped(&self) -> bool {
        self.server.is_stopped()
    }

    /// Waits until the service has stopped, by [`kill`](Service::kill) or by a fault.
    pub async fn wait_until_stopped(&self) {
        self.server.wait_until_stopped().await;
    }

    /// Updates the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        self.shared.update_faults(change);
    }

    /// Returns the records of what reached the service.
    pub fn records(&self) -> ServiceRecords {
        self.shared.state().records.clone()
    }
}

/// Behaviour of a stand-in service without faults.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Address to bind; port 0 selects a free port.
    pub bind: SocketAddr,
    /// Name that is included in replies.
    pub name: String,
    /// Duration of a run.
    pub run_ms: u64,
    /// Whether a request with a repeated `Idempotency-Key` gets a reply without a second
    /// run.
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

/// Faults that a test sets on a service, in process or by `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of next requests whose connections are closed before they run.
    pub fail_before_run: u32,
    /// Number of next requests that run and whose connections are closed without a reply.
    pub fail_after_run: u32,
    /// Number of next requests that get a 500 reply without running.
    pub error_before_run: u32,
    /// Number of next requests that run and get a 500 reply.
    pub error_after_run: u32,
    /// Refuses every request as not run.
    pub reject: bool,
    /// Delays every run.
    pub slow_ms: u64,
    /// Accepts requests and never runs them or replies.
    pub stall: bool,
    /// Is leaving, which `/healthz` reports with 503; requests still run, and their
    /// records contain the time since the beginning of the leaving.
    pub leaving: bool,
    /// Reports that it is serving although it is leaving.
    pub hides_leaving: bool,
    /// Crashes when a request's body contains this text.
    pub crash_marker: Option<String>,
}

/// Records of what reached a service since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceRecords {
    /// Runs in the order in which they took effect.
    pub runs: Vec<RunRecord>,
    /// Number of requests that arrived, whether or not they ran.
    pub arrivals: u64,
    /// Time at which the service began to leave.
    pub leaving_unix_ms: Option<u64>,
}

impl ServiceRecords {
    /// Returns the number of runs per idempotency key.
    pub fn run_counts_by_key(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for key in self.runs.iter().filter_map(|run| run.key.as_ref()) {
            *runs.entry(key.clone()).or_default() += 1;
        }
        runs
    }
}

/// Record of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunRecord {
    /// The `Idempotency-Key`.
    pub key: Option<String>,
    /// The `X-Request-Id`.
    pub request_id: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The body's [`fingerprint`](crate::fingerprint()).
    pub body_fingerprint: String,
    /// Time at which the request arrived.
    pub arrived_unix_ms: u64,
    /// Time from the beginning of the service's leaving to the arrival; `None` if it
    /// wasn't leaving.
    pub arrived_after_leaving_ms: Option<u64>,
}

#[derive(Debug)]
struct Shared {
    config: ServiceConfig,
    stop: StopSignal,
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

    fn update_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
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
        .fallback(move |request: Request| handle_request(run, request))
}

fn healthz(shared: &Shared) -> Response {
    let state = shared.state();
    if state.faults.leaving && !state.faults.hides_leaving {
        return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    reply::empty(StatusCode::OK)
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

async fn handle_request(shared: Arc<Shared>, request: Request) -> Response {
    let (parts, body) = match reply::collect(request).await {
        Ok(collected) => collected,
        Err(reply) => return *reply,
    };
    let run = record_arrival(&shared, &parts, &body);
    if let Some(reply) = apply_faults_before_run(&shared, &body).await {
        return reply;
    }
    // As in a real service, a run that has started continues if its caller disconnects.
    let running = tokio::spawn(run_to_end(shared, run));
    running.await.unwrap_or_else(|_| reply::closed_connection())
}

async fn run_to_end(shared: Arc<Shared>, run: RunRecord) -> Response {
    let delay_ms = shared.config.run_ms + shared.state().faults.slow_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    complete_run(&shared, run)
}

/// Counts the arrival and returns the record that is stored if the request runs.
fn record_arrival(shared: &Shared, parts: &Parts, body: &Bytes) -> RunRecord {
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

/// Applies the faults that precede the run; returns the reply if the request doesn't run.
async fn apply_faults_before_run(shared: &Shared, body: &Bytes) -> Option<Response> {
    if contains_crash_marker(shared, body) {
        shared.stop.crash().await;
    }
    let stall = {
        let mut state = shared.state();
        let faults = &mut state.faults;
        if faults.reject {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Some(reply::not_run(status, RETRY_AFTER_SECONDS));
        }
        if consume(&mut faults.fail_before_run) {
            return Some(reply::closed_connection());
        }
        if consume(&mut faults.error_before_run) {
            return Some(reply::empty(StatusCode::INTERNAL_SERVER_ERROR));
        }
        faults.stall
    };
    if stall {
        std::future::pending::<()>().await;
    }
    None
}

/// Records the run and returns its reply, or what a fault replaces it with.
fn complete_run(shared: &Shared, run: RunRecord) -> Response {
    let mut state = shared.state();
    let is_duplicate = shared.config.deduplicates
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
    if !is_duplicate {
        state.records.runs.push(run);
    }
    if consume(&mut state.faults.fail_after_run) {
        return reply::closed_connection();
    }
    if consume(&mut state.faults.error_after_run) {
        return reply::empty(StatusCode::INTERNAL_SERVER_ERROR);
    }
    reply::json(StatusCode::OK, &body)
}

/// Counts a fault as used; returns true if it had uses left.
fn consume(count: &mut u32) -> bool {
    let had_uses = *count > 0;
    *count = count.saturating_sub(1);
    had_uses
}

/// Returns true if the body contains the text that crashes the service.
fn contains_crash_marker(shared: &Shared, body: &[u8]) -> bool {
    let state = shared.state();
    let Some(marker) = state.faults.crash_marker.as_deref() else {
        return false;
    };
    let mut windows = body.windows(marker.len().max(1));
    windows.any(|window| window == marker.as_bytes())
}
