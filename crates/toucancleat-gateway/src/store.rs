//! Reads of the platform's store.

use std::rc::Rc;
use std::time::Duration;

use toucancleat_fleet::event::Event;
use toucancleat_fleet::store::{FEED_WAIT_MS, Query, Reply};
use toucancleat_platform::store::{Exchange, Registration};

use crate::exchange::call;
use crate::host::Host;

/// Longest wait for an answer; many times what the store usually takes, and short enough
/// for several tries within the bounds of the configuration.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest wait for the answer to a read that waits for changes.
const FEED_TIMEOUT: Duration =
    Duration::from_millis(FEED_WAIT_MS + ANSWER_TIMEOUT.as_millis() as u64);

/// Carries out a read and tells the reducer what came of it.
pub async fn read(host: Rc<Host>, query: Query) {
    let registration = Registration {
        host: &host.settings.host,
        address: host.settings.peers_address,
    };
    let timeout = match query {
        Query::TargetFeed { .. } | Query::ConfigurationFeed { .. } => FEED_TIMEOUT,
        _ => ANSWER_TIMEOUT,
    };
    let mut exchange = Exchange::new(query);
    let reply = loop {
        let request = exchange.request(registration);
        host.metrics.store_calls.inc();
        let (status, body) = match call(host.settings.store_address, request, timeout)
            .await
        {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!(query = query.as_str(), error:% = error; "the store did not answer");
                break Reply::Failed;
            }
        };
        match exchange.take(status, &body) {
            Ok(Some(reply)) => break reply,
            Ok(None) => {}
            Err(error) => {
                let status = status.as_u16();
                log::debug!(query = query.as_str(), status, error:% = error; "the store's answer can't be used");
                break Reply::Failed;
            }
        }
    };
    host.apply(Event::Store { query, reply });
}
