//! Configuration of the limits: lease terms, intervals and bounds.

/// Lease terms, intervals and bounds of the limits; every host of the fleet must use the
/// same.
#[derive(Clone, Debug)]
pub struct Config {
    /// Term of a share that is granted to a host, counted from the sending of the share
    /// request.
    pub term_ms: u64,
    /// Interval at which a host with new requests renews its share.
    pub renew_interval_ms: u64,
    /// Time that a lender adds to a term, since clocks run at different speeds.
    pub margin_ms: u64,
    /// Longest time by which the hosts' views of the zone may differ.
    pub view_lag_ms: u64,
    /// Longest time that an admitted request may run.
    pub max_request_duration_ms: u64,
    /// Term of a loan from another zone.
    pub loan_term_ms: u64,
    /// Least time between two loan requests for an organisation.
    pub loan_request_interval_ms: u64,
    /// A zone lends at most its share divided by this number.
    pub lendable_divisor: u64,
    /// Size of a token bucket, as the time in which the rate fills it.
    pub burst_ms: u64,
    /// Longest time that a request waits for its permit.
    pub permit_wait_max_ms: u64,
    /// Whether a request is admitted instead of refused when the home doesn't reply in
    /// time or isn't settled yet.
    ///
    /// If true, only a settled home refuses requests, and the sum may exceed the limit
    /// for a short time after hosts have joined or left.
    pub is_lenient: bool,
    /// Interval between two share requests while requests wait for permits.
    pub waiting_share_request_interval_ms: u64,
    /// Time for which requests are refused without a share request after a grant that
    /// left some waiting requests without permits.
    pub refusal_reuse_ms: u64,
    /// Least time between two share requests for an organisation.
    pub share_request_interval_min_ms: u64,
    /// Interval between two queries to a host that has not reported what it holds.
    pub query_interval_ms: u64,
    /// Most requests of one organisation that wait for permits at a host.
    pub waiting_max: usize,
    /// Time after the last arrival of a request after which an idle host releases its
    /// share.
    pub idle_release_ms: u64,
    /// Time after the last share request after which a home removes an unused account.
    pub account_idle_ms: u64,
    /// Interval at which a home renews loans and removes unused accounts.
    pub sweep_interval_ms: u64,
    /// Gap between two events after which this host counts as having been paused.
    pub pause_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            term_ms: 8_000,
            renew_interval_ms: 3_000,
            margin_ms: 500,
            view_lag_ms: 5_000,
            max_request_duration_ms: 600_000,
            loan_term_ms: 8_000,
            loan_request_interval_ms: 500,
            lendable_divisor: 4,
            burst_ms: 1_000,
            permit_wait_max_ms: 4_000,
            is_lenient: false,
            waiting_share_request_interval_ms: 100,
            refusal_reuse_ms: 200,
            share_request_interval_min_ms: 20,
            query_interval_ms: 500,
            waiting_max: 256,
            idle_release_ms: 2_000,
            account_idle_ms: 30_000,
            sweep_interval_ms: 500,
            pause_ms: 1_500,
        }
    }
}
