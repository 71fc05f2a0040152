//! Determines when a home may grant more than it knows to be held.

use indexmap::IndexSet;

use super::Config;
use crate::homes::{HomeKey, Homes};
use crate::prelude::*;

/// Most earlier sets of homes that are kept.
const EARLIER_HOMES_MAX: usize = 32;

/// What this host knows about its right to grant shares as a home.
#[derive(Debug)]
pub(super) struct Authority {
    /// Start of this host, its last reset, or the end of the oldest homes that were
    /// dropped.
    valid_since_ms: u64,
    /// Homes of earlier views, each with the time when the view ended.
    earlier_homes: Vec<(u64, Homes)>,
    /// Hosts that have not yet reported what they hold in the current view.
    unreported: IndexSet<HostName>,
    reports_complete_ms: Option<u64>,
    /// Number of hosts that may be running but unreachable, or `None` if unknown.
    missing: Option<usize>,
    /// Number of missing hosts whose shares are known nevertheless.
    accounted_missing: usize,
    live_count: usize,
    next_query_ms: u64,
}

impl Authority {
    pub(super) fn new(now_ms: u64) -> Self {
        Authority {
            valid_since_ms: now_ms,
            earlier_homes: Vec::new(),
            unreported: IndexSet::new(),
            reports_complete_ms: None,
            missing: None,
            accounted_missing: 0,
            live_count: 1,
            next_query_ms: 0,
        }
    }

    /// Applies a new view, which voids the reports of earlier views.
    ///
    /// The one exception is the departure of a single host that had reported what it
    /// holds, while no host was missing. The successor has recorded what it could have
    /// added since.
    pub(super) fn apply_view(
        &mut self,
        now_ms: u64,
        earlier: Homes,
        others: IndexSet<HostName>,
        live_count: usize,
        departed: &[HostName],
    ) {
        self.accounted_missing = match departed {
            [host] if self.missing == Some(0) && !self.unreported.contains(host) => 1,
            _ => 0,
        };
        self.earlier_homes.push((now_ms, earlier));
        if self.earlier_homes.len() > EARLIER_HOMES_MAX {
            let (dropped_ms, _) = self.earlier_homes.remove(0);
            self.valid_since_ms = self.valid_since_ms.max(dropped_ms);
        }
        self.live_count = live_count;
        self.unreported = others;
        self.reports_complete_ms = None;
        self.next_query_ms = now_ms;
    }

    pub(super) fn set_missing(&mut self, missing: Option<usize>) {
        self.missing = missing;
    }

    /// Resets the right to grant shares, as if this host had just started.
    pub(super) fn reset(&mut self, now_ms: u64, others: IndexSet<HostName>) {
        self.valid_since_ms = now_ms;
        self.accounted_missing = 0;
        self.unreported = others;
        self.reports_complete_ms = None;
        self.next_query_ms = now_ms;
    }

    /// Returns the time since which this host has been a key's home without a gap.
    pub(super) fn home_since_ms(&self, key: &HomeKey, own: &HostName) -> u64 {
        let mut earlier = self.earlier_homes.iter().rev();
        let last_change =
            earlier.find(|(_, homes)| homes.compute_home(key).as_ref() != Some(own));
        last_change
            .map_or(self.valid_since_ms, |(changed_ms, _)| *changed_ms)
            .max(self.valid_since_ms)
    }

    /// Records that a host has reported what it holds.
    pub(super) fn record_report(&mut self, from: &HostName) {
        self.unreported.swap_remove(from);
    }

    /// Returns true if every host that may hold a share has reported it, completed at
    /// `since_ms` or later.
    pub(super) fn has_all_reports_since(&mut self, now_ms: u64, since_ms: u64) -> bool {
        if self.reports_complete_ms.is_none()
            && self.unreported.is_empty()
            && self.has_no_unaccounted_hosts()
        {
            self.reports_complete_ms = Some(now_ms);
        }
        self.reports_complete_ms
            .is_some_and(|reports_complete_ms| reports_complete_ms >= since_ms)
    }

    /// Returns true if every host of the current view has reported what it holds and no
    /// host is missing.
    pub(super) fn has_all_reports(&self) -> bool {
        self.unreported.is_empty() && self.has_no_missing_hosts()
    }

    /// Returns the time from which the waits of a new home are counted at the earliest.
    pub(super) fn valid_since_ms(&self) -> u64 {
        self.valid_since_ms
    }

    /// Returns the hosts to query now and schedules the next query.
    pub(super) fn due_queries(&mut self, config: &Config, now_ms: u64) -> Vec<HostName> {
        if self.unreported.is_empty() || now_ms < self.next_query_ms {
            return Vec::new();
        }
        self.next_query_ms = now_ms + config.query_interval_ms;
        self.unreported.iter().cloned().collect()
    }

    /// Returns the number of live hosts and of hosts that may be running.
    ///
    /// A home uses only the live hosts' part of the limit, since unreachable hosts may
    /// get shares from another home.
    pub(super) fn live_and_possible_hosts(&self) -> (u64, u64) {
        let live_count = self.live_count as u64;
        (live_count, live_count + self.missing.unwrap_or(0) as u64)
    }

    fn has_no_unaccounted_hosts(&self) -> bool {
        self.missing
            .is_some_and(|missing| missing <= self.accounted_missing)
    }

    /// Returns true if no host can be running but unreachable.
    pub(super) fn has_no_missing_hosts(&self) -> bool {
        self.missing == Some(0)
    }
}
