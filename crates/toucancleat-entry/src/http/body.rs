//! Reads whole bodies within a bound on their size.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, Limited};

/// Reads a body to its end and joins its parts as they arrive.
///
/// N.B. a list of the parts, as `BodyExt::collect` keeps it, takes many times their length if they
/// are short.
///
/// # Errors
///
/// Returns an error if the body breaks off, and a `LengthLimitError` if it is longer than
/// `max_bytes`.
pub async fn read_joined<B>(
    body: B,
    max_bytes: usize,
) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame?.into_data() {
            bytes.extend_from_slice(&part);
        }
    }
    Ok(bytes.freeze())
}
