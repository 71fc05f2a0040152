//! The load that requests are to a target.

use serde::{Deserialize, Serialize};

/// Load at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests.
    pub runs: u32,
    /// Memory that the requests need now and in the near future, in tokens.
    pub tokens: u64,
    /// Prompt tokens included in it that the target has yet to prefill.
    pub prefill_tokens: u64,
    /// Number of the requests that have to migrate when the target leaves.
    pub migratable_runs: u32,
    /// Memory of those requests, in tokens.
    pub migratable_tokens: u64,
}

impl Load {
    /// Adds another load, saturating at the highest numbers.
    pub fn add(&mut self, other: Load) {
        self.runs = self.runs.saturating_add(other.runs);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.migratable_runs = self.migratable_runs.saturating_add(other.migratable_runs);
        self.migratable_tokens = self
            .migratable_tokens
            .saturating_add(other.migratable_tokens);
    }

    /// Subtracts another load, saturating at zero.
    pub fn subtract(&mut self, other: Load) {
        self.runs = self.runs.saturating_sub(other.runs);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.migratable_runs = self.migratable_runs.saturating_sub(other.migratable_runs);
        self.migratable_tokens = self
            .migratable_tokens
            .saturating_sub(other.migratable_tokens);
    }
}
