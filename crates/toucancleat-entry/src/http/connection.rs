//! Client connections, and those that wait for the next request.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::time::Instant;
use toucancleat_http::{HeadBoundedStream, HeadProgress};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of idle connections to one server.
const IDLE_PER_SERVER_MAX: usize = 1_024;

/// Time after which an idle connection isn't used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size of the head of a reply, and of what is read of its body at once.
const READ_MAX_BYTES: usize = 65_536;

/// A connection on which one request at a time can be sent.
#[derive(Debug)]
pub(super) struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    head: Arc<HeadProgress>,
}

/// A request that has no reply.
#[derive(Debug)]
pub(super) struct UnansweredRequest {
    /// The request, if no byte of it was sent.
    pub(super) request: Option<Request<Full<Bytes>>>,
    /// What went wrong.
    pub(super) error: hyper::Error,
}

/// The idle connections of a client, by server.
#[derive(Clone, Debug, Default)]
pub(super) struct IdleConnections(Arc<Mutex<IndexMap<SocketAddr, Vec<IdleConnection>>>>);

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    since: Instant,
}

impl ClientConnection {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let connecting =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let head = Arc::new(HeadProgress::default());
        let stream = HeadBoundedStream::new(stream, head.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // It ends when the sender and the body of the last reply are dropped.
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error, address:% = address; "connection to a server failed");
            }
        });
        Ok(ClientConnection { sender, head })
    }

    /// Sends a request and waits for the head of the reply. Returns the reply and the connection, which
    /// can be used again once the body has been read.
    pub(super) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Self), UnansweredRequest> {
        self.head.begin_request();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head.record_head();
                Ok((response, self))
            }
            Err(mut failed) => Err(UnansweredRequest {
                request: failed.take_message(),
                error: failed.into_error(),
            }),
        }
    }
}

impl IdleConnections {
    /// Takes the connection to a server that was used last, if one is open.
    pub(super) fn take(&self, address: SocketAddr) -> Option<ClientConnection> {
        let mut servers = self.lock();
        let idle = servers.get_mut(&address)?;
        while let Some(candidate) = idle.pop() {
            if candidate.is_usable() {
                return Some(candidate.connection);
            }
        }
        servers.swap_remove(&address);
        None
    }

    /// Keeps a connection from the end of its reply on, unless the server closes it.
    pub(super) fn keep(&self, address: SocketAddr, mut connection: ClientConnection) {
        let servers = self.clone();
        tokio::spawn(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            let mut servers = servers.lock();
            let idle = servers.entry(address).or_default();
            idle.retain(IdleConnection::is_usable);
            if idle.len() < IDLE_PER_SERVER_MAX {
                idle.push(IdleConnection {
                    connection,
                    since: Instant::now(),
                });
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Vec<IdleConnection>>> {
        // Each change is complete by itself, also after a panic.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.connection.sender.is_ready() && self.since.elapsed() < IDLE_TIMEOUT
    }
}
