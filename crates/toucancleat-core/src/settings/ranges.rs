//! The permitted range of each numeric value.

/// The smallest and the largest permitted number of a value, both inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberRange {
    /// Name of the value, one of [`Values::NAMES`](super::Values::NAMES).
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
pub const NUMBER_RANGES: &[NumberRange] = &[
    range("timeout_ms", 1.0, DAY_MS),
    range("first_token_timeout_ms", 1.0, HOUR_MS),
    range("stall_timeout_ms", 1.0, HOUR_MS),
    range("max_output_tokens", 1.0, 10_000_000.0),
    range("max_body_bytes", 1.0, GIB_BYTES),
    range("max_answer_bytes", 1.0, GIB_BYTES),
    range("requests_per_second", 0.0, 1_000_000.0),
    range("concurrent_requests", 0.0, 10_000_000.0),
    range("retries_max", 0.0, 10.0),
    range("retry_budget_ratio", 0.0, 1.0),
    range("priority", 0.0, 9.0),
    range("share_weight", 0.001, 1_000.0),
    range("weight_stall_time", 0.0, 1_000.0),
    range("weight_preemptions", 0.0, 1_000.0),
    range("weight_tail_latency", 0.0, 1_000.0),
    range("outgrow_chance_max", 0.0, 1.0),
    range("step_time_max_ms", 1.0, 10.0 * SECOND_MS),
    range("queue_timeout_ms", 0.0, HOUR_MS),
    range("key_retention_ms", 0.0, 400.0 * DAY_MS),
];

impl NumberRange {
    /// Returns the range of a value; `None` for a value that isn't a number.
    pub fn of(name: &str) -> Option<&'static NumberRange> {
        NUMBER_RANGES.iter().find(|range| range.name == name)
    }

    /// Returns true if a number is in the range.
    pub fn contains(&self, number: f64) -> bool {
        (self.min..=self.max).contains(&number)
    }
}

const fn range(name: &'static str, min: f64, max: f64) -> NumberRange {
    NumberRange { name, min, max }
}
