//! Parts under which targets have crashed, with the verdicts and trials of each.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use super::{CRASH_RETENTION_MS, CrashedTarget, TargetKey};
use crate::poison_verdict::{PROBATION_MS, PoisonVerdict, REFUSAL_MS, TRIAL_MS};

/// Time for which a host reports the only crash under a part: some messages of a large fleet.
const SINGLE_CRASH_REPORT_MS: u64 = 4_000;

/// A part under which targets have crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    pub(super) crashes: IndexMap<TargetKey, Crash>,
    pub(super) verdict: Option<PoisonVerdict>,
    pub(super) trial: Option<Trial>,
    /// When a peer last reported it as suspect or poison.
    pub(super) peer_reported_ms: Option<u64>,
}

impl Suspect {
    pub(super) fn is_refused(&self, now_ms: u64) -> bool {
        self.verdict
            .is_some_and(|verdict| verdict.is_in_force(now_ms))
    }

    pub(super) fn is_on_probation(&self) -> bool {
        self.verdict.is_some()
    }

    /// Returns the key of a crash. All hosts that know of the target's earlier crashes, and that it
    /// couldn't be reached after them, compute the same key.
    pub(super) fn key_of_crash(&self, target: CrashedTarget) -> TargetKey {
        let mut key = target.key;
        while self
            .crashes
            .get(&key)
            .is_some_and(|crash| Some(crash.at_ms) < target.unreached_ms)
        {
            key = key.wrapping_add(1);
        }
        key
    }

    /// Returns true if peers are told of a crash.
    ///
    /// Most parts crash one target only, which ended for another reason. Messages would be full
    /// of them, at all hosts and for as long as they are remembered.
    pub(super) fn is_reported(&self, now_ms: u64, crash: &Crash) -> bool {
        let is_recent = now_ms.saturating_sub(crash.at_ms) < SINGLE_CRASH_REPORT_MS;
        self.crashes.len() > 1 || (crash.is_own && is_recent)
    }

    pub(super) fn crash_times_ms(&self) -> impl Iterator<Item = u64> {
        self.crashes.values().map(|crash| crash.at_ms)
    }

    /// Returns when another trial may begin by a verdict, after the one that may be running.
    pub(super) fn next_trial_ms(&self, verdict: &PoisonVerdict) -> u64 {
        let running = self.trial.as_ref().filter(|trial| trial.is_of(verdict));
        let over_ms = running.map(|trial| trial.began_ms + TRIAL_MS);
        over_ms.unwrap_or_default().max(verdict.trial_due_ms())
    }

    pub(super) fn is_kept(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms: Option<u64>, retention_ms: u64| {
            at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < retention_ms)
        };
        !self.crashes.is_empty()
            || is_recent(
                self.verdict.map(|verdict| verdict.since_ms),
                REFUSAL_MS + PROBATION_MS,
            )
            || is_recent(self.peer_reported_ms, CRASH_RETENTION_MS)
    }
}

/// A crash under a part.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) at_ms: u64,
    pub(super) is_own: bool,
}

/// A trial of a poison part.
#[derive(Clone, Debug)]
pub(super) struct Trial {
    pub(super) began_ms: u64,
    /// The peer that has sent the request, or `None` if this host has.
    pub(super) peer: Option<HostName>,
}

impl Trial {
    /// Returns true if it began after the last crash by which there is a verdict.
    pub(super) fn is_of(&self, verdict: &PoisonVerdict) -> bool {
        self.began_ms > verdict.since_ms
    }
}
