//! The caller's credential.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use toucancleat_core::refusal::{Problem, Refusal};

/// Scheme of the credential.
const BEARER: &str = "Bearer ";

/// Returns the bearer key of a request.
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
