//! Executes the reducer's queries of the platform's store.

use std::rc::Rc;
use std::time::Duration;

use toucancleat_fleet::event::Event;
use toucancleat_fleet::store::{LONG_POLL_MS, Query, Reply};
use toucancleat_platform::store::{
    InvalidEntry, Registration, StoreExchange, decode_era,
};

use crate::call::{CallError, ReplyLimits, call};
use crate::clock;
use crate::host::Host;

/// Maximum time in which the body of a reply, and those of all pages of one query, must be complete.
/// A small machine with a link of 10 Mbit/s receives the longest reply for which it has memory in 9 s.
/// With a shorter time, a host on a slow link that has to read a long configuration would discard what
/// it has received and start again, without end.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum wait for the head of a reply, and for each further part. It is many times what the
/// store usually takes, and short enough for several retries before the configuration counts
/// as stale.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum wait for the reply to a query that the store holds until there are changes.
const FEED_TIMEOUT: Duration =
    Duration::from_millis(LONG_POLL_MS + REPLY_TIMEOUT.as_millis() as u64);

/// Maximum wait for the reply to a write. Writes to one part are made one after another, so
/// each waits for those of all hosts that start at the same moment; a write that is repeated
/// too early makes them wait longer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Minimum time between two log lines about invalid entries. The host list is read each second,
/// with the same entries.
const INVALID_ENTRIES_LOG_INTERVAL_MS: u64 = 10_000;

/// Executes a query and applies its reply to the reducer.
pub async fn execute(host: Rc<Host>, query: Query) {
    let registration = Registration {
        host: &host.settings.host,
        address: host.settings.peers_address,
    };
    let timeout = match query {
        Query::TargetFeed { .. } | Query::ConfigurationFeed { .. } => FEED_TIMEOUT,
        Query::Register => WRITE_TIMEOUT,
        _ => REPLY_TIMEOUT,
    };
    let mut limits = ReplyLimits {
        idle_timeout: timeout,
        body_timeout: BODY_TIMEOUT,
        body_max_bytes: host.settings.store_reply_max_bytes(),
        // A host without a configuration serves no callers yet.
        body_bytes_per_s: host
            .settings
            .store_reply_bytes_per_s()
            .filter(|_| host.has_configuration()),
    };
    let started = tokio::time::Instant::now();
    let mut exchange = StoreExchange::new(query);
    let mut era = None;
    let reply = loop {
        let request = exchange.next_request(registration);
        host.metrics.store_calls.inc();
        let response = match call(host.settings.store_address, request, limits).await {
            Ok(response) => response,
            Err(error @ CallError::TooLong(_)) if query.is_for_configuration() => {
                // The store answers, but with a configuration that this host can't hold.
                break Reply::InvalidConfiguration {
                    store_version: 0,
                    problem: error.to_string(),
                };
            }
            Err(error) => {
                log::debug!(query = query.as_str(), error:% = error; "store call failed; leaving the next query to the reducer");
                break Reply::Failed;
            }
        };
        match decode_era(response.headers()) {
            Ok(page_era) if era.is_some_and(|era| page_era != Some(era)) => {
                log::debug!(query = query.as_str(); "the store returned to a copy between two pages; leaving the next query to the reducer");
                break Reply::Failed;
            }
            Ok(page_era) => era = page_era,
            Err(error) => {
                host.metrics.invalid_eras.inc();
                log::debug!(query = query.as_str(), error:% = error; "could not read the store's era; assuming the known one");
            }
        }
        match exchange.decode_reply(response.status(), response.body()) {
            Ok(Some(reply)) => {
                report_invalid_entries(&host, exchange.invalid_entries());
                break reply;
            }
            Ok(None) => {
                // N.B. a table may have always another page, and those before it are kept.
                let read_bytes = response.body().len();
                limits.body_max_bytes = limits.body_max_bytes.saturating_sub(read_bytes);
                limits.body_timeout = BODY_TIMEOUT.saturating_sub(started.elapsed());
            }
            Err(error) => {
                let status = response.status().as_u16();
                log::debug!(query = query.as_str(), status, error:% = error; "store reply rejected; leaving the next query to the reducer");
                break Reply::Failed;
            }
        }
    };
    host.apply(Event::StoreReplied {
        query,
        era,
        evacuations: exchange.evacuations(),
        reply,
    });
}

/// Counts the rows of the host list that name no target, and logs the first of them now and then.
fn report_invalid_entries(host: &Host, invalid_entries: &[InvalidEntry]) {
    let Some(first) = invalid_entries.first() else {
        return;
    };
    host.metrics
        .invalid_entries
        .inc_by(invalid_entries.len() as u64);
    let now_ms = clock::now_ms();
    let due_ms = &host.invalid_entries_log_due_ms;
    if now_ms >= due_ms.get() {
        due_ms.set(now_ms + INVALID_ENTRIES_LOG_INTERVAL_MS);
        log::warn!(target_name:% = first.target, error:% = first.error, invalid = invalid_entries.len(); "entries of the host list are invalid; they name no targets");
    }
}
