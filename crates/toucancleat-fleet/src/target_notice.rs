//! What targets report about themselves in their answers.
//!
//! A notice holds until a later answer of the target replaces it, whichever host received
//! that answer: a target that no longer needs a limit just stops naming it. So notices are
//! ordered by the time of the answer, and a notice that limits nothing is kept for a while to
//! replace earlier ones that are still on their way between hosts.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

use crate::rate_limit::Permits;

/// Time after which a notice is discarded if no answer of the target has renewed it.
pub const NOTICE_RETENTION_MS: u64 = 30_000;

/// Maximum number of notices in one message to a peer. One takes some 25 bytes, and a message
/// has to fit in a datagram.
const NOTICES_PER_MESSAGE_MAX: usize = 200;

/// Relative change of a limit from which peers are told at once.
const LIMIT_CHANGE_MIN: f64 = 0.1;

/// What one answer of a target reports about the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetNotice {
    /// Requests per second that the target takes from all hosts together, if it limits them.
    pub rate_limit_per_s: Option<f64>,
}

impl TargetNotice {
    /// Returns true if hosts that know only `before` would send the target too much, or need
    /// not hold back any more.
    pub fn is_urgent_after(self, before: TargetNotice) -> bool {
        match (self.rate_limit_per_s, before.rate_limit_per_s) {
            (Some(limit), Some(limit_before)) => {
                (limit - limit_before).abs() > LIMIT_CHANGE_MIN * limit_before
            }
            (limit, limit_before) => limit.is_some() != limit_before.is_some(),
        }
    }
}

/// A notice as a host sends it to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeReport {
    /// The target.
    pub target: TargetName,
    /// The notice.
    pub notice: TargetNotice,
    /// Time since the sender received it.
    pub age_ms: u64,
}

/// The last notices of targets. Targets that have not limited anything recently have none.
#[derive(Clone, Debug, Default)]
pub struct TargetNotices {
    known: IndexMap<TargetName, KnownNotice>,
}

#[derive(Clone, Copy, Debug)]
struct KnownNotice {
    notice: TargetNotice,
    /// When the answer was received, by this host's clock.
    answered_ms: u64,
    /// Whether this host received the answer, and reports it to its peers.
    is_own: bool,
    /// This host's permits, if the target limits the rate of requests.
    permits: Option<Permits>,
}

impl TargetNotices {
    /// Records the notice of an answer, and returns the one before if they differ.
    ///
    /// A notice is ignored if a later answer is known.
    pub fn record(
        &mut self,
        target: &TargetName,
        notice: TargetNotice,
        answered_ms: u64,
        is_own: bool,
    ) -> Option<TargetNotice> {
        let Some(known) = self.known.get_mut(target) else {
            if notice != TargetNotice::default() {
                let known = KnownNotice {
                    notice,
                    answered_ms,
                    is_own,
                    permits: None,
                };
                self.known.insert(target.clone(), known);
                return Some(TargetNotice::default());
            }
            return None;
        };
        if answered_ms < known.answered_ms {
            return None;
        }
        let before = known.notice;
        known.notice = notice;
        known.answered_ms = answered_ms;
        known.is_own = is_own;
        if notice.rate_limit_per_s.is_none() {
            known.permits = None;
        }
        (before != notice).then_some(before)
    }

    /// Returns the last notice of a target.
    pub fn get(&self, target: &TargetName) -> TargetNotice {
        self.known
            .get(target)
            .map_or_else(TargetNotice::default, |known| known.notice)
    }

    /// Returns the targets that limit the rate of requests, with their limits.
    pub fn limits(&self) -> impl Iterator<Item = (&TargetName, f64)> {
        self.known
            .iter()
            .filter_map(|(target, known)| Some((target, known.notice.rate_limit_per_s?)))
    }

    /// Sets this host's share of a target's limit. `first_part` is the part of a permit with
    /// which a new limit begins.
    pub fn set_share_per_s(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        share_per_s: f64,
        first_part: f64,
    ) {
        if let Some(known) = self.known.get_mut(target) {
            match &mut known.permits {
                Some(permits) => permits.set_share_per_s(now_ms, share_per_s),
                None => {
                    known.permits = Some(Permits::new(now_ms, share_per_s, first_part));
                }
            }
        }
    }

    /// Returns true if a request may be sent to a target now.
    pub fn permits(&self, now_ms: u64, target: &TargetName) -> bool {
        self.permits_of(target)
            .is_none_or(|permits| permits.is_available(now_ms))
    }

    /// Returns when the next request may be sent to a limited target, or `None` if this host
    /// sends it nothing.
    pub fn next_permit_ms(&self, now_ms: u64, target: &TargetName) -> Option<u64> {
        self.permits_of(target)?.next_ms(now_ms)
    }

    /// Counts a request to a target.
    pub fn take_permit(&mut self, now_ms: u64, target: &TargetName) {
        let known = self.known.get_mut(target);
        if let Some(permits) = known.and_then(|known| known.permits.as_mut()) {
            permits.take(now_ms);
        }
    }

    /// Returns the notices that this host received itself, for its peers.
    pub fn own_reports(&self, now_ms: u64) -> Vec<NoticeReport> {
        let own = self.known.iter().filter(|(_, known)| known.is_own);
        let mut reports: Vec<NoticeReport> = own
            .map(|(target, known)| NoticeReport {
                target: target.clone(),
                notice: known.notice,
                age_ms: now_ms.saturating_sub(known.answered_ms),
            })
            .collect();
        if reports.len() > NOTICES_PER_MESSAGE_MAX {
            reports.sort_by_key(|report| report.age_ms);
            reports.truncate(NOTICES_PER_MESSAGE_MAX);
        }
        reports
    }

    /// Discards what a target has reported, since it has restarted or is gone.
    pub fn remove(&mut self, target: &TargetName) {
        self.known.swap_remove(target);
    }

    /// Discards notices that no answer has renewed for long, and returns their targets.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(TargetName, TargetNotice)> {
        let mut expired = Vec::new();
        self.known.retain(|target, known| {
            let is_kept = now_ms.saturating_sub(known.answered_ms) < NOTICE_RETENTION_MS;
            if !is_kept {
                expired.push((target.clone(), known.notice));
            }
            is_kept
        });
        expired
    }

    fn permits_of(&self, target: &TargetName) -> Option<&Permits> {
        self.known.get(target)?.permits.as_ref()
    }
}
