//! Sends one request to the store or an engine and reads its complete reply.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, header};

use crate::connection::Connection;

/// Maximum size in bytes of a reply. A page of the store has at most a megabyte,
/// encoded as base64.
const REPLY_MAX_BYTES: usize = 4 * 1_048_576;

/// Maximum time in which the body of a reply must be complete.
const BODY_TIMEOUT_MAX: Duration = Duration::from_secs(5);

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
/// Fails if the head of the reply isn't received within the timeout, if the body makes no
/// progress for as long, or if the reply is longer than [`REPLY_MAX_BYTES`]. There is no
/// timeout for the whole body other than [`BODY_TIMEOUT_MAX`]: a host on a slow link that has
/// to read a long configuration would discard what it has received and start again, without
/// end.
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
        Ok::<_, CallError>(connection.send(request).await?)
    };
    let (response, _driver) = tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|_| CallError::Timeout(timeout))??;
    let status = response.status();
    let body =
        tokio::time::timeout(BODY_TIMEOUT_MAX, read_body(response.into_body(), timeout))
            .await
            .map_err(|_| CallError::Timeout(BODY_TIMEOUT_MAX))??;
    Ok((status, body))
}

/// Reads a body to its end. Fails if it makes no progress for `idle_timeout`.
pub async fn read_body<B>(body: B, idle_timeout: Duration) -> Result<Bytes, CallError>
where
    B: Body + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = Limited::new(body, REPLY_MAX_BYTES);
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame())
            .await
            .map_err(|_| CallError::Timeout(idle_timeout))?;
        match frame {
            None => return Ok(bytes.freeze()),
            Some(Err(error)) => return Err(CallError::Body(error)),
            Some(Ok(frame)) => {
                if let Ok(mut data) = frame.into_data() {
                    bytes.put(&mut data);
                }
            }
        }
    }
}
