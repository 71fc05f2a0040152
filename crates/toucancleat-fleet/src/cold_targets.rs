//! Targets that have recently started and take only so many requests per second.
//!
//! See docs/design/cold-targets.md.

use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

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
