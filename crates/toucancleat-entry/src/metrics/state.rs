//! The metrics of the reducer's state, which are updated when the metrics are read.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use toucancleat_core::State;

const MS_PER_SECOND: f64 = 1_000.0;

/// The metrics of the reducer's state.
#[derive(Debug, Default)]
pub(super) struct StateMetrics {
    settings_age_seconds: Gauge<f64, AtomicU64>,
    requests_in_progress: Gauge,
    requests_waiting: Gauge,
    claims_in_progress: Gauge,
    members: Family<MemberLabels, Gauge>,
    timeline_bytes: Gauge,
    timeline_records: Family<RecordLabels, Counter>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemberLabels {
    status: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RecordLabels {
    kind: &'static str,
}

impl StateMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "settings_age",
            "Time since the host last heard that its settings are the latest",
            Unit::Seconds,
            self.settings_age_seconds.clone(),
        );
        registry.register(
            "requests_in_progress",
            "Requests that have arrived and not ended",
            self.requests_in_progress.clone(),
        );
        registry.register(
            "requests_waiting",
            "Requests that wait for a target",
            self.requests_waiting.clone(),
        );
        registry.register(
            "claims_in_progress",
            "Claims of idempotency keys that this host holds",
            self.claims_in_progress.clone(),
        );
        registry.register(
            "members",
            "Entry hosts of the zone by what this host takes them to be",
            self.members.clone(),
        );
        registry.register_with_unit(
            "timeline_size",
            "Memory that the records of the time line hold",
            Unit::Bytes,
            self.timeline_bytes.clone(),
        );
        registry.register(
            "timeline_records",
            "Records of the time line by kind",
            self.timeline_records.clone(),
        );
    }

    pub(super) fn update(&self, state: &State, now_ms: u64) {
        let age_ms = state.dissemination.age_ms(now_ms);
        // Before the first settings there is no age, and infinity marks them as outdated.
        self.settings_age_seconds
            .set(age_ms.map_or(f64::INFINITY, |age_ms| age_ms as f64 / MS_PER_SECOND));
        self.requests_in_progress
            .set(as_gauge(state.requests.len()));
        self.requests_waiting
            .set(as_gauge(state.accounts.pending_count()));
        self.claims_in_progress.set(as_gauge(state.claims.len()));
        self.timeline_bytes.set(as_gauge(state.timeline.bytes()));
        self.update_members(state);
        for (kind, count) in state.timeline.counts() {
            let kind = kind.as_str();
            let counter = self.timeline_records.get_or_create(&RecordLabels { kind });
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    fn update_members(&self, state: &State) {
        self.members.clear();
        for entry in state.membership.entries() {
            let status = format!("{:?}", entry.status).to_lowercase();
            self.members.get_or_create(&MemberLabels { status }).inc();
        }
    }
}

fn as_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
