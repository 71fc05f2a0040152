//! The transport of messages between this entry host and others.

use std::net::SocketAddr;

use tokio::sync::mpsc;
use toucancleat_core::Event;
use toucancleat_core::peer::Envelope;
use toucancleat_wire::{Config, PeerTransport, UndeliveredMessages};

use crate::driver::Input;
use crate::error::Error;

/// Bound on the messages from peers that are queued for the driver.
const INCOMING_MAX: usize = 1_024;
/// Bound on the reports of undelivered messages that are queued for the driver.
const UNDELIVERED_MAX: usize = 256;

/// The peers' port and the queues of what it receives.
#[derive(Debug)]
pub(crate) struct Peers {
    transport: PeerTransport,
    incoming: mpsc::Receiver<Envelope>,
    undelivered: mpsc::Receiver<UndeliveredMessages>,
}

impl Peers {
    /// Opens the peers' port.
    pub(crate) fn start(key: &str, address: SocketAddr) -> Result<Self, Error> {
        let (incoming_sender, incoming) = mpsc::channel(INCOMING_MAX);
        let (undelivered_sender, undelivered) = mpsc::channel(UNDELIVERED_MAX);
        let config = Config::new(key.as_bytes());
        let transport =
            PeerTransport::start(config, address, incoming_sender, undelivered_sender)
                .map_err(Error::peers)?;
        Ok(Peers {
            transport,
            incoming,
            undelivered,
        })
    }

    /// Returns the address of the peers' port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.transport.address()
    }

    /// Sends a message. A full queue drops it, which every reducer tolerates.
    pub(crate) fn send(&self, to: SocketAddr, envelope: Envelope) {
        if self.transport.send(to, envelope).is_err() {
            log::debug!(
                to = to.to_string();
                "the queue to the peer is full; the message is dropped"
            );
        }
    }

    /// Waits for the next event from a peer.
    pub(crate) async fn next(&mut self) -> Option<Input> {
        let event = tokio::select! {
            envelope = self.incoming.recv() => Event::Received(Box::new(envelope?)),
            undelivered = self.undelivered.recv() => {
                Event::Undelivered { to: undelivered?.peer_address }
            }
        };
        Some(Input::Event(event))
    }
}
