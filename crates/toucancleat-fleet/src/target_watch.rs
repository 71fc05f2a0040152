//! Learns which targets are leaving while nobody can read the host list.
//!
//! Notices of leaving targets come from the store. While it answers no host, hosts ask the engines
//! themselves, one host each engine. An engine's report is some hundred milliseconds old, and it
//! has hardly twice that time left, so it is suspected before it says so: it then announces that it
//! closes its connections, which sound targets do only now and then. See
//! docs/design/target-watch.md.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// Interval at which an engine is asked. Two reports and the copies of its runs have to fit into
/// the time that it has left.
pub const ASK_INTERVAL_MS: u64 = 100;

/// Maximum number of engines that a host asks in one tick, so that the cost for a host doesn't
/// depend on how many engines there are. Those that run requests of the host come first.
const ASKS_PER_TICK_MAX: usize = 2;

/// Interval at which the engines are assigned to hosts while they are asked.
const ASSIGNMENT_INTERVAL_MS: u64 = 500;

/// Time after which a question without an answer is repeated.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Number of consecutive reports on closing connections that raise a suspicion. A sound target
/// closes a connection now and then, hardly ever two in succession.
const CLOSING_REPORTS_MIN: u32 = 2;

/// Time for which a target is suspected. If it leaves, its reports say so well within it.
pub const SUSPICION_MS: u64 = 1_500;

/// Divisor of a pool's size that yields the number of its targets that may be suspected at once.
/// Signs that are wrong must not empty a pool.
pub const SUSPECTS_DIVISOR: usize = 3;

/// Maximum number of suspicions in one message to a peer. One takes some 30 bytes, and a message
/// has to fit in a datagram.
const REPORTS_PER_MESSAGE_MAX: usize = 100;

/// What an engine reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Whether it says that it is leaving.
    pub is_leaving: bool,
    /// Remaining time until it exits, if it says so.
    pub leaves_in_ms: Option<u64>,
    /// Whether it announced that it closes the connection.
    pub is_closing: bool,
}

/// What follows from a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// The target is leaving; it has said so.
    Leaving,
    /// The target behaves like one that is leaving.
    Suspected,
    /// Nothing new.
    Unchanged,
}

/// What a host tells its peers about the watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReport {
    /// Whether the store answers the sender, and it reads the host list for all.
    pub reads_host_list: bool,
    /// The targets that the sender suspects.
    pub suspicions: Vec<SuspicionReport>,
}

/// A suspicion as a host tells it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// The target.
    pub target: TargetName,
    /// When the target started, in Unix time.
    pub started_unix_ms: Option<u64>,
    /// Remaining time of the suspicion.
    pub left_ms: u64,
}

/// The engines that this host asks.
#[derive(Clone, Debug, Default)]
pub struct TargetWatch {
    asked: IndexMap<TargetName, AskedTarget>,
    assignment_due_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct AskedTarget {
    /// Whether it runs requests of this host.
    has_own_runs: bool,
    due_ms: u64,
    /// Consecutive reports on connections that the target closes.
    closing_reports: u32,
    /// Whether it was suspected for them. It isn't again until it has kept a connection.
    was_suspected: bool,
}

impl TargetWatch {
    /// Returns true if the engines have to be assigned again.
    pub fn is_assignment_due(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.assignment_due_ms;
        if is_due {
            self.assignment_due_ms = now_ms + ASSIGNMENT_INTERVAL_MS;
        }
        is_due
    }

    /// Sets the engines that this host asks, and whether they run requests of this host.
    pub fn assign(&mut self, targets: impl IntoIterator<Item = (TargetName, bool)>) {
        let mut before = std::mem::take(&mut self.asked);
        for (target, has_own_runs) in targets {
            let known = before.swap_remove(&target).unwrap_or_default();
            let asked = AskedTarget {
                has_own_runs,
                ..known
            };
            self.asked.insert(target, asked);
        }
    }

    /// Ends the watch: the host list is read again.
    pub fn end(&mut self) {
        self.asked.clear();
        self.assignment_due_ms = 0;
    }

    /// Returns the engines to ask now, and counts them as asked.
    pub fn start_due(&mut self, now_ms: u64) -> Vec<TargetName> {
        let mut due: Vec<(bool, u64, TargetName)> = self
            .asked
            .iter()
            .filter(|(_, asked)| now_ms >= asked.due_ms)
            .map(|(target, asked)| (!asked.has_own_runs, asked.due_ms, target.clone()))
            .collect();
        due.sort();
        due.truncate(ASKS_PER_TICK_MAX);
        let targets: Vec<TargetName> =
            due.into_iter().map(|(_, _, target)| target).collect();
        for target in &targets {
            if let Some(asked) = self.asked.get_mut(target) {
                asked.due_ms = now_ms + ANSWER_TIMEOUT_MS;
            }
        }
        targets
    }

    /// Records the report of an engine, or `None` if it gave none, and returns what follows.
    pub fn record(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        report: Option<TargetReport>,
    ) -> Belief {
        let Some(asked) = self.asked.get_mut(target) else {
            // The watch has ended meanwhile. What the target says of itself holds nevertheless.
            let is_leaving = report.is_some_and(|report| report.is_leaving);
            return if is_leaving {
                Belief::Leaving
            } else {
                Belief::Unchanged
            };
        };
        asked.due_ms = now_ms + ASK_INTERVAL_MS;
        let Some(report) = report else {
            return Belief::Unchanged;
        };
        if report.is_leaving {
            return Belief::Leaving;
        }
        if !report.is_closing {
            asked.closing_reports = 0;
            asked.was_suspected = false;
            return Belief::Unchanged;
        }
        asked.closing_reports = asked.closing_reports.saturating_add(1);
        if asked.closing_reports < CLOSING_REPORTS_MIN || asked.was_suspected {
            return Belief::Unchanged;
        }
        asked.was_suspected = true;
        Belief::Suspected
    }
}

/// The targets that are suspected to be leaving. A suspicion ends by itself, since a target that
/// leaves says so soon.
#[derive(Clone, Debug, Default)]
pub struct SuspectedTargets {
    known: IndexMap<TargetName, Suspicion>,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    started_unix_ms: Option<u64>,
    until_ms: u64,
    /// Whether this host has asked the target, and tells its peers.
    is_own: bool,
}

impl SuspectedTargets {
    /// Begins to suspect a target, and returns true unless it is suspected already.
    pub fn suspect(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        started_unix_ms: Option<u64>,
        left_ms: u64,
        is_own: bool,
    ) -> bool {
        if left_ms == 0 || self.contains(now_ms, target) {
            return false;
        }
        let suspicion = Suspicion {
            started_unix_ms,
            until_ms: now_ms + left_ms.min(SUSPICION_MS),
            is_own,
        };
        self.known.insert(target.clone(), suspicion);
        true
    }

    /// Returns true if a target is suspected.
    pub fn contains(&self, now_ms: u64, target: &TargetName) -> bool {
        self.until_ms(target)
            .is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Returns until when a target is suspected.
    pub fn until_ms(&self, target: &TargetName) -> Option<u64> {
        self.known.get(target).map(|suspicion| suspicion.until_ms)
    }

    /// Returns the suspected targets.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = &TargetName> {
        self.known
            .iter()
            .filter(move |(_, suspicion)| now_ms < suspicion.until_ms)
            .map(|(target, _)| target)
    }

    /// Removes a target that is known to leave, or that has started again.
    pub fn remove(&mut self, target: &TargetName) {
        self.known.swap_remove(target);
    }

    /// Ends the suspicions whose time has passed, and returns their targets.
    pub fn expire(&mut self, now_ms: u64) -> Vec<TargetName> {
        let mut ended = Vec::new();
        self.known.retain(|target, suspicion| {
            let is_kept = now_ms < suspicion.until_ms;
            if !is_kept {
                ended.push(target.clone());
            }
            is_kept
        });
        ended
    }

    /// Returns the suspicions of this host, for its peers.
    pub fn own_reports(&self, now_ms: u64) -> Vec<SuspicionReport> {
        self.known
            .iter()
            .filter(|(_, suspicion)| suspicion.is_own && now_ms < suspicion.until_ms)
            .take(REPORTS_PER_MESSAGE_MAX)
            .map(|(target, suspicion)| SuspicionReport {
                target: target.clone(),
                started_unix_ms: suspicion.started_unix_ms,
                left_ms: suspicion.until_ms - now_ms,
            })
            .collect()
    }
}
