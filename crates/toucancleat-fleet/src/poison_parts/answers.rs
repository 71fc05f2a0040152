//! Parts of requests that targets have answered.

use indexmap::IndexMap;

use crate::prompt_part::PartId;

/// Maximum number of parts with answers that are remembered; a host forgets the oldest half.
const ANSWERED_PARTS_MAX: usize = 8_192;

/// Parts with answers, and when the last was received. Held in two generations, so that the
/// oldest are forgotten without being searched for.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredParts {
    recent: IndexMap<PartId, u64>,
    earlier: IndexMap<PartId, u64>,
}

impl AnsweredParts {
    pub(super) fn record(&mut self, at_ms: u64, part: PartId) {
        if self.recent.len() >= ANSWERED_PARTS_MAX / 2 {
            self.earlier = std::mem::take(&mut self.recent);
        }
        let answered_ms = self.recent.entry(part).or_default();
        *answered_ms = at_ms.max(*answered_ms);
    }

    pub(super) fn last_ms(&self, part: PartId) -> Option<u64> {
        let recent = self.recent.get(&part).copied();
        recent.max(self.earlier.get(&part).copied())
    }
}
