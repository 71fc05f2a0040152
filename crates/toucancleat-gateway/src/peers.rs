//! Sends and receives the datagrams between entry hosts.
//!
//! The next datagram replaces a lost one, and there is no connection that could hang in a
//! partition. See docs/design/platform.md, "Messages between hosts".

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use toucancleat_fleet::event::Event;
use toucancleat_fleet::peers::{Message, Recipient};
use toucancleat_fleet::stream_origin::OriginMessage;

use crate::datagram::{Datagram, decode, encode, encode_origin};
use crate::host::Host;
use crate::log_interval::LogInterval;
use crate::{Error, clock};

/// Maximum size in bytes of a received datagram.
const DATAGRAM_MAX_BYTES: usize = 65_000;

/// The UDP socket for messages between hosts, shared by the sending and the receiving task.
#[derive(Clone, Debug)]
pub struct Socket(Rc<UdpSocket>);

/// A message that waits to be sent.
#[derive(Debug)]
pub enum OutgoingMessage {
    /// The state of this host, to addresses with the echo for each.
    State(Vec<Recipient>, Box<Message>),
    /// A message about the origin of a stream.
    Origin(Vec<SocketAddr>, OriginMessage),
    /// None. It shows that all messages before it have been sent.
    Barrier(oneshot::Sender<()>),
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
    let mut invalid = LogInterval::default();
    loop {
        let (length, from) = match socket.0.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "could not receive a datagram; waiting for the next");
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(Datagram::State(message)) => host.apply(Event::MessageReceived(message)),
            Ok(Datagram::Origin(message)) => {
                host.apply(Event::OriginMessageReceived { from, message });
            }
            Err(error) => {
                host.metrics.invalid_datagrams.inc();
                if let Some(datagrams) = invalid.record(clock::now_ms()) {
                    log::warn!(error:% = error, address:% = from, datagrams; "could not decode a datagram; dropping it");
                }
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
    while let Some(outgoing_message) = outgoing.recv().await {
        let sent = match outgoing_message {
            OutgoingMessage::State(recipients, message) => {
                send_state(&host, &socket, recipients, *message)
            }
            OutgoingMessage::Origin(recipients, message) => {
                send_origin(&host, &socket, &recipients, &message)
            }
            OutgoingMessage::Barrier(done) => {
                // Nobody may be waiting any more.
                let _ = done.send(());
                Ok(())
            }
        };
        if let Err(error) = sent {
            log::error!(error:% = error; "could not encode a message to peers; dropping it");
        }
    }
}

fn send_state(
    host: &Host,
    socket: &Socket,
    recipients: Vec<Recipient>,
    message: Message,
) -> postcard::Result<()> {
    let message = encode(message)?;
    host.metrics.datagrams.inc_by(recipients.len() as u64);
    for recipient in recipients {
        let datagram = message.complete(&recipient.echo, &recipient.predecessor)?;
        send_datagram(socket, &datagram, recipient.address);
    }
    Ok(())
}

fn send_origin(
    host: &Host,
    socket: &Socket,
    recipients: &[SocketAddr],
    message: &OriginMessage,
) -> postcard::Result<()> {
    let datagram = encode_origin(message)?;
    host.metrics.datagrams.inc_by(recipients.len() as u64);
    for address in recipients {
        send_datagram(socket, &datagram, *address);
    }
    Ok(())
}

/// Sends a datagram. One that can't be sent at once is dropped, so that a full socket buffer
/// doesn't delay the next ones.
fn send_datagram(socket: &Socket, datagram: &[u8], address: SocketAddr) {
    if let Err(error) = socket.0.try_send_to(datagram, address) {
        log::debug!(error:% = error, address:% = address; "could not send a datagram; dropping it");
    }
}
