//! Divides a target's rate limit among the hosts that send to it.
//!
//! A limit applies to the requests of all hosts together. Hosts don't request permits from
//! each other, since a request would have to wait for the reply and a host could be cut off
//! with the permits of others. Instead each host computes its share from the live hosts:
//! a few of them, the senders, share the limit evenly, and the others send the target
//! nothing as long as it names one. A share for every host would let sixty hosts each send
//! a request at the same moment to a target that takes two a second.
//!
//! Hosts that know different live hosts compute shares whose sum exceeds the limit by the
//! shares of the hosts that only some of them know. See docs/design/platform.md, "Limits that
//! targets name".

use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

/// Number of senders in addition to one for each request per second of the limit, so that
/// the requests that all senders send at the same moment stay below those of two seconds.
const ADDITIONAL_SENDERS: usize = 2;

/// Minimum rate at which requests are sent to a target, in requests per second. Without any
/// request no answer would show that the target takes more again.
const PROBE_RATE_PER_S: f64 = 0.25;

/// Maximum rate of one sender for which unused permits are kept, in milliseconds of its
/// share, if that is more than one permit.
pub const BURST_MS: f64 = 250.0;

/// A host that may be a sender.
#[derive(Clone, Copy, Debug)]
pub struct SenderCandidate<'a> {
    /// Name of the host.
    pub host: &'a HostName,
    /// Whether it is in the zone of the target. These hosts come first, since they still
    /// reach the target when zones are partitioned.
    pub is_in_zone: bool,
}

/// Returns the requests per second that a host may send to a target, zero if it isn't a
/// sender.
pub fn sender_share_per_s<'a>(
    limit_per_s: f64,
    target: &TargetName,
    own: SenderCandidate<'_>,
    others: impl Iterator<Item = SenderCandidate<'a>>,
) -> f64 {
    let rank = |candidate: SenderCandidate<'_>| {
        let pair = format!("{target} {}", candidate.host);
        (!candidate.is_in_zone, stable_hash(pair.as_bytes()))
    };
    let own_rank = rank(own);
    let mut hosts = 1;
    let mut hosts_before = 0;
    for candidate in others {
        hosts += 1;
        hosts_before += usize::from(rank(candidate) < own_rank);
    }
    let limit_per_s = limit_per_s.max(PROBE_RATE_PER_S);
    let senders = hosts.min((limit_per_s as usize).saturating_add(ADDITIONAL_SENDERS));
    if hosts_before < senders {
        limit_per_s / senders as f64
    } else {
        0.0
    }
}

/// The permits of one host to send requests to one target, refilled at its share.
#[derive(Clone, Copy, Debug)]
pub struct Permits {
    share_per_s: f64,
    stored: f64,
    refilled_ms: u64,
}

impl Permits {
    /// Creates permits with a part of the first one, from 0 to 1. A random part keeps senders
    /// that learn of a limit together from sending at the same moments.
    pub fn new(now_ms: u64, share_per_s: f64, first_part: f64) -> Self {
        Permits {
            share_per_s,
            stored: if share_per_s > 0.0 { first_part } else { 0.0 },
            refilled_ms: now_ms,
        }
    }

    /// Changes the share. Permits that were refilled until now are kept.
    pub fn set_share_per_s(&mut self, now_ms: u64, share_per_s: f64) {
        self.refill(now_ms);
        self.share_per_s = share_per_s;
        self.stored = self.stored.min(self.stored_max());
    }

    /// Returns true if a request may be sent now.
    pub fn is_available(&self, now_ms: u64) -> bool {
        let mut refilled = *self;
        refilled.refill(now_ms);
        refilled.stored >= 1.0
    }

    /// Uses a permit.
    pub fn take(&mut self, now_ms: u64) {
        self.refill(now_ms);
        self.stored = (self.stored - 1.0).max(0.0);
    }

    /// Discards all permits but for a part of one, and refills none until a time.
    pub fn discard(&mut self, until_ms: u64, part: f64) {
        self.refill(until_ms);
        self.stored = self.stored.min(part);
    }

    /// Returns when the next request may be sent, or `None` if this host isn't a sender.
    pub fn next_ms(&self, now_ms: u64) -> Option<u64> {
        let mut refilled = *self;
        refilled.refill(now_ms);
        let missing = (1.0 - refilled.stored).max(0.0);
        (self.share_per_s > 0.0)
            .then(|| now_ms + (missing / self.share_per_s * 1_000.0).ceil() as u64)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.stored = (self.stored + elapsed_s * self.share_per_s).min(self.stored_max());
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }

    fn stored_max(&self) -> f64 {
        if self.share_per_s > 0.0 {
            (self.share_per_s * BURST_MS / 1_000.0).max(1.0)
        } else {
            0.0
        }
    }
}
