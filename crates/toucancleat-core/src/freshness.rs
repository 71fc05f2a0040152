//! Detection of pauses of the own process, after which the known state of targets is stale.
//!
//! A host that was paused resumes with requests waiting at its sockets and with the known
//! state of the targets from before the pause: a target may have begun to leave long ago
//! while the message about it is still unread. After a pause, the host therefore observes
//! each target once before it dispatches a request to it. While the host runs without
//! pauses, this costs nothing.

use indexmap::{IndexMap, IndexSet};

use crate::effect::Dispatch;
use crate::prelude::*;

/// Time without a tick above which the host counts as having been paused.
///
/// Messages about a leaving target take up to about 1 second to arrive, so that with this
/// threshold no request is dispatched to a target more than 3 seconds after it began to
/// leave.
const PAUSE_THRESHOLD_MS: u64 = 1_000;

/// The pauses of this host, the targets observed since the last one, and the dispatches
/// deferred until then.
#[derive(Debug, Default)]
pub struct State {
    last_tick_ms: Option<u64>,
    /// When the end of the last pause was detected.
    resumed_ms: Option<u64>,
    observed: IndexSet<TargetName>,
    deferred: IndexMap<TargetName, Vec<Dispatch>>,
}

impl State {
    /// Checks for a pause before the current time; returns true if there was one.
    pub fn detect_pause(&mut self, now_ms: u64) -> bool {
        let was_paused = self.last_tick_ms.is_some_and(|last_tick_ms| {
            now_ms.saturating_sub(last_tick_ms) > PAUSE_THRESHOLD_MS
        });
        if was_paused {
            self.resumed_ms = Some(now_ms);
            self.last_tick_ms = Some(now_ms);
            self.observed.clear();
        }
        was_paused
    }

    /// Records a tick.
    pub fn record_tick(&mut self, now_ms: u64) {
        self.last_tick_ms = Some(now_ms);
    }

    /// Returns true if a target must be observed before a request is dispatched to it.
    pub fn needs_observation(&self, target: &TargetName) -> bool {
        self.resumed_ms.is_some() && !self.observed.contains(target)
    }

    /// Defers a dispatch until its target has been observed; returns true if it is the first
    /// one deferred for the target.
    pub fn defer(&mut self, dispatch: Dispatch) -> bool {
        let deferred = self.deferred.entry(dispatch.target.clone()).or_default();
        deferred.push(dispatch);
        deferred.len() == 1
    }

    /// Records the completion of an observation and returns the dispatches that were deferred
    /// for its target.
    ///
    /// An observation that was requested before the pause is ignored, in whatever order
    /// observations complete: it may show the state from before the pause, so deferred
    /// dispatches stay deferred. An unanswered observation proves nothing either, but a
    /// better one may never complete, so the deferred dispatches are returned and must go to
    /// other targets.
    pub fn record_observation(
        &mut self,
        target: &TargetName,
        requested_ms: u64,
        is_answered: bool,
    ) -> Vec<Dispatch> {
        let Some(resumed_ms) = self.resumed_ms else {
            return Vec::new();
        };
        if requested_ms < resumed_ms {
            return Vec::new();
        }
        if is_answered {
            self.observed.insert(target.clone());
        }
        self.deferred.swap_remove(target).unwrap_or_default()
    }
}
