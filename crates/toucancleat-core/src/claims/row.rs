//! The row that stands for one idempotency key in the platform's table.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Table that holds the claims.
pub const TABLE: &str = "claims";

/// The row of one idempotency key, as stored.
///
/// A row that exists means that the request may have run, unless it says `released`: only
/// the owner of the token writes that, with proof that nothing ran. See
/// docs/design/claims.md.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Names the claim that wrote the row.
    pub token: ClaimToken,
    /// Content of the request, so that the key can't be used for another one.
    pub body_sha256: BodyHash,
    /// How far the request has come.
    pub state: RowState,
    /// The answer of a finished request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<StoredAnswer>,
    /// End of the key's life; the key is refused afterwards.
    pub expires_unix_ms: u64,
}

/// How far the request of a row has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum RowState {
    /// An entry host owns the key and may dispatch the request at any time.
    Claimed,
    /// The owner has proof that the request didn't run; the key is free again.
    Released,
    /// The request ran and its answer is kept.
    Finished,
}

/// An answer that is given again when its key is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body or where it is.
    pub body: StoredBody,
}

/// The body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum StoredBody {
    /// A small text, kept in the row.
    Text(String),
    /// Name of the object that holds the body.
    Object(String),
}

/// Names one claim; fresh for each, so that a lost reply can be told from another's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimToken(pub u128);

/// SHA-256 of a request's body.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct BodyHash(pub [u8; 32]);

/// Draws fresh tokens from a seed and a counter.
#[derive(Clone, Debug)]
pub(super) struct TokenSource {
    seed: [u8; 32],
    counter: u64,
}

impl Row {
    /// Returns the name of the row for a key of an organisation.
    ///
    /// N.B. The organisation is escaped, so that no key of one organisation can name the
    /// row of another whose name holds a slash.
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

    pub(super) fn fresh(&mut self) -> ClaimToken {
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
    /// Hashes a body.
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
        let id = RequestId::parse(&text).ok_or_else(|| expected("32", &text))?;
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
        parse_hash(&text).ok_or_else(|| expected("64", &text))
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

fn expected<E: serde::de::Error>(digits: &str, text: &str) -> E {
    E::custom(format!(
        "expected {digits} hexadecimal digits, got {text:?}"
    ))
}
