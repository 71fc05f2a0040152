//! The choice of targets for a request, as pure functions.
//!
//! See docs/POLICY.md, "The current rule".

mod choice;
mod prefix;
mod retry_budget;
mod spill;

pub use self::choice::{Candidate, RoutingInputs, rank_candidates};
pub use self::prefix::{affinity_key, name_hash, prefix_hashes, rendezvous_score};
pub use self::retry_budget::RetryBudget;
pub use self::spill::{ZoneSummary, spill_zone};
