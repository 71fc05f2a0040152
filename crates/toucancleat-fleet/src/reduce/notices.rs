//! Handles what targets report about themselves in their answers.

use toucancleat_core::prelude::*;

use crate::event::{Effect, LogEvent};
use crate::state::State;
use crate::target_notice::TargetNotice;

/// Discards notices that are out of date.
pub(super) fn tick(state: &mut State, now_ms: u64) {
    state.target_notices.expire(now_ms);
}

/// Records the notice of an answer.
pub(super) fn handle_notice(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    notice: TargetNotice,
    effects: &mut Vec<Effect>,
) {
    let Some(before) = state.target_notices.record(now_ms, target, notice) else {
        return;
    };
    effects.push(Effect::Log(LogEvent::RateLimitChanged {
        target: target.clone(),
        limit_per_s: notice.rate_limit_per_s,
        limit_before_per_s: before.rate_limit_per_s,
    }));
}
