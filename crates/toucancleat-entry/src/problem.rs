//! Encodes refusals as RFC 9457 problem details.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::Refusal;
use volo_http::body::Body;
use volo_http::response::Response;

/// Prefix of the `type` member; docs/PROBLEMS.md describes each type.
const TYPE_PREFIX: &str = "https://toucancleat.example/problems/";
/// Media type of a problem body.
const PROBLEM_JSON: &str = "application/problem+json";

/// The problem body of a refusal.
#[derive(Debug, Serialize)]
pub struct ProblemBody<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    verdict: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: String,
}

impl<'a> ProblemBody<'a> {
    /// Creates the problem body for a refused request.
    pub fn new(request: RequestId, refusal: &'a Refusal) -> Self {
        ProblemBody {
            kind: format!("{TYPE_PREFIX}{}", refusal.problem.slug()),
            title: refusal.problem.title(),
            status: refusal.problem.status(),
            detail: &refusal.detail,
            verdict: refusal.verdict.as_str(),
            retry_after_ms: refusal.retry_after_ms,
            request_id: request.to_string(),
        }
    }

    /// Returns the body as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a problem has only strings and numbers")
    }
}

/// Creates the response that refuses a request.
pub fn response(request: RequestId, refusal: &Refusal) -> Response {
    let body = ProblemBody::new(request, refusal).to_json();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(refusal.problem.status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
    let verdict = HeaderValue::from_static(refusal.verdict.as_str());
    headers.insert("x-verdict", verdict);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(retry_after_ms.div_ceil(1_000)),
        );
    }
    response
}
