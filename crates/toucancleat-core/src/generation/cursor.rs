//! The authenticated cursor with which a caller resumes its stream at any entry host of
//! the zone.
//!
//! Entry hosts are stateless, so the caller keeps the position in its stream, which it
//! receives as the `id` of each server-sent event. See docs/design/generations.md, "The
//! cursor".

use std::fmt::Write;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::prelude::*;

/// Length of the truncated authentication code in each cursor, in bytes.
const TAG_BYTES: usize = 12;

/// A position in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The target that runs the generation.
    pub target: TargetName,
    /// The kind of the request.
    pub kind: KindName,
    /// The live event of the request.
    pub live_event: LiveEventName,
    /// The generation.
    pub generation: GenerationId,
    /// Number of the attempt, the first being 1.
    pub attempt: u32,
    /// Revision of the settings under which the request was admitted.
    pub revision: Revision,
    /// Index of the first frame that the caller hasn't received.
    pub next_index: u64,
}

/// The keys that seal cursors, the same at all entry hosts.
///
/// New cursors are sealed with the first key and opened with any of them, so that a key
/// can be rotated while streams run.
#[derive(Clone)]
pub struct CursorKeys {
    keys: Vec<Hmac<Sha256>>,
}

/// Seals the cursors of one attempt.
///
/// The part that is the same for all frames is encoded and authenticated once. Each frame
/// then costs one authentication code over its index.
#[derive(Clone)]
pub struct CursorSeal {
    head: String,
    key: Hmac<Sha256>,
}

/// The error for a cursor that can't be opened.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a cursor as sent in `id` of an earlier event, {kind}")]
pub struct CursorError {
    kind: ErrorKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ErrorKind {
    #[error("got text of another form")]
    Malformed,
    #[error("got one that was altered or belongs to another organisation")]
    NotAuthentic,
}

impl CursorKeys {
    /// Creates the keys, or returns `None` if there is no key or one is shorter than 32
    /// bytes.
    pub fn new(keys: &[Vec<u8>]) -> Option<Self> {
        if keys.is_empty() || keys.iter().any(|key| key.len() < 32) {
            return None;
        }
        Some(CursorKeys {
            keys: keys.iter().map(|key| new_hmac(key)).collect(),
        })
    }

    /// Prepares to seal the cursors of an attempt of an organisation's request.
    pub fn seal(&self, organisation: &OrganisationName, cursor: &Cursor) -> CursorSeal {
        let head = URL_SAFE_NO_PAD.encode(encode_head(cursor));
        let key = attempt_key(&self.keys[0], organisation, &head);
        CursorSeal { head, key }
    }

    /// Opens a cursor that a caller of the organisation has sent.
    ///
    /// # Errors
    ///
    /// Fails if the text isn't a cursor, or if it was not sealed with one of the keys for
    /// this organisation.
    pub fn open(
        &self,
        organisation: &OrganisationName,
        text: &str,
    ) -> Result<Cursor, CursorError> {
        let (head, next_index, tag) = split(text).ok_or(ErrorKind::Malformed)?;
        let is_authentic = |key: &Hmac<Sha256>| {
            let mac = frame_mac(&attempt_key(key, organisation, head), next_index);
            mac.verify_truncated_left(&tag).is_ok()
        };
        if !self.keys.iter().any(is_authentic) {
            return Err(ErrorKind::NotAuthentic.into());
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(head)
            .map_err(|_| ErrorKind::Malformed)?;
        Ok(decode_head(&bytes, next_index).ok_or(ErrorKind::Malformed)?)
    }
}

impl CursorSeal {
    /// Appends the cursor of a caller that has received all frames below `next_index`.
    pub fn write(&self, next_index: u64, out: &mut String) {
        let tag = frame_mac(&self.key, next_index).finalize().into_bytes();
        out.push_str(&self.head);
        // Writing to a `String` never fails.
        let _ = write!(out, ".{next_index}.");
        URL_SAFE_NO_PAD.encode_string(&tag[..TAG_BYTES], out);
    }
}

impl From<ErrorKind> for CursorError {
    fn from(kind: ErrorKind) -> Self {
        CursorError { kind }
    }
}

impl std::fmt::Debug for CursorKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CursorKeys")
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl std::fmt::Debug for CursorSeal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CursorSeal")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

fn new_hmac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC accepts keys of any length")
}

/// Derives the key of one attempt. The organisation is authenticated but not contained in
/// the cursor.
fn attempt_key(
    key: &Hmac<Sha256>,
    organisation: &OrganisationName,
    head: &str,
) -> Hmac<Sha256> {
    let mut mac = key.clone();
    mac.update(&(organisation.as_str().len() as u64).to_be_bytes());
    mac.update(organisation.as_str().as_bytes());
    mac.update(head.as_bytes());
    new_hmac(&mac.finalize().into_bytes())
}

fn frame_mac(key: &Hmac<Sha256>, next_index: u64) -> Hmac<Sha256> {
    let mut mac = key.clone();
    mac.update(&next_index.to_be_bytes());
    mac
}

/// Splits a cursor into its encoded head, its frame index and its authentication code.
fn split(text: &str) -> Option<(&str, u64, Vec<u8>)> {
    let (rest, tag) = text.rsplit_once('.')?;
    let (head, next_index) = rest.rsplit_once('.')?;
    let tag = URL_SAFE_NO_PAD.decode(tag).ok()?;
    if tag.len() != TAG_BYTES || !next_index.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    Some((head, next_index.parse().ok()?, tag))
}

fn encode_head(cursor: &Cursor) -> Vec<u8> {
    let mut bytes = cursor.generation.0.to_be_bytes().to_vec();
    bytes.extend(cursor.revision.0.to_be_bytes());
    bytes.extend(cursor.attempt.to_be_bytes());
    let names = [
        cursor.target.as_str(),
        cursor.kind.as_str(),
        cursor.live_event.as_str(),
    ];
    for name in names {
        bytes.extend((name.len() as u16).to_be_bytes());
        bytes.extend(name.as_bytes());
    }
    bytes
}

fn decode_head(bytes: &[u8], next_index: u64) -> Option<Cursor> {
    let (generation, rest) = bytes.split_first_chunk::<16>()?;
    let (revision, rest) = rest.split_first_chunk::<8>()?;
    let (attempt, rest) = rest.split_first_chunk::<4>()?;
    let (target, rest) = decode_name(rest)?;
    let (kind, rest) = decode_name(rest)?;
    let (live_event, rest) = decode_name(rest)?;
    rest.is_empty().then(|| Cursor {
        target: TargetName::new(target),
        kind: KindName::new(kind),
        live_event: LiveEventName::new(live_event),
        generation: GenerationId(u128::from_be_bytes(*generation)),
        attempt: u32::from_be_bytes(*attempt),
        revision: Revision(u64::from_be_bytes(*revision)),
        next_index,
    })
}

fn decode_name(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<2>()?;
    let length = u16::from_be_bytes(*length).into();
    let (name, rest) = rest.split_at_checked(length)?;
    Some((std::str::from_utf8(name).ok()?, rest))
}
