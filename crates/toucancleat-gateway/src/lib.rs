//! The daemon of an entry host on the users' platform.
//!
//! One process serves callers, forwards their requests to targets, reads the platform's
//! store and exchanges messages with its peers. The reducer of `toucancleat-fleet` makes all
//! decisions; this crate has the sockets, timers, logs and metrics around it. The names and
//! formats of the platform are in `toucancleat-platform`.
//!
//! All tasks run on one thread. The task of a request owns the request's connections. When
//! the caller disconnects, the task is dropped, which closes them, and the target stops the
//! run.
//!
//! See docs/design/platform.md and docs/OPERATIONS.md.

mod attempt;
mod bodies;
pub mod call;
mod callers;
mod clock;
mod connection;
pub mod datagram;
mod error;
mod event_log;
mod handoff;
mod host;
pub mod log_interval;
mod logging;
pub mod memory;
mod metrics;
mod page;
mod peers;
mod readiness;
mod relay;
mod report;
mod request;
mod settings;
mod stop;
mod store;
pub mod stream_body;
mod timeouts;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use toucancleat_fleet::event::Event;
use toucancleat_fleet::state::{Identity, State};

pub use crate::error::Error;
use crate::host::Host;
pub use crate::settings::Settings;

/// Runs one entry host until its planned stop is complete.
///
/// Fails if the settings can't be read or are invalid, an address can't be bound, or the
/// signals for a stop can't be received.
pub async fn run(settings_path: &Path, metrics_port: Option<u16>) -> Result<(), Error> {
    let settings = Settings::read(settings_path)?;
    logging::start(settings.host.as_str());
    log::info!(
        host:% = settings.host,
        availability_zone:% = settings.availability_zone,
        callers_address:% = settings.callers_address,
        is_first_start = settings.is_first_start;
        "starting"
    );
    let identity = Identity {
        host: settings.host.clone(),
        zone: settings.availability_zone.clone(),
        address: settings.peers_address,
        incarnation: rand::random::<u64>() >> 1,
    };
    let state = State::new(identity, settings.fleet_config(), &settings.seed_addresses);
    let callers_listener = connection::listen(settings.callers_address)?;
    let readiness_listener = connection::listen(settings.readiness_address)?;
    let handoffs_listener = connection::listen(settings.peers_address)?;
    let (host, outgoing) = Host::new(settings, state);
    let peers = peers::Socket::bind(&host).await?;
    tokio::task::spawn_local(peers::receive(host.clone(), peers.clone()));
    tokio::task::spawn_local(peers::send(host.clone(), peers, outgoing));
    tokio::task::spawn_local(handoff::serve(host.clone(), handoffs_listener));
    tokio::task::spawn_local(page::serve(
        host.clone(),
        readiness_listener,
        readiness::respond,
    ));
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(host.settings.callers_address.ip(), port);
        let listener = connection::listen(address)?;
        tokio::task::spawn_local(page::serve(host.clone(), listener, metrics::respond));
    }
    tokio::task::spawn_local(stop::watch_reload_signals(
        settings_path.to_owned(),
        host.clone(),
    ));
    tokio::task::spawn_local(run_ticks(host.clone()));
    callers::serve(host.clone(), callers_listener).await?;
    log::info!(open_requests = host.open_request_count(); "stopped");
    logging::flush();
    Ok(())
}

async fn run_ticks(host: Rc<Host>) {
    let mut ticks = tokio::time::interval(host::TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        host.apply(Event::Tick);
    }
}
