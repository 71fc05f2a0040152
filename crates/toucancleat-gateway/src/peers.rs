//! Sends and receives the datagrams between entry hosts.
//!
//! The next datagram replaces a lost one, and there is no connection that could hang in a
//! partition. See docs/design/platform.md, "Messages between hosts".

use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use toucancleat_fleet::event::Event;
use toucancleat_fleet::peers::{Message, Recipient};

use crate::Error;
use crate::datagram::{decode, encode};
use crate::host::Host;

/// Maximum size in bytes of a received datagram.
const DATAGRAM_MAX_BYTES: usize = 65_000;

/// The UDP socket for messages between hosts, shared by the sending and the receiving task.
#[derive(Clone, Debug)]
pub struct Socket(Rc<UdpSocket>);

/// A message that waits to be sent.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// The addresses that the message is sent to, with the echo for each.
    pub recipients: Vec<Recipient>,
    /// The message.
    pub message: Box<Message>,
}

impl Socket {
    /// Opens the socket. Fails if the address for peers can't be bound.
    pub async fn bind(host: &Host) -> Result<Self, Error> {
        let address = host.settings.peers_address;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|error| Error::listen(address, error))?;
        Ok(Socket(Rc::new(socket)))
    }
}

/// Receives the messages of peers and applies them to the reducer.
pub async fn receive(host: Rc<Host>, socket: Socket) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let length = match socket.0.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(error:% = error; "could not receive a datagram; waiting for the next");
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(message) => host.apply(Event::MessageReceived(Box::new(message))),
            Err(error) => {
                log::warn!(error:% = error; "could not decode a datagram; dropping it");
            }
        }
    }
}

/// Sends the messages that the reducer has queued.
pub async fn send(
    host: Rc<Host>,
    socket: Socket,
    mut outgoing: UnboundedReceiver<OutgoingMessage>,
) {
    while let Some(OutgoingMessage {
        recipients,
        message,
    }) = outgoing.recv().await
    {
        let (message, extension) = match encode(*message) {
            Ok(parts) => parts,
            Err(error) => {
                log::error!(error:% = error; "could not encode a message to peers; dropping it");
                continue;
            }
        };
        host.metrics.datagrams.inc_by(recipients.len() as u64);
        for (address, echo) in recipients {
            let Ok(mut datagram) = postcard::to_extend(&echo, message.clone()) else {
                continue;
            };
            datagram.extend_from_slice(&extension);
            // A datagram that can't be sent at once is dropped, so that a full socket buffer
            // doesn't delay the next ones.
            if let Err(error) = socket.0.try_send_to(&datagram, address) {
                log::debug!(error:% = error, address:% = address; "could not send a datagram; dropping it");
            }
        }
    }
}
