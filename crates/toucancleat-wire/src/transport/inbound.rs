//! Connections that peers open to this host.

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

/// Delay before the next attempt after accepting failed, as with too many open files.
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
                log::warn!(
                    "failed to accept a connection from a peer; \
                     retrying after {ACCEPT_RETRY_MS} ms: {error}"
                );
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

/// Serves one connection until it ends, is idle for too long or fails to prove the key in
/// time.
async fn serve(config: Config, stream: TcpStream, incoming: mpsc::Sender<Envelope>) {
    let _ = stream.set_nodelay(true);
    let deadline = Instant::now() + Duration::from_millis(config.connect_timeout_ms);
    let expires_at = Rc::new(Cell::new(deadline));
    let idle_timeout = Duration::from_millis(config.idle_timeout_ms);
    let key = Arc::clone(&config.key);
    let bootstrap = BootstrapServer {
        key,
        incoming,
        expires_at: Rc::clone(&expires_at),
        idle_timeout,
    };
    let client: door::Client = capnp_rpc::new_client(bootstrap);
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
                log::debug!("a connection from a peer failed and is closed: {error}");
            }
        }
        () = wait_until_expired(&expires_at) =>
            log::debug!("closed a connection that was idle or had not proved the key in time"),
    }
}

async fn wait_until_expired(expires_at: &Cell<Instant>) {
    while Instant::now() < expires_at.get() {
        tokio::time::sleep_until(expires_at.get()).await;
    }
}

/// The bootstrap capability of a connection, `Door` in the schema.
///
/// It returns the capability to deliver messages only to a host that proves the peers' key.
struct BootstrapServer {
    key: Arc<[u8]>,
    incoming: mpsc::Sender<Envelope>,
    expires_at: Rc<Cell<Instant>>,
    idle_timeout: Duration,
}

impl door::Server for BootstrapServer {
    async fn open(
        self: Rc<Self>,
        params: door::OpenParams,
        mut results: door::OpenResults,
    ) -> Result<(), capnp::Error> {
        let key = params.get()?.get_key()?;
        if !bool::from(key.ct_eq(&self.key)) {
            log::warn!(
                "refused a connection to the peers' port: its key is not the peers' key"
            );
            return Err(capnp::Error::failed("expected the peers' key".to_owned()));
        }
        self.expires_at.set(Instant::now() + self.idle_timeout);
        let peer = PeerServer {
            bootstrap: Rc::clone(&self),
        };
        results.get().set_peer(capnp_rpc::new_client(peer));
        Ok(())
    }
}

/// The capability of a peer that has proved the key, `Peer` in the schema.
struct PeerServer {
    bootstrap: Rc<BootstrapServer>,
}

impl peer::Server for PeerServer {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        self.bootstrap
            .expires_at
            .set(Instant::now() + self.bootstrap.idle_timeout);
        let batch = decode_batch(params.get()?.get_packed()?);
        let envelopes = batch.map_err(|error| {
            log::warn!(
                "failed to decode a batch from a peer; refusing all of it: {error}"
            );
            capnp::Error::failed(error.to_string())
        })?;
        for envelope in envelopes {
            // N.B. Waiting here delays the reply. The peer awaits it before it sends another
            // batch, which limits its rate.
            if self.bootstrap.incoming.send(envelope).await.is_err() {
                return Err(capnp::Error::disconnected(
                    "the host is stopping".to_owned(),
                ));
            }
        }
        Ok(())
    }
}
