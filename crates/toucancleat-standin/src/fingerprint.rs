//! Fingerprints of request bodies.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// The bytes of the digest that a fingerprint keeps.
const FINGERPRINT_BYTES: usize = 16;

/// Returns the fingerprint under which stand-ins record a body, so that a test can find
/// the record of the very bytes that its caller sent.
pub fn fingerprint(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let mut text = String::with_capacity(2 * FINGERPRINT_BYTES);
    for byte in &digest[..FINGERPRINT_BYTES] {
        // Writing to a `String` can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
