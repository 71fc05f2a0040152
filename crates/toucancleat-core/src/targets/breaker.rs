//! The circuit breaker of one target at one host.

use super::Config;

/// Takes a target out after failures in a row, and lets single trials through later.
#[derive(Clone, Debug)]
pub(super) struct Breaker {
    phase: Phase,
    failures: u32,
    stalls: u32,
    /// How often the target was taken out; kept for a while after it came back, so that
    /// one that flaps stays out longer each time.
    trips: u32,
    closed_at_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Closed,
    Open {
        until_ms: u64,
    },
    Trial {
        started_ms: Option<u64>,
        successes: u32,
    },
}

/// What the breaker says to a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pass {
    Normal,
    Trial,
    No { retry_after_ms: u64 },
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

    /// Says when the target is tried again, or `None` when it isn't out.
    pub(super) fn out_until_ms(&self) -> Option<u64> {
        match self.phase {
            Phase::Closed => None,
            Phase::Open { until_ms } => Some(until_ms),
            Phase::Trial { started_ms, .. } => Some(started_ms.unwrap_or(0)),
        }
    }

    /// Says what `admit` would do, without starting a trial.
    pub(super) fn peek(&self, config: &Config, now_ms: u64) -> Pass {
        match self.phase {
            Phase::Closed => Pass::Normal,
            Phase::Open { until_ms } if now_ms < until_ms => Pass::No {
                retry_after_ms: until_ms - now_ms,
            },
            Phase::Open { .. }
            | Phase::Trial {
                started_ms: None, ..
            } => Pass::Trial,
            Phase::Trial {
                started_ms: Some(started_ms),
                ..
            } => {
                let left_ms = (started_ms + config.trial_ms).saturating_sub(now_ms);
                match left_ms {
                    0 => Pass::Trial,
                    _ => Pass::No {
                        retry_after_ms: left_ms,
                    },
                }
            }
        }
    }

    /// Lets a request pass; at most one trial is in progress at a time.
    pub(super) fn admit(&mut self, config: &Config, now_ms: u64) -> Pass {
        let pass = self.peek(config, now_ms);
        if pass == Pass::Trial {
            let successes = match self.phase {
                Phase::Trial { successes, .. } => successes,
                _ => 0,
            };
            self.phase = Phase::Trial {
                started_ms: Some(now_ms),
                successes,
            };
        }
        pass
    }

    /// Takes a success in; returns whether the target has come back.
    pub(super) fn succeeded(&mut self, config: &Config, now_ms: u64) -> bool {
        self.failures = 0;
        self.stalls = 0;
        let Phase::Trial { successes, .. } = self.phase else {
            return false;
        };
        let successes = successes + 1;
        if successes < config.trials_to_close {
            self.phase = Phase::Trial {
                started_ms: None,
                successes,
            };
            return false;
        }
        self.phase = Phase::Closed;
        self.closed_at_ms = now_ms;
        true
    }

    /// Takes a failure in; returns for how long the target is now taken out.
    pub(super) fn failed(&mut self, config: &Config, now_ms: u64) -> Option<u64> {
        self.failures += 1;
        self.trip_if(self.failures >= config.failures_to_open, config, now_ms)
    }

    /// Takes a stall in; returns for how long the target is now taken out.
    pub(super) fn stalled(&mut self, config: &Config, now_ms: u64) -> Option<u64> {
        self.stalls += 1;
        self.trip_if(self.stalls >= config.stalls_to_open, config, now_ms)
    }

    /// Takes the target out whatever was counted; returns for how long.
    pub(super) fn trip(&mut self, config: &Config, now_ms: u64) -> u64 {
        if self.closed_at_ms + config.forget_trips_ms <= now_ms && self.is_closed() {
            self.trips = 0;
        }
        let doubled_ms = config
            .probation_min_ms
            .saturating_mul(1 << self.trips.min(20));
        let out_ms = doubled_ms.min(config.probation_max_ms);
        self.trips += 1;
        self.failures = 0;
        self.stalls = 0;
        self.phase = Phase::Open {
            until_ms: now_ms + out_ms,
        };
        out_ms
    }

    /// Keeps the target out as long as other hosts do; it comes back by a trial.
    pub(super) fn hold_until(&mut self, until_ms: u64) {
        if self.out_until_ms().is_none_or(|own_ms| own_ms < until_ms) {
            self.phase = Phase::Open { until_ms };
        }
    }

    fn trip_if(&mut self, enough: bool, config: &Config, now_ms: u64) -> Option<u64> {
        let out = match self.phase {
            Phase::Closed => enough,
            Phase::Trial { .. } => true,
            // N.B. Requests that began before the trip still fail after it; they must
            // not lengthen the probation.
            Phase::Open { .. } => false,
        };
        out.then(|| self.trip(config, now_ms))
    }
}
