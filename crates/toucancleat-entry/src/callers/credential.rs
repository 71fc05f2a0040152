//! The caller's credential.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use toucancleat_core::refusal::{Problem, Refusal};

/// Scheme of the credential.
const BEARER: &str = "Bearer ";

/// Returns the SHA-256 of the bearer key in hexadecimal.
///
/// The settings hold hashes only, and a look-up by hash takes the same time for every
/// wrong key of the same length.
pub(super) fn key_sha256_hex(headers: &HeaderMap) -> Result<String, Refusal> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = value
        .and_then(|value| value.strip_prefix(BEARER))
        .ok_or_else(|| {
            Refusal::not_run(
                Problem::Unauthorised,
                "expected Authorization: Bearer and a key",
            )
        })?;
    let digest = Sha256::digest(key.trim().as_bytes());
    Ok(digest.iter().map(|byte| format!("{byte:02x}")).collect())
}
