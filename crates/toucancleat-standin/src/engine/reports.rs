//! Load reports and cache events, which are seen late.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::model::CacheChange;

/// The cache events that are kept for readers; older ones leave a gap.
const KEPT_EVENTS: usize = 8_192;

/// The cache events that one read returns at most.
const READ_EVENTS: usize = 1_024;

/// Values that can be read only some time after they were made.
#[derive(Debug)]
pub(super) struct Delayed<T> {
    lag: Duration,
    seen: Option<T>,
    pending: VecDeque<(Instant, T)>,
}

impl<T> Delayed<T> {
    pub(super) fn new(lag: Duration) -> Delayed<T> {
        Delayed {
            lag,
            seen: None,
            pending: VecDeque::new(),
        }
    }

    /// Adds a newer value.
    pub(super) fn push(&mut self, value: T) {
        self.pending.push_back((Instant::now() + self.lag, value));
    }

    /// Returns the newest value that can be seen; the first one is seen at once.
    pub(super) fn seen(&mut self) -> Option<&T> {
        let now = Instant::now();
        while let Some((visible, _)) = self.pending.front()
            && (*visible <= now || self.seen.is_none())
        {
            self.seen = self.pending.pop_front().map(|(_, value)| value);
        }
        self.seen.as_ref()
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
    /// The time of the engine, not shortened by its time scale.
    pub(super) step_ms: f64,
    pub(super) state: &'static str,
    pub(super) leaving_in_ms: Option<u64>,
    pub(super) role: String,
    pub(super) models: Vec<String>,
    pub(super) adapters: Vec<String>,
}

/// The cache events that readers may still see.
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

    /// Numbers changes of the cache and keeps them, except for those that get lost.
    pub(super) fn extend(&mut self, changes: Vec<CacheChange>) {
        let visible = Instant::now() + self.lag;
        for change in changes {
            self.last_sequence += 1;
            if !is_lost(self.last_sequence, self.loss_per_1000) {
                let event = event(self.last_sequence, change);
                self.events.push_back((visible, event));
            }
        }
        let excess = self.events.len().saturating_sub(KEPT_EVENTS);
        self.events.drain(..excess);
    }

    /// Returns the events from a sequence number on, and the number to ask for next.
    pub(super) fn read(&self, after: u64) -> (Vec<CacheEvent>, u64) {
        let now = Instant::now();
        let visible = self.events.iter().take_while(|(at, _)| *at <= now);
        let events: Vec<CacheEvent> = visible
            .filter(|(_, event)| event.sequence >= after)
            .take(READ_EVENTS)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence + 1);
        (events, next)
    }
}

fn event(sequence: u64, change: CacheChange) -> CacheEvent {
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

/// Chooses the lost events by their number alone, so that a run can be repeated.
fn is_lost(sequence: u64, loss_per_1000: u32) -> bool {
    let mixed = sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    mixed % 1_000 < u64::from(loss_per_1000)
}
