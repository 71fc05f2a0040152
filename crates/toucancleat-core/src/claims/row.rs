//! The row of one idempotency key in the platform's table.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::prelude::*;
use crate::status::ends_request;

/// Table that holds the claims.
pub const TABLE: &str = "claims";

/// The row of one idempotency key, as stored.
///
/// An existing row means that the request may have run, unless its state is `released`:
/// only the owner of the token writes that, with proof that the request didn't run. See
/// docs/design/claims.md.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Identifies the claim that wrote the row.
    pub token: ClaimToken,
    /// Hash of the request's body, so that the key can't be reused with another body.
    pub body_sha256: BodyHash,
    /// Progress of the request.
    pub state: RowState,
    /// The answer of a finished request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<StoredAnswer>,
    /// Expiry of the key, which is refused from then on.
    pub expires_unix_ms: u64,
}

/// The progress of a row's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum RowState {
    /// An entry host owns the key and may dispatch the request at any time.
    Claimed,
    /// The owner has proof that the request didn't run; the key can be claimed again.
    Released,
    /// The request ran; its answer is stored if there was room for it.
    Finished,
}

/// An answer that is replayed when its key is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    #[serde(deserialize_with = "final_status")]
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body, inline or by reference.
    pub body: StoredBody,
}

/// The body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum StoredBody {
    /// A small text body, stored in the row.
    Text(String),
    /// Name of the object that holds the body.
    Object(String),
}

/// Identifies one claim.
///
/// Each claim has a new token. After a lost reply, it distinguishes the claim's own row
/// from that of another claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimToken(pub u128);

/// SHA-256 of a request's body.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct BodyHash(pub [u8; 32]);

/// Derives unique tokens from a seed and a counter.
#[derive(Clone, Debug)]
pub(super) struct TokenSource {
    seed: [u8; 32],
    counter: u64,
}

impl Row {
    /// Returns the name of the row for a key of an organisation.
    ///
    /// N.B. The organisation is escaped, as its name may contain a slash: otherwise a key
    /// of one organisation could name the row of another.
    pub fn name(organisation: &OrganisationName, key: &str) -> String {
        let organisation = organisation
            .as_str()
            .replace('%', "%25")
            .replace('/', "%2F");
        format!("{organisation}/{key}")
    }
}

impl TokenSource {
    pub(super) fn new(host: &HostName, incarnation: Incarnation, seed: u128) -> Self {
        let mut hash = Sha256::new();
        hash.update(seed.to_be_bytes());
        hash.update(incarnation.0.to_be_bytes());
        hash.update(host.as_str());
        TokenSource {
            seed: hash.finalize().into(),
            counter: 0,
        }
    }

    pub(super) fn next_token(&mut self) -> ClaimToken {
        self.counter += 1;
        let mut hash = Sha256::new();
        hash.update(self.seed);
        hash.update(self.counter.to_be_bytes());
        let digest = hash.finalize();
        let mut token = [0; 16];
        token.copy_from_slice(&digest[..16]);
        ClaimToken(u128::from_be_bytes(token))
    }
}

impl BodyHash {
    /// Returns the hash of a body.
    pub fn of(body: &[u8]) -> Self {
        BodyHash(Sha256::digest(body).into())
    }
}

impl fmt::Display for ClaimToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for BodyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for BodyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BodyHash({self})")
    }
}

impl Serialize for ClaimToken {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ClaimToken {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let id = RequestId::parse(&text).ok_or_else(|| invalid_hex("32", &text))?;
        Ok(ClaimToken(id.0))
    }
}

impl Serialize for BodyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for BodyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_hash(&text).ok_or_else(|| invalid_hex("64", &text))
    }
}

fn parse_hash(text: &str) -> Option<BodyHash> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let high = RequestId::parse(&text[..32])?;
    let low = RequestId::parse(&text[32..])?;
    let mut hash = [0; 32];
    hash[..16].copy_from_slice(&high.0.to_be_bytes());
    hash[16..].copy_from_slice(&low.0.to_be_bytes());
    Some(BodyHash(hash))
}

fn final_status<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
    let status = u16::deserialize(deserializer)?;
    if !ends_request(status) {
        let expected = "expected a status that ends a request";
        return Err(serde::de::Error::custom(format!(
            "{expected}, got {status}"
        )));
    }
    Ok(status)
}

fn invalid_hex<E: serde::de::Error>(digits: &str, text: &str) -> E {
    E::custom(format!(
        "expected {digits} hexadecimal digits, got {text:?}"
    ))
}
