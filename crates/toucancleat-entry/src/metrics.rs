//! Counters and histograms, in the Prometheus text format.

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

/// Everything that an entry host counts.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Refusals by problem and verdict.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Requests that arrived and were authorised.
    pub requests: Counter,
    /// Attempts given to targets.
    pub attempts: Counter,
    /// Tokens that went to callers.
    pub tokens: Counter,
    /// Streams that were resumed after their link was lost.
    pub resumed: Counter,
    /// Time to the first token, from the request's arrival.
    pub first_token_seconds: Histogram,
    /// Time between two tokens of a stream.
    pub between_tokens_seconds: Histogram,
    /// Silences of a target beyond the stall threshold, within a stream.
    pub stall_seconds: Counter<f64, std::sync::atomic::AtomicU64>,
    /// Settings revision in force.
    pub settings_revision: Gauge,
    /// Preemptions that each engine reports.
    preemptions: Family<TargetLabels, Counter>,
    preemptions_seen: Mutex<HashMap<TargetName, u64>>,
    figures: state::Figures,
}

/// Labels of what belongs to one target.
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
            preemptions_seen: Mutex::default(),
            figures: state::Figures::default(),
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
        self.figures.register(&mut registry);
    }

    /// Takes over the preemptions that an engine has counted; an engine that has started
    /// anew counts from 0.
    pub fn report_preemptions(&self, target: &TargetName, total: u64) {
        let seen = self.preemptions_seen.lock();
        let mut seen = seen.unwrap_or_else(|poisoned| poisoned.into_inner());
        let before = seen.insert(target.clone(), total).unwrap_or(0);
        let target = target.to_string();
        let counter = self.preemptions.get_or_create(&TargetLabels { target });
        counter.inc_by(total.checked_sub(before).unwrap_or(total));
    }

    /// Takes over what the reducer's state counts, before the metrics are read.
    pub fn take_figures(&self, state: &State, now_ms: u64) {
        self.figures.take(state, now_ms);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let labels = RefusalLabels {
            problem: refusal.problem.slug(),
            verdict: refusal.verdict.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Returns all metrics as text.
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
