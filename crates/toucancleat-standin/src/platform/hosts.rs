//! The host list, which lags behind its changes.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde_json::Value;

/// The hosts as readers see them, and the changes that they don't see yet.
#[derive(Debug, Default)]
pub(crate) struct HostList {
    visible: IndexMap<String, Value>,
    pending: VecDeque<Change>,
}

#[derive(Debug)]
struct Change {
    visible_unix_ms: u64,
    name: String,
    host: Option<Value>,
}

impl HostList {
    /// Records a host's new state, or its removal, which readers see after the lag.
    pub(crate) fn change(
        &mut self,
        name: &str,
        host: Option<Value>,
        visible_unix_ms: u64,
    ) {
        self.pending.push_back(Change {
            visible_unix_ms,
            name: name.to_owned(),
            host,
        });
    }

    /// Returns the hosts as visible at a time.
    pub(crate) fn visible(&mut self, now_unix_ms: u64) -> Vec<Value> {
        while let Some(change) = self.pending.front()
            && change.visible_unix_ms <= now_unix_ms
        {
            self.apply_first();
        }
        self.visible.values().cloned().collect()
    }

    fn apply_first(&mut self) {
        let Some(change) = self.pending.pop_front() else {
            return;
        };
        match change.host {
            Some(host) => {
                self.visible.insert(change.name, host);
            }
            None => {
                self.visible.shift_remove(&change.name);
            }
        }
    }
}
