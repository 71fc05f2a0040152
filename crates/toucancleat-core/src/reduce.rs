//! The one reducer over all events of an entry host.

use std::sync::Arc;

use crate::effect::Effect;
use crate::event::Event;
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::{self, Arrival, Outcome};
use crate::settings::{InForce, Target};
use crate::state::State;

/// Time to come back when no target can be reached.
const RETRY_AFTER_NO_TARGET_MS: u64 = 2_000;

/// Applies one event and appends what is to be done.
///
/// The reducers of the single concerns feed each other through here, until only effects
/// remain that need the outside.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => reduce_request(state, now_ms, requests::Event::Tick, effects),
        Event::Settings(settings) => apply_settings(state, settings, effects),
        Event::Request(event) => reduce_request(state, now_ms, event, effects),
        Event::Drain => state.draining = true,
    }
}

fn apply_settings(state: &mut State, settings: Arc<InForce>, effects: &mut Vec<Effect>) {
    let newer = state
        .settings
        .as_ref()
        .is_none_or(|current| current.revision < settings.revision);
    if newer {
        state.settings = Some(settings.clone());
        effects.push(Effect::ApplySettings(settings));
    }
}

fn reduce_request(
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
        requests::Effect::Claim { arrival } => effects.push(Effect::Claim { arrival }),
        requests::Effect::AbandonClaim { request } => {
            effects.push(Effect::AbandonClaim { request });
        }
        requests::Effect::Reserve {
            arrival, excluded, ..
        } => {
            let event = choose_target(state, &arrival, &excluded);
            reduce_request(state, now_ms, event, effects);
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
                reduce_request(state, now_ms, event, effects);
                return;
            };
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
