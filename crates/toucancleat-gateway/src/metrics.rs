//! Counters and histograms.

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

/// How something ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Ending {
    /// A short name.
    pub outcome: &'static str,
}

/// All figures of one host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by their end.
    pub requests: Family<Ending, Counter>,
    /// Attempts at targets by their end.
    pub attempts: Family<Ending, Counter>,
    /// Runs that moved, or were to move, by the end of it.
    pub moves: Family<Ending, Counter>,
    /// Time to a whole plain answer, in seconds.
    pub answer_s: Histogram,
    /// Time to the first event of a stream, in seconds.
    pub first_event_s: Histogram,
    /// Pause of a stream that goes on at another target, in seconds.
    pub move_pause_s: Histogram,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Messages to other hosts.
    pub datagrams: Counter,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
}

impl Metrics {
    /// Makes all figures at zero.
    pub fn new() -> Self {
        // From 5 ms to 80 s, each bucket twice the one before.
        let histogram = || Histogram::new(exponential_buckets(0.005, 2.0, 15));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("toucancleat"),
            requests: Family::default(),
            attempts: Family::default(),
            moves: Family::default(),
            answer_s: histogram(),
            first_event_s: histogram(),
            move_pause_s: histogram(),
            store_calls: Counter::default(),
            datagrams: Counter::default(),
            configuration_version: Gauge::default(),
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
        registry.register("moves", "Moves of runs by their end", self.moves.clone());
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
            self.move_pause_s.clone(),
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
    }

    /// Counts a request's end.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&Ending { outcome }).inc();
    }

    /// Counts an attempt's end.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Ending { outcome }).inc();
    }

    /// Counts a move's end.
    pub fn count_move(&self, outcome: &'static str) {
        self.moves.get_or_create(&Ending { outcome }).inc();
    }
}

/// Gives the figures as text.
pub fn page(host: &Host) -> Response<Full<Bytes>> {
    let mut text = String::new();
    // Writing to a text can't fail.
    let _ = encode(&mut text, &host.metrics.registry);
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let kind = header::HeaderValue::from_static("text/plain; version=1.0.0");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
