//! The proxy's listener, which can refuse connections and take them again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::Shared;
use super::link;

/// The connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A bound port without a listener.
///
/// Connections to it are refused by the system, as they are for a process that has
/// died, and no other process can take the port meanwhile.
#[derive(Debug)]
pub(super) struct Reserved {
    address: SocketAddr,
    /// Never listens; holds the port.
    _socket: TcpSocket,
}

impl Reserved {
    /// Reserves a port.
    pub(super) fn bind(address: SocketAddr) -> io::Result<Reserved> {
        let socket = bound(address)?;
        let address = socket.local_addr()?;
        Ok(Reserved {
            address,
            _socket: socket,
        })
    }

    /// Returns the reserved address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    fn listen(&self) -> io::Result<TcpListener> {
        bound(self.address)?.listen(BACKLOG)
    }
}

fn bound(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections whenever the faults don't refuse them.
pub(super) async fn run(shared: Arc<Shared>, reserved: Reserved) {
    let mut faults = shared.faults.subscribe();
    loop {
        if faults.wait_for(|faults| !faults.refuse).await.is_err() {
            return;
        }
        let listener = match reserved.listen() {
            Ok(listener) => listener,
            Err(err) => {
                log::error!(error = err.to_string().as_str(); "proxy can't listen");
                return;
            }
        };
        shared.listening.send_replace(true);
        tokio::select! {
            () = accept(&shared, listener) => {}
            _ = faults.wait_for(|faults| faults.refuse) => {}
        }
        shared.listening.send_replace(false);
    }
}

async fn accept(shared: &Arc<Shared>, listener: TcpListener) {
    loop {
        if let Ok((client, _)) = listener.accept().await {
            tokio::spawn(counted(Arc::clone(shared), client));
        }
    }
}

async fn counted(shared: Arc<Shared>, client: TcpStream) {
    {
        let records = &mut shared.state().records;
        records.connections += 1;
        records.open_connections += 1;
    }
    link::forward(Arc::clone(&shared), client).await;
    shared.state().records.open_connections -= 1;
}
