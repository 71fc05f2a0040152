//! Host list whose changes become visible after a delay.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde_json::Value;

/// Hosts that are visible to readers, and changes that aren't visible yet.
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
    /// Schedules a host's new state, or its removal if `host` is `None`, to become
    /// visible.
    pub(crate) fn schedule_change(
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

    /// Returns the hosts that are visible at a time.
    pub(crate) fn visible(&mut self, now_unix_ms: u64) -> Vec<Value> {
        while let Some(change) = self.pending.front()
            && change.visible_unix_ms <= now_unix_ms
        {
            self.apply_next();
        }
        self.visible.values().cloned().collect()
    }

    fn apply_next(&mut self) {
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
