//! The metrics of one entry host, and the answer that exposes them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, header};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::host::Host;

/// The label by which requests, attempts and migrations are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The name of the outcome.
    pub outcome: &'static str,
}

/// The label by which refusals for want of room are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// The name of the cause.
    pub cause: &'static str,
}

/// All metrics of one host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Attempts at targets by outcome.
    pub attempts: Family<OutcomeLabel, Counter>,
    /// Migrations of runs by outcome, including those that did not take place.
    pub migrations: Family<OutcomeLabel, Counter>,
    /// Requests that were handed off to peers, by outcome.
    pub handoffs: Family<OutcomeLabel, Counter>,
    /// Requests that were refused since there was no room, by cause.
    pub room_refusals: Family<CauseLabel, Counter>,
    /// Retries that were taken from the budget or denied, by what decided it.
    pub retries: Family<OutcomeLabel, Counter>,
    /// Requests that wait for room.
    pub waiting_requests: Gauge,
    /// Organisations that use more than their share of a pool for which requests wait.
    pub organisations_over_share: Gauge,
    /// Pools to which this host has no path.
    pub lost_paths: Gauge,
    /// Time to a complete answer that isn't a stream, in seconds.
    pub answer_s: Histogram,
    /// Time to the first event of a stream, in seconds.
    pub first_event_s: Histogram,
    /// Pause of a stream during its migration to another target, in seconds.
    pub migration_pause_s: Histogram,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Messages to peers.
    pub datagrams: Counter,
    /// Version of the configuration that is applied.
    pub configuration_version: Gauge,
    /// Targets that limit the rate of requests.
    pub limited_targets: Gauge,
    /// Availability zones that operators have evacuated.
    pub evacuated_zones: Gauge,
    /// Targets that are cold.
    pub cold_targets: Gauge,
    /// Targets that are suspected to be leaving.
    pub suspected_targets: Gauge,
    /// Engines asked whether they are leaving.
    pub report_queries: Counter,
    /// Streams of which this host keeps where they began.
    pub stream_origins: Gauge,
    /// Bytes that are held of all targets' answers.
    pub held_answer_bytes: Gauge,
    /// Parts of prompts with which requests are refused.
    pub poison_parts: Gauge,
    /// Requests whose repeats are refused.
    pub poison_requests: Gauge,
    /// Answers whose report about their target is invalid.
    pub invalid_notices: Counter,
    /// Entries of the host list that are invalid, each time they are read.
    pub invalid_entries: Counter,
    /// Answers of the store whose era is invalid.
    pub invalid_eras: Counter,
    /// Datagrams of peers that can't be decoded.
    pub invalid_datagrams: Counter,
}

impl Metrics {
    /// Creates all metrics with the value zero.
    pub fn new() -> Self {
        // The upper bounds of the buckets double from 5 ms to 80 s.
        let histogram = || Histogram::new(exponential_buckets(0.005, 2.0, 15));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("toucancleat"),
            requests: Family::default(),
            attempts: Family::default(),
            migrations: Family::default(),
            handoffs: Family::default(),
            room_refusals: Family::default(),
            retries: Family::default(),
            waiting_requests: Gauge::default(),
            organisations_over_share: Gauge::default(),
            lost_paths: Gauge::default(),
            answer_s: histogram(),
            first_event_s: histogram(),
            migration_pause_s: histogram(),
            store_calls: Counter::default(),
            datagrams: Counter::default(),
            configuration_version: Gauge::default(),
            limited_targets: Gauge::default(),
            evacuated_zones: Gauge::default(),
            cold_targets: Gauge::default(),
            suspected_targets: Gauge::default(),
            report_queries: Counter::default(),
            stream_origins: Gauge::default(),
            held_answer_bytes: Gauge::default(),
            poison_parts: Gauge::default(),
            poison_requests: Gauge::default(),
            invalid_notices: Counter::default(),
            invalid_entries: Counter::default(),
            invalid_eras: Counter::default(),
            invalid_datagrams: Counter::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by their end", self.requests.clone());
        registry.register(
            "attempts",
            "Attempts at targets by their end",
            self.attempts.clone(),
        );
        registry.register(
            "moves",
            "Moves of runs by their end",
            self.migrations.clone(),
        );
        registry.register(
            "handoffs",
            "Requests handed off to peers by their end",
            self.handoffs.clone(),
        );
        registry.register(
            "room_refusals",
            "Requests refused since there was no room, by cause",
            self.room_refusals.clone(),
        );
        registry.register(
            "retries",
            "Retries taken from the budget or denied, by what decided it",
            self.retries.clone(),
        );
        registry.register(
            "waiting_requests",
            "Requests that wait for room",
            self.waiting_requests.clone(),
        );
        registry.register(
            "organisations_over_share",
            "Organisations that use more than their share while requests wait",
            self.organisations_over_share.clone(),
        );
        registry.register(
            "lost_paths",
            "Pools to which this host has no path",
            self.lost_paths.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to a whole plain answer",
            self.answer_s.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to the first event of a stream",
            self.first_event_s.clone(),
        );
        registry.register(
            "move_pause_seconds",
            "Pause of a stream that goes on at another target",
            self.migration_pause_s.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the platform's store",
            self.store_calls.clone(),
        );
        registry.register(
            "datagrams",
            "Messages to other entry hosts",
            self.datagrams.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets that limit the rate of requests",
            self.limited_targets.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Availability zones that operators have evacuated",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "suspected_targets",
            "Targets that are suspected to be leaving",
            self.suspected_targets.clone(),
        );
        registry.register(
            "report_queries",
            "Engines asked whether they are leaving",
            self.report_queries.clone(),
        );
        registry.register(
            "cold_targets",
            "Targets that are cold and take only so many requests",
            self.cold_targets.clone(),
        );
        registry.register(
            "stream_origins",
            "Streams of which this host keeps where they began",
            self.stream_origins.clone(),
        );
        registry.register(
            "held_answer_bytes",
            "Bytes that are held of all targets' answers, which have a common bound",
            self.held_answer_bytes.clone(),
        );
        registry.register(
            "poison_parts",
            "Parts of prompts with which requests are refused",
            self.poison_parts.clone(),
        );
        registry.register(
            "poison_requests",
            "Requests whose repeats are refused",
            self.poison_requests.clone(),
        );
        registry.register(
            "invalid_notices",
            "Answers whose report about their target is invalid",
            self.invalid_notices.clone(),
        );
        registry.register(
            "invalid_entries",
            "Entries of the host list that name no target, each time they are read",
            self.invalid_entries.clone(),
        );
        registry.register(
            "invalid_eras",
            "Answers of the store whose era is invalid",
            self.invalid_eras.clone(),
        );
        registry.register(
            "invalid_datagrams",
            "Datagrams of peers that can't be decoded",
            self.invalid_datagrams.clone(),
        );
    }

    /// Counts the outcome of a request.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the outcome of an attempt.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the outcome of a handoff.
    pub fn count_handoff(&self, outcome: &'static str) {
        self.handoffs.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request that was refused since there was no room.
    pub fn count_room_refusal(&self, cause: &'static str) {
        self.room_refusals
            .get_or_create(&CauseLabel { cause })
            .inc();
    }

    /// Counts a retry that was taken from the budget or denied.
    pub fn count_retry(&self, outcome: &'static str) {
        self.retries.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the outcome of a migration.
    pub fn count_migration(&self, outcome: &'static str) {
        self.migrations
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }
}

/// Returns the metrics in the OpenMetrics text format.
pub fn respond(host: &Host) -> Response<Full<Bytes>> {
    let limited_targets = i64::try_from(host.limited_targets()).unwrap_or(i64::MAX);
    host.metrics.limited_targets.set(limited_targets);
    let evacuated_zones = i64::try_from(host.evacuated_zones()).unwrap_or(i64::MAX);
    host.metrics.evacuated_zones.set(evacuated_zones);
    let cold_targets = i64::try_from(host.cold_targets()).unwrap_or(i64::MAX);
    host.metrics.cold_targets.set(cold_targets);
    let suspected_targets = i64::try_from(host.suspected_targets()).unwrap_or(i64::MAX);
    host.metrics.suspected_targets.set(suspected_targets);
    let waiting_requests = i64::try_from(host.waiting_requests()).unwrap_or(i64::MAX);
    host.metrics.waiting_requests.set(waiting_requests);
    let over_share = i64::try_from(host.organisations_over_share()).unwrap_or(i64::MAX);
    host.metrics.organisations_over_share.set(over_share);
    let stream_origins = i64::try_from(host.kept_origins()).unwrap_or(i64::MAX);
    host.metrics.stream_origins.set(stream_origins);
    let lost_paths = i64::try_from(host.lost_paths()).unwrap_or(i64::MAX);
    host.metrics.lost_paths.set(lost_paths);
    let poison_parts = i64::try_from(host.poison_parts()).unwrap_or(i64::MAX);
    host.metrics.poison_parts.set(poison_parts);
    let poison_requests = i64::try_from(host.poison_requests()).unwrap_or(i64::MAX);
    host.metrics.poison_requests.set(poison_requests);
    let held_answer_bytes = host.answer_memory.reserved_bytes();
    let held_answer_bytes = i64::try_from(held_answer_bytes).unwrap_or(i64::MAX);
    host.metrics.held_answer_bytes.set(held_answer_bytes);
    let mut text = String::new();
    // Writing to a `String` can't fail.
    let _ = encode(&mut text, &host.metrics.registry);
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let content_type = header::HeaderValue::from_static("text/plain; version=1.0.0");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
