//! The platform's question whether callers should come here.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

use crate::host::Host;

/// Answers 200 while the host is ready, and 503 otherwise.
pub fn page(host: &Host) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !host.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
