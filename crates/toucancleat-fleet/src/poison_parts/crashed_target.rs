//! Starts of targets that have crashed.

use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

/// A target that has crashed.
///
/// A target that couldn't be reached after a crash, and then took a request, has started anew, though
/// its start may not be known yet. One that only breaks connections off has not.
#[derive(Clone, Copy, Debug)]
pub struct CrashedTarget {
    /// The key of its last known start.
    pub key: TargetKey,
    /// When it last couldn't be reached, before the request was sent to it.
    pub unreached_ms: Option<u64>,
}

/// Identifies one start of a target, for which every host computes the same value.
pub type TargetKey = u32;

/// Returns the key of a start of a target, which may have started under its name before.
///
/// N.B. a target that starts anew has the key of its last start until that is known.
pub fn target_key(target: &TargetName, started_unix_ms: Option<u64>) -> TargetKey {
    let started_unix_ms = started_unix_ms.unwrap_or_default();
    stable_hash(format!("{target}\n{started_unix_ms}").as_bytes()) as TargetKey
}
