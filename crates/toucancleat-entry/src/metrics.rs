//! The metrics of an entry host, in the OpenMetrics text format.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use toucancleat_core::State;
use toucancleat_core::prelude::*;
use toucancleat_core::refusal::Refusal;

mod state;

/// The metrics of an entry host.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Refusals by problem and verdict.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Requests that arrived and were authorised.
    pub requests: Counter,
    /// Attempts dispatched to targets.
    pub attempts: Counter,
    /// Tokens delivered to callers.
    pub tokens: Counter,
    /// Streams that were resumed after their connection was lost.
    pub resumed: Counter,
    /// Time to the first token, from the request's arrival.
    pub first_token_seconds: Histogram,
    /// Time between two tokens of a stream.
    pub between_tokens_seconds: Histogram,
    /// Time in which a stream was silent beyond the stall threshold.
    pub stall_seconds: Counter<f64, std::sync::atomic::AtomicU64>,
    /// Settings revision in force.
    pub settings_revision: Gauge,
    /// Preemptions reported by each engine.
    preemptions: Family<TargetLabels, Counter>,
    preemption_totals: Mutex<HashMap<TargetName, u64>>,
    state_metrics: state::StateMetrics,
}

/// Labels of a metric of one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TargetLabels {
    target: String,
}

/// Labels of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    problem: &'static str,
    verdict: &'static str,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let latency = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let metrics = Metrics {
            registry: Mutex::new(Registry::with_prefix("toucancleat")),
            refusals: Family::default(),
            requests: Counter::default(),
            attempts: Counter::default(),
            tokens: Counter::default(),
            resumed: Counter::default(),
            first_token_seconds: latency(),
            between_tokens_seconds: latency(),
            stall_seconds: Counter::default(),
            settings_revision: Gauge::default(),
            preemptions: Family::default(),
            preemption_totals: Mutex::default(),
            state_metrics: state::StateMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = self
            .registry
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        registry.register("refusals", "Refused requests", self.refusals.clone());
        registry.register(
            "requests",
            "Requests that were authorised",
            self.requests.clone(),
        );
        registry.register(
            "attempts",
            "Attempts given to targets",
            self.attempts.clone(),
        );
        registry.register("tokens", "Tokens delivered to callers", self.tokens.clone());
        registry.register(
            "streams_resumed",
            "Streams resumed after a lost link",
            self.resumed.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from arrival to the first token",
            Unit::Seconds,
            self.first_token_seconds.clone(),
        );
        registry.register_with_unit(
            "between_tokens",
            "Time between two tokens of a stream",
            Unit::Seconds,
            self.between_tokens_seconds.clone(),
        );
        registry.register_with_unit(
            "stall",
            "Time in which a stream was silent beyond the stall threshold",
            Unit::Seconds,
            self.stall_seconds.clone(),
        );
        registry.register(
            "settings_revision",
            "Settings revision in force",
            self.settings_revision.clone(),
        );
        registry.register(
            "engine_preemptions",
            "Preemptions that the engine reports",
            self.preemptions.clone(),
        );
        self.state_metrics.register(&mut registry);
    }

    /// Updates the counter of preemptions from an engine's total; an engine that was
    /// restarted counts from 0.
    pub fn record_preemptions(&self, target: &TargetName, total: u64) {
        let totals = self.preemption_totals.lock();
        let mut totals = totals.unwrap_or_else(|poisoned| poisoned.into_inner());
        let before = totals.insert(target.clone(), total).unwrap_or(0);
        let target = target.to_string();
        let counter = self.preemptions.get_or_create(&TargetLabels { target });
        counter.inc_by(total.checked_sub(before).unwrap_or(total));
    }

    /// Updates the metrics of the reducer's state, before the metrics are read.
    pub fn update_from_state(&self, state: &State, now_ms: u64) {
        self.state_metrics.update(state, now_ms);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let labels = RefusalLabels {
            problem: refusal.problem.slug(),
            verdict: refusal.verdict.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Encodes all metrics as text.
    pub fn encode(&self) -> String {
        let registry = self
            .registry
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut text = String::new();
        if encode(&mut text, &registry).is_err() {
            text.clear();
            let _ = writeln!(text, "# the metrics could not be encoded");
        }
        text
    }
}
