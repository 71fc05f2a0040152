//! Max-min shares of organisations in the room of a pool.
//!
//! See docs/design/contention.md, "Shares of organisations".

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// Tokens of an organisation's requests in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationTokens {
    /// Tokens of the requests that targets run.
    pub used: u64,
    /// Tokens of the requests that wait for room.
    pub waiting: u64,
}

impl OrganisationTokens {
    /// Adds other tokens, saturating at the highest numbers.
    pub fn add(&mut self, other: OrganisationTokens) {
        self.used = self.used.saturating_add(other.used);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }

    /// Subtracts other tokens, saturating at zero.
    pub fn subtract(&mut self, other: OrganisationTokens) {
        self.used = self.used.saturating_sub(other.used);
        self.waiting = self.waiting.saturating_sub(other.waiting);
    }

    fn wanted(self) -> u64 {
        self.used.saturating_add(self.waiting)
    }
}

/// Returns the organisations that use more than their max-min share.
///
/// What is in use now is divided: an organisation that wants less than an equal part gets what
/// it wants, and the others divide the rest equally. Without any that wait, nobody uses too much.
pub fn over_share(
    organisations: &IndexMap<OrganisationName, OrganisationTokens>,
) -> IndexSet<OrganisationName> {
    let Some(level) = fair_level(organisations.values().copied()) else {
        return IndexSet::new();
    };
    organisations
        .iter()
        .filter(|(_, tokens)| tokens.used > level)
        .map(|(organisation, _)| organisation.clone())
        .collect()
}

/// Returns the share of each organisation that wants more, or `None` if all get what they want.
fn fair_level(organisations: impl Iterator<Item = OrganisationTokens>) -> Option<u64> {
    let mut wanted = Vec::new();
    let mut left: u64 = 0;
    for tokens in organisations {
        wanted.push(tokens.wanted());
        left = left.saturating_add(tokens.used);
    }
    wanted.sort_unstable();
    let mut unserved = wanted.len() as u64;
    for wanted in wanted {
        let level = left / unserved;
        if wanted > level {
            return Some(level);
        }
        left -= wanted;
        unserved -= 1;
    }
    None
}
