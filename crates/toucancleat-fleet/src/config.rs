//! Configuration of the reducer: the bounds that differ between deployments.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

/// Time before the end of the grace period at which a stopping process exits by itself, so
/// that the callers of unfinished requests receive a closed connection and the log is
/// written.
pub const EXIT_RESERVE_MS: u64 = 250;

/// Settings that differ between deployments. The daemon reads them from its own settings.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Time after the revocation of a key from which no request with it may be
    /// dispatched.
    pub revocation_bound_ms: u64,
    /// Retries allowed for each first attempt, over all hosts.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted.
    pub retry_window_ms: u64,
    /// Retries allowed in a window in addition to the ratio, over all hosts.
    pub retry_allowance: f64,
    /// Time from the request to stop until the process is killed.
    pub stop_grace_ms: u64,
    /// The region of each availability zone, if the deployment has regions.
    pub regions: IndexMap<ZoneName, RegionName>,
    /// Bound on the requests to a cold target, if the deployment bounds them.
    pub cold_bound: Option<ColdBound>,
    /// Time after the evacuation of an availability zone from which no request may be sent to
    /// its targets, if the deployment evacuates zones.
    pub evacuation_bound_ms: Option<u64>,
    /// Whether requests get room in the order of their claims over all hosts while engines are
    /// full. See docs/design/contention.md.
    pub orders_contention: bool,
    /// Whether the deployment has organisations, so that requests need a key whatever its configuration
    /// lacks.
    pub has_organisations: bool,
    /// Whether the whole fleet starts for the first time, so that no process ran before.
    pub is_first_start: bool,
}

/// Bound on the requests that all hosts together send to a cold target in one second, given the
/// rate that its pool names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Requests for each request of the rate.
    pub overage: f64,
    /// Requests in addition.
    pub allowance: f64,
}

impl Default for FleetConfig {
    /// Returns conservative values for a host whose settings omit them.
    fn default() -> Self {
        FleetConfig {
            revocation_bound_ms: 5_000,
            retry_ratio: 0.1,
            retry_window_ms: 10_000,
            retry_allowance: 10.0,
            stop_grace_ms: 8_000,
            regions: IndexMap::new(),
            cold_bound: None,
            evacuation_bound_ms: None,
            orders_contention: false,
            has_organisations: false,
            is_first_start: false,
        }
    }
}
