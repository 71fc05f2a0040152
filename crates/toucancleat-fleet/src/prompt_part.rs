//! Parts of prompts, which requests share.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a part of a prompt.
///
/// Parts are compared for equality only, so a hash of the caller's id suffices.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
