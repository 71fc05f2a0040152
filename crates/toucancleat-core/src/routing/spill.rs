//! Spilling to another zone while the host's own zone is full.

use crate::prelude::*;
use crate::routing::prefix::{name_hash, rendezvous_score};

/// A summary of one pool's load in one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: ZoneName,
    /// The pool.
    pub pool: PoolName,
    /// Expected wait of a new request.
    pub wait_ms: u64,
    /// Share of the pool's memory in use, from 0 to 1.
    pub used_share: f64,
    /// When the load was measured.
    pub measured_unix_ms: u64,
}

/// Age above which a summary is ignored.
const SUMMARY_AGE_MAX_MS: u64 = 5_000;

/// Share of memory in use from which a zone receives no requests from other zones.
const USED_SHARE_MAX: f64 = 0.8;

/// Returns a zone whose expected wait is less than half of `own_wait_ms`, or `None`.
///
/// Among the zones with capacity, the request's key determines the choice, so that the hosts
/// of a full zone don't all spill to the same zone.
pub fn spill_zone<'a>(
    summaries: &'a [ZoneSummary],
    pool: &PoolName,
    own_wait_ms: u64,
    now_ms: u64,
    key: u64,
) -> Option<&'a ZoneName> {
    let is_fresh = |s: &&ZoneSummary| now_ms <= s.measured_unix_ms + SUMMARY_AGE_MAX_MS;
    let has_room = |s: &&ZoneSummary| {
        s.used_share < USED_SHARE_MAX && s.wait_ms.saturating_mul(2) < own_wait_ms
    };
    let zones = summaries.iter().filter(|s| &s.pool == pool);
    let zones = zones.filter(is_fresh).filter(has_room);
    let best = zones.max_by_key(|s| rendezvous_score(key, name_hash(s.zone.as_str())));
    best.map(|s| &s.zone)
}
