//! The marks of one request.

use indexmap::IndexMap;

use super::Crash;

/// Most crashes that are kept for one request.
const CRASHES_MAX: usize = 16;

/// The crashes that have marked a request, and those that no longer count.
///
/// Both only grow until they expire, and a crash counts once whoever reports it, so that
/// hosts reach the same marks whatever the order of the messages.
#[derive(Debug, Default)]
pub(super) struct Mark {
    crashes: IndexMap<Crash, CrashMark>,
}

#[derive(Clone, Copy, Debug)]
struct CrashMark {
    ends_ms: u64,
    cleared: bool,
}

impl Mark {
    /// Adds a crash; returns whether it is news.
    pub(super) fn add(&mut self, crash: &Crash, ends_ms: u64) -> bool {
        if self.crashes.contains_key(crash) {
            return false;
        }
        self.insert(
            crash,
            CrashMark {
                ends_ms,
                cleared: false,
            },
        );
        true
    }

    /// Clears a crash, also one that isn't known yet.
    pub(super) fn clear(&mut self, crash: &Crash, ends_ms: u64) {
        match self.crashes.get_mut(crash) {
            Some(mark) => mark.cleared = true,
            None => self.insert(
                crash,
                CrashMark {
                    ends_ms,
                    cleared: true,
                },
            ),
        }
    }

    /// Clears every crash; returns whether any counted.
    pub(super) fn clear_all(&mut self) -> bool {
        let counted = self.crashes.values().any(|mark| !mark.cleared);
        for mark in self.crashes.values_mut() {
            mark.cleared = true;
        }
        counted
    }

    /// Returns the crashes that no longer count.
    pub(super) fn cleared(&self) -> Vec<Crash> {
        let cleared = self.crashes.iter().filter(|(_, mark)| mark.cleared);
        cleared.map(|(crash, _)| crash.clone()).collect()
    }

    /// Returns when each mark that counts ends, the earliest first.
    pub(super) fn ends_ms(&self, now_ms: u64) -> Vec<u64> {
        let mut ends_ms: Vec<u64> = self
            .crashes
            .values()
            .filter(|mark| !mark.cleared && mark.ends_ms > now_ms)
            .map(|mark| mark.ends_ms)
            .collect();
        ends_ms.sort_unstable();
        ends_ms
    }

    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        self.crashes.values().all(|mark| mark.ends_ms <= now_ms)
    }

    fn insert(&mut self, crash: &Crash, mark: CrashMark) {
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.shift_remove_index(0);
        }
        self.crashes.insert(crash.clone(), mark);
    }
}
