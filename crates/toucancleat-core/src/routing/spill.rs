//! The choice of another zone while the host's own is full.

use crate::prelude::*;
use crate::routing::prefix::{name_hash, rendezvous_score};

/// What a zone told of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: ZoneName,
    /// The pool.
    pub pool: PoolName,
    /// The wait that a new request may expect there.
    pub wait_ms: u64,
    /// Memory in use, as a share of the whole.
    pub used_share: f64,
    /// When the summary was made.
    pub measured_unix_ms: u64,
}

/// Age past which a summary says nothing.
const SUMMARY_AGE_MAX_MS: u64 = 5_000;

/// Use of memory past which a zone takes no work of others.
const USED_SHARE_MAX: f64 = 0.8;

/// Chooses a zone that can start the request sooner than `own_wait_ms`, or none.
///
/// Among the zones with room the request's own key decides, so that the hosts of a full zone
/// don't all move to the same one.
pub fn spill_zone<'a>(
    summaries: &'a [ZoneSummary],
    pool: &PoolName,
    own_wait_ms: u64,
    now_ms: u64,
    key: u64,
) -> Option<&'a ZoneName> {
    let fresh = |s: &&ZoneSummary| now_ms <= s.measured_unix_ms + SUMMARY_AGE_MAX_MS;
    let has_room = |s: &&ZoneSummary| {
        s.used_share < USED_SHARE_MAX && s.wait_ms.saturating_mul(2) < own_wait_ms
    };
    let zones = summaries.iter().filter(|s| &s.pool == pool);
    let zones = zones.filter(fresh).filter(has_room);
    let best = zones.max_by_key(|s| rendezvous_score(key, name_hash(s.zone.as_str())));
    best.map(|s| &s.zone)
}
