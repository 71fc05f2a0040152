//! A client of the plain services; see docs/PROTOCOLS.md, "Plain services".

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderName, HeaderValue, Method, StatusCode};
use toucancleat_core::observation::Observation;
use toucancleat_core::prelude::*;
use toucancleat_core::requests::InterruptionCause;
use toucancleat_core::status::ends_request;

use crate::engine::{has_not_run_verdict, retry_after_ms};
use crate::http::{CallError, HttpCall, HttpClient};

/// Timeout of a health check.
const OBSERVE_TIMEOUT_MS: u64 = 2_000;
/// Bound on the size of a reply to a health check.
const OBSERVE_REPLY_MAX_BYTES: usize = 64 * 1_024;

/// A request to a plain service, as the caller sent it.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Method.
    pub method: Method,
    /// Path and query below `/services/{kind}`, with that prefix.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
}

/// A plain service's reply to a request.
#[derive(Debug)]
pub enum ServiceReply {
    /// The service ran the request and this is its answer.
    Answered {
        /// HTTP status.
        status: StatusCode,
        /// Media type of the body.
        content_type: Option<HeaderValue>,
        /// Body.
        body: Bytes,
    },
    /// The service proved that it did not run the request.
    NotRun {
        /// Delay in milliseconds that the service requests before a retry.
        retry_after_ms: Option<u64>,
    },
    /// The service may have run the request.
    Unknown(InterruptionCause),
}

/// Sends a request to a plain service and reads its whole answer.
pub async fn call(
    client: &HttpClient,
    address: SocketAddr,
    request_id: RequestId,
    request: &ServiceRequest,
    timeout_ms: u64,
    answer_max_bytes: usize,
) -> ServiceReply {
    let mut headers = request.headers.clone();
    let id = HeaderValue::from_str(&request_id.to_string());
    headers.push((
        HeaderName::from_static("x-request-id"),
        id.expect("a request id is hexadecimal"),
    ));
    let call = HttpCall {
        address,
        method: request.method.clone(),
        path: &request.path,
        headers,
        body: request.body.clone(),
    };
    match client.exchange(call, timeout_ms, answer_max_bytes).await {
        Ok(reply) => read_reply(reply, &request.method),
        Err(error) if error.is_not_sent() => ServiceReply::NotRun {
            retry_after_ms: None,
        },
        Err(CallError::TimedOut(_)) => ServiceReply::Unknown(InterruptionCause::TimedOut),
        Err(_) => ServiceReply::Unknown(InterruptionCause::Disconnected),
    }
}

/// Observes a plain service with a health check.
pub async fn observe(client: &HttpClient, address: SocketAddr) -> Observation {
    let call = HttpCall {
        address,
        method: Method::GET,
        path: "/healthz",
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let started_unix_ms = 0;
    match client
        .exchange(call, OBSERVE_TIMEOUT_MS, OBSERVE_REPLY_MAX_BYTES)
        .await
    {
        Ok(reply) if reply.status().is_success() => Observation::Serving {
            started_unix_ms,
            load: None,
        },
        Ok(reply) if reply.status() == StatusCode::SERVICE_UNAVAILABLE => {
            Observation::Leaving { started_unix_ms }
        }
        Err(error) if error.is_refused() => Observation::ConnectionRefused,
        _ => Observation::NoAnswer,
    }
}

fn read_reply(reply: http::Response<Bytes>, method: &Method) -> ServiceReply {
    let status = reply.status();
    if !ends_request(status.as_u16()) {
        log::warn!(
            status = status.as_u16();
            "the status of a service's answer ends no request; discarding the answer"
        );
        return ServiceReply::Unknown(InterruptionCause::Disconnected);
    }
    if has_not_run_verdict(reply.headers()) {
        return ServiceReply::NotRun {
            retry_after_ms: retry_after_ms(reply.headers()),
        };
    }
    if may_be_cut_off(&reply, method) {
        log::warn!(
            "a service's answer has neither a length nor a body; it may have been cut off"
        );
        return ServiceReply::Unknown(InterruptionCause::Disconnected);
    }
    ServiceReply::Answered {
        status,
        content_type: reply.headers().get(http::header::CONTENT_TYPE).cloned(),
        body: reply.into_body(),
    }
}

/// Returns true if a success ends with the blank line behind its head, and nothing shows that this is its
/// end.
fn may_be_cut_off(reply: &http::Response<Bytes>, method: &Method) -> bool {
    let headers = reply.headers();
    let is_framed =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let has_body = *method != Method::HEAD && reply.status() != StatusCode::NO_CONTENT;
    reply.status().is_success() && has_body && !is_framed && reply.body().is_empty()
}
