//! Replies that the stand-ins share.

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

/// Returns a refusal with the seconds after which to come back, without a verdict.
pub(crate) fn retry_later(status: StatusCode, retry_after_seconds: u32) -> Response {
    let mut response = empty(status);
    response.headers_mut().insert(
        header::RETRY_AFTER,
        header::HeaderValue::from(retry_after_seconds),
    );
    response
}

/// Returns a refusal that proves that the request was not begun.
pub(crate) fn not_run(status: StatusCode, retry_after_seconds: u32) -> Response {
    let mut response = retry_later(status, retry_after_seconds);
    response
        .headers_mut()
        .insert("x-verdict", header::HeaderValue::from_static("NotRun"));
    response
}

/// Closes the connection without a byte of reply.
///
/// N.B. the head is still in the server's buffer when the body fails, and the server
/// drops it with the connection; `tests/platform.rs` checks that nothing goes out.
pub(crate) fn dropped() -> Response {
    let broken = stream::iter([Err("reply dropped by a fault".into())]);
    Response::new(Body::from_stream(broken))
}

/// Takes a request's head and whole body, or gives up a connection that breaks before.
pub(crate) async fn collect(request: Request) -> Result<(Parts, Bytes), Box<Response>> {
    let (parts, body) = request.into_parts();
    match body.collect().await {
        Ok(collected) => Ok((parts, collected.to_bytes())),
        Err(_) => Err(Box::new(dropped())),
    }
}

/// Parses a JSON body, or gives the reply that says what is wrong with it.
pub(crate) fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<Response>> {
    serde_json::from_slice(body).map_err(|err| Box::new(bad_request(&err.to_string())))
}

/// Returns a reply that says what was wrong with the request.
pub(crate) fn bad_request(detail: &str) -> Response {
    json(
        StatusCode::BAD_REQUEST,
        &serde_json::json!({ "detail": detail }),
    )
}
