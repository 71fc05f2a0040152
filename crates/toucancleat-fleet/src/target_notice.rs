//! What targets report about themselves in their answers.
//!
//! A notice holds until the target's next answer replaces it, since a target that no longer
//! needs a limit just stops naming it.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

/// Time after which the last notice of a target that hasn't answered since is discarded.
pub const NOTICE_RETENTION_MS: u64 = 30_000;

/// What one answer of a target reports about the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Requests per second that the target takes from all hosts together, if it limits them.
    pub rate_limit_per_s: Option<f64>,
}

/// The last notices of targets, without those that limit nothing.
#[derive(Clone, Debug, Default)]
pub struct TargetNotices {
    known: IndexMap<TargetName, KnownNotice>,
}

#[derive(Clone, Copy, Debug)]
struct KnownNotice {
    notice: TargetNotice,
    received_ms: u64,
}

impl TargetNotices {
    /// Records the notice of an answer, and returns the one that it replaces if they differ.
    pub fn record(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        notice: TargetNotice,
    ) -> Option<TargetNotice> {
        let before = self.get(target);
        if notice == TargetNotice::default() {
            self.known.swap_remove(target);
        } else {
            let received_ms = now_ms;
            self.known.insert(
                target.clone(),
                KnownNotice {
                    notice,
                    received_ms,
                },
            );
        }
        (before != notice).then_some(before)
    }

    /// Returns the last notice of a target.
    pub fn get(&self, target: &TargetName) -> TargetNotice {
        self.known
            .get(target)
            .map_or_else(TargetNotice::default, |known| known.notice)
    }

    /// Returns the number of targets that limit the rate of requests.
    pub fn limited_targets(&self) -> usize {
        let is_limited = |known: &&KnownNotice| known.notice.rate_limit_per_s.is_some();
        self.known.values().filter(is_limited).count()
    }

    /// Discards what a target has reported, since it has restarted or is gone.
    pub fn remove(&mut self, target: &TargetName) {
        self.known.swap_remove(target);
    }

    /// Discards the notices of targets that haven't answered for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.known.retain(|_, known| {
            now_ms.saturating_sub(known.received_ms) < NOTICE_RETENTION_MS
        });
    }
}
