//! TCP connections, with timeouts for a remote end that does not respond.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use toucancleat_http::{HeadBoundedStream, HeadProgress};

use crate::Error;

/// Maximum wait for a connection to open. Within a region this takes a few milliseconds; a
/// longer wait means a partition or a full accept queue, and TCP would retransmit the SYN
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time that sent bytes may stay unacknowledged before the connection is closed. A sound
/// machine may be silent for a second or two. Keep-alive probes, of which none are sent, would be
/// given up after this time too, whatever their number.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Maximum number of connections that wait to be accepted; callers may connect in bursts.
const BACKLOG: u32 = 1_024;

/// Maximum size of the head of an answer, and of what is read of its body at once. Many faulty targets at
/// the same time must not exhaust the memory with heads without end.
const READ_MAX_BYTES: usize = 65_536;

/// Listens at an address. Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| Error::listen(address, error))
}

/// Sets the options of every connection: no delay of small writes (`TCP_NODELAY`), and a
/// timeout for unacknowledged bytes (`TCP_USER_TIMEOUT`).
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::warn!(error:% = error; "could not set socket options; using the connection without them");
    }
}

/// Connects to an address. Fails if the connection isn't open within the connect timeout.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)?
}

/// A client connection that sends one request; dropping it closes the connection.
///
/// Connections to targets are not reused: a late answer, or bytes after an answer, would be
/// taken for the answer to the next request.
#[derive(Debug)]
pub struct Connection<B> {
    sender: SendRequest<B>,
    driver: Driver,
    head: Arc<HeadProgress>,
}

/// The task that does the I/O of a connection; dropping it closes the connection.
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
    /// Opens a connection. Fails if it isn't open within the connect timeout.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = connect(address).await?;
        set_options(&stream);
        let head = Arc::new(HeadProgress::default());
        let stream = HeadBoundedStream::new(stream, head.clone());
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection to a target or the store failed");
            }
        });
        Ok(Connection {
            sender,
            driver: Driver(driver),
            head,
        })
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// The body of the answer can be read as long as the returned driver is kept.
    pub async fn send(
        mut self,
        request: Request<B>,
    ) -> hyper::Result<(Response<Incoming>, Driver)> {
        let response = self.sender.send_request(request).await?;
        self.head.record_head();
        Ok((response, self.driver))
    }
}
