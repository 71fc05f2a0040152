//! Reading of requests and building of replies, for all stand-ins.

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::http::request::Parts;
use volo_http::http::{StatusCode, header};
use volo_http::request::Request;
use volo_http::response::Response;

/// Returns a JSON reply.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns an empty reply.
pub(crate) fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns a refusal with `Retry-After` in seconds and without a verdict.
pub(crate) fn retry_later(status: StatusCode, retry_after_seconds: u32) -> Response {
    let mut response = empty(status);
    response.headers_mut().insert(
        header::RETRY_AFTER,
        header::HeaderValue::from(retry_after_seconds),
    );
    response
}

/// Returns a refusal whose verdict states that the request was not started.
pub(crate) fn not_run(status: StatusCode, retry_after_seconds: u32) -> Response {
    let mut response = retry_later(status, retry_after_seconds);
    response
        .headers_mut()
        .insert("x-verdict", header::HeaderValue::from_static("NotRun"));
    response
}

/// Returns a response that closes the connection without sending any byte.
///
/// N.B. the head is still in the server's buffer when the body fails, and the server
/// discards it with the connection; `tests/platform.rs` checks that nothing is sent.
pub(crate) fn closed_connection() -> Response {
    let failing = stream::iter([Err("reply dropped by a fault".into())]);
    Response::new(Body::from_stream(failing))
}

/// Reads a request's head and complete body. If the connection breaks before its end,
/// the error is a response that closes it.
pub(crate) async fn collect(request: Request) -> Result<(Parts, Bytes), Box<Response>> {
    let (parts, body) = request.into_parts();
    match body.collect().await {
        Ok(collected) => Ok((parts, collected.to_bytes())),
        Err(_) => Err(Box::new(closed_connection())),
    }
}

/// Parses a JSON body. The error is a 400 reply with the parser's message.
pub(crate) fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<Response>> {
    serde_json::from_slice(body).map_err(|err| Box::new(bad_request(&err.to_string())))
}

/// Returns a 400 reply with a description of the request's error.
pub(crate) fn bad_request(detail: &str) -> Response {
    json(
        StatusCode::BAD_REQUEST,
        &serde_json::json!({ "detail": detail }),
    )
}
