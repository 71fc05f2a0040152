//! Connections that this host opens to its peers.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use toucancleat_core::peer::Envelope;

use super::{Config, UndeliveredMessages};
use crate::codec::{encode_batch, reader_options, unpacked_size_bytes};
use crate::peer_capnp::{door, peer};

/// The queues and connections to all peers.
pub(super) struct Outbound {
    config: Config,
    undelivered: mpsc::Sender<UndeliveredMessages>,
    peers: Rc<RefCell<HashMap<SocketAddr, Rc<Queue>>>>,
}

/// Messages that wait to be sent to one peer.
#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<Envelope>>,
    added: Notify,
}

/// An open connection, which is closed when it is dropped.
struct Connection {
    peer: peer::Client,
    system: AbortOnDrop,
}

/// The task that reads and writes a connection, which is aborted when this is dropped.
struct AbortOnDrop(JoinHandle<Result<(), capnp::Error>>);

/// The sender of one peer, which takes batches from its queue and sends them one call at a
/// time.
struct Sender {
    config: Config,
    peer_address: SocketAddr,
    queue: Rc<Queue>,
    undelivered: mpsc::Sender<UndeliveredMessages>,
    connection: Option<Connection>,
    backoff_ms: u64,
}

impl Outbound {
    pub(super) fn new(
        config: Config,
        undelivered: mpsc::Sender<UndeliveredMessages>,
    ) -> Self {
        Outbound {
            config,
            undelivered,
            peers: Rc::default(),
        }
    }

    /// Distributes outgoing messages to the queues of their peers until the transport is
    /// dropped.
    pub(super) async fn run(self, mut outgoing: mpsc::Receiver<(SocketAddr, Envelope)>) {
        while let Some((peer_address, envelope)) = outgoing.recv().await {
            let queue = self.queue_for(peer_address);
            let mut waiting = queue.waiting.borrow_mut();
            if waiting.len() < self.config.queue_messages {
                waiting.push_back(envelope);
                queue.added.notify_one();
            } else {
                report_undelivered(&self.undelivered, peer_address, vec![envelope]);
            }
        }
    }

    /// Returns the queue of a peer, creating it and starting its sender if there is none.
    fn queue_for(&self, peer_address: SocketAddr) -> Rc<Queue> {
        if let Some(queue) = self.peers.borrow().get(&peer_address) {
            return Rc::clone(queue);
        }
        let queue = Rc::new(Queue::default());
        self.peers
            .borrow_mut()
            .insert(peer_address, Rc::clone(&queue));
        let sender = Sender {
            config: self.config.clone(),
            peer_address,
            queue: Rc::clone(&queue),
            undelivered: self.undelivered.clone(),
            connection: None,
            backoff_ms: 0,
        };
        let peers = Rc::clone(&self.peers);
        tokio::task::spawn_local(async move {
            sender.run().await;
            peers.borrow_mut().remove(&peer_address);
        });
        queue
    }
}

impl Sender {
    /// Sends until no message has been queued for half of the idle timeout.
    async fn run(mut self) {
        let idle = Duration::from_millis(self.config.idle_timeout_ms / 2);
        loop {
            let batch = self
                .queue
                .take_batch(self.config.batch_messages, self.config.batch_bytes);
            if !batch.is_empty() {
                self.send(batch).await;
                continue;
            }
            if timeout(idle, self.queue.added.notified()).await.is_err()
                && self.queue.waiting.borrow().is_empty()
            {
                return;
            }
        }
    }

    /// Sends one batch. Messages that are queued meanwhile form the next one.
    async fn send(&mut self, batch: Vec<Envelope>) {
        match self.try_send(&batch).await {
            Ok(()) => self.backoff_ms = 0,
            Err(error) => {
                log::debug!(
                    "failed to deliver a batch to {}; \
                     reporting its messages as undelivered: {error}",
                    self.peer_address
                );
                self.connection = None;
                report_undelivered(&self.undelivered, self.peer_address, batch);
                self.wait_backoff().await;
            }
        }
    }

    async fn try_send(&mut self, batch: &[Envelope]) -> Result<(), capnp::Error> {
        if self
            .connection
            .as_ref()
            .is_none_or(|open| open.system.0.is_finished())
        {
            let limit = Duration::from_millis(self.config.connect_timeout_ms);
            let open =
                timeout(limit, Connection::open(&self.config, self.peer_address)).await;
            self.connection = Some(open.map_err(|_| timeout_error("a connection"))??);
        }
        let Some(connection) = &self.connection else {
            return Err(timeout_error("a connection"));
        };
        let mut request = connection.peer.deliver_request();
        request.get().set_packed(&encode_batch(batch));
        let limit = Duration::from_millis(self.config.call_timeout_ms);
        let reply = timeout(limit, request.send().promise).await;
        reply.map_err(|_| timeout_error("a reply"))??;
        Ok(())
    }

    async fn wait_backoff(&mut self) {
        let doubled = self.backoff_ms * 2;
        let (min, max) = (self.config.backoff_min_ms, self.config.backoff_max_ms);
        self.backoff_ms = doubled.clamp(min, max);
        tokio::time::sleep(Duration::from_millis(self.backoff_ms)).await;
    }
}

impl Queue {
    /// Takes the next batch: one message, if any waits, and further ones within both bounds.
    fn take_batch(&self, count_max: usize, bytes_max: usize) -> Vec<Envelope> {
        let mut waiting = self.waiting.borrow_mut();
        let mut bytes = 0;
        let mut count = 0;
        for envelope in waiting.iter().take(count_max) {
            bytes += unpacked_size_bytes(envelope);
            if count > 0 && bytes > bytes_max {
                break;
            }
            count += 1;
        }
        waiting.drain(..count).collect()
    }
}

impl Connection {
    /// Connects to a peer and proves the peers' key.
    async fn open(
        config: &Config,
        peer_address: SocketAddr,
    ) -> Result<Self, capnp::Error> {
        let stream = TcpStream::connect(peer_address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let bootstrap: door::Client = system.bootstrap(Side::Server);
        let system = AbortOnDrop(tokio::task::spawn_local(system));
        let mut request = bootstrap.open_request();
        request.get().set_key(&config.key);
        let reply = request.send().promise.await?;
        let peer = reply.get()?.get_peer()?;
        Ok(Connection { peer, system })
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn report_undelivered(
    undelivered: &mpsc::Sender<UndeliveredMessages>,
    peer_address: SocketAddr,
    envelopes: Vec<Envelope>,
) {
    if undelivered
        .try_send(UndeliveredMessages {
            peer_address,
            envelopes,
        })
        .is_err()
    {
        log::warn!(
            "dropped a report of undelivered messages: its channel is full or closed"
        );
    }
}

fn timeout_error(awaited: &str) -> capnp::Error {
    capnp::Error::overloaded(format!("timed out while waiting for {awaited}"))
}
