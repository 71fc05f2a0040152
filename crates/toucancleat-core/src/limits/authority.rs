//! From when on a home may lend out more than it knows to be held.

use indexmap::IndexSet;

use super::Config;
use crate::homes::{HomeKey, Homes};
use crate::prelude::*;

/// Most changes of the zone's hosts that are remembered.
const CHANGES_MAX: usize = 32;

/// What this host knows about its right to lend.
#[derive(Debug)]
pub(super) struct Authority {
    /// When this host started, or lost its right and had to begin again.
    began_ms: u64,
    /// Earlier homes, each with the time when they ended.
    changes: Vec<(u64, Homes)>,
    /// Hosts that have not yet said what they hold, in the present view.
    silent: IndexSet<HostName>,
    told_ms: Option<u64>,
    /// Hosts that may run out of reach.
    missing: Option<usize>,
    /// Of these, hosts of which is known what they held.
    excused: usize,
    live: usize,
    next_query_ms: u64,
}

impl Authority {
    pub(super) fn new(now_ms: u64) -> Self {
        Authority {
            began_ms: now_ms,
            changes: Vec::new(),
            silent: IndexSet::new(),
            told_ms: None,
            missing: None,
            excused: 0,
            live: 1,
            next_query_ms: 0,
        }
    }

    /// Takes a new view; what was heard in an earlier one no longer counts.
    ///
    /// One exception: a single host that is gone, when none was missing before and it had
    /// said what it holds. What it could have added since is noted by its successor.
    pub(super) fn take_view(
        &mut self,
        now_ms: u64,
        earlier: Homes,
        others: IndexSet<HostName>,
        live: usize,
        gone: &[HostName],
    ) {
        self.excused = match gone {
            [host] if self.missing == Some(0) && !self.silent.contains(host) => 1,
            _ => 0,
        };
        self.changes.push((now_ms, earlier));
        if self.changes.len() > CHANGES_MAX {
            let (dropped_ms, _) = self.changes.remove(0);
            self.began_ms = self.began_ms.max(dropped_ms);
        }
        self.live = live;
        self.silent = others;
        self.told_ms = None;
        self.next_query_ms = now_ms;
    }

    pub(super) fn take_missing(&mut self, missing: Option<usize>) {
        self.missing = missing;
    }

    /// Begins again, as if this host had just started.
    pub(super) fn reset(&mut self, now_ms: u64, others: IndexSet<HostName>) {
        self.began_ms = now_ms;
        self.excused = 0;
        self.silent = others;
        self.told_ms = None;
        self.next_query_ms = now_ms;
    }

    /// Returns since when this host has been a key's home.
    pub(super) fn home_since_ms(&self, key: &HomeKey, own: &HostName) -> u64 {
        let mut earlier = self.changes.iter().rev();
        let moved = earlier.find(|(_, homes)| homes.work_out(key).as_ref() != Some(own));
        moved
            .map_or(self.began_ms, |(changed_ms, _)| *changed_ms)
            .max(self.began_ms)
    }

    /// Notes that a host has said what it holds.
    pub(super) fn told(&mut self, from: &HostName) {
        self.silent.swap_remove(from);
    }

    /// Says whether every host that may hold something has said so, since `since_ms`.
    pub(super) fn is_told(&mut self, now_ms: u64, since_ms: u64) -> bool {
        if self.told_ms.is_none()
            && self.silent.is_empty()
            && self.nobody_unknown_is_missing()
        {
            self.told_ms = Some(now_ms);
        }
        self.told_ms.is_some_and(|told_ms| told_ms >= since_ms)
    }

    /// Says whether every host of the present view has said what it holds.
    pub(super) fn all_told(&self) -> bool {
        self.silent.is_empty() && self.nobody_is_missing()
    }

    /// Returns since when this host's right counts.
    pub(super) fn began_ms(&self) -> u64 {
        self.began_ms
    }

    /// Returns the hosts to query now.
    pub(super) fn due_queries(&mut self, config: &Config, now_ms: u64) -> Vec<HostName> {
        if self.silent.is_empty() || now_ms < self.next_query_ms {
            return Vec::new();
        }
        self.next_query_ms = now_ms + config.query_interval_ms;
        self.silent.iter().cloned().collect()
    }

    /// Returns the live and the possible number of hosts: a home uses only the live
    /// hosts' part, since the others may follow another home out of reach.
    pub(super) fn live_part(&self) -> (u64, u64) {
        let live = self.live as u64;
        (live, live + self.missing.unwrap_or(0) as u64)
    }

    fn nobody_unknown_is_missing(&self) -> bool {
        self.missing.is_some_and(|missing| missing <= self.excused)
    }

    /// Says whether no host runs out of reach.
    pub(super) fn nobody_is_missing(&self) -> bool {
        self.missing == Some(0)
    }
}
