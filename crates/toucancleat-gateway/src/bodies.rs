//! Reading of request bodies, with a bound on each body and on all of them together.
//!
//! A body is kept until its request is answered, since a retry may send it to another
//! target. Without the bound on the sum, many concurrent callers could exhaust the memory
//! of a small machine, and the process would be killed with all its requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use toucancleat_fleet::configuration::CallerLimits;

/// A reader of request bodies that bounds the memory of all bodies together.
#[derive(Clone, Debug)]
pub struct BodyReader {
    reserved_bytes: Rc<Cell<u64>>,
    max_bytes: u64,
}

/// A complete body. It counts towards the bound on all bodies until it is dropped.
#[derive(Debug)]
pub struct Body {
    /// The content of the body.
    pub bytes: Bytes,
    _reservation: Reservation,
}

/// Bytes that count towards the bound on all bodies until this is dropped.
#[derive(Debug)]
struct Reservation {
    reader: BodyReader,
    bytes: u64,
}

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
        BodyReader {
            reserved_bytes: Rc::default(),
            max_bytes,
        }
    }

    /// Reads a complete body.
    ///
    /// Fails if the body exceeds a bound, does not arrive within the idle timeout, or its
    /// connection fails.
    pub async fn read(
        &self,
        mut body: Incoming,
        limits: &CallerLimits,
    ) -> Result<Body, BodyError> {
        let max_bytes = limits.body_max_bytes as u64;
        if body.size_hint().lower() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let mut reservation = self.start_reservation();
        // The announced length is reserved at once. Otherwise concurrent bodies could all
        // begin, and together reach the bound before any of them is complete.
        reservation.grow(body.size_hint().lower())?;
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
                reservation.grow(length.saturating_sub(reservation.bytes))?;
            }
            Ok(bytes.freeze())
        };
        let timeout = Duration::from_millis(limits.idle_timeout_ms);
        let bytes = tokio::time::timeout(timeout, reading)
            .await
            .map_err(|_| BodyError::TooSlow)??;
        Ok(Body {
            bytes,
            _reservation: reservation,
        })
    }

    fn start_reservation(&self) -> Reservation {
        Reservation {
            reader: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    fn grow(&mut self, more_bytes: u64) -> Result<(), BodyError> {
        let reserved_bytes = self.reader.reserved_bytes.get() + more_bytes;
        if reserved_bytes > self.reader.max_bytes {
            return Err(BodyError::NoRoom);
        }
        self.reader.reserved_bytes.set(reserved_bytes);
        self.bytes += more_bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved_bytes = self.reader.reserved_bytes.get();
        self.reader.reserved_bytes.set(reserved_bytes - self.bytes);
    }
}
