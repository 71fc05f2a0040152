//! Hands requests off to peers while this host has no path to the targets.

use toucancleat_core::prelude::*;

use super::eligibility;
use super::requests::{ATTEMPT_MIN_MS, RETRY_AFTER_SHORT_MS, refuse, take_retry};
use crate::event::{Effect, LogEvent};
use crate::peers::Peer;
use crate::request::{Handoff, HandoffOutcome, Reason, Request, RequestNumber};
use crate::state::{State, random_hash};

/// Maximum number of peers to which a request is handed off, one after the other.
const HANDOFFS_MAX: usize = 3;

/// Probes the paths that are lost.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    for pool in state.pool_paths.take_due_probes(now_ms) {
        let hash = random_hash(&mut state.rng_state);
        let mut targets = state.usable_targets(&pool);
        let has_failed = |target: &TargetName| state.pool_paths.has_failed(&pool, target);
        if targets.iter().any(|(target, _)| !has_failed(target)) {
            targets.retain(|(target, _)| !has_failed(target));
        }
        let index = hash as usize % targets.len().max(1);
        let Some((target, entry)) = targets.get(index) else {
            state.pool_paths.forget(&pool);
            continue;
        };
        effects.push(Effect::ProbeTarget {
            pool: pool.clone(),
            target: (*target).clone(),
            address: entry.address,
        });
    }
}

/// Records that a connection to a target was opened at a time.
pub(super) fn record_reached(
    state: &mut State,
    at_ms: u64,
    pool: &PoolName,
    effects: &mut Vec<Effect>,
) {
    if state.pool_paths.record_reached(at_ms, pool) {
        log_path(state, pool, false, effects);
    }
}

/// Records that no connection to a target could be opened.
pub(super) fn record_failure(
    state: &mut State,
    now_ms: u64,
    pool: &PoolName,
    target: &TargetName,
    effects: &mut Vec<Effect>,
) {
    let targets = state.usable_targets(pool).len();
    if state
        .pool_paths
        .record_failure(now_ms, pool, target, targets)
    {
        log_path(state, pool, true, effects);
    }
}

fn log_path(
    state: &mut State,
    pool: &PoolName,
    is_lost: bool,
    effects: &mut Vec<Effect>,
) {
    state.must_broadcast = true;
    effects.push(Effect::Log(LogEvent::PathChanged {
        pool: pool.clone(),
        is_lost,
    }));
}

/// Returns true if a request is better handed off than sent to a target.
pub(super) fn is_preferred(state: &State, request: &Request) -> bool {
    state.pool_paths.is_lost(&request.pool)
}

/// Returns true if a peer may reach what this host doesn't: connections to targets of a request's
/// pool have failed since the last one was opened.
///
/// A target that this host may try later, because of its limit or pause, isn't reached by way of
/// a peer meanwhile.
pub(super) fn is_last_resort(
    state: &State,
    now_ms: u64,
    request_number: RequestNumber,
) -> bool {
    let Some(request) = state.requests.get(&request_number) else {
        return false;
    };
    let takes_it_later = |target: &TargetName| {
        !request.tried_targets.contains(target)
            && !eligibility::takes_request(state, now_ms, target)
            && eligibility::retry_at_ms(state, now_ms, target).is_some()
    };
    let mut targets = eligibility::permitted_targets(state, request).into_iter();
    state.pool_paths.has_failures(&request.pool)
        && !targets.any(|(target, _)| takes_it_later(target))
}

/// Hands a request off to a peer that reaches the targets. Returns false if the request may have
/// run, there is no such peer, or the budget has no retry for another arrival.
///
/// A request that was handed off isn't handed on, so that it can't circle between hosts of which
/// each takes the other for connected.
pub(super) fn try_hand_off(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    is_another_arrival: bool,
    effects: &mut Vec<Effect>,
) -> bool {
    let hash = random_hash(&mut state.rng_state);
    let Some(request) = state.requests.get(&request_number) else {
        return false;
    };
    let may_hand_off = !request.incoming.is_handed_off
        && request.runs == 0
        && request.tried_hosts.len() < HANDOFFS_MAX
        && now_ms + ATTEMPT_MIN_MS <= request.deadline_ms;
    if !may_hand_off {
        return false;
    }
    let own_version = state.configuration.as_ref().map(|known| known.version);
    let takes_request = |host: &HostName, peer: &Peer| {
        let message = &peer.last_message;
        let age_ms = now_ms.saturating_sub(peer.received_ms);
        let mut reports = message.path_reports.iter();
        // A peer with an earlier configuration may refuse what this one allows.
        !message.is_stopping
            && message.configuration_version >= own_version
            && state.evacuations.are_known_to(&message.evacuations)
            && eligibility::permits_host(state, request, message)
            && !request.tried_hosts.contains(host)
            && reports.any(|report| report.pool == request.pool && report.vouches(age_ms))
    };
    let zone = eligibility::zone_at_home(state, request, hash);
    let Some((host, address)) = state.peers.choose(now_ms, zone, hash, takes_request)
    else {
        return false;
    };
    if is_another_arrival && !take_retry(state, now_ms, request_number, effects) {
        return false;
    }
    let Some(request) = state.requests.get_mut(&request_number) else {
        return false;
    };
    request.tried_hosts.push(host.clone());
    effects.push(Effect::HandOff(Handoff {
        request_number,
        host,
        address,
        deadline_ms: request.deadline_ms,
    }));
    true
}

/// Handles the end of a handoff.
pub(super) fn handle_end(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    outcome: HandoffOutcome,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    request.verdict = request.verdict.max(outcome.verdict());
    // The peer may have used all attempts that the route permits. What it has refused may have
    // reached targets.
    let is_another_arrival = outcome == HandoffOutcome::Refused;
    if outcome.verdict() == Verdict::NotRun
        && try_hand_off(state, now_ms, request_number, is_another_arrival, effects)
    {
        return;
    }
    let reason = match outcome {
        HandoffOutcome::Answered | HandoffOutcome::Refused => {
            return effects.push(Effect::ForwardAnswer { request_number });
        }
        HandoffOutcome::NotSent => {
            let retry_after_ms = Some(RETRY_AFTER_SHORT_MS);
            let reason = Reason::Unreachable;
            return refuse(state, request_number, reason, retry_after_ms, effects);
        }
        HandoffOutcome::Interrupted => Reason::TargetFailed,
        HandoffOutcome::TimedOut => Reason::TimedOut,
    };
    refuse(state, request_number, reason, None, effects);
}
