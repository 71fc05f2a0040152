//! A client for the outside protocols.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderName, HeaderValue, Method};
use http_body_util::{BodyExt, Limited};
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;
use volo_http::response::Response;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that tells apart what certainly did not reach the other side.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    keeps_connections: bool,
}

/// One call.
#[derive(Debug)]
pub struct Call<'a> {
    /// Where to.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Further headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
}

/// Why a call has no reply.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CallError {
    /// No byte of the request left, since the other side's host refused the connection:
    /// nothing listens there.
    #[error("the connection was refused: {0}")]
    Refused(String),
    /// No byte of the request left, since no connection could be opened.
    #[error("no connection could be opened: {0}")]
    NotSent(String),
    /// The request may have reached the other side.
    #[error("no reply came: {0}")]
    NoReply(String),
    /// The reply took too long.
    #[error("no reply came within {0} ms")]
    TimedOut(u64),
    /// The body of the reply broke off or was larger than its bound.
    #[error("the reply's body can't be read: {0}")]
    Body(String),
}

impl CallError {
    /// Says whether it is proved that no byte of the request left.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::Refused(_) | CallError::NotSent(_))
    }

    /// Says whether nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, CallError::Refused(_))
    }
}

impl std::fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpClient").finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Makes a client that keeps idle connections for the next call.
    pub fn pooled() -> Self {
        HttpClient::with_idle_connections(1_024)
    }

    /// Makes a client that opens a connection for each call.
    ///
    /// A request that must run at most once goes this way: on a connection that was idle,
    /// "closed by the other side" can't be told from "read and then closed".
    pub fn fresh() -> Self {
        HttpClient::with_idle_connections(0)
    }

    fn with_idle_connections(idle_max: usize) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_max_idle_per_host(idle_max);
        let client = builder.build().expect("the client's settings are constant");
        HttpClient {
            client,
            keeps_connections: idle_max > 0,
        }
    }

    /// Sends a call and returns the reply when its head has come.
    ///
    /// # Errors
    ///
    /// Returns an error that [`CallError::is_not_sent`] only where no byte can have left.
    pub async fn send(&self, call: Call<'_>) -> Result<Response, CallError> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut builder = self.client.request(call.method, uri);
        for (name, value) in call.headers {
            builder.headers_mut().insert(name, value);
        }
        if !self.keeps_connections {
            // N.B. without this the library may hand a connection that becomes free just
            // now to a call that waits for its own.
            let close = HeaderValue::from_static("close");
            builder.headers_mut().insert(CONNECTION, close);
        }
        let sent = builder.body(Body::from(call.body)).send().await;
        sent.map_err(|error| match error.kind() {
            _ if is_refused(&error) => CallError::Refused(error.to_string()),
            ErrorKind::Connect | ErrorKind::Builder => {
                CallError::NotSent(error.to_string())
            }
            _ if has_no_connection(&error) => CallError::NotSent(error.to_string()),
            _ => CallError::NoReply(error.to_string()),
        })
    }

    /// Sends a call and reads the whole reply within bounds of time and size.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`HttpClient::send`], and one for a reply that came too late,
    /// broke off or was too large.
    pub async fn exchange(
        &self,
        call: Call<'_>,
        timeout_ms: u64,
        reply_max_bytes: usize,
    ) -> Result<http::Response<Bytes>, CallError> {
        let exchange = async {
            let (head, body) = self.send(call).await?.into_parts();
            let collected = Limited::new(body, reply_max_bytes).collect().await;
            let bytes = collected
                .map_err(|error| CallError::Body(error.to_string()))?
                .to_bytes();
            Ok(http::Response::from_parts(head, bytes))
        };
        tokio::time::timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or(Err(CallError::TimedOut(timeout_ms)))
    }
}

/// Says whether a connection could not even be opened.
///
/// N.B. the library reports that as an error of the request whose direct source is the
/// system's error; an error on an open connection has the HTTP library's error between.
fn has_no_connection(error: &ClientError) -> bool {
    error
        .source()
        .is_some_and(|source| source.is::<io::Error>())
}

/// Looks for a refused connection among an error's sources.
fn is_refused(error: &(dyn Error + 'static)) -> bool {
    let mut source = Some(error);
    while let Some(current) = source {
        let refused = current
            .downcast_ref::<io::Error>()
            .is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
        source = current.source();
    }
    false
}
