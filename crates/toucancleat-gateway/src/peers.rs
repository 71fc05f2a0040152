//! Datagrams between entry hosts.
//!
//! A lost datagram is made up for by the next one, and there is no connection that could
//! hang in a partition. See docs/design/platform.md, "What hosts tell each other".

use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use toucancleat_fleet::event::Event;
use toucancleat_fleet::peers::{Echo, Message, Receiver};

use crate::Error;
use crate::host::Host;

/// Most bytes of a datagram.
const DATAGRAM_MAX_BYTES: usize = 65_000;

/// The socket on which hosts hear each other, shared by both directions.
#[derive(Clone, Debug)]
pub struct Socket(Rc<UdpSocket>);

/// A message on its way out.
#[derive(Debug)]
pub struct Outgoing {
    /// Where to, with the echo for each receiver.
    pub to: Vec<Receiver>,
    /// What.
    pub message: Box<Message>,
}

impl Socket {
    /// Opens the socket.
    pub async fn bind(host: &Host) -> Result<Self, Error> {
        let address = host.settings.peers_address;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|error| Error::listen(address, error))?;
        Ok(Socket(Rc::new(socket)))
    }
}

/// Tells the reducer what other hosts say.
pub async fn receive(host: Rc<Host>, socket: Socket) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let length = match socket.0.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(error:% = error; "a datagram could not be received");
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(message) => host.apply(Event::Heard(Box::new(message))),
            Err(error) => {
                log::warn!(error:% = error; "a datagram is no message of an entry host");
            }
        }
    }
}

/// Sends what the reducer has to say.
pub async fn send(
    host: Rc<Host>,
    socket: Socket,
    mut outgoing: UnboundedReceiver<Outgoing>,
) {
    while let Some(Outgoing { to, message }) = outgoing.recv().await {
        let message = match postcard::to_stdvec(&message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "a message to other hosts can't be encoded");
                continue;
            }
        };
        host.metrics.datagrams.inc_by(to.len() as u64);
        for (address, echo) in to {
            let Ok(datagram) = postcard::to_extend(&echo, message.clone()) else {
                continue;
            };
            // Nothing waits for a datagram, so a full link must not hold up the next.
            if let Err(error) = socket.0.try_send_to(&datagram, address) {
                log::debug!(error:% = error, address:% = address; "a datagram was not sent");
            }
        }
    }
}

/// Reads a message and the echo behind it.
fn decode(datagram: &[u8]) -> postcard::Result<Message> {
    let (mut message, rest) = postcard::take_from_bytes::<Message>(datagram)?;
    message.echo = postcard::from_bytes::<Option<Echo>>(rest)?;
    Ok(message)
}
