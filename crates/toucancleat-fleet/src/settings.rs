//! Bounds and intervals that the decisions keep to.

/// Time before the end by force at which a stopping process ends by itself, so that the
/// callers of requests that can't be finished see a closed connection and the log is written.
pub const END_RESERVE_MS: u64 = 250;

/// Figures that differ between deployments; the daemon takes them from its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Time after a key was withdrawn from which no request with it may be sent on.
    pub revocation_bound_ms: u64,
    /// Retries allowed for each first attempt, over all hosts.
    pub retry_ratio: f64,
    /// Span over which retries are counted.
    pub retry_window_ms: u64,
    /// Retries allowed in a window beside the ratio, over all hosts.
    pub retry_allowance: f64,
    /// Time from the request to stop until the process is ended by force.
    pub stop_grace_ms: u64,
}

impl Default for Config {
    /// Cautious figures for a host whose settings leave them out.
    fn default() -> Self {
        Config {
            revocation_bound_ms: 5_000,
            retry_ratio: 0.1,
            retry_window_ms: 10_000,
            retry_allowance: 10.0,
            stop_grace_ms: 8_000,
        }
    }
}
