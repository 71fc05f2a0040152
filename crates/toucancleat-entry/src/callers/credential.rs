//! Reads the caller's API key.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use toucancleat_core::refusal::{Problem, Refusal};

/// Prefix of the bearer scheme in the `Authorization` header.
const BEARER: &str = "Bearer ";

/// Returns the API key of a request.
pub(super) fn api_key(headers: &HeaderMap) -> Result<&str, Refusal> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix(BEARER));
    key.map(str::trim).ok_or_else(|| {
        let detail = "expected Authorization: Bearer and a key";
        Refusal::not_run(Problem::Unauthorised, detail)
    })
}
