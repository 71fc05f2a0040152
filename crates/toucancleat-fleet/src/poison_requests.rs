//! Detects poison requests, which crash every target that runs them.
//!
//! Callers retry such a request, at any host and with a new name for each attempt, so it
//! is identified by a fingerprint of its content. All hosts add up how often the runs of
//! a fingerprint were interrupted. One complete answer clears it, so that a request that
//! only ran beside a poison request, or over a faulty link, isn't refused for long.
//!
//! The counts of a host outlive its process: peers keep those of a process that is gone and tell
//! them to its successor, whose own counts include them.

use indexmap::{IndexMap, IndexSet};
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
#[derive(Clone, Debug, Default)]
struct PeerCounts {
    incarnation: u64,
    received_ms: u64,
    interruptions: IndexMap<Fingerprint, u32>,
    /// What its host had counted before its process started, and when that was last heard.
    predecessor: IndexMap<Fingerprint, u32>,
    predecessor_heard_ms: u64,
}

impl PeerCounts {
    /// Returns the count of the peer's host. The process may have been told the counts of the
    /// one before, so they aren't added up.
    fn count(&self, now_ms: u64, fingerprint: Fingerprint) -> u32 {
        let own = self.interruptions.get(&fingerprint).copied();
        let before = self.predecessor.get(&fingerprint).copied();
        let is_recent = now_ms.saturating_sub(self.predecessor_heard_ms) < RETENTION_MS;
        own.max(before.filter(|_| is_recent)).unwrap_or_default()
    }

    fn fingerprints(&self) -> IndexSet<Fingerprint> {
        let own = self.interruptions.keys();
        own.chain(self.predecessor.keys()).copied().collect()
    }
}

/// Fingerprints whose runs were interrupted and that have not been answered since.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    own: IndexMap<Fingerprint, Interruptions>,
    /// What peers have told of the processes of this host before this one.
    inherited: IndexMap<Fingerprint, Interruptions>,
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
        let was_inherited = self.inherited.shift_remove(&fingerprint).is_some();
        if was_inherited || self.peer_interruptions(now_ms, fingerprint) > 0 {
            self.answered_ms.insert(fingerprint, now_ms);
        }
    }

    /// Stores the counts received from a peer.
    pub fn record_peer_counts(
        &mut self,
        now_ms: u64,
        host: HostName,
        incarnation: u64,
        interruptions: &[(Fingerprint, u32)],
    ) {
        let peer = self.peers.entry(host).or_default();
        if peer.incarnation != incarnation {
            let counts = peer.fingerprints().into_iter();
            peer.predecessor = counts
                .map(|fingerprint| (fingerprint, peer.count(now_ms, fingerprint)))
                .collect();
            peer.predecessor_heard_ms = peer.received_ms;
        }
        peer.incarnation = incarnation;
        peer.received_ms = now_ms;
        peer.interruptions = interruptions.iter().copied().collect();
    }

    /// Returns what a peer's host had counted before its process started and the process doesn't
    /// report, since it doesn't know that.
    pub fn predecessor_of(
        &self,
        now_ms: u64,
        host: &HostName,
    ) -> Vec<(Fingerprint, u32)> {
        let Some(peer) = self.peers.get(host) else {
            return Vec::new();
        };
        let is_unknown = |fingerprint: &Fingerprint| {
            let own = peer.interruptions.get(fingerprint).copied();
            own.unwrap_or_default() < peer.count(now_ms, *fingerprint)
        };
        let unknown = peer.predecessor.keys().copied().filter(is_unknown);
        unknown
            .map(|fingerprint| (fingerprint, peer.count(now_ms, fingerprint)))
            .take(REPORTED_MAX)
            .collect()
    }

    /// Takes over what a peer knows of the processes of this host before this one. Peers may differ, since
    /// some may have missed the last messages of those processes.
    pub fn inherit(&mut self, now_ms: u64, told: &[(Fingerprint, u32)]) {
        for (fingerprint, count) in told {
            // What was answered since doesn't count any more.
            if self.answered_ms.contains_key(fingerprint) {
                continue;
            }
            if let Some(known) = self.inherited.get_mut(fingerprint) {
                known.count = known.count.max(*count);
            } else if self.inherited.len() < REPORTED_MAX {
                let interruptions = Interruptions {
                    count: *count,
                    last_ms: now_ms,
                };
                self.inherited.insert(*fingerprint, interruptions);
            }
        }
    }

    /// Returns this host's own counts, for its peers.
    pub fn own_counts(&self) -> Vec<(Fingerprint, u32)> {
        let last = self.own.keys().rev().take(REPORTED_MAX).copied();
        let inherited = self.inherited.keys().copied();
        let fingerprints: IndexSet<Fingerprint> = last.chain(inherited).collect();
        fingerprints
            .into_iter()
            .map(|fingerprint| (fingerprint, self.host_count(fingerprint)))
            .collect()
    }

    /// Returns the count of this host, over all its processes.
    fn host_count(&self, fingerprint: Fingerprint) -> u32 {
        let both = [self.own.get(&fingerprint), self.inherited.get(&fingerprint)];
        both.into_iter()
            .flatten()
            .map(|interruptions| interruptions.count)
            .sum()
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
        let both = [self.own.get(&fingerprint), self.inherited.get(&fingerprint)];
        let recent = both.into_iter().flatten();
        let own: u32 = recent
            .filter(|interruptions| is_recent(interruptions.last_ms))
            .map(|interruptions| interruptions.count)
            .sum();
        own + self.peer_interruptions(now_ms, fingerprint) >= INTERRUPTIONS_MAX
    }

    fn peer_interruptions(&self, now_ms: u64, fingerprint: Fingerprint) -> u32 {
        self.peers
            .values()
            .filter(|peer| now_ms.saturating_sub(peer.received_ms) < RETENTION_MS)
            .map(|peer| peer.count(now_ms, fingerprint))
            .sum()
    }

    fn expire(&mut self, now_ms: u64) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < RETENTION_MS;
        self.own
            .retain(|_, interruptions| is_recent(interruptions.last_ms));
        self.inherited
            .retain(|_, interruptions| is_recent(interruptions.last_ms));
        self.peers.retain(|_, peer| is_recent(peer.received_ms));
        self.answered_ms.retain(|_, at_ms| is_recent(*at_ms));
    }
}
