//! Listener of a proxy, which can refuse connections and accept them again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::Shared;
use super::link;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A bound port without a listener.
///
/// The operating system refuses connections to it, as it does after a process has
/// crashed, and no other process can bind the port meanwhile.
#[derive(Debug)]
pub(super) struct ReservedPort {
    address: SocketAddr,
    /// Holds the port and never listens.
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a port. Returns an error if the address can't be bound.
    pub(super) fn bind(address: SocketAddr) -> io::Result<ReservedPort> {
        let socket = bind_socket(address)?;
        let address = socket.local_addr()?;
        Ok(ReservedPort {
            address,
            _socket: socket,
        })
    }

    /// Returns the reserved address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    fn listen(&self) -> io::Result<TcpListener> {
        bind_socket(self.address)?.listen(BACKLOG)
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections while the `refuse` fault isn't set.
pub(super) async fn run(shared: Arc<Shared>, reserved: ReservedPort) {
    let mut faults = shared.faults.subscribe();
    loop {
        if faults.wait_for(|faults| !faults.refuse).await.is_err() {
            return;
        }
        let listener = match reserved.listen() {
            Ok(listener) => listener,
            Err(err) => {
                log::error!(
                    error = err.to_string().as_str();
                    "proxy failed to listen; it accepts no more connections"
                );
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
            tokio::spawn(forward_counted(Arc::clone(shared), client));
        }
    }
}

/// Forwards a connection and counts it in the records.
async fn forward_counted(shared: Arc<Shared>, client: TcpStream) {
    {
        let records = &mut shared.state().records;
        records.connections += 1;
        records.open_connections += 1;
    }
    link::forward(Arc::clone(&shared), client).await;
    shared.state().records.open_connections -= 1;
}
