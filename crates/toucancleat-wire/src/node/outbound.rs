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

use super::{Config, Undelivered};
use crate::codec::{encode_batch, encoded_bytes, reader_options};
use crate::peer_capnp::{door, peer};

/// The queues and connections towards all peers.
pub(super) struct Outbound {
    config: Config,
    undelivered: mpsc::Sender<Undelivered>,
    peers: Rc<RefCell<HashMap<SocketAddr, Rc<Queue>>>>,
}

/// Messages that wait for one peer.
#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<Envelope>>,
    added: Notify,
}

/// An open connection; dropping it closes it.
struct Connection {
    peer: peer::Client,
    system: AbortOnDrop,
}

/// The task that moves a connection's bytes.
struct AbortOnDrop(JoinHandle<Result<(), capnp::Error>>);

/// One peer's sender: takes batches off the queue, one call at a time.
struct Sender {
    config: Config,
    to: SocketAddr,
    queue: Rc<Queue>,
    undelivered: mpsc::Sender<Undelivered>,
    connection: Option<Connection>,
    backoff_ms: u64,
}

impl Outbound {
    pub(super) fn new(config: Config, undelivered: mpsc::Sender<Undelivered>) -> Self {
        Outbound {
            config,
            undelivered,
            peers: Rc::default(),
        }
    }

    /// Sorts messages into their peers' queues until the node is dropped.
    pub(super) async fn run(self, mut commands: mpsc::Receiver<(SocketAddr, Envelope)>) {
        while let Some((to, envelope)) = commands.recv().await {
            let queue = self.queue(to);
            let mut waiting = queue.waiting.borrow_mut();
            if waiting.len() < self.config.queue_messages {
                waiting.push_back(envelope);
                queue.added.notify_one();
            } else {
                report(&self.undelivered, to, vec![envelope]);
            }
        }
    }

    fn queue(&self, to: SocketAddr) -> Rc<Queue> {
        if let Some(queue) = self.peers.borrow().get(&to) {
            return Rc::clone(queue);
        }
        let queue = Rc::new(Queue::default());
        self.peers.borrow_mut().insert(to, Rc::clone(&queue));
        let sender = Sender {
            config: self.config.clone(),
            to,
            queue: Rc::clone(&queue),
            undelivered: self.undelivered.clone(),
            connection: None,
            backoff_ms: 0,
        };
        let peers = Rc::clone(&self.peers);
        tokio::task::spawn_local(async move {
            sender.run().await;
            peers.borrow_mut().remove(&to);
        });
        queue
    }
}

impl Sender {
    /// Sends until no message has come for the idle time.
    async fn run(mut self) {
        let idle = Duration::from_millis(self.config.idle_timeout_ms / 2);
        loop {
            let batch = self
                .queue
                .take(self.config.batch_messages, self.config.batch_bytes);
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

    /// Sends one batch; messages that arrive meanwhile form the next.
    async fn send(&mut self, batch: Vec<Envelope>) {
        match self.try_send(&batch).await {
            Ok(()) => self.backoff_ms = 0,
            Err(error) => {
                log::debug!("a batch for {} was not delivered: {error}", self.to);
                self.connection = None;
                report(&self.undelivered, self.to, batch);
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
            let open = timeout(limit, Connection::open(&self.config, self.to)).await;
            self.connection = Some(open.map_err(|_| late("a connection"))??);
        }
        let Some(connection) = &self.connection else {
            return Err(late("a connection"));
        };
        let mut request = connection.peer.deliver_request();
        request.get().set_packed(&encode_batch(batch));
        let limit = Duration::from_millis(self.config.call_timeout_ms);
        let reply = timeout(limit, request.send().promise).await;
        reply.map_err(|_| late("a reply"))??;
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
    /// Takes the next batch: at least one message, then more within both bounds.
    fn take(&self, count_max: usize, bytes_max: usize) -> Vec<Envelope> {
        let mut waiting = self.waiting.borrow_mut();
        let mut bytes = 0;
        let mut count = 0;
        for envelope in waiting.iter().take(count_max) {
            bytes += encoded_bytes(envelope);
            if count > 0 && bytes > bytes_max {
                break;
            }
            count += 1;
        }
        waiting.drain(..count).collect()
    }
}

impl Connection {
    /// Connects and proves the peers' key.
    async fn open(config: &Config, to: SocketAddr) -> Result<Self, capnp::Error> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let door: door::Client = system.bootstrap(Side::Server);
        let system = AbortOnDrop(tokio::task::spawn_local(system));
        let mut request = door.open_request();
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

fn report(
    undelivered: &mpsc::Sender<Undelivered>,
    to: SocketAddr,
    envelopes: Vec<Envelope>,
) {
    if undelivered.try_send(Undelivered { to, envelopes }).is_err() {
        log::warn!("a report of undelivered messages was dropped");
    }
}

fn late(what: &str) -> capnp::Error {
    capnp::Error::overloaded(format!("expected {what} in time"))
}
