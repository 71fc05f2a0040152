//! Detects poison requests, which crash every target that runs them.
//!
//! Callers retry such a request, at any host and with a new name for each attempt, so it
//! is identified by a fingerprint of its content. All hosts add up how often the runs of
//! a fingerprint were interrupted. One complete answer clears it, so that a request that
//! only ran beside a poison request, or over a faulty link, isn't refused for long.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

/// Number of interruptions without an answer in between at which a request is refused.
/// One may be a faulty link, and two a target that crashed for another reason.
pub const INTERRUPTIONS_MAX: u32 = 3;

/// Time after its last interruption for which a fingerprint is remembered. A crashed
/// target is back after some seconds, and a caller's own attempts end with its deadline.
pub const RETENTION_MS: u64 = 60_000;

/// Maximum number of fingerprints, the most recent ones, that a host reports. Poison
/// requests are rare, and each fingerprint takes about ten bytes of every message.
const REPORTED_MAX: usize = 32;

/// Identifies the content of a request across attempts.
pub type Fingerprint = u64;

/// Interrupted runs of one fingerprint at this host.
#[derive(Clone, Copy, Debug)]
struct Interruptions {
    count: u32,
    last_ms: u64,
}

/// The last counts received from a peer.
#[derive(Clone, Debug)]
struct PeerCounts {
    received_ms: u64,
    interruptions: IndexMap<Fingerprint, u32>,
}

/// Fingerprints whose runs were interrupted and that have not been answered since.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    own: IndexMap<Fingerprint, Interruptions>,
    peers: IndexMap<HostName, PeerCounts>,
    /// When fingerprints that peers report were answered here.
    answered_ms: IndexMap<Fingerprint, u64>,
}

impl PoisonRequests {
    /// Records that a run was interrupted.
    pub fn record_interruption(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        self.expire(now_ms);
        let mut count = 1;
        // N.B. the entry is removed and inserted again, so that the most recent ones come
        // last.
        if let Some(before) = self.own.shift_remove(&fingerprint) {
            count += before.count;
        }
        let interruptions = Interruptions {
            count,
            last_ms: now_ms,
        };
        self.own.insert(fingerprint, interruptions);
    }

    /// Records that a run was answered completely.
    pub fn record_answer(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        self.own.shift_remove(&fingerprint);
        if self.peer_interruptions(now_ms, fingerprint) > 0 {
            self.answered_ms.insert(fingerprint, now_ms);
        }
    }

    /// Stores the counts received from a peer.
    pub fn record_peer_counts(
        &mut self,
        now_ms: u64,
        host: HostName,
        interruptions: &[(Fingerprint, u32)],
    ) {
        let peer = PeerCounts {
            received_ms: now_ms,
            interruptions: interruptions.iter().copied().collect(),
        };
        self.peers.insert(host, peer);
    }

    /// Returns this host's own counts, for its peers.
    pub fn own_counts(&self) -> Vec<(Fingerprint, u32)> {
        let last = self.own.iter().rev().take(REPORTED_MAX);
        last.map(|(fingerprint, interruptions)| (*fingerprint, interruptions.count))
            .collect()
    }

    /// Returns true if a fingerprint was interrupted too often to run again.
    pub fn is_poison(&self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < RETENTION_MS;
        if self
            .answered_ms
            .get(&fingerprint)
            .is_some_and(|at_ms| is_recent(*at_ms))
        {
            return false;
        }
        let own = self
            .own
            .get(&fingerprint)
            .filter(|own| is_recent(own.last_ms));
        let own = own.map_or(0, |interruptions| interruptions.count);
        own + self.peer_interruptions(now_ms, fingerprint) >= INTERRUPTIONS_MAX
    }

    fn peer_interruptions(&self, now_ms: u64, fingerprint: Fingerprint) -> u32 {
        self.peers
            .values()
            .filter(|peer| now_ms.saturating_sub(peer.received_ms) < RETENTION_MS)
            .filter_map(|peer| peer.interruptions.get(&fingerprint))
            .sum()
    }

    fn expire(&mut self, now_ms: u64) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < RETENTION_MS;
        self.own
            .retain(|_, interruptions| is_recent(interruptions.last_ms));
        self.peers.retain(|_, peer| is_recent(peer.received_ms));
        self.answered_ms.retain(|_, at_ms| is_recent(*at_ms));
    }
}
