//! The range of each value that is a number.

/// The smallest and the largest permitted number of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Name of the value.
    pub name: &'static str,
    /// Smallest permitted number.
    pub min: f64,
    /// Largest permitted number.
    pub max: f64,
}

const SECOND_MS: f64 = 1_000.0;
const HOUR_MS: f64 = 3_600.0 * SECOND_MS;
const DAY_MS: f64 = 24.0 * HOUR_MS;
const KIB_BYTES: f64 = 1_024.0;
const GIB_BYTES: f64 = KIB_BYTES * KIB_BYTES * KIB_BYTES;

/// The ranges, in the order of [`Values::NAMES`](super::Values::NAMES).
pub const LIMITS: &[Limits] = &[
    limits("timeout_ms", 1.0, DAY_MS),
    limits("first_token_timeout_ms", 1.0, HOUR_MS),
    limits("stall_timeout_ms", 1.0, HOUR_MS),
    limits("max_output_tokens", 1.0, 10_000_000.0),
    limits("max_body_bytes", 1.0, GIB_BYTES),
    limits("max_answer_bytes", 1.0, GIB_BYTES),
    limits("requests_per_second", 0.0, 1_000_000.0),
    limits("concurrent_requests", 0.0, 10_000_000.0),
    limits("retries_max", 0.0, 10.0),
    limits("retry_budget_ratio", 0.0, 1.0),
    limits("priority", 0.0, 9.0),
    limits("share_weight", 0.001, 1_000.0),
    limits("weight_stall_time", 0.0, 1_000.0),
    limits("weight_preemptions", 0.0, 1_000.0),
    limits("weight_tail_latency", 0.0, 1_000.0),
    limits("outgrow_chance_max", 0.0, 1.0),
    limits("step_time_max_ms", 1.0, 10.0 * SECOND_MS),
    limits("queue_timeout_ms", 0.0, HOUR_MS),
    limits("key_retention_ms", 0.0, 400.0 * DAY_MS),
];

impl Limits {
    /// Returns the range of a value; `None` for a value that isn't a number.
    pub fn of(name: &str) -> Option<&'static Limits> {
        LIMITS.iter().find(|limits| limits.name == name)
    }

    /// Says whether a number is in the range.
    pub fn contain(&self, number: f64) -> bool {
        (self.min..=self.max).contains(&number)
    }
}

const fn limits(name: &'static str, min: f64, max: f64) -> Limits {
    Limits { name, min, max }
}
