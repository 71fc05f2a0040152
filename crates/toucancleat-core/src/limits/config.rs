//! Times and bounds of limits.

/// Times and bounds of limits, the same on every host of the fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time for which a host may use a share.
    pub term_ms: u64,
    /// Time after which a host asks again.
    pub renew_ms: u64,
    /// Time that a lender adds to a term, against clocks that run at different speeds.
    pub margin_ms: u64,
    /// Time by which views of the zone's hosts may lag behind each other.
    pub view_lag_ms: u64,
    /// Longest time that a request which was admitted may go on.
    pub longest_answer_ms: u64,
    /// Time for which a zone may use what another has lent.
    pub loan_term_ms: u64,
    /// Least time between two questions for a loan.
    pub loan_ask_interval_ms: u64,
    /// Part of a zone's share that it may lend, as one over this number.
    pub lendable_divisor: u64,
    /// Time of the full rate that may be used at once.
    pub burst_ms: u64,
    /// Longest time that a request waits for the home's answer.
    pub answer_wait_ms: u64,
    /// Whether a request is admitted, and not refused, when its home gives no answer in time
    /// or is too new to give a settled one.
    ///
    /// The sum may then exceed the limit for a moment after hosts have come or gone; only a
    /// settled home refuses.
    pub is_lenient: bool,
    /// Time between two questions while requests wait for an answer.
    pub waiting_ask_ms: u64,
    /// Time for which an answer that gave too little stands for further requests.
    pub denied_ms: u64,
    /// Least time between two questions about one organisation.
    pub ask_gap_ms: u64,
    /// Time between two queries to a host that has not said what it holds.
    pub query_interval_ms: u64,
    /// Most requests of one organisation that wait for the home's answer.
    pub waiting_max: usize,
    /// Time after the last request when a host gives its share back.
    pub release_ms: u64,
    /// Time after the last question when a home forgets an organisation.
    pub idle_ms: u64,
    /// Time between two passes over the accounts of a home.
    pub sweep_interval_ms: u64,
    /// Silence that shows that this host was paused.
    pub pause_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            term_ms: 8_000,
            renew_ms: 3_000,
            margin_ms: 500,
            view_lag_ms: 5_000,
            longest_answer_ms: 600_000,
            loan_term_ms: 8_000,
            loan_ask_interval_ms: 500,
            lendable_divisor: 4,
            burst_ms: 1_000,
            answer_wait_ms: 4_000,
            is_lenient: false,
            waiting_ask_ms: 100,
            denied_ms: 200,
            ask_gap_ms: 20,
            query_interval_ms: 500,
            waiting_max: 256,
            release_ms: 2_000,
            idle_ms: 30_000,
            sweep_interval_ms: 500,
            pause_ms: 1_500,
        }
    }
}
