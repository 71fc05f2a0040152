//! The daemon of an entry host on the users' platform.
//!
//! One process serves callers, asks targets, reads the platform's store and talks to the
//! other entry hosts. Everything is decided by the reducer of `toucancleat-fleet`; here are
//! the sockets, timers, logs and metrics around it. What the platform calls things is in
//! `toucancleat-platform`.
//!
//! All tasks run on one thread. A request's task owns its connections: dropping the task,
//! as happens when the caller leaves, closes them, and the target stops its work.
//!
//! See docs/design/platform.md and docs/OPERATIONS.md.

mod attempt;
mod bodies;
mod callers;
mod clock;
mod connection;
mod error;
mod exchange;
mod host;
mod idle;
mod logging;
mod metrics;
mod page;
mod peers;
mod readiness;
mod relay;
mod request;
mod settings;
mod stop;
mod store;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use toucancleat_fleet::event::Event;
use toucancleat_fleet::state::{Identity, State};

pub use crate::error::Error;
use crate::host::Host;
pub use crate::settings::Settings;

/// Runs one entry host until it is told to stop.
pub async fn run(settings_path: &Path, metrics_port: Option<u16>) -> Result<(), Error> {
    let settings = Settings::read(settings_path)?;
    logging::start(settings.host.as_str());
    log::info!(
        host:% = settings.host,
        availability_zone:% = settings.availability_zone,
        callers_address:% = settings.callers_address;
        "starting"
    );
    let identity = Identity {
        host: settings.host.clone(),
        zone: settings.availability_zone.clone(),
        address: settings.peers_address,
        incarnation: rand::random::<u64>() >> 1,
    };
    let state = State::new(identity, settings.fleet_config(), &settings.seed_addresses);
    let callers = connection::listen(settings.callers_address)?;
    let ready_listener = connection::listen(settings.readiness_address)?;
    let (host, inputs) = Host::new(settings, state);
    let peers = peers::Socket::bind(&host).await?;
    tokio::task::spawn_local(peers::receive(host.clone(), peers.clone()));
    tokio::task::spawn_local(peers::send(host.clone(), peers, inputs));
    tokio::task::spawn_local(page::serve(host.clone(), ready_listener, readiness::page));
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(host.settings.callers_address.ip(), port);
        let listener = connection::listen(address)?;
        tokio::task::spawn_local(page::serve(host.clone(), listener, metrics::page));
    }
    tokio::task::spawn_local(stop::watch_reload(settings_path.to_owned(), host.clone()));
    tokio::task::spawn_local(tick(host.clone()));
    callers::serve(host.clone(), callers).await?;
    log::info!(open_requests = host.open_requests(); "stopped");
    logging::flush();
    Ok(())
}

async fn tick(host: Rc<Host>) {
    let mut ticks = tokio::time::interval(host::TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        host.apply(Event::Tick);
    }
}
