//! Faults of the stand-in platform.

use serde::{Deserialize, Serialize};

/// The faults that a test sets on a platform, in process or by `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes every connection without a reply; nothing is applied.
    pub down: bool,
    /// Delays the reply to every request.
    pub slow_ms: u64,
    /// Refuses every request with 503 and `Retry-After`; nothing is applied.
    pub reject: bool,
    /// Drops the next requests before they have an effect.
    pub drop_requests: u32,
    /// Applies the next transactions and drops their replies.
    pub drop_replies: u32,
    /// Limits `drop_requests` and `drop_replies` to transactions that touch this table.
    pub table: Option<String>,
    /// Drops the reply to each transaction that writes a row of the named table, for as
    /// long as it is set.
    pub drop_replies_of_table: Option<String>,
}
