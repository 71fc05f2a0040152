//! An entry host from its start to its planned stop.

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

/// Time in which the host list is told of a stop, which may not be reachable.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two attempts to get on the host list.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// Time in which the callers' connections may write their last bytes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which claims and the lease of the orders may be settled at a planned stop.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two looks at whether they are.
const SETTLE_PAUSE: Duration = Duration::from_millis(20);
/// Place of the callers' server among the tasks.
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
    /// The host is ready only when it has settings, so it may start while the platform is
    /// away.
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

    /// Says whether a request that came now would be taken.
    pub fn is_ready(&self) -> bool {
        self.host.is_ready()
    }

    /// Returns the number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.host.in_progress()
    }

    /// Stops as planned: takes no new requests, finishes those in progress, then ends.
    ///
    /// Returns whether every request was finished within the configured bound.
    pub async fn drain(mut self) -> bool {
        log::info!(
            requests_in_progress = self.host.in_progress();
            "the entry host is stopping and takes no new requests"
        );
        self.host.drain();
        self.host.tell(Input::Event(Event::Drain));
        self.leave().await;
        let bound = Duration::from_millis(self.host.config.drain_timeout_ms);
        let finished = tokio::time::timeout(bound, self.host.wait_idle())
            .await
            .is_ok();
        if !finished {
            log::warn!(
                requests_in_progress = self.host.in_progress();
                "the bound of the planned stop has passed with requests in progress"
            );
        }
        self.settle().await;
        self.stop_callers.cancel();
        self.flush().await;
        self.end();
        finished
    }

    /// Waits until the claims are finished and the lease of the orders is given back.
    ///
    /// N.B. what is not settled in time is settled by others, only later: a claim's row
    /// says that its request may have run, and the lease lapses.
    async fn settle(&self) {
        let settled = async {
            while !self.is_settled().await {
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
        };
        if tokio::time::timeout(SETTLE_TIMEOUT, settled).await.is_err() {
            log::warn!("claims or the lease of the orders were not settled in time");
        }
    }

    async fn is_settled(&self) -> bool {
        // N.B. the lease is of no use from the moment its release is sent, but it is given
        // back only when the table has the release.
        let settled = self
            .host
            .inspect(|state| state.claims.is_empty() && state.orders.is_lease_settled());
        settled.await.unwrap_or(true)
    }

    /// Waits for the callers' server to write what it still holds.
    ///
    /// N.B. the server ends by itself on the signal that asked for the stop. A stop that
    /// was asked for otherwise only gives it this time.
    async fn flush(&mut self) {
        let server = &mut self.tasks[CALLERS_SERVER];
        if tokio::time::timeout(FLUSH_TIMEOUT, server).await.is_err() {
            log::info!("connections were still open at the end of the planned stop");
        }
    }

    /// Ends at once, as if the process were killed.
    pub fn abort(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stop_callers.cancel();
        self.stop_operators.cancel();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Tells the host list, so that the balancer looks elsewhere.
    async fn leave(&self) {
        let name = self.host.config.host.as_str();
        let left = self.host.platform.delete_host(name);
        match tokio::time::timeout(LEAVE_TIMEOUT, left).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::warn!("the host list was not told of the stop: {error}")
            }
            Err(_) => log::warn!("the host list was not told of the stop in time"),
        }
    }
}

async fn serve(listener: Listener, router: Router) {
    let served = Server::new(router).run(listener).await;
    if let Err(error) = served {
        log::error!("a server ended: {error}");
    }
}

/// Puts the host on the host list, however long the platform is away.
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
        log::warn!("the host could not be put on the host list: {error}");
        tokio::time::sleep(REGISTER_RETRY).await;
    }
}
