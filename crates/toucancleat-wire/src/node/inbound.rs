//! Connections that peers have opened.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use toucancleat_core::peer::Envelope;

use super::Config;
use crate::codec::{decode_batch, reader_options};
use crate::peer_capnp::{door, peer};

/// Wait after a failure to accept, such as too many open files.
const ACCEPT_RETRY_MS: u64 = 50;

/// Accepts connections until the task is dropped.
pub(super) async fn accept(
    config: Config,
    listener: TcpListener,
    incoming: mpsc::Sender<Envelope>,
) {
    let slots = Arc::new(Semaphore::new(config.connections_max));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("expected a connection from a peer: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        let (config, incoming) = (config.clone(), incoming.clone());
        tokio::task::spawn_local(async move {
            serve(config, stream, incoming).await;
            drop(slot);
        });
    }
}

/// Serves one connection until it ends, stays idle or doesn't prove the key in time.
async fn serve(config: Config, stream: TcpStream, incoming: mpsc::Sender<Envelope>) {
    let _ = stream.set_nodelay(true);
    let deadline = Instant::now() + Duration::from_millis(config.connect_timeout_ms);
    let idle_at = Rc::new(Cell::new(deadline));
    let idle_timeout = Duration::from_millis(config.idle_timeout_ms);
    let key = Arc::clone(&config.key);
    let door = Door {
        key,
        incoming,
        idle_at: Rc::clone(&idle_at),
        idle_timeout,
    };
    let client: door::Client = capnp_rpc::new_client(door);
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Server,
        reader_options(),
    );
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        result = system => {
            if let Err(error) = result {
                log::debug!("a peer's connection has failed: {error}");
            }
        }
        () = until_idle(&idle_at) => log::debug!("an idle peer's connection was closed"),
    }
}

async fn until_idle(idle_at: &Cell<Instant>) {
    while Instant::now() < idle_at.get() {
        tokio::time::sleep_until(idle_at.get()).await;
    }
}

/// The first object of a connection, which gives the peer only against the key.
struct Door {
    key: Arc<[u8]>,
    incoming: mpsc::Sender<Envelope>,
    idle_at: Rc<Cell<Instant>>,
    idle_timeout: Duration,
}

impl door::Server for Door {
    async fn open(
        self: Rc<Self>,
        params: door::OpenParams,
        mut results: door::OpenResults,
    ) -> Result<(), capnp::Error> {
        let key = params.get()?.get_key()?;
        if !bool::from(key.ct_eq(&self.key)) {
            log::warn!("a connection to the peers' port has not proved the peers' key");
            return Err(capnp::Error::failed("expected the peers' key".to_owned()));
        }
        self.idle_at.set(Instant::now() + self.idle_timeout);
        let peer = Peer {
            door: Rc::clone(&self),
        };
        results.get().set_peer(capnp_rpc::new_client(peer));
        Ok(())
    }
}

/// What a peer may call once it has proved the key.
struct Peer {
    door: Rc<Door>,
}

impl peer::Server for Peer {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        self.door
            .idle_at
            .set(Instant::now() + self.door.idle_timeout);
        let batch = decode_batch(params.get()?.get_packed()?);
        let envelopes = batch.map_err(|error| {
            log::warn!("a peer's batch was refused: {error}");
            capnp::Error::failed(error.to_string())
        })?;
        for envelope in envelopes {
            // N.B. Waiting here delays the reply, which slows the sender down.
            if self.door.incoming.send(envelope).await.is_err() {
                return Err(capnp::Error::disconnected(
                    "the host is stopping".to_owned(),
                ));
            }
        }
        Ok(())
    }
}
