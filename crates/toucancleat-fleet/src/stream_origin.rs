//! Where streams began, so that any host can continue one that its caller takes up again.
//!
//! A stream may continue only at the version of the targets' software that began it, and the
//! caller names only the attempt that brought the first event. So a host that receives the first
//! event of a stream tells a few keepers where it began, before it forwards the event: hosts on a
//! ring of hashes, some of its own zone and some of the others
//! ([`Peers::keepers`](crate::peers::Peers::keepers)). A host that doesn't know the origin of a
//! stream asks the keepers. Both cost the same whatever the size of the fleet.
//!
//! An attempt that has brought no event is no origin: the next one may go to another version, also
//! at another host, to which the request was handed off. See docs/design/software-versions.md.

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

/// Number of the attempt in [`OriginMessage::Began`] if the first event has arrived. Keepers of
/// earlier releases prefer the highest number.
pub const FIRST_EVENT: u32 = u32::MAX;

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
    /// The sender has received the first event of a stream.
    Began {
        /// The stream.
        key: StreamKey,
        /// Its origin.
        origin: StreamOrigin,
        /// [`FIRST_EVENT`]. A host of an earlier release sends the number of its attempt, from 1, before
        /// any event has arrived.
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

/// What shows that a stream began at an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Its first event.
    FirstEvent,
    /// Only that a host of an earlier release has sent it there. Another attempt may have begun it.
    Attempt {
        /// The host.
        sender: SocketAddr,
        /// The number of the attempt, which can be compared only with others of that host.
        number: u32,
    },
}

impl Evidence {
    /// Returns the evidence for what a host has told.
    pub fn of_message(sender: SocketAddr, attempt: u32) -> Self {
        match attempt {
            FIRST_EVENT => Evidence::FirstEvent,
            number => Evidence::Attempt { sender, number },
        }
    }
}

#[derive(Clone, Debug)]
struct KeptOrigin {
    /// `None` if the attempts of two hosts contradict each other.
    origin: Option<StreamOrigin>,
    evidence: Evidence,
    until_ms: u64,
}

impl KeptOrigin {
    /// Adds what another message says of the same stream.
    fn merge(&mut self, other: KeptOrigin) {
        self.until_ms = self.until_ms.max(other.until_ms);
        let is_later = match (self.evidence, other.evidence) {
            (Evidence::FirstEvent, _) => false,
            (Evidence::Attempt { .. }, Evidence::FirstEvent) => true,
            (
                Evidence::Attempt { sender, number },
                Evidence::Attempt {
                    sender: other_sender,
                    number: other_number,
                },
            ) => {
                if sender != other_sender && self.origin != other.origin {
                    self.origin = None;
                }
                self.origin.is_some() && sender == other_sender && number < other_number
            }
        };
        if is_later {
            self.origin = other.origin;
            self.evidence = other.evidence;
        }
    }
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

    /// Keeps the origin of a stream.
    ///
    /// The first event proves it for good. Without that, attempts of different hosts that went to
    /// different origins leave it unknown.
    pub fn keep(
        &mut self,
        now_ms: u64,
        key: StreamKey,
        origin: StreamOrigin,
        evidence: Evidence,
        retention_ms: u64,
    ) {
        let kept = KeptOrigin {
            origin: Some(origin),
            evidence,
            until_ms: now_ms + retention_ms.min(RETENTION_MAX_MS),
        };
        if let Some(known) = self.kept.get_mut(&key)
            && now_ms < known.until_ms
        {
            return known.merge(kept);
        }
        if self.kept.len() >= ORIGINS_MAX {
            self.discard_oldest(now_ms);
        }
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
        kept.origin.as_ref().filter(|_| now_ms < kept.until_ms)
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
