//! The circuit breaker that one host keeps for one target.

use super::Config;

/// A circuit breaker that opens after failures in a row, and is half-open afterwards:
/// it admits one trial request at a time until enough of them have succeeded.
#[derive(Clone, Debug)]
pub(super) struct Breaker {
    phase: Phase,
    failures: u32,
    stalls: u32,
    /// How often the breaker has opened. The count outlasts the closing for a while, so
    /// that the breaker of a flapping target stays open longer each time.
    trips: u32,
    closed_at_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Closed,
    Open {
        until_ms: u64,
    },
    HalfOpen {
        trial_started_ms: Option<u64>,
        successes: u32,
    },
}

/// The decision of the breaker on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakerDecision {
    Admit,
    AdmitTrial,
    Reject { retry_after_ms: u64 },
}

impl Breaker {
    pub(super) fn new() -> Self {
        Breaker {
            phase: Phase::Closed,
            failures: 0,
            stalls: 0,
            trips: 0,
            closed_at_ms: 0,
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        self.phase == Phase::Closed
    }

    /// Returns the earliest time of the next trial, or `None` if the breaker is closed.
    ///
    /// While the breaker is half-open, this is when the last trial started, or zero.
    pub(super) fn open_until_ms(&self) -> Option<u64> {
        match self.phase {
            Phase::Closed => None,
            Phase::Open { until_ms } => Some(until_ms),
            Phase::HalfOpen {
                trial_started_ms, ..
            } => Some(trial_started_ms.unwrap_or(0)),
        }
    }

    /// Returns what `admit` would decide, without starting a trial.
    pub(super) fn peek(&self, config: &Config, now_ms: u64) -> BreakerDecision {
        match self.phase {
            Phase::Closed => BreakerDecision::Admit,
            Phase::Open { until_ms } if now_ms < until_ms => BreakerDecision::Reject {
                retry_after_ms: until_ms - now_ms,
            },
            Phase::Open { .. }
            | Phase::HalfOpen {
                trial_started_ms: None,
                ..
            } => BreakerDecision::AdmitTrial,
            Phase::HalfOpen {
                trial_started_ms: Some(trial_started_ms),
                ..
            } => {
                let remaining_ms =
                    (trial_started_ms + config.trial_timeout_ms).saturating_sub(now_ms);
                match remaining_ms {
                    0 => BreakerDecision::AdmitTrial,
                    _ => BreakerDecision::Reject {
                        retry_after_ms: remaining_ms,
                    },
                }
            }
        }
    }

    /// Decides on a new request, and starts a trial if one is due.
    ///
    /// At most one trial is in progress at a time.
    pub(super) fn admit(&mut self, config: &Config, now_ms: u64) -> BreakerDecision {
        let decision = self.peek(config, now_ms);
        if decision == BreakerDecision::AdmitTrial {
            let successes = match self.phase {
                Phase::HalfOpen { successes, .. } => successes,
                _ => 0,
            };
            self.phase = Phase::HalfOpen {
                trial_started_ms: Some(now_ms),
                successes,
            };
        }
        decision
    }

    /// Records a success; returns true if it closed the breaker.
    pub(super) fn record_success(&mut self, config: &Config, now_ms: u64) -> bool {
        self.failures = 0;
        self.stalls = 0;
        let Phase::HalfOpen { successes, .. } = self.phase else {
            return false;
        };
        let successes = successes + 1;
        if successes < config.trials_to_close {
            self.phase = Phase::HalfOpen {
                trial_started_ms: None,
                successes,
            };
            return false;
        }
        self.phase = Phase::Closed;
        self.closed_at_ms = now_ms;
        true
    }

    /// Records a failure; returns for how long the breaker opens if it does so now.
    pub(super) fn record_failure(&mut self, config: &Config, now_ms: u64) -> Option<u64> {
        self.failures += 1;
        self.trip_if(self.failures >= config.failures_to_open, config, now_ms)
    }

    /// Records a stall; returns for how long the breaker opens if it does so now.
    pub(super) fn record_stall(&mut self, config: &Config, now_ms: u64) -> Option<u64> {
        self.stalls += 1;
        self.trip_if(self.stalls >= config.stalls_to_open, config, now_ms)
    }

    /// Opens the breaker regardless of the counts; returns for how long.
    pub(super) fn trip(&mut self, config: &Config, now_ms: u64) -> u64 {
        if self.closed_at_ms + config.trips_reset_ms <= now_ms && self.is_closed() {
            self.trips = 0;
        }
        let doubled_ms = config.open_min_ms.saturating_mul(1 << self.trips.min(20));
        let open_ms = doubled_ms.min(config.open_max_ms);
        self.trips += 1;
        self.failures = 0;
        self.stalls = 0;
        self.phase = Phase::Open {
            until_ms: now_ms + open_ms,
        };
        open_ms
    }

    /// Opens the breaker until `until_ms`, as reported by other hosts, unless it is open
    /// for longer already. It closes by trials, as after failures at this host.
    pub(super) fn extend_open(&mut self, until_ms: u64) {
        if self
            .open_until_ms()
            .is_none_or(|own_until_ms| own_until_ms < until_ms)
        {
            self.phase = Phase::Open { until_ms };
        }
    }

    fn trip_if(
        &mut self,
        is_limit_reached: bool,
        config: &Config,
        now_ms: u64,
    ) -> Option<u64> {
        let should_trip = match self.phase {
            Phase::Closed => is_limit_reached,
            Phase::HalfOpen { .. } => true,
            // N.B. Requests that began before the breaker opened may fail after it. They
            // must not keep it open for longer.
            Phase::Open { .. } => false,
        };
        should_trip.then(|| self.trip(config, now_ms))
    }
}
