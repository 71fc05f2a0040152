//! Load reports and cache events, which become visible after a delay.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::model::CacheChange;

/// Number of cache events that are retained for readers; older ones are discarded, which
/// leaves a gap.
const RETAINED_EVENTS: usize = 8_192;

/// Maximum number of cache events that one read returns.
const MAX_READ_EVENTS: usize = 1_024;

/// Values that become visible a fixed time after they are pushed.
#[derive(Debug)]
pub(super) struct Delayed<T> {
    lag: Duration,
    newest_visible: Option<T>,
    pending: VecDeque<(Instant, T)>,
}

impl<T> Delayed<T> {
    pub(super) fn new(lag: Duration) -> Delayed<T> {
        Delayed {
            lag,
            newest_visible: None,
            pending: VecDeque::new(),
        }
    }

    /// Adds a newer value.
    pub(super) fn push(&mut self, value: T) {
        self.pending.push_back((Instant::now() + self.lag, value));
    }

    /// Returns the newest visible value; the first one is visible at once.
    pub(super) fn newest_visible(&mut self) -> Option<&T> {
        let now = Instant::now();
        while let Some((visible_at, _)) = self.pending.front()
            && (*visible_at <= now || self.newest_visible.is_none())
        {
            self.newest_visible = self.pending.pop_front().map(|(_, value)| value);
        }
        self.newest_visible.as_ref()
    }
}

/// The body of `GET /v1/load`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LoadReport {
    pub(super) started_unix_ms: u64,
    pub(super) measured_unix_ms: u64,
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) blocks_used: u32,
    pub(super) blocks_total: u32,
    pub(super) block_tokens: u32,
    pub(super) preemptions_total: u64,
    /// Duration of the last step in engine time, not divided by the time scale.
    pub(super) step_ms: f64,
    pub(super) state: &'static str,
    pub(super) leaving_in_ms: Option<u64>,
    pub(super) role: String,
    pub(super) models: Vec<String>,
    pub(super) adapters: Vec<String>,
}

/// Cache events that readers can still read, or will.
#[derive(Debug)]
pub(super) struct CacheEvents {
    lag: Duration,
    loss_per_1000: u32,
    last_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

/// One cache event.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    prefix: String,
}

impl CacheEvents {
    pub(super) fn new(lag: Duration, loss_per_1000: u32) -> CacheEvents {
        CacheEvents {
            lag,
            loss_per_1000,
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Numbers changes of the cache and retains them as events, except for lost ones.
    pub(super) fn extend(&mut self, changes: Vec<CacheChange>) {
        let visible_at = Instant::now() + self.lag;
        for change in changes {
            self.last_sequence += 1;
            if !is_lost(self.last_sequence, self.loss_per_1000) {
                let event = cache_event(self.last_sequence, change);
                self.events.push_back((visible_at, event));
            }
        }
        let excess = self.events.len().saturating_sub(RETAINED_EVENTS);
        self.events.drain(..excess);
    }

    /// Returns the visible events from the sequence number `after` on, inclusive, and the
    /// number to pass next.
    pub(super) fn read(&self, after: u64) -> (Vec<CacheEvent>, u64) {
        let now = Instant::now();
        let visible = self.events.iter().take_while(|(at, _)| *at <= now);
        let events: Vec<CacheEvent> = visible
            .filter(|(_, event)| event.sequence >= after)
            .take(MAX_READ_EVENTS)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence + 1);
        (events, next)
    }
}

fn cache_event(sequence: u64, change: CacheChange) -> CacheEvent {
    let (kind, hash) = match change {
        CacheChange::Stored(hash) => ("stored", hash),
        CacheChange::Evicted(hash) => ("evicted", hash),
    };
    CacheEvent {
        sequence,
        kind,
        prefix: hash.to_string(),
    }
}

/// Returns true if an event is lost. The sequence number alone decides, so that a test
/// run is reproducible.
fn is_lost(sequence: u64, loss_per_1000: u32) -> bool {
    let hash = sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    hash % 1_000 < u64::from(loss_per_1000)
}
