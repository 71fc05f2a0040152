//! The thread that holds the connections between this host and its peers.
//!
//! The futures of `capnp-rpc` are not `Send`. All connections therefore run on one thread
//! with a current-thread runtime, and channels carry messages to and from it.

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

/// The key, sizes and timeouts of the connections between entry hosts.
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
/// Dropping the value closes all connections and joins their thread.
#[derive(Debug)]
pub struct PeerTransport {
    address: SocketAddr,
    outgoing: mpsc::Sender<(SocketAddr, Envelope)>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Messages whose delivery failed or was not acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct UndeliveredMessages {
    /// The address of the peer for which they were intended.
    pub peer_address: SocketAddr,
    /// The messages. After a timeout the peer may nevertheless have received them.
    pub envelopes: Vec<Envelope>,
}

impl Config {
    /// Creates a configuration with default bounds and the key that all peers share.
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

    /// Sets the maximum number of messages queued for one peer, at least 1.
    ///
    /// Messages beyond it are reported as undelivered.
    pub fn queue_messages(mut self, count: usize) -> Self {
        self.queue_messages = count.max(1);
        self
    }

    /// Sets the maximum number of messages in one call, from 1 to 1,024.
    pub fn batch_messages(mut self, count: usize) -> Self {
        self.batch_messages = count.clamp(1, 1_024);
        self
    }

    /// Sets the maximum size of the messages in one call, in bytes before packing.
    ///
    /// A single message that exceeds it is sent in a call of its own.
    pub fn batch_bytes(mut self, bytes: usize) -> Self {
        self.batch_bytes = bytes;
        self
    }

    /// Sets the maximum number of accepted connections that are open at once, at least 1.
    pub fn connections_max(mut self, count: usize) -> Self {
        self.connections_max = count.max(1);
        self
    }

    /// Sets the timeout of connecting and proving the key, in milliseconds.
    pub fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.connect_timeout_ms = ms;
        self
    }

    /// Sets the timeout of a call, in milliseconds.
    ///
    /// Nothing else detects a half-open connection.
    pub fn call_timeout_ms(mut self, ms: u64) -> Self {
        self.call_timeout_ms = ms;
        self
    }

    /// Sets the time after which a connection without messages is closed, in milliseconds.
    pub fn idle_timeout_ms(mut self, ms: u64) -> Self {
        self.idle_timeout_ms = ms;
        self
    }

    /// Sets the first and the longest delay of the exponential backoff after a failed
    /// delivery, in milliseconds.
    ///
    /// A `max_ms` below `min_ms` is raised to it.
    pub fn backoff_ms(mut self, min_ms: u64, max_ms: u64) -> Self {
        self.backoff_min_ms = min_ms;
        self.backoff_max_ms = max_ms.max(min_ms);
        self
    }
}

impl std::fmt::Debug for Config {
    /// Formats the bounds without the key, which is a secret.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Config")
            .field("queue_messages", &self.queue_messages)
            .field("batch_messages", &self.batch_messages)
            .field("connections_max", &self.connections_max)
            .field("call_timeout_ms", &self.call_timeout_ms)
            .finish_non_exhaustive()
    }
}

impl PeerTransport {
    /// Listens for peers and passes the messages that they send to `incoming`.
    ///
    /// While `incoming` is full, replies to peers are delayed, so that they send more slowly.
    /// While `undelivered` is full, reports of undelivered messages are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the thread can't be started.
    pub fn start(
        config: Config,
        listen: SocketAddr,
        incoming: mpsc::Sender<Envelope>,
        undelivered: mpsc::Sender<UndeliveredMessages>,
    ) -> Result<Self, StartError> {
        let error = |source| StartError {
            address: listen,
            source,
        };
        let listener = StdTcpListener::bind(listen).map_err(error)?;
        listener.set_nonblocking(true).map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let (outgoing, receiver) = mpsc::channel(config.queue_messages * 8);
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || {
                run_connections(
                    config,
                    listener,
                    incoming,
                    undelivered,
                    receiver,
                    stopped,
                )
            })
            .map_err(error)?;
        Ok(PeerTransport {
            address,
            outgoing,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address on which peers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message for the peer at an address, without blocking.
    ///
    /// # Errors
    ///
    /// Returns an error, and drops the message, if the queue of outgoing messages is full or
    /// the thread of the connections has ended.
    pub fn send(
        &self,
        peer_address: SocketAddr,
        envelope: Envelope,
    ) -> Result<(), QueueFull> {
        self.outgoing
            .try_send((peer_address, envelope))
            .map_err(|_| QueueFull)
    }
}

impl Drop for PeerTransport {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of the peer connections panicked");
        }
    }
}

fn run_connections(
    config: Config,
    listener: StdTcpListener,
    incoming: mpsc::Sender<Envelope>,
    undelivered: mpsc::Sender<UndeliveredMessages>,
    outgoing: mpsc::Receiver<(SocketAddr, Envelope)>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            return log::error!(
                "failed to start the runtime of the peer connections; \
                 this host exchanges no messages with its peers: {error}"
            );
        }
    };
    let connections = async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                return log::error!(
                    "failed to register the listener for peers; \
                     this host exchanges no messages with its peers: {error}"
                );
            }
        };
        let outbound = Outbound::new(config.clone(), undelivered);
        tokio::select! {
            () = inbound::accept(config, listener, incoming) => {}
            () = outbound.run(outgoing) => {}
            _ = stopped => {}
        }
    };
    LocalSet::new().block_on(&runtime, connections);
}
