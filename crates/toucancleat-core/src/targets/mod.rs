//! Tracks which targets may take new work.
//!
//! The first host that detects that a target leaves informs the peers of its zone; no
//! host sends the target new work from then on. Each host has a circuit breaker for each
//! target, which opens if the target fails, stalls or is far slower than its pool. The
//! breakers of the other hosts open once two hosts agree, so that one host's bad link
//! doesn't empty a pool. A breaker closes by single trials, after a time that doubles
//! with each opening. See docs/design/targets.md.

mod breaker;
mod event;
mod gossip;
mod message;

use indexmap::IndexMap;

use self::breaker::{Breaker, BreakerDecision};
pub use self::event::{Admission, Effect, Event, Outcome, Reason};
pub use self::message::{BreakerReport, LeavingTarget, Message};
use crate::prelude::*;
use crate::rng::Rng;

/// Bounds and rates of the breakers and of the messages about targets.
#[derive(Clone, Debug)]
pub struct Config {
    /// Failures in a row that open the breaker.
    pub failures_to_open: u32,
    /// Stalls without a success between them that open the breaker.
    pub stalls_to_open: u32,
    /// Time for which the breaker stays open at its first opening; each further opening
    /// doubles it.
    pub open_min_ms: u64,
    /// Longest time for which the breaker stays open.
    pub open_max_ms: u64,
    /// Time after which a trial that hasn't ended no longer blocks the next.
    pub trial_timeout_ms: u64,
    /// Successful trials in a row that close the breaker.
    pub trials_to_close: u32,
    /// Time since the breaker closed after which the next opening is short again.
    pub trips_reset_ms: u64,
    /// Hosts whose reports together open the breakers of the whole zone.
    pub reporters_to_open: usize,
    /// Multiple of the pool's median latency above which a target counts as slow.
    pub slow_factor: f64,
    /// Latency samples that a target needs before its latency is compared.
    pub slow_samples_min: u32,
    /// Largest share of a pool whose breakers may be open when one opens for slowness.
    pub slow_open_ratio_max: f64,
    /// Time between two gossip rounds, each to one random peer.
    pub gossip_interval_ms: u64,
    /// Time after an update about a leaving target in which gossip is more frequent.
    pub fast_gossip_ms: u64,
    /// Time between two gossip rounds in that time.
    pub fast_gossip_interval_ms: u64,
    /// Peers to which a host forwards an update about a leaving target. A round of the
    /// more frequent gossip, and the request of a host that has started, go to as many.
    pub forward_fanout: usize,
    /// Most entries in one message.
    pub entries_per_message_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            failures_to_open: 3,
            stalls_to_open: 2,
            open_min_ms: 1_000,
            open_max_ms: 120_000,
            trial_timeout_ms: 30_000,
            trials_to_close: 2,
            trips_reset_ms: 600_000,
            reporters_to_open: 2,
            slow_factor: 4.0,
            slow_samples_min: 20,
            slow_open_ratio_max: 0.5,
            gossip_interval_ms: 10_000,
            fast_gossip_ms: 3_000,
            fast_gossip_interval_ms: 400,
            forward_fanout: 2,
            entries_per_message_max: 64,
        }
    }
}

/// One host's known state of the targets of its zone.
#[derive(Debug)]
pub struct State {
    config: Config,
    targets: IndexMap<TargetName, TargetHealth>,
    /// Epochs of leaving targets that this host doesn't know yet.
    unknown_leaving: IndexMap<TargetName, u64>,
    peers: Vec<HostName>,
    rng: Rng,
    last_version: u64,
    next_gossip_ms: u64,
    /// End of the more frequent gossip after an update about a leaving target.
    fast_gossip_until_ms: u64,
}

#[derive(Debug)]
struct TargetHealth {
    pool: PoolName,
    epoch: u64,
    is_leaving: bool,
    breaker: Breaker,
    peer_reports: IndexMap<HostName, PeerReport>,
    latency_ms: f64,
    latency_samples: u32,
}

/// A peer's latest report.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    version: u64,
    unavailable_until_ms: u64,
}

impl State {
    /// Creates the state of a host that knows no target.
    pub fn new(config: Config, seed: u64) -> Self {
        State {
            config,
            targets: IndexMap::new(),
            unknown_leaving: IndexMap::new(),
            peers: Vec::new(),
            rng: Rng::new(seed),
            last_version: 0,
            next_gossip_ms: 0,
            fast_gossip_until_ms: 0,
        }
    }

    /// Decides on a new request, and starts a trial if one is due.
    ///
    /// The target's home calls it, so that a zone has one trial at a time.
    pub fn admit(&mut self, now_ms: u64, target: &TargetName) -> Admission {
        let Some(health) = self.targets.get_mut(target) else {
            return Admission::Unknown;
        };
        if health.is_leaving {
            return Admission::Leaving;
        }
        health.breaker.admit(&self.config, now_ms).into()
    }

    /// Returns what [`State::admit`] would decide, without starting a trial.
    pub fn peek(&self, now_ms: u64, target: &TargetName) -> Admission {
        let Some(health) = self.targets.get(target) else {
            return Admission::Unknown;
        };
        if health.is_leaving {
            return Admission::Leaving;
        }
        health.breaker.peek(&self.config, now_ms).into()
    }

    /// Returns the epoch of a target, or `None` if the target is unknown.
    pub fn epoch(&self, target: &TargetName) -> Option<u64> {
        self.targets.get(target).map(|health| health.epoch)
    }

    /// Returns the names of the known targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetName> {
        self.targets.keys()
    }
}

impl From<BreakerDecision> for Admission {
    fn from(decision: BreakerDecision) -> Self {
        match decision {
            BreakerDecision::Admit => Admission::Yes,
            BreakerDecision::AdmitTrial => Admission::Trial,
            BreakerDecision::Reject { retry_after_ms } => {
                Admission::Out { retry_after_ms }
            }
        }
    }
}

/// Applies one event to the state, and appends the effects that follow.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => state.gossip(now_ms, effects),
        Event::PeersChanged { peers } => state.set_peers(peers, effects),
        Event::Observed {
            target,
            pool,
            epoch,
        } => state.add_or_replace_target(target, pool, epoch, effects),
        Event::Removed { target } => {
            state.targets.shift_remove(&target);
        }
        Event::TargetLeaving { target, epoch } => {
            state.mark_leaving(
                now_ms,
                LeavingTarget { target, epoch },
                LeavingSource::Local,
                effects,
            );
        }
        Event::RequestEnded {
            target,
            epoch,
            outcome,
        } => {
            state.record_outcome(now_ms, &target, epoch, outcome, effects);
        }
        Event::MessageReceived { from, message } => {
            state.handle_message(now_ms, from, message, effects)
        }
    }
}

/// The source from which a host learned that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeavingSource {
    Local,
    Peer,
}

impl State {
    /// Adds a target, or resets its state if the epoch is higher than the known one.
    fn add_or_replace_target(
        &mut self,
        name: TargetName,
        pool: PoolName,
        epoch: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(health) = self.targets.get_mut(&name) else {
            let leaving_epoch = self.unknown_leaving.shift_remove(&name);
            let mut target = TargetHealth::new(pool, epoch);
            target.is_leaving =
                leaving_epoch.is_some_and(|leaving_epoch| leaving_epoch >= epoch);
            self.targets.insert(name, target);
            return;
        };
        if epoch <= health.epoch {
            return;
        }
        let was_unavailable = health.is_leaving || !health.breaker.is_closed();
        *health = TargetHealth::new(pool, epoch);
        if was_unavailable {
            effects.push(Effect::TargetAvailable { target: name });
        }
    }

    /// Records how a request ended, unless it ran in another epoch of the target.
    fn record_outcome(
        &mut self,
        now_ms: u64,
        name: &TargetName,
        epoch: u64,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config.clone();
        let Some(health) = self.targets.get_mut(name) else {
            return;
        };
        if health.epoch != epoch {
            return;
        }
        let (open_ms, reason) = match outcome {
            Outcome::Answered { first_token_ms } => {
                health.record_latency(first_token_ms);
                if health.breaker.record_success(&config, now_ms) {
                    self.broadcast_report(name, 0, now_ms, effects);
                    effects.push(Effect::TargetAvailable {
                        target: name.clone(),
                    });
                }
                (self.trip_if_slow(now_ms, name), Reason::Slow)
            }
            Outcome::Failed => (
                health.breaker.record_failure(&config, now_ms),
                Reason::Failed,
            ),
            Outcome::Stalled => (
                health.breaker.record_stall(&config, now_ms),
                Reason::Stalled,
            ),
        };
        if let Some(open_ms) = open_ms {
            self.broadcast_report(name, open_ms, now_ms, effects);
            effects.push(Effect::TargetUnavailable {
                target: name.clone(),
                reason,
            });
        }
    }

    /// Opens the breaker of a target that is far slower than the median of its pool.
    fn trip_if_slow(&mut self, now_ms: u64, name: &TargetName) -> Option<u64> {
        let health = self.targets.get(name)?;
        if !health.breaker.is_closed()
            || health.latency_samples < self.config.slow_samples_min
        {
            return None;
        }
        let same_pool = || {
            self.targets
                .values()
                .filter(|other| other.pool == health.pool)
        };
        let mut latencies: Vec<f64> = same_pool()
            .filter(|other| other.latency_samples >= self.config.slow_samples_min)
            .map(|other| other.latency_ms)
            .collect();
        latencies.sort_by(f64::total_cmp);
        let median_ms = latencies[latencies.len() / 2];
        let open_breakers = same_pool()
            .filter(|other| !other.breaker.is_closed())
            .count()
            + 1;
        let open_breakers_max =
            self.config.slow_open_ratio_max * same_pool().count() as f64;
        let is_slow = health.latency_ms > self.config.slow_factor * median_ms;
        if !is_slow || open_breakers as f64 > open_breakers_max {
            return None;
        }
        let health = self.targets.get_mut(name)?;
        health.latency_samples = 0;
        Some(health.breaker.trip(&self.config, now_ms))
    }
}

impl TargetHealth {
    fn new(pool: PoolName, epoch: u64) -> Self {
        TargetHealth {
            pool,
            epoch,
            is_leaving: false,
            breaker: Breaker::new(),
            peer_reports: IndexMap::new(),
            latency_ms: 0.0,
            latency_samples: 0,
        }
    }

    fn record_latency(&mut self, first_token_ms: f64) {
        const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;
        self.latency_ms = match self.latency_samples {
            0 => first_token_ms,
            _ => {
                self.latency_ms
                    + NEWEST_SAMPLE_WEIGHT * (first_token_ms - self.latency_ms)
            }
        };
        self.latency_samples = self.latency_samples.saturating_add(1);
    }
}
