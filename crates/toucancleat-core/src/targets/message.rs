//! Messages about targets between the entry hosts of a zone.

use crate::prelude::*;

/// A one-way message; any of them may be lost, late, duplicated or out of order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// A target leaves; there is no way back within its epoch.
    Leaving(LeavingTarget),
    /// The sender has taken a target out, or put it back.
    Report(Report),
    /// Targets that the sender knows to leave, against lost messages.
    Views {
        /// Whether the receiver answers with its own views.
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

/// One host's judgement of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The target.
    pub target: TargetName,
    /// The target's epoch.
    pub epoch: u64,
    /// Orders the reports of one host about one target.
    pub version: u64,
    /// Time from now that the target stays out; zero puts it back.
    pub out_for_ms: u64,
}
