//! Reading of request bodies, with a bound on each body and on all of them together.
//!
//! A body is kept until its request is answered, since a retry may send it to another
//! target ([`crate::memory`]).

use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use toucancleat_fleet::configuration::CallerLimits;

use crate::memory::{HeldBytes, MemoryBound, NoRoom};

/// A reader of request bodies that bounds the memory of all bodies together.
#[derive(Clone, Debug)]
pub struct BodyReader(MemoryBound);

/// The reason why a body was not read. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the bound on one body.
    TooLarge,
    /// The body would exceed the bound on all bodies together; the caller may retry.
    NoRoom,
    /// The body did not arrive in time.
    TooSlow,
    /// The caller's connection failed, so no answer can be sent.
    Broken,
}

impl BodyError {
    /// Returns the HTTP status of the answer to the caller.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Broken => StatusCode::BAD_REQUEST,
        }
    }
}

impl BodyReader {
    /// Creates a reader that holds at most `max_bytes` of bodies at a time.
    pub fn new(max_bytes: u64) -> Self {
        BodyReader(MemoryBound::new(max_bytes))
    }

    /// Reads a complete body.
    ///
    /// Fails if the body exceeds a bound, does not arrive within the idle timeout, or its
    /// connection fails.
    pub async fn read(
        &self,
        mut body: Incoming,
        limits: &CallerLimits,
    ) -> Result<HeldBytes, BodyError> {
        let max_bytes = limits.body_max_bytes as u64;
        if body.size_hint().lower() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        // The announced length is reserved at once. Otherwise concurrent bodies could all
        // begin, and together reach the bound before any of them is complete.
        let mut reservation = self.0.reserve(body.size_hint().lower())?;
        let reading = async {
            let mut bytes = BytesMut::new();
            while let Some(frame) = body.frame().await {
                let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
                    continue;
                };
                bytes.extend_from_slice(&data);
                let length = bytes.len() as u64;
                if length > max_bytes {
                    return Err(BodyError::TooLarge);
                }
                reservation.grow_to(length)?;
            }
            Ok(bytes.freeze())
        };
        let timeout = Duration::from_millis(limits.idle_timeout_ms);
        let bytes = tokio::time::timeout(timeout, reading)
            .await
            .map_err(|_| BodyError::TooSlow)??;
        Ok(HeldBytes::new(bytes, reservation))
    }
}

impl From<NoRoom> for BodyError {
    fn from(_: NoRoom) -> Self {
        BodyError::NoRoom
    }
}
