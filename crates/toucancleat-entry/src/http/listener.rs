//! A TCP listener that stops accepting connections on cancellation.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};

/// Pause after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A bound port for one server.
#[derive(Debug)]
pub struct Listener {
    listener: Option<TcpListener>,
    address: SocketAddr,
    stop: CancellationToken,
}

impl Listener {
    /// Binds an address; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be bound.
    pub async fn bind(address: SocketAddr, stop: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Listener {
            listener: Some(listener),
            address,
            stop,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        while let Some(listener) = &self.listener {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    // Tokens are small, and each must be sent without delay.
                    stream.set_nodelay(true)?;
                    return Ok(Some(Conn::from(stream)));
                }
                Err(error) => {
                    log::warn!("accepting a connection failed; pausing: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        // N.B. the server calls `accept` again immediately after `Ok(None)`, so a stopped
        // listener closes its port and never returns.
        self.listener = None;
        std::future::pending().await
    }
}

impl MakeIncoming for Listener {
    type Incoming = Listener;

    async fn make_incoming(self) -> io::Result<Self::Incoming> {
        Ok(self)
    }
}
