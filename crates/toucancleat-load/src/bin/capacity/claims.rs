//! Claims of idempotency keys: transactions at the platform's table.

use std::collections::BTreeMap;

use toucancleat_core::claims::{
    Answer, Begin, BodyHash, Config, Effect, Event, Outcome, State, TransactOutcome,
    reduce,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;

use crate::fleet_size;
use crate::homes::host;

/// Parts of all requests that may not run twice.
const PARTS: [f64; 3] = [0.01, 0.1, 1.0];
const MEASURED_S: u64 = 300;
const STEP_MS: u64 = 1;
const TICK_MS: u64 = 250;
/// Time that the table takes for a transaction.
pub const TABLE_MS: u64 = 10;
/// Time that a request runs.
const ANSWER_MS: u64 = 1_000;

/// What the claims cost the platform, over the whole fleet.
#[derive(Debug)]
pub struct PlatformCost {
    /// Part of all requests that may not run twice.
    pub part: f64,
    /// Transactions a second when each host writes its own claims.
    pub by_host_per_s: f64,
    /// Transactions a second when one host of each zone writes the zone's claims.
    pub by_zone_per_s: f64,
}

/// Measures transactions with the claims of a host, and of a zone, in one state.
pub fn measure() -> Vec<PlatformCost> {
    let cost = |part| PlatformCost {
        part,
        by_host_per_s: transactions_per_s(part * fleet_size::HOST_REQUESTS_PER_S)
            * fleet_size::HOSTS,
        by_zone_per_s: transactions_per_s(
            part * fleet_size::REQUESTS_PER_S / fleet_size::ZONES,
        ) * fleet_size::ZONES,
    };
    PARTS.map(cost).into()
}

fn transactions_per_s(claims_per_s: f64) -> f64 {
    let mut table = Table::new();
    let mut rng = Rng::new(1);
    let mut transactions = 0;
    for now_ms in (0..MEASURED_S * 1_000).step_by(STEP_MS as usize) {
        // N.B. The chance of a claim in a millisecond, out of a million.
        if (rng.below(1_000_000) as f64) < claims_per_s * 1_000.0 {
            table.begin(now_ms);
        }
        if now_ms % TICK_MS == 0 {
            table.event(now_ms, Event::Tick);
        }
        transactions += table.run_due(now_ms);
    }
    f64::from(transactions) / MEASURED_S as f64
}

/// One host's claims, with a table that applies each transaction after a while.
struct Table {
    state: State,
    due: BTreeMap<(u64, u64), Event>,
    serial: u64,
    transactions: u32,
}

impl Table {
    fn new() -> Self {
        let own = host(0);
        let state = State::new(Config::default(), &own.name, own.incarnation, 1);
        Table {
            state,
            due: BTreeMap::new(),
            serial: 0,
            transactions: 0,
        }
    }

    fn begin(&mut self, now_ms: u64) {
        self.serial += 1;
        let begin = Begin {
            request: RequestId(u128::from(self.serial)),
            organisation: OrganisationName::new("depot"),
            key: format!("key-{}", self.serial),
            body_sha256: BodyHash([0; 32]),
            now_unix_ms: now_ms,
            expires_unix_ms: now_ms + 86_400_000,
        };
        self.event(now_ms, Event::Begin(begin));
    }

    fn run_due(&mut self, now_ms: u64) -> u32 {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let event = entry.remove();
            self.event(now_ms, event);
        }
        std::mem::take(&mut self.transactions)
    }

    fn event(&mut self, now_ms: u64, event: Event) {
        let mut effects = Vec::new();
        reduce(&mut self.state, now_ms, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Transact { transact, writes } => {
                    self.transactions += 1;
                    let versions = vec![1; writes.len()];
                    let outcome = TransactOutcome::Applied { versions };
                    self.later(
                        now_ms + TABLE_MS,
                        Event::TransactReply { transact, outcome },
                    );
                }
                Effect::PermitDispatch { request } => {
                    self.later(now_ms, Event::Dispatched { request });
                    let answer = Answer {
                        status: 200,
                        content_type: "application/json".to_owned(),
                        body: vec![b'0'; 200],
                    };
                    let outcome = Outcome::Ran(answer);
                    self.later(now_ms + ANSWER_MS, Event::Finished { request, outcome });
                }
                _ => {}
            }
        }
    }

    fn later(&mut self, at_ms: u64, event: Event) {
        self.serial += 1;
        self.due.insert((at_ms, self.serial), event);
    }
}
