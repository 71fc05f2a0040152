//! Fingerprints that identify request bodies and prompts in records.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Number of leading digest bytes in a fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// Returns the fingerprint under which stand-ins record a body: the first 16 bytes of its
/// SHA-256 digest in hexadecimal. A test finds the record of the exact bytes that its
/// caller sent by it.
pub fn fingerprint(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let mut text = String::with_capacity(2 * FINGERPRINT_BYTES);
    for byte in &digest[..FINGERPRINT_BYTES] {
        // Writing to a `String` can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
