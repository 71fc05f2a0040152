//! Effects of the requests in progress.

use std::sync::Arc;

use super::claims;
use crate::claims::{Begin, Event as ClaimEvent, Outcome as ClaimOutcome};
use crate::effect::Effect;
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::{self, Arrival, Outcome};
use crate::settings::{InForce, Target};
use crate::state::State;

/// Time to come back when no target can be reached.
const RETRY_AFTER_NO_TARGET_MS: u64 = 2_000;

/// Applies an event of a request.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: requests::Event,
    effects: &mut Vec<Effect>,
) {
    let mut wanted = Vec::new();
    requests::reduce(&mut state.requests, now_ms, event, &mut wanted);
    for effect in wanted {
        carry_out(state, now_ms, effect, effects);
    }
}

fn carry_out(
    state: &mut State,
    now_ms: u64,
    effect: requests::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        requests::Effect::Claim { arrival } => claim(state, now_ms, &arrival, effects),
        requests::Effect::SettleClaim {
            request,
            dispatched,
            outcome,
        } => settle_claim(state, now_ms, request, dispatched, outcome, effects),
        requests::Effect::Reserve {
            arrival, excluded, ..
        } => {
            let event = choose_target(state, &arrival, &excluded);
            apply(state, now_ms, event, effects);
        }
        requests::Effect::Withdraw { .. } => {}
        requests::Effect::Dispatch {
            request,
            target,
            attempt,
            priority,
            deadline_ms,
        } => {
            let Some(address) = address_of(state, request, &target) else {
                // The target left the settings between the choice and now.
                let outcome = Outcome::NotBegun {
                    retry_after_ms: None,
                };
                let event = requests::Event::AttemptEnded {
                    request,
                    attempt,
                    outcome,
                };
                apply(state, now_ms, event, effects);
                return;
            };
            // N.B. the claim must know before the first byte leaves.
            claims::apply(state, now_ms, ClaimEvent::Dispatched { request }, effects);
            *state.outstanding.entry(target.clone()).or_insert(0) += 1;
            effects.push(Effect::Dispatch {
                request,
                target,
                address,
                attempt,
                priority,
                deadline_ms,
            });
        }
        requests::Effect::Settle { target, .. } => {
            if let Some(count) = state.outstanding.get_mut(&target) {
                *count = count.saturating_sub(1);
            }
        }
        requests::Effect::Refuse { request, refusal } => {
            effects.push(Effect::Refuse { request, refusal });
        }
    }
}

fn claim(
    state: &mut State,
    now_ms: u64,
    arrival: &Arc<Arrival>,
    effects: &mut Vec<Effect>,
) {
    let request = arrival.request;
    let Some(key) = arrival.idempotency_key.clone() else {
        let detail = format!("requests of kind {} need an Idempotency-Key", arrival.kind);
        let refusal = Refusal::not_run(Problem::KeyNeeded, detail);
        let event = requests::Event::ClaimRefused { request, refusal };
        apply(state, now_ms, event, effects);
        return;
    };
    let begin = Begin {
        request,
        organisation: arrival.organisation.clone(),
        key,
        body_sha256: arrival.body_sha256,
        now_unix_ms: arrival.arrived_unix_ms,
        expires_unix_ms: arrival.key_expires_unix_ms(),
    };
    claims::apply(state, now_ms, ClaimEvent::Begin(begin), effects);
}

fn settle_claim(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    dispatched: bool,
    outcome: ClaimOutcome,
    effects: &mut Vec<Effect>,
) {
    let event = if dispatched {
        ClaimEvent::Finished { request, outcome }
    } else {
        ClaimEvent::Abandon { request }
    };
    claims::apply(state, now_ms, event, effects);
}

fn choose_target(
    state: &State,
    arrival: &Arrival,
    excluded: &[TargetName],
) -> requests::Event {
    let request = arrival.request;
    let chosen = state
        .settings
        .as_ref()
        .and_then(|settings| least_outstanding(state, settings, arrival, excluded));
    match chosen {
        Some(target) => {
            let priority = arrival.values.priority;
            requests::Event::Granted {
                request,
                target,
                priority,
            }
        }
        None => {
            let detail = format!("no target of pool {} is left", arrival.values.pool);
            let refusal = Refusal::not_run(Problem::NoTarget, detail)
                .with_retry_after_ms(RETRY_AFTER_NO_TARGET_MS);
            requests::Event::NotGranted { request, refusal }
        }
    }
}

/// Chooses the target with the fewest requests from this host, in the host's own zone
/// while that has any.
fn least_outstanding(
    state: &State,
    settings: &InForce,
    arrival: &Arrival,
    excluded: &[TargetName],
) -> Option<TargetName> {
    let pool = settings.tree.pools.get(&arrival.values.pool)?;
    let rank = |name: &TargetName, target: &Target| {
        let outstanding = state.outstanding.get(name).copied().unwrap_or(0);
        (target.zone != state.zone, outstanding)
    };
    pool.targets
        .iter()
        .filter(|(name, _)| !excluded.contains(*name))
        .min_by_key(|(name, target)| rank(name, target))
        .map(|(name, _)| name.clone())
}

fn address_of(state: &State, request: RequestId, target: &TargetName) -> Option<String> {
    let arrival = state.requests.arrival(request)?;
    let settings = state.settings.as_ref()?;
    let pool = settings.tree.pools.get(&arrival.values.pool)?;
    pool.targets.get(target).map(|found| found.address.clone())
}
