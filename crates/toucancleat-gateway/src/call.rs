//! Sends one request to the store or an engine and reads its complete reply.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Request, Response, header};

use crate::connection::Connection;

/// Length of a body up to which it is read at once; a link of 10 Mbit/s carries it in 52 ms.
const UNPACED_BYTES: usize = 65_536;

/// Maximum time by which pacing may delay a body. What it contains is out of date by as much.
const PACED_TIME_MAX_S: f64 = 2.0;

/// Limits on the reply to one call.
#[derive(Clone, Copy, Debug)]
pub struct ReplyLimits {
    /// Maximum wait for the head, and for each further part of the body.
    pub idle_timeout: Duration,
    /// Maximum time from the head to the end of the body.
    pub body_timeout: Duration,
    /// Maximum length of the body.
    pub body_max_bytes: usize,
    /// Rate at which a long body is read, so that callers' requests find room on the link. It
    /// is read faster if it would take too long.
    pub body_bytes_per_s: Option<f64>,
}

impl ReplyLimits {
    /// Returns the time after which a number of bytes of a body may have been read.
    fn paced_time(&self, read_bytes: usize, length: Option<u64>) -> Duration {
        let paced_bytes = read_bytes.saturating_sub(UNPACED_BYTES) as f64;
        let (Some(bytes_per_s), Some(length)) = (self.body_bytes_per_s, length) else {
            return Duration::ZERO;
        };
        let bytes_per_s = bytes_per_s.max(length as f64 / PACED_TIME_MAX_S);
        Duration::from_secs_f64(paced_bytes / bytes_per_s)
    }
}

/// The reason why a call has no reply.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("could not connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed before the head of the reply arrived.
    #[error("request failed: {0}")]
    Http(#[from] hyper::Error),
    /// The reply was interrupted or could not be decoded.
    #[error("reply incomplete or invalid: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The reply is longer than its limit.
    #[error("reply longer than {0} bytes")]
    TooLong(usize),
    /// No complete reply arrived in time.
    #[error("no reply within {0:?}")]
    Timeout(Duration),
}

/// Makes a call and reads the complete reply.
///
/// Fails if the head of the reply isn't received in time, if the body makes no progress for
/// as long, or if the body exceeds its limits.
pub async fn call(
    address: SocketAddr,
    request: Request<Bytes>,
    limits: ReplyLimits,
) -> Result<Response<Bytes>, CallError> {
    let (mut parts, body) = request.into_parts();
    if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
        parts.headers.insert(header::HOST, host);
    }
    let request = Request::from_parts(parts, Full::new(body));
    let exchange = async {
        let connection = Connection::open(address).await?;
        Ok::<_, CallError>(connection.send(request).await?)
    };
    let (response, _driver) = tokio::time::timeout(limits.idle_timeout, exchange)
        .await
        .map_err(|_| CallError::Timeout(limits.idle_timeout))??;
    let (head, body) = response.into_parts();
    let body = read_body(body, limits).await?;
    Ok(Response::from_parts(head, body))
}

/// Reads a body to its end, within the limits.
pub async fn read_body<B>(body: B, limits: ReplyLimits) -> Result<Bytes, CallError>
where
    B: Body + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    tokio::time::timeout(limits.body_timeout, read_parts(body, limits))
        .await
        .map_err(|_| CallError::Timeout(limits.body_timeout))?
}

async fn read_parts<B>(body: B, limits: ReplyLimits) -> Result<Bytes, CallError>
where
    B: Body + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let length = body.size_hint().exact();
    let mut body = Limited::new(body, limits.body_max_bytes);
    let mut bytes = BytesMut::new();
    let start = tokio::time::Instant::now();
    loop {
        tokio::time::sleep_until(start + limits.paced_time(bytes.len(), length)).await;
        let frame = tokio::time::timeout(limits.idle_timeout, body.frame())
            .await
            .map_err(|_| CallError::Timeout(limits.idle_timeout))?;
        match frame {
            None => return Ok(bytes.freeze()),
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(CallError::TooLong(limits.body_max_bytes));
            }
            Some(Err(error)) => return Err(CallError::Body(error)),
            Some(Ok(frame)) => {
                if let Ok(mut data) = frame.into_data() {
                    bytes.put(&mut data);
                }
            }
        }
    }
}
