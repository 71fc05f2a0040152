//! Faults that a stand-in platform injects.

use serde::{Deserialize, Serialize};

/// Faults that a test sets on a platform, in process or by `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes every connection without a reply; no request is applied.
    pub down: bool,
    /// Delays the reply to every request.
    pub slow_ms: u64,
    /// Refuses every request with 503 and `Retry-After`; no request is applied.
    pub reject: bool,
    /// Number of next transactions that are dropped before they are applied.
    pub drop_requests: u32,
    /// Number of next transactions that are applied and whose replies are dropped.
    pub drop_replies: u32,
    /// Limits `drop_requests` and `drop_replies` to transactions with a condition on or a
    /// write to this table.
    pub table: Option<String>,
    /// Drops the reply to each transaction that writes a row of this table, as long as it
    /// is set.
    pub drop_replies_of_table: Option<String>,
}
