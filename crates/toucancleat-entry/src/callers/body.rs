//! Reads a request's body within bounds on its size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::LengthLimitError;
use toucancleat_core::refusal::{Problem, Refusal};
use volo_http::body::Body;

use crate::http::read_joined;

/// Reads a whole body.
///
/// # Errors
///
/// Returns the refusal of a body that is too large, too slow or incomplete.
pub(super) async fn read(
    body: Body,
    max_bytes: u64,
    timeout_ms: u64,
) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let reading = read_joined(body, max_bytes);
    match tokio::time::timeout(Duration::from_millis(timeout_ms), reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
            Problem::TooLarge,
            format!("expected a body of at most {max_bytes} bytes"),
        )),
        Ok(Err(_)) => Err(Refusal::not_run(Problem::Malformed, "the body broke off")),
        Err(_) => Err(Refusal::not_run(
            Problem::BodyTimeout,
            format!("expected the whole body within {timeout_ms} ms"),
        )),
    }
}
