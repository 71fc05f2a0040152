//! Connections that don't hang.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

use crate::Error;

/// Longest wait for a connection. A connection within a region is there within some
/// milliseconds; one that takes longer meets a partition or a full queue, and its opening
/// packet would be sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time that sent bytes may stay unacknowledged before the connection is given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Connections that may wait to be accepted; a rush comes at once.
const BACKLOG: u32 = 1_024;

/// Listens at an address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| Error::listen(address, error))
}

/// Sets what every connection has: no delay of small writes, and an end where the other
/// side is silent.
pub fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::warn!(error:% = error; "a connection's options could not be set");
    }
}

/// One connection on which one request is sent.
///
/// Kept connections are not used towards targets: an answer that comes late, or bytes
/// behind an answer, would meet the next request there. Dropping this closes it.
#[derive(Debug)]
pub struct Connection<B> {
    sender: SendRequest<B>,
    driver: Driver,
}

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
pub struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl<B> Connection<B>
where
    B: Body + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
        prepare(&stream);
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream))
                .await
                .map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "a connection to a target or the store broke");
            }
        });
        Ok(Connection {
            sender,
            driver: Driver(driver),
        })
    }

    /// Sends the request and waits for the head of the answer.
    pub async fn send(
        mut self,
        request: Request<B>,
    ) -> hyper::Result<(Response<Incoming>, Driver)> {
        let response = self.sender.send_request(request).await?;
        Ok((response, self.driver))
    }
}
