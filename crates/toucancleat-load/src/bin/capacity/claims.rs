//! Cost of claims of idempotency keys, in transactions at the platform's table.

use std::collections::BTreeMap;

use toucancleat_core::claims::{
    Answer, BodyHash, ClaimRequest, Config, Effect, Event, RequestOutcome, State,
    TransactionOutcome, reduce,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;

use crate::fleet_size;
use crate::homes::host;

/// Shares of all requests that may not run twice.
const CLAIMED_SHARES: [f64; 3] = [0.01, 0.1, 1.0];
const MEASURED_S: u64 = 300;
const STEP_MS: u64 = 1;
const TICK_MS: u64 = 250;
/// Time that the table takes to apply a transaction.
pub const TABLE_MS: u64 = 10;
/// Time that a request runs at its target.
const ANSWER_MS: u64 = 1_000;

/// Transactions of the whole fleet at the platform's table, for one share of claimed requests.
#[derive(Debug)]
pub struct PlatformCost {
    /// Share of all requests that may not run twice.
    pub claimed_share: f64,
    /// Transactions per second if each host writes its own claims.
    pub by_host_per_s: f64,
    /// Transactions per second if one host of each zone writes all claims of the zone.
    pub by_zone_per_s: f64,
}

/// Measures the transactions of one state that holds the claims of a host, and of one that
/// holds the claims of a zone.
pub fn measure() -> Vec<PlatformCost> {
    let cost = |claimed_share| PlatformCost {
        claimed_share,
        by_host_per_s: transactions_per_s(
            claimed_share * fleet_size::HOST_REQUESTS_PER_S,
        ) * fleet_size::HOSTS,
        by_zone_per_s: transactions_per_s(
            claimed_share * fleet_size::REQUESTS_PER_S / fleet_size::ZONES,
        ) * fleet_size::ZONES,
    };
    CLAIMED_SHARES.map(cost).into()
}

fn transactions_per_s(claims_per_s: f64) -> f64 {
    let mut simulated_host = SimulatedHost::new();
    let mut rng = Rng::new(1);
    let mut transactions = 0;
    for now_ms in (0..MEASURED_S * 1_000).step_by(STEP_MS as usize) {
        // N.B. The probability of a claim within a millisecond, in millionths.
        if (rng.below(1_000_000) as f64) < claims_per_s * 1_000.0 {
            simulated_host.begin_claim(now_ms);
        }
        if now_ms % TICK_MS == 0 {
            simulated_host.deliver_event(now_ms, Event::Tick);
        }
        transactions += simulated_host.deliver_due_events(now_ms);
    }
    f64::from(transactions) / MEASURED_S as f64
}

/// One host that writes claims to a simulated table, which applies each transaction after
/// `TABLE_MS`.
struct SimulatedHost {
    state: State,
    scheduled: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    transactions: u32,
}

impl SimulatedHost {
    fn new() -> Self {
        let own = host(0);
        let state = State::new(Config::default(), &own.name, own.incarnation, 1);
        SimulatedHost {
            state,
            scheduled: BTreeMap::new(),
            sequence: 0,
            transactions: 0,
        }
    }

    fn begin_claim(&mut self, now_ms: u64) {
        self.sequence += 1;
        let begin = ClaimRequest {
            request: RequestId(u128::from(self.sequence)),
            organisation: OrganisationName::new("depot"),
            key: format!("key-{}", self.sequence),
            body_sha256: BodyHash([0; 32]),
            now_unix_ms: now_ms,
            expires_unix_ms: now_ms + 86_400_000,
        };
        self.deliver_event(now_ms, Event::Begin(begin));
    }

    fn deliver_due_events(&mut self, now_ms: u64) -> u32 {
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let event = entry.remove();
            self.deliver_event(now_ms, event);
        }
        std::mem::take(&mut self.transactions)
    }

    fn deliver_event(&mut self, now_ms: u64, event: Event) {
        let mut effects = Vec::new();
        reduce(&mut self.state, now_ms, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Transact {
                    transaction,
                    writes,
                } => {
                    self.transactions += 1;
                    let versions = vec![1; writes.len()];
                    let outcome = TransactionOutcome::Applied { versions };
                    self.schedule(
                        now_ms + TABLE_MS,
                        Event::TransactionReply {
                            transaction,
                            outcome,
                        },
                    );
                }
                Effect::PermitDispatch { request } => {
                    self.schedule(now_ms, Event::Dispatched { request });
                    let answer = Answer {
                        status: 200,
                        content_type: "application/json".to_owned(),
                        body: vec![b'0'; 200],
                    };
                    let outcome = RequestOutcome::Ran(answer);
                    self.schedule(
                        now_ms + ANSWER_MS,
                        Event::Finished { request, outcome },
                    );
                }
                _ => {}
            }
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.scheduled.insert((at_ms, self.sequence), event);
    }
}
