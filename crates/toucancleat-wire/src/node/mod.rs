//! The thread that talks to the peers.
//!
//! `capnp-rpc`'s futures can't move between threads, so one thread with a current-thread
//! runtime holds all connections, and messages pass to and from it by channel.

mod inbound;
mod outbound;

use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use toucancleat_core::peer::Envelope;

use self::outbound::Outbound;
use crate::error::{QueueFull, StartError};

/// Bounds of the connections between entry hosts.
#[derive(Clone)]
pub struct Config {
    key: Arc<[u8]>,
    queue_messages: usize,
    batch_messages: usize,
    batch_bytes: usize,
    connections_max: usize,
    connect_timeout_ms: u64,
    call_timeout_ms: u64,
    idle_timeout_ms: u64,
    backoff_min_ms: u64,
    backoff_max_ms: u64,
}

/// The connections of one entry host to its peers.
///
/// Dropping it closes all connections and ends the thread.
#[derive(Debug)]
pub struct PeerNode {
    address: SocketAddr,
    commands: mpsc::Sender<(SocketAddr, Envelope)>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Messages that were not delivered, or not provably.
#[derive(Clone, Debug, PartialEq)]
pub struct Undelivered {
    /// The address that they were meant for.
    pub to: SocketAddr,
    /// The messages. After a timeout the peer may have received them nonetheless.
    pub envelopes: Vec<Envelope>,
}

impl Config {
    /// Makes the default bounds with the key that all peers share.
    pub fn new(key: &[u8]) -> Self {
        Config {
            key: Arc::from(key),
            queue_messages: 1_024,
            batch_messages: 256,
            batch_bytes: 262_144,
            connections_max: 1_024,
            connect_timeout_ms: 500,
            call_timeout_ms: 1_000,
            idle_timeout_ms: 120_000,
            backoff_min_ms: 50,
            backoff_max_ms: 2_000,
        }
    }

    /// Sets the most messages that wait for one peer.
    pub fn queue_messages(mut self, count: usize) -> Self {
        self.queue_messages = count.max(1);
        self
    }

    /// Sets the most messages in one call.
    pub fn batch_messages(mut self, count: usize) -> Self {
        self.batch_messages = count.clamp(1, 1_024);
        self
    }

    /// Sets the size above which a call takes no further message.
    pub fn batch_bytes(mut self, bytes: usize) -> Self {
        self.batch_bytes = bytes;
        self
    }

    /// Sets the most connections that are accepted at once.
    pub fn connections_max(mut self, count: usize) -> Self {
        self.connections_max = count.max(1);
        self
    }

    /// Sets the time for connecting and proving the key.
    pub fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.connect_timeout_ms = ms;
        self
    }

    /// Sets the time that a call may take; a half-open link shows only by it.
    pub fn call_timeout_ms(mut self, ms: u64) -> Self {
        self.call_timeout_ms = ms;
        self
    }

    /// Sets the time after which a connection without messages is closed.
    pub fn idle_timeout_ms(mut self, ms: u64) -> Self {
        self.idle_timeout_ms = ms;
        self
    }

    /// Sets the least and the longest wait before connecting again after a failure.
    pub fn backoff_ms(mut self, min_ms: u64, max_ms: u64) -> Self {
        self.backoff_min_ms = min_ms;
        self.backoff_max_ms = max_ms.max(min_ms);
        self
    }
}

impl std::fmt::Debug for Config {
    /// Leaves the key out.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Config")
            .field("queue_messages", &self.queue_messages)
            .field("batch_messages", &self.batch_messages)
            .field("connections_max", &self.connections_max)
            .field("call_timeout_ms", &self.call_timeout_ms)
            .finish_non_exhaustive()
    }
}

impl PeerNode {
    /// Listens for peers, and passes on what they send.
    ///
    /// A full `incoming` slows the peers down; a full `undelivered` drops the report.
    pub fn start(
        config: Config,
        listen: SocketAddr,
        incoming: mpsc::Sender<Envelope>,
        undelivered: mpsc::Sender<Undelivered>,
    ) -> Result<Self, StartError> {
        let error = |source| StartError {
            address: listen,
            source,
        };
        let listener = StdTcpListener::bind(listen).map_err(error)?;
        listener.set_nonblocking(true).map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let (commands, receiver) = mpsc::channel(config.queue_messages * 8);
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || {
                run(config, listener, incoming, undelivered, receiver, stopped)
            })
            .map_err(error)?;
        Ok(PeerNode {
            address,
            commands,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address on which peers are heard.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message for the peer at an address, without waiting.
    pub fn send(&self, to: SocketAddr, envelope: Envelope) -> Result<(), QueueFull> {
        self.commands
            .try_send((to, envelope))
            .map_err(|_| QueueFull)
    }
}

impl Drop for PeerNode {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread for the peers has panicked");
        }
    }
}

fn run(
    config: Config,
    listener: StdTcpListener,
    incoming: mpsc::Sender<Envelope>,
    undelivered: mpsc::Sender<Undelivered>,
    commands: mpsc::Receiver<(SocketAddr, Envelope)>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return log::error!("expected a runtime for the peers: {error}"),
    };
    let work = async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => return log::error!("expected a listener for peers: {error}"),
        };
        let outbound = Outbound::new(config.clone(), undelivered);
        tokio::select! {
            () = inbound::accept(config, listener, incoming) => {}
            () = outbound.run(commands) => {}
            _ = stopped => {}
        }
    };
    LocalSet::new().block_on(&runtime, work);
}
