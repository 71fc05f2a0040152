//! The order in which requests get room while there is too little for all.
//!
//! See docs/design/contention.md.

use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// What a host reports to its peers about the requests that wait for room there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Tokens of the waiting requests of each pool and priority.
    pub waiting_tokens: Vec<(PoolName, u8, u64)>,
    /// Tokens of the requests in progress of each organisation, the largest first.
    pub used_tokens: Vec<(OrganisationName, u64)>,
}
