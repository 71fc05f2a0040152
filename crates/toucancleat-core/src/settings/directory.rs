//! Lookup of the organisation that a caller's API key belongs to.

use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::tree::Tree;
use crate::prelude::*;

/// Finds the organisation of an API key without reading the tree.
///
/// The tree holds only hashes. They are sorted by their first bytes, and a lookup
/// compares in constant time those that share these bytes with the hash of the caller's
/// key. The search by the first bytes isn't constant-time, but as they come from
/// SHA-256, its timing reveals nothing about a key.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    participations: Vec<Participation>,
    keys: Vec<KeyEntry>,
}

/// An organisation and the live events that it takes part in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Participation {
    organisation: OrganisationName,
    live_events: Vec<LiveEventName>,
}

/// The live event of a request can't be determined.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}")]
pub struct LiveEventError {
    kind: LiveEventErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum LiveEventErrorKind {
    #[error("organisation takes part in several live events, expected the name of one")]
    NameNeeded,
    #[error("organisation takes no part in live event `{0}`")]
    NotParticipating(String),
}

#[derive(Clone, Debug)]
struct KeyEntry {
    sha256: [u8; 32],
    participation: usize,
}

impl Directory {
    /// Indexes the organisations of a tree by their API keys.
    ///
    /// Texts that aren't 64 hexadecimal digits are skipped.
    pub fn new(tree: &Tree) -> Self {
        let mut participations: IndexMap<OrganisationName, Vec<LiveEventName>> =
            IndexMap::new();
        let mut keys = Vec::new();
        for (event_name, event) in &tree.live_events {
            for (name, organisation) in &event.organisations {
                let entry = participations.entry(name.clone());
                let participation = entry.index();
                entry.or_default().push(event_name.clone());
                let hashes = organisation.api_key_sha256.iter();
                let hashes = hashes.filter_map(|digits| decode_sha256(digits));
                keys.extend(hashes.map(|sha256| KeyEntry {
                    sha256,
                    participation,
                }));
            }
        }
        keys.sort_unstable_by_key(|entry| prefix(&entry.sha256));
        let participations = participations.into_iter();
        let participations = participations
            .map(|(organisation, live_events)| Participation {
                organisation,
                live_events,
            })
            .collect();
        Directory {
            participations,
            keys,
        }
    }

    /// Returns the organisation of an API key; `None` for an unknown key.
    pub fn authenticate(&self, api_key: &str) -> Option<&Participation> {
        let sha256: [u8; 32] = Sha256::digest(api_key).into();
        let key_prefix = prefix(&sha256);
        let first = self
            .keys
            .partition_point(|entry| prefix(&entry.sha256) < key_prefix);
        let candidates = self.keys[first..].iter();
        let found = candidates
            .take_while(|entry| prefix(&entry.sha256) == key_prefix)
            .filter(|entry| bool::from(entry.sha256.ct_eq(&sha256)))
            .last()?;
        Some(&self.participations[found.participation])
    }

    /// Returns the number of indexed organisations.
    pub fn len(&self) -> usize {
        self.participations.len()
    }

    /// Returns true if no organisation has been indexed.
    pub fn is_empty(&self) -> bool {
        self.participations.is_empty()
    }
}

impl Participation {
    /// Returns the organisation.
    pub fn organisation(&self) -> &OrganisationName {
        &self.organisation
    }

    /// Returns the live events that the organisation takes part in.
    pub fn live_events(&self) -> &[LiveEventName] {
        &self.live_events
    }

    /// Returns the live event that a request names; the name is optional if there is
    /// only one.
    ///
    /// # Errors
    ///
    /// Fails if the organisation doesn't take part in the named live event, or if it takes
    /// part in several and the request names none.
    pub fn live_event(
        &self,
        named: Option<&str>,
    ) -> Result<&LiveEventName, LiveEventError> {
        let kind = match (named, self.live_events.as_slice()) {
            (None, [only]) => return Ok(only),
            (None, _) => LiveEventErrorKind::NameNeeded,
            (Some(named), events) => {
                let found = events.iter().find(|event| event.as_str() == named);
                return found.ok_or_else(|| LiveEventError {
                    kind: LiveEventErrorKind::NotParticipating(named.to_owned()),
                });
            }
        };
        Err(LiveEventError { kind })
    }
}

/// Returns the SHA-256 of an API key in hexadecimal, as the settings store it.
pub fn api_key_sha256(api_key: &str) -> String {
    let sha256 = Sha256::digest(api_key);
    sha256.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes 64 hexadecimal digits; any other text gives `None`.
pub(super) fn decode_sha256(digits: &str) -> Option<[u8; 32]> {
    let mut sha256 = [0; 32];
    if digits.len() != 2 * sha256.len() {
        return None;
    }
    for (byte, pair) in sha256.iter_mut().zip(digits.as_bytes().chunks_exact(2)) {
        *byte = hex_digit_value(pair[0])? << 4 | hex_digit_value(pair[1])?;
    }
    Some(sha256)
}

fn hex_digit_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}

fn prefix(sha256: &[u8; 32]) -> u64 {
    let (prefix, _) = sha256.split_first_chunk().expect("32 bytes begin with 8");
    u64::from_be_bytes(*prefix)
}
