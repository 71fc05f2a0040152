//! Where streams began, so that any host can continue one that its caller takes up again.
//!
//! A stream may continue only at the version of the targets' software that began it, and the
//! caller names only the attempt that brought the first event. So a host that sends a stream to
//! a target tells a few keepers where it does: hosts on a ring of hashes, some of its own zone
//! and some of the others ([`Peers::keepers`](crate::peers::Peers::keepers)). A host that doesn't
//! know the origin of a stream asks the keepers. Both cost the same whatever the size of the
//! fleet. See docs/design/software-versions.md.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

use crate::request::RequestNumber;
use crate::target::SoftwareVersion;

/// Number of keepers of the own zone, and of other zones, that are told of a stream.
pub const KEEPERS: usize = 2;

/// Number of keepers of each kind that are asked. More than are told, since the asking host may
/// not know yet which of them are gone.
pub const KEEPERS_ASKED: usize = 4;

/// Time for which the origin of a stream is kept beyond the time that its caller waits.
pub const RETENTION_MARGIN_MS: u64 = 5_000;

/// Maximum time for which the origin of a stream is kept.
pub const RETENTION_MAX_MS: u64 = 600_000;

/// Time after which a look-up that no keeper has answered ends. Keepers answer within some
/// milliseconds, and the caller waits meanwhile.
pub const LOOKUP_TIMEOUT_MS: u64 = 120;

/// Maximum number of origins that a host keeps. At 12,000 streams per second over 1,200 hosts
/// a host keeps some 2,000.
pub const ORIGINS_MAX: usize = 16_384;

/// Interval at which origins that are out of date are discarded.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Identifies a stream over all attempts of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt of an organisation's caller began. Callers
    /// choose the ids of their attempts, so those of other organisations may be the same.
    pub fn new(organisation: Option<&OrganisationName>, attempt_id: &str) -> Self {
        let owner = organisation.map_or("", OrganisationName::as_str);
        StreamKey(stable_hash(format!("{owner}\n{attempt_id}").as_bytes()))
    }

    /// Returns the hash by which keepers are assigned.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The pool that serves it.
    pub pool: PoolName,
    /// The version of the software of the target that began it.
    pub version: SoftwareVersion,
}

/// A message about the origin of one stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// The sender has sent a stream to a target.
    Began {
        /// The stream.
        key: StreamKey,
        /// Its origin, if this attempt brings its first event.
        origin: StreamOrigin,
        /// Number of the attempt at the sender, from 1.
        attempt: u32,
        /// Time for which the origin is kept.
        retention_ms: u64,
    },
    /// The sender doesn't know the origin of a stream that its caller resumes.
    Query {
        /// The stream.
        key: StreamKey,
    },
    /// The answer to a query.
    Reply {
        /// The stream.
        key: StreamKey,
        /// Its origin, if the sender knows it.
        origin: Option<StreamOrigin>,
    },
}

/// How the origin of a resumed stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum OriginSource {
    /// This host has kept it.
    Kept,
    /// The pool has had only one version for long enough.
    SoleVersion,
    /// A keeper has answered.
    Keeper,
}

impl OriginSource {
    /// Returns the name of the source in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            OriginSource::Kept => "kept",
            OriginSource::SoleVersion => "sole_version",
            OriginSource::Keeper => "keeper",
        }
    }
}

#[derive(Clone, Debug)]
struct KeptOrigin {
    origin: StreamOrigin,
    attempt: u32,
    until_ms: u64,
}

/// A resumption that waits for the answers of keepers.
#[derive(Clone, Debug)]
struct Lookup {
    key: StreamKey,
    /// The keepers that have not answered yet.
    pending: Vec<SocketAddr>,
    until_ms: u64,
}

/// The origins that one host keeps, and its own look-ups.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    kept: IndexMap<StreamKey, KeptOrigin>,
    expiry_due_ms: u64,
    lookups: IndexMap<RequestNumber, Lookup>,
}

impl StreamOrigins {
    /// Returns the number of origins kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns true if no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Keeps the origin of a stream. A later attempt replaces an earlier one, which has brought
    /// no event.
    pub fn keep(
        &mut self,
        now_ms: u64,
        key: StreamKey,
        origin: StreamOrigin,
        attempt: u32,
        retention_ms: u64,
    ) {
        let until_ms = now_ms + retention_ms.min(RETENTION_MAX_MS);
        if let Some(known) = self.kept.get_mut(&key) {
            if known.origin == origin {
                known.attempt = known.attempt.max(attempt);
                known.until_ms = known.until_ms.max(until_ms);
                return;
            }
            if attempt < known.attempt && now_ms < known.until_ms {
                return;
            }
        }
        if self.kept.len() >= ORIGINS_MAX {
            self.discard_oldest(now_ms);
        }
        let kept = KeptOrigin {
            origin,
            attempt,
            until_ms,
        };
        self.kept.insert(key, kept);
    }

    fn discard_oldest(&mut self, now_ms: u64) {
        self.kept.retain(|_, kept| now_ms < kept.until_ms);
        if self.kept.len() >= ORIGINS_MAX {
            self.kept.drain(..ORIGINS_MAX / 4);
        }
    }

    /// Returns the origin of a stream, if it is kept here.
    pub fn get(&self, now_ms: u64, key: StreamKey) -> Option<&StreamOrigin> {
        let kept = self.kept.get(&key)?;
        (now_ms < kept.until_ms).then_some(&kept.origin)
    }

    /// Begins to wait for the answers of keepers.
    pub fn begin_lookup(
        &mut self,
        now_ms: u64,
        request_number: RequestNumber,
        key: StreamKey,
        keepers: Vec<SocketAddr>,
    ) {
        let lookup = Lookup {
            key,
            pending: keepers,
            until_ms: now_ms + LOOKUP_TIMEOUT_MS,
        };
        self.lookups.insert(request_number, lookup);
    }

    /// Records that a keeper has answered, and returns the requests whose look-up ends with the
    /// answer: all of the stream's if the keeper knows it, or those that wait for no other.
    pub fn record_answer(
        &mut self,
        from: SocketAddr,
        key: StreamKey,
        is_known: bool,
    ) -> Vec<RequestNumber> {
        let mut ended = Vec::new();
        self.lookups.retain(|request_number, lookup| {
            let is_asked = lookup.key == key && lookup.pending.contains(&from);
            if !is_asked {
                return true;
            }
            lookup.pending.retain(|keeper| *keeper != from);
            let is_open = !is_known && !lookup.pending.is_empty();
            if !is_open {
                ended.push(*request_number);
            }
            is_open
        });
        ended
    }

    /// Ends the look-up of a request that has ended.
    pub fn cancel_lookup(&mut self, request_number: RequestNumber) {
        self.lookups.swap_remove(&request_number);
    }

    /// Discards origins that are out of date, and returns the requests whose look-up has timed
    /// out.
    pub fn expire(&mut self, now_ms: u64) -> Vec<RequestNumber> {
        if now_ms >= self.expiry_due_ms {
            self.expiry_due_ms = now_ms + EXPIRY_INTERVAL_MS;
            self.kept.retain(|_, kept| now_ms < kept.until_ms);
        }
        let mut timed_out = Vec::new();
        self.lookups.retain(|request_number, lookup| {
            let is_open = now_ms < lookup.until_ms;
            if !is_open {
                timed_out.push(*request_number);
            }
            is_open
        });
        timed_out
    }
}
