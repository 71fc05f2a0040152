//! Bodies of requests, each bounded, and all of them together.
//!
//! A body is kept until its answer, since another target may need it. Many callers at once
//! could so fill the memory of a small machine, whose process would then be ended with all
//! its requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use toucancleat_fleet::configuration::CallerLimits;

/// All bodies at hand.
#[derive(Clone, Debug)]
pub struct Bodies {
    held_bytes: Rc<Cell<u64>>,
    max_bytes: u64,
}

/// A whole body, which counts until this is dropped.
#[derive(Debug)]
pub struct Body {
    /// Its bytes.
    pub bytes: Bytes,
    _held: Held,
}

/// Bytes that count.
#[derive(Debug)]
struct Held {
    bodies: Bodies,
    bytes: u64,
}

/// Why a body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is larger than one may be.
    TooLarge,
    /// All bodies together would be too large; the caller may come back.
    NoRoom,
    /// It did not come in time.
    TooSlow,
    /// The caller broke off, and nobody reads the answer.
    Broken,
}

impl Refused {
    /// Returns the status that tells the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Refused::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refused::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Refused::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Refused::Broken => StatusCode::BAD_REQUEST,
        }
    }
}

impl Bodies {
    /// Bounds the sum of all bodies.
    pub fn new(max_bytes: u64) -> Self {
        Bodies {
            held_bytes: Rc::default(),
            max_bytes,
        }
    }

    /// Reads a body whole.
    pub async fn read(
        &self,
        mut body: Incoming,
        limits: &CallerLimits,
    ) -> Result<Body, Refused> {
        let max_bytes = limits.body_max_bytes as u64;
        if body.size_hint().lower() > max_bytes {
            return Err(Refused::TooLarge);
        }
        let mut held = self.hold();
        // What is announced is taken at once, so that bodies which come side by side don't
        // all begin and none of them ends.
        held.take(body.size_hint().lower())?;
        let reading = async {
            let mut bytes = BytesMut::new();
            while let Some(frame) = body.frame().await {
                let Ok(data) = frame.map_err(|_| Refused::Broken)?.into_data() else {
                    continue;
                };
                bytes.extend_from_slice(&data);
                let length = bytes.len() as u64;
                if length > max_bytes {
                    return Err(Refused::TooLarge);
                }
                held.take(length.saturating_sub(held.bytes))?;
            }
            Ok(bytes.freeze())
        };
        let patience = Duration::from_millis(limits.idle_timeout_ms);
        let bytes = tokio::time::timeout(patience, reading)
            .await
            .map_err(|_| Refused::TooSlow)??;
        Ok(Body { bytes, _held: held })
    }

    fn hold(&self) -> Held {
        Held {
            bodies: self.clone(),
            bytes: 0,
        }
    }
}

impl Held {
    fn take(&mut self, more_bytes: u64) -> Result<(), Refused> {
        let held_bytes = self.bodies.held_bytes.get() + more_bytes;
        if held_bytes > self.bodies.max_bytes {
            return Err(Refused::NoRoom);
        }
        self.bodies.held_bytes.set(held_bytes);
        self.bytes += more_bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let held_bytes = self.bodies.held_bytes.get();
        self.bodies.held_bytes.set(held_bytes - self.bytes);
    }
}
