//! The rush: many callers within a few seconds.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::caller::{Ask, Outcome, Work};
use super::deployment::API_KEYS;

/// The same requests at every run.
const SEED: u64 = 20;
const DRAFTS: u32 = 24;
const CHECKS: u32 = 40;
const ROSTERS: u32 = 30;
const BOOKINGS: u32 = 16;
/// The callers begin within this time.
const RUSH_MS: u64 = 2_500;
const DRAFT_TOKENS_MIN: f64 = 60.0;
const DRAFT_TOKENS_MAX: f64 = 600.0;

/// Requests under way.
pub(super) struct Rush {
    total: usize,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Rush {
    /// Lets all callers begin, each at its time.
    pub(super) fn begin(hosts: Vec<SocketAddr>) -> Self {
        let mut rng = StdRng::seed_from_u64(SEED);
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let works = works(&mut rng);
        let total = works.len();
        for (index, work) in works.into_iter().enumerate() {
            let mut hosts = hosts.clone();
            hosts.rotate_left(index % API_KEYS.len());
            let ask = Ask {
                work,
                api_key: API_KEYS[rng.random_range(0..API_KEYS.len())],
                hosts,
            };
            let begin = Duration::from_millis(rng.random_range(0..RUSH_MS));
            let outcomes = outcomes.clone();
            tokio::spawn(async move {
                tokio::time::sleep(begin).await;
                let outcome = ask.carry_out().await;
                outcomes
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(outcome);
            });
        }
        Rush { total, outcomes }
    }

    /// Returns how many requests there are.
    pub(super) fn total(&self) -> usize {
        self.total
    }

    /// Returns how many requests have ended.
    pub(super) fn done(&self) -> usize {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Says whether all requests have ended.
    pub(super) fn is_over(&self) -> bool {
        self.done() == self.total
    }

    /// Returns what came of the requests that have ended.
    pub(super) fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn works(rng: &mut StdRng) -> Vec<Work> {
    let mut works = Vec::new();
    for _ in 0..DRAFTS {
        works.push(Work::Draft {
            tokens: draft_tokens(rng),
        });
    }
    for _ in 0..CHECKS {
        works.push(Work::Check {
            tokens: rng.random_range(3..20),
        });
    }
    works.extend((0..ROSTERS).map(|driver| Work::Roster { driver }));
    works.extend((0..BOOKINGS).map(|n| Work::Booking {
        key: format!("demo-booking-{n}"),
    }));
    works
}

/// Most drafts are short and a few are very long.
fn draft_tokens(rng: &mut StdRng) -> u32 {
    let ratio = DRAFT_TOKENS_MAX / DRAFT_TOKENS_MIN;
    (DRAFT_TOKENS_MIN * ratio.powf(rng.random::<f64>().powi(2))) as u32
}
