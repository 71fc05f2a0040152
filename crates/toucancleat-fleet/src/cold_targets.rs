//! Targets that are cold: they take only so many requests per second from all hosts together, and
//! fall over well above.
//!
//! A target is cold after its start, and may become cold again at any moment. Its entry in the host
//! list says for how long. Until an entry can have said so, a target is assumed to be cold after its
//! zone was evacuated, and after it could not be reached.
//!
//! The rate is divided like a limit that a target names, by [`Permits`]: a few hosts send, and the
//! others send the target nothing while it is cold. Unlike those limits, the bound holds for any
//! single second and for hosts that know different peers, so the senders are chosen from all hosts
//! that may be running, and all that they may send in a second leaves room for further ones. See
//! docs/design/cold-targets.md.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

use crate::config::ColdBound;
use crate::rate_limit::{BURST_MS, Permits};
use crate::store::StorePosition;
use crate::target::TargetEntry;
use crate::target_notice::PERMIT_WAIT_MAX_MS;

/// Maximum time from the moment at which a target becomes cold until its entry says so: the
/// interval between two heartbeats.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_200;

/// Maximum time for which a target counts as cold. An entry that names a longer one is more likely
/// an error that would take the target out of use.
const COLD_MAX_MS: u64 = 600_000;

/// Time for which the position of an entry is kept after the target has become warm, so that the
/// same entry, read again, doesn't make it cold again. Longer than entries outlive their targets.
const RETENTION_MS: u64 = 10_000;

/// Number of consecutive failures to reach a target after which it may have stopped and started
/// meanwhile.
const FAILURES_MIN: u32 = 2;

/// Time for which a target that can't be reached counts as cold after each failure: the longest
/// time until it is tried again.
const UNREACHABLE_MS: u64 = 4_000;

/// Factor by which the bound exceeds what all senders may send in one second. Hosts that don't
/// know yet of some that have just been added count themselves among the senders as well.
const SENDERS_MARGIN: f64 = 1.5;

/// Part of what all senders may send in one second that they send at a constant rate. The rest is
/// for permits that were not used before.
const RATE_SHARE: f64 = 0.7;

/// Maximum number of senders for one target.
const SENDERS_MAX: usize = 16;

/// Maximum number of reports in one message to a peer. One takes some 30 bytes, and a message has
/// to fit in a datagram.
const REPORTS_PER_MESSAGE_MAX: usize = 100;

/// What a host reports to its peers about a cold target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The target.
    pub target: TargetName,
    /// When the target started, in Unix time.
    pub started_unix_ms: Option<u64>,
    /// Remaining time for which the target is cold.
    pub left_ms: u64,
}

/// How the requests to a cold target are divided among hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdDivision {
    /// Number of hosts that send to the target, if there are as many.
    pub senders: usize,
    /// Requests per second that they send together.
    pub rate_per_s: f64,
}

impl ColdDivision {
    /// Returns the division for targets that take a number of requests per second while they are
    /// cold.
    ///
    /// In any second, a sender sends its share of the rate and the permits that it has kept: one,
    /// or those of [`BURST_MS`]. Over all senders that is at most the bound divided by
    /// [`SENDERS_MARGIN`].
    pub fn new(bound: ColdBound, cold_requests_per_s: f64) -> Self {
        let bound_per_s = bound.overage * cold_requests_per_s + bound.allowance;
        let sent_per_s = bound_per_s / SENDERS_MARGIN;
        let rate_max_per_s =
            (RATE_SHARE * sent_per_s).min(sent_per_s / (1.0 + BURST_MS / 1_000.0));
        let rate_per_s = cold_requests_per_s
            .min(rate_max_per_s)
            .min(sent_per_s - 1.0)
            .max(0.0);
        ColdDivision {
            senders: ((sent_per_s - rate_per_s) as usize).clamp(1, SENDERS_MAX),
            rate_per_s,
        }
    }
}

/// What is known of a target that is cold or was recently.
#[derive(Clone, Copy, Debug, Default)]
struct ColdTarget {
    started_unix_ms: Option<u64>,
    /// Until when its entry says that it is cold.
    listed_until_ms: u64,
    /// Until when it is assumed to be cold.
    assumed_until_ms: u64,
    /// Position of the last entry that was considered.
    entry_position: StorePosition,
    /// Whether this host reports it to its peers.
    is_reported: bool,
    /// This host's permits, if the number of requests is bounded.
    permits: Option<Permits>,
}

impl ColdTarget {
    fn until_ms(&self) -> u64 {
        self.listed_until_ms.max(self.assumed_until_ms)
    }
}

/// The targets that are cold.
#[derive(Clone, Debug, Default)]
pub struct ColdTargets {
    known: IndexMap<TargetName, ColdTarget>,
    /// Consecutive failures to reach each target.
    failures: IndexMap<TargetName, u32>,
    /// The report with which the next message begins.
    report_offset: usize,
}

impl ColdTargets {
    /// Considers an entry that was read from the store, at its position there, by this host or by
    /// the peer that sent it. Returns true if the target has become cold, or stays so for longer.
    ///
    /// The same entry may be read several times, and its countdown doesn't advance meanwhile.
    pub fn record_entry(
        &mut self,
        now_ms: u64,
        position: StorePosition,
        target: &TargetName,
        entry: &TargetEntry,
        is_reported: bool,
    ) -> bool {
        let left_ms = entry.slow_start_left_ms.min(COLD_MAX_MS);
        if left_ms == 0 && !self.known.contains_key(target) {
            return false;
        }
        let known = self.known.entry(target.clone()).or_default();
        if position <= known.entry_position {
            return false;
        }
        if known.started_unix_ms != entry.started_unix_ms {
            *known = ColdTarget {
                started_unix_ms: entry.started_unix_ms,
                ..ColdTarget::default()
            };
        }
        known.entry_position = position;
        let until_before_ms = known.until_ms().max(now_ms);
        known.listed_until_ms = now_ms + left_ms;
        known.is_reported = is_reported;
        let extension_ms = known.until_ms().saturating_sub(until_before_ms);
        let was_cold = until_before_ms > now_ms;
        extension_ms > if was_cold { HEARTBEAT_INTERVAL_MS } else { 0 }
    }

    /// Records that a target may be cold for a time. Returns true if that is new.
    pub fn assume(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        started_unix_ms: Option<u64>,
        for_ms: u64,
    ) -> bool {
        let known = self.known.entry(target.clone()).or_default();
        let was_cold = known.until_ms() > now_ms;
        known.started_unix_ms = started_unix_ms;
        known.assumed_until_ms = known.assumed_until_ms.max(now_ms + for_ms);
        !was_cold
    }

    /// Records a peer's report. Returns true if the target was not known to be cold.
    pub fn record_report(&mut self, now_ms: u64, report: &ColdReport) -> bool {
        let known = self.known.entry(report.target.clone()).or_default();
        let was_cold = known.until_ms() > now_ms;
        known.started_unix_ms = report.started_unix_ms;
        let until_ms = now_ms + report.left_ms.min(COLD_MAX_MS);
        known.listed_until_ms = known.listed_until_ms.max(until_ms);
        !was_cold
    }

    /// Records that a target could not be reached, and returns true if it may have stopped.
    pub fn record_failure(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        started_unix_ms: Option<u64>,
    ) -> bool {
        let failures = self.failures.entry(target.clone()).or_default();
        *failures = failures.saturating_add(1);
        *failures >= FAILURES_MIN
            && self.assume(now_ms, target, started_unix_ms, UNREACHABLE_MS)
    }

    /// Records that a target has answered. Returns true if it may have stopped and started since
    /// its last answer: it then counts as cold until its entry can have said so, and peers have
    /// to learn of it.
    pub fn record_answer(&mut self, now_ms: u64, target: &TargetName) -> bool {
        let failures = self.failures.swap_remove(target).unwrap_or_default();
        let Some(known) = self.known.get_mut(target) else {
            return false;
        };
        if failures < FAILURES_MIN {
            return false;
        }
        known.assumed_until_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        known.is_reported = true;
        true
    }

    /// Forgets a target that is gone, or what was known of it before it restarted.
    pub fn forget_earlier_start(
        &mut self,
        target: &TargetName,
        started_unix_ms: Option<u64>,
    ) {
        let known = self.known.get(target);
        if known.is_some_and(|known| known.started_unix_ms != started_unix_ms) {
            self.known.swap_remove(target);
            self.failures.swap_remove(target);
        }
    }

    /// Forgets the failures of a target that has left.
    pub fn forget_failures(&mut self, target: &TargetName) {
        self.failures.swap_remove(target);
    }

    /// Returns true if a target is cold.
    pub fn is_cold(&self, now_ms: u64, target: &TargetName) -> bool {
        self.cold(now_ms, target).is_some()
    }

    /// Returns the targets that are cold.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = &TargetName> {
        self.known
            .iter()
            .filter(move |(_, known)| known.until_ms() > now_ms)
            .map(|(target, _)| target)
    }

    /// Sets the requests per second that this host may send to a cold target, or `None` if they
    /// aren't bounded. Permits begin at none: a host that has restarted has forgotten those that
    /// it used.
    pub fn set_share_per_s(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        share_per_s: Option<f64>,
    ) {
        let Some(known) = self.known.get_mut(target) else {
            return;
        };
        match (share_per_s, &mut known.permits) {
            (None, permits) => *permits = None,
            (Some(share_per_s), Some(permits)) => {
                permits.set_share_per_s(now_ms, share_per_s)
            }
            (Some(share_per_s), permits) => {
                *permits = Some(Permits::new(now_ms, share_per_s, 0.0));
            }
        }
    }

    /// Returns true if a target may get a request of this host now.
    pub fn takes_request(&self, now_ms: u64, target: &TargetName) -> bool {
        let permits = self.permits(now_ms, target);
        permits.is_none_or(|permits| permits.is_available(now_ms))
    }

    /// Returns true if a target may get any number of requests now.
    pub fn takes_any_rate(&self, now_ms: u64, target: &TargetName) -> bool {
        self.permits(now_ms, target).is_none()
    }

    /// Returns when a caller whose request a target doesn't take now should retry.
    pub fn retry_at_ms(&self, now_ms: u64, target: &TargetName) -> u64 {
        let Some(known) = self.cold(now_ms, target) else {
            return now_ms;
        };
        let Some(permits) = known.permits else {
            return now_ms;
        };
        let latest_ms = known.until_ms().min(now_ms + PERMIT_WAIT_MAX_MS);
        permits
            .next_ms(now_ms)
            .map_or(latest_ms, |next_ms| next_ms.min(latest_ms))
    }

    /// Counts a request to a target.
    pub fn take_permit(&mut self, now_ms: u64, target: &TargetName) {
        let known = self.known.get_mut(target);
        if let Some(permits) = known.and_then(|known| known.permits.as_mut()) {
            permits.take(now_ms);
        }
    }

    /// Returns what this host reports to its peers, another part each time if it doesn't fit in
    /// one message.
    pub fn own_reports(&mut self, now_ms: u64) -> Vec<ColdReport> {
        let reported =
            |known: &ColdTarget| known.is_reported && known.until_ms() > now_ms;
        let count = self.known.len();
        let offset = self.report_offset;
        let reports: Vec<ColdReport> = (0..count)
            .filter_map(|n| self.known.get_index((offset + n) % count))
            .filter(|(_, known)| reported(known))
            .take(REPORTS_PER_MESSAGE_MAX)
            .map(|(target, known)| ColdReport {
                target: target.clone(),
                started_unix_ms: known.started_unix_ms,
                left_ms: known.until_ms().saturating_sub(now_ms),
            })
            .collect();
        if reports.len() == REPORTS_PER_MESSAGE_MAX {
            self.report_offset = (offset + REPORTS_PER_MESSAGE_MAX) % count;
        }
        reports
    }

    /// Forgets targets that have been warm for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.known
            .retain(|_, known| now_ms < known.until_ms() + RETENTION_MS);
    }

    fn cold(&self, now_ms: u64, target: &TargetName) -> Option<&ColdTarget> {
        self.known
            .get(target)
            .filter(|known| known.until_ms() > now_ms)
    }

    fn permits(&self, now_ms: u64, target: &TargetName) -> Option<Permits> {
        self.cold(now_ms, target)?.permits
    }
}
