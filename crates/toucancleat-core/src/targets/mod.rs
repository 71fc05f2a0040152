//! Which targets may take new work.
//!
//! The first host that hears that a target leaves tells the zone; no host sends it new
//! work from then on. A target that fails, stalls or is far slower than its pool is
//! taken out by each host on its own judgement, and by the others once two hosts agree,
//! so that one host's bad link doesn't empty a pool. It comes back by single trials after
//! a probation that doubles. See docs/design/targets.md.

mod breaker;
mod event;
mod message;
mod spread;

use indexmap::IndexMap;

use self::breaker::{Breaker, Pass};
pub use self::event::{Admission, Effect, Event, Outcome, Reason};
pub use self::message::{LeavingTarget, Message, Report};
use crate::prelude::*;
use crate::rng::Rng;

/// Bounds of the judgement of targets.
#[derive(Clone, Debug)]
pub struct Config {
    /// Failures in a row that take a target out.
    pub failures_to_open: u32,
    /// Stalls without a success between them that take a target out.
    pub stalls_to_open: u32,
    /// Shortest probation.
    pub probation_min_ms: u64,
    /// Longest probation.
    pub probation_max_ms: u64,
    /// Time after which a trial that has not ended no longer blocks the next.
    pub trial_ms: u64,
    /// Trials in a row that bring a target back.
    pub trials_to_close: u32,
    /// Time without a trip after which the probation is short again.
    pub forget_trips_ms: u64,
    /// Hosts whose reports together take a target out for the whole zone.
    pub reporters_to_open: usize,
    /// Latency over the median of the pool that counts as slow.
    pub slow_factor: f64,
    /// Answers before a target's latency is compared.
    pub slow_answers_min: u32,
    /// Largest part of a pool that is taken out for slowness.
    pub slow_out_ratio_max: f64,
    /// Time between two exchanges of views with a random host.
    pub views_interval_ms: u64,
    /// Time after news of a leaving target in which views are exchanged more often.
    pub news_ms: u64,
    /// Time between two exchanges in that time.
    pub news_interval_ms: u64,
    /// Hosts that a newly heard leaving target is passed on to.
    pub forward_hosts: usize,
    /// Most entries in one message.
    pub entries_per_message_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            failures_to_open: 3,
            stalls_to_open: 2,
            probation_min_ms: 1_000,
            probation_max_ms: 120_000,
            trial_ms: 30_000,
            trials_to_close: 2,
            forget_trips_ms: 600_000,
            reporters_to_open: 2,
            slow_factor: 4.0,
            slow_answers_min: 20,
            slow_out_ratio_max: 0.5,
            views_interval_ms: 10_000,
            news_ms: 3_000,
            news_interval_ms: 400,
            forward_hosts: 2,
            entries_per_message_max: 64,
        }
    }
}

/// One host's view of the targets of its zone.
#[derive(Debug)]
pub struct State {
    config: Config,
    targets: IndexMap<TargetName, Target>,
    early_leaving: IndexMap<TargetName, u64>,
    peers: Vec<HostName>,
    rng: Rng,
    last_version: u64,
    next_views_ms: u64,
    /// Until when views are exchanged more often, since a target leaves.
    news_until_ms: u64,
}

#[derive(Debug)]
struct Target {
    pool: PoolName,
    epoch: u64,
    leaving: bool,
    breaker: Breaker,
    reports: IndexMap<HostName, Judgement>,
    latency_ms: f64,
    answers: u32,
}

/// Another host's latest report.
#[derive(Clone, Copy, Debug)]
struct Judgement {
    version: u64,
    out_until_ms: u64,
}

impl State {
    /// Makes the view of a host that knows no target.
    pub fn new(config: Config, seed: u64) -> Self {
        State {
            config,
            targets: IndexMap::new(),
            early_leaving: IndexMap::new(),
            peers: Vec::new(),
            rng: Rng::new(seed),
            last_version: 0,
            next_views_ms: 0,
            news_until_ms: 0,
        }
    }

    /// Decides on a new request, and begins a trial where one is due.
    ///
    /// The target's home asks, so that a zone has one trial at a time.
    pub fn admit(&mut self, now_ms: u64, target: &TargetName) -> Admission {
        let Some(known) = self.targets.get_mut(target) else {
            return Admission::Unknown;
        };
        if known.leaving {
            return Admission::Leaving;
        }
        known.breaker.admit(&self.config, now_ms).into()
    }

    /// Says what [`State::admit`] would decide, without beginning a trial.
    pub fn peek(&self, now_ms: u64, target: &TargetName) -> Admission {
        let Some(known) = self.targets.get(target) else {
            return Admission::Unknown;
        };
        if known.leaving {
            return Admission::Leaving;
        }
        known.breaker.peek(&self.config, now_ms).into()
    }

    /// Returns the epoch of a target.
    pub fn epoch_of(&self, target: &TargetName) -> Option<u64> {
        self.targets.get(target).map(|known| known.epoch)
    }

    /// Returns the known targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetName> {
        self.targets.keys()
    }
}

impl From<Pass> for Admission {
    fn from(pass: Pass) -> Self {
        match pass {
            Pass::Normal => Admission::Yes,
            Pass::Trial => Admission::Trial,
            Pass::No { retry_after_ms } => Admission::Out { retry_after_ms },
        }
    }
}

/// Takes one event into the view.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => state.exchange_views(now_ms, effects),
        Event::Hosts { peers } => state.take_hosts(peers, effects),
        Event::Seen {
            target,
            pool,
            epoch,
        } => state.seen(target, pool, epoch, effects),
        Event::Removed { target } => {
            state.targets.shift_remove(&target);
        }
        Event::Leaving { target, epoch } => {
            state.leaving(
                now_ms,
                LeavingTarget { target, epoch },
                Heard::Directly,
                effects,
            );
        }
        Event::Ended {
            target,
            epoch,
            outcome,
        } => {
            state.ended(now_ms, &target, epoch, outcome, effects);
        }
        Event::Received { from, message } => {
            state.receive(now_ms, from, message, effects)
        }
    }
}

/// How a host has heard that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    Directly,
    FromPeer,
}

impl State {
    fn seen(
        &mut self,
        name: TargetName,
        pool: PoolName,
        epoch: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.targets.get_mut(&name) else {
            let early = self.early_leaving.shift_remove(&name);
            let mut target = Target::new(pool, epoch);
            target.leaving = early.is_some_and(|leaving_epoch| leaving_epoch >= epoch);
            self.targets.insert(name, target);
            return;
        };
        if epoch <= known.epoch {
            return;
        }
        let was_out = known.leaving || !known.breaker.is_closed();
        *known = Target::new(pool, epoch);
        if was_out {
            effects.push(Effect::PutBack { target: name });
        }
    }

    fn ended(
        &mut self,
        now_ms: u64,
        name: &TargetName,
        epoch: u64,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config.clone();
        let Some(known) = self.targets.get_mut(name) else {
            return;
        };
        if known.epoch != epoch {
            return;
        }
        let (out_ms, reason) = match outcome {
            Outcome::Answered { first_token_ms } => {
                known.count_latency(first_token_ms);
                if known.breaker.succeeded(&config, now_ms) {
                    self.report(name, 0, now_ms, effects);
                    effects.push(Effect::PutBack {
                        target: name.clone(),
                    });
                }
                (self.trip_if_slow(now_ms, name), Reason::Slow)
            }
            Outcome::Failed => (known.breaker.failed(&config, now_ms), Reason::Failed),
            Outcome::Stalled => (known.breaker.stalled(&config, now_ms), Reason::Stalled),
        };
        if let Some(out_ms) = out_ms {
            self.report(name, out_ms, now_ms, effects);
            effects.push(Effect::TakenOut {
                target: name.clone(),
                reason,
            });
        }
    }

    /// Takes a target out that is far slower than the median of its pool.
    fn trip_if_slow(&mut self, now_ms: u64, name: &TargetName) -> Option<u64> {
        let known = self.targets.get(name)?;
        if !known.breaker.is_closed() || known.answers < self.config.slow_answers_min {
            return None;
        }
        let same_pool = || {
            self.targets
                .values()
                .filter(|other| other.pool == known.pool)
        };
        let mut latencies: Vec<f64> = same_pool()
            .filter(|other| other.answers >= self.config.slow_answers_min)
            .map(|other| other.latency_ms)
            .collect();
        latencies.sort_by(f64::total_cmp);
        let median_ms = latencies[latencies.len() / 2];
        let out = same_pool()
            .filter(|other| !other.breaker.is_closed())
            .count()
            + 1;
        let out_max = self.config.slow_out_ratio_max * same_pool().count() as f64;
        let slow = known.latency_ms > self.config.slow_factor * median_ms;
        if !slow || out as f64 > out_max {
            return None;
        }
        let known = self.targets.get_mut(name)?;
        known.answers = 0;
        Some(known.breaker.trip(&self.config, now_ms))
    }
}

impl Target {
    fn new(pool: PoolName, epoch: u64) -> Self {
        Target {
            pool,
            epoch,
            leaving: false,
            breaker: Breaker::new(),
            reports: IndexMap::new(),
            latency_ms: 0.0,
            answers: 0,
        }
    }

    fn count_latency(&mut self, first_token_ms: f64) {
        const NEWEST_WEIGHT: f64 = 0.1;
        self.latency_ms = match self.answers {
            0 => first_token_ms,
            _ => self.latency_ms + NEWEST_WEIGHT * (first_token_ms - self.latency_ms),
        };
        self.answers = self.answers.saturating_add(1);
    }
}
