//! Sends the burst of requests: many callers within a few seconds.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::caller::{Caller, DemoRequest, RequestOutcome};
use super::deployment::API_KEYS;

/// Fixed, so that each run of the demonstration sends the same requests.
const SEED: u64 = 20;
const DRAFTS: u32 = 24;
const CHECKS: u32 = 40;
const ROSTERS: u32 = 30;
const BOOKINGS: u32 = 16;
/// Time within which all callers start, each at a random time.
const BURST_MS: u64 = 2_500;
const DRAFT_TOKENS_MIN: f64 = 60.0;
const DRAFT_TOKENS_MAX: f64 = 600.0;

/// A burst of requests, in progress or finished.
pub(super) struct Burst {
    request_count: usize,
    outcomes: Arc<Mutex<Vec<RequestOutcome>>>,
}

impl Burst {
    /// Starts all callers, each at its random time within [`BURST_MS`].
    pub(super) fn start(hosts: Vec<SocketAddr>) -> Self {
        let mut rng = StdRng::seed_from_u64(SEED);
        let outcomes: Arc<Mutex<Vec<RequestOutcome>>> = Arc::default();
        let requests = requests(&mut rng);
        let request_count = requests.len();
        for (index, request) in requests.into_iter().enumerate() {
            let mut hosts = hosts.clone();
            hosts.rotate_left(index % API_KEYS.len());
            let caller = Caller {
                request,
                api_key: API_KEYS[rng.random_range(0..API_KEYS.len())],
                hosts,
            };
            let start_after = Duration::from_millis(rng.random_range(0..BURST_MS));
            let outcomes = outcomes.clone();
            tokio::spawn(async move {
                tokio::time::sleep(start_after).await;
                let outcome = caller.run().await;
                outcomes
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(outcome);
            });
        }
        Burst {
            request_count,
            outcomes,
        }
    }

    /// Returns the number of requests in the burst.
    pub(super) fn request_count(&self) -> usize {
        self.request_count
    }

    /// Returns the number of requests that have finished.
    pub(super) fn finished_count(&self) -> usize {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Returns true if all requests have finished.
    pub(super) fn is_finished(&self) -> bool {
        self.finished_count() == self.request_count
    }

    /// Returns the outcomes of the requests that have finished.
    pub(super) fn outcomes(&self) -> Vec<RequestOutcome> {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn requests(rng: &mut StdRng) -> Vec<DemoRequest> {
    let mut requests = Vec::new();
    for _ in 0..DRAFTS {
        requests.push(DemoRequest::Draft {
            tokens: draft_tokens(rng),
        });
    }
    for _ in 0..CHECKS {
        requests.push(DemoRequest::Check {
            tokens: rng.random_range(3..20),
        });
    }
    requests.extend((0..ROSTERS).map(|driver| DemoRequest::Roster { driver }));
    requests.extend((0..BOOKINGS).map(|n| DemoRequest::Booking {
        key: format!("demo-booking-{n}"),
    }));
    requests
}

/// Returns a random length of a draft: most drafts are short and a few are very long.
fn draft_tokens(rng: &mut StdRng) -> u32 {
    let ratio = DRAFT_TOKENS_MAX / DRAFT_TOKENS_MIN;
    (DRAFT_TOKENS_MIN * ratio.powf(rng.random::<f64>().powi(2))) as u32
}
