//! Whether what a host knows of a target is fresh enough to give it work.
//!
//! A host that was paused wakes with requests waiting at its sockets and a view of the
//! targets from before the pause: one may have begun to leave long ago, and the news are
//! still on their way. So after a pause the host looks at each target once before it gives
//! it a request again. Nothing of this costs anything while the host runs.

use indexmap::{IndexMap, IndexSet};

use crate::effect::Dispatch;
use crate::prelude::*;

/// Time without a tick after which the host counts as having been paused.
///
/// What the host is told of a leaving target takes up to about a second, so that with this
/// no work goes to it after three.
const PAUSE_MS: u64 = 1_000;

/// What a host has seen since it was paused last.
#[derive(Debug, Default)]
pub struct State {
    ticked_ms: Option<u64>,
    /// When the end of the last pause was noticed.
    woke_ms: Option<u64>,
    looked_at: IndexSet<TargetName>,
    held: IndexMap<TargetName, Vec<Dispatch>>,
}

impl State {
    /// Notes that the host runs at this time; returns whether it was paused before.
    pub fn runs(&mut self, now_ms: u64) -> bool {
        let paused = self
            .ticked_ms
            .is_some_and(|ticked_ms| now_ms.saturating_sub(ticked_ms) > PAUSE_MS);
        if paused {
            self.woke_ms = Some(now_ms);
            self.ticked_ms = Some(now_ms);
            self.looked_at.clear();
        }
        paused
    }

    /// Notes a tick.
    pub fn ticked(&mut self, now_ms: u64) {
        self.ticked_ms = Some(now_ms);
    }

    /// Says whether a target has to be looked at before it is given a request.
    pub fn must_look(&self, target: &TargetName) -> bool {
        self.woke_ms.is_some() && !self.looked_at.contains(target)
    }

    /// Keeps a dispatch until its target has been looked at; returns whether it is the
    /// first one for the target.
    pub fn hold(&mut self, dispatch: Dispatch) -> bool {
        let held = self.held.entry(dispatch.target.clone()).or_default();
        held.push(dispatch);
        held.len() == 1
    }

    /// Notes that a look at a target has come back, and returns what was held for it.
    ///
    /// A look that was asked for before the pause says how things were then, in whatever
    /// order looks come back, so it shows nothing and what is held stays held. A look
    /// without an answer shows nothing either, but nothing better may come: what was held
    /// must go elsewhere.
    pub fn looked(
        &mut self,
        target: &TargetName,
        asked_ms: u64,
        answered: bool,
    ) -> Vec<Dispatch> {
        let Some(woke_ms) = self.woke_ms else {
            return Vec::new();
        };
        if asked_ms < woke_ms {
            return Vec::new();
        }
        if answered {
            self.looked_at.insert(target.clone());
        }
        self.held.swap_remove(target).unwrap_or_default()
    }
}
