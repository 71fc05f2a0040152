//! Sends one request to the store or an engine and reads its complete reply.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, header};

use crate::connection::Connection;

/// Maximum size in bytes of a reply. A page of the store has at most a megabyte,
/// encoded as base64.
const REPLY_MAX_BYTES: usize = 4 * 1_048_576;

/// The reason why a call has no reply.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("could not connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed before the head of the reply arrived.
    #[error("request failed: {0}")]
    Http(#[from] hyper::Error),
    /// The reply was interrupted, too long or could not be decoded.
    #[error("reply incomplete or invalid: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No complete reply arrived in time.
    #[error("no reply within {0:?}")]
    Timeout(Duration),
}

/// Makes a call and reads the complete reply.
///
/// Fails if there is no complete reply of at most [`REPLY_MAX_BYTES`] within the timeout.
pub async fn call(
    address: SocketAddr,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let (mut parts, body) = request.into_parts();
    if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
        parts.headers.insert(header::HOST, host);
    }
    let request = Request::from_parts(parts, Full::new(body));
    let exchange = async {
        let connection = Connection::open(address).await?;
        let (response, _driver) = connection.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), REPLY_MAX_BYTES)
            .collect()
            .await
            .map_err(CallError::Body)?;
        Ok((status, body.to_bytes()))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|_| CallError::Timeout(timeout))?
}
