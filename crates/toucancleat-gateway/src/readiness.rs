//! Answers the readiness checks of the platform.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

use crate::host::Host;

/// Returns status 200 while the host is ready for callers, and 503 otherwise.
pub fn respond(host: &Host) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !host.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
