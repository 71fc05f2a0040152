//! Messages between the entry hosts of a zone about unavailable targets.

use crate::prelude::*;

/// A one-way message, which may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// A target leaves, which is final within its epoch.
    Leaving(LeavingTarget),
    /// The sender's breaker of a target has opened or closed.
    Report(BreakerReport),
    /// Leaving targets that the sender knows, sent again to repair lost messages.
    LeavingTargets {
        /// True if the receiver has to reply with the leaving targets that it knows.
        reply: bool,
        /// Targets that leave.
        leaving: Vec<LeavingTarget>,
    },
}

/// A target that leaves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeavingTarget {
    /// The target.
    pub target: TargetName,
    /// The target's epoch; a replacement under the same name has a higher one.
    pub epoch: u64,
}

/// The state of one host's breaker of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BreakerReport {
    /// The target.
    pub target: TargetName,
    /// The target's epoch.
    pub epoch: u64,
    /// Orders the reports of one host about one target.
    pub version: u64,
    /// Time from now for which the target is unavailable; zero makes it available again.
    pub unavailable_for_ms: u64,
}
