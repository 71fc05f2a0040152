//! Asks engines for reports of their state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use toucancleat_fleet::prelude::*;
use toucancleat_fleet::target_watch::TargetReport;
use toucancleat_platform::engine;

use crate::call::{CallError, ReplyLimits, call};
use crate::clock;
use crate::host::Host;

/// Delay between the notice that a target leaves and the query for its leave time: a
/// target's reports lag by about half a second, so an earlier one may lack the time.
const LEAVE_TIME_QUERY_DELAY: Duration = Duration::from_millis(600);

/// Limits on a report. It has an entry for each run.
const REPORT_LIMITS: ReplyLimits = ReplyLimits {
    idle_timeout: Duration::from_millis(300),
    body_timeout: Duration::from_millis(300),
    body_max_bytes: 1_048_576,
    body_bytes_per_s: None,
};

/// Asks an engine whether it is leaving, and tells the reducer.
pub async fn query(host: Rc<Host>, target: TargetName, address: SocketAddr) {
    host.metrics.report_queries.inc();
    let report = read(address).await;
    if let Err(error) = &report {
        log::debug!(target_name:% = target, error:% = error; "an engine gave no report; asking it again later");
    }
    let report = report.ok();
    host.apply(Event::TargetReported { target, report });
}

/// Asks a leaving engine for the time at which it exits.
pub async fn query_leave_time(host: Rc<Host>, target: TargetName, address: SocketAddr) {
    tokio::time::sleep(LEAVE_TIME_QUERY_DELAY).await;
    let queried_ms = clock::now_ms();
    match read(address).await {
        Ok(report) => {
            let Some(left_ms) = report.leaves_in_ms else {
                return;
            };
            log::info!(target_name:% = target, left_ms; "received a target's leave time");
            host.apply(Event::LeaveTimeReceived {
                target,
                leaves_at_ms: queried_ms.saturating_add(left_ms),
            });
        }
        Err(error) => {
            log::info!(target_name:% = target, error:% = error; "could not query a target's leave time; assuming the default notice");
        }
    }
}

async fn read(address: SocketAddr) -> Result<TargetReport, CallError> {
    let reply = call(address, engine::report_request(), REPORT_LIMITS).await?;
    engine::decode_report(reply.status(), reply.headers(), reply.body())
        .map_err(|error| CallError::Body(Box::new(error)))
}
