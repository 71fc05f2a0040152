//! An HTTP client that distinguishes requests that were certainly not sent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, HOST};
use http::{HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use volo_http::body::Body;
use volo_http::response::Response;

use super::body::read_joined;
use super::connection::{ClientConnection, IdleConnections, UnansweredRequest};

/// An HTTP client whose errors show whether a request may have reached the server.
#[derive(Clone, Debug)]
pub struct HttpClient {
    /// The idle connections that are reused, if any are.
    idle: Option<IdleConnections>,
}

/// One call.
#[derive(Debug)]
pub struct HttpCall<'a> {
    /// Address of the server.
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

/// The reason why a call failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CallError {
    /// No byte of the request was sent, since the server's host refused the connection:
    /// nothing listens at the address.
    #[error("the connection was refused: {0}")]
    Refused(String),
    /// No byte of the request was sent, since no connection could be opened.
    #[error("no connection could be opened: {0}")]
    NotSent(String),
    /// The request may have reached the server, but no reply was received.
    #[error("no reply was received: {0}")]
    NoReply(String),
    /// The reply was not complete within the timeout.
    #[error("no complete reply was received within {0} ms")]
    TimedOut(u64),
    /// The body of the reply was incomplete or larger than its bound.
    #[error("the body of the reply could not be read: {0}")]
    Body(String),
}

impl CallError {
    /// Returns true if it is proved that no byte of the request was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::Refused(_) | CallError::NotSent(_))
    }

    /// Returns true if the connection was refused, as nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, CallError::Refused(_))
    }
}

impl HttpClient {
    /// Creates a client that reuses idle connections.
    pub fn pooled() -> Self {
        HttpClient {
            idle: Some(IdleConnections::default()),
        }
    }

    /// Creates a client that opens a new connection for each call.
    ///
    /// A request that must run at most once needs this: on an idle connection, a close
    /// before the server read the request can't be distinguished from a close after it.
    pub fn unpooled() -> Self {
        HttpClient { idle: None }
    }

    /// Sends a call and returns the reply once its head is received.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply is received; [`CallError::is_not_sent`] is true for
    /// it only if no byte can have been sent.
    pub async fn send(&self, call: HttpCall<'_>) -> Result<Response, CallError> {
        let address = call.address;
        let mut request = self.build_request(call)?;
        loop {
            let idle = self.idle.as_ref().and_then(|idle| idle.take(address));
            let is_new = idle.is_none();
            let connection = match idle {
                Some(connection) => connection,
                None => ClientConnection::open(address)
                    .await
                    .map_err(connect_error)?,
            };
            match connection.send(request).await {
                Ok((response, connection)) => {
                    if let Some(idle) = &self.idle {
                        idle.keep(address, connection);
                    }
                    return Ok(response.map(Body::from_incoming));
                }
                Err(UnansweredRequest {
                    request: Some(unsent),
                    error,
                }) => {
                    if is_new {
                        return Err(CallError::NotSent(error.to_string()));
                    }
                    // The server had closed the idle connection.
                    request = unsent;
                }
                Err(UnansweredRequest { error, .. }) => {
                    return Err(CallError::NoReply(error.to_string()));
                }
            }
        }
    }

    fn build_request(
        &self,
        call: HttpCall<'_>,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let not_sent = |error: http::Error| CallError::NotSent(error.to_string());
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .body(Full::new(call.body))
            .map_err(not_sent)?;
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&call.address.to_string());
        headers.insert(HOST, host.map_err(|error| not_sent(error.into()))?);
        headers.extend(call.headers);
        if self.idle.is_none() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(request)
    }

    /// Sends a call and reads the whole reply within bounds on its time and size.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`HttpClient::send`], or an error if the reply is late,
    /// incomplete or too large.
    pub async fn exchange(
        &self,
        call: HttpCall<'_>,
        timeout_ms: u64,
        reply_max_bytes: usize,
    ) -> Result<http::Response<Bytes>, CallError> {
        let exchange = async {
            let (head, body) = self.send(call).await?.into_parts();
            let bytes = read_joined(body, reply_max_bytes)
                .await
                .map_err(|error| CallError::Body(error.to_string()))?;
            Ok(http::Response::from_parts(head, bytes))
        };
        tokio::time::timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or(Err(CallError::TimedOut(timeout_ms)))
    }

    /// Sends a call and reads the whole reply as long as it makes progress.
    ///
    /// The head and each further part of the body have `part_timeout_ms`, and all together
    /// `timeout_ms`. With a short timeout for the whole reply, a long one that a slow link
    /// carries would be discarded and read again, without end.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`HttpClient::exchange`].
    pub async fn exchange_in_parts(
        &self,
        call: HttpCall<'_>,
        part_timeout_ms: u64,
        timeout_ms: u64,
        reply_max_bytes: usize,
    ) -> Result<http::Response<Bytes>, CallError> {
        let part_timeout = Duration::from_millis(part_timeout_ms);
        let exchange = async {
            let reply = tokio::time::timeout(part_timeout, self.send(call));
            let reply = reply
                .await
                .unwrap_or(Err(CallError::TimedOut(part_timeout_ms)))?;
            let (head, body) = reply.into_parts();
            let mut body = Limited::new(body, reply_max_bytes);
            let mut bytes = BytesMut::new();
            loop {
                let part = tokio::time::timeout(part_timeout, body.frame());
                match part
                    .await
                    .map_err(|_| CallError::TimedOut(part_timeout_ms))?
                {
                    None => break,
                    Some(Err(error)) => return Err(CallError::Body(error.to_string())),
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            bytes.extend_from_slice(&data);
                        }
                    }
                }
            }
            Ok(http::Response::from_parts(head, bytes.freeze()))
        };
        tokio::time::timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or(Err(CallError::TimedOut(timeout_ms)))
    }
}

fn connect_error(error: io::Error) -> CallError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => CallError::Refused(error.to_string()),
        _ => CallError::NotSent(error.to_string()),
    }
}
