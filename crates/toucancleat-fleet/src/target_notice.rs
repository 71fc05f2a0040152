//! What targets report about themselves in their answers.
//!
//! | notice | holds until | for |
//! | --- | --- | --- |
//! | rate limit | a later answer, to any host, doesn't name it | all hosts |
//! | leaving | the target restarts | all hosts |
//! | pause | the time that it names has passed | the host that was told |
//!
//! Notices are ordered by the time of the answer, since hosts are told at different times. One
//! that limits nothing is kept for a while, to replace earlier ones that are still on their way
//! between hosts. See docs/design/platform.md, "What targets report about themselves".

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

use crate::rate_limit::Permits;

/// Time after which a rate limit is discarded if no answer of the target has renewed it.
pub const LIMIT_RETENTION_MS: u64 = 30_000;

/// Time for which a target counts as leaving after the last answer that reported it. Longer
/// than any target takes to exit.
pub const LEAVING_RETENTION_MS: u64 = 600_000;

/// Maximum duration of a pause. A target in need names seconds; a longer pause is more likely
/// an error that would take the target out of use.
pub const PAUSE_MAX_MS: u64 = 300_000;

/// Maximum time to the next permit that callers are told. Another host may have one earlier.
pub const PERMIT_WAIT_MAX_MS: u64 = 2_000;

/// Maximum number of notices in one message to a peer. One takes some 30 bytes, and a message
/// has to fit in a datagram.
const NOTICES_PER_MESSAGE_MAX: usize = 200;

/// Relative change of a limit from which peers are told at once.
const LIMIT_CHANGE_MIN: f64 = 0.1;

/// What one answer of a target reports about the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Requests per second that the target takes from all hosts together, if it limits them.
    pub rate_limit_per_s: Option<f64>,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Time for which the target wants no requests from this host, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Requests that the targets of the pool may turn away in a second without falling over, if
    /// they are brittle.
    pub rejections_max_per_s: Option<f64>,
}

/// A notice as a host sends it to its peers. A pause concerns only the host that was told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeReport {
    /// The target.
    pub target: TargetName,
    /// When the target started, in Unix time.
    pub started_unix_ms: Option<u64>,
    /// Requests per second that the target takes from all hosts together, if it limits them.
    pub rate_limit_per_s: Option<f64>,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Time since the sender received the answer.
    pub age_ms: u64,
}

/// What a target has reported so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownNotice {
    /// Requests per second that the target takes from all hosts together, if it limits them.
    pub rate_limit_per_s: Option<f64>,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Until when the target wants no requests from this host.
    pub paused_until_ms: u64,
    /// When the last answer was received that asked for a pause.
    pause_asked_ms: u64,
    /// When the target started, in Unix time. A target that has restarted has reported nothing.
    started_unix_ms: Option<u64>,
    /// When the last answer was received, by this host's clock.
    answered_ms: u64,
    /// Whether this host received that answer, and reports it to its peers.
    is_own: bool,
    /// This host's permits, if the target limits the rate of requests.
    permits: Option<Permits>,
}

impl KnownNotice {
    /// Returns true if hosts that know only `before` would send the target too much, or need
    /// not hold back any more.
    pub fn is_urgent_after(&self, before: &KnownNotice) -> bool {
        let is_limit_urgent = match (self.rate_limit_per_s, before.rate_limit_per_s) {
            (Some(limit), Some(limit_before)) => {
                (limit - limit_before).abs() > LIMIT_CHANGE_MIN * limit_before
            }
            (limit, limit_before) => limit.is_some() != limit_before.is_some(),
        };
        is_limit_urgent || self.is_leaving != before.is_leaving
    }

    /// Returns true if the target may get a request now.
    fn takes_request(&self, now_ms: u64) -> bool {
        let is_permitted = self
            .permits
            .is_none_or(|permits| permits.is_available(now_ms));
        !self.is_leaving && now_ms >= self.paused_until_ms && is_permitted
    }

    fn is_kept(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.answered_ms);
        age_ms < LIMIT_RETENTION_MS
            || now_ms < self.paused_until_ms
            || (self.is_leaving && age_ms < LEAVING_RETENTION_MS)
    }
}

/// An answer whose notice is recorded.
#[derive(Clone, Copy, Debug)]
pub struct AnswerSource {
    /// When the target started, in Unix time.
    pub started_unix_ms: Option<u64>,
    /// When the answer was received, by this host's clock.
    pub answered_ms: u64,
    /// Whether this host received it.
    pub is_own: bool,
}

/// What targets have reported. Targets that have reported nothing recently have no entry.
#[derive(Clone, Debug, Default)]
pub struct TargetNotices {
    known: IndexMap<TargetName, KnownNotice>,
}

impl TargetNotices {
    /// Records the notice of an answer, and returns what was known before.
    ///
    /// Returns `None` if the answer changes nothing.
    pub fn record(
        &mut self,
        target: &TargetName,
        notice: TargetNotice,
        source: AnswerSource,
    ) -> Option<KnownNotice> {
        let notice = TargetNotice {
            rejections_max_per_s: None,
            ..notice
        };
        if notice == TargetNotice::default() && !self.known.contains_key(target) {
            return None;
        }
        let known = self.known.entry(target.clone()).or_default();
        if known.started_unix_ms != source.started_unix_ms {
            *known = KnownNotice {
                started_unix_ms: source.started_unix_ms,
                ..KnownNotice::default()
            };
        }
        let before = *known;
        known.is_leaving |= notice.is_leaving;
        if let Some(pause_ms) = notice.pause_ms {
            let until_ms = source.answered_ms + pause_ms.min(PAUSE_MAX_MS);
            known.paused_until_ms = known.paused_until_ms.max(until_ms);
            known.pause_asked_ms = known.pause_asked_ms.max(source.answered_ms);
        }
        if source.answered_ms >= known.answered_ms {
            known.rate_limit_per_s = notice.rate_limit_per_s;
            known.answered_ms = source.answered_ms;
            known.is_own = source.is_own;
            if notice.rate_limit_per_s.is_none() {
                known.permits = None;
            }
        }
        let is_changed = known.rate_limit_per_s != before.rate_limit_per_s
            || known.is_leaving != before.is_leaving
            || known.paused_until_ms != before.paused_until_ms;
        is_changed.then_some(before)
    }

    /// Forgets what a target reported before it restarted, at some time from `restarted_from_ms`.
    ///
    /// A pause that the new start may have asked for is kept. It ends by itself; a limit and a notice
    /// that the target is leaving don't, and its next answer repeats them.
    pub fn forget_earlier_start(
        &mut self,
        target: &TargetName,
        started_unix_ms: Option<u64>,
        restarted_from_ms: u64,
    ) {
        let Some(known) = self.known.get_mut(target) else {
            return;
        };
        if known.started_unix_ms == started_unix_ms {
            return;
        }
        if known.pause_asked_ms < restarted_from_ms {
            self.known.swap_remove(target);
            return;
        }
        *known = KnownNotice {
            started_unix_ms,
            paused_until_ms: known.paused_until_ms,
            pause_asked_ms: known.pause_asked_ms,
            ..KnownNotice::default()
        };
    }

    /// Returns what a target has reported.
    pub fn get(&self, target: &TargetName) -> KnownNotice {
        self.known.get(target).copied().unwrap_or_default()
    }

    /// Returns the targets that limit the rate of requests, with their limits.
    pub fn limits(&self) -> impl Iterator<Item = (&TargetName, f64)> {
        self.known
            .iter()
            .filter_map(|(target, known)| Some((target, known.rate_limit_per_s?)))
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

    /// Returns true if a target may get a request of this host now.
    pub fn takes_request(&self, now_ms: u64, target: &TargetName) -> bool {
        self.known
            .get(target)
            .is_none_or(|known| known.takes_request(now_ms))
    }

    /// Returns true if a target may get any number of requests now.
    pub fn takes_any_rate(&self, now_ms: u64, target: &TargetName) -> bool {
        self.known.get(target).is_none_or(|known| {
            known.rate_limit_per_s.is_none() && known.takes_request(now_ms)
        })
    }

    /// Returns when a caller whose request a target doesn't take now should retry, or `None` if
    /// the target takes no more requests.
    pub fn retry_at_ms(&self, now_ms: u64, target: &TargetName) -> Option<u64> {
        let known = self.get(target);
        if known.is_leaving {
            return None;
        }
        let latest_ms = now_ms + PERMIT_WAIT_MAX_MS;
        let permitted_ms = known.permits.map_or(now_ms, |permits| {
            permits.next_ms(now_ms).unwrap_or(latest_ms).min(latest_ms)
        });
        Some(permitted_ms.max(known.paused_until_ms))
    }

    /// Counts a request to a target.
    pub fn take_permit(&mut self, now_ms: u64, target: &TargetName) {
        let known = self.known.get_mut(target);
        if let Some(permits) = known.and_then(|known| known.permits.as_mut()) {
            permits.take(now_ms);
        }
    }

    /// Returns the notices of answers that this host received itself, for its peers.
    pub fn own_reports(&self, now_ms: u64) -> Vec<NoticeReport> {
        let age_ms = |known: &KnownNotice| now_ms.saturating_sub(known.answered_ms);
        let mut reports: Vec<NoticeReport> = self
            .known
            .iter()
            .filter(|(_, known)| known.is_own && age_ms(known) < LIMIT_RETENTION_MS)
            .map(|(target, known)| NoticeReport {
                target: target.clone(),
                started_unix_ms: known.started_unix_ms,
                rate_limit_per_s: known.rate_limit_per_s,
                is_leaving: known.is_leaving,
                age_ms: age_ms(known),
            })
            .collect();
        if reports.len() > NOTICES_PER_MESSAGE_MAX {
            reports.sort_by_key(|report| report.age_ms);
            reports.truncate(NOTICES_PER_MESSAGE_MAX);
        }
        reports
    }

    /// Discards limits that no answer has renewed for long, and returns them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(TargetName, KnownNotice)> {
        let mut expired = Vec::new();
        self.known.retain(|target, known| {
            let age_ms = now_ms.saturating_sub(known.answered_ms);
            if known.rate_limit_per_s.is_some() && age_ms >= LIMIT_RETENTION_MS {
                expired.push((target.clone(), *known));
                known.rate_limit_per_s = None;
                known.permits = None;
            }
            known.is_kept(now_ms)
        });
        expired
    }
}
