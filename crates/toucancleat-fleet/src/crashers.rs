//! Requests that break off at every target that runs them.
//!
//! Now and then one request crashes each target that begins to run it, and its caller sends
//! it again, to any host. It is known by a fingerprint of its content, since each attempt
//! has a new name. All hosts add up how often a content broke off; one whole answer clears
//! it, so that a request which only ran beside another's crash, or met a bad link, isn't
//! refused for long.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

/// Breaks without any answer between them after which a request is refused: one may be a
/// bad link and two a target that crashed on its own.
pub const INTERRUPTIONS_MAX: u32 = 3;

/// Time after its last break for which a request is remembered; a target that crashed is
/// back after some seconds, and a caller's own attempts end with its deadline.
pub const RETENTION_MS: u64 = 60_000;

/// Most fingerprints that a host tells of, the last ones: what breaks everywhere is rare,
/// and each takes some ten bytes of every message.
const REPORTED_MAX: usize = 32;

/// What a request is recognised by when it comes again.
pub type Fingerprint = u64;

/// How often one of them broke off at a host.
#[derive(Clone, Copy, Debug)]
struct Interruptions {
    count: u32,
    last_ms: u64,
}

/// What one other host has told.
#[derive(Clone, Debug)]
struct PeerCounts {
    received_ms: u64,
    interruptions: IndexMap<Fingerprint, u32>,
}

/// Fingerprints that have broken off and have not been answered since.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    own: IndexMap<Fingerprint, Interruptions>,
    peers: IndexMap<HostName, PeerCounts>,
    /// When fingerprints of which others tell were answered here.
    answered_ms: IndexMap<Fingerprint, u64>,
}

impl PoisonRequests {
    /// Notes that a run broke off.
    pub fn record_interruption(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        self.expire(now_ms);
        let mut count = 1;
        // N.B. taken out and put back, so that the last ones stand at the end.
        if let Some(before) = self.own.shift_remove(&fingerprint) {
            count += before.count;
        }
        let interruptions = Interruptions {
            count,
            last_ms: now_ms,
        };
        self.own.insert(fingerprint, interruptions);
    }

    /// Notes that a run was answered whole.
    pub fn record_answer(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        self.own.shift_remove(&fingerprint);
        if self.peer_interruptions(now_ms, fingerprint) > 0 {
            self.answered_ms.insert(fingerprint, now_ms);
        }
    }

    /// Takes in what another host has counted.
    pub fn record_peer(
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

    /// Returns this host's own counts, for the others.
    pub fn own_counts(&self) -> Vec<(Fingerprint, u32)> {
        let last = self.own.iter().rev().take(REPORTED_MAX);
        last.map(|(fingerprint, interruptions)| (*fingerprint, interruptions.count))
            .collect()
    }

    /// Says whether a fingerprint has broken off too often to be run again.
    pub fn is_refused(&self, now_ms: u64, fingerprint: Fingerprint) -> bool {
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
