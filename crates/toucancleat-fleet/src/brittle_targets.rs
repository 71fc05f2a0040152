//! Targets that fall over if they have to turn too many requests away.
//!
//! The targets of a pool in that state say so in all their answers, and let fewer requests wait.
//! A request that is turned away for want of room costs more than one that is refused here, so
//! hosts keep the requests at each target below the number that it runs at once:
//!
//! - The known load of all hosts stays below the target's slots.
//! - Each host keeps to its part of the slots, since loads are known late.
//! - If there are more hosts than slots, each also keeps to its part of the rate at which the
//!   target answers.
//! - A host that was turned away tells its peers, and all send the target nothing for a while.
//!
//! See docs/design/platform.md, "Brittle targets".

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

use crate::rate_limit::Permits;

/// Time after which a pool no longer counts as brittle if no answer has said so again.
const RETENTION_MS: u64 = 10_000;

/// Time for which a target that has turned a request away gets none.
const PAUSE_MS: u64 = 500;

/// Part of the rate at which a target can answer that hosts use together. Requests arrive at
/// random, so at the whole rate some would find all slots taken.
const RATE_SHARE: f64 = 0.7;

/// The same while the target has turned a request away lately.
const RATE_SHARE_AFTER_REJECTION: f64 = 0.4;

/// Maximum number of entries of each list in a message.
const REPORTED_MAX: usize = 64;

/// What a host reports to its peers about brittle targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BrittleReports {
    /// Pools, whether the last answer said that the targets are brittle, and its age.
    pub pools: Vec<(PoolName, bool, u64)>,
    /// Targets that have turned requests of the sender away, and when.
    pub rejections: Vec<(TargetName, u64)>,
}

/// The last answer of a pool's targets.
#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    at_ms: u64,
    is_brittle: bool,
    is_own: bool,
}

/// When a target last turned a request away.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    at_ms: u64,
    is_own: bool,
}

/// A target to which a request may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy<'a> {
    /// The target.
    pub target: &'a TargetName,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Number of requests of this host there.
    pub own_runs: u32,
    /// Number of requests of all hosts there.
    pub all_runs: u32,
}

/// The pools whose targets are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleTargets {
    answers: IndexMap<PoolName, LastAnswer>,
    rejections: IndexMap<TargetName, Rejection>,
    /// This host's permits at targets of which there are fewer slots than hosts.
    permits: IndexMap<TargetName, Permits>,
}

impl BrittleTargets {
    /// Records whether an answer of one of the pool's targets says that they are brittle.
    /// Returns true if that has changed.
    pub fn record_answer(
        &mut self,
        now_ms: u64,
        pool: &PoolName,
        is_brittle: bool,
    ) -> bool {
        if !is_brittle && !self.answers.contains_key(pool) {
            return false;
        }
        let was_brittle = self.is_brittle(now_ms, pool);
        let answer = LastAnswer {
            at_ms: now_ms,
            is_brittle,
            is_own: true,
        };
        self.answers.insert(pool.clone(), answer);
        was_brittle != is_brittle
    }

    /// Records that a target turned a request of this host, `host`, away.
    pub fn record_rejection(
        &mut self,
        now_ms: u64,
        host: &HostName,
        target: &TargetName,
    ) {
        let rejection = Rejection {
            at_ms: now_ms,
            is_own: true,
        };
        self.rejections.insert(target.clone(), rejection);
        self.discard_permits(now_ms, host, target);
    }

    /// Records what a peer reported at a time. `host` is the name of this host.
    pub fn record_reports(
        &mut self,
        sent_ms: u64,
        host: &HostName,
        reports: &BrittleReports,
    ) {
        for (pool, is_brittle, age_ms) in reports.pools.iter().take(REPORTED_MAX) {
            let Some(at_ms) = sent_ms.checked_sub(*age_ms) else {
                continue;
            };
            let known = self.answers.get(pool);
            if known.is_none_or(|known| known.at_ms < at_ms) {
                let answer = LastAnswer {
                    at_ms,
                    is_brittle: *is_brittle,
                    is_own: false,
                };
                self.answers.insert(pool.clone(), answer);
            }
        }
        for (target, age_ms) in reports.rejections.iter().take(REPORTED_MAX) {
            let Some(at_ms) = sent_ms.checked_sub(*age_ms) else {
                continue;
            };
            let known = self.rejections.get(target);
            if known.is_none_or(|known| known.at_ms < at_ms) {
                let is_own = false;
                self.rejections
                    .insert(target.clone(), Rejection { at_ms, is_own });
                self.discard_permits(at_ms, host, target);
            }
        }
    }

    /// Discards the permits for a target but for a part of one, and those that the pause would
    /// bring. The permits of all hosts would otherwise be used when the pause ends.
    fn discard_permits(&mut self, now_ms: u64, host: &HostName, target: &TargetName) {
        if let Some(permits) = self.permits.get_mut(target) {
            let part = (hash(host, target) ^ now_ms) % 1_000;
            permits.discard(now_ms + PAUSE_MS, part as f64 / 1_000.0);
        }
    }

    /// Returns what this host reports to its peers.
    pub fn own_reports(&self, now_ms: u64) -> BrittleReports {
        let pools = self.answers.iter().filter(|(_, answer)| answer.is_own);
        let rejections = self
            .rejections
            .iter()
            .filter(|(_, rejection)| rejection.is_own);
        BrittleReports {
            pools: pools
                .map(|(pool, answer)| {
                    let age_ms = now_ms.saturating_sub(answer.at_ms);
                    (pool.clone(), answer.is_brittle, age_ms)
                })
                .take(REPORTED_MAX)
                .collect(),
            rejections: rejections
                .rev()
                .map(|(target, rejection)| {
                    (target.clone(), now_ms.saturating_sub(rejection.at_ms))
                })
                .take(REPORTED_MAX)
                .collect(),
        }
    }

    /// Returns true if the targets of a pool are brittle.
    pub fn is_brittle(&self, now_ms: u64, pool: &PoolName) -> bool {
        self.answers
            .get(pool)
            .is_some_and(|answer| answer.is_brittle && is_recent(now_ms, answer.at_ms))
    }

    /// Returns true if this host may send a request to a target of a brittle pool.
    pub fn has_room(&self, now_ms: u64, hosts: usize, occupancy: Occupancy<'_>) -> bool {
        let slots = u64::from(occupancy.slots.max(1));
        let hosts = hosts.max(1) as u64;
        let own_runs_max = (slots / hosts).max(1);
        let is_paused = self
            .rejections
            .get(occupancy.target)
            .is_some_and(|rejection| now_ms.saturating_sub(rejection.at_ms) < PAUSE_MS);
        let is_permitted = self
            .permits
            .get(occupancy.target)
            .is_none_or(|permits| permits.is_available(now_ms));
        !is_paused
            && is_permitted
            && u64::from(occupancy.all_runs) < slots
            && u64::from(occupancy.own_runs) < own_runs_max
    }

    /// Returns the pools whose targets are brittle.
    pub fn pools(&self, now_ms: u64) -> impl Iterator<Item = &PoolName> {
        self.answers
            .keys()
            .filter(move |pool| self.is_brittle(now_ms, pool))
    }

    /// Sets this host's part of the rate at which a target answers, or none if there are no more
    /// hosts than slots. `first_part` is the part of a permit with which a new rate begins, so
    /// that hosts don't all send at once.
    pub fn set_rate(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        hosts: usize,
        slots: u32,
        latency_ms: Option<f64>,
        first_part: f64,
    ) {
        let latency_ms = latency_ms.filter(|_| hosts > slots as usize);
        let Some(latency_ms) = latency_ms else {
            self.permits.swap_remove(target);
            return;
        };
        let answers_per_s = f64::from(slots) * 1_000.0 / latency_ms.max(1.0);
        let rate_share = if self.rejections.contains_key(target) {
            RATE_SHARE_AFTER_REJECTION
        } else {
            RATE_SHARE
        };
        let share_per_s = rate_share * answers_per_s / hosts as f64;
        match self.permits.get_mut(target) {
            Some(permits) => permits.set_share_per_s(now_ms, share_per_s),
            None => {
                let permits = Permits::new(now_ms, share_per_s, first_part);
                self.permits.insert(target.clone(), permits);
            }
        }
    }

    /// Counts a request to a target.
    pub fn take_permit(&mut self, now_ms: u64, target: &TargetName) {
        if let Some(permits) = self.permits.get_mut(target) {
            permits.take(now_ms);
        }
    }

    /// Forgets what was known of a target before it restarted.
    pub fn forget(&mut self, target: &TargetName) {
        self.rejections.swap_remove(target);
        self.permits.swap_remove(target);
    }

    /// Forgets what is older than its retention time.
    pub fn expire(&mut self, now_ms: u64) {
        self.answers
            .retain(|_, answer| is_recent(now_ms, answer.at_ms));
        self.rejections
            .retain(|_, rejection| is_recent(now_ms, rejection.at_ms));
        if self.answers.is_empty() {
            self.permits.clear();
        }
    }
}

/// Returns a number by which hosts differ, in another way at each target.
fn hash(host: &HostName, target: &TargetName) -> u64 {
    stable_hash(format!("{host} {target}").as_bytes())
}

fn is_recent(now_ms: u64, at_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) < RETENTION_MS
}
