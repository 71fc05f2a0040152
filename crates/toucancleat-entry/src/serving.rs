//! The life cycle of an entry host: its start, its registration and its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use toucancleat_core::Event;
use volo_http::server::{Router, Server};

use crate::callers;
use crate::config::Config;
use crate::driver::{Driver, Input};
use crate::error::Error;
use crate::host::Host;
use crate::http::Listener;
use crate::observe;
use crate::operators;
use crate::peers::Peers;
use crate::platform::ListedHost;

/// Bound on the removal from the host list at a stop, as the platform may be unreachable.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two attempts to register in the host list.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// Time for the callers' connections to write their last bytes at a planned stop.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for claims to finish and the lease of the orders to be released at a planned
/// stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the release of claims and lease is polled.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Index of the callers' server in the list of tasks.
const CALLERS_SERVER: usize = 1;

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    host: Arc<Host>,
    callers_address: SocketAddr,
    operators_address: SocketAddr,
    peers_address: SocketAddr,
    stop_callers: CancellationToken,
    stop_operators: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryHost {
    /// Opens the ports and starts serving.
    ///
    /// The host becomes ready once it has settings, so it may start while the platform is
    /// unreachable.
    ///
    /// # Errors
    ///
    /// Returns an error when a port can't be opened.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let stop_callers = CancellationToken::new();
        let stop_operators = CancellationToken::new();
        let callers = Listener::bind(config.callers_address, stop_callers.clone())
            .await
            .map_err(|error| Error::listen("the callers' port", error))?;
        let operators = Listener::bind(config.operators_address, stop_operators.clone())
            .await
            .map_err(|error| Error::listen("the operators' port", error))?;
        let peers = Peers::start(&config.peer_key, config.peers_address)?;
        let peers_address = peers.address();
        let callers_address = callers.address();
        let operators_address = operators.address();
        let (sender, inputs) = mpsc::unbounded_channel();
        let host = Arc::new(Host::new(config, sender));
        let tasks = vec![
            tokio::spawn(Driver::new(host.clone(), peers, inputs).run()),
            tokio::spawn(serve(callers, callers::router(host.clone()))),
            tokio::spawn(serve(operators, operators::router(host.clone()))),
            tokio::spawn(register(host.clone(), peers_address, operators_address)),
        ];
        log::info!(
            host = host.config.host.as_str(),
            zone = host.config.zone.as_str(),
            callers_address = callers_address.to_string();
            "the entry host has started"
        );
        Ok(EntryHost {
            host,
            callers_address,
            operators_address,
            peers_address,
            stop_callers,
            stop_operators,
            tasks,
        })
    }

    /// Returns where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Returns where operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Returns where other entry hosts connect.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// Returns true if a request that arrives now would be accepted.
    pub fn is_ready(&self) -> bool {
        self.host.is_ready()
    }

    /// Returns the number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.host.in_progress()
    }

    /// Makes a planned stop: refuses new requests, finishes those in progress, then
    /// stops.
    ///
    /// Returns true if every request was finished within the configured bound.
    pub async fn drain(mut self) -> bool {
        log::info!(
            requests_in_progress = self.host.in_progress();
            "planned stop begins; new requests are refused"
        );
        self.host.drain();
        self.host.notify_driver(Input::Event(Event::Drain));
        self.deregister().await;
        let bound = Duration::from_millis(self.host.config.drain_timeout_ms);
        let finished = tokio::time::timeout(bound, self.host.wait_idle())
            .await
            .is_ok();
        if !finished {
            log::warn!(
                requests_in_progress = self.host.in_progress();
                "the drain timeout expired; stopping with requests in progress"
            );
        }
        self.wait_until_released().await;
        self.stop_callers.cancel();
        self.flush().await;
        self.stop_tasks();
        finished
    }

    /// Waits until the claims are finished and the lease of the orders is released.
    ///
    /// N.B. other hosts resolve later whatever this one leaves open: a claim's row
    /// records that its request may have run, and the lease expires.
    async fn wait_until_released(&self) {
        let released = async {
            while !self.has_released().await {
                tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(RELEASE_TIMEOUT, released)
            .await
            .is_err()
        {
            log::warn!(
                "claims or the lease of the orders were not released in time; leaving them"
            );
        }
    }

    async fn has_released(&self) -> bool {
        // N.B. the lease is unusable from the moment its release is sent, but it is
        // released only once the table has applied the write.
        let released = self
            .host
            .inspect(|state| state.claims.is_empty() && state.orders.is_lease_settled());
        released.await.unwrap_or(true)
    }

    /// Waits until the callers' server has written its buffered bytes.
    ///
    /// N.B. the server ends by itself on the signal that requests a stop. A stop that is
    /// requested otherwise gives the server only this time.
    async fn flush(&mut self) {
        let server = &mut self.tasks[CALLERS_SERVER];
        if tokio::time::timeout(FLUSH_TIMEOUT, server).await.is_err() {
            log::info!(
                "closing the callers' connections that are still open after the flush timeout"
            );
        }
    }

    /// Stops at once, as if the process were killed.
    pub fn abort(mut self) {
        self.stop_tasks();
    }

    fn stop_tasks(&mut self) {
        self.stop_callers.cancel();
        self.stop_operators.cancel();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Removes the host from the host list, so that the load balancer uses other hosts.
    async fn deregister(&self) {
        let name = self.host.config.host.as_str();
        let deleted = self.host.platform.delete_host(name);
        match tokio::time::timeout(DEREGISTER_TIMEOUT, deleted).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::warn!(
                    "could not remove the host from the host list; stopping anyway: {error}"
                )
            }
            Err(_) => {
                log::warn!(
                    "removing the host from the host list timed out; stopping anyway"
                )
            }
        }
    }
}

async fn serve(listener: Listener, router: Router) {
    let result = Server::new(router).run(listener).await;
    if let Err(error) = result {
        log::error!("an HTTP server stopped and is not restarted: {error}");
    }
}

/// Registers the host in the host list, retrying for as long as the platform is
/// unreachable.
async fn register(
    host: Arc<Host>,
    peers_address: SocketAddr,
    operators_address: SocketAddr,
) {
    let config = &host.config;
    let listed = ListedHost {
        name: config.host.to_string(),
        zone: config.zone.to_string(),
        role: observe::ROLE_ENTRY.to_owned(),
        state: "live".to_owned(),
        peer_address: Some(peers_address),
        operator_address: Some(operators_address),
        address: None,
    };
    while let Err(error) = host.platform.put_host(&listed).await {
        log::warn!(
            "the host could not be registered in the host list; retrying: {error}"
        );
        tokio::time::sleep(REGISTER_RETRY).await;
    }
}
