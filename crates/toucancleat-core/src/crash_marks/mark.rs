//! The crash marks of one request.

use indexmap::IndexMap;

use super::Crash;

/// Maximum number of crashes kept for one request; the oldest is dropped first.
const CRASHES_MAX: usize = 16;

/// The crashes that have marked a request, and those that no longer count.
///
/// Both sets only grow until their marks expire, and a crash counts once regardless of
/// how many hosts report it, so that hosts converge on the same marks whatever the
/// order of messages.
#[derive(Debug, Default)]
pub(super) struct RequestMarks {
    crashes: IndexMap<Crash, CrashMark>,
}

/// The mark that one crash has left.
#[derive(Clone, Copy, Debug)]
struct CrashMark {
    expires_at_ms: u64,
    /// True if the request has finished since, so that the mark no longer counts.
    is_cleared: bool,
}

impl RequestMarks {
    /// Adds a crash and returns true if it was not known.
    pub(super) fn add(&mut self, crash: &Crash, expires_at_ms: u64) -> bool {
        if self.crashes.contains_key(crash) {
            return false;
        }
        self.insert(
            crash,
            CrashMark {
                expires_at_ms,
                is_cleared: false,
            },
        );
        true
    }

    /// Clears the mark of a crash, including one whose mark has not arrived yet.
    pub(super) fn clear(&mut self, crash: &Crash, expires_at_ms: u64) {
        match self.crashes.get_mut(crash) {
            Some(mark) => mark.is_cleared = true,
            None => self.insert(
                crash,
                CrashMark {
                    expires_at_ms,
                    is_cleared: true,
                },
            ),
        }
    }

    /// Clears every mark and returns true if any of them counted.
    pub(super) fn clear_all(&mut self) -> bool {
        let had_uncleared = self.crashes.values().any(|mark| !mark.is_cleared);
        for mark in self.crashes.values_mut() {
            mark.is_cleared = true;
        }
        had_uncleared
    }

    /// Returns the crashes whose marks are cleared.
    pub(super) fn cleared_crashes(&self) -> Vec<Crash> {
        let cleared = self.crashes.iter().filter(|(_, mark)| mark.is_cleared);
        cleared.map(|(crash, _)| crash.clone()).collect()
    }

    /// Returns when each mark that counts expires, the earliest first.
    pub(super) fn expiry_times_ms(&self, now_ms: u64) -> Vec<u64> {
        let mut expiry_times_ms: Vec<u64> = self
            .crashes
            .values()
            .filter(|mark| !mark.is_cleared && mark.expires_at_ms > now_ms)
            .map(|mark| mark.expires_at_ms)
            .collect();
        expiry_times_ms.sort_unstable();
        expiry_times_ms
    }

    /// Returns true if every mark has expired, including the cleared ones.
    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        self.crashes
            .values()
            .all(|mark| mark.expires_at_ms <= now_ms)
    }

    fn insert(&mut self, crash: &Crash, mark: CrashMark) {
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.shift_remove_index(0);
        }
        self.crashes.insert(crash.clone(), mark);
    }
}
